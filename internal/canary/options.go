package canary

import "time"

// Options define what counts as harm and how certain a verdict has to be. A zero value is replaced by the default.
type Options struct {
	MaxFalseAlarms float64       // maximum share of harmless rollouts that are stopped as worse; 0.01 by default
	MaxMissedHarm  float64       // maximum share of stages with harm of one margin that pass; 0.05 by default
	Stages         int           // number of stages among which MaxFalseAlarms is divided; 4 by default
	MinBake        time.Duration // minimum time from the last member's change to a pass; 5 min by default
	MaxBake        time.Duration // time from the last member's change to KindNoEvidence; 1 h by default
	WarmUp         time.Duration // time after the start of a process in which its counts are not compared; 30 s by default
	Onset          time.Duration // time after a change within which harm to unchanged members becomes visible; 1 min by default

	// Margins: the smallest differences between the sides that count as harm, with their defaults. The margin of a
	// share is raised to half of the old side's value if that is more.
	LostMargin       float64       // share of the offered priority weight that is not served in time; 0.01
	FailedMargin     float64       // share of requests that fail; 0.01
	RejectedMargin   float64       // share of requests that are rejected, without those over their quota; 0.01
	LateMargin       float64       // share of requests that are late; 0.01
	SlowMargin       float64       // share of responses slower than the old side's 99th percentile; 0.01
	UnitsMargin      float64       // relative increase of forwarded units per request; 0.1
	CPUMargin        float64       // relative increase of CPU time per request; 0.25
	MemoryMargin     float64       // relative increase of memory; 0.25
	GrowthMargin     float64       // relative growth of memory in an hour above the controls' growth; 0.6, more if MaxBake is under 30 min
	MinCrashInterval time.Duration // mean time between crashes of one instance that is considered usual; 240 h

	// Without disables guards in simulations, which show that each one is needed.
	Without Guards
}

// Guards are parts of Judge that a simulation may disable.
type Guards struct {
	Sequential bool // disabled: confidence bounds hold for a single evaluation only
	Cluster    bool // disabled: the request is the statistical unit, without variance between or within instances
	Control    bool // disabled: controls are treated as members that were not restarted
	Tolerance  bool // disabled: any difference is harm, and small counts are treated as normally distributed
	Baseline   bool // disabled: counts before the first stage are ignored
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

// setDefault replaces a value that is not positive, such as NaN, by its default.
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

// margin returns the margin of a measure, given by its index.
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

// Growth of memory is a rate per hour. Its standard error decreases with the watched time to the power of 3/2, so that
// short stages need a wider margin.
const (
	fullGrowthBake = 30 * time.Minute // MaxBake from which GrowthMargin applies unchanged; a shorter one widens it, as the estimate is less precise
	minGrowthBake  = 5 * time.Minute  // MaxBake below which a pass rules out only growth that exceeds MemoryMargin
)

// growthMargin returns the margin of memory growth for a stage that has been watched for a given time. If MaxBake is
// below minGrowthBake, a pass rules out only growth that raises the mean memory over that time by more than
// MemoryMargin.
func (o *Options) growthMargin(watched time.Duration) float64 {
	margin := o.hourlyGrowthMargin()
	if o.MaxBake < minGrowthBake {
		margin = max(margin, 2*o.MemoryMargin/max(watched, time.Second).Hours())
	}
	return margin
}

// hourlyGrowthMargin returns the margin of growth per hour. Growth that certainly exceeds a quarter of it is harm.
func (o *Options) hourlyGrowthMargin() float64 {
	return o.GrowthMargin * max(1, fullGrowthBake.Seconds()/o.MaxBake.Seconds())
}
