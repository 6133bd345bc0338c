// Package waitpolicysim simulates scatter-gather queries in virtual time and compares policies that decide when to end
// them: the learned policy of internal/waitpolicy, an oracle that knows the distributions of the parts' durations, fixed
// timeouts, a percentile of recent durations, and no timeout. Only the durations of the parts are modelled. The seed
// determines the whole run.
package waitpolicysim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lockflow/internal/waitpolicy"
)

// Parameters that all worlds share.
const (
	halfLife       = 800 * time.Millisecond // time in which the value of an answer halves
	minShare       = 0.6                    // minimum share of the parts' weight in an answer
	clientDeadline = 5 * time.Second
	load           = 0.5 // utilization of the parts
	partCount      = 5
	margin         = time.Millisecond // time by which an answer precedes the client's deadline
	// shareTolerance is the maximum rounding error of sums of shares.
	shareTolerance = 1e-9
	// maxMilliseconds limits simulated durations, which would overflow otherwise.
	maxMilliseconds = 1e9
)

// never is the duration of a part that does not answer.
const never = time.Duration(math.MaxInt64)

// world is a joint distribution of the parts' durations.
type world struct {
	name        string
	help        string
	weights     []float64 // by part; nil means equal weights
	correlation float64   // correlation of the scores of a query's parts
	isChanging  bool      // whether delay depends on progress
	// delay returns the duration of a part for a standard normal score. progress is the completed fraction of the run,
	// from 0 to 1. The duration increases with the score.
	delay func(part int, progress, score float64) time.Duration
}

func milliseconds(f float64) time.Duration {
	return time.Duration(min(f, maxMilliseconds) * float64(time.Millisecond))
}

// lognormal returns the duration for a standard normal score under a lognormal distribution. The median is in
// milliseconds.
func lognormal(median, sigma, score float64) time.Duration {
	return milliseconds(median * math.Exp(sigma*score))
}

// upperTail returns the probability that a standard normal variable exceeds score.
func upperTail(score float64) float64 { return math.Erfc(score/math.Sqrt2) / 2 }

// normalQuantile returns the standard normal quantile of a probability.
func normalQuantile(p float64) float64 { return math.Sqrt2 * math.Erfinv(2*p-1) }

// medians are the parts' median durations in milliseconds.
var medians = [partCount]float64{100, 130, 160, 200, 260}

var worlds = []world{
	{
		name: "lognormal", help: "medians 100 to 260 ms, sigma 0.7",
		delay: func(p int, _, s float64) time.Duration { return lognormal(medians[p], 0.7, s) },
	},
	{
		name: "pareto", help: "least 60 to 156 ms, tail index 1.1",
		delay: func(p int, _, s float64) time.Duration {
			return milliseconds(0.6 * medians[p] * math.Pow(max(1e-12, upperTail(s)), -1/1.1))
		},
	},
	{
		name: "humps", help: "one of seven takes 1.4 s instead of 0.1 to 0.26",
		delay: func(p int, _, s float64) time.Duration {
			u := upperTail(s)
			if u < 1.0/7 {
				return lognormal(1400, 0.15, normalQuantile(1-7*u))
			}
			return lognormal(medians[p], 0.2, normalQuantile(min(1-1e-12, (1-u)*7/6)))
		},
	},
	{
		name: "uneven", help: "one part weighs half of all and is slow: 500 ms, sigma 0.9; the others as in lognormal",
		weights: []float64{1, 1, 1, 1, 4},
		delay: func(p int, _, s float64) time.Duration {
			if p == partCount-1 {
				return lognormal(500, 0.9, s)
			}
			return lognormal(medians[p], 0.7, s)
		},
	},
	{
		name: "stalled", help: "as lognormal, one part in 20 calls never answers, another part never does",
		delay: func(p int, _, s float64) time.Duration {
			if u := upperTail(s); p == 4 || p == 0 && u < 0.05 {
				return never
			}
			return lognormal(medians[p], 0.7, s)
		},
	},
	{
		name: "correlated", help: "as lognormal with sigma 1.4, correlation 0.85: all are slow at once", correlation: 0.85,
		delay: func(p int, _, s float64) time.Duration { return lognormal(medians[p], 1.4, s) },
	},
	{
		name: "drift", help: "as lognormal, medians go by three times to and fro, two rounds", isChanging: true,
		delay: func(p int, at, s float64) time.Duration {
			return lognormal(medians[p]*math.Pow(3, 1-math.Cos(4*math.Pi*at)), 0.5, s)
		},
	},
	{
		name: "step", help: "two parts become eight times as slow a third on, one of them heals at two thirds", isChanging: true,
		delay: func(p int, at, s float64) time.Duration {
			m := medians[p]
			if p == 1 && at >= 1.0/3 || p == 3 && at >= 1.0/3 && at < 2.0/3 {
				m *= 8
			}
			return lognormal(m, 0.5, s)
		},
	},
	{
		name: "turns", help: "another part is six times as slow in each tenth of the time", isChanging: true,
		delay: func(p int, at, s float64) time.Duration {
			m := medians[p]
			if int(at*10)%partCount == p {
				m *= 6
			}
			return lognormal(m, 0.5, s)
		},
	},
}

// Worlds returns the names of the worlds and a description of each.
func Worlds() (names, help []string) {
	for _, w := range worlds {
		names = append(names, w.name)
		help = append(help, w.help)
	}
	return names, help
}

func findWorld(name string) (*world, error) {
	for i := range worlds {
		if worlds[i].name == name {
			return &worlds[i], nil
		}
	}
	return nil, fmt.Errorf("waitpolicysim: unknown world %q", name)
}

// settings returns the wait policy's settings.
func (w *world) settings(mode waitpolicy.Mode) *waitpolicy.Settings {
	s := &waitpolicy.Settings{MinShare: minShare, HalfLife: halfLife, Mode: mode, Margin: margin}
	for i := range partCount {
		part := waitpolicy.Part{Name: fmt.Sprintf("part-%d", i)}
		if w.weights != nil {
			part.Weight = w.weights[i]
		}
		s.Parts = append(s.Parts, part)
	}
	return s
}

// normalizedSettings returns the settings of a learned policy, with weights whose sum is 1.
func normalizedSettings(w *world) *waitpolicy.Settings {
	s := w.settings(waitpolicy.Learned)
	for i, share := range w.shares() {
		s.Parts[i].Weight = share
	}
	return s
}

// shares returns the parts' weights, normalized to a sum of 1.
func (w *world) shares() (shares [partCount]float64) {
	sum := 0.0
	for i := range shares {
		shares[i] = 1
		if w.weights != nil {
			shares[i] = w.weights[i]
		}
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// draw returns the durations of a query's parts, and the common factor of their scores.
func (w *world) draw(rng *rand.Rand, progress float64) (durations [partCount]time.Duration, factor float64) {
	factor = rng.NormFloat64()
	for i := range durations {
		score := math.Sqrt(w.correlation)*factor + math.Sqrt(1-w.correlation)*rng.NormFloat64()
		durations[i] = w.delay(i, progress, score)
	}
	return durations, factor
}

// Range of scores and number of bisections in answeredBy.
const (
	maxBisectedScore = 9.0
	bisections       = 50
)

// answeredBy returns the probability that a part has answered after a duration. It finds the score whose delay is that
// duration by bisection.
func (w *world) answeredBy(part int, progress float64, duration time.Duration) float64 {
	low, high := -maxBisectedScore, maxBisectedScore
	if w.delay(part, progress, high) <= duration {
		return 1
	}
	for range bisections {
		middle := (low + high) / 2
		if w.delay(part, progress, middle) <= duration {
			low = middle
		} else {
			high = middle
		}
	}
	return 1 - upperTail(low)
}
