package canary

import "time"

// Options say what counts as harm, and how certain a verdict has to be. Zeros take the defaults.
type Options struct {
	MaxFalseAlarms float64       // part of harmless rollouts that may be stopped as worse; 0.01 by default
	MaxMissedHarm  float64       // part of stages with harm of one margin that may pass; 0.05
	Stages         int           // number over which MaxFalseAlarms is divided; 4
	MinBake        time.Duration // from the last member's change to a pass; 5 min
	MaxBake        time.Duration // from the last member's change to KindNoEvidence; 1 h
	WarmUp         time.Duration // of a process, in which its counts are not compared; 30 s
	Onset          time.Duration // in which harm to unchanged members shows after a change; 1 min

	// Margins. Those of shares are at least half of the old side's value.
	LostMargin       float64       // part of the offered priority weight that is not served in time; 0.01
	FailedMargin     float64       // part of requests; 0.01
	RejectedMargin   float64       // part of requests, without those over their quota; 0.01
	LateMargin       float64       // part of requests; 0.01
	SlowMargin       float64       // part of responses slower than the old side's 99th percentile; 0.01
	UnitsMargin      float64       // forwarded units per request, relative; 0.1
	CPUMargin        float64       // per request, relative; 0.25
	MemoryMargin     float64       // relative; 0.25
	GrowthMargin     float64       // of memory in an hour, relative, above the controls' growth; 0.6, more if MaxBake is under 30 min
	MinCrashInterval time.Duration // time of one instance between crashes that are usual; 240 h

	// Without is for simulations, which show that each guard is needed.
	Without Guards
}

// Guards are parts of Judge that a simulation may disable.
type Guards struct {
	Sequential bool // bounds hold for one look only
	Cluster    bool // the request is the statistical unit, without variance between or within instances
	Control    bool // controls count as unchanged members
	Tolerance  bool // any difference is harm, and few counts are taken for normal
	Baseline   bool // counts before the stage are ignored
}

func (o *Options) setDefaults() {
	setDefault(&o.MaxFalseAlarms, 0.01)
	setDefault(&o.MaxMissedHarm, 0.05)
	if o.Stages < 1 {
		o.Stages = 4
	}
	setDefaultTime(&o.MinBake, 5*time.Minute)
	setDefaultTime(&o.MaxBake, time.Hour)
	o.MaxBake = max(o.MaxBake, o.MinBake)
	setDefaultTime(&o.WarmUp, 30*time.Second)
	setDefaultTime(&o.Onset, time.Minute)
	setDefaultTime(&o.MinCrashInterval, 240*time.Hour)
	for _, margin := range []*float64{&o.LostMargin, &o.FailedMargin, &o.RejectedMargin, &o.LateMargin, &o.SlowMargin} {
		setDefault(margin, 0.01)
	}
	setDefault(&o.UnitsMargin, 0.1)
	setDefault(&o.CPUMargin, 0.25)
	setDefault(&o.MemoryMargin, 0.25)
	setDefault(&o.GrowthMargin, 0.6)
}

// setDefault replaces a value that is not positive; NaN is none.
func setDefault(value *float64, byDefault float64) {
	if !(*value > 0) {
		*value = byDefault
	}
}

func setDefaultTime(value *time.Duration, byDefault time.Duration) {
	if *value <= 0 {
		*value = byDefault
	}
}

// margin returns the margin of the measure with an index.
func (o *Options) margin(measure int) float64 {
	return [measureCount]float64{
		measureLost:     o.LostMargin,
		measureFailed:   o.FailedMargin,
		measureRejected: o.RejectedMargin,
		measureLate:     o.LateMargin,
		measureSlow:     o.SlowMargin,
		measureUnits:    o.UnitsMargin,
		measureCPU:      o.CPUMargin,
		measureMemory:   o.MemoryMargin,
		measureGrowth:   o.GrowthMargin,
	}[measure]
}

// Growth is a rate by the hour, whose standard error falls with the time watched to the power of 3/2.
const (
	fullGrowthBake = 30 * time.Minute // MaxBake from which on GrowthMargin applies; below, a margin that shows as well
	minGrowthBake  = 5 * time.Minute  // MaxBake below which only growth that exceeds MemoryMargin can be ruled out
)

// growthMargin returns the margin of memory's growth for a stage that has been watched for some time. Where MaxBake is
// below minGrowthBake, a pass only rules out growth by which memory's mean over that time exceeds its own margin.
func (o *Options) growthMargin(watched time.Duration) float64 {
	margin := o.hourlyGrowthMargin()
	if o.MaxBake < minGrowthBake {
		margin = max(margin, 2*o.MemoryMargin/max(watched, time.Second).Hours())
	}
	return margin
}

// hourlyGrowthMargin returns the growth of which a quarter counts as harm where it is shown.
func (o *Options) hourlyGrowthMargin() float64 {
	return o.GrowthMargin * max(1, fullGrowthBake.Seconds()/o.MaxBake.Seconds())
}
