package control

import "testing"

func TestWindowCountsOutcomes(t *testing.T) {
	var window controlWindow
	for range 3 {
		window.recordAnswer()
	}
	if window.hasEnoughAnswers() {
		t.Error("three answers are enough")
	}
	window.recordOverload()
	window.recordOverload()
	if !window.hasEnoughAnswers() || window.overloadFraction() != 0.4 {
		t.Errorf("enough %v, overload %g after two overloads among five outcomes", window.hasEnoughAnswers(), window.overloadFraction())
	}
}

func TestLatencyIsCappedAtItsObjective(t *testing.T) {
	var window controlWindow
	window.recordLatency(1, 4)
	window.recordLatency(20, 2)
	if window.latencySecondsSum != 3 || window.latencyRatioSum != 1.25 || window.latencyCount != 2 {
		t.Errorf("%g s, ratios of %g, of %g answers", window.latencySecondsSum, window.latencyRatioSum, window.latencyCount)
	}
}

func TestWindowWithoutOutcomesShowsNoOverload(t *testing.T) {
	var window controlWindow
	if got := window.overloadFraction(); got != 0 {
		t.Errorf("overload %g without an outcome", got)
	}
}
