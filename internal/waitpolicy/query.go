package waitpolicy

import "time"

// Kind is what a query has to do.
type Kind uint8

// The kinds of step.
const (
	Wait   Kind = iota // until a part comes, or Step.Until
	Answer             // with what has come; what is missing is cut
	Refuse             // too little has come, and no more can in time
)

// Reason says what a step follows from; for logs and counts.
type Reason uint8

// The reasons of a step.
const (
	Complete      Reason = iota // nothing is out any more
	ExpectedValue               // by expected worth
	Unknown                     // too little is known of a part that is out: it is waited for
	Exploring                   // waits longer than is worth it, to learn
	BelowMinimum                // less has come than an answer needs
	Time                        // the client's time, or the fixed one
)

var reasonNames = [...]string{"whole", "worth", "unknown", "exploring", "least", "time"}

func (w Reason) String() string { return reasonNames[w] }

// Step is what is to be done now.
type Step struct {
	Kind   Kind
	Reason Reason
	Until  time.Duration // with Wait: when to ask again, if nothing comes before
	Share  float64       // of the parts, by weight, that has come
}

// Query is one query, from its begin to its answer. It is not safe for concurrent use. A used one can
// begin again, which allocates nothing then.
type Query struct {
	settings         *Settings
	forecast         *Forecast
	startedAt        time.Duration
	latestAnswer     time.Duration // by which it has answered
	fixedAnswer      time.Duration // by which it answers with what has come, if that is enough
	totalWeight      float64       // weight of all parts
	arrivedShare     float64       // share that has come
	outstandingCount int           // parts that are out
	parts            []partState
	// The common factor's evidence: sum and count of the scores of what has come or failed.
	scoreSum   float64
	scoreCount int

	plannedAnswer, replanAt time.Duration // what was planned last, and until when it holds whatever comes

	isExploring   bool
	valueAnswerAt time.Duration // when it would have answered without exploring; 0 is not yet
	endedAt       time.Duration
	isDone        bool
	isReported    bool
	outstanding   []outstandingPart // scratch
}

type partState struct {
	weight       float64 // share of the whole
	arrivedShare float64 // share of it that has come
	duration     time.Duration
	status       uint8
}

const (
	partOutstanding = iota
	partAnswered
	partFailed
)

// unknownHalfLives half-lives are waited for a part of which too little is known.
const unknownHalfLives = 3

// maxHalfLives half-lives are waited in any mode but None: what comes then is worth next to nothing.
const maxHalfLives = 8

// Begin begins a query at a time, with what is known of the parts; it has to be answered by a
// deadline, 0 is none.
func Begin(s *Settings, f *Forecast, now, deadline time.Duration) *Query {
	q := new(Query)
	q.Begin(s, f, now, deadline)
	return q
}

// Begin begins it anew.
func (q *Query) Begin(s *Settings, f *Forecast, now, deadline time.Duration) {
	parts, missing := q.parts[:0], q.outstanding[:0]
	*q = Query{settings: s, forecast: f, startedAt: now, outstandingCount: len(s.Parts)}
	for i := range s.Parts {
		w := s.Parts[i].weight()
		q.totalWeight += w
		parts = append(parts, partState{weight: w})
	}
	for i := range parts {
		parts[i].weight /= q.totalWeight
	}
	if cap(missing) < len(parts) {
		missing = make([]outstandingPart, 0, len(parts))
	}
	q.parts, q.outstanding = parts, missing
	q.latestAnswer = now + edges[Buckets-2]
	if s.Mode != None {
		q.latestAnswer = min(q.latestAnswer, now+maxHalfLives*s.halfLife())
	}
	q.fixedAnswer = q.latestAnswer
	if s.Mode == Fixed {
		q.fixedAnswer = now + s.Fixed
		q.latestAnswer = max(q.latestAnswer, q.fixedAnswer)
	}
	if deadline > 0 {
		q.latestAnswer = min(q.latestAnswer, max(now, deadline-s.margin()))
		q.fixedAnswer = min(q.fixedAnswer, q.latestAnswer)
	}
}

// LatestAnswer is the latest time of its answer.
func (q *Query) LatestAnswer() time.Duration { return q.latestAnswer }

// InnerDeadline is the deadline that a part is told which is a gatherer itself: early enough that what it
// answers at the last moment is still taken.
func (q *Query) InnerDeadline() time.Duration {
	return max(q.startedAt, q.latestAnswer-q.settings.margin())
}

// PartCompleted tells that a part has answered, or that it has ended without an answer.
func (q *Query) PartCompleted(now time.Duration, part int, holds bool) {
	got := 0.0
	if holds {
		got = 1
	}
	q.PartEnded(now, part, got)
}

// PartEnded tells that a part has answered with a share of what it stands for, as one does that is a
// gatherer itself. What comes twice, after the answer, or from no part is not taken.
func (q *Query) PartEnded(now time.Duration, part int, share float64) {
	if part < 0 || part >= len(q.parts) || q.parts[part].status != partOutstanding || q.isDone {
		return
	}
	p := &q.parts[part]
	p.duration, p.status = now-q.startedAt, partFailed
	if share > 0 {
		p.status, p.arrivedShare = partAnswered, min(1, share)
		q.arrivedShare += p.weight * p.arrivedShare
	}
	q.outstandingCount--
	if q.forecast != nil && part < len(q.forecast.parts) {
		q.scoreSum += q.forecast.parts[part].scoreAt(p.duration)
		q.scoreCount++
	}
}

// ArrivedShare is how much has come, by weight.
func (q *Query) ArrivedShare() float64 { return q.arrivedShare }

// Missing adds to a list the parts without an answer.
func (q *Query) Missing(to []int) []int {
	for i := range q.parts {
		if q.parts[i].status != partAnswered {
			to = append(to, i)
		}
	}
	return to
}

// Outstanding adds to a list the parts that have neither come nor failed: those that an answer cuts.
func (q *Query) Outstanding(to []int) []int {
	for i := range q.parts {
		if q.parts[i].status == partOutstanding {
			to = append(to, i)
		}
	}
	return to
}

// replanAlwaysParts that are out are planned for anew with each one that comes; more of them now and then.
const replanAlwaysParts = 8

const shareTolerance = 1e-9 // shares are sums

func (q *Query) isEnough(share float64) bool {
	return share > shareTolerance && share >= q.settings.MinShare-shareTolerance
}

// Next tells what to do at a time. Once it has told Answer or Refuse the query is over, and each
// later call tells the same.
func (q *Query) Next(now time.Duration) Step {
	step := q.next(now)
	step.Share = q.arrivedShare
	if step.Kind != Wait && !q.isDone {
		q.isDone, q.endedAt = true, now
	}
	return step
}

func (q *Query) next(now time.Duration) Step {
	could := q.arrivedShare
	for i := range q.parts {
		if q.parts[i].status == partOutstanding {
			could += q.parts[i].weight
		}
	}
	switch enough := q.isEnough(q.arrivedShare); {
	case q.isDone && enough:
		return Step{Kind: Answer}
	case q.outstandingCount == 0 && enough:
		return Step{Kind: Answer, Reason: Complete}
	case q.isDone || !q.isEnough(could):
		return Step{Kind: Refuse, Reason: BelowMinimum}
	case now >= q.latestAnswer && enough:
		return Step{Kind: Answer, Reason: Time}
	case now >= q.latestAnswer:
		return Step{Kind: Refuse, Reason: Time}
	case !enough:
		return Step{Kind: Wait, Reason: BelowMinimum, Until: q.latestAnswer}
	case q.settings.Mode == Fixed && now >= q.fixedAnswer:
		return Step{Kind: Answer, Reason: Time}
	case q.settings.Mode == Fixed:
		return Step{Kind: Wait, Reason: Time, Until: q.fixedAnswer}
	case q.settings.Mode == None:
		return Step{Kind: Wait, Reason: Time, Until: q.latestAnswer}
	}
	if q.isExploring && q.valueAnswerAt > 0 {
		return q.exploreStep(now)
	}
	until, known := q.plannedAnswer, true
	if q.outstandingCount <= replanAlwaysParts || q.plannedAnswer == 0 || now >= min(q.plannedAnswer, q.replanAt) {
		until, known = q.plan(now)
		q.plannedAnswer, q.replanAt = until, now+q.settings.halfLife()/64
	}
	switch {
	case !known && now < q.startedAt+unknownHalfLives*q.settings.halfLife():
		return Step{Kind: Wait, Reason: Unknown, Until: min(q.latestAnswer, q.startedAt+unknownHalfLives*q.settings.halfLife())}
	case !known:
		return Step{Kind: Answer, Reason: Unknown}
	case until > now:
		return Step{Kind: Wait, Reason: ExpectedValue, Until: until}
	case q.isExploring:
		q.valueAnswerAt = max(now, 1)
		return q.exploreStep(now)
	}
	return Step{Kind: Answer, Reason: ExpectedValue}
}

// exploreStep waits on beyond the end by worth, for a time after which an answer would not be worth
// waiting for whatever is learned.
func (q *Query) exploreStep(now time.Duration) Step {
	if until := min(q.latestAnswer, q.valueAnswerAt+exploreHalfLives*q.settings.halfLife()); now < until {
		return Step{Kind: Wait, Reason: Exploring, Until: until}
	}
	return Step{Kind: Answer, Reason: Exploring}
}
