package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// handOverChain is a sequence of gateways, each of which was handed over the state of the one before, and a customer "x"
// of the plan low that sends requests to all gateways that have not ended.
type handOverChain struct {
	t        *testing.T
	settings Settings
	rng      *rand.Rand
	gateways []*testGateway
	sent     []time.Duration // time at which each unit was sent
	inFlight []pendingReply
	requests int
}

type pendingReply struct {
	gateway *testGateway
	id      string
	at      time.Duration
}

func (c *handOverChain) newest() *testGateway { return c.gateways[len(c.gateways)-1] }

func (c *handOverChain) newGateway(now time.Duration) *testGateway {
	gateway := newTestGateway(c.t, c.settings, activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20)...)
	gateway.now = now
	return gateway
}

// handOver hands over a fraction to a new gateway. With a fraction below 1 the old gateway continues to serve beside it.
func (c *handOverChain) handOver(fraction float64) {
	old := c.newest()
	next := c.newGateway(old.now)
	next.controller.Restore(next.now, old.controller.HandOver(old.now, fraction), TrustAll)
	c.gateways = append(c.gateways, next)
}

// endPredecessors ends all gateways except the newest.
func (c *handOverChain) endPredecessors() {
	for _, pending := range c.inFlight {
		if pending.gateway != c.newest() {
			pending.gateway.now = c.newest().now
			pending.gateway.respond(pending.id, OK, 0)
		}
	}
	var remaining []pendingReply
	for _, pending := range c.inFlight {
		if pending.gateway == c.newest() {
			remaining = append(remaining, pending)
		}
	}
	rest := c.gateways[0].controller.HandOver(c.newest().now, 1)
	c.inFlight = remaining
	c.gateways = c.gateways[len(c.gateways)-1:]
	c.newest().controller.ReclaimRates(c.newest().now, &rest)
}

// step advances time by a millisecond, in which the customer sends a request with the given probability.
func (c *handOverChain) step(probability float64) {
	now := c.newest().now + ms
	for i := 0; i < len(c.inFlight); i++ {
		if pending := c.inFlight[i]; pending.at <= now {
			c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
			pending.gateway.now = max(pending.gateway.now, pending.at)
			pending.gateway.respond(pending.id, OK, 0)
			i--
		}
	}
	for _, gateway := range c.gateways {
		gateway.advance(now - gateway.now)
	}
	if c.rng.Float64() < probability {
		c.requests++
		gateway, id := c.gateways[c.rng.IntN(len(c.gateways))], fmt.Sprint("r", c.requests)
		gateway.handle(Request{ID: id, Class: "job", Plan: "low", Customer: "x", Timeout: 5 * time.Second, Units: 1, FanOut: 1})
		if gateway.attempts[id] > 0 {
			c.sent = append(c.sent, now)
			c.inFlight = append(c.inFlight, pendingReply{gateway, id, now + time.Duration(1+c.rng.IntN(40))*ms})
		}
	}
}

// maxExcess returns the maximum excess of the sent units over a bucket that is empty at start.
func (c *handOverChain) maxExcess(start time.Duration, rate, burst float64) float64 {
	worst, tokens := math.Inf(-1), 0.0
	last := start
	for _, at := range c.sent {
		tokens = math.Min(burst, tokens+(at-last).Seconds()*rate) - 1
		worst = math.Max(worst, -tokens)
		last = at
	}
	return worst
}

// Any number of hand-overs, complete or by halves, must neither exceed the hard limit nor reject requests within it.
func TestHardLimitHoldsOverManyHandOvers(t *testing.T) {
	for seed := range uint64(40) {
		chain := &handOverChain{t: t, settings: hardLimitSettings(), rng: rand.New(rand.NewPCG(seed, 4))}
		chain.gateways = []*testGateway{chain.newGateway(time.Hour)}
		isReload := seed%2 == 0 // a complete hand-over; else an upgrade, in which both serve for a while
		start := chain.newest().now
		for i := range 4000 {
			chain.step([]float64{0.2, 0.2, 0, 0.02}[i/500%4]) // bursts, and pauses in which the bucket is refilled
			switch {
			case i%150 != 149:
			case len(chain.gateways) > 1:
				chain.endPredecessors()
			case isReload:
				chain.handOver(1)
				chain.endPredecessors()
			default:
				chain.handOver(0.5)
			}
		}
		if excess := chain.maxExcess(start, 30, 60); excess > initialSlackFraction*6+1 {
			t.Errorf("seed %d: customer exceeded the hard limit by %.1f units", seed, excess)
		}
		reference := &handOverChain{t: t, settings: chain.settings, rng: rand.New(rand.NewPCG(seed, 4))} // without hand-overs
		reference.gateways = []*testGateway{reference.newGateway(time.Hour)}
		for i := range 4000 {
			reference.step([]float64{0.2, 0.2, 0, 0.02}[i/500%4])
		}
		if fraction := float64(len(chain.sent)) / float64(len(reference.sent)); fraction < 0.97 {
			t.Errorf("seed %d: sent %d units, %d without hand-overs, want at least 97 percent", seed, len(chain.sent), len(reference.sent))
		}
	}
}

// If a plan's quota and hard limit change in the middle of a burst, the units that were spent still count, and only the
// rest of the new burst is available.
func TestHandOverToChangedPlanKeepsSpentTokens(t *testing.T) {
	for name, tc := range map[string]struct {
		burst, depth             float64
		wantHardLimit, wantQuota float64 // after 40 of 60 and 40 of 100 units were spent
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
			predecessor := newTestGateway(t, settings, activeEndpoints(1, 2)...)
			account := predecessor.controller.accountFor(predecessor.controller.scheduler.plansByName["low"], "x", 1)
			account.quota.tokens, account.hardLimit.tokens = 60, 20
			settings.Plans = append([]Plan{}, settings.Plans...)
			settings.Plans[0].HardLimitBurst, settings.Plans[0].QuotaBurst = tc.burst, tc.depth
			successor := newTestGateway(t, settings, activeEndpoints(1, 2)...)
			successor.now = predecessor.now
			successor.controller.Restore(successor.now, predecessor.controller.HandOver(predecessor.now, 1), TrustAll)
			got := successor.controller.accounts.byKey["low x"]
			if got.hardLimit.tokens != tc.wantHardLimit || got.quota.tokens != tc.wantQuota {
				t.Errorf("got %g hard-limit and %g quota tokens", got.hardLimit.tokens, got.quota.tokens)
			}
			if account.hardLimit.tokens != 0 || account.quota.tokens != 0 {
				t.Errorf("predecessor retains %g hard-limit and %g quota tokens, want 0", account.hardLimit.tokens, account.quota.tokens)
			}
		})
	}
}

// A hand-over must not lose the concurrency limit, latencies, ejections, the meter's lag and the shares.
func TestEstimatesAreKeptOverAHandOver(t *testing.T) {
	settings := testSettings()
	predecessor := newTestGateway(t, settings, activeEndpoints(1, 2, 3)...)
	predecessor.controller.limiter.limit = 37
	predecessor.controller.fleet.latency.mean = 0.25
	predecessor.controller.usage.meter.lagBins = 12
	predecessor.controller.usage.meter.phaseBin = 3
	predecessor.controller.scheduler.plans[0].share = 0.25
	predecessor.controller.scheduler.plans[1].share = 0.75
	ejected := predecessor.controller.fleet.servers[2]
	ejected.latency.seconds = 3
	ejected.latency.updatedAt = predecessor.now
	ejected.outlier.consecutiveFailures = ejectionFailures
	ejected.outlier.ejectedUntil = predecessor.now + time.Second
	checkpoint := predecessor.controller.HandOver(predecessor.now, 1)
	checkpoint.Servers = append(checkpoint.Servers, ServerCheckpoint{Server: 99}) // no longer listed
	successor := newTestGateway(t, settings, append(activeEndpoints(1, 2), Endpoint{Server: 3, HasStartedAt: true, StartedAt: predecessor.now})...)
	successor.now = predecessor.now
	successor.controller.Restore(successor.now, checkpoint, TrustAll)
	controller := successor.controller
	if got := controller.fleet.latency.mean; got != 0.25 {
		t.Errorf("fleet latency is %g, want 0.25", got)
	}
	if meter := &controller.usage.meter; meter.lagBins != 12 || meter.phaseBin != 3 {
		t.Errorf("meter lag is %d bins and the phase %d, want 12 and 3", meter.lagBins, meter.phaseBin)
	}
	if got := controller.scheduler.plans[1].share; got != 0.75 {
		t.Errorf("share is %g, want 0.75", got)
	}
	if limit := controller.limiter.limit; limit < 37*0.7 || limit > 37 {
		t.Errorf("limit is %g, want 25.9 to 37", limit)
	}
	if !controller.fleet.servers[2].outlier.isEjected(controller.now) {
		t.Error("the ejected server is no longer ejected")
	}
	if got := controller.fleet.servers[3].latency.seconds; got != 0 {
		t.Errorf("a restarted server has a latency estimate of %g s, want 0", got)
	}
	old := checkpoint
	old.At -= time.Hour
	later := newTestGateway(t, settings, activeEndpoints(1, 2, 3)...)
	first := later.controller.limiter.limit
	later.controller.Restore(predecessor.now, old, TrustAll)
	if math.Abs(later.controller.limiter.limit-first) > 0.01 {
		t.Errorf("limit is %g from a checkpoint that is an hour old, want %g", later.controller.limiter.limit, first)
	}
}

// Reloads at intervals shorter than a control window must not keep the limit from growing.
func TestConcurrencyLimitGrowsOverManyHandOvers(t *testing.T) {
	chain := &handOverChain{t: t, settings: hardLimitSettings(), rng: rand.New(rand.NewPCG(1, 4))}
	chain.settings.Plans = []Plan{{Name: "low", Price: 1}}
	chain.gateways = []*testGateway{chain.newGateway(time.Hour)}
	first := chain.newest().controller.limiter.limit
	for i := range 6000 {
		chain.step(1)
		if i%150 == 149 {
			chain.handOver(1)
			chain.endPredecessors()
		}
	}
	if got := chain.newest().controller.limiter.limit; got <= first {
		t.Errorf("limit is %g, want more than the initial %g", got, first)
	}
}
