package waitpolicy

import (
	"math"
	"time"
)

const (
	// maxDecayHalfLives limits the decay by a single outcome, in half-lives.
	maxDecayHalfLives = 30
	// maxOutcomeWeight is the weight of an outcome above which all counts are rescaled.
	maxOutcomeWeight = 1e6
)

// Outcome is the end of one part of a query.
type Outcome struct {
	At       time.Duration // when the outcome became known, by a clock that all queries share; 0 if unknown
	Duration time.Duration // until the part answered, failed or was abandoned
	Censored bool          // abandoned: the part would have taken longer than Duration
	Failed   bool          // ended without an answer
}

// decayingSketch is a sketch whose counts decay exponentially. Instead of reducing all counts for each outcome, it
// gives each new outcome a larger weight; all counts are rescaled when that weight becomes large.
type decayingSketch struct {
	Sketch
	outcomeWeight float64       // weight of the latest outcome; 0 if there is none
	updatedAt     time.Duration // Outcome.At of the latest outcome
}

// add adds an outcome after all counts have decayed by the fraction 1/windowLength, and by half for each half-life
// since the last outcome.
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

// countScale returns the factor that scales counts so that the latest outcome counts 1.
func (m *decayingSketch) countScale() float64 { return 1 / max(m.outcomeWeight, 1) }

// weight returns the number of outcomes after decay.
func (m *decayingSketch) weight() float64 { return m.Weight() * m.countScale() }
