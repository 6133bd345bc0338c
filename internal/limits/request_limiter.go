package limits

import "lockflow/internal/bulkhead"

// RequestLimiter limits the requests of one of several services: a slot and some bytes for each, and the time
// of the service's module.
type RequestLimiter struct {
	Slots      *Account // one for each request
	Bytes      *Account // of requests and their answers
	ModuleTime *TimeLimiter
	Owner      bulkhead.Owner // of the service in ModuleTime
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
