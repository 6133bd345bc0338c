package service

import (
	"net/http"
	"time"

	"lockflow/control"
	"lockflow/internal/upstream"
)

// Gate defers the attempts of a request that is one of several, as in a scatter-gather, until the module has
// admitted all of them. It also reports how the last attempt of an abandoned request ends. The event loop calls
// its functions, which must not block.
type Gate struct {
	// OnDecision is called once, with whether the module has admitted the request. If it has not, Do returns
	// the answer. OnDecision may not be called at all if Do returns at once.
	OnDecision func(isAdmitted bool)
	// OnLateOutcome is called once after the request was abandoned: with the outcome of its last attempt and the time
	// since the request started, or immediately with LateUnknown if no attempt is in flight. It may be nil.
	OnLateOutcome func(end LateOutcome, duration time.Duration)
	// Linger limits the time for which attempts continue after the request was abandoned; 0 is no limit.
	Linger time.Duration

	// The fields below belong to the event loop.

	isNotified   bool // OnDecision was called
	isOpen       bool
	isAbandoned  bool // the client no longer waits for the request
	loop         *loop
	pendingSends []control.Send // deferred until the gate opens
}

// LateOutcome is the outcome of an attempt of an abandoned request.
type LateOutcome uint8

// The outcomes of attempts of abandoned requests.
const (
	LateUnknown LateOutcome = iota // the attempt was stopped before its outcome was known
	LateServed
	LateFailed
)

// notify calls OnDecision unless it was called before.
func (g *Gate) notify(l *loop, isAdmitted bool) {
	if g == nil || g.isNotified {
		return
	}
	g.isNotified = true
	g.loop = l
	g.OnDecision(isAdmitted)
}

// reportLateOutcome calls OnLateOutcome unless it was called before.
func (g *Gate) reportLateOutcome(end LateOutcome, x *Exchange) {
	if g.OnLateOutcome != nil {
		g.OnLateOutcome(end, time.Since(x.startedAt))
		g.OnLateOutcome = nil
	}
}

// OpenGate starts the deferred attempts of a request; later ones are not deferred. It is called after
// Gate.OnDecision(true).
func (x *Exchange) OpenGate() {
	l := x.Gate.loop
	l.post(func() {
		x.Gate.isOpen = true
		sends := x.Gate.pendingSends
		x.Gate.pendingSends = nil
		for _, send := range sends {
			l.startAttempt(send)
		}
		l.processPending()
	})
}

// deferSend defers an attempt if the gate is still closed, and reports whether it did.
func (x *Exchange) deferSend(a control.Send) bool {
	if x.Gate == nil || x.Gate.isOpen || x.isAnswered {
		return false
	}
	x.Gate.pendingSends = append(x.Gate.pendingSends, a)
	return true
}

// withdrawPendingSends reports the deferred attempts of a request to the module as not sent: they were
// withdrawn, or the request has ended.
func (l *loop) withdrawPendingSends(x *Exchange) {
	if x.Gate == nil {
		return
	}
	for _, a := range x.Gate.pendingSends {
		l.pendingEvents = append(l.pendingEvents, control.AttemptResult{
			ID:      a.ID,
			Attempt: x.attemptCount,
			Server:  a.Server,
			Reason:  control.NotSent,
			IsFinal: x.isAnswered,
		})
		x.attemptCount++
		x.attempts = append(x.attempts, nil)
	}
	x.Gate.pendingSends = nil
}

// abandonAttempts marks a request as abandoned at its gate and has its attempts end within Gate.Linger.
func (l *loop) abandonAttempts(x *Exchange) {
	gate := x.Gate
	if gate == nil {
		return
	}
	gate.isAbandoned = true
	switch {
	case x.inFlight == 0:
		gate.reportLateOutcome(LateUnknown, x)
	case gate.Linger > 0:
		time.AfterFunc(gate.Linger, func() {
			l.post(func() {
				for _, attempt := range x.attempts {
					attempt.Cancel()
				}
			})
		})
	}
}

// attemptEndedLate reports the outcome of an attempt that ended after its request was abandoned.
func (x *Exchange) attemptEndedLate(o *upstream.Outcome) {
	if x.Gate == nil || !x.Gate.isAbandoned {
		return
	}
	end := LateFailed
	switch {
	case o.IsFinal && o.Status == http.StatusOK:
		end = LateServed
	case o.Reason == control.TimedOut || o.Reason == control.Cancelled || o.Reason == control.NotSent:
		end = LateUnknown
	}
	x.Gate.reportLateOutcome(end, x)
}
