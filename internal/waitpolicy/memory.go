package waitpolicy

import (
	"math"
	"time"
)

const (
	// maxDecayHalfLives limits the decay by one step of the clock.
	maxDecayHalfLives = 30
	// maxUnit is the unit from which on all counts are scaled back.
	maxOutcomeWeight = 1e6
)

// Outcome is the end of one part of a query.
type Outcome struct {
	At       time.Duration // when it is known, by a clock that all queries share; 0 is not known
	Duration time.Duration // until the part answered, failed or was abandoned
	Censored bool          // abandoned: it would have taken longer than Duration
	Failed   bool          // ended without an answer
}

// memory is a sketch that forgets. A new outcome weighs more than those before instead of reducing their counts;
// all counts are scaled back when the unit becomes large.
type decayingSketch struct {
	Sketch
	outcomeWeight float64       // weight of an outcome that is added now; 0 if there is none
	updatedAt     time.Duration // Outcome.At of the latest outcome
}

// add adds an outcome, after forgetting 1/length of all, and half of all for each half-life since the last.
func (m *decayingSketch) add(o Outcome, windowLength float64, halfLife time.Duration) {
	m.outcomeWeight = max(m.outcomeWeight, 1) / (1 - 1/windowLength)
	if m.updatedAt > 0 && o.At > m.updatedAt && halfLife > 0 {
		m.outcomeWeight *= math.Exp2(min(maxDecayHalfLives, float64(o.At-m.updatedAt)/float64(halfLife)))
	}
	m.updatedAt = max(m.updatedAt, o.At)
	switch {
	case o.Censored:
		m.Abandoned[abandonedBucket(o.Duration)] += float32(m.outcomeWeight)
	case o.Failed:
		m.Failed[Bucket(o.Duration)] += float32(m.outcomeWeight)
	default:
		m.Answered[Bucket(o.Duration)] += float32(m.outcomeWeight)
	}
	if m.outcomeWeight > maxOutcomeWeight {
		m.scale(1 / m.outcomeWeight)
		m.outcomeWeight = 1
	}
}

// countScale returns the factor by which the count of an outcome that was added last becomes 1.
func (m *decayingSketch) countScale() float64 { return 1 / max(m.outcomeWeight, 1) }

// weight returns the number of outcomes that are remembered.
func (m *decayingSketch) weight() float64 { return m.Weight() * m.countScale() }
