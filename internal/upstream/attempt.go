package upstream

import (
	"context"
	"sync/atomic"

	"lockflow/control"
)

// Client waits for the answer to a request.
type Client interface {
	// IsWaiting reports whether the client still waits. It is called on the goroutine of an attempt and must
	// not block.
	IsWaiting() bool
}

// Attempt is the context of one attempt, and decides whether it is sent. The writer of the request calls Commit
// right before the first byte; after a Withdraw before that, no byte is written. It is passed as the ctx of a
// request's Attempt method; an attempt with any other ctx is always sent.
type Attempt struct {
	context.Context
	cancel context.CancelFunc
	client Client
	state  atomic.Int32 // one of the states below
}

// The states of an attempt. Only attemptPending is ever left.
const (
	attemptPending   int32 = iota // nothing has been written
	attemptCommitted              // some of it has been written, or is about to be
	attemptWithdrawn              // nothing will be written
	attemptAbandoned              // nothing will be written, as the client no longer waits
)

// NewAttempt makes an attempt that ends with ctx, which cancel ends.
func NewAttempt(ctx context.Context, cancel context.CancelFunc, client Client) *Attempt {
	return &Attempt{Context: ctx, cancel: cancel, client: client}
}

type attemptKey struct{}

// Value implements context.Context. Commit uses it to find the attempt from contexts that are derived from it.
func (a *Attempt) Value(key any) any {
	if key == (attemptKey{}) {
		return a
	}
	return a.Context.Value(key)
}

// Commit reports whether the attempt of ctx may be written, once. From then on it counts as sent.
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

// Withdraw ends an attempt that has not been written, so that it never is. Any other one continues. A nil attempt
// is allowed.
func (a *Attempt) Withdraw() {
	if a != nil && a.state.CompareAndSwap(attemptPending, attemptWithdrawn) {
		a.cancel()
	}
}

// Cancel ends an attempt, whether it has been written or not. A nil attempt is allowed.
func (a *Attempt) Cancel() {
	if a != nil {
		a.Withdraw()
		a.cancel()
	}
}

// IsSent reports whether some of the attempt has been written, or is about to be.
func (a *Attempt) IsSent() bool { return a != nil && a.state.Load() == attemptCommitted }

// IsPending reports whether the attempt may still be sent.
func (a *Attempt) IsPending() bool { return a.state.Load() == attemptPending }

// FinalOutcome returns how the attempt ended, given the outcome of its request's Attempt method: an attempt
// that was withdrawn or abandoned has not been sent, whatever else went wrong.
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
