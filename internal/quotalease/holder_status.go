package quotalease

import "time"

// Status is what a holder has.
type Status struct {
	StoreID          string  `json:"identity"`  // of the counter that it holds to; "" is none yet
	SecondsAtStore   float64 `json:"since_s"`   // s that it has held to that one
	CanBorrow        bool    `json:"lends"`     // and whether it can borrow there now
	UsesOwnQuota     bool    `json:"own"`       // its part is its own to spend
	ReservedFraction float64 `json:"pledged"`   // fraction of each ceiling that is pledged to that counter
	Customers        int     `json:"customers"` // that it knows of
	LeasedUnits      float64 `json:"borrowed"`  // units that it holds
	QueuedRequests   int     `json:"waiting"`   // requests that wait for units
	Calls            uint64  `json:"calls"`     // made
}

// Status tells what it has.
func (h *Holder) Status(now time.Duration) Status {
	s := Status{StoreID: h.storeID, CanBorrow: h.canBorrow(), UsesOwnQuota: now >= h.ownQuotaFrom, Customers: len(h.accounts), Calls: h.lastSeq}
	if !s.UsesOwnQuota && h.storeID != "" && now >= h.reservableFrom {
		s.ReservedFraction = 1 / float64(h.effectiveInstances(now))
	}
	if h.storeID != "" {
		s.SecondsAtStore = (now - h.storeSince).Seconds()
	}
	for _, a := range h.active {
		h.refill(now, a)
		s.LeasedUnits += a.leasedUnits()
		s.QueuedRequests += len(a.queue)
	}
	return s
}

// canBorrow tells whether there is a counter to ask.
func (h *Holder) canBorrow() bool {
	return h.storeID != "" && h.storeIsLending && h.consecutiveFailures < 2
}
