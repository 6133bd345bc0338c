// Package bulkhead decides how much of a bounded resource (descriptors, accepted requests, bytes, dials) each
// of several owners may use. It does no I/O and takes the time as an argument; package limits applies its
// decisions to the resources of a process.
//
// Each owner has a guaranteed part and may borrow unused units beyond it. An Allocator guarantees that
//
//   - no more than the total is ever acquired;
//   - the first quarter of a guaranteed part, the owner's reserve, is never lent: the owner gets it at once,
//     whatever other owners do;
//   - the owner gets the rest of its guaranteed part within the maximum loan time of its first rejected attempt.
//     The maximum loan time is the longest time for which a borrower holds a unit. After a rejected attempt
//     nothing is lent until that time has passed;
//   - no borrower gets all units that can be lent: each may borrow at most twice the number that it leaves free
//     (dynamic thresholds, Choudhury and Hahne 1998), so that other borrowers always find some.
package bulkhead

import (
	"fmt"
	"time"
)

const (
	reserveDivisor = 4 // an owner's reserve is its guaranteed part divided by this
	maxBorrowRatio = 2 // the maximum ratio of the units that one owner has borrowed to the units free after that
)

// Owner identifies an owner within one Allocator or TimeLimiter.
type Owner int

// share is the share of one owner in the resource.
type share struct {
	guaranteed int64
	used       int64
	isActive   bool // not removed
}

// reserve returns the number of units that must stay free for the owner.
func (s *share) reserve() int64 {
	return max(0, (s.guaranteed+reserveDivisor-1)/reserveDivisor-s.used)
}

// borrowed returns the number of units that the owner uses in excess of its guaranteed part.
func (s *share) borrowed() int64 { return max(0, s.used-s.guaranteed) }

// Allocator allocates one resource to owners. The zero value has a total of 0. It is not safe for concurrent use.
type Allocator struct {
	total        int64
	used         int64 // the sum over shares
	reserved     int64 // the sum of reserves over shares
	shares       []share
	maxLoanTime  time.Duration
	lendAfter    time.Duration // nothing is lent before this time, if hasLendAfter
	hasLendAfter bool
}

// New returns an allocator with a total. maxLoanTime is the longest time for which a borrower holds a unit.
func New(total int64, maxLoanTime time.Duration) *Allocator {
	return &Allocator{total: total, maxLoanTime: maxLoanTime}
}

// SetMaxLoanTime sets the longest time for which a borrower holds a unit.
func (a *Allocator) SetMaxLoanTime(maxLoanTime time.Duration) { a.maxLoanTime = maxLoanTime }

// AddOwner adds an owner with no guaranteed part.
func (a *Allocator) AddOwner() Owner {
	for i := range a.shares {
		if s := &a.shares[i]; !s.isActive && s.used == 0 {
			s.isActive = true
			return Owner(i)
		}
	}
	a.shares = append(a.shares, share{isActive: true})
	return Owner(len(a.shares) - 1)
}

// RemoveOwner removes an owner. The caller still releases the units that the owner holds; its Owner value is not reused
// until all are released.
func (a *Allocator) RemoveOwner(o Owner) {
	a.update(o, func(s *share) {
		s.guaranteed = 0
		s.isActive = false
	})
}

// SetGuarantees sets the total and the guaranteed parts; an owner that is not in the map has none. It changes
// nothing and returns an error if a part is negative, an owner is unknown, or the parts add up to more than the total.
// Units acquired in excess of a new limit remain acquired until they are released.
func (a *Allocator) SetGuarantees(total int64, guaranteed map[Owner]int64) error {
	sum := int64(0)
	for o, part := range guaranteed {
		if part < 0 || int(o) >= len(a.shares) || part > total-sum {
			return fmt.Errorf("guaranteed parts must not be negative, add up to more than the total of %d, or belong to unknown owners", total)
		}
		sum += part
	}
	a.total = total
	for i := range a.shares {
		a.update(Owner(i), func(s *share) { s.guaranteed = guaranteed[Owner(i)] })
	}
	return nil
}

// update changes an owner's share and adjusts reserved accordingly.
func (a *Allocator) update(o Owner, change func(*share)) {
	s := &a.shares[o]
	a.reserved -= s.reserve()
	change(s)
	a.reserved += s.reserve()
}

// TryAcquire acquires n units for an owner. If it cannot, it acquires none and returns false.
func (a *Allocator) TryAcquire(now time.Duration, o Owner, n int64) bool {
	if n < 0 || n > a.total {
		return false
	}
	s := &a.shares[o]
	after := share{guaranteed: s.guaranteed, used: s.used + n}
	free := a.total - a.used - n - (a.reserved - s.reserve()) // after the acquisition, without the reserves of other owners
	if after.borrowed() == 0 {
		if free < 0 { // some of the guaranteed part is lent: stop lending until all loans have ended
			a.lendAfter = now + a.maxLoanTime
			a.hasLendAfter = true
			return false
		}
	} else if !a.canBorrow(now, &after, free) {
		return false
	}
	a.used += n
	a.update(o, func(s *share) { s.used += n })
	return true
}

// canBorrow reports whether an owner may grow its share to after, in excess of its guaranteed part. free is the number of
// units that would then be free, without the reserves of other owners.
func (a *Allocator) canBorrow(now time.Duration, after *share, free int64) bool {
	isLending := !a.hasLendAfter || now >= a.lendAfter
	if !isLending || free < 0 {
		return false
	}
	return after.borrowed() <= maxBorrowRatio*(free-after.reserve())
}

// Release releases n units that an owner has acquired.
func (a *Allocator) Release(o Owner, n int64) {
	a.used -= n
	a.update(o, func(s *share) { s.used -= n })
}

// Used returns the number of units that an owner has acquired.
func (a *Allocator) Used(o Owner) int64 { return a.shares[o].used }

// Guaranteed returns an owner's guaranteed part.
func (a *Allocator) Guaranteed(o Owner) int64 { return a.shares[o].guaranteed }

// Borrowed returns the number of units that an owner has acquired in excess of its guaranteed part.
func (a *Allocator) Borrowed(o Owner) int64 { return a.shares[o].borrowed() }

// Free returns the number of units that no owner has acquired.
func (a *Allocator) Free() int64 { return a.total - a.used }

// Total returns the total number of units.
func (a *Allocator) Total() int64 { return a.total }
