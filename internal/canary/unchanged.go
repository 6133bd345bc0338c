package canary

import (
	"math"
	"time"
)

const (
	maxSteps         = 16 // number of stages whose steps are stored
	minWindowBatches = 4  // minimum number of batches for comparing a stage with the time before it
)

// unchangedMembers holds the sums of the members that a stage does not change. Harm that the changed members cause to
// the entire fleet affects both sides of a comparison, so the unchanged members are also compared with themselves
// before the stage.
type unchangedMembers struct {
	current     member // the sums of all unchanged members
	early       batch  // the sums within Onset after the last change
	previous    []batch
	steps       [countedMeasures][]estimate // steps of earlier stages, by measure
	hasPrevious bool                        // previous has enough batches
}

// begin starts a stage and stores the steps of the preceding one.
func (u *unchangedMembers) begin(j *Judge, isFirst bool) {
	if !isFirst {
		for measure := range countedMeasures {
			if step, ok := j.unchangedStep(measure); ok {
				u.steps[measure] = append(u.steps[measure], estimate{min(step.difference, step.early, step.late), step.variance})
				if len(u.steps[measure]) > maxSteps {
					u.steps[measure] = u.steps[measure][1:]
				}
			}
		}
	}
	u.previous = append([]batch(nil), u.current.window(!isFirst)...)
	u.hasPrevious = len(u.previous) >= minWindowBatches
	u.restart()
}

// restart drops the counts of the stage. It is called when a further member changes, since that may change the effect
// on the unchanged members.
func (u *unchangedMembers) restart() {
	u.current.reset()
	u.early = batch{}
}

// add adds the sums of one observation. since is the time since the last change.
func (u *unchangedMembers) add(since, onset time.Duration, total *batch) {
	current := &u.current.batches[u.current.fullBatches]
	for measure := range countedMeasures {
		current.addMeasure(measure, total.numerator[measure], total.denominator[measure])
		if since <= onset {
			u.early.addMeasure(measure, total.numerator[measure], total.denominator[measure])
		}
	}
	current.readings++
	u.current.advance()
}

// stepChange is the step of a measure: how far its value for the unchanged members changed when the stage began.
type stepChange struct {
	difference float64
	variance   float64 // variance of difference
	early      float64 // difference within Onset after the last change
	late       float64 // difference in the later half of the stage
}

// unchangedStep returns the step of a measure of the unchanged members, and false if it cannot be estimated.
func (j *Judge) unchangedStep(measure int) (stepChange, bool) {
	u := &j.unchanged
	if !u.hasPrevious {
		return stepChange{}, false
	}
	current := u.current.window(false)
	var previousNumerator, previousDenominator, numerator, denominator float64
	for _, m := range j.order {
		if m.isChangedInStage || m.isExcluded() {
			continue
		}
		if m.previousTotals.denominator[measure] > 0 && m.totals.denominator[measure] > 0 {
			previousNumerator += m.previousTotals.numerator[measure]
			previousDenominator += m.previousTotals.denominator[measure]
			numerator += m.totals.numerator[measure]
			denominator += m.totals.denominator[measure]
		}
	}
	lateNumerator, lateDenominator := sumBatches(u.current.window(true), measure)
	minDenominator := min(previousDenominator, denominator, lateDenominator, u.early.denominator[measure])
	if minDenominator <= 0 || len(current) < minWindowBatches {
		return stepChange{}, false
	}
	pooled := varianceOverTime([][]batch{u.previous, current}, []float64{1, 1}, measure)
	if pooled.degreesOfFreedom < minDegreesOfFreedom {
		return stepChange{}, false
	}
	previousRatio := previousNumerator / previousDenominator
	variance := max(pooled.variance, (previousRatio+j.options.margin(measure)/4)*j.requestWeight(measure)) * (1/previousDenominator + 1/denominator)
	return stepChange{
		difference: numerator/denominator - previousRatio,
		variance:   variance,
		early:      u.early.numerator[measure]/u.early.denominator[measure] - previousRatio,
		late:       lateNumerator/lateDenominator - previousRatio,
	}, true
}

// unchangedHarm describes a lasting deterioration of the unchanged members. The zero value means that there is none.
type unchangedHarm struct {
	isHarmed   bool
	measure    int
	isRepeated bool // an earlier stage had a smaller step too, so the change is the likely cause
}

// harmToUnchanged returns the harm to the unchanged members in the measure that exceeds its margin the most.
func (j *Judge) harmToUnchanged() unchangedHarm {
	var harm unchangedHarm
	worst := 0.0
	for candidate := measureLost; candidate <= measureSlow; candidate++ {
		step, ok := j.unchangedStep(candidate)
		if !ok {
			continue
		}
		margin := j.options.margin(candidate)
		low := step.difference - boundWidth(step.variance, margin, 0.1*j.options.MaxFalseAlarms/float64(j.options.Stages)/(measureSlow+1), true)
		isLasting := step.early > margin/2 && step.late > margin/2
		if isLasting && low > margin/2 && low/margin > worst {
			worst = low / margin
			harm = unchangedHarm{isHarmed: true, measure: candidate, isRepeated: j.unchanged.hadSmallerEarlierStep(candidate, step.difference, margin)}
		}
	}
	return harm
}

// hadSmallerEarlierStep tells whether an earlier stage had a significant but smaller step. An effect that grows with the
// number of changed members shows such steps.
func (u *unchangedMembers) hadSmallerEarlierStep(measure int, difference, margin float64) bool {
	for _, earlier := range u.steps[measure] {
		if earlier.mean > margin/2 && earlier.mean > 4*math.Sqrt(earlier.variance) && difference > 1.5*earlier.mean {
			return true
		}
	}
	return false
}
