package control

import (
	"math"
	"time"
)

const (
	retryBudgetPerRequest     = 0.1 // retries that an admitted request earns
	queueWaitFraction         = 0.4 // part of its latency objective that a request may queue
	inFlightQuotaWaitFraction = 0.7 // the same for plans with an in-flight quota
)

func (c *Controller) handleRequest(event Request) {
	class, plan := c.classes[event.Class], c.plansByName[event.Plan]
	if c.requests[event.ID] != nil {
		return
	} else if cause := unusableCause(event, class, plan); cause != CauseNone {
		c.reject(event.ID, cause)
		return
	}
	c.fleet.requestUnits.add(c.countedUnits(event.Units), fleetEstimateGain)
	account := c.accountFor(plan, event.Customer, event.FanOut)
	waited := c.clientWait(event, class)
	latency := durationOf(c.fleet.latency.mean)
	isLate := waited+latency >= class.LatencyObjective
	// Guards against rejecting all for good after one slow answer: with nothing in flight, an attempt has to
	// show whether servers still are slow.
	if latency >= class.LatencyObjective && waited < class.LatencyObjective && c.slots.inFlight == 0 {
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
	plan.pushBack(req)
	waitFraction := queueWaitFraction
	if plan.MaxInFlight > 0 {
		waitFraction = inFlightQuotaWaitFraction
	}
	maxWait := time.Duration(waitFraction * float64(class.LatencyObjective))
	c.armTimer(req, min(maxWait, event.Timeout/2, max(req.objectiveAt-c.now-latency, tickPeriod)))
}

// unusableCause is why a request is rejected whatever the load; CauseNone is none.
func unusableCause(event Request, class *Class, plan *planQueue) Cause {
	switch {
	case event.IsOverCapacity:
		return CauseOverCapacity
	case event.IsOverHardLimit:
		return CauseHardLimit
	case class == nil || plan == nil || !(event.Units >= 0) || event.Timeout <= 0:
		return CauseInvalid
	}
	return CauseNone
}

// clientWait is how long the client has waited, for earlier attempts of its own or for this gateway. A
// client's retry is marked, or has an outlier deadline. Guards against first attempts that seem late to
// a gateway that was stalled: they lack no more than its clock has advanced.
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
	} else if !isOutlier { // the client does not count down over its attempts
		return min(c.minRetryGap, class.Deadline-event.Timeout)
	}
	c.minRetryGap = min(c.minRetryGap, class.Deadline-event.Timeout)
	return class.Deadline - event.Timeout
}

func (c *Controller) reject(id string, cause Cause) {
	c.emit(Reject{ID: id, RetryAfter: min(rejectRetryAfter, c.settings.MaxRetryAfter), Cause: cause})
}

// endUnserved gives the final answer of a request that was not served: a rejection if that is allowed.
func (c *Controller) endUnserved(req *request, cause Cause) {
	if c.canReject(req) {
		c.reject(req.id, cause)
	} else {
		c.emit(Fail{ID: req.id, Cause: cause})
	}
	c.removeRequest(req)
}

// canReject tells whether the client may repeat the request safely, as it does after a rejection.
func (c *Controller) canReject(req *request) bool {
	return req.class.Idempotency == Idempotent || !req.mayHaveRun && req.inFlight == 0 ||
		req.isKeyed() && req.class.KeyScope == ScopeAll
}

// dispatch starts attempts of queued requests while the concurrency limit allows.
func (c *Controller) dispatch() {
	for c.limiter.hasFreeSlot(c.now, c.slots.occupied(c.now)) {
		req, srv := c.nextTurn()
		if req == nil {
			return
		}
		c.startAttempt(req, srv)
	}
	c.window.limitReached = true
}

// nextTurn is one step of the weighted round robin among the plans that have an eligible request: the
// one that is farthest behind its share comes next.
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

// nextEligible is a plan's first request that may be sent now, and its server. Requests that wait for
// an in-flight quota or for their repeat group let the next pass.
func (c *Controller) nextEligible(plan *planQueue) (*request, *server) {
	for _, req := range plan.queue {
		if plan.MaxInFlight > 0 && req.attempts == 0 && req.account.inFlight.isFull(c.now) {
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
	req.plan.remove(req)
	var charged charge
	if req.attempts == 0 {
		charged = c.chargeFirstAttempt(req.account, req.units)
	}
	if req.repeatGroup == nil && req.isKeyed() {
		req.firstRunAt = c.now
	}
	if srv.inFlight == 0 {
		srv.lastActivityAt = c.now
	}
	if srv.slowStart.isActive {
		srv.slowStart.tokens -= c.countedUnits(req.units)
	}
	if srv.outlier.hasTripped() {
		srv.outlier.isProbing = true
	}
	c.recordAttemptStart(req, srv, charged)
	send := Send{ID: req.id, Server: srv.Server}
	// Guards against a connection that comes up when repeats run again.
	if req.mayHaveRun && req.isKeyed() {
		send.WriteWithin = req.repeatsDroppedUntil() - c.now
	}
	c.emit(send)
}
