// Package node assembles the parts of a process from its configuration: listeners, the front that reads requests,
// services, scatter-gather services, and the limits on the resources that these share. It replaces the configuration
// while the node runs (Reload), hands listeners and state over to a successor, and drains. It makes no decisions about
// requests.
//
// Packages daemon, command and testbench create a Node; manage and metrics read its status. All methods of Node may be
// called from any goroutine; Run is called once.
package node

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"lockflow/internal/config"
	"lockflow/internal/front"
	"lockflow/internal/instancestats"
	"lockflow/internal/limits"
	"lockflow/internal/service"
)

// maxCountedServices limits the number of services, including removed ones, for which request counts are kept.
const maxCountedServices = 10000

// Node is an edge node: one process's listeners and services.
type Node struct {
	front         *front.Front
	limiter       resourceLimiter
	clientSockets limits.ConnectionLimiter // limits client connections by descriptors and memory
	inherited     map[string]net.Listener  // listeners passed on by the supervisor or a predecessor, by name
	readyChanged  chan struct{}            // signals that a service became ready, or that one that was not ready was removed
	becameReady   chan struct{}            // closed once the node is ready
	hasBeenReady  atomic.Bool              // becameReady is closed or about to be closed

	// OnDrained, if not nil, is called once in a drain, when no more quota will be spent and the services can still
	// report their state. It is set before Run.
	OnDrained func()

	reloadMu sync.Mutex // held for a whole reload, also while mu is released to wait; locked before mu

	mu               sync.Mutex  // guards all fields below except the channels and tasks
	listeners        []*listener // in the order of the configuration
	removed          []*listener // draining listeners that the reload in progress removed
	isShutDown       bool        // no listener or service may be started any more
	server           *http.Server
	listenerFailures chan error // receives the first failure of a listener
	generation       int        // number of the configuration in force, starting at 1
	cfg              config.Config
	services         map[string]*runningService           // in force, by name
	retired          map[*service.Service]*retiredService // replaced or removed, but still running
	gatherers        map[string]*gatherer                 // in force, by name
	requestCounts    map[string]*service.RequestCounts    // by service, including removed ones; nil without metrics
	statistics       *service.StatisticsCollector         // of all services; nil without a control socket
	servicesContext  context.Context                      // parent context of all services, including those that reloads start; nil before Run
	tasks            sync.WaitGroup                       // goroutines of services, listeners and model sharers
	serviceFailures  chan error                           // receives the first failure of a service, which ends the node
	runningServices  int                                  // number of running services, including retired ones
	serviceEnded     *sync.Cond                           // signals that runningServices has decreased
}

// New creates an edge node and starts listening.
func New(cfg config.Config) (*Node, error) { return NewInheriting(cfg, nil) }

// NewInheriting is New with listeners that the supervisor or a predecessor has passed on, by name. It uses those that
// the configuration refers to by name (config.Inherited) and those whose name is a configured address.
func NewInheriting(cfg config.Config, inherited map[string]net.Listener) (*Node, error) {
	n := &Node{
		inherited:        inherited,
		readyChanged:     make(chan struct{}, 1),
		becameReady:      make(chan struct{}),
		listenerFailures: make(chan error, 1),
		generation:       1,
		cfg:              cfg,
		services:         make(map[string]*runningService),
		retired:          make(map[*service.Service]*retiredService),
		serviceFailures:  make(chan error, 1),
	}
	n.serviceEnded = sync.NewCond(&n.mu)
	n.front = front.New(&front.RoutingTable{}, n.isReady)
	if cfg.Process.Shared {
		n.limiter = makeSharedLimiter(&cfg, n.front)
	} else {
		n.limiter = newExclusiveLimiter(&cfg.Process)
	}
	n.clientSockets = limitClientMemory(&cfg.Process, n.limiter.clientSockets(), n.front)
	if cfg.Process.Shared && cfg.Process.ControlSocket != "" {
		n.statistics = &service.StatisticsCollector{}
	}
	if err := n.prepareFirstGeneration(&cfg); err != nil {
		return nil, err
	}
	if e, ok := n.limiter.(*exclusiveLimiter); ok {
		e.sockets.SetEvictFuncs(n.front.Evict, n.services[cfg.Services[0].Name].Upstream().Evict)
	}
	listeners, err := n.openListeners(cfg.Listeners, startListenRetryTime)
	if err != nil {
		return nil, err
	}
	n.listeners = listeners
	return n, nil
}

// prepareFirstGeneration creates the services and routes that the node starts with.
func (n *Node) prepareFirstGeneration(cfg *config.Config) error {
	services, err := n.prepareServices(cfg)
	if err != nil {
		return err
	}
	for _, s := range services {
		s.generation = n.generation
	}
	if err := n.limiter.setGuarantees(cfg, services); err != nil {
		return err
	}
	if n.gatherers, err = n.prepareGatherers(cfg); err != nil {
		return err
	}
	n.services = services
	n.front.SetTable(routeTable(cfg, services, n.gatherers))
	return nil
}

// isReady reports whether all required services have become ready. Once ready, a node stays ready, so that services
// added by a later configuration do not take the earlier ones out of service.
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

// notifyReadyChanged wakes the goroutine that waits for readiness. It never blocks.
func (n *Node) notifyReadyChanged() {
	select {
	case n.readyChanged <- struct{}{}:
	default:
	}
}

// Ready returns a channel that is closed once all required services have become ready.
func (n *Node) Ready() <-chan struct{} { return n.becameReady }

// Generation returns the number of the configuration in force; the first one is 1.
func (n *Node) Generation() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.generation
}

// ServiceCount returns the number of services in force.
func (n *Node) ServiceCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.services)
}

// currentServices returns the services in force, by name.
func (n *Node) currentServices() map[string]*runningService {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.services)
}

// Alive reports whether the event loops of all services respond before ctx is done.
func (n *Node) Alive(ctx context.Context) bool {
	for _, s := range n.currentServices() {
		if !s.Alive(ctx) {
			return false
		}
	}
	return true
}

// Statistics returns the statistics of all services since the process started; zero without a control socket.
func (n *Node) Statistics() instancestats.Statistics { return n.statistics.Statistics() }

// Status returns the status of each service, sorted by name.
func (n *Node) Status() []Status {
	var statuses []Status
	for _, s := range n.currentServices() {
		status := Status{Status: s.Status()}
		if s.account != nil {
			status.Resources = s.account.usage()
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b Status) int { return strings.Compare(a.Name, b.Name) })
	return statuses
}

// Status is the status of a service and its use of shared resources.
type Status struct {
	service.Status
	Resources *ResourceUsage `json:"parts,omitempty"` // nil if services share nothing
}

// ResourceUsage is a service's use of the resources that the services of a process share (`parts` in the status).
type ResourceUsage struct {
	Descriptors   limits.Usage `json:"descriptors"`
	Requests      limits.Usage `json:"held"`  // requests in flight
	BufferedBytes limits.Usage `json:"bytes"` // buffered request bodies and answers
	Dials         limits.Usage `json:"dials"`
	ModuleTime    float64      `json:"module_time"` // recent processor time of its decision module, in seconds per second
}

// requestCountsOf returns the request counts of a service, which are kept when a reload replaces the service. If there
// are more than maxCountedServices counts, as after many services were added and removed, all counts are dropped. The
// caller holds n.mu, unless n is not yet shared between goroutines.
func (n *Node) requestCountsOf(name string) *service.RequestCounts {
	if n.requestCounts == nil || len(n.requestCounts) > maxCountedServices {
		n.requestCounts = make(map[string]*service.RequestCounts)
	}
	if n.requestCounts[name] == nil {
		n.requestCounts[name] = &service.RequestCounts{}
	}
	return n.requestCounts[name]
}

// RequestCounts returns the request counts of all services, by name; empty without metrics.
func (n *Node) RequestCounts() map[string]*service.RequestCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.requestCounts)
}

// Instance returns this node's index in its replica group and the size of the group.
func (n *Node) Instance() (index, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	settings := n.cfg.Services[0].Settings
	return settings.SelfIndex, settings.GroupSize
}
