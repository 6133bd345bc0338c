package service

import (
	"net/http"
	"time"

	"lockflow/control"
)

// acceptRequest accepts a client's request. It answers a request with the ID of another accepted one as failed, and of
// one that may have run a short time ago unless the class is idempotent. After
// the service has been replaced, a request is passed to the replacement, which has the remaining tokens, if that accepts
// the request's class and plan.
func (l *loop) acceptRequest(x *Exchange) {
	if l.replacement != nil && l.replacement.accepts(x, l.classes) {
		x.answer <- Answer{replacement: l.replacement}
		return
	}
	if l.exchanges[x.Request.ID] != nil || !l.beginRun(x) {
		x.answer <- Answer{Kind: Failed, Status: http.StatusConflict}
		return
	}
	l.exchanges[x.Request.ID] = x
	x.startedAt = time.Now()
	x.retain()
	x.classCounts = l.countsByClass[x.Request.Class]
	if l.requestHardLimit(x) {
		return
	}
	l.submit(x)
}

// submit reports a request to the module.
func (l *loop) submit(x *Exchange) {
	x.Request.Timeout = time.Until(x.Deadline)
	l.handle(x.Request)
	if !x.isAnswered {
		x.Gate.notify(l, true)
	}
}

// clientLeft ends a request whose client has disconnected. An attempt that has been written continues: cancelling it
// would not stop the server's work, and the module learns from its outcome.
func (l *loop) clientLeft(x *Exchange) {
	// A request that was answered without being accepted is not in this loop, and must not be answered twice.
	if x.isAnswered || l.exchanges[x.Request.ID] != x {
		x.discardAnswer()
		return
	}
	// The client may still be connected, as bytes that it has sent after its request prevent a retry too. So its answer
	// says that a retry is safe only if the request cannot have run.
	answer := Answer{Kind: Rejected, Status: http.StatusServiceUnavailable, clientHasLeft: true}
	if x.mayHaveRun {
		answer.Kind = Failed
		answer.Status = http.StatusBadGateway
	}
	l.answerUnserved(x, answer)
	l.handle(control.ClientGone{ID: x.Request.ID})
	l.abandonAttempts(x)
}

// failRequest answers a request as failed: it may have run, so a retry may not be safe.
func (l *loop) failRequest(x *Exchange) {
	if x == nil {
		return
	}
	status := http.StatusBadGateway
	if x.lastReason == control.TimedOut {
		status = http.StatusGatewayTimeout
	}
	l.answerUnserved(x, Answer{Kind: Failed, Status: status})
}

// answerUnserved answers a request that was not served: with the last response of a server, if there was one, and
// otherwise with fallback, an answer of the node's own. A nil request, which the loop does not have, is ignored.
func (l *loop) answerUnserved(x *Exchange, fallback Answer) {
	if x == nil {
		return
	}
	if last := &x.lastResponse; last.Status != 0 {
		l.finish(x, Answer{Status: last.Status, Header: last.Header, Body: last.Body, clientHasLeft: fallback.clientHasLeft})
		return
	}
	fallback.LastAttempt = x.lastReason
	l.finish(x, fallback)
}

// finish gives a request its final answer, unless it has one, and releases it if no attempt is in flight.
func (l *loop) finish(x *Exchange, a Answer) {
	if !x.isAnswered {
		l.deliver(x, a)
	}
	l.releaseIfEnded(x)
}

// deliver gives a request its final answer.
func (l *loop) deliver(x *Exchange, a Answer) {
	x.isAnswered = true
	// Attempts that are not written are no longer needed; their outcomes let the module release them. They are
	// withdrawn before the answer, after which the client's connection may be read for another request.
	for _, attempt := range x.attempts {
		attempt.Withdraw()
	}
	l.guardAnswer(x, a)
	x.answer <- a
	x.Gate.notify(l, false)
	l.withdrawPendingSends(x)
	if x.classCounts != nil {
		x.classCounts.requestEnded(a, x.Request.IsOverCapacity)
	}
	if l.statistics != nil {
		l.statistics.requestEnded(x, a)
	}
	if l.recorder != nil {
		l.recorder.requestEnded(x, a)
	}
	l.refundUnsent(x)
}

// releaseIfEnded removes an answered request that has no attempt in flight. The outcome of an attempt in flight could
// otherwise be attributed to another request with the same ID.
func (l *loop) releaseIfEnded(x *Exchange) {
	if x.isAnswered && x.inFlight == 0 {
		delete(l.exchanges, x.Request.ID)
		l.endRun(x)
		x.unretain()
	}
}

// beginRun records that a request is open, if its client has chosen its id and it must not run twice. It returns false if
// it may run or have run already.
func (l *loop) beginRun(x *Exchange) bool {
	class := l.classOf(x)
	if !x.HasClientID || class == nil || class.Idempotency == control.Idempotent {
		return true
	}
	x.isRecorded = l.recentRuns.begin(x.Request.ID)
	return x.isRecorded
}

// endRun records the end of a request that beginRun has recorded.
func (l *loop) endRun(x *Exchange) {
	if x.isRecorded {
		x.isRecorded = false
		l.recentRuns.end(x.Request.ID, !x.cannotHaveRun())
	}
}
