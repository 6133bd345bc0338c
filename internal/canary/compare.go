package canary

import (
	"math"
	"slices"
	"time"
)

// alpha is a measure's part of what false alarms are allowed: of a window, a stage and a side.
func (j *Judge) alpha() float64 {
	return 0.7 * j.options.MaxFalseAlarms / float64(j.options.Stages) / (2 * measureCount)
}

// comparison is that of one measure over a stage, or over its later half.
type comparison struct {
	j                                   *Judge
	k                                   int // the measure
	from                                int // the measure whose figures are compared: memory's for its growth
	half                                bool
	margin                              float64
	minDifference, unit                 float64 // what differs by less counts as equal; of the denominator that one request is
	hasStageControls, hasEarlierChanged bool    // there are controls of this stage; changed ones of earlier stages
	members                             []*member
	windows                             [][]batch // of each of who
	references                          [][]batch // of those not changed
	y0, d0                              []float64 // what each did before, as numerator and denominator
	v                                   float64   // variance for each unit of a denominator
	vs                                  []float64 // the same of each
	result                              Measure
}

// compare sets the sides against each other over a stage, or over its later half.
func (j *Judge) compare(k int, half bool) Measure {
	c := &comparison{j: j, k: k, from: min(k, measureMemory), half: half, margin: j.options.margin(k)}
	if k == measureGrowth {
		c.margin = j.options.growthMargin(j.observedAt - j.lastChangeAt)
	}
	c.result = Measure{Name: measureNames[k], Margin: c.margin, Low: math.Inf(-1), High: math.Inf(1), Old: c.raw(0), New: c.raw(1)}
	if !relative(k) { // in a fault of the world what members differ by grows with what they have in common
		c.margin = max(c.margin, c.result.Old/2)
		c.result.Margin = c.margin
	}
	if k == measureGrowth && !j.canCompareGrowth() {
		return c.result
	}
	c.choose()
	if len(c.references) == 0 || len(c.references) == len(c.members) {
		return c.result
	}
	c.minDifference, c.unit = c.margin/4, j.unit(k)
	if !c.variances() {
		return c.result
	}
	if sides, ok := c.sides(); ok {
		j.contrast(&c.result, sides, half)
		c.worse()
	}
	return c.result
}

// raw is the measure of a side over the stage as it was read.
func (c *comparison) raw(side int) float64 {
	if d := c.j.sideTotals[side].d[c.from]; d > 0 {
		return c.j.sideTotals[side].y[c.from] / d
	}
	return 0
}

// choose finds who takes part, with what it did before.
func (c *comparison) choose() {
	for _, m := range c.j.order {
		c.hasStageControls = c.hasStageControls || m.isChangedInStage && m.side == SideControl
		c.hasEarlierChanged = c.hasEarlierChanged || !m.isChangedInStage && m.side == SideNew
	}
	for _, m := range c.j.order {
		if m.implausibleReadings >= maxImplausibleReadings {
			c.result.LeftOut++
			continue
		}
		w := m.window(c.half)
		if _, d := sum(w, c.from); d <= 0 || c.incomparable(m) {
			continue
		}
		y, d := 0.0, 0.0
		if m.hasBaseline && !c.j.options.Without.Before {
			if y, d = ratio(c.from, &m.baseline, c.j.slowBucket); c.k >= measureMemory {
				y, d = y*maxBatches, d*maxBatches
			}
		}
		c.members, c.windows, c.y0, c.d0 = append(c.members, m), append(c.windows, w), append(c.y0, y), append(c.d0, d)
		if m.side != SideNew {
			c.references = append(c.references, w)
		}
	}
}

// incomparable tells whether a member's age keeps it out.
func (c *comparison) incomparable(m *member) bool {
	// Without a control new processes of this stage are too cold to be held against anybody, if others are not.
	if m.side == SideNew && m.isChangedInStage && m.isNewProcess && c.hasEarlierChanged && !c.hasStageControls && !c.j.options.Without.Control {
		return true
	}
	// Memory goes by age: changed ones of this stage are held against controls of this stage alone.
	return c.k >= measureMemory && c.hasStageControls && m.side != SideOld && !m.isChangedInStage
}

// variances estimates by how much members vary, from those not changed; false where these say too little.
func (c *comparison) variances() bool {
	var s spread
	if relative(c.k) {
		s = within(c.references, slices.Repeat([]float64{1}, len(c.references)), c.from)
	} else {
		s = dispersion(c.references, c.k, c.unit, c.minDifference)
	}
	if s.df < 6 {
		return false
	}
	c.v = s.v * (1 + 4/float64(s.df)) * float64(len(c.members)) / float64(len(c.members)-1)
	if c.j.options.Without.Cluster {
		c.v = min(c.v, 1)
	}
	loose := 0.0
	if relative(c.k) && !c.j.options.Without.Cluster {
		loose = wander(c.references, c.from) * (1 + 4/float64(s.df))
	}
	c.vs = make([]float64, len(c.members))
	for i, w := range c.windows {
		c.vs[i] = c.variance(w, loose)
	}
	return true
}

// variance is that of one member, for each unit of its denominator.
func (c *comparison) variance(w []batch, loose float64) float64 {
	if relative(c.k) {
		_, d := sum(w, c.from)
		n := 0.0
		for b := range w {
			n += w[b].n
		}
		return max(c.v, loose*d/max(n, 1))
	}
	x := 0.0
	for b := range w {
		x += w[b].x[c.k]
	}
	_, d := sum(w, c.k)
	return c.v * c.unit * (x/d + c.minDifference)
}

// sides are what the members of each side say; false where there is nothing to hold them against.
func (c *comparison) sides() (sides [3][]estimate, ok bool) {
	mean, before := c.before()
	sides = c.j.estimates(c.k, c.members, c.windows, before, mean, c.vs)
	// A young process's memory grows: without its control's there is nothing to hold it against.
	if c.k >= measureMemory && c.hasStageControls && !c.j.options.Without.Control && len(sides[SideControl]) == 0 {
		return sides, false
	}
	// What was before helps only if members are now as they were then: after a fault of one zone they aren't.
	// The old ones tell by differing less with it or without.
	if len(sides[SideOld]) >= 8 && !relative(c.k) {
		flat := slices.Repeat([]level{{mean, 0}}, len(before))
		if plain := c.j.estimates(c.k, c.members, c.windows, flat, mean, c.vs); vary(plain[SideOld]) < vary(sides[SideOld]) {
			sides = plain
		}
	}
	return sides, true
}

// before is what the members did before, in the mean and each.
func (c *comparison) before() (mean float64, each []level) {
	var y, d float64
	for i := range c.y0 {
		y, d = y+c.y0[i], d+c.d0[i]
	}
	if !relative(c.k) {
		v := c.v * c.unit * (c.raw(0) + c.minDifference)
		if d > 0 { // before may have been another time
			v = c.v * c.unit * (max(y/d, 0) + c.minDifference)
		}
		return shrink(c.y0, c.d0, v)
	}
	if was := y / d; d > 0 && was > 0 { // shares of the fleet's rate, as the batches are
		for i := range c.d0 {
			c.d0[i] *= was
		}
	} else {
		clear(c.d0)
		clear(c.y0)
	}
	if mean, each = shrink(c.y0, c.d0, c.v); mean <= 0 {
		mean = 1
		for i := range each {
			each[i].b = 1
		}
	}
	return mean, each
}

// worse decides whether harm is shown.
func (c *comparison) worse() {
	if c.k == measureGrowth { // what shows is harm also where the margin of a pass is wider
		c.result.IsWorse = c.result.Low > c.j.options.hourlyGrowthMargin()/4
	}
	if relative(c.k) {
		return
	}
	// Few counts are skewed: the normal's bound lacks z^2/6 of them (Cornish and Fisher), five at our levels.
	// What a request is worth differs, so that its counts are more skewed than they vary.
	few := 5.0
	if c.k == measureLost {
		few = 12
	}
	n := 0.0
	for i, m := range c.members {
		if m.side == SideNew {
			_, d := sum(c.windows[i], c.k)
			n += d
		}
	}
	if !c.j.options.Without.Slack {
		c.result.Low -= few * c.v * c.unit / n
	}
	c.result.IsWorse = c.result.Low > c.j.slack(c.margin)
}

// canCompareGrowth tells whether the growth of memory can be compared: that of processes which began with a stage needs
// others that began with them.
func (j *Judge) canCompareGrowth() bool {
	young, control := false, j.options.Without.Control
	for _, m := range j.order {
		young = young || m.isNewProcess && m.side == SideNew
		control = control || m.isChangedInStage && m.side == SideControl
	}
	return control || !young
}

// unit is how much of a measure's denominator one request is.
func (j *Judge) unit(k int) float64 {
	if b := &j.sideTotals[0]; k == measureLost && b.d[measureFailed] > 0 {
		return max(b.d[measureLost]/b.d[measureFailed], 1e-9)
	}
	return 1
}

// estimates are what each member of a side says.
func (j *Judge) estimates(k int, who []*member, windows [][]batch, before []level, mean float64, vs []float64) (sides [3][]estimate) {
	var line struct {
		rest float64
		df   int
	}
	type grown struct{ g, sxx float64 }
	var lines []grown
	if k == measureGrowth {
		lines = make([]grown, len(who))
		for i, m := range who {
			g, sxx, rest, n := slope(windows[i], max(before[i].b/mean, 1e-9))
			lines[i] = grown{g, sxx}
			if m.side != SideNew && n > 2 {
				line.rest, line.df = line.rest+rest, line.df+n-2
			}
		}
		if line.df < 6 {
			return sides
		}
	}
	hour := 0.0
	if j.observations > 0 && j.observedAt > j.stageStartedAt {
		hour = float64(time.Hour) / (float64(j.observedAt-j.stageStartedAt) / float64(j.observations))
	}
	for i, m := range who {
		side := m.side
		// One that was restarted for an earlier stage is as warm as any by now.
		if side == SideControl && (!m.isChangedInStage || j.options.Without.Control) {
			side = SideOld
		}
		y, d := sum(windows[i], min(k, measureMemory))
		var e estimate
		switch {
		case k == measureGrowth:
			if lines[i].sxx <= 0 {
				continue
			}
			// Batches next to each other are alike, which their distance from a line does not show: twice.
			e = estimate{lines[i].g * hour, 2 * line.rest / float64(line.df) / lines[i].sxx * hour * hour}
		case relative(k):
			scale := max(before[i].b/mean, 1e-9)
			e = estimate{y/d/scale - 1, (vs[i]/d + before[i].v) / (scale * scale)}
		default:
			e = estimate{y/d - (before[i].b - mean), vs[i]/d + before[i].v}
		}
		sides[side] = append(sides[side], e)
	}
	return sides
}

// slack is what members differ by without harm.
func (j *Judge) slack(margin float64) float64 {
	if j.options.Without.Slack {
		return 0
	}
	return margin / 4
}

// contrast is new less what it is held against.
func (j *Judge) contrast(out *Measure, sides [3][]estimate, half bool) {
	var left [2]int
	sides[SideOld], left[0] = trim(sides[SideOld])
	sides[SideControl], left[1] = trim(sides[SideControl])
	out.LeftOut += left[0] + left[1]
	out.Members, out.References = len(sides[SideNew]), len(sides[SideOld])+len(sides[SideControl])
	if out.Members == 0 || out.References == 0 {
		return
	}
	// How much members differ for no cause at all, from the old ones; where they are few, mostly taken
	// to be a tenth of the margin.
	tau2 := 0.0
	if !j.options.Without.Cluster {
		const trust = 4
		few := out.Margin / 10
		tau2 = trust * few * few
		n := trust
		for _, all := range [...][]estimate{sides[SideOld], sides[SideControl]} {
			if len(all) > 1 {
				tau2 += float64(len(all)-1) * between(all)
				n += len(all) - 1
			}
		}
		tau2 /= float64(n)
		// Towards a rollout's end the few old ones left may all be of one zone; then the new ones say it too.
		if len(sides[SideOld])+len(sides[SideControl]) < 8 {
			tau2 = max(tau2, between(sides[SideNew]))
		}
	}
	against := pooled(sides[SideOld], tau2)
	if c := pooled(sides[SideControl], tau2); len(sides[SideControl]) > 0 {
		if len(sides[SideOld]) == 0 {
			against = c
		} else {
			// Old ones that have served for long count as far as they are like the control, which is as cold
			// as the new ones are.
			warmingDifference := c.mean - against.mean
			ov := against.variance + warmingDifference*warmingDifference
			w := ov / (ov + c.variance)
			against = estimate{w*c.mean + (1-w)*against.mean, ov * c.variance / (ov + c.variance)}
		}
	}
	changed := pooled(sides[SideNew], tau2)
	diff, v := changed.mean-against.mean, changed.variance+against.variance
	alpha := j.alpha()
	if half { // it moves on, which a bound over time does not cover
		alpha /= 4
	}
	out.Low = diff - width(v, out.Margin, alpha, !j.options.Without.Sequential)
	out.High = diff + width(v, out.Margin, j.options.MaxMissedHarm, !j.options.Without.Sequential)
	out.diff = diff
	out.IsWorse, out.IsEnough = out.Low > j.slack(out.Margin), out.High < out.Margin
}
