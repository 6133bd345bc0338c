// Package canary decides whether the changed side of a fleet does worse than the old one, from what
// each instance counts of itself. The unit is the instance; bounds hold however often it is asked. It
// does no I/O and takes time as an argument. A Judge is for one goroutine. Why it is as it is:
// docs/design/evidence.md.
package canary

import (
	"time"

	"lockflow/internal/instancestats"
)

// Side is what a member runs and since when.
type Side int

// The sides of a comparison.
const (
	SideOld     Side = iota // the old program or settings, for long
	SideNew                 // changed
	SideControl             // old, restarted with the changed ones
)

// VerdictKind is what a verdict says.
type VerdictKind int

// The kinds of verdict.
const (
	KindWait       VerdictKind = iota // for more evidence
	KindPass                          // harm beyond the margins is ruled out
	KindWorse                         // harm is shown
	KindNoEvidence                    // it was watched for as long as allowed and shows neither; that is no pass
)

func (k VerdictKind) String() string { return [...]string{"wait", "pass", "worse", "no evidence"}[k] }

// Reading is what a member tells of itself. Side is New from when it runs what is new, not from the order on.
type Reading struct {
	Member     string
	Side       Side
	IsServing  bool // answers and serves
	Statistics instancestats.Statistics
	Weight     float64 // part of the traffic that it is meant to get; kept for callers, the judge goes by what came
}

// Measure is one comparison. Shares are told as they are, costs (units, cpu, memory, growth) as ratios to the
// member's own before; Low and High bound New - Old, Low at the level for alarms and High at that for passes.
type Measure struct {
	Name                         string
	Old, New                     float64
	Low, High                    float64
	Margin                       float64 // what counts as harm
	IsWorse, IsEnough            bool    // Low is beyond a quarter of the margin; High is under it
	Members, References, LeftOut int     // compared, compared with, left out for what they told

	difference float64
}

// Verdict is what a stage has come to. Why is one line for people.
type Verdict struct {
	Kind     VerdictKind
	Reason   string
	Measures []Measure
}

// Options are what counts as harm and how sure to be; zeros take the defaults named.
type Options struct {
	MaxFalseAlarms float64       // part of harmless rollouts that are stopped as worse, at most: 0.01
	MaxMissedHarm  float64       // part of stages with harm of a whole margin that pass, at most: 0.05
	Stages         int           // that Alpha is split over: 4
	MinBake        time.Duration // countedMeasure the last member's change to a pass: 5 min
	MaxBake        time.Duration // countedMeasure the last member's change to NoEvidence: 1 h
	WarmUp         time.Duration // of a process, not compared: 30 s
	Onset          time.Duration // varianceOverTime which of a stage's steps harm to others shows: 1 min

	// Margins. Those of shares are half of what the old side has, where that is more.
	LostMargin       float64       // of the part of worth asked that is not served in time: 0.01
	FailedMargin     float64       // of requests: 0.01
	RejectedMargin   float64       // refused though inside quotas, of requests: 0.01
	LateMargin       float64       // of requests: 0.01
	SlowMargin       float64       // of answers, over what the old side's 99th percentile was: 0.01, twice as many
	UnitsMargin      float64       // units sent on for each request asked, relative: 0.1
	CPUMargin        float64       // for each request, relative: 0.25
	MemoryMargin     float64       // relative: 0.25
	GrowthMargin     float64       // of memory in an hour, relative to it, beyond the control's: 0.6; more where BakeMost is under 30 min
	MinCrashInterval time.Duration // of one instance between crashes, from which on they are no harm: 240 h

	// What the simulation takes out to show that it is needed.
	Without Guards
}

// Guards are parts of the judge that a simulation may take out.
type Guards struct {
	Sequential bool // bounds for one look instead of bounds for any number
	Cluster    bool // requests as units: no variance between or over time within instances
	Control    bool // controls count as old ones
	Tolerance  bool // alarm from no difference on, and few counts taken for normal
	Baseline   bool // nothing from before the stage
}

func (o *Options) setDefaults() {
	set := func(v *float64, d float64) {
		if !(*v > 0) {
			*v = d
		}
	}
	wait := func(v *time.Duration, d time.Duration) {
		if *v <= 0 {
			*v = d
		}
	}
	set(&o.MaxFalseAlarms, 0.01)
	set(&o.MaxMissedHarm, 0.05)
	if o.Stages < 1 {
		o.Stages = 4
	}
	wait(&o.MinBake, 5*time.Minute)
	wait(&o.MaxBake, time.Hour)
	o.MaxBake = max(o.MaxBake, o.MinBake)
	wait(&o.WarmUp, 30*time.Second)
	wait(&o.Onset, time.Minute)
	wait(&o.MinCrashInterval, 240*time.Hour)
	for _, v := range []*float64{&o.LostMargin, &o.FailedMargin, &o.RejectedMargin, &o.LateMargin, &o.SlowMargin} {
		set(v, 0.01)
	}
	set(&o.UnitsMargin, 0.1)
	set(&o.CPUMargin, 0.25)
	set(&o.MemoryMargin, 0.25)
	set(&o.GrowthMargin, 0.6)
}

// What is compared, by index.
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
	countedMeasures = measureGrowth // those with counts of their own; growth is memory's slope
)

var measureNames = [measureCount]string{"lost worth", "failed", "refused", "late", "slow", "units", "cpu", "memory", "growth"}

func (o *Options) margin(measure int) float64 {
	return [measureCount]float64{o.LostMargin, o.FailedMargin, o.RejectedMargin, o.LateMargin, o.SlowMargin, o.UnitsMargin, o.CPUMargin, o.MemoryMargin, o.GrowthMargin}[measure]
}

// Growth is told by the hour, and shows over time: its bound narrows with the span to the power of 3/2.
const (
	fullGrowthBake = 30 * time.Minute // countedMeasure this BakeMost on its margin is Growth; under it that which shows as much
	minGrowthBake  = 5 * time.Minute  // under this nothing slower than what the memory's own margin shows can be told
)

// growthMargin is the margin for memory's growth, of a stage watched for so long. Where BakeMost is too short for any
// rate that would be harm by the hour to be ruled out, a pass waits for no more than that of which memory's
// mean over the span would be over its margin; it is for the memory measure to see less.
func (o *Options) growthMargin(watched time.Duration) float64 {
	margin := o.hourlyGrowthMargin()
	if o.MaxBake < minGrowthBake {
		margin = max(margin, 2*o.MemoryMargin/max(watched, time.Second).Hours())
	}
	return margin
}

// hourlyGrowthMargin is that of which a quarter, where it is shown, is harm.
func (o *Options) hourlyGrowthMargin() float64 {
	return o.GrowthMargin * max(1, fullGrowthBake.Seconds()/o.MaxBake.Seconds())
}

// relativeEvidence tells whether a measure is told as a ratio to before.
func isRelative(measure int) bool { return measure >= measureUnits }

// measureRatio is a measure of a span as numerator and denominator.
func measureRatio(measure int, statistics *instancestats.Statistics, slowBucket int) (numerator, denominator float64) {
	switch measure {
	case measureLost:
		return statistics.OfferedWeight - statistics.Served, statistics.OfferedWeight
	case measureFailed:
		return float64(statistics.Failed), float64(statistics.Requests)
	case measureRejected:
		return float64(statistics.Refused - statistics.OverQuota), float64(statistics.Requests - statistics.OverQuota)
	case measureLate:
		return float64(statistics.Late), float64(statistics.Requests)
	case measureSlow:
		if slowBucket < 0 { // what the old side takes is not known yet
			return 0, 0
		}
		var slow, all uint64
		for i, n := range statistics.Delays {
			if all += n; i > slowBucket {
				slow += n
			}
		}
		return float64(slow), float64(all)
	case measureUnits:
		return statistics.Units, float64(statistics.Requests)
	case measureCPU:
		return statistics.CPU.Seconds(), float64(statistics.Requests)
	}
	return float64(statistics.MemoryKB), 1
}
