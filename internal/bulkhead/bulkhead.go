// Package bulkhead decides how much of a bounded resource (descriptors, accepted requests, bytes, dials) each
// of several owners may have. It does no I/O and takes the time as an argument; package limits applies its
// decisions to the resources of a process.
//
// Each owner has a guaranteed part and may borrow what is unused. An Allocator guarantees that
//
//   - never more than the total is acquired;
//   - the first quarter of a guaranteed part, the owner's reserve, is never lent: the owner gets it at once,
//     whatever other owners do;
//   - the owner gets the rest of it within the maximum loan time of its first rejected attempt. That is the
//     longest time that borrowers keep anything; until it has passed nothing more is lent;
//   - no borrower gets all that can be lent: one may borrow at most twice what it leaves free (dynamic
//     thresholds, Choudhury and Hahne 1998), so that another one always finds some.
package bulkhead

import (
	"fmt"
	"time"
)

const (
	reserveDivisor = 4 // a guaranteed part is divided by it for the owner's reserve
	maxBorrowRatio = 2 // of what one owner has borrowed to what is free after that
)

// Owner identifies an owner at one Allocator or TimeLimiter.
type Owner int

// share is what one owner has.
type share struct {
	guaranteed int64
	used       int64
	isActive   bool // not removed
}

// reserve is what has to stay free for the owner.
func (s *share) reserve() int64 {
	return max(0, (s.guaranteed+reserveDivisor-1)/reserveDivisor-s.used)
}

// borrowed is what the owner has in excess of its guaranteed part.
func (s *share) borrowed() int64 { return max(0, s.used-s.guaranteed) }

// Allocator allocates one resource to owners. The zero value has none of it. It is not safe for concurrent use.
type Allocator struct {
	total        int64
	used         int64 // the sum over shares
	reserved     int64 // the sum of reserves over shares
	shares       []share
	maxLoanTime  time.Duration
	lendAfter    time.Duration // nothing is lent before, if hasLendAfter
	hasLendAfter bool
}

// New creates an allocator of a total, of which no borrower keeps anything for longer than maxLoanTime.
func New(total int64, maxLoanTime time.Duration) *Allocator {
	return &Allocator{total: total, maxLoanTime: maxLoanTime}
}

// SetMaxLoanTime sets the longest time that borrowers keep anything.
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

// RemoveOwner removes an owner. It releases what it still has as before; until then its number is not
// reused.
func (a *Allocator) RemoveOwner(o Owner) {
	a.update(o, func(s *share) {
		s.guaranteed = 0
		s.isActive = false
	})
}

// SetGuarantees sets the total and the guaranteed parts; an owner that is not in the map has none. It changes
// nothing and returns an error where a part is below zero or they add up to more than the total. What is
// acquired in excess of a new limit remains so until it is released.
func (a *Allocator) SetGuarantees(total int64, guaranteed map[Owner]int64) error {
	sum := int64(0)
	for o, part := range guaranteed {
		if part < 0 || int(o) >= len(a.shares) || part > total-sum {
			return fmt.Errorf("guaranteed parts of more than %d in all, or below zero", total)
		}
		sum += part
	}
	a.total = total
	for i := range a.shares {
		a.update(Owner(i), func(s *share) { s.guaranteed = guaranteed[Owner(i)] })
	}
	return nil
}

// update changes an owner's share and keeps reserved in line with it.
func (a *Allocator) update(o Owner, change func(*share)) {
	s := &a.shares[o]
	a.reserved -= s.reserve()
	change(s)
	a.reserved += s.reserve()
}

// TryAcquire acquires n for an owner, or nothing and returns false.
func (a *Allocator) TryAcquire(now time.Duration, o Owner, n int64) bool {
	if n < 0 || n > a.total {
		return false
	}
	s := &a.shares[o]
	after := share{guaranteed: s.guaranteed, used: s.used + n}
	free := a.total - a.used - n - (a.reserved - s.reserve()) // without the reserves of other owners
	if after.borrowed() == 0 {
		if free < 0 { // a part of its guaranteed part is lent: nothing more is until all loans have ended
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

// canBorrow reports whether an owner may have a share in excess of its guaranteed part, with so much free after that.
func (a *Allocator) canBorrow(now time.Duration, after *share, free int64) bool {
	isLending := !a.hasLendAfter || now >= a.lendAfter
	if !isLending || free < 0 {
		return false
	}
	return after.borrowed() <= maxBorrowRatio*(free-after.reserve())
}

// Release releases n that an owner has acquired.
func (a *Allocator) Release(o Owner, n int64) {
	a.used -= n
	a.update(o, func(s *share) { s.used -= n })
}

// Used returns what an owner has acquired.
func (a *Allocator) Used(o Owner) int64 { return a.shares[o].used }

// Guaranteed returns an owner's guaranteed part.
func (a *Allocator) Guaranteed(o Owner) int64 { return a.shares[o].guaranteed }

// Borrowed returns what an owner has acquired in excess of its guaranteed part.
func (a *Allocator) Borrowed(o Owner) int64 { return a.shares[o].borrowed() }

// Free returns what no owner has acquired.
func (a *Allocator) Free() int64 { return a.total - a.used }

// Total returns the total.
func (a *Allocator) Total() int64 { return a.total }
