package quotalease

import "time"

// Status is what a holder has.
type Status struct {
	Identity  string  `json:"identity"`  // of the counter that it holds to; "" is none yet
	Since     float64 `json:"since_s"`   // s that it has held to that one
	Lends     bool    `json:"lends"`     // and whether it can borrow there now
	Own       bool    `json:"own"`       // its part is its own to spend
	Pledged   float64 `json:"pledged"`   // part of each ceiling that is pledged to that counter
	Customers int     `json:"customers"` // that it knows of
	Borrowed  float64 `json:"borrowed"`  // units that it holds
	Waiting   int     `json:"waiting"`   // requests that wait for units
	Calls     uint64  `json:"calls"`     // made
}

// Status tells what it has.
func (h *Holder) Status(now time.Duration) Status {
	s := Status{Identity: h.counter, Lends: h.borrows(), Own: now >= h.ownFrom, Customers: len(h.accounts), Calls: h.seq}
	if !s.Own && h.counter != "" && now >= h.pledgeFrom {
		s.Pledged = 1 / float64(h.size(now))
	}
	if h.counter != "" {
		s.Since = (now - h.held).Seconds()
	}
	for _, a := range h.busy {
		h.refill(now, a)
		s.Borrowed += a.lent()
		s.Waiting += len(a.waiting)
	}
	return s
}

// borrows tells whether there is a counter to ask.
func (h *Holder) borrows() bool { return h.counter != "" && h.lends && h.failures < 2 }
