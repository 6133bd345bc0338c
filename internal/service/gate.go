package service

import (
	"net/http"
	"time"

	"lockflow/control"
	"lockflow/internal/upstream"
)

// Gate keeps a request that belongs with others from being sent on before all of them are let in,
// and tells what becomes of one that was given up. Its functions are called by the service's own
// goroutine, and must not wait.
type Gate struct {
	// OnDecision is told once whether the module has taken the request; where it has not, its answer
	// is there. It need not be called where Do gives an answer at once.
	OnDecision func(taken bool)
	// OnLateEnd is told once how an attempt ended that went on after the request was given up, with the time
	// from the request's beginning; or at once that there is none. It may be nil.
	OnLateEnd func(end LateEnd, took time.Duration)
	// Linger is for how long an attempt goes on then at the most.
	Linger time.Duration

	// The loop's own.
	isNotified   bool
	isOpen       bool
	isAbandoned  bool           // the request was given up before its end
	loop         *loop          // that has heard of the request
	pendingSends []control.Send // attempts that are not made yet
}

// LateEnd is what became of a request that was given up.
type LateEnd uint8

// The ends.
const (
	LateUnknown LateEnd = iota // by the time told it had not come
	LateServed
	LateFailed
)

// notify says what the module has decided, once.
func (g *Gate) notify(l *loop, taken bool) {
	if g == nil || g.isNotified {
		return
	}
	g.isNotified, g.loop = true, l
	g.OnDecision(taken)
}

// OpenGate has the attempts of a request be made whose module has taken it. It is called after Decided.
func (x *Exchange) OpenGate() {
	l := x.Gate.loop
	l.post(func() {
		x.Gate.isOpen = true
		waits := x.Gate.pendingSends
		x.Gate.pendingSends = nil
		for _, a := range waits {
			l.startAttempt(a)
		}
		l.processPending()
	})
}

// deferSend keeps an attempt back while the gate is shut.
func (x *Exchange) deferSend(a control.Send) bool {
	if x.Gate == nil || x.Gate.isOpen || x.isAnswered {
		return false
	}
	x.Gate.pendingSends = append(x.Gate.pendingSends, a)
	return true
}

// withdrawPendingSends tells the module that what waits at the gate was not sent: it is withdrawn, or its request
// has ended.
func (l *loop) withdrawPendingSends(x *Exchange) {
	if x.Gate == nil {
		return
	}
	for _, a := range x.Gate.pendingSends {
		l.pendingEvents = append(l.pendingEvents, control.AttemptResult{ID: a.ID, Attempt: x.attemptCount, Server: a.Server, Reason: control.NotSent, IsFinal: x.isAnswered})
		x.attemptCount++
		x.attempts = append(x.attempts, nil)
	}
	x.Gate.pendingSends = nil
}

// abandonAttempts has the attempts of a request that was given up end in time.
func (l *loop) abandonAttempts(x *Exchange) {
	g := x.Gate
	if g == nil {
		return
	}
	g.isAbandoned = true
	switch {
	case x.inFlight == 0:
		g.reportLateEnd(LateUnknown, x)
	case g.Linger > 0:
		time.AfterFunc(g.Linger, func() {
			l.post(func() {
				for _, a := range x.attempts {
					a.Stop()
				}
			})
		})
	}
}

func (g *Gate) reportLateEnd(end LateEnd, x *Exchange) {
	if g != nil && g.OnLateEnd != nil {
		g.OnLateEnd(end, time.Since(x.startedAt))
		g.OnLateEnd = nil
	}
}

// endedLate tells of an attempt that ended after its request was given up.
func (x *Exchange) endedLate(o *upstream.Outcome) {
	if x.Gate == nil || !x.Gate.isAbandoned {
		return
	}
	end := LateFailed
	switch {
	case o.Final && o.Status == http.StatusOK:
		end = LateServed
	case o.Reason == control.TimedOut || o.Reason == control.Cancelled || o.Reason == control.NotSent:
		end = LateUnknown
	}
	x.Gate.reportLateEnd(end, x)
}
