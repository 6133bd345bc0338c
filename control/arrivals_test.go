package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// One slow answer must not cause all later requests to be rejected: with nothing in flight an attempt is started, and
// a fast answer lets requests be admitted again.
func TestOneSlowResponseDoesNotRejectLaterRequests(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2)...)
	gateway.request("slow", "job", "low", "")
	gateway.advance(3 * time.Second) // past the latency objective, within the deadline
	gateway.respond("slow", OK, 0)
	admitted := 0
	for i := range 40 {
		id := fmt.Sprint("r", i)
		gateway.request(id, "job", "low", "")
		if gateway.attempts[id] > 0 {
			admitted++
			gateway.advance(20 * ms)
			gateway.respond(id, OK, 0)
		}
		gateway.advance(200 * ms)
	}
	if admitted < 39 {
		t.Errorf("%d of 40 requests were admitted, want at least 39", admitted)
	}
}

func TestUnknownClassOrPlanIsRejectedOnce(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1)...)
	gateway.request("a", "other", "low", "x")
	gateway.request("b", "job", "other", "x")
	for _, id := range []string{"a", "b"} {
		if _, ok := gateway.finalAnswers[id].(Reject); !ok {
			t.Errorf("%s: final answer is %v, want a rejection", id, gateway.finalAnswers[id])
		}
	}
	gateway.handle(ClientGone{ID: "z"})
	gateway.handle(AttemptResult{ID: "z", Server: 9, Reason: OK})
	gateway.handle(TimerFired{Label: 999})
	gateway.handle(HealthCheckResult{Server: 77})
	gateway.handle(CounterResult{Name: 4})
	gateway.handle(PeerMessage{From: 1})
	gateway.handle(ResponseStarted{ID: "z"})
}

// After a stall of the gateway all events arrive at once. Requests that can still be served in time are served, and
// each gets one final answer.
func TestBacklogAfterAStallIsAnswered(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2)...)
	gateway.request("old", "job", "high", "x")
	for i := 0; i < 40; i++ {
		gateway.request(fmt.Sprint("q", i), "job", "high", "x")
	}
	gateway.now += 4990 * ms // stall: no timer fires in time
	for i := 0; i < 40; i++ {
		gateway.request(fmt.Sprint("n", i), "job", "high", "x")
	}
	sent := len(gateway.sends)
	gateway.advance(0)
	for _, send := range gateway.sends[sent:] {
		if send.ID[0] == 'q' {
			t.Errorf("%s was sent shortly before its client's deadline", send.ID)
		}
	}
	gateway.advance(6 * time.Second)
	for i := 0; i < 40; i++ {
		for _, id := range []string{fmt.Sprint("q", i), fmt.Sprint("n", i)} {
			if gateway.finalAnswers[id] == nil && gateway.attempts[id] == 0 {
				t.Errorf("%s has neither a final answer nor an attempt", id)
			}
		}
	}
}

func TestInvalidRequestsAreRejectedWithTheirCause(t *testing.T) {
	class, plan := &Class{}, &planQueue{}
	for _, tc := range []struct {
		name  string
		event Request
		class *Class
		want  Cause
	}{
		{"usable", Request{Timeout: time.Second, Units: 1}, class, CauseNone},
		{"over capacity", Request{Timeout: time.Second, IsOverCapacity: true}, class, CauseOverCapacity},
		{"over the hard limit", Request{Timeout: time.Second, IsOverHardLimit: true}, class, CauseHardLimit},
		{"without a class", Request{Timeout: time.Second}, nil, CauseInvalid},
		{"without a timeout", Request{}, class, CauseInvalid},
		{"with NaN units", Request{Timeout: time.Second, Units: math.NaN()}, class, CauseInvalid},
	} {
		if got := earlyRejectionCause(tc.event, tc.class, plan); got != tc.want {
			t.Errorf("request %s: got cause %v, want %v", tc.name, got, tc.want)
		}
	}
}
