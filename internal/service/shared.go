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

// ledger is the loop's side of Shared. It goes from a service to the one that takes its place.
type ledger struct {
	*SharedHardLimits
	start   time.Time
	holders []*quotalease.Holder
	next    uint64
	asked   map[uint64]*Exchange // of which the holder has not decided
	failed  []error              // why the last call to each counter did
	// resigned says that another process is to have the parts.
	resigned bool
	name     []byte // room for a customer's name
}

func newLedger(o *SharedHardLimits) *ledger {
	if o == nil || len(o.Stores) == 0 || len(o.ByPlan) == 0 {
		return nil
	}
	g := &ledger{SharedHardLimits: o, start: time.Now(), asked: make(map[uint64]*Exchange), failed: make([]error, len(o.Stores))}
	g.begin()
	return g
}

// begin makes holders that have nothing.
func (g *ledger) begin() {
	g.holders = make([]*quotalease.Holder, len(g.Stores))
	for i := range g.holders {
		g.holders[i] = quotalease.NewHolder(g.now(), g.Rules, fmt.Sprintf("%016x", rand.Uint64()))
	}
}

func (g *ledger) now() time.Duration { return time.Since(g.start) }

// of is the counter that a customer falls to, the one whose name and the customer's hash highest
// together, so that a counter more or less moves the fewest; and the customer's name there.
func (g *ledger) of(plan, customer string) (best int, key string) {
	g.name = append(append(append(g.name[:0], plan...), '/'), customer...)
	n := len(g.name)
	var most uint64
	for i := 0; len(g.StoreNames) > 1 && i < len(g.StoreNames); i++ {
		g.name = append(g.name[:n], g.StoreNames[i]...)
		if sum := xxhash.Sum64(g.name); i == 0 || sum > most {
			best, most = i, sum
		}
	}
	return best, g.holders[best].Key(g.name[:n])
}

// ask has a request's ceiling decide on it, before the module hears of it; false where it has none.
func (l *loop) ask(x *Exchange) bool {
	g := l.ledger
	if g == nil || x.Request.NoRoom {
		return false
	}
	c, ok := g.ByPlan[x.Request.Plan]
	if !ok {
		return false
	}
	g.next++
	g.asked[g.next] = x
	i, key := g.of(x.Request.Plan, x.Request.Customer)
	x.lent = lent{at: i, key: key, units: x.Request.Units}
	l.share(i, g.holders[i].Ask(g.now(), g.next, key, c, x.Request.Units))
	return true
}

// lent is what of a shared ceiling a request may spend.
type lent struct {
	at    int // number of the counter
	key   string
	units float64
	until time.Duration // by the ledger's clock; 0 is nothing that can be given back
}

// share does what a holder wants done.
func (l *loop) share(i int, todo []quotalease.Action) {
	g := l.ledger
	for _, a := range todo {
		if a.Kind == quotalease.Send {
			q, c := a.Call, g.Stores[i]
			go func() {
				r, err := c.Call(l.life, q)
				l.post(func() { l.heard(g, i, r, err) })
			}()
			continue
		}
		x := g.asked[a.ID]
		delete(g.asked, a.ID)
		switch {
		case x == nil: // another service has it
			continue
		case x.done: // its client has left
			if a.Kind == quotalease.Let {
				g.holders[i].Refund(g.now(), x.lent.key, x.lent.units, a.Until)
			}
			continue
		case a.Kind == quotalease.Let:
			x.lent.until = a.Until
		default:
			x.Request.Over = true
		}
		l.tell(x)
	}
}

// heard takes a counter's answer. One to a ledger that another service has by now comes too late.
func (l *loop) heard(g *ledger, i int, r quotalease.Answer, err error) {
	if l.ledger != g {
		return
	}
	if err == nil {
		if g.failed[i] != nil {
			l.log.Info("counter: it answers again", "counter", g.StoreNames[i])
		}
		g.failed[i] = nil
		l.share(i, g.holders[i].Answered(g.now(), r))
		return
	}
	if g.failed[i] == nil {
		l.log.Warn("counter: a call failed", "counter", g.StoreNames[i], "err", err)
	}
	g.failed[i] = err
	l.share(i, g.holders[i].Lost(g.now()))
}

// ticks has the holders do what is due by time, until the service ends.
func (s *Service) ticks(ctx context.Context) {
	t := time.NewTicker(quotalease.TickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		l := s.current()
		l.post(func() {
			if g := l.ledger; g != nil {
				for i, h := range g.holders {
					l.share(i, h.Tick(g.now()))
				}
			}
		})
	}
}

// unspent gives back what a request was lent that was never sent, nor will be.
func (l *loop) unspent(x *Exchange) {
	if g := l.ledger; g != nil && x.lent.until > 0 && x.unwritten() {
		g.holders[x.lent.at].Refund(g.now(), x.lent.key, x.lent.units, x.lent.until)
	}
	x.lent.until = 0
}

// leave takes the ledger from a loop whose place another takes. Requests on which it has not
// decided go to that one, or are answered as unheard of.
func (l *loop) leave(next *Service, unheard Answer) *ledger {
	g := l.ledger
	if l.ledger = nil; g == nil {
		return nil
	}
	for id, x := range g.asked {
		delete(g.asked, id)
		if !x.done && next.takes(x, l.classes) {
			delete(l.exchanges, x.Request.ID)
			x.drop()
			x.answer <- Answer{next: next} // from here on it is another loop's
			continue
		}
		l.giveUp(x, unheard)
	}
	return g
}

// takeOver has a loop go on with the ledger of the one whose place it takes, where it is divided by the
// same rules at the same counters, if over another number of instances; else that one's parts are let
// go of, and this one's begin with nothing.
func (l *loop) takeOver(g *ledger) {
	if g == nil || l.ledger == nil || !slices.Equal(g.StoreNames, l.ledger.StoreNames) {
		return
	}
	old, new := g.Rules, l.ledger.Rules
	if old.Instances = new.Instances; old != new {
		return
	}
	for _, h := range g.holders {
		h.Resize(g.now(), new.Instances)
	}
	g.SharedHardLimits = l.ledger.SharedHardLimits // ceilings may be others
	l.ledger = g
}

// resign has the ledger spend no more of its own parts, for another process that is to have them.
func (l *loop) resign() {
	if l.ledger != nil {
		l.ledger.resigned = true
		for _, h := range l.ledger.holders {
			h.Resign()
		}
	}
}

// unresign has a ledger that resigned begin anew, as the process that was to have its parts has ended:
// those may not have. What waited for units is turned away.
func (l *loop) unresign() {
	g := l.ledger
	if g == nil || !g.resigned {
		return
	}
	g.resigned = false
	g.begin()
	for id, x := range g.asked {
		if delete(g.asked, id); !x.done {
			x.Request.Over = true
			l.tell(x)
		}
	}
}

// shared is for Status.
func (l *loop) shared() (all []HardLimitStatus) {
	if g := l.ledger; g != nil {
		for i, h := range g.holders {
			s := HardLimitStatus{StoreName: g.StoreNames[i], Status: h.Status(g.now())}
			all = append(all, s)
		}
	}
	return all
}
