package fleetsim

import (
	"fmt"
	"math"
	"time"

	"lockflow/control"
)

// This file records and reports the results of Quotas and decides for the policies DelayedBucket and DelayedUsage.

// CellDimensions are the dimensions by which a report counts requests.
var CellDimensions = []string{"plan", "spread", "customer", "known here", "customer known here", "try", "node", "let in", "lacks", "guesses", "refused"}

const nodeStartPeriod = 5 * time.Second

func (q *quotaDay) knowledgeOf(instance int, customer *dayCustomer) *customerKnowledge {
	knowledge := q.knowledgeByNode[nodeCustomer{instance, customer}]
	if knowledge == nil {
		knowledge = &customerKnowledge{}
		q.knowledgeByNode[nodeCustomer{instance, customer}] = knowledge
	}
	return knowledge
}

// cellOf returns the cell of a dimension and value, which it creates if necessary.
func (q *quotaDay) cellOf(dimension, value string) *Cell {
	if q.result.Cells == nil {
		q.result.Cells = map[string]map[string]*Cell{}
	}
	if q.result.Cells[dimension] == nil {
		q.result.Cells[dimension] = map[string]*Cell{}
	}
	cell := q.result.Cells[dimension][value]
	if cell == nil {
		cell = &Cell{}
		q.result.Cells[dimension][value] = cell
	}
	return cell
}

// cellsOf returns the cells that count a request from its arrival on.
func (q *quotaDay) cellsOf(request *clientRequest, k *customerKnowledge) []*Cell {
	now, c := q.world.Now(), request.call.customer
	_, pattern := c.demand.rateAt(now)
	knowledge := k.describe(now)
	attempt := "first"
	if request.call.requests > 1 {
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

// describe returns how recent a node's last reading of a customer is.
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

// admitRequest counts a request that a node receives and reports whether the policy passes it to the module.
func (q *quotaDay) admitRequest(instance int, request *clientRequest) bool {
	if q == nil {
		return true
	}
	now, c := q.world.Now(), request.call.customer
	knowledge := q.knowledgeOf(instance, c)
	request.cells = q.cellsOf(request, knowledge)
	for _, cell := range request.cells {
		cell.Requests++
	}
	if c := request.call; c.requests == 1 && c.isUnderQuota {
		for _, cell := range request.cells {
			cell.OfferedWeight += c.weight
		}
	}
	if q.explainsAdmission && knowledge.hasReading {
		request.admissionRemainder, request.hasReading = q.admissionRemainder(instance, c), true
	}
	isAdmitted := true
	switch q.policy {
	case DelayedBucket:
		if isAdmitted = q.hasUnusedQuota(now, knowledge, c, request.call.units); isAdmitted {
			knowledge.admissions = append(knowledge.admissions, admission{request.id, now, request.call.units})
		}
	case DelayedUsage:
		isAdmitted = q.policyRand.Float64() < q.admissionProbability(now, c, request.call.units)
	}
	q.accounts[c].recordRequest(now, request.call.units)
	request.rejectionCause = control.CauseQuota
	return isAdmitted
}

// hasUnusedQuota reports whether the exact quota state before the policy's delay, less what this node has admitted
// since, suffices for a request.
func (q *quotaDay) hasUnusedQuota(now time.Duration, knowledge *customerKnowledge, customer *dayCustomer, units float64) bool {
	state, plan := q.accounts[customer].stateAt(now-q.policyDelay), &q.plans[customer.plan]
	for len(knowledge.admissions) > 0 && knowledge.admissions[0].at < now-q.policyDelay {
		knowledge.admissions = knowledge.admissions[1:]
	}
	for _, admission := range knowledge.admissions {
		state.tokens -= admission.units
		state.inFlight++
	}
	return (plan.QuotaRate == 0 || state.tokens >= units) && (plan.MaxInFlight == 0 || state.inFlight < plan.MaxInFlight)
}

// admissionRemainder returns the remainder of the module's error diffusion for a customer at a node. Each probabilistic
// admission changes the remainder. It returns -1 if the module has no state of the customer.
func (q *quotaDay) admissionRemainder(instance int, c *dayCustomer) float64 {
	key := q.plans[c.plan].Name + " " + c.name
	for _, image := range q.world.nodes[instance].controller.Image().Customers {
		if image.Key == key {
			return image.AdmissionRemainder
		}
	}
	return -1
}

// admissionReason returns the reason why a request was admitted, which it infers from a change of the remainder since
// the request's arrival. A request that has waited in a queue also counts as admitted by probability if another request
// of its customer was so admitted meanwhile.
func (q *quotaDay) admissionReason(instance int, request *clientRequest) string {
	switch {
	case !request.hasReading:
		return "not read here"
	case math.Abs(q.admissionRemainder(instance, request.call.customer)-request.admissionRemainder) < epsilon:
		return "by the store, or at no chance"
	}
	return "by chance"
}

// admissionProbability returns the probability that limits the usage requested before the policy's delay to the quota's
// rate plus the bucket's tokens over twice the delay (at least 500 ms), and the attempts in flight to half of the in-flight quota.
func (q *quotaDay) admissionProbability(now time.Duration, customer *dayCustomer, units float64) float64 {
	plan, span := &q.plans[customer.plan], max(q.policyDelay, 500*time.Millisecond)
	state := q.accounts[customer].stateAt(now - q.policyDelay)
	earlier := q.accounts[customer].stateAt(now - q.policyDelay - span)
	offered, requestRate := (state.offered-earlier.offered)/span.Seconds(), float64(state.requests-earlier.requests)/span.Seconds()
	probability := 1.0
	if plan.QuotaRate > 0 {
		probability = math.Max(0, plan.QuotaRate+(state.tokens-units)/(2*span.Seconds())) / math.Max(epsilon, offered)
	}
	if plan.MaxInFlight > 0 {
		probability = math.Min(probability, 0.5*float64(plan.MaxInFlight)/math.Max(epsilon, requestRate*dayWork))
	}
	return probability
}

// recordForwarded records an attempt that a server has received completely. The first attempt of a request is charged to
// the customer's accounts.
func (q *quotaDay) recordForwarded(instance int, request *clientRequest) {
	if q == nil {
		return
	}
	now, c, p := q.world.Now(), request.call, &q.plans[request.call.customer.plan]
	account := q.accounts[c.customer]
	if !request.isForwarded {
		request.isForwarded, c.isForwarded = true, true
		missing := account.missingQuota(now, c.units)
		request.isUnderQuota = account.charge(now, c.units)
		estimateOutcome := "beyond too"
		if q.estimatedAccounts[c.customer].charge(now, c.units) {
			estimateOutcome = "inside without settling"
		}
		q.knowledgeOf(instance, c.customer).hasForwarded = true
		q.forwardedUnits += c.units
		if !request.isUnderQuota {
			q.overQuotaPrice += p.OverQuotaCost * c.weight
			q.overQuotaUnits += c.units
			request.cells = append(request.cells, q.cellOf("lacks", missing), q.cellOf("guesses", estimateOutcome))
		}
		if q.explainsAdmission {
			request.cells = append(request.cells, q.cellOf("let in", q.admissionReason(instance, request)))
		}
		for _, cell := range request.cells {
			if cell.ForwardedUnits += c.units; !request.isUnderQuota {
				cell.OverQuotaUnits += c.units
				cell.OverQuotaPrice += p.OverQuotaCost * c.weight
			}
		}
	}
	account.beginAttempt(now)
	q.estimatedAccounts[c.customer].beginAttempt(now)
}

func (q *quotaDay) endAttempt(customer *dayCustomer) {
	if q != nil {
		q.accounts[customer].endAttempt(q.world.Now())
		q.estimatedAccounts[customer].endAttempt(q.world.Now())
	}
}

// recordServed records a request that was served.
func (q *quotaDay) recordServed(request *clientRequest) {
	if q == nil || !request.isUnderQuota {
		return
	}
	c, k := request.call, &q.world.rules.Classes[request.call.class]
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
func (q *quotaDay) recordRejection(instance int, request *clientRequest) {
	if q == nil {
		return
	}
	q.rejections++
	knowledge := q.knowledgeOf(instance, request.call.customer)
	for n, admission := range knowledge.admissions {
		if admission.id == request.id {
			knowledge.admissions = append(knowledge.admissions[:n:n], knowledge.admissions[n+1:]...)
			break
		}
	}
	hasCapacity := q.accounts[request.call.customer].hasCapacity(q.world.Now())
	cells := append(request.cells[:len(request.cells):len(request.cells)], q.cellOf("refused", request.rejectionCause.String()))
	for _, cell := range cells {
		if cell.Rejections++; hasCapacity {
			cell.RejectedWithCapacity++
		}
	}
	if !hasCapacity {
		return
	}
	if q.rejectedWithCapacity++; !request.call.rejectedWithCapacity {
		request.call.rejectedWithCapacity = true
		q.calls.rejectedWithCapacity++
		q.world.At(q.world.options.Duration+dayDeadline, func() {
			if !request.call.isForwarded {
				q.calls.lost++
			}
		})
	}
}

// reportedUsage returns the quota usage that a response reports to a node, and records that the node has a reading.
func (q *quotaDay) reportedUsage(instance int, customer *dayCustomer) int {
	if q.policy != ByModule {
		return 0
	}
	usage := q.accounts[customer].reportedUsage(q.world.Now(), q.meterDelay)
	if usage > 0 {
		knowledge := q.knowledgeOf(instance, customer)
		knowledge.hasReading, knowledge.lastReading = true, q.world.Now()
	}
	return usage
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
	fraction := func(n int, total int) float64 { return float64(n) / math.Max(1, float64(total)) }
	r.Served = q.servedWeight / math.Max(1, q.offeredWeight)
	r.OverQuotaPrice = q.overQuotaPrice / math.Max(1, q.offeredWeight)
	r.OverQuotaFraction = q.overQuotaUnits / math.Max(1, q.forwardedUnits)
	r.Excess = q.excess.overQuota / math.Max(1, q.excess.underQuota)
	r.RejectedFraction, r.RequestsRejectedWithCapacity = fraction(q.rejections, r.Requests), fraction(q.rejectedWithCapacity, r.Requests)
	r.CallsRejectedWithCapacity, r.CallsLostWithCapacity = fraction(q.calls.rejectedWithCapacity, r.Calls), fraction(q.calls.lost, r.Calls)
	for _, cells := range r.Cells {
		for _, cell := range cells {
			cell.OverQuotaPrice /= math.Max(epsilon, q.overQuotaPrice)
			cell.OfferedWeight /= math.Max(epsilon, q.offeredWeight)
		}
	}
	return r
}

const epsilon = 1e-9
