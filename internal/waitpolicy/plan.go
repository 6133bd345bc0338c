package waitpolicy

import (
	"math"
	"time"
)

// nodeCount is the number of nodes in the quadrature over the common factor.
const nodeCount = 5

// Nodes and weights of the Gauss-Hermite quadrature of a mean over a standard normal distribution, exact for
// polynomials up to the ninth degree.
var (
	quadratureNodes   = [nodeCount]float64{0, 1.355626179974266, -1.355626179974266, 2.856970013872806, -2.856970013872806}
	quadratureWeights = [nodeCount]float64{0.5333333333333333, 0.2220759220056126, 0.2220759220056126, 0.0112574113277207, 0.0112574113277207}
)

const (
	// minCorrelation is the correlation below which parts are treated as independent.
	minCorrelation = 0.04
	// independentProbability is the probability that a part does not follow the common factor in a query. Without
	// it, a part that is much later than the others would be expected to end at every next moment.
	independentProbability = 0.02
	// minProbability is the smallest probability that is used as a divisor.
	minProbability = 1e-12
	// partsPerStride is the number of outstanding parts for which a plan skips one more bucket in each step.
	partsPerStride = 32
)

// outstandingPart is the state of an outstanding part while a plan is computed.
type outstandingPart struct {
	curve              *curve
	weight             float64
	outstanding        float64            // probability, now
	answered           float64            // probability, now
	scoreNow           float64            // normal score of the current time
	inverseOutstanding float64            // 1/outstanding
	inverseSurvival    [nodeCount]float64 // 1/probability of being outstanding now, by node of the common factor

	// At the future time that evaluate was called for.
	endedProbability     float64 // given that the part is outstanding now
	answeredRatio        float64 // fraction of endedProbability that are answers
	evaluatedScore       float64
	evaluatedOutstanding float64
}

// commonFactor is the distribution of the factor that delays all parts of a query together, by quadrature node.
type commonFactor struct {
	count            int                // of nodes; 1 if the parts are independent
	means            [nodeCount]float64 // in units of the parts' scores
	probabilities    [nodeCount]float64
	inverseDeviation float64 // 1/standard deviation of a part's score around the mean
}

// prediction is the expected state of a query at a future time, given the common factor.
type prediction struct {
	mean            float64 // of the share that has arrived by then
	variance        float64 // of that share
	allEnded        float64 // probability that no part is outstanding
	meanOutstanding float64 // mean weight of outstanding parts
}

// plan returns the time at which an answer has the highest expected value, unless all parts end earlier; a time that is
// not after now means that the query should answer immediately. Long waits are planned again halfway, as parts that
// remain outstanding are evidence too. isKnown is false if there is no forecast for an outstanding part.
func (q *Query) plan(now time.Duration) (until time.Duration, isKnown bool) {
	elapsed := now - q.startedAt
	outstandingWeight, isKnown := q.findOutstanding(elapsed)
	if !isKnown {
		return 0, false
	}
	factor := q.commonFactor()
	valueOfAll := q.valueOfAll()
	abandonCost := q.settings.abandonCost() * q.forecast.load
	best := q.settings.decay(elapsed)*valueOfShare(q.arrivedShare) - abandonCost*outstandingWeight
	bestAt := elapsed
	var allEndedBefore, earlyValue [nodeCount]float64
	latest := q.latestAnswer - q.startedAt
	previousEnd := elapsed
	previousDecay := q.settings.decay(elapsed)
	stride := 1 + len(q.outstanding)/partsPerStride
	for i := Bucket(elapsed); i < Buckets-1 && previousEnd < latest; i += stride {
		end := min(edges[i], latest)
		if end <= elapsed {
			continue
		}
		decay := q.settings.decay(end)
		meanDecay := (decay + previousDecay) / 2
		if meanDecay < best {
			break // even a complete answer would have a lower value
		}
		for j := range q.outstanding {
			q.outstanding[j].evaluate(i, end, factor.count > 1)
		}
		expectedValue := 0.0
		for k := range factor.count {
			predicted := q.prediction(&factor, k)
			earlyValue[k] += (predicted.allEnded - allEndedBefore[k]) * meanDecay * valueOfAll
			allEndedBefore[k] = predicted.allEnded
			expectedValue += factor.probabilities[k] * (earlyValue[k] + decay*(meanValueOfShare(predicted.mean, predicted.variance)-predicted.allEnded*valueOfAll) - abandonCost*predicted.meanOutstanding)
		}
		if expectedValue > best+shareTolerance {
			best = expectedValue
			bestAt = end
		}
		previousEnd = end
		previousDecay = decay
	}
	until = q.startedAt + bestAt
	if replanInterval := q.settings.halfLife() / replanDivisor; until-now > 2*replanInterval {
		until = now + max(replanInterval, (until-now)/2)
	}
	return until, true
}

// prediction returns the expected state at the time for which the outstanding parts were evaluated, given the k-th node
// of the common factor.
func (q *Query) prediction(factor *commonFactor, k int) prediction {
	predicted := prediction{mean: q.arrivedShare, allEnded: 1}
	for j := range q.outstanding {
		o := &q.outstanding[j]
		ended := o.endedProbability
		if factor.count > 1 {
			ended = max(0, min(1, 1-((1-independentProbability)*(1-normalCDF((o.evaluatedScore-factor.means[k])*factor.inverseDeviation))+independentProbability*o.evaluatedOutstanding)*o.inverseSurvival[k]))
		}
		answers := ended * o.answeredRatio
		predicted.mean += o.weight * answers
		predicted.variance += o.weight * o.weight * answers * (1 - answers)
		predicted.allEnded *= ended
		predicted.meanOutstanding += o.weight * (1 - ended)
	}
	return predicted
}

// findOutstanding collects the outstanding parts and returns their total weight. isKnown is false if there is no
// forecast for one of them.
func (q *Query) findOutstanding(elapsed time.Duration) (weight float64, isKnown bool) {
	q.outstanding = q.outstanding[:0]
	if q.forecast == nil || len(q.forecast.parts) != len(q.parts) {
		return 0, false
	}
	for i := range q.parts {
		if q.parts[i].status != partOutstanding {
			continue
		}
		c := &q.forecast.parts[i]
		if !c.isKnown {
			return 0, false
		}
		weight += q.parts[i].weight
		o := outstandingPart{curve: c, weight: q.parts[i].weight}
		o.outstanding, o.answered = c.at(elapsed)
		o.scoreNow = c.scoreAt(elapsed)
		o.inverseOutstanding = 1 / max(o.outstanding, minProbability)
		q.outstanding = append(q.outstanding, o)
	}
	return weight, true
}

// valueOfAll returns the expected value, without decay, of an answer that waits for all outstanding parts.
func (q *Query) valueOfAll() float64 {
	mean, variance := q.arrivedShare, 0.0
	for i := range q.outstanding {
		o := &q.outstanding[i]
		p := 0.0
		if endProbability := o.outstanding - o.curve.outstanding[Buckets-2]; endProbability > minProbability {
			p = min(1, (o.curve.answered[Buckets-2]-o.answered)/endProbability)
		}
		mean += o.weight * p
		variance += o.weight * o.weight * p * (1 - p)
	}
	return meanValueOfShare(mean, variance)
}

// evaluate sets the probabilities of the part at a time within a bucket or at its end. evaluatedScore and
// evaluatedOutstanding are only set if needsScores is true.
func (o *outstandingPart) evaluate(bucket int, at time.Duration, needsScores bool) {
	outstanding, answered := o.curve.outstanding[bucket], o.curve.answered[bucket]
	if at < edges[bucket] {
		outstanding, answered = o.curve.at(at)
	}
	o.endedProbability = max(0, min(1, 1-outstanding*o.inverseOutstanding))
	o.answeredRatio = 0
	if endProbability := o.outstanding - outstanding; endProbability > minProbability {
		o.answeredRatio = min(1, (answered-o.answered)/endProbability)
	}
	if needsScores {
		o.evaluatedScore = o.curve.scoreAt(at)
		o.evaluatedOutstanding = outstanding
	}
}

// meanValueOfShare returns the mean of valueOfShare over a share of the given mean and variance.
func meanValueOfShare(mean, variance float64) float64 { return (3*mean - mean*mean - variance) / 2 }

// commonFactor returns the distribution of the common factor, given the scores of the parts that have ended and the
// fact that the other parts are still outstanding. It sets inverseSurvival of the outstanding parts.
func (q *Query) commonFactor() commonFactor {
	correlation := q.forecast.correlation
	factor := commonFactor{inverseDeviation: 1 / math.Sqrt(1-correlation)}
	if correlation < minCorrelation || len(q.parts) < 2 {
		factor.count = 1
		factor.probabilities[0] = 1
		return factor
	}
	factor.count = nodeCount
	residualVariance := 1 - correlation
	variance := 1 / (1 + float64(q.scoreCount)*correlation/residualVariance)
	mean := math.Sqrt(correlation) / residualVariance * q.scoreSum * variance
	deviation := math.Sqrt(variance)
	sum := 0.0
	for k := range quadratureNodes {
		factor.means[k] = math.Sqrt(correlation) * (mean + deviation*quadratureNodes[k])
		factor.probabilities[k] = quadratureWeights[k]
		for i := range q.outstanding {
			o := &q.outstanding[i]
			survival := (1-independentProbability)*(1-normalCDF((o.scoreNow-factor.means[k])*factor.inverseDeviation)) + independentProbability*o.outstanding + 1e-15
			o.inverseSurvival[k] = 1 / survival
			factor.probabilities[k] *= survival
		}
		sum += factor.probabilities[k]
	}
	for k := range factor.probabilities {
		factor.probabilities[k] /= max(sum, 1e-300)
	}
	return factor
}
