// Package fleetrules checks the actions of a complete fleet against the five rules: one final answer each, in
// time; no effect twice; draining servers get nothing new; warming-up servers are not overloaded; hard limits
// are kept. It is passed what arrived, what was sent and how it ended, and is independent of how nodes decide.
// A Checker is not safe for concurrent use, and its calls are in the order of their times.
package fleetrules

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"lockflow/control"
)

// Rule is one of the five rules.
type Rule string

// The rules. The values are what reports carry: "cold" is a server that is warming up, "ceiling" a hard limit.
const (
	Answer    Rule = "answer"  // one final answer for each request, in time
	Twice     Rule = "twice"   // no effect of a request twice
	Drain     Rule = "drain"   // no attempt to a server that is draining or gone
	WarmingUp Rule = "cold"    // no overload of a server that is warming up
	HardLimit Rule = "ceiling" // no customer above its hard limit
)

// notifiedFraction is the fraction of the work sent to a warming-up server that has to be from nodes notified of
// its start for an overload to be a breach.
const notifiedFraction = 2.0 / 3

// maxBreaches is how many breaches a Checker stores; further ones are only counted.
const maxBreaches = 100

// Terms are the tolerances of the rules.
type Terms struct {
	AnswerGrace      time.Duration // after a client's deadline, in which an answer is in time
	DrainGrace       time.Duration // after a node was notified
	OverloadWindow   time.Duration // over which the work of a warming-up server is summed
	OverloadMultiple float64       // of its capacity at that moment, above which it is overloaded
	MeanWork         float64       // of a request, in seconds of a core; 0 allows no random deviation
}

// Breach is one violation of a rule.
type Breach struct {
	Rule   Rule          `json:"rule"`
	At     time.Duration `json:"at_ns"`
	Node   int           `json:"node"`             // -1 is the complete fleet
	ID     string        `json:"id,omitempty"`     // of the request
	Server uint32        `json:"server,omitempty"` // 0 is none
	What   string        `json:"what"`
}

func (b Breach) String() string {
	return fmt.Sprintf("%s at %.3f s, node %d, request %q, server %d: %s", b.Rule, b.At.Seconds(), b.Node, b.ID, b.Server, b.What)
}

// Server is what the checker needs of a server.
type Server struct {
	Zone string
	Cell int
	// Capacity returns the capacity at a time, in seconds of a core a second, and whether the server is warming
	// up then. Nil is a warm server.
	Capacity func(at time.Duration) (work float64, warmingUp bool)
}

// Checker checks a fleet against the rules.
type Checker struct {
	Terms Terms

	servers           map[uint32]*server
	requests          map[string]*request
	notifications     map[int]map[uint32]time.Duration // by node: when it was notified that a server is draining or gone
	hardLimits        map[string]*hardLimitBucket
	counts            map[Rule]int
	breaches          []Breach
	maxWarmUpOverload float64
}

type server struct {
	Server
	work         []work // within the overload window, while warming up
	totalWork    float64
	notifiedWork float64 // from nodes that were notified of its start
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
	excused     bool // needs no answer: its client is gone, or its node was killed
	inFlight    int  // attempts that have arrived completely and not ended
	mayRun      bool
	firstServer Server        // of the first attempt that may have run
	firstSentAt time.Duration // of that attempt
}

type hardLimitBucket struct {
	tokens float64
	at     time.Duration
}

// New returns a Checker.
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

// Broken returns the number of breaches by rule; it has no entry for a rule without any.
func (c *Checker) Broken() map[Rule]int { return c.counts }

// Breaches returns the first breaches, by time.
func (c *Checker) Breaches() []Breach {
	slices.SortFunc(c.breaches, func(a, b Breach) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.ID, b.ID))
	})
	return c.breaches
}

// MaxWarmUpOverload returns the largest load of a warming-up server relative to its limit.
func (c *Checker) MaxWarmUpOverload() float64 { return c.maxWarmUpOverload }

// Started records that a server has started or restarted.
func (c *Checker) Started(id uint32, s Server) { c.servers[id] = &server{Server: s} }

// Notified records that a node was notified, or counts as notified, that a server is draining or gone, or with
// up that it is available.
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

// Taken records a request that has arrived at a node, of a client that waits for ttl.
func (c *Checker) Taken(at time.Duration, node int, id string, class *control.Class, ttl time.Duration) {
	c.requests[id] = &request{node: node, class: class, deadline: at + ttl}
}

// Sent records an attempt when it is sent. first tells that it is the request's first, which is charged to the
// customer's hard limit.
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

// checkRetry checks an attempt against those before it.
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

// Ended records the end of an attempt that was sent at a time, and whether the request may have run.
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

// Answered records a final answer; refused tells the client that it may retry.
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

// Left records that a request's client is gone, so that it needs no answer.
func (c *Checker) Left(id string) {
	if r := c.requests[id]; r != nil {
		r.excused = true
	}
}

// Killed records that a node was killed without warning or, with owed, that it has ended by itself, which it may
// only after it has answered all requests.
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

// Arrived records work that has arrived at a server, rejected or not. notified tells whether its node was
// notified of the server's start. s is in seconds of a core.
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
	v.isOverloaded = true // only the first overload counts, whichever nodes caused it
	if v.notifiedWork > notifiedFraction*v.totalWork {
		c.breach(Breach{WarmingUp, at, -1, "", id, fmt.Sprintf("sent %.1f times what it can do at that moment", v.totalWork/(can*c.Terms.OverloadWindow.Seconds()))})
	}
}

// warmUpLimit returns the work above which a warming-up server is overloaded: a multiple of its capacity, and
// for N requests of mean work a random deviation of 2*sqrt(N)+2 requests.
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

// chargeHardLimit charges a request to its customer's hard limit, which all nodes share.
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

// Close records the end of the day: requests that are overdue then were never answered.
func (c *Checker) Close(at time.Duration) {
	for id, r := range c.requests {
		if !r.answered && !r.excused && at > r.deadline+c.Terms.AnswerGrace {
			c.breach(Breach{Answer, at, r.node, id, 0, "never answered"})
		}
	}
}
