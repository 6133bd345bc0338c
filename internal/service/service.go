package service

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/upstream"
)

// Service is one service of a node. Run serves until the service ends.
type Service struct {
	RequestRules
	options    Options
	log        *slog.Logger
	upstream   *upstream.Upstream
	feed       *discovery.Feed
	isReady    atomic.Bool
	restarts   atomic.Int64
	references atomic.Int64 // successful TryAcquire calls without a Release; negative once retired and unused
	isRetired  atomic.Bool
	clock      moduleClock
	starts     *serverStarts // shared with the service that this one replaces
	recentRuns *recentRuns   // shared with the service that this one replaces
	unused     chan struct{} // closed when the service is retired and has no reference
	ended      chan struct{} // closed when Run has returned

	mu        sync.Mutex
	endpoints map[string]discovery.Endpoint // by uid
	revision  int64                         // of endpoints
	loop      *loop                         // the current loop; a restart replaces it
}

// New creates a service. It accepts requests from now on and answers them once Run is called.
func New(options Options) (*Service, error) {
	log := slog.Default()
	if options.Name != "" {
		log = log.With("service", options.Name)
	}
	connections := options.SharedUpstream
	if connections == nil {
		connections = upstream.New(options.Upstream)
	}
	s := &Service{
		RequestRules: newRequestRules(options.Settings, options.AnyMethod),
		options:      options,
		log:          log,
		upstream:     connections,
		unused:       make(chan struct{}),
		ended:        make(chan struct{}),
		endpoints:    make(map[string]discovery.Endpoint),
		clock:        moduleClock{time.Now()},
		starts:       newServerStarts(),
		recentRuns:   newRecentRuns(),
	}
	if p := options.Predecessor; p != nil {
		s.clock = p.clock
		s.starts = p.starts
		s.recentRuns = p.recentRuns
	}
	s.options.CachedEndpoints = discovery.EndpointList{} // mergeEndpoints copies it
	s.options.Predecessor = nil                          // so that it can be freed
	if s.options.NewModule == nil {
		s.options.NewModule = func() (Module, error) { return control.New(options.Settings, options.Seed) }
	}
	module, err := s.options.NewModule()
	if err != nil {
		return nil, err
	}
	s.loop = s.newLoop(module)
	s.mergeEndpoints(options.CachedEndpoints)
	s.feed = newFeed(&options, s.receiveEndpoints)
	// With an empty list the module would set its concurrency limit for zero servers.
	if len(options.CachedEndpoints.Endpoints) > 0 {
		s.postEndpoints(s.loop, control.ListCached, options.CachedEndpoints)
	}
	return s, nil
}

// newFeed creates the feed of a service's endpoint list. The feed has its own random number generator: it draws numbers
// at times that depend on the network, which would make the decisions of a module that shared it irreproducible.
func newFeed(options *Options, receive func(discovery.EndpointList)) *discovery.Feed {
	pace := discovery.Pacer{
		GroupSize: options.Settings.GroupSize,
		Rand:      rand.New(rand.NewPCG(options.Seed, uint64(options.Settings.SelfIndex))),
	}
	feed := discovery.NewFeed(options.Source, options.CachedEndpoints.Revision, pace, receive)
	feed.HasCachedList = len(options.CachedEndpoints.Endpoints) > 0
	return feed
}

// Upstream returns the service's connections to its servers.
func (s *Service) Upstream() *upstream.Upstream { return s.upstream }

// Ready reports whether the service has ever had an available server.
func (s *Service) Ready() bool { return s.isReady.Load() }

// currentLoop returns the service's current loop, which a restart replaces.
func (s *Service) currentLoop() *loop {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loop
}
