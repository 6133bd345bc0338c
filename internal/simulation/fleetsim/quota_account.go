package fleetsim

import (
	"math"
	"time"

	"lockflow/control"
)

// quotaAccount is a customer's quota as it truly is over the whole group, from its start on, and its meter.
type quotaAccount struct {
	plan    *control.Plan
	level   float64
	at      time.Duration
	out     int     // attempts
	offered float64 // units of all tries so far
	tries   int

	past   []state // after each change
	period time.Duration
	uses   []use // by period
}

// state is a store's level and the attempts out at a time, and what was asked until then.
type state struct {
	at      time.Duration
	level   float64
	out     int
	offered float64
	tries   int
}

// use is what a period is metered with.
type use struct {
	units       float64
	maxInFlight int // attempts out at once
}

func newQuotaAccount(p *control.Plan, period time.Duration) *quotaAccount {
	return &quotaAccount{plan: p, level: p.QuotaBurst, period: period}
}

func (a *quotaAccount) fill(now time.Duration) {
	a.level = math.Min(a.plan.QuotaBurst, a.level+(now-a.at).Seconds()*a.plan.QuotaRate)
	a.at = now
}

// note keeps the state that has just changed.
func (a *quotaAccount) note() {
	a.past = append(a.past, state{a.at, a.level, a.out, a.offered, a.tries})
}

// try books a try that comes to an instance.
func (a *quotaAccount) try(now time.Duration, units float64) {
	a.fill(now)
	a.offered += units
	a.tries++
	a.note()
}

// send books a try that is sent on for the first time, of so many units. Inside the quota it takes
// them; beyond it takes nothing.
func (a *quotaAccount) send(now time.Duration, units float64) (inside bool) {
	a.fill(now)
	if inside = a.holds(units); inside && a.plan.QuotaRate > 0 {
		a.level -= units
	}
	a.note()
	if u := a.metered(now); u != nil {
		u.units += units
	}
	return inside
}

// lacks tells what a try that is beyond the quota lacks.
func (a *quotaAccount) lacks(now time.Duration, units float64) string {
	a.fill(now)
	switch open := a.plan.MaxInFlight > 0 && a.out >= a.plan.MaxInFlight; {
	case !open:
		return "units"
	case a.plan.QuotaRate == 0 || a.level >= units:
		return "a place"
	}
	return "both"
}

func (a *quotaAccount) holds(units float64) bool {
	return (a.plan.QuotaRate == 0 || a.level >= units) && (a.plan.MaxInFlight == 0 || a.out < a.plan.MaxInFlight)
}

// began and ended book an attempt of a try, also a further one.
func (a *quotaAccount) began(now time.Duration) {
	a.fill(now)
	a.out++
	a.note()
	if u := a.metered(now); u != nil {
		u.maxInFlight = max(u.maxInFlight, a.out)
	}
}

func (a *quotaAccount) ended(now time.Duration) {
	a.fill(now)
	a.metered(now)
	a.out--
	a.note()
}

// settle takes what a try inside the quota cost more than was taken for it, or gives it back.
func (a *quotaAccount) settle(now time.Duration, more float64) {
	if a.plan.QuotaRate == 0 {
		return
	}
	a.fill(now)
	a.level = math.Min(a.plan.QuotaBurst, a.level-more)
	a.note()
}

// hasCapacity tells whether half of the quota is unused.
func (a *quotaAccount) hasCapacity(now time.Duration) bool {
	a.fill(now)
	return (a.plan.QuotaRate == 0 || a.level >= a.plan.QuotaBurst/2) && (a.plan.MaxInFlight == 0 || 2*a.out <= a.plan.MaxInFlight)
}

// was is the state as it was at a time; before the start the store was full.
func (a *quotaAccount) was(at time.Duration) state {
	for i := len(a.past) - 1; i >= 0; i-- {
		if s := a.past[i]; s.at <= at {
			s.level, s.at = math.Min(a.plan.QuotaBurst, s.level+(at-s.at).Seconds()*a.plan.QuotaRate), at
			return s
		}
	}
	return state{at: at, level: a.plan.QuotaBurst}
}

// metered is the period of a time; none without a meter.
func (a *quotaAccount) metered(now time.Duration) *use {
	if a.period == 0 {
		return nil
	}
	for len(a.uses) <= int(now/a.period) {
		a.uses = append(a.uses, use{maxInFlight: a.out})
	}
	return &a.uses[len(a.uses)-1]
}

// reportedUsage is what the meter tells of the last period that it has added up: 1 and the percent of the rate,
// or of the open limit where there is no rate. 0 is nothing.
func (a *quotaAccount) reportedUsage(now, late time.Duration) int {
	a.metered(now)
	if a.period == 0 || now < late+a.period {
		return 0
	}
	u := a.uses[int((now-late)/a.period)-1]
	switch {
	case a.plan.QuotaRate > 0:
		return 1 + int(math.Round(100*u.units/(a.plan.QuotaRate*a.period.Seconds())))
	case a.plan.MaxInFlight > 0:
		return 1 + int(math.Round(100*float64(u.maxInFlight)/float64(a.plan.MaxInFlight)))
	}
	return 0
}
