package limits

import "sync/atomic"

// Bytes books the bytes that requests hold, of one service that has the process to itself. It is safe for
// concurrent use.
type Bytes struct{ left atomic.Int64 }

// NewBytes makes one of so many bytes in all.
func NewBytes(most int64) *Bytes {
	b := new(Bytes)
	b.left.Store(most)
	return b
}

// Admit books a request of so many bytes; see service.RequestLimiter.
func (b *Bytes) Admit(bytes int64) (giveBack func(), ok bool) {
	if b.left.Add(-bytes) < 0 {
		b.left.Add(bytes)
		return nil, false
	}
	return func() { b.left.Add(bytes) }, true
}
