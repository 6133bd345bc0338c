package service

import (
	"context"
	"time"

	"lockflow/control"
	"lockflow/internal/upstream"
)

func (l *loop) send(a control.Send) {
	x := l.exchanges[a.ID]
	if x == nil {
		l.pending = append(l.pending, control.Response{ID: a.ID, Server: a.Server, Reason: control.Moot, Done: true})
		return
	}
	if x.gated(a) {
		return
	}
	n, to := x.sends, l.pools[a.Server]
	x.sends++
	until := x.Deadline
	if a.Within > 0 && time.Until(until) > a.Within {
		until = time.Now().Add(a.Within)
	}
	ctx, cancel := l.life, context.CancelFunc(nil)
	if x.Forwarder.IsBodyPending() {
		ctx, cancel = context.WithCancel(ctx)
	} else {
		ctx, cancel = context.WithDeadline(ctx, until)
	}
	if a.Begin > 0 {
		ctx = upstream.BeginBy(ctx, time.Now().Add(a.Begin))
	}
	try := upstream.NewAttempt(ctx, cancel, x)
	x.tries = append(x.tries, try)
	over := x.done || ctx.Err() != nil || l.sendCap > 0 && x.sends > l.sendCap
	if to == nil || over {
		try.Stop()
		why := control.ConnectFailed // its server left the list at the gate; another may take it
		if over {
			why = control.Moot
		}
		l.pending = append(l.pending, control.Response{ID: a.ID, N: n, Server: a.Server, Reason: why, Done: x.done})
		return
	}
	x.out++
	if l.meter != nil {
		l.meter.sent(x.Request.Units)
	}
	if l.census != nil {
		l.outAt[a.Server]++
	}
	j := job{x: x, n: n, server: a.Server, to: to, try: try, sent: time.Now()}
	select {
	case l.jobs <- j:
	default:
		go l.work(j)
	}
}

// job is one attempt.
type job struct {
	x      *Exchange
	n      int
	server uint32
	to     *upstream.Pool
	try    *upstream.Attempt
	sent   time.Time
}

// work makes an attempt, and further ones as they come, unless enough others wait for some. A
// goroutine for each attempt would grow its stack anew.
func (l *loop) work(j job) {
	for l.attempt(j) {
		if l.idlers.Add(1) > idlersMost {
			l.idlers.Add(-1)
			return
		}
		select {
		case j = <-l.jobs:
			l.idlers.Add(-1)
		case <-l.ended:
			return
		}
	}
}

// attempt makes one attempt; false where the loop has ended. Guards, by a job of its own,
// against an outcome that is taken for that of the worker's next one.
func (l *loop) attempt(j job) bool {
	var o upstream.Outcome
	if j.try.Open() { // else no connection is made for it either
		o = j.x.Forwarder.Attempt(j.try, l.life, l.upstream, j.to)
	}
	if o.Stream != nil {
		return l.streams(j, o)
	}
	o = j.try.Ended(o)
	j.try.Stop()
	return l.post(func() { l.settle(j.x, j.n, j.server, j.sent, o) })
}

// streams hands an answer of which the rest is to come to whoever holds the client; false where
// the loop has ended. The attempt ends with the stream.
func (l *loop) streams(j job, o upstream.Outcome) bool {
	l.streamsOpen.add(o.Stream, j.x.Deadline)
	o.Stream.OnEnd(func(end upstream.Outcome) {
		l.streamsOpen.remove(o.Stream)
		j.try.Stop()
		end.Header = o.Header
		l.post(func() { l.settle(j.x, j.n, j.server, j.sent, end) })
	})
	begun := l.post(func() { l.began(j, o) })
	if !begun {
		o.Stream.Close()
	}
	return begun
}

// began takes in that an answer has begun. It is the final one: once a byte of its head may have
// gone to the client there is no other.
func (l *loop) began(j job, o upstream.Outcome) {
	a := Answer{Status: o.Status, Header: o.Header, Stream: o.Stream}
	if j.x.done {
		j.x.lateEnd(&o)
		a.abandon()
		return
	}
	l.finish(j.x, a)
	l.handle(control.Started{ID: j.x.Request.ID, N: j.n, Server: j.server, Delay: time.Since(j.sent)})
}

// settle takes in how an attempt ended. The first answer that is good, or that no other attempt
// could better, is the final one.
func (l *loop) settle(x *Exchange, n int, server uint32, sent time.Time, o upstream.Outcome) {
	x.out--
	x.last = o.Reason
	x.ran = x.ran || o.Reason != control.Full && o.Reason != control.ConnectFailed && o.Reason != control.Moot
	if l.tally != nil {
		l.tally.attempt(x, n, server, sent, &o, l.pools[server] != nil)
		l.tally.state(l)
	}
	if x.count != nil {
		x.count.Attempts[reasonOf[o.Reason]].Add(1)
	}
	r := control.Response{ID: x.Request.ID, N: n, Server: server, Reason: o.Reason, Delay: time.Since(sent)}
	if o.Header != nil {
		r.Used, r.Cost, r.Load = o.Used(), o.Cost(l.units[x.Request.Plan]), o.Load()
	}
	if l.census != nil {
		l.count(server, r.Load)
	}
	if o.Left && !x.done {
		l.hangup(x)
	}
	switch {
	case x.done:
		x.lateEnd(&o)
	case o.Final:
		a := Answer{Status: o.Status, Header: o.Header, Body: o.Body}
		if o.Header == nil {
			a.Kind = Failed
		}
		l.finish(x, a)
	default:
		if o.Status != 0 {
			x.said = o
		}
		if !x.Forwarder.CanRetry() { // whatever the module would like: its beginning is gone
			l.fail(x)
		}
	}
	r.Done = x.done
	l.release(x)
	l.handle(r)
}

// count has the census take a report, behind the end of an attempt at a server.
func (l *loop) count(server uint32, load *control.Load) {
	n := l.outAt[server] - 1
	if l.outAt[server] = n; n <= 0 {
		delete(l.outAt, server)
	}
	if load != nil && load.Active >= 0 {
		l.census.Saw(l.now(), load.Active, float64(n))
	}
}
