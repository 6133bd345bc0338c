package node

import (
	"fmt"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/front"
	"lockflow/internal/limits"
	"lockflow/internal/service"
)

// resourceLimiter limits the resources that the services of a process use together: descriptors, requests in flight,
// buffered bytes, dials and module time. The limiters that it returns may be used from any goroutine. openAccount and
// setGuarantees are called with Node.mu held, or before the Node is shared between goroutines.
type resourceLimiter interface {
	// clientSockets returns the limiter of client connections.
	clientSockets() limits.ConnectionLimiter
	// openAccount opens the account of a new service. It returns nil if services share nothing.
	openAccount() *account
	// upstreamSockets returns the limiter of a service's connections to its servers.
	upstreamSockets(a *account) limits.ConnectionLimiter
	// requestLimiter returns the limiter of a service's requests in flight and the bytes that they buffer.
	requestLimiter(a *account) service.RequestLimiter
	// reserveForClients gives all descriptors to clients. It is called once no service forwards requests any more.
	reserveForClients()
	// setGuarantees sets the process's totals and each service's guaranteed amounts from a configuration.
	// If it returns an error, nothing has changed.
	setGuarantees(cfg *config.Config, services map[string]*runningService) error
}

// exclusiveLimiter is the resourceLimiter of a process with a single service.
type exclusiveLimiter struct {
	sockets *limits.SocketLimiter
	bytes   *limits.ByteLimiter
}

// newExclusiveLimiter creates a limiter from the limits of the process; a limit of 0 means unlimited.
func newExclusiveLimiter(process *config.Process) *exclusiveLimiter {
	maxBytes := memoryOf(process, requestMemoryFraction)
	return &exclusiveLimiter{limits.NewSocketLimiter(process.Descriptors), limits.NewByteLimiter(maxBytes)}
}

func (e *exclusiveLimiter) clientSockets() limits.ConnectionLimiter { return e.sockets.ForClients() }

func (e *exclusiveLimiter) openAccount() *account { return nil }

func (e *exclusiveLimiter) upstreamSockets(*account) limits.ConnectionLimiter { return e.sockets }

func (e *exclusiveLimiter) requestLimiter(*account) service.RequestLimiter { return e.bytes }

func (e *exclusiveLimiter) reserveForClients() { e.sockets.ReserveForClients() }

func (e *exclusiveLimiter) setGuarantees(*config.Config, map[string]*runningService) error {
	return nil
}

// sharedLimiter is the resourceLimiter of a process with several services. Each service has a guaranteed amount of
// every resource and may borrow what other services leave unused.
type sharedLimiter struct {
	descriptors       *limits.SharedResource
	slots             *limits.SharedResource // one per request in flight
	bytes             *limits.SharedResource
	dials             *limits.SharedResource
	moduleTime        *limits.TimeLimiter
	clientDescriptors *limits.Account
	maxRequestTime    time.Duration // longest time for which a request may keep borrowed resources; never decreases
}

// makeSharedLimiter calls newSharedLimiter. Tests replace it.
var makeSharedLimiter = func(cfg *config.Config, f *front.Front) resourceLimiter { return newSharedLimiter(cfg, f) }

func newSharedLimiter(cfg *config.Config, f *front.Front) *sharedLimiter {
	s := &sharedLimiter{
		descriptors: limits.NewSharedResource(0),
		slots:       limits.NewSharedResource(0),
		bytes:       limits.NewSharedResource(0),
		dials:       limits.NewSharedResource(0),
		moduleTime:  limits.NewTimeLimiter(cfg.Process.Total.ModuleTime),
	}
	s.clientDescriptors = s.descriptors.OpenAccount(f.Evict)
	return s
}

func (s *sharedLimiter) clientSockets() limits.ConnectionLimiter { return s.clientDescriptors }

func (s *sharedLimiter) upstreamSockets(a *account) limits.ConnectionLimiter { return a.descriptors }

func (s *sharedLimiter) reserveForClients() { s.descriptors.GuaranteeAll(s.clientDescriptors) }

func (s *sharedLimiter) requestLimiter(a *account) service.RequestLimiter { return &a.requests }

func (s *sharedLimiter) openAccount() *account {
	a := &account{dials: s.dials.OpenAccount(nil)}
	a.requests = limits.RequestLimiter{
		Slots:      s.slots.OpenAccount(nil),
		Bytes:      s.bytes.OpenAccount(nil),
		ModuleTime: s.moduleTime,
		Owner:      s.moduleTime.OpenOwner(),
	}
	// A request returns borrowed resources when it ends. A streamed answer may go on after its request's deadline, so a
	// recall of resources cuts a stream whose deadline has passed.
	recall := func() { a.streams.CutOverdue() }
	a.requests.Slots.OnRecall(recall)
	a.requests.Bytes.OnRecall(recall)
	a.descriptors = s.descriptors.OpenAccount(func() bool {
		u := a.upstream.Load()
		return u != nil && u.Evict(0)
	})
	return a
}

// guaranteedResource is one shared resource with the total and the guarantees of a configuration.
type guaranteedResource struct {
	name       string // key in the configuration
	resource   *limits.SharedResource
	total      int64
	accountOf  func(*account) *limits.Account
	amountOf   func(config.Amounts) int64
	guarantees map[*limits.Account]int64
}

// guaranteedResources returns the shared resources with their totals; guarantees are not set yet.
func (s *sharedLimiter) guaranteedResources(total config.Amounts) []*guaranteedResource {
	return []*guaranteedResource{
		{
			name:      "descriptors",
			resource:  s.descriptors,
			total:     total.Descriptors,
			accountOf: func(a *account) *limits.Account { return a.descriptors },
			amountOf:  func(amounts config.Amounts) int64 { return amounts.Descriptors },
		},
		{
			name:      "held",
			resource:  s.slots,
			total:     total.Requests,
			accountOf: func(a *account) *limits.Account { return a.requests.Slots },
			amountOf:  func(amounts config.Amounts) int64 { return amounts.Requests },
		},
		{
			name:      "bytes",
			resource:  s.bytes,
			total:     total.Bytes,
			accountOf: func(a *account) *limits.Account { return a.requests.Bytes },
			amountOf:  func(amounts config.Amounts) int64 { return amounts.Bytes },
		},
		{
			name:      "dials",
			resource:  s.dials,
			total:     total.Dials,
			accountOf: func(a *account) *limits.Account { return a.dials },
			amountOf:  func(amounts config.Amounts) int64 { return amounts.Dials },
		},
	}
}

// guarantee fills in the amount guaranteed to each service. It fails if the amounts add up to more than the total.
func (g *guaranteedResource) guarantee(services map[string]*runningService) error {
	for _, service := range services {
		g.guarantees[g.accountOf(service.account)] = g.amountOf(service.cfg.Guaranteed)
	}
	sum := int64(0)
	for _, amount := range g.guarantees {
		sum += amount
	}
	if sum > g.total {
		return fmt.Errorf("%s: guaranteed amounts add up to %d, more than the total of %d", g.name, sum, g.total)
	}
	return nil
}

func (s *sharedLimiter) setGuarantees(cfg *config.Config, services map[string]*runningService) error {
	resources := s.guaranteedResources(cfg.Process.Total)
	for _, r := range resources { // check all resources before any is changed
		r.guarantees = make(map[*limits.Account]int64)
		if r.resource == s.descriptors {
			r.guarantees[s.clientDescriptors] = cfg.Process.ClientDescriptors
		}
		if err := r.guarantee(services); err != nil {
			return err
		}
	}
	for _, r := range resources {
		if err := r.resource.SetGuarantees(r.total, r.guarantees); err != nil {
			return fmt.Errorf("%s: %w", r.name, err)
		}
	}
	s.raiseMaxRequestTime(cfg)
	s.moduleTime.SetTotal(cfg.Process.Total.ModuleTime)
	for _, service := range services {
		s.moduleTime.SetGuaranteed(service.account.requests.Owner, service.cfg.Guaranteed.ModuleTime)
	}
	return nil
}

// raiseMaxRequestTime raises the maximum loan time of the shared resources to the longest request time of any service.
// It never lowers that time, since requests of an earlier configuration may still be in flight.
func (s *sharedLimiter) raiseMaxRequestTime(cfg *config.Config) {
	for _, service := range cfg.Services {
		s.maxRequestTime = max(s.maxRequestTime, maxRequestTime(service))
	}
	for _, resource := range []*limits.SharedResource{s.descriptors, s.slots, s.bytes, s.dials} {
		resource.SetMaxLoanTime(s.maxRequestTime)
	}
}

// maxRequestTime returns the longest time for which a request that a service has accepted may stay in flight.
func maxRequestTime(cfg config.Service) time.Duration {
	longest := time.Duration(0)
	for _, class := range cfg.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest + front.MaxTimeAfterDeadline
}
