package fleetsim

import (
	"math"
	"time"

	"lockflow/control"
)

// This file simulates attempts, from the node that sends them to their results.

// send delivers an attempt to its server and schedules its end.
func (w *world) send(instance int, a control.Send) {
	request := w.nodes[instance].inFlight[a.ID]
	if request == nil { // the client has disconnected
		w.deliver(instance, control.AttemptResult{ID: a.ID, Server: a.Server, Reason: control.NotSent, IsFinal: true})
		return
	}
	w.nodes[instance].rejectedInRow = 0
	attempt := request.attempts
	request.attempts++
	sent := w.Now()
	w.result.Attempts++
	host, initialIncarnation := w.hostByID[a.Server], w.nodes[instance].incarnation
	finishAttempt := func(reason control.Reason, mayHaveRun, isDelivered bool) {
		if isDelivered {
			w.checker.AttemptEnded(a.ID, sent, host.id, mayHaveRun)
			w.script.quotas.endAttempt(request.call.customer)
		}
		if w.nodes[instance].incarnation == initialIncarnation && !w.nodes[instance].down {
			w.endAttempt(instance, a.ID, attempt, host, reason)
		}
	}
	endAfter := func(delay time.Duration, reason control.Reason, mayHaveRun, isDelivered bool) {
		w.After(delay, func() { finishAttempt(reason, mayHaveRun, isDelivered) })
	}
	delay, connected := w.openConnection(instance, host, request.deadline)
	if !connected { // nothing of the request was written
		endAfter(delay, control.ConnectFailed, false, false)
		return
	}
	work := w.arriveAtServer(instance, host, request, a.ID, attempt)
	switch {
	case host.state == hostDraining || host.inFlight >= dayCores+maxServerQueue:
		endAfter(delay+time.Millisecond, control.RejectedByServer, false, true)
		return
	case host.isFaulty && w.script.isFailing && w.rng.Float64() < 0.8:
		endAfter(delay+2*time.Millisecond, control.Errored, true, true)
		return
	}
	responseTime := w.serveWork(host, work) + delay
	draw, hostIncarnation := w.rng.Float64(), host.incarnation
	switch {
	case draw < w.script.resetFraction:
		endAfter(time.Duration(w.rng.Float64()*float64(min(responseTime, request.deadline-w.Now()))), control.ResetByPeer, true, true)
		if w.options.Mutation.resendsResets {
			w.checker.AttemptSent(w.Now(), instance, a.ID, host.id, false, &w.rules.Plans[request.call.customer.plan], request.call.customer.name, request.call.units)
		}
	case w.Now()+responseTime >= request.deadline:
		endAfter(request.deadline-w.Now(), control.TimedOut, true, true)
	case draw < w.script.resetFraction+w.script.lostFraction+w.script.corruptFraction:
		endAfter(responseTime, control.ResetByPeer, true, true)
	default:
		w.After(responseTime, func() {
			reason := control.OK
			if host.incarnation != hostIncarnation { // the server's process ended while it handled the request
				reason = control.ResetByPeer
			}
			finishAttempt(reason, true, true)
		})
	}
}

// arriveAtServer records that a server has received an attempt completely and draws the attempt's work in core-seconds.
func (w *world) arriveAtServer(instance int, host *appServer, request *clientRequest, id string, attempt int) (work float64) {
	c := request.call
	plan := &w.rules.Plans[c.customer.plan]
	w.checker.AttemptSent(w.Now(), instance, id, host.id, attempt == 0, plan, c.customer.name, c.units)
	if attempt == 0 && w.script.quotas == nil {
		w.chargeQuota(c, plan)
	}
	w.script.quotas.recordForwarded(instance, request)
	work = dayWork * w.rng.ExpFloat64()
	if w.options.Mutation.sendsTwice {
		w.checker.AttemptSent(w.Now(), instance, id, host.id, false, plan, c.customer.name, c.units)
	}
	w.recordWork(instance, host, work)
	return work
}

// openConnection returns the time until a connection to a server is open, or until the attempt to open one has failed.
func (w *world) openConnection(instance int, host *appServer, deadline time.Duration) (delay time.Duration, isConnected bool) {
	switch {
	case host.state == hostGone:
		return time.Millisecond, false
	case host.state == hostSilent || w.Now() < host.disconnectedUntil:
		return min(connectTime, deadline-w.Now()), false
	}
	delay = w.connectDelay(instance, host)
	if len(host.connections) > maxServerConnections || delay > connectTime {
		delete(host.connections, instance)
		return min(delay, connectTime), false
	}
	return delay, true
}

// connectDelay returns the time until a request can be written to a server, which is short if its connection is still open.
func (w *world) connectDelay(instance int, host *appServer) time.Duration {
	last, ok := host.connections[instance]
	host.connections[instance] = w.Now()
	if ok && w.Now()-last < idleConnectionTime {
		return 500 * time.Microsecond
	}
	w.newConnections++
	for other, at := range host.connections {
		if w.Now()-at >= idleConnectionTime {
			delete(host.connections, other)
		}
	}
	w.recordWork(instance, host, handshakeWork)
	if w.script.slowConnectFraction > 0 && w.rng.Float64() < w.script.slowConnectFraction {
		return time.Duration(w.rng.Float64() * float64(maxSlowConnect))
	}
	return 3 * time.Millisecond
}

// recordWork records work that a server has received, for the overload check of warming-up servers.
func (w *world) recordWork(instance int, host *appServer, work float64) {
	isKnown := false
	if initialIncarnation, ok := w.nodes[instance].knownIncarnations[host.id]; ok {
		isKnown = initialIncarnation == host.incarnation
	}
	w.checker.WorkArrived(w.Now(), host.id, work, isKnown)
}

// serveWork schedules work on a server's core and returns the time until the response.
func (w *world) serveWork(host *appServer, work float64) time.Duration {
	core := firstFreeCore(host.coreFreeAt[:])
	speed := warmthAt(w.Now() - host.bootedAt)
	if host.isFaulty && !w.script.isFailing {
		speed /= 5
	}
	duration := time.Duration(work / speed * float64(time.Second))
	startsAt := max(w.Now(), host.coreFreeAt[core])
	host.coreFreeAt[core] = startsAt + duration
	host.smoothedTime += 0.1 * (duration.Seconds() - host.smoothedTime)
	host.inFlight++
	initialIncarnation := host.incarnation
	w.At(host.coreFreeAt[core], func() {
		if host.incarnation == initialIncarnation {
			host.inFlight--
		}
	})
	return host.coreFreeAt[core] - w.Now()
}

// loadReport returns the load report of a server, which is updated at most every loadReportInterval.
func (w *world) loadReport(host *appServer) *control.LoadReport {
	if host.reportAt == 0 || w.Now()-host.reportAt >= loadReportInterval {
		host.smoothedUtilization += 0.5 * (math.Min(1, float64(host.inFlight)/dayCores) - host.smoothedUtilization)
		host.report = control.LoadReport{MeanLatencyMS: 1000 * host.smoothedTime, Utilization: host.smoothedUtilization, Queued: math.Max(0, float64(host.inFlight-dayCores)), InFlight: -1, RequestsPerSecond: -1, ErrorsPerSecond: -1}
		host.reportAt = w.Now()
	}
	l := host.report
	return &l
}

// endAttempt passes the result of an attempt to the node that sent it.
func (w *world) endAttempt(instance int, id string, attempt int, host *appServer, reason control.Reason) {
	request := w.nodes[instance].inFlight[id]
	result := control.AttemptResult{ID: id, Attempt: attempt, Server: host.id, Reason: reason, IsFinal: request == nil}
	if reason == control.OK || reason == control.RejectedByServer || reason == control.Errored {
		result.Load = w.loadReport(host)
		if request != nil {
			result.QuotaUsage = w.reportedUsage(instance, request.call.customer)
		}
	}
	if reason == control.OK && request != nil {
		if result.ActualUnits, result.IsFinal = request.call.actualUnits, true; w.script.quotas == nil {
			result.ActualUnits = math.Max(1, request.call.units+float64(w.rng.IntN(3)-1))
		}
		w.finish(instance, id, "served")
	}
	w.deliver(instance, result)
}
