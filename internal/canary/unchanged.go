package canary

import (
	"math"
	"time"
)

const (
	maxSteps         = 16 // stages whose steps are stored
	minWindowBatches = 4  // batches that it takes to compare the stage with the time before
)

// unchangedMembers are the members that a stage does not change. Harm that the changed members do to them affects both
// sides of the comparison, so they are compared with themselves before the stage.
type unchangedMembers struct {
	current     member // the sums of all unchanged members
	early       batch  // the part within Onset of the last change
	previous    []batch
	steps       [countedMeasures][]estimate // of earlier stages
	hasPrevious bool                        // previous has enough batches
}

// begin starts a stage and stores the step that the stage before had.
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

// restart drops the counts of the stage: another member has changed, and so has its possible effect on the others.
func (u *unchangedMembers) restart() {
	u.current.reset()
	u.early = batch{}
}

// add adds the sums of one observation. since is the time from the last change.
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

// stepChange is the change of a measure of the unchanged members with a stage.
type stepChange struct {
	difference float64
	variance   float64 // of difference
	early      float64 // the difference within Onset
	late       float64 // the difference in the later half
}

// unchangedStep returns the change of a measure of the unchanged members since the stage began, and false if that
// can't be estimated.
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
	spread := varianceOverTime([][]batch{u.previous, current}, []float64{1, 1}, measure)
	if spread.degreesOfFreedom < minDegreesOfFreedom {
		return stepChange{}, false
	}
	previousRatio := previousNumerator / previousDenominator
	variance := max(spread.variance, (previousRatio+j.options.margin(measure)/4)*j.requestWeight(measure)) * (1/previousDenominator + 1/denominator)
	return stepChange{
		difference: numerator/denominator - previousRatio,
		variance:   variance,
		early:      u.early.numerator[measure]/u.early.denominator[measure] - previousRatio,
		late:       lateNumerator/lateDenominator - previousRatio,
	}, true
}

// unchangedHarm is a lasting step for the worse of the unchanged members. The zero value is none.
type unchangedHarm struct {
	isHarmed   bool
	measure    int
	isRepeated bool // an earlier stage had a smaller step too, so that the change is the likely cause
}

// harmToUnchanged returns the worst harm to the unchanged members.
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

// hadSmallerEarlierStep tells whether an earlier stage had a step that is sure and smaller, as an effect that grows with the
// number of changed members has.
func (u *unchangedMembers) hadSmallerEarlierStep(measure int, difference, margin float64) bool {
	for _, earlier := range u.steps[measure] {
		if earlier.mean > margin/2 && earlier.mean > 4*math.Sqrt(earlier.variance) && difference > 1.5*earlier.mean {
			return true
		}
	}
	return false
}
