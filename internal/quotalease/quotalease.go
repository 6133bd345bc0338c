// Package quotalease divides a customer's hard limit over a group of instances. Each instance has an equal part
// of it, which it either spends itself or reserves for a lease store for a short time. A store lends the quota
// reserved for it, for a short term, to any instance that requests it. No part is ever used by two instances or
// stores at once, so the hard limit holds with any number of stores, even if they lose their state or the network
// is partitioned.
//
// Store and Holder are state machines without I/O: their methods take the time and what was received, and
// return what is to be done. In any window of length w all instances together forward no more units of a
// customer than
//
//	burst + rate*(1+drift)*w + rate*(1+drift)*term/(1-drift)
//
// even if messages are lost or late, the network is partitioned, or stores and instances are replaced, paused or
// killed. Rules.Guarantees lists how much of the hard limit can be used in each case, and the one exception.
// docs/design/allowance.md derives the bound.
package quotalease

import (
	"fmt"
	"time"
)

const (
	minTerm  = 10 * time.Millisecond
	maxDrift = 0.1
)

// HardLimit is a customer's hard limit, given as a token bucket.
type HardLimit struct {
	Rate  float64 `json:"Rate"`  // units a second
	Burst float64 `json:"Burst"` // bucket size in units
}

// scaledBy returns the limit multiplied by a fraction.
func (l HardLimit) scaledBy(fraction float64) HardLimit {
	return HardLimit{Rate: fraction * l.Rate, Burst: fraction * l.Burst}
}

// Rules are the parameters of the lease protocol. All holders and stores must use the same values.
type Rules struct {
	Instances int           `plan:"instances"` // group size
	Term      time.Duration `plan:"term"`      // of a lease, counted from its request
	// ReservationTime is how long an instance reserves its part for a store, counted from the latest store
	// time that the instance has received.
	ReservationTime time.Duration `plan:"pledge"`
	// ResizeTime is the time within which every instance has learned of a new group size or has ended.
	ResizeTime time.Duration `plan:"settle"`
	// MaxDrift is the largest relative error of a clock's rate, 0 to 0.1. Clocks need not be synchronized.
	MaxDrift float64 `plan:"drift"`
}

// Validate returns an error for the first rule that is out of range.
func (r Rules) Validate() error {
	switch {
	case r.Instances < 1:
		return fmt.Errorf("quota lease: a hard limit cannot be divided over %d instances", r.Instances)
	case !(r.MaxDrift >= 0 && r.MaxDrift <= maxDrift): // also NaN
		return fmt.Errorf("quota lease: clock drift %g is not in the range 0 to %g", r.MaxDrift, maxDrift)
	case r.Term < minTerm || r.ReservationTime < r.Term || r.ResizeTime < r.ReservationTime:
		return fmt.Errorf("quota lease: term %v, pledge %v, settle %v: term must be at least %v, pledge at least term, and settle at least pledge",
			r.Term, r.ReservationTime, r.ResizeTime, minTerm)
	}
	return nil
}

// Bound returns the limit that all instances together observe: in any window they forward at most its Burst plus
// its Rate times the length of the window.
func (r Rules) Bound(limit HardLimit) HardLimit {
	fast := limit.Rate * (1 + r.MaxDrift)
	return HardLimit{Rate: fast, Burst: limit.Burst + fast*r.Term.Seconds()/(1-r.MaxDrift)}
}

// MaxExcess returns the maximum by which the units forwarded in a window may exceed the limit, as a fraction of
// the units that the limit allows in it.
func (r Rules) MaxExcess(limit HardLimit, window time.Duration) float64 {
	bound := r.Bound(limit)
	seconds := window.Seconds()
	return (bound.Burst+bound.Rate*seconds)/(limit.Burst+limit.Rate*seconds) - 1
}

// Guarantee is the guarantee for a hard limit in one case, in a window of a minute.
type Guarantee struct {
	Case        string  `json:"case"`
	Excess      float64 `json:"over"` // maximum excess over the limit, as a fraction of it
	Utilization float64 `json:"use"`  // fraction of the limit's rate that can be used
	Reason      string  `json:"why"`
}

// Guarantees returns the guarantees for a limit in each case, for requests of the given units each and traffic that
// arrives evenly at fanOut of the instances.
func (r Rules) Guarantees(limit HardLimit, units float64, fanOut int) []Guarantee {
	excess := r.MaxExcess(limit, time.Minute)
	instances := float64(r.Instances)
	withoutStore := min(1, float64(fanOut)/instances)
	reason := "each instance that it comes through has its own part of the rate and of the store"
	if own := limit.scaledBy(1 / instances); own.Burst < units {
		withoutStore = 0
		reason = fmt.Sprintf("the store of one part, %.3g units, never fills up to one request", own.Burst)
	}
	return []Guarantee{
		{"the counter answers", excess, 1, "all parts are lent; what was lent may be spent to the end of its term, which is what the window may hold beyond"},
		{"the counter is lost, or late by more than the term", excess, withoutStore, reason},
		{"the group is split, a counter on each side", excess, 0.5, "each side's counter lends the parts of its instances: half, where that is half of them"},
		{"the counter is replaced by an empty one", excess, 1, "it begins with empty stores; what the old one had left is lost, and pledges to that one end first"},
		{
			"the counter goes back to an older state as itself", excess + limit.Burst/(limit.Burst+60*limit.Rate), 1,
			"until an instance tells of a later token, an instant later, it may lend again what its stores held: a burst at most, each time",
		},
		{"an instance is killed, or stopped for long", excess, 1 - 1/instances, "its part is nobody's once its pledge has ended"},
		{"the group changes its size", excess, withoutStore, "larger parts, and those of new instances, wait until all know of it"},
	}
}
