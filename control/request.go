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

// isRepeatable tells whether a second run would have no other effect than the first.
func (r *request) isRepeatable(now time.Duration) bool {
	if !r.mayHaveRun || r.class.Idempotency == Idempotent {
		return true
	}
	return r.hasIdempotencyKey() && now < r.repeatsDroppedUntil()
}

// lastRetryAt is the time from which a retry comes too late for the client.
func (r *request) lastRetryAt() time.Duration { return r.deadline - retryDeadlineMargin }

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

// recordAttemptStart counts an attempt that starts now.
func (c *Controller) recordAttemptStart(req *request, srv *server, charged charge) {
	c.attempts[attemptKey{id: req.id, number: req.attempts}] = &pendingAttempt{
		request: req,
		server:  srv,
		account: req.account,
		sentAt:  c.now,
		charge:  charged,
	}
	req.attempts++
	req.inFlight++
	req.triedServers = append(req.triedServers, srv.Server)
	srv.inFlight++
	c.slots.inFlight++
	req.account.inFlight.current++
	if req.isStreaming { // from the start: its body is still to come
		c.slots.streaming++
	}
}

// recordAttemptEnd ends an attempt, and returns it; nil if there is none of that key.
func (c *Controller) recordAttemptEnd(key attemptKey) *pendingAttempt {
	attempt := c.attempts[key]
	if attempt == nil {
		return nil
	}
	delete(c.attempts, key)
	attempt.request.inFlight--
	attempt.server.inFlight--
	c.slots.inFlight--
	attempt.account.inFlight.current--
	if attempt.request.isStreaming {
		c.slots.streaming--
	}
	return attempt
}

// removeRequest drops a request that has its final answer. Its attempts in flight go on.
func (c *Controller) removeRequest(req *request) {
	req.plan.remove(req)
	delete(c.requests, req.id)
	delete(c.requestsByTimer, req.timerLabel)
}

// armTimer has the request's one timer fire after a time.
func (c *Controller) armTimer(req *request, after time.Duration) {
	if req.timerLabel == 0 {
		c.lastTimerLabel++
		req.timerLabel = c.lastTimerLabel
		c.requestsByTimer[req.timerLabel] = req
	}
	c.emit(StartTimer{After: max(after, 0), Label: req.timerLabel})
}

// retryBudget is the number of retries that requests have earned and not used.
type retryBudget struct{ retries float64 }

// typicalDeadline is the deadline that most first attempts of a class come with.
type typicalDeadline struct {
	deadline time.Duration
	support  int // requests with it, less those without
}

// observe follows the majority of the deadlines.
func (d *typicalDeadline) observe(deadline time.Duration, isOutlier bool) {
	switch {
	case !isOutlier:
		d.support++
	case d.support != 0:
		d.support--
	default:
		d.deadline = deadline
		d.support = 1
	}
}
