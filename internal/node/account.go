package node

import (
	"sync/atomic"
	"time"

	"lockflow/internal/limits"
	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

// account holds the accounts of one service with the limiters of the resources that services share. A service that
// replaces another and takes over its connections also takes over its account; additionalOwners counts such services.
// The account is nil in a process whose services share nothing.
type account struct {
	descriptors      *limits.Account
	dials            *limits.Account
	requests         limits.RequestLimiter
	upstream         atomic.Pointer[upstream.Upstream] // nil until the service exists
	streams          service.Streams
	additionalOwners atomic.Int32 // number of owning services, not counting the first
}

// retain adds an owner and returns the account.
func (a *account) retain() *account {
	a.additionalOwners.Add(1)
	return a
}

// release removes an owner and closes the account when the last owner is gone.
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

// usage returns the service's current use of each shared resource.
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

// chargeModuleTime records processor time that the service's decision module used.
func (a *account) chargeModuleTime(duration time.Duration) {
	a.requests.ModuleTime.Record(a.requests.Owner, duration)
}

// requestsInFlight returns the number of requests that the service has accepted and not yet finished.
func (a *account) requestsInFlight() int64 {
	if a == nil {
		return 0
	}
	return a.requests.Slots.Usage().Used
}
