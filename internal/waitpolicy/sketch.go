package waitpolicy

import (
	"math"
	"math/bits"
	"time"
)

// Delays fall into buckets of an eighth of a doubling, from 1 ms to a minute: 9 to 12% wide at the
// most. Bucket i holds those under Edge(i) and not under Edge(i-1), the last all that are longer.
const (
	Buckets   = 129
	perDouble = 8
	minDelay  = time.Millisecond
)

var edges = func() (all [Buckets]time.Duration) {
	for i := range all {
		all[i] = minDelay << (i / perDouble) * time.Duration(perDouble+i%perDouble) / perDouble
	}
	all[Buckets-1] = math.MaxInt64
	return all
}()

// Edge is the end of a bucket.
func Edge(i int) time.Duration { return edges[i] }

// Bucket is the one that a delay falls into.
func Bucket(d time.Duration) int {
	if d < minDelay {
		return 0
	}
	doublings := bits.Len64(uint64(d/minDelay)) - 1
	if doublings >= Buckets/perDouble {
		return Buckets - 1
	}
	part := int((d - minDelay<<doublings) * perDouble / (minDelay << doublings))
	return doublings*perDouble + part + 1
}

// abandonedBucket is the one before which a part that was cut counts as out of all risk: the nearer end, as
// the times at which queries are cut lie at the ends of buckets.
func abandonedBucket(d time.Duration) int {
	i := Bucket(d)
	if i > 0 && i < Buckets-1 && d-edges[i-1] > edges[i]-d {
		i++
	}
	return i
}

// Sketch counts, by delay, answers, failures, and parts that were cut while nothing had come. What is
// cut is no answer and no failure: it was at risk up to the bucket's begin, and no longer. Two sketches of the same
// thing are merged by adding them, and what was cut stays cut.
type Sketch struct {
	Answered, Failed, Abandoned [Buckets]float32
}

// Weight is how many it counts.
func (s *Sketch) Weight() float64 {
	var n float64
	for i := range s.Answered {
		n += float64(s.Answered[i]) + float64(s.Failed[i]) + float64(s.Abandoned[i])
	}
	return n
}

// Add counts another's as well, each so many times.
func (s *Sketch) Add(o *Sketch, times float64) {
	f := float32(times)
	for i := range s.Answered {
		s.Answered[i] += f * o.Answered[i]
		s.Failed[i] += f * o.Failed[i]
		s.Abandoned[i] += f * o.Abandoned[i]
	}
}

// Quantiles sets each delay within which a share p of the parts is expected to have come or failed, by
// the product of the chances to pass each bucket (Kaplan and Meier); Edge(Buckets-2) where it can't be
// told. The shares rise.
func (s *Sketch) Quantiles(shares []float64, to []time.Duration) {
	risk, stay, q := s.Weight(), 1.0, 0
	for i := 0; i < Buckets-1 && q < len(shares); i++ {
		if risk -= float64(s.Abandoned[i]); risk <= 0 {
			break
		}
		ends := float64(s.Answered[i]) + float64(s.Failed[i])
		if ends == 0 {
			continue
		}
		next := stay * (1 - min(1, ends/risk))
		for q < len(shares) && 1-next >= shares[q] {
			from := time.Duration(0)
			if i > 0 {
				from = edges[i-1]
			}
			to[q] = from + time.Duration((shares[q]-1+stay)/(stay-next)*float64(edges[i]-from))
			q++
		}
		stay = next
		risk -= ends
	}
	for ; q < len(shares); q++ {
		to[q] = edges[Buckets-2]
	}
}

// Quantile is one of Quantiles.
func (s *Sketch) Quantile(p float64) time.Duration {
	var to [1]time.Duration
	s.Quantiles([]float64{p}, to[:])
	return to[0]
}

// Outcome is what became of one part of a query.
type Outcome struct {
	At       time.Duration // when it is known, by the clock that queries are told; 0 is not told
	Duration time.Duration // until it came, failed or was cut
	Censored bool          // it was cut, and it is not known how long it would have taken
	Failed   bool          // it ended without an answer
}

// memory is a sketch that forgets: each new one weighs more than the last, so that none of the old
// need be touched, and all are scaled back now and then.
type memory struct {
	Sketch
	unit float64 // weight of one that is counted now; 0 where nothing is
	at   time.Duration
}

// add counts one, and forgets by 1/keep of all, and by half in each span of time.
func (m *memory) add(o Outcome, keep float64, half time.Duration) {
	m.unit = max(m.unit, 1) / (1 - 1/keep)
	if m.at > 0 && o.At > m.at && half > 0 {
		m.unit *= math.Exp2(min(30, float64(o.At-m.at)/float64(half)))
	}
	m.at = max(m.at, o.At)
	i, to := Bucket(o.Duration), &m.Answered
	switch {
	case o.Censored:
		i, to = abandonedBucket(o.Duration), &m.Abandoned
	case o.Failed:
		to = &m.Failed
	}
	to[i] += float32(m.unit)
	if m.unit > 1e6 {
		m.scale(1 / m.unit)
		m.unit = 1
	}
}

// countScale is what the counts are multiplied by, so that one which was counted just now is 1.
func (m *memory) countScale() float64 { return 1 / max(m.unit, 1) }

func (s *Sketch) scale(f float64) {
	by := float32(f)
	for i := range s.Answered {
		s.Answered[i] *= by
		s.Failed[i] *= by
		s.Abandoned[i] *= by
	}
}
