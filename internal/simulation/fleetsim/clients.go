package fleetsim

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lockflow/control"
)

// Customers, their calls and their quotas.

// people draws the customers. Most use a part of their quota, some nearly all of it, and some ask
// for several times as much.
func (w *world) people() {
	if w.plan.quotas != nil {
		w.plan.quotas.people(w)
		return
	}
	set := &w.rules
	capacity := float64(len(w.hosts)) * dayCores / dayWork // requests a second
	inside := perNodeOffered * capacity
	sum, offered := 0.0, 0.0
	for i := 0; offered < inside; i++ {
		c := &dayCustomer{name: fmt.Sprintf("c%d", i), plan: 0, spread: max(1, w.o.GroupSize/2)}
		if i%8 == 0 {
			c.plan, c.spread = 1, min(4, w.o.GroupSize)
		}
		c.first, c.hot = w.clientRand.IntN(w.o.Instances), w.clientRand.IntN(c.spread)
		part := 0.2 + 0.5*w.clientRand.Float64()
		switch x := w.clientRand.Float64(); {
		case x < 0.1:
			part = 2.5 + 2*w.clientRand.Float64()
		case x < 0.25:
			part = 0.95
		}
		rate := part * set.Plans[c.plan].QuotaRate / 2.5 // units of a request, on average
		sum += rate
		offered += math.Min(part, 1) * set.Plans[c.plan].QuotaRate / 2.5
		w.custs, w.sums = append(w.custs, c), append(w.sums, sum)
	}
	w.arrivalRate = sum * w.o.Load
}

// arrive has a first try come, and the next one later.
func (w *world) arrive() {
	if w.Now() >= w.o.Lasts {
		return
	}
	x := w.clientRand.Float64() * w.sums[len(w.sums)-1]
	k, _ := slices.BinarySearch(w.sums, x)
	cust := w.custs[min(k, len(w.custs)-1)]
	if w.plan.fresh && w.clientRand.Float64() < 0.5 { // it comes this once
		w.fresh++
		cust = &dayCustomer{name: fmt.Sprintf("f%d", w.fresh), spread: cust.spread, plan: cust.plan, first: cust.first}
	}
	c := &call{at: w.Now(), cust: cust, class: w.clientRand.IntN(2), units: float64(1 + w.clientRand.IntN(unitsTop))}
	p := &w.rules.Plans[cust.plan]
	c.weight = w.rules.Classes[c.class].PriorityWeight * p.Price * c.units
	q := w.store(cust, p)
	q.offered = math.Min(p.QuotaBurst, q.offered+(w.Now()-q.offeredAt).Seconds()*p.QuotaRate)
	q.offeredAt = w.Now()
	if c.inside = q.offered >= c.units; c.inside {
		q.offered -= c.units
		w.count(c, c.weight, 0)
	}
	w.rep.First++
	w.try(c)
	w.After(time.Duration(w.clientRand.ExpFloat64()/w.arrivalRate*float64(time.Second)), w.arrive)
}

func (w *world) store(c *dayCustomer, p *control.Plan) *quota {
	q := w.stores[c.name]
	if q == nil {
		q = &quota{offered: p.QuotaBurst, sent: p.QuotaBurst, offeredAt: w.Now(), sentAt: w.Now()}
		w.stores[c.name] = q
	}
	return q
}

// spend takes what is sent on from the true quota and meters it.
func (w *world) spend(c *call, p *control.Plan) {
	q := w.store(c.cust, p)
	q.sent = math.Min(p.QuotaBurst, q.sent+(w.Now()-q.sentAt).Seconds()*p.QuotaRate)
	q.sentAt = w.Now()
	w.sentUnits += c.units
	if q.sent >= c.units {
		q.sent -= c.units
	} else {
		w.beyond += c.units
	}
	m := w.used[c.cust.name]
	if m == nil {
		m = &meter{}
		w.used[c.cust.name] = m
	}
	m.roll(int(w.Now() / time.Second))
	m.now += c.units
}

// roll brings a meter to a period.
func (m *meter) roll(period int) {
	for ; m.period < period; m.period++ {
		m.periodUnits = append(m.periodUnits, m.now)
		if m.now = 0; len(m.periodUnits) > 4 {
			m.periodUnits = m.periodUnits[1:]
		}
	}
}

// reportedUsage is what an answer tells of a customer's use: 1 and the percent of its rate in the last period
// that the meter has summed; 0 where it tells nothing.
func (w *world) reportedUsage(i int, c *dayCustomer) int {
	if w.plan.quotas != nil {
		return w.plan.quotas.reportedUsage(i, c)
	}
	m := w.used[c.name]
	if m == nil || w.meterDown {
		return 0
	}
	m.roll(int(w.Now() / time.Second))
	if len(m.periodUnits) < meterBack {
		return 0
	}
	return 1 + int(math.Round(100*m.periodUnits[len(m.periodUnits)-meterBack]/w.rules.Plans[c.plan].QuotaRate))
}

// place draws the instance that a try comes to.
func (w *world) place(c *call) int {
	if w.plan.quotas != nil {
		return w.plan.quotas.at(c)
	}
	k := w.clientRand.IntN(c.cust.spread)
	if w.clientRand.Float64() < 0.2 {
		k = c.cust.hot
	}
	return (c.cust.first + k) % len(w.nodes)
}

// try has a call come to an instance of its customer's set that is up.
func (w *world) try(c *call) {
	left := c.at + dayDeadline - w.Now()
	if left < 10*time.Millisecond {
		return
	}
	i := -1
	for range 6 {
		at := w.place(c)
		if n := w.nodes[at]; !n.down && !n.closing {
			i = at
			break
		}
	}
	if i < 0 {
		w.later(c, false)
		return
	}
	c.tries++
	w.ids++
	w.rep.Tries++
	t := &try{id: fmt.Sprintf("r%d", w.ids), call: c, until: w.Now() + left}
	n, set := w.nodes[i], &w.rules
	n.inFlight[t.id] = t
	w.check.Taken(w.Now(), i, t.id, &set.Classes[c.class], left)
	if !w.plan.quotas.tried(i, t) {
		w.answer(i, t.id, "refused")
		return
	}
	r := control.Request{
		ID: t.id, Class: set.Classes[c.class].Name, Plan: set.Plans[c.cust.plan].Name, Customer: c.cust.name,
		Timeout: left, Units: c.units, FanOut: c.cust.spread, FirstGateway: c.cust.first, IsRetry: c.tries > 1, IsWrite: c.class == 1,
	}
	if n.grantsFullHardLimit {
		r.FanOut = 1
	}
	life := n.life
	if w.clientRand.Float64() < w.plan.leave {
		w.After(time.Duration(w.clientRand.Float64()*float64(left)/4), func() {
			if n.life == life && !n.down && n.inFlight[t.id] != nil {
				w.check.Left(t.id)
				delete(n.inFlight, t.id)
				w.tell(i, control.ClientGone{ID: t.id})
			}
		})
	}
	w.tell(i, r)
}

// later has a client come again after a while, for a few times.
func (w *world) later(c *call, eager bool) {
	maxTries, wait := 4, 100*time.Millisecond+time.Duration(w.clientRand.Int64N(int64(700*time.Millisecond)))
	if eager {
		maxTries, wait = 6, time.Duration(w.clientRand.Int64N(int64(100*time.Millisecond)))
	}
	if c.done || c.tries >= maxTries || w.clientRand.Float64() < 0.2 {
		return
	}
	w.After(wait, func() { w.try(c) })
}
