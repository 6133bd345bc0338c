package canary

import (
	"math"
	"time"
)

// unchangedMembers are the members that a stage does not change. What the changed ones do to them shows in both
// estimateSides alike, so they are held against themselves before the stage.
type unchangedMembers struct {
	current     member // all of them as one
	early       batch  // varianceOverTime Onset of the last change
	previous    []batch
	steps       [countedMeasures][]estimate // of earlier stages
	hasPrevious bool                        // that they were watched before this stage
}

func (u *unchangedMembers) begin(j *Judge, first bool) {
	if !first {
		for measure := range countedMeasures {
			if step, ok := j.unchangedStep(measure); ok {
				u.steps[measure] = append(u.steps[measure], estimate{min(step.difference, step.early, step.late), step.variance})
				if len(u.steps[measure]) > 16 {
					u.steps[measure] = u.steps[measure][1:]
				}
			}
		}
	}
	u.previous = append([]batch(nil), u.current.window(!first)...)
	u.hasPrevious = len(u.previous) >= 4
	u.restart()
}

// restart says that another member has changed: what came before is of a smaller dose.
func (u *unchangedMembers) restart() { u.current.reset(); u.early = batch{} }

func (u *unchangedMembers) add(since, onset time.Duration, total *batch) {
	current := &u.current.batches[u.current.fullBatches]
	for measure := range countedMeasures {
		current.numerator[measure], current.denominator[measure] = current.numerator[measure]+total.numerator[measure], current.denominator[measure]+total.denominator[measure]
		if since <= onset {
			u.early.numerator[measure], u.early.denominator[measure] = u.early.numerator[measure]+total.numerator[measure], u.early.denominator[measure]+total.denominator[measure]
		}
	}
	current.readings++
	u.current.advance()
}

// stepChange is a step of the others at a stage.
type stepChange struct {
	difference, variance float64
	early, late          float64 // what of it there was within Onset, and is in the later half
}

// unchangedStep is what a measure of the others has become since the stage began.
func (j *Judge) unchangedStep(measure int) (stepChange, bool) {
	u := &j.unchanged
	if !u.hasPrevious {
		return stepChange{}, false
	}
	current := u.current.window(false)
	var previousNumerator, previousDenominator, numerator, denominator float64
	for _, m := range j.order {
		if !m.isChangedInStage && m.implausibleReadings < maxImplausibleReadings && m.previousTotals.denominator[measure] > 0 && m.totals.denominator[measure] > 0 {
			previousNumerator, previousDenominator, numerator, denominator = previousNumerator+m.previousTotals.numerator[measure], previousDenominator+m.previousTotals.denominator[measure], numerator+m.totals.numerator[measure], denominator+m.totals.denominator[measure]
		}
	}
	lateNumerator, lateDenominator := sumBatches(u.current.window(true), measure)
	if previousDenominator <= 0 || denominator <= 0 || lateDenominator <= 0 || u.early.denominator[measure] <= 0 || len(current) < 4 {
		return stepChange{}, false
	}
	spread := varianceOverTime([][]batch{u.previous, current}, []float64{1, 1}, measure)
	if spread.degreesOfFreedom < 6 {
		return stepChange{}, false
	}
	previousRatio := previousNumerator / previousDenominator
	variance := max(spread.variance, (previousRatio+j.options.margin(measure)/4)*j.requestWeight(measure)) * (1/previousDenominator + 1/denominator)
	return stepChange{numerator/denominator - previousRatio, variance, u.early.numerator[measure]/u.early.denominator[measure] - previousRatio, lateNumerator/lateDenominator - previousRatio}, true
}

// harmToUnchanged tells which measure of the others has become worse with the stage and has stayed so, and whether
// that can be laid to the change: they also did so at an earlier, smaller step.
func (j *Judge) harmToUnchanged() (measure int, isRepeated bool, isHarmed bool) {
	worst := 0.0
	for candidate := measureLost; candidate <= measureSlow; candidate++ {
		step, ok := j.unchangedStep(candidate)
		if !ok {
			continue
		}
		margin := j.options.margin(candidate)
		low := step.difference - boundWidth(step.variance, margin, 0.1*j.options.MaxFalseAlarms/float64(j.options.Stages)/(measureSlow+1), true)
		if low > margin/2 && step.early > margin/2 && step.late > margin/2 && low/margin > worst {
			worst, measure, isHarmed, isRepeated = low/margin, candidate, true, false
			for _, earlier := range j.unchanged.steps[candidate] {
				if earlier.mean > margin/2 && earlier.mean > 4*math.Sqrt(earlier.variance) && step.difference > 1.5*earlier.mean { // with the dose
					isRepeated = true
				}
			}
		}
	}
	return measure, isRepeated, isHarmed
}
