package quotalease

import "time"

type account struct {
	key           string
	limit         HardLimit
	ownTokens     float64 // of its own part
	refilledAt    time.Duration
	lastRequestAt time.Duration // last
	demand        float64       // units a second, learned
	leases        []lease
	queue         []queuedRequest
	needsUnits    bool // is in wanting
	isActive      bool // is in busy
}

type lease struct {
	token     uint64
	units     float64
	expiresAt time.Duration
}

type queuedRequest struct {
	id       uint64
	units    float64
	deadline time.Duration
	isInCall bool // the call that is out asks for it
}

func (h *Holder) account(now time.Duration, key string, c HardLimit) *account {
	a := h.accounts[key]
	if a == nil {
		if len(h.accounts) >= maxAccounts {
			h.evict(now)
		}
		a = &account{key: key, refilledAt: h.ownQuotaFrom}
		h.accounts[key] = a
	}
	a.limit = c
	h.refill(now, a)
	return a
}

// Key is a customer's name as a string; of one that is known it is made of nothing new.
func (h *Holder) Key(name []byte) string {
	if a := h.accounts[string(name)]; a != nil {
		return a.key
	}
	return string(name)
}

// evict makes room for another customer. One whose part is not full is not to have a full one
// again: whoever is new from now on begins empty.
func (h *Holder) evict(now time.Duration) {
	var oldest *account
	n := 0
	for _, a := range h.accounts { // some, which a map's order makes random ones
		if !a.isActive && !a.needsUnits && (oldest == nil || a.lastRequestAt < oldest.lastRequestAt) {
			oldest = a
		}
		if n++; n == evictionSample {
			break
		}
	}
	if oldest != nil {
		h.ownQuotaFrom = max(h.ownQuotaFrom, now)
		delete(h.accounts, oldest.key)
	}
}

// refill fills the own part up to now, from when it was the holder's own to spend, and lets go of
// what has ended.
func (h *Holder) refill(now time.Duration, a *account) {
	n := h.effectiveInstances(now)
	if a.refilledAt < h.resizedAt && !h.disabled.resizeDelay { // some of the time was before
		n = max(n, h.previousInstances)
	}
	own := a.limit.times(1 / float64(n))
	if a.refilledAt < h.ownQuotaFrom && !h.disabled.exclusiveReservation {
		a.ownTokens, a.refilledAt = 0, h.ownQuotaFrom
	}
	if now > a.refilledAt {
		a.ownTokens = min(own.Burst, a.ownTokens+(now-a.refilledAt).Seconds()*own.Rate)
		a.refilledAt = now
	}
	if h.disabled.leaseExpiry {
		return
	}
	kept := a.leases[:0]
	for _, l := range a.leases {
		if now < l.expiresAt {
			kept = append(kept, l)
		}
	}
	a.leases = kept
}

// leasedUnits is what an account has borrowed and not spent.
func (a *account) leasedUnits() (units float64) {
	for _, l := range a.leases {
		units += l.units
	}
	return units
}

// minReservedSince is the smallest part of a unit that counts: what is a sum of parts is never exactly one.
const unitTolerance = 1e-9

// spend spends units, of what ends first; false where there are too few. Until is when the first of
// what was lent ends; 0 where some was the holder's own.
func (a *account) spend(units float64) (until time.Duration, ok bool) {
	if a.ownTokens+a.leasedUnits() < units-unitTolerance {
		return 0, false
	}
	for len(a.leases) > 0 && units > 0 {
		l := &a.leases[0]
		if until == 0 || l.expiresAt < until { // a late answer's may end before one that came first
			until = l.expiresAt
		}
		used := min(units, l.units)
		l.units -= used
		if units -= used; l.units > unitTolerance {
			break
		}
		a.leases = a.leases[1:]
	}
	if units > unitTolerance {
		until = 0
	}
	a.ownTokens -= units
	return until, true
}

// Refund gives back units that a Let has spent and that were never sent, until what they were lent by ends.
func (h *Holder) Refund(now time.Duration, key string, units float64, until time.Duration) {
	if a := h.accounts[key]; a != nil && now < until && units > 0 && len(a.leases) < maxLeases {
		a.leases = append(a.leases, lease{0, units, until})
		h.markActive(a)
	}
}

// prefetchUnits is what an account borrows beside what its requests wait for.
func (h *Holder) prefetchUnits(a *account, units float64) float64 {
	wish := a.demand * prefetchFraction * h.rules.Term.Seconds()
	if have := a.leasedUnits(); wish >= 2*units && have < wish/2 && len(a.leases) < maxLeases {
		return wish - have
	}
	return 0
}

// returnLeases returns what an account has borrowed and does not spend.
func (h *Holder) returnLeases(a *account) {
	if !h.canBorrow() {
		return
	}
	for _, l := range a.leases {
		if l.token != 0 {
			h.returns = append(h.returns, LeaseReturn{a.key, l.token, l.units})
		}
	}
	a.leases = nil
}

// removeIdleBuckets forgets customers that would be as they are if they were new.
func (h *Holder) removeIdleAccounts(now time.Duration) {
	for key, a := range h.accounts {
		if h.refill(now, a); a.isActive || a.needsUnits || now-a.lastRequestAt < time.Minute {
			continue
		}
		if full := a.limit.Burst / float64(h.effectiveInstances(now)); a.ownTokens >= full || now < h.ownQuotaFrom {
			delete(h.accounts, key)
		}
	}
}
