package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

func ceilingSettings() Settings {
	settings := settings()
	settings.GroupSize, settings.MeterPeriod = 1, 0
	p := &settings.Plans[0]
	p.QuotaRate, p.QuotaBurst, p.HardLimitRate, p.HardLimitBurst, p.HardLimitSlack = 0, 0, 30, 60, 6
	return settings
}

// chain is a line of controllers, each of which took over from the one before, and the customer
// "x" of the plan low that sends through all that have not ended.
type chain struct {
	t    *testing.T
	set  Settings
	rng  *rand.Rand
	live []*gate
	sent []time.Duration // of each unit
	out  []reply
	n    int
}

type reply struct {
	g  *gate
	id string
	at time.Duration
}

func (c *chain) newest() *gate { return c.live[len(c.live)-1] }

func (c *chain) gate(now time.Duration) *gate {
	gateway := newGate(c.t, c.set, on(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20)...)
	gateway.now = now
	return gateway
}

// over hands over to a new controller; with give below 1 the old one goes on beside it.
func (c *chain) over(give float64) {
	old := c.newest()
	next := c.gate(old.now)
	next.c.Restore(next.now, old.c.HandOver(old.now, give), TrustAll)
	c.live = append(c.live, next)
}

// alone ends all but the newest.
func (c *chain) alone() {
	for _, r := range c.out {
		if r.g != c.newest() {
			r.g.now = c.newest().now
			r.g.reply(r.id, OK, 0)
		}
	}
	var kept []reply
	for _, r := range c.out {
		if r.g == c.newest() {
			kept = append(kept, r)
		}
	}
	rest := c.live[0].c.HandOver(c.newest().now, 1)
	c.out, c.live = kept, c.live[len(c.live)-1:]
	c.newest().c.ReclaimRates(c.newest().now, &rest)
}

// step lets a millisecond pass, in which the customer asks with the given chance.
func (c *chain) step(asks float64) {
	now := c.newest().now + ms
	for i := 0; i < len(c.out); i++ {
		if r := c.out[i]; r.at <= now {
			c.out = append(c.out[:i], c.out[i+1:]...)
			r.g.now = max(r.g.now, r.at)
			r.g.reply(r.id, OK, 0)
			i--
		}
	}
	for _, gateway := range c.live {
		gateway.pass(now - gateway.now)
	}
	if c.rng.Float64() < asks {
		c.n++
		gateway, id := c.live[c.rng.IntN(len(c.live))], fmt.Sprint("r", c.n)
		gateway.do(Request{ID: id, Class: "job", Plan: "low", Customer: "x", Timeout: 5 * time.Second, Units: 1, FanOut: 1})
		if gateway.n[id] > 0 {
			c.sent = append(c.sent, now)
			c.out = append(c.out, reply{gateway, id, now + time.Duration(1+c.rng.IntN(40))*ms})
		}
	}
}

// most is the largest excess of what was sent over a store that fills from start on.
func (c *chain) most(start time.Duration, rate, burst float64) float64 {
	worst, level := math.Inf(-1), 0.0
	last := start
	for _, at := range c.sent {
		level = math.Min(burst, level+(at-last).Seconds()*rate) - 1
		worst, last = math.Max(worst, -level), at
	}
	return worst
}

// However often what was spent changes hands, whole or by halves, the ceiling is neither opened
// anew nor is what is due refused.
func TestCeilingOverManyHandOvers(t *testing.T) {
	for seed := range uint64(40) {
		c := &chain{t: t, set: ceilingSettings(), rng: rand.New(rand.NewPCG(seed, 4))}
		c.live = []*gate{c.gate(time.Hour)}
		whole := seed%2 == 0 // each a reload; else an upgrade, with both serving for a while
		start := c.newest().now
		for i := range 4000 {
			c.step([]float64{0.2, 0.2, 0, 0.02}[i/500%4]) // bursts, and pauses in which the store fills
			switch {
			case i%150 != 149:
			case len(c.live) > 1:
				c.alone()
			case whole:
				c.over(1)
				c.alone()
			default:
				c.over(0.5)
			}
		}
		if over := c.most(start, 30, 60); over > initialSlackFraction*6+1 {
			t.Errorf("seed %d: %.1f units beyond the ceiling", seed, over)
		}
		one := &chain{t: t, set: c.set, rng: rand.New(rand.NewPCG(seed, 4))} // that never hands over
		one.live = []*gate{one.gate(time.Hour)}
		for i := range 4000 {
			one.step([]float64{0.2, 0.2, 0, 0.02}[i/500%4])
		}
		if part := float64(len(c.sent)) / float64(len(one.sent)); part < 0.97 {
			t.Errorf("seed %d: %d units, %d without hand-over", seed, len(c.sent), len(one.sent))
		}
	}
}

// A plan whose figures change in the middle of a burst: what was spent stays spent, and what the
// new figures give beyond it is there.
func TestPlanChangesOverAHandOver(t *testing.T) {
	for name, tc := range map[string]struct {
		burst, depth          float64
		wantCeiling, wantLeft float64 // after 40 of 60 and of 100 were spent
	}{
		"the same":  {60, 100, 20, 60},
		"more":      {90, 150, 50, 110},
		"less":      {50, 50, 10, 10},
		"far less":  {30, 30, -10, -10},
		"no quota":  {60, 0, 20, 0},
		"none left": {40, 40, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			settings := ceilingSettings()
			settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 10, 100
			a := newGate(t, settings, on(1, 2)...)
			account := a.c.accountFor(a.c.plansByName["low"], "x", 1)
			account.quota.tokens, account.hardLimit.tokens = 60, 20
			settings.Plans = append([]Plan{}, settings.Plans...)
			settings.Plans[0].HardLimitBurst, settings.Plans[0].QuotaBurst = tc.burst, tc.depth
			b := newGate(t, settings, on(1, 2)...)
			b.now = a.now
			b.c.Restore(b.now, a.c.HandOver(a.now, 1), TrustAll)
			got := b.c.accounts["low x"]
			if got.hardLimit.tokens != tc.wantCeiling || got.quota.tokens != tc.wantLeft {
				t.Errorf("ceiling %g, level %g", got.hardLimit.tokens, got.quota.tokens)
			}
			if account.hardLimit.tokens != 0 || account.quota.tokens != 0 {
				t.Errorf("the old one keeps %g and %g", account.hardLimit.tokens, account.quota.tokens)
			}
		})
	}
}

// What a reload must not lose: bound, latencies, who is aside, the meter's lateness, shares.
func TestWhatWasLearnedGoesOn(t *testing.T) {
	settings := settings()
	a := newGate(t, settings, on(1, 2, 3)...)
	a.c.limiter.limit, a.c.fleet.latency.mean, a.c.meter.lagBins, a.c.meter.phaseBin = 37, 0.25, 12, 3
	a.c.plans[0].share, a.c.plans[1].share = 0.25, 0.75
	bad := a.c.servers[2]
	bad.latency.seconds, bad.latency.updatedAt, bad.outlier.consecutiveFailures, bad.outlier.ejectedUntil = 3, a.now, ejectionFailures, a.now+time.Second
	checkpoint := a.c.HandOver(a.now, 1)
	checkpoint.Servers = append(checkpoint.Servers, ServerCheckpoint{Server: 99}) // is not listed any more
	b := newGate(t, settings, append(on(1, 2), Endpoint{Server: 3, HasStartedAt: true, StartedAt: a.now})...)
	b.now = a.now
	b.c.Restore(b.now, checkpoint, TrustAll)
	if b.c.fleet.latency.mean != 0.25 || b.c.meter.lagBins != 12 || b.c.meter.phaseBin != 3 || b.c.plans[1].share != 0.75 {
		t.Errorf("latency %g, lag %d, shares %g", b.c.fleet.latency.mean, b.c.meter.lagBins, b.c.plans[1].share)
	}
	if b.c.limiter.limit < 37*0.7 || b.c.limiter.limit > 37 {
		t.Errorf("a bound of %g", b.c.limiter.limit)
	}
	if !b.c.servers[2].outlier.isEjected(b.c.now) || b.c.servers[3].latency.seconds != 0 {
		t.Error("the servers are not as they were")
	}
	old := checkpoint
	old.At -= time.Hour
	d := newGate(t, settings, on(1, 2, 3)...)
	first := d.c.limiter.limit
	d.c.Restore(a.now, old, TrustAll)
	if math.Abs(d.c.limiter.limit-first) > 0.01 {
		t.Errorf("a bound of %g by what is an hour old, not %g", d.c.limiter.limit, first)
	}
}

// Reloads that come faster than an interval ends don't keep the bound from growing.
func TestBoundGrowsOverManyHandOvers(t *testing.T) {
	c := &chain{t: t, set: ceilingSettings(), rng: rand.New(rand.NewPCG(1, 4))}
	c.set.Plans = []Plan{{Name: "low", Price: 1}}
	c.live = []*gate{c.gate(time.Hour)}
	first := c.newest().c.limiter.limit
	for i := range 6000 {
		c.step(1)
		if i%150 == 149 {
			c.over(1)
			c.alone()
		}
	}
	if got := c.newest().c.limiter.limit; got <= first {
		t.Errorf("a bound of %g, at first %g", got, first)
	}
}

// After a crash nothing is known of what was spent last: a ceiling's store begins empty.
func TestCrashStartsCarefully(t *testing.T) {
	a := newGate(t, ceilingSettings(), on(1, 2, 3, 4, 5, 6, 7, 8)...)
	a.c.accountFor(a.c.plansByName["low"], "x", 1).hardLimit.tokens = 60
	checkpoint := a.c.Checkpoint(a.now)
	for _, customer := range []string{"x", "never seen"} {
		b := newGate(t, ceilingSettings(), on(1, 2, 3, 4, 5, 6, 7, 8)...)
		b.now = a.now
		b.c.Restore(b.now, checkpoint, TrustEstimates)
		for i := range 50 {
			b.do(Request{ID: fmt.Sprint("r", i), Class: "job", Plan: "low", Customer: customer, Timeout: 5 * time.Second, Units: 1, FanOut: 1})
		}
		if len(b.sends) > 0 {
			t.Errorf("%s: %d units at once", customer, len(b.sends))
		}
	}
}

// What can't be used changes nothing.
func TestRestoreOfWhatIsOff(t *testing.T) {
	settings := ceilingSettings()
	a := newGate(t, settings, on(1, 2)...)
	a.c.accountFor(a.c.plansByName["low"], "x", 1)
	for name, spoil := range map[string]func(*Checkpoint){
		"version":   func(c *Checkpoint) { c.Version++ },
		"no number": func(c *Checkpoint) { c.Customers[0].QuotaTokens = math.NaN() },
		"infinite":  func(c *Checkpoint) { c.ConcurrencyLimit = math.Inf(1) },
	} {
		c := a.c.Checkpoint(a.now)
		spoil(&c)
		b, same := newGate(t, settings, on(1, 2)...), newGate(t, settings, on(1, 2)...)
		b.c.Restore(b.now, c, TrustAll)
		if !reflect.DeepEqual(b.c.accounts, same.c.accounts) || b.c.limiter.limit != same.c.limiter.limit {
			t.Errorf("%s: it was taken over", name)
		}
	}
}
