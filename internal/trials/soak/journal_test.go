package soak

import (
	"fmt"
	"testing"
	"time"
)

// newTestJournal returns a journal, a server, and a request of the class that has just been sent.
func newTestJournal(c class) (*journal, *server, *request) {
	j := newJournal(0)
	j.missedListEvents = func(string, time.Time, time.Time) bool { return false }
	r := &request{id: "id-1", class: c, node: "n0"}
	j.recordSending(r)
	j.recordSent(r, time.Now())
	return j, &server{journal: j, uid: "s-0"}, r
}

// journalCase is a sequence of observations and the number of violations that the journal has to find in it.
type journalCase struct {
	class      class
	observe    func(j *journal, s *server, r *request)
	violations int
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

var journalCases = map[string]journalCase{
	"served": {readClass, func(j *journal, s *server, r *request) {
		j.attempt(s, r.id, r.sentAt.Add(ms(5)), "590m", true)
		j.recordAnswer(r, 200, responseBody(r.id, s.uid), "", r.sentAt.Add(ms(20)))
	}, 0},
	"answered and never forwarded": {readClass, func(j *journal, s *server, r *request) {
		j.recordAnswer(r, 200, responseBody(r.id, s.uid), "", r.sentAt)
	}, 1},
	"answer to another request": {readClass, func(j *journal, s *server, r *request) {
		j.attempt(s, r.id, r.sentAt, "590m", true)
		j.recordAnswer(r, 200, responseBody("id-2", s.uid), "", r.sentAt)
	}, 1},
	"late": {readClass, func(j *journal, _ *server, r *request) {
		j.recordAnswer(r, 503, "", "", r.deadline.Add(lateSlack+defaultSlack+1))
	}, 1},
	"no answer":         {readClass, func(j *journal, _ *server, r *request) { j.recordUnanswered(r, "", "EOF") }, 1},
	"no answer, killed": {readClass, func(j *journal, _ *server, r *request) { j.recordUnanswered(r, "killed", "EOF") }, 0},
	"ran twice": {notIdempotentClass, func(j *journal, s *server, r *request) {
		j.effect(s, r.id, "", r.sentAt)
		j.effect(s, r.id, "", r.sentAt)
	}, 1},
	"rejected after it ran": {notIdempotentClass, func(j *journal, s *server, r *request) {
		j.attempt(s, r.id, r.sentAt, "", true)
		j.effect(s, r.id, "", r.sentAt)
		j.recordAnswer(r, 503, "", "", r.sentAt)
	}, 1},
	"key repeated within its window": {idempotencyKeyClass, func(j *journal, s *server, r *request) {
		j.effect(s, r.id, "k", r.sentAt)
		j.effect(s, r.id, "k", r.sentAt.Add(idempotencyKeyClass.window))
	}, 0},
	"key repeated after its window": {idempotencyKeyClass, func(j *journal, s *server, r *request) {
		j.effect(s, r.id, "k", r.sentAt)
		j.effect(s, r.id, "k", r.sentAt.Add(idempotencyKeyClass.window+timeSlack+1))
	}, 1},
	"key repeated in another cell": {idempotencyKeyClass, func(j *journal, s *server, r *request) {
		j.effect(s, r.id, "k", r.sentAt)
		j.effect(&server{uid: "s-1", cell: 1}, r.id, "k", r.sentAt)
	}, 1},
	"sent to a draining server": {readClass, func(j *journal, s *server, r *request) {
		s.drainedAt = r.sentAt.Add(-drainGrace - timeSlack - defaultSlack - 1)
		j.attempt(s, r.id, r.sentAt, "", true)
	}, 1},
	"sent within the drain grace": {readClass, func(j *journal, s *server, r *request) {
		s.drainedAt = r.sentAt.Add(-drainGrace)
		j.attempt(s, r.id, r.sentAt, "", true)
	}, 0},
	"begun after the client's close": {readClass, func(j *journal, s *server, r *request) {
		j.recordEarlyClose(r)
		j.attempt(s, r.id, r.closedAt.Add(closeSlack+defaultSlack+1), "", true)
	}, 1},
	"too much time left announced": {readClass, func(j *journal, s *server, r *request) {
		j.attempt(s, r.id, r.sentAt.Add(ms(400)), "590m", true)
	}, 1},
	"attempt of an unknown request": {readClass, func(j *journal, s *server, r *request) {
		j.attempt(s, "id-9", r.sentAt, "", true)
	}, 1},
	"hard limit": {readClass, func(j *journal, s *server, r *request) {
		for i := range int(hardBurst+hardSlack+hardRate*timeSlack.Seconds()) + 1 {
			one := &request{id: fmt.Sprint("h-", i), class: readClass, isCapped: true}
			j.recordSending(one)
			j.attempt(s, one.id, r.sentAt, "", true)
		}
	}, 1},
	"overloaded server that warms up": {readClass, func(j *journal, s *server, r *request) {
		s.startedAt = r.sentAt
		for i := range 80 { // more than the limit of 37.5 and its tolerance of 12.6
			one := &request{id: fmt.Sprint("c-", i), class: readClass}
			j.recordSending(one)
			j.attempt(s, one.id, r.sentAt.Add(time.Millisecond), "", true)
		}
	}, 1},
}

// Guards against a journal that misses violations or reports allowed observations, which would make soak tests useless.
func TestJournalFindsViolations(t *testing.T) {
	for name, tc := range journalCases {
		t.Run(name, func(t *testing.T) {
			j, s, r := newTestJournal(tc.class)
			tc.observe(j, s, r)
			if got := j.judge().Wrong; len(got) != tc.violations {
				t.Errorf("journal reports %d violations, want %d: %q", len(got), tc.violations, got)
			}
		})
	}
}
