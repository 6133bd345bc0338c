package control

import (
	"math"
	"time"
)

const (
	readingWindowUnits  = 8.0  // units of quota over which readings are averaged
	demandPriorShape    = 0.5  // shape of the prior of a customer's demand
	demandPriorMean     = 0.8  // and its mean, as a part of the quota's rate
	burstGrantFraction  = 0.5  // part of the burst granted over readingDecaySeconds
	readingDecaySeconds = 20.0 // time constant with which readings decay
	planReadingWindow   = 30.0 // first readings over which a plan's estimate is averaged
	minMeteredFraction  = 0.5  // part of the recent periods that must have been read
)

// demandEstimate is what is known of how much a customer asks for, from its requests here and from the meter.
type demandEstimate struct {
	requestedUnits float64 // decaying sum of the units requested here
	requestedAt    time.Duration
	meteredUnits   float64 // decaying sum of the usage of readings
	demandSeconds  float64 // time of full demand in which that usage arose
	meteredSeconds float64 // decaying sum of the metered periods
	readingAt      time.Duration
	isMetered      bool
	readingEndBin  int64 // bin in which the last metered period ended
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
func (d *demandEstimate) hasEnoughReadings(now, since time.Duration) bool {
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

// firstReadingEstimate is what the first readings of a plan's customers show. They show those who come
// unmetered, whatever is rejected of others.
type firstReadingEstimate struct {
	usage  float64 // mean of the readings, in quotas
	excess float64 // what of that is beyond the quota
}

// add takes a customer's first reading, in percent of its quota. One request above a quota, which is a
// fraction of it, does not count as excess.
func (e *firstReadingEstimate) add(percent, requestFraction float64) {
	e.usage += (percent/100 - e.usage) / planReadingWindow
	excess := math.Max(0, percent/100-1-requestFraction)
	e.excess += (excess - e.excess) / planReadingWindow
}

// rejectionProbability guards against customers far above their quota that one gateway after the other
// admits as unmetered: they are rejected by as much as of the plan's usage lies beyond quotas.
func (e *firstReadingEstimate) rejectionProbability(fanOut float64) float64 {
	excess := (1 - 1/fanOut) * e.excess / math.Max(e.usage, epsilon)
	return math.Min(maxRejectionProbability, excess)
}

// quotaFraction is the part of a period's quota that a request's units are, or of a quota in flight.
func (p *Plan) quotaFraction(units, periodSeconds float64) float64 {
	if p.QuotaRate == 0 {
		return 1 / float64(p.MaxInFlight)
	}
	return units / (p.QuotaRate * periodSeconds)
}
