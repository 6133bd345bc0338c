package soak

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

// Slack of what is judged, for the time that a busy machine takes.
const (
	lateSlack    = 500 * time.Millisecond // after a deadline, in which an answer earns nothing and is not lost
	timeSlack    = 150 * time.Millisecond // of the deadline that an attempt carries, and of the grace time of a drain
	goneSlack    = 100 * time.Millisecond // after a client's close, in which an attempt may begin
	defaultSlack = 150 * time.Millisecond // of the judge's own clock readings
	maxListDelay = 6 * time.Second        // after which a change counts as told whatever befell the watch (PROTOCOL)
	maxWrong     = 40                     // that are told of one play

)

// journal notes what clients and app servers saw. It is safe for concurrent use.
type journal struct {
	// missedListEvents tells whether a node may have learned late, between two times, what discovery lists.
	missedListEvents func(node string, from, to time.Time) bool

	slack time.Duration // see Options.Slack

	mu        sync.Mutex
	started   time.Time
	requests  map[string]*request
	keys      map[string]time.Time // when a cell first ran a key; it drops repeats within the window
	hard      hardLimit
	slowStart map[*server]*warmupLoad
	errors    []string
	excused   int
	resent    int
	left      int
	attempts  int
	effects   int
	statuses  map[int]int
}

// request is one request of a client.
type request struct {
	id       string
	class    class
	node     string
	sentAt   time.Time // its last byte
	deadline time.Time
	leftAt   time.Time // when its client closed; zero is not
	attempts []attempt
	effects  []string
	isCapped bool
}

// attempt is one that came to an app server.
type attempt struct {
	at     time.Time
	server string
	mayRun bool
}

// hardLimit is a bucket that all nodes share: what all customers' requests of the capped plan drew of it.
type hardLimit struct {
	tokens float64
	at     time.Time
}

// warmupLoad is what came to a server since it started cold.
type warmupLoad struct {
	startedAt time.Time
	times     []time.Time
	reported  bool
}

func newJournal(slack time.Duration) *journal {
	if slack == 0 {
		slack = defaultSlack
	}
	return &journal{
		slack:   slack,
		started: time.Now(), requests: make(map[string]*request), keys: make(map[string]time.Time),
		slowStart: make(map[*server]*warmupLoad), statuses: make(map[int]int), hard: hardLimit{hardBurst, time.Now()},
	}
}

// wrong notes a violation.
func (j *journal) wrong(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addWrong(format, args...)
}

// addWrong is wrong with mu held.
func (j *journal) addWrong(format string, args ...any) {
	if len(j.errors) < maxWrong {
		j.errors = append(j.errors, time.Since(j.started).Round(time.Millisecond).String()+": "+fmt.Sprintf(format, args...))
	}
}

// sending notes a request right before its first byte is written, with the time that its client gives it.
func (j *journal) sending(r *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.sentAt = time.Time{} // it may be sent once more
	j.requests[r.id] = r
}

// sent notes that the last byte of a request is written.
func (j *journal) sent(r *request, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.sentAt, r.deadline = at, at.Add(r.class.deadline)
}

// leaves notes that a client is about to close.
func (j *journal) leaves(r *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.leftAt = time.Now()
	j.left++
}

// wasForwarded tells whether an app server has seen a request.
func (j *journal) wasForwarded(r *request) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(r.attempts) > 0
}

// attempt notes one that came to an app server at some time, with the time that it told.
func (j *journal) attempt(s *server, id string, at time.Time, timeLeft string, mayRun bool) {
	s.mu.Lock()
	drainedAt, startedAt := s.drainedAt, s.startedAt
	s.mu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts++
	r := j.requests[id]
	if r == nil {
		j.addWrong("%s: an attempt of %q, which no client sent", s.uid, id)
		return
	}
	if !drainedAt.IsZero() && at.Sub(drainedAt) > drainGrace+j.listDelay(r.node, drainedAt, at)+timeSlack+j.slack {
		j.addWrong("%s (%s, %s): sent to %s, which drains since %v", id, r.class.name, r.node, s.uid, at.Sub(drainedAt))
	}
	if !r.leftAt.IsZero() && at.Sub(r.leftAt) > goneSlack+j.slack {
		j.addWrong("%s (%s, %s): an attempt at %s begins %v after its client has left", id, r.class.name, r.node, s.uid, at.Sub(r.leftAt))
	}
	var left float64
	if _, err := fmt.Sscanf(timeLeft, "%fm", &left); err == nil && !r.sentAt.IsZero() {
		reported := time.Duration(left * float64(time.Millisecond))
		if more := reported - r.deadline.Sub(at); more > timeSlack+j.slack {
			j.addWrong("%s (%s, %s): %s is told %v more than is left", id, r.class.name, r.node, s.uid, more)
		}
	}
	if len(r.attempts) == 0 && r.isCapped {
		j.draw(r, at)
	}
	r.attempts = append(r.attempts, attempt{at, s.uid, mayRun})
	j.load(s, startedAt, at)
}

// listDelay is how much later than discovery has it a change counts as told to a node.
func (j *journal) listDelay(node string, from, to time.Time) time.Duration {
	if j.missedListEvents(node, from.Add(-maxListDelay), to) {
		return maxListDelay
	}
	return 0
}

// draw takes a unit out of the hard limit's bucket.
func (j *journal) draw(r *request, at time.Time) {
	j.hard.tokens = math.Min(hardBurst, j.hard.tokens+hardRate*at.Sub(j.hard.at).Seconds()) - 1
	j.hard.at = at
	if slack := hardSlack + hardRate*timeSlack.Seconds(); j.hard.tokens < -slack {
		j.addWrong("%s (%s): the hard limit is overrun by %.1f", r.id, r.node, -j.hard.tokens)
	}
}

// load counts a request at a cold server.
func (j *journal) load(s *server, startedAt, at time.Time) {
	if startedAt.IsZero() || at.Sub(startedAt) > warmupTime {
		return
	}
	load := j.slowStart[s]
	if load == nil || !load.startedAt.Equal(startedAt) {
		load = &warmupLoad{startedAt: startedAt}
		j.slowStart[s] = load
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
		j.addWrong("%s: %v requests within %v, %v after its start, more than %.1f", s.uid, n, fallTime, at.Sub(startedAt), limit)
	}
}

// effect notes that a server runs a request, unless its cell has run its key within the window.
func (j *journal) effect(s *server, id, key string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if r == nil {
		return
	}
	if key != "" {
		slot := fmt.Sprint(s.cell, " ", key)
		if first, ok := j.keys[slot]; ok && at.Sub(first) <= idempotencyKeyClass.window+timeSlack {
			return
		}
		j.keys[slot] = at
	}
	j.effects++
	r.effects = append(r.effects, s.uid+" at "+at.Sub(j.started).Round(time.Millisecond).String())
	if len(r.effects) > 1 && r.class.effect != "free" {
		j.addWrong("%s (%s, %s): ran twice: %v", id, r.class.name, r.node, r.effects)
	}
}

// answered notes a final answer.
func (j *journal) answered(r *request, status int, body, excuse string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.statuses[status]++
	if late := at.Sub(r.deadline); late > lateSlack+j.slack {
		j.addWrong("%s (%s, %s): answered %d, %v after its deadline", r.id, r.class.name, r.node, status, late)
	}
	switch {
	case status == 200 && !strings.HasPrefix(body, "done "+r.id+" by "):
		j.addWrong("%s (%s, %s): served with %q", r.id, r.class.name, r.node, body)
	case status == 200 && len(r.attempts) == 0:
		j.addWrong("%s (%s, %s): served and never forwarded", r.id, r.class.name, r.node)
	case (status == 429 || status == 503) && r.class.effect == "single_shot" && len(r.effects) > 0:
		j.addWrong("%s (%s, %s): told %d, that a repeat is harmless, and has run at %v", r.id, r.class.name, r.node, status, r.effects)
	case (status == 400 || status == 408) && excuse != "": // reading the request has failed
	case status != 200 && status != 429 && status < 500:
		j.addWrong("%s (%s, %s): answered %d %q", r.id, r.class.name, r.node, status, body)
	}
}

// unanswered notes that a request will get no answer; excuse tells what explains it, and is empty where nothing does.
func (j *journal) unanswered(r *request, excuse, why string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if excuse != "" {
		j.excused++
		return
	}
	j.addWrong("%s (%s, %s): no answer: %s; forwarded to %v", r.id, r.class.name, r.node, why, r.attempts)
}

func (j *journal) resend() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.resent++
}

// judge sums up.
func (j *journal) judge() *Report {
	j.mu.Lock()
	defer j.mu.Unlock()
	return &Report{
		Requests: len(j.requests), Statuses: j.statuses, Excused: j.excused, Resent: j.resent, Left: j.left,
		Attempts: j.attempts, Effects: j.effects, Wrong: slices.Clone(j.errors),
	}
}
