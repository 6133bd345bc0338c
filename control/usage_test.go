package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestRejectionProbabilityFollowsTheFormulaOncePerPeriod(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 1000, 20 // enough units for a reading to outweigh the prior
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2, 3)...)
	account := gateway.controller.accountFor(gateway.controller.scheduler.plans[0], "x", 1000) // its requests here say next to nothing
	read := func(percent int) float64 {
		gateway.controller.now = gateway.now
		account.quota.tokens = 0 // the bucket is empty enough for the rejection probability to decide
		gateway.recordReading(account, percent+1, 1)
		return account.rejectionProbability(gateway.controller.now, gateway.controller.accounts.refillStart)
	}
	gateway.controller.usage.meter.lagBins = 0
	recordRequests := func(arrivals, rejections int) { // in the next second
		gateway.controller.now = gateway.now
		gateway.controller.refillAccount(account)
		account.history.arrivals.add(float64(arrivals))
		account.history.rejections.add(float64(rejections))
		gateway.now += 1100 * ms
	}
	recordRequests(4000, 0)
	if probability := read(400); math.Abs(probability-0.75) > 0.01 {
		t.Fatalf("rejection probability is %g after a first reading of 400%%, want 0.75", probability)
	}
	for i := 0; i < 5; i++ {
		gateway.now += 20 * ms
		if probability := read(400); math.Abs(probability-0.75) > 0.02 {
			t.Fatalf("rejection probability is %g after repeated readings of one period, want 0.75", probability)
		}
	}
	gateway.now += 900 * ms
	recordRequests(4000, 3000) // three quarters are rejected, and the usage is still 200%
	if probability := read(200); math.Abs(probability-0.875) > 0.01 {
		t.Errorf("rejection probability is %g after a reading of 200%% with a probability of 0.75, want 0.875", probability)
	}
	for i := 0; i < 20; i++ {
		gateway.now += time.Second
		if probability := read(5000); probability < 0 || probability > maxRejectionProbability {
			t.Fatalf("rejection probability is %g", probability)
		}
	}
}

// A customer far above its quota must not be treated as a new one by each of many gateways: after a few readings, even
// if they are seconds apart, most of its requests are rejected. Most requests of a customer below its quota are
// admitted, although its readings are rare.
func TestFewReadingsSetTheRejectionProbability(t *testing.T) {
	for _, tc := range []struct {
		used, gap int
		low, high float64
	}{{401, 4, 0, 0.5}, {31, 30, 0.55, 1}} {
		gateway := newTestGateway(t, largeGroupSettings(), activeEndpoints(1, 2, 3, 4)...)
		requested := 0
		gateway.serve(5*time.Minute, time.Duration(tc.gap)*time.Second, tc.used, func(i int) {
			requested++
			gateway.handle(Request{
				ID: fmt.Sprint(i), Class: "job", Plan: "low", Customer: "c", Timeout: 3 * time.Second,
				Units: 1, FanOut: 60,
			})
		})
		if fraction := float64(len(gateway.sends)) / float64(requested); fraction < tc.low || fraction > tc.high {
			t.Errorf("readings of %d%%: fraction of forwarded requests is %.2f, want %v to %v", tc.used-1, fraction, tc.low, tc.high)
		}
	}
}

// The requests of a customer without a reading at this gateway are rejected by the fraction of its plan's usage that
// exceeds the quotas, according to the first readings of other customers, less one request each. If half of these use
// four times their rate and the others half of it, and one request is a quarter of a period's quota, that fraction is
// 2.75 of 4.5, and half of that at one of two gateways. Other plans, later readings and a resume do not change it, and
// there are no rejections before any reading.
func TestUnmeteredCustomersAreRejectedByTheirPlansExcess(t *testing.T) {
	settings := testSettings()
	for i := range settings.Plans {
		settings.Plans[i].QuotaRate, settings.Plans[i].QuotaBurst = 4, 20
	}
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2, 3)...)
	n := 0
	// rejectedFraction returns the fraction of many new customers that is rejected; their answers carry no readings.
	rejectedFraction := func(plan string) float64 {
		const requests = 500
		before := len(gateway.sends)
		for range requests {
			n++
			id := fmt.Sprint("r", n)
			gateway.request(id, "job", plan, fmt.Sprint("new", n))
			if reject, ok := gateway.finalAnswers[id].(Reject); ok && reject.Cause != CauseProbability {
				t.Fatalf("request %s: rejected with cause %v", id, reject.Cause)
			} else if !ok {
				gateway.advance(10 * ms)
				gateway.respond(id, OK, 0)
			}
			gateway.advance(10 * ms)
		}
		return 1 - float64(len(gateway.sends)-before)/requests
	}
	read := func(plan int, customer string, percent int) {
		gateway.controller.now = gateway.now
		gateway.recordReading(gateway.controller.accountFor(gateway.controller.scheduler.plans[plan], customer, 2), percent+1, 1)
	}
	checkRejected := func(when, plan string, want float64) {
		t.Helper()
		if got := rejectedFraction(plan); math.Abs(got-want) > 0.05 || want == 0 && got != 0 {
			t.Errorf("%s: rejected fraction of plan %s is %g, want %g", when, plan, got, want)
		}
	}
	checkRejected("before any reading", "low", 0)
	for i := range 200 {
		read(0, fmt.Sprint("heavy", i), 400)
		read(0, fmt.Sprint("calm", i), 50)
	}
	checkRejected("after readings", "low", 2.75/4.5/2)
	checkRejected("after readings of another plan", "high", 0)
	read(1, "one", 400)
	for range 50 {
		gateway.advance(settings.MeterPeriod)
		read(1, "one", 50)
	}
	checkRejected("after a first reading and others", "high", 2.75/4/2)
	resumed, err := Resume(settings, gateway.controller.Image())
	if err != nil {
		t.Fatal(err)
	}
	gateway.controller = resumed
	checkRejected("after a resume", "low", 2.75/4.5/2)
	checkRejected("after a resume", "high", 2.75/4/2)
}

func TestLocalFractionMovesFromThePriorToTheMeasured(t *testing.T) {
	estimate := newUsageEstimate(10)
	if got := estimate.localFraction(4); got != 0.25 {
		t.Errorf("local fraction is %g with a fan-out of four and no reading, want 0.25", got)
	}
	if got := estimate.groupFactor(4, 10, false); got != 4 {
		t.Errorf("group factor of an unmetered customer is %g, want 4", got)
	}
	for range 100 {
		estimate.addReading(time.Hour, 100, 100, 1, 4, 10)
	}
	if got := estimate.localFraction(4); got < 0.99 {
		t.Errorf("local fraction is %g with local usage only, want at least 0.99", got)
	}
	for range 100 {
		estimate.addReading(time.Hour, 100, 0, 1, 4, 10)
	}
	if got := estimate.localFraction(4); got != minLocalFraction {
		t.Errorf("local fraction is %g with remote usage only, want the minimum", got)
	}
}

func TestRemoteUsageIsExtrapolatedAfterItsReading(t *testing.T) {
	var estimate usageEstimate
	estimate.addReading(time.Hour, 20, 0, 1, 4, 10)
	if got := estimate.currentRemoteRate(time.Hour); got != 0 {
		t.Errorf("remote rate is %g after one reading, want 0 as the lower of two readings counts", got)
	}
	estimate.addReading(time.Hour, 20, 0, 1, 4, 10)
	rate := estimate.currentRemoteRate(time.Hour)
	if rate <= 5 || rate > 10 {
		t.Errorf("remote rate is %g units per second with a quota of 10, want 5 to 10", rate)
	}
	later := time.Hour + durationOf(remoteRateDecaySeconds)
	if got := estimate.currentRemoteRate(later); math.Abs(got-rate/math.E) > 1e-9 {
		t.Errorf("remote rate is %g after the time constant, %g before", got, rate)
	}
	if got := estimate.remoteUnits(time.Hour, 0.5); got != rate/2 {
		t.Errorf("got %g remote units in half a second", got)
	}
}
