package control

import (
	"math"
	"testing"
	"time"
)

func TestLatencyEstimateStartsAtTheFirstSample(t *testing.T) {
	var latency latencyEstimate
	latency.add(time.Second, 0.5)
	if latency.seconds != 0.5 || latency.samples != 1 {
		t.Errorf("estimate is %g s of %g samples after one of 0.5 s", latency.seconds, latency.samples)
	}
	latency.add(time.Second, 1)
	if math.Abs(latency.seconds-0.6) > 1e-9 || latency.samples != 2 {
		t.Errorf("estimate is %g s of %g samples after another one of 1 s, want 0.6 and 2", latency.seconds, latency.samples)
	}
	latency.add(time.Minute, 1)
	if latency.samples > 1.001 {
		t.Errorf("got %g samples after a minute, want about 1", latency.samples)
	}
}

// Reports can show that a server is slow, but not that it is fast.
func TestReportsRaiseTheCostOfSlowServersOnly(t *testing.T) {
	fleet := warmFleet(3)
	fleet.latency.add(0.01, fleetEstimateGain)
	for range 20 {
		for i, latency := range []float64{1, 10, 100} {
			fleet.recordLoadReport(time.Second, fleet.sortedServers[i], &LoadReport{MeanLatencyMS: latency, Utilization: 1.5})
		}
	}
	fast, slow := fleet.sortedServers[0].load, fleet.sortedServers[2].load
	if fast.slowdown != 1 || slow.slowdown < 2 {
		t.Errorf("slowdowns are %g of the fast and %g of the slow server, want 1 and at least 2", fast.slowdown, slow.slowdown)
	}
	if fast.utilization != 1 {
		t.Errorf("utilization is %g after a report of 1.5, want 1", fast.utilization)
	}
	end := time.Second + durationOf(slowdownDecaySeconds)
	if !fast.isRecent(end-1) || fast.isRecent(end) {
		t.Error("a report does not count for exactly the time constant of a slowdown")
	}
}

func TestReportsWithoutUtilizationOrLatencyArePartial(t *testing.T) {
	for _, report := range []LoadReport{{Utilization: -1}, {MeanLatencyMS: -1}} {
		if !report.isPartial() {
			t.Errorf("isPartial is false for %+v", report)
		}
	}
	if (&LoadReport{InFlight: -1, Queued: -1}).isPartial() {
		t.Error("isPartial is true for a report with utilization and latency")
	}
}
