package limits

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/internal/bulkhead"
)

// Shared is one bounded thing of the process that several owners share by a bulkhead.Ledger. It
// is safe for concurrent use.
type Shared struct {
	clock func() time.Duration

	mu       sync.Mutex
	ledger   *bulkhead.Ledger
	accounts []*Account
}

// NewShared makes one of which nothing lent is kept for longer than term.
func NewShared(term time.Duration) *Shared {
	start := time.Now()
	return &Shared{ledger: bulkhead.New(0, term), clock: func() time.Duration { return time.Since(start) }}
}

// SetTerm sets for how long anything lent is kept at most.
func (s *Shared) SetTerm(term time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.SetTerm(term)
}

// Account is one owner's side of a Shared. It is an Opener.
type Account struct {
	shared *Shared
	owner  bulkhead.Owner
	evict  func() bool
	recall func() // nil is nothing; the Shared's lock is held
	denied atomic.Int64
}

// OnRecall sets what has the account's owner end one thing that it has kept for longer than the
// term, if there is one. It is called, with no lock held, when one that asks for what is its own is
// denied it and this account is the one that has borrowed most.
func (a *Account) OnRecall(f func()) {
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	a.recall = f
}

// Deny counts that the owner was denied something, and recalls what is lent if it was its own.
func (a *Account) Deny() {
	a.denied.Add(1)
	s := a.shared
	s.mu.Lock()
	var most *Account
	var recall func()
	if s.ledger.Loan(a.owner) == 0 && s.ledger.Used(a.owner) < s.ledger.Guaranteed(a.owner) {
		for _, b := range s.accounts {
			if b != a && b.recall != nil && s.ledger.Loan(b.owner) > 0 &&
				(most == nil || s.ledger.Loan(b.owner) > s.ledger.Loan(most.owner)) {
				most, recall = b, b.recall
			}
		}
	}
	s.mu.Unlock()
	if recall != nil {
		recall()
	}
}

// Open makes an account with no guaranteed part. evict, which may be nil, gives back one that
// its owner has and nothing waits on, if there is one; it is called with no lock held.
func (s *Shared) Open(evict func() bool) *Account {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &Account{shared: s, owner: s.ledger.Add(), evict: evict}
	s.accounts = append(s.accounts, a)
	return a
}

// Close ends an account. What it still has may be given back as before.
func (a *Account) Close() {
	s := a.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Remove(a.owner)
	s.accounts = slices.DeleteFunc(s.accounts, func(b *Account) bool { return a == b })
}

// Divide sets how much there is and who is guaranteed what; others are guaranteed nothing.
func (s *Shared) Divide(total int64, guaranteed map[*Account]int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	owners := make(map[bulkhead.Owner]int64, len(guaranteed))
	for a, g := range guaranteed {
		owners[a.owner] = g
	}
	return s.ledger.Divide(total, owners)
}

// Take takes one, for which it closes what is idle where it has to: of those first that have
// most beyond their part, then of its own.
func (a *Account) Take() bool {
	for !a.TakeN(1) {
		if !a.shared.makeRoom(a) {
			a.denied.Add(1)
			return false
		}
	}
	return true
}

// TakeN takes n or none.
func (a *Account) TakeN(n int64) bool {
	s := a.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Take(s.clock(), a.owner, n)
}

// Give gives one back.
func (a *Account) Give() { a.GiveN(1) }

// GiveN gives n back.
func (a *Account) GiveN(n int64) {
	s := a.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Give(a.owner, n)
}

// makeRoom closes one idle thing for an account.
func (s *Shared) makeRoom(a *Account) bool {
	s.mu.Lock()
	var from []*Account
	if s.ledger.Loan(a.owner) == 0 {
		for _, b := range s.accounts {
			if b != a && b.evict != nil && s.ledger.Loan(b.owner) > 0 {
				from = append(from, b)
			}
		}
		slices.SortStableFunc(from, func(x, y *Account) int {
			return int(s.ledger.Loan(y.owner) - s.ledger.Loan(x.owner))
		})
	}
	s.mu.Unlock()
	if a.evict != nil {
		from = append(from, a)
	}
	for _, b := range from {
		if b.evict() {
			return true
		}
	}
	return false
}

// Use is what an account has of a Shared.
type Use struct {
	Used       int64 `json:"used"`
	Guaranteed int64 `json:"guaranteed"`
	Total      int64 `json:"total"`
	Denied     int64 `json:"denied"` // since the account was opened
}

// Use tells what the account has.
func (a *Account) Use() Use {
	s := a.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	return Use{
		Used: s.ledger.Used(a.owner), Guaranteed: s.ledger.Guaranteed(a.owner), Total: s.ledger.Total(),
		Denied: a.denied.Load(),
	}
}

// Pace shares the modules' time among services. It is safe for concurrent use.
type Pace struct {
	clock func() time.Duration
	mu    sync.Mutex
	pace  *bulkhead.Pace
	free  []bulkhead.Owner // that have been closed
	next  bulkhead.Owner
}

// NewPace makes one of so many seconds of a second in all.
func NewPace(total float64) *Pace {
	start := time.Now()
	return &Pace{pace: bulkhead.NewPace(total), clock: func() time.Duration { return time.Since(start) }}
}

// Open makes an owner with no guaranteed part.
func (p *Pace) Open() bulkhead.Owner {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.next
	if n := len(p.free); n > 0 {
		o, p.free = p.free[n-1], p.free[:n-1]
	} else {
		p.next++
	}
	p.pace.Set(o, 0)
	return o
}

// Close ends an owner.
func (p *Pace) Close(o bulkhead.Owner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free = append(p.free, o)
}

// Set guarantees an owner a part.
func (p *Pace) Set(o bulkhead.Owner, guaranteed float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace.Set(o, guaranteed)
}

// SetTotal sets how many seconds of a second there are in all.
func (p *Pace) SetTotal(total float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace.SetTotal(total)
}

// Spent notes that an owner has used some time.
func (p *Pace) Spent(o bulkhead.Owner, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace.Spent(p.clock(), o, took)
}

// Within tells whether an owner may go on using time.
func (p *Pace) Within(o bulkhead.Owner) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pace.Within(p.clock(), o)
}

// Used is what an owner used of late, in seconds of a second.
func (p *Pace) Used(o bulkhead.Owner) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pace.Used(p.clock(), o)
}

// Requests books what the requests of one service take: one held request and some bytes each,
// and room in the time of its module.
type Requests struct {
	Held, Bytes *Account
	Pace        *Pace
	Owner       bulkhead.Owner // in Pace
}

// Admit books a request of so many bytes; see service.RequestLimiter.
func (r *Requests) Admit(bytes int64) (giveBack func(), ok bool) {
	if !r.Pace.Within(r.Owner) {
		return nil, false
	}
	if !r.Held.TakeN(1) {
		r.Held.Deny()
		return nil, false
	}
	if !r.Bytes.TakeN(bytes) {
		r.Bytes.Deny()
		r.Held.Give()
		return nil, false
	}
	return func() {
		r.Bytes.GiveN(bytes)
		r.Held.Give()
	}, true
}
