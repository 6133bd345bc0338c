package canary

import (
	"math"
	"slices"
	"time"
)

// alpha is a measure's part of what false alarms are allowed: of a window, a stage and a side.
func (j *Judge) alpha() float64 { return 0.7 * j.o.Alpha / float64(j.o.Stages) / (2 * measures) }

// comparison is that of one measure over a stage, or over its later half.
type comparison struct {
	j                   *Judge
	k                   int // the measure
	from                int // the measure whose figures are compared: memory's for its growth
	half                bool
	margin              float64
	least, unit         float64 // what differs by less counts as equal; of the denominator that one request is
	freshControl, elder bool    // there are controls of this stage; changed ones of earlier stages
	who                 []*member
	windows             [][]batch // of each of who
	refs                [][]batch // of those not changed
	y0, d0              []float64 // what each did before, as numerator and denominator
	v                   float64   // variance for each unit of a denominator
	vs                  []float64 // the same of each
	out                 Measure
}

// compare sets the sides against each other over a stage, or over its later half.
func (j *Judge) compare(k int, half bool) Measure {
	c := &comparison{j: j, k: k, from: min(k, memory), half: half, margin: j.o.margin(k)}
	if k == growth {
		c.margin = j.o.growth(j.at - j.flip)
	}
	c.out = Measure{Name: names[k], Margin: c.margin, Low: math.Inf(-1), High: math.Inf(1), Old: c.raw(0), New: c.raw(1)}
	if !relative(k) { // in a fault of the world what members differ by grows with what they have in common
		c.margin = max(c.margin, c.out.Old/2)
		c.out.Margin = c.margin
	}
	if k == growth && !j.grows() {
		return c.out
	}
	c.choose()
	if len(c.refs) == 0 || len(c.refs) == len(c.who) {
		return c.out
	}
	c.least, c.unit = c.margin/4, j.unit(k)
	if !c.variances() {
		return c.out
	}
	if sides, ok := c.sides(); ok {
		j.contrast(&c.out, sides, half)
		c.worse()
	}
	return c.out
}

// raw is the measure of a side over the stage as it was read.
func (c *comparison) raw(side int) float64 {
	if d := c.j.raw[side].d[c.from]; d > 0 {
		return c.j.raw[side].y[c.from] / d
	}
	return 0
}

// choose finds who takes part, with what it did before.
func (c *comparison) choose() {
	for _, m := range c.j.order {
		c.freshControl = c.freshControl || m.fresh && m.side == Control
		c.elder = c.elder || !m.fresh && m.side == New
	}
	for _, m := range c.j.order {
		if m.strikes >= strikes {
			c.out.Left++
			continue
		}
		w := m.window(c.half)
		if _, d := sum(w, c.from); d <= 0 || c.incomparable(m) {
			continue
		}
		y, d := 0.0, 0.0
		if m.based && !c.j.o.Without.Before {
			if y, d = ratio(c.from, &m.base, c.j.cut); c.k >= memory {
				y, d = y*batches, d*batches
			}
		}
		c.who, c.windows, c.y0, c.d0 = append(c.who, m), append(c.windows, w), append(c.y0, y), append(c.d0, d)
		if m.side != New {
			c.refs = append(c.refs, w)
		}
	}
}

// incomparable tells whether a member's age keeps it out.
func (c *comparison) incomparable(m *member) bool {
	// Without a control new processes of this stage are too cold to be held against anybody, if others are not.
	if m.side == New && m.fresh && m.young && c.elder && !c.freshControl && !c.j.o.Without.Control {
		return true
	}
	// Memory goes by age: changed ones of this stage are held against controls of this stage alone.
	return c.k >= memory && c.freshControl && m.side != Old && !m.fresh
}

// variances estimates by how much members vary, from those not changed; false where these say too little.
func (c *comparison) variances() bool {
	var s spread
	if relative(c.k) {
		s = within(c.refs, slices.Repeat([]float64{1}, len(c.refs)), c.from)
	} else {
		s = dispersion(c.refs, c.k, c.unit, c.least)
	}
	if s.df < 6 {
		return false
	}
	c.v = s.v * (1 + 4/float64(s.df)) * float64(len(c.who)) / float64(len(c.who)-1)
	if c.j.o.Without.Cluster {
		c.v = min(c.v, 1)
	}
	loose := 0.0
	if relative(c.k) && !c.j.o.Without.Cluster {
		loose = wander(c.refs, c.from) * (1 + 4/float64(s.df))
	}
	c.vs = make([]float64, len(c.who))
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
	return c.v * c.unit * (x/d + c.least)
}

// sides are what the members of each side say; false where there is nothing to hold them against.
func (c *comparison) sides() (sides [3][]est, ok bool) {
	mean, before := c.before()
	sides = c.j.estimates(c.k, c.who, c.windows, before, mean, c.vs)
	// A young process's memory grows: without its control's there is nothing to hold it against.
	if c.k >= memory && c.freshControl && !c.j.o.Without.Control && len(sides[Control]) == 0 {
		return sides, false
	}
	// What was before helps only if members are now as they were then: after a fault of one zone they aren't.
	// The old ones tell by differing less with it or without.
	if len(sides[Old]) >= 8 && !relative(c.k) {
		flat := slices.Repeat([]level{{mean, 0}}, len(before))
		if plain := c.j.estimates(c.k, c.who, c.windows, flat, mean, c.vs); vary(plain[Old]) < vary(sides[Old]) {
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
		v := c.v * c.unit * (c.raw(0) + c.least)
		if d > 0 { // before may have been another time
			v = c.v * c.unit * (max(y/d, 0) + c.least)
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
	if c.k == growth { // what shows is harm also where the margin of a pass is wider
		c.out.Worse = c.out.Low > c.j.o.grown()/4
	}
	if relative(c.k) {
		return
	}
	// Few counts are skewed: the normal's bound lacks z^2/6 of them (Cornish and Fisher), five at our levels.
	// What a request is worth differs, so that its counts are more skewed than they vary.
	few := 5.0
	if c.k == lost {
		few = 12
	}
	n := 0.0
	for i, m := range c.who {
		if m.side == New {
			_, d := sum(c.windows[i], c.k)
			n += d
		}
	}
	if !c.j.o.Without.Slack {
		c.out.Low -= few * c.v * c.unit / n
	}
	c.out.Worse = c.out.Low > c.j.slack(c.margin)
}

// grows tells whether the growth of memory can be compared: that of processes which began with a stage needs
// others that began with them.
func (j *Judge) grows() bool {
	young, control := false, j.o.Without.Control
	for _, m := range j.order {
		young = young || m.young && m.side == New
		control = control || m.fresh && m.side == Control
	}
	return control || !young
}

// unit is how much of a measure's denominator one request is.
func (j *Judge) unit(k int) float64 {
	if b := &j.raw[0]; k == lost && b.d[failed] > 0 {
		return max(b.d[lost]/b.d[failed], 1e-9)
	}
	return 1
}

// estimates are what each member of a side says.
func (j *Judge) estimates(k int, who []*member, windows [][]batch, before []level, mean float64, vs []float64) (sides [3][]est) {
	var line struct {
		rest float64
		df   int
	}
	type grown struct{ g, sxx float64 }
	var lines []grown
	if k == growth {
		lines = make([]grown, len(who))
		for i, m := range who {
			g, sxx, rest, n := slope(windows[i], max(before[i].b/mean, 1e-9))
			lines[i] = grown{g, sxx}
			if m.side != New && n > 2 {
				line.rest, line.df = line.rest+rest, line.df+n-2
			}
		}
		if line.df < 6 {
			return sides
		}
	}
	hour := 0.0
	if j.looks > 0 && j.at > j.begin {
		hour = float64(time.Hour) / (float64(j.at-j.begin) / float64(j.looks))
	}
	for i, m := range who {
		side := m.side
		// One that was restarted for an earlier stage is as warm as any by now.
		if side == Control && (!m.fresh || j.o.Without.Control) {
			side = Old
		}
		y, d := sum(windows[i], min(k, memory))
		var e est
		switch {
		case k == growth:
			if lines[i].sxx <= 0 {
				continue
			}
			// Batches next to each other are alike, which their distance from a line does not show: twice.
			e = est{lines[i].g * hour, 2 * line.rest / float64(line.df) / lines[i].sxx * hour * hour}
		case relative(k):
			scale := max(before[i].b/mean, 1e-9)
			e = est{y/d/scale - 1, (vs[i]/d + before[i].v) / (scale * scale)}
		default:
			e = est{y/d - (before[i].b - mean), vs[i]/d + before[i].v}
		}
		sides[side] = append(sides[side], e)
	}
	return sides
}

// slack is what members differ by without harm.
func (j *Judge) slack(margin float64) float64 {
	if j.o.Without.Slack {
		return 0
	}
	return margin / 4
}

// contrast is new less what it is held against.
func (j *Judge) contrast(out *Measure, sides [3][]est, half bool) {
	var left [2]int
	sides[Old], left[0] = trim(sides[Old])
	sides[Control], left[1] = trim(sides[Control])
	out.Left += left[0] + left[1]
	out.Members, out.Against = len(sides[New]), len(sides[Old])+len(sides[Control])
	if out.Members == 0 || out.Against == 0 {
		return
	}
	// How much members differ for no cause at all, from the old ones; where they are few, mostly taken
	// to be a tenth of the margin.
	tau2 := 0.0
	if !j.o.Without.Cluster {
		const trust = 4
		few := out.Margin / 10
		tau2 = trust * few * few
		n := trust
		for _, all := range [...][]est{sides[Old], sides[Control]} {
			if len(all) > 1 {
				tau2 += float64(len(all)-1) * between(all)
				n += len(all) - 1
			}
		}
		tau2 /= float64(n)
		// Towards a rollout's end the few old ones left may all be of one zone; then the new ones say it too.
		if len(sides[Old])+len(sides[Control]) < 8 {
			tau2 = max(tau2, between(sides[New]))
		}
	}
	against := pooled(sides[Old], tau2)
	if c := pooled(sides[Control], tau2); len(sides[Control]) > 0 {
		if len(sides[Old]) == 0 {
			against = c
		} else {
			// Old ones that have served for long count as far as they are like the control, which is as cold
			// as the new ones are.
			cold := c.a - against.a
			ov := against.v + cold*cold
			w := ov / (ov + c.v)
			against = est{w*c.a + (1-w)*against.a, ov * c.v / (ov + c.v)}
		}
	}
	changed := pooled(sides[New], tau2)
	diff, v := changed.a-against.a, changed.v+against.v
	alpha := j.alpha()
	if half { // it moves on, which a bound over time does not cover
		alpha /= 4
	}
	out.Low = diff - width(v, out.Margin, alpha, !j.o.Without.Sequential)
	out.High = diff + width(v, out.Margin, j.o.Beta, !j.o.Without.Sequential)
	out.diff = diff
	out.Worse, out.Enough = out.Low > j.slack(out.Margin), out.High < out.Margin
}
