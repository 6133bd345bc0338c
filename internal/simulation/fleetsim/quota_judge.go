package fleetsim

import (
	"fmt"
	"math"
	"time"

	"lockflow/control"
)

// What Quotas records and reports, and the decisions of the late policies.

// CellNames are the sorts by which a report counts requests.
var CellNames = []string{"plan", "spread", "customer", "known here", "customer known here", "try", "node", "let in", "lacks", "guesses", "refused"}

const nodeStartPeriod = 5 * time.Second

func (q *quotaDay) knownAt(i int, c *dayCustomer) *customerKnowledge {
	k := q.known[nodeCustomer{i, c}]
	if k == nil {
		k = &customerKnowledge{}
		q.known[nodeCustomer{i, c}] = k
	}
	return k
}

// cellOf returns the cell of a sort and value.
func (q *quotaDay) cellOf(sort, name string) *Cell {
	if q.result.Cells == nil {
		q.result.Cells = map[string]map[string]*Cell{}
	}
	if q.result.Cells[sort] == nil {
		q.result.Cells[sort] = map[string]*Cell{}
	}
	c := q.result.Cells[sort][name]
	if c == nil {
		c = &Cell{}
		q.result.Cells[sort][name] = c
	}
	return c
}

// cellsOf returns the cells that count a request at its arrival.
func (q *quotaDay) cellsOf(t *clientRequest, k *customerKnowledge) []*Cell {
	now, c := q.world.Now(), t.call.customer
	_, pattern := c.demand.rateAt(now)
	knowledge := k.describe(now)
	attempt := "first"
	if t.call.requests > 1 {
		attempt = "repeat"
	}
	age := "older"
	if now < nodeStartPeriod {
		age = fmt.Sprintf("first %v", nodeStartPeriod)
	}
	fanOut := "over half of the group"
	switch n := len(q.world.nodes); {
	case c.fanOut <= 15:
		fanOut = "to 15 nodes"
	case 2*c.fanOut <= n:
		fanOut = "to half of the group"
	}
	return []*Cell{
		q.cellOf("plan", q.plans[c.plan].Name),
		q.cellOf("spread", fanOut),
		q.cellOf("customer", string(pattern)),
		q.cellOf("known here", knowledge),
		q.cellOf("customer known here", string(pattern)+": "+knowledge),
		q.cellOf("try", attempt),
		q.cellOf("node", age),
	}
}

// describe returns how recent a node's knowledge of a customer is.
func (k *customerKnowledge) describe(now time.Duration) string {
	switch age := now - k.lastReading; {
	case k.hasReading && age <= 3*time.Second:
		return "read within 3 s"
	case k.hasReading && age <= 10*time.Second:
		return "read within 10 s"
	case k.hasReading:
		return "read longer ago"
	case k.hasForwarded:
		return "sent on, not read"
	}
	return "never asked"
}

// admitRequest sorts a request that arrives at a node, and tells whether the policy passes it to the module.
func (q *quotaDay) admitRequest(i int, t *clientRequest) bool {
	if q == nil {
		return true
	}
	now, c := q.world.Now(), t.call.customer
	k := q.knownAt(i, c)
	t.cells = q.cellsOf(t, k)
	for _, one := range t.cells {
		one.Requests++
	}
	if c := t.call; c.requests == 1 && c.isUnderQuota {
		for _, one := range t.cells {
			one.OfferedWeight += c.weight
		}
	}
	if q.explainsAdmission && k.hasReading {
		t.admissionRemainder, t.hasReading = q.admissionRemainder(i, c), true
	}
	isAdmitted := true
	switch q.policy {
	case LateStore:
		if isAdmitted = q.hasUnusedQuota(now, k, c, t.call.units); isAdmitted {
			k.admissions = append(k.admissions, admission{t.id, now, t.call.units})
		}
	case LateUse:
		isAdmitted = q.policyRand.Float64() < q.admissionProbability(now, c, t.call.units)
	}
	q.accounts[c].recordRequest(now, t.call.units)
	t.rejectionCause = control.CauseQuota
	return isAdmitted
}

// hasUnusedQuota tells whether the true quota before the policy's delay, less what this node has admitted since,
// suffices for a request.
func (q *quotaDay) hasUnusedQuota(now time.Duration, k *customerKnowledge, c *dayCustomer, units float64) bool {
	was, plan := q.accounts[c].stateAt(now-q.policyDelay), &q.plans[c.plan]
	for len(k.admissions) > 0 && k.admissions[0].at < now-q.policyDelay {
		k.admissions = k.admissions[1:]
	}
	for _, g := range k.admissions {
		was.tokens -= g.units
		was.inFlight++
	}
	return (plan.QuotaRate == 0 || was.tokens >= units) && (plan.MaxInFlight == 0 || was.inFlight < plan.MaxInFlight)
}

// admissionRemainder returns the remainder of the module's error diffusion for a customer at a node, which each
// probabilistic admission changes; -1 is none.
func (q *quotaDay) admissionRemainder(i int, c *dayCustomer) float64 {
	key := q.plans[c.plan].Name + " " + c.name
	for _, one := range q.world.nodes[i].controller.Image().Customers {
		if one.Key == key {
			return one.AdmissionRemainder
		}
	}
	return -1
}

// admissionReason describes by what a request was admitted. One that has waited counts as admitted by
// probability if another of its customer was meanwhile.
func (q *quotaDay) admissionReason(i int, t *clientRequest) string {
	switch {
	case !t.hasReading:
		return "not read here"
	case math.Abs(q.admissionRemainder(i, t.call.customer)-t.admissionRemainder) < epsilon:
		return "by the store, or at no chance"
	}
	return "by chance"
}

// admissionProbability returns the probability that limits what was requested before the delay to the rate and
// the bucket over twice the delay, and to half of the in-flight quota.
func (q *quotaDay) admissionProbability(now time.Duration, c *dayCustomer, units float64) float64 {
	plan, span := &q.plans[c.plan], max(q.policyDelay, 500*time.Millisecond)
	was := q.accounts[c].stateAt(now - q.policyDelay)
	before := q.accounts[c].stateAt(now - q.policyDelay - span)
	offered, tries := (was.offered-before.offered)/span.Seconds(), float64(was.requests-before.requests)/span.Seconds()
	p := 1.0
	if plan.QuotaRate > 0 {
		p = math.Max(0, plan.QuotaRate+(was.tokens-units)/(2*span.Seconds())) / math.Max(epsilon, offered)
	}
	if plan.MaxInFlight > 0 {
		p = math.Min(p, 0.5*float64(plan.MaxInFlight)/math.Max(epsilon, tries*dayWork))
	}
	return p
}

// recordForwarded records an attempt that has arrived completely at a server, and charges the first of a request.
func (q *quotaDay) recordForwarded(i int, t *clientRequest) {
	if q == nil {
		return
	}
	now, c, p := q.world.Now(), t.call, &q.plans[t.call.customer.plan]
	l := q.accounts[c.customer]
	if !t.isForwarded {
		t.isForwarded, c.isForwarded = true, true
		lacks := l.missingQuota(now, c.units)
		t.isUnderQuota = l.charge(now, c.units)
		rough := "beyond too"
		if q.guessedAccounts[c.customer].charge(now, c.units) {
			rough = "inside without settling"
		}
		q.knownAt(i, c.customer).hasForwarded = true
		q.forwardedUnits += c.units
		if !t.isUnderQuota {
			q.overQuotaPrice += p.OverQuotaCost * c.weight
			q.overQuotaUnits += c.units
			t.cells = append(t.cells, q.cellOf("lacks", lacks), q.cellOf("guesses", rough))
		}
		if q.explainsAdmission {
			t.cells = append(t.cells, q.cellOf("let in", q.admissionReason(i, t)))
		}
		for _, one := range t.cells {
			if one.ForwardedUnits += c.units; !t.isUnderQuota {
				one.OverQuotaUnits += c.units
				one.OverQuotaPrice += p.OverQuotaCost * c.weight
			}
		}
	}
	l.beginAttempt(now)
	q.guessedAccounts[c.customer].beginAttempt(now)
}

func (q *quotaDay) endAttempt(c *dayCustomer) {
	if q != nil {
		q.accounts[c].endAttempt(q.world.Now())
		q.guessedAccounts[c].endAttempt(q.world.Now())
	}
}

// recordServed records a request that was served.
func (q *quotaDay) recordServed(t *clientRequest) {
	if q == nil || !t.isUnderQuota {
		return
	}
	c, k := t.call, &q.world.rules.Classes[t.call.class]
	q.accounts[c.customer].settle(q.world.Now(), c.actualUnits-c.units)
	if c.isServed {
		return
	}
	weight := c.weight
	if q.world.Now()-c.arrivedAt > k.LatencyObjective {
		weight *= k.LateWeightFraction
	}
	q.servedWeight += weight
}

// recordRejection records a request that was rejected.
func (q *quotaDay) recordRejection(i int, t *clientRequest) {
	if q == nil {
		return
	}
	q.rejections++
	k := q.knownAt(i, t.call.customer)
	for n, g := range k.admissions {
		if g.id == t.id {
			k.admissions = append(k.admissions[:n:n], k.admissions[n+1:]...)
			break
		}
	}
	hasCapacity := q.accounts[t.call.customer].hasCapacity(q.world.Now())
	cells := append(t.cells[:len(t.cells):len(t.cells)], q.cellOf("refused", t.rejectionCause.String()))
	for _, one := range cells {
		if one.Rejections++; hasCapacity {
			one.RejectedWithCapacity++
		}
	}
	if !hasCapacity {
		return
	}
	if q.rejectedWithCapacity++; !t.call.rejectedWithCapacity {
		t.call.rejectedWithCapacity = true
		q.calls.rejectedWithCapacity++
		q.world.At(q.world.options.Duration+dayDeadline, func() {
			if !t.call.isForwarded {
				q.calls.lost++
			}
		})
	}
}

// reportedUsage returns the quota usage that a response reports to a node.
func (q *quotaDay) reportedUsage(i int, c *dayCustomer) int {
	if q.policy != ByModule {
		return 0
	}
	used := q.accounts[c].reportedUsage(q.world.Now(), q.meterDelay)
	if used > 0 {
		k := q.knownAt(i, c)
		k.hasReading, k.lastReading = true, q.world.Now()
	}
	return used
}

func (q *quotaDay) report(day DayReport) QuotaReport {
	r := q.result
	r.Instances = day.Instances
	r.Seed = day.Seed
	r.Calls = day.Calls
	r.Requests = day.Requests
	r.Broken = day.Broken
	if r.DelaySeconds = q.meterDelay.Seconds(); q.policy != ByModule {
		r.DelaySeconds = q.policyDelay.Seconds()
	} else if q.deployment.meterPeriod == 0 {
		r.DelaySeconds = 0
	}
	per := func(n int, of int) float64 { return float64(n) / math.Max(1, float64(of)) }
	r.Served = q.servedWeight / math.Max(1, q.offeredWeight)
	r.OverQuotaPrice = q.overQuotaPrice / math.Max(1, q.offeredWeight)
	r.OverQuotaFraction = q.overQuotaUnits / math.Max(1, q.forwardedUnits)
	r.Excess = q.excess.over / math.Max(1, q.excess.in)
	r.RejectedFraction, r.RequestsRejectedWithCapacity = per(q.rejections, r.Requests), per(q.rejectedWithCapacity, r.Requests)
	r.CallsRejectedWithCapacity, r.CallsLostWithCapacity = per(q.calls.rejectedWithCapacity, r.Calls), per(q.calls.lost, r.Calls)
	for _, sort := range r.Cells {
		for _, c := range sort {
			c.OverQuotaPrice /= math.Max(epsilon, q.overQuotaPrice)
			c.OfferedWeight /= math.Max(epsilon, q.offeredWeight)
		}
	}
	return r
}

const epsilon = 1e-9
