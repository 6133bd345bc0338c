package control

import (
	"math"
	"time"
)

const (
	windowDuration      = time.Second     // time between updates of the shares and the concurrency limit
	maxWindowExtension  = 4 * time.Second // maximum extension of a window with few answers
	minAnswersPerWindow = 5               // with fewer answers the shares are not updated
)

// controlWindow holds the counts of one control window. Counts are floats because they are used in quotients.
type controlWindow struct {
	isOverloaded      bool // whether the limit was cut, or would have been if it had not been cut recently
	limitReached      bool
	latencyRatioSum   float64 // sum of latency over objective, each at most one
	latencySecondsSum float64
	latencyCount      float64
	answers           float64 // includes answers of servers that are warming up
	overloads         float64 // attempts that were rejected by a server or timed out
	servedUnits       float64 // units served by servers that are not warming up
	utilizationSum    float64 // sum over load reports
	utilizationCount  float64
}

// hasEnoughAnswers reports whether the window has enough outcomes for a meaningful mean.
func (w *controlWindow) hasEnoughAnswers() bool {
	return w.answers+w.overloads >= minAnswersPerWindow
}

// overloadFraction returns the fraction of the window's outcomes that are overloads.
func (w *controlWindow) overloadFraction() float64 {
	return w.overloads / math.Max(1, w.overloads+w.answers)
}

// meanLatencyRatio returns the mean ratio of latency to objective, zero without answers.
func (w *controlWindow) meanLatencyRatio() float64 {
	return w.latencyRatioSum / math.Max(1, w.latencyCount)
}

// isSlowerThan reports whether the mean latency is above a multiple of the given one.
func (w *controlWindow) isSlowerThan(multiple, latencySeconds float64) bool {
	return w.latencySecondsSum > w.latencyCount*multiple*latencySeconds
}

// isUtilizedAbove reports whether the mean reported utilization is above a fraction; false without reports.
func (w *controlWindow) isUtilizedAbove(fraction float64) bool {
	return w.utilizationSum > w.utilizationCount*fraction
}

func (w *controlWindow) recordAnswer() { w.answers++ }

func (w *controlWindow) recordOverload() { w.overloads++ }

func (w *controlWindow) recordServed(units float64) { w.servedUnits += units }

func (w *controlWindow) recordLimitReached() { w.limitReached = true }

// recordLatency records the latency of an answer by a server that is not warming up, and the objective of its
// request, both in seconds.
func (w *controlWindow) recordLatency(seconds, objective float64) {
	w.latencySecondsSum += math.Min(seconds, objective)
	w.latencyRatioSum += math.Min(1, seconds/objective)
	w.latencyCount++
}

// recordUtilization records the utilization of a load report.
func (w *controlWindow) recordUtilization(utilization float64) {
	w.utilizationSum += utilization
	w.utilizationCount++
}
