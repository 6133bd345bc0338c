package quotalease

import "time"

// unitTolerance is the rounding error that sums of units may have.
const unitTolerance = 1e-9

// account is one customer's at a holder.
type account struct {
	key           string
	limit         HardLimit // for all instances together
	ownTokens     float64   // of the holder's own quota
	refilledAt    time.Duration
	lastRequestAt time.Duration
	demand        float64 // units a second, an exponential average
	leases        []lease
	queue         []queuedRequest // waiting for units, oldest first
	needsUnits    bool            // is in Holder.needUnits
	isActive      bool            // is in Holder.active
}

// lease is what is left of a grant or a refund.
type lease struct {
	token     uint64 // 0 cannot be returned
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

// account returns the refilled account of a customer, which it adds if it is not known.
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

// evict removes the customer that has been idle for the longest time of a random sample. So that an evicted
// customer does not return with more tokens than it had, all new accounts start empty from now on.
func (h *Holder) evict(now time.Duration) {
	var oldest *account
	sampled := 0
	for _, a := range h.accounts { // the order of a map's iteration is random
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

// refill adds own tokens for the time since the last refill, without the time for which the own quota was reserved
// for a store, and removes expired leases.
func (h *Holder) refill(now time.Duration, a *account) {
	instances := h.effectiveInstances(now)
	if a.refilledAt < h.resizeCompleteAt && !h.disabled.resizeDelay { // part of the time was before the change
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

// spend takes units from the leases, oldest first, then from the own tokens. It returns until when they can be
// refunded, which is 0 where some were own tokens, and false where there are too few units.
func (a *account) spend(units float64) (refundableUntil time.Duration, ok bool) {
	if a.ownTokens+a.leasedUnits() < units-unitTolerance {
		return 0, false
	}
	for len(a.leases) > 0 && units > 0 {
		l := &a.leases[0]
		// Replies may arrive out of order, so that an older lease expires later.
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

// Refund gives back the units of an admitted request that was never sent. until is the RefundableUntil of the
// action that admitted it; later than that the refund is dropped.
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

// prefetchUnits returns the units to borrow in advance for an account's demand, for requests of the given
// units.
func (h *Holder) prefetchUnits(a *account, units float64) float64 {
	target := a.demand * prefetchFraction * h.rules.Term.Seconds()
	leased := a.leasedUnits()
	if target >= 2*units && leased < target/2 && len(a.leases) < maxLeases {
		return target - leased
	}
	return 0
}

// returnLeases has the next call return an account's leases.
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

// removeIdleAccounts removes the accounts that new ones would equal.
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
