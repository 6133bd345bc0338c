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
	count, limit := 0, math.Exp(-mean)
	for p := r.Float64(); p > limit; p *= r.Float64() {
		count++
	}
	return count
}

// binomial draws how many of n; rare ones as a Poisson count.
func binomial(r *rand.Rand, n int, probability float64) int {
	switch {
	case n <= 0 || !(probability > 0):
		return 0
	case probability >= 1:
		return n
	case float64(n)*min(probability, 1-probability) > 30:
		return min(n, max(0, int(math.Round(float64(n)*probability+math.Sqrt(float64(n)*probability*(1-probability))*r.NormFloat64()))))
	case probability > 0.5:
		return n - binomial(r, n, 1-probability)
	}
	return min(n, poisson(r, float64(n)*probability))
}

// A delay is lognormal; what is quicker than most is told in one bucket, as nothing looks at it.
const (
	delayMedian      = 0.02 // s
	delaySigma       = 0.8
	latencyObjective = 0.25 // s after which an answer is late
	bodyShare        = 0.9  // share of the answers that are told in one bucket
	slownessSteps    = 50   // for each unit of the logarithm of how much slower all is
)

// delayTail is the part of the answers in each bucket, for delays slower by a factor.
type delayTail struct {
	body      int // bucket of the others
	first     int
	shares    []float64
	firstLate int // the first bucket that is late
}

type delayTails map[int]*delayTail

// of is the tail at a factor, quantized.
func (t delayTails) of(factor float64) *delayTail {
	key := int(math.Round(math.Log(factor) * slownessSteps))
	if x := t[key]; x != nil {
		return x
	}
	mu := math.Log(delayMedian) + float64(key)/slownessSteps
	cdf := func(s float64) float64 { return distuv.UnitNormal.CDF((math.Log(s) - mu) / delaySigma) }
	x := &delayTail{body: instancestats.Bucket(seconds(math.Exp(mu))), first: instancestats.Bucket(seconds(math.Exp(mu + 1.2816*delaySigma))), firstLate: instancestats.Bucket(seconds(latencyObjective))}
	for i := x.first; ; i++ {
		lower, upper := cdf(instancestats.Edge(i-1).Seconds()), cdf(instancestats.Edge(i).Seconds())
		x.shares = append(x.shares, upper-lower)
		if 1-upper < 2e-5 {
			break
		}
	}
	t[key] = x
	return x
}

// draw puts n answers into d and tells how many are late.
func (x *delayTail) draw(r *rand.Rand, n int, delays *instancestats.Delays) (late int) {
	remaining := n
	for i, p := range x.shares {
		count := min(remaining, poisson(r, float64(n)*p))
		delays[x.first+i] += uint64(count)
		if remaining -= count; x.first+i >= x.firstLate {
			late += count
		}
	}
	delays[x.body] += uint64(remaining)
	return late
}
