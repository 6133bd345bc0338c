package fleetsim

import (
	"math"
	"time"

	"lockflow/control"
)

// ledger is a customer's quota as it truly is over the whole group, from its start on, and its meter.
type ledger struct {
	plan  *control.Plan
	level float64
	at    time.Duration
	out   int     // attempts
	asked float64 // units of all tries so far
	tries int

	past   []state // after each change
	period time.Duration
	uses   []use // by period
}

// state is a store's level and the attempts out at a time, and what was asked until then.
type state struct {
	at    time.Duration
	level float64
	out   int
	asked float64
	tries int
}

// use is what a period is metered with.
type use struct {
	units float64
	most  int // attempts out at once
}

func newLedger(p *control.Plan, period time.Duration) *ledger {
	return &ledger{plan: p, level: p.QuotaBurst, period: period}
}

func (l *ledger) fill(now time.Duration) {
	l.level = math.Min(l.plan.QuotaBurst, l.level+(now-l.at).Seconds()*l.plan.QuotaRate)
	l.at = now
}

// note keeps the state that has just changed.
func (l *ledger) note() { l.past = append(l.past, state{l.at, l.level, l.out, l.asked, l.tries}) }

// try books a try that comes to an instance.
func (l *ledger) try(now time.Duration, units float64) {
	l.fill(now)
	l.asked += units
	l.tries++
	l.note()
}

// send books a try that is sent on for the first time, of so many units. Inside the quota it takes
// them; beyond it takes nothing.
func (l *ledger) send(now time.Duration, units float64) (inside bool) {
	l.fill(now)
	if inside = l.holds(units); inside && l.plan.QuotaRate > 0 {
		l.level -= units
	}
	l.note()
	if u := l.metered(now); u != nil {
		u.units += units
	}
	return inside
}

// lacks tells what a try that is beyond the quota lacks.
func (l *ledger) lacks(now time.Duration, units float64) string {
	l.fill(now)
	switch open := l.plan.MaxInFlight > 0 && l.out >= l.plan.MaxInFlight; {
	case !open:
		return "units"
	case l.plan.QuotaRate == 0 || l.level >= units:
		return "a place"
	}
	return "both"
}

func (l *ledger) holds(units float64) bool {
	return (l.plan.QuotaRate == 0 || l.level >= units) && (l.plan.MaxInFlight == 0 || l.out < l.plan.MaxInFlight)
}

// began and ended book an attempt of a try, also a further one.
func (l *ledger) began(now time.Duration) {
	l.fill(now)
	l.out++
	l.note()
	if u := l.metered(now); u != nil {
		u.most = max(u.most, l.out)
	}
}

func (l *ledger) ended(now time.Duration) {
	l.fill(now)
	l.metered(now)
	l.out--
	l.note()
}

// settle takes what a try inside the quota cost more than was taken for it, or gives it back.
func (l *ledger) settle(now time.Duration, more float64) {
	if l.plan.QuotaRate == 0 {
		return
	}
	l.fill(now)
	l.level = math.Min(l.plan.QuotaBurst, l.level-more)
	l.note()
}

// room tells whether half of the quota is unused.
func (l *ledger) room(now time.Duration) bool {
	l.fill(now)
	return (l.plan.QuotaRate == 0 || l.level >= l.plan.QuotaBurst/2) && (l.plan.MaxInFlight == 0 || 2*l.out <= l.plan.MaxInFlight)
}

// was is the state as it was at a time; before the start the store was full.
func (l *ledger) was(at time.Duration) state {
	for i := len(l.past) - 1; i >= 0; i-- {
		if s := l.past[i]; s.at <= at {
			s.level, s.at = math.Min(l.plan.QuotaBurst, s.level+(at-s.at).Seconds()*l.plan.QuotaRate), at
			return s
		}
	}
	return state{at: at, level: l.plan.QuotaBurst}
}

// metered is the period of a time; none without a meter.
func (l *ledger) metered(now time.Duration) *use {
	if l.period == 0 {
		return nil
	}
	for len(l.uses) <= int(now/l.period) {
		l.uses = append(l.uses, use{most: l.out})
	}
	return &l.uses[len(l.uses)-1]
}

// told is what the meter tells of the last period that it has added up: 1 and the percent of the rate,
// or of the open limit where there is no rate. 0 is nothing.
func (l *ledger) told(now, late time.Duration) int {
	l.metered(now)
	if l.period == 0 || now < late+l.period {
		return 0
	}
	u := l.uses[int((now-late)/l.period)-1]
	switch {
	case l.plan.QuotaRate > 0:
		return 1 + int(math.Round(100*u.units/(l.plan.QuotaRate*l.period.Seconds())))
	case l.plan.MaxInFlight > 0:
		return 1 + int(math.Round(100*float64(u.most)/float64(l.plan.MaxInFlight)))
	}
	return 0
}
