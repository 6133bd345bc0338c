package control

import (
	"math"
	"time"
)

const (
	fleetEstimateGain = 0.02 // minimum gain of estimates over all servers
	throughputGain    = 0.2  // minimum gain of estimates that are updated once per control window
	epsilon           = 1e-9 // lower bound of divisors, to keep quotients finite
)

// fleetEstimate holds the estimates over all servers and over the requests to them.
type fleetEstimate struct {
	latency         runningMean // latency in seconds of servers that are not warming up
	utilization     runningMean // reported fraction of the servers' cores that is busy
	reportedLatency runningMean // reported mean latency in seconds
	warmThroughput  runningMean // units per second of all servers that are not warming up
	warmServers     runningMean // number of these servers
	peakThroughput  float64     // highest recent units per second that one of them could serve
	requestUnits    runningMean
}

// runningMean is the arithmetic mean of the first values, and an exponential average with a minimum gain
// later.
type runningMean struct{ mean, count float64 }

func (m *runningMean) add(value, minGain float64) {
	m.count++
	m.mean += math.Max(minGain, 1/m.count) * (value - m.mean)
}

// decayFactor returns the fraction of a quantity that is left after a time of exponential decay.
func decayFactor(elapsed time.Duration, timeConstantSeconds float64) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstantSeconds)
}

func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
