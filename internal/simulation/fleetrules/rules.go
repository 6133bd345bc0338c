// Package fleetrules checks the actions of a complete fleet against five rules: one final answer for each request, in
// time; no duplicate effects; no new attempts to draining servers; no overload of warming-up servers; no customer above
// its hard limit. Its input is the requests that nodes received, their attempts and their results; it does not depend on
// how nodes decide. A Checker is not safe for concurrent use and must be called in the order of the events' times.
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

// The rules. Their values are the names in reports, in which "cold" stands for a warming-up server and "ceiling" for a hard limit.
const (
	Answer          Rule = "answer"  // one final answer for each request, in time
	DuplicateEffect Rule = "twice"   // no duplicate effects of a request
	Drain           Rule = "drain"   // no attempt to a server that is draining or gone
	WarmingUp       Rule = "cold"    // no overload of a server that is warming up
	HardLimit       Rule = "ceiling" // no customer above its hard limit
)

// notifiedFraction is the fraction of a warming-up server's work that must come from nodes notified of its start for
// an overload to be a breach.
const notifiedFraction = 2.0 / 3

// maxBreaches is the maximum number of breaches that a Checker stores. Further breaches are only counted.
const maxBreaches = 100

// Tolerances are the tolerances of the rules.
type Tolerances struct {
	AnswerGrace      time.Duration // time after a client's deadline within which an answer is still in time
	DrainGrace       time.Duration // time after a node was notified of a drain within which it may still send attempts
	OverloadWindow   time.Duration // window over which the work of a warming-up server is summed
	OverloadMultiple float64       // multiple of a warming-up server's current capacity above which it is overloaded
	MeanWork         float64       // mean work of a request, in core-seconds; 0 allows no random deviation
}

// Breach is one violation of a rule.
type Breach struct {
	Rule        Rule          `json:"rule"`
	At          time.Duration `json:"at_ns"`            // time since the start of the day
	Node        int           `json:"node"`             // -1 means the complete fleet
	ID          string        `json:"id,omitempty"`     // ID of the request; "" means none
	Server      uint32        `json:"server,omitempty"` // 0 means none
	Description string        `json:"what"`             // description of the breach
}

// String returns the breach as one line.
func (b Breach) String() string {
	return fmt.Sprintf("%s at %.3f s, node %d, request %q, server %d: %s", b.Rule, b.At.Seconds(), b.Node, b.ID, b.Server, b.Description)
}

// Server describes a server to a Checker.
type Server struct {
	Zone string
	Cell int
	// Capacity returns the capacity at a time, in core-seconds a second, and whether the server is warming up at that
	// time. Nil means that the server is warm.
	Capacity func(at time.Duration) (work float64, warmingUp bool)
}

// Checker checks a fleet against the rules.
type Checker struct {
	Tolerances Tolerances

	servers           map[uint32]*server               // by id
	requests          map[string]*request              // by id
	notifications     map[int]map[uint32]time.Duration // by node and server: when the node was notified that the server is draining or gone
	hardLimits        map[string]*hardLimitBucket      // by customer
	counts            map[Rule]int
	breaches          []Breach
	maxWarmUpOverload float64
}

// server is the state of a server since its last start.
type server struct {
	Server
	work         []work  // attempts within the overload window, recorded only during warm-up
	totalWork    float64 // sum of work, in core-seconds
	notifiedWork float64 // part of totalWork from nodes that were notified of the server's start
	isOverloaded bool    // whether the server has been overloaded since its start
}

// work is the work of one attempt.
type work struct {
	at       time.Duration
	seconds  float64 // in core-seconds
	notified bool    // whether the node that sent it was notified of the server's start
}

// request is the state of a request.
type request struct {
	node          int
	class         *control.Class
	deadline      time.Duration
	answered      bool
	needsNoAnswer bool          // its client has disconnected or its node was killed
	inFlight      int           // number of attempts that have not ended
	mayRun        bool          // whether an attempt that has ended may have run
	firstServer   Server        // server of the first attempt that may have run
	firstSentAt   time.Duration // time at which that attempt was sent
}

// hardLimitBucket is the token bucket of a customer's hard limit over all nodes.
type hardLimitBucket struct {
	tokens float64
	at     time.Duration // when tokens was computed
}

// New returns a Checker.
func New(t Tolerances) *Checker {
	return &Checker{
		Tolerances:    t,
		servers:       map[uint32]*server{},
		requests:      map[string]*request{},
		notifications: map[int]map[uint32]time.Duration{},
		hardLimits:    map[string]*hardLimitBucket{},
		counts:        map[Rule]int{},
	}
}

// breach counts a breach, and stores it unless maxBreaches are stored.
func (c *Checker) breach(b Breach) {
	c.counts[b.Rule]++
	if len(c.breaches) < maxBreaches {
		c.breaches = append(c.breaches, b)
	}
}

// Broken returns the number of breaches by rule. Rules without breaches have no entry.
func (c *Checker) Broken() map[Rule]int { return c.counts }

// Breaches returns the stored breaches, at most 100, sorted by time.
func (c *Checker) Breaches() []Breach {
	slices.SortFunc(c.breaches, func(a, b Breach) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.ID, b.ID))
	})
	return c.breaches
}

// MaxWarmUpOverload returns the largest load of a warming-up server relative to its overload limit.
func (c *Checker) MaxWarmUpOverload() float64 { return c.maxWarmUpOverload }

// ServerStarted records that a server has started or restarted.
func (c *Checker) ServerStarted(id uint32, s Server) { c.servers[id] = &server{Server: s} }

// Notified records that a node was notified, or counts as notified, that a server is available (isUp) or that it is
// draining or gone.
func (c *Checker) Notified(at time.Duration, node int, id uint32, isUp bool) {
	notifiedAt := c.notifications[node]
	if notifiedAt == nil {
		notifiedAt = map[uint32]time.Duration{}
		c.notifications[node] = notifiedAt
	}
	if isUp {
		delete(notifiedAt, id)
		return
	}
	if _, isNotified := notifiedAt[id]; !isNotified {
		notifiedAt[id] = at
	}
}

// RequestArrived records a request that a node has received and whose client waits for timeout.
func (c *Checker) RequestArrived(at time.Duration, node int, id string, class *control.Class, timeout time.Duration) {
	c.requests[id] = &request{node: node, class: class, deadline: at + timeout}
}

// AttemptSent records an attempt that a node sends. The first attempt of a request is charged to the customer's hard limit.
func (c *Checker) AttemptSent(at time.Duration, node int, id string, server uint32, isFirst bool, plan *control.Plan, customer string, units float64) {
	if notifiedAt, ok := c.notifications[node][server]; ok && at > notifiedAt+c.Tolerances.DrainGrace {
		c.breach(Breach{
			Rule: Drain, At: at, Node: node, ID: id, Server: server,
			Description: fmt.Sprintf("sent %.2f s after it was told that the server drains or is gone", (at - notifiedAt).Seconds()),
		})
	}
	if r := c.requests[id]; r != nil {
		c.checkRetry(at, node, id, server, r)
		r.inFlight++
	}
	if isFirst && plan.HardLimitRate > 0 {
		c.chargeHardLimit(at, node, id, plan, customer, units)
	}
}

// checkRetry checks an attempt against the previous ones of its request.
func (c *Checker) checkRetry(at time.Duration, node int, id string, server uint32, r *request) {
	addBreach := func(description string) {
		c.breach(Breach{Rule: DuplicateEffect, At: at, Node: node, ID: id, Server: server, Description: description})
	}
	if r.answered {
		addBreach("sent after its final answer")
	}
	if r.inFlight > 0 {
		addBreach("sent while an attempt is out")
	}
	if !r.mayRun {
		return
	}
	target := c.servers[server]
	switch class := r.class; {
	case class.Idempotency == control.NotIdempotent:
		addBreach("sent again after an attempt that may have run")
	case class.Idempotency != control.IdempotentWithKey || target == nil:
	case at > r.firstSentAt+class.RepeatWindow:
		addBreach(fmt.Sprintf("repeated %.2f s after the first that may have run", (at - r.firstSentAt).Seconds()))
	case !sharesKeys(class.KeyScope, &target.Server, &r.firstServer):
		addBreach("repeated at a server of another group")
	}
}

// sharesKeys reports whether two servers recognize each other's idempotency keys, given the scope of the keys.
func sharesKeys(scope control.KeyScope, a, b *Server) bool {
	switch scope {
	case control.ScopeCell:
		return a.Cell == b.Cell
	case control.ScopeZone:
		return a.Zone == b.Zone
	default:
		return true
	}
}

// AttemptEnded records the end of an attempt that was sent at sentAt, and whether the server may have run it.
func (c *Checker) AttemptEnded(id string, sentAt time.Duration, server uint32, mayRun bool) {
	r := c.requests[id]
	if r == nil {
		return
	}
	r.inFlight--
	if s := c.servers[server]; mayRun && !r.mayRun && s != nil {
		r.mayRun = true
		r.firstSentAt = sentAt
		r.firstServer = s.Server
	}
}

// Answered records a final answer. isRejected is whether the answer allows the client to retry.
func (c *Checker) Answered(at time.Duration, node int, id string, isRejected bool) {
	r := c.requests[id]
	if r == nil {
		return
	}
	switch {
	case r.answered:
		c.breach(Breach{Rule: Answer, At: at, Node: node, ID: id, Description: "answered twice"})
	case !r.needsNoAnswer && at > r.deadline+c.Tolerances.AnswerGrace:
		c.breach(Breach{
			Rule: Answer, At: at, Node: node, ID: id,
			Description: fmt.Sprintf("answered %.3f s past its client's time", (at - r.deadline).Seconds()),
		})
	}
	mayHaveRun := r.mayRun || r.inFlight > 0
	if isRejected && mayHaveRun && !isRetryHarmless(r.class) {
		c.breach(Breach{Rule: DuplicateEffect, At: at, Node: node, ID: id, Description: "refused, as if trying again were harmless, though it may have run"})
	}
	r.answered = true
}

// isRetryHarmless reports whether clients may retry requests of a class that may have run.
func isRetryHarmless(class *control.Class) bool {
	if class.Idempotency == control.IdempotentWithKey {
		return class.KeyScope == control.ScopeAll
	}
	return class.Idempotency == control.Idempotent
}

// ClientDisconnected records that the client of a request has closed its connection, so that the request needs no answer.
func (c *Checker) ClientDisconnected(id string) {
	if r := c.requests[id]; r != nil {
		r.needsNoAnswer = true
	}
}

// NodeEnded records that a node has ended. isGraceful is whether the node shut down by itself, which it may do only after
// it has answered all requests; otherwise it was killed without warning.
func (c *Checker) NodeEnded(at time.Duration, node int, isGraceful bool) {
	for id, r := range c.requests {
		if r.node != node || r.answered || r.needsNoAnswer {
			continue
		}
		r.needsNoAnswer = true
		if isGraceful {
			c.breach(Breach{Rule: Answer, At: at, Node: node, ID: id, Description: "its instance ended without an answer"})
		}
	}
	delete(c.notifications, node)
}

// completeFleet is the node number of a breach that several nodes caused together.
const completeFleet = -1

// WorkArrived records work that a server has received, rejected or not, in core-seconds. notified is whether the node
// that sent it was notified of the server's start.
func (c *Checker) WorkArrived(at time.Duration, id uint32, seconds float64, notified bool) {
	s := c.servers[id]
	if s == nil || s.Capacity == nil {
		return
	}
	capacity, warmingUp := s.Capacity(at)
	if !warmingUp {
		s.work = nil
		s.totalWork = 0
		s.notifiedWork = 0
		return
	}
	s.work = append(s.work, work{at: at, seconds: seconds, notified: notified})
	s.add(seconds, notified)
	for s.work[0].at <= at-c.Tolerances.OverloadWindow {
		s.add(-s.work[0].seconds, s.work[0].notified)
		s.work = s.work[1:]
	}
	limit := c.Tolerances.warmUpLimit(capacity)
	c.maxWarmUpOverload = math.Max(c.maxWarmUpOverload, s.totalWork/limit)
	if s.totalWork <= limit || s.isOverloaded {
		return
	}
	s.isOverloaded = true // only the first overload is checked, regardless of the nodes that caused it
	if s.notifiedWork > notifiedFraction*s.totalWork {
		c.breach(Breach{
			Rule: WarmingUp, At: at, Node: completeFleet, Server: id,
			Description: fmt.Sprintf("sent %.1f times what it can do at that moment", s.totalWork/(capacity*c.Tolerances.OverloadWindow.Seconds())),
		})
	}
}

// warmUpLimit returns the work within OverloadWindow, in core-seconds, above which a warming-up server is overloaded. It
// is OverloadMultiple times the capacity plus a random deviation of 2*sqrt(N)+2 requests, where N is the number of
// requests of mean work in that multiple.
func (t *Tolerances) warmUpLimit(capacity float64) float64 {
	work := t.OverloadMultiple * capacity * t.OverloadWindow.Seconds()
	if t.MeanWork <= 0 {
		return work
	}
	return work + t.MeanWork*(2*math.Sqrt(work/t.MeanWork)+2)
}

// add adds work to the sums. Negative work is removed from them.
func (s *server) add(work float64, notified bool) {
	s.totalWork += work
	if notified {
		s.notifiedWork += work
	}
}

// chargeHardLimit charges a request to its customer's hard limit, which applies to the sum over all nodes.
func (c *Checker) chargeHardLimit(at time.Duration, node int, id string, plan *control.Plan, customer string, units float64) {
	bucket := c.hardLimits[customer]
	if bucket == nil {
		bucket = &hardLimitBucket{tokens: plan.HardLimitBurst, at: at}
		c.hardLimits[customer] = bucket
	}
	bucket.tokens = math.Min(plan.HardLimitBurst, bucket.tokens+(at-bucket.at).Seconds()*plan.HardLimitRate) - units
	bucket.at = at
	if bucket.tokens < -plan.HardLimitSlack {
		c.breach(Breach{
			Rule: HardLimit, At: at, Node: node, ID: id,
			Description: fmt.Sprintf("customer %s is %.1f units beyond its ceiling", customer, -bucket.tokens),
		})
	}
}

// Close records the end of the day. A request whose deadline has passed without an answer is a breach.
func (c *Checker) Close(at time.Duration) {
	for id, r := range c.requests {
		if !r.answered && !r.needsNoAnswer && at > r.deadline+c.Tolerances.AnswerGrace {
			c.breach(Breach{Rule: Answer, At: at, Node: r.node, ID: id, Description: "never answered"})
		}
	}
}
