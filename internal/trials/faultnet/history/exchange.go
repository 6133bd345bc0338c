package history

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Exchanges records the outcome of requests: final answers that clients received, effects at the
// servers, and generations that members reported. The zero value is ready; its methods are safe for
// concurrent use.
type Exchanges struct {
	mu                sync.Mutex
	started           time.Time
	requests          map[string]*requestOutcome
	effects           map[string][]string // names of the servers that executed an effect, by the effect's key
	generations       map[string][]Generation
	wantedGenerations map[string]bool
	violations        []string
	dropped           int
}

type requestOutcome struct {
	answers      []string
	brokenReason string // why no answer will be received; empty if one may still be
}

// Generation is the hash of a configuration that a member ran, and the time of its first report.
type Generation struct {
	At   time.Duration
	Hash string
}

func (x *Exchanges) init() {
	if x.requests == nil {
		x.started = time.Now()
		x.requests, x.effects = make(map[string]*requestOutcome), make(map[string][]string)
		x.generations, x.wantedGenerations = make(map[string][]Generation), make(map[string]bool)
	}
}

func (x *Exchanges) hasCapacity(n int) bool {
	if n < MaxEntries {
		return true
	}
	x.dropped++
	return false
}

// Requested records that a client sends a request with a unique ID.
func (x *Exchanges) Requested(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	if x.requests[id] != nil {
		x.violations = append(x.violations, fmt.Sprintf("request %s: asked twice", id))
		return
	}
	if x.hasCapacity(len(x.requests)) {
		x.requests[id] = &requestOutcome{}
	}
}

// Answered records a final answer to a request.
func (x *Exchanges) Answered(id, answer string) {
	x.update(id, func(a *requestOutcome) { a.answers = append(a.answers, answer) })
}

// Broken records that a request will get no answer, and the reason: its connection was reset, or the
// client timed out. That is allowed if a fault on the client's side of the node explains it.
func (x *Exchanges) Broken(id, reason string) {
	x.update(id, func(a *requestOutcome) { a.brokenReason = reason })
}

func (x *Exchanges) update(id string, change func(*requestOutcome)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	if a := x.requests[id]; a != nil {
		change(a)
	} else if x.dropped == 0 {
		x.violations = append(x.violations, fmt.Sprintf("request %s: answered, and never asked", id))
	}
}

// Effect records that a server executed an effect, which must not happen twice.
func (x *Exchanges) Effect(key, server string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	if x.effects[key] != nil || x.hasCapacity(len(x.effects)) {
		x.effects[key] = append(x.effects[key], server)
	}
}

// WantGeneration records a generation that a coordinator or the trial itself has requested. Members may
// run such a generation at any time of the trial.
func (x *Exchanges) WantGeneration(hash string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	x.wantedGenerations[hash] = true
}

// Reported records the generation that a member reported, unless its previous report was the same.
func (x *Exchanges) Reported(member, hash string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	all := x.generations[member]
	if len(all) > 0 && all[len(all)-1].Hash == hash || !x.hasCapacity(len(all)) {
		return
	}
	x.generations[member] = append(all, Generation{time.Since(x.started), hash})
}

// Generations returns the generations that a member has reported, in order.
func (x *Exchanges) Generations(member string) []Generation {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.generations[member])
}

// Check returns the violations, sorted: a request with more than one final answer, or with neither an
// answer nor an accepted reason for its absence; an effect that happened twice; a generation that was
// never requested. unanswered reports whether a request may end without an answer for the recorded
// reason; if it is nil, no request may.
func (x *Exchanges) Check(unanswered func(why string) bool) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	violations := slices.Clone(x.violations)
	if x.dropped > 0 {
		violations = append(violations, fmt.Sprintf("%d notes more than %d", x.dropped, MaxEntries))
	}
	for id, a := range x.requests {
		switch n := len(a.answers); {
		case n > 1:
			violations = append(violations, fmt.Sprintf("request %s: %d final answers: %v", id, n, a.answers))
		case n == 1 && a.brokenReason != "":
			violations = append(violations, fmt.Sprintf("request %s: answered %s, and broken: %s", id, a.answers[0], a.brokenReason))
		case n == 0 && (a.brokenReason == "" || unanswered == nil || !unanswered(a.brokenReason)):
			violations = append(violations, fmt.Sprintf("request %s: no final answer: %s", id, a.brokenReason))
		}
	}
	for key, servers := range x.effects {
		if len(servers) > 1 {
			violations = append(violations, fmt.Sprintf("effect %s: %d times, at %v", key, len(servers), servers))
		}
	}
	for member, all := range x.generations {
		for _, g := range all {
			if len(x.wantedGenerations) > 0 && !x.wantedGenerations[g.Hash] {
				violations = append(violations, fmt.Sprintf("member %s at %v: generation %s, which nobody wants", member, g.At.Round(time.Millisecond), g.Hash))
			}
		}
	}
	slices.Sort(violations)
	return violations
}

// Wrong records a violation that the caller has detected.
func (x *Exchanges) Wrong(format string, args ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.init(); x.hasCapacity(len(x.violations)) {
		x.violations = append(x.violations, fmt.Sprintf(format, args...))
	}
}

// Counts returns the number of requests and the number of those with at least one answer.
func (x *Exchanges) Counts() (requests, answered int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, a := range x.requests {
		if len(a.answers) > 0 {
			answered++
		}
	}
	return len(x.requests), answered
}

// Effects returns the number of different effects that have happened.
func (x *Exchanges) Effects() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.effects)
}
