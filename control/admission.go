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
	if c.requests[event.ID] != nil {
		return
	}
	class := c.classes[event.Class]
	plan := c.plansByName[event.Plan]
	if cause := unusableCause(event, class, plan); cause != CauseNone {
		c.reject(event.ID, cause)
		return
	}
	c.fleet.requestUnits.add(c.countedUnits(event.Units), fleetEstimateGain)
	account := c.accountFor(plan, event.Customer, event.FanOut)
	waited := c.clientWait(event, class)
	isLate := c.isExpectedLate(class, waited)
	if cause := c.admissionCause(account, class, event.Units, isLate); cause != CauseNone {
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
	c.requests[req.id] = req
	c.retryBudget.earn()
	plan.pushBack(req)
	c.armTimer(req, c.maxQueueTime(req))
}

// isExpectedLate tells whether the latency objective of a request whose client has waited for a time can
// not be met.
func (c *Controller) isExpectedLate(class *Class, waited time.Duration) bool {
	latency := durationOf(c.fleet.latency.mean)
	// Guards against rejecting all for good after one slow answer: with nothing in flight, an attempt has to
	// show whether servers still are slow.
	needsSample := latency >= class.LatencyObjective && c.slots.inFlight == 0
	if needsSample && waited < class.LatencyObjective {
		return false
	}
	return waited+latency >= class.LatencyObjective
}

// maxQueueTime is how long a new request may be queued: a part of its latency objective and of its
// client's timeout, and no longer than an answer can still meet the objective.
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

// unusableCause is why a request is rejected whatever the load; CauseNone is none.
func unusableCause(event Request, class *Class, plan *planQueue) Cause {
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

// clientWait is how long the client has waited, for earlier attempts of its own or for this gateway. A
// client's retry is marked, or has an outlier deadline. Guards against first attempts that seem late to
// a gateway that was stalled: they lack no more than its clock has advanced.
func (c *Controller) clientWait(event Request, class *Class) time.Duration {
	typical := c.typicalDeadlines[class]
	shortfall := typical.deadline - event.Timeout
	isOutlier := shortfall > max(c.clockAdvance, tickPeriod) || shortfall < -tickPeriod
	resemblesRetry := isOutlier && typical.support > 0
	isRetry := event.IsRetry || !c.settings.RetriesAreMarked && resemblesRetry
	if !event.IsRetry {
		typical.observe(event.Timeout, isOutlier)
	}
	if !isRetry {
		return min(max(shortfall, 0), c.clockAdvance)
	}
	elapsed := class.Deadline - event.Timeout
	if !isOutlier { // its deadline is that of a first attempt
		return min(c.minRetryGap, elapsed)
	}
	c.minRetryGap = min(c.minRetryGap, elapsed)
	return elapsed
}

// countedUnits are a request's units in estimates over all customers. Guards against a client that names
// any number where the settings have no maximum.
func (c *Controller) countedUnits(units float64) float64 {
	if c.settings.MaxUnits == 0 {
		return 1
	}
	return units
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
		account = c.openAccount(plan, fanOut)
		c.accounts[key] = account
	}
	account.fanOut = math.Max(account.fanOut, float64(fanOut))
	c.refill(account)
	return account
}

// openAccount returns the account of a customer that has none.
func (c *Controller) openAccount(plan *planQueue, fanOut int) *customerAccount {
	account := &customerAccount{plan: plan, fanOut: math.Max(1, float64(fanOut)), updatedAt: c.now}
	account.admissionRemainder = c.rng.Float64()
	account.quota.tokens = c.rateFraction * plan.QuotaBurst
	account.usage.rate = initialUsageFraction * plan.QuotaRate
	// A gateway just started does not know what its predecessor has forwarded: the hard limit's
	// bucket begins with the slack only and fills from the gateway's start.
	filled := c.slackFraction*plan.HardLimitSlack + (c.now-c.fillingSince).Seconds()*plan.HardLimitRate
	account.hardLimit.tokens = c.rateFraction * math.Min(plan.HardLimitBurst, filled) / account.fanOut
	account.inFlight.limit = float64(plan.MaxInFlight) / account.fanOut
	return account
}

// refill brings an account up to now. Remote usage is charged as if it went on after its reading.
func (c *Controller) refill(account *customerAccount) {
	plan := account.plan
	elapsed := (c.now - account.updatedAt).Seconds()
	account.updatedAt = c.now
	account.history.advance(c.currentBin())
	remoteUnits := account.usage.remoteUnits(c.now, elapsed)
	account.history.charged.add(remoteUnits)
	account.quota.refill(c.rateFraction*(elapsed*plan.QuotaRate-remoteUnits), c.rateFraction*plan.QuotaBurst)
	hardLimitUnits := c.rateFraction * elapsed * plan.HardLimitRate / account.fanOut
	account.hardLimit.refill(hardLimitUnits, c.rateFraction*plan.HardLimitBurst/account.fanOut)
}

// admissionCause decides on a request at its arrival; CauseNone admits it.
func (c *Controller) admissionCause(
	account *customerAccount, class *Class, units float64, isLate bool,
) Cause {
	account.history.arrivals.add(1)
	account.demand.addRequest(c.now, units)
	// Guards against requests that can only be late, or whose class weighs far less than the most
	// important one, taking the tokens or the turn of others.
	isSheddable := isLate || class.PriorityWeight < sheddableWeightRatio*c.maxPriorityWeight
	isScarce := c.isTurnScarce(class) || account.isQuotaScarce()
	var cause Cause
	switch {
	case isLate && !account.demand.isWellMetered(c.now, c.fillingSince):
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

// isTurnScarce tells whether a sheddable request of a class would take a turn that others need.
func (c *Controller) isTurnScarce(class *Class) bool {
	if c.limiter.hasFreeSlot(c.now, c.slots.occupied(c.now)) {
		return false
	}
	maxTurnTime := sheddableTurnFraction * class.LatencyObjective.Seconds()
	return c.expectedTurnTime() > maxTurnTime
}

// isQuotaScarce tells whether a sheddable request would take tokens that others need.
func (a *customerAccount) isQuotaScarce() bool {
	if a.plan.QuotaRate == 0 {
		return false
	}
	return a.quota.tokens-a.queuedUnits < spareTokensFraction*a.plan.QuotaBurst
}

// expectedTurnTime is the time in seconds that a request that joins the queues now waits and occupies
// its slot. Guards against rejecting what fast servers finish at once, only as the limit is reached.
func (c *Controller) expectedTurnTime() float64 {
	queued := c.countQueued()
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
	groupUnits := units * factor
	before := account.quota.tokens
	account.quota.tokens = math.Max(-account.plan.QuotaBurst, before-groupUnits)
	account.history.sent.add(units)
	account.history.charged.add(groupUnits)
	return charge{
		units:       units,
		groupUnits:  groupUnits,
		quotaTokens: before - account.quota.tokens,
		bin:         c.currentBin(),
	}
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
		if account.isIdleFor(maxAccountIdleTime, c.now) && c.hasFullBuckets(account) {
			delete(c.accounts, key)
		}
	}
	maxIdle := maxAccountIdleTime
	for len(c.accounts) > maxAccounts/2 && maxIdle > windowDuration {
		maxIdle /= 2
		c.fillingSince = max(c.fillingSince, c.now-maxIdle)
		c.slackFraction = 0 // each has had its slack
		for key, account := range c.accounts {
			if account.isIdleFor(maxIdle, c.now) {
				delete(c.accounts, key)
			}
		}
	}
}

// hasFullBuckets tells whether the buckets of an idle account would be full if they were refilled now.
func (c *Controller) hasFullBuckets(account *customerAccount) bool {
	plan := account.plan
	if plan.MaxInFlight > 0 { // its limit is learned
		return false
	}
	elapsed := (c.now - account.updatedAt).Seconds()
	quotaTokens := account.quota.tokens + elapsed*(plan.QuotaRate-account.usage.currentRemoteRate(c.now))
	hardLimitTokens := account.hardLimit.tokens + elapsed*plan.HardLimitRate/account.fanOut
	isQuotaFull := plan.QuotaRate == 0 || quotaTokens >= plan.QuotaBurst
	isHardLimitFull := plan.HardLimitRate == 0 || hardLimitTokens >= plan.HardLimitBurst/account.fanOut
	return isQuotaFull && isHardLimitFull
}
