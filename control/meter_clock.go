package control

import (
	"math"
	"time"
)

const (
	binsPerPeriod       = 10   // bins in a meter period
	initialMeterLagBins = 8    // delay of readings assumed until it is learned
	maxMeterLagBins     = 66   // delays of readings that are considered
	misfitDecay         = 0.99 // part of a delay's misfit that stays at each reading
	missingSendsWeight  = 0.5  // weight of usage without sends against sends without usage
	misfitSwitchRatio   = 0.8  // another delay's misfit must be below this part of the present one's
)

// meterClock is what is known of the meter's periods: when they end, and how late readings of them come.
// Times are in bins, of which a period has binsPerPeriod.
type meterClock struct {
	misfit   [binsPerPeriod][maxMeterLagBins]float64 // decaying, by phase and lag; see fit
	phaseBin int64
	lagBins  int64
}

// periodEndBin is the bin in which the period ended that is reported now.
func (m *meterClock) periodEndBin(now int64) int64 {
	return latestBinAtPhase(now, m.phaseBin) - m.lagBins
}

// latestBinAtPhase is the latest bin at or before now that lies at a phase of the period.
func latestBinAtPhase(now, phase int64) int64 {
	return now - ((now-phase)%binsPerPeriod+binsPerPeriod)%binsPerPeriod
}

// binDurationOf is the length of a bin with a period of the meter; 0 is no meter.
func binDurationOf(period time.Duration) time.Duration {
	if period > 0 {
		return period / binsPerPeriod
	}
	return windowDuration / binsPerPeriod
}

// fit takes a reading and finds when the meter's periods end and how late they are reported, whatever the
// cause of the delay: the phase and lag under which the units sent here fit all readings best. Guards
// against a period that is read many times, or matched with the sends of another.
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
