package upstream

import (
	"context"
	"sync/atomic"

	"lockflow/control"
)

// Client is the recipient of the response to a request.
type Client interface {
	// IsWaiting reports whether the client still waits. It is called on the goroutine of an attempt and must
	// not block.
	IsWaiting() bool
}

// Attempt is the context of one attempt and decides whether the attempt is sent. The writer of the request calls
// Commit immediately before the first byte. If Withdraw was called earlier, no byte is written. An Attempt is
// passed as the ctx of a request's Attempt method; an attempt with any other ctx is always sent.
type Attempt struct {
	context.Context
	cancel context.CancelFunc
	client Client
	state  atomic.Int32 // one of the states below
}

// States of an attempt. attemptPending is the only state that can change.
const (
	attemptPending   int32 = iota // nothing has been written
	attemptCommitted              // part of it has been written, or is about to be
	attemptWithdrawn              // nothing will be written
	attemptAbandoned              // nothing will be written because the client no longer waits
)

// NewAttempt creates an attempt that ends with ctx. cancel must end ctx.
func NewAttempt(ctx context.Context, cancel context.CancelFunc, client Client) *Attempt {
	return &Attempt{Context: ctx, cancel: cancel, client: client}
}

type attemptKey struct{}

// Value implements context.Context. It lets Commit find the attempt in contexts derived from it.
func (a *Attempt) Value(key any) any {
	if key == (attemptKey{}) {
		return a
	}
	return a.Context.Value(key)
}

// Commit reports whether the attempt of ctx may be written, and marks it as sent. For each Attempt it returns true
// only once.
func Commit(ctx context.Context) bool {
	a, ok := ctx.Value(attemptKey{}).(*Attempt)
	return !ok || a.commit()
}

func (a *Attempt) commit() bool {
	if a.state.Load() != attemptPending {
		return false
	}
	next := attemptCommitted
	if a.Err() != nil {
		next = attemptWithdrawn
	} else if !a.client.IsWaiting() {
		next = attemptAbandoned
	}
	return a.state.CompareAndSwap(attemptPending, next) && next == attemptCommitted
}

// Withdraw cancels an attempt that has not been written, so that it never is. An attempt that has been written
// continues. A nil attempt is allowed.
func (a *Attempt) Withdraw() {
	if a != nil && a.state.CompareAndSwap(attemptPending, attemptWithdrawn) {
		a.cancel()
	}
}

// Cancel ends an attempt, written or not. A nil attempt is allowed.
func (a *Attempt) Cancel() {
	if a != nil {
		a.Withdraw()
		a.cancel()
	}
}

// IsSent reports whether part of the attempt has been written, or is about to be.
func (a *Attempt) IsSent() bool { return a != nil && a.state.Load() == attemptCommitted }

// IsPending reports whether the attempt may still be sent.
func (a *Attempt) IsPending() bool { return a.state.Load() == attemptPending }

// FinalOutcome returns the outcome of the attempt, given the outcome that the request's Attempt method returned. A
// withdrawn or abandoned attempt has not been sent, whatever error it ended with.
func (a *Attempt) FinalOutcome(outcome Outcome) Outcome {
	switch state := a.state.Load(); state {
	case attemptWithdrawn, attemptAbandoned:
		return Outcome{
			Reason:        control.NotSent,
			Err:           errWithdrawn,
			HasClientLeft: state == attemptAbandoned,
			IsDialed:      outcome.IsDialed,
		}
	}
	return outcome
}
