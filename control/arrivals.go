package control

import "time"

const (
	rejectRetryAfter          = time.Second // maximum Retry-After of a rejection
	queueWaitFraction         = 0.4         // maximum queue time as a fraction of the latency objective
	inFlightQuotaWaitFraction = 0.7         // the same for plans with an in-flight quota
)

// handleRequest admits a request to the queue of its plan, or rejects it.
func (c *Controller) handleRequest(event Request) {
	if c.requests.byID[event.ID] != nil {
		return
	}
	class := c.classes[event.Class]
	plan := c.scheduler.plansByName[event.Plan]
	if cause := earlyRejectionCause(event, class, plan); cause != CauseNone {
		c.reject(event.ID, cause)
		return
	}
	c.fleet.requestUnits.add(c.countedUnits(event.Units), fleetEstimateGain)
	account := c.accountFor(plan, event.Customer, event.FanOut)
	if account == nil {
		c.reject(event.ID, CauseOverCapacity)
		return
	}
	waited := c.clientWaits.estimate(event, class, c.clockAdvance)
	cause := c.admission.admit(c.now, c.accounts.refillStart, account, admissionRequest{
		class:  class,
		units:  event.Units,
		isLate: c.isExpectedLate(class, waited),
		queue:  c.estimateQueue(),

		handedOver: 1 - c.accounts.rateFraction,
	})
	if cause != CauseNone {
		c.reject(event.ID, cause)
		return
	}
	req := &request{
		id:          event.ID,
		class:       class,
		plan:        plan,
		account:     account,
		units:       event.Units,
		arrivedAt:   c.now,
		objectiveAt: c.now + class.LatencyObjective - waited,
		deadline:    c.now + event.Timeout,
		isStreaming: event.HasPendingBody,
	}
	c.requests.add(req)
	c.retries.budget.earn()
	plan.pushBack(req)
	c.armTimer(req, c.maxQueueTime(req))
}

// isExpectedLate reports whether the latency objective of a request can not be met, given how long its client
// has already waited.
func (c *Controller) isExpectedLate(class *Class, waited time.Duration) bool {
	latency := durationOf(c.fleet.latency.mean)
	// After one slow answer all requests would be rejected for good. With nothing in flight, a request is
	// admitted in order to measure whether the servers are still slow.
	needsSample := latency >= class.LatencyObjective && c.requests.slots.inFlight == 0
	if needsSample && waited < class.LatencyObjective {
		return false
	}
	return waited+latency >= class.LatencyObjective
}

// maxQueueTime returns how long a new request may be queued: at most a fraction of its latency objective and
// half of its client's timeout, and only while an answer can still meet the objective.
func (c *Controller) maxQueueTime(req *request) time.Duration {
	fraction := queueWaitFraction
	if req.plan.MaxInFlight > 0 {
		fraction = inFlightQuotaWaitFraction
	}
	maxWait := time.Duration(fraction * float64(req.class.LatencyObjective))
	slack := req.objectiveAt - c.now - durationOf(c.fleet.latency.mean)
	timeout := req.deadline - c.now
	return min(maxWait, timeout/2, max(slack, tickPeriod))
}

// earlyRejectionCause returns the cause for which a request is rejected regardless of the load; CauseNone if
// there is none.
func earlyRejectionCause(event Request, class *Class, plan *planQueue) Cause {
	switch {
	case event.IsOverCapacity:
		return CauseOverCapacity
	case event.IsOverHardLimit:
		return CauseHardLimit
	case class == nil || plan == nil:
		return CauseInvalid
	case !(event.Units >= 0): // also NaN
		return CauseInvalid
	case event.Timeout <= 0:
		return CauseInvalid
	}
	return CauseNone
}

// estimateQueue returns the expected delay of a request that is queued now. It includes the time, so that
// requests which fast servers would finish at once are not shed merely because the limit is reached.
func (c *Controller) estimateQueue() queueEstimate {
	return queueEstimate{
		hasFreeSlot:    c.limiter.hasFreeSlot(c.now, c.requests.slots.occupied(c.now)),
		sojournSeconds: c.limiter.expectedSojournSeconds(c.scheduler.countQueued(), c.fleet.latency.mean),
	}
}

// countedUnits returns a request's units as they count in estimates over all customers. Where the settings
// have no maximum, every request counts as one unit, since a client could name any number.
func (c *Controller) countedUnits(units float64) float64 {
	if c.settings.MaxUnits == 0 {
		return 1
	}
	return units
}

func (c *Controller) reject(id string, cause Cause) {
	c.emit(Reject{ID: id, RetryAfter: min(rejectRetryAfter, c.settings.MaxRetryAfter), Cause: cause})
}
