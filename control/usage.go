package control

import (
	"math"
	"time"
)

const (
	binsPerPeriod           = 10   // bins in a meter period
	maxMeterLagBins         = 66   // delays of readings that are considered
	misfitDecay             = 0.99 // part of a delay's misfit that stays at each reading
	missingSendsWeight      = 0.5  // weight of usage without sends against sends without usage
	misfitSwitchRatio       = 0.8  // another delay's misfit must be below this part of the present one's
	localUsageDecay         = 0.85 // part of the local and total usage that stays at each reading
	localUsagePriorRequests = 3.0  // weight, in requests, of the prior that usage is spread evenly
	minLocalFraction        = 0.05 // of a customer's usage
	initialUsageFraction    = 0.3  // part of its rate that an unmetered customer is assumed to use
	usageRateDecay          = 0.8  // part of the smoothed usage rate that stays at each reading
	surgeShape              = 0.5  // shape of the prior of remote usage: small trusts local surges more
	remoteRateDecaySeconds  = 4.0  // time constant with which a reading's remote rate decays
	unmeteredSeconds        = 2.0  // of usage that readings do not cover yet
	minInFlightLimitFactor  = 0.85 // of an in-flight limit, at one reading
	readingWindowUnits      = 8.0  // units of quota over which readings are averaged
	demandPriorShape        = 0.5  // shape of the prior of a customer's demand
	demandPriorMean         = 0.8  // and its mean, as a part of the quota's rate
	burstGrantFraction      = 0.5  // part of the burst granted over readingDecaySeconds
	readingDecaySeconds     = 20.0 // time constant with which readings decay
	planReadingWindow       = 30.0 // first readings over which a plan's estimate is averaged
	minMeteredFraction      = 0.5  // part of the recent periods that must have been read
)

// remoteUnits is the usage through other gateways in a time that ends now.
func (u *usageEstimate) remoteUnits(now time.Duration, elapsedSeconds float64) float64 {
	return elapsedSeconds * u.remoteRate * decayFactor(now-u.remoteRateAt, remoteRateDecaySeconds)
}

// currentRemoteRate is the rate of the usage through other gateways, in units a second.
func (u *usageEstimate) currentRemoteRate(now time.Duration) float64 {
	return u.remoteRate * decayFactor(now-u.remoteRateAt, remoteRateDecaySeconds)
}

// localFraction is the part of the customer's usage that comes through this gateway.
func (u *usageEstimate) localFraction(fanOut float64) float64 {
	local := (localUsagePriorRequests/fanOut + u.localUnits) / (localUsagePriorRequests + u.totalUnits)
	return math.Min(1, math.Max(minLocalFraction, local))
}

// groupFactor is the usage over all gateways that a unit through this one stands for.
func (u *usageEstimate) groupFactor(fanOut, quotaRate float64, isMetered bool) float64 {
	local := u.localFraction(fanOut)
	if !isMetered { // the design's rule for an unmetered customer
		return 1 / local
	}
	covered := math.Min(1, u.remoteRate/math.Max(quotaRate, u.remoteRate+epsilon)) // by remoteUnits
	prior := surgeShape / math.Max(u.rate*unmeteredSeconds, surgeShape/10)
	return 1 + (1-covered)*(1-local)/(local+prior)
}

// addReading takes the usage of a metered period, and the part of it through this gateway.
func (u *usageEstimate) addReading(now time.Duration, used, local, period, fanOut, quotaRate float64) {
	u.localUnits = u.localUnits*localUsageDecay + math.Min(local, used)
	u.totalUnits = u.totalUnits*localUsageDecay + used
	// Guards against periods that no answer reported, where a customer comes through many
	// gateways: the lower of the last two readings is presumed to go on elsewhere.
	lowerRate := math.Min(used, u.lastReadingUnits) / period
	u.remoteRate = (1 - u.localFraction(fanOut)) * math.Min(lowerRate, quotaRate)
	u.remoteRateAt = now
	u.lastReadingUnits = used
	u.rate += (1 - usageRateDecay) * (used/period - u.rate)
}

// addRequest takes the units of a request here, whether it is admitted or not.
func (d *demandEstimate) addRequest(now time.Duration, units float64) {
	d.requestedUnits = d.requestedUnits*decayFactor(now-d.requestedAt, readingDecaySeconds) + units
	d.requestedAt = now
}

// addReading takes the usage of a metered period in which a part of the requests was rejected.
func (d *demandEstimate) addReading(now time.Duration, used, period, quotaRate, rejected float64) {
	decay := decayFactor(now-d.readingAt, readingDecaySeconds)
	d.meteredSeconds = d.meteredSeconds*decay + period
	decay *= math.Exp(-quotaRate * period / readingWindowUnits)
	d.meteredUnits = d.meteredUnits*decay + used
	d.demandSeconds = d.demandSeconds*decay + (1-rejected)*period
	d.readingAt = now
}

// isWellMetered tells whether most of the recent periods since a time have been read.
func (d *demandEstimate) isWellMetered(now, since time.Duration) bool {
	possibleSeconds := readingDecaySeconds * (1 - decayFactor(now-since, readingDecaySeconds))
	meteredSeconds := d.meteredSeconds * decayFactor(now-d.readingAt, readingDecaySeconds)
	return meteredSeconds > minMeteredFraction*possibleSeconds
}

// rejectionProbability is 1-(1-d')*100/p, with p over the latest readings that amount to some units
// and over requests here. Guards against readings of few requests, which are noise, and against old
// ones where few periods are read: both count less against a prior of the demand.
func (d *demandEstimate) rejectionProbability(now, since time.Duration, fanOut float64, plan *Plan) float64 {
	decay := decayFactor(now-d.readingAt, readingDecaySeconds)
	requested := d.requestedUnits * decayFactor(now-d.requestedAt, readingDecaySeconds)
	observed := math.Min(readingDecaySeconds, (now-since).Seconds()) / fanOut
	units := demandPriorShape + decay*d.meteredUnits + requested
	demand := units / (demandPriorShape/(demandPriorMean*plan.QuotaRate) + decay*d.demandSeconds + observed)
	allowed := plan.QuotaRate + burstGrantFraction*plan.QuotaBurst/readingDecaySeconds
	return math.Min(maxRejectionProbability, math.Max(0, 1-allowed/demand))
}

// unmeteredRejectionProbability guards against customers far above their quota that one gateway after the
// other admits as unmetered: they are rejected by as much as of the plan's usage lies beyond quotas.
func (p *planQueue) unmeteredRejectionProbability(fanOut float64) float64 {
	excess := (1 - 1/fanOut) * p.firstReadingExcess / math.Max(p.firstReadingUsage, epsilon)
	return math.Min(maxRejectionProbability, excess)
}

// recordFirstReading takes a customer's first reading, in percent of its quota; it shows those who come
// unmetered, whatever is rejected of others. One request above a quota does not count as excess.
func (p *planQueue) recordFirstReading(percent, units, period float64) {
	requestFraction := units / (p.QuotaRate * period)
	if p.QuotaRate == 0 {
		requestFraction = 1 / float64(p.MaxInFlight)
	}
	p.firstReadingUsage += (percent/100 - p.firstReadingUsage) / planReadingWindow
	excess := math.Max(0, percent/100-1-requestFraction)
	p.firstReadingExcess += (excess - p.firstReadingExcess) / planReadingWindow
}

// recordReading takes a reading of the meter, 1 + percent of the quota, once for each period. The
// rejected part is that of the metered period, whatever the probability is now.
func (c *Controller) recordReading(account *customerAccount, reading int, units float64) {
	c.refill(account)
	plan := account.plan
	period := c.settings.MeterPeriod.Seconds()
	percent := float64(reading - 1)
	used := percent / 100 * plan.QuotaRate * period
	if plan.QuotaRate > 0 {
		local := account.usage.localFraction(account.fanOut)
		c.meter.fit(&account.history.sent, used, units, local, c.currentBin())
	}
	end := c.meter.periodEndBin(c.currentBin())
	if account.demand.isMetered && end < account.demand.readingEndBin+binsPerPeriod/2 {
		return
	}
	if !account.demand.isMetered {
		plan.recordFirstReading(percent, units, period)
	}
	account.demand.isMetered = true
	account.demand.readingEndBin = end
	arrivals := account.history.arrivals.periodSum(end)
	rejected := c.rejectionProbability(account)
	if arrivals > 0 {
		rejected = account.history.rejections.periodSum(end) / arrivals
	}
	account.demand.addReading(c.now, used, period, plan.QuotaRate, rejected)
	if plan.QuotaRate == 0 {
		account.inFlight.adjust(plan.MaxInFlight, account.fanOut, percent, rejected, arrivals)
		return
	}
	local := account.history.sent.periodSum(end)
	charged := account.history.charged.periodSum(end)
	account.usage.addReading(c.now, used, local, period, account.fanOut, plan.QuotaRate)
	corrected := math.Max(-plan.QuotaBurst/2, account.quota.tokens+c.rateFraction*(charged-used))
	account.quota.tokens = math.Min(c.rateFraction*plan.QuotaBurst, corrected)
}

// adjust moves this gateway's part of the quota by the maximum that a reading reports, in percent. A
// limit below one is held by a pause after each attempt. The rejection probability comes last.
func (q *inFlightQuota) adjust(maxInFlight int, fanOut, percent, rejected, arrivals float64) {
	minLimit := float64(maxInFlight) / fanOut / 2
	if q.limit > minLimit {
		q.rejectionProbability = 0
	} else if arrivals > 0 || percent <= 100 {
		probability := math.Max(0, 1-(1-rejected)*100/math.Max(percent, 1))
		q.rejectionProbability = math.Min(maxRejectionProbability, probability)
	}
	if percent > 100 || q.hitLimit {
		factor := math.Min(limitIncreaseFactor, 100/math.Max(percent, 1))
		q.limit *= math.Max(minInFlightLimitFactor, factor)
	}
	q.limit = math.Min(float64(maxInFlight), math.Max(minLimit, q.limit))
	q.hitLimit = false
}

// isFull tells whether no attempt may start now; a request that meets it shows that the limit binds.
func (q *inFlightQuota) isFull(now time.Duration) bool {
	isFull := now < q.nextAttemptAt || float64(q.current+q.predecessor) >= math.Max(1, math.Floor(q.limit))
	q.hitLimit = q.hitLimit || isFull
	return isFull
}

// pauseAfter holds the next attempt back after one that ended, where the limit is below one.
func (q *inFlightQuota) pauseAfter(now, sentAt time.Duration) {
	if pause := 1/math.Max(q.limit, epsilon) - 1; pause > 0 {
		q.nextAttemptAt = now + time.Duration(pause*float64(now-sentAt))
	}
}

// fit finds when the meter's periods end and how late they are reported: the pair under which the
// units sent here fit the readings best. Guards against a period that is read many times or matched
// with another's sends; holds for late readings of any cause.
func (m *meterClock) fit(sent *history, used, units, localFraction float64, now int64) {
	minMisfit := math.Inf(1)
	var bestPhase, bestLag int64
	recent := sent.window()
	for phase := int64(0); phase < binsPerPeriod; phase++ {
		periodEnd := latestBinAtPhase(now, phase)
		for lag := int64(0); lag < maxMeterLagBins; lag++ {
			local := recent.periodSum(periodEnd - lag)
			miss := math.Max(0, local-used) + missingSendsWeight*math.Max(0, localFraction*used-local)
			misfit := &m.misfit[phase][lag]
			*misfit = *misfit*misfitDecay + miss/(units+used+local)
			if *misfit < minMisfit {
				minMisfit = *misfit
				bestPhase = phase
				bestLag = lag
			}
		}
	}
	if minMisfit < misfitSwitchRatio*m.misfit[m.phaseBin][m.lagBins] {
		m.phaseBin = bestPhase
		m.lagBins = bestLag
	}
}
