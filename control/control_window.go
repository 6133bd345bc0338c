package control

import (
	"math"
	"time"
)

const (
	windowDuration      = time.Second     // between two updates of shares and concurrency limit
	maxWindowExtension  = 4 * time.Second // by which a window with few answers may be longer
	minAnswersPerWindow = 5               // with fewer answers the shares stay
)

// controlWindow is what is counted in one control window. Counts are floats as they enter quotients.
type controlWindow struct {
	isOverloaded      bool // the limit, or would have been but for a recent cut
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

// meanLatencyRatio is the mean of latency over objective, zero without answers.
func (w *controlWindow) meanLatencyRatio() float64 {
	return w.latencyRatioSum / math.Max(1, w.latencyCount)
}

// isSlowerThan tells whether the mean latency is above a multiple of another one.
func (w *controlWindow) isSlowerThan(multiple, latencySeconds float64) bool {
	return w.latencySecondsSum > w.latencyCount*multiple*latencySeconds
}

// isUtilizedAbove tells whether servers reported that more than a part of their cores is busy; false without
// reports.
func (w *controlWindow) isUtilizedAbove(fraction float64) bool {
	return w.utilizationSum > w.utilizationCount*fraction
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
