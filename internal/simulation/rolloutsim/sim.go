package rolloutsim

import (
	"math"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/internal/canary"
)

const (
	observedBefore         = 5 * time.Minute  // time for which the judge observes the fleet before the first stage
	undetectedTime         = 10 * time.Minute // time after a passed rollout until an operator notices the harm
	stageSteps             = 10               // steps over which the changes of a stage's members are spread
	maxControls            = 8                // maximum number of control instances of a stage
	minFirstShare          = 0.5              // minimum traffic of the first member that changes, relative to the mean
	seedStep               = 7919             // difference between the seeds of consecutive rollouts
	evaluationInterval     = 3                // steps between two verdicts of a stage
	lateEvaluationInterval = 9                // steps between two verdicts after step lateEvaluationStart
	lateEvaluationStart    = 30
)

// stageShares are the fractions of the fleet that have changed at the end of each stage after the first. The first stage
// changes one member.
var stageShares = [...]float64{0.1, 0.5, 1}

// judge decides whether a stage of a rollout passes; canary.Judge is one.
type judge interface {
	Begin(now time.Duration, before []canary.Reading)
	Observe(now time.Duration, all []canary.Reading)
	Verdict(now time.Duration) canary.Verdict
}

// newJudge returns the judge named in the options.
func newJudge(o *Options) judge {
	switch o.Judge {
	case judgeReadiness:
		return readinessJudge{}
	case judgeThreshold:
		return &thresholdJudge{}
	}
	return canary.NewJudge(o.JudgeOptions)
}

// outcome is the result of one rollout.
type outcome struct {
	kind     canary.VerdictKind // KindPass, KindWorse or KindNoEvidence
	stage    int                // stage in which the rollout stopped, counted from 1; 0 if it passed
	duration time.Duration
	touched  float64 // requests to changed instances
	harmed   float64 // requests lost by the change
	reason   string  // reason of the stop, if it was stopped
}

// Run simulates o.Runs rollouts in parallel on all cores.
func Run(o Options) (Report, error) {
	if err := o.setDefaults(); err != nil {
		return Report{}, err
	}
	outcomes := make([]outcome, o.Runs)
	var next atomic.Int64
	var workers sync.WaitGroup
	for range min(o.Runs, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for i := int(next.Add(1)) - 1; i < o.Runs; i = int(next.Add(1)) - 1 {
				outcomes[i] = simulateRollout(&o, o.Seed+uint64(i)*seedStep)
			}
		})
	}
	workers.Wait()
	return newReport(&o, outcomes), nil
}

// stageTargets returns how many members have changed at the end of each stage.
func stageTargets(members int) []int {
	targets := []int{1}
	for _, share := range stageShares {
		target := int(math.Ceil(share * float64(members)))
		if target > targets[len(targets)-1] {
			targets = append(targets, target)
		}
	}
	return targets
}

// simulateRollout simulates one rollout.
func simulateRollout(o *Options, seed uint64) outcome {
	w := newWorld(o, seed)
	r := &simulatedRollout{world: w, judge: newJudge(o), order: w.changeOrder()}
	for w.now < observedBefore {
		r.judge.Observe(w.now, w.step())
	}
	startedAt := w.now
	for i, target := range stageTargets(o.Instances) {
		verdict := r.runStage(target)
		if verdict.Kind != canary.KindPass {
			return outcome{
				kind:     verdict.Kind,
				stage:    i + 1,
				duration: w.now - startedAt,
				touched:  w.touched,
				harmed:   w.harmed,
				reason:   verdict.Reason,
			}
		}
	}
	duration := w.now - startedAt
	for end := w.now + undetectedTime; w.now < end; {
		w.step()
	}
	return outcome{kind: canary.KindPass, duration: duration, touched: w.touched, harmed: w.harmed}
}

// simulatedRollout is a rollout over the instances of a world.
type simulatedRollout struct {
	world   *world
	judge   judge
	order   []int // indices of instances in the order in which they change
	changed int   // number of instances that have changed
}

// runStage changes members until target of them have changed, and returns the verdict that ends the stage.
func (r *simulatedRollout) runStage(target int) canary.Verdict {
	w := r.world
	r.judge.Begin(w.now, w.readings)
	controls := min(target-r.changed, maxControls, (len(w.instances)-target+1)/2)
	batch := max(1, (target-r.changed+stageSteps-1)/stageSteps)
	for step := 1; ; step++ {
		for range min(batch, target-r.changed) {
			w.change(w.instances[r.order[r.changed]], controls > 0)
			controls--
			r.changed++
		}
		r.judge.Observe(w.now, w.step())
		if !isEvaluated(step) {
			continue
		}
		verdict := r.judge.Verdict(w.now)
		switch verdict.Kind {
		case canary.KindWorse, canary.KindNoEvidence:
			return verdict
		case canary.KindPass:
			if r.changed == target {
				return verdict
			}
		case canary.KindWait:
		}
	}
}

// isEvaluated reports whether the judge is asked for a verdict after this step of a stage.
func isEvaluated(step int) bool {
	if step > lateEvaluationStart {
		return step%lateEvaluationInterval == 0
	}
	return step%evaluationInterval == 0
}

// changeOrder returns a random order in which instances change. The first instance has enough traffic to be judged.
func (w *world) changeOrder() []int {
	order := w.rng.Perm(len(w.instances))
	i := slices.IndexFunc(order, func(k int) bool { return w.instances[k].share >= minFirstShare })
	if i >= 0 {
		order[0], order[i] = order[i], order[0]
	}
	return order
}

// change restarts an instance with the new version and, if hasControl is set, a control instance at the same time.
func (w *world) change(x *instance, hasControl bool) {
	w.restart(x, canary.SideNew, 0)
	if hasControl {
		w.restartControl(x)
	}
}

// restartControl restarts, as a control, the unchanged instance that is most similar to a changed one: in the same zone
// if that has an unchanged instance, and with the closest traffic.
func (w *world) restartControl(changed *instance) {
	const otherZone = 100 // exceeds any difference of log traffic
	distance := func(x *instance) float64 {
		d := math.Abs(math.Log(x.share / changed.share))
		if x.zone != changed.zone {
			d += otherZone
		}
		return d
	}
	var control *instance
	for _, x := range w.instances {
		if x.side == canary.SideOld && (control == nil || distance(x) < distance(control)) {
			control = x
		}
	}
	if control != nil {
		w.restart(control, canary.SideControl, 0)
	}
}
