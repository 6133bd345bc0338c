package groupsize

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// poisson draws a Poisson-distributed number with the given mean.
func poisson(rng *rand.Rand, mean float64) float64 {
	n, product := 0.0, rng.Float64()
	for limit := math.Exp(-mean); product > limit; n++ {
		product *= rng.Float64()
	}
	return n
}

// With servers that have in flight the load of a group of a known size, the estimate is close to that size and a wrong
// configuration is detected, whether or not a report counts the request that the server is answering.
func TestEstimateIsAccurateAndContradictsWrongSize(t *testing.T) {
	for _, tc := range []struct {
		size, configured int
		mean             float64 // number of requests that one instance has in flight at a server
		contradicts      bool
	}{
		{40, 40, 0.3, false},
		{40, 20, 0.3, true},
		{40, 10, 0.3, true},
		{1, 1, 0.2, false},
		{3, 40, 2, true},
		{4, 4, 1, false},
		{1, 1, 3, false},
		{1, 4, 3, true},
		{400, 40, 0.05, true},
	} {
		for countedAnswers := range 2 {
			rng := rand.New(rand.NewPCG(7, uint64(countedAnswers)))
			estimator := New(tc.configured)
			now := time.Duration(0)
			for range 20000 {
				now += 5 * time.Millisecond
				local := poisson(rng, tc.mean)
				remote := poisson(rng, tc.mean*float64(tc.size-1))
				estimator.AddReport(now, local+remote+float64(countedAnswers), local)
			}
			low, high, ok := estimator.Range(now)
			if size := float64(tc.size); !ok || low > 1.25*size || high < 0.8*size {
				t.Errorf("%d instances: estimated range %.1f to %.1f, ok %v", tc.size, low, high, ok)
			}
			if contradicts := estimator.ContradictsConfiguration(now); contradicts != tc.contradicts {
				t.Errorf("%d instances, %d configured: contradicts is %v (range %.1f to %.1f)",
					tc.size, tc.configured, contradicts, low, high)
			}
		}
	}
}

func TestFewOrOldReportsGiveNoEstimate(t *testing.T) {
	estimator := New(4)
	for range 1000 {
		estimator.AddReport(time.Second, 40, 0) // without other attempts of this instance
		estimator.AddReport(time.Second, math.NaN(), 1)
		estimator.AddReport(time.Second, math.Inf(1), 1)
		estimator.AddReport(time.Second, -1, 1)
	}
	if _, high, ok := estimator.Range(time.Second); ok || estimator.ContradictsConfiguration(time.Second) {
		t.Errorf("estimate of up to %g without attempts of this instance", high)
	}
	for range 50 {
		estimator.AddReport(time.Second, 40, 1)
	}
	if !estimator.ContradictsConfiguration(time.Second) {
		t.Error("no contradiction with 40 instances where 4 are configured")
	}
	if estimator.ContradictsConfiguration(time.Hour) {
		t.Error("reports from an hour ago contradict the configuration")
	}
}
