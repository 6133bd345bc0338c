// Package fleetrules holds what a whole fleet did against the five rules: one final answer each, in
// time; no effect twice; drains kept; cold servers not pushed over; ceilings kept. It is told what
// came in, what went out and how it ended, and knows nothing of how an instance decides. A Checker
// is not safe for concurrent use; its times only move forward.
package fleetrules

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"lockflow/control"
)

// Rule names one of the five.
type Rule string

// The rules. The values are what reports carry: "cold" is a server that is warming up, "ceiling" a hard limit.
const (
	Answer    Rule = "answer"  // one final answer each, in time
	Twice     Rule = "twice"   // no effect twice
	Drain     Rule = "drain"   // nothing new to a server that drains or is gone
	WarmingUp Rule = "cold"    // no server that is warming up overloaded
	HardLimit Rule = "ceiling" // no customer beyond its hard limit
)

// notifiedFraction is the part of the work sent to a server that is warming up that must have come from instances that
// knew of its start, for the fleet to be at fault.
const notifiedFraction = 2.0 / 3

// maxBreaches is how many breaches a Checker stores; those after them are only counted.
const maxBreaches = 100

// Terms are the figures of the rules.
type Terms struct {
	AnswerGrace      time.Duration // past a client's time, in which an answer still counts
	DrainGrace       time.Duration // after an instance was told
	OverloadWindow   time.Duration // span over which a cold server's work is counted
	OverloadMultiple float64       // times what it can do at that moment
	MeanWork         float64       // s of one core that a request takes on average; 0 leaves chance no room
}

// Breach is a rule broken once.
type Breach struct {
	Rule   Rule          `json:"rule"`
	At     time.Duration `json:"at_ns"`
	Node   int           `json:"node"`             // -1 is the fleet
	ID     string        `json:"id,omitempty"`     // of the request
	Server uint32        `json:"server,omitempty"` // 0 is none
	What   string        `json:"what"`
}

func (b Breach) String() string {
	return fmt.Sprintf("%s at %.3f s, node %d, request %q, server %d: %s", b.Rule, b.At.Seconds(), b.Node, b.ID, b.Server, b.What)
}

// Server is what the checker has to know of one.
type Server struct {
	Zone string
	Cell int
	// Capacity is the work, in s of one core each second, that it can do at a time, and whether it is
	// still cold then. Nil is a server that is warm.
	Capacity func(at time.Duration) (work float64, warmingUp bool)
}

// Checker holds a fleet to the rules.
type Checker struct {
	Terms Terms

	servers           map[uint32]*server
	requests          map[string]*request
	notifications     map[int]map[uint32]time.Duration // when each was told that a server drains or is gone
	hardLimits        map[string]*hardLimitBucket
	counts            map[Rule]int
	breaches          []Breach
	maxWarmUpOverload float64
}

type server struct {
	Server
	work         []work // of late, while cold
	totalWork    float64
	notifiedWork float64 // of the sum, by instances that knew of its start
	isOverloaded bool
}

type work struct {
	at       time.Duration
	seconds  float64
	notified bool
}

type request struct {
	node        int
	class       *control.Class
	deadline    time.Duration
	answered    bool
	excused     bool // nothing is owed: its client left, or its instance was killed
	inFlight    int  // attempts that have come whole and not ended
	mayRun      bool
	firstServer Server        // of the first attempt that may have run
	firstSentAt time.Duration // its send
}

type hardLimitBucket struct {
	tokens float64
	at     time.Duration
}

// New makes a checker.
func New(t Terms) *Checker {
	return &Checker{
		Terms: t, servers: map[uint32]*server{}, requests: map[string]*request{},
		notifications: map[int]map[uint32]time.Duration{}, hardLimits: map[string]*hardLimitBucket{}, counts: map[Rule]int{},
	}
}

func (c *Checker) breach(b Breach) {
	if c.counts[b.Rule]++; len(c.breaches) < maxBreaches {
		c.breaches = append(c.breaches, b)
	}
}

// Broken is how often each rule was broken; none where it is empty.
func (c *Checker) Broken() map[Rule]int { return c.counts }

// Breaches are the first of them, in the order of their time.
func (c *Checker) Breaches() []Breach {
	slices.SortFunc(c.breaches, func(a, b Breach) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.ID, b.ID))
	})
	return c.breaches
}

// MaxWarmUpOverload is the largest ratio of the work sent to a server while it was warming up to its limit.
func (c *Checker) MaxWarmUpOverload() float64 { return c.maxWarmUpOverload }

// Started tells of a server that has started, at a time, or anew.
func (c *Checker) Started(id uint32, s Server) { c.servers[id] = &server{Server: s} }

// Notified notes that an instance was notified, or counts as notified, that a server drains or is gone; or, where
// it is up, that it may be sent to.
func (c *Checker) Notified(at time.Duration, node int, id uint32, up bool) {
	m := c.notifications[node]
	if m == nil {
		m = map[uint32]time.Duration{}
		c.notifications[node] = m
	}
	if _, is := m[id]; up {
		delete(m, id)
	} else if !is {
		m[id] = at
	}
}

// Taken notes a request that an instance has taken, of a client that waits for so long.
func (c *Checker) Taken(at time.Duration, node int, id string, class *control.Class, ttl time.Duration) {
	c.requests[id] = &request{node: node, class: class, deadline: at + ttl}
}

// Sent notes an attempt at the moment in which it is sent. first is whether it is the request's first,
// which draws its units from the customer's ceiling.
func (c *Checker) Sent(at time.Duration, node int, id string, to uint32, first bool, plan *control.Plan, customer string, units float64) {
	if notifiedAt, ok := c.notifications[node][to]; ok && at > notifiedAt+c.Terms.DrainGrace {
		c.breach(Breach{Drain, at, node, id, to, fmt.Sprintf("sent %.2f s after it was told that the server drains or is gone", (at - notifiedAt).Seconds())})
	}
	if r := c.requests[id]; r != nil {
		c.checkRetry(at, node, id, to, r)
		r.inFlight++
	}
	if first && plan.HardLimitRate > 0 {
		c.chargeHardLimit(at, node, id, plan, customer, units)
	}
}

// checkRetry holds an attempt against those before it.
func (c *Checker) checkRetry(at time.Duration, node int, id string, to uint32, r *request) {
	bad := func(what string) { c.breach(Breach{Twice, at, node, id, to, what}) }
	if r.answered {
		bad("sent after its final answer")
	}
	if r.inFlight > 0 {
		bad("sent while an attempt is out")
	}
	if !r.mayRun {
		return
	}
	s := c.servers[to]
	switch k := r.class; {
	case k.Idempotency == control.NotIdempotent:
		bad("sent again after an attempt that may have run")
	case k.Idempotency != control.IdempotentWithKey || s == nil:
	case at > r.firstSentAt+k.RepeatWindow:
		bad(fmt.Sprintf("repeated %.2f s after the first that may have run", (at - r.firstSentAt).Seconds()))
	case k.KeyScope == control.ScopeCell && s.Cell != r.firstServer.Cell, k.KeyScope == control.ScopeZone && s.Zone != r.firstServer.Zone:
		bad("repeated at a server of another group")
	}
}

// Ended notes how an attempt ended that was sent at a time: whether it may have run.
func (c *Checker) Ended(id string, sent time.Duration, to uint32, mayRun bool) {
	r := c.requests[id]
	if r == nil {
		return
	}
	r.inFlight--
	if s := c.servers[to]; mayRun && !r.mayRun && s != nil {
		r.mayRun, r.firstSentAt, r.firstServer = true, sent, s.Server
	}
}

// Answered notes a final answer; refused is one after which the client may try again.
func (c *Checker) Answered(at time.Duration, node int, id string, refused bool) {
	r := c.requests[id]
	if r == nil {
		return
	}
	switch {
	case r.answered:
		c.breach(Breach{Answer, at, node, id, 0, "answered twice"})
	case !r.excused && at > r.deadline+c.Terms.AnswerGrace:
		c.breach(Breach{Answer, at, node, id, 0, fmt.Sprintf("answered %.3f s past its client's time", (at - r.deadline).Seconds())})
	}
	k := r.class
	if refused && k.Idempotency != control.Idempotent && (r.mayRun || r.inFlight > 0) && !(k.Idempotency == control.IdempotentWithKey && k.KeyScope == control.ScopeAll) {
		c.breach(Breach{Twice, at, node, id, 0, "refused, as if trying again were harmless, though it may have run"})
	}
	r.answered = true
}

// Left notes that a request's client has left: nothing more is owed.
func (c *Checker) Left(id string) {
	if r := c.requests[id]; r != nil {
		r.excused = true
	}
}

// Killed notes that an instance has died without warning, or, where it ended by itself and owed
// what it held, that it has ended.
func (c *Checker) Killed(at time.Duration, node int, owed bool) {
	for id, r := range c.requests {
		if r.node != node || r.answered || r.excused {
			continue
		}
		if r.excused = true; owed {
			c.breach(Breach{Answer, at, node, id, 0, "its instance ended without an answer"})
		}
	}
	delete(c.notifications, node)
}

// Arrived notes work that has reached a server, turned away or not, from an instance that had or
// had not been told of the server's start.
func (c *Checker) Arrived(at time.Duration, id uint32, s float64, notified bool) {
	v := c.servers[id]
	if v == nil || v.Capacity == nil {
		return
	}
	can, warmingUp := v.Capacity(at)
	if !warmingUp {
		v.work, v.totalWork, v.notifiedWork = nil, 0, 0
		return
	}
	v.work = append(v.work, work{at, s, notified})
	v.add(s, notified)
	for v.work[0].at <= at-c.Terms.OverloadWindow {
		v.add(-v.work[0].seconds, v.work[0].notified)
		v.work = v.work[1:]
	}
	limit := c.Terms.warmUpLimit(can)
	c.maxWarmUpOverload = math.Max(c.maxWarmUpOverload, v.totalWork/limit)
	if v.totalWork <= limit || v.isOverloaded {
		return
	}
	v.isOverloaded = true // the first fall is what counts, whoever it is due to
	if v.notifiedWork > notifiedFraction*v.totalWork {
		c.breach(Breach{WarmingUp, at, -1, "", id, fmt.Sprintf("sent %.1f times what it can do at that moment", v.totalWork/(can*c.Terms.OverloadWindow.Seconds()))})
	}
}

// warmUpLimit is the work at which a server that is warming up is overloaded: beyond what it can do the times that it bears, what
// chance brings of N requests of mean work, 2 roots of N and 2.
func (t *Terms) warmUpLimit(can float64) float64 {
	work := t.OverloadMultiple * can * t.OverloadWindow.Seconds()
	if t.MeanWork <= 0 {
		return work
	}
	return work + t.MeanWork*(2*math.Sqrt(work/t.MeanWork)+2)
}

func (s *server) add(work float64, notified bool) {
	if s.totalWork += work; notified {
		s.notifiedWork += work
	}
}

// chargeHardLimit takes a request's units from its customer's ceiling, which all instances share.
func (c *Checker) chargeHardLimit(at time.Duration, node int, id string, p *control.Plan, customer string, units float64) {
	q := c.hardLimits[customer]
	if q == nil {
		q = &hardLimitBucket{tokens: p.HardLimitBurst, at: at}
		c.hardLimits[customer] = q
	}
	q.tokens = math.Min(p.HardLimitBurst, q.tokens+(at-q.at).Seconds()*p.HardLimitRate) - units
	q.at = at
	if q.tokens < -p.HardLimitSlack {
		c.breach(Breach{HardLimit, at, node, id, 0, fmt.Sprintf("customer %s is %.1f units beyond its ceiling", customer, -q.tokens)})
	}
}

// Close ends the day: what is still owed by then and overdue was never answered.
func (c *Checker) Close(at time.Duration) {
	for id, r := range c.requests {
		if !r.answered && !r.excused && at > r.deadline+c.Terms.AnswerGrace {
			c.breach(Breach{Answer, at, r.node, id, 0, "never answered"})
		}
	}
}
