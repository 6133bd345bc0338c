package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// handOverChain is a line of controllers, each of which took over from the one before, and the customer
// "x" of the plan low that sends through all that have not ended.
type handOverChain struct {
	t        *testing.T
	set      Settings
	rng      *rand.Rand
	gateways []*testGateway
	sent     []time.Duration // of each unit
	inFlight []reply
	requests int
}

type reply struct {
	g  *testGateway
	id string
	at time.Duration
}

func (c *handOverChain) newest() *testGateway { return c.gateways[len(c.gateways)-1] }

func (c *handOverChain) newGateway(now time.Duration) *testGateway {
	gateway := newTestGateway(c.t, c.set, activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20)...)
	gateway.now = now
	return gateway
}

// handOver hands over to a new controller; with give below 1 the old one goes on beside it.
func (c *handOverChain) handOver(give float64) {
	old := c.newest()
	next := c.newGateway(old.now)
	next.c.Restore(next.now, old.c.HandOver(old.now, give), TrustAll)
	c.gateways = append(c.gateways, next)
}

// endPredecessors ends all but the newest.
func (c *handOverChain) endPredecessors() {
	for _, r := range c.inFlight {
		if r.g != c.newest() {
			r.g.now = c.newest().now
			r.g.respond(r.id, OK, 0)
		}
	}
	var kept []reply
	for _, r := range c.inFlight {
		if r.g == c.newest() {
			kept = append(kept, r)
		}
	}
	rest := c.gateways[0].c.HandOver(c.newest().now, 1)
	c.inFlight, c.gateways = kept, c.gateways[len(c.gateways)-1:]
	c.newest().c.ReclaimRates(c.newest().now, &rest)
}

// step lets a millisecond pass, in which the customer asks with the given chance.
func (c *handOverChain) step(asks float64) {
	now := c.newest().now + ms
	for i := 0; i < len(c.inFlight); i++ {
		if r := c.inFlight[i]; r.at <= now {
			c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
			r.g.now = max(r.g.now, r.at)
			r.g.respond(r.id, OK, 0)
			i--
		}
	}
	for _, gateway := range c.gateways {
		gateway.advance(now - gateway.now)
	}
	if c.rng.Float64() < asks {
		c.requests++
		gateway, id := c.gateways[c.rng.IntN(len(c.gateways))], fmt.Sprint("r", c.requests)
		gateway.handle(Request{ID: id, Class: "job", Plan: "low", Customer: "x", Timeout: 5 * time.Second, Units: 1, FanOut: 1})
		if gateway.attempts[id] > 0 {
			c.sent = append(c.sent, now)
			c.inFlight = append(c.inFlight, reply{gateway, id, now + time.Duration(1+c.rng.IntN(40))*ms})
		}
	}
}

// maxExcess is the largest excess of what was sent over a store that fills from start on.
func (c *handOverChain) maxExcess(start time.Duration, rate, burst float64) float64 {
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
func TestHardLimitHoldsOverManyHandOvers(t *testing.T) {
	for seed := range uint64(40) {
		c := &handOverChain{t: t, set: hardLimitSettings(), rng: rand.New(rand.NewPCG(seed, 4))}
		c.gateways = []*testGateway{c.newGateway(time.Hour)}
		whole := seed%2 == 0 // each a reload; else an upgrade, with both serving for a while
		start := c.newest().now
		for i := range 4000 {
			c.step([]float64{0.2, 0.2, 0, 0.02}[i/500%4]) // bursts, and pauses in which the store fills
			switch {
			case i%150 != 149:
			case len(c.gateways) > 1:
				c.endPredecessors()
			case whole:
				c.handOver(1)
				c.endPredecessors()
			default:
				c.handOver(0.5)
			}
		}
		if over := c.maxExcess(start, 30, 60); over > initialSlackFraction*6+1 {
			t.Errorf("seed %d: %.1f units beyond the ceiling", seed, over)
		}
		one := &handOverChain{t: t, set: c.set, rng: rand.New(rand.NewPCG(seed, 4))} // that never hands over
		one.gateways = []*testGateway{one.newGateway(time.Hour)}
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
func TestHandOverToChangedPlanKeepsWhatWasSpent(t *testing.T) {
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
			settings := hardLimitSettings()
			settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 10, 100
			a := newTestGateway(t, settings, activeEndpoints(1, 2)...)
			account := a.c.accountFor(a.c.plansByName["low"], "x", 1)
			account.quota.tokens, account.hardLimit.tokens = 60, 20
			settings.Plans = append([]Plan{}, settings.Plans...)
			settings.Plans[0].HardLimitBurst, settings.Plans[0].QuotaBurst = tc.burst, tc.depth
			b := newTestGateway(t, settings, activeEndpoints(1, 2)...)
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
func TestEstimatesSurviveAHandOver(t *testing.T) {
	settings := testSettings()
	a := newTestGateway(t, settings, activeEndpoints(1, 2, 3)...)
	a.c.limiter.limit, a.c.fleet.latency.mean, a.c.meter.lagBins, a.c.meter.phaseBin = 37, 0.25, 12, 3
	a.c.plans[0].share, a.c.plans[1].share = 0.25, 0.75
	bad := a.c.servers[2]
	bad.latency.seconds, bad.latency.updatedAt, bad.outlier.consecutiveFailures, bad.outlier.ejectedUntil = 3, a.now, ejectionFailures, a.now+time.Second
	checkpoint := a.c.HandOver(a.now, 1)
	checkpoint.Servers = append(checkpoint.Servers, ServerCheckpoint{Server: 99}) // is not listed any more
	b := newTestGateway(t, settings, append(activeEndpoints(1, 2), Endpoint{Server: 3, HasStartedAt: true, StartedAt: a.now})...)
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
	d := newTestGateway(t, settings, activeEndpoints(1, 2, 3)...)
	first := d.c.limiter.limit
	d.c.Restore(a.now, old, TrustAll)
	if math.Abs(d.c.limiter.limit-first) > 0.01 {
		t.Errorf("a bound of %g by what is an hour old, not %g", d.c.limiter.limit, first)
	}
}

// Reloads that come faster than an interval ends don't keep the bound from growing.
func TestConcurrencyLimitGrowsOverManyHandOvers(t *testing.T) {
	c := &handOverChain{t: t, set: hardLimitSettings(), rng: rand.New(rand.NewPCG(1, 4))}
	c.set.Plans = []Plan{{Name: "low", Price: 1}}
	c.gateways = []*testGateway{c.newGateway(time.Hour)}
	first := c.newest().c.limiter.limit
	for i := range 6000 {
		c.step(1)
		if i%150 == 149 {
			c.handOver(1)
			c.endPredecessors()
		}
	}
	if got := c.newest().c.limiter.limit; got <= first {
		t.Errorf("a bound of %g, at first %g", got, first)
	}
}
