package node

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/front"
	"lockflow/internal/limits"
	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

// resourceLimiter hold what services may take of the process.
type resourceLimiter interface {
	clientSockets() limits.ConnectionLimiter
	// openAccount makes the account of a service that is to be; nil where nothing is shared.
	openAccount() *account
	// sockets books a service's connections.
	upstreamSockets(a *account) limits.ConnectionLimiter
	// requestLimiter books what a service's requests hold.
	requestLimiter(a *account) service.RequestLimiter
	// setGuarantees sets the parts of the services of a configuration. It changes nothing where
	// they can't be.
	setGuarantees(cfg *config.Config, services map[string]*runningService) error
}

// exclusiveLimiter are those of one service that has the process to itself.
type exclusiveLimiter struct {
	sockets *limits.SocketLimiter
	bytes   *limits.ByteLimiter
}

// requestMemoryFraction is how much of the process's memory requests may hold with their answers.
const requestMemoryFraction = 0.5

// newExclusiveLimiter makes the books for the process's limits, of which 0 is none.
func newExclusiveLimiter(p *config.Process) *exclusiveLimiter {
	most := int64(math.MaxInt64)
	if p.MemoryMB > 0 {
		most = int64(requestMemoryFraction * float64(p.MemoryMB<<20))
	}
	return &exclusiveLimiter{limits.NewSocketLimiter(p.Descriptors), limits.NewByteLimiter(most)}
}

func (w *exclusiveLimiter) clientSockets() limits.ConnectionLimiter           { return w.sockets.ForClients() }
func (w *exclusiveLimiter) openAccount() *account                             { return nil }
func (w *exclusiveLimiter) upstreamSockets(*account) limits.ConnectionLimiter { return w.sockets }

func (w *exclusiveLimiter) requestLimiter(*account) service.RequestLimiter { return w.bytes }

func (w *exclusiveLimiter) setGuarantees(*config.Config, map[string]*runningService) error {
	return nil
}

// sharedLimiter are those of services that share the process by parts.
type sharedLimiter struct {
	descriptors, slots, bytes, dials *limits.SharedResource
	moduleTime                       *limits.TimeLimiter
	clientDescriptors                *limits.Account
	maxRequestTime                   time.Duration // for which anything lent is kept at most
}

// account is what one service has of all things.
type account struct {
	descriptors      *limits.Account
	dials            *limits.Account
	requests         limits.RequestLimiter
	upstream         atomic.Pointer[upstream.Upstream] // nil until there is a service
	streams          service.Streams
	additionalOwners atomic.Int32 // services that it is of, beside one
}

// retain makes an account one more service's.
func (a *account) retain() *account {
	a.additionalOwners.Add(1)
	return a
}

// makeSharedLimiter makes the books of services that share; a test puts others in its place.
var makeSharedLimiter = func(cfg *config.Config, f *front.Front) resourceLimiter { return newSharedLimiter(cfg, f) }

func newSharedLimiter(cfg *config.Config, f *front.Front) *sharedLimiter {
	b := &sharedLimiter{
		descriptors: limits.NewSharedResource(0), slots: limits.NewSharedResource(0), bytes: limits.NewSharedResource(0),
		dials: limits.NewSharedResource(0), moduleTime: limits.NewTimeLimiter(cfg.Process.Total.ModuleTime),
	}
	b.clientDescriptors = b.descriptors.OpenAccount(f.Evict)
	return b
}

// raiseMaxRequestTime brings the books up to the longest that a request of any service is held; that of
// an earlier configuration may still be, so it never becomes less.
func (b *sharedLimiter) raiseMaxRequestTime(cfg *config.Config) {
	for _, s := range cfg.Services {
		for _, k := range s.Settings.Classes {
			b.maxRequestTime = max(b.maxRequestTime, k.Deadline+front.MaxTimeBeyondDeadline)
		}
	}
	for _, s := range []*limits.SharedResource{b.descriptors, b.slots, b.bytes, b.dials} {
		s.SetMaxLoanTime(b.maxRequestTime)
	}
}

func (b *sharedLimiter) clientSockets() limits.ConnectionLimiter { return b.clientDescriptors }

func (b *sharedLimiter) upstreamSockets(a *account) limits.ConnectionLimiter { return a.descriptors }

func (b *sharedLimiter) requestLimiter(a *account) service.RequestLimiter { return &a.requests }

func (b *sharedLimiter) openAccount() *account {
	a := &account{dials: b.dials.OpenAccount(nil)}
	a.requests = limits.RequestLimiter{Slots: b.slots.OpenAccount(nil), Bytes: b.bytes.OpenAccount(nil), ModuleTime: b.moduleTime, Owner: b.moduleTime.OpenOwner()}
	// What is lent comes back with a request's end at the latest; an answer that streams has none.
	recall := func() { a.streams.CutOverdue() }
	a.requests.Slots.OnRecall(recall)
	a.requests.Bytes.OnRecall(recall)
	a.descriptors = b.descriptors.OpenAccount(func() bool {
		u := a.upstream.Load()
		return u != nil && u.Evict(0)
	})
	return a
}

func (b *sharedLimiter) setGuarantees(cfg *config.Config, services map[string]*runningService) error {
	things := []struct {
		name   string
		shared *limits.SharedResource
		total  int64
		of     func(*account) *limits.Account
		part   func(config.Amounts) int64
	}{
		{
			"descriptors", b.descriptors, cfg.Process.Total.Descriptors, func(a *account) *limits.Account { return a.descriptors },
			func(p config.Amounts) int64 { return p.Descriptors },
		},
		{
			"held", b.slots, cfg.Process.Total.Held, func(a *account) *limits.Account { return a.requests.Slots },
			func(p config.Amounts) int64 { return p.Held },
		},
		{
			"bytes", b.bytes, cfg.Process.Total.Bytes, func(a *account) *limits.Account { return a.requests.Bytes },
			func(p config.Amounts) int64 { return p.Bytes },
		},
		{
			"dials", b.dials, cfg.Process.Total.Dials, func(a *account) *limits.Account { return a.dials },
			func(p config.Amounts) int64 { return p.Dials },
		},
	}
	divisions := make([]map[*limits.Account]int64, len(things))
	for i, thing := range things {
		divisions[i] = make(map[*limits.Account]int64)
		if thing.shared == b.descriptors {
			divisions[i][b.clientDescriptors] = cfg.Process.Clients
		}
		for _, s := range services {
			divisions[i][thing.of(s.account)] = thing.part(s.cfg.Guaranteed)
		}
		sum := int64(0)
		for _, part := range divisions[i] {
			sum += part
		}
		if sum > thing.total { // before anything is changed
			return fmt.Errorf("%s: guaranteed parts of %d, more than %d", thing.name, sum, thing.total)
		}
	}
	for i, thing := range things {
		if err := thing.shared.SetGuarantees(thing.total, divisions[i]); err != nil {
			return fmt.Errorf("%s: %w", thing.name, err)
		}
	}
	b.raiseMaxRequestTime(cfg)
	b.moduleTime.SetTotal(cfg.Process.Total.ModuleTime)
	for _, s := range services {
		b.moduleTime.SetGuaranteed(s.account.requests.Owner, s.cfg.Guaranteed.ModuleTime)
	}
	return nil
}

func (a *account) usage() *ResourceUsage {
	r := &a.requests
	return &ResourceUsage{
		Descriptors: a.descriptors.Usage(), Requests: r.Slots.Usage(), BufferedBytes: r.Bytes.Usage(), Dials: a.dials.Usage(),
		ModuleTime: r.ModuleTime.Used(r.Owner),
	}
}

// chargeModuleTime books the time of a service's module.
func (a *account) chargeModuleTime(took time.Duration) {
	a.requests.ModuleTime.Record(a.requests.Owner, took)
}

// release ends a service's account, once it is no other's too.
func (a *account) release() {
	if a == nil || a.additionalOwners.Add(-1) >= 0 {
		return
	}
	a.descriptors.Close()
	a.dials.Close()
	a.requests.Slots.Close()
	a.requests.Bytes.Close()
	a.requests.ModuleTime.CloseOwner(a.requests.Owner)
}

// requestsInFlight is how many requests a service's account holds.
func (a *account) requestsInFlight() int64 {
	if a == nil {
		return 0
	}
	return a.requests.Slots.Usage().Used
}
