package control

import (
	"math"
	"time"
)

// Tuned constants of quotas and hard limits.
const (
	maxRejectionProbability = 0.95        // of the metered rule
	maxMeterLagBins         = 66          // delays of readings that are considered
	misfitDecay             = 0.99        // part of a delay's misfit that stays at each reading
	missingSendsWeight      = 0.5         // weight of usage without sends against sends without usage
	misfitSwitchRatio       = 0.8         // another delay's misfit must be below this part of the present one's
	binsPerPeriod           = 10          // bins in a meter period
	localUsageDecay         = 0.85        // part of the local and total usage that stays at each reading
	localUsagePriorRequests = 3.0         // weight, in requests, of the prior that usage is spread evenly
	minLocalFraction        = 0.05        // of a customer's usage
	initialUsageFraction    = 0.3         // part of its rate that an unmetered customer is assumed to use
	usageRateDecay          = 0.8         // part of the smoothed usage rate that stays at each reading
	surgeShape              = 0.5         // shape of the prior of remote usage: small trusts local surges more
	remoteRateDecaySeconds  = 4.0         // time constant with which a reading's remote rate decays
	unmeteredSeconds        = 2.0         // of usage that readings do not cover yet
	wellFilledFraction      = 0.08        // filling from which the quota's bucket alone admits
	spareTokensFraction     = 0.5         // filling that sheddable requests must leave
	sheddableWeightRatio    = 0.5         // part of the highest priority weight below which a class is sheddable
	sheddableTurnFraction   = 0.05        // part of its latency objective that a sheddable request may queue
	minTokensPerUnit        = 0.5         // tokens needed to admit a unit
	minInFlightLimitFactor  = 0.85        // of an in-flight limit, at one reading
	readingWindowUnits      = 8.0         // units of quota over which readings are averaged
	demandPriorShape        = 0.5         // shape of the prior of a customer's demand
	demandPriorMean         = 0.8         // and its mean, as a part of the quota's rate
	burstAllowanceFraction  = 0.5         // part of the burst granted over readingDecaySeconds
	readingDecaySeconds     = 20.0        // time constant with which readings decay
	planReadingWindow       = 30.0        // first readings over which a plan's estimate is averaged
	minMeteredFraction      = 0.5         // part of the recent periods that must have been read
	maxAccountIdleTime      = time.Minute // after which an idle account with full buckets is evicted
	maxAccounts             = 20000       // above half of it, eviction starts earlier
)

func (c *Controller) accountFor(plan *planQueue, customer string, fanOut int) *customerAccount {
	key := plan.Name + " " + customer
	account := c.accounts[key]
	if account == nil {
		account = &customerAccount{plan: plan, updatedAt: c.now, quotaTokens: c.rateFraction * plan.QuotaBurst}
		account.usageRate = initialUsageFraction * plan.QuotaRate
		account.fanOut, account.admissionRemainder = math.Max(1, float64(fanOut)), c.rng.Float64()
		// A gateway just started does not know what its former self has passed on: the
		// ceiling's store begins with the slack only and fills from the gateway's start, to what it holds.
		filled := c.slackFraction*plan.HardLimitSlack + (c.now-c.fillingSince).Seconds()*plan.HardLimitRate
		account.hardLimitTokens = c.rateFraction * math.Min(plan.HardLimitBurst, filled) / account.fanOut
		account.inFlightLimit = float64(plan.MaxInFlight) / account.fanOut
		c.accounts[key] = account
	}
	account.fanOut = math.Max(account.fanOut, float64(fanOut))
	c.refill(account)
	return account
}

// refill fills a customer's stores up to now. Use elsewhere that was told is charged as if it
// went on, and less so as the reading ages.
func (c *Controller) refill(account *customerAccount) {
	elapsed := (c.now - account.updatedAt).Seconds()
	account.updatedAt = c.now
	c.advanceHistories(account)
	remoteUnits := elapsed * account.remoteRate * decayFactor(c.now-account.remoteRateAt, remoteRateDecaySeconds)
	account.charged.add(remoteUnits)
	burst := math.Max(account.quotaTokens, c.rateFraction*account.plan.QuotaBurst)
	refilled := c.rateFraction * (elapsed*account.plan.QuotaRate - remoteUnits)
	account.quotaTokens = math.Min(burst, account.quotaTokens+refilled)
	capacity := math.Max(account.hardLimitTokens, c.rateFraction*account.plan.HardLimitBurst/account.fanOut)
	refilled = c.rateFraction * elapsed * account.plan.HardLimitRate / account.fanOut
	account.hardLimitTokens = math.Min(capacity, account.hardLimitTokens+refilled)
}

// localFraction is the learned part of a customer's use that comes through this gateway.
func (q *customerAccount) localFraction() float64 {
	local := (localUsagePriorRequests/q.fanOut + q.localUnits) / (localUsagePriorRequests + q.totalUnits)
	return math.Min(1, math.Max(minLocalFraction, local))
}

// groupUsageFactor is what the whole group is taken to have sent for a unit sent here.
func (c *Controller) groupUsageFactor(account *customerAccount) float64 {
	local := account.localFraction()
	if !account.isMetered { // the design's rule for a customer not yet metered
		return 1 / local
	}
	// The part that refill charges already.
	covered := math.Min(1, account.remoteRate/math.Max(account.plan.QuotaRate, account.remoteRate+epsilon))
	prior := surgeShape / math.Max(account.usageRate*unmeteredSeconds, surgeShape/10)
	return 1 + (1-covered)*(1-local)/(local+prior)
}

// admissionCause is the quota's decision on a request at its arrival: why not, or Unsaid where it is let in.
func (c *Controller) admissionCause(account *customerAccount, class *Class, units float64, late bool) Cause {
	plan := account.plan
	account.arrivals.add(1)
	account.requestedUnits *= decayFactor(c.now-account.requestedAt, readingDecaySeconds)
	account.requestedUnits += units
	account.requestedAt = c.now
	// Guards against tries that can only be late, or of a class worth far less than the dearest,
	// taking the units or the turn of others.
	isSheddable := late || class.PriorityWeight < sheddableWeightRatio*c.maxPriorityWeight
	maxTurnTime := sheddableTurnFraction * class.LatencyObjective.Seconds()
	isScarce := !c.hasFreeSlot() && c.expectedTurnTime() > maxTurnTime ||
		plan.QuotaRate > 0 && account.quotaTokens-account.queuedUnits < spareTokensFraction*plan.QuotaBurst
	var cause Cause
	switch {
	case late && !c.isWellMetered(account):
		cause = CauseTooLate
	case isSheddable && isScarce:
		cause = CauseShed
	default:
		cause = c.quotaCause(account, units)
	}
	if cause != CauseNone {
		account.rejections.add(1)
	}
	return cause
}

// expectedTurnTime is how long, in s, a try that joins the queues now is taken to wait and to hold its
// place: by so much it sets back dearer work that comes meanwhile. Guards against refusing what
// fast servers would be done with in no time, only because the bound is full at that moment.
func (c *Controller) expectedTurnTime() float64 {
	queued := 0
	for _, plan := range c.plans {
		queued += len(plan.queue)
	}
	return c.fleetLatency * (1 + float64(queued+1)/math.Max(1, c.concurrencyLimit))
}

// quotaCause holds a try against the ceiling, the store and the chance. The metered chance decides
// where the store is not empty (a surge not told yet), nor well filled and told of most periods.
func (c *Controller) quotaCause(account *customerAccount, units float64) Cause {
	plan := account.plan
	if plan.HardLimitRate > 0 && account.hardLimitTokens-account.queuedUnits < units {
		return CauseHardLimit
	}
	if plan.QuotaRate > 0 {
		available := account.quotaTokens - account.queuedUnits
		if available >= math.Max(wellFilledFraction*plan.QuotaBurst, units) && c.isWellMetered(account) {
			return CauseNone
		}
		if available < minTokensPerUnit*units {
			return CauseQuota
		}
	}
	// The chance is drawn by carrying its remainder on, which keeps it exact over few tries.
	if account.admissionRemainder += 1 - c.rejectionProbability(account); account.admissionRemainder >= 1 {
		account.admissionRemainder--
		return CauseNone
	}
	return CauseProbability
}

// isWellMetered tells whether most periods of a customer's use are told here, of those that could have
// been since this gateway started.
func (c *Controller) isWellMetered(account *customerAccount) bool {
	possibleSeconds := readingDecaySeconds * (1 - decayFactor(c.now-c.fillingSince, readingDecaySeconds))
	meteredSeconds := account.meteredSeconds * decayFactor(c.now-account.readingAt, readingDecaySeconds)
	return meteredSeconds > minMeteredFraction*possibleSeconds
}

// rejectionProbability is the chance of refusal, 1-(1-d')*100/p with p over the latest readings that amount
// to some units and over own tries. Guards against readings of few requests, which are noise, and
// against old ones where few periods are told: both count less against a prior of the demand.
func (c *Controller) rejectionProbability(account *customerAccount) float64 {
	rate := account.plan.QuotaRate
	// Guards against customers that ask far more than their quota, let in as unseen by one gateway after the
	// other: one not metered here is refused as much as of its plan's use lies beyond quotas.
	if !account.isMetered {
		remoteFraction, plan := 1-1/account.fanOut, account.plan
		excess := remoteFraction * plan.firstReadingExcess / math.Max(plan.firstReadingUsage, epsilon)
		return math.Min(maxRejectionProbability, excess)
	} else if rate == 0 {
		return account.openRejectionProbability
	}
	decay := decayFactor(c.now-account.readingAt, readingDecaySeconds)
	requested := account.requestedUnits * decayFactor(c.now-account.requestedAt, readingDecaySeconds)
	observedSeconds := math.Min(readingDecaySeconds, (c.now-c.fillingSince).Seconds()) / account.fanOut
	units := demandPriorShape + decay*account.meteredUnits + requested
	demand := units / (demandPriorShape/(demandPriorMean*rate) + decay*account.demandSeconds + observedSeconds)
	allowed := rate + burstAllowanceFraction*account.plan.QuotaBurst/readingDecaySeconds
	return math.Min(maxRejectionProbability, math.Max(0, 1-allowed/demand))
}

// chargeFirstAttempt takes a request's first send from the customer's stores, and tells what that was.
func (c *Controller) chargeFirstAttempt(account *customerAccount, units float64) charge {
	c.refill(account)
	account.hardLimitTokens -= units
	groupUnits := units * c.groupUsageFactor(account)
	before := account.quotaTokens
	account.quotaTokens = math.Max(-account.plan.QuotaBurst, before-groupUnits)
	account.sent.add(units)
	account.charged.add(groupUnits)
	return charge{units, groupUnits, before - account.quotaTokens, c.currentBin()}
}

// refund undoes draw for a send that nobody was asked for.
func (c *Controller) refund(account *customerAccount, charged charge) {
	c.refill(account)
	account.hardLimitTokens += charged.units
	account.quotaTokens += charged.quotaTokens
	account.sent.subtract(charged.bin, charged.units)
	account.charged.subtract(charged.bin, charged.groupUnits)
}

// recordReading reads the told use of a customer, once for each period. The chance d'
// is what was in force while that period was metered, whoever decided it then.
func (c *Controller) recordReading(account *customerAccount, reading int, units float64) {
	c.refill(account)
	percent := float64(reading - 1)
	usedUnits := percent / 100 * account.plan.QuotaRate * c.settings.MeterPeriod.Seconds()
	if account.plan.QuotaRate > 0 {
		c.meter.fit(account, usedUnits, units, account.localFraction(), c.currentBin())
	}
	end := c.meter.periodEndBin(c.currentBin())
	if account.isMetered && end < account.readingEndBin+binsPerPeriod/2 {
		return
	}
	// Only the first reading counts: it tells of those who come unseen, whatever is refused to others. One
	// request above a quota is not beyond: in a small one a single request may be.
	if plan := account.plan; !account.isMetered {
		requestFraction := units / (plan.QuotaRate * c.settings.MeterPeriod.Seconds())
		if plan.QuotaRate == 0 {
			requestFraction = 1 / float64(plan.MaxInFlight)
		}
		plan.firstReadingUsage += (percent/100 - plan.firstReadingUsage) / planReadingWindow
		excess := math.Max(0, percent/100-1-requestFraction)
		plan.firstReadingExcess += (excess - plan.firstReadingExcess) / planReadingWindow
	}
	account.isMetered, account.readingEndBin = true, end
	localUnits, chargedUnits := account.sent.periodSum(end), account.charged.periodSum(end)
	arrivals, rejectedFraction := account.arrivals.periodSum(end), c.rejectionProbability(account)
	if arrivals > 0 {
		rejectedFraction = account.rejections.periodSum(end) / arrivals
	}
	period := c.settings.MeterPeriod.Seconds()
	decay := decayFactor(c.now-account.readingAt, readingDecaySeconds)
	account.meteredSeconds = account.meteredSeconds*decay + period
	decay *= math.Exp(-account.plan.QuotaRate * period / readingWindowUnits)
	account.meteredUnits = account.meteredUnits*decay + usedUnits
	account.demandSeconds = account.demandSeconds*decay + (1-rejectedFraction)*period
	account.readingAt = c.now
	if account.plan.QuotaRate == 0 {
		c.adjustInFlightLimit(account, percent, rejectedFraction, arrivals)
		return
	}
	account.localUnits = account.localUnits*localUsageDecay + math.Min(localUnits, usedUnits)
	account.totalUnits = account.totalUnits*localUsageDecay + usedUnits
	// Guards against periods that no answer told of, where a customer comes through many
	// gateways: the lower of the last two readings is taken to go on elsewhere.
	lowerRate := math.Min(usedUnits, account.lastReadingUnits) / period
	account.remoteRate = (1 - account.localFraction()) * math.Min(lowerRate, account.plan.QuotaRate)
	account.remoteRateAt, account.lastReadingUnits = c.now, usedUnits
	account.usageRate += (1 - usageRateDecay) * (usedUnits/period - account.usageRate)
	corrected := account.quotaTokens + c.rateFraction*(chargedUnits-usedUnits)
	corrected = math.Max(-account.plan.QuotaBurst/2, corrected)
	account.quotaTokens = math.Min(c.rateFraction*account.plan.QuotaBurst, corrected)
}

// fit finds when the meter's periods end and how late they are told: the pair under
// which this gateway's own sends fit best with what is told. Guards against a period
// read many times or matched with another's sends; holds for late reports of any cause.
func (m *meterClock) fit(account *customerAccount, used, units, part float64, now int64) {
	minMisfit, bestPhase, bestLag := math.Inf(1), int64(0), int64(0)
	sent := account.sent.window()
	for phase := int64(0); phase < binsPerPeriod; phase++ {
		periodEnd := latestBinAtPhase(now, phase)
		for lag := int64(0); lag < maxMeterLagBins; lag++ {
			own := sent.periodSum(periodEnd - lag)
			miss := math.Max(0, own-used) + missingSendsWeight*math.Max(0, part*used-own)
			misfit := &m.miss[phase][lag]
			if *misfit = *misfit*misfitDecay + miss/(units+used+own); *misfit < minMisfit {
				minMisfit, bestPhase, bestLag = *misfit, phase, lag
			}
		}
	}
	if minMisfit < misfitSwitchRatio*m.miss[m.phaseBin][m.lagBins] {
		m.phaseBin, m.lagBins = bestPhase, bestLag
	}
}

// adjustInFlightLimit moves this gateway's part of an open quota by the told maximum. A part
// below one is kept by a pause after each attempt; see onResponse. The chance comes last.
func (c *Controller) adjustInFlightLimit(account *customerAccount, percent, rejected, arrivals float64) {
	if account.inFlightLimit > account.minInFlightLimit() {
		account.openRejectionProbability = 0
	} else if arrivals > 0 || percent <= 100 {
		probability := math.Max(0, 1-(1-rejected)*100/math.Max(percent, 1))
		account.openRejectionProbability = math.Min(maxRejectionProbability, probability)
	}
	if percent > 100 || account.hitInFlightLimit {
		factor := math.Min(limitIncreaseFactor, 100/math.Max(percent, 1))
		account.inFlightLimit *= math.Max(minInFlightLimitFactor, factor)
	}
	maxInFlight := float64(account.plan.MaxInFlight)
	limit := math.Max(account.minInFlightLimit(), account.inFlightLimit)
	account.inFlightLimit, account.hitInFlightLimit = math.Min(maxInFlight, limit), false
}

// minInFlightLimit is half of an even part of an open quota.
func (q *customerAccount) minInFlightLimit() float64 {
	return float64(q.plan.MaxInFlight) / q.fanOut / 2
}

// evictIdleAccounts forgets customers that have been idle for long and are as good as new ones; where
// there are many it forgets sooner, and all that are idle. A ceiling's store that was not full
// is safe then: all stores unseen fill from now.
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

// isIdle tells whether nothing of a customer's is held; what was queued leaves a rounding error.
func (q *customerAccount) isIdle() bool { return q.inFlight == 0 && q.queuedUnits < epsilon }

// hasFullBuckets tells whether an idle customer's stores have filled again since it was last looked at.
func (c *Controller) hasFullBuckets(account *customerAccount) bool {
	plan, elapsed := account.plan, (c.now - account.updatedAt).Seconds()
	remoteRate := account.remoteRate * decayFactor(c.now-account.remoteRateAt, remoteRateDecaySeconds)
	quotaTokens := account.quotaTokens + elapsed*(plan.QuotaRate-remoteRate)
	hardLimitTokens := account.hardLimitTokens + elapsed*plan.HardLimitRate/account.fanOut
	return plan.MaxInFlight == 0 && (plan.QuotaRate == 0 || quotaTokens >= plan.QuotaBurst) &&
		(plan.HardLimitRate == 0 || hardLimitTokens >= plan.HardLimitBurst/account.fanOut)
}
