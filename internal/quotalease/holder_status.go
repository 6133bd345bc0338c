package quotalease

import "time"

// Status is the state of a holder.
type Status struct {
	StoreID          string  `json:"identity"`  // of the current store; empty if not known yet
	SecondsAtStore   float64 `json:"since_s"`   // time since the store became the current one
	CanBorrow        bool    `json:"lends"`     // the store is lending and answers calls
	UsesOwnQuota     bool    `json:"own"`       // the own quota is not reserved for the store
	ReservedFraction float64 `json:"pledged"`   // the fraction of each hard limit that is reserved for the store
	Customers        int     `json:"customers"` // customers with an account
	LeasedUnits      float64 `json:"borrowed"`  // units leased for all customers
	QueuedRequests   int     `json:"waiting"`   // requests that wait for units
	Calls            uint64  `json:"calls"`     // calls made since the holder was created
}

// Status returns the holder's state.
func (h *Holder) Status(now time.Duration) Status {
	s := Status{
		StoreID:      h.storeID,
		CanBorrow:    h.canBorrow(),
		UsesOwnQuota: now >= h.ownQuotaFrom,
		Customers:    len(h.accounts),
		Calls:        h.lastSeq,
	}
	if !s.UsesOwnQuota && h.storeID != "" && now >= h.reservableFrom {
		s.ReservedFraction = 1 / float64(h.effectiveInstances(now))
	}
	if h.storeID != "" {
		s.SecondsAtStore = (now - h.storeSwitchedAt).Seconds()
	}
	for _, a := range h.active {
		h.refill(now, a)
		s.LeasedUnits += a.leasedUnits()
		s.QueuedRequests += len(a.queue)
	}
	return s
}
