package canary

import (
	"math"
	"time"
)

// alpha is a measure's part of what false alarms are allowed: of a window, a stage and a side.
func (j *Judge) alpha() float64 { return 0.7 * j.o.Alpha / float64(j.o.Stages) / (2 * measures) }

// compare sets the sides against each other over a stage, or over its later half.
func (j *Judge) compare(k int, half bool) Measure {
	margin := j.o.margin(k)
	if k == growth {
		margin = j.o.growth(j.at - j.flip)
	}
	out := Measure{Name: names[k], Margin: margin, Low: math.Inf(-1), High: math.Inf(1)}
	from := min(k, memory)
	raw := func(i int) float64 {
		if d := j.raw[i].d[from]; d > 0 {
			return j.raw[i].y[from] / d
		}
		return 0
	}
	out.Old, out.New = raw(0), raw(1)
	if !relative(k) { // in a fault of the world what members differ by grows with what they have in common
		margin = max(margin, out.Old/2)
		out.Margin = margin
	}

	// Who takes part, with what it did before.
	freshControl, elder := false, false
	for _, m := range j.order {
		freshControl = freshControl || m.fresh && m.side == Control
		elder = elder || !m.fresh && m.side == New
	}
	if k == growth && !j.grows() {
		return out
	}
	var who []*member
	var windows [][]batch
	var y0, d0 []float64
	for _, m := range j.order {
		if m.strikes >= strikes {
			out.Left++
			continue
		}
		// Without a control new processes of this stage are too cold to be held against anybody, if others are not.
		if m.side == New && m.fresh && m.young && elder && !freshControl && !j.o.Without.Control {
			continue
		}
		// Memory goes by age: changed ones of this stage are held against controls of this stage alone.
		if k >= memory && freshControl && m.side != Old && !m.fresh {
			continue
		}
		w := m.window(half)
		if _, d := sum(w, from); d <= 0 {
			continue
		}
		y, d := 0.0, 0.0
		if m.based && !j.o.Without.Before {
			if y, d = ratio(from, &m.base, j.cut); k >= memory {
				y, d = y*batches, d*batches
			}
		}
		who, windows, y0, d0 = append(who, m), append(windows, w), append(y0, y), append(d0, d)
	}
	ones := make([]float64, len(who))
	var refs [][]batch
	for i, m := range who {
		if ones[i] = 1; m.side != New {
			refs = append(refs, windows[i])
		}
	}
	if len(refs) == 0 || len(refs) == len(who) {
		return out
	}
	least := margin / 4
	unit := j.unit(k)
	var s spread
	if relative(k) {
		s = within(refs, ones[:len(refs)], from)
	} else {
		s = dispersion(refs, k, unit, least)
	}
	if s.df < 6 {
		return out
	}
	v := s.v * (1 + 4/float64(s.df)) * float64(len(who)) / float64(len(who)-1)
	if j.o.Without.Cluster {
		v = min(v, 1)
	}
	loose := 0.0
	if relative(k) && !j.o.Without.Cluster {
		loose = wander(refs, from) * (1 + 4/float64(s.df))
	}
	vs := make([]float64, len(who)) // of each, for each unit of its denominator
	for i := range vs {
		vs[i] = v
		if _, d := sum(windows[i], from); relative(k) {
			n := 0.0
			for b := range windows[i] {
				n += windows[i][b].n
			}
			vs[i] = max(v, loose*d/max(n, 1))
		}
		if !relative(k) {
			x := 0.0
			for b := range windows[i] {
				x += windows[i][b].x[k]
			}
			_, d := sum(windows[i], k)
			vs[i] = v * unit * (x/d + least)
		}
	}
	v0 := v
	if !relative(k) {
		then, n := 0.0, 0.0
		for i := range y0 {
			then, n = then+y0[i], n+d0[i]
		}
		if v0 = v * unit * (raw(0) + least); n > 0 { // before may have been another time
			v0 = v * unit * (max(then/n, 0) + least)
		}
	}
	var was float64
	if relative(k) { // shares of the fleet's rate, as the batches are
		var sy, sd float64
		for i := range y0 {
			sy, sd = sy+y0[i], sd+d0[i]
		}
		if was = sy / sd; sd > 0 && was > 0 {
			for i := range d0 {
				d0[i] *= was
			}
		} else {
			clear(d0)
			clear(y0)
		}
	}
	mean, before := shrink(y0, d0, v0)
	if relative(k) && mean <= 0 {
		mean = 1
		for i := range before {
			before[i].b = 1
		}
	}
	sides := j.estimates(k, who, windows, before, mean, vs)
	// A young process's memory grows: without its control's there is nothing to hold it against.
	if k >= memory && freshControl && !j.o.Without.Control && len(sides[Control]) == 0 {
		return out
	}
	// What was before helps only if members are now as they were then: after a fault of one zone they aren't.
	// The old ones tell by differing less with it or without.
	if len(sides[Old]) >= 8 && !relative(k) {
		flat := make([]level, len(before))
		for i := range flat {
			flat[i] = level{mean, 0}
		}
		if plain := j.estimates(k, who, windows, flat, mean, vs); vary(plain[Old]) < vary(sides[Old]) {
			sides = plain
		}
	}
	j.contrast(&out, sides, half)
	if k == growth { // what shows is harm also where the margin of a pass is wider
		out.Worse = out.Low > j.o.grown()/4
	}
	if !relative(k) {
		// Few counts are skewed: the normal's bound lacks z^2/6 of them (Cornish and Fisher), five at our levels.
		// What a request is worth differs, so that its counts are more skewed than they vary.
		few := 5.0
		if k == lost {
			few = 12
		}
		n := 0.0
		for i, m := range who {
			if m.side == New {
				_, d := sum(windows[i], k)
				n += d
			}
		}
		if !j.o.Without.Slack {
			out.Low -= few * v * unit / n
		}
		out.Worse = out.Low > j.slack(margin)
	}
	return out
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
