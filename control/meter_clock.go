package control

import "time"

// meterClock is what is known of the meter's periods: when they end, and how late readings of them come. Times are
// in bins, of which a period has binsPerPeriod.
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

func (c *Controller) binDuration() time.Duration { return binDurationOf(c.settings.MeterPeriod) }

// binDurationOf is the length of a bin with a period of the meter; 0 is no meter.
func binDurationOf(period time.Duration) time.Duration {
	if period > 0 {
		return period / binsPerPeriod
	}
	return windowDuration / binsPerPeriod
}

func (c *Controller) currentBin() int64 { return int64(c.now / c.binDuration()) }
