package canary

import (
	"math"
	"slices"
	"time"
)

// falseAlarmShare returns the part of MaxFalseAlarms that one measure may use up in one stage, in each of the two
// windows (the stage and its later half).
func (j *Judge) falseAlarmShare() float64 {
	return 0.7 * j.options.MaxFalseAlarms / float64(j.options.Stages) / (2 * measureCount)
}

// comparison compares one measure between the sides, over a stage or over its later half.
type comparison struct {
	judge          *Judge
	measure        int // index of the measure that is compared
	countedMeasure int // index of the measure whose counts are used: growth uses those of memory
	isLaterHalf    bool
	margin         float64
	minDifference  float64 // a smaller difference counts as none
	requestWeight  float64 // weight of one request in the denominator

	hasStageControls  bool // there are controls of this stage
	hasEarlierChanged bool // there are members that earlier stages changed

	// Parallel slices with an entry for each member that takes part.
	members              []*member
	windows              [][]batch
	baselineNumerators   []float64
	baselineDenominators []float64
	memberVariances      []float64 // for each unit of the denominator

	referenceWindows [][]batch // windows of the members that aren't changed
	sideVariance     float64   // for each unit of the denominator, estimated from the reference windows
	result           Measure
}

// minDegreesOfFreedom is how many degrees of freedom a variance estimate needs.
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
	if !isRelative(measure) { // in a fault of the environment, differences between members grow with the fleet's mean
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

// sideRatio returns the measure's value for a side over the stage, as counted.
func (c *comparison) sideRatio(side int) float64 {
	if d := c.judge.sideTotals[side].denominator[c.countedMeasure]; d > 0 {
		return c.judge.sideTotals[side].numerator[c.countedMeasure] / d
	}
	return 0
}

// chooseMembers selects the members that take part, with their windows and baselines.
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

// dependsOnAge tells whether the measure depends on the age of a process, as memory and its growth do.
func (c *comparison) dependsOnAge() bool { return c.measure >= measureMemory }

// baselineRatio returns a member's measure before the first stage as numerator and denominator; zeros are no baseline.
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

// isIncomparable tells whether a member's age keeps it out of the comparison.
func (c *comparison) isIncomparable(m *member) bool {
	// Without controls of this stage, processes that it started are still warming up and have no equals.
	isJustStarted := m.side == SideNew && m.isChangedInStage && m.isNewProcess
	needsControl := !c.hasStageControls && !c.judge.options.Without.Control
	if isJustStarted && needsControl && c.hasEarlierChanged {
		return true
	}
	// Memory depends on a process's age: members changed in this stage are compared with its controls alone.
	isOfEarlierStage := m.side != SideOld && !m.isChangedInStage
	return c.dependsOnAge() && c.hasStageControls && isOfEarlierStage
}

// estimateVariances estimates the variance of each member from the members that aren't changed. It returns false
// if they have too few batches.
func (c *comparison) estimateVariances() bool {
	var spread pooledVariance
	if isRelative(c.measure) {
		spread = varianceOverTime(c.referenceWindows, slices.Repeat([]float64{1}, len(c.referenceWindows)), c.countedMeasure)
	} else {
		spread = dispersion(c.referenceWindows, c.measure, c.requestWeight, c.minDifference)
	}
	if spread.degreesOfFreedom < minDegreesOfFreedom {
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

// memberVariance returns the variance of one member for each unit of its denominator. perReading is the variance
// of a relative measure from reading to reading.
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

// estimateSides returns the estimates of the members of each side, and false if there is nothing to compare with.
func (c *comparison) estimateSides() (sides [3][]estimate, ok bool) {
	mean, levels := c.baselines()
	sides = c.judge.estimateMembers(c.measure, c.members, c.windows, levels, mean, c.memberVariances)
	// The memory of a process that has just started grows; only controls of the same age compare with it.
	usesControls := c.hasStageControls && !c.judge.options.Without.Control
	if c.dependsOnAge() && usesControls && len(sides[SideControl]) == 0 {
		return sides, false
	}
	// A baseline helps only if members still differ as they did then; after a fault of one zone they don't.
	// It is dropped where the old side differs less without it.
	if len(sides[SideOld]) >= minMembersForSpread && !isRelative(c.measure) {
		flat := slices.Repeat([]baselineLevel{{mean, 0}}, len(levels))
		withoutBaseline := c.judge.estimateMembers(c.measure, c.members, c.windows, flat, mean, c.memberVariances)
		if totalVariance(withoutBaseline[SideOld]) < totalVariance(sides[SideOld]) {
			sides = withoutBaseline
		}
	}
	return sides, true
}

// baselines returns the measure before the first stage: the members' mean, and the level of each.
func (c *comparison) baselines() (mean float64, each []baselineLevel) {
	var numerator, denominator float64
	for i := range c.baselineNumerators {
		numerator += c.baselineNumerators[i]
		denominator += c.baselineDenominators[i]
	}
	if !isRelative(c.measure) {
		variance := c.sideVariance * c.requestWeight * (c.sideRatio(0) + c.minDifference)
		if denominator > 0 { // the fleet's rate then may differ from today's
			variance = c.sideVariance * c.requestWeight * (max(numerator/denominator, 0) + c.minDifference)
		}
		return shrinkBaselines(c.baselineNumerators, c.baselineDenominators, variance)
	}
	if fleetRatio := numerator / denominator; denominator > 0 && fleetRatio > 0 { // relative to the fleet's rate, as the batches are
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

// Counts are skewed where they are few: the normal bound is too narrow by z^2/6 counts (Cornish and Fisher). Requests
// of different weights make them more skewed than their variance shows.
const (
	skewCorrection       = 5.0
	weightSkewCorrection = 12.0
)

// decideHarm sets IsWorse of the result, after a correction of Low for few counts.
func (c *comparison) decideHarm() {
	if c.measure == measureGrowth { // the margin of a pass may be wider than that of harm
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

// canCompareGrowth tells whether the growth of memory can be compared: processes that a stage started need controls
// that were started with them.
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
// slices; mean is that of the baselines.
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
		// A control of an earlier stage has warmed up by now.
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
			// Adjacent batches are correlated, which their residuals do not show: the variance counts twice.
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

// growthFit is a line of memory over time for each member, with the residuals of the members that aren't changed.
type growthFit struct {
	lines            []memoryLine
	residualSum      float64 // of squares
	degreesOfFreedom int
}

// fitGrowth fits the lines of members' memory.
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

// readingsPerHour returns the rate of observations in this stage; 0 is unknown.
func (j *Judge) readingsPerHour() float64 {
	if j.observations == 0 || j.observedAt <= j.stageStartedAt {
		return 0
	}
	return float64(time.Hour) / (float64(j.observedAt-j.stageStartedAt) / float64(j.observations))
}

// toleratedDifference returns the difference that is no harm yet.
func (j *Judge) toleratedDifference(margin float64) float64 {
	if j.options.Without.Tolerance {
		return 0
	}
	return margin / 4
}

// compareSides compares the changed side with the old ones and controls, and sets the result's bounds.
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
	if isLaterHalf { // this window moves, which the bound over all looks does not cover
		alpha /= 4
	}
	result.Low = difference - boundWidth(variance, result.Margin, alpha, !j.options.Without.Sequential)
	result.High = difference + boundWidth(variance, result.Margin, j.options.MaxMissedHarm, !j.options.Without.Sequential)
	result.difference = difference
	result.IsWorse = result.Low > j.toleratedDifference(result.Margin)
	result.IsEnough = result.High < result.Margin
}

// moderatedVarianceBetween returns the variance between members without any change, estimated from the references
// and a prior of a tenth of the margin, which dominates where references are few.
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
	// Towards a rollout's end the few references may all be of one zone; then the changed members count too.
	if len(sides[SideOld])+len(sides[SideControl]) < minMembersForSpread {
		variance = max(variance, varianceBetween(sides[SideNew]))
	}
	return variance
}

// poolReferences returns the mean of the old side and the controls together.
func poolReferences(sides [3][]estimate, betweenMembers float64) estimate {
	old := poolEstimates(sides[SideOld], betweenMembers)
	if len(sides[SideControl]) == 0 {
		return old
	}
	control := poolEstimates(sides[SideControl], betweenMembers)
	if len(sides[SideOld]) == 0 {
		return control
	}
	// The old side counts as far as it is like the controls, which are warming up as the changed members are.
	warmingDifference := control.mean - old.mean
	oldVariance := old.variance + warmingDifference*warmingDifference
	controlWeight := oldVariance / (oldVariance + control.variance)
	return estimate{
		mean:     controlWeight*control.mean + (1-controlWeight)*old.mean,
		variance: oldVariance * control.variance / (oldVariance + control.variance),
	}
}
