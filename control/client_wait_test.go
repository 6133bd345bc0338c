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
		if waited := gateway.controller.clientWaits.estimate(Request{Timeout: 3 * time.Second}, class, gateway.controller.clockAdvance); waited != 0 {
			t.Fatalf("first attempt has waited %v, want 0", waited)
		}
	}
	gateway.controller.clockAdvance = 1500 * ms
	if waited := gateway.controller.clientWaits.estimate(Request{Timeout: 2 * time.Second}, class, gateway.controller.clockAdvance); waited != time.Second {
		t.Errorf("first attempt that was delayed for 1 s by a stall has waited %v, want 1s", waited)
	}
	gateway.controller.clockAdvance = 4 * ms
	if waited := gateway.controller.clientWaits.estimate(Request{Timeout: 2 * time.Second}, class, gateway.controller.clockAdvance); waited != 4*time.Second {
		t.Errorf("retry with 2 s of 6 s left has waited %v, want 4s", waited)
	}
	if waited := gateway.controller.clientWaits.estimate(Request{Timeout: 5 * time.Second}, class, gateway.controller.clockAdvance); waited != time.Second {
		t.Errorf("retry with 5 s of 6 s left has waited %v, want 1s", waited)
	}
	gateway.controller.clientWaits.retriesAreMarked = true
	if waited := gateway.controller.clientWaits.estimate(Request{Timeout: 5 * time.Second}, class, gateway.controller.clockAdvance); waited != 0 {
		t.Errorf("attempt that is not marked as a retry has waited %v, want 0", waited)
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
		t.Errorf("got %v with support %d after three other deadlines among seven, want 3s and 1", typical.deadline, typical.support)
	}
	observe(time.Second, 3)
	if typical.deadline != time.Second || typical.support != 2 {
		t.Errorf("got %v with support %d after six other deadlines among ten, want 1s and 2", typical.deadline, typical.support)
	}
}
