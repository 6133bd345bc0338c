package control

import (
	"fmt"
	"testing"
	"time"
)

func TestInFlightQuotaQueuesRequests(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst, settings.Plans[0].MaxInFlight = 0, 0, 4
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2, 3, 4)...)
	for i := 0; i < 4; i++ {
		gateway.request(fmt.Sprint(i), "job", "low", "x")
	}
	gateway.request("y", "job", "low", "y")
	if gateway.controller.accountFor(gateway.controller.scheduler.plans[0], "x", 2).inFlight.current != 2 || gateway.attempts["y"] != 1 {
		t.Fatalf("got sends %v, want two of customer x and one of y", gateway.sends)
	}
	gateway.respond("0", OK, 0)
	if gateway.attempts["2"] != 1 {
		t.Error("the next request of customer x was not sent")
	}
}

func TestInFlightLimitFollowsReadings(t *testing.T) {
	quota := inFlightQuota{limit: 4}
	quota.adjust(8, 2, 50, 0, 10)
	if quota.limit != 4 {
		t.Errorf("limit is %g after a reading of half the quota, want 4 as it was not reached", quota.limit)
	}
	quota.current = 4
	if !quota.isFull(0) {
		t.Error("isFull is false with four attempts and a limit of four")
	}
	quota.adjust(8, 2, 50, 0, 10)
	if quota.limit != 4*limitIncreaseFactor {
		t.Errorf("limit is %g after it was reached and half the quota was used", quota.limit)
	}
	for range 20 {
		quota.adjust(8, 2, 200, 0, 10)
	}
	if quota.limit != 2 || quota.rejectionProbability != 0.5 {
		t.Errorf("limit is %g and the rejection probability %g at twice the quota, want 2 and 0.5", quota.limit, quota.rejectionProbability)
	}
}

func TestInFlightLimitBelowOnePausesAttempts(t *testing.T) {
	quota := inFlightQuota{limit: 0.25}
	quota.pauseAfter(10*time.Second, 9*time.Second)
	if !quota.isFull(13*time.Second-1) || quota.isFull(13*time.Second) {
		t.Errorf("next attempt is at %v, want 13s: three times the duration of the last one after its end", quota.nextAttemptAt)
	}
}
