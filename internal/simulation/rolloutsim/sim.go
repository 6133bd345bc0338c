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
	Instances  int           // 40
	Traffic    string        // "even", "uneven" or "bursty"
	Harm       Harm          // none
	Judge      string        // "evidence"
	Without    string        // a mutation's name
	Rate       float64       // requests a second and instance: 20
	FaultEvery time.Duration // between faults of the world: 1 h
	Runs       int           // 100
	Seed       uint64
	Evidence   canary.Options
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
	HarmedMost float64  `json:"harmed_95"`  // 95th percentile
	Reasons    []string `json:"reasons"`    // of the first few that were stopped
}

// decider is what a rollout asks.
type decider interface {
	Begin(now time.Duration, before []canary.Reading)
	Observe(now time.Duration, all []canary.Reading)
	Verdict(now time.Duration) canary.Verdict
}

type outcome struct {
	kind            canary.VerdictKind
	stage           int
	took            time.Duration
	touched, harmed float64
	why             string
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
	if o.FaultEvery == 0 {
		o.FaultEvery = time.Hour
	}
	if o.Runs == 0 {
		o.Runs = 100
	}
	without, known := Mutations[o.Without]
	if o.Without != "" && !known {
		return Report{}, fmt.Errorf("there is no mutation %q", o.Without)
	}
	o.Evidence.Without = without
	if !slices.Contains(Judges, o.Judge) || !slices.Contains(Traffics, o.Traffic) || o.Instances < 2 || !(o.Rate > 0) || o.FaultEvery < interval || o.Runs < 1 {
		return Report{}, fmt.Errorf("rolloutsim: %d instances, traffic %q, judge %q, rate %v, a fault every %v, %d runs: one of these is off",
			o.Instances, o.Traffic, o.Judge, o.Rate, o.FaultEvery, o.Runs)
	}
	all := make([]outcome, o.Runs)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range min(o.Runs, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < o.Runs; i = int(next.Add(1)) - 1 {
				all[i] = one(&o, o.Seed+uint64(i)*7919)
			}
		})
	}
	wg.Wait()
	return report(&o, all), nil
}

// targets are how many are changed after each stage: 1, 10%, 50%, all.
func targets(n int) []int {
	all := []int{1}
	for _, p := range [...]float64{0.1, 0.5, 1} {
		if t := int(math.Ceil(p * float64(n))); t > all[len(all)-1] {
			all = append(all, t)
		}
	}
	return all
}

const (
	watchedBefore = 5 * time.Minute
	lookEvery     = 3  // intervals
	batchesOf     = 10 // in which a stage's members change
	after         = 10 * time.Minute
)

// one plays a rollout.
func one(o *Options, seed uint64) outcome {
	w := newWorld(o, seed)
	j := judge(o)
	turns := w.turns()
	for w.now < watchedBefore {
		j.Observe(w.now, w.step())
	}
	begun := w.now
	changed := 0
	for stage, target := range targets(o.Instances) {
		j.Begin(w.now, w.readings)
		controls := min(target-changed, 8, (o.Instances-target+1)/2)
		batch := max(1, (target-changed+batchesOf-1)/batchesOf)
		for looks := 1; ; looks++ {
			for range min(batch, target-changed) {
				w.change(w.all[turns[changed]], controls > 0)
				controls--
				changed++
			}
			j.Observe(w.now, w.step())
			if looks%lookEvery != 0 || looks > 10*lookEvery && looks%(3*lookEvery) != 0 {
				continue
			}
			v := j.Verdict(w.now)
			if v.Kind == canary.KindWorse || v.Kind == canary.KindNoEvidence {
				return outcome{v.Kind, stage + 1, w.now - begun, w.touched, w.harmed, v.Reason}
			}
			if v.Kind == canary.KindPass && changed == target {
				break
			}
		}
	}
	took := w.now - begun
	// What nobody has stopped goes on until somebody sees it: ten minutes.
	for end := w.now + after; w.now < end; {
		w.step()
	}
	return outcome{canary.KindPass, 0, took, w.touched, w.harmed, ""}
}

// judge is who decides about a rollout.
func judge(o *Options) decider {
	switch o.Judge {
	case "readiness":
		return ready{}
	case "threshold":
		return &threshold{}
	default:
		return canary.NewJudge(o.Evidence)
	}
}

// turns is the order in which instances change. The first is one that gets half the mean or more, as one with few
// requests tells little.
func (w *world) turns() []int {
	turns := w.rng.Perm(len(w.all))
	if i := slices.IndexFunc(turns, func(t int) bool { return w.all[t].share >= 0.5 }); i >= 0 {
		turns[0], turns[i] = turns[i], turns[0]
	}
	return turns
}

// change restarts an instance with what is new, and a control at the same time and in the same zone.
func (w *world) change(x *instance, control bool) {
	w.restart(x, canary.SideNew, 0)
	if control {
		w.control(x)
	}
}

// control restarts an old one beside a changed one: of the same zone where there is one, and with as much traffic.
func (w *world) control(of *instance) {
	var pick *instance
	far := func(x *instance) float64 {
		d := math.Abs(math.Log(x.share / of.share))
		if x.zone != of.zone {
			d += 100
		}
		return d
	}
	for _, x := range w.all {
		if x.side == canary.SideOld && (pick == nil || far(x) < far(pick)) {
			pick = x
		}
	}
	if pick != nil {
		w.restart(pick, canary.SideControl, 0)
	}
}

func report(o *Options, all []outcome) Report {
	r := Report{
		Instances: o.Instances, Traffic: o.Traffic, Harm: o.Harm.Name, Judge: o.Judge, Without: o.Without, Runs: len(all),
		AtStage: make([]int, len(targets(o.Instances))),
	}
	var took, touched, harmed []float64
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
				r.Reasons = append(r.Reasons, x.why)
			}
		}
		took, touched, harmed = append(took, x.took.Minutes()), append(touched, x.touched), append(harmed, x.harmed)
	}
	at := func(list []float64, p float64) float64 {
		slices.Sort(list)
		return list[min(len(list)-1, int(p*float64(len(list))))]
	}
	r.Minutes, r.Touched, r.Harmed, r.HarmedMost = at(took, 0.5), at(touched, 0.5), at(harmed, 0.5), at(harmed, 0.95)
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
