package upstream

import (
	"context"
	"errors"
	"time"

	"lockflow/control"
	"lockflow/internal/h2"
	"lockflow/internal/protocol"
)

// reportHeaders are the fields whose values a server may know only at the end of a request and then sends as trailers.
var reportHeaders = [...]string{protocol.HeaderBackendLoad, protocol.HeaderQuotaUsed, protocol.HeaderTrueCost}

// scheme returns the value of the pseudo-header :scheme.
func (s *sharedConnections) scheme() string {
	if s.upstream.TLS != nil {
		return "https"
	}
	return "http"
}

// attemptBuffered makes an attempt over a shared connection. It returns false, without having sent anything, if the
// server supports HTTP/1.1 only.
func (s *sharedConnections) attemptBuffered(ctx context.Context, buffered *BufferedRequest) (Outcome, bool) {
	httpRequest := buffered.Request
	request := &h2.Request{
		Method:    httpRequest.Method,
		Scheme:    s.scheme(),
		Authority: httpRequest.Host,
		Path:      httpRequest.URL.RequestURI(),
		Header:    httpRequest.Header,
		Body:      buffered.Body,
		MayBegin:  func() bool { return commitByWriteDeadline(ctx) },

		WriteDeadline: writeDeadline(ctx),
	}
	var event h2.Event
	outcome, isDialed, ok := s.withConnection(ctx, func(conn *h2.Conn) (err error) {
		// The time left is computed here, after the wait for a connection.
		if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
			setTimeLeft(httpRequest, deadline)
		}
		event, err = conn.Do(ctx, request)
		return err
	})
	if ok && outcome.Err == nil {
		isProcessUnknown := outcome.IsProcessUnknown
		outcome = eventOutcome(ctx, event)
		outcome.IsProcessUnknown = isProcessUnknown
	}
	outcome.IsDialed = isDialed
	return outcome, ok
}

// withConnection calls send with a connection that has a free stream. If nothing is sent, the outcome holds the
// error. ok is false if the server supports HTTP/1.1 only.
func (s *sharedConnections) withConnection(
	ctx context.Context, send func(*h2.Conn) error,
) (outcome Outcome, isDialed, ok bool) {
	requirement := newProcessRequirement(ctx)
	for {
		conn, isNew, err := s.acquire(ctx)
		isDialed = isDialed || isNew
		switch {
		case errors.Is(err, h2.ErrNotHTTP2) && s.protocol == ProtocolPreferHTTP2:
			return outcome, isDialed, false
		case errors.Is(err, errNoStream): // not a failure of the app server
			return Outcome{Reason: control.NotSent, Err: err}, isDialed, true
		case err != nil:
			return unconnectedOutcome(err), isDialed, true
		}
		peer := http2PeerConn{conn}
		if !requirement.accepts(s.process, peer) {
			if err := requirement.await(ctx, s.process); err != nil {
				return Outcome{Reason: control.ConnectFailed, Err: err}, isDialed, true
			}
			continue
		}
		suspectUntil := s.process.suspectUntilOf(peer)
		outcome.IsProcessUnknown = time.Now().Before(suspectUntil)
		if isPastWriteDeadline(ctx) {
			return Outcome{Reason: control.NotSent, Err: errWriteDeadline}, isDialed, true
		}
		switch err := send(conn); {
		case errors.Is(err, h2.ErrNoStream): // other attempts have taken the free streams
			continue
		case err != nil:
			return Outcome{Reason: control.NotSent, Err: err}, isDialed, true
		}
		return outcome, isDialed, true
	}
}

// eventOutcome returns the outcome of an attempt whose stream has ended with an event.
func eventOutcome(ctx context.Context, event h2.Event) (outcome Outcome) {
	if event.Err == nil {
		return responseOutcome(event.Answer)
	}
	outcome = Outcome{Reason: control.ResetByPeer, Err: event.Err}
	switch unprocessed := unprocessedReason(event); {
	case unprocessed != 0:
		outcome.Reason = unprocessed
	case event.Err.End == h2.EndCancelled && errors.Is(ctx.Err(), context.Canceled):
		outcome.Reason = control.Cancelled
	case event.Err.End == h2.EndCancelled:
		outcome.Reason = control.TimedOut
	}
	return outcome
}

// responseOutcome returns the outcome of an attempt with a complete response.
func responseOutcome(response *h2.Answer) (outcome Outcome) {
	for _, name := range reportHeaders {
		if values := response.Trailer[name]; len(values) > 0 && len(response.Header[name]) == 0 {
			response.Header[name] = values
		}
	}
	outcome.classify(response.Status, response.Header)
	outcome.Body = response.Body
	if outcome.Body == nil {
		outcome.Body = []byte{}
	}
	return outcome
}

// unprocessedReason returns the reason of an attempt whose request is known not to have run; 0 for any other.
func unprocessedReason(event h2.Event) control.Reason {
	switch {
	case event.Err == nil:
	case event.Outcome == h2.Rejected:
		return control.RejectedByServer
	case event.Outcome == h2.NotProcessed:
		return control.ConnectFailed
	}
	return 0
}
