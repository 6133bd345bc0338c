package fleetsim

import (
	"math"
	"time"

	"lockflow/control"
)

// Attempts, from a node to a server and back.

// send carries an attempt to its server and schedules its end.
func (w *world) send(i int, a control.Send) {
	t := w.nodes[i].inFlight[a.ID]
	if t == nil { // its client is gone
		w.deliver(i, control.AttemptResult{ID: a.ID, Server: a.Server, Reason: control.NotSent, IsFinal: true})
		return
	}
	w.nodes[i].rejectedInRow = 0
	n := t.attempts
	t.attempts++
	sent := w.Now()
	w.result.Attempts++
	h, life := w.byID[a.Server], w.nodes[i].incarnation
	ended := func(why control.Reason, ran, delivered bool) {
		if delivered {
			w.checker.Ended(a.ID, sent, h.id, ran)
			w.script.quotas.endAttempt(t.call.customer)
		}
		if w.nodes[i].incarnation == life && !w.nodes[i].down {
			w.endAttempt(i, a.ID, n, h, why)
		}
	}
	end := func(after time.Duration, why control.Reason, ran, delivered bool) {
		w.After(after, func() { ended(why, ran, delivered) })
	}
	after, connected := w.openConnection(i, h, t.deadline)
	if !connected { // no byte of the request was written
		end(after, control.ConnectFailed, false, false)
		return
	}
	work := w.arriveAtServer(i, h, t, a.ID, n)
	switch {
	case h.state == hostDraining || h.inFlight >= dayCores+maxServerQueue:
		end(after+time.Millisecond, control.RejectedByServer, false, true)
		return
	case h.isFaulty && w.script.isFailing && w.rng.Float64() < 0.8:
		end(after+2*time.Millisecond, control.Errored, true, true)
		return
	}
	done := w.serveWork(h, work) + after
	draw, hl := w.rng.Float64(), h.incarnation
	switch {
	case draw < w.script.resetFraction:
		end(time.Duration(w.rng.Float64()*float64(min(done, t.deadline-w.Now()))), control.ResetByPeer, true, true)
		if w.options.Mutation.resendsResets {
			w.checker.Sent(w.Now(), i, a.ID, h.id, false, &w.rules.Plans[t.call.customer.plan], t.call.customer.name, t.call.units)
		}
	case w.Now()+done >= t.deadline:
		end(t.deadline-w.Now(), control.TimedOut, true, true)
	case draw < w.script.resetFraction+w.script.lostFraction+w.script.corruptFraction:
		end(done, control.ResetByPeer, true, true)
	default:
		w.After(done, func() {
			why := control.OK
			if h.incarnation != hl { // its process ended during the request
				why = control.ResetByPeer
			}
			ended(why, true, true)
		})
	}
}

// arriveAtServer records that an attempt has arrived completely at a server, and draws its work in seconds of a core.
func (w *world) arriveAtServer(i int, h *host, t *clientRequest, id string, n int) (work float64) {
	c := t.call
	plan := &w.rules.Plans[c.customer.plan]
	w.checker.Sent(w.Now(), i, id, h.id, n == 0, plan, c.customer.name, c.units)
	if n == 0 && w.script.quotas == nil {
		w.chargeQuota(c, plan)
	}
	w.script.quotas.recordForwarded(i, t)
	work = dayWork * w.rng.ExpFloat64()
	if w.options.Mutation.sendsTwice {
		w.checker.Sent(w.Now(), i, id, h.id, false, plan, c.customer.name, c.units)
	}
	w.recordWork(i, h, work)
	return work
}

// openConnection returns how long connecting to a server takes, or how long until that fails.
func (w *world) openConnection(i int, h *host, until time.Duration) (after time.Duration, connected bool) {
	switch {
	case h.state == hostGone:
		return time.Millisecond, false
	case h.state == hostSilent || w.Now() < h.disconnectedUntil:
		return min(connectTime, until-w.Now()), false
	}
	after = w.connectDelay(i, h)
	if len(h.connections) > maxServerConnections || after > connectTime {
		delete(h.connections, i)
		return min(after, connectTime), false
	}
	return after, true
}

// connectDelay returns how long it takes until a request can be written to a server.
func (w *world) connectDelay(i int, h *host) time.Duration {
	last, ok := h.connections[i]
	h.connections[i] = w.Now()
	if ok && w.Now()-last < idleConnectionTime {
		return 500 * time.Microsecond
	}
	w.newConnections++
	for k, at := range h.connections {
		if w.Now()-at >= idleConnectionTime {
			delete(h.connections, k)
		}
	}
	w.recordWork(i, h, handshakeWork)
	if w.script.slowConnectFraction > 0 && w.rng.Float64() < w.script.slowConnectFraction {
		return time.Duration(w.rng.Float64() * float64(maxSlowConnect))
	}
	return 3 * time.Millisecond
}

// recordWork records work that has arrived at a server.
func (w *world) recordWork(i int, h *host, work float64) {
	isKnown := false
	if life, ok := w.nodes[i].knownIncarnations[h.id]; ok {
		isKnown = life == h.incarnation
	}
	w.checker.Arrived(w.Now(), h.id, work, isKnown)
}

// serveWork schedules work at a server and returns how long the response takes.
func (w *world) serveWork(h *host, work float64) time.Duration {
	core := firstFreeCore(h.coreFreeAt[:])
	speed := warmthAt(w.Now() - h.bootedAt)
	if h.isFaulty && !w.script.isFailing {
		speed /= 5
	}
	duration := time.Duration(work / speed * float64(time.Second))
	from := max(w.Now(), h.coreFreeAt[core])
	h.coreFreeAt[core] = from + duration
	h.smoothedTime += 0.1 * (duration.Seconds() - h.smoothedTime)
	h.inFlight++
	life := h.incarnation
	w.At(h.coreFreeAt[core], func() {
		if h.incarnation == life {
			h.inFlight--
		}
	})
	return h.coreFreeAt[core] - w.Now()
}

// loadReport returns the load report of a server, which is renewed at intervals.
func (w *world) loadReport(h *host) *control.LoadReport {
	if h.reportAt == 0 || w.Now()-h.reportAt >= loadReportInterval {
		h.smoothedUtilization += 0.5 * (math.Min(1, float64(h.inFlight)/dayCores) - h.smoothedUtilization)
		h.report = control.LoadReport{MeanLatencyMS: 1000 * h.smoothedTime, Utilization: h.smoothedUtilization, Queued: math.Max(0, float64(h.inFlight-dayCores)), InFlight: -1, RequestsPerSecond: -1, ErrorsPerSecond: -1}
		h.reportAt = w.Now()
	}
	l := h.report
	return &l
}

// endAttempt delivers the end of an attempt to its node.
func (w *world) endAttempt(i int, id string, n int, h *host, why control.Reason) {
	t := w.nodes[i].inFlight[id]
	e := control.AttemptResult{ID: id, Attempt: n, Server: h.id, Reason: why, IsFinal: t == nil}
	if why == control.OK || why == control.RejectedByServer || why == control.Errored {
		e.Load = w.loadReport(h)
		if t != nil {
			e.QuotaUsage = w.reportedUsage(i, t.call.customer)
		}
	}
	if why == control.OK && t != nil {
		if e.ActualUnits, e.IsFinal = t.call.actualUnits, true; w.script.quotas == nil {
			e.ActualUnits = math.Max(1, t.call.units+float64(w.rng.IntN(3)-1))
		}
		w.finish(i, id, "served")
	}
	w.deliver(i, e)
}
