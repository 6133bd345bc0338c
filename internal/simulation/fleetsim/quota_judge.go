package fleetsim

import (
	"fmt"
	"math"
	"time"

	"lockflow/control"
)

// What a world of quotas books, tells and reports; and the policy that sees true stores late.

// CellNames are the sorts of tries that a report tells apart.
var CellNames = []string{"plan", "spread", "customer", "known here", "customer known here", "try", "node", "let in", "lacks", "guesses", "refused"}

const nodeYoung = 5 * time.Second

func (q *quotaDay) here(i int, c *dayCustomer) *known {
	k := q.known[place{i, c}]
	if k == nil {
		k = &known{}
		q.known[place{i, c}] = k
	}
	return k
}

// cell is where what comes of a sort of tries is booked.
func (q *quotaDay) cell(sort, name string) *Cell {
	if q.rep.Cells == nil {
		q.rep.Cells = map[string]map[string]*Cell{}
	}
	if q.rep.Cells[sort] == nil {
		q.rep.Cells[sort] = map[string]*Cell{}
	}
	c := q.rep.Cells[sort][name]
	if c == nil {
		c = &Cell{}
		q.rep.Cells[sort][name] = c
	}
	return c
}

// tried sorts a try by what is so at its arrival, and tells whether it gets to the module at all.
func (q *quotaDay) tried(i int, t *try) bool {
	if q == nil {
		return true
	}
	now, c := q.w.Now(), t.call.cust
	k := q.here(i, c)
	_, how := c.demand.at(now)
	met := "never asked"
	switch age := now - k.readAt; {
	case k.read && age <= 3*time.Second:
		met = "read within 3 s"
	case k.read && age <= 10*time.Second:
		met = "read within 10 s"
	case k.read:
		met = "read longer ago"
	case k.sent:
		met = "sent on, not read"
	}
	turn := "first"
	if t.call.tries > 1 {
		turn = "repeat"
	}
	age := "older"
	if now < nodeYoung {
		age = fmt.Sprintf("first %v", nodeYoung)
	}
	width := "over half of the group"
	switch n := len(q.w.nodes); {
	case c.spread <= 15:
		width = "to 15 nodes"
	case 2*c.spread <= n:
		width = "to half of the group"
	}
	t.cells = []*Cell{
		q.cell("plan", q.plans[c.plan].Name), q.cell("spread", width), q.cell("customer", string(how)), q.cell("known here", met), q.cell("customer known here", string(how)+": "+met),
		q.cell("try", turn), q.cell("node", age),
	}
	for _, one := range t.cells {
		one.Tries++
	}
	if c := t.call; c.tries == 1 && c.inside {
		for _, one := range t.cells {
			one.Offered += c.weight
		}
	}
	if q.why && k.read {
		t.admissionRemainder, t.read = q.admissionRemainder(i, c), true
	}
	lets := true
	switch q.policy {
	case LateStore:
		if lets = q.holds(now, k, c, t.call.units); lets {
			k.grants = append(k.grants, grant{t.id, now, t.call.units})
		}
	case LateUse:
		lets = q.luck.Float64() < q.admissionProbability(now, c, t.call.units)
	}
	q.truth[c].try(now, t.call.units)
	t.why = control.CauseQuota
	return lets
}

// holds tells whether the true state as it was, less what this instance has let in since, has room.
func (q *quotaDay) holds(now time.Duration, k *known, c *dayCustomer, units float64) bool {
	was, plan := q.truth[c].was(now-q.sees), &q.plans[c.plan]
	for len(k.grants) > 0 && k.grants[0].at < now-q.sees {
		k.grants = k.grants[1:]
	}
	for _, g := range k.grants {
		was.level -= g.units
		was.out++
	}
	return (plan.QuotaRate == 0 || was.level >= units) && (plan.MaxInFlight == 0 || was.out < plan.MaxInFlight)
}

// admissionRemainder is what the module's chance has over of a customer at an instance. A draw changes it.
func (q *quotaDay) admissionRemainder(i int, c *dayCustomer) float64 {
	key := q.plans[c.plan].Name + " " + c.name
	for _, one := range q.w.nodes[i].c.Image().Customers {
		if one.Key == key {
			return one.AdmissionRemainder
		}
	}
	return -1
}

// letIn tells by what a try was let in. One that has waited counts as let in by chance where another of its
// customer was drawn for meanwhile.
func (q *quotaDay) letIn(i int, t *try) string {
	switch {
	case !t.read:
		return "not read here"
	case math.Abs(q.admissionRemainder(i, t.call.cust)-t.admissionRemainder) < epsilon:
		return "by the store, or at no chance"
	}
	return "by chance"
}

// admissionProbability thins what was asked to the rate and what the store would give over twice the time by which it
// is seen late; and to half of the open limit, as attempts come by chance.
func (q *quotaDay) admissionProbability(now time.Duration, c *dayCustomer, units float64) float64 {
	plan, span := &q.plans[c.plan], max(q.sees, 500*time.Millisecond)
	was := q.truth[c].was(now - q.sees)
	before := q.truth[c].was(now - q.sees - span)
	offered, tries := (was.offered-before.offered)/span.Seconds(), float64(was.tries-before.tries)/span.Seconds()
	p := 1.0
	if plan.QuotaRate > 0 {
		p = math.Max(0, plan.QuotaRate+(was.level-units)/(2*span.Seconds())) / math.Max(epsilon, offered)
	}
	if plan.MaxInFlight > 0 {
		p = math.Min(p, 0.5*float64(plan.MaxInFlight)/math.Max(epsilon, tries*dayWork))
	}
	return p
}

// sent books a try's first attempt that has come whole, began each.
func (q *quotaDay) sent(i int, t *try) {
	if q == nil {
		return
	}
	now, c, p := q.w.Now(), t.call, &q.plans[t.call.cust.plan]
	l := q.truth[c.cust]
	if !t.sent {
		t.sent, c.sent = true, true
		lacks := l.lacks(now, c.units)
		t.inside = l.send(now, c.units)
		rough := "beyond too"
		if q.rough[c.cust].send(now, c.units) {
			rough = "inside without settling"
		}
		q.here(i, c.cust).sent = true
		q.units += c.units
		if !t.inside {
			q.price += p.OverQuotaCost * c.weight
			q.beyond += c.units
			t.cells = append(t.cells, q.cell("lacks", lacks), q.cell("guesses", rough))
		}
		if q.why {
			t.cells = append(t.cells, q.cell("let in", q.letIn(i, t)))
		}
		for _, one := range t.cells {
			if one.Sent += c.units; !t.inside {
				one.Beyond += c.units
				one.Price += p.OverQuotaCost * c.weight
			}
		}
	}
	l.began(now)
	q.rough[c.cust].began(now)
}

func (q *quotaDay) ended(c *dayCustomer) {
	if q != nil {
		q.truth[c].ended(q.w.Now())
		q.rough[c].ended(q.w.Now())
	}
}

// answered books a good answer.
func (q *quotaDay) answered(t *try) {
	if q == nil || !t.inside {
		return
	}
	c, k := t.call, &q.w.rules.Classes[t.call.class]
	q.truth[c.cust].settle(q.w.Now(), c.cost-c.units)
	if c.done {
		return
	}
	weight := c.weight
	if q.w.Now()-c.at > k.LatencyObjective {
		weight *= k.LateWeightFraction
	}
	q.good += weight
}

// refused books a try that is refused.
func (q *quotaDay) refused(i int, t *try) {
	if q == nil {
		return
	}
	q.refs++
	k := q.here(i, t.call.cust)
	for n, g := range k.grants {
		if g.id == t.id {
			k.grants = append(k.grants[:n:n], k.grants[n+1:]...)
			break
		}
	}
	hasCapacity := q.truth[t.call.cust].hasCapacity(q.w.Now())
	cells := append(t.cells[:len(t.cells):len(t.cells)], q.cell("refused", t.why.String()))
	for _, one := range cells {
		if one.Refused++; hasCapacity {
			one.RejectedWithCapacity++
		}
	}
	if !hasCapacity {
		return
	}
	if q.rejectedWithCapacity++; !t.call.rejectedWithCapacity {
		t.call.rejectedWithCapacity = true
		q.calls.rejectedWithCapacity++
		q.w.At(q.w.o.Lasts+dayDeadline, func() {
			if !t.call.sent {
				q.calls.lost++
			}
		})
	}
}

// reportedUsage is what an answer tells an instance of a customer's use.
func (q *quotaDay) reportedUsage(i int, c *dayCustomer) int {
	if q.policy != ByModule {
		return 0
	}
	used := q.truth[c].reportedUsage(q.w.Now(), q.late)
	if used > 0 {
		k := q.here(i, c)
		k.read, k.readAt = true, q.w.Now()
	}
	return used
}

func (q *quotaDay) report(day DayReport) QuotaReport {
	r := q.rep
	r.Instances, r.Seed, r.First, r.Tries, r.Broken = day.Instances, day.Seed, day.First, day.Tries, day.Broken
	if r.Late = q.late.Seconds(); q.policy != ByModule {
		r.Late = q.sees.Seconds()
	} else if q.f.meter == 0 {
		r.Late = 0
	}
	per := func(n int, of int) float64 { return float64(n) / math.Max(1, float64(of)) }
	r.Served, r.Price, r.Beyond = q.good/math.Max(1, q.offeredWeight), q.price/math.Max(1, q.offeredWeight), q.beyond/math.Max(1, q.units)
	r.Excess = q.excess.over / math.Max(1, q.excess.in)
	r.Refused, r.TriesRejectedWithCapacity = per(q.refs, r.Tries), per(q.rejectedWithCapacity, r.Tries)
	r.CallsRejectedWithCapacity, r.CallsLostWithCapacity = per(q.calls.rejectedWithCapacity, r.First), per(q.calls.lost, r.First)
	for _, sort := range r.Cells {
		for _, c := range sort {
			c.Price /= math.Max(epsilon, q.price)
			c.Offered /= math.Max(epsilon, q.offeredWeight)
		}
	}
	return r
}

const epsilon = 1e-9
