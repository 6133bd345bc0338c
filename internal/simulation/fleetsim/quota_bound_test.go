package fleetsim

import (
	"fmt"
	"math"
	"testing"
	"time"

	"lockflow/internal/simulation/fleetrules"
)

// boundCase has the drawn settings of one simulation: one plan, of whose customers all or half request demandMultiple
// times their quota and the others a fraction of it.
type boundCase struct {
	instances, nodesPerCustomer int
	demandMultiple              float64 // 0 means that no customer requests more than its quota
	heavy                       float64 // fraction of the customers that request demandMultiple times their quota
	usual                       float64 // request rate of the other customers, as a fraction of the quota's rate
	bucketSize                  float64
	restarts                    string        // which instances restart: "none", "a third" or "all"
	from, to                    time.Duration // measured time span, in complete meter periods
	world                       quotaDeployment
}

const (
	restartTime  = 4 * time.Second         // time at which the restarting instances end
	learningTime = 1500 * time.Millisecond // time allowed for first readings, from the earliest possible report on
	measuredTime = 6 * time.Second         // minimum measured time span
)

// The patterns of customers: any number of nodes and any rate; many nodes and low rates, so that most instances receive
// at most one request of a customer; and each of the two without customers that request more than their quota.
type customerPattern int

const (
	anyCustomers customerPattern = iota
	rareCustomers
	calmCustomers
	calmRareCustomers
)

// drawBoundCase draws a case; the same seed and arguments give the same case.
func drawBoundCase(seed uint64, instances int, restarts string, pattern customerPattern) boundCase {
	r := newRand(seed, 50)
	pick := func(of ...int) int { return of[r.IntN(len(of))] }
	d := boundCase{instances: instances, restarts: restarts, usual: 0.2 + 0.3*r.Float64(), demandMultiple: 2 + 3*r.Float64(), heavy: 1}
	if instances >= 30 { // smaller fleets have too few customers
		d.heavy = 0.5 * float64(pick(1, 2))
	}
	d.nodesPerCustomer = min(instances, pick(1, 2+r.IntN(8), (instances+1)/2, instances))
	maxRate := 40.0 // in units a second
	if pattern == rareCustomers || pattern == calmRareCustomers {
		d.nodesPerCustomer, d.demandMultiple, maxRate = pick((instances+1)/2, instances), 3+2*r.Float64(), 2
	}
	if pattern == calmCustomers || pattern == calmRareCustomers {
		d.demandMultiple, d.heavy = 0, 0
	}
	f := &d.world
	f.units = unitsKind(pick(int(oneUnit), int(byClass), int(bySize), int(estimated)))
	f.maxUnits = map[unitsKind]float64{oneUnit: 1, byClass: 2, bySize: 4, estimated: 4}[f.units]
	f.estimateLogDeviation, f.skew, f.shiftInterval, f.otherNodeFraction = valueRange{0, 0.6}, valueRange{0, 1}, valueRange{4, 15}, valueRange{0, 0.7}
	f.usageFraction, f.heavy, f.heavyMultiple = valueRange{d.usual, d.usual}, valueRange{d.heavy, d.heavy}, valueRange{d.demandMultiple, d.demandMultiple}
	f.meterPeriod = seconds(0.5 + 1.5*r.Float64())
	delay := 0.2 + 1.3*r.Float64()
	f.meterDelay = valueRange{delay, delay}
	// The load is well below the servers' capacity, so that only quotas cause rejections.
	capacity := math.Max(4, serversPerNode*float64(instances)) * dayCores / dayWork
	rate := math.Min(math.Pow(maxRate, r.Float64()), 0.3*capacity*f.meanActualUnits()/math.Max(1, d.demandMultiple))
	d.bucketSize = f.maxUnits + 4*rate*r.Float64()*r.Float64()
	load, calm := 0.25, (1-d.heavy)*d.usual
	if instances >= 200 {
		load = 0.15
	}
	plan := quotaPlan{
		name: "plan", price: 1, overQuotaCost: 0.5 + 0.7*r.Float64(), rate: valueRange{rate, rate}, fanOut: valueRange{1, 1},
		share: load * (d.heavy + calm) / (d.heavy*d.demandMultiple + calm) / quotaOfferedFraction,
	}
	if r.IntN(2) == 0 && d.bucketSize >= f.maxUnits*float64(d.nodesPerCustomer) { // each node's part of the bucket holds two requests of maximum units
		plan.hardLimit = valueRange{2, 2}
	}
	f.plans = []quotaPlan{plan}
	d.from = f.meterPeriod + seconds(delay) + learningTime
	switch restarts {
	case "a third":
		d.from += restartTime + termGrace + 500*time.Millisecond
	case "all":
		d.from += restartTime + time.Second
	}
	d.from = (d.from + f.meterPeriod - 1) / f.meterPeriod * f.meterPeriod
	d.to = d.from + (measuredTime+f.meterPeriod-1)/f.meterPeriod*f.meterPeriod
	return d
}

// script replaces the bucket size and the customers' nodes of the deployment by the drawn ones, and restarts instances.
func (d *boundCase) script(w *world) {
	q := w.script.quotas
	p := &q.plans[0]
	p.QuotaBurst = d.bucketSize
	if p.HardLimitRate > 0 {
		p.HardLimitBurst = 2 * d.bucketSize
		p.HardLimitSlack = math.Max(0.1*p.HardLimitBurst, d.world.maxUnits)
	}
	w.rules = w.settings(0)
	for _, c := range w.drawnCustomers {
		c.fanOut = d.nodesPerCustomer
		c.demand.drawWeights(q.skew, c.fanOut)
		q.accounts[c].tokens, q.singleGateway[c].tokens, q.estimatedAccounts[c].tokens = d.bucketSize, d.bucketSize, d.bucketSize
	}
	w.At(restartTime, func() {
		for i := range w.nodes {
			switch {
			case d.restarts == "a third" && i%3 == 0:
				w.terminate(i)
			case d.restarts == "all":
				w.kill(i)
				w.After(time.Second, func() { w.start(i) })
			}
		}
	})
}

// maxRareUsage returns an upper limit of the usage of customers that request x times their quota's rate, in multiples of
// that rate, if nodes have no reading of a customer when its requests arrive. Nodes then reject such a request with a
// probability that is the over-quota fraction of the plan's usage in first readings.
//
// If a fraction h (heavy) of the customers forwards s times their rate and the others u (usual) times, that fraction is at least
// h(s-1)/(hs+(1-h)u), since each customer is read once. Scatter of the readings only increases it, customers that request
// more are read sooner, and more was forwarded before the first readings. So a request is admitted with a probability of
// at most a <= (h+(1-h)u)/(hs+(1-h)u). A rejected request is retried at most three times, each time with probability 0.8.
// Since error diffusion keeps the remainder of the probability, the k-th request of a call is admitted with a probability
// of at most min(a, 1-(k-1)a). So s <= x*sum(0.8^(k-1)*min(a, 1-(k-1)a)). The right side decreases as s increases, so the
// limit is the s at which both sides are equal. If all customers exceed their quota (h = 1) and none retries, this is
// s = x/s, so s is the square root of x.
func maxRareUsage(x, heavy, usual float64) float64 {
	calm := (1 - heavy) * usual
	lo, hi := 1.0, x
	for range 50 {
		s := (lo + hi) / 2
		a := (heavy + calm) / (heavy*s + calm)
		forwarded, arriving := 0.0, 1.0
		for k := range 4 {
			forwarded += arriving * math.Min(a, math.Max(0, 1-float64(k)*a))
			arriving *= 0.8
		}
		if x*forwarded > s {
			lo = s
		} else {
			hi = s
		}
	}
	return hi
}

// limit returns an upper limit of the units forwarded for a number of customers that exceed their quotas. For a customer
// without readings at its nodes it is maxRareUsage, for one with readings at all its nodes its rate plus one bucket, and
// for customers in between a mean of both, so the larger of the two covers all. Since random arrivals come in requests
// of up to maxUnits, three standard deviations are added.
func (d *boundCase) limit(customers float64) float64 {
	rate, span := d.world.plans[0].rate[0], (d.to - d.from).Seconds()
	limit := customers * math.Max(maxRareUsage(d.demandMultiple, d.heavy, d.usual)*rate*span, rate*span+d.bucketSize)
	return limit + 3*math.Sqrt(limit*d.world.maxUnits)
}

// For random plans, meters, groups and restarts, the units that a fleet forwards for customers over their quotas are
// limited, no hard limit is broken, and requests within quotas are served. Without the rule for customers of whom a node
// has no reading, simulations of such customers with 220 instances or more exceed the limit.
func TestFleetLimitsOverQuotaUnits(t *testing.T) {
	seed := uint64(100)
	play := func(restarts string, pattern customerPattern, sizes ...int) {
		for _, instances := range sizes {
			seed++
			seed := seed
			t.Run(fmt.Sprintf("%d/%d instances, restarted: %s", seed, instances, restarts), func(t *testing.T) {
				t.Parallel()
				drawBoundCase(seed, instances, restarts, pattern).holds(t, seed)
			})
		}
	}
	for i, restarts := range []string{"none", "a third", "all"} {
		play(restarts, anyCustomers, 1, 1, 2, 5, 12, 30, 30, 60, 90)
		play(restarts, rareCustomers, 150, []int{300, 220, 300}[i])
		play(restarts, calmCustomers, 1, 2, 12, 30, 90)
		play(restarts, calmRareCustomers, 60, 120)
	}
}

// holds simulates the case and checks its limits.
func (d boundCase) holds(t *testing.T, seed uint64) {
	q, r, err := runQuotas(QuotaOptions{Policy: ByModule, Instances: d.instances, Duration: d.to, Load: 1, Seed: seed}, &d.world, dayScript{script: d.script})
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
	if limit := d.limit(heavy); d.heavy > 0 && (heavy == 0 || sent > limit) {
		t.Errorf("%.0f units of %.0f customers over quota were forwarded, expected at most %.0f", sent, heavy, limit)
	}
	if r.Broken[fleetrules.HardLimit] > 0 {
		t.Errorf("hard limits exceeded: %v", r.Broken)
	}
	if r.Served < 0.75 && d.instances > 1 { // a single instance serves nothing while it restarts
		t.Errorf("served fraction of the weight within quotas %.2f, expected at least 0.75", r.Served)
	}
	// If the rate allows only a few requests in a meter period, readings of customers within their quota exceed the rate too.
	limit, holds := 0.05, d.world.plans[0].rate[0]*d.world.meterPeriod.Seconds()/d.world.meanActualUnits()
	if holds < 4 {
		limit = 0.12
	}
	if c := r.Cells["refused"]["by_chance"]; d.heavy == 0 && c != nil && float64(c.Rejections) > limit*float64(r.Requests) {
		t.Errorf("of %d requests, %d were rejected by probability although no customer exceeds its quota", r.Requests, c.Rejections)
	}
}
