package fleetsim

import (
	"math"
	"time"

	"lockflow/control"
)

// quotaAccount is the exact state of a customer's quota over all nodes of the group, with the meter of its usage.
type quotaAccount struct {
	plan     *control.Plan
	tokens   float64
	at       time.Duration
	inFlight int     // number of attempts in flight
	offered  float64 // sum of the units of all requests so far
	requests int

	history []accountState // the state after each change
	period  time.Duration
	usages  []periodUsage // by meter period
}

// accountState is the state of a quota at one time, with the number and the units of all requests up to that time.
type accountState struct {
	at       time.Duration
	tokens   float64
	inFlight int
	offered  float64
	requests int
}

// periodUsage is the usage in one meter period.
type periodUsage struct {
	units       float64
	maxInFlight int // maximum number of attempts in flight at one time
}

func newQuotaAccount(p *control.Plan, period time.Duration) *quotaAccount {
	return &quotaAccount{plan: p, tokens: p.QuotaBurst, period: period}
}

func (a *quotaAccount) refill(now time.Duration) {
	a.tokens = math.Min(a.plan.QuotaBurst, a.tokens+(now-a.at).Seconds()*a.plan.QuotaRate)
	a.at = now
}

// recordState appends the current state to the history.
func (a *quotaAccount) recordState() {
	a.history = append(a.history, accountState{a.at, a.tokens, a.inFlight, a.offered, a.requests})
}

// recordRequest records a request that a node has received.
func (a *quotaAccount) recordRequest(now time.Duration, units float64) {
	a.refill(now)
	a.offered += units
	a.requests++
	a.recordState()
}

// charge records the first attempt of a request. It takes the request's units if the request is within the quota, and
// no units otherwise. It returns whether the request is within the quota.
func (a *quotaAccount) charge(now time.Duration, units float64) (isUnderQuota bool) {
	a.refill(now)
	if isUnderQuota = a.hasQuota(units); isUnderQuota && a.plan.QuotaRate > 0 {
		a.tokens -= units
	}
	a.recordState()
	if usage := a.currentUsage(now); usage != nil {
		usage.units += units
	}
	return isUnderQuota
}

// missingQuota returns which part of the quota is exhausted for a request: its units, its in-flight quota, or both.
func (a *quotaAccount) missingQuota(now time.Duration, units float64) string {
	a.refill(now)
	switch isInFlightQuotaUsed := a.plan.MaxInFlight > 0 && a.inFlight >= a.plan.MaxInFlight; {
	case !isInFlightQuotaUsed:
		return "units"
	case a.plan.QuotaRate == 0 || a.tokens >= units:
		return "a place"
	}
	return "both"
}

func (a *quotaAccount) hasQuota(units float64) bool {
	return (a.plan.QuotaRate == 0 || a.tokens >= units) && (a.plan.MaxInFlight == 0 || a.inFlight < a.plan.MaxInFlight)
}

// beginAttempt records the start of an attempt, first or retried.
func (a *quotaAccount) beginAttempt(now time.Duration) {
	a.refill(now)
	a.inFlight++
	a.recordState()
	if usage := a.currentUsage(now); usage != nil {
		usage.maxInFlight = max(usage.maxInFlight, a.inFlight)
	}
}

func (a *quotaAccount) endAttempt(now time.Duration) {
	a.refill(now)
	a.currentUsage(now)
	a.inFlight--
	a.recordState()
}

// settle charges the difference between the actual units of a request within the quota and its charged units. A negative difference is refunded.
func (a *quotaAccount) settle(now time.Duration, difference float64) {
	if a.plan.QuotaRate == 0 {
		return
	}
	a.refill(now)
	a.tokens = math.Min(a.plan.QuotaBurst, a.tokens-difference)
	a.recordState()
}

// hasCapacity reports whether at least half of the quota is unused.
func (a *quotaAccount) hasCapacity(now time.Duration) bool {
	a.refill(now)
	return (a.plan.QuotaRate == 0 || a.tokens >= a.plan.QuotaBurst/2) && (a.plan.MaxInFlight == 0 || 2*a.inFlight <= a.plan.MaxInFlight)
}

// stateAt returns the state at an earlier time. Before the first recorded state the bucket is full.
func (a *quotaAccount) stateAt(at time.Duration) accountState {
	for i := len(a.history) - 1; i >= 0; i-- {
		if s := a.history[i]; s.at <= at {
			s.tokens, s.at = math.Min(a.plan.QuotaBurst, s.tokens+(at-s.at).Seconds()*a.plan.QuotaRate), at
			return s
		}
	}
	return accountState{at: at, tokens: a.plan.QuotaBurst}
}

// currentUsage returns the usage of the current meter period, or nil if there is no meter.
func (a *quotaAccount) currentUsage(now time.Duration) *periodUsage {
	if a.period == 0 {
		return nil
	}
	for len(a.usages) <= int(now/a.period) {
		a.usages = append(a.usages, periodUsage{maxInFlight: a.inFlight})
	}
	return &a.usages[len(a.usages)-1]
}

// reportedUsage returns the meter's report on the last period whose end is at least delay ago: 1 plus the usage in per
// cent of the quota's rate, or of the in-flight quota if there is no rate. 0 means that there is no report.
func (a *quotaAccount) reportedUsage(now, delay time.Duration) int {
	a.currentUsage(now)
	if a.period == 0 || now < delay+a.period {
		return 0
	}
	usage := a.usages[int((now-delay)/a.period)-1]
	switch {
	case a.plan.QuotaRate > 0:
		return 1 + int(math.Round(100*usage.units/(a.plan.QuotaRate*a.period.Seconds())))
	case a.plan.MaxInFlight > 0:
		return 1 + int(math.Round(100*float64(usage.maxInFlight)/float64(a.plan.MaxInFlight)))
	}
	return 0
}
