// Package fake plays the peers of a node on loopback addresses: app servers, discovery and
// clients, with faults by seed and a tally of all that ran and all that was answered. It is
// for tests, measurements and the demo; it shares no code with what it judges.
package fake

import (
	"sync"
	"time"
)

// Executions counts what app servers ran, over all of them. It is safe for concurrent use; its zero
// value is ready.
type Executions struct {
	mu          sync.Mutex
	runs        map[string]int // by request id: attempts that ran, also those dropped as repeats
	effects     map[string]int // by key: runs that had an effect, or by id where there is no key
	inFlight    map[string]int // by id: attempts at servers now
	maxInFlight int            // of them at once, for one id
	attempts    int
	rejected    int // away, unprocessed
	units       float64
}

func (t *Executions) begin(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs == nil {
		t.runs, t.effects, t.inFlight = make(map[string]int), make(map[string]int), make(map[string]int)
	}
	t.attempts++
	t.inFlight[id]++
	t.maxInFlight = max(t.maxInFlight, t.inFlight[id])
}

func (t *Executions) end(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[id]--; t.inFlight[id] == 0 {
		delete(t.inFlight, id)
	}
}

func (t *Executions) execute(id, key string, effect bool, units float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id]++
	t.units += units
	if key == "" {
		key = id
	}
	if effect {
		t.effects[key]++
	}
}

func (t *Executions) reject() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejected++
}

// Counts are the figures of a Tally.
type Counts struct {
	Attempts         int     `json:"attempts"` // that came whole
	Requests         int     `json:"requests"` // ids that ran
	Rejected         int     `json:"turned"`   // away, unprocessed
	Repeated         int     `json:"again"`    // ids that ran more than once
	DuplicateEffects int     `json:"twice"`    // keys, or ids without one, with more than one effect
	MaxInFlight      int     `json:"most_out"` // attempts out at once for one id
	Units            float64 `json:"units"`    // of runs
}

// Counts tells the figures so far.
func (t *Executions) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Counts{Attempts: t.attempts, Requests: len(t.runs), Rejected: t.rejected, MaxInFlight: t.maxInFlight, Units: t.units}
	for _, n := range t.runs {
		if n > 1 {
			c.Repeated++
		}
	}
	for _, n := range t.effects {
		if n > 1 {
			c.DuplicateEffects++
		}
	}
	return c
}

// Runs is how often a request ran.
func (t *Executions) Runs(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// Group is a group of servers that drop repeats of a key together, for a while. Its zero value
// drops nothing.
type Group struct {
	Window time.Duration

	mu       sync.Mutex
	lastUsed map[string]time.Time
}

// isFirst tells whether a key is new, and remembers it.
func (g *Group) isFirst(key string) bool {
	if g == nil || g.Window == 0 || key == "" {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastUsed == nil {
		g.lastUsed = make(map[string]time.Time)
	}
	now := time.Now()
	if at, ok := g.lastUsed[key]; ok && now.Sub(at) < g.Window {
		return false
	}
	g.lastUsed[key] = now
	return true
}
