package soak

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

// Tolerances of the checks.
const (
	lateSlack     = 500 * time.Millisecond // time after a request's deadline in which its final answer is still allowed
	timeSlack     = 150 * time.Millisecond // tolerance of the time left of an attempt, the grace of a drain, the hard limit and the repeat window
	closeSlack    = 100 * time.Millisecond // time after a client closed its connection in which an attempt may still begin
	defaultSlack  = 150 * time.Millisecond // tolerance of the journal's own clock readings
	maxListDelay  = 6 * time.Second        // time after which a node counts as notified of a change, even if its watch is broken (PROTOCOL)
	maxViolations = 40                     // most violations that a run reports
)

// journal records what clients and app servers observe, and checks it against the rules that hold under any fault. It is
// safe for concurrent use.
type journal struct {
	// missedListEvents reports whether a node may have missed endpoint list events between two times.
	missedListEvents func(node string, from, to time.Time) bool

	slack time.Duration // see Options.Slack

	mu               sync.Mutex
	started          time.Time
	requests         map[string]*request  // by id
	keys             map[string]time.Time // by cell and idempotency key: when the cell first ran the request; the cell drops repeats within the repeat window
	bucket           hardLimit
	warmupLoads      map[*server]*warmupLoad
	violations       []string    // the violations, at most maxViolations
	excused          int         // requests whose missing answer is explained by a disturbance
	resent           int         // requests that were sent a second time
	closedEarly      int         // requests whose client closed the connection early
	attempts         int         // attempts that reached app servers
	effects          int         // executions of requests by app servers
	statuses         map[int]int // number of final answers by HTTP status
	signals          int         // signals sent in series around SIGTERM
	kills            int         // processes killed because they still ran at the platform's earliest SIGKILL
	floodConnections int         // connections of flood clients
}

// request is one request of a client.
type request struct {
	id       string
	class    class
	node     string
	sentAt   time.Time // when its last byte was sent; zero until then
	deadline time.Time
	closedAt time.Time // when its client closed the connection early; zero if it did not
	attempts []attempt
	effects  []string // the app servers that ran the request, each with the time
	isCapped bool     // whether the request's plan has a hard limit
}

// attempt is an attempt that reached an app server.
type attempt struct {
	at     time.Time
	server string
	mayRun bool
}

// hardLimit is the token bucket of the capped plan's account, whose requests all nodes serve.
type hardLimit struct {
	tokens float64
	at     time.Time
}

// warmupLoad is the load of a server that is warming up.
type warmupLoad struct {
	startedAt time.Time
	times     []time.Time // arrival times of attempts within the last fallTime
	reported  bool        // whether an overload of the server has been reported
}

func newJournal(slack time.Duration) *journal {
	if slack == 0 {
		slack = defaultSlack
	}
	return &journal{
		slack:       slack,
		started:     time.Now(),
		requests:    make(map[string]*request),
		keys:        make(map[string]time.Time),
		warmupLoads: make(map[*server]*warmupLoad),
		statuses:    make(map[int]int),
		bucket:      hardLimit{tokens: hardBurst, at: time.Now()},
	}
}

// addViolation records a violation of a rule.
func (j *journal) addViolation(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addViolationLocked(format, args...)
}

// addViolationLocked is addViolation for callers that hold mu.
func (j *journal) addViolationLocked(format string, args ...any) {
	if len(j.violations) < maxViolations {
		j.violations = append(j.violations, time.Since(j.started).Round(time.Millisecond).String()+": "+fmt.Sprintf(format, args...))
	}
}

// recordSending records a request before its first byte is sent.
func (j *journal) recordSending(r *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.sentAt = time.Time{} // resets the time if the request is sent a second time
	j.requests[r.id] = r
}

// recordSent records that the last byte of a request was sent; its deadline counts from then.
func (j *journal) recordSent(r *request, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.sentAt = at
	r.deadline = at.Add(r.class.deadline)
}

// recordEarlyClose records that a client is about to close its connection early.
func (j *journal) recordEarlyClose(r *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.closedAt = time.Now()
	j.closedEarly++
}

// wasForwarded reports whether an attempt of a request has reached an app server.
func (j *journal) wasForwarded(r *request) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(r.attempts) > 0
}

// attempt records an attempt that reached an app server, and checks it. timeLeft is the value of its deadline
// header; mayRun is whether the server runs the request.
func (j *journal) attempt(s *server, id string, at time.Time, timeLeft string, mayRun bool) {
	s.mu.Lock()
	drainedAt := s.drainedAt
	startedAt := s.startedAt
	s.mu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts++
	r := j.requests[id]
	if r == nil {
		j.addViolationLocked("%s: received an attempt of request %q, which no client sent", s.uid, id)
		return
	}
	j.checkAttempt(s, r, drainedAt, at, timeLeft)
	if len(r.attempts) == 0 && r.isCapped {
		j.consumeUnit(r, at)
	}
	r.attempts = append(r.attempts, attempt{at: at, server: s.uid, mayRun: mayRun})
	j.load(s, startedAt, at)
}

// checkAttempt checks that an attempt does not begin too late after its server started to drain or its client closed the
// connection, and that it does not announce more time than the request has left. The caller holds mu.
func (j *journal) checkAttempt(s *server, r *request, drainedAt, at time.Time, timeLeft string) {
	if !drainedAt.IsZero() && at.Sub(drainedAt) > drainGrace+j.listDelay(r.node, drainedAt, at)+timeSlack+j.slack {
		j.addViolationLocked("%s (%s, %s): attempt sent to %s, which has been draining for %v", r.id, r.class.name, r.node, s.uid, at.Sub(drainedAt))
	}
	if !r.closedAt.IsZero() && at.Sub(r.closedAt) > closeSlack+j.slack {
		j.addViolationLocked("%s (%s, %s): attempt at %s began %v after its client closed the connection", r.id, r.class.name, r.node, s.uid, at.Sub(r.closedAt))
	}
	var left float64
	if _, err := fmt.Sscanf(timeLeft, "%fm", &left); err == nil && !r.sentAt.IsZero() {
		reported := time.Duration(left * float64(time.Millisecond))
		if excess := reported - r.deadline.Sub(at); excess > timeSlack+j.slack {
			j.addViolationLocked("%s (%s, %s): attempt at %s announces %v more time than the request has left", r.id, r.class.name, r.node, s.uid, excess)
		}
	}
}

// listDelay returns the time after which a node counts as notified of a change of the endpoint list.
func (j *journal) listDelay(node string, from, to time.Time) time.Duration {
	if j.missedListEvents(node, from.Add(-maxListDelay), to) {
		return maxListDelay
	}
	return 0
}

// consumeUnit takes a unit from the hard limit's bucket and reports an overrun. The caller holds mu.
func (j *journal) consumeUnit(r *request, at time.Time) {
	j.bucket.tokens = math.Min(hardBurst, j.bucket.tokens+hardRate*at.Sub(j.bucket.at).Seconds()) - 1
	j.bucket.at = at
	if slack := hardSlack + hardRate*timeSlack.Seconds(); j.bucket.tokens < -slack {
		j.addViolationLocked("%s (%s): hard limit exceeded by %.1f units", r.id, r.node, -j.bucket.tokens)
	}
}

// load records the load of a server that is warming up and checks it against the server's capacity, which
// grows linearly, with a tolerance of a few standard deviations of the number of arrivals. The caller holds mu.
func (j *journal) load(s *server, startedAt, at time.Time) {
	if startedAt.IsZero() || at.Sub(startedAt) > warmupTime {
		return
	}
	load := j.warmupLoads[s]
	if load == nil || !load.startedAt.Equal(startedAt) {
		load = &warmupLoad{startedAt: startedAt}
		j.warmupLoads[s] = load
	}
	load.times = append(slices.DeleteFunc(load.times, func(t time.Time) bool { return at.Sub(t) > fallTime }), at)
	fraction := initialCapacity + (1-initialCapacity)*at.Sub(startedAt).Seconds()/warmupTime.Seconds()
	allowed := fallMultiple * fraction * capacity * fallTime.Seconds()
	limit := allowed + 2*math.Sqrt(allowed+2)
	if allowed < 30 {
		limit = allowed + 3*math.Sqrt(allowed+3)
	}
	if n := float64(len(load.times)); n > limit && !load.reported {
		load.reported = true
		j.addViolationLocked("%s: %v requests within %v, %v after its start, want at most %.1f", s.uid, n, fallTime, at.Sub(startedAt), limit)
	}
}

// effect records that a server runs a request, unless its cell has run the same idempotency key within the repeat
// window. It reports a request that runs twice, unless its class is idempotent without a key.
func (j *journal) effect(s *server, id, key string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if r == nil {
		return
	}
	if key != "" {
		cellKey := fmt.Sprint(s.cell, " ", key)
		if first, ok := j.keys[cellKey]; ok && at.Sub(first) <= idempotencyKeyClass.window+timeSlack {
			return
		}
		j.keys[cellKey] = at
	}
	j.effects++
	r.effects = append(r.effects, s.uid+" at "+at.Sub(j.started).Round(time.Millisecond).String())
	if len(r.effects) > 1 && r.class.effect != "free" {
		j.addViolationLocked("%s (%s, %s): request ran twice: %v", id, r.class.name, r.node, r.effects)
	}
}

// recordAnswer records a final answer and checks it. excuse is the disturbance, if any, that explains why the node may
// have failed to read the request.
func (j *journal) recordAnswer(r *request, status int, body, excuse string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.statuses[status]++
	if late := at.Sub(r.deadline); late > lateSlack+j.slack {
		j.addViolationLocked("%s (%s, %s): answered with status %d, %v after the deadline", r.id, r.class.name, r.node, status, late)
	}
	switch {
	case status == 200 && !strings.HasPrefix(body, "done "+r.id+" by "):
		j.addViolationLocked("%s (%s, %s): answered with status 200 and the unexpected body %q", r.id, r.class.name, r.node, body)
	case status == 200 && len(r.attempts) == 0:
		j.addViolationLocked("%s (%s, %s): answered with status 200, but never forwarded", r.id, r.class.name, r.node)
	case (status == 429 || status == 503) && r.class.effect == "single_shot" && len(r.effects) > 0:
		j.addViolationLocked("%s (%s, %s): answered with status %d, which promises that a repeat is safe, but the request ran at %v", r.id, r.class.name, r.node, status, r.effects)
	case (status == 400 || status == 408) && excuse != "": // the node failed to read the request
	case status != 200 && status != 429 && status < 500:
		j.addViolationLocked("%s (%s, %s): answered with the unexpected status %d and body %q", r.id, r.class.name, r.node, status, body)
	}
}

// recordUnanswered records that a request will get no answer. This is a violation unless excuse names a disturbance that
// explains it.
func (j *journal) recordUnanswered(r *request, excuse, why string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if excuse != "" {
		j.excused++
		return
	}
	j.addViolationLocked("%s (%s, %s): no answer: %s; attempts: %v", r.id, r.class.name, r.node, why, r.attempts)
}

// countResend counts a request that is sent a second time.
func (j *journal) countResend() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.resent++
}

// countSignal counts a signal of a series.
func (j *journal) countSignal() { j.increment(&j.signals) }

// countKill counts a process that still ran at the platform's earliest SIGKILL.
func (j *journal) countKill() { j.increment(&j.kills) }

// countFloodConnection counts a connection of a flood client.
func (j *journal) countFloodConnection() { j.increment(&j.floodConnections) }

// increment adds one to a total.
func (j *journal) increment(total *int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	*total++
}

// judge returns the totals and violations as a report.
func (j *journal) judge() *Report {
	j.mu.Lock()
	defer j.mu.Unlock()
	return &Report{
		Requests: len(j.requests),
		Statuses: j.statuses,
		Excused:  j.excused,
		Resent:   j.resent,
		Left:     j.closedEarly,
		Attempts: j.attempts,
		Effects:  j.effects,
		Signals:  j.signals,
		Kills:    j.kills,
		Wrong:    slices.Clone(j.violations),

		FloodConnections: j.floodConnections,
	}
}
