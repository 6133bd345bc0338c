package limits

import (
	"sync"
	"time"

	"lockflow/internal/bulkhead"
)

// TimeLimiter divides the processor time of decision modules among services, using a bulkhead.TimeLimiter. It is safe for
// concurrent use.
type TimeLimiter struct {
	clock func() time.Duration

	mu         sync.Mutex // guards the fields below
	limiter    *bulkhead.TimeLimiter
	freeOwners []bulkhead.Owner // closed owners, reused before a new one is added
	nextOwner  bulkhead.Owner
}

// NewTimeLimiter returns a limiter with a total in seconds per second.
func NewTimeLimiter(total float64) *TimeLimiter {
	return &TimeLimiter{limiter: bulkhead.NewTimeLimiter(total), clock: newClock()}
}

// newClock returns a monotonic clock that starts at 0.
func newClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// OpenOwner adds an owner with no guaranteed part.
func (l *TimeLimiter) OpenOwner() bulkhead.Owner {
	l.mu.Lock()
	defer l.mu.Unlock()
	owner := l.nextOwner
	if n := len(l.freeOwners); n > 0 {
		owner = l.freeOwners[n-1]
		l.freeOwners = l.freeOwners[:n-1]
	} else {
		l.nextOwner++
	}
	l.limiter.SetGuaranteed(owner, 0)
	return owner
}

// CloseOwner removes an owner.
func (l *TimeLimiter) CloseOwner(owner bulkhead.Owner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.freeOwners = append(l.freeOwners, owner)
}

// SetGuaranteed sets an owner's guaranteed part, in seconds per second.
func (l *TimeLimiter) SetGuaranteed(owner bulkhead.Owner, guaranteed float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.SetGuaranteed(owner, guaranteed)
}

// SetTotal sets the total, in seconds per second.
func (l *TimeLimiter) SetTotal(total float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.SetTotal(total)
}

// Record records processor time used by an owner.
func (l *TimeLimiter) Record(owner bulkhead.Owner, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Record(l.clock(), owner, duration)
}

// Allows reports whether an owner may use more time now.
func (l *TimeLimiter) Allows(owner bulkhead.Owner) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Allows(l.clock(), owner)
}

// Used returns the average use of an owner, in seconds per second.
func (l *TimeLimiter) Used(owner bulkhead.Owner) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Used(l.clock(), owner)
}
