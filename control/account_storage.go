package control

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// An account has two stored forms, CustomerCheckpoint and CustomerImage. It is only converted to and from an image; the
// fields that both forms share are copied between the image and the checkpoint.
var (
	imageToCheckpoint = newSharedFields[CustomerImage, CustomerCheckpoint]()
	checkpointToImage = newSharedFields[CustomerCheckpoint, CustomerImage]()
)

// checkpoint returns the stored form of an account for another controller. key is its key in an accountTable.
func (a *customerAccount) checkpoint(key string) CustomerCheckpoint {
	plan := a.plan
	image := a.imageWithoutHistory()
	var checkpoint CustomerCheckpoint
	imageToCheckpoint.copy(&checkpoint, &image)
	checkpoint.ID = key[len(plan.Name)+1:]
	checkpoint.Plan = plan.Name
	checkpoint.QuotaBurst = plan.QuotaBurst
	checkpoint.HardLimitBurst = plan.HardLimitBurst
	checkpoint.InFlight = a.inFlight.current + a.inFlight.predecessor
	checkpoint.Sent = a.history.sent.amounts()
	checkpoint.Charged = a.history.charged.amounts()
	checkpoint.Arrivals = a.history.arrivals.amounts()
	checkpoint.Rejections = a.history.rejections.amounts()
	return checkpoint
}

// usageHistory returns the history of the bins up to the current one.
func (saved *CustomerCheckpoint) usageHistory(currentBin int64) usageHistory {
	var restored usageHistory
	restored.sent.restore(saved.Sent, currentBin)
	restored.charged.restore(saved.Charged, currentBin)
	restored.arrivals.restore(saved.Arrivals, currentBin)
	restored.rejections.restore(saved.Rejections, currentBin)
	restored.advance(currentBin)
	return restored
}

// inFlightLimit returns this gateway's limit of a customer's attempts in flight. A checkpoint without a limit was taken
// under settings in which the plan had none.
func (saved *CustomerCheckpoint) inFlightLimit(plan *planQueue, fanOut float64) float64 {
	if saved.InFlightLimit == 0 && plan.MaxInFlight > 0 {
		return float64(plan.MaxInFlight) / fanOut
	}
	return math.Min(saved.InFlightLimit, float64(plan.MaxInFlight))
}

// restoreAccount opens an account from its stored form. period is the meter's period under which it was stored; its
// bins are only valid with the same period.
func (c *Controller) restoreAccount(saved *CustomerCheckpoint, period time.Duration, trust Trust) {
	plan := c.scheduler.plansByName[saved.Plan]
	if plan == nil || !(saved.FanOut >= 1) {
		return
	}
	account := c.accountFor(plan, saved.ID, int(saved.FanOut))
	if account == nil {
		return
	}
	account.inFlight.rejectionProbability = saved.InFlightRejectionProbability
	account.inFlight.limit = saved.inFlightLimit(plan, account.fanOut)
	var image CustomerImage
	checkpointToImage.copy(&image, saved)
	account.usage = image.usage()
	account.demand = image.demand()
	if period == c.settings.MeterPeriod {
		account.history = saved.usageHistory(c.currentBin())
	} else {
		account.demand.readingEndBin = 0
	}
	if trust == TrustAll {
		c.restoreSpending(account, saved)
	}
}

// restoreSpending restores a customer's usage and its attempts in flight. The tokens that were missing from a stored
// bucket are subtracted from the current burst, which may differ from the stored one.
func (c *Controller) restoreSpending(account *customerAccount, saved *CustomerCheckpoint) {
	plan := account.plan
	spent := c.accounts.rateFraction*saved.QuotaBurst - saved.QuotaTokens
	account.quota.tokens = math.Max(-plan.QuotaBurst, c.accounts.rateFraction*plan.QuotaBurst-spent)
	if saved.HardLimitBurst > 0 && plan.HardLimitRate > 0 {
		spent = c.accounts.rateFraction*saved.HardLimitBurst/saved.FanOut - saved.HardLimitTokens
		account.hardLimit.tokens = c.accounts.rateFraction*plan.HardLimitBurst/account.fanOut - spent
	}
	account.inFlight.predecessor = saved.InFlight
}

// image returns the stored form of an account for this controller, without its key and IsTracked.
func (a *customerAccount) image() CustomerImage {
	image := a.imageWithoutHistory()
	image.SentBin = a.history.sent.currentBin
	image.ChargedBin = a.history.charged.currentBin
	image.ArrivalsBin = a.history.arrivals.currentBin
	image.RejectionsBin = a.history.rejections.currentBin
	image.Sent = slices.Clone(a.history.sent.sums)
	image.Charged = slices.Clone(a.history.charged.sums)
	image.Arrivals = slices.Clone(a.history.arrivals.sums)
	image.Rejections = slices.Clone(a.history.rejections.sums)
	return image
}

// imageWithoutHistory returns the image without the history.
func (a *customerAccount) imageWithoutHistory() CustomerImage {
	return CustomerImage{
		Plan:                         a.plan.index,
		FanOut:                       a.fanOut,
		UpdatedAt:                    a.updatedAt,
		QuotaTokens:                  a.quota.tokens,
		HardLimitTokens:              a.hardLimit.tokens,
		QueuedUnits:                  a.queuedUnits,
		AdmissionRemainder:           a.admissionRemainder,
		InFlight:                     a.inFlight.current,
		PredecessorInFlight:          a.inFlight.predecessor,
		InFlightLimit:                a.inFlight.limit,
		NextAttemptAt:                a.inFlight.nextAttemptAt,
		HitInFlightLimit:             a.inFlight.hitLimit,
		InFlightRejectionProbability: a.inFlight.rejectionProbability,
		RemoteRate:                   a.usage.remoteRate,
		RemoteRateAt:                 a.usage.remoteRateAt,
		LastReadingUnits:             a.usage.lastReadingUnits,
		LocalUnits:                   a.usage.localUnits,
		TotalUnits:                   a.usage.totalUnits,
		UsageRate:                    a.usage.rate,
		IsMetered:                    a.demand.isMetered,
		ReadingAt:                    a.demand.readingAt,
		ReadingEndBin:                a.demand.readingEndBin,
		RequestedUnits:               a.demand.requestedUnits,
		RequestedAt:                  a.demand.requestedAt,
		MeteredUnits:                 a.demand.meteredUnits,
		DemandSeconds:                a.demand.demandSeconds,
		MeteredSeconds:               a.demand.meteredSeconds,
	}
}

func (saved *CustomerImage) usage() usageEstimate {
	return usageEstimate{
		localUnits:       saved.LocalUnits,
		totalUnits:       saved.TotalUnits,
		rate:             saved.UsageRate,
		remoteRate:       saved.RemoteRate,
		remoteRateAt:     saved.RemoteRateAt,
		lastReadingUnits: saved.LastReadingUnits,
	}
}

func (saved *CustomerImage) demand() demandEstimate {
	return demandEstimate{
		requestedUnits: saved.RequestedUnits,
		requestedAt:    saved.RequestedAt,
		meteredUnits:   saved.MeteredUnits,
		demandSeconds:  saved.DemandSeconds,
		meteredSeconds: saved.MeteredSeconds,
		readingAt:      saved.ReadingAt,
		isMetered:      saved.IsMetered,
		readingEndBin:  saved.ReadingEndBin,
	}
}

func (saved *CustomerImage) inFlight() inFlightQuota {
	return inFlightQuota{
		current:              saved.InFlight,
		predecessor:          saved.PredecessorInFlight,
		limit:                saved.InFlightLimit,
		nextAttemptAt:        saved.NextAttemptAt,
		hitLimit:             saved.HitInFlightLimit,
		rejectionProbability: saved.InFlightRejectionProbability,
	}
}

func (saved *CustomerImage) usageHistory() (usageHistory, error) {
	var resumed usageHistory
	for _, part := range []struct {
		name       string
		history    *history
		currentBin int64
		sums       []RunningSum
	}{
		{"sent units", &resumed.sent, saved.SentBin, saved.Sent},
		{"charged units", &resumed.charged, saved.ChargedBin, saved.Charged},
		{"arrivals", &resumed.arrivals, saved.ArrivalsBin, saved.Arrivals},
		{"rejections", &resumed.rejections, saved.RejectionsBin, saved.Rejections},
	} {
		if err := part.history.resume(part.currentBin, part.sums); err != nil {
			return usageHistory{}, fmt.Errorf("history of %s: %w", part.name, err)
		}
	}
	return resumed, nil
}

func (saved *CustomerImage) account(plan *planQueue) (*customerAccount, error) {
	resumed, err := saved.usageHistory()
	if err != nil {
		return nil, err
	}
	return &customerAccount{
		plan:               plan,
		fanOut:             saved.FanOut,
		updatedAt:          saved.UpdatedAt,
		quota:              tokenBucket{saved.QuotaTokens},
		hardLimit:          tokenBucket{saved.HardLimitTokens},
		queuedUnits:        saved.QueuedUnits,
		admissionRemainder: saved.AdmissionRemainder,
		usage:              saved.usage(),
		demand:             saved.demand(),
		inFlight:           saved.inFlight(),
		history:            resumed,
	}, nil
}

// resumeCustomers opens the accounts of an image and returns them in the image's order.
func (c *Controller) resumeCustomers(image *Image) ([]*customerAccount, error) {
	var accounts []*customerAccount
	for i := range image.Customers {
		saved := &image.Customers[i]
		if !isIndex(saved.Plan, len(c.scheduler.plans)) {
			return nil, fmt.Errorf("customer %q: plan index %d is out of range", saved.Key, saved.Plan)
		}
		account, err := saved.account(c.scheduler.plans[saved.Plan])
		if err != nil {
			return nil, fmt.Errorf("customer %q: %w", saved.Key, err)
		}
		accounts = append(accounts, account)
		if saved.IsTracked {
			c.accounts.byKey[saved.Key] = account
		}
	}
	return accounts, nil
}
