package control

import (
	"testing"
	"time"
)

// An attempt that is not sent leaves nothing behind, whether its client has left before or the node could not send
// it: no slot, no charge and no failure of the server.
func TestAttemptNotSentIsRefunded(t *testing.T) {
	for name, class := range map[string]Class{"safe": {Idempotency: Idempotent}, "keyed": {Idempotency: IdempotentWithKey, RepeatWindow: time.Minute}, "unsafe": {Idempotency: NotIdempotent}} {
		for what, leaves := range map[string]bool{"left": true, "not sent": false} {
			for what2, isWarmingUp := range map[string]bool{"warm": false, "cold": true} {
				t.Run(name+" "+what+" "+what2, func(t *testing.T) {
					settings := testSettings()
					class.Name, class.LatencyObjective, class.Deadline, class.PriorityWeight = "job", 2*time.Second, 6*time.Second, 1
					settings.Classes = []Class{class}
					settings.Plans = []Plan{{Name: "high", Price: 1, QuotaRate: 10, QuotaBurst: 10, HardLimitRate: 10, HardLimitBurst: 10, HardLimitSlack: 10, MaxInFlight: 4}}
					endpoints := activeEndpoints(1)
					gateway := newTestGateway(t, settings)
					if isWarmingUp {
						endpoints[0].HasStartedAt, endpoints[0].StartedAt = true, gateway.now-time.Second
					}
					gateway.handle(EndpointList{Kind: ListComplete, Endpoints: endpoints})
					controller, srv := gateway.controller, gateway.controller.fleet.servers[1]
					srv.slowStart.tokens = 0.125
					controller.limiter.limit = 0.5 // a slot that pauses after each use
					controller.fleet.latency.count = 1
					account := controller.accountFor(controller.scheduler.plans[0], "c", 2)
					account.inFlight.limit = 0.5 // likewise
					srv.outlier.consecutiveFailures = ejectionFailures
					type resources struct {
						level, hardLimitTokens, tokens, own, charged, queued float64
						open, inflight, out                                  int
						rests, next                                          time.Duration
						probing                                              bool
					}
					inUse := func() resources {
						bin := controller.currentBin() + 1
						return resources{
							account.quota.tokens, account.hardLimit.tokens, srv.slowStart.tokens, account.history.sent.periodSum(bin), account.history.charged.periodSum(bin), account.queuedUnits, account.inFlight.current, srv.inFlight, controller.requests.slots.inFlight,
							controller.limiter.fractionalSlotFreeAt, account.inFlight.nextAttemptAt, srv.outlier.isProbing,
						}
					}
					before := inUse()
					gateway.request("a", "job", "high", "c")
					if len(gateway.sends) != 1 || inUse() == before {
						t.Fatalf("%d sends, %+v", len(gateway.sends), inUse())
					}
					if leaves {
						gateway.handle(ClientGone{ID: "a"})
					}
					event := AttemptResult{ID: "a", Server: 1, Reason: NotSent, IsFinal: leaves}
					gateway.handle(event)
					gateway.handle(event) // a second one is no attempt's
					if after := inUse(); after != before {
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
