package scattergather

import (
	"context"
	"sync"
	"time"

	"lockflow/internal/service"
	"lockflow/internal/waitpolicy"
)

const (
	// minAdmissionWait is how long all parts' modules may take at the least to say whether they take a query,
	// where its client has the time: see admits.
	minAdmissionWait = 250 * time.Millisecond
	// lateResultHalfLives is for how many half-lives a part is still listened to that was given up.
	lateResultHalfLives = 4
	// Ahead is how long before a query's end its parts' attempts are stopped; of a short one a part.
	maxAttemptStopMargin = 10 * time.Millisecond
	attemptStopDivisor   = 4
)

// Call is one service's part of a query.
type Call struct {
	Service  *service.Service
	Exchange *service.Exchange // admitted, or marked as having no room
	MaxBytes int               // bytes of its answer
}

// Run is one query over a tree. It is made anew for each.
type Run struct {
	Tree      *Tree
	Leaves    []Leaf
	Gatherers []*Gatherer // by the trees' IDs
	Calls     []Call      // by the leaves' places
	Class     string
	Load      float64 // share of what the parts bear that is in use
	Arrived   time.Time
	Timeout   time.Duration // from then on, within which the answer has to be given
	// Release is called once nothing of the query uses a service any more.
	Release func()

	query    *Query
	deciders []*waitpolicy.Query // by the trees' IDs

	mu          sync.Mutex
	results     []partEvent // that the query has not heard of
	hasResults  chan struct{}
	isSent      bool   // something may have been sent
	isFinished  bool   // nobody listens any more
	isAbandoned []bool // by leaf: it was given up
	wasCalled   []bool // by leaf
	isReserved  []bool // by leaf: what is booked for it is until Done
	references  int    // that hold the services
}

// partEvent is what the query hears of a part's service.
type partEvent struct {
	leaf        int
	isAdmission bool // by the module; the answer is still to come
	answer      service.Answer
	result      Result
}

// Final is what became of a query.
type Final struct {
	Outcome    int // one of those of Outcomes
	Response   Response
	RetryAfter time.Duration // with EndedQuota
	RejectedBy string        // whose quota refused, with EndedQuota
}

// AttemptStopMargin is how long before the end of a wait its parts' attempts are stopped.
func AttemptStopMargin(wait time.Duration) time.Duration {
	return min(maxAttemptStopMargin, wait/attemptStopDivisor)
}

func (r *Run) elapsed() time.Duration { return time.Since(r.Arrived) }

// Do asks all parts and waits for what is worth it. No part is sent anything before each part's module
// has taken the query or can't run it; where one's quota refuses, none is sent anything. What the answer
// holds is booked until Done, which has to be called. A client that leaves, by ctx, ends all.
func (r *Run) Do(ctx context.Context) Final {
	root := r.Gatherers[0]
	root.Counts.InFlight.Add(1)
	defer root.Counts.InFlight.Add(-1)
	n := len(r.Calls)
	r.hasResults, r.isAbandoned, r.isReserved, r.references = make(chan struct{}, 1), make([]bool, n), make([]bool, n), 1
	r.wasCalled = make([]bool, n)
	ctx, stop := context.WithCancel(ctx)
	defer stop() // gives up what is still out
	f := r.admitAndWait(ctx)
	root.Counts.Queries[f.Outcome].Add(1)
	return f
}

// admission is what the parts' modules say of a query before any of it is sent.
type admission struct {
	*Run
	contexts            []context.Context
	cancels             []context.CancelFunc
	decided, isAdmitted []bool
	undecided           int // not decided yet
	outcomes            []*partEvent
	rejectedBy          int // the place of the first whose quota refuses; -1 is none
}

func (r *Run) admitAndWait(ctx context.Context) Final {
	n := len(r.Calls)
	a := &admission{
		Run: r, contexts: make([]context.Context, n), cancels: make([]context.CancelFunc, n),
		decided: make([]bool, n), isAdmitted: make([]bool, n), undecided: n, outcomes: make([]*partEvent, n), rejectedBy: -1,
	}
	defer func() {
		for _, stop := range a.cancels {
			if stop != nil {
				stop()
			}
		}
	}()
	a.callSuspect(ctx)
	for place := range r.Calls {
		if a.contexts[place] == nil && a.rejectedBy < 0 {
			a.start(ctx, place)
		}
	}
	until, stop := context.WithTimeout(ctx, r.admissionTimeout())
	for a.undecided > 0 && a.rejectedBy < 0 && a.awaitEvents(until) {
	}
	stop()
	if ctx.Err() != nil {
		return r.finish(EndedClientGone)
	}
	if a.rejectedBy >= 0 {
		r.Gatherers[0].SetLastRejecting(a.rejectedBy)
		f := r.finish(EndedQuota)
		f.RetryAfter, f.RejectedBy = a.outcomes[a.rejectedBy].answer.RetryAfter, r.Leaves[a.rejectedBy].Name
		return f
	}
	r.openGates(a.outcomes, a.isAdmitted, a.cancels)
	return r.awaitDecision(ctx)
}

// start asks the module of a part.
func (a *admission) start(ctx context.Context, place int) {
	a.contexts[place], a.cancels[place] = context.WithCancel(ctx)
	a.mu.Lock()
	a.references++
	a.wasCalled[place] = true
	a.mu.Unlock()
	go a.call(a.contexts[place], place)
}

// callSuspect asks what refused last alone before the others: their quotas are charged by what they take.
func (a *admission) callSuspect(ctx context.Context) {
	first, ok := a.Gatherers[0].LastRejecting()
	if !ok || first >= len(a.Calls) {
		return
	}
	a.start(ctx, first)
	until, stop := context.WithTimeout(ctx, a.admissionTimeout()/2)
	defer stop()
	for a.undecided == len(a.Calls) && a.awaitEvents(until) {
	}
	if a.rejectedBy < 0 && a.decided[first] {
		a.Gatherers[0].SetLastRejecting(-1)
	}
}

// awaitEvents waits for news of the admission; false once there is no more to wait for.
func (a *admission) awaitEvents(until context.Context) bool {
	select {
	case <-a.hasResults:
	case <-until.Done():
		if a.hasNoResults() { // else it came first: on a process that had no time both are there at once
			return false
		}
	}
	for _, e := range a.takeResults() {
		if !a.decided[e.leaf] {
			a.decided[e.leaf] = true
			a.undecided--
		}
		if e.isAdmission {
			a.isAdmitted[e.leaf] = true
			continue
		}
		a.outcomes[e.leaf] = &e
		if isQuotaRejection(e.answer) && a.rejectedBy < 0 {
			a.rejectedBy = e.leaf
		}
	}
	return a.rejectedBy < 0
}

// openGates lets the calls that were admitted go, withdraws those that were not yet, and counts those that have ended.
func (r *Run) openGates(results []*partEvent, taken []bool, giveUp []context.CancelFunc) {
	r.startDeciding()
	now := r.elapsed()
	for place := range r.Calls {
		switch {
		case results[place] != nil: // it ended before it was sent
			r.query.LeafEnded(now, r.Leaves[place], place, results[place].result)
		case taken[place]:
			r.Calls[place].Exchange.OpenGate()
		default: // its module has not said in time: it is withdrawn
			giveUp[place]()
			r.query.LeafEnded(now, r.Leaves[place], place, Result{})
		}
	}
}

// startDeciding makes what the query is decided by.
func (r *Run) startDeciding() {
	r.mu.Lock()
	r.isSent = true
	r.mu.Unlock()
	now := r.elapsed()
	r.deciders = make([]*waitpolicy.Query, len(r.Gatherers))
	depth := make(map[*Tree]time.Duration)
	r.query = Begin(r.Tree, len(r.Leaves), now, func(t *Tree) Decider {
		for _, p := range t.Parts {
			if p.Inner != nil {
				depth[p.Inner] = depth[t] + 1
			}
		}
		q := new(waitpolicy.Query)
		r.Gatherers[t.ID].Model.Begin(q, r.Class, r.Load, now, max(r.Timeout-depth[t]*AttemptStopMargin(r.Timeout), 1))
		r.deciders[t.ID] = q
		return q
	})
}

// awaitDecision hears what comes until the query is decided.
func (r *Run) awaitDecision(ctx context.Context) Final {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := r.elapsed()
		s := r.query.Next(now)
		if s.Kind == waitpolicy.Wait && now >= r.Timeout { // whatever a decider says
			r.query.end(now, r.query.root, waitpolicy.Answer)
			s = r.query.Next(now)
		}
		r.observeEnded()
		if s.Kind != waitpolicy.Wait {
			return r.conclude(s.Kind, now)
		}
		timer.Reset(max(0, min(s.Until, r.Timeout)-now))
		select {
		case <-r.hasResults:
			now = r.elapsed()
			for _, e := range r.takeResults() {
				if !e.isAdmission {
					r.query.LeafEnded(now, r.Leaves[e.leaf], e.leaf, e.result)
				}
			}
		case <-timer.C:
		case <-ctx.Done():
			now = r.elapsed()
			r.query.end(now, r.query.root, waitpolicy.Refuse)
			r.observeEnded()
			r.endModels(now)
			return r.finish(EndedClientGone)
		}
	}
}

// endModels tells the models that the query is over, however: one that explored has its cost booked then.
func (r *Run) endModels(now time.Duration) {
	for id, q := range r.deciders {
		r.Gatherers[id].Model.Done(q, r.Class, now)
	}
}

// conclude ends a query that is decided.
func (r *Run) conclude(kind waitpolicy.Kind, now time.Duration) Final {
	r.endModels(now)
	root := r.query.root
	r.Gatherers[0].Counts.RecordMissing(r.Tree.Name, r.Gatherers[0].Settings.Parts, func(part int) bool { return root.shares[part] >= 1-shareTolerance })
	if kind != waitpolicy.Answer {
		return r.finish(EndedTooFew)
	}
	w := r.query.Answer()
	outcome := EndedComplete
	if w.Present < w.Total {
		outcome = EndedPartial
	}
	f := r.finish(outcome)
	f.Response = w
	return f
}

// finish has nobody listen any more. What has come meanwhile, and nobody will hear of, teaches.
func (r *Run) finish(outcome int) Final {
	r.mu.Lock()
	r.isFinished = true
	late := r.results
	r.results = nil
	for _, e := range late {
		r.releaseReserved(e.leaf)
	}
	r.mu.Unlock()
	for _, e := range late {
		if !e.isAdmission {
			r.observe(e.leaf, waitpolicy.Outcome{Duration: r.elapsed(), Failed: e.result.Present == 0})
		}
	}
	return Final{Outcome: outcome}
}

// observeEnded tells the models of what has ended since. What was given up and is still out is told of by
// its service later.
func (r *Run) observeEnded() {
	for _, e := range r.query.Ended() {
		p := e.Gatherer.Parts[e.Part]
		if e.IsAbandoned && p.Inner == nil {
			r.mu.Lock()
			r.isAbandoned[p.Leaf] = true
			r.mu.Unlock()
			continue
		}
		r.Gatherers[e.Gatherer.ID].observe(r.Class, e.Part, r.Load, waitpolicy.Outcome{Duration: e.Duration, Censored: e.IsAbandoned, Failed: !e.IsAbandoned && !e.HasContent})
	}
}

// observe tells a model of a service that was given up, once.
func (r *Run) observe(place int, o waitpolicy.Outcome) {
	r.mu.Lock()
	due := r.isAbandoned[place] && r.isSent
	r.isAbandoned[place] = false
	r.mu.Unlock()
	if l := r.Leaves[place]; due {
		r.Gatherers[l.Gatherer.ID].observe(r.Class, l.Part, r.Load, o)
	}
}

// admissionTimeout is how long all parts' modules may take to say whether they take the query. It bounds what a
// ceiling costs whose counter does not answer: half of what the query waits for its parts by itself, so
// that one without a deadline of its own loses no part to a process that is short of time.
func (r *Run) admissionTimeout() time.Duration {
	s, maxWait := r.Gatherers[0].Settings, r.Timeout/2
	switch s.Mode {
	case waitpolicy.None:
		return maxWait
	case waitpolicy.Fixed:
		return min(maxWait, max(minAdmissionWait, s.Fixed/2))
	}
	return min(maxWait, max(minAdmissionWait, s.HalfLife/2))
}

// hasNoResults tells whether nothing has come that was not taken.
func (r *Run) hasNoResults() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.results) == 0
}

// takeResults gives what has come.
func (r *Run) takeResults() []partEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.results
	r.results = nil
	return all
}

// deliver has the query hear of a part; false where nobody listens any more.
func (r *Run) deliver(e partEvent) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isFinished {
		return false
	}
	r.results = append(r.results, e)
	select {
	case r.hasResults <- struct{}{}:
	default:
	}
	return true
}

// call has one service take its part, and waits for its answer.
func (r *Run) call(ctx context.Context, place int) {
	c := &r.Calls[place]
	halfLife := r.Gatherers[r.Leaves[place].Gatherer.ID].Settings.HalfLife
	c.Exchange.Gate = &service.Gate{
		Linger: lateResultHalfLives * halfLife,
		OnDecision: func(taken bool) {
			if taken {
				r.deliver(partEvent{leaf: place, isAdmission: true})
			}
		},
		OnLateEnd: func(end service.LateEnd, took time.Duration) {
			r.observe(place, waitpolicy.Outcome{Duration: took, Censored: end == service.LateUnknown, Failed: end == service.LateFailed})
		},
	}
	a, ok := c.Service.Do(ctx, c.Exchange)
	var result Result
	if ok {
		result, _ = c.readResult(ctx, a, r.Leaves[place].Gatherer.Merge)
		if a.Kind != service.Served {
			a.Body = nil
		}
	}
	r.mu.Lock()
	r.isReserved[place] = true
	if result.Present == 0 || r.isFinished {
		r.releaseReserved(place)
	}
	r.mu.Unlock()
	if ok && !r.deliver(partEvent{leaf: place, answer: a, result: result}) {
		r.observe(place, waitpolicy.Outcome{Duration: r.elapsed(), Censored: ctx.Err() != nil && result.Present == 0, Failed: result.Present == 0})
	}
	r.removeReference()
}

// releaseReserved gives back what is booked for a part; r.mu is held.
func (r *Run) releaseReserved(place int) {
	if r.isReserved[place] {
		r.isReserved[place] = false
		r.Calls[place].Exchange.Release()
	}
}

// removeReference counts a user of the services less.
func (r *Run) removeReference() {
	r.mu.Lock()
	r.references--
	last := r.references == 0
	r.mu.Unlock()
	if last {
		r.Release()
	}
}

// Done lets go of what the answer holds, once it is written. It is called once after Do.
func (r *Run) Done() {
	r.mu.Lock()
	r.isFinished = true
	for place := range r.isReserved {
		if !r.wasCalled[place] {
			r.Calls[place].Exchange.Release()
		}
		r.releaseReserved(place)
	}
	r.mu.Unlock()
	r.removeReference()
}
