package control

import (
	"math"
	"time"
)

const (
	readingWindowUnits  = 8.0  // units of quota over which readings are averaged
	demandPriorShape    = 0.5  // shape of the prior distribution of a customer's demand
	demandPriorMean     = 0.8  // mean of that prior, as a fraction of the quota's rate
	burstGrantFraction  = 0.5  // fraction of the burst that is granted over readingDecaySeconds
	readingDecaySeconds = 20.0 // time constant with which readings decay
	planReadingWindow   = 30.0 // number of first readings over which a plan's estimate is averaged
	minMeteredFraction  = 0.5  // fraction of the recent periods that must have been read
)

// demandEstimate estimates a customer's demand from its requests at this gateway and from readings of the
// meter.
type demandEstimate struct {
	requestedUnits float64 // decaying sum of the units requested here
	requestedAt    time.Duration
	meteredUnits   float64 // decaying sum of the usage of readings
	demandSeconds  float64 // time in which that usage would arise without rejections
	meteredSeconds float64 // decaying sum of the metered periods
	readingAt      time.Duration
	isMetered      bool
	readingEndBin  int64 // bin in which the latest metered period ended
}

// addRequest adds the units of a request at this gateway, whether it is admitted or not.
func (d *demandEstimate) addRequest(now time.Duration, units float64) {
	d.requestedUnits = d.requestedUnits*decayFactor(now-d.requestedAt, readingDecaySeconds) + units
	d.requestedAt = now
}

// isNewReading reports whether a period that ended in a bin is later than the latest one that was read.
func (d *demandEstimate) isNewReading(endBin int64) bool {
	return !d.isMetered || endBin >= d.readingEndBin+binsPerPeriod/2
}

func (d *demandEstimate) startReading(endBin int64) {
	d.isMetered = true
	d.readingEndBin = endBin
}

// addReading adds the usage of a metered period in which the fraction rejected of the requests was rejected.
func (d *demandEstimate) addReading(now time.Duration, used, period, quotaRate, rejected float64) {
	decay := decayFactor(now-d.readingAt, readingDecaySeconds)
	d.meteredSeconds = d.meteredSeconds*decay + period
	decay *= math.Exp(-quotaRate * period / readingWindowUnits)
	d.meteredUnits = d.meteredUnits*decay + used
	d.demandSeconds = d.demandSeconds*decay + (1-rejected)*period
	d.readingAt = now
}

// hasEnoughReadings reports whether most of the recent periods since a time have been read.
func (d *demandEstimate) hasEnoughReadings(now, since time.Duration) bool {
	possibleSeconds := readingDecaySeconds * (1 - decayFactor(now-since, readingDecaySeconds))
	meteredSeconds := d.meteredSeconds * decayFactor(now-d.readingAt, readingDecaySeconds)
	return meteredSeconds > minMeteredFraction*possibleSeconds
}

// rejectionProbability returns 1-(1-d')*100/p, where d' is the rejected fraction in the metered periods and p
// the usage in percent, averaged over the latest readings and over requests at this gateway. Readings of few
// requests are noisy, and readings are old where few periods are read; both weigh less against the prior of
// the demand.
func (d *demandEstimate) rejectionProbability(now, since time.Duration, fanOut float64, plan *Plan) float64 {
	decay := decayFactor(now-d.readingAt, readingDecaySeconds)
	requested := d.requestedUnits * decayFactor(now-d.requestedAt, readingDecaySeconds)
	observed := math.Min(readingDecaySeconds, (now-since).Seconds()) / fanOut
	units := demandPriorShape + decay*d.meteredUnits + requested
	demand := units / (demandPriorShape/(demandPriorMean*plan.QuotaRate) + decay*d.demandSeconds + observed)
	allowed := plan.QuotaRate + burstGrantFraction*plan.QuotaBurst/readingDecaySeconds
	return math.Min(maxRejectionProbability, math.Max(0, 1-allowed/demand))
}

// firstReadingEstimate averages the first readings of a plan's customers. They represent customers that are
// not metered yet, regardless of how many requests of metered customers are rejected.
type firstReadingEstimate struct {
	usage  float64 // mean of the readings as a multiple of the quota
	excess float64 // mean of the part that exceeds the quota
}

// add adds a customer's first reading, in percent of its quota. The excess does not include one request,
// whose units are the given fraction of the quota.
func (e *firstReadingEstimate) add(percent, requestFraction float64) {
	e.usage += (percent/100 - e.usage) / planReadingWindow
	excess := math.Max(0, percent/100-1-requestFraction)
	e.excess += (excess - e.excess) / planReadingWindow
}

// rejectionProbability returns the probability for customers that are not metered yet: the fraction of the
// plan's usage that exceeds the quotas. Without it, a customer far above its quota would be admitted by one
// gateway after the other while it is not metered there.
func (e *firstReadingEstimate) rejectionProbability(fanOut float64) float64 {
	excess := (1 - 1/fanOut) * e.excess / math.Max(e.usage, epsilon)
	return math.Min(maxRejectionProbability, excess)
}

// quotaFraction returns the fraction of a period's quota, or of the in-flight quota, that a request uses.
func (p *Plan) quotaFraction(units, periodSeconds float64) float64 {
	if p.QuotaRate == 0 {
		return 1 / float64(p.MaxInFlight)
	}
	return units / (p.QuotaRate * periodSeconds)
}
