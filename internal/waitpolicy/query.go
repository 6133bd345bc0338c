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

// Why says what a step follows from; for logs and counts.
type Why uint8

// The reasons of a step.
const (
	Complete      Why = iota // nothing is out any more
	ExpectedValue            // by expected worth
	Unknown                  // too little is known of a part that is out: it is waited for
	Exploring                // waits longer than is worth it, to learn
	BelowMinimum             // less has come than an answer needs
	Time                     // the client's time, or the fixed one
)

var whys = [...]string{"whole", "worth", "unknown", "exploring", "least", "time"}

func (w Why) String() string { return whys[w] }

// Step is what is to be done now.
type Step struct {
	Kind  Kind
	Why   Why
	Until time.Duration // with Wait: when to ask again, if nothing comes before
	Share float64       // of the parts, by weight, that has come
}

// Query is one query, from its begin to its answer. It is not safe for concurrent use. A used one can
// begin again, which allocates nothing then.
type Query struct {
	s            *Settings
	f            *Forecast
	begin        time.Duration
	last         time.Duration // by which it has answered
	fixed        time.Duration // by which it answers with what has come, if that is enough
	total        float64       // weight of all parts
	arrivedShare float64       // share that has come
	open         int           // parts that are out
	parts        []partState
	// The common factor's evidence: sum and count of the scores of what has come or failed.
	scores float64
	scored int

	planned, replan time.Duration // what was planned last, and until when it holds whatever comes

	explore  bool
	wouldEnd time.Duration // when it would have answered without exploring; 0 is not yet
	ended    time.Duration
	done     bool
	settled  bool
	missing  []open // scratch
}

type partState struct {
	weight float64 // share of the whole
	got    float64 // share of it that has come
	took   time.Duration
	is     uint8
}

const (
	isOut = iota
	hasCome
	hasFailed
)

// unknownFor half-lives are waited for a part of which too little is known.
const unknownFor = 3

// farthest half-lives are waited in any mode but None: what comes then is worth next to nothing.
const farthest = 8

// Begin begins a query at a time, with what is known of the parts; it has to be answered by a
// deadline, 0 is none.
func Begin(s *Settings, f *Forecast, now, deadline time.Duration) *Query {
	q := new(Query)
	q.Begin(s, f, now, deadline)
	return q
}

// Begin begins it anew.
func (q *Query) Begin(s *Settings, f *Forecast, now, deadline time.Duration) {
	parts, missing := q.parts[:0], q.missing[:0]
	*q = Query{s: s, f: f, begin: now, open: len(s.Parts)}
	for i := range s.Parts {
		w := s.Parts[i].weight()
		q.total += w
		parts = append(parts, partState{weight: w})
	}
	for i := range parts {
		parts[i].weight /= q.total
	}
	if cap(missing) < len(parts) {
		missing = make([]open, 0, len(parts))
	}
	q.parts, q.missing = parts, missing
	q.last = now + edges[Buckets-2]
	if s.Mode != None {
		q.last = min(q.last, now+farthest*s.halfLife())
	}
	q.fixed = q.last
	if s.Mode == Fixed {
		q.fixed = now + s.Fixed
		q.last = max(q.last, q.fixed)
	}
	if deadline > 0 {
		q.last = min(q.last, max(now, deadline-s.margin()))
		q.fixed = min(q.fixed, q.last)
	}
}

// Last is the latest time of its answer.
func (q *Query) Last() time.Duration { return q.last }

// Below is the deadline that a part is told which is a gatherer itself: early enough that what it
// answers at the last moment is still taken.
func (q *Query) Below() time.Duration { return max(q.begin, q.last-q.s.margin()) }

// Came tells that a part has answered, or that it has ended without an answer.
func (q *Query) Came(now time.Duration, part int, holds bool) {
	got := 0.0
	if holds {
		got = 1
	}
	q.CameShare(now, part, got)
}

// CameShare tells that a part has answered with a share of what it stands for, as one does that is a
// gatherer itself. What comes twice, after the answer, or from no part is not taken.
func (q *Query) CameShare(now time.Duration, part int, share float64) {
	if part < 0 || part >= len(q.parts) || q.parts[part].is != isOut || q.done {
		return
	}
	p := &q.parts[part]
	p.took, p.is = now-q.begin, hasFailed
	if share > 0 {
		p.is, p.got = hasCome, min(1, share)
		q.arrivedShare += p.weight * p.got
	}
	q.open--
	if q.f != nil && part < len(q.f.parts) {
		q.scores += q.f.parts[part].scoreAt(p.took)
		q.scored++
	}
}

// Share is how much has come, by weight.
func (q *Query) Share() float64 { return q.arrivedShare }

// Missing adds to a list the parts without an answer.
func (q *Query) Missing(to []int) []int {
	for i := range q.parts {
		if q.parts[i].is != hasCome {
			to = append(to, i)
		}
	}
	return to
}

// Out adds to a list the parts that have neither come nor failed: those that an answer cuts.
func (q *Query) Out(to []int) []int {
	for i := range q.parts {
		if q.parts[i].is == isOut {
			to = append(to, i)
		}
	}
	return to
}

// fewParts that are out are planned for anew with each one that comes; more of them now and then.
const fewParts = 8

const hair = 1e-9 // shares are sums

func (q *Query) enough(share float64) bool { return share > hair && share >= q.s.MinShare-hair }

// Next tells what to do at a time. Once it has told Answer or Refuse the query is over, and each
// later call tells the same.
func (q *Query) Next(now time.Duration) Step {
	step := q.next(now)
	step.Share = q.arrivedShare
	if step.Kind != Wait && !q.done {
		q.done, q.ended = true, now
	}
	return step
}

func (q *Query) next(now time.Duration) Step {
	could := q.arrivedShare
	for i := range q.parts {
		if q.parts[i].is == isOut {
			could += q.parts[i].weight
		}
	}
	switch enough := q.enough(q.arrivedShare); {
	case q.done && enough:
		return Step{Kind: Answer}
	case q.open == 0 && enough:
		return Step{Kind: Answer, Why: Complete}
	case q.done || !q.enough(could):
		return Step{Kind: Refuse, Why: BelowMinimum}
	case now >= q.last && enough:
		return Step{Kind: Answer, Why: Time}
	case now >= q.last:
		return Step{Kind: Refuse, Why: Time}
	case !enough:
		return Step{Kind: Wait, Why: BelowMinimum, Until: q.last}
	case q.s.Mode == Fixed && now >= q.fixed:
		return Step{Kind: Answer, Why: Time}
	case q.s.Mode == Fixed:
		return Step{Kind: Wait, Why: Time, Until: q.fixed}
	case q.s.Mode == None:
		return Step{Kind: Wait, Why: Time, Until: q.last}
	}
	if q.explore && q.wouldEnd > 0 {
		return q.exploring(now)
	}
	until, known := q.planned, true
	if q.open <= fewParts || q.planned == 0 || now >= min(q.planned, q.replan) {
		until, known = q.plan(now)
		q.planned, q.replan = until, now+q.s.halfLife()/64
	}
	switch {
	case !known && now < q.begin+unknownFor*q.s.halfLife():
		return Step{Kind: Wait, Why: Unknown, Until: min(q.last, q.begin+unknownFor*q.s.halfLife())}
	case !known:
		return Step{Kind: Answer, Why: Unknown}
	case until > now:
		return Step{Kind: Wait, Why: ExpectedValue, Until: until}
	case q.explore:
		q.wouldEnd = max(now, 1)
		return q.exploring(now)
	}
	return Step{Kind: Answer, Why: ExpectedValue}
}

// exploring waits on beyond the end by worth, for a time after which an answer would not be worth
// waiting for whatever is learned.
func (q *Query) exploring(now time.Duration) Step {
	if until := min(q.last, q.wouldEnd+exploreFor*q.s.halfLife()); now < until {
		return Step{Kind: Wait, Why: Exploring, Until: until}
	}
	return Step{Kind: Answer, Why: Exploring}
}
