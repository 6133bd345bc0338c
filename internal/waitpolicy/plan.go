package waitpolicy

import (
	"math"
	"time"
)

// outstandingPart is a part that is out, while a plan is made.
type outstandingPart struct {
	curve                 *curve
	weight                float64
	outstanding, answered float64                       // now
	scoreNow              float64                       // normal score now
	inverseOutstanding    float64                       // 1/out
	inverseStay           [len(quadratureNodes)]float64 // one over the chance to be still out now, by the common factor
	// At the time that is looked at: the chance to have ended, the part of that which has come, the score.
	endedProbability, answeredRatio, scoreThen, outstandingThen float64
}

// Nodes and weights of the mean over a normal distribution, exact to the ninth power (Gauss, Hermite).
var (
	quadratureNodes   = [...]float64{0, 1.355626179974266, -1.355626179974266, 2.856970013872806, -2.856970013872806}
	quadratureWeights = [...]float64{0.5333333333333333, 0.2220759220056126, 0.2220759220056126, 0.0112574113277207, 0.0112574113277207}
)

const (
	minCorrelation = 0.04 // correlation below which parts count as independent
	// independentProbability is the chance that a part goes its own way in a query, whatever the others do: without it
	// one that is far later than fits the others would be expected at each next moment.
	independentProbability = 0.02
)

// plan gives the time at which it is best to answer as far as is known now, if not all has ended
// before; now is at once. It is looked at again on the way, as what does not come tells something too.
func (q *Query) plan(now time.Duration) (until time.Duration, known bool) {
	t := now - q.startedAt
	cutNow, known := q.findOutstanding(t)
	if !known {
		return 0, false
	}
	var means [len(quadratureNodes)]float64 // of the common factor
	var chances [len(quadratureNodes)]float64
	n := q.commonFactor(&means, &chances)
	narrow := 1 / math.Sqrt(1-q.forecast.correlation)

	valueOfAll := q.valueOfAll()
	cut := q.settings.abandonCost() * q.forecast.load
	best, at := q.settings.decay(t)*valueOfShare(q.arrivedShare)-cut*cutNow, t
	var allBefore, early [len(quadratureNodes)]float64
	latest, before, fallBefore := q.latestAnswer-q.startedAt, t, q.settings.decay(t)
	stride := 1 + len(q.outstanding)/32
	for i := Bucket(t); i < Buckets-1 && before < latest; i += stride {
		end := min(edges[i], latest)
		if end <= t {
			continue
		}
		fall := q.settings.decay(end)
		between := (fall + fallBefore) / 2
		if between < best {
			break // even the whole would be worth less
		}
		for j := range q.outstanding {
			q.outstanding[j].evaluate(i, end, n > 1)
		}
		expectedValue := 0.0
		for k := range n {
			mean, variance, all, still := q.arrivedShare, 0.0, 1.0, 0.0
			for j := range q.outstanding {
				o := &q.outstanding[j]
				ended := o.endedProbability
				if n > 1 {
					ended = max(0, min(1, 1-((1-independentProbability)*(1-normalCDF((o.scoreThen-means[k])*narrow))+independentProbability*o.outstandingThen)*o.inverseStay[k]))
				}
				comes := ended * o.answeredRatio
				mean += o.weight * comes
				variance += o.weight * o.weight * comes * (1 - comes)
				all *= ended
				still += o.weight * (1 - ended)
			}
			early[k] += (all - allBefore[k]) * between * valueOfAll
			allBefore[k] = all
			expectedValue += chances[k] * (early[k] + fall*(squareMean(mean, variance)-all*valueOfAll) - cut*still)
		}
		if expectedValue > best+shareTolerance {
			best, at = expectedValue, end
		}
		before, fallBefore = end, fall
	}
	until = q.startedAt + at
	if far := q.settings.halfLife() / 64; until-now > 2*far {
		until = now + max(far, (until-now)/2)
	}
	return until, true
}

// findOutstanding lists the parts that are out, with what is known of them at a time of the query, and gives their
// weight; known is false where there is no forecast for one of them.
func (q *Query) findOutstanding(t time.Duration) (weight float64, known bool) {
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
		o.outstanding, o.answered = c.at(t)
		o.scoreNow = c.scoreAt(t)
		o.inverseOutstanding = 1 / max(o.outstanding, 1e-12)
		q.outstanding = append(q.outstanding, o)
	}
	return weight, true
}

// valueOfAll is what all that is out would bring if waited for to its end.
func (q *Query) valueOfAll() float64 {
	mean, variance := q.arrivedShare, 0.0
	for i := range q.outstanding {
		o := &q.outstanding[i]
		p := 0.0
		if ends := o.outstanding - o.curve.outstanding[Buckets-2]; ends > 1e-12 {
			p = min(1, (o.curve.answered[Buckets-2]-o.answered)/ends)
		}
		mean += o.weight * p
		variance += o.weight * o.weight * p * (1 - p)
	}
	return squareMean(mean, variance)
}

// evaluate is what there is to know of the part at a time in or at the end of a bucket.
func (o *outstandingPart) evaluate(i int, at time.Duration, scored bool) {
	out, came := o.curve.outstanding[i], o.curve.answered[i]
	if at < edges[i] {
		out, came = o.curve.at(at)
	}
	o.endedProbability, o.answeredRatio = max(0, min(1, 1-out*o.inverseOutstanding)), 0
	if ends := o.outstanding - out; ends > 1e-12 {
		o.answeredRatio = min(1, (came-o.answered)/ends)
	}
	if scored {
		o.scoreThen, o.outstandingThen = o.curve.scoreAt(at), out
	}
}

// squareMean is the mean of value over a share of which mean and variance are known.
func squareMean(mean, variance float64) float64 { return (3*mean - mean*mean - variance) / 2 }

// commonFactor gives what the common factor may be, in the unit of the scores, and with what chance: after
// the scores of what has come, and after what is still out.
func (q *Query) commonFactor(means, chances *[len(quadratureNodes)]float64) int {
	rho := q.forecast.correlation
	if rho < minCorrelation || len(q.parts) < 2 {
		chances[0] = 1
		return 1
	}
	own := 1 - rho
	variance := 1 / (1 + float64(q.scoreCount)*rho/own)
	mean := math.Sqrt(rho) / own * q.scoreSum * variance
	spread, narrow, sum := math.Sqrt(variance), 1/math.Sqrt(own), 0.0
	for k := range quadratureNodes {
		means[k] = math.Sqrt(rho) * (mean + spread*quadratureNodes[k])
		chances[k] = quadratureWeights[k]
		for i := range q.outstanding {
			stays := (1-independentProbability)*(1-normalCDF((q.outstanding[i].scoreNow-means[k])*narrow)) + independentProbability*q.outstanding[i].outstanding + 1e-15
			q.outstanding[i].inverseStay[k] = 1 / stays
			chances[k] *= stays
		}
		sum += chances[k]
	}
	for k := range chances {
		chances[k] /= max(sum, 1e-300)
	}
	return len(quadratureNodes)
}
