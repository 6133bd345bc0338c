package control

import (
	"math"
	"time"
)

// Tuned constants of attempts and retries.
const (
	maxFailureRate        = 0.75             // failure rate above which errors count toward ejection
	planRejectionTime     = 15 * time.Second // during which a server that rejected a plan is avoided for it
	minRetryCost          = 0.1              // of the retry budget
	maxAbandonedLatencies = 2.0              // mean latencies that an abandoned attempt is presumed to run
)

func (c *Controller) onStarted(e ResponseStarted) {
	a := c.attempts[attemptKey{e.ID, e.Attempt}]
	if a == nil || a.req.streaming {
		return
	}
	a.req.streaming = true
	c.streams++
	c.answered(a, e.Delay)
}

func (c *Controller) onResponse(e AttemptResult) {
	a := c.settle(attemptKey{e.ID, e.Attempt})
	if a == nil {
		return
	}
	r := a.req
	if e.Reason == NotSent {
		c.unsent(a)
	} else {
		c.rest(a)
	}
	if e.QuotaUsage > 0 && c.set.MeterPeriod > 0 {
		c.meter(a.cust, e.QuotaUsage, r.units)
	}
	c.judge(a, e)
	if e.Load != nil {
		c.reported(a.srv, e.Load)
	}
	if c.reqs[r.id] != r {
		return
	}
	switch {
	case e.IsFinal:
		c.forget(r)
	case !r.queued && r.out == 0:
		c.again(r, a, e.Reason)
	}
}

// rest keeps the place that an attempt had from the next one, where the bound or an open quota is
// less than one of them.
func (c *Controller) rest(a *attempt) {
	a.srv.heard = c.now
	if part := c.bound - c.busyNow(); part > 0 && part < 1 {
		c.restUntil = c.now + seconds((1/part-1)*c.latency)
	}
	if pause := 1/math.Max(a.cust.openCap, epsilon) - 1; a.cust.plan.MaxInFlight > 0 && pause > 0 {
		a.cust.openNext = c.now + time.Duration(pause*float64(c.now-a.sent))
	}
}

// unsent gives back what an attempt was booked that no server was asked for.
func (c *Controller) unsent(a *attempt) {
	if a.srv.coldRamp && a.sent >= a.srv.coldFrom {
		a.srv.tokens += c.work(a.req.units)
	}
	if a.bill.units > 0 {
		c.undraw(a.cust, a.bill)
	}
}

// judge takes an outcome's lesson on the server, the bound and the plan.
func (c *Controller) judge(a *attempt, e AttemptResult) {
	s, r := a.srv, a.req
	took := (c.now - a.sent).Seconds()
	switch e.Reason {
	case OK:
		s.strikes, s.probing, s.aside = 0, false, 0
		c.fared(s, 0)
		if !s.coldRamp {
			c.served += c.work(r.units)
		}
		if e.ActualUnits > 0 && c.set.UnitsInResponse {
			c.refill(a.cust)
			a.cust.level -= e.ActualUnits - r.units
		}
		if !r.streaming {
			c.answered(a, c.now-a.sent)
		}
	case RejectedByServer: // some servers refuse one plan only
		c.strike(s, 1)
		s.shut[r.plan] = c.now + planRejectionTime
		c.bad++
	case ConnectFailed:
		c.strike(s, ejectionFailures)
	case ResetByPeer, Errored: // a server that fails at once looks idle and draws the rest
		if c.fared(s, 1); c.failing(s) > maxFailureRate {
			c.strike(s, 1)
		}
		s.probing = false
	case NotSent, Cancelled: // tells nothing of a server that it was to try
		s.probing = false
	case TimedOut:
		c.strike(s, 1)
		if !r.streaming { // else it tells how long a stream was
			c.sawLatency(s, took)
		}
		c.bad++
	}
	late := e.Reason == TimedOut || e.Reason == Cancelled
	if late { // its work may go on
		s.ghosts++
		c.ghosts = append(c.ghosts, ghost{s, c.now + seconds(math.Min(took, maxAbandonedLatencies*c.latency))})
	}
	if ran := e.Reason == Errored || e.Reason == ResetByPeer || late; ran && !r.mayRun {
		r.mayRun, r.firstRun, r.group = true, a.sent, s
	}
}

// answered takes the latency of a good answer.
func (c *Controller) answered(a *attempt, took time.Duration) {
	t := took.Seconds()
	c.sawLatency(a.srv, t)
	aim := a.req.class.LatencyObjective.Seconds()
	c.answers++
	if c.chanceNow(a.cust) == 0 {
		a.req.plan.saw((c.now - a.req.arrived).Seconds() / aim)
	}
	// Guards against a bound that is cut because servers are cold: they are slow with little to do.
	if a.srv.coldRamp {
		return
	}
	c.seen++
	c.latency += math.Max(fleetEstimateGain, 1/c.seen) * (math.Min(t, aim) - c.latency)
	c.secSum += math.Min(t, aim)
	c.latSum += math.Min(1, t/aim)
	c.latN++
}

// again gives a request a further attempt where the rules, the attempt limit, the
// retry budget and its time allow one; else it ends it. What failed at once took little of the
// fleet's work, and little of the budget goes for it. Guards against a storm of errors that uses
// the budget up while most servers still serve half of what they are sent.
func (c *Controller) again(r *request, a *attempt, why Reason) {
	price := 1.0
	if why == Errored || why == ResetByPeer || why == ConnectFailed {
		price = math.Min(1, math.Max(minRetryCost, (c.now-a.sent).Seconds()/math.Max(c.latency, epsilon)))
	}
	ok := why != NotSent && c.retries >= price && c.now < r.giveUp-time.Millisecond &&
		(c.set.MaxAttempts == 0 || r.sends < c.set.MaxAttempts)
	if r.mayRun && r.class.Idempotency != Idempotent {
		ok = ok && r.class.Idempotency == IdempotencyKeyed && c.now < r.firstRun+r.class.RepeatWindow
	}
	if !ok {
		c.finish(r, CauseNoRetry)
		return
	}
	c.retries -= price
	c.enqueue(r, true)
	// Guards against a further attempt that waits in the queue beyond the client's time, or beyond
	// the time for which a repeat of its key is dropped.
	until := r.giveUp - time.Millisecond
	if r.mayRun && r.class.Idempotency == IdempotencyKeyed {
		until = min(until, r.firstRun+r.class.RepeatWindow)
	}
	c.wake(r, until-c.now)
}
