package control

import (
	"math"
	"time"
)

const (
	localUsageDecay         = 0.85 // part of the local and total usage that stays at each reading
	localUsagePriorRequests = 3.0  // weight, in requests, of the prior that usage is spread evenly
	minLocalFraction        = 0.05 // of a customer's usage
	usageRateDecay          = 0.8  // part of the smoothed usage rate that stays at each reading
	surgeShape              = 0.5  // shape of the prior of remote usage: small trusts local surges more
	remoteRateDecaySeconds  = 4.0  // time constant with which a reading's remote rate decays
	unmeteredSeconds        = 2.0  // of usage that readings do not cover yet
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

// isNewReading tells whether a period that ended in a bin is later than the one read last.
func (d *demandEstimate) isNewReading(endBin int64) bool {
	return !d.isMetered || endBin >= d.readingEndBin+binsPerPeriod/2
}

func (d *demandEstimate) startReading(endBin int64) {
	d.isMetered = true
	d.readingEndBin = endBin
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

// usageEstimator takes the readings of the fleet's meter into the accounts.
type usageEstimator struct {
	meterPeriod time.Duration // 0 is no meter
	meter       meterClock
}

func newUsageEstimator(settings *Settings) usageEstimator {
	return usageEstimator{
		meterPeriod: settings.MeterPeriod,
		meter:       meterClock{lagBins: initialMeterLagBins},
	}
}

// recordReading takes a reading of the meter, 1 + percent of the quota, once for each period; units are
// those of the request whose answer it came with.
func (e *usageEstimator) recordReading(
	now time.Duration, table *accountTable, account *customerAccount, reading int, units float64,
) {
	table.refillAccount(now, account)
	plan := account.plan
	period := e.meterPeriod.Seconds()
	bin := table.binAt(now)
	percent := float64(reading - 1)
	used := percent / 100 * plan.QuotaRate * period
	if plan.QuotaRate > 0 {
		local := account.usage.localFraction(account.fanOut)
		e.meter.fit(&account.history.sent, used, units, local, bin)
	}
	end := e.meter.periodEndBin(bin)
	if !account.demand.isNewReading(end) {
		return
	}
	if !account.demand.isMetered {
		plan.recordFirstReading(percent, units, period)
	}
	account.addReading(now, table.fillingSince, table.rateFraction, meterReading{
		percent:       percent,
		usedUnits:     used,
		periodSeconds: period,
		endBin:        end,
	})
}

// meterReading is the usage of one customer in one period of the meter, over all gateways.
type meterReading struct {
	percent       float64 // of the quota
	usedUnits     float64 // the same in units
	periodSeconds float64
	endBin        int64 // bin in which the period ended
}

// addReading takes the reading of a period that has not been read. The rejected part is that of the metered
// period, whatever the probability is now.
func (a *customerAccount) addReading(now, since time.Duration, rateFraction float64, reading meterReading) {
	plan := a.plan
	a.demand.startReading(reading.endBin)
	arrivals := a.history.arrivals.periodSum(reading.endBin)
	rejected := a.rejectionProbability(now, since)
	if arrivals > 0 {
		rejected = a.history.rejections.periodSum(reading.endBin) / arrivals
	}
	a.demand.addReading(now, reading.usedUnits, reading.periodSeconds, plan.QuotaRate, rejected)
	if plan.QuotaRate == 0 {
		a.inFlight.adjust(plan.MaxInFlight, a.fanOut, reading.percent, rejected, arrivals)
		return
	}
	local := a.history.sent.periodSum(reading.endBin)
	charged := a.history.charged.periodSum(reading.endBin)
	a.usage.addReading(now, reading.usedUnits, local, reading.periodSeconds, a.fanOut, plan.QuotaRate)
	corrected := math.Max(-plan.QuotaBurst/2, a.quota.tokens+rateFraction*(charged-reading.usedUnits))
	a.quota.tokens = math.Min(rateFraction*plan.QuotaBurst, corrected)
}
