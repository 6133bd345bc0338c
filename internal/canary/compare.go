package canary

import (
	"math"
	"slices"
	"time"
)

// falseAlarmShare is a measure's part of what false alarms are allowed: of a window, a stage and a side.
func (j *Judge) falseAlarmShare() float64 {
	return 0.7 * j.options.MaxFalseAlarms / float64(j.options.Stages) / (2 * measureCount)
}

// comparison is that of one measure over a stage, or over its later half.
type comparison struct {
	judge                                    *Judge
	measure                                  int // the measure
	countedMeasure                           int // the measure whose figures are compared: memory's for its growth
	isLaterHalf                              bool
	margin                                   float64
	minDifference, requestWeight             float64 // what differs by less counts as equal; of the denominator that one request is
	hasStageControls, hasEarlierChanged      bool    // there are controls of this stage; changed ones of earlier stages
	members                                  []*member
	windows                                  [][]batch // of each of who
	referenceWindows                         [][]batch // of those not changed
	baselineNumerators, baselineDenominators []float64 // what each did before, as numerator and denominator
	sideVariance                             float64   // memberVariance for each unit of a denominator
	memberVariances                          []float64 // the same of each
	result                                   Measure
}

// compare sets the sides against each other over a stage, or over its later half.
func (j *Judge) compare(measure int, isLaterHalf bool) Measure {
	c := &comparison{judge: j, measure: measure, countedMeasure: min(measure, measureMemory), isLaterHalf: isLaterHalf, margin: j.options.margin(measure)}
	if measure == measureGrowth {
		c.margin = j.options.growthMargin(j.observedAt - j.lastChangeAt)
	}
	c.result = Measure{Name: measureNames[measure], Margin: c.margin, Low: math.Inf(-1), High: math.Inf(1), Old: c.sideRatio(0), New: c.sideRatio(1)}
	if !isRelative(measure) { // in a fault of the world what members differ by grows with what they have in common
		c.margin = max(c.margin, c.result.Old/2)
		c.result.Margin = c.margin
	}
	if measure == measureGrowth && !j.canCompareGrowth() {
		return c.result
	}
	c.chooseMembers()
	if len(c.referenceWindows) == 0 || len(c.referenceWindows) == len(c.members) {
		return c.result
	}
	c.minDifference, c.requestWeight = c.margin/4, j.requestWeight(measure)
	if !c.estimateVariances() {
		return c.result
	}
	if sides, ok := c.estimateSides(); ok {
		j.contrastSides(&c.result, sides, isLaterHalf)
		c.decideHarm()
	}
	return c.result
}

// sideRatio is the measure of a side over the stage as it was read.
func (c *comparison) sideRatio(side int) float64 {
	if d := c.judge.sideTotals[side].denominator[c.countedMeasure]; d > 0 {
		return c.judge.sideTotals[side].numerator[c.countedMeasure] / d
	}
	return 0
}

// chooseMembers finds who takes part, with what it did before.
func (c *comparison) chooseMembers() {
	for _, m := range c.judge.order {
		c.hasStageControls = c.hasStageControls || m.isChangedInStage && m.side == SideControl
		c.hasEarlierChanged = c.hasEarlierChanged || !m.isChangedInStage && m.side == SideNew
	}
	for _, m := range c.judge.order {
		if m.implausibleReadings >= maxImplausibleReadings {
			c.result.LeftOut++
			continue
		}
		window := m.window(c.isLaterHalf)
		if _, d := sumBatches(window, c.countedMeasure); d <= 0 || c.isIncomparable(m) {
			continue
		}
		numerator, denominator := 0.0, 0.0
		if m.hasBaseline && !c.judge.options.Without.Baseline {
			if numerator, denominator = measureRatio(c.countedMeasure, &m.baseline, c.judge.slowBucket); c.measure >= measureMemory {
				numerator, denominator = numerator*maxBatches, denominator*maxBatches
			}
		}
		c.members, c.windows, c.baselineNumerators, c.baselineDenominators = append(c.members, m), append(c.windows, window), append(c.baselineNumerators, numerator), append(c.baselineDenominators, denominator)
		if m.side != SideNew {
			c.referenceWindows = append(c.referenceWindows, window)
		}
	}
}

// isIncomparable tells whether a member's age keeps it out.
func (c *comparison) isIncomparable(m *member) bool {
	// Without a control new processes of this stage are too cold to be held against anybody, if others are not.
	if m.side == SideNew && m.isChangedInStage && m.isNewProcess && c.hasEarlierChanged && !c.hasStageControls && !c.judge.options.Without.Control {
		return true
	}
	// Memory goes by age: changed ones of this stage are held against controls of this stage alone.
	return c.measure >= measureMemory && c.hasStageControls && m.side != SideOld && !m.isChangedInStage
}

// estimateVariances estimates by how much members vary, from those not changed; false where these say too little.
func (c *comparison) estimateVariances() bool {
	var spread pooledVariance
	if isRelative(c.measure) {
		spread = varianceOverTime(c.referenceWindows, slices.Repeat([]float64{1}, len(c.referenceWindows)), c.countedMeasure)
	} else {
		spread = dispersion(c.referenceWindows, c.measure, c.requestWeight, c.minDifference)
	}
	if spread.degreesOfFreedom < 6 {
		return false
	}
	c.sideVariance = spread.variance * (1 + 4/float64(spread.degreesOfFreedom)) * float64(len(c.members)) / float64(len(c.members)-1)
	if c.judge.options.Without.Cluster {
		c.sideVariance = min(c.sideVariance, 1)
	}
	perReading := 0.0
	if isRelative(c.measure) && !c.judge.options.Without.Cluster {
		perReading = ratioVariance(c.referenceWindows, c.countedMeasure) * (1 + 4/float64(spread.degreesOfFreedom))
	}
	c.memberVariances = make([]float64, len(c.members))
	for i, w := range c.windows {
		c.memberVariances[i] = c.memberVariance(w, perReading)
	}
	return true
}

// memberVariance is that of one member, for each unit of its denominator.
func (c *comparison) memberVariance(window []batch, perReading float64) float64 {
	if isRelative(c.measure) {
		_, denominator := sumBatches(window, c.countedMeasure)
		readings := 0.0
		for b := range window {
			readings += window[b].readings
		}
		return max(c.sideVariance, perReading*denominator/max(readings, 1))
	}
	expected := 0.0
	for b := range window {
		expected += window[b].expected[c.measure]
	}
	_, denominator := sumBatches(window, c.measure)
	return c.sideVariance * c.requestWeight * (expected/denominator + c.minDifference)
}

// estimateSides are what the members of each side say; false where there is nothing to hold them against.
func (c *comparison) estimateSides() (sides [3][]estimate, ok bool) {
	mean, before := c.baselines()
	sides = c.judge.estimateMembers(c.measure, c.members, c.windows, before, mean, c.memberVariances)
	// A young process's memory grows: without its control's there is nothing to hold it against.
	if c.measure >= measureMemory && c.hasStageControls && !c.judge.options.Without.Control && len(sides[SideControl]) == 0 {
		return sides, false
	}
	// What was before helps only if members are now as they were then: after a fault of one zone they aren't.
	// The old ones tell by differing less with it or without.
	if len(sides[SideOld]) >= 8 && !isRelative(c.measure) {
		flat := slices.Repeat([]baselineLevel{{mean, 0}}, len(before))
		if withoutBaseline := c.judge.estimateMembers(c.measure, c.members, c.windows, flat, mean, c.memberVariances); totalVariance(withoutBaseline[SideOld]) < totalVariance(sides[SideOld]) {
			sides = withoutBaseline
		}
	}
	return sides, true
}

// baselines is what the members did before, in the mean and each.
func (c *comparison) baselines() (mean float64, each []baselineLevel) {
	var numerator, denominator float64
	for i := range c.baselineNumerators {
		numerator, denominator = numerator+c.baselineNumerators[i], denominator+c.baselineDenominators[i]
	}
	if !isRelative(c.measure) {
		variance := c.sideVariance * c.requestWeight * (c.sideRatio(0) + c.minDifference)
		if denominator > 0 { // baselines may have been another time
			variance = c.sideVariance * c.requestWeight * (max(numerator/denominator, 0) + c.minDifference)
		}
		return shrinkBaselines(c.baselineNumerators, c.baselineDenominators, variance)
	}
	if fleetRatio := numerator / denominator; denominator > 0 && fleetRatio > 0 { // shares of the fleet's rate, as the batches are
		for i := range c.baselineDenominators {
			c.baselineDenominators[i] *= fleetRatio
		}
	} else {
		clear(c.baselineDenominators)
		clear(c.baselineNumerators)
	}
	if mean, each = shrinkBaselines(c.baselineNumerators, c.baselineDenominators, c.sideVariance); mean <= 0 {
		mean = 1
		for i := range each {
			each[i].mean = 1
		}
	}
	return mean, each
}

// decideHarm decides whether harm is shown.
func (c *comparison) decideHarm() {
	if c.measure == measureGrowth { // what shows is harm also where the margin of a pass is wider
		c.result.IsWorse = c.result.Low > c.judge.options.hourlyGrowthMargin()/4
	}
	if isRelative(c.measure) {
		return
	}
	// Few counts are skewed: the normal's bound lacks z^2/6 of them (Cornish and Fisher), five at our levels.
	// What a request is worth differs, so that its counts are more skewed than they vary.
	missingCounts := 5.0
	if c.measure == measureLost {
		missingCounts = 12
	}
	changedDenominator := 0.0
	for i, m := range c.members {
		if m.side == SideNew {
			_, d := sumBatches(c.windows[i], c.measure)
			changedDenominator += d
		}
	}
	if !c.judge.options.Without.Tolerance {
		c.result.Low -= missingCounts * c.sideVariance * c.requestWeight / changedDenominator
	}
	c.result.IsWorse = c.result.Low > c.judge.toleratedDifference(c.margin)
}

// canCompareGrowth tells whether the growth of memory can be compared: that of processes which began with a stage needs
// others that began with them.
func (j *Judge) canCompareGrowth() bool {
	hasNewProcess, hasControl := false, j.options.Without.Control
	for _, m := range j.order {
		hasNewProcess = hasNewProcess || m.isNewProcess && m.side == SideNew
		hasControl = hasControl || m.isChangedInStage && m.side == SideControl
	}
	return hasControl || !hasNewProcess
}

// requestWeight is how much of a measure's denominator one request is.
func (j *Judge) requestWeight(measure int) float64 {
	if old := &j.sideTotals[0]; measure == measureLost && old.denominator[measureFailed] > 0 {
		return max(old.denominator[measureLost]/old.denominator[measureFailed], 1e-9)
	}
	return 1
}

// estimateMembers are what each member of a side says.
func (j *Judge) estimateMembers(measure int, members []*member, windows [][]batch, baselines []baselineLevel, mean float64, variances []float64) (sides [3][]estimate) {
	var residuals struct {
		sum              float64
		degreesOfFreedom int
	}
	type grown struct{ g, sxx float64 }
	var lines []grown
	if measure == measureGrowth {
		lines = make([]grown, len(members))
		for i, m := range members {
			slope, sxx, residual, points := memorySlope(windows[i], max(baselines[i].mean/mean, 1e-9))
			lines[i] = grown{slope, sxx}
			if m.side != SideNew && points > 2 {
				residuals.sum, residuals.degreesOfFreedom = residuals.sum+residual, residuals.degreesOfFreedom+points-2
			}
		}
		if residuals.degreesOfFreedom < 6 {
			return sides
		}
	}
	readingsPerHour := 0.0
	if j.observations > 0 && j.observedAt > j.stageStartedAt {
		readingsPerHour = float64(time.Hour) / (float64(j.observedAt-j.stageStartedAt) / float64(j.observations))
	}
	for i, m := range members {
		side := m.side
		// One that was restarted for an earlier stage is as warm as any by now.
		if side == SideControl && (!m.isChangedInStage || j.options.Without.Control) {
			side = SideOld
		}
		numerator, denominator := sumBatches(windows[i], min(measure, measureMemory))
		var e estimate
		switch {
		case measure == measureGrowth:
			if lines[i].sxx <= 0 {
				continue
			}
			// Batches next to each other are alike, which their distance from a line does not show: twice.
			e = estimate{lines[i].g * readingsPerHour, 2 * residuals.sum / float64(residuals.degreesOfFreedom) / lines[i].sxx * readingsPerHour * readingsPerHour}
		case isRelative(measure):
			scale := max(baselines[i].mean/mean, 1e-9)
			e = estimate{numerator/denominator/scale - 1, (variances[i]/denominator + baselines[i].variance) / (scale * scale)}
		default:
			e = estimate{numerator/denominator - (baselines[i].mean - mean), variances[i]/denominator + baselines[i].variance}
		}
		sides[side] = append(sides[side], e)
	}
	return sides
}

// toleratedDifference is what members differ by without harm.
func (j *Judge) toleratedDifference(margin float64) float64 {
	if j.options.Without.Tolerance {
		return 0
	}
	return margin / 4
}

// contrastSides is new less what it is held against.
func (j *Judge) contrastSides(out *Measure, sides [3][]estimate, isLaterHalf bool) {
	var leftOut [2]int
	sides[SideOld], leftOut[0] = trimOutliers(sides[SideOld])
	sides[SideControl], leftOut[1] = trimOutliers(sides[SideControl])
	out.LeftOut += leftOut[0] + leftOut[1]
	out.Members, out.References = len(sides[SideNew]), len(sides[SideOld])+len(sides[SideControl])
	if out.Members == 0 || out.References == 0 {
		return
	}
	// How much members differ for no cause at all, from the old ones; where they are few, mostly taken
	// to be a tenth of the margin.
	tau2 := 0.0
	if !j.options.Without.Cluster {
		const priorDegrees = 4
		priorDeviation := out.Margin / 10
		tau2 = priorDegrees * priorDeviation * priorDeviation
		degreesOfFreedom := priorDegrees
		for _, all := range [...][]estimate{sides[SideOld], sides[SideControl]} {
			if len(all) > 1 {
				tau2 += float64(len(all)-1) * varianceBetween(all)
				degreesOfFreedom += len(all) - 1
			}
		}
		tau2 /= float64(degreesOfFreedom)
		// Towards a rollout's end the few old ones left may all be of one zone; then the new ones say it too.
		if len(sides[SideOld])+len(sides[SideControl]) < 8 {
			tau2 = max(tau2, varianceBetween(sides[SideNew]))
		}
	}
	reference := poolEstimates(sides[SideOld], tau2)
	if control := poolEstimates(sides[SideControl], tau2); len(sides[SideControl]) > 0 {
		if len(sides[SideOld]) == 0 {
			reference = control
		} else {
			// Old ones that have served for long count as far as they are like the control, which is as cold
			// as the new ones are.
			warmingDifference := control.mean - reference.mean
			oldVariance := reference.variance + warmingDifference*warmingDifference
			controlWeight := oldVariance / (oldVariance + control.variance)
			reference = estimate{controlWeight*control.mean + (1-controlWeight)*reference.mean, oldVariance * control.variance / (oldVariance + control.variance)}
		}
	}
	changed := poolEstimates(sides[SideNew], tau2)
	difference, variance := changed.mean-reference.mean, changed.variance+reference.variance
	alpha := j.falseAlarmShare()
	if isLaterHalf { // it moves on, which a bound over time does not cover
		alpha /= 4
	}
	out.Low = difference - boundWidth(variance, out.Margin, alpha, !j.options.Without.Sequential)
	out.High = difference + boundWidth(variance, out.Margin, j.options.MaxMissedHarm, !j.options.Without.Sequential)
	out.difference = difference
	out.IsWorse, out.IsEnough = out.Low > j.toleratedDifference(out.Margin), out.High < out.Margin
}
