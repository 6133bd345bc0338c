// Package service is one service of a node: its own decision module, what it holds, its
// servers and its connections to them. It brings what happens to the module and carries out
// what the module answers; it decides nothing.
package service

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/eventlog"
	"lockflow/internal/upstream"
)

// PanicPolicy says what follows when a service's module panics. All that it held is answered as
// failed in any case.
type PanicPolicy int

// The policies.
const (
	EndProcess     PanicPolicy = iota // the node ends
	RestartService                    // the service starts anew with clean state; others go on
)

const (
	minRestartBackoff   = 200 * time.Millisecond // pause before the second restart in a row; doubles
	maxRestartBackoff   = 10 * time.Second
	restartBackoffReset = time.Minute // after which restarts no longer are in a row
)

// RequestLimiter books what a service's requests take of the process: one held request and some
// bytes each. It is safe for concurrent use.
type RequestLimiter interface {
	// Admit books a request of so many bytes. Where there is no room it gives false; else
	// what gives all of it back, to be called once.
	Admit(bytes int64) (giveBack func(), ok bool)
}

// Options are what a service is made with.
type Options struct {
	Name            string
	Settings        control.Settings
	Seed            uint64 // of the module's random numbers
	Upstream        upstream.Options
	Protocol        upstream.Speaks    // to servers whose entry says nothing else
	SharedUpstream  *upstream.Upstream // connections of a service whose place this one takes; nil has Upstream make them
	Source          discovery.Source
	CachedEndpoints discovery.Listing // the list of servers as it was had last, maybe old
	OnPanic         PanicPolicy
	// AnyMethod has a class's requests come by any method, as in ordinary HTTP.
	AnyMethod bool

	Limiter           RequestLimiter         // nil books nothing
	Streams           *Streams               // of which answers are under way; nil keeps none
	RequestCounts     *RequestCounts         // of what becomes of requests; nil counts nothing
	Statistics        *StatisticsCollector   // of what the process does; nil counts nothing
	EventLog          *eventlog.Writer       // of what is done; nil writes nothing
	EstimateGroupSize bool                   // whether the group's size is estimated by servers' reports
	OnReady           func()                 // called once, when there is a server to send to; may be nil
	ObserveModuleTime func(time.Duration)    // told of the module's own time at each event; may be nil
	SharedHardLimits  *SharedHardLimits      // ceilings that are lent by counters; nil has the module hold them
	NewModule         func() (Module, error) // makes the module; nil is a control.Controller of Settings
}

// Service is one service. Its methods are safe for concurrent use.
type Service struct {
	RequestRules
	opts       Options
	log        *slog.Logger
	upstream   *upstream.Upstream
	feed       *discovery.Feed
	isReady    atomic.Bool
	restarts   atomic.Int64
	unused     chan struct{} // closed when it is retired and nothing holds it
	references atomic.Int64  // that hold it; retired and unused is below zero
	isRetired  atomic.Bool
	ended      chan struct{} // closed when Run has returned

	mu        sync.Mutex
	endpoints map[string]discovery.Target // by uid
	revision  int64
	loop      *loop
}

// New makes a service that holds nothing yet. Run starts it.
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
		RequestRules: newRequestRules(options.Settings), opts: options, log: log, upstream: connections,
		unused: make(chan struct{}), ended: make(chan struct{}), endpoints: make(map[string]discovery.Target),
	}
	s.AnyMethod = options.AnyMethod
	s.opts.CachedEndpoints = discovery.Listing{}
	if s.opts.NewModule == nil {
		s.opts.NewModule = func() (Module, error) { return control.New(options.Settings, options.Seed) }
	}
	module, err := s.opts.NewModule()
	if err != nil {
		return nil, err
	}
	s.loop = newLoop(module, &s.opts, s.upstream, log)
	s.mergeEndpoints(options.CachedEndpoints)
	// The waits are the network's, and none of the module's draws.
	pace := discovery.Pace{Group: options.Settings.GroupSize, Rand: rand.New(rand.NewPCG(options.Seed, uint64(options.Settings.SelfIndex)))}
	s.feed = discovery.NewFeed(options.Source, options.CachedEndpoints.Rev, pace, s.receiveEndpoints)
	s.feed.Known = len(options.CachedEndpoints.Targets) > 0
	// Guards against a bound that the module sets by a list of no servers.
	if len(options.CachedEndpoints.Targets) > 0 {
		s.postEndpoints(s.loop, control.ListCached, options.CachedEndpoints)
	}
	return s, nil
}

// Upstream holds the service's connections to its servers.
func (s *Service) Upstream() *upstream.Upstream { return s.upstream }

// Ready tells whether the service has had a server to send to.
func (s *Service) Ready() bool { return s.isReady.Load() }

// SetSource has the service follow another source of its servers. What the module has learned of
// servers stays with those that the new source lists under the same uid.
func (s *Service) SetSource(src discovery.Source) {
	s.log.Info("server list: another source", "address", src.Address, "file", src.Path)
	s.feed.Move(src)
}

// Endpoints is the list of servers as the service has it now.
func (s *Service) Endpoints() discovery.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpointList()
}

func (s *Service) endpointList() discovery.Listing {
	l := discovery.Listing{Rev: s.revision, All: true}
	for _, t := range s.endpoints {
		l.Targets = append(l.Targets, t)
	}
	return l
}

// mergeEndpoints brings the list that is kept up to a message.
func (s *Service) mergeEndpoints(list discovery.Listing) {
	if list.Odd.N > 0 {
		s.log.Warn("server list: entries that can't be used are left out", "entries", list.Odd.N, "err", list.Odd.First)
	}
	if list.All {
		clear(s.endpoints)
	}
	for _, t := range list.Targets {
		if t.Condition() == control.Gone {
			delete(s.endpoints, t.UID)
		} else {
			s.endpoints[t.UID] = t
		}
	}
	s.revision = list.Rev
}

// receiveEndpoints takes in a message of the source. It is kept before the loop that is in force hears
// of it, so that one that starts meanwhile knows it either way.
func (s *Service) receiveEndpoints(list discovery.Listing) {
	s.mu.Lock()
	s.mergeEndpoints(list)
	l := s.loop
	s.mu.Unlock()
	kind := control.ListPatch
	if list.All {
		kind = control.ListComplete
	}
	s.postEndpoints(l, kind, list)
}

// postEndpoints tells a loop's module of a list; with a server to send to the service is ready.
func (s *Service) postEndpoints(l *loop, kind control.ListKind, list discovery.Listing) {
	l.post(func() {
		l.updateEndpoints(kind, list)
		if len(l.serverIDs) > 0 && !s.isReady.Swap(true) && s.opts.OnReady != nil {
			s.opts.OnReady()
		}
	})
}

func (s *Service) currentLoop() *loop {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loop
}

// Run serves until ctx ends, or, once the service is retired, until it holds nothing. Whatever
// is held at the end is answered, as refused where it surely never ran, else as failed. An error is a
// module that failed for good.
func (s *Service) Run(ctx context.Context) error {
	defer close(s.ended)
	ctx, stop := context.WithCancel(ctx)
	lifetime, endLifetime := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer endLifetime()
	defer stop()
	tasks.Go(func() { s.feed.Run(lifetime) })
	tasks.Go(func() { s.upstream.Sweep(lifetime) })
	if s.opts.SharedHardLimits != nil {
		tasks.Go(func() { s.tickLeaseHolders(lifetime) })
	}
	tasks.Go(func() {
		select {
		case <-s.unused:
			stop()
		case <-lifetime.Done():
		}
	})
	backoff, startedAt := time.Duration(0), time.Now()
	for {
		l := s.currentLoop()
		l.run(ctx)
		s.retirePools(l)
		if l.err == nil || s.opts.OnPanic != RestartService || ctx.Err() != nil {
			return l.err
		}
		s.log.Error("the service starts anew with clean state", "err", l.err)
		if time.Since(startedAt) > restartBackoffReset {
			backoff = 0
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return l.err
		}
		startedAt = time.Now()
		backoff = min(max(2*backoff, minRestartBackoff), maxRestartBackoff)
		if err := s.restart(); err != nil {
			return err
		}
	}
}

// restart puts a new module in force, which knows the servers but has learned nothing.
func (s *Service) restart() error {
	m, err := s.opts.NewModule()
	if err != nil {
		return fmt.Errorf("starting the service anew: %w", err)
	}
	s.restarts.Add(1)
	l := newLoop(m, &s.opts, s.upstream, s.log)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loop = l
	s.postEndpoints(l, control.ListCached, s.endpointList())
	return nil
}

// retirePools closes the connections of a loop that has ended, or will when they come back.
func (s *Service) retirePools(l *loop) {
	for uid, id := range l.serverIDs {
		if p := l.pools[id]; p != nil && l.transferredPools[uid] != p {
			s.upstream.Retire(p)
		}
	}
}

// TryAcquire keeps the service from ending, until as many calls of Release; false where it has
// been retired and has nothing to do any more.
func (s *Service) TryAcquire() bool {
	for {
		n := s.references.Load()
		if n < 0 {
			return false
		}
		if s.references.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release undoes one Hold.
func (s *Service) Release() {
	if s.references.Add(-1) == 0 && s.isRetired.Load() {
		s.endIfUnused()
	}
}

// Retire has the service end as soon as nobody holds it. What it has taken is still served.
func (s *Service) Retire() {
	s.isRetired.Store(true)
	s.endIfUnused()
}

func (s *Service) endIfUnused() {
	if s.references.CompareAndSwap(0, math.MinInt64) {
		close(s.unused)
	}
}

// Admit books room for a request with a body of some bytes. Where there is none the module
// turns it away in Do.
func (s *Service) Admit(x *Exchange, body int64) (ok bool) {
	if s.opts.Limiter == nil {
		return true
	}
	answer := int64(s.upstream.Answer)
	if x.releaseResources, ok = s.opts.Limiter.Admit(body + answer); !ok {
		x.Request.IsOverCapacity = true
		return false
	}
	x.references.Store(1)
	return true
}

// Do has the service take a request and waits for its final answer. It gives false where ctx,
// that of the client, ended before, or the client was found to have left.
func (s *Service) Do(ctx context.Context, x *Exchange) (Answer, bool) {
	x.clientContext = ctx
	a, ok := s.doOnce(ctx, x)
	for next := a.replacement; next != nil; next = a.replacement {
		if !next.TryAcquire() {
			return s.Unavailable(), true
		}
		a, ok = next.doOnce(ctx, x)
		next.Release()
	}
	return a, ok
}

// Unavailable is the answer to a request that no module has heard of: trying again is harmless.
func (s *Service) Unavailable() Answer {
	return Answer{Kind: Rejected, Status: http.StatusServiceUnavailable, RetryAfter: min(time.Second, s.opts.Settings.MaxRetryAfter)}
}

func (s *Service) doOnce(ctx context.Context, x *Exchange) (Answer, bool) {
	x.answer = make(chan Answer, 1)
	l := s.currentLoop()
	if !l.post(func() { l.begin(x) }) {
		return s.Unavailable(), true
	}
	select {
	case a := <-x.answer:
		return a, !a.clientHasLeft
	case <-ctx.Done():
		if !l.post(func() { l.clientLeft(x) }) {
			x.discardAnswer()
		}
		return Answer{}, false
	case <-l.ended:
		select {
		case a := <-x.answer:
			return a, !a.clientHasLeft
		default: // all that had begun has its answer before the end
			return s.Unavailable(), true
		}
	}
}

// Post has the service's own goroutine do something between two events; false where the
// service has ended. What panics there is taken for a panic of the module.
func (s *Service) Post(do func()) bool { return s.currentLoop().post(do) }

// Alive tells whether the service's own goroutine takes events before ctx ends. One that
// pauses before it starts anew does.
func (s *Service) Alive(ctx context.Context) bool {
	l := s.currentLoop()
	done := make(chan struct{})
	select {
	case l.events <- func() { close(done) }:
	case <-l.ended:
		return true
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
	case <-l.ended:
	case <-ctx.Done():
		return false
	}
	return true
}

// Status is what a service is doing.
type Status struct {
	Name             string `json:"name"`
	Ready            bool   `json:"ready"`
	Requests         int    `json:"held"`     // requests and attempts that are out
	Unanswered       int    `json:"waiting"`  // of the requests, those whose client has no answer yet
	AttemptsInFlight int    `json:"attempts"` // out now
	Servers          int    `json:"servers"`  // listed
	AvailableServers int    `json:"up"`       // of them, that take new work
	IdleConnections  int    `json:"idle"`     // connections to servers
	Restarts         int64  `json:"restarts"` // of the module
	OpenStreams      int    `json:"streams"`  // answers that are under way with no end of their own, and tunnels
	CutStreams       int64  `json:"cut"`      // of them, broken off because another service asked for what is its own
	// HTTP2 is what requests share; nil where servers are spoken to by HTTP/1.1 alone.
	HTTP2 *upstream.Shared `json:"http2,omitempty"`
	// HardLimits is what it has of ceilings that counters lend; none where nothing is shared.
	HardLimits []HardLimitStatus `json:"shared,omitempty"`
	// ConcurrencyLimit is how many attempts the module lets out at once; 0 where it doesn't tell.
	ConcurrencyLimit float64 `json:"bound"`
	// GroupSizeRange is the least and the most that the group's size may be by the servers' reports of
	// their load, 0 where they say too little; and whether that speaks against the told one.
	GroupSizeRange     [2]float64 `json:"group"`
	IsGroupSizeDoubted bool       `json:"group_doubts"`
}

// Status tells what the service is doing. It is empty but for the name where the service
// has ended.
func (s *Service) Status() Status {
	st := Status{Name: s.opts.Name, Ready: s.isReady.Load(), Restarts: s.restarts.Load()}
	st.IdleConnections, _ = s.upstream.Conns()
	st.HTTP2 = s.upstream.Shared()
	st.OpenStreams, st.CutStreams = s.opts.Streams.Stats()
	l := s.currentLoop()
	seen := make(chan struct{})
	if l.post(func() {
		st.Requests, st.Servers, st.AvailableServers = len(l.exchanges), len(l.serverIDs), len(l.pools)
		for _, x := range l.exchanges {
			st.AttemptsInFlight += x.inFlight
			if !x.isAnswered {
				st.Unanswered++
			}
		}
		st.ConcurrencyLimit = l.concurrencyLimit()
		st.HardLimits = l.hardLimitStatus()
		if l.groupSizeEstimator != nil {
			st.GroupSizeRange[0], st.GroupSizeRange[1], _ = l.groupSizeEstimator.Seen(l.now())
			st.IsGroupSizeDoubted = l.groupSizeEstimator.Doubts(l.now())
		}
		close(seen)
	}) {
		select {
		case <-seen:
		case <-l.ended:
		}
	}
	return st
}
