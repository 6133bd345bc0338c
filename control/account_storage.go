package control

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// checkpoint is the stored form of an account for another controller.
func (a *customerAccount) checkpoint(key string) CustomerCheckpoint {
	plan := a.plan
	return CustomerCheckpoint{
		ID: key[len(plan.Name)+1:], Plan: plan.Name, FanOut: a.fanOut,
		QuotaBurst: plan.QuotaBurst, QuotaTokens: a.quota.tokens,
		HardLimitBurst: plan.HardLimitBurst, HardLimitTokens: a.hardLimit.tokens,
		InFlight:                 a.inFlight.current + a.inFlight.predecessor,
		InFlightLimit:            a.inFlight.limit,
		OpenRejectionProbability: a.inFlight.rejectionProbability,
		RemoteRate:               a.usage.remoteRate,
		RemoteRateAt:             a.usage.remoteRateAt,
		LastReadingUnits:         a.usage.lastReadingUnits,
		LocalUnits:               a.usage.localUnits,
		TotalUnits:               a.usage.totalUnits,
		UsageRate:                a.usage.rate,
		IsMetered:                a.demand.isMetered,
		ReadingAt:                a.demand.readingAt,
		ReadingEndBin:            a.demand.readingEndBin,
		RequestedUnits:           a.demand.requestedUnits,
		RequestedAt:              a.demand.requestedAt,
		MeteredUnits:             a.demand.meteredUnits,
		DemandSeconds:            a.demand.demandSeconds,
		MeteredSeconds:           a.demand.meteredSeconds,
		Sent:                     a.history.sent.amounts(),
		Charged:                  a.history.charged.amounts(),
		Arrivals:                 a.history.arrivals.amounts(),
		Rejections:               a.history.rejections.amounts(),
	}
}

// restoreAccount opens an account from its stored form. Its histories count only if they are of the same period.
func (c *Controller) restoreAccount(saved *CustomerCheckpoint, period time.Duration, trust Trust) {
	plan := c.plansByName[saved.Plan]
	if plan == nil || !(saved.FanOut >= 1) {
		return
	}
	account := c.accountFor(plan, saved.ID, int(saved.FanOut))
	account.inFlight.rejectionProbability = saved.OpenRejectionProbability
	account.inFlight.limit = math.Min(saved.InFlightLimit, float64(plan.MaxInFlight))
	if saved.InFlightLimit == 0 && plan.MaxInFlight > 0 {
		account.inFlight.limit = float64(plan.MaxInFlight) / account.fanOut
	}
	account.usage = usageEstimate{
		localUnits: saved.LocalUnits, totalUnits: saved.TotalUnits, rate: saved.UsageRate,
		remoteRate: saved.RemoteRate, remoteRateAt: saved.RemoteRateAt, lastReadingUnits: saved.LastReadingUnits,
	}
	account.demand = demandEstimate{
		requestedUnits: saved.RequestedUnits, requestedAt: saved.RequestedAt,
		meteredUnits: saved.MeteredUnits, demandSeconds: saved.DemandSeconds, meteredSeconds: saved.MeteredSeconds,
		readingAt: saved.ReadingAt, isMetered: saved.IsMetered,
	}
	if period == c.settings.MeterPeriod {
		account.demand.readingEndBin = saved.ReadingEndBin
		account.history = usageHistory{}
		account.history.sent.restore(saved.Sent, c.currentBin())
		account.history.charged.restore(saved.Charged, c.currentBin())
		account.history.arrivals.restore(saved.Arrivals, c.currentBin())
		account.history.rejections.restore(saved.Rejections, c.currentBin())
		account.history.advance(c.currentBin())
	}
	if trust != TrustAll {
		return
	}
	// What is missing in a bucket was spent, whatever the bucket holds now.
	spent := c.rateFraction*saved.QuotaBurst - saved.QuotaTokens
	account.quota.tokens = math.Max(-plan.QuotaBurst, c.rateFraction*plan.QuotaBurst-spent)
	if saved.HardLimitBurst > 0 && plan.HardLimitRate > 0 {
		spent = c.rateFraction*saved.HardLimitBurst/saved.FanOut - saved.HardLimitTokens
		account.hardLimit.tokens = c.rateFraction*plan.HardLimitBurst/account.fanOut - spent
	}
	account.inFlight.predecessor = saved.InFlight
}

// image is the stored form of an account for this controller; its key and whether it is tracked are added.
func (a *customerAccount) image() CustomerImage {
	return CustomerImage{
		Plan: a.plan.index, FanOut: a.fanOut, UpdatedAt: a.updatedAt,
		QuotaTokens: a.quota.tokens, HardLimitTokens: a.hardLimit.tokens,
		QueuedUnits: a.queuedUnits, AdmissionRemainder: a.admissionRemainder,
		InFlight:                 a.inFlight.current,
		PredecessorInFlight:      a.inFlight.predecessor,
		InFlightLimit:            a.inFlight.limit,
		NextAttemptAt:            a.inFlight.nextAttemptAt,
		HitInFlightLimit:         a.inFlight.hitLimit,
		OpenRejectionProbability: a.inFlight.rejectionProbability,
		RemoteRate:               a.usage.remoteRate,
		RemoteRateAt:             a.usage.remoteRateAt,
		LastReadingUnits:         a.usage.lastReadingUnits,
		LocalUnits:               a.usage.localUnits,
		TotalUnits:               a.usage.totalUnits,
		UsageRate:                a.usage.rate,
		IsMetered:                a.demand.isMetered,
		ReadingAt:                a.demand.readingAt,
		ReadingEndBin:            a.demand.readingEndBin,
		RequestedUnits:           a.demand.requestedUnits,
		RequestedAt:              a.demand.requestedAt,
		MeteredUnits:             a.demand.meteredUnits,
		DemandSeconds:            a.demand.demandSeconds,
		MeteredSeconds:           a.demand.meteredSeconds,
		SentBin:                  a.history.sent.currentBin,
		ChargedBin:               a.history.charged.currentBin,
		ArrivalsBin:              a.history.arrivals.currentBin,
		RejectionsBin:            a.history.rejections.currentBin,
		Sent:                     slices.Clone(a.history.sent.sums),
		Charged:                  slices.Clone(a.history.charged.sums),
		Arrivals:                 slices.Clone(a.history.arrivals.sums),
		Rejections:               slices.Clone(a.history.rejections.sums),
	}
}

// resumeCustomers opens the accounts of an image, in its order.
func (c *Controller) resumeCustomers(image *Image) ([]*customerAccount, error) {
	var all []*customerAccount
	for i := range image.Customers {
		saved := &image.Customers[i]
		if saved.Plan < 0 || saved.Plan >= len(c.plans) {
			return nil, fmt.Errorf("customer %q: there is no plan %d", saved.Key, saved.Plan)
		}
		account, err := saved.account(c.plans[saved.Plan])
		if err != nil {
			return nil, fmt.Errorf("customer %q: %w", saved.Key, err)
		}
		all = append(all, account)
		if saved.IsTracked {
			c.accounts[saved.Key] = account
		}
	}
	return all, nil
}

func (saved *CustomerImage) account(plan *planQueue) (*customerAccount, error) {
	account := &customerAccount{
		plan: plan, fanOut: saved.FanOut, updatedAt: saved.UpdatedAt,
		quota: tokenBucket{saved.QuotaTokens}, hardLimit: tokenBucket{saved.HardLimitTokens},
		queuedUnits: saved.QueuedUnits, admissionRemainder: saved.AdmissionRemainder,
		inFlight: inFlightQuota{
			current: saved.InFlight, predecessor: saved.PredecessorInFlight, limit: saved.InFlightLimit,
			nextAttemptAt: saved.NextAttemptAt, hitLimit: saved.HitInFlightLimit,
			rejectionProbability: saved.OpenRejectionProbability,
		},
		usage: usageEstimate{
			localUnits: saved.LocalUnits, totalUnits: saved.TotalUnits, rate: saved.UsageRate,
			remoteRate: saved.RemoteRate, remoteRateAt: saved.RemoteRateAt, lastReadingUnits: saved.LastReadingUnits,
		},
		demand: demandEstimate{
			requestedUnits: saved.RequestedUnits, requestedAt: saved.RequestedAt,
			meteredUnits: saved.MeteredUnits, demandSeconds: saved.DemandSeconds, meteredSeconds: saved.MeteredSeconds,
			readingAt: saved.ReadingAt, isMetered: saved.IsMetered, readingEndBin: saved.ReadingEndBin,
		},
	}
	for _, hist := range []struct {
		to   *history
		bin  int64
		sums []RunningSum
	}{
		{&account.history.sent, saved.SentBin, saved.Sent},
		{&account.history.charged, saved.ChargedBin, saved.Charged},
		{&account.history.arrivals, saved.ArrivalsBin, saved.Arrivals},
		{&account.history.rejections, saved.RejectionsBin, saved.Rejections},
	} {
		if err := hist.to.resume(hist.bin, hist.sums); err != nil {
			return nil, err
		}
	}
	return account, nil
}
