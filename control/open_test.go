package control

import (
	"fmt"
	"testing"
	"time"
)

// Requests whose body is still to come are no part of the bound, however many there are and
// however long they last, and teach nothing of the servers' speed.
func TestOpenRequestsAreOutsideTheBound(t *testing.T) {
	s := settings()
	s.GroupSize, s.MeterPeriod = 1, 0
	s.Classes = []Class{{Name: "write", LatencyObjective: 2 * time.Second, Deadline: 20 * time.Second, Idempotency: NotIdempotent, PriorityWeight: 1}}
	s.Plans = []Plan{{Name: "p", Price: 1}}
	g := newGate(t, s, on(1, 2)...)
	ask := func(id string, open bool) {
		g.do(Request{ID: id, Class: "write", Plan: "p", Customer: "c", Timeout: 20 * time.Second, Units: 1, FanOut: 1, HasPendingBody: open})
	}
	for i := range 200 {
		ask(fmt.Sprint("up-", i), true)
	}
	if len(g.sends) != 200 {
		t.Fatalf("%d of 200 were sent", len(g.sends))
	}
	g.pass(10 * time.Second)
	ask("small", false)
	if len(g.sends) != 201 {
		t.Fatal("an ordinary one waits for them")
	}
	for i, send := range g.sends[:200] {
		why := []Reason{OK, TimedOut, ResetByPeer}[i%3]
		g.do(AttemptResult{ID: send.ID, Server: send.Server, Reason: why, IsFinal: why == OK, Delay: 10 * time.Second})
	}
	if g.c.streams != 0 || g.c.inflight != 1 {
		t.Errorf("%d streams, %d in flight", g.c.streams, g.c.inflight)
	}
	if g.c.latency >= s.Classes[0].LatencyObjective.Seconds() {
		t.Errorf("the fleet is taken to need %g s", g.c.latency)
	}
	for _, srv := range g.c.order {
		if srv.latency > 1 {
			t.Errorf("server %d is taken to need %g s", srv.Server, srv.latency)
		}
	}
}
