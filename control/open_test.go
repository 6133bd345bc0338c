package control

import (
	"fmt"
	"testing"
	"time"
)

// Requests whose body is still to come are no part of the bound, however many there are and
// however long they last, and teach nothing of the servers' speed.
func TestOpenRequestsAreOutsideTheBound(t *testing.T) {
	settings := settings()
	settings.GroupSize, settings.MeterPeriod = 1, 0
	settings.Classes = []Class{{Name: "write", LatencyObjective: 2 * time.Second, Deadline: 20 * time.Second, Idempotency: NotIdempotent, PriorityWeight: 1}}
	settings.Plans = []Plan{{Name: "p", Price: 1}}
	gateway := newGate(t, settings, on(1, 2)...)
	ask := func(id string, open bool) {
		gateway.do(Request{ID: id, Class: "write", Plan: "p", Customer: "c", Timeout: 20 * time.Second, Units: 1, FanOut: 1, HasPendingBody: open})
	}
	for i := range 200 {
		ask(fmt.Sprint("up-", i), true)
	}
	if len(gateway.sends) != 200 {
		t.Fatalf("%d of 200 were sent", len(gateway.sends))
	}
	gateway.pass(10 * time.Second)
	ask("small", false)
	if len(gateway.sends) != 201 {
		t.Fatal("an ordinary one waits for them")
	}
	for i, send := range gateway.sends[:200] {
		why := []Reason{OK, TimedOut, ResetByPeer}[i%3]
		gateway.do(AttemptResult{ID: send.ID, Server: send.Server, Reason: why, IsFinal: why == OK, Delay: 10 * time.Second})
	}
	if gateway.c.slots.streaming != 0 || gateway.c.slots.inFlight != 1 {
		t.Errorf("%d streams, %d in flight", gateway.c.slots.streaming, gateway.c.slots.inFlight)
	}
	if gateway.c.fleet.latency.mean >= settings.Classes[0].LatencyObjective.Seconds() {
		t.Errorf("the fleet is taken to need %g s", gateway.c.fleet.latency.mean)
	}
	for _, srv := range gateway.c.sortedServers {
		if srv.latency.seconds > 1 {
			t.Errorf("server %d is taken to need %g s", srv.Server, srv.latency.seconds)
		}
	}
}
