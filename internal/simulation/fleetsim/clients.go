package fleetsim

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lockflow/control"
)

// This file simulates customers, their calls and their quotas.

// drawCustomers draws customers until their load within quotas reaches offeredFraction of the servers' capacity. Most
// customers use 20 to 70 % of their quota, 15 % use 95 % of it, and 10 % request 2.5 to 4.5 times their quota.
func (w *world) drawCustomers() {
	if w.script.quotas != nil {
		w.script.quotas.drawCustomers(w)
		return
	}
	settings := &w.rules
	capacity := float64(len(w.hosts)) * dayCores / dayWork // in requests a second
	targetRate := offeredFraction * capacity
	demandSum, offeredRate := 0.0, 0.0
	for i := 0; offeredRate < targetRate; i++ {
		customer := &dayCustomer{name: fmt.Sprintf("c%d", i), plan: 0, fanOut: max(1, w.options.GroupSize/2)}
		if i%8 == 0 {
			customer.plan, customer.fanOut = 1, min(4, w.options.GroupSize)
		}
		customer.firstNode, customer.preferredNode = w.clientRand.IntN(w.options.Instances), w.clientRand.IntN(customer.fanOut)
		usageFraction := 0.2 + 0.5*w.clientRand.Float64()
		switch draw := w.clientRand.Float64(); {
		case draw < 0.1:
			usageFraction = 2.5 + 2*w.clientRand.Float64()
		case draw < 0.25:
			usageFraction = 0.95
		}
		rate := usageFraction * settings.Plans[customer.plan].QuotaRate / 2.5 // 2.5 is the mean of the units of a request
		demandSum += rate
		offeredRate += math.Min(usageFraction, 1) * settings.Plans[customer.plan].QuotaRate / 2.5
		w.drawnCustomers, w.demandSums = append(w.drawnCustomers, customer), append(w.demandSums, demandSum)
	}
	w.arrivalRate = demandSum * w.options.Load
}

// arrive starts a call and schedules the next one.
func (w *world) arrive() {
	if w.Now() >= w.options.Duration {
		return
	}
	draw := w.clientRand.Float64() * w.demandSums[len(w.demandSums)-1]
	index, _ := slices.BinarySearch(w.demandSums, draw)
	cust := w.drawnCustomers[min(index, len(w.drawnCustomers)-1)]
	if w.script.hasFreshCustomers && w.clientRand.Float64() < 0.5 { // a new customer that makes one call only
		w.freshCustomers++
		cust = &dayCustomer{name: fmt.Sprintf("f%d", w.freshCustomers), fanOut: cust.fanOut, plan: cust.plan, firstNode: cust.firstNode}
	}
	c := &call{arrivedAt: w.Now(), customer: cust, class: w.clientRand.IntN(2), units: float64(1 + w.clientRand.IntN(maxUnits))}
	p := &w.rules.Plans[cust.plan]
	c.weight = w.rules.Classes[c.class].PriorityWeight * p.Price * c.units
	quota := w.quotaOf(cust, p)
	quota.offeredTokens = math.Min(p.QuotaBurst, quota.offeredTokens+(w.Now()-quota.offeredAt).Seconds()*p.QuotaRate)
	quota.offeredAt = w.Now()
	if c.isUnderQuota = quota.offeredTokens >= c.units; c.isUnderQuota {
		quota.offeredTokens -= c.units
		w.countWeight(c, c.weight, 0)
	}
	w.result.Calls++
	w.sendRequest(c)
	w.After(time.Duration(w.clientRand.ExpFloat64()/w.arrivalRate*float64(time.Second)), w.arrive)
}

func (w *world) quotaOf(customer *dayCustomer, plan *control.Plan) *quota {
	q := w.quotas[customer.name]
	if q == nil {
		q = &quota{offeredTokens: plan.QuotaBurst, forwardedTokens: plan.QuotaBurst, offeredAt: w.Now(), forwardedAt: w.Now()}
		w.quotas[customer.name] = q
	}
	return q
}

// chargeQuota charges a forwarded call to the customer's quota over all nodes and to its meter.
func (w *world) chargeQuota(c *call, plan *control.Plan) {
	quota := w.quotaOf(c.customer, plan)
	quota.forwardedTokens = math.Min(plan.QuotaBurst, quota.forwardedTokens+(w.Now()-quota.forwardedAt).Seconds()*plan.QuotaRate)
	quota.forwardedAt = w.Now()
	w.sentUnits += c.units
	if quota.forwardedTokens >= c.units {
		quota.forwardedTokens -= c.units
	} else {
		w.overQuotaUnits += c.units
	}
	m := w.meters[c.customer.name]
	if m == nil {
		m = &meter{}
		w.meters[c.customer.name] = m
	}
	m.advance(int(w.Now() / time.Second))
	m.current += c.units
}

// advance advances a meter to a period and keeps the units of the last four complete periods.
func (m *meter) advance(period int) {
	for ; m.period < period; m.period++ {
		m.periodUnits = append(m.periodUnits, m.current)
		if m.current = 0; len(m.periodUnits) > 4 {
			m.periodUnits = m.periodUnits[1:]
		}
	}
}

// reportedUsage returns the quota usage that a response reports: 1 plus the usage in the last metered period, in per
// cent of the quota's rate. 0 means that the response has no report.
func (w *world) reportedUsage(instance int, customer *dayCustomer) int {
	if w.script.quotas != nil {
		return w.script.quotas.reportedUsage(instance, customer)
	}
	m := w.meters[customer.name]
	if m == nil || w.meterDown {
		return 0
	}
	m.advance(int(w.Now() / time.Second))
	if len(m.periodUnits) < meterLagPeriods {
		return 0
	}
	return 1 + int(math.Round(100*m.periodUnits[len(m.periodUnits)-meterLagPeriods]/w.rules.Plans[customer.plan].QuotaRate))
}

// chooseNode draws the node that receives a request.
func (w *world) chooseNode(c *call) int {
	if w.script.quotas != nil {
		return w.script.quotas.chooseRequestNode(c)
	}
	index := w.clientRand.IntN(c.customer.fanOut)
	if w.clientRand.Float64() < 0.2 {
		index = c.customer.preferredNode
	}
	return (c.customer.firstNode + index) % len(w.nodes)
}

// sendRequest sends a request of a call to a node of its customer that accepts requests. If six draws find none, the client retries.
func (w *world) sendRequest(c *call) {
	remaining := c.arrivedAt + dayDeadline - w.Now()
	if remaining < 10*time.Millisecond {
		return
	}
	instance := -1
	for range 6 {
		candidate := w.chooseNode(c)
		if node := w.nodes[candidate]; !node.down && !node.closing {
			instance = candidate
			break
		}
	}
	if instance < 0 {
		w.retryLater(c, false)
		return
	}
	c.requests++
	w.lastID++
	w.result.Requests++
	request := &clientRequest{id: fmt.Sprintf("r%d", w.lastID), call: c, deadline: w.Now() + remaining}
	node, settings := w.nodes[instance], &w.rules
	node.inFlight[request.id] = request
	w.checker.RequestArrived(w.Now(), instance, request.id, &settings.Classes[c.class], remaining)
	if !w.script.quotas.admitRequest(instance, request) {
		w.finish(instance, request.id, "refused")
		return
	}
	r := control.Request{
		ID: request.id, Class: settings.Classes[c.class].Name, Plan: settings.Plans[c.customer.plan].Name, Customer: c.customer.name,
		Timeout: remaining, Units: c.units, FanOut: c.customer.fanOut, FirstGateway: c.customer.firstNode, IsRetry: c.requests > 1, IsWrite: c.class == 1,
	}
	if node.grantsFullHardLimit {
		r.FanOut = 1
	}
	initialIncarnation := node.incarnation
	if w.clientRand.Float64() < w.script.leavingFraction {
		w.After(time.Duration(w.clientRand.Float64()*float64(remaining)/4), func() {
			if node.incarnation == initialIncarnation && !node.down && node.inFlight[request.id] != nil {
				w.checker.ClientDisconnected(request.id)
				delete(node.inFlight, request.id)
				w.deliver(instance, control.ClientGone{ID: request.id})
			}
		})
	}
	w.deliver(instance, r)
}

// retryLater schedules a client's retry of a call. A call has at most 4 requests, or 6 if the client retries immediately.
func (w *world) retryLater(c *call, immediately bool) {
	maxRequests, delay := 4, 100*time.Millisecond+time.Duration(w.clientRand.Int64N(int64(700*time.Millisecond)))
	if immediately {
		maxRequests, delay = 6, time.Duration(w.clientRand.Int64N(int64(100*time.Millisecond)))
	}
	if c.isServed || c.requests >= maxRequests || w.clientRand.Float64() < 0.2 {
		return
	}
	w.After(delay, func() { w.sendRequest(c) })
}
