package scattergather

import (
	"context"
	"sync"
	"time"

	"lockflow/internal/service"
	"lockflow/internal/waitpolicy"
)

const (
	// lateResultHalfLives is how long attempts of abandoned parts may go on, in half-lives of an answer's value:
	// the model learns from how they end.
	lateResultHalfLives = 4
	// maxAttemptStopMargin and attemptStopDivisor limit the time between the end of the parts' attempts and the
	// end of their query, the second as a divisor of the query's timeout.
	maxAttemptStopMargin = 10 * time.Millisecond
	attemptStopDivisor   = 4
)

// AttemptStopMargin returns how long before the end of a query its parts' attempts are stopped.
func AttemptStopMargin(timeout time.Duration) time.Duration {
	return min(maxAttemptStopMargin, timeout/attemptStopDivisor)
}

// Call is the request of a query to one service.
type Call struct {
	Service  *service.Service
	Exchange *service.Exchange // admitted, or marked as over capacity
	MaxBytes int               // limit of the answer's body
}

// Run is one query over a tree. It runs once: Do, then Done.
type Run struct {
	Tree      *Tree
	Leaves    []Leaf
	Gatherers []*Gatherer // by Tree.ID
	Calls     []Call      // by leaf
	Class     string
	Load      float64       // utilization of the parts, 0 to 1
	Arrived   time.Time     // when the client's request arrived
	Timeout   time.Duration // of the query, from Arrived on
	Release   func()        // called when nothing of the query uses a service any more

	query    *Query
	deciders []*waitpolicy.Query // by Tree.ID

	mu            sync.Mutex
	pendingEvents []partEvent // not yet processed by the query
	hasEvents     chan struct{}
	isSent        bool   // gates were opened: outcomes are learned from then on
	isFinished    bool   // further events are not processed
	isAbandoned   []bool // by leaf
	wasCalled     []bool // by leaf
	isReserved    []bool // by leaf: its answer's memory is reserved until Done
	references    int    // users of the services
}

// Final is the outcome of a query.
type Final struct {
	Outcome    QueryOutcome
	Response   Response      // with EndedComplete and EndedPartial
	RetryAfter time.Duration // with EndedQuota
	RejectedBy string        // with EndedQuota: the service
}

func (r *Run) elapsed() time.Duration { return time.Since(r.Arrived) }

// Do runs the query until its wait policy decides to answer or to reject. No part is sent anything before each
// part's module has admitted the query or cannot run it; if a module rejects it for a quota, no part is sent
// anything. The query ends early with ctx, when the client leaves. The memory that the answer uses is reserved
// until Done, which has to be called.
func (r *Run) Do(ctx context.Context) Final {
	root := r.Gatherers[0]
	root.Counts.InFlight.Add(1)
	defer root.Counts.InFlight.Add(-1)
	leaves := len(r.Calls)
	r.hasEvents = make(chan struct{}, 1)
	r.isAbandoned = make([]bool, leaves)
	r.wasCalled = make([]bool, leaves)
	r.isReserved = make([]bool, leaves)
	r.references = 1
	ctx, abandonAll := context.WithCancel(ctx)
	defer abandonAll()
	final := r.admitAndWait(ctx)
	root.Counts.Queries[final.Outcome].Add(1)
	return final
}

// admitAndWait does what Do does, with all calls ending with ctx.
func (r *Run) admitAndWait(ctx context.Context) Final {
	a := newAdmission(r)
	defer a.cancelAll()
	a.callLastRejecting(ctx)
	a.callRemaining(ctx)
	a.await(ctx)
	if ctx.Err() != nil {
		return r.finish(EndedClientGone)
	}
	if a.rejectedBy != noLeaf {
		r.Gatherers[0].SetLastRejecting(a.rejectedBy)
		final := r.finish(EndedQuota)
		final.RetryAfter = a.endEvents[a.rejectedBy].answer.RetryAfter
		final.RejectedBy = r.Leaves[a.rejectedBy].Name
		return final
	}
	r.startDeciding()
	a.openGates()
	return r.awaitDecision(ctx)
}

// Done releases what the answer uses, after it was written.
func (r *Run) Done() {
	r.mu.Lock()
	r.isFinished = true
	for leaf := range r.isReserved {
		if !r.wasCalled[leaf] {
			r.Calls[leaf].Exchange.Release()
		}
		r.releaseReserved(leaf)
	}
	r.mu.Unlock()
	r.removeReference()
}

// releaseReserved releases the memory that is reserved for a leaf's answer. r.mu is locked.
func (r *Run) releaseReserved(leaf int) {
	if r.isReserved[leaf] {
		r.isReserved[leaf] = false
		r.Calls[leaf].Exchange.Release()
	}
}

// removeReference removes a user of the services, and calls Release after the last.
func (r *Run) removeReference() {
	r.mu.Lock()
	r.references--
	isLast := r.references == 0
	r.mu.Unlock()
	if isLast {
		r.Release()
	}
}
