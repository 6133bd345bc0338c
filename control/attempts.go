package control

import (
	"math"
	"time"
)

const maxAbandonedLatencies = 2.0 // maximum time an abandoned attempt is presumed to run, in mean latencies

// dispatch starts attempts of queued requests while the concurrency limit allows it.
func (c *Controller) dispatch() {
	for c.limiter.hasFreeSlot(c.now, c.requests.slots.occupied(c.now)) {
		req, srv := c.scheduler.nextRequest(c.now, c)
		if req == nil {
			return
		}
		c.startAttempt(req, srv)
	}
	c.window.recordLimitReached()
}

// chooseServer implements serverChooser for the scheduler.
func (c *Controller) chooseServer(req *request) *server {
	return c.selector.choose(c.now, c.rng, c.accounts.rateFraction, req)
}

// startAttempt sends a request to a server. Only the first attempt is charged to the customer's account.
func (c *Controller) startAttempt(req *request, srv *server) {
	req.plan.remove(req)
	var charged charge
	if req.attempts == 0 {
		c.refillAccount(req.account)
		charged = req.account.chargeFirstAttempt(req.units, c.currentBin())
	}
	if req.repeatGroup == nil && req.hasIdempotencyKey() {
		req.firstRunAt = c.now
	}
	srv.startAttempt(c.now, c.countedUnits(req.units))
	c.requests.startAttempt(c.now, req, srv, charged)
	send := Send{ID: req.id, Server: srv.Server}
	// A connection may be established only after the repeat window, when servers run repeats again.
	if req.mayHaveRun && req.hasIdempotencyKey() {
		send.WriteTimeout = req.repeatsDroppedUntil() - c.now
	}
	c.emit(send)
}

// handleResponseStarted handles the start of a streamed response. From then on its attempt occupies no slot,
// since the length of a stream says nothing about the server's load.
func (c *Controller) handleResponseStarted(event ResponseStarted) {
	attempt := c.requests.attempts[attemptKey{id: event.ID, number: event.Attempt}]
	if attempt == nil || attempt.request.isStreaming {
		return
	}
	c.requests.startStreaming(attempt.request)
	c.recordAnswer(attempt, event.Delay)
}

// handleAttemptResult handles the end of an attempt.
func (c *Controller) handleAttemptResult(event AttemptResult) {
	attempt := c.requests.endAttempt(attemptKey{id: event.ID, number: event.Attempt})
	if attempt == nil {
		return
	}
	req := attempt.request
	if event.Reason == NotSent {
		c.refundAttempt(attempt)
	} else {
		c.pauseFractionalSlots(attempt)
	}
	if event.QuotaUsage > 0 && c.settings.MeterPeriod > 0 {
		c.usage.recordReading(c.now, &c.accounts, attempt.account, event.QuotaUsage, req.units)
	}
	c.recordOutcome(attempt, event)
	if event.Load != nil && !event.Load.isPartial() {
		c.fleet.recordLoadReport(c.now, attempt.server, event.Load)
		c.window.recordUtilization(attempt.server.load.utilization)
	}
	switch {
	case !c.requests.contains(req): // it already has its final answer
	case event.IsFinal:
		c.requests.remove(req)
	case !req.isQueued && req.inFlight == 0:
		c.retryOrFinish(req, attempt, event.Reason)
	}
}

// pauseFractionalSlots delays the next attempt after one that ended, where the concurrency limit or an
// in-flight quota has a fractional slot.
func (c *Controller) pauseFractionalSlots(attempt *pendingAttempt) {
	attempt.server.lastActivityAt = c.now
	c.limiter.pauseAfter(c.now, c.requests.slots.occupied(c.now), c.fleet.latency.mean)
	if account := attempt.account; account.plan.MaxInFlight > 0 {
		account.inFlight.pauseAfter(c.now, attempt.sentAt)
	}
}

// refundAttempt refunds the charges of an attempt that was not sent.
func (c *Controller) refundAttempt(attempt *pendingAttempt) {
	attempt.server.slowStart.refund(c.countedUnits(attempt.request.units), attempt.sentAt)
	if attempt.charge.units > 0 {
		c.refillAccount(attempt.account)
		attempt.account.refund(attempt.charge)
	}
}

// recordOutcome updates the server, the control window and the request with the outcome of an attempt.
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
		if !req.isStreaming { // else elapsed is the length of the stream
			srv.latency.add(c.now, elapsed)
		}
		c.window.recordOverload()
	}
	if event.Reason.mayStillRun() {
		runsFor := durationOf(math.Min(elapsed, maxAbandonedLatencies*c.fleet.latency.mean))
		c.requests.slots.abandon(srv, c.now+runsFor)
	}
	if event.Reason.mayHaveRun() {
		req.recordPossibleRun(attempt.sentAt, srv)
	}
}

// recordSuccess records an attempt that the server answered successfully.
func (c *Controller) recordSuccess(attempt *pendingAttempt, event AttemptResult) {
	req := attempt.request
	if !attempt.server.isWarmingUp() {
		c.window.recordServed(c.countedUnits(req.units))
	}
	if event.ActualUnits > 0 && c.settings.UnitsInResponse {
		c.refillAccount(attempt.account)
		attempt.account.chargeActualUnits(event.ActualUnits, req.units)
	}
	if !req.isStreaming {
		c.recordAnswer(attempt, c.now-attempt.sentAt)
	}
}

// recordAnswer records the latency of a successful response, or of the start of a streamed one.
func (c *Controller) recordAnswer(attempt *pendingAttempt, elapsed time.Duration) {
	seconds := elapsed.Seconds()
	attempt.server.latency.add(c.now, seconds)
	objective := attempt.request.class.LatencyObjective.Seconds()
	c.window.recordAnswer()
	if attempt.account.rejectionProbability(c.now, c.accounts.refillStart) == 0 {
		attempt.request.plan.recordLateness((c.now - attempt.request.arrivedAt).Seconds() / objective)
	}
	// Warming servers are slow even at low load; their latency must not cut the concurrency limit.
	if attempt.server.isWarmingUp() {
		return
	}
	c.fleet.latency.add(math.Min(seconds, objective), fleetEstimateGain)
	c.window.recordLatency(seconds, objective)
}

// retryOrFinish retries a request if that is allowed, else gives its final answer.
func (c *Controller) retryOrFinish(req *request, attempt *pendingAttempt, reason Reason) {
	if !c.retries.allowRetry(c.now, req, reason, c.now-attempt.sentAt, c.fleet.latency.mean) {
		c.rejectOrFail(req, CauseNoRetry)
		return
	}
	req.plan.pushFront(req)
	c.armTimer(req, req.retryDeadline()-c.now)
}

// rejectOrFail gives the final answer to a request that was not served: a rejection if the client may safely
// repeat the request, else a failure.
func (c *Controller) rejectOrFail(req *request, cause Cause) {
	if req.isRejectable() {
		c.reject(req.id, cause)
	} else {
		c.emit(Fail{ID: req.id, Cause: cause})
	}
	c.requests.remove(req)
}
