package control

import (
	"testing"
	"time"
)

// After a stall of the gateway, first attempts with a short deadline must not be mistaken for retries.
func TestStallDoesNotMakeFirstAttemptsLate(t *testing.T) {
	settings := testSettings()
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2)...)
	class := &gateway.controller.settings.Classes[0]
	for i := 0; i < 3; i++ {
		if w := gateway.controller.clientWaits.estimate(Request{Timeout: 3 * time.Second}, class, gateway.controller.clockAdvance); w != 0 {
			t.Fatalf("a first try has waited %v", w)
		}
	}
	gateway.controller.clockAdvance = 1500 * ms
	if w := gateway.controller.clientWaits.estimate(Request{Timeout: 2 * time.Second}, class, gateway.controller.clockAdvance); w != time.Second {
		t.Errorf("a first try that lay for 1 s through a stall has waited %v", w)
	}
	gateway.controller.clockAdvance = 4 * ms
	if w := gateway.controller.clientWaits.estimate(Request{Timeout: 2 * time.Second}, class, gateway.controller.clockAdvance); w != 4*time.Second {
		t.Errorf("a later try with 2 s of 6 s left has waited %v", w)
	}
	if w := gateway.controller.clientWaits.estimate(Request{Timeout: 5 * time.Second}, class, gateway.controller.clockAdvance); w != time.Second {
		t.Errorf("a last try, with all the rest of the time, has waited %v", w)
	}
	gateway.controller.clientWaits.retriesAreMarked = true
	if w := gateway.controller.clientWaits.estimate(Request{Timeout: 5 * time.Second}, class, gateway.controller.clockAdvance); w != 0 {
		t.Errorf("a try without the mark of a later one has waited %v", w)
	}
}

func TestTypicalDeadlineFollowsTheMajority(t *testing.T) {
	var typical typicalDeadline
	observe := func(deadline time.Duration, times int) {
		for range times {
			typical.observe(deadline, deadline != typical.deadline)
		}
	}
	observe(3*time.Second, 4)
	observe(time.Second, 3)
	if typical.deadline != 3*time.Second || typical.support != 1 {
		t.Errorf("%v with a support of %d, after three others among seven", typical.deadline, typical.support)
	}
	observe(time.Second, 3)
	if typical.deadline != time.Second || typical.support != 2 {
		t.Errorf("%v with a support of %d, after six others among ten", typical.deadline, typical.support)
	}
}
