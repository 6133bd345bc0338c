package service

import (
	"context"
	"time"

	"lockflow/control"
	"lockflow/internal/upstream"
)

func (l *loop) startAttempt(a control.Send) {
	x := l.exchanges[a.ID]
	if x == nil {
		l.pendingEvents = append(l.pendingEvents, control.AttemptResult{ID: a.ID, Server: a.Server, Reason: control.NotSent, IsFinal: true})
		return
	}
	if x.deferSend(a) {
		return
	}
	n, to := x.attemptCount, l.pools[a.Server]
	x.attemptCount++
	until := x.Deadline
	if a.Timeout > 0 && time.Until(until) > a.Timeout {
		until = time.Now().Add(a.Timeout)
	}
	ctx, cancel := l.lifetime, context.CancelFunc(nil)
	if x.Forwarder.IsBodyPending() {
		ctx, cancel = context.WithCancel(ctx)
	} else {
		ctx, cancel = context.WithDeadline(ctx, until)
	}
	if a.WriteWithin > 0 {
		ctx = upstream.BeginBy(ctx, time.Now().Add(a.WriteWithin))
	}
	try := upstream.NewAttempt(ctx, cancel, x)
	x.attempts = append(x.attempts, try)
	over := x.isAnswered || ctx.Err() != nil || l.maxAttempts > 0 && x.attemptCount > l.maxAttempts
	if to == nil || over {
		try.Stop()
		why := control.ConnectFailed // its server left the list at the gate; another may take it
		if over {
			why = control.NotSent
		}
		l.pendingEvents = append(l.pendingEvents, control.AttemptResult{ID: a.ID, Attempt: n, Server: a.Server, Reason: why, IsFinal: x.isAnswered})
		return
	}
	x.inFlight++
	if l.statistics != nil {
		l.statistics.attemptStarted(x.Request.Units)
	}
	if l.groupSizeEstimator != nil {
		l.attemptsInFlight[a.Server]++
	}
	j := attemptJob{exchange: x, number: n, server: a.Server, pool: to, attempt: try, startedAt: time.Now()}
	select {
	case l.jobs <- j:
	default:
		go l.runWorker(j)
	}
}

// attemptJob is one attempt.
type attemptJob struct {
	exchange  *Exchange
	number    int
	server    uint32
	pool      *upstream.Pool
	attempt   *upstream.Attempt
	startedAt time.Time
}

// runWorker makes an attempt, and further ones as they come, unless enough others wait for some. A
// goroutine for each attempt would grow its stack anew.
func (l *loop) runWorker(j attemptJob) {
	for l.runAttempt(j) {
		if l.idleWorkers.Add(1) > maxIdleWorkers {
			l.idleWorkers.Add(-1)
			return
		}
		select {
		case j = <-l.jobs:
			l.idleWorkers.Add(-1)
		case <-l.ended:
			return
		}
	}
}

// runAttempt makes one attempt; false where the loop has ended. Guards, by a job of its own,
// against an outcome that is taken for that of the worker's next one.
func (l *loop) runAttempt(j attemptJob) bool {
	var o upstream.Outcome
	if j.attempt.Open() { // else no connection is made for it either
		o = j.exchange.Forwarder.Attempt(j.attempt, l.lifetime, l.upstream, j.pool)
	}
	if o.Stream != nil {
		return l.startStream(j, o)
	}
	o = j.attempt.Ended(o)
	j.attempt.Stop()
	return l.post(func() { l.attemptEnded(j.exchange, j.number, j.server, j.startedAt, o) })
}

// startStream hands an answer of which the rest is to come to whoever holds the client; false where
// the loop has ended. The attempt ends with the stream.
func (l *loop) startStream(j attemptJob, o upstream.Outcome) bool {
	l.openStreams.add(o.Stream, j.exchange.Deadline)
	o.Stream.OnEnd(func(end upstream.Outcome) {
		l.openStreams.remove(o.Stream)
		j.attempt.Stop()
		end.Header = o.Header
		l.post(func() { l.attemptEnded(j.exchange, j.number, j.server, j.startedAt, end) })
	})
	begun := l.post(func() { l.responseStarted(j, o) })
	if !begun {
		o.Stream.Close()
	}
	return begun
}

// responseStarted takes in that an answer has begun. It is the final one: once a byte of its head may have
// gone to the client there is no other.
func (l *loop) responseStarted(j attemptJob, o upstream.Outcome) {
	a := Answer{Status: o.Status, Header: o.Header, Stream: o.Stream}
	if j.exchange.isAnswered {
		j.exchange.endedLate(&o)
		a.discard()
		return
	}
	l.finish(j.exchange, a)
	l.handle(control.ResponseStarted{ID: j.exchange.Request.ID, Attempt: j.number, Server: j.server, Delay: time.Since(j.startedAt)})
}

// attemptEnded takes in how an attempt ended. The first answer that is good, or that no other attempt
// could better, is the final one.
func (l *loop) attemptEnded(x *Exchange, n int, server uint32, sent time.Time, o upstream.Outcome) {
	x.inFlight--
	x.lastReason = o.Reason
	x.mayHaveRun = x.mayHaveRun || o.Reason != control.RejectedByServer && o.Reason != control.ConnectFailed && o.Reason != control.NotSent
	if l.recorder != nil {
		l.recorder.attemptEnded(x, n, server, sent, &o, l.pools[server] != nil)
		l.recorder.recordState(l)
	}
	if x.classCounts != nil {
		x.classCounts.Attempts[reasonIndex[o.Reason]].Add(1)
	}
	r := control.AttemptResult{ID: x.Request.ID, Attempt: n, Server: server, Reason: o.Reason, Delay: time.Since(sent)}
	if o.Header != nil {
		r.QuotaUsage, r.ActualUnits, r.Load = o.Used(), o.Cost(l.maxUnitsByPlan[x.Request.Plan]), o.Load()
	}
	if l.groupSizeEstimator != nil {
		l.observeLoad(server, r.Load)
	}
	if o.Left && !x.isAnswered {
		l.clientLeft(x)
	}
	switch {
	case x.isAnswered:
		x.endedLate(&o)
	case o.Final:
		a := Answer{Status: o.Status, Header: o.Header, Body: o.Body}
		if o.Header == nil {
			a.Kind = Failed
		}
		l.finish(x, a)
	default:
		if o.Status != 0 {
			x.lastResponse = o
		}
		if !x.Forwarder.CanRetry() { // whatever the module would like: its beginning is gone
			l.failRequest(x)
		}
	}
	r.IsFinal = x.isAnswered
	l.releaseIfEnded(x)
	l.handle(r)
}

// observeLoad has the census take a report, behind the end of an attempt at a server.
func (l *loop) observeLoad(server uint32, load *control.LoadReport) {
	n := l.attemptsInFlight[server] - 1
	if l.attemptsInFlight[server] = n; n <= 0 {
		delete(l.attemptsInFlight, server)
	}
	if load != nil && load.InFlight >= 0 {
		l.groupSizeEstimator.Saw(l.now(), load.InFlight, float64(n))
	}
}
