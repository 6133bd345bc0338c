// Package fake provides the peers of a node on loopback addresses: app servers, discovery and clients, with seeded fault
// injection and counts of everything that was executed and answered. It is used by tests, measurements and the demo, and
// shares no code with the code that it checks.
package fake

import (
	"sync"
	"time"
)

// Executions counts the requests that app servers executed. Several servers may share one. The zero value is empty. It is
// safe for concurrent use.
type Executions struct {
	mu          sync.Mutex
	runs        map[string]int // by request ID: executed attempts, including those that had no effect as repeats
	effects     map[string]int // by idempotency key, or by request ID if there is none: executions with an effect
	inFlight    map[string]int // by request ID: attempts in flight
	maxInFlight int            // maximum number of attempts of one request in flight
	attempts    int
	rejected    int
	units       float64
}

// begin records a received attempt.
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

// execute records an executed attempt.
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

// reject records an attempt that was rejected unprocessed.
func (e *Executions) reject() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rejected++
}

// Counts holds the counts of Executions.
type Counts struct {
	Attempts         int     `json:"attempts"` // attempts received completely
	Requests         int     `json:"requests"` // requests that were executed
	Rejected         int     `json:"turned"`   // attempts rejected unprocessed
	Repeated         int     `json:"again"`    // requests that were executed more than once
	DuplicateEffects int     `json:"twice"`    // idempotency keys, or requests without a key, with more than one effect
	MaxInFlight      int     `json:"most_out"` // maximum number of attempts of one request in flight
	Units            float64 `json:"units"`    // units of all executions
}

// Counts returns the current counts.
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

// Group is a group of servers that share a record of idempotency keys and drop repeats of a key. The zero value and nil
// drop nothing. It is safe for concurrent use.
type Group struct {
	Window time.Duration // repeat window

	mu       sync.Mutex
	lastUsed map[string]time.Time // by key
}

// isFirst reports whether a key was not used within the repeat window. If so, it records the use.
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
