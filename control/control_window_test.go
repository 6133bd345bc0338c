package control

import "testing"

func TestWindowCountsOutcomes(t *testing.T) {
	var window controlWindow
	for range 3 {
		window.recordAnswer()
	}
	if window.hasEnoughAnswers() {
		t.Error("hasEnoughAnswers is true after three answers")
	}
	window.recordOverload()
	window.recordOverload()
	if !window.hasEnoughAnswers() || window.overloadFraction() != 0.4 {
		t.Errorf("hasEnoughAnswers is %v and the overload fraction %g after two overloads among five outcomes, want true and 0.4", window.hasEnoughAnswers(), window.overloadFraction())
	}
}

func TestLatencyIsCappedAtItsObjective(t *testing.T) {
	var window controlWindow
	window.recordLatency(1, 4)
	window.recordLatency(20, 2)
	if window.latencySecondsSum != 3 || window.latencyRatioSum != 1.25 || window.latencyCount != 2 {
		t.Errorf("sums of %g s and of ratios %g over %g answers, want 3, 1.25 and 2", window.latencySecondsSum, window.latencyRatioSum, window.latencyCount)
	}
}

func TestWindowWithoutOutcomesShowsNoOverload(t *testing.T) {
	var window controlWindow
	if got := window.overloadFraction(); got != 0 {
		t.Errorf("overload fraction is %g without outcomes, want 0", got)
	}
}
