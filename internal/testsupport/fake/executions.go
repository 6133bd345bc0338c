// Package fake has the peers of a node on loopback addresses: app servers, discovery and clients, with seeded faults,
// and counts of all that was executed and answered. It is for tests, measurements and the demo, and shares no code
// with what it checks.
package fake

import (
	"sync"
	"time"
)

// Executions counts what app servers have executed. Servers may share one. The zero value is empty; it is safe for
// concurrent use.
type Executions struct {
	mu          sync.Mutex
	runs        map[string]int // by request ID: attempts that were executed, with those dropped as repeats
	effects     map[string]int // by idempotency key, or request ID without one: executions with an effect
	inFlight    map[string]int // by request ID: attempts
	maxInFlight int            // attempts of one request
	attempts    int
	rejected    int
	units       float64
}

// begin records an attempt that was received.
func (e *Executions) begin(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs == nil {
		e.runs = make(map[string]int)
		e.effects = make(map[string]int)
		e.inFlight = make(map[string]int)
	}
	e.attempts++
	e.inFlight[id]++
	e.maxInFlight = max(e.maxInFlight, e.inFlight[id])
}

// end records that an attempt is no longer in flight.
func (e *Executions) end(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight[id]--
	if e.inFlight[id] == 0 {
		delete(e.inFlight, id)
	}
}

// execute records that an attempt was executed.
func (e *Executions) execute(id, key string, hasEffect bool, units float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	e.units += units
	if key == "" {
		key = id
	}
	if hasEffect {
		e.effects[key]++
	}
}

// reject records that an attempt was rejected unprocessed.
func (e *Executions) reject() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rejected++
}

// Counts are the counts of Executions.
type Counts struct {
	Attempts         int     `json:"attempts"` // received completely
	Requests         int     `json:"requests"` // that were executed
	Rejected         int     `json:"turned"`   // attempts, unprocessed
	Repeated         int     `json:"again"`    // requests that were executed more than once
	DuplicateEffects int     `json:"twice"`    // keys, or requests without one, with more than one effect
	MaxInFlight      int     `json:"most_out"` // attempts of one request
	Units            float64 `json:"units"`    // of all executions
}

// Counts returns the counts so far.
func (e *Executions) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Counts{
		Attempts:         e.attempts,
		Requests:         len(e.runs),
		Rejected:         e.rejected,
		Repeated:         countAboveOne(e.runs),
		DuplicateEffects: countAboveOne(e.effects),
		MaxInFlight:      e.maxInFlight,
		Units:            e.units,
	}
}

func countAboveOne(counts map[string]int) (n int) {
	for _, count := range counts {
		if count > 1 {
			n++
		}
	}
	return n
}

// Runs returns how often a request was executed.
func (e *Executions) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// Group is a group of servers that drop repeats of an idempotency key together. The zero value, and nil, drop nothing.
// It is safe for concurrent use.
type Group struct {
	Window time.Duration // repeat window

	mu       sync.Mutex
	lastUsed map[string]time.Time // by key
}

// isFirst reports whether a key was not used in the repeat window, and records its use.
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
