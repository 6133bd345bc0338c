package limits

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/internal/bulkhead"
)

// SharedResource is one bounded resource of the process, which a bulkhead.Allocator divides among several accounts.
type SharedResource struct {
	clock        func() time.Duration
	availability Signal

	mu        sync.Mutex
	allocator *bulkhead.Allocator
	accounts  []*Account // open accounts
}

// NewSharedResource returns a resource whose total is 0 until SetGuarantees is called. maxLoanTime is the longest time
// for which an account holds a unit.
func NewSharedResource(maxLoanTime time.Duration) *SharedResource {
	return &SharedResource{allocator: bulkhead.New(0, maxLoanTime), clock: newClock()}
}

// SetMaxLoanTime sets the longest time for which an account holds a unit.
func (s *SharedResource) SetMaxLoanTime(maxLoanTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.SetMaxLoanTime(maxLoanTime)
}

// SetGuarantees sets the total and the guaranteed parts of accounts; all other accounts have none. It returns the error of
// bulkhead.Allocator.SetGuarantees, in which case nothing has changed.
func (s *SharedResource) SetGuarantees(total int64, guaranteed map[*Account]int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	owners := make(map[bulkhead.Owner]int64, len(guaranteed))
	for a, part := range guaranteed {
		owners[a.owner] = part
	}
	defer s.availability.Notify()
	return s.allocator.SetGuarantees(total, owners)
}

// GuaranteeAll guarantees the total to one account and nothing to all others.
func (s *SharedResource) GuaranteeAll(a *Account) {
	s.mu.Lock()
	total := s.allocator.Total()
	s.mu.Unlock()
	_ = s.SetGuarantees(total, map[*Account]int64{a: total}) // the sum never exceeds the total
}

// Account is the share of one user, a service or the clients, in a SharedResource. It is an AwaitedLimiter.
type Account struct {
	resource *SharedResource
	owner    bulkhead.Owner
	evict    func() bool // see OpenAccount; may be nil
	recall   func()      // see OnRecall; may be nil; guarded by the resource's lock
	denied   atomic.Int64
}

// OpenAccount opens an account with no guaranteed part. evict releases one idle unit that the user holds and reports
// whether there was one. It may be nil, and is called with no lock held.
func (s *SharedResource) OpenAccount(evict func() bool) *Account {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &Account{resource: s, owner: s.allocator.AddOwner(), evict: evict}
	s.accounts = append(s.accounts, a)
	return a
}

// Close closes the account. Units that it still holds are released as before.
func (a *Account) Close() {
	s := a.resource
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.RemoveOwner(a.owner)
	s.accounts = slices.DeleteFunc(s.accounts, func(b *Account) bool { return a == b })
}

// OnRecall sets the function that makes the account's user end one use that has exceeded the maximum loan time, if
// there is one. It is called, with no lock held, when another account is denied units within its guaranteed part and
// this account has borrowed more than any other.
func (a *Account) OnRecall(recall func()) {
	a.resource.mu.Lock()
	defer a.resource.mu.Unlock()
	a.recall = recall
}

// RecordDenial counts a denied acquisition of the account. If the account uses less than its guaranteed part, the
// largest borrower is recalled.
func (a *Account) RecordDenial() {
	a.denied.Add(1)
	if recall := a.resource.recallFor(a); recall != nil {
		recall()
	}
}

// recallFor returns the recall function of the account that has borrowed more than any other, or nil if the denied
// account uses all of its guaranteed part or no account can be recalled.
func (s *SharedResource) recallFor(denied *Account) (recall func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator.Used(denied.owner) >= s.allocator.Guaranteed(denied.owner) {
		return nil
	}
	var maxBorrowed int64
	for _, a := range s.accounts {
		if a == denied || a.recall == nil {
			continue
		}
		if borrowed := s.allocator.Borrowed(a.owner); borrowed > maxBorrowed {
			maxBorrowed = borrowed
			recall = a.recall
		}
	}
	return recall
}

// TryAcquire acquires one unit. If that fails, it evicts idle units and retries: first units of the largest borrowers,
// unless this account is itself a borrower, then the account's own.
func (a *Account) TryAcquire() bool {
	for !a.TryAcquireN(1) {
		if !a.resource.evictFor(a) {
			a.denied.Add(1)
			return false
		}
	}
	return true
}

// TryAcquireN acquires n units or none. It evicts nothing.
func (a *Account) TryAcquireN(n int64) bool {
	s := a.resource
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.TryAcquire(s.clock(), a.owner, n)
}

// Release releases one unit.
func (a *Account) Release() { a.ReleaseN(1) }

// ReleaseN releases n units.
func (a *Account) ReleaseN(n int64) {
	s := a.resource
	s.mu.Lock()
	s.allocator.Release(a.owner, n)
	s.mu.Unlock()
	s.availability.Notify()
}

// Availability implements AwaitedLimiter.
func (a *Account) Availability() *Signal { return &a.resource.availability }

// evictFor evicts one idle unit for an account, and reports whether there was one.
func (s *SharedResource) evictFor(a *Account) bool {
	candidates := s.borrowersToEvict(a)
	if a.evict != nil {
		candidates = append(candidates, a)
	}
	for _, candidate := range candidates {
		if candidate.evict() {
			return true
		}
	}
	return false
}

// borrowersToEvict returns the other accounts that have borrowed and can evict, the largest borrowers first. It returns
// none if the account is itself a borrower.
func (s *SharedResource) borrowersToEvict(a *Account) (borrowers []*Account) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator.Borrowed(a.owner) > 0 {
		return nil
	}
	for _, other := range s.accounts {
		if other != a && other.evict != nil && s.allocator.Borrowed(other.owner) > 0 {
			borrowers = append(borrowers, other)
		}
	}
	slices.SortStableFunc(borrowers, func(x, y *Account) int {
		return cmp.Compare(s.allocator.Borrowed(y.owner), s.allocator.Borrowed(x.owner))
	})
	return borrowers
}

// Usage is the usage of a SharedResource by one account.
type Usage struct {
	Used       int64 `json:"used"`
	Guaranteed int64 `json:"guaranteed"`
	Total      int64 `json:"total"`  // of the resource
	Denied     int64 `json:"denied"` // denied acquisitions since the account was opened
}

// Usage returns the account's current usage.
func (a *Account) Usage() Usage {
	s := a.resource
	s.mu.Lock()
	defer s.mu.Unlock()
	return Usage{
		Used:       s.allocator.Used(a.owner),
		Guaranteed: s.allocator.Guaranteed(a.owner),
		Total:      s.allocator.Total(),
		Denied:     a.denied.Load(),
	}
}
