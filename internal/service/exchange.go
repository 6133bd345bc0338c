package service

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"lockflow/control"
	"lockflow/internal/upstream"
)

// DeadlineMargin is how long before a client gives up its attempts are stopped, so that
// the last byte of the answer is there in time.
const DeadlineMargin = 15 * time.Millisecond

// Forwarder is a request as attempts send it: one at a time.
type Forwarder interface {
	// Method is the request's.
	Method() string
	// Attempt makes one attempt at a server: it waits until ctx ends at the most. An answer that
	// streams goes on until life ends.
	Attempt(ctx, life context.Context, u *upstream.Upstream, p *upstream.Pool) upstream.Outcome
	// IsBodyPending tells whether some of the request is still to come from its client: an attempt's time
	// then counts from the last of it.
	IsBodyPending() bool
	// CanRetry tells whether a further attempt could send all of it.
	CanRetry() bool
}

// Exchange is one client request on its way to its final answer. The front fills in the
// exported fields before Do and reads none of the others.
type Exchange struct {
	Request   control.Request // its TTL is set when the module is told
	Forwarder Forwarder
	Deadline  time.Time // when attempts for it are stopped
	Gate      *Gate     // nil is sent on as the module says
	// Client is asked right before anything is sent on; nil is known to be there until Do's ctx ends.
	Client upstream.Client

	clientContext    context.Context // of Do: it ends when the client leaves
	answer           chan Answer     // holds the one final answer
	references       atomic.Int32
	releaseResources func() // gives back what is booked for it; nil is nothing

	// The loop's own.
	isRetained   bool // what is booked is held by the loop too
	startedAt    time.Time
	isAnswered   bool // answered, or the client has left
	attemptCount int
	inFlight     int                 // attempts outstanding
	mayHaveRun   bool                // an attempt may have run; one that is out may too
	attempts     []*upstream.Attempt // by number; nil is one that never was
	lastReason   control.Reason
	lastResponse upstream.Outcome // the last real answer of a server that was not final
	classCounts  *ClassCounts     // nil where nothing is counted
	charge       hardLimitCharge  // of a ceiling that is shared
}

// There tells whether the client still waits for the answer. The library tells of one that has left
// a while later, and not at all where more than this request has come from it.
func (x *Exchange) There() bool {
	return x.clientContext.Err() == nil && (x.Client == nil || x.Client.There())
}

// isUnwritten tells whether no attempt was written, nor will be.
func (x *Exchange) isUnwritten() bool {
	return !slices.ContainsFunc(x.attempts, (*upstream.Attempt).Sent)
}

// retain has the loop hold what is booked, unless the front, which held it first, has let go.
func (x *Exchange) retain() {
	for n := x.references.Load(); n > 0; n = x.references.Load() {
		if x.references.CompareAndSwap(n, n+1) {
			x.isRetained = true
			return
		}
	}
}

// unretain undoes keep, once.
func (x *Exchange) unretain() {
	if x.isRetained {
		x.isRetained = false
		x.Release()
	}
}

// Release has the front let go of what is booked, once the answer is written. The last that
// lets go gives it back. It is owed once after each Admit, whatever came of Do.
func (x *Exchange) Release() {
	if x.releaseResources != nil && x.references.Add(-1) == 0 {
		x.releaseResources()
	}
}

// discardAnswer lets go of an answer that was given when the client had left.
func (x *Exchange) discardAnswer() {
	select {
	case a := <-x.answer:
		a.discard()
	default:
	}
}

// AnswerKind says whose word an answer is.
type AnswerKind int8

// The kinds of answers.
const (
	Served   AnswerKind = iota // a server's
	Rejected                   // the node's: not run, safe to try again
	Failed                     // the node's: it promises nothing
)

// Answer is the final answer of an exchange.
type Answer struct {
	Kind        AnswerKind
	Status      int
	Header      http.Header // an app server's own; not to be changed
	Body        []byte
	Stream      *upstream.Stream // the rest of an answer that is not held; it has to be closed
	RetryAfter  time.Duration    // 0 is no advice
	Cause       control.Cause    // of one that the module refused
	LastAttempt control.Reason   // how the last attempt ended, of an answer of the node's own; 0 is none was made

	replacement   *Service // has the answer instead: the request was not begun
	clientHasLeft bool     // nobody is there to take it
}

// discard lets go of an answer that nobody takes.
func (a Answer) discard() {
	if a.Stream != nil {
		go a.Stream.Close() // it tells the loop, which must not wait for itself
	}
}
