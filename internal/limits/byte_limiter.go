package limits

import "sync/atomic"

// ByteLimiter limits the bytes that its users hold together. A process with a single service has one for the requests of
// that service; every process has one for what clients send (front.InputMemory). It is safe for concurrent use.
type ByteLimiter struct{ available atomic.Int64 }

// NewByteLimiter returns a limiter with a limit on the total bytes.
func NewByteLimiter(limit int64) *ByteLimiter {
	b := new(ByteLimiter)
	b.available.Store(limit)
	return b
}

// TryAcquire reserves bytes. It returns false, and reserves none, if fewer are available.
func (b *ByteLimiter) TryAcquire(bytes int64) bool {
	if b.available.Add(-bytes) < 0 {
		b.available.Add(bytes)
		return false
	}
	return true
}

// Release returns reserved bytes.
func (b *ByteLimiter) Release(bytes int64) { b.available.Add(bytes) }

// Admit reserves bytes for a request; see service.RequestLimiter.
func (b *ByteLimiter) Admit(bytes int64) (release func(), ok bool) {
	if !b.TryAcquire(bytes) {
		return nil, false
	}
	return func() { b.Release(bytes) }, true
}
