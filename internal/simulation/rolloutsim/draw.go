package rolloutsim

import (
	"math"
	"math/rand/v2"
	"time"

	"lockflow/internal/instancestats"

	"gonum.org/v1/gonum/stat/distuv"
)

// maxExactMean is the mean above which counts are drawn from the normal approximation.
const maxExactMean = 30

// poisson draws a Poisson-distributed count.
func poisson(r *rand.Rand, mean float64) int {
	switch {
	case !(mean > 0):
		return 0
	case mean > maxExactMean:
		return max(0, int(math.Round(mean+math.Sqrt(mean)*r.NormFloat64())))
	}
	count := 0
	limit := math.Exp(-mean)
	for p := r.Float64(); p > limit; p *= r.Float64() {
		count++
	}
	return count
}

// binomial draws the number of successes in n trials. If few successes or few failures are expected, it draws their
// number from the Poisson approximation.
func binomial(r *rand.Rand, n int, probability float64) int {
	switch {
	case n <= 0 || !(probability > 0):
		return 0
	case probability >= 1:
		return n
	case float64(n)*min(probability, 1-probability) > maxExactMean:
		return min(n, max(0, int(math.Round(float64(n)*probability+math.Sqrt(float64(n)*probability*(1-probability))*r.NormFloat64()))))
	case probability > 0.5:
		return n - binomial(r, n, 1-probability)
	}
	return min(n, poisson(r, float64(n)*probability))
}

// Delays are lognormal. Only the slowest tenth is drawn by bucket. All other delays are counted in one bucket, since no
// measure depends on their distribution.
const (
	delayMedian      = 0.02   // s
	delaySigma       = 0.8    // standard deviation of the logarithm
	latencyObjective = 0.25   // s after which a response is late
	tailQuantile     = 1.2816 // 0.9 quantile of the standard normal distribution
	maxRemainder     = 2e-5   // maximum probability of a delay above the last bucket
	factorSteps      = 50     // quantization steps of a factor, per unit of its logarithm
)

// delayTail holds the probabilities of the slow buckets for delays that are scaled by a factor.
type delayTail struct {
	bodyBucket  int       // bucket that counts all delays below the tail
	firstBucket int       // bucket of shares[0]
	shares      []float64 // probability of each bucket
	lateBucket  int       // first bucket of late responses
}

// delayTails caches delayTail values by quantized factor.
type delayTails map[int]*delayTail

// forFactor returns the tail of delays that are scaled by a factor.
func (t delayTails) forFactor(factor float64) *delayTail {
	key := int(math.Round(math.Log(factor) * factorSteps))
	if known := t[key]; known != nil {
		return known
	}
	mu := math.Log(delayMedian) + float64(key)/factorSteps
	probabilityBelow := func(delay float64) float64 { return distuv.UnitNormal.CDF((math.Log(delay) - mu) / delaySigma) }
	tail := &delayTail{
		bodyBucket:  instancestats.Bucket(seconds(math.Exp(mu))),
		firstBucket: instancestats.Bucket(seconds(math.Exp(mu + tailQuantile*delaySigma))),
		lateBucket:  instancestats.Bucket(seconds(latencyObjective)),
	}
	for i := tail.firstBucket; ; i++ {
		lower := probabilityBelow(instancestats.Edge(i - 1).Seconds())
		upper := probabilityBelow(instancestats.Edge(i).Seconds())
		tail.shares = append(tail.shares, upper-lower)
		if 1-upper < maxRemainder {
			break
		}
	}
	t[key] = tail
	return tail
}

// draw adds n random delays to a histogram, and returns how many of them are late.
func (t *delayTail) draw(r *rand.Rand, n int, delays *instancestats.Delays) (late int) {
	remaining := n
	for i, share := range t.shares {
		bucket := t.firstBucket + i
		count := min(remaining, poisson(r, float64(n)*share))
		delays[bucket] += uint64(count)
		remaining -= count
		if bucket >= t.lateBucket {
			late += count
		}
	}
	delays[t.bodyBucket] += uint64(remaining)
	return late
}

// seconds converts seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
