package service

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lockflow/internal/quotalease"
)

// LeaseStore is asked for units of shared ceilings. It is safe for concurrent use.
type LeaseStore interface {
	Call(context.Context, *quotalease.Call) (quotalease.Answer, error)
}

// SharedHardLimits has a service's ceilings lent by counters. The module is told of what they refuse, and holds
// no ceilings of its own.
type SharedHardLimits struct {
	Rules      quotalease.Rules
	ByPlan     map[string]quotalease.Ceiling // by plan
	StoreNames []string                      // of the counters; customers fall to them by these
	Stores     []LeaseStore
}

// HardLimitStatus is what a service has of shared ceilings at one counter.
type HardLimitStatus struct {
	StoreName string `json:"counter"` // its name in the configuration
	quotalease.Status
}

// hardLimiter is the loop's side of Shared. It goes from a service to the one that takes its place.
type hardLimiter struct {
	*SharedHardLimits
	start          time.Time
	holders        []*quotalease.Holder
	lastDecisionID uint64
	undecided      map[uint64]*Exchange // of which the holder has not decided
	callErrors     []error              // why the last call to each counter did
	// hasResigned says that another process is to have the parts.
	hasResigned bool
	keyBuffer   []byte // room for a customer's name
}

func newHardLimiter(o *SharedHardLimits) *hardLimiter {
	if o == nil || len(o.Stores) == 0 || len(o.ByPlan) == 0 {
		return nil
	}
	g := &hardLimiter{SharedHardLimits: o, start: time.Now(), undecided: make(map[uint64]*Exchange), callErrors: make([]error, len(o.Stores))}
	g.resetHolders()
	return g
}

// resetHolders makes holders that have nothing.
func (g *hardLimiter) resetHolders() {
	g.holders = make([]*quotalease.Holder, len(g.Stores))
	for i := range g.holders {
		g.holders[i] = quotalease.NewHolder(g.now(), g.Rules, fmt.Sprintf("%016x", rand.Uint64()))
	}
}

func (g *hardLimiter) now() time.Duration { return time.Since(g.start) }

// storeFor is the counter that a customer falls to, the one whose name and the customer's hash highest
// together, so that a counter more or less moves the fewest; and the customer's name there.
func (g *hardLimiter) storeFor(plan, customer string) (index int, key string) {
	g.keyBuffer = append(append(append(g.keyBuffer[:0], plan...), '/'), customer...)
	n := len(g.keyBuffer)
	var maxSum uint64
	for i := 0; len(g.StoreNames) > 1 && i < len(g.StoreNames); i++ {
		g.keyBuffer = append(g.keyBuffer[:n], g.StoreNames[i]...)
		if sum := xxhash.Sum64(g.keyBuffer); i == 0 || sum > maxSum {
			index, maxSum = i, sum
		}
	}
	return index, g.holders[index].Key(g.keyBuffer[:n])
}

// requestHardLimit has a request's ceiling decide on it, before the module hears of it; false where it has none.
func (l *loop) requestHardLimit(x *Exchange) bool {
	g := l.hardLimiter
	if g == nil || x.Request.IsOverCapacity {
		return false
	}
	c, ok := g.ByPlan[x.Request.Plan]
	if !ok {
		return false
	}
	g.lastDecisionID++
	g.undecided[g.lastDecisionID] = x
	i, key := g.storeFor(x.Request.Plan, x.Request.Customer)
	x.charge = hardLimitCharge{store: i, key: key, units: x.Request.Units}
	l.applyLeaseActions(i, g.holders[i].Ask(g.now(), g.lastDecisionID, key, c, x.Request.Units))
	return true
}

// hardLimitCharge is what of a shared ceiling a request may spend.
type hardLimitCharge struct {
	store           int // number of the counter
	key             string
	units           float64
	refundableUntil time.Duration // by the ledger's clock; 0 is nothing that can be given back
}

// applyLeaseActions does what a holder wants done.
func (l *loop) applyLeaseActions(i int, todo []quotalease.Action) {
	g := l.hardLimiter
	for _, a := range todo {
		if a.Kind == quotalease.Send {
			q, c := a.Call, g.Stores[i]
			go func() {
				r, err := c.Call(l.lifetime, q)
				l.post(func() { l.leaseStoreAnswered(g, i, r, err) })
			}()
			continue
		}
		x := g.undecided[a.ID]
		delete(g.undecided, a.ID)
		switch {
		case x == nil: // another service has it
			continue
		case x.isAnswered: // its client has left
			if a.Kind == quotalease.Let {
				g.holders[i].Refund(g.now(), x.charge.key, x.charge.units, a.Until)
			}
			continue
		case a.Kind == quotalease.Let:
			x.charge.refundableUntil = a.Until
		default:
			x.Request.IsOverHardLimit = true
		}
		l.submit(x)
	}
}

// leaseStoreAnswered takes a counter's answer. One to a ledger that another service has by now comes too late.
func (l *loop) leaseStoreAnswered(g *hardLimiter, i int, r quotalease.Answer, err error) {
	if l.hardLimiter != g {
		return
	}
	if err == nil {
		if g.callErrors[i] != nil {
			l.log.Info("counter: it answers again", "counter", g.StoreNames[i])
		}
		g.callErrors[i] = nil
		l.applyLeaseActions(i, g.holders[i].Answered(g.now(), r))
		return
	}
	if g.callErrors[i] == nil {
		l.log.Warn("counter: a call failed", "counter", g.StoreNames[i], "err", err)
	}
	g.callErrors[i] = err
	l.applyLeaseActions(i, g.holders[i].Lost(g.now()))
}

// tickLeaseHolders has the holders do what is due by time, until the service ends.
func (s *Service) tickLeaseHolders(ctx context.Context) {
	t := time.NewTicker(quotalease.TickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		l := s.currentLoop()
		l.post(func() {
			if g := l.hardLimiter; g != nil {
				for i, h := range g.holders {
					l.applyLeaseActions(i, h.Tick(g.now()))
				}
			}
		})
	}
}

// refundUnsent gives back what a request was lent that was never sent, nor will be.
func (l *loop) refundUnsent(x *Exchange) {
	if g := l.hardLimiter; g != nil && x.charge.refundableUntil > 0 && x.isUnwritten() {
		g.holders[x.charge.store].Refund(g.now(), x.charge.key, x.charge.units, x.charge.refundableUntil)
	}
	x.charge.refundableUntil = 0
}

// detachHardLimiter takes the ledger from a loop whose place another takes. Requests on which it has not
// decided go to that one, or are answered as unheard of.
func (l *loop) detachHardLimiter(next *Service, unheard Answer) *hardLimiter {
	g := l.hardLimiter
	if l.hardLimiter = nil; g == nil {
		return nil
	}
	for id, x := range g.undecided {
		delete(g.undecided, id)
		if !x.isAnswered && next.accepts(x, l.classes) {
			delete(l.exchanges, x.Request.ID)
			x.unretain()
			x.answer <- Answer{replacement: next} // from here on it is another loop's
			continue
		}
		l.answerUnserved(x, unheard)
	}
	return g
}

// adoptHardLimiter has a loop go on with the ledger of the one whose place it takes, where it is divided by the
// same rules at the same counters, if over another number of instances; else that one's parts are let
// go of, and this one's begin with nothing.
func (l *loop) adoptHardLimiter(g *hardLimiter) {
	if g == nil || l.hardLimiter == nil || !slices.Equal(g.StoreNames, l.hardLimiter.StoreNames) {
		return
	}
	old, new := g.Rules, l.hardLimiter.Rules
	if old.Instances = new.Instances; old != new {
		return
	}
	for _, h := range g.holders {
		h.Resize(g.now(), new.Instances)
	}
	g.SharedHardLimits = l.hardLimiter.SharedHardLimits // ceilings may be others
	l.hardLimiter = g
}

// resignLeases has the ledger spend no more of its own parts, for another process that is to have them.
func (l *loop) resignLeases() {
	if l.hardLimiter != nil {
		l.hardLimiter.hasResigned = true
		for _, h := range l.hardLimiter.holders {
			h.Resign()
		}
	}
}

// reclaimLeases has a ledger that resigned begin anew, as the process that was to have its parts has ended:
// those may not have. What waited for units is turned away.
func (l *loop) reclaimLeases() {
	g := l.hardLimiter
	if g == nil || !g.hasResigned {
		return
	}
	g.hasResigned = false
	g.resetHolders()
	for id, x := range g.undecided {
		if delete(g.undecided, id); !x.isAnswered {
			x.Request.IsOverHardLimit = true
			l.submit(x)
		}
	}
}

// hardLimitStatus is for Status.
func (l *loop) hardLimitStatus() (all []HardLimitStatus) {
	if g := l.hardLimiter; g != nil {
		for i, h := range g.holders {
			s := HardLimitStatus{StoreName: g.StoreNames[i], Status: h.Status(g.now())}
			all = append(all, s)
		}
	}
	return all
}
