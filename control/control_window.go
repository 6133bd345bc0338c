package control

import "math"

// controlWindow is what is counted in one control window. Counts are floats as they enter quotients.
type controlWindow struct {
	wasCut            bool // the limit, or would have been but for a recent cut
	limitReached      bool
	latencyRatioSum   float64 // of latency over objective, one at most
	latencySecondsSum float64
	latencyCount      float64
	answers           float64 // also by servers that are warming up
	overloads         float64 // attempts that were rejected by a server or timed out
	servedUnits       float64 // by servers that are not warming up
	utilizationSum    float64 // of load reports
	utilizationCount  float64
}

// hasEnoughAnswers tells whether a mean over the window's outcomes says something.
func (w *controlWindow) hasEnoughAnswers() bool {
	return w.answers+w.overloads >= minAnswersPerWindow
}

// overloadFraction is the part of the window's outcomes that show overload.
func (w *controlWindow) overloadFraction() float64 {
	return w.overloads / math.Max(1, w.overloads+w.answers)
}

func (w *controlWindow) recordAnswer() { w.answers++ }

func (w *controlWindow) recordOverload() { w.overloads++ }

func (w *controlWindow) recordServed(units float64) { w.servedUnits += units }

func (w *controlWindow) recordLimitReached() { w.limitReached = true }

// recordLatency takes the latency of an answer by a server that is not warming up, and the objective of its
// request, in seconds.
func (w *controlWindow) recordLatency(seconds, objective float64) {
	w.latencySecondsSum += math.Min(seconds, objective)
	w.latencyRatioSum += math.Min(1, seconds/objective)
	w.latencyCount++
}

// recordUtilization takes the utilization of a load report.
func (w *controlWindow) recordUtilization(utilization float64) {
	w.utilizationSum += utilization
	w.utilizationCount++
}
