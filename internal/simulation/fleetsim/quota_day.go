package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lockflow/control"
	"lockflow/internal/simulation/fleetrules"
)

// This file simulates the day "calm" with the customers and quotas of a deployment. The reference is a single gateway that decides on all calls.

const (
	quotaOfferedFraction = 0.45 // load within quotas, as a fraction of the servers' capacity
	maxScriptedBurst     = 1.5  // largest factor by which a day's script increases the load
)

// Policy selects what decides whether a request is within its quota.
type Policy string

// The policies: the decision module, and two references that know the exact state of each quota over the complete
// group with a delay, which no real node can. DelayedBucket admits a request if the delayed bucket state, less what the
// same node has admitted since, suffices. DelayedUsage admits with the probability that limits the usage at the delayed
// time to the quota.
const (
	ByModule      Policy = "module"
	DelayedBucket Policy = "late store"
	DelayedUsage  Policy = "late use"
)

// Policies lists all policies in the order of reports.
var Policies = []Policy{ByModule, DelayedBucket, DelayedUsage}

// QuotaOptions configures Quotas.
type QuotaOptions struct {
	Deployment        string
	Policy            Policy
	PolicyDelay       time.Duration // of DelayedBucket and DelayedUsage; negative means the meter's period plus its delay, or 2 s without a meter
	Instances         int
	Duration          time.Duration // 0 means the default of 25 s
	Load              float64       // in multiples of the usual load; default 1
	Seed              uint64
	ExplainsAdmission bool // counts requests by the reason of their admission by the module; triples the run time

	observe observer // may be nil
}

// QuotaReport is the result of Quotas. Weights are fractions of the weight that a single gateway for all calls would
// admit as within quotas.
type QuotaReport struct {
	Deployment                   string                  `json:"world"`
	Policy                       Policy                  `json:"policy"`
	Instances                    int                     `json:"instances"`
	Seed                         uint64                  `json:"seed"`
	DelaySeconds                 float64                 `json:"late_s"` // delay of the meter with ByModule, and of the policy otherwise
	Calls                        int                     `json:"first_tries"`
	Requests                     int                     `json:"tries"`
	Served                       float64                 `json:"served"` // weight of served requests within quotas; late ones count by LateWeightFraction
	OverQuotaPrice               float64                 `json:"price"`  // weight of the requests over quota, each times the plan's OverQuotaCost
	OverQuotaFraction            float64                 `json:"beyond"` // fraction of the forwarded units that were over quota
	Excess                       float64                 `json:"excess"` // units of calls that a single gateway would reject, relative to those that it would admit
	RejectedFraction             float64                 `json:"refused"`
	RequestsRejectedWithCapacity float64                 `json:"refused_with_room"`          // fraction of the requests rejected while at least half of the quota was unused
	CallsRejectedWithCapacity    float64                 `json:"requests_refused_with_room"` // fraction of the calls with at least one such request
	CallsLostWithCapacity        float64                 `json:"requests_lost_with_room"`    // fraction of the calls with such a request that were never forwarded
	Broken                       map[fleetrules.Rule]int `json:"broken"`
	// Cells are these results by dimension (CellDimensions) and by the value of the dimension.
	Cells map[string]map[string]*Cell `json:"cells"`
}

// Cell is the result of the requests that have one value of a dimension.
type Cell struct {
	Requests             int     `json:"tries"`
	ForwardedUnits       float64 `json:"sent"`   // units
	OverQuotaUnits       float64 `json:"beyond"` // units
	OverQuotaPrice       float64 `json:"price"`  // fraction of the total
	Rejections           int     `json:"refused"`
	RejectedWithCapacity int     `json:"refused_with_room"`
	OfferedWeight        float64 `json:"offered"` // fraction of the total
}

// nodeCustomer identifies a customer at one node.
type nodeCustomer struct {
	node int
	cust *dayCustomer
}

// customerKnowledge is the information that one node has about a customer.
type customerKnowledge struct {
	hasForwarded bool
	hasReading   bool
	lastReading  time.Duration
	admissions   []admission // used by DelayedBucket only
}

type admission struct {
	id    string
	at    time.Duration
	units float64
}

// quotaDay is the state that Quotas adds to a day. The methods that every day calls accept nil and then do nothing.
type quotaDay struct {
	world                *world
	deployment           *quotaDeployment
	policy               Policy
	explainsAdmission    bool
	meterDelay           time.Duration // from the end of a meter period until its usage is reported
	policyDelay          time.Duration // age of the state that DelayedBucket and DelayedUsage decide on
	plans                []control.Plan
	rates                []float64
	estimateLogDeviation float64
	skew                 float64
	otherNodeFraction    float64 // fraction of retries that draw a new node
	accounts             map[*dayCustomer]*quotaAccount
	estimatedAccounts    map[*dayCustomer]*quotaAccount // charged by estimated units alone, without settling
	singleGateway        map[*dayCustomer]*quotaAccount // accounts of a single gateway that decides on all calls
	knowledgeByNode      map[nodeCustomer]*customerKnowledge
	result               QuotaReport
	offeredWeight        float64
	servedWeight         float64 // served weight within quotas
	overQuotaPrice       float64
	forwardedUnits       float64 // units of all forwarded requests
	excess               struct{ underQuota, overQuota float64 }
	policyRand           *rand.Rand // used by DelayedUsage only
	overQuotaUnits       float64
	rejections           int
	rejectedWithCapacity int
	calls                struct{ rejectedWithCapacity, lost int }
}

// RunQuotas simulates the day "calm" with the customers and quotas of a deployment. The same options give the same report,
// and all policies receive the same calls.
func RunQuotas(o QuotaOptions) (QuotaReport, error) {
	deployment := quotaDeployments[o.Deployment]
	if deployment == nil {
		return QuotaReport{}, fmt.Errorf("unknown quota deployment %q; expected one of %v", o.Deployment, DeploymentNames)
	}
	script, err := dayByName("calm")
	if err != nil {
		return QuotaReport{}, err
	}
	_, rep, err := runQuotas(o, deployment, script)
	return rep, err
}

// runQuotas simulates a day according to its script with the customers and quotas of a deployment.
func runQuotas(o QuotaOptions, f *quotaDeployment, script dayScript) (*quotaDay, QuotaReport, error) {
	q := &quotaDay{deployment: f, policy: o.Policy, explainsAdmission: o.ExplainsAdmission && o.Policy == ByModule, accounts: map[*dayCustomer]*quotaAccount{}, singleGateway: map[*dayCustomer]*quotaAccount{}, estimatedAccounts: map[*dayCustomer]*quotaAccount{}, knowledgeByNode: map[nodeCustomer]*customerKnowledge{}}
	rng := newRand(o.Seed, 3)
	q.plans, q.rates = f.drawPlans(rng)
	q.meterDelay = time.Duration(f.meterDelay.draw(rng) * float64(time.Second))
	q.policyRand = newRand(o.Seed, 4)
	q.estimateLogDeviation = f.estimateLogDeviation.draw(rng)
	q.skew = f.skew.draw(rng)
	q.otherNodeFraction = f.otherNodeFraction.draw(rng)
	if q.policyDelay = o.PolicyDelay; o.PolicyDelay < 0 {
		if q.policyDelay = f.meterPeriod + q.meterDelay; f.meterPeriod == 0 {
			q.policyDelay = 2 * time.Second
		}
	}
	script.quotas = q
	day, err := runDay(DayOptions{Day: "calm", Instances: o.Instances, Duration: o.Duration, Load: o.Load, Seed: o.Seed, observe: o.observe}, script)
	if err != nil {
		return nil, QuotaReport{}, err
	}
	quotaReport := q.report(day)
	quotaReport.Deployment, quotaReport.Policy = o.Deployment, o.Policy
	return q, quotaReport, nil
}

// settings applies the deployment's plans and meter to the nodes' settings.
func (q *quotaDay) settings(s *control.Settings) {
	if q == nil {
		return
	}
	s.Plans = append([]control.Plan(nil), q.plans...)
	s.MeterPeriod = q.deployment.meterPeriod
	s.UnitsInResponse = q.deployment.units == estimated
	s.MaxUnits = q.deployment.maxUnits
	if q.policy != ByModule { // the policy replaces the module's quotas and meter
		s.MeterPeriod = 0
		for i := range s.Plans {
			s.Plans[i].QuotaRate = 0
			s.Plans[i].QuotaBurst = 0
			s.Plans[i].MaxInFlight = 0
		}
	}
}

// drawCustomers draws customers of each plan until their load within quotas reaches the plan's share.
func (q *quotaDay) drawCustomers(w *world) {
	q.world = w
	targetRate := quotaOfferedFraction * float64(len(w.hosts)) * dayCores / dayWork
	meanUnits := q.deployment.meanActualUnits()
	r := w.clientRand
	full, heavy, spiky := q.deployment.full.draw(r), q.deployment.heavy.draw(r), q.deployment.spiky.draw(r)
	number := 0
	for planIndex, terms := range q.deployment.plans {
		rate := q.rates[planIndex] / meanUnits
		for offered := 0.0; offered < terms.share*targetRate; number++ {
			d := &demand{rng: newRand(w.options.Seed, uint64(1000+number)), kind: calmKind, usualRate: q.deployment.usageFraction.draw(r)}
			offeredFraction := d.usualRate
			switch sample := r.Float64(); {
			case sample < full:
				d.kind, d.usualRate = fullKind, 0.95
				offeredFraction = d.usualRate
			case sample < full+heavy:
				d.kind, d.usualRate = heavyKind, q.deployment.heavyMultiple.draw(r)
				offeredFraction = 1
			case sample < full+heavy+spiky:
				d.kind, d.spikeRate = spikyKind, q.deployment.spikeMultiple.draw(r)
				for at := q.deployment.spikeInterval.draw(r) * r.Float64(); at < w.options.Duration.Seconds(); at += q.deployment.spikeInterval.draw(r) {
					endsAt := at + q.deployment.spikeDuration.draw(r)
					d.spikes = append(d.spikes, [2]time.Duration{seconds(at), seconds(endsAt)})
				}
			}
			offered += offeredFraction * rate
			d.usualRate, d.spikeRate = d.usualRate*rate, d.spikeRate*rate
			customer := &dayCustomer{name: fmt.Sprintf("q%d", number), plan: planIndex, firstNode: r.IntN(w.options.Instances), fanOut: q.drawFanOut(&q.plans[planIndex], terms, r), demand: d}
			w.drawnCustomers = append(w.drawnCustomers, customer)
			q.accounts[customer] = newQuotaAccount(&q.plans[planIndex], q.deployment.meterPeriod)
			q.singleGateway[customer] = newQuotaAccount(&q.plans[planIndex], 0)
			q.estimatedAccounts[customer] = newQuotaAccount(&q.plans[planIndex], 0)
			q.shiftWeights(customer)
			w.At(200*time.Millisecond, func() { q.arrive(customer) })
		}
	}
	w.arrivalRate = w.options.Load
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// drawFanOut draws the number of nodes that receive a customer's requests. It is at least two. With a hard limit it is
// limited so that each node's part of the bucket holds two requests of maximum units.
func (q *quotaDay) drawFanOut(plan *control.Plan, ranges quotaPlan, rng *rand.Rand) int {
	n := ranges.fanOut.draw(rng) * float64(q.world.options.Instances)
	if plan.HardLimitRate > 0 {
		n = math.Min(n, plan.HardLimitBurst/(2*q.deployment.maxUnits))
	}
	return min(max(int(n), 2), q.world.options.Instances)
}

func (q *quotaDay) shiftWeights(customer *dayCustomer) {
	customer.demand.drawWeights(q.skew, customer.fanOut)
	q.world.After(seconds(q.deployment.shiftInterval.draw(customer.demand.rng)), func() { q.shiftWeights(customer) })
}

// arrive starts a customer's calls. It draws arrivals at the maximum rate and drops a part of them to get the current rate.
func (q *quotaDay) arrive(customer *dayCustomer) {
	w, d := q.world, customer.demand
	if w.Now() >= w.options.Duration {
		return
	}
	maxRate := math.Max(d.usualRate, d.spikeRate) * maxScriptedBurst * w.options.Load
	if rate, _ := d.rateAt(w.Now()); d.rng.Float64()*maxRate < rate*w.arrivalRate {
		q.startCall(customer)
	}
	w.After(seconds(d.rng.ExpFloat64()/maxRate), func() { q.arrive(customer) })
}

// startCall starts a call and has the single gateway, the reference, decide on it too.
func (q *quotaDay) startCall(cust *dayCustomer) {
	w, d := q.world, cust.demand
	c := &call{arrivedAt: w.Now(), customer: cust, class: d.rng.IntN(2)}
	c.units, c.actualUnits = q.deployment.drawUnits(c.class, q.estimateLogDeviation, d.rng)
	p := &q.plans[cust.plan]
	c.weight = w.rules.Classes[c.class].PriorityWeight * p.Price * c.actualUnits
	account, duration := q.singleGateway[cust], seconds(dayWork*d.rng.ExpFloat64())
	if c.isUnderQuota = account.charge(w.Now(), c.units); c.isUnderQuota {
		account.settle(w.Now(), c.actualUnits-c.units)
		account.beginAttempt(w.Now())
		w.After(duration, func() { account.endAttempt(w.Now()) })
		w.countWeight(c, c.weight, 0)
		q.offeredWeight += c.weight
		q.excess.underQuota += c.units
	} else {
		q.excess.overQuota += c.units
	}
	c.node = (cust.firstNode + d.chooseNode(d.rng)) % len(w.nodes)
	w.result.Calls++
	w.sendRequest(c)
}

// chooseRequestNode returns the node that receives a request. A retry goes to the previous node unless it draws another one.
func (q *quotaDay) chooseRequestNode(c *call) int {
	if c.requests > 0 && q.world.clientRand.Float64() < q.otherNodeFraction {
		c.node = (c.customer.firstNode + c.customer.demand.chooseNode(q.world.clientRand)) % len(q.world.nodes)
	}
	return c.node
}

// Add adds the counts of another cell, and its fractions divided by divisor.
func (c *Cell) Add(other *Cell, divisor float64) {
	c.Requests += other.Requests
	c.Rejections += other.Rejections
	c.RejectedWithCapacity += other.RejectedWithCapacity
	c.ForwardedUnits, c.OverQuotaUnits = c.ForwardedUnits+other.ForwardedUnits, c.OverQuotaUnits+other.OverQuotaUnits
	c.OverQuotaPrice, c.OfferedWeight = c.OverQuotaPrice+other.OverQuotaPrice/divisor, c.OfferedWeight+other.OfferedWeight/divisor
}
