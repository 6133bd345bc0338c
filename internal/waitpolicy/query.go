package waitpolicy

import "time"

const (
	// unknownHalfLives is how long a query waits, in half-lives of an answer's value, for a part with too few
	// observations.
	unknownHalfLives = 3
	// maxHalfLives is the maximum time that a query waits, in half-lives, in any mode but None: a later answer has
	// almost no value.
	maxHalfLives = 8
	// replanAlwaysParts is the number of outstanding parts up to which each call of Next computes a new plan.
	replanAlwaysParts = 8
	// replanDivisor divides the half-life; the result is the time after which a plan is computed again.
	replanDivisor = 64
	// shareTolerance is the rounding error that is tolerated in sums of shares.
	shareTolerance = 1e-9
)

// Kind is the kind of a Step.
type Kind uint8

// The kinds of steps.
const (
	Wait   Kind = iota // until a part ends, or until Step.Until
	Answer             // with the parts that have arrived; outstanding parts are abandoned
	Refuse             // too little has arrived, and enough cannot arrive in time
)

// Reason is the reason for which a step was chosen.
type Reason uint8

// The reasons of steps.
const (
	Complete      Reason = iota // no part is outstanding
	ExpectedValue               // comparison of the expected values of waiting and of answering
	Unknown                     // an outstanding part has too few observations
	Exploring                   // waits longer than the optimal time, to learn
	BelowMinimum                // less has arrived than MinShare
	Time                        // the latest time of the answer, or the fixed waiting time
)

var reasonNames = [...]string{
	Complete:      "whole",
	ExpectedValue: "worth",
	Unknown:       "unknown",
	Exploring:     "exploring",
	BelowMinimum:  "least",
	Time:          "time",
}

// String returns the name of the reason in logs and counts.
func (r Reason) String() string { return reasonNames[r] }

// Step is the next action of a query.
type Step struct {
	Kind   Kind
	Reason Reason
	Until  time.Duration // with Wait: when to call Next again, unless a part ends earlier
	Share  float64       // fraction of the parts' weight that has arrived
}

// Query is the state of one query from its start to its decision. Begin reuses the memory of a query that has ended.
// Query is not safe for concurrent use.
type Query struct {
	settings         *Settings
	forecast         *Forecast // nil if there are no observations
	startedAt        time.Duration
	latestAnswer     time.Duration
	fixedAnswer      time.Duration // in mode Fixed: when to answer with the parts that have arrived, if they are sufficient
	totalWeight      float64
	arrivedShare     float64 // of totalWeight
	outstandingCount int
	parts            []partState
	// Observations of the common factor: the normal scores of the parts that have ended.
	scoreSum   float64
	scoreCount int

	plannedAnswer time.Duration // answer time by the last plan; 0 if there is none
	replanAt      time.Duration // until when the last plan is valid even if parts arrive

	isExploring      bool
	baselineAnswerAt time.Duration // when the query would have answered without exploring; 0 if that has not happened yet
	endedAt          time.Duration
	isDone           bool
	isReported       bool              // to Model.Done
	outstanding      []outstandingPart // parts in the plan that is being computed
}

// partState is the state of one part in a query.
type partState struct {
	weight       float64 // fraction of the total weight
	arrivedShare float64 // fraction of the part's content
	duration     time.Duration
	status       partStatus
}

type partStatus uint8

const (
	partOutstanding partStatus = iota
	partAnswered
	partFailed
)

// Begin starts a query. forecast may be nil. deadline is that of the client; 0 is none.
func Begin(settings *Settings, forecast *Forecast, now, deadline time.Duration) *Query {
	q := new(Query)
	q.Begin(settings, forecast, now, deadline)
	return q
}

// Begin starts another query that reuses the memory of q.
func (q *Query) Begin(settings *Settings, forecast *Forecast, now, deadline time.Duration) {
	parts := q.parts[:0]
	outstanding := q.outstanding[:0]
	*q = Query{settings: settings, forecast: forecast, startedAt: now, outstandingCount: len(settings.Parts)}
	for i := range settings.Parts {
		weight := settings.Parts[i].weight()
		q.totalWeight += weight
		parts = append(parts, partState{weight: weight})
	}
	for i := range parts {
		parts[i].weight /= q.totalWeight
	}
	if cap(outstanding) < len(parts) {
		outstanding = make([]outstandingPart, 0, len(parts))
	}
	q.parts = parts
	q.outstanding = outstanding
	q.limitAnswer(now, deadline)
}

// limitAnswer sets the latest time of the answer, and the time of the answer in mode Fixed.
func (q *Query) limitAnswer(now, deadline time.Duration) {
	settings := q.settings
	q.latestAnswer = now + edges[Buckets-2]
	if settings.Mode != None {
		q.latestAnswer = min(q.latestAnswer, now+maxHalfLives*settings.halfLife())
	}
	q.fixedAnswer = q.latestAnswer
	if settings.Mode == Fixed {
		q.fixedAnswer = now + settings.Fixed
		q.latestAnswer = max(q.latestAnswer, q.fixedAnswer)
	}
	if deadline > 0 {
		q.latestAnswer = min(q.latestAnswer, max(now, deadline-settings.margin()))
		q.fixedAnswer = min(q.fixedAnswer, q.latestAnswer)
	}
}

// LatestAnswer returns the latest time of the answer.
func (q *Query) LatestAnswer() time.Duration { return q.latestAnswer }

// InnerDeadline returns the deadline for a part that is itself a gatherer. It is early enough that an answer at the
// deadline still arrives in time.
func (q *Query) InnerDeadline() time.Duration {
	return max(q.startedAt, q.latestAnswer-q.settings.margin())
}

// PartCompleted records that a part has answered with its complete content, or has failed.
func (q *Query) PartCompleted(now time.Duration, part int, hasContent bool) {
	share := 0.0
	if hasContent {
		share = 1
	}
	q.PartEnded(now, part, share)
}

// PartEnded records that a part has ended with a fraction of its content, 0 to 1; 0 is a failure. The call is ignored
// for a part that does not exist or has already ended, and after the query was decided.
func (q *Query) PartEnded(now time.Duration, part int, share float64) {
	if q.isDone || part < 0 || part >= len(q.parts) {
		return
	}
	p := &q.parts[part]
	if p.status != partOutstanding {
		return
	}
	p.duration = now - q.startedAt
	p.status = partFailed
	if share > 0 {
		p.status = partAnswered
		p.arrivedShare = min(1, share)
		q.arrivedShare += p.weight * p.arrivedShare
	}
	q.outstandingCount--
	if q.forecast != nil && part < len(q.forecast.parts) {
		q.scoreSum += q.forecast.parts[part].scoreAt(p.duration)
		q.scoreCount++
	}
}

// ArrivedShare returns the fraction of the parts' weight that has arrived.
func (q *Query) ArrivedShare() float64 { return q.arrivedShare }

// Missing appends the indices of the parts without content to parts.
func (q *Query) Missing(parts []int) []int {
	for i := range q.parts {
		if q.parts[i].status != partAnswered {
			parts = append(parts, i)
		}
	}
	return parts
}

// Outstanding appends the indices of the parts that have not ended to parts.
func (q *Query) Outstanding(parts []int) []int {
	for i := range q.parts {
		if q.parts[i].status == partOutstanding {
			parts = append(parts, i)
		}
	}
	return parts
}

func (q *Query) isEnough(share float64) bool {
	return share > shareTolerance && share >= q.settings.MinShare-shareTolerance
}

// Next returns the next step. After a step other than Wait the query is decided, and all later steps are of the same
// kind.
func (q *Query) Next(now time.Duration) Step {
	step := q.next(now)
	step.Share = q.arrivedShare
	if step.Kind != Wait && !q.isDone {
		q.isDone = true
		q.endedAt = now
	}
	return step
}

func (q *Query) next(now time.Duration) Step {
	possibleShare := q.arrivedShare
	for i := range q.parts {
		if q.parts[i].status == partOutstanding {
			possibleShare += q.parts[i].weight
		}
	}
	switch isEnough := q.isEnough(q.arrivedShare); {
	case q.isDone && isEnough:
		return Step{Kind: Answer}
	case q.outstandingCount == 0 && isEnough:
		return Step{Kind: Answer, Reason: Complete}
	case q.isDone || !q.isEnough(possibleShare):
		return Step{Kind: Refuse, Reason: BelowMinimum}
	case now >= q.latestAnswer && isEnough:
		return Step{Kind: Answer, Reason: Time}
	case now >= q.latestAnswer:
		return Step{Kind: Refuse, Reason: Time}
	case !isEnough:
		return Step{Kind: Wait, Reason: BelowMinimum, Until: q.latestAnswer}
	}
	switch q.settings.Mode {
	case Fixed:
		if now >= q.fixedAnswer {
			return Step{Kind: Answer, Reason: Time}
		}
		return Step{Kind: Wait, Reason: Time, Until: q.fixedAnswer}
	case None:
		return Step{Kind: Wait, Reason: Time, Until: q.latestAnswer}
	}
	return q.nextLearned(now)
}

// nextLearned returns the next step in mode Learned, if the share that has arrived is sufficient for an answer.
func (q *Query) nextLearned(now time.Duration) Step {
	if q.isExploring && q.baselineAnswerAt > 0 {
		return q.exploreStep(now)
	}
	until := q.plannedAnswer
	isKnown := true
	if q.outstandingCount <= replanAlwaysParts || q.plannedAnswer == 0 || now >= min(q.plannedAnswer, q.replanAt) {
		until, isKnown = q.plan(now)
		q.plannedAnswer = until
		q.replanAt = now + q.settings.halfLife()/replanDivisor
	}
	unknownUntil := q.startedAt + unknownHalfLives*q.settings.halfLife()
	switch {
	case !isKnown && now < unknownUntil:
		return Step{Kind: Wait, Reason: Unknown, Until: min(q.latestAnswer, unknownUntil)}
	case !isKnown:
		return Step{Kind: Answer, Reason: Unknown}
	case until > now:
		return Step{Kind: Wait, Reason: ExpectedValue, Until: until}
	case q.isExploring:
		q.baselineAnswerAt = max(now, 1)
		return q.exploreStep(now)
	}
	return Step{Kind: Answer, Reason: ExpectedValue}
}

// exploreStep waits for exploreHalfLives beyond the optimal time: a longer wait costs more value than its observations
// are worth.
func (q *Query) exploreStep(now time.Duration) Step {
	until := min(q.latestAnswer, q.baselineAnswerAt+exploreHalfLives*q.settings.halfLife())
	if now < until {
		return Step{Kind: Wait, Reason: Exploring, Until: until}
	}
	return Step{Kind: Answer, Reason: Exploring}
}
