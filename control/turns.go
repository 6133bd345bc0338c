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

func (c *Controller) handleRequest(event Request) {
	class, plan := c.classes[event.Class], c.plansByName[event.Plan]
	if c.requests[event.ID] != nil {
		return
	} else if event.IsOverCapacity {
		c.reject(event.ID, CauseOverCapacity)
		return
	} else if event.IsOverHardLimit {
		c.reject(event.ID, CauseHardLimit)
		return
	} else if class == nil || plan == nil || !(event.Units >= 0) || event.Timeout <= 0 {
		c.reject(event.ID, CauseInvalid)
		return
	}
	c.requestCount++
	gain := math.Max(fleetEstimateGain, 1/c.requestCount)
	c.meanRequestUnits += gain * (c.countedUnits(event.Units) - c.meanRequestUnits)
	account := c.accountFor(plan, event.Customer, event.FanOut)
	waited := c.clientWait(event, class)
	latency := durationOf(c.fleetLatency)
	isLate := waited+latency >= class.LatencyObjective
	// Guards against refusing all for good after one slow answer: where every try is taken to be late,
	// only an attempt can tell otherwise, so one goes out whenever there is none.
	if latency >= class.LatencyObjective && waited < class.LatencyObjective && c.inFlight == 0 {
		isLate = false
	}
	if cause := c.admissionCause(account, class, event.Units, isLate); cause != CauseNone {
		c.reject(event.ID, cause)
		return
	}
	req := &request{id: event.ID, class: class, plan: plan, account: account, units: event.Units}
	req.arrivedAt, req.isStreaming = c.now, event.HasPendingBody
	req.objectiveAt, req.deadline = c.now+class.LatencyObjective-waited, c.now+event.Timeout
	c.requests[req.id] = req
	c.retryBudget = math.Min(maxRetryBudget, c.retryBudget+retryBudgetPerRequest)
	c.enqueue(req, false)
	waitFraction := queueWaitFraction
	if plan.MaxInFlight > 0 {
		waitFraction = inFlightQuotaWaitFraction
	}
	maxWait := time.Duration(waitFraction * float64(class.LatencyObjective))
	c.armTimer(req, min(maxWait, event.Timeout/2, max(req.objectiveAt-c.now-latency, tickPeriod)))
}

// clientWait is what the client of a try has waited for earlier tries or for this gateway. A
// later try is told by its mark, or by a time unlike what is usual for its class; the deadline
// over all tries then tells. Guards against first tries that a gateway that stood still finds
// late: they lack no more than its own clock has skipped.
func (c *Controller) clientWait(event Request, class *Class) time.Duration {
	typical := c.typicalDeadlines[class]
	shortfall := typical.deadline - event.Timeout
	isOutlier := shortfall > max(c.clockAdvance, tickPeriod) || shortfall < -tickPeriod
	isRetry := event.IsRetry || !c.settings.RetriesAreMarked && isOutlier && typical.support > 0
	if !event.IsRetry {
		typical.observe(event.Timeout, isOutlier)
	}
	if !isRetry {
		return min(max(shortfall, 0), c.clockAdvance)
	} else if !isOutlier { // as long as a first try's: not the last of its client
		return min(c.minRetryGap, class.Deadline-event.Timeout)
	}
	c.minRetryGap = min(c.minRetryGap, class.Deadline-event.Timeout)
	return class.Deadline - event.Timeout
}

func (c *Controller) reject(id string, cause Cause) {
	c.emit(Reject{ID: id, RetryAfter: min(rejectRetryAfter, c.settings.MaxRetryAfter), Cause: cause})
}

// endUnserved gives the final answer of a request that was not served: a refusal
// where the rules allow one, else a failure.
func (c *Controller) endUnserved(req *request, cause Cause) {
	if c.canReject(req) {
		c.reject(req.id, cause)
	} else {
		c.emit(Fail{ID: req.id, Cause: cause})
	}
	c.removeRequest(req)
}

func (c *Controller) canReject(req *request) bool {
	return req.class.Idempotency == Idempotent || !req.mayHaveRun && req.inFlight == 0 ||
		req.class.Idempotency == IdempotencyKeyed && req.class.KeyScope == ScopeAll
}

// dispatch gives turns to the plans while the bound allows.
func (c *Controller) dispatch() {
	for c.hasFreeSlot() {
		req, srv := c.nextTurn()
		if req == nil {
			return
		}
		c.startAttempt(req, srv)
	}
	c.limitReached = true
}

// hasFreeSlot tells whether the bound has room. The part of it beyond a whole number is a place that
// rests after each use; so hundreds of gateways may each have less than one request in flight.
func (c *Controller) hasFreeSlot() bool {
	n := c.occupiedSlots()
	return n+1 <= c.concurrencyLimit || n < c.concurrencyLimit && c.now >= c.fractionalSlotFreeAt
}

// occupiedSlots counts attempts out and timed-out work that is taken to go on.
func (c *Controller) occupiedSlots() float64 {
	for len(c.abandoned) > 0 && c.abandoned[0].until <= c.now {
		c.abandoned[0].server.abandoned--
		c.abandoned = c.abandoned[1:]
	}
	return float64(c.inFlight - c.streamingAttempts + len(c.abandoned))
}

// nextTurn is one step of the weighted round robin: the plan with the most credit
// among those that have a request to send. An empty queue passes its turn.
func (c *Controller) nextTurn() (*request, *server) {
	var best *planQueue
	totalShare := 0.0
	for _, plan := range c.plans {
		if plan.nextRequest, plan.nextServer = c.nextEligible(plan); plan.nextRequest == nil {
			continue
		}
		plan.deficit += plan.share
		totalShare += plan.share
		if best == nil || plan.deficit > best.deficit {
			best = plan
		}
	}
	if best == nil {
		return nil, nil
	}
	best.deficit -= totalShare
	return best.nextRequest, best.nextServer
}

// nextEligible is the first request of a plan's queue that may go now, and its server.
// One that waits for its open quota or for its own group lets the next pass.
func (c *Controller) nextEligible(plan *planQueue) (*request, *server) {
	for _, req := range plan.queue {
		inFlight := float64(req.account.inFlight + req.account.predecessorInFlight)
		limit := math.Max(1, math.Floor(req.account.inFlightLimit))
		isFull := c.now < req.account.nextAttemptAt || inFlight >= limit
		if plan.MaxInFlight > 0 && req.attempts == 0 && isFull {
			req.account.hitInFlightLimit = true
			continue
		}
		if srv := c.chooseServer(req); srv != nil {
			return req, srv
		}
		if req.repeatGroup == nil {
			return nil, nil
		}
	}
	return nil, nil
}

func (c *Controller) startAttempt(req *request, srv *server) {
	c.dequeue(req)
	var charged charge
	if req.attempts == 0 {
		charged = c.chargeFirstAttempt(req.account, req.units)
	}
	if req.repeatGroup == nil && req.class.Idempotency == IdempotencyKeyed {
		req.firstRunAt = c.now
	}
	if srv.inFlight == 0 {
		srv.lastActivityAt = c.now
	}
	if srv.isWarmingUp {
		srv.slowStartTokens -= c.countedUnits(req.units)
	}
	if srv.consecutiveFailures >= ejectionFailures {
		srv.isProbing = true
	}
	c.recordAttemptStart(req, srv, charged)
	send := Send{ID: req.id, Server: srv.Server}
	// Guards against a connection that comes up when repeats run again.
	if req.mayHaveRun && req.class.Idempotency == IdempotencyKeyed {
		send.WriteWithin = req.firstRunAt + req.class.RepeatWindow - c.now
	}
	c.emit(send)
}
