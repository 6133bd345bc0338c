package limits

import "lockflow/internal/bulkhead"

// RequestLimiter limits the requests of one of several services in a process. Each request needs a slot and some
// bytes, and is rejected while the service's module exceeds its processor time.
type RequestLimiter struct {
	Slots      *Account // one slot for each request
	Bytes      *Account // bytes of requests and their responses
	ModuleTime *TimeLimiter
	Owner      bulkhead.Owner // the service's owner in ModuleTime
}

// Admit reserves a slot and bytes for a request; see service.RequestLimiter.
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
