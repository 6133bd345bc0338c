package fleetsim

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lockflow/control"
)

// Customers, their calls and their quotas.

// drawCustomers draws the customers. Most use a part of their quota, some nearly all of it, and some
// request several times as much.
func (w *world) drawCustomers() {
	if w.script.quotas != nil {
		w.script.quotas.drawCustomers(w)
		return
	}
	set := &w.rules
	capacity := float64(len(w.hosts)) * dayCores / dayWork // requests a second
	inside := offeredFraction * capacity
	sum, offered := 0.0, 0.0
	for i := 0; offered < inside; i++ {
		c := &dayCustomer{name: fmt.Sprintf("c%d", i), plan: 0, fanOut: max(1, w.options.GroupSize/2)}
		if i%8 == 0 {
			c.plan, c.fanOut = 1, min(4, w.options.GroupSize)
		}
		c.firstNode, c.preferredNode = w.clientRand.IntN(w.options.Instances), w.clientRand.IntN(c.fanOut)
		part := 0.2 + 0.5*w.clientRand.Float64()
		switch x := w.clientRand.Float64(); {
		case x < 0.1:
			part = 2.5 + 2*w.clientRand.Float64()
		case x < 0.25:
			part = 0.95
		}
		rate := part * set.Plans[c.plan].QuotaRate / 2.5 // divided by the mean units of a request
		sum += rate
		offered += math.Min(part, 1) * set.Plans[c.plan].QuotaRate / 2.5
		w.drawnCustomers, w.demandSums = append(w.drawnCustomers, c), append(w.demandSums, sum)
	}
	w.arrivalRate = sum * w.options.Load
}

// arrive starts a call, and schedules the next one.
func (w *world) arrive() {
	if w.Now() >= w.options.Duration {
		return
	}
	x := w.clientRand.Float64() * w.demandSums[len(w.demandSums)-1]
	k, _ := slices.BinarySearch(w.demandSums, x)
	cust := w.drawnCustomers[min(k, len(w.drawnCustomers)-1)]
	if w.script.hasFreshCustomers && w.clientRand.Float64() < 0.5 { // a customer with one call only
		w.freshCustomers++
		cust = &dayCustomer{name: fmt.Sprintf("f%d", w.freshCustomers), fanOut: cust.fanOut, plan: cust.plan, firstNode: cust.firstNode}
	}
	c := &call{arrivedAt: w.Now(), customer: cust, class: w.clientRand.IntN(2), units: float64(1 + w.clientRand.IntN(maxUnits))}
	p := &w.rules.Plans[cust.plan]
	c.weight = w.rules.Classes[c.class].PriorityWeight * p.Price * c.units
	q := w.quotaOf(cust, p)
	q.offered = math.Min(p.QuotaBurst, q.offered+(w.Now()-q.offeredAt).Seconds()*p.QuotaRate)
	q.offeredAt = w.Now()
	if c.isUnderQuota = q.offered >= c.units; c.isUnderQuota {
		q.offered -= c.units
		w.countWeight(c, c.weight, 0)
	}
	w.result.Calls++
	w.sendRequest(c)
	w.After(time.Duration(w.clientRand.ExpFloat64()/w.arrivalRate*float64(time.Second)), w.arrive)
}

func (w *world) quotaOf(c *dayCustomer, p *control.Plan) *quota {
	q := w.quotas[c.name]
	if q == nil {
		q = &quota{offered: p.QuotaBurst, forwarded: p.QuotaBurst, offeredAt: w.Now(), forwardedAt: w.Now()}
		w.quotas[c.name] = q
	}
	return q
}

// chargeQuota charges a forwarded call to the customer's true quota and its meter.
func (w *world) chargeQuota(c *call, p *control.Plan) {
	q := w.quotaOf(c.customer, p)
	q.forwarded = math.Min(p.QuotaBurst, q.forwarded+(w.Now()-q.forwardedAt).Seconds()*p.QuotaRate)
	q.forwardedAt = w.Now()
	w.sentUnits += c.units
	if q.forwarded >= c.units {
		q.forwarded -= c.units
	} else {
		w.overQuotaUnits += c.units
	}
	m := w.meters[c.customer.name]
	if m == nil {
		m = &meter{}
		w.meters[c.customer.name] = m
	}
	m.roll(int(w.Now() / time.Second))
	m.current += c.units
}

// roll advances a meter to a period.
func (m *meter) roll(period int) {
	for ; m.period < period; m.period++ {
		m.periodUnits = append(m.periodUnits, m.current)
		if m.current = 0; len(m.periodUnits) > 4 {
			m.periodUnits = m.periodUnits[1:]
		}
	}
}

// reportedUsage returns the quota usage that a response reports: 1 + per cent of the rate in the last period
// that the meter has summed; 0 is no report.
func (w *world) reportedUsage(i int, c *dayCustomer) int {
	if w.script.quotas != nil {
		return w.script.quotas.reportedUsage(i, c)
	}
	m := w.meters[c.name]
	if m == nil || w.meterDown {
		return 0
	}
	m.roll(int(w.Now() / time.Second))
	if len(m.periodUnits) < meterLagPeriods {
		return 0
	}
	return 1 + int(math.Round(100*m.periodUnits[len(m.periodUnits)-meterLagPeriods]/w.rules.Plans[c.plan].QuotaRate))
}

// chooseNode draws the node that a request arrives at.
func (w *world) chooseNode(c *call) int {
	if w.script.quotas != nil {
		return w.script.quotas.nodeFor(c)
	}
	k := w.clientRand.IntN(c.customer.fanOut)
	if w.clientRand.Float64() < 0.2 {
		k = c.customer.preferredNode
	}
	return (c.customer.firstNode + k) % len(w.nodes)
}

// sendRequest sends a request of a call to a running node among those of its customer.
func (w *world) sendRequest(c *call) {
	left := c.arrivedAt + dayDeadline - w.Now()
	if left < 10*time.Millisecond {
		return
	}
	i := -1
	for range 6 {
		at := w.chooseNode(c)
		if n := w.nodes[at]; !n.down && !n.closing {
			i = at
			break
		}
	}
	if i < 0 {
		w.retryLater(c, false)
		return
	}
	c.requests++
	w.lastID++
	w.result.Requests++
	t := &clientRequest{id: fmt.Sprintf("r%d", w.lastID), call: c, deadline: w.Now() + left}
	n, set := w.nodes[i], &w.rules
	n.inFlight[t.id] = t
	w.checker.Taken(w.Now(), i, t.id, &set.Classes[c.class], left)
	if !w.script.quotas.admitRequest(i, t) {
		w.finish(i, t.id, "refused")
		return
	}
	r := control.Request{
		ID: t.id, Class: set.Classes[c.class].Name, Plan: set.Plans[c.customer.plan].Name, Customer: c.customer.name,
		Timeout: left, Units: c.units, FanOut: c.customer.fanOut, FirstGateway: c.customer.firstNode, IsRetry: c.requests > 1, IsWrite: c.class == 1,
	}
	if n.grantsFullHardLimit {
		r.FanOut = 1
	}
	life := n.incarnation
	if w.clientRand.Float64() < w.script.leavingFraction {
		w.After(time.Duration(w.clientRand.Float64()*float64(left)/4), func() {
			if n.incarnation == life && !n.down && n.inFlight[t.id] != nil {
				w.checker.Left(t.id)
				delete(n.inFlight, t.id)
				w.deliver(i, control.ClientGone{ID: t.id})
			}
		})
	}
	w.deliver(i, r)
}

// retryLater schedules a client's retry, up to a few.
func (w *world) retryLater(c *call, eager bool) {
	maxTries, wait := 4, 100*time.Millisecond+time.Duration(w.clientRand.Int64N(int64(700*time.Millisecond)))
	if eager {
		maxTries, wait = 6, time.Duration(w.clientRand.Int64N(int64(100*time.Millisecond)))
	}
	if c.isServed || c.requests >= maxTries || w.clientRand.Float64() < 0.2 {
		return
	}
	w.After(wait, func() { w.sendRequest(c) })
}
