package control

import "time"

// request is a request that has been admitted and has no final answer yet, or attempts that go on after it.
type request struct {
	id           string
	class        *Class
	plan         *planQueue
	account      *customerAccount
	units        float64
	arrivedAt    time.Duration
	objectiveAt  time.Duration // an answer by then meets the latency objective
	deadline     time.Duration
	isQueued     bool
	isStreaming  bool // its attempts do not count against the concurrency limit
	attempts     int  // that were started
	inFlight     int  // attempts
	triedServers []uint32
	mayHaveRun   bool // an attempt may have run
	firstRunAt   time.Duration
	repeatGroup  *server // a server of the group that drops repeats of its key; nil if it has not run
	timerLabel   uint64  // 0 is none
}

func (r *request) hasIdempotencyKey() bool { return r.class.Idempotency == IdempotentWithKey }

// repeatsDroppedUntil is the end of the time in which the repeat group drops repeats of what may have run.
func (r *request) repeatsDroppedUntil() time.Duration { return r.firstRunAt + r.class.RepeatWindow }

// recordPossibleRun notes that an attempt, sent at a time to a server, may have had an effect. The first one
// that may have begins the repeat window and sets the repeat group.
func (r *request) recordPossibleRun(sentAt time.Duration, srv *server) {
	if r.mayHaveRun {
		return
	}
	r.mayHaveRun = true
	r.firstRunAt = sentAt
	r.repeatGroup = srv
}

// attemptKey names an attempt: the first of a request is number 0.
type attemptKey struct {
	id     string
	number int
}

// pendingAttempt is an attempt in flight.
type pendingAttempt struct {
	request *request
	server  *server
	account *customerAccount
	sentAt  time.Duration
	charge  charge // zero unless it is its request's first attempt
}

// requestTable holds the requests that have no final answer, their timers, and the attempts in flight.
type requestTable struct {
	byID           map[string]*request
	byTimer        map[uint64]*request
	lastTimerLabel uint64
	attempts       map[attemptKey]*pendingAttempt
	slots          attemptSlots
}

func newRequestTable() requestTable {
	return requestTable{
		byID:     make(map[string]*request),
		byTimer:  make(map[uint64]*request),
		attempts: make(map[attemptKey]*pendingAttempt),
	}
}

func (t *requestTable) add(req *request) { t.byID[req.id] = req }

// contains tells whether a request has no final answer yet. Another one may have come with the same ID.
func (t *requestTable) contains(req *request) bool { return t.byID[req.id] == req }

// remove drops a request that has its final answer. Its attempts in flight go on.
func (t *requestTable) remove(req *request) {
	req.plan.remove(req)
	delete(t.byID, req.id)
	delete(t.byTimer, req.timerLabel)
}

// timerLabel returns the label of a request's one timer.
func (t *requestTable) timerLabel(req *request) uint64 {
	if req.timerLabel == 0 {
		t.lastTimerLabel++
		req.timerLabel = t.lastTimerLabel
		t.byTimer[req.timerLabel] = req
	}
	return req.timerLabel
}

// startAttempt counts an attempt that starts now.
func (t *requestTable) startAttempt(now time.Duration, req *request, srv *server, charged charge) {
	t.attempts[attemptKey{id: req.id, number: req.attempts}] = &pendingAttempt{
		request: req,
		server:  srv,
		account: req.account,
		sentAt:  now,
		charge:  charged,
	}
	req.attempts++
	req.inFlight++
	req.triedServers = append(req.triedServers, srv.Server)
	req.account.inFlight.startAttempt()
	t.slots.inFlight++
	if req.isStreaming { // from the start: its body is still to come
		t.slots.streaming++
	}
}

// startStreaming tells that the answer of a request has begun.
func (t *requestTable) startStreaming(req *request) {
	req.isStreaming = true
	t.slots.streaming++
}

// endAttempt ends an attempt, and returns it; nil if there is none of that key.
func (t *requestTable) endAttempt(key attemptKey) *pendingAttempt {
	attempt := t.attempts[key]
	if attempt == nil {
		return nil
	}
	delete(t.attempts, key)
	attempt.request.inFlight--
	attempt.server.endAttempt()
	attempt.account.inFlight.endAttempt()
	t.slots.inFlight--
	if attempt.request.isStreaming {
		t.slots.streaming--
	}
	return attempt
}
