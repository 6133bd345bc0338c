package waitpolicy

import (
	"math"
	"slices"
	"time"
)

const (
	// maxRemembered is the number of outcomes over which a part's history is exponentially averaged.
	maxRemembered = 512
	// memoryHalfLife is the time in which the weight of a history halves.
	memoryHalfLife = 2 * time.Hour
	// evictionDivisor divides MaxSketches; the result is the number of sketches that are evicted together, as finding
	// them costs as much as finding one.
	evictionDivisor = 8
)

// A change of a part is detected by two cumulative sums (CUSUM) of normal scores, for slower and for faster outcomes.
// False detections are rarer than one in 100,000 outcomes.
const (
	changeDrift     = 0.6 // subtracted from each score
	changeLimit     = 9.0 // sum at which a change is detected
	changeMinWeight = 60  // minimum weight of the history for the detection
	maxChangeStep   = 3.0 // maximum absolute value of one score
)

// partHistory contains the outcomes of one part for a class and a load.
type partHistory struct {
	lastUse      uint64
	longTerm     decayingSketch
	shortTerm    decayingSketch // outcomes since both sums were last 0; it replaces longTerm after a change
	slowerSum    float64        // CUSUM
	fasterSum    float64        // CUSUM
	distrustLeft int            // after a change: outcomes for which the other instances' sketches have a reduced weight
}

// history returns a part's history, and adds it if it does not exist.
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

// hasChanged reports whether an outcome shows that the part has changed since the curve was learned. If so, shortTerm
// contains the outcomes since the change. Failures are not scored: they do not indicate the delay of answers, and they
// are frequent enough to be learned.
func (h *partHistory) hasChanged(learned *curve, outcome Outcome) bool {
	weight := h.longTerm.weight()
	if outcome.Failed || !learned.isKnown || weight < changeMinWeight {
		h.slowerSum = 0
		h.fasterSum = 0
		return false
	}
	score := max(-maxChangeStep, min(maxChangeStep, learned.scoreOf(outcome)))
	drift := changeDrift + 1/math.Sqrt(weight) // allows for the estimation error of the curve
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

// restart replaces the history, and the history over all loads, by the outcomes since a change.
func (h *partHistory) restart(atAllLoads *partHistory) {
	h.longTerm = h.shortTerm
	h.distrustLeft = maxRemembered
	atAllLoads.longTerm = h.shortTerm
	atAllLoads.distrustLeft = maxRemembered
	h.slowerSum = 0
	h.fasterSum = 0
	h.shortTerm = decayingSketch{}
}
