package control

import (
	"math"
	"time"
)

const (
	localUsageDecay         = 0.85 // part of the local and total usage that stays at each reading
	localUsagePriorRequests = 3.0  // weight, in requests, of the prior that usage is spread evenly
	minLocalFraction        = 0.05 // of a customer's usage
	initialUsageFraction    = 0.3  // part of its rate that an unmetered customer is assumed to use
	usageRateDecay          = 0.8  // part of the smoothed usage rate that stays at each reading
	surgeShape              = 0.5  // shape of the prior of remote usage: small trusts local surges more
	remoteRateDecaySeconds  = 4.0  // time constant with which a reading's remote rate decays
	unmeteredSeconds        = 2.0  // of usage that readings do not cover yet
)

// usageEstimate is what is known of a customer's usage through this gateway and through others.
type usageEstimate struct {
	localUnits       float64 // smoothed usage through this gateway
	totalUnits       float64 // the same over all
	rate             float64 // smoothed, units a second over all gateways
	remoteRate       float64 // units a second through other gateways, presumed to go on since remoteRateAt
	remoteRateAt     time.Duration
	lastReadingUnits float64 // usage of the last metered period
}

// newUsageEstimate returns the estimate for a customer of whom nothing is known but its quota's rate.
func newUsageEstimate(quotaRate float64) usageEstimate {
	return usageEstimate{rate: initialUsageFraction * quotaRate}
}

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
		plan.firstReadings.add(percent, plan.quotaFraction(units, period))
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
