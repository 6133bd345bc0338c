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
	quotaOffered = 0.45 // part of the servers' capacity that is asked for inside quotas
	dayBurst     = 1.5  // the most by which a day's script raises what is asked
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
	World     string
	Policy    Policy
	Late      time.Duration // by which a late-seeing policy sees; below 0 is a meter period and the meter's lateness, or 2 s without a meter
	Instances int
	Lasts     time.Duration // 25 s
	Load      float64       // times what is asked usually; 1
	Seed      uint64
	Why       bool // tells by what the module let a try in, which takes three times as long

	observe observer // nil observes nothing
}

// QuotaReport is what came of a day in a world of quotas. Worth is counted in parts of what one gateway
// that saw all first tries would let in.
type QuotaReport struct {
	World                     string                  `json:"world"`
	Policy                    Policy                  `json:"policy"`
	Instances                 int                     `json:"instances"`
	Seed                      uint64                  `json:"seed"`
	Late                      float64                 `json:"late_s"` // of the meter, or of what the late-seeing policy sees
	First                     int                     `json:"first_tries"`
	Tries                     int                     `json:"tries"`
	Served                    float64                 `json:"served"` // worth of tries inside quotas that were answered, with late_share after the aim
	Price                     float64                 `json:"price"`  // over_cost times the worth of the tries beyond
	Beyond                    float64                 `json:"beyond"` // part of the units sent on
	Excess                    float64                 `json:"excess"` // units of first tries beyond what one gateway would let in, over those within
	Refused                   float64                 `json:"refused"`
	TriesRejectedWithCapacity float64                 `json:"refused_with_room"`          // part of the tries, refused while half of the quota was unused
	CallsRejectedWithCapacity float64                 `json:"requests_refused_with_room"` // part of the requests with such a try
	CallsLostWithCapacity     float64                 `json:"requests_lost_with_room"`    // and that were never sent on
	Broken                    map[fleetrules.Rule]int `json:"broken"`
	// Cells are the same by plan, by spread and by what was so at a try, in the order of CellNames.
	Cells map[string]map[string]*Cell `json:"cells"`
}

// Cell is what came of the tries of a sort.
type Cell struct {
	Tries                int     `json:"tries"`
	Sent                 float64 `json:"sent"`   // units
	Beyond               float64 `json:"beyond"` // units
	Price                float64 `json:"price"`  // a part of the whole price
	Refused              int     `json:"refused"`
	RejectedWithCapacity int     `json:"refused_with_room"`
	Offered              float64 `json:"offered"` // worth, as a part of all
}

// place is a customer at an instance.
type place struct {
	node int
	cust *dayCustomer
}

// known is what an instance could know of a customer.
type known struct {
	sent   bool
	read   bool
	readAt time.Duration
	grants []grant // by the late-seeing policy
}

type grant struct {
	id    string
	at    time.Duration
	units float64
}

// quotaDay is a day's part that worlds of quotas add. Its methods do nothing on nil.
type quotaDay struct {
	w                    *world
	f                    *quotaWorld
	policy               Policy
	why                  bool
	late                 time.Duration // of the meter
	sees                 time.Duration // by which the late-seeing policy sees
	plans                []control.Plan
	rates                []float64
	cv                   float64
	skew                 float64
	other                float64 // part of the retries through another node
	truth                map[*dayCustomer]*quotaAccount
	rough                map[*dayCustomer]*quotaAccount // as the true ones, of guesses alone
	singleGateway        map[*dayCustomer]*quotaAccount // of first tries, at one gateway that saw all
	known                map[place]*known
	rep                  QuotaReport
	offeredWeight        float64
	good                 float64 // served inside
	price                float64
	units                float64 // sent on
	excess               struct{ in, over float64 }
	luck                 *rand.Rand // of the late-seeing policy
	beyond               float64
	refs                 int
	rejectedWithCapacity int
	calls                struct{ rejectedWithCapacity, lost int }
}

// Quotas plays the calm day in a world of quotas. The same options give the same report, and two policies
// see the same first tries.
func Quotas(o QuotaOptions) (QuotaReport, error) {
	f := quotaWorlds[o.World]
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
func playQuotas(o QuotaOptions, f *quotaWorld, p dayPlan) (*quotaDay, QuotaReport, error) {
	q := &quotaDay{f: f, policy: o.Policy, why: o.Why && o.Policy == ByModule, truth: map[*dayCustomer]*quotaAccount{}, singleGateway: map[*dayCustomer]*quotaAccount{}, rough: map[*dayCustomer]*quotaAccount{}, known: map[place]*known{}}
	r := stream(o.Seed, 3)
	q.plans, q.rates = f.terms(r)
	q.late = time.Duration(f.late.draw(r) * float64(time.Second))
	q.luck = stream(o.Seed, 4)
	q.cv, q.skew, q.other = f.guessCV.draw(r), f.skew.draw(r), f.otherNodeFraction.draw(r)
	if q.sees = o.Late; o.Late < 0 {
		if q.sees = f.meter + q.late; f.meter == 0 {
			q.sees = 2 * time.Second
		}
	}
	p.quotas = q
	day, err := play(DayOptions{Day: "calm", Instances: o.Instances, Lasts: o.Lasts, Load: o.Load, Seed: o.Seed, observe: o.observe}, p)
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
	s.Plans, s.MeterPeriod, s.UnitsInResponse, s.MaxUnits = append([]control.Plan(nil), q.plans...), q.f.meter, q.f.units == guessed, q.f.maxUnits
	if q.policy != ByModule { // the module has no quota to keep then, and hears of none
		s.MeterPeriod = 0
		for i := range s.Plans {
			s.Plans[i].QuotaRate, s.Plans[i].QuotaBurst, s.Plans[i].MaxInFlight = 0, 0, 0
		}
	}
}

// people draws the customers of each plan until they ask its share.
func (q *quotaDay) people(w *world) {
	q.w = w
	inside := quotaOffered * float64(len(w.hosts)) * dayCores / dayWork
	cost := q.f.meanCost()
	r := w.clientRand
	full, heavy, spiky := q.f.full.draw(r), q.f.heavy.draw(r), q.f.spiky.draw(r)
	n := 0
	for p, terms := range q.f.plans {
		rate := q.rates[p] / cost
		for offered := 0.0; offered < terms.share*inside; n++ {
			d := &demand{rng: stream(w.o.Seed, uint64(1000+n)), kind: calmKind, usual: q.f.use.draw(r)}
			part := d.usual
			switch x := r.Float64(); {
			case x < full:
				d.kind, d.usual = fullKind, 0.95
				part = d.usual
			case x < full+heavy:
				d.kind, d.usual = heavyKind, q.f.heavyX.draw(r)
				part = 1
			case x < full+heavy+spiky:
				d.kind, d.spike = spikyKind, q.f.spikeX.draw(r)
				for at := q.f.spikeEvery.draw(r) * r.Float64(); at < w.o.Lasts.Seconds(); at += q.f.spikeEvery.draw(r) {
					ends := at + q.f.spikeLasts.draw(r)
					d.spikes = append(d.spikes, [2]time.Duration{seconds(at), seconds(ends)})
				}
			}
			offered += part * rate
			d.usual, d.spike = d.usual*rate, d.spike*rate
			c := &dayCustomer{name: fmt.Sprintf("q%d", n), plan: p, first: r.IntN(w.o.Instances), spread: q.spread(&q.plans[p], terms, r), demand: d}
			w.custs = append(w.custs, c)
			q.truth[c], q.singleGateway[c], q.rough[c] = newQuotaAccount(&q.plans[p], q.f.meter), newQuotaAccount(&q.plans[p], 0), newQuotaAccount(&q.plans[p], 0)
			q.shift(c)
			w.At(200*time.Millisecond, func() { q.arrive(c) })
		}
	}
	w.arrivalRate = w.o.Load
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// spread draws the size of a customer's set: two at least, and of a plan with a ceiling no more than
// each may send two of the largest requests at once.
func (q *quotaDay) spread(p *control.Plan, t quotaPlan, r *rand.Rand) int {
	n := t.spread.draw(r) * float64(q.w.o.Instances)
	if p.HardLimitRate > 0 {
		n = math.Min(n, p.HardLimitBurst/(2*q.f.maxUnits))
	}
	return min(max(int(n), 2), q.w.o.Instances)
}

func (q *quotaDay) shift(c *dayCustomer) {
	c.demand.shift(q.skew, c.spread)
	q.w.After(seconds(q.f.shift.draw(c.demand.rng)), func() { q.shift(c) })
}

// arrive has a customer's first tries come: each moment at which one could come at the most is thinned
// to what is asked then.
func (q *quotaDay) arrive(c *dayCustomer) {
	w, d := q.w, c.demand
	if w.Now() >= w.o.Lasts {
		return
	}
	maxRate := math.Max(d.usual, d.spike) * dayBurst * w.o.Load
	if rate, _ := d.at(w.Now()); d.rng.Float64()*maxRate < rate*w.arrivalRate {
		q.firstTry(c)
	}
	w.After(seconds(d.rng.ExpFloat64()/maxRate), func() { q.arrive(c) })
}

// firstTry is a first try.
func (q *quotaDay) firstTry(cust *dayCustomer) {
	w, d := q.w, cust.demand
	c := &call{at: w.Now(), cust: cust, class: d.rng.IntN(2)}
	c.units, c.cost = q.f.request(c.class, q.cv, d.rng)
	p := &q.plans[cust.plan]
	c.weight = w.rules.Classes[c.class].PriorityWeight * p.Price * c.cost
	one, took := q.singleGateway[cust], seconds(dayWork*d.rng.ExpFloat64())
	if c.inside = one.send(w.Now(), c.units); c.inside {
		one.settle(w.Now(), c.cost-c.units)
		one.began(w.Now())
		w.After(took, func() { one.ended(w.Now()) })
		w.count(c, c.weight, 0)
		q.offeredWeight += c.weight
		q.excess.in += c.units
	} else {
		q.excess.over += c.units
	}
	c.node = (cust.first + d.place(d.rng)) % len(w.nodes)
	w.rep.First++
	w.try(c)
}

// at is the instance that a try comes to: a retry's mostly the same as before.
func (q *quotaDay) at(c *call) int {
	if c.tries > 0 && q.w.clientRand.Float64() < q.other {
		c.node = (c.cust.first + c.cust.demand.place(q.w.clientRand)) % len(q.w.nodes)
	}
	return c.node
}

// Add adds another's counts, and its parts as one of n.
func (c *Cell) Add(o *Cell, n float64) {
	c.Tries, c.Refused, c.RejectedWithCapacity = c.Tries+o.Tries, c.Refused+o.Refused, c.RejectedWithCapacity+o.RejectedWithCapacity
	c.Sent, c.Beyond = c.Sent+o.Sent, c.Beyond+o.Beyond
	c.Price, c.Offered = c.Price+o.Price/n, c.Offered+o.Offered/n
}
