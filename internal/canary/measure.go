package canary

import "lockflow/internal/instancestats"

// Indexes of the compared measures.
const (
	measureLost = iota
	measureFailed
	measureRejected
	measureLate
	measureSlow
	measureUnits
	measureCPU
	measureMemory
	measureGrowth
	measureCount
	countedMeasures = measureGrowth // number of measures with counts of their own; growth is the slope of memory
)

// measureNames are the names of the measures in verdicts, in the rollout log and in the output of commands.
var measureNames = [measureCount]string{"lost worth", "failed", "refused", "late", "slow", "units", "cpu", "memory", "growth"}

// isRelative tells whether a measure is compared as a ratio to its baseline.
func isRelative(measure int) bool { return measure >= measureUnits }

// measureRatio returns a counted measure as numerator and denominator. A response is slow if its delay is in a bucket
// above slowBucket; -1 means that this bucket is unknown.
func measureRatio(measure int, statistics *instancestats.Statistics, slowBucket int) (numerator, denominator float64) {
	switch measure {
	case measureLost:
		return statistics.OfferedWeight - statistics.Served, statistics.OfferedWeight
	case measureFailed:
		return float64(statistics.Failed), float64(statistics.Requests)
	case measureRejected:
		return float64(statistics.Rejected - statistics.OverQuota), float64(statistics.Requests - statistics.OverQuota)
	case measureLate:
		return float64(statistics.Late), float64(statistics.Requests)
	case measureSlow:
		return slowRatio(&statistics.Delays, slowBucket)
	case measureUnits:
		return statistics.Units, float64(statistics.Requests)
	case measureCPU:
		return statistics.CPU.Seconds(), float64(statistics.Requests)
	}
	return float64(statistics.MemoryKB), 1
}

// slowRatio returns the number of slow responses and the number of all responses.
func slowRatio(delays *instancestats.Delays, slowBucket int) (numerator, denominator float64) {
	if slowBucket < 0 {
		return 0, 0
	}
	var slow, all uint64
	for i, count := range delays {
		all += count
		if i > slowBucket {
			slow += count
		}
	}
	return float64(slow), float64(all)
}
