// Package pool merges what many instances have learned of the parts that they all ask. It does no
// I/O; it is told the time and what came. What one of them tells wrongly, or sees because it is itself
// overloaded, counts no more than any other's, and not at all where it stands out.
package pool

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lockflow/internal/waitpolicy"
)

// Bounds.
const (
	MaxMembers       = 64
	MaxIDBytes       = 64 // bytes of a member's name
	maxMemberWeight  = 16 // most that one counts for in the whole
	maxSparseWeight  = 4  // and one that saw too little to be held against the others
	comparableWeight = 8  // weight from which a member's quantiles are held against the others'
	outlierDivisor   = 3  // no more than one of so many is left out
	maxTrustStep     = 0.25
)

// quantiles by which members are held against each other.
var quantiles = [...]float64{0.25, 0.5, 0.9}

// Options are of one pool.
type Options struct {
	OwnID    string        // this instance's name: what is told under it is not counted
	Lifetime time.Duration // after which what a member told counts for nothing; from a third of it on it counts less
	// MergeInterval is the time between two merges: trust in the whole rises and falls by a quarter in each.
	MergeInterval time.Duration
}

// Pool is what the others have told. It is not safe for concurrent use.
type Pool struct {
	options     Options
	members     map[string]*member
	trust       float64
	lastMergeAt time.Duration // when it was last
	lastReplyAt time.Duration // when a store last answered
	stats       Stats
	sketches    []memberSketch // scratch
}

type member struct {
	reportedAt time.Duration // when it told that, by this instance's clock
	records    map[waitpolicy.Key]*waitpolicy.Record
}

// Stats are what a pool has done, cumulative but for what there is.
type Stats struct {
	Members  int     `json:"members"`
	Trust    float64 `json:"trust"`
	Accepted uint64  `json:"taken"`
	Rejected uint64  `json:"refused"` // what could not be read
	Outliers uint64  `json:"apart"`   // sketches left out, as they stood out
}

// New makes a pool that has heard of nobody.
func New(o Options) *Pool { return &Pool{options: o, members: make(map[string]*member)} }

// AddReport takes what a member told so long ago. What can't be read is refused, and what it told before
// stays until its time is over.
func (p *Pool) AddReport(now time.Duration, id string, age time.Duration, value []byte) error {
	if id == p.options.OwnID {
		return nil
	}
	if id == "" || len(id) > MaxIDBytes {
		p.stats.Rejected++
		return fmt.Errorf("gather: a member's name of %d bytes", len(id))
	}
	at := now - max(0, age)
	old := p.members[id]
	if now-at >= p.options.Lifetime || old != nil && old.reportedAt >= at {
		return nil
	}
	records, err := waitpolicy.DecodeShared(value)
	if err != nil {
		p.stats.Rejected++
		return fmt.Errorf("gather: member %s: %w", id, err)
	}
	if old == nil && len(p.members) >= MaxMembers {
		oldest := ""
		for n, m := range p.members {
			if oldest == "" || m.reportedAt < p.members[oldest].reportedAt || m.reportedAt == p.members[oldest].reportedAt && n < oldest {
				oldest = n
			}
		}
		if p.members[oldest].reportedAt >= at {
			return nil
		}
		delete(p.members, oldest)
	}
	m := &member{reportedAt: at, records: make(map[waitpolicy.Key]*waitpolicy.Record, len(records))}
	for i := range records {
		m.records[records[i].Key()] = &records[i]
	}
	p.members[id] = m
	p.stats.Accepted++
	return nil
}

// StoreReplied tells that a store answered, whatever it held.
func (p *Pool) StoreReplied(now time.Duration) { p.lastReplyAt = max(p.lastReplyAt, now) }

// Merge gives what all others together know, and how far to trust it: trust moves by steps, so that
// what is found, lost or replaced at once changes no deadline at once. Own sketches count in what
// stands out, and in nothing else.
func (p *Pool) Merge(now time.Duration, keys []waitpolicy.Key, own []waitpolicy.Sketch) (map[waitpolicy.Key]*waitpolicy.Sketch, float64) {
	var ids []string
	for id, m := range p.members {
		if now-m.reportedAt >= p.options.Lifetime {
			delete(p.members, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	p.updateTrust(now, len(ids))
	all := make(map[waitpolicy.Key]*waitpolicy.Sketch)
	mine := make(map[waitpolicy.Key]*waitpolicy.Sketch, len(keys))
	for i, k := range keys {
		mine[k] = &own[i]
	}
	for _, id := range ids {
		for k := range p.members[id].records {
			if _, done := all[k]; !done && len(all) < waitpolicy.MaxSketches {
				all[k] = p.mergeKey(now, ids, k, mine[k])
			}
		}
	}
	return all, p.trust
}

func (p *Pool) updateTrust(now time.Duration, members int) {
	steps := 1.0
	if p.options.MergeInterval > 0 {
		steps = float64(now-p.lastMergeAt) / float64(p.options.MergeInterval)
	}
	p.lastMergeAt = now
	targetTrust := 0.0
	if members > 0 && now-p.lastReplyAt <= p.options.Lifetime/2 {
		targetTrust = 1
	}
	maxStep := maxTrustStep * max(0, min(1, steps))
	p.trust += max(-maxStep, min(maxStep, targetTrust-p.trust))
}

// memberSketch is one member's sketch of a key.
type memberSketch struct {
	sketch       waitpolicy.Sketch
	count        float64 // that it counts
	weight       float64 // what it counts for
	logQuantiles [len(quantiles)]float64
	isComparable bool
	tolerance    float64
	deviation    float64 // how far it stands out, of what chance allows
}

func newMemberSketch(s waitpolicy.Sketch, fresh float64) memberSketch {
	n := s.Weight()
	v := memberSketch{sketch: s, count: n, weight: min(n, maxSparseWeight) * fresh, isComparable: n >= comparableWeight}
	if v.isComparable {
		v.weight = min(n, maxMemberWeight) * fresh
		var at [len(quantiles)]time.Duration
		s.Quantiles(quantiles[:], at[:])
		for i, d := range at {
			v.logQuantiles[i] = math.Log2(float64(max(d, 1)))
		}
		v.tolerance = 0.25 + 3/math.Sqrt(n) // doublings: some of its own, and what so few can't tell
	}
	return v
}

// mergeKey merges one key.
func (p *Pool) mergeKey(now time.Duration, ids []string, k waitpolicy.Key, own *waitpolicy.Sketch) *waitpolicy.Sketch {
	voices := p.sketches[:0]
	for _, id := range ids {
		m := p.members[id]
		if r := m.records[k]; r != nil {
			s, err := r.Sketch()
			if err != nil {
				continue // it was read when it came
			}
			third := float64(p.options.Lifetime) / 3
			fresh := min(1, (float64(p.options.Lifetime)-float64(now-m.reportedAt))/(2*third))
			if v := newMemberSketch(s, max(0, fresh)); v.weight > 0 {
				voices = append(voices, v)
			}
		}
	}
	others := len(voices)
	if own != nil {
		voices = append(voices, newMemberSketch(*own, 1))
	}
	p.sketches = voices
	p.measureDeviations(voices)
	// Those that stand out most are left out first.
	order := make([]int, 0, others)
	judged := 0
	for i := range voices {
		if voices[i].isComparable {
			judged++
		}
		if i < others && voices[i].deviation > 1 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if voices[a].deviation > voices[b].deviation {
			return -1
		}
		return 1
	})
	for _, i := range order[:min(len(order), judged/outlierDivisor)] {
		voices[i].weight = 0
		p.stats.Outliers++
	}
	all := new(waitpolicy.Sketch)
	for i := range voices[:others] {
		if v := &voices[i]; v.weight > 0 {
			all.Add(&v.sketch, v.weight/v.count)
		}
	}
	return all
}

// measureDeviations tells of each voice how far its quantiles lie from the median of all.
func (p *Pool) measureDeviations(voices []memberSketch) {
	for q := range quantiles {
		var at []float64
		for i := range voices {
			if voices[i].isComparable {
				at = append(at, voices[i].logQuantiles[q])
			}
		}
		if len(at) < 3 {
			return
		}
		slices.Sort(at)
		middle := (at[(len(at)-1)/2] + at[len(at)/2]) / 2
		for i := range voices {
			if v := &voices[i]; v.isComparable {
				v.deviation = max(v.deviation, math.Abs(v.logQuantiles[q]-middle)/v.tolerance)
			}
		}
	}
}

// Stats is what it has done so far.
func (p *Pool) Stats() Stats {
	s := p.stats
	s.Members, s.Trust = len(p.members), p.trust
	return s
}
