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
	end    context.CancelFunc
	client Client
	state  atomic.Int32
}

// The states of an attempt; only the first is left again.
const (
	pending   int32 = iota // nothing is written
	committed              // some of it is, or will be at once
	withdrawn              // nothing will be
	abandoned              // the same: the client was not there any more
)

var errUnsent = errors.New("taken back before it was sent")

// NewAttempt makes one that lasts for as long as ctx, which end ends.
func NewAttempt(ctx context.Context, end context.CancelFunc, client Client) *Attempt {
	return &Attempt{Context: ctx, end: end, client: client}
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
	if a.state.Load() != pending {
		return false
	}
	to := committed
	if a.Err() != nil {
		to = withdrawn
	} else if !a.client.IsWaiting() {
		to = abandoned
	}
	return a.state.CompareAndSwap(pending, to) && to == committed
}

// Withdraw has an attempt that is not written yet never be, and ends it; one that is goes on.
func (a *Attempt) Withdraw() {
	if a != nil && a.state.CompareAndSwap(pending, withdrawn) {
		a.end()
	}
}

// Cancel ends an attempt, written or not.
func (a *Attempt) Cancel() {
	if a != nil {
		a.Withdraw()
		a.end()
	}
}

// IsSent tells whether some of it was written, or will be.
func (a *Attempt) IsSent() bool { return a != nil && a.state.Load() == committed }

// FinalOutcome is how an attempt ended, once Try is over with some outcome: one that was taken back was not
// sent, whatever else went wrong.
func (a *Attempt) FinalOutcome(o Outcome) Outcome {
	switch a.state.Load() {
	case withdrawn, abandoned:
		return Outcome{Reason: control.NotSent, Err: errUnsent, HasClientLeft: a.state.Load() == abandoned, IsDialed: o.IsDialed}
	}
	return o
}

// IsPending tells whether it may still be sent.
func (a *Attempt) IsPending() bool { return a.state.Load() == pending }
