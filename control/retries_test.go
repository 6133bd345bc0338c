package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestRetriesFollowIdempotency(t *testing.T) {
	for _, tc := range []struct {
		name      string
		class     Class
		why       Reason
		isRetried bool // another attempt is sent
		end       string
	}{
		{"free", Class{Idempotency: Idempotent}, Errored, true, ""},
		{"unsafe maybe run", Class{Idempotency: NotIdempotent}, Errored, false, "control.Fail"},
		{"unsafe never ran", Class{Idempotency: NotIdempotent}, RejectedByServer, true, ""},
		{"keyed in window", Class{Idempotency: IdempotentWithKey, KeyScope: ScopeCell, RepeatWindow: time.Minute}, ResetByPeer, true, ""},
		{"keyed too late", Class{Idempotency: IdempotentWithKey, KeyScope: ScopeCell, RepeatWindow: ms}, ResetByPeer, false, "control.Fail"},
		{"keyed by all, too late", Class{Idempotency: IdempotentWithKey, RepeatWindow: ms}, ResetByPeer, false, "control.Reject"},
	} {
		settings := testSettings()
		tc.class.Name, tc.class.LatencyObjective, tc.class.Deadline = "job", 2*time.Second, 6*time.Second
		settings.Classes = []Class{tc.class}
		gateway := newTestGateway(t, settings, activeEndpoints(1, 2, 3, 4)...)
		gateway.request("a", "job", "low", "x")
		gateway.now += 10 * ms
		gateway.respond("a", tc.why, 0)
		if isRetried := gateway.attempts["a"] == 2; isRetried != tc.isRetried {
			t.Errorf("%s: request was sent %d times", tc.name, gateway.attempts["a"])
		}
		if got := fmt.Sprintf("%T", gateway.finalAnswers["a"]); tc.end != "" && got != tc.end {
			t.Errorf("%s: got final answer %s", tc.name, got)
		}
	}
}

func TestRetryWithKeyStaysInItsRepeatGroup(t *testing.T) {
	for scope, same := range map[KeyScope]func(a, b Endpoint) bool{
		ScopeCell: func(a, b Endpoint) bool { return a.Cell == b.Cell },
		ScopeZone: func(a, b Endpoint) bool { return a.Zone == b.Zone },
	} {
		settings := testSettings()
		settings.Classes[0].Idempotency, settings.Classes[0].KeyScope, settings.Classes[0].RepeatWindow = IdempotentWithKey, scope, time.Minute
		list := activeEndpoints(1, 2, 3, 4, 5, 6)
		gateway := newTestGateway(t, settings, list...)
		for i := 0; i < 30; i++ {
			id := fmt.Sprint(scope, "-", i)
			gateway.request(id, "job", "low", "x")
			gateway.respond(id, TimedOut, 0)
			if gateway.attempts[id] == 2 {
				a, b := gateway.sends[len(gateway.sends)-2].Server, gateway.sends[len(gateway.sends)-1].Server
				if !same(list[a-1], list[b-1]) {
					t.Fatalf("scope %v: retry was sent from server %d to %d", scope, a, b)
				}
				gateway.respond(id, OK, 0)
			}
		}
	}
}

func TestAttemptsAreLimitedAndSequential(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2, 3, 4)...)
	gateway.request("a", "job", "low", "x")
	for i := 0; i < 3; i++ {
		if gateway.attempts["a"] != i+1 {
			t.Fatalf("got %d attempts after %d failures", gateway.attempts["a"], i)
		}
		gateway.respond("a", RejectedByServer, 0)
	}
	if _, ok := gateway.finalAnswers["a"].(Reject); !ok || gateway.attempts["a"] != 3 {
		t.Errorf("got %d attempts and final answer %v, want 3 and a rejection", gateway.attempts["a"], gateway.finalAnswers["a"])
	}
}

// A retry must not be queued beyond the client's deadline.
func TestQueuedRetryIsAnsweredInTime(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1)...)
	gateway.request("a", "job", "low", "x")
	gateway.advance(4 * time.Second)
	gateway.handle(EndpointList{Kind: ListComplete})
	gateway.respond("a", Errored, 0)
	gateway.advance(990 * ms)
	if gateway.finalAnswers["a"] != nil {
		return
	}
	gateway.advance(10 * ms)
	if gateway.finalAnswers["a"] == nil {
		t.Error("no final answer by the client's deadline")
	}
}

// A burst of fast errors must neither exhaust the retry budget nor eject servers that still serve half of their
// requests. Twelve requests are in progress at a time.
func TestRetryBudgetOutlastsFastErrors(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts = 6
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2, 3, 4)...)
	rng := rand.New(rand.NewPCG(1, 2))
	type outcome struct {
		at  time.Duration
		id  string
		why Reason
	}
	var due []outcome
	attempts, handled, requested, failed := make(map[uint32]int), 0, 0, 0
	for len(gateway.finalAnswers) < 2000 {
		for ; requested-len(gateway.finalAnswers) < 12; requested++ {
			gateway.request(fmt.Sprint(requested), "job", "low", "x")
		}
		for ; handled < len(gateway.sends); handled++ {
			o := outcome{gateway.now + 50*ms, gateway.sends[handled].ID, OK}
			if srv := gateway.sends[handled].Server; srv > 1 && rng.IntN(2) == 0 {
				o.at, o.why = gateway.now+ms, Errored
			}
			attempts[gateway.sends[handled].Server]++
			due = append(due, o)
		}
		first := 0
		for i, o := range due {
			if o.at < due[first].at {
				first = i
			}
		}
		o := due[first]
		due = slices.Delete(due, first, first+1)
		gateway.advance(o.at - gateway.now)
		gateway.respond(o.id, o.why, 0)
	}
	for _, end := range gateway.finalAnswers {
		if _, ok := end.(Send); !ok {
			failed++
		}
	}
	if failed > 60 {
		t.Errorf("%d of 2000 requests were not served, want at most 60; attempts by server: %v", failed, attempts)
	}
}

// A retry with an idempotency key must not stay queued when it can no longer be forwarded. It is answered at the end of
// its repeat window, well before the client's deadline.
func TestQueuedRetryFailsAtTheEndOfItsRepeatWindow(t *testing.T) {
	settings := testSettings()
	class := &settings.Classes[0]
	class.Idempotency, class.KeyScope, class.RepeatWindow = IdempotentWithKey, ScopeCell, time.Second
	gateway := newTestGateway(t, settings, activeEndpoints(1)...)
	gateway.request("a", "job", "low", "x")
	gateway.advance(100 * ms)
	gateway.handle(EndpointList{Kind: ListComplete})
	gateway.respond("a", Errored, 0)
	gateway.advance(890 * ms)
	if gateway.finalAnswers["a"] != nil {
		t.Errorf("got final answer %#v within the repeat window", gateway.finalAnswers["a"])
	}
	gateway.advance(10 * ms)
	if _, failed := gateway.finalAnswers["a"].(Fail); !failed {
		t.Errorf("got final answer %#v at the end of the repeat window, want a failure", gateway.finalAnswers["a"])
	}
}

func TestFastFailuresCostLittleOfTheBudget(t *testing.T) {
	for _, tc := range []struct {
		reason  Reason
		elapsed time.Duration
		want    float64
	}{
		{Errored, time.Millisecond, minRetryCost},
		{ResetByPeer, 50 * time.Millisecond, 0.5},
		{ConnectFailed, time.Second, 1},
		{RejectedByServer, time.Millisecond, 1},
		{TimedOut, time.Millisecond, 1},
	} {
		if got := retryCost(tc.reason, tc.elapsed, 0.1); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("retry after %v in %v costs %g, want %g", tc.reason, tc.elapsed, got, tc.want)
		}
	}
}

func TestRetryPolicyEnforcesItsLimits(t *testing.T) {
	class := &Class{Idempotency: Idempotent}
	policy := newRetryPolicy(&Settings{MaxAttempts: 2})
	policy.budget.retries = 1.5
	req := &request{class: class, deadline: time.Second, attempts: 1}
	if policy.allowRetry(0, req, NotSent, 0, 0.1) {
		t.Error("an attempt that was not sent may be retried")
	}
	if policy.allowRetry(req.deadline-retryDeadlineMargin, req, TimedOut, 0, 0.1) {
		t.Error("a request may be retried at its deadline")
	}
	if policy.budget.retries != 1.5 {
		t.Errorf("retry budget is %g after retries that were not allowed, want 1.5", policy.budget.retries)
	}
	if !policy.allowRetry(0, req, TimedOut, 0, 0.1) || policy.budget.retries != 0.5 {
		t.Errorf("first retry was not allowed, or the budget of %g after it is not 0.5", policy.budget.retries)
	}
	if policy.allowRetry(0, req, TimedOut, 0, 0.1) {
		t.Error("a retry is allowed beyond the budget")
	}
	policy.budget.retries = maxRetryBudget
	req.attempts = 2
	if policy.allowRetry(0, req, TimedOut, 0, 0.1) {
		t.Error("a third attempt is allowed with at most two")
	}
	policy.budget.earn()
	if policy.budget.retries != maxRetryBudget {
		t.Errorf("retry budget is %g, above its maximum", policy.budget.retries)
	}
}
