package control

import (
	"math"
	"time"
)

const (
	retryBudgetPerRequest = 0.1 // retries that an admitted request earns
	minRetryCost          = 0.1 // of the retry budget
	maxAbandonedLatencies = 2.0 // mean latencies that an abandoned attempt is presumed to run

	retryDeadlineMargin = time.Millisecond // time before a request's deadline from which it is not retried
)

// dispatch starts attempts of queued requests while the concurrency limit allows.
func (c *Controller) dispatch() {
	for c.limiter.hasFreeSlot(c.now, c.slots.occupied(c.now)) {
		req, srv := c.nextTurn(c.now, c)
		if req == nil {
			return
		}
		c.startAttempt(req, srv)
	}
	c.window.recordLimitReached()
}

// chooseServer makes the controller the scheduler's serverChooser.
func (c *Controller) chooseServer(req *request) *server {
	return c.selector.choose(c.now, c.rng, c.rateFraction, req)
}

// startAttempt sends a request to a server. The first attempt is charged to its account.
func (c *Controller) startAttempt(req *request, srv *server) {
	req.plan.remove(req)
	var charged charge
	if req.attempts == 0 {
		charged = c.chargeFirstAttempt(req.account, req.units)
	}
	if req.repeatGroup == nil && req.hasIdempotencyKey() {
		req.firstRunAt = c.now
	}
	if srv.inFlight == 0 {
		srv.lastActivityAt = c.now
	}
	srv.slowStart.charge(c.countedUnits(req.units))
	srv.outlier.recordAttempt()
	c.recordAttemptStart(req, srv, charged)
	send := Send{ID: req.id, Server: srv.Server}
	// Guards against a connection that comes up when repeats run again.
	if req.mayHaveRun && req.hasIdempotencyKey() {
		send.WriteTimeout = req.repeatsDroppedUntil() - c.now
	}
	c.emit(send)
}

// handleStarted takes the start of a streamed answer. From then on its attempt occupies no slot, as its
// length says nothing of the server.
func (c *Controller) handleStarted(event ResponseStarted) {
	attempt := c.attempts[attemptKey{id: event.ID, number: event.Attempt}]
	if attempt == nil || attempt.request.isStreaming {
		return
	}
	attempt.request.isStreaming = true
	c.slots.streaming++
	c.recordAnswer(attempt, event.Delay)
}

// handleResponse takes the end of an attempt.
func (c *Controller) handleResponse(event AttemptResult) {
	attempt := c.recordAttemptEnd(attemptKey{id: event.ID, number: event.Attempt})
	if attempt == nil {
		return
	}
	req := attempt.request
	if event.Reason == NotSent {
		c.refundAttempt(attempt)
	} else {
		c.reserveFractionalSlot(attempt)
	}
	if event.QuotaUsage > 0 && c.settings.MeterPeriod > 0 {
		c.recordReading(attempt.account, event.QuotaUsage, req.units)
	}
	c.recordOutcome(attempt, event)
	if event.Load != nil && !event.Load.isPartial() {
		c.recordLoadReport(c.now, attempt.server, event.Load)
		c.window.recordUtilization(attempt.server.load.utilization)
	}
	switch {
	case c.requests[req.id] != req: // it has its final answer
	case event.IsFinal:
		c.removeRequest(req)
	case !req.isQueued && req.inFlight == 0:
		c.retryOrEnd(req, attempt, event.Reason)
	}
}

// reserveFractionalSlot keeps the slot of an attempt that ended from the next one for a time, where the
// concurrency limit or an in-flight quota has a fractional slot.
func (c *Controller) reserveFractionalSlot(attempt *pendingAttempt) {
	attempt.server.lastActivityAt = c.now
	c.limiter.pauseAfter(c.now, c.slots.occupied(c.now), c.fleet.latency.mean)
	if account := attempt.account; account.plan.MaxInFlight > 0 {
		account.inFlight.pauseAfter(c.now, attempt.sentAt)
	}
}

// refundAttempt returns what was charged for an attempt that was not sent.
func (c *Controller) refundAttempt(attempt *pendingAttempt) {
	attempt.server.slowStart.refund(c.countedUnits(attempt.request.units), attempt.sentAt)
	if attempt.charge.units > 0 {
		c.refund(attempt.account, attempt.charge)
	}
}

// recordOutcome updates server, window and request by how an attempt ended.
func (c *Controller) recordOutcome(attempt *pendingAttempt, event AttemptResult) {
	srv := attempt.server
	req := attempt.request
	elapsed := (c.now - attempt.sentAt).Seconds()
	srv.outlier.recordOutcome(c.now, event.Reason, req.plan)
	switch event.Reason {
	case OK:
		c.recordSuccess(attempt, event)
	case RejectedByServer:
		c.window.recordOverload()
	case TimedOut:
		if !req.isStreaming { // else it is the length of the stream
			srv.latency.add(c.now, elapsed)
		}
		c.window.recordOverload()
	}
	if event.Reason.mayStillRun() {
		runsFor := durationOf(math.Min(elapsed, maxAbandonedLatencies*c.fleet.latency.mean))
		c.slots.abandon(srv, c.now+runsFor)
	}
	if event.Reason.mayHaveRun() && !req.mayHaveRun {
		req.mayHaveRun = true
		req.firstRunAt = attempt.sentAt
		req.repeatGroup = srv
	}
}

// recordSuccess takes an attempt that the server answered.
func (c *Controller) recordSuccess(attempt *pendingAttempt, event AttemptResult) {
	req := attempt.request
	if !attempt.server.slowStart.isActive {
		c.window.recordServed(c.countedUnits(req.units))
	}
	if event.ActualUnits > 0 && c.settings.UnitsInResponse {
		c.refill(attempt.account)
		attempt.account.quota.tokens -= event.ActualUnits - req.units
	}
	if !req.isStreaming {
		c.recordAnswer(attempt, c.now-attempt.sentAt)
	}
}

// recordAnswer takes the latency of a successful answer, or of the start of a streamed one.
func (c *Controller) recordAnswer(attempt *pendingAttempt, elapsed time.Duration) {
	seconds := elapsed.Seconds()
	attempt.server.latency.add(c.now, seconds)
	objective := attempt.request.class.LatencyObjective.Seconds()
	c.window.recordAnswer()
	if c.rejectionProbability(attempt.account) == 0 {
		attempt.request.plan.recordLateness((c.now - attempt.request.arrivedAt).Seconds() / objective)
	}
	// Guards against a limit that is cut because servers are warming up: they are slow with little load.
	if attempt.server.slowStart.isActive {
		return
	}
	c.fleet.latency.add(math.Min(seconds, objective), fleetEstimateGain)
	c.window.recordLatency(seconds, objective)
}

// retryOrEnd retries a request if idempotency, the attempt limit, the retry budget and the deadline
// allow it, else ends it. An attempt that failed at once costs little of the budget. Guards against
// a storm of errors that uses it up while most servers still serve half of their requests.
func (c *Controller) retryOrEnd(req *request, attempt *pendingAttempt, reason Reason) {
	cost := retryCost(reason, c.now-attempt.sentAt, c.fleet.latency.mean)
	isAllowed := reason != NotSent && c.allowsAttempt(req) && req.isRepeatable(c.now)
	if !isAllowed || !c.retryBudget.covers(cost) {
		c.endUnserved(req, CauseNoRetry)
		return
	}
	c.retryBudget.spend(cost)
	req.plan.pushFront(req)
	// Guards against a retry that is queued beyond the client's deadline or its key's repeat window.
	until := req.lastRetryAt()
	if req.mayHaveRun && req.hasIdempotencyKey() {
		until = min(until, req.repeatsDroppedUntil())
	}
	c.armTimer(req, until-c.now)
}

// retryCost is what a retry costs of the budget, given how the attempt before it ended, how long it took,
// and the mean latency in seconds.
func retryCost(reason Reason, elapsed time.Duration, meanLatencySeconds float64) float64 {
	isFailure := reason == Errored || reason == ResetByPeer || reason == ConnectFailed
	if !isFailure {
		return 1
	}
	cost := elapsed.Seconds() / math.Max(meanLatencySeconds, epsilon)
	return math.Min(1, math.Max(minRetryCost, cost))
}

// allowsAttempt tells whether the deadline and the maximum number of attempts allow another one.
func (c *Controller) allowsAttempt(req *request) bool {
	if c.now >= req.lastRetryAt() {
		return false
	}
	return c.settings.MaxAttempts == 0 || req.attempts < c.settings.MaxAttempts
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
	if req.class.Idempotency == Idempotent {
		return true
	}
	if req.hasIdempotencyKey() && req.class.KeyScope == ScopeAll {
		return true
	}
	return !req.mayHaveRun && req.inFlight == 0
}

// earn adds what an admitted request brings.
func (b *retryBudget) earn() { b.retries = math.Min(maxRetryBudget, b.retries+retryBudgetPerRequest) }

func (b *retryBudget) covers(cost float64) bool { return b.retries >= cost }

func (b *retryBudget) spend(cost float64) { b.retries -= cost }
