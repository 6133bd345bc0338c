package control

import (
	"fmt"
	"testing"
	"time"
)

func TestConcurrencyLimitStartsAtTwoPerServerAndIsCutOnce(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2, 3)...)
	for i := 0; i < 20; i++ {
		gateway.request(fmt.Sprint(i), "job", "low", "x")
	}
	if len(gateway.sends) != 6 {
		t.Fatalf("%d attempts in flight with three servers at the start, want 6", len(gateway.sends))
	}
	gateway.controller.limiter.limit = 40
	for i := 0; i < 10; i++ { // control windows in which half of the outcomes are overloads
		gateway.controller.window.overloads = 5
		gateway.controller.window.answers = 5
		before := gateway.controller.limiter.limit
		gateway.controller.endWindow(1)
		if gateway.controller.limiter.limit < before/2 {
			t.Errorf("limit cut from %g to %g in one window, want at most half", before, gateway.controller.limiter.limit)
		}
	}
	if gateway.controller.limiter.limit != 3 {
		t.Errorf("minimum limit is %g, want 3 for one of two gateways with three servers", gateway.controller.limiter.limit)
	}
}

// A few requests that time out must not keep the limit at its minimum.
func TestOneTimeoutDoesNotCutTheConcurrencyLimit(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2)...)
	gateway.controller.limiter.limit = 40
	gateway.controller.window.overloads = 1
	gateway.controller.window.answers = 99
	gateway.controller.endWindow(1)
	if gateway.controller.limiter.limit < 40 {
		t.Errorf("limit is %g after one timeout among 100 outcomes, want at least 40", gateway.controller.limiter.limit)
	}
	gateway.controller.window.overloads = 30
	gateway.controller.window.answers = 70
	gateway.controller.endWindow(1)
	if gateway.controller.limiter.limit != 20 {
		t.Errorf("limit is %g after 30 overloads among 100 outcomes, want 20", gateway.controller.limiter.limit)
	}
}

// The minimum limits of many gateways together must not overload the servers.
func TestMinimumLimitsOfALargeGroupAreShared(t *testing.T) {
	settings := testSettings()
	settings.GroupSize = 16
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8)...)
	for i := 0; i < 50; i++ {
		gateway.request(fmt.Sprint(i), "job", "low", "x")
	}
	if per := float64(16*len(gateway.sends)) / 8; per > 8 {
		t.Errorf("a group of 16 gateways starts with %g requests per server, want at most 8", per)
	}
}

// A limit below one must not stop all attempts: the slot is used and then paused.
func TestFractionalSlotAdmitsAttemptsWithPauses(t *testing.T) {
	gateway := newTestGateway(t, largeGroupSettings(), activeEndpoints(1)...)
	gateway.controller.limiter.limit = 0.25
	gateway.controller.limiter.idleLatency = 0.1
	gateway.controller.fleet.latency = runningMean{mean: 0.1, count: 100}
	gateway.request("a", "job", "high", "x")
	gateway.request("b", "job", "high", "y")
	if len(gateway.sends) != 1 {
		t.Fatalf("sent %d requests with a quarter of a slot, want 1", len(gateway.sends))
	}
	gateway.now += 100 * ms
	gateway.respond("a", OK, 0)
	if len(gateway.sends) != 1 {
		t.Fatal("the fractional slot was not paused")
	}
	gateway.advance(450 * ms)
	if len(gateway.sends) != 2 {
		t.Error("the fractional slot was paused for more than three times its use")
	}
}

// Requests with a pending body do not count against the limit, regardless of their number and duration, and do not
// affect the estimates of the servers' latency.
func TestPendingBodiesAreOutsideTheConcurrencyLimit(t *testing.T) {
	settings := testSettings()
	settings.GroupSize, settings.MeterPeriod = 1, 0
	settings.Classes = []Class{{Name: "write", LatencyObjective: 2 * time.Second, Deadline: 20 * time.Second, Idempotency: NotIdempotent, PriorityWeight: 1}}
	settings.Plans = []Plan{{Name: "p", Price: 1}}
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2)...)
	send := func(id string, hasPendingBody bool) {
		gateway.handle(Request{ID: id, Class: "write", Plan: "p", Customer: "c", Timeout: 20 * time.Second, Units: 1, FanOut: 1, HasPendingBody: hasPendingBody})
	}
	for i := range 200 {
		send(fmt.Sprint("up-", i), true)
	}
	if len(gateway.sends) != 200 {
		t.Fatalf("sent %d of 200 requests with a pending body", len(gateway.sends))
	}
	gateway.advance(10 * time.Second)
	send("small", false)
	if len(gateway.sends) != 201 {
		t.Fatal("a request without a pending body was queued behind those with one")
	}
	for i, send := range gateway.sends[:200] {
		reason := []Reason{OK, TimedOut, ResetByPeer}[i%3]
		gateway.handle(AttemptResult{ID: send.ID, Server: send.Server, Reason: reason, IsFinal: reason == OK, Delay: 10 * time.Second})
	}
	if gateway.controller.requests.slots.streaming != 0 || gateway.controller.requests.slots.inFlight != 1 {
		t.Errorf("got %d streaming and %d in flight, want 0 and 1", gateway.controller.requests.slots.streaming, gateway.controller.requests.slots.inFlight)
	}
	if gateway.controller.fleet.latency.mean >= settings.Classes[0].LatencyObjective.Seconds() {
		t.Errorf("fleet latency is %g s, want less than the objective", gateway.controller.fleet.latency.mean)
	}
	for _, srv := range gateway.controller.fleet.sortedServers {
		if srv.latency.seconds > 1 {
			t.Errorf("latency of server %d is %g s, want at most 1 s", srv.Server, srv.latency.seconds)
		}
	}
}

// A first window with many answers must set the idle latency.
func TestIdleLatencyIsKnownFromTheFirstWindow(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2)...)
	for i := 0; i < 60; i++ {
		gateway.request(fmt.Sprint(i), "job", "high", "x")
		gateway.now += 20 * ms
		gateway.respond(fmt.Sprint(i), OK, 0)
	}
	gateway.controller.endWindow(1)
	if gateway.controller.limiter.idleLatency < 0.015 || gateway.controller.limiter.idleLatency > 0.03 {
		t.Errorf("idle latency is %g s after answers within 20 ms, want 0.015 to 0.03 s", gateway.controller.limiter.idleLatency)
	}
}

// Answers to attempts from before a cut must not cause a second cut.
func TestConcurrencyLimitIsCutOncePerLatency(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2)...)
	gateway.controller.limiter.limit = 80
	gateway.controller.limiter.idleLatency = 0.1
	gateway.controller.fleet.latency = runningMean{mean: 1.2, count: 100}
	for i, want := range []float64{40, 40, 40, 20} {
		window := &gateway.controller.window
		window.answers = 10
		window.latencyCount = 10
		window.latencyRatioSum = 7
		window.latencySecondsSum = 14
		gateway.controller.now = gateway.now + time.Duration(i)*time.Second
		gateway.controller.endWindow(1)
		if gateway.controller.limiter.limit != want {
			t.Errorf("limit is %g after %d seconds with late answers, want %g", gateway.controller.limiter.limit, i+1, want)
		}
	}
}

// The limit must not grow while many answers are late, even if load reports show spare capacity, as those of servers
// that have just started do.
func TestManyLateAnswersCutTheConcurrencyLimit(t *testing.T) {
	settings := testSettings()
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2, 3, 4)...)
	gateway.controller.limiter.limit = 200
	gateway.controller.limiter.idleLatency, gateway.controller.fleet.latency.count = 0.1, 100
	n := 0
	for range 3 {
		var ids []string
		for range 80 {
			n++
			id := fmt.Sprint(n)
			gateway.request(id, "job", "high", fmt.Sprint("x", n%20))
			if gateway.attempts[id] > 0 {
				ids = append(ids, id)
			}
		}
		gateway.now += 1500 * ms
		for _, id := range ids {
			srv := uint32(0)
			for _, send := range gateway.sends {
				if send.ID == id {
					srv = send.Server
				}
			}
			gateway.handle(AttemptResult{ID: id, Server: srv, Reason: OK, IsFinal: true, Load: loadReport(10, 0.3)})
			gateway.finalAnswers[id] = Reject{ID: id}
		}
		gateway.advance(time.Second)
	}
	if gateway.controller.ConcurrencyLimit() >= 200 {
		t.Errorf("limit is %g after 200 answers that took 1.5 s with an objective of 2 s, want less than 200", gateway.controller.ConcurrencyLimit())
	}
}

// A few slow answers must not cut the limit while load reports show spare capacity. They cut it at full utilization.
func TestConcurrencyLimitIsCutOnlyAtFullUtilization(t *testing.T) {
	for _, tc := range []struct {
		util float64
		cut  bool
	}{{0.5, false}, {1, true}} {
		gateway := newTestGateway(t, largeGroupSettings(), activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8)...)
		first := gateway.controller.ConcurrencyLimit()
		for i := range 40 {
			id := fmt.Sprint(i)
			gateway.request(id, "job", "high", fmt.Sprint("x", i))
			gateway.advance(1200 * ms)
			if n := len(gateway.sends); gateway.attempts[id] > 0 {
				gateway.handle(AttemptResult{
					ID: id, Server: gateway.sends[n-1].Server, Reason: OK, IsFinal: true,
					Load: loadReport(1200, tc.util),
				})
				gateway.finalAnswers[id] = Reject{ID: id}
			}
		}
		if cut := gateway.controller.ConcurrencyLimit() < first; cut != tc.cut {
			t.Errorf("servers with utilization %.1f: limit changed from %.2f to %.2f", tc.util, first, gateway.controller.ConcurrencyLimit())
		}
	}
}

func TestInitialConcurrencyLimitIsSetOnce(t *testing.T) {
	var limiter concurrencyLimiter
	limiter.initialize(1, 3, 2)
	if limiter.limit != 6 {
		t.Errorf("initial limit is %g for three servers, want 6", limiter.limit)
	}
	limiter.initialize(1, 30, 2)
	if limiter.limit != 6 {
		t.Errorf("limit changed to %g with more servers, want 6", limiter.limit)
	}
	if got := minConcurrencyLimit(40, 10); got != 0.5 {
		t.Errorf("minimum limit is %g for one of 40 gateways and 10 servers, want 0.5", got)
	}
}

func TestAbandonedAttemptsOccupySlotsUntilTheyExpire(t *testing.T) {
	slots := attemptSlots{inFlight: 3, streaming: 1}
	srv := &server{}
	slots.abandon(srv, time.Second)
	slots.abandon(srv, 2*time.Second)
	for _, tc := range []struct {
		now  time.Duration
		want float64
	}{{0, 4}, {time.Second, 3}, {2 * time.Second, 2}} {
		if got := slots.occupied(tc.now); got != tc.want {
			t.Errorf("%g slots occupied at %v, want %g", got, tc.now, tc.want)
		}
	}
	if srv.abandoned != 0 {
		t.Errorf("%d abandoned attempts remain at the server, want 0", srv.abandoned)
	}
}
