package control

import "math"

// fleetEstimate is what is known of all servers together, and of the requests to them.
type fleetEstimate struct {
	latency         runningMean // seconds, of answers by servers that are not warming up
	utilization     runningMean // part of the servers' cores that is busy, by their reports
	reportedLatency runningMean // seconds, by the same reports
	warmThroughput  runningMean // units a second by servers that are not warming up
	warmServers     runningMean // how many those were
	peakThroughput  float64     // the highest of late that one of them could serve, by both means and its utilization
	requestUnits    runningMean
}

// runningMean is the mean of its values at first, and later one that follows them with a minimum gain.
type runningMean struct{ mean, count float64 }

func (m *runningMean) add(value, minGain float64) {
	m.count++
	m.mean += math.Max(minGain, 1/m.count) * (value - m.mean)
}
