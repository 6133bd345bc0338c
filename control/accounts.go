package control

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

const (
	initialSlackFraction = 0.5         // fraction of the slack that a new hard-limit bucket starts with
	maxAccountIdleTime   = time.Minute // idle time after which an account with full buckets is evicted
	maxAccounts          = 20000       // limit of accounts if the settings have none

	// minEvictionInterval is the time between two evictions that new customers without a place cause.
	minEvictionInterval = 100 * time.Millisecond
)

// accountTable holds the accounts of recently active customers.
type accountTable struct {
	byKey       map[string]*customerAccount // see accountKey
	binDuration time.Duration               // length of a bin of the accounts' histories
	maxAccounts int                         // above half of it, accounts are evicted after a shorter idle time
	evictNextAt time.Duration               // when a new customer may evict others next

	refillStart   time.Duration // time from which the buckets of accounts that are not open yet are filled
	slackFraction float64       // fraction of its slack that a new hard-limit bucket starts with
	rateFraction  float64       // this controller's fraction of all rates; below one after HandOver
}

func newAccountTable(settings *Settings) accountTable {
	return accountTable{
		byKey:         make(map[string]*customerAccount),
		binDuration:   binDurationOf(settings.MeterPeriod),
		maxAccounts:   cmp.Or(settings.MaxAccounts, maxAccounts),
		slackFraction: initialSlackFraction,
		rateFraction:  1,
	}
}

// binAt returns the histories' bin that contains the given time.
func (t *accountTable) binAt(now time.Duration) int64 { return int64(now / t.binDuration) }

// accountFor returns the refilled account of a plan's customer, and opens it if there is none. It returns nil
// if there are too many accounts.
func (t *accountTable) accountFor(
	now time.Duration, rng *rand.Rand, plan *planQueue, customer string, fanOut int,
) *customerAccount {
	key := accountKey(plan.Name, customer)
	account := t.byKey[key]
	if account == nil {
		if !t.hasPlace(now) {
			return nil
		}
		account = t.openAccount(now, rng, plan, fanOut)
		t.byKey[key] = account
	}
	account.fanOut = math.Max(account.fanOut, float64(fanOut))
	t.refillAccount(now, account)
	return account
}

// hasPlace reports whether another account may be opened. If there are too many, it evicts idle ones first.
func (t *accountTable) hasPlace(now time.Duration) bool {
	if len(t.byKey) >= t.maxAccounts && now >= t.evictNextAt {
		t.evictNextAt = now + minEvictionInterval
		t.evictIdle(now)
	}
	return len(t.byKey) < t.maxAccounts
}

// openAccount returns a new account for a customer.
func (t *accountTable) openAccount(
	now time.Duration, rng *rand.Rand, plan *planQueue, fanOut int,
) *customerAccount {
	account := &customerAccount{
		plan:               plan,
		fanOut:             math.Max(1, float64(fanOut)),
		updatedAt:          now,
		quota:              tokenBucket{tokens: t.rateFraction * plan.QuotaBurst},
		admissionRemainder: rng.Float64(),
		usage:              newUsageEstimate(plan.QuotaRate),
	}
	account.inFlight = newInFlightQuota(plan.MaxInFlight, account.fanOut)
	// A gateway that has just started does not know what its predecessor has forwarded, so the
	// hard limit's bucket starts with the slack only and is filled from the gateway's start on.
	filled := t.slackFraction*plan.HardLimitSlack + (now-t.refillStart).Seconds()*plan.HardLimitRate
	account.hardLimit.tokens = t.rateFraction * math.Min(plan.HardLimitBurst, filled) / account.fanOut
	return account
}

// refillAccount refills an account's buckets up to now.
func (t *accountTable) refillAccount(now time.Duration, account *customerAccount) {
	account.refill(now, t.binAt(now), t.rateFraction)
}

// evictIdle removes accounts that have been idle for maxAccountIdleTime and have full buckets, as new ones
// do. If there are too many accounts, it removes all idle ones after a shorter time; hard limits still hold,
// since the buckets of accounts that are opened later are filled only from that time on.
func (t *accountTable) evictIdle(now time.Duration) {
	for key, account := range t.byKey {
		if account.isIdleFor(maxAccountIdleTime, now) && account.hasFullBuckets(now) {
			delete(t.byKey, key)
		}
	}
	maxIdle := maxAccountIdleTime
	for len(t.byKey) > t.maxAccounts/2 && maxIdle > windowDuration {
		maxIdle /= 2
		t.refillStart = max(t.refillStart, now-maxIdle)
		t.slackFraction = 0 // evicted customers have already been granted their slack
		for key, account := range t.byKey {
			if account.isIdleFor(maxIdle, now) {
				delete(t.byKey, key)
			}
		}
	}
}

// refill refills an account's buckets up to now. Remote usage is assumed to continue after its reading and is
// charged to the quota.
func (a *customerAccount) refill(now time.Duration, bin int64, rateFraction float64) {
	plan := a.plan
	elapsed := (now - a.updatedAt).Seconds()
	a.updatedAt = now
	a.history.advance(bin)
	remoteUnits := a.usage.remoteUnits(now, elapsed)
	a.history.charged.add(remoteUnits)
	a.quota.refill(rateFraction*(elapsed*plan.QuotaRate-remoteUnits), rateFraction*plan.QuotaBurst)
	hardLimitUnits := rateFraction * elapsed * plan.HardLimitRate / a.fanOut
	a.hardLimit.refill(hardLimitUnits, rateFraction*plan.HardLimitBurst/a.fanOut)
}

// chargeFirstAttempt charges the units of a request's first attempt to the buckets of the refilled account.
func (a *customerAccount) chargeFirstAttempt(units float64, bin int64) charge {
	a.hardLimit.tokens -= units
	factor := a.usage.groupFactor(a.fanOut, a.plan.QuotaRate, a.demand.isMetered)
	groupUnits := units * factor
	before := a.quota.tokens
	a.quota.tokens = math.Max(-a.plan.QuotaBurst, before-groupUnits)
	a.history.sent.add(units)
	a.history.charged.add(groupUnits)
	return charge{
		units:       units,
		groupUnits:  groupUnits,
		quotaTokens: before - a.quota.tokens,
		bin:         bin,
	}
}

// refund reverts the charge of an attempt that was not sent to any server.
func (a *customerAccount) refund(charged charge) {
	a.hardLimit.tokens += charged.units
	a.quota.tokens += charged.quotaTokens
	a.history.sent.subtract(charged.bin, charged.units)
	a.history.charged.subtract(charged.bin, charged.groupUnits)
}

// chargeActualUnits corrects the quota by the units that the response reports a request to have used.
func (a *customerAccount) chargeActualUnits(actual, charged float64) {
	a.quota.tokens -= actual - charged
}

// hasFullBuckets reports whether the buckets of an idle account would be full if they were refilled now.
func (a *customerAccount) hasFullBuckets(now time.Duration) bool {
	plan := a.plan
	if plan.MaxInFlight > 0 { // a new account would lose the adjusted in-flight limit
		return false
	}
	elapsed := (now - a.updatedAt).Seconds()
	quotaTokens := a.quota.tokens + elapsed*(plan.QuotaRate-a.usage.currentRemoteRate(now))
	hardLimitTokens := a.hardLimit.tokens + elapsed*plan.HardLimitRate/a.fanOut
	isQuotaFull := plan.QuotaRate == 0 || quotaTokens >= plan.QuotaBurst
	isHardLimitFull := plan.HardLimitRate == 0 || hardLimitTokens >= plan.HardLimitBurst/a.fanOut
	return isQuotaFull && isHardLimitFull
}

// tokenBucket holds the units that a quota or a hard limit still allows. A negative number of tokens is a
// debt.
type tokenBucket struct{ tokens float64 }

// refill adds an amount up to the capacity. Tokens that already exceed the capacity are kept.
func (b *tokenBucket) refill(amount, capacity float64) {
	b.tokens = math.Min(math.Max(b.tokens, capacity), b.tokens+amount)
}
