package waitpolicy

import (
	"math"
	"slices"
	"time"
)

const (
	// maxRemembered is the number of outcomes over which a part's history is averaged.
	maxRemembered = 512
	// memoryHalfLife is the time in which half of a history is forgotten.
	memoryHalfLife = 2 * time.Hour
	// evictionDivisor divides MaxSketches: so many sketches are evicted together, as finding them costs as much as
	// finding one.
	evictionDivisor = 8
)

// A change of a part is detected by two cumulative sums (CUSUM) of normal scores, for slower and for faster outcomes.
// False detections are rarer than one in 100,000 outcomes.
const (
	changeDrift     = 0.6 // subtracted from each score
	changeLimit     = 9.0 // sum that is a change
	changeMinWeight = 60  // outcomes that have to be known before
	maxChangeStep   = 3.0 // of one score
)

// partHistory is what is known of one part, for a class and a load.
type partHistory struct {
	lastUse      uint64
	longTerm     decayingSketch
	shortTerm    decayingSketch // since one of the sums was 0 last: what is true after a change
	slowerSum    float64        // CUSUM
	fasterSum    float64        // CUSUM
	distrustLeft int            // outcomes for which the fleet's sketches count little, after a change
}

// history returns a part's history, which it adds if it is not known.
func (m *Model) history(key Key) *partHistory {
	h := m.histories[key]
	if h == nil {
		if len(m.histories) >= MaxSketches {
			m.evictOldestHistories()
		}
		h = new(partHistory)
		m.histories[key] = h
	}
	h.lastUse = m.useCount
	return h
}

// evictOldestHistories removes the least recently used eighth of all histories.
func (m *Model) evictOldestHistories() {
	uses := make([]uint64, 0, len(m.histories))
	for _, h := range m.histories {
		uses = append(uses, h.lastUse)
	}
	slices.Sort(uses)
	lastEvicted := uses[len(uses)/evictionDivisor]
	const remaining = MaxSketches - MaxSketches/evictionDivisor
	for key, h := range m.histories {
		if h.lastUse <= lastEvicted && len(m.histories) > remaining {
			delete(m.histories, key)
			m.stats.EvictedSketches++
		}
	}
}

func (h *partHistory) add(outcome Outcome) {
	h.longTerm.add(outcome, maxRemembered, memoryHalfLife)
	h.distrustLeft = max(0, h.distrustLeft-1)
}

// hasChanged reports whether an outcome shows that the part has changed since the curve was learned. shortTerm has
// then the outcomes since the change. Failures say nothing of delays; they are frequent enough to be learned.
func (h *partHistory) hasChanged(learned *curve, outcome Outcome) bool {
	weight := h.longTerm.weight()
	if outcome.Failed || !learned.isKnown || weight < changeMinWeight {
		h.slowerSum = 0
		h.fasterSum = 0
		return false
	}
	score := max(-maxChangeStep, min(maxChangeStep, learned.scoreOf(outcome)))
	drift := changeDrift + 1/math.Sqrt(weight) // the curve's own error
	h.slowerSum = max(0, h.slowerSum+score-drift)
	h.fasterSum = max(0, h.fasterSum-score-drift)
	if h.slowerSum == 0 && h.fasterSum == 0 {
		if h.shortTerm.outcomeWeight > 0 {
			h.shortTerm = decayingSketch{}
		}
		return false
	}
	h.shortTerm.add(outcome, maxRemembered, memoryHalfLife)
	return max(h.slowerSum, h.fasterSum) >= changeLimit
}

// restart replaces the history, and that for all loads, by what was learned since a change.
func (h *partHistory) restart(atAllLoads *partHistory) {
	h.longTerm = h.shortTerm
	h.distrustLeft = maxRemembered
	atAllLoads.longTerm = h.shortTerm
	atAllLoads.distrustLeft = maxRemembered
	h.slowerSum = 0
	h.fasterSum = 0
	h.shortTerm = decayingSketch{}
}
