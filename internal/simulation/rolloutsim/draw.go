package rolloutsim

import (
	"math"
	"math/rand/v2"

	"lockflow/internal/instancestats"

	"gonum.org/v1/gonum/stat/distuv"
)

// poisson draws a count; over a mean of 30 by the normal next to it.
func poisson(r *rand.Rand, mean float64) int {
	switch {
	case !(mean > 0):
		return 0
	case mean > 30:
		return max(0, int(math.Round(mean+math.Sqrt(mean)*r.NormFloat64())))
	}
	n, left := 0, math.Exp(-mean)
	for p := r.Float64(); p > left; p *= r.Float64() {
		n++
	}
	return n
}

// binomial draws how many of n; rare ones as a Poisson count.
func binomial(r *rand.Rand, n int, p float64) int {
	switch {
	case n <= 0 || !(p > 0):
		return 0
	case p >= 1:
		return n
	case float64(n)*min(p, 1-p) > 30:
		return min(n, max(0, int(math.Round(float64(n)*p+math.Sqrt(float64(n)*p*(1-p))*r.NormFloat64()))))
	case p > 0.5:
		return n - binomial(r, n, 1-p)
	}
	return min(n, poisson(r, float64(n)*p))
}

// A delay is lognormal; what is quicker than most is told in one bucket, as nothing looks at it.
const (
	delayMedian = 0.02 // s
	delaySigma  = 0.8
	aim         = 0.25 // s after which an answer is late
	delayFine   = 0.9  // share of the answers that are told in one bucket
	factorSteps = 50   // for each unit of the logarithm of how much slower all is
)

// tail is the part of the answers in each bucket, for delays slower by a factor.
type tail struct {
	body  int // bucket of the others
	first int
	part  []float64
	late  int // the first bucket that is late
}

type tails map[int]*tail

// of is the tail at a factor, quantized.
func (t tails) of(factor float64) *tail {
	key := int(math.Round(math.Log(factor) * factorSteps))
	if x := t[key]; x != nil {
		return x
	}
	mu := math.Log(delayMedian) + float64(key)/factorSteps
	cdf := func(s float64) float64 { return distuv.UnitNormal.CDF((math.Log(s) - mu) / delaySigma) }
	x := &tail{body: instancestats.Bucket(seconds(math.Exp(mu))), first: instancestats.Bucket(seconds(math.Exp(mu + 1.2816*delaySigma))), late: instancestats.Bucket(seconds(aim))}
	for i := x.first; ; i++ {
		lo, hi := cdf(instancestats.Edge(i-1).Seconds()), cdf(instancestats.Edge(i).Seconds())
		x.part = append(x.part, hi-lo)
		if 1-hi < 2e-5 {
			break
		}
	}
	t[key] = x
	return x
}

// draw puts n answers into d and tells how many are late.
func (x *tail) draw(r *rand.Rand, n int, d *instancestats.Delays) (late int) {
	rest := n
	for i, p := range x.part {
		c := min(rest, poisson(r, float64(n)*p))
		d[x.first+i] += uint64(c)
		if rest -= c; x.first+i >= x.late {
			late += c
		}
	}
	d[x.body] += uint64(rest)
	return late
}
