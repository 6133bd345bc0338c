package limits

import "sync/atomic"

// ByteLimiter limits the total bytes of the requests of a service that is the only one in its process.
type ByteLimiter struct{ available atomic.Int64 }

// NewByteLimiter returns a limiter with a limit on the total bytes.
func NewByteLimiter(limit int64) *ByteLimiter {
	b := new(ByteLimiter)
	b.available.Store(limit)
	return b
}

// Admit reserves bytes for a request; see service.RequestLimiter.
func (b *ByteLimiter) Admit(bytes int64) (release func(), ok bool) {
	if b.available.Add(-bytes) < 0 {
		b.available.Add(bytes)
		return nil, false
	}
	return func() { b.available.Add(bytes) }, true
}
