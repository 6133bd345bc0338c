package waitpolicy

import (
	"math"
	"time"
)

// Of a part about which nothing is known the share that is still out is expected to halve with each
// doubling of the time. That counts as half of one answer at each delay that somebody waited for.
const (
	priorWeight = 0.5
	knownWeight = 4 // answers or cuts, without which nothing is decided about a part: it is waited for
)

var priorHazard = 1 - math.Exp2(-1.0/perDouble)

// curve is how long a part takes: by each bucket's end the chance that it is still out, and that it
// has answered; what is left has failed.
type curve struct {
	outstanding, answered [Buckets]float64
	scores                [Buckets]float64 // normal score of having come or failed; for the common factor
	isKnown               bool
}

// estimate makes the curve of what was counted: the product of the chances to pass each bucket, where
// only those count that were at risk in it, with answers and failures as rivals.
func (c *curve) estimate(s *Sketch) {
	risk, out, came := s.Weight(), 1.0, 0.0
	c.isKnown = risk >= knownWeight
	for i := range c.outstanding {
		risk = max(0, risk-float64(s.Abandoned[i]))
		n := risk + priorWeight
		answers, fails := float64(s.Answered[i])+priorWeight*priorHazard, float64(s.Failed[i])
		if i == Buckets-1 {
			answers = n - fails // the last holds all that's longer
		}
		came += out * min(1, answers/n)
		out *= max(0, 1-(answers+fails)/n)
		c.outstanding[i], c.answered[i] = out, came
		c.scores[i] = normalScore(1 - out)
		risk -= float64(s.Answered[i]) + fails
	}
}

// At a time between two ends both chances are on the line between them.
func (c *curve) at(d time.Duration) (out, came float64) {
	i := Bucket(d)
	if i == Buckets-1 {
		return c.outstanding[i-1], c.answered[i-1]
	}
	lowOut, lowCame, from := 1.0, 0.0, time.Duration(0)
	if i > 0 {
		lowOut, lowCame, from = c.outstanding[i-1], c.answered[i-1], edges[i-1]
	}
	f := float64(d-from) / float64(edges[i]-from)
	return lowOut + f*(c.outstanding[i]-lowOut), lowCame + f*(c.answered[i]-lowCame)
}

// scoreAt is the normal score of a delay.
func (c *curve) scoreAt(d time.Duration) float64 {
	i := Bucket(d)
	if i == 0 || i == Buckets-1 {
		return c.scores[max(0, i-1)]
	}
	f := float64(d-edges[i-1]) / float64(edges[i]-edges[i-1])
	return c.scores[i-1] + f*(c.scores[i]-c.scores[i-1])
}

// Forecast is what is known of all parts at a class and a load when a query begins. It never changes.
type Forecast struct {
	load        float64
	correlation float64 // correlation of the parts' scores: 0 is none, towards 1 all are slow at once
	parts       []curve
}

// IsKnown tells whether enough is known of every part to decide by it.
func (f *Forecast) IsKnown() bool {
	for i := range f.parts {
		if !f.parts[i].isKnown {
			return false
		}
	}
	return len(f.parts) > 0
}

// Correlation is the correlation between the parts' delays, of their normal scores.
func (f *Forecast) Correlation() float64 { return f.correlation }

// Quantile is the delay within which a share p of a part's answers and failures are expected.
func (f *Forecast) Quantile(part int, p float64) time.Duration {
	c := &f.parts[part]
	for i, out := range c.outstanding {
		if 1-out >= p {
			return edges[min(i, Buckets-2)]
		}
	}
	return edges[Buckets-2]
}

// KnownForecast forecasts by distributions that somebody knows: came(part, d) is the chance that a part has
// answered after d. It is for simulations.
func KnownForecast(parts int, load, common float64, came func(part int, d time.Duration) float64) *Forecast {
	f := &Forecast{load: load, correlation: common, parts: make([]curve, parts)}
	for p := range f.parts {
		c := &f.parts[p]
		c.isKnown = true
		for i := range c.outstanding {
			c.answered[i] = 1
			if i < Buckets-1 {
				c.answered[i] = came(p, edges[i])
			}
			c.outstanding[i] = 1 - c.answered[i]
			c.scores[i] = normalScore(c.answered[i])
		}
	}
	return f
}

const maxScore = 4.0

// normalScore is the standard normal's quantile, bounded.
func normalScore(p float64) float64 {
	return max(-maxScore, min(maxScore, math.Sqrt2*math.Erfinv(2*p-1)))
}

// normalCDF is the standard normal's distribution, by a table: an error below 1e-4.
func normalCDF(x float64) float64 {
	x = (x + cdfSpan) * cdfSteps
	if x <= 0 {
		return 0
	}
	i := int(x)
	if i >= len(cdfTable)-1 {
		return 1
	}
	return cdfTable[i] + (x-float64(i))*(cdfTable[i+1]-cdfTable[i])
}

const (
	cdfSpan  = 5.0
	cdfSteps = 32
)

var cdfTable = func() (all [2*cdfSpan*cdfSteps + 1]float64) {
	for i := range all {
		all[i] = math.Erfc(-(float64(i)/cdfSteps-cdfSpan)/math.Sqrt2) / 2
	}
	return all
}()
