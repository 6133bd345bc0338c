package service

import (
	"context"
	"time"

	"lockflow/control"
	"lockflow/internal/upstream"
)

// attemptJob is one attempt of an exchange, as a worker makes it.
type attemptJob struct {
	exchange  *Exchange
	number    int // index in the exchange's attempts
	server    uint32
	location  serverLocation // of the server, which may no longer be listed when the attempt ends
	pool      *upstream.Pool
	attempt   *upstream.Attempt
	startedAt time.Time
}

// startAttempt carries out a Send: it passes an attempt to a worker. An attempt that can't be made is reported to the
// module as not sent, or as a failed connection if the server no longer takes requests.
func (l *loop) startAttempt(a control.Send) {
	x := l.exchanges[a.ID]
	if x == nil {
		l.pendingEvents = append(l.pendingEvents, control.AttemptResult{
			ID:      a.ID,
			Server:  a.Server,
			Reason:  control.NotSent,
			IsFinal: true,
		})
		return
	}
	if x.deferSend(a) {
		return
	}
	isAllowed := l.guardAttempt(x, a, time.Now())
	number := x.attemptCount
	pool := l.pools[a.Server]
	x.attemptCount++
	ctx, cancel := l.attemptContext(x, a)
	attempt := upstream.NewAttempt(ctx, cancel, x)
	x.attempts = append(x.attempts, attempt)
	mustNotSend := !isAllowed || x.isAnswered || ctx.Err() != nil
	if pool == nil || mustNotSend {
		attempt.Cancel()
		reason := control.ConnectFailed // the server was removed in the meantime: the request may go to another one
		if mustNotSend {
			reason = control.NotSent
		}
		l.pendingEvents = append(l.pendingEvents, control.AttemptResult{
			ID:      a.ID,
			Attempt: number,
			Server:  a.Server,
			Reason:  reason,
			IsFinal: x.isAnswered,
		})
		return
	}
	x.inFlight++
	if l.statistics != nil {
		l.statistics.attemptStarted(x.Request.Units)
	}
	if l.groupSizeEstimator != nil {
		l.attemptsInFlight[a.Server]++
	}
	l.dispatch(attemptJob{
		exchange:  x,
		number:    number,
		server:    a.Server,
		location:  l.locations[a.Server],
		pool:      pool,
		attempt:   attempt,
		startedAt: time.Now(),
	})
}

// attemptContext returns the context of an attempt. It ends at the exchange's deadline, or sooner if the module has
// set a shorter timeout. While a part of the request body is still to arrive, which has time limits of its own, the
// context has no deadline and ends with the loop.
func (l *loop) attemptContext(x *Exchange, a control.Send) (ctx context.Context, cancel context.CancelFunc) {
	deadline := x.Deadline
	if a.Timeout > 0 && time.Until(deadline) > a.Timeout {
		deadline = time.Now().Add(a.Timeout)
	}
	if x.Forwarder.IsBodyPending() {
		ctx, cancel = context.WithCancel(l.lifetime)
	} else {
		ctx, cancel = context.WithDeadline(l.lifetime, deadline)
	}
	if a.WriteTimeout > 0 {
		ctx = upstream.WithWriteDeadline(ctx, time.Now().Add(a.WriteTimeout))
		if l.hasScopedKey(x) {
			ctx = upstream.WithKnownProcess(ctx)
		}
	}
	return ctx, cancel
}

// cancelAttempt carries out a CancelAttempt: it cancels one attempt or, if the gate still defers it, all deferred ones.
func (l *loop) cancelAttempt(a control.CancelAttempt) {
	x := l.exchanges[a.ID]
	switch {
	case x == nil:
	case a.Attempt < len(x.attempts):
		x.attempts[a.Attempt].Cancel()
	default:
		l.withdrawPendingSends(x)
	}
}

// dispatch passes an attempt to an idle worker, or to a new one if none is idle.
func (l *loop) dispatch(job attemptJob) {
	select {
	case l.jobs <- job:
	default:
		go l.runWorker(job)
	}
}

// runWorker makes attempts until the loop has ended or enough other workers are idle. Workers are reused, as
// a new goroutine for each attempt would have to grow its stack each time.
func (l *loop) runWorker(job attemptJob) {
	for l.runAttempt(job) {
		if l.idleWorkers.Add(1) > maxIdleWorkers {
			l.idleWorkers.Add(-1)
			return
		}
		select {
		case job = <-l.jobs:
			l.idleWorkers.Add(-1)
		case <-l.ended:
			return
		}
	}
}

// runAttempt makes one attempt and reports its outcome. It returns false if the loop has ended. job is passed by
// value, so that the posted function does not refer to the worker's next job.
func (l *loop) runAttempt(job attemptJob) bool {
	var o upstream.Outcome
	if job.attempt.IsPending() { // no connection is made for a withdrawn attempt
		o = job.exchange.Forwarder.Attempt(job.attempt, l.lifetime, l.upstream, job.pool)
	}
	if o.Stream != nil {
		return l.startStream(job, o)
	}
	o = job.attempt.FinalOutcome(o)
	job.attempt.Cancel()
	return l.post(func() { l.attemptEnded(job, o) })
}

// startStream reports a response whose body is still to arrive. It returns false if the loop has ended. The attempt
// ends with the stream, which the receiver of the answer reads and closes.
func (l *loop) startStream(job attemptJob, o upstream.Outcome) bool {
	l.openStreams.add(o.Stream, job.exchange.Deadline)
	o.Stream.OnEnd(func(end upstream.Outcome) {
		l.openStreams.remove(o.Stream)
		job.attempt.Cancel()
		end.Header = o.Header
		l.post(func() { l.attemptEnded(job, end) })
	})
	isPosted := l.post(func() { l.responseStarted(job, o) })
	if !isPosted {
		o.Stream.Close()
	}
	return isPosted
}

// responseStarted handles the head of a streaming response. It is the final answer, as the client can get no other
// answer once a byte of this one may have been sent to it.
func (l *loop) responseStarted(job attemptJob, o upstream.Outcome) {
	x := job.exchange
	a := Answer{Status: o.Status, Header: o.Header, Stream: o.Stream}
	if x.isAnswered {
		x.attemptEndedLate(&o)
		a.discard()
		return
	}
	l.finish(x, a)
	l.handle(control.ResponseStarted{
		ID:      x.Request.ID,
		Attempt: job.number,
		Server:  job.server,
		Delay:   time.Since(job.startedAt),
	})
}

// attemptEnded handles the outcome of an attempt and reports it to the module. A final outcome answers the request;
// for any other, the module decides whether to retry.
func (l *loop) attemptEnded(job attemptJob, o upstream.Outcome) {
	x := job.exchange
	x.inFlight--
	x.lastReason = o.Reason
	x.mayHaveRun = x.mayHaveRun || mayHaveRun(o.Reason)
	x.repeats.attemptEnded(job, o.Reason)
	response := control.AttemptResult{
		ID:      x.Request.ID,
		Attempt: job.number,
		Server:  job.server,
		Reason:  o.Reason,
		Delay:   time.Since(job.startedAt),
	}
	if o.Header != nil {
		response.QuotaUsage = o.QuotaUsage()
		response.ActualUnits = o.ActualUnits(l.maxUnitsByPlan[x.Request.Plan])
		response.Load = o.LoadReport()
	}
	l.observeAttemptEnd(job, &o, response.Load)
	if o.HasClientLeft && !x.isAnswered {
		l.clientLeft(x)
	}
	switch {
	case x.isAnswered:
		x.attemptEndedLate(&o)
	case o.IsFinal:
		a := Answer{Status: o.Status, Header: o.Header, Body: o.Body}
		if o.Header == nil {
			a.Kind = Failed
		}
		l.finish(x, a)
	default:
		if o.Status != 0 {
			x.lastResponse = o
		}
		switch {
		case !x.Forwarder.CanRetry(): // the beginning of its body is no longer available, whatever the module decides
			l.failRequest(x)
		case o.IsProcessUnknown && mayHaveRun(o.Reason) && l.hasScopedKey(x): // which servers know its key is unknown
			l.failRequest(x)
		}
	}
	response.IsFinal = x.isAnswered
	l.releaseIfEnded(x)
	l.handle(response)
}

// hasScopedKey reports whether only some of the servers recognize the key of a request.
func (l *loop) hasScopedKey(x *Exchange) bool {
	class := l.classOf(x)
	return class != nil && class.Idempotency == control.IdempotentWithKey && class.KeyScope != control.ScopeAll
}

// mayHaveRun reports whether an attempt that ended for this reason may have run the request.
func mayHaveRun(reason control.Reason) bool {
	return reason != control.RejectedByServer && reason != control.ConnectFailed && reason != control.NotSent
}

// observeAttemptEnd passes the end of an attempt to the observers that are configured.
func (l *loop) observeAttemptEnd(job attemptJob, o *upstream.Outcome, load *control.LoadReport) {
	if l.recorder != nil {
		l.recorder.attemptEnded(job, o, l.pools[job.server] != nil)
		l.recorder.recordState(l)
	}
	if counts := job.exchange.classCounts; counts != nil {
		counts.attemptEnded(o.Reason)
	}
	if l.groupSizeEstimator != nil {
		l.observeLoad(job.server, load)
	}
}

// observeLoad passes the load report of an attempt that has ended to the group size estimator, with the number of
// other attempts that this node has in flight at the server.
func (l *loop) observeLoad(server uint32, load *control.LoadReport) {
	inFlight := l.attemptsInFlight[server] - 1
	l.attemptsInFlight[server] = inFlight
	if inFlight <= 0 {
		delete(l.attemptsInFlight, server)
	}
	if load != nil && load.InFlight >= 0 {
		l.groupSizeEstimator.AddReport(l.now(), load.InFlight, float64(inFlight))
	}
}
