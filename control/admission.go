package control

import (
	"math"
	"time"
)

const (
	maxRejectionProbability  = 0.95 // upper bound of the rejection probability
	sufficientTokensFraction = 0.08 // fraction of the burst from which the quota's bucket alone admits
	sheddableReserveFraction = 0.5  // fraction of the burst that sheddable requests must leave
	sheddableWeightRatio     = 0.5  // classes below this fraction of the highest weight are sheddable
	sheddableSojournFraction = 0.05 // maximum sojourn time of sheddable requests, per latency objective
	minTokensPerUnit         = 0.5  // tokens needed to admit a unit
)

// admission decides on the arrival of a request whether to admit it, based on its customer's account.
type admission struct {
	maxPriorityWeight float64 // highest priority weight of all classes
}

func newAdmission(settings *Settings) admission {
	var a admission
	for i := range settings.Classes {
		a.maxPriorityWeight = math.Max(a.maxPriorityWeight, settings.Classes[i].PriorityWeight)
	}
	return a
}

// admissionRequest holds the inputs of an admission decision other than the account.
type admissionRequest struct {
	class  *Class
	units  float64
	isLate bool // whether its latency objective cannot be met
	queue  queueEstimate

	handedOver float64 // fraction of all rates and buckets that another controller has after HandOver
}

// queueEstimate is the expected delay of a request that is queued now.
type queueEstimate struct {
	hasFreeSlot    bool    // whether an attempt can start within the concurrency limit
	sojournSeconds float64 // time in the queue and in service
}

// admit decides on an arriving request; CauseNone admits it. The account must have been refilled. Readings of
// the meter are expected from the time since on.
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

// isSheddable reports whether a request is late in any case, or its class has a far lower priority weight
// than the highest one. Such requests are shed under contention so that they do not take tokens or slots that
// more important requests need.
func (a *admission) isSheddable(req *admissionRequest) bool {
	return req.isLate || req.class.PriorityWeight < sheddableWeightRatio*a.maxPriorityWeight
}

// isContended reports whether a sheddable request would take a slot or tokens that other requests need.
func isContended(account *customerAccount, req *admissionRequest) bool {
	maxSojournSeconds := sheddableSojournFraction * req.class.LatencyObjective.Seconds()
	if !req.queue.hasFreeSlot && req.queue.sojournSeconds > maxSojournSeconds {
		return true
	}
	hasQuota := account.plan.QuotaRate > 0
	return hasQuota && account.availableTokens() < sheddableReserveFraction*account.quotaBurst(req.handedOver)
}

// quotaBurst returns this controller's part of the capacity of the quota's bucket.
func (a *customerAccount) quotaBurst(handedOver float64) float64 {
	return (1 - handedOver) * a.plan.QuotaBurst
}

// hasSufficientTokens reports whether the quota's bucket holds enough tokens to admit units regardless of the
// rejection probability.
func (a *customerAccount) hasSufficientTokens(units, handedOver float64) bool {
	return a.availableTokens() >= math.Max(sufficientTokensFraction*a.quotaBurst(handedOver), units)
}

// availableTokens returns the quota's tokens that are not reserved for queued requests.
func (a *customerAccount) availableTokens() float64 { return a.quota.tokens - a.queuedUnits }

// admitByQuota checks a request against the hard limit, the quota's bucket and the rejection probability. The
// probability decides unless the bucket is empty, which indicates a surge that is not metered yet, or the
// bucket has sufficient tokens and enough periods have been metered. Readings of the meter are expected from
// the time since on.
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
	// Error diffusion makes the rejected fraction match the probability even over few requests.
	a.admissionRemainder += 1 - a.rejectionProbability(now, since)
	if a.admissionRemainder >= 1 {
		a.admissionRemainder--
		return CauseNone
	}
	return CauseProbability
}

// rejectionProbability returns the fraction of the account's requests that probabilistic admission rejects
// now.
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
