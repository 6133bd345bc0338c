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
	observedBefore         = 5 * time.Minute  // of the fleet before the first stage
	undetectedTime         = 10 * time.Minute // after a rollout that has passed, until somebody sees the harm
	stageSteps             = 10               // steps in which a stage's members change
	maxControls            = 8                // of a stage
	minFirstShare          = 0.5              // of the mean traffic, for the first member that changes
	seedStep               = 7919             // between two rollouts
	evaluationInterval     = 3                // steps between two verdicts of a stage
	lateEvaluationInterval = 9                // the same, after lateStep
	lateEvaluationStart    = 30
)

// stageShares are the parts of the fleet that have changed at the end of the stages after the first, which is one
// member.
var stageShares = [...]float64{0.1, 0.5, 1}

// judge decides about a rollout, as internal/canary's does.
type judge interface {
	Begin(now time.Duration, before []canary.Reading)
	Observe(now time.Duration, all []canary.Reading)
	Verdict(now time.Duration) canary.Verdict
}

// newJudge returns the judge that the options name.
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
	stage    int                // that it was stopped in, from 1; 0 has passed
	duration time.Duration
	touched  float64 // requests to changed instances
	harmed   float64 // requests lost by the change
	reason   string  // of a stop
}

// Run simulates o.Runs rollouts, on all cores.
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

// playOne simulates one rollout.
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

// simulatedRollout is a rollout over a world.
type simulatedRollout struct {
	world   *world
	judge   judge
	order   []int // in which instances change
	changed int   // how many have
}

// playStage changes members up to a target, and returns the verdict that ends the stage.
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

// isEvaluated tells whether a step of a stage ends with a verdict.
func isEvaluated(step int) bool {
	if step > lateEvaluationStart {
		return step%lateEvaluationInterval == 0
	}
	return step%evaluationInterval == 0
}

// changeOrder returns the order in which instances change. The first one has enough traffic to be judged by.
func (w *world) changeOrder() []int {
	order := w.rng.Perm(len(w.instances))
	i := slices.IndexFunc(order, func(k int) bool { return w.instances[k].share >= minFirstShare })
	if i >= 0 {
		order[0], order[i] = order[i], order[0]
	}
	return order
}

// change restarts an instance with the new version and, if wanted, a control together with it.
func (w *world) change(x *instance, hasControl bool) {
	w.restart(x, canary.SideNew, 0)
	if hasControl {
		w.restartControl(x)
	}
}

// restartControl restarts the unchanged instance that is most like a changed one: in the same zone if there is one, and
// with similar traffic.
func (w *world) restartControl(changed *instance) {
	const otherZone = 100 // more than any difference of traffic
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
