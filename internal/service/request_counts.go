package service

import (
	"net/http"
	"sync"
	"sync/atomic"

	"lockflow/control"
)

// Outcomes of requests, as metrics name them; Requests of ClassCounts has them in this order.
var Outcomes = [...]string{"served", "refused", "failed", "left"}

// Reasons of attempts' ends, as metrics name them; Attempts of ClassCounts has them in this order.
var Reasons = [...]string{"ok", "error", "turned_away", "timed_out", "connect_failed", "reset", "cancelled", "not_sent"}

var reasonIndex = map[control.Reason]int{
	control.OK: 0, control.Errored: 1, control.RejectedByServer: 2, control.TimedOut: 3, control.ConnectFailed: 4,
	control.ResetByPeer: 5, control.Cancelled: 6, control.NotSent: 7,
}

// ClassCounts count what became of one class's requests. They only grow.
type ClassCounts struct {
	Requests        [len(Outcomes)]atomic.Uint64
	Attempts        [len(Reasons)]atomic.Uint64
	ResourceLimited atomic.Uint64 // of the refused, those that there was no room to hold
}

// RequestCounts count a service's requests by class, over all its generations. They are safe for
// concurrent use; their zero value is empty.
type RequestCounts struct {
	mu      sync.Mutex
	classes map[string]*ClassCounts
}

// forClass gives a class's counts, which begin with the first call. Only classes of a configuration
// are asked for, so there are few.
func (c *RequestCounts) forClass(name string) *ClassCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.classes == nil {
		c.classes = make(map[string]*ClassCounts)
	}
	if c.classes[name] == nil {
		c.classes[name] = &ClassCounts{}
	}
	return c.classes[name]
}

// Each calls f with every class's counts.
func (c *RequestCounts) Each(f func(class string, n *ClassCounts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.classes {
		f(name, n)
	}
}

// outcome is what became of a request with this final answer, a place in Outcomes; one without a
// status is a client that has left.
func (a Answer) outcome() int {
	switch {
	case a.clientHasLeft || a.Status == 0:
		return 3
	case a.Kind == Rejected:
		return 1
	case a.Kind == Failed || a.Status >= http.StatusInternalServerError:
		return 2
	}
	return 0
}

// requestEnded counts a request's final answer.
func (n *ClassCounts) requestEnded(a Answer, noRoom bool) {
	outcome := a.outcome()
	n.Requests[outcome].Add(1)
	if outcome == 1 && noRoom {
		n.ResourceLimited.Add(1)
	}
}
