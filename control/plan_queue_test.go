package control

import (
	"math"
	"testing"
)

func TestRetriesAreQueuedFirst(t *testing.T) {
	plan := &planQueue{}
	first, second := queuedRequest(plan, "first"), queuedRequest(plan, "second")
	retry := &request{id: "retry", plan: plan, account: &customerAccount{plan: plan}, units: 1, attempts: 1}
	plan.pushFront(retry)
	for i, want := range []*request{retry, first, second} {
		if plan.queue[i] != want {
			t.Errorf("request %s is at position %d", plan.queue[i].id, i)
		}
	}
	if first.account.queuedUnits != 1 || retry.account.queuedUnits != 0 {
		t.Errorf("%g queued units of a new request and %g of a retry, want 1 and 0", first.account.queuedUnits, retry.account.queuedUnits)
	}
	plan.remove(first)
	plan.remove(first) // no longer queued
	if len(plan.queue) != 2 || first.account.queuedUnits != 0 || first.isQueued {
		t.Errorf("%d requests queued, and %g units of the removed one, want 2 and 0", len(plan.queue), first.account.queuedUnits)
	}
}

func TestWindowWithoutAnswersKeepsThePreviousLateness(t *testing.T) {
	plan := &planQueue{}
	plan.recordLateness(0.5)
	plan.recordLateness(1.5)
	for range 2 {
		if got := plan.endLatenessWindow(); math.Abs(got-1) > 1e-9 {
			t.Errorf("mean lateness is %g, want 1", got)
		}
	}
}
