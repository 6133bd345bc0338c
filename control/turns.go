package control

import (
	"math"
	"time"
)

// Tuned constants of queues and of the scheduler.
const (
	retryBudgetPerRequest     = 0.1 // retries that an admitted request earns
	queueWaitFraction         = 0.4 // part of its latency objective that a request may queue
	inFlightQuotaWaitFraction = 0.7 // the same for plans with an in-flight quota
)

func (c *Controller) onRequest(e Request) {
	k, p := c.classes[e.Class], c.planOf[e.Plan]
	if c.reqs[e.ID] != nil {
		return
	} else if e.IsOverCapacity {
		c.refuse(e.ID, CauseOverCapacity)
		return
	} else if e.IsOverHardLimit {
		c.refuse(e.ID, CauseHardLimit)
		return
	} else if k == nil || p == nil || !(e.Units >= 0) || e.Timeout <= 0 {
		c.refuse(e.ID, CauseInvalid)
		return
	}
	c.asks++
	c.meanUnits += math.Max(fleetEstimateGain, 1/c.asks) * (c.work(e.Units) - c.meanUnits)
	q := c.customerOf(p, e.Customer, e.FanOut)
	waited := c.waited(e, k)
	late := waited+seconds(c.latency) >= k.LatencyObjective
	// Guards against refusing all for good after one slow answer: where every try is taken to be late,
	// only an attempt can tell otherwise, so one goes out whenever there is none.
	if seconds(c.latency) >= k.LatencyObjective && waited < k.LatencyObjective && c.inflight == 0 {
		late = false
	}
	if why := c.admits(q, k, e.Units, late); why != CauseNone {
		c.refuse(e.ID, why)
		return
	}
	r := &request{id: e.ID, class: k, plan: p, cust: q, units: e.Units, arrived: c.now}
	r.streaming = e.HasPendingBody
	r.aim, r.giveUp = c.now+k.LatencyObjective-waited, c.now+e.Timeout
	c.reqs[r.id] = r
	c.retries = math.Min(maxRetryBudget, c.retries+retryBudgetPerRequest)
	c.enqueue(r, false)
	part := queueWaitFraction
	if p.MaxInFlight > 0 {
		part = inFlightQuotaWaitFraction
	}
	longest := time.Duration(part * float64(k.LatencyObjective))
	c.wake(r, min(longest, e.Timeout/2, max(r.aim-c.now-seconds(c.latency), tickPeriod)))
}

// waited is what the client of a try has waited for earlier tries or for this gateway. A
// later try is told by its mark, or by a time unlike what is usual for its class; the deadline
// over all tries then tells. Guards against first tries that a gateway that stood still finds
// late: they lack no more than its own clock has skipped.
func (c *Controller) waited(e Request, k *Class) time.Duration {
	u := c.usual[k]
	short := u.ttl - e.Timeout
	odd := short > max(c.skipped, tickPeriod) || short < -tickPeriod
	later := e.IsRetry || !c.set.RetriesAreMarked && odd && u.seen > 0
	if !e.IsRetry {
		u.count(e.Timeout, odd)
	}
	if !later {
		return min(max(short, 0), c.skipped)
	} else if !odd { // as long as a first try's: not the last of its client
		return min(c.nextTry, k.Deadline-e.Timeout)
	}
	c.nextTry = min(c.nextTry, k.Deadline-e.Timeout)
	return k.Deadline - e.Timeout
}

func (c *Controller) refuse(id string, why Cause) {
	c.act(Reject{ID: id, RetryAfter: min(rejectRetryAfter, c.set.MaxRetryAfter), Cause: why})
}

// finish gives the final answer of a request that was not served: a refusal
// where the rules allow one, else a failure.
func (c *Controller) finish(r *request, why Cause) {
	if c.harmless(r) {
		c.refuse(r.id, why)
	} else {
		c.act(Fail{ID: r.id, Cause: why})
	}
	c.forget(r)
}

func (c *Controller) harmless(r *request) bool {
	return r.class.Idempotency == Idempotent || !r.mayRun && r.out == 0 ||
		r.class.Idempotency == IdempotencyKeyed && r.class.KeyScope == ScopeAll
}

// pump gives turns to the plans while the bound allows.
func (c *Controller) pump() {
	for c.free() {
		r, s := c.turn()
		if r == nil {
			return
		}
		c.send(r, s)
	}
	c.pressed = true
}

// free tells whether the bound has room. The part of it beyond a whole number is a place that
// rests after each use; so hundreds of gateways may each have less than one request in flight.
func (c *Controller) free() bool {
	n := c.busyNow()
	return n+1 <= c.bound || n < c.bound && c.now >= c.restUntil
}

// busyNow counts attempts out and timed-out work that is taken to go on.
func (c *Controller) busyNow() float64 {
	for len(c.ghosts) > 0 && c.ghosts[0].until <= c.now {
		c.ghosts[0].srv.ghosts--
		c.ghosts = c.ghosts[1:]
	}
	return float64(c.inflight - c.streams + len(c.ghosts))
}

// turn is one step of the weighted round robin: the plan with the most credit
// among those that have a request to send. An empty queue passes its turn.
func (c *Controller) turn() (*request, *server) {
	var best *plan
	total := 0.0
	for _, p := range c.plans {
		if p.next, p.to = c.head(p); p.next == nil {
			continue
		}
		p.credit += p.share
		total += p.share
		if best == nil || p.credit > best.credit {
			best = p
		}
	}
	if best == nil {
		return nil, nil
	}
	best.credit -= total
	return best.next, best.to
}

// head is the first request of a plan's queue that may go now, and its server.
// One that waits for its open quota or for its own group lets the next pass.
func (c *Controller) head(p *plan) (*request, *server) {
	for _, r := range p.queue {
		if p.MaxInFlight > 0 && r.sends == 0 && (c.now < r.cust.openNext ||
			float64(r.cust.open+r.cust.foreign) >= math.Max(1, math.Floor(r.cust.openCap))) {
			r.cust.openHit = true
			continue
		}
		if s := c.pick(r); s != nil {
			return r, s
		}
		if r.group == nil {
			return nil, nil
		}
	}
	return nil, nil
}

func (c *Controller) send(r *request, s *server) {
	c.dequeue(r)
	var b bill
	if r.sends == 0 {
		b = c.draw(r.cust, r.units)
	}
	if r.group == nil && r.class.Idempotency == IdempotencyKeyed {
		r.firstRun = c.now
	}
	if s.inflight == 0 {
		s.heard = c.now
	}
	if s.coldRamp {
		s.tokens -= c.work(r.units)
	}
	if s.strikes >= ejectionFailures {
		s.probing = true
	}
	c.record(r, s, b)
	a := Send{ID: r.id, Server: s.Server}
	if r.mayRun && r.class.Idempotency == IdempotencyKeyed { // its connection may come up when repeats run again
		a.WriteWithin = r.firstRun + r.class.RepeatWindow - c.now
	}
	c.act(a)
}
