package waitpolicy

import (
	"math"
	"math/bits"
	"time"
)

// Durations are counted in buckets of an eighth of a doubling, 9 to 12% wide, from 1 ms to a minute. Bucket i contains
// durations of at least Edge(i-1) and below Edge(i); the last bucket contains all longer ones.
const (
	Buckets            = 129
	bucketsPerDoubling = 8
	minDelay           = time.Millisecond
)

var edges = func() (ends [Buckets]time.Duration) {
	for i := range ends {
		ends[i] = minDelay << (i / bucketsPerDoubling) * time.Duration(bucketsPerDoubling+i%bucketsPerDoubling) / bucketsPerDoubling
	}
	ends[Buckets-1] = math.MaxInt64
	return ends
}()

// Edge returns the end of a bucket.
func Edge(bucket int) time.Duration { return edges[bucket] }

// Bucket returns the bucket of a duration.
func Bucket(duration time.Duration) int {
	if duration < minDelay {
		return 0
	}
	doublings := bits.Len64(uint64(duration/minDelay)) - 1
	if doublings >= Buckets/bucketsPerDoubling {
		return Buckets - 1
	}
	part := int((duration - minDelay<<doublings) * bucketsPerDoubling / (minDelay << doublings))
	return doublings*bucketsPerDoubling + part + 1
}

// abandonedBucket returns the bucket from whose start on a part that was abandoned after a duration is no longer at
// risk. It is the bucket whose start is nearest to the duration, as queries plan their answers at the ends of buckets.
func abandonedBucket(duration time.Duration) int {
	i := Bucket(duration)
	isInside := i > 0 && i < Buckets-1
	if isInside && duration-edges[i-1] > edges[i]-duration {
		i++
	}
	return i
}

// Sketch counts the outcomes of a part by duration. An abandoned part is neither an answer nor a failure: it was at
// risk up to the start of its bucket. Sketches of the same part are merged by addition.
type Sketch struct {
	Answered  [Buckets]float32
	Failed    [Buckets]float32
	Abandoned [Buckets]float32
}

// Weight returns the number of outcomes.
func (s *Sketch) Weight() float64 {
	var n float64
	for i := range s.Answered {
		n += float64(s.Answered[i]) + float64(s.Failed[i]) + float64(s.Abandoned[i])
	}
	return n
}

// Add adds the counts of another sketch, multiplied by a factor.
func (s *Sketch) Add(other *Sketch, factor float64) {
	f := float32(factor)
	for i := range s.Answered {
		s.Answered[i] += f * other.Answered[i]
		s.Failed[i] += f * other.Failed[i]
		s.Abandoned[i] += f * other.Abandoned[i]
	}
}

// scale multiplies all counts by a factor.
func (s *Sketch) scale(factor float64) {
	f := float32(factor)
	for i := range s.Answered {
		s.Answered[i] *= f
		s.Failed[i] *= f
		s.Abandoned[i] *= f
	}
}

// Quantiles sets quantiles to the durations within which the part ends with the given probabilities, which must be in
// increasing order. It uses the Kaplan-Meier estimator: the product of the probabilities of outlasting each bucket. An
// unknown quantile is Edge(Buckets-2).
func (s *Sketch) Quantiles(probabilities []float64, quantiles []time.Duration) {
	atRisk := s.Weight()
	outstanding := 1.0
	q := 0
	for i := 0; i < Buckets-1 && q < len(probabilities); i++ {
		atRisk -= float64(s.Abandoned[i])
		if atRisk <= 0 {
			break
		}
		ended := float64(s.Answered[i]) + float64(s.Failed[i])
		if ended == 0 {
			continue
		}
		next := outstanding * (1 - min(1, ended/atRisk))
		for q < len(probabilities) && 1-next >= probabilities[q] {
			from := time.Duration(0)
			if i > 0 {
				from = edges[i-1]
			}
			quantiles[q] = from + time.Duration((probabilities[q]-1+outstanding)/(outstanding-next)*float64(edges[i]-from))
			q++
		}
		outstanding = next
		atRisk -= ended
	}
	for ; q < len(probabilities); q++ {
		quantiles[q] = edges[Buckets-2]
	}
}

// Quantile returns the duration within which the part ends with probability p, as Quantiles does.
func (s *Sketch) Quantile(p float64) time.Duration {
	var quantile [1]time.Duration
	s.Quantiles([]float64{p}, quantile[:])
	return quantile[0]
}
