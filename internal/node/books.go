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

// books hold what services may take of the process.
type books interface {
	clients() limits.ConnectionLimiter
	// open makes the account of a service that is to be; nil where nothing is shared.
	open() *account
	// sockets books a service's connections.
	socketsOf(a *account) limits.ConnectionLimiter
	// requests books what a service's requests hold.
	requests(a *account) service.RequestLimiter
	// divide sets the parts of the services of a configuration. It changes nothing where
	// they can't be.
	divide(cfg *config.Config, services map[string]*running) error
}

// wholeBooks are those of one service that has the process to itself.
type wholeBooks struct {
	sockets *limits.SocketLimiter
	bytes   *limits.ByteLimiter
}

// heldPart is how much of the process's memory requests may hold with their answers.
const heldPart = 0.5

// newWholeBooks makes the books for the process's limits, of which 0 is none.
func newWholeBooks(p *config.Process) *wholeBooks {
	most := int64(math.MaxInt64)
	if p.MemoryMB > 0 {
		most = int64(heldPart * float64(p.MemoryMB<<20))
	}
	return &wholeBooks{limits.NewSocketLimiter(p.Descriptors), limits.NewByteLimiter(most)}
}

func (w *wholeBooks) clients() limits.ConnectionLimiter                { return w.sockets.ForClients() }
func (w *wholeBooks) open() *account                                   { return nil }
func (w *wholeBooks) socketsOf(*account) limits.ConnectionLimiter      { return w.sockets }
func (w *wholeBooks) requests(*account) service.RequestLimiter         { return w.bytes }
func (w *wholeBooks) divide(*config.Config, map[string]*running) error { return nil }

// sharedBooks are those of services that share the process by parts.
type sharedBooks struct {
	descriptors, held, bytes, dials *limits.SharedResource
	pace                            *limits.TimeLimiter
	client                          *limits.Account
	term                            time.Duration // for which anything lent is kept at most
}

// account is what one service has of all things.
type account struct {
	descriptors *limits.Account
	dials       *limits.Account
	requests    limits.RequestLimiter
	upstream    atomic.Pointer[upstream.Upstream] // nil until there is a service
	streams     service.Streams
	others      atomic.Int32 // services that it is of, beside one
}

// share makes an account one more service's.
func (a *account) share() *account {
	a.others.Add(1)
	return a
}

// shareBooks makes the books of services that share; a test puts others in its place.
var shareBooks = func(cfg *config.Config, f *front.Front) books { return newSharedBooks(cfg, f) }

func newSharedBooks(cfg *config.Config, f *front.Front) *sharedBooks {
	b := &sharedBooks{
		descriptors: limits.NewSharedResource(0), held: limits.NewSharedResource(0), bytes: limits.NewSharedResource(0),
		dials: limits.NewSharedResource(0), pace: limits.NewTimeLimiter(cfg.Process.Total.ModuleTime),
	}
	b.client = b.descriptors.OpenAccount(f.Evict)
	return b
}

// setTerm brings the books up to the longest that a request of any service is held; that of
// an earlier configuration may still be, so it never becomes less.
func (b *sharedBooks) setTerm(cfg *config.Config) {
	for _, s := range cfg.Services {
		for _, k := range s.Settings.Classes {
			b.term = max(b.term, k.Deadline+front.MaxTimeBeyondDeadline)
		}
	}
	for _, s := range []*limits.SharedResource{b.descriptors, b.held, b.bytes, b.dials} {
		s.SetMaxLoanTime(b.term)
	}
}

func (b *sharedBooks) clients() limits.ConnectionLimiter { return b.client }

func (b *sharedBooks) socketsOf(a *account) limits.ConnectionLimiter { return a.descriptors }

func (b *sharedBooks) requests(a *account) service.RequestLimiter { return &a.requests }

func (b *sharedBooks) open() *account {
	a := &account{dials: b.dials.OpenAccount(nil)}
	a.requests = limits.RequestLimiter{Slots: b.held.OpenAccount(nil), Bytes: b.bytes.OpenAccount(nil), ModuleTime: b.pace, Owner: b.pace.OpenOwner()}
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

func (b *sharedBooks) divide(cfg *config.Config, services map[string]*running) error {
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
			"held", b.held, cfg.Process.Total.Held, func(a *account) *limits.Account { return a.requests.Slots },
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
			divisions[i][b.client] = cfg.Process.Clients
		}
		for _, s := range services {
			divisions[i][thing.of(s.parts)] = thing.part(s.cfg.Guaranteed)
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
	b.setTerm(cfg)
	b.pace.SetTotal(cfg.Process.Total.ModuleTime)
	for _, s := range services {
		b.pace.SetGuaranteed(s.parts.requests.Owner, s.cfg.Guaranteed.ModuleTime)
	}
	return nil
}

func (a *account) use() *ResourceUsage {
	r := &a.requests
	return &ResourceUsage{
		Descriptors: a.descriptors.Usage(), Requests: r.Slots.Usage(), BufferedBytes: r.Bytes.Usage(), Dials: a.dials.Usage(),
		ModuleTime: r.ModuleTime.Used(r.Owner),
	}
}

// spent books the time of a service's module.
func (a *account) spent(took time.Duration) { a.requests.ModuleTime.Record(a.requests.Owner, took) }

// close ends a service's account, once it is no other's too.
func (a *account) close() {
	if a == nil || a.others.Add(-1) >= 0 {
		return
	}
	a.descriptors.Close()
	a.dials.Close()
	a.requests.Slots.Close()
	a.requests.Bytes.Close()
	a.requests.ModuleTime.CloseOwner(a.requests.Owner)
}

// held is how many requests a service's account holds.
func (a *account) held() int64 {
	if a == nil {
		return 0
	}
	return a.requests.Slots.Usage().Used
}
