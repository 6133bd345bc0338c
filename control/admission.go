package control

import (
	"math"
	"time"
)

const (
	maxRejectionProbability   = 0.95        // of the metered rule
	wellFilledFraction        = 0.08        // filling from which the quota's bucket alone admits
	spareTokensFraction       = 0.5         // filling that sheddable requests must leave
	sheddableWeightRatio      = 0.5         // part of the highest weight below which a class is sheddable
	sheddableTurnFraction     = 0.05        // part of its latency objective that a sheddable request may queue
	minTokensPerUnit          = 0.5         // tokens needed to admit a unit
	queueWaitFraction         = 0.4         // part of its latency objective that a request may be queued
	inFlightQuotaWaitFraction = 0.7         // the same for plans with an in-flight quota
	maxAccountIdleTime        = time.Minute // after which an idle account with full buckets is evicted
	maxAccounts               = 20000       // above half of it, eviction starts earlier
)

// handleRequest admits a request to the queue of its plan, or rejects it.
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
	c.retryBudget.earn()
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
	} else if !isOutlier { // its deadline is that of a first attempt
		return min(c.minRetryGap, class.Deadline-event.Timeout)
	}
	c.minRetryGap = min(c.minRetryGap, class.Deadline-event.Timeout)
	return class.Deadline - event.Timeout
}

func (c *Controller) reject(id string, cause Cause) {
	c.emit(Reject{ID: id, RetryAfter: min(rejectRetryAfter, c.settings.MaxRetryAfter), Cause: cause})
}

// tokenBucket holds the units that a quota or a hard limit still allows. Below zero it is in debt.
type tokenBucket struct{ tokens float64 }

// refill adds an amount up to the capacity; what a bucket holds above its capacity it keeps.
func (b *tokenBucket) refill(amount, capacity float64) {
	b.tokens = math.Min(math.Max(b.tokens, capacity), b.tokens+amount)
}

// accountFor returns the refilled account of a plan's customer, opened at its first request.
func (c *Controller) accountFor(plan *planQueue, customer string, fanOut int) *customerAccount {
	key := accountKey(plan.Name, customer)
	account := c.accounts[key]
	if account == nil {
		account = &customerAccount{plan: plan, fanOut: math.Max(1, float64(fanOut)), updatedAt: c.now}
		account.admissionRemainder = c.rng.Float64()
		account.quota.tokens = c.rateFraction * plan.QuotaBurst
		account.usage.rate = initialUsageFraction * plan.QuotaRate
		// A gateway just started does not know what its predecessor has forwarded: the hard limit's
		// bucket begins with the slack only and fills from the gateway's start.
		filled := c.slackFraction*plan.HardLimitSlack + (c.now-c.fillingSince).Seconds()*plan.HardLimitRate
		account.hardLimit.tokens = c.rateFraction * math.Min(plan.HardLimitBurst, filled) / account.fanOut
		account.inFlight.limit = float64(plan.MaxInFlight) / account.fanOut
		c.accounts[key] = account
	}
	account.fanOut = math.Max(account.fanOut, float64(fanOut))
	c.refill(account)
	return account
}

// refill brings an account up to now. Remote usage is charged as if it went on after its reading.
func (c *Controller) refill(account *customerAccount) {
	plan, elapsed := account.plan, (c.now - account.updatedAt).Seconds()
	account.updatedAt = c.now
	account.history.advance(c.currentBin())
	remoteUnits := account.usage.remoteUnits(c.now, elapsed)
	account.history.charged.add(remoteUnits)
	account.quota.refill(c.rateFraction*(elapsed*plan.QuotaRate-remoteUnits), c.rateFraction*plan.QuotaBurst)
	hardLimitUnits := c.rateFraction * elapsed * plan.HardLimitRate / account.fanOut
	account.hardLimit.refill(hardLimitUnits, c.rateFraction*plan.HardLimitBurst/account.fanOut)
}

// admissionCause decides on a request at its arrival; CauseNone admits it.
func (c *Controller) admissionCause(account *customerAccount, class *Class, units float64, late bool) Cause {
	plan := account.plan
	account.history.arrivals.add(1)
	account.demand.addRequest(c.now, units)
	// Guards against requests that can only be late, or whose class weighs far less than the most
	// important one, taking the tokens or the turn of others.
	isSheddable := late || class.PriorityWeight < sheddableWeightRatio*c.maxPriorityWeight
	maxTurnTime := sheddableTurnFraction * class.LatencyObjective.Seconds()
	isScarce := !c.limiter.hasFreeSlot(c.now, c.slots.occupied(c.now)) && c.expectedTurnTime() > maxTurnTime ||
		plan.QuotaRate > 0 && account.quota.tokens-account.queuedUnits < spareTokensFraction*plan.QuotaBurst
	var cause Cause
	switch {
	case late && !account.demand.isWellMetered(c.now, c.fillingSince):
		cause = CauseTooLate
	case isSheddable && isScarce:
		cause = CauseShed
	default:
		cause = c.quotaCause(account, units)
	}
	if cause != CauseNone {
		account.history.rejections.add(1)
	}
	return cause
}

// expectedTurnTime is the time in seconds that a request that joins the queues now waits and occupies
// its slot. Guards against rejecting what fast servers finish at once, only as the limit is reached.
func (c *Controller) expectedTurnTime() float64 {
	queued := 0
	for _, plan := range c.plans {
		queued += len(plan.queue)
	}
	return c.fleet.latency.mean * (1 + float64(queued+1)/math.Max(1, c.limiter.limit))
}

// quotaCause checks a request against the hard limit, the quota's bucket and the rejection probability.
// The last decides unless the bucket is empty (a surge not metered yet), or well filled and well metered.
func (c *Controller) quotaCause(account *customerAccount, units float64) Cause {
	plan := account.plan
	if plan.HardLimitRate > 0 && account.hardLimit.tokens-account.queuedUnits < units {
		return CauseHardLimit
	}
	if plan.QuotaRate > 0 {
		available := account.quota.tokens - account.queuedUnits
		isFilled := available >= math.Max(wellFilledFraction*plan.QuotaBurst, units)
		if isFilled && account.demand.isWellMetered(c.now, c.fillingSince) {
			return CauseNone
		}
		if available < minTokensPerUnit*units {
			return CauseQuota
		}
	}
	// Error diffusion makes the probability exact over few requests.
	account.admissionRemainder += 1 - c.rejectionProbability(account)
	if account.admissionRemainder >= 1 {
		account.admissionRemainder--
		return CauseNone
	}
	return CauseProbability
}

// rejectionProbability is the part of an account's requests that the metered rule rejects now.
func (c *Controller) rejectionProbability(account *customerAccount) float64 {
	switch plan := account.plan; {
	case !account.demand.isMetered:
		return plan.unmeteredRejectionProbability(account.fanOut)
	case plan.QuotaRate == 0:
		return account.inFlight.rejectionProbability
	default:
		return account.demand.rejectionProbability(c.now, c.fillingSince, account.fanOut, &plan.Plan)
	}
}

// chargeFirstAttempt takes the units of a request's first attempt from the buckets of its account.
func (c *Controller) chargeFirstAttempt(account *customerAccount, units float64) charge {
	c.refill(account)
	account.hardLimit.tokens -= units
	factor := account.usage.groupFactor(account.fanOut, account.plan.QuotaRate, account.demand.isMetered)
	groupUnits, before := units*factor, account.quota.tokens
	account.quota.tokens = math.Max(-account.plan.QuotaBurst, before-groupUnits)
	account.history.sent.add(units)
	account.history.charged.add(groupUnits)
	return charge{units, groupUnits, before - account.quota.tokens, c.currentBin()}
}

// refund undoes the charge of an attempt that was not sent to any server.
func (c *Controller) refund(account *customerAccount, charged charge) {
	c.refill(account)
	account.hardLimit.tokens += charged.units
	account.quota.tokens += charged.quotaTokens
	account.history.sent.subtract(charged.bin, charged.units)
	account.history.charged.subtract(charged.bin, charged.groupUnits)
}

// evictIdleAccounts removes accounts that have been idle for long and equal new ones, and if there are
// many, all idle ones sooner. Hard limits stay safe: buckets of later accounts fill from that time on.
func (c *Controller) evictIdleAccounts() {
	for key, account := range c.accounts {
		if c.now-account.updatedAt > maxAccountIdleTime && account.isIdle() && c.hasFullBuckets(account) {
			delete(c.accounts, key)
		}
	}
	maxIdle := maxAccountIdleTime
	for len(c.accounts) > maxAccounts/2 && maxIdle > windowDuration {
		maxIdle /= 2
		c.fillingSince, c.slackFraction = max(c.fillingSince, c.now-maxIdle), 0 // each has had its slack
		for key, account := range c.accounts {
			if c.now-account.updatedAt > maxIdle && account.isIdle() {
				delete(c.accounts, key)
			}
		}
	}
}

// hasFullBuckets tells whether the buckets of an idle account would be full if they were refilled now.
func (c *Controller) hasFullBuckets(account *customerAccount) bool {
	plan, elapsed := account.plan, (c.now - account.updatedAt).Seconds()
	quotaTokens := account.quota.tokens + elapsed*(plan.QuotaRate-account.usage.currentRemoteRate(c.now))
	hardLimitTokens := account.hardLimit.tokens + elapsed*plan.HardLimitRate/account.fanOut
	return plan.MaxInFlight == 0 && (plan.QuotaRate == 0 || quotaTokens >= plan.QuotaBurst) &&
		(plan.HardLimitRate == 0 || hardLimitTokens >= plan.HardLimitBurst/account.fanOut)
}
