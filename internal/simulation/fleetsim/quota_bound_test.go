package fleetsim

import (
	"fmt"
	"math"
	"testing"
	"time"

	"lockflow/internal/simulation/fleetrules"
)

// boundDraw are the settings of a play: one plan, of whose customers all or half ask x times their quota and
// the others a part of it.
type boundDraw struct {
	instances, spread int
	x                 float64 // 0 has nobody ask beyond
	heavy             float64 // part of the customers that ask so
	usual             float64 // what the others ask, in parts of the rate
	depth             float64
	again             string        // which instances start again
	from, to          time.Duration // that are counted, in whole periods of the meter
	world             quotaDeployment
}

const (
	boundAgain = 4 * time.Second         // when they end
	boundLearn = 1500 * time.Millisecond // for first readings, from the first that could be told
	boundSpan  = 6 * time.Second         // that is counted, at least
)

// The sorts of plays: customers of any set and rate; those of wide sets and low rates, of whom most
// instances get a request once, if at all; the same two where nobody asks beyond.
type boundSort int

const (
	anyCustomers boundSort = iota
	unseenCustomers
	calmCustomers
	calmUnseen
)

// drawBound draws settings, the same for a seed each time.
func drawBound(seed uint64, instances int, again string, sort boundSort) boundDraw {
	r := stream(seed, 50)
	pick := func(of ...int) int { return of[r.IntN(len(of))] }
	d := boundDraw{instances: instances, again: again, usual: 0.2 + 0.3*r.Float64(), x: 2 + 3*r.Float64(), heavy: 1}
	if instances >= 30 { // else there are few customers
		d.heavy = 0.5 * float64(pick(1, 2))
	}
	d.spread = min(instances, pick(1, 2+r.IntN(8), (instances+1)/2, instances))
	most := 40.0 // rate
	if sort == unseenCustomers || sort == calmUnseen {
		d.spread, d.x, most = pick((instances+1)/2, instances), 3+2*r.Float64(), 2
	}
	if sort == calmCustomers || sort == calmUnseen {
		d.x, d.heavy = 0, 0
	}
	f := &d.world
	f.units = unitsKind(pick(int(oneUnit), int(byClass), int(bySize), int(guessed)))
	f.maxUnits = map[unitsKind]float64{oneUnit: 1, byClass: 2, bySize: 4, guessed: 4}[f.units]
	f.guessCV, f.skew, f.shiftInterval, f.otherNodeFraction = valueRange{0, 0.6}, valueRange{0, 1}, valueRange{4, 15}, valueRange{0, 0.7}
	f.usageFraction, f.heavy, f.heavyMultiple = valueRange{d.usual, d.usual}, valueRange{d.heavy, d.heavy}, valueRange{d.x, d.x}
	f.meterPeriod = seconds(0.5 + 1.5*r.Float64())
	late := 0.2 + 1.3*r.Float64()
	f.meterDelay = valueRange{late, late}
	// All is well within what the servers can do: it is quotas that refuse.
	can := math.Max(4, serversPerNode*float64(instances)) * dayCores / dayWork
	rate := math.Min(math.Pow(most, r.Float64()), 0.3*can*f.meanCost()/math.Max(1, d.x))
	d.depth = f.maxUnits + 4*rate*r.Float64()*r.Float64()
	load, calm := 0.25, (1-d.heavy)*d.usual
	if instances >= 200 {
		load = 0.15
	}
	plan := quotaPlan{
		name: "plan", price: 1, overCost: 0.5 + 0.7*r.Float64(), rate: valueRange{rate, rate}, fanOut: valueRange{1, 1},
		share: load * (d.heavy + calm) / (d.heavy*d.x + calm) / quotaOfferedFraction,
	}
	if r.IntN(2) == 0 && d.depth >= f.maxUnits*float64(d.spread) { // each may send two of the largest at once
		plan.hardLimit = valueRange{2, 2}
	}
	f.plans = []quotaPlan{plan}
	d.from = f.meterPeriod + seconds(late) + boundLearn
	switch again {
	case "a third":
		d.from += boundAgain + termGrace + 500*time.Millisecond
	case "all":
		d.from += boundAgain + time.Second
	}
	d.from = (d.from + f.meterPeriod - 1) / f.meterPeriod * f.meterPeriod
	d.to = d.from + (boundSpan+f.meterPeriod-1)/f.meterPeriod*f.meterPeriod
	return d
}

// script has the drawn depth and sets take the place of the world's, and instances start again.
func (d *boundDraw) script(w *world) {
	q := w.script.quotas
	p := &q.plans[0]
	p.QuotaBurst = d.depth
	if p.HardLimitRate > 0 {
		p.HardLimitBurst = 2 * d.depth
		p.HardLimitSlack = math.Max(0.1*p.HardLimitBurst, d.world.maxUnits)
	}
	w.rules = w.settings(0)
	for _, c := range w.drawnCustomers {
		c.fanOut = d.spread
		c.demand.drawWeights(q.skew, c.fanOut)
		q.accounts[c].tokens, q.singleGateway[c].tokens, q.guessedAccounts[c].tokens = d.depth, d.depth, d.depth
	}
	w.At(boundAgain, func() {
		for i := range w.nodes {
			switch {
			case d.again == "a third" && i%3 == 0:
				w.terminate(i)
			case d.again == "all":
				w.kill(i)
				w.After(time.Second, func() { w.start(i) })
			}
		}
	})
}

// mostUnseen bounds what is sent on of customers that ask x times their rate and come unseen, in parts of
// the rate, by the rule for those: of a plan's use by first readings, a try is refused by the part beyond.
//
// Where h of the customers send s times their rate and the others u, that part is at least h(s-1)/(hs+(1-h)u),
// for each is read once: readings that scatter only add to it, those who ask more are read sooner, and what was
// sent before anything was learned is more. So a try passes by a <= (h+(1-h)u)/(hs+(1-h)u) at the most. One
// that is refused comes again three times at the most, each by 0.8; as the chance carries its remainder on, the
// k-th passes by min(a, 1-(k-1)a) at the most. So s <= x*sum(0.8^(k-1)*min(a, 1-(k-1)a)), which falls as s grows:
// the bound is where both are the same. With nobody calm and no repeats it is s = x/s, the root of x.
func mostUnseen(x, heavy, usual float64) float64 {
	calm := (1 - heavy) * usual
	lo, hi := 1.0, x
	for range 50 {
		s := (lo + hi) / 2
		a := (heavy + calm) / (heavy*s + calm)
		passes, comes := 0.0, 1.0
		for k := range 4 {
			passes += comes * math.Min(a, math.Max(0, 1-float64(k)*a))
			comes *= 0.8
		}
		if x*passes > s {
			lo = s
		} else {
			hi = s
		}
	}
	return hi
}

// most bounds the units that are sent on of so many customers beyond their quotas: of a customer that comes
// unseen as above, of one that is metered wherever it comes by its rate and a store, and by a mean of both in
// between. What comes by chance comes in requests, for which three deviations are allowed.
func (d *boundDraw) most(customers float64) float64 {
	rate, span := d.world.plans[0].rate[0], (d.to - d.from).Seconds()
	most := customers * math.Max(mostUnseen(d.x, d.heavy, d.usual)*rate*span, rate*span+d.depth)
	return most + 3*math.Sqrt(most*d.world.maxUnits)
}

// Whatever the plan, the meter and the group, and however its instances began, what a fleet sends on of
// customers beyond their quotas is bounded, no ceiling is broken, and what is asked inside quotas is served.
// Without the rule for customers that come unseen, plays of them with 220 instances and more are beyond the bound.
func TestFleetBoundsWhatIsBeyondQuotas(t *testing.T) {
	seed := uint64(100)
	play := func(again string, sort boundSort, sizes ...int) {
		for _, instances := range sizes {
			seed++
			seed := seed
			t.Run(fmt.Sprintf("%d/%d instances, %s again", seed, instances, again), func(t *testing.T) {
				t.Parallel()
				drawBound(seed, instances, again, sort).holds(t, seed)
			})
		}
	}
	for i, again := range []string{"none", "a third", "all"} {
		play(again, anyCustomers, 1, 1, 2, 5, 12, 30, 30, 60, 90)
		play(again, unseenCustomers, 150, []int{300, 220, 300}[i])
		play(again, calmCustomers, 1, 2, 12, 30, 90)
		play(again, calmUnseen, 60, 120)
	}
}

// holds plays the draw and holds it to its bounds.
func (d boundDraw) holds(t *testing.T, seed uint64) {
	q, r, err := playQuotas(QuotaOptions{Policy: ByModule, Instances: d.instances, Duration: d.to, Load: 1, Seed: seed}, &d.world, dayPlan{script: d.script})
	if err != nil {
		t.Fatal(err)
	}
	sent, heavy := 0.0, 0.0
	for c, l := range q.accounts {
		if c.demand.kind != heavyKind {
			continue
		}
		heavy++
		for i := d.from / d.world.meterPeriod; i < d.to/d.world.meterPeriod && int(i) < len(l.usages); i++ {
			sent += l.usages[i].units
		}
	}
	if most := d.most(heavy); d.heavy > 0 && (heavy == 0 || sent > most) {
		t.Errorf("%.0f units of %.0f customers are sent on, not %.0f at most", sent, heavy, most)
	}
	if r.Broken[fleetrules.HardLimit] > 0 {
		t.Errorf("broken: %v", r.Broken)
	}
	if r.Served < 0.75 && d.instances > 1 { // one alone serves nothing while it starts again
		t.Errorf("of what is inside %.2f is served", r.Served)
	}
	// Where the rate gives a period less than some requests, readings of calm customers are beyond it too.
	most, holds := 0.05, d.world.plans[0].rate[0]*d.world.meterPeriod.Seconds()/d.world.meanCost()
	if holds < 4 {
		most = 0.12
	}
	if c := r.Cells["refused"]["by_chance"]; d.heavy == 0 && c != nil && float64(c.Rejections) > most*float64(r.Requests) {
		t.Errorf("of %d tries %d are refused by chance with nobody beyond", r.Requests, c.Rejections)
	}
}
