package limits

import "sync/atomic"

// ByteLimiter books the bytes that requests hold, of one service that has the process to itself. It is safe for
// concurrent use.
type ByteLimiter struct{ available atomic.Int64 }

// NewByteLimiter makes one of so many bytes in all.
func NewByteLimiter(limit int64) *ByteLimiter {
	b := new(ByteLimiter)
	b.available.Store(limit)
	return b
}

// Admit books a request of so many bytes; see service.RequestLimiter.
func (b *ByteLimiter) Admit(bytes int64) (release func(), ok bool) {
	if b.available.Add(-bytes) < 0 {
		b.available.Add(bytes)
		return nil, false
	}
	return func() { b.available.Add(bytes) }, true
}
