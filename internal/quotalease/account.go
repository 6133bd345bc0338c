package quotalease

import "time"

// unitTolerance is the rounding error that sums of units may have.
const unitTolerance = 1e-9

// account is a holder's state for one customer.
type account struct {
	key           string
	limit         HardLimit // for all instances together
	ownTokens     float64   // of the holder's own quota
	refilledAt    time.Duration
	lastRequestAt time.Duration
	demand        float64 // units a second, an exponential average
	leases        []lease
	queue         []queuedRequest // requests that wait for units, oldest first
	needsUnits    bool            // is in Holder.needUnits
	isActive      bool            // is in Holder.active
}

// lease is the unspent rest of a grant or of a refund.
type lease struct {
	token     uint64 // 0 if the lease cannot be returned to the store
	units     float64
	expiresAt time.Duration
}

// queuedRequest is a request that waits for units.
type queuedRequest struct {
	id       uint64
	units    float64
	deadline time.Duration
	isInCall bool // the current call requests its units
}

// account refills and returns a customer's account. It adds the account if there is none.
func (h *Holder) account(now time.Duration, key string, limit HardLimit) *account {
	a := h.accounts[key]
	if a == nil {
		if len(h.accounts) >= maxAccounts {
			h.evict(now)
		}
		a = &account{key: key, refilledAt: h.ownQuotaFrom}
		h.accounts[key] = a
	}
	a.limit = limit
	h.refill(now, a)
	return a
}

// Key returns a customer's name as a string, without an allocation if the customer is known.
func (h *Holder) Key(name []byte) string {
	if a := h.accounts[string(name)]; a != nil {
		return a.key
	}
	return string(name)
}

// evict removes the account that has been idle for the longest time out of a random sample. All accounts created
// from then on start empty, so that an evicted customer does not return with more tokens than it had.
func (h *Holder) evict(now time.Duration) {
	var oldest *account
	sampled := 0
	for _, a := range h.accounts { // maps are iterated in random order
		if !a.isActive && !a.needsUnits && (oldest == nil || a.lastRequestAt < oldest.lastRequestAt) {
			oldest = a
		}
		sampled++
		if sampled == evictionSample {
			break
		}
	}
	if oldest != nil {
		h.ownQuotaFrom = max(h.ownQuotaFrom, now)
		delete(h.accounts, oldest.key)
	}
}

// refill adds own tokens for the time since the last refill, except for the time during which the own quota was
// reserved for a store. It also removes expired leases.
func (h *Holder) refill(now time.Duration, a *account) {
	instances := h.effectiveInstances(now)
	if a.refilledAt < h.resizeCompleteAt && !h.disabled.resizeDelay { // part of the time since the last refill was before the resize completed
		instances = max(instances, h.previousInstances)
	}
	own := a.limit.scaledBy(1 / float64(instances))
	if a.refilledAt < h.ownQuotaFrom && !h.disabled.exclusiveReservation {
		a.ownTokens = 0
		a.refilledAt = h.ownQuotaFrom
	}
	if now > a.refilledAt {
		a.ownTokens = min(own.Burst, a.ownTokens+(now-a.refilledAt).Seconds()*own.Rate)
		a.refilledAt = now
	}
	if h.disabled.leaseExpiry {
		return
	}
	valid := a.leases[:0]
	for _, l := range a.leases {
		if now < l.expiresAt {
			valid = append(valid, l)
		}
	}
	a.leases = valid
}

// leasedUnits returns the units of all leases.
func (a *account) leasedUnits() (units float64) {
	for _, l := range a.leases {
		units += l.units
	}
	return units
}

// spend takes units from the leases, oldest first, and then from the own tokens. It returns the time until which
// the units can be refunded, which is 0 if some of them were own tokens. ok is false if there are too few units.
func (a *account) spend(units float64) (refundableUntil time.Duration, ok bool) {
	if a.ownTokens+a.leasedUnits() < units-unitTolerance {
		return 0, false
	}
	for len(a.leases) > 0 && units > 0 {
		l := &a.leases[0]
		// Replies may arrive out of order, so an earlier entry may expire later.
		if refundableUntil == 0 || l.expiresAt < refundableUntil {
			refundableUntil = l.expiresAt
		}
		used := min(units, l.units)
		l.units -= used
		units -= used
		if l.units > unitTolerance {
			break
		}
		a.leases = a.leases[1:]
	}
	if units > unitTolerance {
		refundableUntil = 0
	}
	a.ownTokens -= units
	return refundableUntil, true
}

// Refund gives back the units of an admitted request that was never forwarded. until is the RefundableUntil of the
// action that admitted the request; a later refund is dropped.
func (h *Holder) Refund(now time.Duration, key string, units float64, until time.Duration) {
	a := h.accounts[key]
	if a == nil || len(a.leases) >= maxLeases {
		return
	}
	if now < until && units > 0 {
		a.leases = append(a.leases, lease{units: units, expiresAt: until})
		h.markActive(a)
	}
}

// prefetchUnits returns the units to borrow in advance to cover an account's demand, where each request needs the
// given units. It returns 0 if the demand is low or enough units are leased already.
func (h *Holder) prefetchUnits(a *account, units float64) float64 {
	target := a.demand * prefetchFraction * h.rules.Term.Seconds()
	leased := a.leasedUnits()
	if target >= 2*units && leased < target/2 && len(a.leases) < maxLeases {
		return target - leased
	}
	return 0
}

// returnLeases removes an account's leases and queues them to be returned to the store with the next call.
func (h *Holder) returnLeases(a *account) {
	if !h.canBorrow() {
		return
	}
	for _, l := range a.leases {
		if l.token != 0 {
			h.returns = append(h.returns, LeaseReturn{Key: a.key, Token: l.token, Units: l.units})
		}
	}
	a.leases = nil
}

// removeIdleAccounts removes idle accounts that have no more tokens to lose: their own bucket is full, or own quota
// cannot be spent now, so that a new account would be equal.
func (h *Holder) removeIdleAccounts(now time.Duration) {
	for key, a := range h.accounts {
		h.refill(now, a)
		isIdle := !a.isActive && !a.needsUnits && now-a.lastRequestAt >= accountIdleTime
		if !isIdle {
			continue
		}
		ownBurst := a.limit.Burst / float64(h.effectiveInstances(now))
		if a.ownTokens >= ownBurst || now < h.ownQuotaFrom {
			delete(h.accounts, key)
		}
	}
}
