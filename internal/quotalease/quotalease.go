// Package quotalease divides a customer's ceiling over a group of instances. Each has one part of it,
// which it spends itself or pledges to a counter for a short time; a counter lends out of what is
// reservedFraction to it, to whoever of the group asks, for a short term. No part is ever in two hands, so
// that it doesn't matter how many counters there are, what they forget, or who can reach whom.
//
// StoreID and Holder are state machines: they are told the time and what came, and give what is to
// be done. What all instances send of a customer's in any window of length w is no more than
//
//	burst + rate*(1+drift)*w + rate*(1+drift)*term/(1-drift)
//
// whatever is lost, late, split, replaced, paused or killed; Rules.Promises tells what is left of the
// ceiling's use in each case, and the one exception. docs/design/allowance.md derives it.
package quotalease

import (
	"fmt"
	"time"
)

// Limit is the most that a customer may send: Rate units a second, and Burst at once.
type HardLimit struct {
	Rate  float64 `json:"Rate"`
	Burst float64 `json:"Burst"`
}

func (c HardLimit) times(part float64) HardLimit { return HardLimit{part * c.Rate, part * c.Burst} }

// Rules are the same at all instances and counters.
type Rules struct {
	Instances       int           `plan:"instances"` // that a ceiling is divided over
	Term            time.Duration `plan:"term"`      // of what is lent, from the moment it was asked for
	ReservationTime time.Duration `plan:"pledge"`    // for which a part is pledged, from when the counter last told its time
	ResizeTime      time.Duration `plan:"settle"`    // within which all instances know of another number of them, or have ended
	MaxDrift        float64       `plan:"drift"`     // most by which a clock's rate is wrong, as a part; what clocks show may be anything
}

// Validate tells what can't be kept.
func (r Rules) Validate() error {
	switch {
	case r.Instances < 1:
		return fmt.Errorf("allowance: a ceiling divided over %d instances", r.Instances)
	case !(r.MaxDrift >= 0 && r.MaxDrift <= 0.1):
		return fmt.Errorf("allowance: clocks wrong by %g of their rate; 0 to 0.1 can be lived with", r.MaxDrift)
	case r.Term < 10*time.Millisecond || r.ReservationTime < r.Term || r.ResizeTime < r.ReservationTime:
		return fmt.Errorf("allowance: a term of %v, pledges of %v, %v to settle: the first has to be 10ms at least, the others as long as the one before",
			r.Term, r.ReservationTime, r.ResizeTime)
	}
	return nil
}

// Bound is what all instances together keep to in any window: no more than its Burst, and its Rate
// times the window.
func (r Rules) Bound(c HardLimit) HardLimit {
	fast := c.Rate * (1 + r.MaxDrift)
	return HardLimit{Rate: fast, Burst: c.Burst + fast*r.Term.Seconds()/(1-r.MaxDrift)}
}

// MaxExcess is the most by which a window may hold more than the ceiling, as a part of that.
func (r Rules) MaxExcess(c HardLimit, window time.Duration) float64 {
	b, w := r.Bound(c), window.Seconds()
	return (b.Burst+b.Rate*w)/(c.Burst+c.Rate*w) - 1
}

// Guarantee is what holds of a ceiling in a case, in a minute.
type Guarantee struct {
	Case        string  `json:"case"`
	Excess      float64 `json:"over"` // most beyond the ceiling, as a part of it
	Utilization float64 `json:"use"`  // of the ceiling's rate that traffic can use
	Reason      string  `json:"why"`
}

// Guarantees tells what holds of a ceiling for requests of so many units, and for traffic that comes
// evenly through spread of the instances.
func (r Rules) Guarantees(c HardLimit, units float64, spread int) []Guarantee {
	over, n := r.MaxExcess(c, time.Minute), float64(r.Instances)
	alone := min(1, float64(spread)/n)
	why := "each instance that it comes through has its own part of the rate and of the store"
	if own := c.times(1 / n); own.Burst < units {
		alone, why = 0, fmt.Sprintf("the store of one part, %.3g units, never fills up to one request", own.Burst)
	}
	return []Guarantee{
		{"the counter answers", over, 1, "all parts are lent; what was lent may be spent to the end of its term, which is what the window may hold beyond"},
		{"the counter is lost, or late by more than the term", over, alone, why},
		{"the group is split, a counter on each side", over, 0.5, "each side's counter lends the parts of its instances: half, where that is half of them"},
		{"the counter is replaced by an empty one", over, 1, "it begins with empty stores; what the old one had left is lost, and pledges to that one end first"},
		{
			"the counter goes back to an older state as itself", over + c.Burst/(c.Burst+60*c.Rate), 1,
			"until an instance tells of a later token, an instant later, it may lend again what its stores held: a burst at most, each time",
		},
		{"an instance is killed, or stopped for long", over, 1 - 1/n, "its part is nobody's once its pledge has ended"},
		{"the group changes its size", over, alone, "larger parts, and those of new instances, wait until all know of it"},
	}
}
