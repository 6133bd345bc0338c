package waitpolicy

import (
	"math"
	"time"
)

// For a part without observations, the probability of being outstanding is assumed to halve with each doubling of the
// time. This prior counts as priorWeight outcomes in each bucket.
const (
	priorWeight = 0.5
	// knownWeight is the weight of outcomes below which a part's curve is not used for decisions.
	knownWeight = 4
)

var priorHazard = 1 - math.Exp2(-1.0/bucketsPerDoubling)

// curve is the distribution of a part's duration at the ends of buckets. The probability of failure is what remains
// besides those of being outstanding and of having answered.
type curve struct {
	outstanding [Buckets]float64 // probability
	answered    [Buckets]float64 // probability
	scores      [Buckets]float64 // normal score of the probability of having ended
	isKnown     bool
}

// estimate computes the curve from the outcomes of a sketch with the Kaplan-Meier estimator: the product of the
// probabilities of outlasting each bucket. Answers and failures are competing risks, and an abandoned part is at risk
// until it was abandoned.
func (c *curve) estimate(s *Sketch) {
	atRisk := s.Weight()
	outstanding := 1.0
	answered := 0.0
	c.isKnown = atRisk >= knownWeight
	for i := range c.outstanding {
		atRisk = max(0, atRisk-float64(s.Abandoned[i]))
		total := atRisk + priorWeight
		answers := float64(s.Answered[i]) + priorWeight*priorHazard
		failures := float64(s.Failed[i])
		if i == Buckets-1 {
			answers = total - failures // the last bucket is unbounded
		}
		answered += outstanding * min(1, answers/total)
		outstanding *= max(0, 1-(answers+failures)/total)
		c.outstanding[i] = outstanding
		c.answered[i] = answered
		c.scores[i] = normalScore(1 - outstanding)
		atRisk -= float64(s.Answered[i]) + failures
	}
}

// at returns the probabilities after a duration, interpolated between the ends of buckets.
func (c *curve) at(duration time.Duration) (outstanding, answered float64) {
	i := Bucket(duration)
	if i == Buckets-1 {
		return c.outstanding[i-1], c.answered[i-1]
	}
	lowOutstanding := 1.0
	lowAnswered := 0.0
	from := time.Duration(0)
	if i > 0 {
		lowOutstanding = c.outstanding[i-1]
		lowAnswered = c.answered[i-1]
		from = edges[i-1]
	}
	fraction := float64(duration-from) / float64(edges[i]-from)
	return lowOutstanding + fraction*(c.outstanding[i]-lowOutstanding), lowAnswered + fraction*(c.answered[i]-lowAnswered)
}

// scoreAt returns the normal score of a duration.
func (c *curve) scoreAt(duration time.Duration) float64 {
	i := Bucket(duration)
	if i == 0 || i == Buckets-1 {
		return c.scores[max(0, i-1)]
	}
	fraction := float64(duration-edges[i-1]) / float64(edges[i]-edges[i-1])
	return c.scores[i-1] + fraction*(c.scores[i]-c.scores[i-1])
}

// minSurvivalProbability is the probability of a longer duration below which scoreOf returns the maximum score.
const minSurvivalProbability = 1e-4

// scoreOf returns the normal score of an outcome. The score of a censored outcome is the mean over all longer durations.
func (c *curve) scoreOf(o Outcome) float64 {
	score := c.scoreAt(o.Duration)
	if !o.Censored {
		return score
	}
	survival := 1 - normalCDF(score)
	if survival < minSurvivalProbability {
		return maxScore
	}
	return math.Exp(-score*score/2) / math.Sqrt(2*math.Pi) / survival
}

// Forecast contains the distributions of all parts' durations for a class and a load. It is immutable.
type Forecast struct {
	load        float64 // utilization, 0 to 1
	correlation float64 // of the parts' scores, 0 to 1
	parts       []curve
}

// IsKnown reports whether every part has enough observations for decisions.
func (f *Forecast) IsKnown() bool {
	for i := range f.parts {
		if !f.parts[i].isKnown {
			return false
		}
	}
	return len(f.parts) > 0
}

// Correlation returns the correlation of the normal scores of the parts' durations, 0 to 1.
func (f *Forecast) Correlation() float64 { return f.correlation }

// Quantile returns the duration within which a part ends with probability p, rounded up to the end of a bucket.
func (f *Forecast) Quantile(part int, p float64) time.Duration {
	c := &f.parts[part]
	for i, outstanding := range c.outstanding {
		if 1-outstanding >= p {
			return edges[min(i, Buckets-2)]
		}
	}
	return edges[Buckets-2]
}

// KnownForecast returns the forecast for given distributions, for simulations. answeredBy returns the probability that
// a part has answered after a duration.
func KnownForecast(parts int, load, correlation float64, answeredBy func(part int, duration time.Duration) float64) *Forecast {
	f := &Forecast{load: load, correlation: correlation, parts: make([]curve, parts)}
	for p := range f.parts {
		c := &f.parts[p]
		c.isKnown = true
		for i := range c.outstanding {
			c.answered[i] = 1
			if i < Buckets-1 {
				c.answered[i] = answeredBy(p, edges[i])
			}
			c.outstanding[i] = 1 - c.answered[i]
			c.scores[i] = normalScore(c.answered[i])
		}
	}
	return f
}
