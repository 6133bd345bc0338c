package fleetsim

import (
	"math"
	"time"

	"lockflow/control"
)

// Attempts on their way to servers and back.

// send has an attempt go to its server.
func (w *world) send(i int, a control.Send) {
	t := w.nodes[i].inFlight[a.ID]
	if t == nil { // its client has left meanwhile
		w.tell(i, control.AttemptResult{ID: a.ID, Server: a.Server, Reason: control.NotSent, IsFinal: true})
		return
	}
	w.nodes[i].rejectedInRow = 0
	n := t.sends
	t.sends++
	sent := w.Now()
	w.rep.Attempts++
	h, life := w.byID[a.Server], w.nodes[i].life
	ended := func(why control.Reason, ran, delivered bool) {
		if delivered {
			w.check.Ended(a.ID, sent, h.id, ran)
			w.plan.quotas.ended(t.call.cust)
		}
		if w.nodes[i].life == life && !w.nodes[i].down {
			w.ended(i, a.ID, n, h, why)
		}
	}
	end := func(after time.Duration, why control.Reason, ran, delivered bool) {
		w.After(after, func() { ended(why, ran, delivered) })
	}
	after, connected := w.reach(i, h, t.until)
	if !connected { // nothing was written
		end(after, control.ConnectFailed, false, false)
		return
	}
	work := w.comes(i, h, t, a.ID, n)
	switch {
	case h.state == hostDraining || h.inFlight >= dayCores+dayQueue:
		end(after+time.Millisecond, control.RejectedByServer, false, true)
		return
	case h.bad && w.plan.failing && w.rng.Float64() < 0.8:
		end(after+2*time.Millisecond, control.Errored, true, true)
		return
	}
	done := w.serve(h, work) + after
	draw, hl := w.rng.Float64(), h.life
	switch {
	case draw < w.plan.reset:
		end(time.Duration(w.rng.Float64()*float64(min(done, t.until-w.Now()))), control.ResetByPeer, true, true)
		if w.o.Mutation.hidden {
			w.check.Sent(w.Now(), i, a.ID, h.id, false, &w.rules.Plans[t.call.cust.plan], t.call.cust.name, t.call.units)
		}
	case w.Now()+done >= t.until:
		end(t.until-w.Now(), control.TimedOut, true, true)
	case draw < w.plan.reset+w.plan.lost+w.plan.spoilt:
		end(done, control.ResetByPeer, true, true)
	default:
		w.After(done, func() {
			why := control.OK
			if h.life != hl { // its process ended under the request
				why = control.ResetByPeer
			}
			ended(why, true, true)
		})
	}
}

// comes has a whole attempt come to a server, and draws its work.
func (w *world) comes(i int, h *host, t *try, id string, n int) (work float64) {
	c := t.call
	plan := &w.rules.Plans[c.cust.plan]
	w.check.Sent(w.Now(), i, id, h.id, n == 0, plan, c.cust.name, c.units)
	if n == 0 && w.plan.quotas == nil {
		w.spend(c, plan)
	}
	w.plan.quotas.sent(i, t)
	work = dayWork * w.rng.ExpFloat64()
	if w.o.Mutation.twoCopies {
		w.check.Sent(w.Now(), i, id, h.id, false, plan, c.cust.name, c.units)
	}
	w.arrived(i, h, work)
	return work
}

// reach is how long it takes to connect to a server, or until that is given up.
func (w *world) reach(i int, h *host, until time.Duration) (after time.Duration, connected bool) {
	switch {
	case h.state == hostGone:
		return time.Millisecond, false
	case h.state == hostSilent || w.Now() < h.cutUntil:
		return min(connectTime, until-w.Now()), false
	}
	after = w.connect(i, h)
	if len(h.conns) > dayConns || after > connectTime {
		delete(h.conns, i)
		return min(after, connectTime), false
	}
	return after, true
}

// connect is how long it takes until a request may be written to a server.
func (w *world) connect(i int, h *host) time.Duration {
	last, ok := h.conns[i]
	h.conns[i] = w.Now()
	if ok && w.Now()-last < idleConn {
		return 500 * time.Microsecond
	}
	w.dialed++
	for k, at := range h.conns {
		if w.Now()-at >= idleConn {
			delete(h.conns, k)
		}
	}
	w.arrived(i, h, handshake)
	if w.plan.slowUp > 0 && w.rng.Float64() < w.plan.slowUp {
		return time.Duration(w.rng.Float64() * float64(maxSlowConnect))
	}
	return 3 * time.Millisecond
}

// arrived books work that has reached a server.
func (w *world) arrived(i int, h *host, work float64) {
	knows := false
	if life, ok := w.nodes[i].knows[h.id]; ok {
		knows = life == h.life
	}
	w.check.Arrived(w.Now(), h.id, work, knows)
}

// serve has a server work; it gives how long the answer takes.
func (w *world) serve(h *host, work float64) time.Duration {
	core := soonest(h.free[:])
	speed := warmthAt(w.Now() - h.bootAt)
	if h.bad && !w.plan.failing {
		speed /= 5
	}
	took := time.Duration(work / speed * float64(time.Second))
	from := max(w.Now(), h.free[core])
	h.free[core] = from + took
	h.mean += 0.1 * (took.Seconds() - h.mean)
	h.inFlight++
	life := h.life
	w.At(h.free[core], func() {
		if h.life == life {
			h.inFlight--
		}
	})
	return h.free[core] - w.Now()
}

// load is what a server tells of itself, as of some time ago.
func (w *world) load(h *host) *control.LoadReport {
	if h.reportAt == 0 || w.Now()-h.reportAt >= reportEvery {
		h.busy += 0.5 * (math.Min(1, float64(h.inFlight)/dayCores) - h.busy)
		h.report = control.LoadReport{MeanLatencyMS: 1000 * h.mean, Utilization: h.busy, Queued: math.Max(0, float64(h.inFlight-dayCores)), InFlight: -1, RequestsPerSecond: -1, ErrorsPerSecond: -1}
		h.reportAt = w.Now()
	}
	l := h.report
	return &l
}

// ended brings an attempt's end to its instance.
func (w *world) ended(i int, id string, n int, h *host, why control.Reason) {
	t := w.nodes[i].inFlight[id]
	e := control.AttemptResult{ID: id, Attempt: n, Server: h.id, Reason: why, IsFinal: t == nil}
	if why == control.OK || why == control.RejectedByServer || why == control.Errored {
		e.Load = w.load(h)
		if t != nil {
			e.QuotaUsage = w.reportedUsage(i, t.call.cust)
		}
	}
	if why == control.OK && t != nil {
		if e.ActualUnits, e.IsFinal = t.call.cost, true; w.plan.quotas == nil {
			e.ActualUnits = math.Max(1, t.call.units+float64(w.rng.IntN(3)-1))
		}
		w.answer(i, id, "served")
	}
	w.tell(i, e)
}
