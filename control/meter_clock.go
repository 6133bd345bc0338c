package control

import (
	"math"
	"time"
)

const (
	binsPerPeriod       = 10   // bins in a meter period
	initialMeterLagBins = 8    // lag of readings that is assumed until it is learned
	maxMeterLagBins     = 66   // number of lags that are considered, from 0
	misfitDecay         = 0.99 // fraction of a misfit that remains at each reading
	missingSendsWeight  = 0.5  // weight of usage without sends, relative to sends without usage
	misfitSwitchRatio   = 0.8  // a lag is replaced by one whose misfit is below this fraction of its own
)

// meterClock estimates when the meter's periods end and with which lag their readings arrive. Times are in
// bins; a period has binsPerPeriod bins.
type meterClock struct {
	misfit   [binsPerPeriod][maxMeterLagBins]float64 // decaying, by phase and lag; see fit
	phaseBin int64
	lagBins  int64
}

// periodEndBin returns the bin in which the currently reported period ended.
func (m *meterClock) periodEndBin(now int64) int64 {
	return latestBinAtPhase(now, m.phaseBin) - m.lagBins
}

// latestBinAtPhase returns the latest bin at or before now that has the given phase in its period.
func latestBinAtPhase(now, phase int64) int64 {
	return now - ((now-phase)%binsPerPeriod+binsPerPeriod)%binsPerPeriod
}

// binDurationOf returns the length of a bin, given the meter's period; 0 is no meter.
func binDurationOf(period time.Duration) time.Duration {
	if period > 0 {
		return period / binsPerPeriod
	}
	return windowDuration / binsPerPeriod
}

// fit updates the phase and the lag of the meter's periods by a reading. It selects those under which the
// units that this gateway sent fit all readings best, whatever causes the lag. With a wrong estimate a period
// would be read more than once, or compared with the units sent in another one.
func (m *meterClock) fit(sent *history, used, units, localFraction float64, now int64) {
	minMisfit := math.Inf(1)
	var bestPhase, bestLag int64
	recent := sent.window()
	for phase := int64(0); phase < binsPerPeriod; phase++ {
		periodEnd := latestBinAtPhase(now, phase)
		for lag := int64(0); lag < maxMeterLagBins; lag++ {
			local := recent.periodSum(periodEnd - lag)
			sampleMisfit := math.Max(0, local-used) + missingSendsWeight*math.Max(0, localFraction*used-local)
			misfit := &m.misfit[phase][lag]
			*misfit = *misfit*misfitDecay + sampleMisfit/(units+used+local)
			if *misfit < minMisfit {
				minMisfit = *misfit
				bestPhase = phase
				bestLag = lag
			}
		}
	}
	if minMisfit < misfitSwitchRatio*m.misfit[m.phaseBin][m.lagBins] {
		m.phaseBin = bestPhase
		m.lagBins = bestLag
	}
}
