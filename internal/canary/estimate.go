package canary

import (
	"math"
	"slices"
)

// estimate is what one member says of a measure: its change against before, and the variance of that.
type estimate struct{ mean, variance float64 }

// level is what a member's before is believed to be, and the variance of that.
type level struct{ b, v float64 }

// shrink has each member's before between its own and the fleet's, by how far members differ and how sure
// its own is (James and Stein). y, d hold one entry a member; d of 0 is a member without.
func shrink(y, d []float64, v float64) (mean float64, all []level) {
	sy, sd := 0.0, 0.0
	for i := range y {
		sy, sd = sy+y[i], sd+d[i]
	}
	all = make([]level, len(y))
	if sd == 0 {
		return 0, all
	}
	mean = sy / sd
	var list []estimate
	for i := range y {
		if d[i] > 0 {
			list = append(list, estimate{y[i] / d[i], v / d[i]})
		}
	}
	t := between(list)
	for i := range y {
		if d[i] <= 0 {
			all[i] = level{mean, t}
			continue
		}
		own := v / d[i]
		k := 1.0
		if t+own > 0 {
			k = t / (t + own)
		}
		all[i] = level{mean + k*(y[i]/d[i]-mean), k * own}
	}
	return mean, all
}

// between is the variance between members beyond that of each (DerSimonian and Laird).
func between(all []estimate) float64 {
	if len(all) < 2 {
		return 0
	}
	var w, wa, w2 float64
	for _, e := range all {
		x := 1 / max(e.variance, 1e-18)
		w, wa, w2 = w+x, wa+x*e.mean, w2+x*x
	}
	q, mean := 0.0, wa/w
	for _, e := range all {
		q += (e.mean - mean) * (e.mean - mean) / max(e.variance, 1e-18)
	}
	c := w - w2/w
	if c <= 0 {
		return 0
	}
	return max(0, (q-float64(len(all)-1))/c)
}

// vary is how far members are from each other, with all that makes them so.
func vary(all []estimate) float64 {
	v := 0.0
	for _, e := range all {
		v += e.variance
	}
	return between(all) + v/float64(max(len(all), 1))
}

// pooled is the mean of a side and its variance.
func pooled(all []estimate, tau2 float64) estimate {
	if len(all) == 0 {
		return estimate{0, math.Inf(1)}
	}
	var w, wa float64
	for _, e := range all {
		x := 1 / max(e.variance+tau2, 1e-18)
		w, wa = w+x, wa+x*e.mean
	}
	return estimate{wa / w, 1 / w}
}

// trim leaves out what is far from all others, where there are enough to tell. More than one in twenty that
// are far are no liars but how the fleet is (a zone with a fault): then all stay, and widen the bounds.
func trim(all []estimate) ([]estimate, int) {
	if len(all) < 8 {
		return all, 0
	}
	a := make([]float64, len(all))
	for i, e := range all {
		a[i] = e.mean
	}
	slices.Sort(a)
	mid := a[len(a)/2]
	for i := range a {
		a[i] = math.Abs(a[i] - mid)
	}
	slices.Sort(a)
	mad := 1.4826 * a[len(a)/2]
	remaining := make([]estimate, 0, len(all))
	for _, e := range all {
		if math.Abs(e.mean-mid) <= 8*math.Sqrt(mad*mad+e.variance) {
			remaining = append(remaining, e)
		}
	}
	if left := len(all) - len(remaining); 20*left <= len(all) {
		return remaining, left
	}
	return all, 0
}

// width is how far on one side an estimate of variance v may be off at any of any number of looks, but
// for a part alpha: Robbins' normal mixture, narrowest about where v is a sixteenth of margin squared.
func width(v, margin, alpha float64, sequential bool) float64 {
	if !(v < 1e12) {
		return math.Inf(1)
	}
	v = max(v, 1e-18)
	if !sequential {
		return math.Sqrt(v) * math.Sqrt2 * math.Erfinv(1-2*alpha)
	}
	i, rho := 1/v, 1/(margin*margin)
	return math.Sqrt((i+rho)*math.Log((i+rho)/(rho*4*alpha*alpha))) / i
}

// spread is what a measure varies by within members over time: the variance of a sum for each unit of
// its denominator, and how many batches less means that stands on.
type spread struct {
	v  float64
	df int
}

// within takes it from how a member's batches differ from its own mean.
func within(all [][]batch, scale []float64, k int) spread {
	var s float64
	df := 0
	for i, bs := range all {
		y, d := sum(bs, k)
		if d <= 0 || len(bs) < 2 || scale[i] <= 0 {
			continue
		}
		r, n := y/d, 0
		for j := range bs {
			if b := &bs[j]; b.d[k] > 0 {
				e := (b.y[k] - r*b.d[k]) / scale[i]
				s += e * e / b.d[k]
				n++
			}
		}
		df += max(n-1, 0)
	}
	if df == 0 {
		return spread{}
	}
	return spread{s / float64(df), df}
}

// wander is what a ratio varies by from reading to reading whatever its denominator: cost a request does, as work
// besides requests does, so that more requests don't make it surer.
func wander(all [][]batch, k int) float64 {
	s, df := 0.0, 0
	for _, bs := range all {
		y, d := sum(bs, k)
		if d <= 0 || len(bs) < 2 {
			continue
		}
		for j := range bs {
			if b := &bs[j]; b.d[k] > 0 {
				e := b.y[k]/b.d[k] - y/d
				s += e * e * b.n
				df++
			}
		}
		df--
	}
	return s / float64(max(df, 1))
}

// dispersion is how many times more than Poisson counts the counts of members vary over time, 1 at least:
// requests come in bursts, fail together and are worth more than one (quasi-Poisson, by Pearson's residuals).
// least is a part taken to go wrong besides, so that the first one does not weigh all.
func dispersion(all [][]batch, k int, unit, minimum float64) spread {
	var s float64
	df := 0
	for _, bs := range all {
		y, d := sum(bs, k)
		if d <= 0 || len(bs) < 2 {
			continue
		}
		n := 0
		for j := range bs {
			if b := &bs[j]; b.d[k] > 0 {
				e := b.y[k] - y/d*b.d[k]
				s += e * e / (unit * (b.x[k] + minimum*b.d[k]))
				n++
			}
		}
		df += max(n-1, 0)
	}
	if df == 0 {
		return spread{}
	}
	return spread{max(1, s/float64(df)), df}
}

// slope is a member's growth of memory for each reading, in parts of scale times the fleet's, and what its
// batches are off that line by.
func slope(bs []batch, scale float64) (g, sxx, rest float64, n int) {
	var x, y, mx, my float64
	var xs, ys [maxBatches + 1]float64
	at := 0.0
	for i := range bs {
		if d := bs[i].d[measureMemory]; d > 0 {
			xs[n], ys[n] = at+bs[i].n/2, bs[i].y[measureMemory]/d/scale
			mx, my = mx+xs[n], my+ys[n]
			n++
		}
		at += bs[i].n
	}
	if n < 6 {
		return 0, 0, 0, 0
	}
	mx, my = mx/float64(n), my/float64(n)
	sxy := 0.0
	for i := range n {
		x, y = xs[i]-mx, ys[i]-my
		sxx, sxy = sxx+x*x, sxy+x*y
	}
	if sxx <= 0 {
		return 0, 0, 0, 0
	}
	g = sxy / sxx
	for i := range n {
		e := ys[i] - my - g*(xs[i]-mx)
		rest += e * e
	}
	return g, sxx, rest, n
}
