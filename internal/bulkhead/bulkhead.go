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
	reservePart = 4 // one over the part of a guarantee that is never lent
	borrowTimes = 2 // of what stays free, that one borrower may have
)

// Owner names one that takes and gives.
type Owner int

type share struct {
	guaranteed, used int64
	known            bool // not removed
}

// reserve is what of a guaranteed part must stay free for its owner.
func (s *share) reserve() int64 {
	return max(0, (s.guaranteed+reservePart-1)/reservePart-s.used)
}

// loan is what an owner has beyond its guaranteed part.
func (s *share) loan() int64 { return max(0, s.used-s.guaranteed) }

// Ledger divides one thing. Its zero value has nothing to divide. It is not safe for
// concurrent use.
type Ledger struct {
	total, used int64
	term        time.Duration
	shares      []share
	reserved    int64         // sum of what must stay free
	lendFrom    time.Duration // nothing is lent before
	changed     bool          // lendFrom has been set
}

// New makes a ledger of so much in all, of which nothing lent is kept longer than term.
func New(total int64, term time.Duration) *Ledger {
	return &Ledger{total: total, term: term}
}

// SetTerm sets for how long anything lent is kept at most.
func (l *Ledger) SetTerm(term time.Duration) { l.term = term }

// Add takes in an owner with no guaranteed part.
func (l *Ledger) Add() Owner {
	for i := range l.shares {
		if s := &l.shares[i]; !s.known && s.used == 0 {
			s.known = true
			return Owner(i)
		}
	}
	l.shares = append(l.shares, share{known: true})
	return Owner(len(l.shares) - 1)
}

// Remove lets go of an owner. What it still has is given back as before; its place goes to
// another only then.
func (l *Ledger) Remove(o Owner) {
	l.set(o, func(s *share) { s.guaranteed, s.known = 0, false })
}

// Divide sets how much there is in all and the guaranteed parts; an owner that is not named
// has none. It changes nothing where they sum up to more than there is. What is taken beyond
// a new bound stays until it is given back.
func (l *Ledger) Divide(total int64, guaranteed map[Owner]int64) error {
	sum := int64(0)
	for o, g := range guaranteed {
		if g < 0 || int(o) >= len(l.shares) || g > total-sum {
			return fmt.Errorf("guaranteed parts of more than %d in all, or below zero", total)
		}
		sum += g
	}
	l.total = total
	for i := range l.shares {
		l.set(Owner(i), func(s *share) { s.guaranteed = guaranteed[Owner(i)] })
	}
	return nil
}

func (l *Ledger) set(o Owner, change func(*share)) {
	s := &l.shares[o]
	l.reserved -= s.reserve()
	change(s)
	l.reserved += s.reserve()
}

// Take tries to take n for an owner.
func (l *Ledger) Take(now time.Duration, o Owner, n int64) bool {
	s := &l.shares[o]
	after := share{guaranteed: s.guaranteed, used: s.used + n}
	left := l.total - l.used - n - (l.reserved - s.reserve()) // once the others' reserves are kept
	own := after.loan() == 0
	switch {
	case n < 0 || n > l.total:
		return false
	case own && left < 0:
		// What is its own is lent: nothing more is, until all that is lent has come back.
		l.lendFrom, l.changed = now+l.term, true
		return false
	case !own && (l.changed && now < l.lendFrom || left < 0 || after.loan() > borrowTimes*(left-after.reserve())):
		return false
	}
	l.used += n
	l.set(o, func(s *share) { s.used += n })
	return true
}

// Give gives back n that was taken.
func (l *Ledger) Give(o Owner, n int64) {
	l.used -= n
	l.set(o, func(s *share) { s.used -= n })
}

// Used is what an owner has.
func (l *Ledger) Used(o Owner) int64 { return l.shares[o].used }

// Guaranteed is an owner's guaranteed part.
func (l *Ledger) Guaranteed(o Owner) int64 { return l.shares[o].guaranteed }

// Loan is what an owner has beyond its guaranteed part.
func (l *Ledger) Loan(o Owner) int64 { return l.shares[o].loan() }

// Free is what nobody has.
func (l *Ledger) Free() int64 { return l.total - l.used }

// Total is what there is in all.
func (l *Ledger) Total() int64 { return l.total }
