package upstream

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/control"
	"lockflow/internal/h2"
	"lockflow/internal/protocol"
	"lockflow/internal/retrybuffer"
)

// http2Attempt is one attempt of ordinary HTTP over a stream of HTTP/2.
type http2Attempt struct {
	*RelayedRequest
	stream      *h2.Stream
	stopWatch   func() bool // from what ends the attempt
	isUnbounded bool        // no ctx bounds the wait for the answer: it counts from the last of the body
	trailers    http.Header // behind the answer: the names that were announced, then the values

	streamsBody      bool          // the body, or some of it, goes behind the head
	continueReceived chan struct{} // closed once a body that waits for 100 may be sent
	continueOnce     sync.Once     // of proceed
	endOnce          sync.Once     // of the attempt's end
	clientErr        atomic.Pointer[error]
	wasAborted       atomic.Bool // from this side
	bodyTimedOut     atomic.Bool // the server did not take the body in time
}

// attemptRelayed makes an attempt over a connection that others share; false where it has to be made over
// HTTP/1.1, and nothing has been sent.
func (s *sharedConnections) attemptRelayed(ctx, lifetime context.Context, request *RelayedRequest) (Outcome, bool) {
	if request.UpgradeProtocol != "" && s.protocol == ProtocolPreferHTTP2 { // there is none in HTTP/2
		return Outcome{}, false
	}
	attempt := &http2Attempt{RelayedRequest: request}
	outcome, isDialed, ok := s.withConnection(ctx, func(conn *h2.Conn) (err error) {
		attempt.stream, err = conn.Open(attempt.newRequest(ctx, s.scheme()), BodyWindowBytes, attempt.handleInterim)
		return err
	})
	if attempt.stream == nil {
		outcome.IsDialed = isDialed
		return outcome, ok
	}
	attempt.stopWatch = context.AfterFunc(ctx, attempt.abort)
	outcome, isStreaming := attempt.exchange()
	switch {
	case isStreaming && attempt.stopWatch():
		attempt.stopWatch = context.AfterFunc(lifetime, attempt.abort)
	case isStreaming: // its time was up at this moment
		outcome = attempt.failedOutcome(ctx, ErrAborted)
		attempt.end(false)
	case outcome.Err != nil:
		outcome = attempt.failedOutcome(ctx, outcome.Err)
		attempt.end(false)
	default:
		attempt.end(true)
	}
	outcome.IsDialed = isDialed
	return outcome, true
}

// newRequest is what goes on, with as much of the body as is small and here.
func (a *http2Attempt) newRequest(ctx context.Context, scheme string) *h2.Request {
	header := a.Header
	set := func(name, value string) {
		if a.Header != nil && len(header) == len(a.Header) {
			header = maps.Clone(a.Header)
		}
		header[name] = []string{value}
	}
	deadline, hasDeadline := ctx.Deadline()
	a.isUnbounded = !hasDeadline
	if a.SendTimeLeft {
		left := a.AnswerTimeout
		if hasDeadline {
			left = max(time.Until(deadline), time.Millisecond)
		}
		set(protocol.HeaderTimeLeft, strconv.FormatInt(left.Milliseconds(), 10)+"m")
	}
	if a.ExpectContinue {
		set("Expect", "100-continue")
	}
	request := &h2.Request{
		Method: a.RequestMethod, Scheme: scheme, Authority: a.Host, Path: a.Target, Header: header, Length: a.ContentLength,
		Begin: func() bool { return Commit(ctx) },
	}
	if a.Body == nil {
		return request
	}
	if body, ok := a.Body.Complete(); ok && len(body) <= maxInlineBodyBytes && !a.ExpectContinue && a.ContentLength >= 0 {
		request.Body = body
		return request
	}
	if len(a.TrailerNames) > 0 {
		set("Trailer", strings.Join(a.TrailerNames, ", "))
	}
	// Decided once: a body that comes whole between here and exchange would be sent by neither.
	a.streamsBody, request.More = true, true
	return request
}

func (a *http2Attempt) handleInterim(status int, header http.Header) {
	switch {
	case status != http.StatusContinue:
		if a.InterimWriter != nil {
			a.InterimWriter.WriteInterim(status, header)
		}
	case a.continueReceived != nil:
		a.continueOnce.Do(func() { close(a.continueReceived) })
	}
}

// exchange sends the body and reads the answer up to where it is held; going tells that there is more.
func (a *http2Attempt) exchange() (outcome Outcome, isStreaming bool) {
	if a.streamsBody {
		if a.ExpectContinue {
			a.continueReceived = make(chan struct{})
		}
		go a.sendBody(a.Body.NewReader())
	} else {
		a.awaitHead()
	}
	answer, err := a.stream.Head()
	if err != nil {
		return Outcome{Err: err}, false
	}
	outcome.Status, outcome.Header = answer.Status, answer.Header
	length := int64(-1)
	if lengths := answer.Header["Content-Length"]; len(lengths) > 0 {
		length, _ = strconv.ParseInt(lengths[0], 10, 64) // the connection has read it
	}
	if event := a.stream.Ended(); event != nil && event.Err == nil && !a.stream.More() { // no body, whatever its head tells of one
		length = 0
	} else {
		a.recordTrailerNames(answer.Header)
	}
	a.extendReadDeadline()
	if isBuffered, _ := a.bufferBody(&outcome, readerFunc(a.readBody), length); isBuffered {
		return outcome, false
	}
	outcome.Stream = &Stream{streamingAttempt: a, ContentLength: length}
	return outcome, true
}

// recordTrailerNames takes the names of the fields to come behind the body out of a head.
func (a *http2Attempt) recordTrailerNames(header http.Header) {
	for _, v := range header["Trailer"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name != "" {
				if a.trailers == nil {
					a.trailers = make(http.Header)
				}
				a.trailers[name] = nil
			}
		}
	}
	delete(header, "Trailer")
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// failedOutcome says what an attempt's end means that brought no answer.
func (a *http2Attempt) failedOutcome(ctx context.Context, err error) Outcome {
	outcome := Outcome{Reason: control.ResetByPeer, Err: err}
	if clientErr := a.clientErr.Load(); clientErr != nil { // the client's side
		outcome = Outcome{Reason: control.Cancelled, Err: *clientErr, Status: http.StatusBadRequest, IsFinal: true}
		if errors.Is(*clientErr, os.ErrDeadlineExceeded) {
			outcome.Status = http.StatusRequestTimeout
		}
		return outcome
	}
	unprocessed := control.Reason(0)
	if event := a.stream.Ended(); event != nil {
		unprocessed = unprocessedReason(*event)
	}
	switch {
	case unprocessed != 0:
		outcome.Reason = unprocessed
	case errors.Is(ctx.Err(), context.Canceled):
		outcome.Reason = control.Cancelled
	case ctx.Err() != nil || a.bodyTimedOut.Load() || errors.Is(err, os.ErrDeadlineExceeded):
		outcome.Reason = control.TimedOut
	}
	return outcome
}

// awaitHead bounds the wait for the answer from now on, where nothing else does.
func (a *http2Attempt) awaitHead() {
	if a.isUnbounded {
		a.stream.ReadBy(time.Now().Add(a.AnswerTimeout))
	}
}

// extendReadDeadline bounds each further wait for the answer's body.
func (a *http2Attempt) extendReadDeadline() { a.stream.ReadBy(time.Now().Add(a.IdleTimeout)) }

// sendBody sends the body as it comes. What breaks on the client's side ends the attempt.
func (a *http2Attempt) sendBody(body *retrybuffer.Reader) {
	if a.ExpectContinue {
		timer := time.NewTimer(continueTimeout)
		select {
		case <-a.continueReceived:
		case <-timer.C:
		case <-a.stream.Over():
		}
		timer.Stop()
		if a.stream.Ended() != nil {
			return
		}
	}
	buffer := BodyBuffers.Get().(*[]byte)
	defer BodyBuffers.Put(buffer)
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			a.stream.WriteBy(time.Now().Add(a.IdleTimeout))
			if _, err := a.stream.Write((*buffer)[:n]); err != nil {
				if errors.Is(err, os.ErrDeadlineExceeded) {
					a.bodyTimedOut.Store(true)
					a.abort()
				}
				return // how the stream ended is for the answer to tell
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			if !errors.Is(err, retrybuffer.ErrGone) && !errors.Is(err, retrybuffer.ErrClosed) {
				a.clientErr.Store(&err)
			}
			a.abort()
			return
		}
	}
	var trailer http.Header
	if a.Trailer != nil {
		trailer = a.Trailer()
	}
	a.stream.CloseWrite(trailer)
	a.awaitHead()
}

func (a *http2Attempt) readBody(p []byte) (int, error) {
	a.extendReadDeadline()
	return a.stream.Read(p)
}

func (a *http2Attempt) hasBuffered() bool { return a.stream.Ready() }

func (a *http2Attempt) trailer() http.Header {
	for name, values := range a.stream.Trailer() {
		if a.trailers == nil {
			a.trailers = make(http.Header)
		}
		a.trailers[name] = slices.Clone(values)
	}
	return a.trailers
}

func (a *http2Attempt) isAborted() bool       { return a.wasAborted.Load() }
func (a *http2Attempt) abort()                { a.wasAborted.Store(true); a.stream.Cut() }
func (a *http2Attempt) hasClientFailed() bool { return a.clientErr.Load() != nil }

// end lets go of the stream: one that has not ended is reset.
func (a *http2Attempt) end(bool) {
	a.endOnce.Do(func() {
		a.stopWatch()
		a.stream.Cut()
		a.stream.Close()
	})
}
