package scattergather

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/internal/waitpolicy"
	"lockflow/internal/waitpolicy/share"
)

// Gatherer is one gathering service as long as its settings are the same: what its queries are
// decided by, what it has learned, and its counts, which go on over others of its name. It is safe for
// concurrent use.
type Gatherer struct {
	Name       string
	Settings   *waitpolicy.Settings
	Model      *waitpolicy.Model
	Counts     *Counts
	RetryAfter time.Duration // most that a refused client is told to wait; 0 tells none
	// Clock is that by which what was learned grows old: one for all queries, which only grows. nil is
	// the time that the process has had.
	Clock func() time.Duration

	lastRejecting atomic.Int64 // 1 more than the service that refused last by its quota; 0 is none
}

// processStart is from when the process's own clock counts. What a model takes over from another process
// is aged by how long ago that wrote it.
var processStart = time.Now()

// observe tells what is learned from of a part's outcome, which is known now.
func (g *Gatherer) observe(class string, part int, load float64, o waitpolicy.Outcome) {
	if g.Clock != nil {
		o.At = g.Clock()
	} else {
		o.At = time.Since(processStart)
	}
	g.Model.Observe(class, part, load, o)
}

// LastRejecting is the place among the services of the tree of the one that last refused a query for its
// customer's quota. It is asked first: what refuses then has cost the other parts nothing.
func (g *Gatherer) LastRejecting() (place int, ok bool) {
	n := g.lastRejecting.Load()
	return int(n - 1), n > 0
}

// SetLastRejecting notes who has refused; below zero is nobody.
func (g *Gatherer) SetLastRejecting(place int) { g.lastRejecting.Store(int64(place) + 1) }

// Outcomes of queries, as metrics name them.
var Outcomes = [...]string{"whole", "partial", "too_few", "quota", "left"}

// Outcomes of queries.
const (
	EndedComplete   = iota
	EndedPartial    // with some parts missing
	EndedTooFew     // with so many missing that there is no answer
	EndedQuota      // refused by a part's quota before anything was sent
	EndedClientGone // its client has left
)

// Counts count a gathering service's queries over all its generations. Their zero value is empty;
// they are safe for concurrent use.
type Counts struct {
	Queries  [len(Outcomes)]atomic.Uint64
	InFlight atomic.Int64 // queries under way

	mu      sync.Mutex
	missing map[string]*missCount
}

// missCount counts of one part the answers that were without it.
type missCount struct {
	total       uint64
	consecutive int // one after another, of late
	isLogged    bool
}

// Of what is missing in so many answers one after another the log tells.
const (
	missesToLog     = 32
	maxMissingNames = 4096 // names, of all generations
)

// RecordMissing notes of each part whether an answer was without it.
func (c *Counts) RecordMissing(service string, parts []waitpolicy.Part, holds func(part int) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.missing == nil || len(c.missing) > maxMissingNames {
		c.missing = make(map[string]*missCount)
	}
	for i, p := range parts {
		m := c.missing[p.Name]
		if m == nil {
			m = new(missCount)
			c.missing[p.Name] = m
		}
		if holds(i) {
			if m.isLogged {
				slog.Info("gather: a part is there again", "service", service, "part", p.Name)
			}
			m.consecutive, m.isLogged = 0, false
			continue
		}
		m.total++
		if m.consecutive++; m.consecutive >= missesToLog && !m.isLogged {
			m.isLogged = true
			slog.Warn("gather: a part is missing in each answer", "service", service, "part", p.Name, "answers", m.consecutive)
		}
	}
}

// MissingCounts is in how many answers each part was missing, by name.
func (c *Counts) MissingCounts() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string]uint64, len(c.missing))
	for name, m := range c.missing {
		all[name] = m.total
	}
	return all
}

// Status is what a gathering service is doing, and what it has learned.
type Status struct {
	Name          string            `json:"name"`
	Parts         []string          `json:"parts"`
	InFlight      int64             `json:"open"`    // queries under way
	Queries       map[string]uint64 `json:"queries"` // by Outcomes
	MissingCounts map[string]uint64 `json:"missed"`  // answers without a part, by part
	IsKnown       bool              `json:"known"`   // enough is known to decide by it
	Deadline      time.Duration     `json:"deadline_ns"`
	TypicalTimes  []time.Duration   `json:"usual_ns"` // time within which nine of ten answers of each part come; 0 is not known
	Learned       waitpolicy.Stats  `json:"learned"`
	Shared        *share.Status     `json:"shared,omitempty"` // nil shares nothing
}

// Status tells of it; what was learned is that of a class at no load.
func (g *Gatherer) Status(class string) Status {
	s := Status{Name: g.Name, InFlight: g.Counts.InFlight.Load(), Queries: make(map[string]uint64), MissingCounts: g.Counts.MissingCounts(), Learned: g.Model.Stats()}
	for i, name := range Outcomes {
		s.Queries[name] = g.Counts.Queries[i].Load()
	}
	f := g.Model.Forecast(class, 0)
	s.IsKnown = f.IsKnown()
	for i, p := range g.Settings.Parts {
		s.Parts = append(s.Parts, p.Name)
		usual := time.Duration(0)
		if s.IsKnown {
			usual = f.Quantile(i, 0.9)
		}
		s.TypicalTimes = append(s.TypicalTimes, usual)
	}
	s.Deadline = Deadline(g.Settings, f)
	return s
}

// deadlineSteps are how often a forecast is asked at the most for when it would answer.
const deadlineSteps = 1000

// Deadline is for how long one part that does not come is waited for at the most, all others having
// come as usual: what a learned deadline is now.
func Deadline(s *waitpolicy.Settings, f *waitpolicy.Forecast) (longest time.Duration) {
	for out := range s.Parts {
		q := waitpolicy.Begin(s, f, 0, 0)
		now := time.Duration(0)
		for i := range s.Parts {
			if i != out {
				if f.IsKnown() {
					now = max(now, f.Quantile(i, 0.5))
				}
			}
		}
		for i := range s.Parts {
			if i != out {
				q.PartCompleted(now, i, true)
			}
		}
		for range deadlineSteps {
			step := q.Next(now)
			if step.Kind != waitpolicy.Wait {
				break
			}
			now = max(step.Until, now+1)
		}
		longest = max(longest, now)
	}
	return longest
}
