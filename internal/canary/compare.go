package canary

import (
	"math"
	"slices"
	"time"
)

// falseAlarmShare returns the probability of a false alarm that one measure may use in one stage and one of the two
// windows (the stage and its later half). All measures, stages and windows together use 0.7 of MaxFalseAlarms.
func (j *Judge) falseAlarmShare() float64 {
	return 0.7 * j.options.MaxFalseAlarms / float64(j.options.Stages) / (2 * measureCount)
}

// comparison compares one measure between the sides, over a stage or over its later half.
type comparison struct {
	judge          *Judge
	measure        int // index of the measure that is compared
	countedMeasure int // index of the measure whose counts are used; growth uses those of memory
	isLaterHalf    bool
	margin         float64
	minDifference  float64 // added to expected shares, so that single events do not dominate
	requestWeight  float64 // weight of one request in the denominator

	hasStageControls  bool // this stage has controls
	hasEarlierChanged bool // earlier stages have changed members

	// Parallel slices with an entry for each compared member.
	members              []*member
	windows              [][]batch
	baselineNumerators   []float64
	baselineDenominators []float64
	memberVariances      []float64 // variance per unit of the denominator

	referenceWindows [][]batch // windows of the unchanged members
	sideVariance     float64   // variance per unit of the denominator, estimated from referenceWindows
	result           Measure
}

// minDegreesOfFreedom is the minimum number of degrees of freedom of a variance estimate.
const minDegreesOfFreedom = 6

// compare compares one measure between the sides, over the stage or over its later half.
func (j *Judge) compare(measure int, isLaterHalf bool) Measure {
	c := &comparison{
		judge:          j,
		measure:        measure,
		countedMeasure: min(measure, measureMemory),
		isLaterHalf:    isLaterHalf,
		margin:         j.options.margin(measure),
	}
	if measure == measureGrowth {
		c.margin = j.options.growthMargin(j.observedAt - j.lastChangeAt)
	}
	c.result = Measure{
		Name:   measureNames[measure],
		Margin: c.margin,
		Low:    math.Inf(-1),
		High:   math.Inf(1),
		Old:    c.sideRatio(sideIndexOld),
		New:    c.sideRatio(sideIndexNew),
	}
	if !isRelative(measure) { // during a fault of the environment the differences between members grow with the fleet's mean
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
	c.minDifference = c.margin / 4
	c.requestWeight = j.requestWeight(measure)
	if !c.estimateVariances() {
		return c.result
	}
	if sides, ok := c.estimateSides(); ok {
		j.compareSides(&c.result, sides, isLaterHalf)
		c.decideHarm()
	}
	return c.result
}

// sideRatio returns the measure's unadjusted value for a side over the stage.
func (c *comparison) sideRatio(side int) float64 {
	if d := c.judge.sideTotals[side].denominator[c.countedMeasure]; d > 0 {
		return c.judge.sideTotals[side].numerator[c.countedMeasure] / d
	}
	return 0
}

// chooseMembers selects the members to compare, with their windows and baselines.
func (c *comparison) chooseMembers() {
	for _, m := range c.judge.order {
		c.hasStageControls = c.hasStageControls || m.isChangedInStage && m.side == SideControl
		c.hasEarlierChanged = c.hasEarlierChanged || !m.isChangedInStage && m.side == SideNew
	}
	for _, m := range c.judge.order {
		if m.isExcluded() {
			c.result.LeftOut++
			continue
		}
		window := m.window(c.isLaterHalf)
		if _, d := sumBatches(window, c.countedMeasure); d <= 0 || c.isIncomparable(m) {
			continue
		}
		numerator, denominator := c.baselineRatio(m)
		c.members = append(c.members, m)
		c.windows = append(c.windows, window)
		c.baselineNumerators = append(c.baselineNumerators, numerator)
		c.baselineDenominators = append(c.baselineDenominators, denominator)
		if m.side != SideNew {
			c.referenceWindows = append(c.referenceWindows, window)
		}
	}
}

// dependsOnAge tells whether the measure depends on the age of a process. Memory and its growth do.
func (c *comparison) dependsOnAge() bool { return c.measure >= measureMemory }

// baselineRatio returns a member's measure before the first stage as numerator and denominator, and zeros if the member
// has no baseline.
func (c *comparison) baselineRatio(m *member) (numerator, denominator float64) {
	if !m.hasBaseline || c.judge.options.Without.Baseline {
		return 0, 0
	}
	numerator, denominator = measureRatio(c.countedMeasure, &m.baseline, c.judge.slowBucket)
	if c.dependsOnAge() {
		numerator *= maxBatches
		denominator *= maxBatches
	}
	return numerator, denominator
}

// isIncomparable tells whether a member is excluded from the comparison because of the age of its process.
func (c *comparison) isIncomparable(m *member) bool {
	// Processes that this stage started are still warming up. Without controls of this stage there are no unchanged
	// processes of the same age to compare them with.
	isJustStarted := m.side == SideNew && m.isChangedInStage && m.isNewProcess
	needsControl := !c.hasStageControls && !c.judge.options.Without.Control
	if isJustStarted && needsControl && c.hasEarlierChanged {
		return true
	}
	// Memory depends on the age of a process, so members changed in this stage are compared with its controls but not
	// with members of earlier stages.
	isOfEarlierStage := m.side != SideOld && !m.isChangedInStage
	return c.dependsOnAge() && c.hasStageControls && isOfEarlierStage
}

// estimateVariances estimates the variance of each member from the unchanged members. It returns false if these have
// too few batches.
func (c *comparison) estimateVariances() bool {
	var pooled pooledVariance
	if isRelative(c.measure) {
		pooled = varianceOverTime(c.referenceWindows, slices.Repeat([]float64{1}, len(c.referenceWindows)), c.countedMeasure)
	} else {
		pooled = dispersion(c.referenceWindows, c.measure, c.requestWeight, c.minDifference)
	}
	if pooled.degreesOfFreedom < minDegreesOfFreedom {
		return false
	}
	c.sideVariance = pooled.variance * (1 + 4/float64(pooled.degreesOfFreedom)) * float64(len(c.members)) / float64(len(c.members)-1)
	if c.judge.options.Without.Cluster {
		c.sideVariance = min(c.sideVariance, 1)
	}
	perReading := 0.0
	if isRelative(c.measure) && !c.judge.options.Without.Cluster {
		perReading = ratioVariance(c.referenceWindows, c.countedMeasure) * (1 + 4/float64(pooled.degreesOfFreedom))
	}
	c.memberVariances = make([]float64, len(c.members))
	for i, w := range c.windows {
		c.memberVariances[i] = c.memberVariance(w, perReading)
	}
	return true
}

// memberVariance returns the variance of one member per unit of its denominator. perReading is the variance of a
// relative measure per reading.
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

// estimateSides returns the estimates of the members of each side, and false if the measure depends on the age of a
// process and no control can be compared.
func (c *comparison) estimateSides() (sides [3][]estimate, ok bool) {
	mean, levels := c.baselines()
	sides = c.judge.estimateMembers(c.measure, c.members, c.windows, levels, mean, c.memberVariances)
	// The memory of a process that has just started grows, so it can be compared only with controls of the same age.
	usesControls := c.hasStageControls && !c.judge.options.Without.Control
	if c.dependsOnAge() && usesControls && len(sides[SideControl]) == 0 {
		return sides, false
	}
	// Baselines help only if the members still differ in the same way, which they may not after a fault of one zone.
	// The baselines are dropped if the members of the old side differ less without them.
	if len(sides[SideOld]) >= minMembersForSpread && !isRelative(c.measure) {
		flat := slices.Repeat([]baselineLevel{{mean, 0}}, len(levels))
		withoutBaseline := c.judge.estimateMembers(c.measure, c.members, c.windows, flat, mean, c.memberVariances)
		if totalVariance(withoutBaseline[SideOld]) < totalVariance(sides[SideOld]) {
			sides = withoutBaseline
		}
	}
	return sides, true
}

// baselines returns the mean of the measure over the members before the first stage, and the level of each member.
func (c *comparison) baselines() (mean float64, each []baselineLevel) {
	var numerator, denominator float64
	for i := range c.baselineNumerators {
		numerator += c.baselineNumerators[i]
		denominator += c.baselineDenominators[i]
	}
	if !isRelative(c.measure) {
		variance := c.sideVariance * c.requestWeight * (c.sideRatio(0) + c.minDifference)
		if denominator > 0 { // the fleet's rate before the first stage may differ from the current rate
			variance = c.sideVariance * c.requestWeight * (max(numerator/denominator, 0) + c.minDifference)
		}
		return shrinkBaselines(c.baselineNumerators, c.baselineDenominators, variance)
	}
	if fleetRatio := numerator / denominator; denominator > 0 && fleetRatio > 0 { // relative to the fleet's rate, like the batches
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

// Corrections in counts for the skewness of small counts: the normal bound is too narrow by z^2/6 counts (Cornish and
// Fisher). Requests of different weights make the counts more skewed than their variance shows, so they need a larger
// correction.
const (
	skewCorrection       = 5.0
	weightSkewCorrection = 12.0
)

// decideHarm sets IsWorse of the result after it has corrected Low for the skewness of small counts.
func (c *comparison) decideHarm() {
	if c.measure == measureGrowth { // the margin for a pass may be wider than the margin for harm
		c.result.IsWorse = c.result.Low > c.judge.options.hourlyGrowthMargin()/4
	}
	if isRelative(c.measure) {
		return
	}
	missingCounts := skewCorrection
	if c.measure == measureLost {
		missingCounts = weightSkewCorrection
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

// canCompareGrowth tells whether the growth of memory can be compared. Processes that a stage started need controls that
// were started with them.
func (j *Judge) canCompareGrowth() bool {
	hasNewProcess := false
	hasControl := j.options.Without.Control
	for _, m := range j.order {
		hasNewProcess = hasNewProcess || m.isNewProcess && m.side == SideNew
		hasControl = hasControl || m.isChangedInStage && m.side == SideControl
	}
	return hasControl || !hasNewProcess
}

// requestWeight returns the mean weight of one request in a measure's denominator.
func (j *Judge) requestWeight(measure int) float64 {
	if old := &j.sideTotals[sideIndexOld]; measure == measureLost && old.denominator[measureFailed] > 0 {
		return max(old.denominator[measureLost]/old.denominator[measureFailed], 1e-9)
	}
	return 1
}

// estimateMembers returns the estimates of a measure by side. members, windows, baselines and variances are parallel
// slices; mean is the mean of the baselines.
func (j *Judge) estimateMembers(measure int, members []*member, windows [][]batch, baselines []baselineLevel, mean float64, variances []float64) (sides [3][]estimate) {
	var growth growthFit
	if measure == measureGrowth {
		growth = fitGrowth(members, windows, baselines, mean)
		if growth.degreesOfFreedom < minDegreesOfFreedom {
			return sides
		}
	}
	readingsPerHour := j.readingsPerHour()
	for i, m := range members {
		side := m.side
		// A control of an earlier stage has warmed up since, so it belongs to the old side.
		if side == SideControl && (!m.isChangedInStage || j.options.Without.Control) {
			side = SideOld
		}
		numerator, denominator := sumBatches(windows[i], min(measure, measureMemory))
		var e estimate
		switch {
		case measure == measureGrowth:
			if growth.lines[i].sxx <= 0 {
				continue
			}
			// Adjacent batches are correlated, which the residuals do not show; the variance is doubled for that.
			e = estimate{
				mean:     growth.lines[i].slope * readingsPerHour,
				variance: 2 * growth.residualSum / float64(growth.degreesOfFreedom) / growth.lines[i].sxx * readingsPerHour * readingsPerHour,
			}
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

// growthFit holds a line of memory over time for each member, with the residuals of the unchanged members.
type growthFit struct {
	lines            []memoryLine
	residualSum      float64 // sum of squared residuals
	degreesOfFreedom int
}

// fitGrowth fits a line to the memory of each member.
func fitGrowth(members []*member, windows [][]batch, baselines []baselineLevel, mean float64) growthFit {
	fit := growthFit{lines: make([]memoryLine, len(members))}
	for i, m := range members {
		line := fitMemory(windows[i], max(baselines[i].mean/mean, 1e-9))
		fit.lines[i] = line
		if m.side != SideNew && line.points > 2 {
			fit.residualSum += line.residualSum
			fit.degreesOfFreedom += line.points - 2
		}
	}
	return fit
}

// readingsPerHour returns the rate of observations in this stage, and 0 if it is unknown.
func (j *Judge) readingsPerHour() float64 {
	if j.observations == 0 || j.observedAt <= j.stageStartedAt {
		return 0
	}
	return float64(time.Hour) / (float64(j.observedAt-j.stageStartedAt) / float64(j.observations))
}

// toleratedDifference returns the largest difference that does not count as harm.
func (j *Judge) toleratedDifference(margin float64) float64 {
	if j.options.Without.Tolerance {
		return 0
	}
	return margin / 4
}

// compareSides compares the changed members with the old side and the controls, and sets the bounds of the result.
func (j *Judge) compareSides(result *Measure, sides [3][]estimate, isLaterHalf bool) {
	var oldOutliers, controlOutliers int
	sides[SideOld], oldOutliers = trimOutliers(sides[SideOld])
	sides[SideControl], controlOutliers = trimOutliers(sides[SideControl])
	result.LeftOut += oldOutliers + controlOutliers
	result.Members = len(sides[SideNew])
	result.References = len(sides[SideOld]) + len(sides[SideControl])
	if result.Members == 0 || result.References == 0 {
		return
	}
	betweenMembers := 0.0
	if !j.options.Without.Cluster {
		betweenMembers = moderatedVarianceBetween(sides, result.Margin)
	}
	reference := poolReferences(sides, betweenMembers)
	changed := poolEstimates(sides[SideNew], betweenMembers)
	difference := changed.mean - reference.mean
	variance := changed.variance + reference.variance
	alpha := j.falseAlarmShare()
	if isLaterHalf { // the start of this window moves, which the sequential bound does not cover
		alpha /= 4
	}
	result.Low = difference - boundWidth(variance, result.Margin, alpha, !j.options.Without.Sequential)
	result.High = difference + boundWidth(variance, result.Margin, j.options.MaxMissedHarm, !j.options.Without.Sequential)
	result.difference = difference
	result.IsWorse = result.Low > j.toleratedDifference(result.Margin)
	result.IsEnough = result.High < result.Margin
}

// moderatedVarianceBetween returns the variance between unchanged members, estimated from the references and a prior
// with a standard deviation of a tenth of the margin. The prior dominates if there are few references.
func moderatedVarianceBetween(sides [3][]estimate, margin float64) float64 {
	const priorDegrees = 4
	priorDeviation := margin / 10
	variance := priorDegrees * priorDeviation * priorDeviation
	degreesOfFreedom := priorDegrees
	for _, all := range [...][]estimate{sides[SideOld], sides[SideControl]} {
		if len(all) > 1 {
			variance += float64(len(all)-1) * varianceBetween(all)
			degreesOfFreedom += len(all) - 1
		}
	}
	variance /= float64(degreesOfFreedom)
	// Towards the end of a rollout the few remaining references may all be in one zone, so the variance between changed
	// members is considered too.
	if len(sides[SideOld])+len(sides[SideControl]) < minMembersForSpread {
		variance = max(variance, varianceBetween(sides[SideNew]))
	}
	return variance
}

// poolReferences returns the combined estimate of the old side and the controls.
func poolReferences(sides [3][]estimate, betweenMembers float64) estimate {
	old := poolEstimates(sides[SideOld], betweenMembers)
	if len(sides[SideControl]) == 0 {
		return old
	}
	control := poolEstimates(sides[SideControl], betweenMembers)
	if len(sides[SideOld]) == 0 {
		return control
	}
	// The controls are warming up like the changed members. The old side is weighted down by its difference from them.
	warmingDifference := control.mean - old.mean
	oldVariance := old.variance + warmingDifference*warmingDifference
	controlWeight := oldVariance / (oldVariance + control.variance)
	return estimate{
		mean:     controlWeight*control.mean + (1-controlWeight)*old.mean,
		variance: oldVariance * control.variance / (oldVariance + control.variance),
	}
}
