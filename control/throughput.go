package control

import (
	"math"
	"time"
)

const (
	peakDecaySeconds       = 60.0 // time constant of a server's highest throughput: it can serve that again
	minUtilizationFraction = 0.5  // below it, reports of utilization say nothing of what a server can serve
)

// warmServerThroughput is the units a second that a warm server can serve for this gateway, by what one of
// them has served lately. Guards against a restart of most servers at once: what all have served is divided
// by how many those were, not by how many are left. A checkpoint of an earlier build does not tell that.
func (f *serverFleet) warmServerThroughput(now time.Duration) float64 {
	if f.warmServers.mean == 0 {
		return f.warmThroughput.mean / math.Max(1, f.countWarm(now))
	}
	return f.peakThroughput
}

// recordThroughput takes the units that servers which are not warming up have served in a control window.
func (f *serverFleet) recordThroughput(now time.Duration, servedUnits, windowSeconds float64) {
	f.warmThroughput.add(servedUnits/windowSeconds, throughputGain)
	f.warmServers.add(f.countWarm(now), throughputGain)
	f.updatePeakThroughput(windowSeconds)
}

// countWarm counts the servers that serve and don't warm up. Guards against servers that stay listed after
// they died: as many of those listed count as of those tried lately.
func (f *serverFleet) countWarm(now time.Duration) float64 {
	var warm, reporting, ejected float64
	for _, srv := range f.sortedServers {
		switch {
		case !srv.isUsable() || srv.isWarmingUp():
			continue
		case srv.outlier.hasTripped():
			ejected++
		case srv.load.isRecent(now):
			reporting++
		}
		warm++
	}
	if ejected > 0 {
		warm *= (1 + reporting) / (1 + reporting + ejected)
	}
	return warm
}

// updatePeakThroughput follows what one warm server can serve up at once and down slowly: its throughput by
// the part of its capacity that this was.
func (f *fleetEstimate) updatePeakThroughput(windowSeconds float64) {
	decayed := f.peakThroughput * math.Exp(-windowSeconds/peakDecaySeconds)
	served := f.warmThroughput.mean / math.Max(1, f.warmServers.mean)
	f.peakThroughput = math.Max(decayed, served/f.utilizationFraction())
}

// busyFraction is the part of their capacity that servers report to use, or 1 where they report none.
// Servers are not believed to be able to serve more than twice what they do.
func (f *fleetEstimate) utilizationFraction() float64 {
	if f.utilization.count == 0 {
		return 1
	}
	return math.Min(1, math.Max(minUtilizationFraction, f.utilization.mean))
}
