package control

import (
	"fmt"
	"testing"
	"time"
)

func TestDeadServerIsEjected(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2, 3, 4)...)
	failedAttempts := 0
	for i := 0; i < 200; i++ {
		id := fmt.Sprint(i)
		gateway.request(id, "job", "low", "x")
		for gateway.finalAnswers[id] == nil {
			if gateway.sends[len(gateway.sends)-1].Server == 2 {
				failedAttempts++
				gateway.respond(id, ConnectFailed, 0)
			} else {
				gateway.now += 50 * ms
				gateway.respond(id, OK, 0)
			}
		}
	}
	if failedAttempts > 12 {
		t.Errorf("%d attempts in 10 s at a server that accepts no connection, want at most 12", failedAttempts)
	}
}

// A server that fails all requests immediately looks idle. It must not attract all traffic.
func TestServerThatFailsFastDoesNotAttractTraffic(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2, 3, 4)...)
	failedAttempts := 0
	for i := 0; i < 300; i++ {
		id := fmt.Sprint(i)
		gateway.request(id, "job", "low", "x")
		for gateway.finalAnswers[id] == nil {
			if gateway.sends[len(gateway.sends)-1].Server == 2 {
				failedAttempts++
				gateway.now += ms
				gateway.respond(id, Errored, 0)
			} else {
				gateway.now += 50 * ms
				gateway.respond(id, OK, 0)
			}
		}
	}
	if failedAttempts > 20 {
		t.Errorf("%d attempts in 15 s at a server that always fails, want at most 20", failedAttempts)
	}
}

// A server that fails every second request immediately is never ejected and looks idle. It must not attract the traffic.
func TestServerThatFailsHalfItsRequestsIsChosenLess(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2, 3, 4)...)
	attempts := make(map[uint32]int)
	for i := 0; i < 400; i++ {
		id := fmt.Sprint(i)
		gateway.request(id, "job", "low", "x")
		for gateway.finalAnswers[id] == nil {
			s := gateway.sends[len(gateway.sends)-1].Server
			if attempts[s]++; s == 2 && attempts[s]%2 == 0 {
				gateway.now += ms
				gateway.respond(id, Errored, 0)
			} else {
				gateway.now += 50 * ms
				gateway.respond(id, OK, 0)
			}
		}
	}
	if attempts[2] > attempts[1]/2 {
		t.Errorf("server 2 got more than half as many attempts as server 1: %v", attempts)
	}
}

// Servers that reject one plan must not cause a cut of the concurrency limit, and are avoided for that plan.
func TestServersThatRejectOnePlanAreAvoidedForThatPlan(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2, 3, 4)...)
	gateway.controller.limiter.idleLatency = 0.1
	gateway.controller.fleet.latency = runningMean{mean: 0.1, count: 100}
	before := gateway.controller.limiter.limit
	rejections := 0
	for i := 0; i < 30; i++ {
		for _, plan := range []string{"low", "high"} {
			id := fmt.Sprint(plan, i)
			gateway.request(id, "job", plan, "x")
			gateway.now += 100 * ms
			for gateway.finalAnswers[id] == nil {
				last := gateway.sends[len(gateway.sends)-1]
				if last.ID != id {
					t.Fatalf("request %s was queued", id)
				}
				if plan == "low" && last.Server <= 2 {
					rejections++
					gateway.respond(id, RejectedByServer, 0)
				} else {
					gateway.respond(id, OK, 0)
				}
			}
		}
		gateway.advance(100 * ms)
	}
	if rejections > 3 {
		t.Errorf("two servers rejected the plan %d times in 6 s, want at most 3", rejections)
	}
	if gateway.controller.limiter.limit < before {
		t.Errorf("limit was cut from %g to %g on servers with spare capacity", before, gateway.controller.limiter.limit)
	}
}

// An attempt that probes an ejected server and is cancelled by its client shows nothing about the server, which must be
// probed again.
func TestCancelledAttemptEndsTheProbe(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1)...)
	srv := gateway.controller.fleet.servers[1]
	srv.outlier.consecutiveFailures = ejectionFailures
	gateway.request("a", "job", "high", "c")
	if !srv.outlier.isProbing {
		t.Fatal("the attempt at the ejected server is no probe")
	}
	gateway.handle(ClientGone{ID: "a"})
	gateway.handle(AttemptResult{ID: "a", Server: 1, Reason: Cancelled, IsFinal: true})
	if srv.outlier.isProbing || srv.outlier.consecutiveFailures != ejectionFailures {
		t.Errorf("isProbing is %v with %d consecutive failures", srv.outlier.isProbing, srv.outlier.consecutiveFailures)
	}
}

func TestEjectionTimeDoublesUntilASuccess(t *testing.T) {
	detector := newOutlierDetector()
	now := time.Duration(0)
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		detector.recordOutcome(now, ConnectFailed, nil)
		if detector.ejectionTime != want*time.Second || !detector.isEjected(now) {
			t.Errorf("ejection time is %v, want %v s", detector.ejectionTime, int(want))
		}
		now += detector.ejectionTime
		if detector.isEjected(now) || !detector.hasTripped() {
			t.Error("the ejection did not end at its time, or its failures were reset")
		}
	}
	detector.recordAttempt()
	if !detector.isAvoided(now, nil) {
		t.Error("isAvoided is false while the server is probed")
	}
	detector.recordOutcome(now, OK, nil)
	if detector.hasTripped() || detector.isAvoided(now, nil) {
		t.Error("server is still avoided after a success")
	}
	detector.recordOutcome(now, ConnectFailed, nil)
	if detector.ejectionTime != initialEjectionTime {
		t.Errorf("ejection time is %v after a success, want the initial one", detector.ejectionTime)
	}
}

func TestRepeatedFailuresRaiseTheCost(t *testing.T) {
	detector := newOutlierDetector()
	detector.updateFailureRate(0, 1)
	if got := detector.costFactor(0); got != 1 {
		t.Errorf("cost factor is %g after one failure, want 1", got)
	}
	detector.updateFailureRate(0, 1)
	after := detector.costFactor(0)
	if after <= 1 {
		t.Errorf("cost factor is %g after two failures, want more than 1", after)
	}
	if later := detector.costFactor(time.Minute); later != 1 {
		t.Errorf("cost factor is %g a minute later, want 1", later)
	}
}
