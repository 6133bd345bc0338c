// Package waitpolicysim plays scattered queries in virtual time and compares ways to end them: what was
// learned by internal/waitpolicy, an oracle that knows how long the parts take, fixed times, a percentile,
// and none. Only the parts are a model; everything follows from the seed.
package waitpolicysim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lockflow/internal/waitpolicy"
)

// What every world has, where it says nothing else.
const (
	halfLife       = 800 * time.Millisecond
	minShare       = 0.6
	clientDeadline = 5 * time.Second // that a query has
	load           = 0.5
	partCount      = 5
)

// never is of a part that doesn't answer.
const never = time.Duration(math.MaxInt64)

// world is how long parts take. delay is the quantile of part p at query i of n: of what a standard
// normal score stands for. Scores of one query's parts are correlated by common.
type world struct {
	name, help  string
	weights     []float64
	correlation float64
	isChanging  bool // the distributions change: with each query, or now and then
	delay       func(p int, at, score float64) time.Duration
}

func milliseconds(f float64) time.Duration {
	return time.Duration(min(f, 1e9) * float64(time.Millisecond))
}

func lognormal(median, sigma, score float64) time.Duration {
	return milliseconds(median * math.Exp(sigma*score))
}

func upperTail(score float64) float64 { return math.Erfc(score/math.Sqrt2) / 2 }

func normalQuantile(p float64) float64 { return math.Sqrt2 * math.Erfinv(2*p-1) }

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

// Worlds are the names and what they stand for.
func Worlds() (names, help []string) {
	for _, w := range worlds {
		names, help = append(names, w.name), append(help, w.help)
	}
	return names, help
}

func findWorld(name string) (*world, error) {
	for i := range worlds {
		if worlds[i].name == name {
			return &worlds[i], nil
		}
	}
	return nil, fmt.Errorf("gathersim: there is no world %q", name)
}

func (w *world) settings(mode waitpolicy.Mode) *waitpolicy.Settings {
	s := &waitpolicy.Settings{MinShare: minShare, HalfLife: halfLife, Mode: mode, Margin: time.Millisecond}
	for p := range partCount {
		part := waitpolicy.Part{Name: fmt.Sprintf("part-%d", p)}
		if w.weights != nil {
			part.Weight = w.weights[p]
		}
		s.Parts = append(s.Parts, part)
	}
	return s
}

func (w *world) shares() (all [partCount]float64) {
	sum := 0.0
	for p := range all {
		all[p] = 1
		if w.weights != nil {
			all[p] = w.weights[p]
		}
		sum += all[p]
	}
	for p := range all {
		all[p] /= sum
	}
	return all
}

// draw gives what the parts take in a query, and the common factor that they share.
func (w *world) draw(rng *rand.Rand, at float64) (took [partCount]time.Duration, common float64) {
	common = rng.NormFloat64()
	for p := range took {
		score := math.Sqrt(w.correlation)*common + math.Sqrt(1-w.correlation)*rng.NormFloat64()
		took[p] = w.delay(p, at, score)
	}
	return took, common
}

// answeredBy is that a part has answered after a time: its delay's quantile turned round.
func (w *world) answeredBy(p int, at float64, d time.Duration) float64 {
	low, high := -9.0, 9.0
	if w.delay(p, at, high) <= d {
		return 1
	}
	for range 50 {
		if mid := (low + high) / 2; w.delay(p, at, mid) <= d {
			low = mid
		} else {
			high = mid
		}
	}
	return 1 - upperTail(low)
}
