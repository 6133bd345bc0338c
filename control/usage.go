package control

import (
	"math"
	"time"
)

const (
	localUsageDecay         = 0.85 // fraction of the local and total usage that remains at each reading
	localUsagePriorRequests = 3.0  // weight, in requests, of the prior that usage is spread evenly
	minLocalFraction        = 0.05 // minimum local fraction of a customer's usage
	initialUsageFraction    = 0.3  // fraction of its rate that an unmetered customer is assumed to use
	usageRateDecay          = 0.8  // fraction of the smoothed usage rate that remains at each reading
	surgeShape              = 0.5  // shape of the prior of remote usage; smaller values trust local surges more
	remoteRateDecaySeconds  = 4.0  // time constant with which the remote rate of a reading decays
	unmeteredSeconds        = 2.0  // seconds of recent usage that readings do not cover yet
)

// usageEstimate estimates a customer's usage through this gateway and through others.
type usageEstimate struct {
	localUnits       float64 // smoothed usage through this gateway
	totalUnits       float64 // smoothed usage through all gateways
	rate             float64 // smoothed units per second through all gateways
	remoteRate       float64 // units per second through other gateways, presumed to continue since remoteRateAt
	remoteRateAt     time.Duration
	lastReadingUnits float64 // usage of the latest metered period
}

// newUsageEstimate returns the initial estimate for a customer with the given quota rate.
func newUsageEstimate(quotaRate float64) usageEstimate {
	return usageEstimate{rate: initialUsageFraction * quotaRate}
}

// remoteUnits returns the estimated usage through other gateways in the given time up to now.
func (u *usageEstimate) remoteUnits(now time.Duration, elapsedSeconds float64) float64 {
	return elapsedSeconds * u.remoteRate * decayFactor(now-u.remoteRateAt, remoteRateDecaySeconds)
}

// currentRemoteRate returns the estimated usage through other gateways in units per second.
func (u *usageEstimate) currentRemoteRate(now time.Duration) float64 {
	return u.remoteRate * decayFactor(now-u.remoteRateAt, remoteRateDecaySeconds)
}

// localFraction returns the fraction of the customer's usage that passes through this gateway.
func (u *usageEstimate) localFraction(fanOut float64) float64 {
	local := (localUsagePriorRequests/fanOut + u.localUnits) / (localUsagePriorRequests + u.totalUnits)
	return math.Min(1, math.Max(minLocalFraction, local))
}

// groupFactor returns the estimated usage over all gateways per unit through this one.
func (u *usageEstimate) groupFactor(fanOut, quotaRate float64, isMetered bool) float64 {
	local := u.localFraction(fanOut)
	if !isMetered { // without readings, remote usage is assumed to be proportional to the local usage
		return 1 / local
	}
	covered := math.Min(1, u.remoteRate/math.Max(quotaRate, u.remoteRate+epsilon)) // charged by remoteUnits
	prior := surgeShape / math.Max(u.rate*unmeteredSeconds, surgeShape/10)
	return 1 + (1-covered)*(1-local)/(local+prior)
}

// addReading adds the usage of a metered period and the part of it through this gateway.
func (u *usageEstimate) addReading(now time.Duration, used, local, period, fanOut, quotaRate float64) {
	u.localUnits = u.localUnits*localUsageDecay + math.Min(local, used)
	u.totalUnits = u.totalUnits*localUsageDecay + used
	// Where a customer uses many gateways, the readings of some periods do not reach this one. Therefore only
	// the lower of the latest two readings is presumed to continue at other gateways.
	lowerRate := math.Min(used, u.lastReadingUnits) / period
	u.remoteRate = (1 - u.localFraction(fanOut)) * math.Min(lowerRate, quotaRate)
	u.remoteRateAt = now
	u.lastReadingUnits = used
	u.rate += (1 - usageRateDecay) * (used/period - u.rate)
}

// usageEstimator applies the meter's readings to the accounts.
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

// recordReading applies a reading of the meter, 1 + percent of the quota, once for each period. units are the
// units of the request whose answer carried the reading.
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
		plan.firstReadings.add(percent, plan.quotaFraction(units, period))
	}
	account.addReading(now, table.refillStart, table.rateFraction, meterReading{
		percent:       percent,
		usedUnits:     used,
		periodSeconds: period,
		endBin:        end,
	})
}

// meterReading is the usage of one customer in one period of the meter, over all gateways.
type meterReading struct {
	percent       float64 // usage in percent of the quota
	usedUnits     float64 // usage in units
	periodSeconds float64
	endBin        int64 // bin in which the period ended
}

// addReading applies the reading of a new period. The rejected fraction is that of the metered period, which
// may differ from the current rejection probability.
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
