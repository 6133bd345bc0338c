package control

import (
	"testing"
	"time"
)

func TestAttemptsAreCountedUntilTheyEnd(t *testing.T) {
	table := newRequestTable()
	plan := &planQueue{}
	req := &request{id: "a", plan: plan, account: &customerAccount{plan: plan}}
	srv := &server{Endpoint: Endpoint{Server: 7}}
	table.add(req)
	srv.startAttempt(time.Second, 1)
	table.startAttempt(time.Second, req, srv, charge{units: 2})
	if table.slots.inFlight != 1 || req.inFlight != 1 || srv.inFlight != 1 || req.account.inFlight.current != 1 {
		t.Errorf("attempts in flight: %d slots, %d of the request, %d at the server, %d of the customer, want 1 each",
			table.slots.inFlight, req.inFlight, srv.inFlight, req.account.inFlight.current)
	}
	table.startStreaming(req)
	if got := table.slots.occupied(0); got != 0 {
		t.Errorf("%g slots are occupied by a streaming attempt, want 0", got)
	}
	table.remove(req)
	if table.contains(req) {
		t.Error("the request remains after its final answer")
	}
	attempt := table.endAttempt(attemptKey{id: "a", number: 0})
	if attempt == nil || attempt.sentAt != time.Second || attempt.charge.units != 2 {
		t.Fatalf("got attempt %+v", attempt)
	}
	if table.endAttempt(attemptKey{id: "a", number: 0}) != nil {
		t.Error("the attempt can be ended twice")
	}
	if table.slots.inFlight != 0 || table.slots.streaming != 0 || req.inFlight != 0 || srv.inFlight != 0 || req.account.inFlight.current != 0 {
		t.Errorf("slots %+v remain occupied", table.slots)
	}
}

func TestEachRequestHasOneTimer(t *testing.T) {
	table := newRequestTable()
	first, second := &request{id: "a", plan: &planQueue{}}, &request{id: "b", plan: &planQueue{}}
	if table.timerLabel(first) != 1 || table.timerLabel(second) != 2 || table.timerLabel(first) != 1 {
		t.Errorf("got labels %d and %d, want 1 and 2", first.timerLabel, second.timerLabel)
	}
	table.remove(first)
	if table.byTimer[1] != nil || table.byTimer[2] != second {
		t.Errorf("got timers %v, want that of the second request only", table.byTimer)
	}
}

func TestRepeatWindowStartsAtTheFirstPossibleRun(t *testing.T) {
	req := &request{class: &Class{RepeatWindow: time.Minute}}
	first, second := &server{}, &server{}
	req.recordPossibleRun(time.Second, first)
	req.recordPossibleRun(2*time.Second, second)
	if req.repeatGroup != first || req.repeatsDroppedUntil() != time.Minute+time.Second {
		t.Errorf("repeats are dropped until %v, want 1m1s", req.repeatsDroppedUntil())
	}
}
