package limits

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/internal/bulkhead"
)

// SharedResource is one bounded thing of the process that several owners share by a bulkhead.Ledger. It
// is safe for concurrent use.
type SharedResource struct {
	clock func() time.Duration

	mu        sync.Mutex
	allocator *bulkhead.Allocator
	accounts  []*Account
}

// NewSharedResource makes one of which nothing lent is kept for longer than term.
func NewSharedResource(maxLoanTime time.Duration) *SharedResource {
	start := time.Now()
	return &SharedResource{allocator: bulkhead.New(0, maxLoanTime), clock: func() time.Duration { return time.Since(start) }}
}

// SetMaxLoanTime sets for how long anything lent is kept at most.
func (s *SharedResource) SetMaxLoanTime(maxLoanTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.SetMaxLoanTime(maxLoanTime)
}

// Account is one owner's side of a Shared. It is an Opener.
type Account struct {
	resource *SharedResource
	owner    bulkhead.Owner
	evict    func() bool
	recall   func() // nil is nothing; the Shared's lock is held
	denied   atomic.Int64
}

// OnRecall sets what has the account's owner end one thing that it has kept for longer than the
// term, if there is one. It is called, with no lock held, when one that asks for what is its own is
// denied it and this account is the one that has borrowed most.
func (a *Account) OnRecall(f func()) {
	a.resource.mu.Lock()
	defer a.resource.mu.Unlock()
	a.recall = f
}

// RecordDenial counts that the owner was denied something, and recalls what is lent if it was its own.
func (a *Account) RecordDenial() {
	a.denied.Add(1)
	s := a.resource
	s.mu.Lock()
	var debtor *Account
	var recall func()
	if s.allocator.Borrowed(a.owner) == 0 && s.allocator.Used(a.owner) < s.allocator.Guaranteed(a.owner) {
		for _, b := range s.accounts {
			if b != a && b.recall != nil && s.allocator.Borrowed(b.owner) > 0 &&
				(debtor == nil || s.allocator.Borrowed(b.owner) > s.allocator.Borrowed(debtor.owner)) {
				debtor, recall = b, b.recall
			}
		}
	}
	s.mu.Unlock()
	if recall != nil {
		recall()
	}
}

// OpenAccount makes an account with no guaranteed part. evict, which may be nil, gives back one that
// its owner has and nothing waits on, if there is one; it is called with no lock held.
func (s *SharedResource) OpenAccount(evict func() bool) *Account {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &Account{resource: s, owner: s.allocator.AddOwner(), evict: evict}
	s.accounts = append(s.accounts, a)
	return a
}

// Close ends an account. What it still has may be given back as before.
func (a *Account) Close() {
	s := a.resource
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.RemoveOwner(a.owner)
	s.accounts = slices.DeleteFunc(s.accounts, func(b *Account) bool { return a == b })
}

// SetGuarantees sets how much there is and who is guaranteed what; others are guaranteed nothing.
func (s *SharedResource) SetGuarantees(total int64, guaranteed map[*Account]int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	owners := make(map[bulkhead.Owner]int64, len(guaranteed))
	for a, g := range guaranteed {
		owners[a.owner] = g
	}
	return s.allocator.SetGuarantees(total, owners)
}

// TryAcquire takes one, for which it closes what is idle where it has to: of those first that have
// most beyond their part, then of its own.
func (a *Account) TryAcquire() bool {
	for !a.TryAcquireN(1) {
		if !a.resource.evictFor(a) {
			a.denied.Add(1)
			return false
		}
	}
	return true
}

// TryAcquireN takes n or none.
func (a *Account) TryAcquireN(n int64) bool {
	s := a.resource
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.TryAcquire(s.clock(), a.owner, n)
}

// Release gives one back.
func (a *Account) Release() { a.ReleaseN(1) }

// ReleaseN gives n back.
func (a *Account) ReleaseN(n int64) {
	s := a.resource
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.Release(a.owner, n)
}

// evictFor closes one idle thing for an account.
func (s *SharedResource) evictFor(a *Account) bool {
	s.mu.Lock()
	var candidates []*Account
	if s.allocator.Borrowed(a.owner) == 0 {
		for _, b := range s.accounts {
			if b != a && b.evict != nil && s.allocator.Borrowed(b.owner) > 0 {
				candidates = append(candidates, b)
			}
		}
		slices.SortStableFunc(candidates, func(x, y *Account) int {
			return int(s.allocator.Borrowed(y.owner) - s.allocator.Borrowed(x.owner))
		})
	}
	s.mu.Unlock()
	if a.evict != nil {
		candidates = append(candidates, a)
	}
	for _, b := range candidates {
		if b.evict() {
			return true
		}
	}
	return false
}

// Usage is what an account has of a Shared.
type Usage struct {
	Used       int64 `json:"used"`
	Guaranteed int64 `json:"guaranteed"`
	Total      int64 `json:"total"`
	Denied     int64 `json:"denied"` // since the account was opened
}

// Usage tells what the account has.
func (a *Account) Usage() Usage {
	s := a.resource
	s.mu.Lock()
	defer s.mu.Unlock()
	return Usage{
		Used: s.allocator.Used(a.owner), Guaranteed: s.allocator.Guaranteed(a.owner), Total: s.allocator.Total(),
		Denied: a.denied.Load(),
	}
}

// TimeLimiter shares the modules' time among services. It is safe for concurrent use.
type TimeLimiter struct {
	clock      func() time.Duration
	mu         sync.Mutex
	limiter    *bulkhead.TimeLimiter
	freeOwners []bulkhead.Owner // that have been closed
	nextOwner  bulkhead.Owner
}

// NewTimeLimiter makes one of so many seconds of a second in all.
func NewTimeLimiter(total float64) *TimeLimiter {
	start := time.Now()
	return &TimeLimiter{limiter: bulkhead.NewTimeLimiter(total), clock: func() time.Duration { return time.Since(start) }}
}

// OpenOwner makes an owner with no guaranteed part.
func (p *TimeLimiter) OpenOwner() bulkhead.Owner {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.nextOwner
	if n := len(p.freeOwners); n > 0 {
		o, p.freeOwners = p.freeOwners[n-1], p.freeOwners[:n-1]
	} else {
		p.nextOwner++
	}
	p.limiter.SetGuaranteed(o, 0)
	return o
}

// CloseOwner ends an owner.
func (p *TimeLimiter) CloseOwner(o bulkhead.Owner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeOwners = append(p.freeOwners, o)
}

// SetGuaranteed guarantees an owner a part.
func (p *TimeLimiter) SetGuaranteed(o bulkhead.Owner, guaranteed float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.SetGuaranteed(o, guaranteed)
}

// SetTotal sets how many seconds of a second there are in all.
func (p *TimeLimiter) SetTotal(total float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.SetTotal(total)
}

// Record notes that an owner has used some time.
func (p *TimeLimiter) Record(o bulkhead.Owner, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.Record(p.clock(), o, took)
}

// Allows tells whether an owner may go on using time.
func (p *TimeLimiter) Allows(o bulkhead.Owner) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Allows(p.clock(), o)
}

// Used is what an owner used of late, in seconds of a second.
func (p *TimeLimiter) Used(o bulkhead.Owner) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Used(p.clock(), o)
}

// RequestLimiter books what the requests of one service take: one held request and some bytes each,
// and room in the time of its module.
type RequestLimiter struct {
	Slots, Bytes *Account
	ModuleTime   *TimeLimiter
	Owner        bulkhead.Owner // in Pace
}

// Admit books a request of so many bytes; see service.RequestLimiter.
func (r *RequestLimiter) Admit(bytes int64) (release func(), ok bool) {
	if !r.ModuleTime.Allows(r.Owner) {
		return nil, false
	}
	if !r.Slots.TryAcquireN(1) {
		r.Slots.RecordDenial()
		return nil, false
	}
	if !r.Bytes.TryAcquireN(bytes) {
		r.Bytes.RecordDenial()
		r.Slots.Release()
		return nil, false
	}
	return func() {
		r.Bytes.ReleaseN(bytes)
		r.Slots.Release()
	}, true
}
