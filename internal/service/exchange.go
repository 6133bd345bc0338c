package service

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"lockflow/control"
	"lockflow/internal/upstream"
)

// DeadlineMargin is how long before the client's deadline attempts are stopped, so that the last byte of the
// answer arrives in time.
const DeadlineMargin = 15 * time.Millisecond

// Forwarder sends a request to servers, one attempt at a time.
type Forwarder interface {
	// Method returns the request's method.
	Method() string
	// Attempt makes one attempt at a server and returns when that has ended, at the latest when ctx does. A
	// streaming response continues until lifetime ends.
	Attempt(ctx, lifetime context.Context, connections *upstream.Upstream, pool *upstream.Pool) upstream.Outcome
	// IsBodyPending reports whether a part of the request body is still to arrive from the client. The time limit
	// of an attempt then starts once the body has arrived.
	IsBodyPending() bool
	// CanRetry reports whether the complete request is available for another attempt.
	CanRetry() bool
}

// Exchange is one client request, from Service.Do until its final answer. The caller sets the exported fields before
// Do and does not change them until it has returned.
type Exchange struct {
	Request   control.Request // the service sets its Timeout
	Forwarder Forwarder
	Deadline  time.Time // when attempts are stopped
	// HasClientID is set if the client has chosen the request's ID, and not the node.
	HasClientID bool
	Gate        *Gate // nil starts attempts as soon as the module decides on them
	// Client is asked right before an attempt is written whether the client still waits. If nil, it waits until Do's ctx ends.
	Client upstream.Client

	clientContext context.Context // the ctx of Do, which ends when the client disconnects; read by attempts
	answer        chan Answer     // buffered, for the one final answer

	// The resources that Service.Admit reserved have two users, the caller of Do and the loop. They are released
	// when both have released them.
	references       atomic.Int32
	releaseResources func() // nil if nothing is reserved

	// The fields below belong to the loop that has accepted the request.

	isRetained   bool // the loop holds one of the references
	startedAt    time.Time
	isAnswered   bool                // or its client has disconnected
	attemptCount int                 // attempts that the module has decided on
	inFlight     int                 // attempts without an outcome yet
	isRecorded   bool                // in recentRuns
	mayHaveRun   bool                // some attempt that has ended may have run the request; those in flight are not considered
	attempts     []*upstream.Attempt // by number; nil if it was never made
	lastReason   control.Reason      // how the last attempt ended; 0 if none has
	lastResponse upstream.Outcome    // the last server response that was not final
	classCounts  *ClassCounts        // nil if nothing is counted
	charge       hardLimitCharge
	repeats      repeatGuard
}

// IsWaiting reports whether the client still waits for the answer. Package net/http detects a disconnect with a
// delay, and not at all if the client has sent more bytes after this request; Client detects it sooner.
func (x *Exchange) IsWaiting() bool {
	return x.clientContext.Err() == nil && (x.Client == nil || x.Client.IsWaiting())
}

// isUnwritten reports whether no attempt has been written. After all are withdrawn, none will be.
func (x *Exchange) isUnwritten() bool {
	return !slices.ContainsFunc(x.attempts, (*upstream.Attempt).IsSent)
}

// cannotHaveRun reports whether the request cannot have run at a server. It is called after all attempts are
// withdrawn.
func (x *Exchange) cannotHaveRun() bool {
	return !x.mayHaveRun && (x.inFlight == 0 || x.isUnwritten())
}

// Release ends the caller's use of the resources that Service.Admit reserved. It is called once after each
// Admit that returned true, when the answer is written, whatever Do returned.
func (x *Exchange) Release() {
	if x.releaseResources != nil && x.references.Add(-1) == 0 {
		x.releaseResources()
	}
}

// retain makes the loop a user of the reserved resources, unless the caller of Do has released them already.
func (x *Exchange) retain() {
	for n := x.references.Load(); n > 0; n = x.references.Load() {
		if x.references.CompareAndSwap(n, n+1) {
			x.isRetained = true
			return
		}
	}
}

// unretain undoes retain, once.
func (x *Exchange) unretain() {
	if x.isRetained {
		x.isRetained = false
		x.Release()
	}
}

// discardAnswer discards the answer, if there is one, to a client that has disconnected.
func (x *Exchange) discardAnswer() {
	select {
	case a := <-x.answer:
		a.discard()
	default:
	}
}
