package control

import (
	"math"
	"time"
)

const (
	maxRejectionProbability  = 0.95 // of the metered rule
	sufficientTokensFraction = 0.08 // filling from which the quota's bucket alone admits
	sheddableReserveFraction = 0.5  // filling that sheddable requests must leave
	sheddableWeightRatio     = 0.5  // part of the highest weight below which a class is sheddable
	sheddableSojournFraction = 0.05 // part of its latency objective that a sheddable request may queue
	minTokensPerUnit         = 0.5  // tokens needed to admit a unit
)

// admission decides on requests at their arrival, by the accounts of their customers.
type admission struct {
	maxPriorityWeight float64 // of all classes
}

func newAdmission(settings *Settings) admission {
	var a admission
	for i := range settings.Classes {
		a.maxPriorityWeight = math.Max(a.maxPriorityWeight, settings.Classes[i].PriorityWeight)
	}
	return a
}

// admissionRequest is what admission goes by, beside the account.
type admissionRequest struct {
	class  *Class
	units  float64
	isLate bool // its latency objective can not be met
	queue  queueEstimate

	handedOver float64 // part of all rates, and of each bucket, that another controller has after HandOver
}

// turnEstimate is what a request that joins the queues now has to expect.
type queueEstimate struct {
	hasFreeSlot    bool    // within the concurrency limit
	sojournSeconds float64 // that it waits and occupies its slot
}

// admit decides on a request at its arrival; CauseNone admits it. The account has to be refilled. Since is
// the time from which readings of the meter can be expected.
func (a *admission) admit(now, since time.Duration, account *customerAccount, req admissionRequest) Cause {
	account.history.arrivals.add(1)
	account.demand.addRequest(now, req.units)
	var cause Cause
	switch {
	case req.isLate && !account.demand.hasEnoughReadings(now, since):
		cause = CauseTooLate
	case a.isSheddable(&req) && isContended(account, &req):
		cause = CauseShed
	default:
		cause = account.admitByQuota(now, since, req.units, req.handedOver)
	}
	if cause != CauseNone {
		account.history.rejections.add(1)
	}
	return cause
}

// isSheddable tells whether a request can only be late, or is of a class that weighs far less than the most
// important one. Guards against such requests taking the tokens or the turn of others.
func (a *admission) isSheddable(req *admissionRequest) bool {
	return req.isLate || req.class.PriorityWeight < sheddableWeightRatio*a.maxPriorityWeight
}

// isScarce tells whether a sheddable request would take a turn or tokens that others need.
func isContended(account *customerAccount, req *admissionRequest) bool {
	maxSojournSeconds := sheddableSojournFraction * req.class.LatencyObjective.Seconds()
	if !req.queue.hasFreeSlot && req.queue.sojournSeconds > maxSojournSeconds {
		return true
	}
	hasQuota := account.plan.QuotaRate > 0
	return hasQuota && account.availableTokens() < sheddableReserveFraction*account.quotaBurst(req.handedOver)
}

// quotaBurst is how much the quota's bucket holds, of which another controller may have a part.
func (a *customerAccount) quotaBurst(handedOver float64) float64 {
	return (1 - handedOver) * a.plan.QuotaBurst
}

// isWellFilled tells whether the quota's bucket is filled enough to admit units by itself.
func (a *customerAccount) hasSufficientTokens(units, handedOver float64) bool {
	return a.availableTokens() >= math.Max(sufficientTokensFraction*a.quotaBurst(handedOver), units)
}

// availableTokens are the quota's tokens that are not reserved for queued requests.
func (a *customerAccount) availableTokens() float64 { return a.quota.tokens - a.queuedUnits }

// admitByQuota checks a request against the hard limit, the quota's bucket and the rejection probability.
// The last decides unless the bucket is empty (a surge not metered yet), or well filled and well metered.
// Since is the time from which readings of the meter can be expected.
func (a *customerAccount) admitByQuota(now, since time.Duration, units, handedOver float64) Cause {
	plan := a.plan
	if plan.HardLimitRate > 0 && a.hardLimit.tokens-a.queuedUnits < units {
		return CauseHardLimit
	}
	if plan.QuotaRate > 0 {
		if a.hasSufficientTokens(units, handedOver) && a.demand.hasEnoughReadings(now, since) {
			return CauseNone
		}
		if a.availableTokens() < minTokensPerUnit*units {
			return CauseQuota
		}
	}
	// Error diffusion makes the probability exact over few requests.
	a.admissionRemainder += 1 - a.rejectionProbability(now, since)
	if a.admissionRemainder >= 1 {
		a.admissionRemainder--
		return CauseNone
	}
	return CauseProbability
}

// rejectionProbability is the part of an account's requests that the metered rule rejects now.
func (a *customerAccount) rejectionProbability(now, since time.Duration) float64 {
	switch plan := a.plan; {
	case !a.demand.isMetered:
		return plan.firstReadings.rejectionProbability(a.fanOut)
	case plan.QuotaRate == 0:
		return a.inFlight.rejectionProbability
	default:
		return a.demand.rejectionProbability(now, since, a.fanOut, &plan.Plan)
	}
}
