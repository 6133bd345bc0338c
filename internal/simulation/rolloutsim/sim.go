// Package rolloutsim plays staged changes over fleets in virtual time: instances draw what they count
// from a model of traffic, coldness and faults of the world, and a judge (internal/canary, or one of
// those it is held against) says when to go on and when to stop. Everything follows from the seed.
package rolloutsim

import (
	"fmt"
	"maps"
	"math"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/internal/canary"

	"gonum.org/v1/gonum/stat/distuv"
)

// Judges that there are: ours, readiness alone, and a comparison of both sides' sums with fixed thresholds.
var Judges = []string{"evidence", "readiness", "threshold"}

// Mutations take a part of the judge out.
var Mutations = map[string]canary.Guards{
	"no slack":         {Tolerance: true},
	"one look":         {Sequential: true, Tolerance: true}, // the slack alone would hide it
	"request as unit":  {Cluster: true, Tolerance: true},
	"no control":       {Control: true},
	"no before":        {Baseline: true},
	"all of the above": {Sequential: true, Cluster: true, Control: true, Baseline: true, Tolerance: true},
}

// MutationNames are theirs, sorted.
func MutationNames() []string { return slices.Sorted(maps.Keys(Mutations)) }

// Options say what is played. Zeros take the defaults named.
type Options struct {
	Instances     int           // 40
	Traffic       string        // "even", "uneven" or "bursty"
	Harm          Harm          // none
	Judge         string        // "evidence"
	Without       string        // a mutation's name
	Rate          float64       // requests a second and instance: 20
	FaultInterval time.Duration // between faults of the world: 1 h
	Runs          int           // 100
	Seed          uint64
	JudgeOptions  canary.Options
}

// Report is what came of many rollouts.
type Report struct {
	Instances  int      `json:"instances"`
	Traffic    string   `json:"traffic"`
	Harm       string   `json:"harm"`
	Judge      string   `json:"judge"`
	Without    string   `json:"without,omitempty"`
	Runs       int      `json:"runs"`
	Worse      int      `json:"worse"`       // stopped as worse
	NoEvidence int      `json:"no_evidence"` // stopped for want of evidence
	Passed     int      `json:"passed"`
	Low        float64  `json:"worse_low"`  // bounds of the part that is stopped as worse, 95%, Clopper and Pearson
	High       float64  `json:"worse_high"` //
	AtStage    []int    `json:"at_stage"`   // stops, either kind, by stage from the first
	Minutes    float64  `json:"minutes"`    // median, until it was over
	Touched    float64  `json:"touched"`    // median requests that went to changed instances
	Harmed     float64  `json:"harmed"`     // median requests lost by the change
	HarmedP95  float64  `json:"harmed_95"`  // 95th percentile
	Reasons    []string `json:"reasons"`    // of the first few that were stopped
}

// judge is what a rollout asks.
type judge interface {
	Begin(now time.Duration, before []canary.Reading)
	Observe(now time.Duration, all []canary.Reading)
	Verdict(now time.Duration) canary.Verdict
}

type outcome struct {
	kind            canary.VerdictKind
	stage           int
	duration        time.Duration
	touched, harmed float64
	reason          string
}

// Run plays o.Runs rollouts on all cores.
func Run(o Options) (Report, error) {
	if o.Instances == 0 {
		o.Instances = 40
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
		o.Rate = 20
	}
	if o.FaultInterval == 0 {
		o.FaultInterval = time.Hour
	}
	if o.Runs == 0 {
		o.Runs = 100
	}
	without, known := Mutations[o.Without]
	if o.Without != "" && !known {
		return Report{}, fmt.Errorf("there is no mutation %q", o.Without)
	}
	o.JudgeOptions.Without = without
	if !slices.Contains(Judges, o.Judge) || !slices.Contains(Traffics, o.Traffic) || o.Instances < 2 || !(o.Rate > 0) || o.FaultInterval < interval || o.Runs < 1 {
		return Report{}, fmt.Errorf("rolloutsim: %d instances, traffic %q, judge %q, rate %v, a fault every %v, %d runs: one of these is off",
			o.Instances, o.Traffic, o.Judge, o.Rate, o.FaultInterval, o.Runs)
	}
	all := make([]outcome, o.Runs)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range min(o.Runs, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < o.Runs; i = int(next.Add(1)) - 1 {
				all[i] = playOne(&o, o.Seed+uint64(i)*7919)
			}
		})
	}
	wg.Wait()
	return newReport(&o, all), nil
}

// stageTargets are how many are changed after each stage: 1, 10%, 50%, all.
func stageTargets(n int) []int {
	all := []int{1}
	for _, p := range [...]float64{0.1, 0.5, 1} {
		if t := int(math.Ceil(p * float64(n))); t > all[len(all)-1] {
			all = append(all, t)
		}
	}
	return all
}

const (
	observedBefore     = 5 * time.Minute
	evaluationInterval = 3  // intervals
	stageSteps         = 10 // in which a stage's members change
	undetectedTime     = 10 * time.Minute
)

// playOne plays a rollout.
func playOne(o *Options, seed uint64) outcome {
	w := newWorld(o, seed)
	j := newJudge(o)
	order := w.changeOrder()
	for w.now < observedBefore {
		j.Observe(w.now, w.step())
	}
	startedAt := w.now
	changed := 0
	for stage, target := range stageTargets(o.Instances) {
		j.Begin(w.now, w.readings)
		controls := min(target-changed, 8, (o.Instances-target+1)/2)
		batch := max(1, (target-changed+stageSteps-1)/stageSteps)
		for evaluations := 1; ; evaluations++ {
			for range min(batch, target-changed) {
				w.change(w.instances[order[changed]], controls > 0)
				controls--
				changed++
			}
			j.Observe(w.now, w.step())
			if evaluations%evaluationInterval != 0 || evaluations > 10*evaluationInterval && evaluations%(3*evaluationInterval) != 0 {
				continue
			}
			verdict := j.Verdict(w.now)
			if verdict.Kind == canary.KindWorse || verdict.Kind == canary.KindNoEvidence {
				return outcome{verdict.Kind, stage + 1, w.now - startedAt, w.touched, w.harmed, verdict.Reason}
			}
			if verdict.Kind == canary.KindPass && changed == target {
				break
			}
		}
	}
	duration := w.now - startedAt
	// What nobody has stopped goes on until somebody sees it: ten minutes.
	for end := w.now + undetectedTime; w.now < end; {
		w.step()
	}
	return outcome{canary.KindPass, 0, duration, w.touched, w.harmed, ""}
}

// newJudge is who decides about a rollout.
func newJudge(o *Options) judge {
	switch o.Judge {
	case "readiness":
		return readinessJudge{}
	case "threshold":
		return &thresholdJudge{}
	default:
		return canary.NewJudge(o.JudgeOptions)
	}
}

// changeOrder is the order in which instances change. The first is one that gets half the mean or more, as one with few
// requests tells little.
func (w *world) changeOrder() []int {
	order := w.rng.Perm(len(w.instances))
	if i := slices.IndexFunc(order, func(t int) bool { return w.instances[t].share >= 0.5 }); i >= 0 {
		order[0], order[i] = order[i], order[0]
	}
	return order
}

// change restarts an instance with what is new, and a control at the same time and in the same zone.
func (w *world) change(x *instance, control bool) {
	w.restart(x, canary.SideNew, 0)
	if control {
		w.restartControl(x)
	}
}

// restartControl restarts an old one beside a changed one: of the same zone where there is one, and with as much traffic.
func (w *world) restartControl(of *instance) {
	var pick *instance
	distance := func(x *instance) float64 {
		d := math.Abs(math.Log(x.share / of.share))
		if x.zone != of.zone {
			d += 100
		}
		return d
	}
	for _, x := range w.instances {
		if x.side == canary.SideOld && (pick == nil || distance(x) < distance(pick)) {
			pick = x
		}
	}
	if pick != nil {
		w.restart(pick, canary.SideControl, 0)
	}
}

func newReport(o *Options, all []outcome) Report {
	r := Report{
		Instances: o.Instances, Traffic: o.Traffic, Harm: o.Harm.Name, Judge: o.Judge, Without: o.Without, Runs: len(all),
		AtStage: make([]int, len(stageTargets(o.Instances))),
	}
	var durations, touched, harmed []float64
	for _, x := range all {
		switch x.kind {
		case canary.KindWorse:
			r.Worse++
		case canary.KindNoEvidence:
			r.NoEvidence++
		default:
			r.Passed++
		}
		if x.stage > 0 {
			r.AtStage[x.stage-1]++
			if len(r.Reasons) < 5 {
				r.Reasons = append(r.Reasons, x.reason)
			}
		}
		durations, touched, harmed = append(durations, x.duration.Minutes()), append(touched, x.touched), append(harmed, x.harmed)
	}
	quantile := func(list []float64, p float64) float64 {
		slices.Sort(list)
		return list[min(len(list)-1, int(p*float64(len(list))))]
	}
	r.Minutes, r.Touched, r.Harmed, r.HarmedP95 = quantile(durations, 0.5), quantile(touched, 0.5), quantile(harmed, 0.5), quantile(harmed, 0.95)
	r.Low, r.High = Bounds(r.Worse, r.Runs)
	return r
}

// Bounds are those of a part of which k of n were seen, at 95% (Clopper and Pearson).
func Bounds(k, n int) (low, high float64) {
	low, high = 0, 1
	if k > 0 {
		low = distuv.Beta{Alpha: float64(k), Beta: float64(n - k + 1)}.Quantile(0.025)
	}
	if k < n {
		high = distuv.Beta{Alpha: float64(k + 1), Beta: float64(n - k)}.Quantile(0.975)
	}
	return low, high
}
