package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Tests at the size of hundreds of gateways, each of which sees a few requests a second.

func large() Settings {
	settings := settings()
	settings.GroupSize = 300
	settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 1, 4
	return settings
}

// serve asks every gap for a time d, and answers what is sent after 200 ms.
func (g *gate) serve(d, gap time.Duration, used int, ask func(i int)) {
	g.t.Helper()
	next, open := 0, len(g.sends)
	for i, end := 0, g.now+d; g.now < end; i++ {
		ask(i)
		g.pass(200 * ms)
		for next = open; next < len(g.sends); next++ {
			g.reply(g.sends[next].ID, OK, used)
		}
		open = next
		g.pass(gap - 200*ms)
	}
}

// Guards against a heavy customer that each of many gateways takes for a new one: after a few
// readings, though seconds apart, most of its tries are refused; most of a calm one's are let in,
// which come so seldom that each alone speaks for more.
func TestFewReadingsMakeAChance(t *testing.T) {
	for _, k := range []struct {
		used, gap int
		low, high float64
	}{{401, 4, 0, 0.5}, {31, 30, 0.55, 1}} {
		gateway := newGate(t, large(), on(1, 2, 3, 4)...)
		asked := 0
		gateway.serve(5*time.Minute, time.Duration(k.gap)*time.Second, k.used, func(i int) {
			asked++
			gateway.do(Request{
				ID: fmt.Sprint(i), Class: "job", Plan: "low", Customer: "c", Timeout: 3 * time.Second,
				Units: 1, FanOut: 60,
			})
		})
		if part := float64(len(gateway.sends)) / float64(asked); part < k.low || part > k.high {
			t.Errorf("told %d%%: %.2f of the tries sent on, want %v to %v", k.used-1, part, k.low, k.high)
		}
	}
}

// Guards against a gateway that has just started and refuses by chance for its first quarter of a
// minute, though it has been told each period and the store is well filled.
func TestStoreGoesBeforeTheChanceFromTheFirstReadings(t *testing.T) {
	for _, k := range []struct {
		gap, life time.Duration // between readings, and since the start
		want      bool
	}{{time.Second, 5 * time.Second, true}, {time.Second, time.Minute, true}, {4 * time.Second, 40 * time.Second, false}} {
		settings := settings()
		settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 2, 8
		gateway := newGate(t, settings, on(1, 2, 3, 4)...)
		gateway.serve(k.life, k.gap, 151, func(i int) { // half as much again as its rate, for a while
			gateway.do(Request{ID: fmt.Sprint(i), Class: "job", Plan: "low", Customer: "c", Timeout: 3 * time.Second, Units: 1, FanOut: 4})
		})
		if got := gateway.c.accounts["low c"].demand.isWellMetered(gateway.c.now, gateway.c.fillingSince); got != k.want {
			t.Errorf("a reading each %v for %v: covered %v", k.gap, k.life, got)
		}
	}
}

// Guards against bounds below one that stop the work: a place is used, then rests.
func TestPartOfAPlaceRestsAndFlows(t *testing.T) {
	gateway := newGate(t, large(), on(1)...)
	gateway.c.limiter.limit, gateway.c.fleet.latency.mean, gateway.c.limiter.idleLatency, gateway.c.fleet.latency.count = 0.25, 0.1, 0.1, 100
	gateway.ask("a", "job", "high", "x")
	gateway.ask("b", "job", "high", "y")
	if len(gateway.sends) != 1 {
		t.Fatalf("%d sent with a quarter of a place", len(gateway.sends))
	}
	gateway.now += 100 * ms
	gateway.reply("a", OK, 0)
	if len(gateway.sends) != 1 {
		t.Fatal("the place did not rest")
	}
	gateway.pass(450 * ms)
	if len(gateway.sends) != 2 {
		t.Error("the place rests for more than three times its use")
	}
}

// Guards against first tries that a gateway finds after a stall being taken for later ones.
func TestStallDoesNotMakeFirstTriesLate(t *testing.T) {
	settings := settings()
	gateway := newGate(t, settings, on(1, 2)...)
	class := &gateway.c.settings.Classes[0]
	for i := 0; i < 3; i++ {
		if w := gateway.c.clientWait(Request{Timeout: 3 * time.Second}, class); w != 0 {
			t.Fatalf("a first try has waited %v", w)
		}
	}
	gateway.c.clockAdvance = 1500 * ms
	if w := gateway.c.clientWait(Request{Timeout: 2 * time.Second}, class); w != time.Second {
		t.Errorf("a first try that lay for 1 s through a stall has waited %v", w)
	}
	gateway.c.clockAdvance = 4 * ms
	if w := gateway.c.clientWait(Request{Timeout: 2 * time.Second}, class); w != 4*time.Second {
		t.Errorf("a later try with 2 s of 6 s left has waited %v", w)
	}
	if w := gateway.c.clientWait(Request{Timeout: 5 * time.Second}, class); w != time.Second {
		t.Errorf("a last try, with all the rest of the time, has waited %v", w)
	}
	gateway.c.settings.RetriesAreMarked = true
	if w := gateway.c.clientWait(Request{Timeout: 5 * time.Second}, class); w != 0 {
		t.Errorf("a try without the mark of a later one has waited %v", w)
	}
}

// After a stall everything comes at once; whoever can still be served is, all are answered once.
func TestEverythingAtOnceAfterAStall(t *testing.T) {
	gateway := newGate(t, settings(), on(1, 2)...)
	gateway.ask("old", "job", "high", "x")
	for i := 0; i < 40; i++ {
		gateway.ask(fmt.Sprint("q", i), "job", "high", "x")
	}
	gateway.now += 4990 * ms // no timer came in time
	for i := 0; i < 40; i++ {
		gateway.ask(fmt.Sprint("n", i), "job", "high", "x")
	}
	sent := len(gateway.sends)
	gateway.pass(0)
	for _, send := range gateway.sends[sent:] {
		if send.ID[0] == 'q' {
			t.Errorf("%s was sent when its client had all but left", send.ID)
		}
	}
	gateway.pass(6 * time.Second)
	for i := 0; i < 40; i++ {
		for _, id := range []string{fmt.Sprint("q", i), fmt.Sprint("n", i)} {
			if gateway.ends[id] == nil && gateway.n[id] == 0 {
				t.Errorf("%s was not answered", id)
			}
		}
	}
}

// Guards against servers that refuse one plan: they cut no bound and are not tried again for it.
func TestServersThatRefuseOnePlan(t *testing.T) {
	gateway := newGate(t, settings(), on(1, 2, 3, 4)...)
	gateway.c.fleet.latency.mean, gateway.c.limiter.idleLatency, gateway.c.fleet.latency.count = 0.1, 0.1, 100
	before := gateway.c.limiter.limit
	refusals := 0
	for i := 0; i < 30; i++ {
		for _, p := range []string{"low", "high"} {
			id := fmt.Sprint(p, i)
			gateway.ask(id, "job", p, "x")
			gateway.now += 100 * ms
			for gateway.ends[id] == nil {
				last := gateway.sends[len(gateway.sends)-1]
				if last.ID != id {
					t.Fatalf("%s was held", id)
				}
				if p == "low" && last.Server <= 2 {
					refusals++
					gateway.reply(id, RejectedByServer, 0)
				} else {
					gateway.reply(id, OK, 0)
				}
			}
		}
		gateway.pass(100 * ms)
	}
	if refusals > 3 {
		t.Errorf("two servers refused the plan %d times in 6 s", refusals)
	}
	if gateway.c.limiter.limit < before {
		t.Errorf("the bound went from %g to %g on servers with room", before, gateway.c.limiter.limit)
	}
}

// Shares move by the law where a gateway sees two answers a second: the interval lasts longer.
func TestSharesMoveAtAFewRequestsASecond(t *testing.T) {
	settings := large()
	settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 1000, 1000
	gateway := newGate(t, settings, on(1, 2, 3, 4)...)
	gateway.serve(40*time.Second, 500*ms, 0, func(i int) {
		plan := settings.Plans[i%2]
		gateway.do(Request{ID: fmt.Sprint(i), Class: "job", Plan: plan.Name, Customer: "c", Timeout: 3 * time.Second, Units: 1, FanOut: 9})
		gateway.c.plans[1].recordLateness(1.8) // the dear plan is late
	})
	if u := gateway.c.plans[1].share; math.Abs(u-0.5) < 0.05 || u < 0.5 {
		t.Errorf("the late dear plan has a share of %g", u)
	}
}

// A class worth far less leaves the lower half of the store to the others.
func TestCheapClassYieldsTheStore(t *testing.T) {
	settings := settings()
	settings.Classes = append(settings.Classes, Class{Name: "cheap", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 0.2})
	settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 1, 10
	gateway := newGate(t, settings, on(1, 2)...)
	gateway.c.accountFor(gateway.c.plans[0], "x", 2).quota.tokens = 4
	gateway.ask("cheap", "cheap", "low", "x")
	gateway.ask("dear", "job", "low", "x")
	if gateway.ends["cheap"] == nil || gateway.ends["dear"] != nil {
		t.Error("the cheap class did not yield to the dear one")
	}
}

// The CPU for one request over fleets of several sizes.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []uint32{10, 30, 90, 300} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			settings := settings()
			c, _ := New(settings, 1)
			var ms []Endpoint
			for i := uint32(1); i <= n; i++ {
				ms = append(ms, Endpoint{Server: i, Zone: "z1"})
			}
			c.Handle(time.Hour, EndpointList{Kind: ListCached, Endpoints: ms})
			for i := 0; i < b.N; i++ {
				now := time.Hour + time.Duration(i)*time.Millisecond
				id := fmt.Sprint(i)
				for _, a := range c.Handle(now, Request{
					ID: id, Class: "job", Plan: "high", Customer: "x",
					Timeout: 5 * time.Second, Units: 1, FanOut: 2,
				}) {
					if a, ok := a.(Send); ok {
						c.Handle(now, AttemptResult{ID: id, Server: a.Server, Reason: OK, IsFinal: true, QuotaUsage: 50})
						break
					}
				}
			}
		})
	}
}

// Guards against a first interval with many answers that leaves the idle time at nothing.
func TestIdleTimeIsSeenFromTheFirstInterval(t *testing.T) {
	gateway := newGate(t, settings(), on(1, 2)...)
	for i := 0; i < 60; i++ {
		gateway.ask(fmt.Sprint(i), "job", "high", "x")
		gateway.now += 20 * ms
		gateway.reply(fmt.Sprint(i), OK, 0)
	}
	gateway.c.endWindow(1)
	if gateway.c.limiter.idleLatency < 0.015 || gateway.c.limiter.idleLatency > 0.03 {
		t.Errorf("idle time %g s after answers within 20 ms", gateway.c.limiter.idleLatency)
	}
}

// Guards against a second cut of the bound for answers to sends from before the first.
func TestBoundIsCutOncePerAnswerTime(t *testing.T) {
	gateway := newGate(t, settings(), on(1, 2)...)
	gateway.c.limiter.limit, gateway.c.fleet.latency.mean, gateway.c.limiter.idleLatency, gateway.c.fleet.latency.count = 80, 1.2, 0.1, 100
	for i, want := range []float64{40, 40, 40, 20} {
		gateway.c.window.latencyCount, gateway.c.window.answers, gateway.c.window.latencyRatioSum, gateway.c.window.latencySecondsSum = 10, 10, 7, 14
		gateway.c.now = gateway.now + time.Duration(i)*time.Second
		gateway.c.endWindow(1)
		if gateway.c.limiter.limit != want {
			t.Errorf("bound %g after %d late seconds, want %g", gateway.c.limiter.limit, i+1, want)
		}
	}
}
