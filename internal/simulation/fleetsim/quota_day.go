package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lockflow/control"
	"lockflow/internal/simulation/fleetrules"
)

// The calm day in a world of quotas: its customers, and what one gateway that saw all would have done.

const (
	quotaOfferedFraction = 0.45 // part of the servers' capacity that is asked for inside quotas
	maxScriptedBurst     = 1.5  // the most by which a day's script raises what is asked
)

// Policy decides on quotas.
type Policy string

// The policies: that of the module, and two that see late how each customer truly stands over the whole
// group, which no node can. One lets in what the store held then, less what the same instance has let in
// since. The other thins what was asked then to the rate and a part of the store.
const (
	ByModule  Policy = "module"
	LateStore Policy = "late store"
	LateUse   Policy = "late use"
)

// Policies are all of them, in the order of reports.
var Policies = []Policy{ByModule, LateStore, LateUse}

// QuotaOptions say what is played.
type QuotaOptions struct {
	World             string
	Policy            Policy
	PolicyDelay       time.Duration // by which a late-seeing policy sees; below 0 is a meter period and the meter's lateness, or 2 s without a meter
	Instances         int
	Duration          time.Duration // 25 s
	Load              float64       // times what is asked usually; 1
	Seed              uint64
	ExplainsAdmission bool // tells by what the module let a try in, which takes three times as long

	observe observer // nil observes nothing
}

// QuotaReport is what came of a day in a world of quotas. Worth is counted in parts of what one gateway
// that saw all first tries would let in.
type QuotaReport struct {
	World                        string                  `json:"world"`
	Policy                       Policy                  `json:"policy"`
	Instances                    int                     `json:"instances"`
	Seed                         uint64                  `json:"seed"`
	DelaySeconds                 float64                 `json:"late_s"` // of the meter, or of what the late-seeing policy sees
	Calls                        int                     `json:"first_tries"`
	Requests                     int                     `json:"tries"`
	Served                       float64                 `json:"served"` // worth of tries inside quotas that were answered, with late_share after the aim
	OverQuotaPrice               float64                 `json:"price"`  // over_cost times the worth of the tries beyond
	OverQuotaFraction            float64                 `json:"beyond"` // part of the units sent on
	Excess                       float64                 `json:"excess"` // units of first tries beyond what one gateway would let in, over those within
	RejectedFraction             float64                 `json:"refused"`
	RequestsRejectedWithCapacity float64                 `json:"refused_with_room"`          // part of the tries, refused while half of the quota was unused
	CallsRejectedWithCapacity    float64                 `json:"requests_refused_with_room"` // part of the requests with such a try
	CallsLostWithCapacity        float64                 `json:"requests_lost_with_room"`    // and that were never sent on
	Broken                       map[fleetrules.Rule]int `json:"broken"`
	// Cells are the same by plan, by spread and by what was so at a try, in the order of CellNames.
	Cells map[string]map[string]*Cell `json:"cells"`
}

// Cell is what came of the tries of a sort.
type Cell struct {
	Requests             int     `json:"tries"`
	ForwardedUnits       float64 `json:"sent"`   // units
	OverQuotaUnits       float64 `json:"beyond"` // units
	OverQuotaPrice       float64 `json:"price"`  // a part of the whole price
	Rejections           int     `json:"refused"`
	RejectedWithCapacity int     `json:"refused_with_room"`
	OfferedWeight        float64 `json:"offered"` // worth, as a part of all
}

// nodeCustomer is a customer at an instance.
type nodeCustomer struct {
	node int
	cust *dayCustomer
}

// customerKnowledge is what an instance could know of a customer.
type customerKnowledge struct {
	hasForwarded bool
	hasReading   bool
	lastReading  time.Duration
	admissions   []admission // by the late-seeing policy
}

type admission struct {
	id    string
	at    time.Duration
	units float64
}

// quotaDay is a day's part that worlds of quotas add. Its methods do nothing on nil.
type quotaDay struct {
	world                *world
	deployment           *quotaDeployment
	policy               Policy
	explainsAdmission    bool
	meterDelay           time.Duration // of the meter
	policyDelay          time.Duration // by which the late-seeing policy sees
	plans                []control.Plan
	rates                []float64
	guessCV              float64
	skew                 float64
	otherNodeFraction    float64 // part of the retries through another node
	accounts             map[*dayCustomer]*quotaAccount
	guessedAccounts      map[*dayCustomer]*quotaAccount // as the true ones, of guesses alone
	singleGateway        map[*dayCustomer]*quotaAccount // of first tries, at one gateway that saw all
	known                map[nodeCustomer]*customerKnowledge
	result               QuotaReport
	offeredWeight        float64
	servedWeight         float64 // served inside
	overQuotaPrice       float64
	forwardedUnits       float64 // sent on
	excess               struct{ in, over float64 }
	policyRand           *rand.Rand // of the late-seeing policy
	overQuotaUnits       float64
	rejections           int
	rejectedWithCapacity int
	calls                struct{ rejectedWithCapacity, lost int }
}

// Quotas plays the calm day in a world of quotas. The same options give the same report, and two policies
// see the same first tries.
func Quotas(o QuotaOptions) (QuotaReport, error) {
	f := quotaDeployments[o.World]
	if f == nil {
		return QuotaReport{}, fmt.Errorf("there is no world of quotas %q; there are %v", o.World, QuotaNames)
	}
	p, err := dayOf("calm")
	if err != nil {
		return QuotaReport{}, err
	}
	_, rep, err := playQuotas(o, f, p)
	return rep, err
}

// playQuotas plays a day's script in a world of quotas.
func playQuotas(o QuotaOptions, f *quotaDeployment, p dayPlan) (*quotaDay, QuotaReport, error) {
	q := &quotaDay{deployment: f, policy: o.Policy, explainsAdmission: o.ExplainsAdmission && o.Policy == ByModule, accounts: map[*dayCustomer]*quotaAccount{}, singleGateway: map[*dayCustomer]*quotaAccount{}, guessedAccounts: map[*dayCustomer]*quotaAccount{}, known: map[nodeCustomer]*customerKnowledge{}}
	r := stream(o.Seed, 3)
	q.plans, q.rates = f.drawPlans(r)
	q.meterDelay = time.Duration(f.meterDelay.draw(r) * float64(time.Second))
	q.policyRand = stream(o.Seed, 4)
	q.guessCV, q.skew, q.otherNodeFraction = f.guessCV.draw(r), f.skew.draw(r), f.otherNodeFraction.draw(r)
	if q.policyDelay = o.PolicyDelay; o.PolicyDelay < 0 {
		if q.policyDelay = f.meterPeriod + q.meterDelay; f.meterPeriod == 0 {
			q.policyDelay = 2 * time.Second
		}
	}
	p.quotas = q
	day, err := play(DayOptions{Day: "calm", Instances: o.Instances, Duration: o.Duration, Load: o.Load, Seed: o.Seed, observe: o.observe}, p)
	if err != nil {
		return nil, QuotaReport{}, err
	}
	rep := q.report(day)
	rep.World, rep.Policy = o.World, o.Policy
	return q, rep, nil
}

// settings are what the instances are told.
func (q *quotaDay) settings(s *control.Settings) {
	if q == nil {
		return
	}
	s.Plans, s.MeterPeriod, s.UnitsInResponse, s.MaxUnits = append([]control.Plan(nil), q.plans...), q.deployment.meterPeriod, q.deployment.units == guessed, q.deployment.maxUnits
	if q.policy != ByModule { // the module has no quota to keep then, and hears of none
		s.MeterPeriod = 0
		for i := range s.Plans {
			s.Plans[i].QuotaRate, s.Plans[i].QuotaBurst, s.Plans[i].MaxInFlight = 0, 0, 0
		}
	}
}

// drawCustomers draws the customers of each plan until they ask its share.
func (q *quotaDay) drawCustomers(w *world) {
	q.world = w
	inside := quotaOfferedFraction * float64(len(w.hosts)) * dayCores / dayWork
	cost := q.deployment.meanCost()
	r := w.clientRand
	full, heavy, spiky := q.deployment.full.draw(r), q.deployment.heavy.draw(r), q.deployment.spiky.draw(r)
	n := 0
	for p, terms := range q.deployment.plans {
		rate := q.rates[p] / cost
		for offered := 0.0; offered < terms.share*inside; n++ {
			d := &demand{rng: stream(w.options.Seed, uint64(1000+n)), kind: calmKind, usualRate: q.deployment.usageFraction.draw(r)}
			part := d.usualRate
			switch x := r.Float64(); {
			case x < full:
				d.kind, d.usualRate = fullKind, 0.95
				part = d.usualRate
			case x < full+heavy:
				d.kind, d.usualRate = heavyKind, q.deployment.heavyMultiple.draw(r)
				part = 1
			case x < full+heavy+spiky:
				d.kind, d.spikeRate = spikyKind, q.deployment.spikeMultiple.draw(r)
				for at := q.deployment.spikeInterval.draw(r) * r.Float64(); at < w.options.Duration.Seconds(); at += q.deployment.spikeInterval.draw(r) {
					ends := at + q.deployment.spikeDuration.draw(r)
					d.spikes = append(d.spikes, [2]time.Duration{seconds(at), seconds(ends)})
				}
			}
			offered += part * rate
			d.usualRate, d.spikeRate = d.usualRate*rate, d.spikeRate*rate
			c := &dayCustomer{name: fmt.Sprintf("q%d", n), plan: p, firstNode: r.IntN(w.options.Instances), fanOut: q.drawFanOut(&q.plans[p], terms, r), demand: d}
			w.drawnCustomers = append(w.drawnCustomers, c)
			q.accounts[c], q.singleGateway[c], q.guessedAccounts[c] = newQuotaAccount(&q.plans[p], q.deployment.meterPeriod), newQuotaAccount(&q.plans[p], 0), newQuotaAccount(&q.plans[p], 0)
			q.shiftWeights(c)
			w.At(200*time.Millisecond, func() { q.arrive(c) })
		}
	}
	w.arrivalRate = w.options.Load
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// drawFanOut draws the size of a customer's set: two at least, and of a plan with a ceiling no more than
// each may send two of the largest requests at once.
func (q *quotaDay) drawFanOut(p *control.Plan, t quotaPlan, r *rand.Rand) int {
	n := t.fanOut.draw(r) * float64(q.world.options.Instances)
	if p.HardLimitRate > 0 {
		n = math.Min(n, p.HardLimitBurst/(2*q.deployment.maxUnits))
	}
	return min(max(int(n), 2), q.world.options.Instances)
}

func (q *quotaDay) shiftWeights(c *dayCustomer) {
	c.demand.drawWeights(q.skew, c.fanOut)
	q.world.After(seconds(q.deployment.shiftInterval.draw(c.demand.rng)), func() { q.shiftWeights(c) })
}

// arrive has a customer's first tries come: each moment at which one could come at the most is thinned
// to what is asked then.
func (q *quotaDay) arrive(c *dayCustomer) {
	w, d := q.world, c.demand
	if w.Now() >= w.options.Duration {
		return
	}
	maxRate := math.Max(d.usualRate, d.spikeRate) * maxScriptedBurst * w.options.Load
	if rate, _ := d.rateAt(w.Now()); d.rng.Float64()*maxRate < rate*w.arrivalRate {
		q.startCall(c)
	}
	w.After(seconds(d.rng.ExpFloat64()/maxRate), func() { q.arrive(c) })
}

// startCall is a first try.
func (q *quotaDay) startCall(cust *dayCustomer) {
	w, d := q.world, cust.demand
	c := &call{arrivedAt: w.Now(), customer: cust, class: d.rng.IntN(2)}
	c.units, c.actualUnits = q.deployment.drawUnits(c.class, q.guessCV, d.rng)
	p := &q.plans[cust.plan]
	c.weight = w.rules.Classes[c.class].PriorityWeight * p.Price * c.actualUnits
	one, duration := q.singleGateway[cust], seconds(dayWork*d.rng.ExpFloat64())
	if c.isUnderQuota = one.charge(w.Now(), c.units); c.isUnderQuota {
		one.settle(w.Now(), c.actualUnits-c.units)
		one.beginAttempt(w.Now())
		w.After(duration, func() { one.endAttempt(w.Now()) })
		w.countWeight(c, c.weight, 0)
		q.offeredWeight += c.weight
		q.excess.in += c.units
	} else {
		q.excess.over += c.units
	}
	c.node = (cust.firstNode + d.chooseNode(d.rng)) % len(w.nodes)
	w.result.Calls++
	w.sendRequest(c)
}

// nodeFor is the instance that a try comes to: a retry's mostly the same as before.
func (q *quotaDay) nodeFor(c *call) int {
	if c.requests > 0 && q.world.clientRand.Float64() < q.otherNodeFraction {
		c.node = (c.customer.firstNode + c.customer.demand.chooseNode(q.world.clientRand)) % len(q.world.nodes)
	}
	return c.node
}

// Add adds another's counts, and its parts as one of n.
func (c *Cell) Add(o *Cell, n float64) {
	c.Requests, c.Rejections, c.RejectedWithCapacity = c.Requests+o.Requests, c.Rejections+o.Rejections, c.RejectedWithCapacity+o.RejectedWithCapacity
	c.ForwardedUnits, c.OverQuotaUnits = c.ForwardedUnits+o.ForwardedUnits, c.OverQuotaUnits+o.OverQuotaUnits
	c.OverQuotaPrice, c.OfferedWeight = c.OverQuotaPrice+o.OverQuotaPrice/n, c.OfferedWeight+o.OfferedWeight/n
}
