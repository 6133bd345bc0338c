package quotalease

import "time"

type account struct {
	key     string
	ceiling Ceiling
	level   float64 // of its own part
	at      time.Duration
	asked   time.Duration // last
	demand  float64       // units a second, learned
	leases  []lease
	waiting []waiting
	wants   bool // is in wanting
	busy    bool // is in busy
}

type lease struct {
	token uint64
	units float64
	until time.Duration
}

type waiting struct {
	id    uint64
	units float64
	until time.Duration
	told  bool // the call that is out asks for it
}

func (h *Holder) account(now time.Duration, key string, c Ceiling) *account {
	a := h.accounts[key]
	if a == nil {
		if len(h.accounts) >= accountsMax {
			h.evict(now)
		}
		a = &account{key: key, at: h.ownFrom}
		h.accounts[key] = a
	}
	a.ceiling = c
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
		if !a.busy && !a.wants && (oldest == nil || a.asked < oldest.asked) {
			oldest = a
		}
		if n++; n == evictOf {
			break
		}
	}
	if oldest != nil {
		h.ownFrom = max(h.ownFrom, now)
		delete(h.accounts, oldest.key)
	}
}

// refill fills the own part up to now, from when it was the holder's own to spend, and lets go of
// what has ended.
func (h *Holder) refill(now time.Duration, a *account) {
	n := h.size(now)
	if a.at < h.settled && !h.without.settle { // some of the time was before
		n = max(n, h.nBefore)
	}
	own := a.ceiling.times(1 / float64(n))
	if a.at < h.ownFrom && !h.without.cede {
		a.level, a.at = 0, h.ownFrom
	}
	if now > a.at {
		a.level = min(own.Burst, a.level+(now-a.at).Seconds()*own.Rate)
		a.at = now
	}
	if h.without.term {
		return
	}
	kept := a.leases[:0]
	for _, l := range a.leases {
		if now < l.until {
			kept = append(kept, l)
		}
	}
	a.leases = kept
}

// lent is what an account has borrowed and not spent.
func (a *account) lent() (units float64) {
	for _, l := range a.leases {
		units += l.units
	}
	return units
}

// least is the smallest part of a unit that counts: what is a sum of parts is never exactly one.
const least = 1e-9

// take spends units, of what ends first; false where there are too few. Until is when the first of
// what was lent ends; 0 where some was the holder's own.
func (a *account) take(units float64) (until time.Duration, ok bool) {
	if a.level+a.lent() < units-least {
		return 0, false
	}
	for len(a.leases) > 0 && units > 0 {
		l := &a.leases[0]
		if until == 0 || l.until < until { // a late answer's may end before one that came first
			until = l.until
		}
		used := min(units, l.units)
		l.units -= used
		if units -= used; l.units > least {
			break
		}
		a.leases = a.leases[1:]
	}
	if units > least {
		until = 0
	}
	a.level -= units
	return until, true
}

// Refund gives back units that a Let has spent and that were never sent, until what they were lent by ends.
func (h *Holder) Refund(now time.Duration, key string, units float64, until time.Duration) {
	if a := h.accounts[key]; a != nil && now < until && units > 0 && len(a.leases) < leasesMost {
		a.leases = append(a.leases, lease{0, units, until})
		h.attend(a)
	}
}

// ahead is what an account borrows beside what its requests wait for.
func (h *Holder) ahead(a *account, units float64) float64 {
	wish := a.demand * aheadPart * h.rules.Term.Seconds()
	if have := a.lent(); wish >= 2*units && have < wish/2 && len(a.leases) < leasesMost {
		return wish - have
	}
	return 0
}

// giveBack returns what an account has borrowed and does not spend.
func (h *Holder) giveBack(a *account) {
	if !h.borrows() {
		return
	}
	for _, l := range a.leases {
		if l.token != 0 {
			h.gives = append(h.gives, Give{a.key, l.token, l.units})
		}
	}
	a.leases = nil
}

// sweep forgets customers that would be as they are if they were new.
func (h *Holder) sweep(now time.Duration) {
	for key, a := range h.accounts {
		if h.refill(now, a); a.busy || a.wants || now-a.asked < time.Minute {
			continue
		}
		if full := a.ceiling.Burst / float64(h.size(now)); a.level >= full || now < h.ownFrom {
			delete(h.accounts, key)
		}
	}
}
