package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lockflow/control"
	"lockflow/internal/validation"
)

const (
	maxInterimResponses = 32              // limit for one request
	headTimeout         = 5 * time.Second // limit from the first byte of a response head to its last, if ctx has no deadline
)

// http1Attempt is one attempt of a RelayedRequest over HTTP/1.1. The goroutine of the attempt writes the head and
// reads the response. A second goroutine sends a body that is not written with the head; it ends with the attempt.
type http1Attempt struct {
	*RelayedRequest
	upstream             *Upstream
	pool                 *Pool
	conn                 *serverConn
	stopContextWatch     func() bool // stops waiting for the context that ends the attempt
	request              http.Request
	response             *http.Response // response whose body is read; nil for a tunnel
	headScanner          validation.Scanner
	headBytesLeft        int
	isReadingBody        bool           // the final head has been read
	lacksContextDeadline bool           // ctx has no deadline: ResponseTimeout applies, from the last byte of the request
	hasConnDeadline      bool           // a deadline is set on the connection
	writeDeadline        time.Time      // from which on no more of the request is written; zero is none
	deliveryGuard        *deliveryGuard // of writeDeadline; nil if there is none
	isComplete           bool           // the response has been read to its end
	isTunnel             bool           // the connection has switched to another protocol

	bodySendEnded    chan struct{} // closed when sending of the body has ended; nil if the body was written with the head
	continueReceived chan struct{} // closed when a body that waits for a 100 may be sent; nil if it does not wait
	attemptEnded     chan struct{} // closed when the attempt ends; nil if no body waits for a 100
	isRequestWritten atomic.Bool   // the request has been written completely
	clientErr        atomic.Pointer[error]
	releaseOnce      sync.Once

	mu            sync.Mutex // guards isHeadStarted, and the read deadline until isHeadStarted is true
	isHeadStarted bool       // part of the current response's head has arrived
}

// run makes the attempt.
func (a *http1Attempt) run(ctx, lifetime context.Context) Outcome {
	a.request.Method = a.RequestMethod
	a.headScanner.ReadsResponses = true
	a.headScanner.MaxFields = maxHeadFields
	a.conn.responses.start(time.Time{}, maxHeadBytes)
	a.conn.responses.attempt = a
	a.stopContextWatch = context.AfterFunc(ctx, a.conn.interrupt)
	outcome, isStreaming := a.exchange(ctx)
	switch {
	case isStreaming && a.stopContextWatch():
		a.stopContextWatch = context.AfterFunc(lifetime, a.conn.interrupt)
		return outcome
	case isStreaming: // ctx ended at this moment
		outcome = Outcome{Err: context.Cause(ctx)}
	case outcome.Err == nil:
		a.end(true)
		return outcome
	}
	outcome = a.failedOutcome(ctx, outcome)
	a.release(false)
	return outcome
}

// exchange sends the request and reads the response as far as it is buffered. isStreaming reports that the response
// continues as a stream.
func (a *http1Attempt) exchange(ctx context.Context) (outcome Outcome, isStreaming bool) {
	if outcome := a.sendRequest(ctx); outcome.Err != nil {
		return outcome, false
	}
	response, err := a.readFinalHead()
	if err != nil {
		return Outcome{Reason: control.ResetByPeer, Err: err}, false
	}
	a.isReadingBody = true
	a.request.Close = response.Close
	outcome.Status = response.StatusCode
	outcome.Header = response.Header
	if response.StatusCode == http.StatusSwitchingProtocols {
		a.isTunnel = true
		outcome.Reason = control.OK
		outcome.IsFinal = true
		outcome.Stream = &Stream{streamingAttempt: a, http1: a, IsTunnel: true, ContentLength: -1}
		return outcome, true
	}
	a.response = response
	length := response.ContentLength
	if response.Body == http.NoBody {
		response.Body.Close()
		length = 0
	}
	if isBuffered, isTruncated := a.bufferBody(&outcome, response.Body, length); isBuffered {
		a.request.Close = a.request.Close || isTruncated
		return outcome, false
	}
	outcome.Stream = &Stream{streamingAttempt: a, http1: a, ContentLength: length}
	return outcome, true
}

// failedOutcome returns the outcome of an attempt without a response. If the client or ctx ended the attempt, the
// connection's error is only a consequence and does not determine the reason.
func (a *http1Attempt) failedOutcome(ctx context.Context, outcome Outcome) Outcome {
	switch clientErr := a.clientErr.Load(); {
	case clientErr != nil:
		return clientFailure(*clientErr, isTimeout(*clientErr))
	case errors.Is(ctx.Err(), context.Canceled):
		outcome.Reason = control.Cancelled
	case ctx.Err() != nil || isTimeout(outcome.Err):
		outcome.Reason = control.TimedOut
	}
	return outcome
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// canReuseConnection reports whether the request has been written completely and no unread bytes remain.
func (a *http1Attempt) canReuseConnection() bool {
	if a.bodySendEnded != nil {
		select {
		case <-a.bodySendEnded:
		default:
			return false
		}
	}
	return a.isRequestWritten.Load() && a.conn.reader.Buffered() == 0
}

// release returns the connection to its pool or closes it. Calls after the first have no effect.
func (a *http1Attempt) release(canReuse bool) {
	a.releaseOnce.Do(func() {
		if a.attemptEnded != nil {
			close(a.attemptEnded)
		}
		a.deliveryGuard.stop()
		isRunning := a.stopContextWatch()
		a.conn.responses.attempt = nil
		switch {
		case a.isTunnel:
			a.conn.Close()
			a.upstream.processOf(a.pool).closed(a.conn, false)
			return
		case !isRunning || !canReuse || a.conn.isInterrupted.Load():
			a.upstream.discard(a.pool, a.conn, !a.isComplete && a.conn.isClosedByPeer())
			return
		}
		if a.hasConnDeadline || a.bodySendEnded != nil {
			a.conn.SetDeadline(time.Time{})
		}
		a.upstream.release(a.pool, a.conn, a.upstream.relayedQuietPeriod())
	})
}

// readResponseBytes reads from the connection on behalf of its responseReader.
func (a *http1Attempt) readResponseBytes(b []byte) (int, error) {
	if a.headBytesLeft <= 0 {
		return 0, errResponseTooLong
	}
	if a.isReadingBody {
		a.hasConnDeadline = true
		a.conn.readBy(time.Now().Add(a.IdleTimeout))
		n, err := a.conn.Read(b)
		if errors.Is(err, io.EOF) && a.response != nil && a.conn.wasReset() {
			err = syscall.ECONNRESET
		}
		return n, err
	}
	n, err := a.conn.Read(b[:min(len(b), a.headBytesLeft)])
	a.headBytesLeft -= n
	if n > 0 {
		a.startHeadTimeout()
	}
	if invalid := a.headScanner.Feed(b[:n]); invalid != nil {
		return 0, fmt.Errorf("response head: %w", invalid)
	}
	return n, err
}

// startHeadTimeout limits the time for the rest of a head whose first byte has arrived, if ctx has no deadline.
func (a *http1Attempt) startHeadTimeout() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lacksContextDeadline && !a.isHeadStarted {
		a.hasConnDeadline = true
		a.conn.readBy(time.Now().Add(headTimeout))
	}
	a.isHeadStarted = true
}

// setHeadDeadline limits the wait for the first byte of a head, if ctx has no deadline. The time starts now if the
// request has been written completely.
func (a *http1Attempt) setHeadDeadline() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isHeadStarted || !a.lacksContextDeadline {
		return
	}
	if a.isRequestWritten.Load() {
		a.conn.readBy(time.Now().Add(a.ResponseTimeout))
	} else {
		a.conn.readBy(time.Time{}) // sendBody sets write deadlines of its own
	}
}

// readFinalHead reads heads up to that of the final response, or of a switch to another protocol.
func (a *http1Attempt) readFinalHead() (*http.Response, error) {
	for interimResponses := 0; ; interimResponses++ {
		response, err := readHead(a.conn.reader, &a.request)
		if err != nil {
			if !a.isRequestWritten.Load() && a.bodySendEnded != nil && a.clientErr.Load() == nil {
				err = fmt.Errorf("while sending the request body: %w", err)
			}
			return nil, err
		}
		switch status := response.StatusCode; {
		case status >= http.StatusOK, a.isUpgrade(response):
			return response, nil
		case !isInterim(status) || interimResponses >= maxInterimResponses:
			return nil, fmt.Errorf("unexpected response status: %s", response.Status)
		}
		a.handleInterim(response)
	}
}

// isUpgrade reports whether the server switches to the protocol that the request offers.
func (a *http1Attempt) isUpgrade(response *http.Response) bool {
	if response.StatusCode != http.StatusSwitchingProtocols || a.UpgradeProtocol == "" || !a.isRequestWritten.Load() {
		return false
	}
	return strings.EqualFold(response.Header.Get("Upgrade"), a.UpgradeProtocol)
}

// handleInterim processes an interim response and prepares for the next response.
func (a *http1Attempt) handleInterim(response *http.Response) {
	if response.StatusCode == http.StatusContinue {
		a.allowBody()
	} else if a.InterimWriter != nil {
		a.InterimWriter.WriteInterim(response.StatusCode, response.Header)
	}
	if a.conn.reader.Buffered() > 0 {
		return
	}
	a.mu.Lock()
	a.isHeadStarted = false
	a.headBytesLeft = maxHeadBytes
	a.mu.Unlock()
	a.setHeadDeadline()
}

// The methods below implement streamingAttempt.

func (a *http1Attempt) readBody(p []byte) (int, error) {
	if a.response == nil {
		return a.conn.reader.Read(p)
	}
	return a.response.Body.Read(p)
}

func (a *http1Attempt) hasBuffered() bool     { return a.conn.reader.Buffered() > 0 }
func (a *http1Attempt) trailer() http.Header  { return a.response.Trailer }
func (a *http1Attempt) isAborted() bool       { return a.conn.isInterrupted.Load() }
func (a *http1Attempt) abort()                { a.conn.interrupt() }
func (a *http1Attempt) hasClientFailed() bool { return a.clientErr.Load() != nil }

func (a *http1Attempt) end(isComplete bool) {
	a.isComplete = isComplete
	if isComplete && a.response != nil && !a.request.Close && a.conn.reader.Buffered() > 0 {
		a.upstream.noteUnsolicitedResponse()
	}
	a.release(isComplete && !a.request.Close && a.canReuseConnection())
}
