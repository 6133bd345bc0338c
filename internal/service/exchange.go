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
	// IsBodyPending reports whether a part of the request is still to arrive from its client. The time of an
	// attempt then counts from its arrival.
	IsBodyPending() bool
	// CanRetry reports whether the complete request is available for another attempt.
	CanRetry() bool
}

// Exchange is one client request on its way to its final answer. The caller sets the exported fields before
// Do and does not change them until it has returned.
type Exchange struct {
	Request   control.Request // the service sets its Timeout
	Forwarder Forwarder
	Deadline  time.Time // when attempts are stopped
	Gate      *Gate     // nil starts attempts as the module decides
	// Client reports right before an attempt is written whether it still waits. A nil one waits until Do's ctx ends.
	Client upstream.Client

	clientContext context.Context // the ctx of Do, which ends when the client leaves; read by attempts
	answer        chan Answer     // has space for the one final answer

	// The resources that Service.Admit reserved are released when the last of the two users has released
	// them: the caller of Do and the loop.
	references       atomic.Int32
	releaseResources func() // nil where nothing is reserved

	// The fields below belong to the loop that has accepted the request.

	isRetained   bool // the loop is one of the references
	startedAt    time.Time
	isAnswered   bool                // or its client has left
	attemptCount int                 // attempts that the module has decided on
	inFlight     int                 // attempts without an outcome yet
	mayHaveRun   bool                // by an attempt that has ended; one in flight may have run too
	attempts     []*upstream.Attempt // by number; nil is one that was never made
	lastReason   control.Reason      // how the last attempt ended; 0 is none yet
	lastResponse upstream.Outcome    // the last response of a server that was not final
	classCounts  *ClassCounts        // nil where nothing is counted
	charge       hardLimitCharge
	repeats      repeatGuard
}

// IsWaiting reports whether the client still waits for the answer. Package net/http notices a client that has
// left with a delay, and not at all where it has sent more than this request; Client reports it sooner.
func (x *Exchange) IsWaiting() bool {
	return x.clientContext.Err() == nil && (x.Client == nil || x.Client.IsWaiting())
}

// isUnwritten reports whether no attempt was written, nor can be any more once all are withdrawn.
func (x *Exchange) isUnwritten() bool {
	return !slices.ContainsFunc(x.attempts, (*upstream.Attempt).IsSent)
}

// surelyNeverRan reports whether the request cannot have run at a server. It is called once all attempts are
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

// discardAnswer discards an answer to a client that has left.
func (x *Exchange) discardAnswer() {
	select {
	case a := <-x.answer:
		a.discard()
	default:
	}
}
