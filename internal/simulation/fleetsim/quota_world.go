package fleetsim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lockflow/control"
)

// Worlds of quotas: what customers ask, in plans of what terms, and how their use is metered. Each
// is a table of ranges, from which a seed draws a deployment and its customers.

// span is a range that is drawn from evenly; its zero value is a figure of none.
type span [2]float64

func (s span) draw(r *rand.Rand) float64 { return s[0] + (s[1]-s[0])*r.Float64() }

// unitsOf tells how a request's units come about.
type unitsOf int

const (
	oneUnit unitsOf = iota
	byClass         // an update takes two
	bySize          // known at its arrival
	guessed         // by its size, of which a guess is known; an answer tells the true units
)

// quotaPlan are a plan's terms.
type quotaPlan struct {
	name      string
	share     float64 // of what is asked inside quotas
	price     float64
	overCost  float64 // part of its worth that a try beyond the quota costs
	rate      span    // units a second; where there is an open limit alone, what demand goes by
	burst     span    // s of the rate that its store holds
	open      span    // times the attempts that the rate keeps out on idle servers; none has no such limit
	openOnly  bool    // and no rate
	hardLimit span    // times rate and burst; none has no ceiling
	spread    span    // part of the group that a customer comes through
}

// quotaWorld is one customer's world.
type quotaWorld struct {
	does     string // one line of help
	units    unitsOf
	maxUnits float64 // units of a request
	guessCV  span    // error of a guess, as the deviation of its logarithm
	// Parts of the customers that ask nearly all of their quota, far more than it, and far more in spikes.
	full, heavy, spiky             span
	use, heavyX, spikeX            span // of their rate that the others ask, and that those do
	spikeLasts, spikeEvery         span // s
	skew, shift, otherNodeFraction span // deviation of a set's weights, as logarithms; s between their shifts; part of the retries through another node
	meter                          time.Duration
	late                           span // s by which a period is told after its end
	plans                          []quotaPlan
}

// QuotaNames are the worlds that Quotas plays.
var QuotaNames = []string{"clinic", "library", "archive", "cableway", "kiosk"}

var quotaWorlds = map[string]*quotaWorld{
	"clinic": {
		does: "guessed units, three plans of wide sets and small stores, the dearest with a ceiling", units: guessed, maxUnits: 4, guessCV: span{0.35, 0.65},
		use: span{0.2, 0.45}, full: span{0.09, 0.21}, heavy: span{0.08, 0.12}, heavyX: span{2.7, 4.8}, spiky: span{0.12, 0.22}, spikeX: span{4.3, 7.8},
		spikeLasts: span{0.6, 4.8}, spikeEvery: span{11, 24}, skew: span{0.8, 1.5}, shift: span{3.3, 6.7}, otherNodeFraction: span{0.05, 0.75}, meter: time.Second, late: span{0.6, 1.3},
		plans: []quotaPlan{
			{name: "basic", share: 0.25, price: 0.7, overCost: 0.6, rate: span{1.2, 2}, burst: span{4.2, 5.6}, spread: span{0.5, 1}},
			{name: "standard", share: 0.32, price: 1.1, overCost: 0.8, rate: span{2.7, 4.5}, burst: span{3.2, 5.8}, spread: span{0.5, 1}},
			{name: "enterprise", share: 0.43, price: 1.4, overCost: 1.2, rate: span{11, 17}, burst: span{1.2, 2.4}, hardLimit: span{1.8, 2.5}, spread: span{0.5, 1}},
		},
	},
	"library": {
		does: "units by size, large rates, one plan with an open limit alone", units: bySize, maxUnits: 4,
		use: span{0.17, 0.45}, full: span{0.09, 0.21}, heavy: span{0.07, 0.13}, heavyX: span{2.8, 4.8}, spiky: span{0.15, 0.24}, spikeX: span{3, 6.3},
		spikeLasts: span{1.7, 4.2}, spikeEvery: span{12, 23}, skew: span{0.8, 1.5}, shift: span{3.4, 8.7}, otherNodeFraction: span{0.05, 0.6}, meter: time.Second, late: span{0.6, 1.3},
		plans: []quotaPlan{
			{name: "basic", share: 0.25, price: 0.9, overCost: 1.2, rate: span{1.9, 3.1}, burst: span{3.3, 5.6}, spread: span{0.5, 1}},
			{name: "standard", share: 0.32, price: 1.3, overCost: 1.2, rate: span{9.5, 15}, openOnly: true, open: span{2.2, 3}, spread: span{0.5, 1}},
			{name: "enterprise", share: 0.43, price: 1.8, overCost: 1.2, rate: span{38, 60}, burst: span{1.3, 2.9}, spread: span{0.5, 1}},
		},
	},
	"archive": {
		does: "guessed units, one plan with both limits, weights that shift seldom", units: guessed, maxUnits: 3, guessCV: span{0.3, 0.6},
		use: span{0.2, 0.45}, full: span{0.1, 0.25}, heavy: span{0.05, 0.12}, heavyX: span{2, 4.5}, spiky: span{0.1, 0.22}, spikeX: span{3, 7},
		spikeLasts: span{0.8, 4.5}, spikeEvery: span{11, 24}, skew: span{0.5, 1.4}, shift: span{4, 12}, otherNodeFraction: span{0.05, 0.7}, meter: time.Second, late: span{0.6, 1.3},
		plans: []quotaPlan{
			{name: "basic", share: 0.25, price: 0.8, overCost: 0.6, rate: span{1.5, 2.5}, burst: span{4, 6}, spread: span{0.4, 1}},
			{name: "standard", share: 0.32, price: 1.2, overCost: 0.9, rate: span{5, 9}, burst: span{2, 4}, open: span{2, 3}, spread: span{0.5, 1}},
			{name: "enterprise", share: 0.43, price: 1.5, overCost: 1.2, rate: span{16, 26}, burst: span{1.5, 3}, hardLimit: span{1.8, 2.5}, spread: span{0.4, 1}},
		},
	},
	"cableway": {
		does: "units by class, two plans, a meter of 1.5 s", units: byClass, maxUnits: 2,
		use: span{0.2, 0.5}, full: span{0.1, 0.25}, heavy: span{0.05, 0.1}, heavyX: span{1.8, 4}, spiky: span{0.1, 0.2}, spikeX: span{2, 6},
		spikeLasts: span{0.5, 4}, spikeEvery: span{10, 25}, skew: span{0.4, 1.2}, shift: span{5, 15}, otherNodeFraction: span{0.1, 0.6}, meter: 1500 * time.Millisecond, late: span{0.6, 1.2},
		plans: []quotaPlan{
			{name: "basic", share: 0.4, price: 0.9, overCost: 0.7, rate: span{3, 6}, burst: span{2.5, 5}, spread: span{0.3, 0.8}},
			{name: "standard", share: 0.6, price: 1.3, overCost: 1, rate: span{14, 24}, burst: span{1.2, 3}, spread: span{0.5, 1}},
		},
	},
	"kiosk": {
		does: "requests of one unit, sets of some nodes, no meter", units: oneUnit, maxUnits: 1,
		use: span{0.15, 0.5}, full: span{0.1, 0.3}, heavy: span{0.04, 0.12}, heavyX: span{1.6, 4}, spiky: span{0.1, 0.25}, spikeX: span{2, 6},
		spikeLasts: span{0.5, 4}, spikeEvery: span{10, 25}, skew: span{0.3, 1}, shift: span{5, 25}, otherNodeFraction: span{0, 0.6},
		plans: []quotaPlan{
			{name: "basic", share: 0.5, price: 1, overCost: 0.6, rate: span{3, 5}, burst: span{2, 4}, spread: span{0.01, 0.05}},
			{name: "standard", share: 0.5, price: 1.3, overCost: 0.9, rate: span{8, 14}, burst: span{1.5, 3}, spread: span{0.02, 0.1}},
		},
	},
}

// QuotaHelp says what a world is.
func QuotaHelp(name string) string { return quotaWorlds[name].does }

// request draws a request's units: those it is told to take, and the true ones.
func (f *quotaWorld) request(class int, cv float64, r *rand.Rand) (units, cost float64) {
	switch f.units {
	case byClass:
		cost = float64(1 + class)
	case bySize, guessed:
		cost = min(f.maxUnits, math.Ceil(1.3*r.ExpFloat64()))
	default:
		cost = 1
	}
	if units = cost; f.units == guessed {
		units = min(f.maxUnits, max(1, math.Round(cost*math.Exp(cv*r.NormFloat64()))))
	}
	return units, cost
}

// meanCost is the units of a request on average.
func (f *quotaWorld) meanCost() float64 {
	r, sum := stream(1, 7), 0.0
	const draws = 4096
	for i := range draws {
		_, cost := f.request(i%2, 0, r)
		sum += cost
	}
	return sum / draws
}

// terms draws the plans as a deployment has them, and the rate that demand goes by in each.
func (f *quotaWorld) terms(r *rand.Rand) (plans []control.Plan, rates []float64) {
	for _, t := range f.plans {
		rate := t.rate.draw(r)
		p := control.Plan{Name: t.name, Price: t.price, OverQuotaCost: t.overCost}
		if t.open != (span{}) {
			p.MaxInFlight = max(2, int(math.Ceil(t.open.draw(r)*rate/f.meanCost()*dayWork)))
		}
		if !t.openOnly {
			p.QuotaRate, p.QuotaBurst = rate, max(2*f.maxUnits, rate*t.burst.draw(r))
		}
		if t.hardLimit != (span{}) {
			x := t.hardLimit.draw(r)
			p.QuotaBurst = max(p.QuotaBurst, 4*f.maxUnits)
			p.HardLimitRate, p.HardLimitBurst = x*rate, x*p.QuotaBurst
			p.HardLimitSlack = max(0.1*p.HardLimitBurst, f.maxUnits)
		}
		plans, rates = append(plans, p), append(rates, rate)
	}
	return plans, rates
}

// kind is how a customer asks.
type kind string

const (
	calmKind  kind = "calm"
	fullKind  kind = "full"
	heavyKind kind = "heavy"
	spikyKind kind = "spiky, between"
	inSpike   kind = "spiky, in a spike"
)

// demand is what a customer of a world of quotas asks.
type demand struct {
	rng     *rand.Rand // its own, so that two policies see the same first tries
	kind    kind
	usual   float64 // requests a second
	spike   float64 // and in a spike
	spikes  [][2]time.Duration
	weights []float64 // running sums over its set
}

func (d *demand) inSpike(at time.Duration) bool {
	return slices.ContainsFunc(d.spikes, func(s [2]time.Duration) bool { return s[0] <= at && at < s[1] })
}

// at is what it asks at a time, and how it asks then.
func (d *demand) at(at time.Duration) (float64, kind) {
	if d.inSpike(at) {
		return d.spike, inSpike
	}
	return d.usual, d.kind
}

// shift draws the weights of its set.
func (d *demand) shift(skew float64, spread int) {
	d.weights = make([]float64, spread)
	sum := 0.0
	for i := range d.weights {
		sum += math.Exp(skew * d.rng.NormFloat64())
		d.weights[i] = sum
	}
}

// place draws one of its set.
func (d *demand) place(r *rand.Rand) int {
	k, _ := slices.BinarySearch(d.weights, r.Float64()*d.weights[len(d.weights)-1])
	return min(k, len(d.weights)-1)
}
