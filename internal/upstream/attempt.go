package upstream

import (
	"context"
	"errors"
	"sync/atomic"

	"lockflow/control"
)

// Client is who waits for the answer to a request.
type Client interface {
	// IsWaiting tells whether it still waits. It is asked by an attempt's goroutine, and must not wait.
	IsWaiting() bool
}

// Attempt is the time of one attempt, and the one place that says whether it is sent: whoever writes
// it asks right before the first byte, and whoever takes it back before that has it never be written.
// It is the ctx of a Forwarder's Attempt, which with any other ctx asks nobody.
type Attempt struct {
	context.Context
	cancel context.CancelFunc
	client Client
	state  atomic.Int32
}

// The states of an attempt; only the first is left again.
const (
	attemptPending   int32 = iota // nothing is written
	attemptCommitted              // some of it is, or will be at once
	attemptWithdrawn              // nothing will be
	attemptAbandoned              // the same: the client was not there any more
)

var errWithdrawn = errors.New("taken back before it was sent")

// NewAttempt makes one that lasts for as long as ctx, which end ends.
func NewAttempt(ctx context.Context, end context.CancelFunc, client Client) *Attempt {
	return &Attempt{Context: ctx, cancel: end, client: client}
}

type attemptKey struct{}

// Value is context.Context's: below contexts made of it, it is found by this.
func (a *Attempt) Value(key any) any {
	if key == (attemptKey{}) {
		return a
	}
	return a.Context.Value(key)
}

// Commit tells whether an attempt may be written, which it is then, and only once.
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

// Withdraw has an attempt that is not written yet never be, and ends it; one that is goes on.
func (a *Attempt) Withdraw() {
	if a != nil && a.state.CompareAndSwap(attemptPending, attemptWithdrawn) {
		a.cancel()
	}
}

// Cancel ends an attempt, written or not.
func (a *Attempt) Cancel() {
	if a != nil {
		a.Withdraw()
		a.cancel()
	}
}

// IsSent tells whether some of it was written, or will be.
func (a *Attempt) IsSent() bool { return a != nil && a.state.Load() == attemptCommitted }

// FinalOutcome is how an attempt ended, once Try is over with some outcome: one that was taken back was not
// sent, whatever else went wrong.
func (a *Attempt) FinalOutcome(outcome Outcome) Outcome {
	switch a.state.Load() {
	case attemptWithdrawn, attemptAbandoned:
		return Outcome{Reason: control.NotSent, Err: errWithdrawn, HasClientLeft: a.state.Load() == attemptAbandoned, IsDialed: outcome.IsDialed}
	}
	return outcome
}

// IsPending tells whether it may still be sent.
func (a *Attempt) IsPending() bool { return a.state.Load() == attemptPending }
