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
	// lingers is for how many half-lives a part is still listened to that was given up.
	lingers = 4
	// Ahead is how long before a query's end its parts' attempts are stopped; of a short one a part.
	ahead      = 10 * time.Millisecond
	aheadShare = 4
)

// Call is one service's part of a query.
type Call struct {
	Service  *service.Service
	Exchange *service.Exchange // admitted, or marked as having no room
	MaxBytes int               // bytes of its answer
}

// Run is one query over a tree. It is made anew for each.
type Run struct {
	Tree    *Tree
	Leaves  []Leaf
	By      []*Gatherer // by the trees' IDs
	Calls   []Call      // by the leaves' places
	Class   string
	Load    float64 // share of what the parts bear that is in use
	Arrived time.Time
	Wait    time.Duration // from then on, within which the answer has to be given
	// Release is called once nothing of the query uses a service any more.
	Release func()

	query    *Query
	deciders []*waitpolicy.Query // by the trees' IDs

	mu         sync.Mutex
	come       []ended // that the query has not heard of
	arrived    chan struct{}
	begun      bool   // something may have been sent
	over       bool   // nobody listens any more
	cut        []bool // by leaf: it was given up
	wasCalled  []bool // by leaf
	isReserved []bool // by leaf: what is booked for it is until Done
	users      int    // that hold the services
}

// ended is what the query hears of a part's service.
type ended struct {
	place  int
	taken  bool // by the module; the answer is still to come
	answer service.Answer
	result Result
}

// Final is what became of a query.
type Final struct {
	Outcome    int // one of those of Outcomes
	Response   Response
	RetryAfter time.Duration // with EndedQuota
	Part       string        // whose quota refused, with EndedQuota
}

// Ahead is how long before the end of a wait its parts' attempts are stopped.
func Ahead(wait time.Duration) time.Duration { return min(ahead, wait/aheadShare) }

func (r *Run) now() time.Duration { return time.Since(r.Arrived) }

// Do asks all parts and waits for what is worth it. No part is sent anything before each part's module
// has taken the query or can't run it; where one's quota refuses, none is sent anything. What the answer
// holds is booked until Done, which has to be called. A client that leaves, by ctx, ends all.
func (r *Run) Do(ctx context.Context) Final {
	root := r.By[0]
	root.Counts.Open.Add(1)
	defer root.Counts.Open.Add(-1)
	n := len(r.Calls)
	r.arrived, r.cut, r.isReserved, r.users = make(chan struct{}, 1), make([]bool, n), make([]bool, n), 1
	r.wasCalled = make([]bool, n)
	ctx, stop := context.WithCancel(ctx)
	defer stop() // gives up what is still out
	f := r.do(ctx)
	root.Counts.Queries[f.Outcome].Add(1)
	return f
}

// admission is what the parts' modules say of a query before any of it is sent.
type admission struct {
	*Run
	each           []context.Context
	giveUp         []context.CancelFunc
	decided, taken []bool
	left           int // not decided yet
	results        []*ended
	refused        int // the place of the first whose quota refuses; -1 is none
}

func (r *Run) do(ctx context.Context) Final {
	n := len(r.Calls)
	a := &admission{
		Run: r, each: make([]context.Context, n), giveUp: make([]context.CancelFunc, n),
		decided: make([]bool, n), taken: make([]bool, n), left: n, results: make([]*ended, n), refused: -1,
	}
	defer func() {
		for _, stop := range a.giveUp {
			if stop != nil {
				stop()
			}
		}
	}()
	a.callSuspect(ctx)
	for place := range r.Calls {
		if a.each[place] == nil && a.refused < 0 {
			a.start(ctx, place)
		}
	}
	until, stop := context.WithTimeout(ctx, r.admits())
	for a.left > 0 && a.refused < 0 && a.hear(until) {
	}
	stop()
	if ctx.Err() != nil {
		return r.end(EndedLeft)
	}
	if a.refused >= 0 {
		r.By[0].Suspects(a.refused)
		f := r.end(EndedQuota)
		f.RetryAfter, f.Part = a.results[a.refused].answer.RetryAfter, r.Leaves[a.refused].Name
		return f
	}
	r.send(a.results, a.taken, a.giveUp)
	return r.wait(ctx)
}

// start asks the module of a part.
func (a *admission) start(ctx context.Context, place int) {
	a.each[place], a.giveUp[place] = context.WithCancel(ctx)
	a.mu.Lock()
	a.users++
	a.wasCalled[place] = true
	a.mu.Unlock()
	go a.call(a.each[place], place)
}

// callSuspect asks what refused last alone before the others: their quotas are charged by what they take.
func (a *admission) callSuspect(ctx context.Context) {
	first, ok := a.By[0].Suspect()
	if !ok || first >= len(a.Calls) {
		return
	}
	a.start(ctx, first)
	until, stop := context.WithTimeout(ctx, a.admits()/2)
	defer stop()
	for a.left == len(a.Calls) && a.hear(until) {
	}
	if a.refused < 0 && a.decided[first] {
		a.By[0].Suspects(-1)
	}
}

// hear waits for news of the admission; false once there is no more to wait for.
func (a *admission) hear(until context.Context) bool {
	select {
	case <-a.arrived:
	case <-until.Done():
		if a.quiet() { // else it came first: on a process that had no time both are there at once
			return false
		}
	}
	for _, e := range a.take() {
		if !a.decided[e.place] {
			a.decided[e.place] = true
			a.left--
		}
		if e.taken {
			a.taken[e.place] = true
			continue
		}
		a.results[e.place] = &e
		if quota(e.answer) && a.refused < 0 {
			a.refused = e.place
		}
	}
	return a.refused < 0
}

// send lets the calls that were admitted go, withdraws those that were not yet, and counts those that have ended.
func (r *Run) send(results []*ended, taken []bool, giveUp []context.CancelFunc) {
	r.begin()
	now := r.now()
	for place := range r.Calls {
		switch {
		case results[place] != nil: // it ended before it was sent
			r.query.Came(now, r.Leaves[place], place, results[place].result)
		case taken[place]:
			r.Calls[place].Exchange.OpenGate()
		default: // its module has not said in time: it is withdrawn
			giveUp[place]()
			r.query.Came(now, r.Leaves[place], place, Result{})
		}
	}
}

// begin makes what the query is decided by.
func (r *Run) begin() {
	r.mu.Lock()
	r.begun = true
	r.mu.Unlock()
	now := r.now()
	r.deciders = make([]*waitpolicy.Query, len(r.By))
	depth := make(map[*Tree]time.Duration)
	r.query = Begin(r.Tree, len(r.Leaves), now, func(t *Tree) Decider {
		for _, p := range t.Parts {
			if p.Inner != nil {
				depth[p.Inner] = depth[t] + 1
			}
		}
		q := new(waitpolicy.Query)
		r.By[t.ID].Model.Begin(q, r.Class, r.Load, now, max(r.Wait-depth[t]*Ahead(r.Wait), 1))
		r.deciders[t.ID] = q
		return q
	})
}

// wait hears what comes until the query is decided.
func (r *Run) wait(ctx context.Context) Final {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := r.now()
		s := r.query.Next(now)
		if s.Kind == waitpolicy.Wait && now >= r.Wait { // whatever a decider says
			r.query.end(now, r.query.root, waitpolicy.Answer)
			s = r.query.Next(now)
		}
		r.learn()
		if s.Kind != waitpolicy.Wait {
			return r.settle(s.Kind, now)
		}
		timer.Reset(max(0, min(s.Until, r.Wait)-now))
		select {
		case <-r.arrived:
			now = r.now()
			for _, e := range r.take() {
				if !e.taken {
					r.query.Came(now, r.Leaves[e.place], e.place, e.result)
				}
			}
		case <-timer.C:
		case <-ctx.Done():
			now = r.now()
			r.query.end(now, r.query.root, waitpolicy.Refuse)
			r.learn()
			r.settled(now)
			return r.end(EndedLeft)
		}
	}
}

// settled tells the models that the query is over, however: one that explored has its cost booked then.
func (r *Run) settled(now time.Duration) {
	for id, q := range r.deciders {
		r.By[id].Model.Done(q, r.Class, now)
	}
}

// settle ends a query that is decided.
func (r *Run) settle(kind waitpolicy.Kind, now time.Duration) Final {
	r.settled(now)
	root := r.query.root
	r.By[0].Counts.Missing(r.Tree.Name, r.By[0].Settings.Parts, func(part int) bool { return root.share[part] >= 1-shareEpsilon })
	if kind != waitpolicy.Answer {
		return r.end(EndedTooFew)
	}
	w := r.query.Answer()
	outcome := EndedComplete
	if w.Present < w.Of {
		outcome = EndedPartial
	}
	f := r.end(outcome)
	f.Response = w
	return f
}

// end has nobody listen any more. What has come meanwhile, and nobody will hear of, teaches.
func (r *Run) end(outcome int) Final {
	r.mu.Lock()
	r.over = true
	late := r.come
	r.come = nil
	for _, e := range late {
		r.free(e.place)
	}
	r.mu.Unlock()
	for _, e := range late {
		if !e.taken {
			r.observe(e.place, waitpolicy.Outcome{Took: r.now(), Failed: e.result.Present == 0})
		}
	}
	return Final{Outcome: outcome}
}

// learn tells the models of what has ended since. What was given up and is still out is told of by
// its service later.
func (r *Run) learn() {
	for _, e := range r.query.Ended() {
		p := e.By.Parts[e.Part]
		if e.Cut && p.Inner == nil {
			r.mu.Lock()
			r.cut[p.Leaf] = true
			r.mu.Unlock()
			continue
		}
		r.By[e.By.ID].observe(r.Class, e.Part, r.Load, waitpolicy.Outcome{Took: e.Took, Censored: e.Cut, Failed: !e.Cut && !e.Holds})
	}
}

// observe tells a model of a service that was given up, once.
func (r *Run) observe(place int, o waitpolicy.Outcome) {
	r.mu.Lock()
	due := r.cut[place] && r.begun
	r.cut[place] = false
	r.mu.Unlock()
	if l := r.Leaves[place]; due {
		r.By[l.By.ID].observe(r.Class, l.Part, r.Load, o)
	}
}

// admits is how long all parts' modules may take to say whether they take the query. It bounds what a
// ceiling costs whose counter does not answer: half of what the query waits for its parts by itself, so
// that one without a deadline of its own loses no part to a process that is short of time.
func (r *Run) admits() time.Duration {
	s, maxWait := r.By[0].Settings, r.Wait/2
	switch s.Mode {
	case waitpolicy.None:
		return maxWait
	case waitpolicy.Fixed:
		return min(maxWait, max(minAdmissionWait, s.Fixed/2))
	}
	return min(maxWait, max(minAdmissionWait, s.HalfLife/2))
}

// quiet tells whether nothing has come that was not taken.
func (r *Run) quiet() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.come) == 0
}

// take gives what has come.
func (r *Run) take() []ended {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.come
	r.come = nil
	return all
}

// tell has the query hear of a part; false where nobody listens any more.
func (r *Run) tell(e ended) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		return false
	}
	r.come = append(r.come, e)
	select {
	case r.arrived <- struct{}{}:
	default:
	}
	return true
}

// call has one service take its part, and waits for its answer.
func (r *Run) call(ctx context.Context, place int) {
	c := &r.Calls[place]
	halfLife := r.By[r.Leaves[place].By.ID].Settings.HalfLife
	c.Exchange.Gate = &service.Gate{
		Linger: lingers * halfLife,
		OnDecision: func(taken bool) {
			if taken {
				r.tell(ended{place: place, taken: true})
			}
		},
		OnLateEnd: func(end service.LateEnd, took time.Duration) {
			r.observe(place, waitpolicy.Outcome{Took: took, Censored: end == service.LateUnknown, Failed: end == service.LateFailed})
		},
	}
	a, ok := c.Service.Do(ctx, c.Exchange)
	var result Result
	if ok {
		result, _ = c.read(ctx, a, r.Leaves[place].By.Merge)
		if a.Kind != service.Served {
			a.Body = nil
		}
	}
	r.mu.Lock()
	r.isReserved[place] = true
	if result.Present == 0 || r.over {
		r.free(place)
	}
	r.mu.Unlock()
	if ok && !r.tell(ended{place: place, answer: a, result: result}) {
		r.observe(place, waitpolicy.Outcome{Took: r.now(), Censored: ctx.Err() != nil && result.Present == 0, Failed: result.Present == 0})
	}
	r.leave()
}

// free gives back what is booked for a part; r.mu is held.
func (r *Run) free(place int) {
	if r.isReserved[place] {
		r.isReserved[place] = false
		r.Calls[place].Exchange.Release()
	}
}

// leave counts a user of the services less.
func (r *Run) leave() {
	r.mu.Lock()
	r.users--
	last := r.users == 0
	r.mu.Unlock()
	if last {
		r.Release()
	}
}

// Done lets go of what the answer holds, once it is written. It is called once after Do.
func (r *Run) Done() {
	r.mu.Lock()
	r.over = true
	for place := range r.isReserved {
		if !r.wasCalled[place] {
			r.Calls[place].Exchange.Release()
		}
		r.free(place)
	}
	r.mu.Unlock()
	r.leave()
}
