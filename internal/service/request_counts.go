package service

import (
	"net/http"
	"sync"
	"sync/atomic"

	"lockflow/control"
)

// requestOutcome is how a request ended; an index of Outcomes.
type requestOutcome int

const (
	outcomeServed requestOutcome = iota
	outcomeRejected
	outcomeFailed
	outcomeAbandoned // the client disconnected before the answer
)

// Outcomes are the names of request outcomes in metrics and the event log, in the order of
// ClassCounts.Requests.
var Outcomes = [...]string{"served", "refused", "failed", "left"}

// Reasons are the names of attempt outcomes in metrics and the event log, in the order of
// ClassCounts.Attempts.
var Reasons = [...]string{"ok", "error", "turned_away", "timed_out", "connect_failed", "reset", "cancelled", "not_sent"}

// reasonIndex is the index of each reason in Reasons.
var reasonIndex = map[control.Reason]int{
	control.OK:               0,
	control.Errored:          1,
	control.RejectedByServer: 2,
	control.TimedOut:         3,
	control.ConnectFailed:    4,
	control.ResetByPeer:      5,
	control.Cancelled:        6,
	control.NotSent:          7,
}

// ClassCounts count the outcomes of one class's requests. They never decrease.
type ClassCounts struct {
	Requests        [len(Outcomes)]atomic.Uint64
	Attempts        [len(Reasons)]atomic.Uint64
	ResourceLimited atomic.Uint64 // rejected requests for which Service.Admit found no resources
}

// RequestCounts count a service's requests by class, over all generations of the service. The zero value is
// empty.
type RequestCounts struct {
	mu      sync.Mutex
	classes map[string]*ClassCounts
}

// forClasses returns the counts of each class, and creates them on the first call with the class. The number of
// classes is bounded, as only configured ones are passed.
func (c *RequestCounts) forClasses(classes []control.Class) map[string]*ClassCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.classes == nil {
		c.classes = make(map[string]*ClassCounts)
	}
	counts := make(map[string]*ClassCounts, len(classes))
	for _, class := range classes {
		if c.classes[class.Name] == nil {
			c.classes[class.Name] = &ClassCounts{}
		}
		counts[class.Name] = c.classes[class.Name]
	}
	return counts
}

// Each calls f with the counts of each class, in no particular order.
func (c *RequestCounts) Each(f func(class string, counts *ClassCounts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, counts := range c.classes {
		f(name, counts)
	}
}

// outcome returns the outcome of a request with this final answer. An answer without a status belongs to a client
// that has disconnected.
func (a Answer) outcome() requestOutcome {
	switch {
	case a.clientHasLeft || a.Status == 0:
		return outcomeAbandoned
	case a.Kind == Rejected:
		return outcomeRejected
	case a.Kind == Failed || a.Status >= http.StatusInternalServerError:
		return outcomeFailed
	}
	return outcomeServed
}

// requestEnded counts a request's final answer.
func (c *ClassCounts) requestEnded(a Answer, isResourceLimited bool) {
	outcome := a.outcome()
	c.Requests[outcome].Add(1)
	if outcome == outcomeRejected && isResourceLimited {
		c.ResourceLimited.Add(1)
	}
}

// attemptEnded counts the outcome of an attempt.
func (c *ClassCounts) attemptEnded(reason control.Reason) { c.Attempts[reasonIndex[reason]].Add(1) }
