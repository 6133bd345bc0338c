package fleetsim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lockflow/control"
)

// This file has the deployments that RunQuotas simulates: the load of customers, their plans, and the meter of their usage.
// Each deployment is a table of ranges from which values are drawn by a seed.

// valueRange is a range from which values are drawn uniformly. The zero value means that the described value is not used.
type valueRange [2]float64

func (s valueRange) draw(r *rand.Rand) float64 { return s[0] + (s[1]-s[0])*r.Float64() }

// unitsKind selects how the units of a request are determined.
type unitsKind int

const (
	oneUnit   unitsKind = iota
	byClass             // a read has one unit, an update has two
	bySize              // drawn per request and known at arrival
	estimated           // drawn per request; an estimate is known at arrival, and the response has the actual units
)

// quotaPlan describes a plan by the ranges of its values.
type quotaPlan struct {
	name          string
	share         float64 // fraction of the load within quotas
	price         float64
	overQuotaCost float64    // cost of a request over quota, as a fraction of its weight
	rate          valueRange // in units a second; the demand of customers is drawn from it too
	burst         valueRange // bucket size, in seconds of the rate
	maxInFlight   valueRange // in multiples of the attempts in flight that the rate causes if the servers are idle
	hasNoRate     bool       // whether maxInFlight is the only limit
	hardLimit     valueRange // in multiples of rate and bucket size
	fanOut        valueRange // as a fraction of the group
}

// quotaDeployment describes the quotas and customers of one deployment.
type quotaDeployment struct {
	help                 string // one line of help
	units                unitsKind
	maxUnits             float64    // maximum units of a request
	estimateLogDeviation valueRange // standard deviation of the logarithm of an estimate relative to the actual units
	// Fractions of the customers that request 95 % of their quota, a multiple of it, and a multiple of it during spikes.
	full, heavy, spiky                          valueRange
	usageFraction, heavyMultiple, spikeMultiple valueRange // multiples of the quota's rate: of the other customers, of heavy ones, of spiky ones during spikes
	spikeDuration, spikeInterval                valueRange // in seconds
	skew, shiftInterval, otherNodeFraction      valueRange // log-scale standard deviation of node weights; seconds until these change; fraction of retries that draw a new node
	meterPeriod                                 time.Duration
	meterDelay                                  valueRange // in seconds, from the end of a period until its usage is reported
	plans                                       []quotaPlan
}

// DeploymentNames are the names of the deployments that RunQuotas simulates.
var DeploymentNames = []string{"clinic", "library", "archive", "cableway", "kiosk"}

var quotaDeployments = map[string]*quotaDeployment{
	"clinic": {
		help: "guessed units, three plans of wide sets and small stores, the dearest with a ceiling", units: estimated, maxUnits: 4, estimateLogDeviation: valueRange{0.35, 0.65},
		usageFraction: valueRange{0.2, 0.45}, full: valueRange{0.09, 0.21}, heavy: valueRange{0.08, 0.12}, heavyMultiple: valueRange{2.7, 4.8}, spiky: valueRange{0.12, 0.22}, spikeMultiple: valueRange{4.3, 7.8},
		spikeDuration: valueRange{0.6, 4.8}, spikeInterval: valueRange{11, 24}, skew: valueRange{0.8, 1.5}, shiftInterval: valueRange{3.3, 6.7}, otherNodeFraction: valueRange{0.05, 0.75}, meterPeriod: time.Second, meterDelay: valueRange{0.6, 1.3},
		plans: []quotaPlan{
			{name: "basic", share: 0.25, price: 0.7, overQuotaCost: 0.6, rate: valueRange{1.2, 2}, burst: valueRange{4.2, 5.6}, fanOut: valueRange{0.5, 1}},
			{name: "standard", share: 0.32, price: 1.1, overQuotaCost: 0.8, rate: valueRange{2.7, 4.5}, burst: valueRange{3.2, 5.8}, fanOut: valueRange{0.5, 1}},
			{name: "enterprise", share: 0.43, price: 1.4, overQuotaCost: 1.2, rate: valueRange{11, 17}, burst: valueRange{1.2, 2.4}, hardLimit: valueRange{1.8, 2.5}, fanOut: valueRange{0.5, 1}},
		},
	},
	"library": {
		help: "units by size, large rates, one plan with an open limit alone", units: bySize, maxUnits: 4,
		usageFraction: valueRange{0.17, 0.45}, full: valueRange{0.09, 0.21}, heavy: valueRange{0.07, 0.13}, heavyMultiple: valueRange{2.8, 4.8}, spiky: valueRange{0.15, 0.24}, spikeMultiple: valueRange{3, 6.3},
		spikeDuration: valueRange{1.7, 4.2}, spikeInterval: valueRange{12, 23}, skew: valueRange{0.8, 1.5}, shiftInterval: valueRange{3.4, 8.7}, otherNodeFraction: valueRange{0.05, 0.6}, meterPeriod: time.Second, meterDelay: valueRange{0.6, 1.3},
		plans: []quotaPlan{
			{name: "basic", share: 0.25, price: 0.9, overQuotaCost: 1.2, rate: valueRange{1.9, 3.1}, burst: valueRange{3.3, 5.6}, fanOut: valueRange{0.5, 1}},
			{name: "standard", share: 0.32, price: 1.3, overQuotaCost: 1.2, rate: valueRange{9.5, 15}, hasNoRate: true, maxInFlight: valueRange{2.2, 3}, fanOut: valueRange{0.5, 1}},
			{name: "enterprise", share: 0.43, price: 1.8, overQuotaCost: 1.2, rate: valueRange{38, 60}, burst: valueRange{1.3, 2.9}, fanOut: valueRange{0.5, 1}},
		},
	},
	"archive": {
		help: "guessed units, one plan with both limits, weights that shift seldom", units: estimated, maxUnits: 3, estimateLogDeviation: valueRange{0.3, 0.6},
		usageFraction: valueRange{0.2, 0.45}, full: valueRange{0.1, 0.25}, heavy: valueRange{0.05, 0.12}, heavyMultiple: valueRange{2, 4.5}, spiky: valueRange{0.1, 0.22}, spikeMultiple: valueRange{3, 7},
		spikeDuration: valueRange{0.8, 4.5}, spikeInterval: valueRange{11, 24}, skew: valueRange{0.5, 1.4}, shiftInterval: valueRange{4, 12}, otherNodeFraction: valueRange{0.05, 0.7}, meterPeriod: time.Second, meterDelay: valueRange{0.6, 1.3},
		plans: []quotaPlan{
			{name: "basic", share: 0.25, price: 0.8, overQuotaCost: 0.6, rate: valueRange{1.5, 2.5}, burst: valueRange{4, 6}, fanOut: valueRange{0.4, 1}},
			{name: "standard", share: 0.32, price: 1.2, overQuotaCost: 0.9, rate: valueRange{5, 9}, burst: valueRange{2, 4}, maxInFlight: valueRange{2, 3}, fanOut: valueRange{0.5, 1}},
			{name: "enterprise", share: 0.43, price: 1.5, overQuotaCost: 1.2, rate: valueRange{16, 26}, burst: valueRange{1.5, 3}, hardLimit: valueRange{1.8, 2.5}, fanOut: valueRange{0.4, 1}},
		},
	},
	"cableway": {
		help: "units by class, two plans, a meter of 1.5 s", units: byClass, maxUnits: 2,
		usageFraction: valueRange{0.2, 0.5}, full: valueRange{0.1, 0.25}, heavy: valueRange{0.05, 0.1}, heavyMultiple: valueRange{1.8, 4}, spiky: valueRange{0.1, 0.2}, spikeMultiple: valueRange{2, 6},
		spikeDuration: valueRange{0.5, 4}, spikeInterval: valueRange{10, 25}, skew: valueRange{0.4, 1.2}, shiftInterval: valueRange{5, 15}, otherNodeFraction: valueRange{0.1, 0.6}, meterPeriod: 1500 * time.Millisecond, meterDelay: valueRange{0.6, 1.2},
		plans: []quotaPlan{
			{name: "basic", share: 0.4, price: 0.9, overQuotaCost: 0.7, rate: valueRange{3, 6}, burst: valueRange{2.5, 5}, fanOut: valueRange{0.3, 0.8}},
			{name: "standard", share: 0.6, price: 1.3, overQuotaCost: 1, rate: valueRange{14, 24}, burst: valueRange{1.2, 3}, fanOut: valueRange{0.5, 1}},
		},
	},
	"kiosk": {
		help: "requests of one unit, sets of some nodes, no meter", units: oneUnit, maxUnits: 1,
		usageFraction: valueRange{0.15, 0.5}, full: valueRange{0.1, 0.3}, heavy: valueRange{0.04, 0.12}, heavyMultiple: valueRange{1.6, 4}, spiky: valueRange{0.1, 0.25}, spikeMultiple: valueRange{2, 6},
		spikeDuration: valueRange{0.5, 4}, spikeInterval: valueRange{10, 25}, skew: valueRange{0.3, 1}, shiftInterval: valueRange{5, 25}, otherNodeFraction: valueRange{0, 0.6},
		plans: []quotaPlan{
			{name: "basic", share: 0.5, price: 1, overQuotaCost: 0.6, rate: valueRange{3, 5}, burst: valueRange{2, 4}, fanOut: valueRange{0.01, 0.05}},
			{name: "standard", share: 0.5, price: 1.3, overQuotaCost: 0.9, rate: valueRange{8, 14}, burst: valueRange{1.5, 3}, fanOut: valueRange{0.02, 0.1}},
		},
	},
}

// DeploymentHelp returns a one-line description of a deployment.
func DeploymentHelp(name string) string { return quotaDeployments[name].help }

// drawUnits draws the units of a request: the units known at arrival and the actual units.
func (f *quotaDeployment) drawUnits(class int, logDeviation float64, r *rand.Rand) (units, actualUnits float64) {
	switch f.units {
	case byClass:
		actualUnits = float64(1 + class)
	case bySize, estimated:
		actualUnits = min(f.maxUnits, math.Ceil(1.3*r.ExpFloat64()))
	default:
		actualUnits = 1
	}
	if units = actualUnits; f.units == estimated {
		units = min(f.maxUnits, max(1, math.Round(actualUnits*math.Exp(logDeviation*r.NormFloat64()))))
	}
	return units, actualUnits
}

// meanActualUnits returns the mean of the actual units of a request, over 4096 draws.
func (f *quotaDeployment) meanActualUnits() float64 {
	r, sum := newRand(1, 7), 0.0
	const draws = 4096
	for i := range draws {
		_, actualUnits := f.drawUnits(i%2, 0, r)
		sum += actualUnits
	}
	return sum / draws
}

// drawPlans draws the plans, and for each the rate in units a second from which the demand of its customers is drawn.
func (f *quotaDeployment) drawPlans(r *rand.Rand) (plans []control.Plan, rates []float64) {
	for _, ranges := range f.plans {
		rate := ranges.rate.draw(r)
		plan := control.Plan{Name: ranges.name, Price: ranges.price, OverQuotaCost: ranges.overQuotaCost}
		if ranges.maxInFlight != (valueRange{}) {
			plan.MaxInFlight = max(2, int(math.Ceil(ranges.maxInFlight.draw(r)*rate/f.meanActualUnits()*dayWork)))
		}
		if !ranges.hasNoRate {
			plan.QuotaRate, plan.QuotaBurst = rate, max(2*f.maxUnits, rate*ranges.burst.draw(r))
		}
		if ranges.hardLimit != (valueRange{}) {
			multiple := ranges.hardLimit.draw(r)
			plan.QuotaBurst = max(plan.QuotaBurst, 4*f.maxUnits)
			plan.HardLimitRate, plan.HardLimitBurst = multiple*rate, multiple*plan.QuotaBurst
			plan.HardLimitSlack = max(0.1*plan.HardLimitBurst, f.maxUnits)
		}
		plans, rates = append(plans, plan), append(rates, rate)
	}
	return plans, rates
}

// demandKind names the pattern of a customer's load.
type demandKind string

const (
	calmKind  demandKind = "calm"
	fullKind  demandKind = "full"
	heavyKind demandKind = "heavy"
	spikyKind demandKind = "spiky, between"
	inSpike   demandKind = "spiky, in a spike"
)

// demand is the load of one customer.
type demand struct {
	rng        *rand.Rand // separate for each customer, so that all policies have the same calls
	kind       demandKind
	usualRate  float64 // in requests a second
	spikeRate  float64 // in requests a second, during a spike
	spikes     [][2]time.Duration
	weightSums []float64 // prefix sums of the nodes' weights
}

func (d *demand) inSpike(at time.Duration) bool {
	return slices.ContainsFunc(d.spikes, func(s [2]time.Duration) bool { return s[0] <= at && at < s[1] })
}

// rateAt returns the rate at a time, in requests a second, and the pattern of the load at that time.
func (d *demand) rateAt(at time.Duration) (float64, demandKind) {
	if d.inSpike(at) {
		return d.spikeRate, inSpike
	}
	return d.usualRate, d.kind
}

// drawWeights draws the log-normal weights of the customer's nodes.
func (d *demand) drawWeights(skew float64, fanOut int) {
	d.weightSums = make([]float64, fanOut)
	sum := 0.0
	for i := range d.weightSums {
		sum += math.Exp(skew * d.rng.NormFloat64())
		d.weightSums[i] = sum
	}
}

// chooseNode draws the index of a node with probability proportional to its weight.
func (d *demand) chooseNode(r *rand.Rand) int {
	index, _ := slices.BinarySearch(d.weightSums, r.Float64()*d.weightSums[len(d.weightSums)-1])
	return min(index, len(d.weightSums)-1)
}
