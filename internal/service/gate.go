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
	told  bool
	open  bool
	gave  bool           // the request was given up before its end
	at    *loop          // that has heard of the request
	waits []control.Send // attempts that are not made yet
}

// LateEnd is what became of a request that was given up.
type LateEnd uint8

// The ends.
const (
	LateUnknown LateEnd = iota // by the time told it had not come
	LateServed
	LateFailed
)

// tell says what the module has decided, once.
func (g *Gate) tell(l *loop, taken bool) {
	if g == nil || g.told {
		return
	}
	g.told, g.at = true, l
	g.OnDecision(taken)
}

// OpenGate has the attempts of a request be made whose module has taken it. It is called after Decided.
func (x *Exchange) OpenGate() {
	l := x.Gate.at
	l.post(func() {
		x.Gate.open = true
		waits := x.Gate.waits
		x.Gate.waits = nil
		for _, a := range waits {
			l.send(a)
		}
		l.drain()
	})
}

// gated keeps an attempt back while the gate is shut.
func (x *Exchange) gated(a control.Send) bool {
	if x.Gate == nil || x.Gate.open || x.done {
		return false
	}
	x.Gate.waits = append(x.Gate.waits, a)
	return true
}

// unsent tells the module that what waits at the gate was not sent: it is withdrawn, or its request
// has ended.
func (l *loop) unsent(x *Exchange) {
	if x.Gate == nil {
		return
	}
	for _, a := range x.Gate.waits {
		l.pending = append(l.pending, control.Response{ID: a.ID, N: x.sends, Server: a.Server, Reason: control.Moot, Done: x.done})
		x.sends++
		x.tries = append(x.tries, nil)
	}
	x.Gate.waits = nil
}

// left has the attempts of a request that was given up end in time.
func (l *loop) left(x *Exchange) {
	g := x.Gate
	if g == nil {
		return
	}
	g.gave = true
	switch {
	case x.out == 0:
		g.late(LateUnknown, x)
	case g.Linger > 0:
		time.AfterFunc(g.Linger, func() {
			l.post(func() {
				for _, a := range x.tries {
					a.Stop()
				}
			})
		})
	}
}

func (g *Gate) late(end LateEnd, x *Exchange) {
	if g != nil && g.OnLateEnd != nil {
		g.OnLateEnd(end, time.Since(x.began))
		g.OnLateEnd = nil
	}
}

// lateEnd tells of an attempt that ended after its request was given up.
func (x *Exchange) lateEnd(o *upstream.Outcome) {
	if x.Gate == nil || !x.Gate.gave {
		return
	}
	end := LateFailed
	switch {
	case o.Final && o.Status == http.StatusOK:
		end = LateServed
	case o.Reason == control.TimedOut || o.Reason == control.Cancelled || o.Reason == control.Moot:
		end = LateUnknown
	}
	x.Gate.late(end, x)
}
