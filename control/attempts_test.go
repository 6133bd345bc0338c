package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestRetriesFollowIdempotency(t *testing.T) {
	for _, tc := range []struct {
		name  string
		class Class
		why   Reason
		again bool // another attempt is sent
		end   string
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
		if again := gateway.attempts["a"] == 2; again != tc.again {
			t.Errorf("%s: sent %d times", tc.name, gateway.attempts["a"])
		}
		if got := fmt.Sprintf("%T", gateway.finalAnswers["a"]); tc.end != "" && got != tc.end {
			t.Errorf("%s: ended with %s", tc.name, got)
		}
	}
}

func TestKeyedRetryStaysInItsRepeatGroup(t *testing.T) {
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
					t.Fatalf("scope %v: from server %d to %d", scope, a, b)
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
			t.Fatalf("%d attempts after %d failures", gateway.attempts["a"], i)
		}
		gateway.respond("a", RejectedByServer, 0)
	}
	if _, ok := gateway.finalAnswers["a"].(Reject); !ok || gateway.attempts["a"] != 3 {
		t.Errorf("%d attempts, ended with %v", gateway.attempts["a"], gateway.finalAnswers["a"])
	}
}

// Guards against a retry that is queued beyond the client's deadline.
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
		t.Error("no answer by the client's time")
	}
}

// Guards against a storm of fast errors that uses up the retry budget, or ejects servers that still serve half of
// their requests, with twelve requests at a time.
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
	tries, seen, asked, failed := make(map[uint32]int), 0, 0, 0
	for len(gateway.finalAnswers) < 2000 {
		for ; asked-len(gateway.finalAnswers) < 12; asked++ {
			gateway.request(fmt.Sprint(asked), "job", "low", "x")
		}
		for ; seen < len(gateway.sends); seen++ {
			o := outcome{gateway.now + 50*ms, gateway.sends[seen].ID, OK}
			if srv := gateway.sends[seen].Server; srv > 1 && rng.IntN(2) == 0 {
				o.at, o.why = gateway.now+ms, Errored
			}
			tries[gateway.sends[seen].Server]++
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
		t.Errorf("%d of 2000 not served; requests by server: %v", failed, tries)
	}
}

// An attempt that is not sent leaves nothing behind, whether its client has left before or the node could not send
// it: no slot, no charge and no failure of the server.
func TestAttemptNotSentIsRefunded(t *testing.T) {
	for name, class := range map[string]Class{"safe": {Idempotency: Idempotent}, "keyed": {Idempotency: IdempotentWithKey, RepeatWindow: time.Minute}, "unsafe": {Idempotency: NotIdempotent}} {
		for what, leaves := range map[string]bool{"left": true, "not sent": false} {
			for what2, cold := range map[string]bool{"warm": false, "cold": true} {
				t.Run(name+" "+what+" "+what2, func(t *testing.T) {
					settings := testSettings()
					class.Name, class.LatencyObjective, class.Deadline, class.PriorityWeight = "job", 2*time.Second, 6*time.Second, 1
					settings.Classes = []Class{class}
					settings.Plans = []Plan{{Name: "high", Price: 1, QuotaRate: 10, QuotaBurst: 10, HardLimitRate: 10, HardLimitBurst: 10, HardLimitSlack: 10, MaxInFlight: 4}}
					endpoints := activeEndpoints(1)
					gateway := newTestGateway(t, settings)
					if cold {
						endpoints[0].HasStartedAt, endpoints[0].StartedAt = true, gateway.now-time.Second
					}
					gateway.handle(EndpointList{Kind: ListComplete, Endpoints: endpoints})
					controller, srv := gateway.controller, gateway.controller.fleet.servers[1]
					srv.slowStart.tokens = 0.125
					controller.limiter.limit, controller.fleet.latency.count = 0.5, 1 // a place that rests after each use
					account := controller.accountFor(controller.scheduler.plans[0], "c", 2)
					account.inFlight.limit = 0.5 // likewise
					srv.outlier.consecutiveFailures = ejectionFailures
					type books struct {
						level, ceiling, tokens, own, charged, queued float64
						open, inflight, out                          int
						rests, next                                  time.Duration
						probing                                      bool
					}
					look := func() books {
						bin := controller.currentBin() + 1
						return books{
							account.quota.tokens, account.hardLimit.tokens, srv.slowStart.tokens, account.history.sent.periodSum(bin), account.history.charged.periodSum(bin), account.queuedUnits, account.inFlight.current, srv.inFlight, controller.requests.slots.inFlight,
							controller.limiter.fractionalSlotFreeAt, account.inFlight.nextAttemptAt, srv.outlier.isProbing,
						}
					}
					before := look()
					gateway.request("a", "job", "high", "c")
					if len(gateway.sends) != 1 || look() == before {
						t.Fatalf("%d sends, %+v", len(gateway.sends), look())
					}
					if leaves {
						gateway.handle(ClientGone{ID: "a"})
					}
					event := AttemptResult{ID: "a", Server: 1, Reason: NotSent, IsFinal: leaves}
					gateway.handle(event)
					gateway.handle(event) // a second one is no attempt's
					if after := look(); after != before {
						t.Errorf("before %+v, after %+v", before, after)
					}
					if end, ok := gateway.finalAnswers["a"].(Reject); !leaves && (!ok || end.Cause != CauseNoRetry) || leaves && gateway.finalAnswers["a"] != nil {
						t.Errorf("its end: %+v", gateway.finalAnswers["a"])
					}
					gateway.request("b", "job", "high", "c")
					if len(gateway.sends) != 2 || gateway.sends[1].ID != "b" {
						t.Errorf("the next one was not sent: %+v", gateway.sends)
					}
				})
			}
		}
	}
}

// Guards against a keyed retry that stays queued when it can not be forwarded any more: it is answered at the end of
// its repeat window, well before the client's deadline.
func TestWaitingRetryIsAnsweredAtTheEndOfItsWindow(t *testing.T) {
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
		t.Errorf("ended with %#v within its window", gateway.finalAnswers["a"])
	}
	gateway.advance(10 * ms)
	if _, failed := gateway.finalAnswers["a"].(Fail); !failed {
		t.Errorf("ended with %#v at the end of its window", gateway.finalAnswers["a"])
	}
}
