package control

import (
	"math"
	"testing"
	"time"
)

// What was decided and never sent leaves nothing behind, whether its client has left before or the
// node could not send it: no place, no turn, no charge, no word on the server.
func TestUnsentGivesAllBack(t *testing.T) {
	for name, k := range map[string]Class{"safe": {Idempotency: Idempotent}, "keyed": {Idempotency: IdempotencyKeyed, RepeatWindow: time.Minute}, "unsafe": {Idempotency: NotIdempotent}} {
		for what, leaves := range map[string]bool{"left": true, "not sent": false} {
			for what2, cold := range map[string]bool{"warm": false, "cold": true} {
				t.Run(name+" "+what+" "+what2, func(t *testing.T) {
					s := settings()
					k.Name, k.LatencyObjective, k.Deadline, k.PriorityWeight = "job", 2*time.Second, 6*time.Second, 1
					s.Classes = []Class{k}
					s.Plans = []Plan{{Name: "high", Price: 1, QuotaRate: 10, QuotaBurst: 10, HardLimitRate: 10, HardLimitBurst: 10, HardLimitSlack: 10, MaxInFlight: 4}}
					m := on(1)
					g := newGate(t, s)
					if cold {
						m[0].HasStartedAt, m[0].StartedAt = true, g.now-time.Second
					}
					g.do(EndpointList{Kind: ListComplete, Endpoints: m})
					c, srv := g.c, g.c.servers[1]
					srv.tokens = 0.125
					c.bound, c.seen = 0.5, 1 // a place that rests after each use
					q := c.customerOf(c.plans[0], "c", 2)
					q.openCap = 0.5 // likewise
					srv.strikes = ejectionFailures
					type books struct {
						level, ceiling, tokens, own, charged, queued float64
						open, inflight, out                          int
						rests, next                                  time.Duration
						probing                                      bool
					}
					look := func() books {
						b := c.binNow() + 1
						return books{
							q.level, q.ceiling, srv.tokens, q.own.over(b), q.charged.over(b), q.queued, q.open, srv.inflight, c.inflight,
							c.restUntil, q.openNext, srv.probing,
						}
					}
					before := look()
					g.ask("a", "job", "high", "c")
					if len(g.sends) != 1 || look() == before {
						t.Fatalf("%d sends, %+v", len(g.sends), look())
					}
					if leaves {
						g.do(ClientGone{ID: "a"})
					}
					r := AttemptResult{ID: "a", Server: 1, Reason: NotSent, IsFinal: leaves}
					g.do(r)
					g.do(r) // a second one is no attempt's
					if after := look(); after != before {
						t.Errorf("before %+v, after %+v", before, after)
					}
					if end, ok := g.ends["a"].(Reject); !leaves && (!ok || end.Cause != CauseNoRetry) || leaves && g.ends["a"] != nil {
						t.Errorf("its end: %+v", g.ends["a"])
					}
					g.ask("b", "job", "high", "c")
					if len(g.sends) != 2 || g.sends[1].ID != "b" {
						t.Errorf("the next one was not sent: %+v", g.sends)
					}
				})
			}
		}
	}
}

// What is given back is of the bin in which it was booked.
func TestGivenBackWhereBooked(t *testing.T) {
	var h history
	h.roll(3)
	h.add(2)
	h.roll(5)
	h.add(1)
	h.less(3, 2)
	if a, b := h.upTo(4), h.upTo(5); a != 0 || math.Abs(b-1) > epsilon {
		t.Errorf("%v, then %v", a, b)
	}
}

// A probe that its client breaks off says nothing of the server, which is tried again.
func TestCancelledProbe(t *testing.T) {
	g := newGate(t, settings(), on(1)...)
	s := g.c.servers[1]
	s.strikes = ejectionFailures
	g.ask("a", "job", "high", "c")
	if !s.probing {
		t.Fatal("no probe")
	}
	g.do(ClientGone{ID: "a"})
	g.do(AttemptResult{ID: "a", Server: 1, Reason: Cancelled, IsFinal: true})
	if s.probing || s.strikes != ejectionFailures {
		t.Errorf("probing %v after %d strikes", s.probing, s.strikes)
	}
}
