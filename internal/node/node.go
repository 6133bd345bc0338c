// Package node puts the parts of a process together: listeners, the front, services and what
// they share, from a configuration, and another one while it runs. It decides nothing.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/front"
	"lockflow/internal/instancestats"
	"lockflow/internal/leasestore"
	"lockflow/internal/limits"
	"lockflow/internal/service"
)

// finalAnswerTime is what the answers may take that are given at the end. With the shortest deadlines no more
// than this is left between the drain's steps and SIGKILL.
const finalAnswerTime = 200 * time.Millisecond

// Node is an edge node.
type Node struct {
	front        *front.Front
	limiter      resourceLimiter
	inherited    map[string]net.Listener // that the supervisor passed on
	readyChanged chan struct{}           // a service has become ready
	becameReady  chan struct{}           // closed once the node was ready
	hasBeenReady atomic.Bool

	// Last, where it is not nil, is called once in a drain, when nothing more will be spent and
	// the services can still be asked. It is set before Run.
	OnDrained func()

	reloadMu sync.Mutex // held over a whole reload, also while it waits

	mu               sync.Mutex
	listeners        []*listener                          // in the order of the configuration
	removed          []*listener                          // by the reload that goes on; they leave
	isShutDown       bool                                 // nothing new begins to listen or to serve
	server           *http.Server                         // nil before Run
	listenerFailures chan error                           // the first listener that ended by itself
	generation       int                                  // of the configuration in force, from 1 on
	retired          map[*service.Service]*retiredService // replaced or removed services that still hold something
	cfg              config.Config
	services         map[string]*runningService        // in force, by name
	gatherers        map[string]*gatherer              // in force, by name
	requestCounts    map[string]*service.RequestCounts // of services, also those that are gone; nil without metrics
	statistics       *service.StatisticsCollector      // of the process; nil where nobody can ask
	servicesContext  context.Context                   // of services; nil before Run
	tasks            sync.WaitGroup                    // services, also those that were removed
	serviceFailures  chan error                        // the first service that ended the node
	runningServices  int                               // services that run, also those that were removed
	serviceEnded     *sync.Cond                        // serving has become less
}

// runningService is a service in force and what it was made from.
type runningService struct {
	*service.Service
	cfg              config.Service
	account          *account             // nil where nothing is shared
	ordinary         *front.Ordinary      // nil where it speaks the platform's protocol
	leaseStores      []*leasestore.Client // that lend its ceilings
	generation       int                  // in which it began
	predecessorEnded <-chan struct{}
	cancel           func()        // ends it with all that it holds; nil before it runs
	ended            chan struct{} // closed when it has ended, and those whose place it took
}

// New makes an edge node and begins to listen.
func New(cfg config.Config) (*Node, error) { return NewInheriting(cfg, nil) }

// NewInheriting is New with listeners that the supervisor has passed on, by name; of which it
// uses those that the configuration names (config.Inherited).
func NewInheriting(cfg config.Config, inherited map[string]net.Listener) (*Node, error) {
	n := &Node{
		inherited: inherited, readyChanged: make(chan struct{}, 1), becameReady: make(chan struct{}), cfg: cfg, generation: 1,
		services: make(map[string]*runningService), retired: make(map[*service.Service]*retiredService), serviceFailures: make(chan error, 1), listenerFailures: make(chan error, 1),
	}
	n.serviceEnded = sync.NewCond(&n.mu)
	n.front = front.New(&front.RoutingTable{}, n.isReady)
	if cfg.Process.Shared {
		n.limiter = makeSharedLimiter(&cfg, n.front)
	} else {
		n.limiter = newExclusiveLimiter(&cfg.Process)
	}
	if cfg.Process.Shared && cfg.Process.Control != "" {
		n.statistics = &service.StatisticsCollector{}
	}
	next, err := n.prepareServices(&cfg)
	if err != nil {
		return nil, err
	}
	for _, s := range next {
		s.generation = n.generation
	}
	if err := n.limiter.setGuarantees(&cfg, next); err != nil {
		return nil, err
	}
	if n.gatherers, err = n.prepareGatherers(&cfg); err != nil {
		return nil, err
	}
	n.services = next
	n.front.SetTable(routeTable(&cfg, next, n.gatherers))
	if w, ok := n.limiter.(*exclusiveLimiter); ok {
		w.sockets.OnEvict(n.front.Evict, next[cfg.Services[0].Name].Upstream().Evict)
	}
	if n.listeners, err = n.openListeners(cfg.Listeners); err != nil {
		return nil, err
	}
	return n, nil
}

// isReady tells whether every service that is required has been able to serve. What a later
// configuration adds doesn't make the node unready: its other services go on.
func (n *Node) isReady() bool {
	if n.hasBeenReady.Load() {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.services {
		if s.cfg.Required && !s.Ready() {
			return false
		}
	}
	if !n.hasBeenReady.Swap(true) {
		close(n.becameReady)
	}
	return true
}

// ServiceCount is how many services are in force.
func (n *Node) ServiceCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.services)
}

// Ready is closed once every service that is required has been able to serve.
func (n *Node) Ready() <-chan struct{} { return n.becameReady }

// Alive tells whether all services take events before ctx ends.
func (n *Node) Alive(ctx context.Context) bool {
	n.mu.Lock()
	all := make([]*runningService, 0, len(n.services))
	for _, s := range n.services {
		all = append(all, s)
	}
	n.mu.Unlock()
	return !slices.ContainsFunc(all, func(s *runningService) bool { return !s.Alive(ctx) })
}

// Statistics are what the services have counted since the process began; nothing without a control socket.
func (n *Node) Statistics() instancestats.Figures { return n.statistics.Statistics() }

// Status tells what each service is doing, by name.
func (n *Node) Status() []Status {
	n.mu.Lock()
	all := make([]*runningService, 0, len(n.services))
	for _, s := range n.services {
		all = append(all, s)
	}
	n.mu.Unlock()
	var out []Status
	for _, s := range all {
		st := Status{Status: s.Status()}
		if s.account != nil {
			st.Resources = s.account.usage()
		}
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Status is what a service is doing and what it has of the process.
type Status struct {
	service.Status
	Resources *ResourceUsage `json:"parts,omitempty"` // nil where it shares nothing
}

// ResourceUsage is what a service uses of the limits that the services of a process share (`parts` in the status).
type ResourceUsage struct {
	Descriptors   limits.Usage `json:"descriptors"`
	Requests      limits.Usage `json:"held"`
	BufferedBytes limits.Usage `json:"bytes"`
	Dials         limits.Usage `json:"dials"`
	ModuleTime    float64      `json:"module_time"` // recent processor time of its decision module, in seconds per second
}

// Run serves until ctx ends, then drains. An error is a failure of the node itself.
func (n *Node) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer n.tasks.Wait()
	defer end()
	work, stop := context.WithCancel(life)
	defer stop()
	n.mu.Lock()
	n.servicesContext = work
	for _, s := range n.services {
		n.startService(s)
	}
	n.shareModels(nil, n.gatherers)
	n.mu.Unlock()
	parts.Go(func() {
		for !n.isReady() {
			select {
			case <-n.readyChanged:
			case <-life.Done():
				return
			}
		}
	})
	parts.Go(func() { n.watchRetired(life) })
	srv := n.front.Server()
	n.mu.Lock()
	n.server = srv
	for _, l := range n.listeners {
		n.serveListener(l)
	}
	n.mu.Unlock()

	select {
	case <-ctx.Done():
	case err := <-n.serviceFailures:
		stop()
		n.shutDown()
		return err
	case err := <-n.listenerFailures:
		stop()
		n.shutDown()
		return fmt.Errorf("serving clients: %w", err)
	}
	return n.drain(stop)
}

// startService runs a service, unless Run is still to do so; n.mu is held.
func (n *Node) startService(s *runningService) {
	if n.servicesContext == nil {
		return
	}
	n.runningServices++
	life, end := context.WithCancel(n.servicesContext)
	s.cancel = end
	if s.ordinary != nil {
		n.tasks.Go(func() { s.ordinary.Customers.Follow(life, planChecker(s.cfg)) })
	}
	if b := s.Upstream().TLS; b != nil {
		n.tasks.Go(func() {
			b.Follow(life, time.Second, func(err error) {
				slog.Warn("TLS to servers: the old files stay in force", "service", s.cfg.Name, "err", err)
			})
		})
	}
	n.tasks.Go(func() {
		err := s.Run(life)
		end()
		if err != nil {
			select {
			case n.serviceFailures <- err:
			default:
			}
		}
		s.account.release()
		for _, c := range s.leaseStores {
			_ = c.Close() // a connection pool
		}
		n.mu.Lock()
		n.runningServices--
		delete(n.retired, s.Service)
		n.serviceEnded.Broadcast()
		n.mu.Unlock()
		if s.predecessorEnded != nil {
			<-s.predecessorEnded
		}
		close(s.ended)
	})
}

// awaitServices returns when no service runs any more.
func (n *Node) awaitServices() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.runningServices > 0 {
		n.serviceEnded.Wait()
	}
}

// drain lets go of the clients: they may still come for a while, each answer closes its
// connection, and the node ends when all that it holds is answered.
func (n *Node) drain(stop context.CancelFunc) error {
	n.front.Drain()
	slog.Info("draining") // each answer from here on closes its connection
	n.mu.Lock()
	begun, times := time.Now(), n.cfg.Process.Drain
	n.mu.Unlock()
	steps := []struct {
		at time.Duration
		do func()
	}{
		{times.Idle, n.front.CloseWhenIdle},
		{times.Accept, func() { n.drainListeners(); n.awaitClientsGone(times.Most - times.Accept) }},
	}
	for _, s := range steps {
		select {
		case <-time.After(time.Until(begun.Add(s.at))):
			s.do()
		case err := <-n.serviceFailures:
			stop()
			n.shutDown()
			return err
		}
	}
	if n.OnDrained != nil {
		n.OnDrained()
	}
	stop() // answers what is still held as failed
	n.awaitServices()
	n.shutDown()
	slog.Info("drained", "took", time.Since(begun).Round(time.Millisecond))
	select {
	case err := <-n.serviceFailures:
		return err
	default:
		return nil
	}
}

// drainListeners takes the clients that wait in the listeners' sockets and then no more.
func (n *Node) drainListeners() {
	n.mu.Lock()
	for _, l := range n.listeners {
		l.drain()
	}
	n.mu.Unlock()
	n.front.CloseWhenIdle()
}

// awaitClientsGone waits, after leave, until no client waits or is connected, for some time at the most. What still
// waits in a socket then has no room yet.
func (n *Node) awaitClientsGone(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	n.mu.Lock()
	all := slices.Concat(n.listeners, n.removed)
	n.mu.Unlock()
	awaitListeners(ctx, all)
	n.front.WaitDisconnected(ctx)
}

// shutDown gives the answers that are under way some time, and to who still waits, and stops listening.
func (n *Node) shutDown() {
	n.mu.Lock()
	n.isShutDown = true
	n.mu.Unlock()
	n.drainListeners()
	n.awaitClientsGone(finalAnswerTime)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range slices.Concat(n.listeners, n.removed) {
		l.close()
	}
}
