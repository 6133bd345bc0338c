// Package bulkhead decides how much of one bounded thing (descriptors, held requests, bytes,
// dials) each of several owners may have. It does no I/O and takes the time as an argument.
//
// Each owner has a guaranteed part and may borrow what is idle. The promises are these:
//
//   - never is more taken than there is in all;
//   - the first quarter of a guaranteed part is never lent: its owner has it at once, whatever
//     the others do;
//   - the rest of it is there at the latest a term after its owner first asked in vain, the
//     term being the longest that anything lent is kept: until then nothing more is lent;
//   - no borrower takes all that can be lent: one may have at most twice what it leaves free
//     (dynamic thresholds, Choudhury and Hahne 1998), so that a newcomer always finds some.
package bulkhead

import (
	"fmt"
	"time"
)

const (
	reserveDivisor = 4 // one over the part of a guarantee that is never lent
	maxBorrowRatio = 2 // of what stays free, that one borrower may have
)

// Owner names one that takes and gives.
type Owner int

type share struct {
	guaranteed, used int64
	isActive         bool // not removed
}

// reserve is what of a guaranteed part must stay free for its owner.
func (s *share) reserve() int64 {
	return max(0, (s.guaranteed+reserveDivisor-1)/reserveDivisor-s.used)
}

// borrowed is what an owner has beyond its guaranteed part.
func (s *share) borrowed() int64 { return max(0, s.used-s.guaranteed) }

// Allocator divides one thing. Its zero value has nothing to divide. It is not safe for
// concurrent use.
type Allocator struct {
	total, used  int64
	maxLoanTime  time.Duration
	shares       []share
	reserved     int64         // sum of what must stay free
	lendAfter    time.Duration // nothing is lent before
	hasLendAfter bool          // lendFrom has been set
}

// New makes a ledger of so much in all, of which nothing lent is kept longer than term.
func New(total int64, maxLoanTime time.Duration) *Allocator {
	return &Allocator{total: total, maxLoanTime: maxLoanTime}
}

// SetMaxLoanTime sets for how long anything lent is kept at most.
func (l *Allocator) SetMaxLoanTime(maxLoanTime time.Duration) { l.maxLoanTime = maxLoanTime }

// AddOwner takes in an owner with no guaranteed part.
func (l *Allocator) AddOwner() Owner {
	for i := range l.shares {
		if s := &l.shares[i]; !s.isActive && s.used == 0 {
			s.isActive = true
			return Owner(i)
		}
	}
	l.shares = append(l.shares, share{isActive: true})
	return Owner(len(l.shares) - 1)
}

// RemoveOwner lets go of an owner. What it still has is given back as before; its place goes to
// another only then.
func (l *Allocator) RemoveOwner(o Owner) {
	l.updateOwner(o, func(s *share) { s.guaranteed, s.isActive = 0, false })
}

// SetGuarantees sets how much there is in all and the guaranteed parts; an owner that is not named
// has none. It changes nothing where they sum up to more than there is. What is taken beyond
// a new bound stays until it is given back.
func (l *Allocator) SetGuarantees(total int64, guaranteed map[Owner]int64) error {
	sum := int64(0)
	for o, g := range guaranteed {
		if g < 0 || int(o) >= len(l.shares) || g > total-sum {
			return fmt.Errorf("guaranteed parts of more than %d in all, or below zero", total)
		}
		sum += g
	}
	l.total = total
	for i := range l.shares {
		l.updateOwner(Owner(i), func(s *share) { s.guaranteed = guaranteed[Owner(i)] })
	}
	return nil
}

func (l *Allocator) updateOwner(o Owner, change func(*share)) {
	s := &l.shares[o]
	l.reserved -= s.reserve()
	change(s)
	l.reserved += s.reserve()
}

// TryAcquire tries to take n for an owner.
func (l *Allocator) TryAcquire(now time.Duration, o Owner, n int64) bool {
	s := &l.shares[o]
	after := share{guaranteed: s.guaranteed, used: s.used + n}
	left := l.total - l.used - n - (l.reserved - s.reserve()) // once the others' reserves are kept
	own := after.borrowed() == 0
	switch {
	case n < 0 || n > l.total:
		return false
	case own && left < 0:
		// What is its own is lent: nothing more is, until all that is lent has come back.
		l.lendAfter, l.hasLendAfter = now+l.maxLoanTime, true
		return false
	case !own && (l.hasLendAfter && now < l.lendAfter || left < 0 || after.borrowed() > maxBorrowRatio*(left-after.reserve())):
		return false
	}
	l.used += n
	l.updateOwner(o, func(s *share) { s.used += n })
	return true
}

// Release gives back n that was taken.
func (l *Allocator) Release(o Owner, n int64) {
	l.used -= n
	l.updateOwner(o, func(s *share) { s.used -= n })
}

// Used is what an owner has.
func (l *Allocator) Used(o Owner) int64 { return l.shares[o].used }

// Guaranteed is an owner's guaranteed part.
func (l *Allocator) Guaranteed(o Owner) int64 { return l.shares[o].guaranteed }

// Borrowed is what an owner has beyond its guaranteed part.
func (l *Allocator) Borrowed(o Owner) int64 { return l.shares[o].borrowed() }

// Free is what nobody has.
func (l *Allocator) Free() int64 { return l.total - l.used }

// Total is what there is in all.
func (l *Allocator) Total() int64 { return l.total }
