package control

import (
	"math"
	"testing"
	"time"
)

// What was decided and never sent leaves nothing behind, whether its client has left before or the
// node could not send it: no place, no turn, no charge, no word on the server.
func TestUnsentGivesAllBack(t *testing.T) {
	for name, class := range map[string]Class{"safe": {Idempotency: Idempotent}, "keyed": {Idempotency: IdempotencyKeyed, RepeatWindow: time.Minute}, "unsafe": {Idempotency: NotIdempotent}} {
		for what, leaves := range map[string]bool{"left": true, "not sent": false} {
			for what2, cold := range map[string]bool{"warm": false, "cold": true} {
				t.Run(name+" "+what+" "+what2, func(t *testing.T) {
					settings := settings()
					class.Name, class.LatencyObjective, class.Deadline, class.PriorityWeight = "job", 2*time.Second, 6*time.Second, 1
					settings.Classes = []Class{class}
					settings.Plans = []Plan{{Name: "high", Price: 1, QuotaRate: 10, QuotaBurst: 10, HardLimitRate: 10, HardLimitBurst: 10, HardLimitSlack: 10, MaxInFlight: 4}}
					m := on(1)
					gateway := newGate(t, settings)
					if cold {
						m[0].HasStartedAt, m[0].StartedAt = true, gateway.now-time.Second
					}
					gateway.do(EndpointList{Kind: ListComplete, Endpoints: m})
					c, srv := gateway.c, gateway.c.servers[1]
					srv.slowStart.tokens = 0.125
					c.limiter.limit, c.fleet.latency.count = 0.5, 1 // a place that rests after each use
					account := c.accountFor(c.plans[0], "c", 2)
					account.inFlight.limit = 0.5 // likewise
					srv.outlier.consecutiveFailures = ejectionFailures
					type books struct {
						level, ceiling, tokens, own, charged, queued float64
						open, inflight, out                          int
						rests, next                                  time.Duration
						probing                                      bool
					}
					look := func() books {
						b := c.currentBin() + 1
						return books{
							account.quota.tokens, account.hardLimit.tokens, srv.slowStart.tokens, account.history.sent.periodSum(b), account.history.charged.periodSum(b), account.queuedUnits, account.inFlight.current, srv.inFlight, c.slots.inFlight,
							c.limiter.fractionalSlotFreeAt, account.inFlight.nextAttemptAt, srv.outlier.isProbing,
						}
					}
					before := look()
					gateway.ask("a", "job", "high", "c")
					if len(gateway.sends) != 1 || look() == before {
						t.Fatalf("%d sends, %+v", len(gateway.sends), look())
					}
					if leaves {
						gateway.do(ClientGone{ID: "a"})
					}
					event := AttemptResult{ID: "a", Server: 1, Reason: NotSent, IsFinal: leaves}
					gateway.do(event)
					gateway.do(event) // a second one is no attempt's
					if after := look(); after != before {
						t.Errorf("before %+v, after %+v", before, after)
					}
					if end, ok := gateway.ends["a"].(Reject); !leaves && (!ok || end.Cause != CauseNoRetry) || leaves && gateway.ends["a"] != nil {
						t.Errorf("its end: %+v", gateway.ends["a"])
					}
					gateway.ask("b", "job", "high", "c")
					if len(gateway.sends) != 2 || gateway.sends[1].ID != "b" {
						t.Errorf("the next one was not sent: %+v", gateway.sends)
					}
				})
			}
		}
	}
}

// What is given back is of the bin in which it was booked.
func TestGivenBackWhereBooked(t *testing.T) {
	var h history
	h.advance(3)
	h.add(2)
	h.advance(5)
	h.add(1)
	h.subtract(3, 2)
	if a, b := h.sumUntil(4), h.sumUntil(5); a != 0 || math.Abs(b-1) > epsilon {
		t.Errorf("%v, then %v", a, b)
	}
}

// A probe that its client breaks off says nothing of the server, which is tried again.
func TestCancelledProbe(t *testing.T) {
	gateway := newGate(t, settings(), on(1)...)
	srv := gateway.c.servers[1]
	srv.outlier.consecutiveFailures = ejectionFailures
	gateway.ask("a", "job", "high", "c")
	if !srv.outlier.isProbing {
		t.Fatal("no probe")
	}
	gateway.do(ClientGone{ID: "a"})
	gateway.do(AttemptResult{ID: "a", Server: 1, Reason: Cancelled, IsFinal: true})
	if srv.outlier.isProbing || srv.outlier.consecutiveFailures != ejectionFailures {
		t.Errorf("probing %v after %d strikes", srv.outlier.isProbing, srv.outlier.consecutiveFailures)
	}
}
