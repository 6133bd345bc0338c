package control

import "time"

// request is an admitted request that has no final answer yet or still has attempts in flight.
type request struct {
	id           string
	class        *Class
	plan         *planQueue
	account      *customerAccount
	units        float64
	arrivedAt    time.Duration
	objectiveAt  time.Duration // time until which an answer meets the latency objective
	deadline     time.Duration
	isQueued     bool
	isStreaming  bool // whether its attempts do not count against the concurrency limit
	attempts     int  // number of attempts that were started
	inFlight     int  // number of attempts in flight
	triedServers []uint32
	mayHaveRun   bool // whether an attempt may have run
	firstRunAt   time.Duration
	repeatGroup  *server // a server of the group that drops repeats of its key; nil if it cannot have run
	timerLabel   uint64  // 0 is none
}

func (r *request) hasIdempotencyKey() bool { return r.class.Idempotency == IdempotentWithKey }

// repeatsDroppedUntil returns the end of the repeat window, in which the repeat group drops repeats.
func (r *request) repeatsDroppedUntil() time.Duration { return r.firstRunAt + r.class.RepeatWindow }

// recordPossibleRun records that an attempt, which was sent at sentAt to a server, may have had an effect.
// The first such attempt starts the repeat window and determines the repeat group.
func (r *request) recordPossibleRun(sentAt time.Duration, srv *server) {
	if r.mayHaveRun {
		return
	}
	r.mayHaveRun = true
	r.firstRunAt = sentAt
	r.repeatGroup = srv
}

// attemptKey identifies an attempt; the first attempt of a request has number 0.
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
	charge  charge // zero unless it is the first attempt of its request
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

// contains reports whether a request has no final answer yet. Another request may have arrived with the same
// ID.
func (t *requestTable) contains(req *request) bool { return t.byID[req.id] == req }

// remove removes a request that has its final answer. Its attempts in flight continue.
func (t *requestTable) remove(req *request) {
	req.plan.remove(req)
	delete(t.byID, req.id)
	delete(t.byTimer, req.timerLabel)
}

// timerLabel returns the label of a request's single timer, and assigns one at the first call.
func (t *requestTable) timerLabel(req *request) uint64 {
	if req.timerLabel == 0 {
		t.lastTimerLabel++
		req.timerLabel = t.lastTimerLabel
		t.byTimer[req.timerLabel] = req
	}
	return req.timerLabel
}

// startAttempt records an attempt that starts now.
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
	if req.isStreaming { // from the start, as its body is pending
		t.slots.streaming++
	}
}

// startStreaming records that the streamed response of a request has started.
func (t *requestTable) startStreaming(req *request) {
	req.isStreaming = true
	t.slots.streaming++
}

// endAttempt ends an attempt and returns it, or nil if there is no attempt with the key.
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
