package limits

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/internal/bulkhead"
)

// SharedResource is one bounded resource of the process that several accounts share by a bulkhead.Allocator.
type SharedResource struct {
	clock        func() time.Duration
	availability Signal

	mu        sync.Mutex
	allocator *bulkhead.Allocator
	accounts  []*Account // that are open
}

// NewSharedResource creates a resource with a total of 0 until SetGuarantees, of which no account keeps anything for
// longer than maxLoanTime.
func NewSharedResource(maxLoanTime time.Duration) *SharedResource {
	return &SharedResource{allocator: bulkhead.New(0, maxLoanTime), clock: newClock()}
}

// SetMaxLoanTime sets the longest time that accounts keep anything.
func (s *SharedResource) SetMaxLoanTime(maxLoanTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.SetMaxLoanTime(maxLoanTime)
}

// SetGuarantees sets the total and the guaranteed parts of accounts; all other accounts have none. The error is that of
// bulkhead.Allocator.SetGuarantees, after which nothing has changed.
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

// Account is what one user, a service or the clients, has of a SharedResource. It is an AwaitedLimiter.
type Account struct {
	resource *SharedResource
	owner    bulkhead.Owner
	evict    func() bool // nil evicts nothing
	recall   func()      // nil recalls nothing; guarded by the resource's lock
	denied   atomic.Int64
}

// OpenAccount opens an account with no guaranteed part. Evict, which may be nil, releases one unit that the
// user holds and does not use, if there is one; it is called with no lock held.
func (s *SharedResource) OpenAccount(evict func() bool) *Account {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &Account{resource: s, owner: s.allocator.AddOwner(), evict: evict}
	s.accounts = append(s.accounts, a)
	return a
}

// Close closes the account. What it still has is released as before.
func (a *Account) Close() {
	s := a.resource
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.RemoveOwner(a.owner)
	s.accounts = slices.DeleteFunc(s.accounts, func(b *Account) bool { return a == b })
}

// OnRecall sets the function that has the account's user end one use that has exceeded the maximum loan time,
// if there is one. It is called, with no lock held, where another account is denied what is guaranteed to it
// and this one has borrowed more than any other.
func (a *Account) OnRecall(recall func()) {
	a.resource.mu.Lock()
	defer a.resource.mu.Unlock()
	a.recall = recall
}

// RecordDenial counts that the account was denied something. Where that was guaranteed to it, the largest
// borrower is recalled.
func (a *Account) RecordDenial() {
	a.denied.Add(1)
	if recall := a.resource.recallFor(a); recall != nil {
		recall()
	}
}

// recallFor returns the recall function of the account that has borrowed more than any other, if an account
// that was denied something has not got its guaranteed part; nil otherwise.
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

// TryAcquire acquires one unit. Where none is free it evicts idle units: first of the largest borrowers, as
// long as this account has not borrowed itself, then of its own.
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

// borrowersToEvict returns the other accounts that have borrowed, the largest borrowers first; none if the
// account has borrowed itself.
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

// Usage is what an account has of a SharedResource.
type Usage struct {
	Used       int64 `json:"used"`
	Guaranteed int64 `json:"guaranteed"`
	Total      int64 `json:"total"`  // of the resource
	Denied     int64 `json:"denied"` // since the account was opened
}

// Usage returns what the account has.
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
