package rolloutsim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lockflow/internal/canary"
)

// Names of the judges: canary.Judge, readiness checks alone, and fixed thresholds on the totals of both sides.
const (
	judgeEvidence  = "evidence"
	judgeReadiness = "readiness"
	judgeThreshold = "threshold"
)

// Names of the kinds of traffic.
const (
	trafficEven   = "even"
	trafficUneven = "uneven" // some instances get several times the mean traffic
	trafficBursty = "bursty" // as uneven, and single customers send bursts
)

// Judges are the names of the judges.
var Judges = []string{judgeEvidence, judgeReadiness, judgeThreshold}

// Traffics are the names of the kinds of traffic.
var Traffics = []string{trafficEven, trafficUneven, trafficBursty}

// Mutations are sets of the judge's guards to disable, by name. The tolerance is disabled together with another guard
// where it would hide the effect of disabling that one.
var Mutations = map[string]canary.Guards{
	"no slack":         {Tolerance: true},
	"one look":         {Sequential: true, Tolerance: true},
	"request as unit":  {Cluster: true, Tolerance: true},
	"no control":       {Control: true},
	"no before":        {Baseline: true},
	"all of the above": {Sequential: true, Cluster: true, Control: true, Baseline: true, Tolerance: true},
}

// MutationNames returns the names of the mutations in alphabetical order.
func MutationNames() []string { return slices.Sorted(maps.Keys(Mutations)) }

// Harm describes the effects of a faulty change on the instances that run it. A zero field has no effect.
type Harm struct {
	Name              string
	FailureShare      float64       // fraction of requests that fail in addition
	After             time.Duration // age of the process at which the harm starts
	MinChangedShare   float64       // changed fraction of the fleet at which the harm starts
	DelayFactor       float64       // factor of all delays
	OverLimit         float64       // relative increase of the units of customers at their hard limits
	MemoryGrowth      float64       // growth per minute, relative to the memory at the start
	CrashInterval     time.Duration // mean time between crashes
	FleetFailureShare float64       // additional failures of all instances once the whole fleet has changed
	ExtraCPU          float64       // relative increase of the CPU time of a request
}

// Harms are the harms that can be simulated. The first has no effect.
var Harms = []Harm{
	{Name: "none"},
	{Name: "fails 10%", FailureShare: 0.1},
	{Name: "fails 5%", FailureShare: 0.05},
	{Name: "p99 twice", DelayFactor: 2},
	{Name: "ceilings +30%", OverLimit: 0.3},
	{Name: "memory grows", MemoryGrowth: 0.02},
	{Name: "crash an hour", CrashInterval: time.Hour},
	{Name: "fails 5% after 4 min", FailureShare: 0.05, After: 4 * time.Minute},
	{Name: "fails 10% from half on", FailureShare: 0.1, MinChangedShare: 0.5},
	{Name: "hammers servers", FleetFailureShare: 0.1},
}

// Options are the options of a simulation. Zero fields take the defaults given in the comments.
type Options struct {
	Instances     int           // 40
	Traffic       string        // one of Traffics; default the first
	Harm          Harm          // default none
	Judge         string        // one of Judges; default the first
	Without       string        // name of a mutation; default none
	Rate          float64       // requests per second of an instance; 20
	FaultInterval time.Duration // mean time between faults of the environment; 1 h
	Runs          int           // number of rollouts; 100
	Seed          uint64
	JudgeOptions  canary.Options
}

// Defaults of Options.
const (
	defaultInstances     = 40
	defaultRate          = 20
	defaultFaultInterval = time.Hour
	defaultRuns          = 100
)

// setDefaults sets the defaults, and disables the guards of the mutation. It returns an error for invalid options.
func (o *Options) setDefaults() error {
	if o.Instances == 0 {
		o.Instances = defaultInstances
	}
	if o.Traffic == "" {
		o.Traffic = Traffics[0]
	}
	if o.Harm.Name == "" {
		o.Harm = Harms[0]
	}
	if o.Judge == "" {
		o.Judge = Judges[0]
	}
	if o.Rate == 0 {
		o.Rate = defaultRate
	}
	if o.FaultInterval == 0 {
		o.FaultInterval = defaultFaultInterval
	}
	if o.Runs == 0 {
		o.Runs = defaultRuns
	}
	without, isKnown := Mutations[o.Without]
	if o.Without != "" && !isKnown {
		return fmt.Errorf("rolloutsim: unknown mutation %q", o.Without)
	}
	o.JudgeOptions.Without = without
	if !o.isValid() {
		return fmt.Errorf("rolloutsim: invalid option among %d instances (at least 2), traffic %q, judge %q, rate %v, fault interval %v (at least 10s), %d runs",
			o.Instances, o.Traffic, o.Judge, o.Rate, o.FaultInterval, o.Runs)
	}
	return nil
}

func (o *Options) isValid() bool {
	return slices.Contains(Judges, o.Judge) &&
		slices.Contains(Traffics, o.Traffic) &&
		o.Instances >= 2 &&
		o.Rate > 0 &&
		o.FaultInterval >= interval &&
		o.Runs >= 1
}
