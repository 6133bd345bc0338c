package control

import (
	"math"
	"time"
)

const (
	peakDecaySeconds       = 60.0 // decay time constant of the peak throughput, which a server can reach again
	minUtilizationFraction = 0.5  // lower utilizations do not show how much more a server could serve
)

// warmServerThroughput returns the units per second that a warm server can serve for this gateway, estimated
// from the recent throughput of one of them. The throughput of all is divided by the number of servers that
// had served it, not by the number still warm, which is far too small after a restart of most servers at
// once. A checkpoint of an earlier build does not contain that number.
func (f *serverFleet) warmServerThroughput(now time.Duration) float64 {
	if f.warmServers.mean == 0 {
		return f.warmThroughput.mean / math.Max(1, f.countWarm(now))
	}
	return f.peakThroughput
}

// recordThroughput records the units that servers which are not warming up served in a control window.
func (f *serverFleet) recordThroughput(now time.Duration, servedUnits, windowSeconds float64) {
	f.warmThroughput.add(servedUnits/windowSeconds, throughputGain)
	f.warmServers.add(f.countWarm(now), throughputGain)
	f.updatePeakThroughput(windowSeconds)
}

// countWarm estimates the number of usable servers that are not warming up. Servers may stay listed after
// they have died, so if some are ejected, the count is scaled by the fraction of live ones among those tried
// recently.
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

// updatePeakThroughput updates the throughput that one warm server can reach: its served units divided by its
// utilization. The estimate rises at once and decays slowly.
func (f *fleetEstimate) updatePeakThroughput(windowSeconds float64) {
	decayed := f.peakThroughput * math.Exp(-windowSeconds/peakDecaySeconds)
	served := f.warmThroughput.mean / math.Max(1, f.warmServers.mean)
	f.peakThroughput = math.Max(decayed, served/f.utilizationFraction())
}

// utilizationFraction returns the reported utilization of the servers, or 1 without reports. Its lower bound
// limits the estimated capacity of a server to twice its throughput.
func (f *fleetEstimate) utilizationFraction() float64 {
	if f.utilization.count == 0 {
		return 1
	}
	return math.Min(1, math.Max(minUtilizationFraction, f.utilization.mean))
}
