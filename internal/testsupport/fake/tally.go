// Package fake plays the peers of a node on loopback addresses: app servers, discovery and
// clients, with faults by seed and a tally of all that ran and all that was answered. It is
// for tests, measurements and the demo; it shares no code with what it judges.
package fake

import (
	"sync"
	"time"
)

// Tally counts what app servers ran, over all of them. It is safe for concurrent use; its zero
// value is ready.
type Tally struct {
	mu       sync.Mutex
	runs     map[string]int // by request id: attempts that ran, also those dropped as repeats
	effects  map[string]int // by key: runs that had an effect, or by id where there is no key
	out      map[string]int // by id: attempts at servers now
	most     int            // of them at once, for one id
	attempts int
	turned   int // away, unprocessed
	units    float64
}

func (t *Tally) come(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs == nil {
		t.runs, t.effects, t.out = make(map[string]int), make(map[string]int), make(map[string]int)
	}
	t.attempts++
	t.out[id]++
	t.most = max(t.most, t.out[id])
}

func (t *Tally) leave(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.out[id]--; t.out[id] == 0 {
		delete(t.out, id)
	}
}

func (t *Tally) ran(id, key string, effect bool, units float64) {
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

func (t *Tally) away() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turned++
}

// Counts are the figures of a Tally.
type Counts struct {
	Attempts  int     `json:"attempts"` // that came whole
	Requests  int     `json:"requests"` // ids that ran
	Turned    int     `json:"turned"`   // away, unprocessed
	Again     int     `json:"again"`    // ids that ran more than once
	Twice     int     `json:"twice"`    // keys, or ids without one, with more than one effect
	MostAtOne int     `json:"most_out"` // attempts out at once for one id
	Units     float64 `json:"units"`    // of runs
}

// Counts tells the figures so far.
func (t *Tally) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Counts{Attempts: t.attempts, Requests: len(t.runs), Turned: t.turned, MostAtOne: t.most, Units: t.units}
	for _, n := range t.runs {
		if n > 1 {
			c.Again++
		}
	}
	for _, n := range t.effects {
		if n > 1 {
			c.Twice++
		}
	}
	return c
}

// Runs is how often a request ran.
func (t *Tally) Runs(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// Group is a group of servers that drop repeats of a key together, for a while. Its zero value
// drops nothing.
type Group struct {
	Window time.Duration

	mu   sync.Mutex
	seen map[string]time.Time
}

// first tells whether a key is new, and remembers it.
func (g *Group) first(key string) bool {
	if g == nil || g.Window == 0 || key == "" {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.seen == nil {
		g.seen = make(map[string]time.Time)
	}
	now := time.Now()
	if at, ok := g.seen[key]; ok && now.Sub(at) < g.Window {
		return false
	}
	g.seen[key] = now
	return true
}
