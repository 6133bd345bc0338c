package control

import (
	"testing"
	"time"
)

// usedResources holds everything that an attempt uses of its customer, its server and the limits.
type usedResources struct {
	quotaTokens, hardLimitTokens, slowStartTokens float64
	sentUnits, chargedUnits, queuedUnits          float64
	customerInFlight, serverInFlight, inFlight    int
	slotFreeAt, nextAttemptAt                     time.Duration
	isProbing                                     bool
}

func newUsedResources(controller *Controller, account *customerAccount, srv *server) usedResources {
	bin := controller.currentBin() + 1
	return usedResources{
		quotaTokens:      account.quota.tokens,
		hardLimitTokens:  account.hardLimit.tokens,
		slowStartTokens:  srv.slowStart.tokens,
		sentUnits:        account.history.sent.periodSum(bin),
		chargedUnits:     account.history.charged.periodSum(bin),
		queuedUnits:      account.queuedUnits,
		customerInFlight: account.inFlight.current,
		serverInFlight:   srv.inFlight,
		inFlight:         controller.requests.slots.inFlight,
		slotFreeAt:       controller.limiter.fractionalSlotFreeAt,
		nextAttemptAt:    account.inFlight.nextAttemptAt,
		isProbing:        srv.outlier.isProbing,
	}
}

// An attempt that is not sent must not use a slot, be charged or count as a failure of the server, whether its client
// left before or the gateway could not send it.
func TestAttemptNotSentIsRefunded(t *testing.T) {
	for name, class := range map[string]Class{
		"idempotent":     {Idempotency: Idempotent},
		"with key":       {Idempotency: IdempotentWithKey, RepeatWindow: time.Minute},
		"not idempotent": {Idempotency: NotIdempotent},
	} {
		class.Name = "job"
		class.LatencyObjective = 2 * time.Second
		class.Deadline = 6 * time.Second
		class.PriorityWeight = 1
		for end, clientLeaves := range map[string]bool{"client gone": true, "not sent": false} {
			for state, isWarmingUp := range map[string]bool{"warm": false, "warming up": true} {
				t.Run(name+", "+end+", "+state, func(t *testing.T) {
					checkAttemptNotSent(t, class, clientLeaves, isWarmingUp)
				})
			}
		}
	}
}

func checkAttemptNotSent(t *testing.T, class Class, clientLeaves, isWarmingUp bool) {
	t.Helper()
	settings := testSettings()
	settings.Classes = []Class{class}
	settings.Plans = []Plan{{
		Name: "high", Price: 1, QuotaRate: 10, QuotaBurst: 10, HardLimitRate: 10, HardLimitBurst: 10, HardLimitSlack: 10, MaxInFlight: 4,
	}}
	endpoints := activeEndpoints(1)
	gateway := newTestGateway(t, settings)
	if isWarmingUp {
		endpoints[0].HasStartedAt = true
		endpoints[0].StartedAt = gateway.now - time.Second
	}
	gateway.handle(EndpointList{Kind: ListComplete, Endpoints: endpoints})
	controller := gateway.controller
	srv := controller.fleet.servers[1]
	srv.slowStart.tokens = 0.125
	controller.limiter.limit = 0.5 // a fractional slot, which is paused after each use
	controller.fleet.latency.count = 1
	account := controller.accountFor(controller.scheduler.plans[0], "c", 2)
	account.inFlight.limit = 0.5 // paused after each use, too
	srv.outlier.consecutiveFailures = ejectionFailures

	before := newUsedResources(controller, account, srv)
	gateway.request("a", "job", "high", "c")
	if len(gateway.sends) != 1 {
		t.Fatalf("got %d sends, want 1", len(gateway.sends))
	}
	if newUsedResources(controller, account, srv) == before {
		t.Fatalf("the attempt did not change the used resources %+v", before)
	}
	if clientLeaves {
		gateway.handle(ClientGone{ID: "a"})
	}
	event := AttemptResult{ID: "a", Server: 1, Reason: NotSent, IsFinal: clientLeaves}
	gateway.handle(event)
	gateway.handle(event) // the second result belongs to no attempt and is ignored
	if after := newUsedResources(controller, account, srv); after != before {
		t.Errorf("used resources before the attempt: %+v, after: %+v", before, after)
	}
	final := gateway.finalAnswers["a"]
	if clientLeaves {
		if final != nil {
			t.Errorf("the client has left, but got the final answer %+v", final)
		}
	} else if reject, ok := final.(Reject); !ok || reject.Cause != CauseNoRetry {
		t.Errorf("final answer is %+v, want a rejection with CauseNoRetry", final)
	}
	gateway.request("b", "job", "high", "c")
	if len(gateway.sends) != 2 || gateway.sends[1].ID != "b" {
		t.Errorf("the next request was not sent: %+v", gateway.sends)
	}
}
