package control

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	initialSlackFraction = 0.5         // part of the slack that a new hard-limit bucket has
	maxAccountIdleTime   = time.Minute // after which an idle account with full buckets is evicted
	maxAccounts          = 20000       // above half of it, eviction starts earlier
)

// accountTable holds the accounts of the customers that have come lately.
type accountTable struct {
	byKey       map[string]*customerAccount // see accountKey
	binDuration time.Duration               // of the accounts' histories

	fillingSince  time.Duration // time since which the buckets of accounts not opened yet fill
	slackFraction float64       // part of its slack with which the bucket of a hard limit is opened
	rateFraction  float64       // part of all rates that is this controller's; below one after HandOver
}

func newAccountTable(settings *Settings) accountTable {
	return accountTable{
		byKey:         make(map[string]*customerAccount),
		binDuration:   binDurationOf(settings.MeterPeriod),
		slackFraction: initialSlackFraction,
		rateFraction:  1,
	}
}

// binAt is the bin of the histories in which a time lies.
func (t *accountTable) binAt(now time.Duration) int64 { return int64(now / t.binDuration) }

// accountFor returns the refilled account of a plan's customer, opened at its first request.
func (t *accountTable) accountFor(
	now time.Duration, rng *rand.Rand, plan *planQueue, customer string, fanOut int,
) *customerAccount {
	key := accountKey(plan.Name, customer)
	account := t.byKey[key]
	if account == nil {
		account = t.openAccount(now, rng, plan, fanOut)
		t.byKey[key] = account
	}
	account.fanOut = math.Max(account.fanOut, float64(fanOut))
	t.refillAccount(now, account)
	return account
}

// open returns the account of a customer that has none.
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
	// A gateway just started does not know what its predecessor has forwarded: the hard limit's
	// bucket begins with the slack only and fills from the gateway's start.
	filled := t.slackFraction*plan.HardLimitSlack + (now-t.fillingSince).Seconds()*plan.HardLimitRate
	account.hardLimit.tokens = t.rateFraction * math.Min(plan.HardLimitBurst, filled) / account.fanOut
	return account
}

// refillAccount brings an account up to now.
func (t *accountTable) refillAccount(now time.Duration, account *customerAccount) {
	account.refill(now, t.binAt(now), t.rateFraction)
}

// evictIdle removes accounts that have been idle for long and equal new ones, and if there are many, all
// idle ones sooner. Hard limits stay safe: buckets of later accounts fill from that time on.
func (t *accountTable) evictIdle(now time.Duration) {
	for key, account := range t.byKey {
		if account.isIdleFor(maxAccountIdleTime, now) && account.hasFullBuckets(now) {
			delete(t.byKey, key)
		}
	}
	maxIdle := maxAccountIdleTime
	for len(t.byKey) > maxAccounts/2 && maxIdle > windowDuration {
		maxIdle /= 2
		t.fillingSince = max(t.fillingSince, now-maxIdle)
		t.slackFraction = 0 // each has had its slack
		for key, account := range t.byKey {
			if account.isIdleFor(maxIdle, now) {
				delete(t.byKey, key)
			}
		}
	}
}

// refill brings an account up to now. Remote usage is charged as if it went on after its reading.
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

// chargeFirstAttempt takes the units of a request's first attempt from the buckets of the refilled account.
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

// refund undoes the charge of an attempt that was not sent to any server.
func (a *customerAccount) refund(charged charge) {
	a.hardLimit.tokens += charged.units
	a.quota.tokens += charged.quotaTokens
	a.history.sent.subtract(charged.bin, charged.units)
	a.history.charged.subtract(charged.bin, charged.groupUnits)
}

// chargeActualUnits corrects the quota where the response tells how many units a request really used.
func (a *customerAccount) chargeActualUnits(actual, charged float64) {
	a.quota.tokens -= actual - charged
}

// hasFullBuckets tells whether the buckets of an idle account would be full if they were refilled now.
func (a *customerAccount) hasFullBuckets(now time.Duration) bool {
	plan := a.plan
	if plan.MaxInFlight > 0 { // its limit is learned
		return false
	}
	elapsed := (now - a.updatedAt).Seconds()
	quotaTokens := a.quota.tokens + elapsed*(plan.QuotaRate-a.usage.currentRemoteRate(now))
	hardLimitTokens := a.hardLimit.tokens + elapsed*plan.HardLimitRate/a.fanOut
	isQuotaFull := plan.QuotaRate == 0 || quotaTokens >= plan.QuotaBurst
	isHardLimitFull := plan.HardLimitRate == 0 || hardLimitTokens >= plan.HardLimitBurst/a.fanOut
	return isQuotaFull && isHardLimitFull
}

// tokenBucket holds the units that a quota or a hard limit still allows. Below zero it is in debt.
type tokenBucket struct{ tokens float64 }

// refill adds an amount up to the capacity; what a bucket holds above its capacity it keeps.
func (b *tokenBucket) refill(amount, capacity float64) {
	b.tokens = math.Min(math.Max(b.tokens, capacity), b.tokens+amount)
}
