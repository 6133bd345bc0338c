package waitpolicysim

import (
	"math"
	"time"

	"lockflow/internal/waitpolicy"
)

const (
	// An optimal policy decides at the times of a grid that is geometric from 1 ms up to the client's deadline.
	gridStepsPerDoubling = 24
	gridSteps            = 13 * gridStepsPerDoubling
	// rebuildsPerRun is the number of times in a run that policies that know the distributions are rebuilt if the
	// world changes.
	rebuildsPerRun = 100
	// setCount is the number of sets of parts.
	setCount = 1 << partCount
	// minProbability is the smallest probability that is used as a divisor.
	minProbability = 1e-12
	// factorSteps is the number of quantization steps of the common factor per standard deviation.
	factorSteps = 5
	// maxFactor is the maximum magnitude of the common factor, in standard deviations.
	maxFactor = 4
)

var grid = func() (times [gridSteps + 1]time.Duration) {
	for i := range times {
		times[i] = min(clientDeadline, milliseconds(math.Exp2(float64(i)/gridStepsPerDoubling)))
	}
	return times
}()

// newOracle returns the best policy that knows the distributions of a world. It is optimal for independent parts; for
// correlated parts it is the planner of internal/waitpolicy.
func newOracle(w *world) policy {
	if w.correlation == 0 {
		return &optimalPolicy{
			world:           w,
			settings:        w.settings(waitpolicy.Learned),
			weights:         w.shares(),
			rebuildInterval: 1.0 / rebuildsPerRun,
			answeredBy:      w.answeredBy,
		}
	}
	return newPlanner(w)
}

// optimalPolicy is the optimal policy for independent parts of known distributions. It is computed by dynamic
// programming over states, which consist of a time and the set of outstanding parts. The value of a state is the larger
// one of answering now and of waiting.
type optimalPolicy struct {
	world           *world
	settings        *waitpolicy.Settings
	weights         [partCount]float64
	rebuildInterval float64 // fraction of the run after which the policy for a changing world is rebuilt
	builtAt         float64 // progress of the run at the last build, 0 to 1
	isBuilt         bool
	stops           [][setCount]bool // whether to answer, by grid time and set of outstanding parts
	// answeredBy returns the probability that a part has answered after a duration.
	answeredBy func(part int, progress float64, duration time.Duration) float64
}

// build computes the decisions from the last grid time to the first.
func (p *optimalPolicy) build(progress float64) {
	p.isBuilt = true
	p.builtAt = progress
	p.stops = make([][setCount]bool, gridSteps+1)
	answered := p.answeredProbabilities(progress)
	shares := p.sharesOfSets()
	valueNow := func(set, step int) float64 {
		if 1-shares[set] < minShare-shareTolerance {
			return math.Inf(-1)
		}
		return p.settings.Value(1-shares[set], shares[set], load, grid[step])
	}
	var next, current [setCount]float64
	for set := range next {
		next[set] = max(0, valueNow(set, gridSteps))
		p.stops[gridSteps][set] = true
	}
	for step := gridSteps - 1; step >= 0; step-- {
		var answers [partCount]float64 // probability that a part which is outstanding answers in this step
		for part := range answers {
			if outstanding := 1 - answered[part][step]; outstanding > minProbability {
				answers[part] = (answered[part][step+1] - answered[part][step]) / outstanding
			}
		}
		advanceValues(&next, &answers)
		for set := range current {
			current[set] = next[set]
			if value := valueNow(set, step); value >= current[set] {
				current[set] = value
				p.stops[step][set] = true
			}
		}
		next = current
	}
}

// answeredProbabilities returns, by part and grid time, the probability that the part has answered by then.
func (p *optimalPolicy) answeredProbabilities(progress float64) (answered [partCount][gridSteps + 1]float64) {
	for part := range answered {
		for step, duration := range grid {
			answered[part][step] = p.answeredBy(part, progress, duration)
		}
	}
	return answered
}

// sharesOfSets returns the share of each set of parts.
func (p *optimalPolicy) sharesOfSets() (shares [setCount]float64) {
	for set := range shares {
		for part := range partCount {
			if set>>part&1 == 1 {
				shares[set] += p.weights[part]
			}
		}
	}
	return shares
}

// advanceValues replaces the value of each set of outstanding parts, one step later, by its expectation before that
// step. answers are the probabilities that each outstanding part answers during the step.
func advanceValues(values *[setCount]float64, answers *[partCount]float64) {
	for part := range partCount {
		for set := len(values) - 1; set >= 0; set-- {
			if set>>part&1 == 1 {
				values[set] = (1-answers[part])*values[set] + answers[part]*values[set&^(1<<part)]
			}
		}
	}
}

func (p *optimalPolicy) end(progress float64, durations *[partCount]time.Duration, _ float64) queryEnd {
	isOutdated := p.world.isChanging && math.Floor(progress/p.rebuildInterval) != math.Floor(p.builtAt/p.rebuildInterval)
	if !p.isBuilt || isOutdated {
		p.build(progress)
	}
	end := queryEnd{}
	for step, now := range grid {
		outstanding := 0
		end.arrivedShare = 0
		end.abandonedShare = 0
		last := time.Duration(0)
		for part := range partCount {
			if durations[part] > now {
				outstanding |= 1 << part
				end.abandonedShare += p.weights[part]
			} else {
				end.arrivedShare += p.weights[part]
				last = max(last, durations[part])
			}
		}
		if outstanding == 0 {
			end.at = last
			return end
		}
		isStop := p.stops[step][outstanding] && end.arrivedShare >= minShare-shareTolerance
		if isStop || step == gridSteps {
			end.at = now
			if step > 0 && last > grid[step-1] { // the last part came between two grid times and ended the query
				end.at = last
			}
			return end
		}
	}
	return end
}

// commonFactorOracle also knows the common factor of each query. Its value is an upper bound for all policies.
type commonFactorOracle struct {
	world    *world
	byFactor map[int]*optimalPolicy // by quantized factor
}

func (o *commonFactorOracle) end(progress float64, durations *[partCount]time.Duration, factor float64) queryEnd {
	step := int(math.Round(factorSteps * max(-maxFactor, min(maxFactor, factor))))
	p := o.byFactor[step]
	if p == nil {
		p = o.newPolicy(float64(step) / factorSteps)
		o.byFactor[step] = p
	}
	return p.end(progress, durations, factor)
}

// newPolicy returns the optimal policy for a value of the common factor. Given that value the parts are independent.
func (o *commonFactorOracle) newPolicy(factor float64) *optimalPolicy {
	w := o.world
	return &optimalPolicy{
		world:    w,
		settings: normalizedSettings(w),
		weights:  w.shares(),
		answeredBy: func(part int, progress float64, duration time.Duration) float64 {
			score := normalQuantile(w.answeredBy(part, progress, duration))
			return 1 - upperTail((score-math.Sqrt(w.correlation)*factor)/math.Sqrt(1-w.correlation))
		},
	}
}
