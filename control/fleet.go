package control

import (
	"math"
	"time"
)

const (
	fleetEstimateGain = 0.02 // minimum gain of estimates over all servers
	throughputGain    = 0.2  // minimum gain of estimates by control windows
	epsilon           = 1e-9 // keeps quotients finite
)

// fleetEstimate is what is known of all servers together, and of the requests to them.
type fleetEstimate struct {
	latency         runningMean // seconds, of answers by servers that are not warming up
	utilization     runningMean // part of the servers' cores that is busy, by their reports
	reportedLatency runningMean // seconds, by the same reports
	warmThroughput  runningMean // units a second by servers that are not warming up
	warmServers     runningMean // how many those were
	peakThroughput  float64     // the highest of late that one of them could serve
	requestUnits    runningMean
}

// runningMean is the mean of its values at first, and later one that follows them with a minimum gain.
type runningMean struct{ mean, count float64 }

func (m *runningMean) add(value, minGain float64) {
	m.count++
	m.mean += math.Max(minGain, 1/m.count) * (value - m.mean)
}

// decayFactor is the part of a quantity that is left after a time in which it decays exponentially.
func decayFactor(elapsed time.Duration, timeConstantSeconds float64) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstantSeconds)
}

func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
