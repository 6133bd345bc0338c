package waitpolicy

import (
	"math"
	"time"
)

// open is a part that is out, while a plan is made.
type open struct {
	c         *curve
	weight    float64
	out, came float64             // now
	low       float64             // normal score now
	each      float64             // 1/out
	stays     [len(nodes)]float64 // one over the chance to be still out now, by the common factor
	// At the time that is looked at: the chance to have ended, the part of that which has come, the score.
	ended, ratio, score, outThen float64
}

// Nodes and weights of the mean over a normal distribution, exact to the ninth power (Gauss, Hermite).
var (
	nodes   = [...]float64{0, 1.355626179974266, -1.355626179974266, 2.856970013872806, -2.856970013872806}
	weights = [...]float64{0.5333333333333333, 0.2220759220056126, 0.2220759220056126, 0.0112574113277207, 0.0112574113277207}
)

const (
	minCorrelation = 0.04 // correlation below which parts count as independent
	// alone is the chance that a part goes its own way in a query, whatever the others do: without it
	// one that is far later than fits the others would be expected at each next moment.
	alone = 0.02
)

// plan gives the time at which it is best to answer as far as is known now, if not all has ended
// before; now is at once. It is looked at again on the way, as what does not come tells something too.
func (q *Query) plan(now time.Duration) (until time.Duration, known bool) {
	t := now - q.begin
	cutNow, known := q.findMissing(t)
	if !known {
		return 0, false
	}
	var means [len(nodes)]float64 // of the common factor
	var chances [len(nodes)]float64
	n := q.common(&means, &chances)
	narrow := 1 / math.Sqrt(1-q.f.common)

	valueOfAll := q.valueOfAll()
	cut := q.s.left() * q.f.load
	best, at := q.s.fall(t)*value(q.arrivedShare)-cut*cutNow, t
	var allBefore, early [len(nodes)]float64
	latest, before, fallBefore := q.last-q.begin, t, q.s.fall(t)
	stride := 1 + len(q.missing)/32
	for i := Bucket(t); i < Buckets-1 && before < latest; i += stride {
		end := min(edges[i], latest)
		if end <= t {
			continue
		}
		fall := q.s.fall(end)
		between := (fall + fallBefore) / 2
		if between < best {
			break // even the whole would be worth less
		}
		for j := range q.missing {
			q.missing[j].look(i, end, n > 1)
		}
		expectedValue := 0.0
		for k := range n {
			mean, variance, all, still := q.arrivedShare, 0.0, 1.0, 0.0
			for j := range q.missing {
				o := &q.missing[j]
				ended := o.ended
				if n > 1 {
					ended = max(0, min(1, 1-((1-alone)*(1-phi((o.score-means[k])*narrow))+alone*o.outThen)*o.stays[k]))
				}
				comes := ended * o.ratio
				mean += o.weight * comes
				variance += o.weight * o.weight * comes * (1 - comes)
				all *= ended
				still += o.weight * (1 - ended)
			}
			early[k] += (all - allBefore[k]) * between * valueOfAll
			allBefore[k] = all
			expectedValue += chances[k] * (early[k] + fall*(squareMean(mean, variance)-all*valueOfAll) - cut*still)
		}
		if expectedValue > best+hair {
			best, at = expectedValue, end
		}
		before, fallBefore = end, fall
	}
	until = q.begin + at
	if far := q.s.halfLife() / 64; until-now > 2*far {
		until = now + max(far, (until-now)/2)
	}
	return until, true
}

// findMissing lists the parts that are out, with what is known of them at a time of the query, and gives their
// weight; known is false where there is no forecast for one of them.
func (q *Query) findMissing(t time.Duration) (weight float64, known bool) {
	q.missing = q.missing[:0]
	if q.f == nil || len(q.f.parts) != len(q.parts) {
		return 0, false
	}
	for i := range q.parts {
		if q.parts[i].is != isOut {
			continue
		}
		c := &q.f.parts[i]
		if !c.known {
			return 0, false
		}
		weight += q.parts[i].weight
		o := open{c: c, weight: q.parts[i].weight}
		o.out, o.came = c.at(t)
		o.low = c.scoreAt(t)
		o.each = 1 / max(o.out, 1e-12)
		q.missing = append(q.missing, o)
	}
	return weight, true
}

// valueOfAll is what all that is out would bring if waited for to its end.
func (q *Query) valueOfAll() float64 {
	mean, variance := q.arrivedShare, 0.0
	for i := range q.missing {
		o := &q.missing[i]
		p := 0.0
		if ends := o.out - o.c.out[Buckets-2]; ends > 1e-12 {
			p = min(1, (o.c.came[Buckets-2]-o.came)/ends)
		}
		mean += o.weight * p
		variance += o.weight * o.weight * p * (1 - p)
	}
	return squareMean(mean, variance)
}

// look is what there is to know of the part at a time in or at the end of a bucket.
func (o *open) look(i int, at time.Duration, scored bool) {
	out, came := o.c.out[i], o.c.came[i]
	if at < edges[i] {
		out, came = o.c.at(at)
	}
	o.ended, o.ratio = max(0, min(1, 1-out*o.each)), 0
	if ends := o.out - out; ends > 1e-12 {
		o.ratio = min(1, (came-o.came)/ends)
	}
	if scored {
		o.score, o.outThen = o.c.scoreAt(at), out
	}
}

// squareMean is the mean of value over a share of which mean and variance are known.
func squareMean(mean, variance float64) float64 { return (3*mean - mean*mean - variance) / 2 }

// common gives what the common factor may be, in the unit of the scores, and with what chance: after
// the scores of what has come, and after what is still out.
func (q *Query) common(means, chances *[len(nodes)]float64) int {
	rho := q.f.common
	if rho < minCorrelation || len(q.parts) < 2 {
		chances[0] = 1
		return 1
	}
	own := 1 - rho
	variance := 1 / (1 + float64(q.scored)*rho/own)
	mean := math.Sqrt(rho) / own * q.scores * variance
	spread, narrow, sum := math.Sqrt(variance), 1/math.Sqrt(own), 0.0
	for k := range nodes {
		means[k] = math.Sqrt(rho) * (mean + spread*nodes[k])
		chances[k] = weights[k]
		for i := range q.missing {
			stays := (1-alone)*(1-phi((q.missing[i].low-means[k])*narrow)) + alone*q.missing[i].out + 1e-15
			q.missing[i].stays[k] = 1 / stays
			chances[k] *= stays
		}
		sum += chances[k]
	}
	for k := range chances {
		chances[k] /= max(sum, 1e-300)
	}
	return len(nodes)
}
