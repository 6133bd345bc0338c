package waitpolicy

import (
	"cmp"
	"slices"
	"time"
)

const millisecondsPerSecond = 1e3

// Key identifies a sketch.
type Key struct {
	Class string
	Part  string
	Load  int // bucket, or AllLoads
}

// Compare orders keys by class, part and load.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Class, other.Class), cmp.Compare(k.Part, other.Part), cmp.Compare(k.Load, other.Load))
}

// Sketches returns copies of the sketches that this instance has learned, sorted by key.
func (m *Model) Sketches() (keys []Key, sketches []Sketch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.histories {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, Key.Compare)
	sketches = make([]Sketch, len(keys))
	for i, key := range keys {
		h := m.histories[key]
		sketches[i].Add(&h.longTerm.Sketch, h.longTerm.countScale())
	}
	return keys, sketches
}

// PartReport summarizes for operators the observations of a part of a class over all loads.
type PartReport struct {
	Class     string  `json:"class"`
	Part      string  `json:"part"`
	Weight    float64 `json:"weight"` // number of outcomes after decay
	Median    float64 `json:"p50_ms"`
	P95       float64 `json:"p95_ms"`
	Failed    float64 `json:"failed"` // fraction of the outcomes
	Abandoned float64 `json:"cut"`    // fraction of the outcomes
}

// Report returns what this instance has learned, sorted by class and part.
func (m *Model) Report() (reports []PartReport) {
	keys, sketches := m.Sketches()
	for i, key := range keys {
		s := &sketches[i]
		weight := s.Weight()
		if key.Load != AllLoads || weight == 0 {
			continue
		}
		report := PartReport{Class: key.Class, Part: key.Part, Weight: weight}
		var quantiles [2]time.Duration
		s.Quantiles([]float64{0.5, 0.95}, quantiles[:])
		report.Median = quantiles[0].Seconds() * millisecondsPerSecond
		report.P95 = quantiles[1].Seconds() * millisecondsPerSecond
		for b := range s.Answered {
			report.Failed += float64(s.Failed[b]) / weight
			report.Abandoned += float64(s.Abandoned[b]) / weight
		}
		reports = append(reports, report)
	}
	return reports
}
