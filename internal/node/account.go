package node

import (
	"sync/atomic"
	"time"

	"lockflow/internal/limits"
	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

// account is what one service uses of the resources that services share. A service that replaces another
// and takes over its connections takes over its account too: additionalOwners counts such services.
// A nil account is that of a process without sharing.
type account struct {
	descriptors      *limits.Account
	dials            *limits.Account
	requests         limits.RequestLimiter
	upstream         atomic.Pointer[upstream.Upstream] // nil until the service exists
	streams          service.Streams
	additionalOwners atomic.Int32 // services that own the account, without the first one
}

// retain adds an owner.
func (a *account) retain() *account {
	a.additionalOwners.Add(1)
	return a
}

// release removes an owner, and closes the account with the last one.
func (a *account) release() {
	if a == nil || a.additionalOwners.Add(-1) >= 0 {
		return
	}
	a.descriptors.Close()
	a.dials.Close()
	a.requests.Slots.Close()
	a.requests.Bytes.Close()
	a.requests.ModuleTime.CloseOwner(a.requests.Owner)
}

// usage reports what the service uses now.
func (a *account) usage() *ResourceUsage {
	r := &a.requests
	return &ResourceUsage{
		Descriptors:   a.descriptors.Usage(),
		Requests:      r.Slots.Usage(),
		BufferedBytes: r.Bytes.Usage(),
		Dials:         a.dials.Usage(),
		ModuleTime:    r.ModuleTime.Used(r.Owner),
	}
}

// chargeModuleTime accounts for the time of the service's decision module.
func (a *account) chargeModuleTime(duration time.Duration) {
	a.requests.ModuleTime.Record(a.requests.Owner, duration)
}

// requestsInFlight is the number of requests that the service has accepted and not ended.
func (a *account) requestsInFlight() int64 {
	if a == nil {
		return 0
	}
	return a.requests.Slots.Usage().Used
}
