package upstream

import (
	"context"
	"errors"
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

// http2Attempt is one attempt of a RelayedRequest over a stream of HTTP/2. The goroutine of the attempt reads
// the answer; a second one sends a body that does not go with the head, and ends with the stream.
type http2Attempt struct {
	*RelayedRequest
	stream               *h2.Stream
	stopContextWatch     func() bool // stops waiting for the context that ends the attempt
	lacksContextDeadline bool        // ctx has no deadline: the wait for the answer counts from the last byte of the body
	trailers             http.Header // of the answer: the announced names, and the values once they have arrived

	streamsBody      bool          // the body does not go with the head
	continueReceived chan struct{} // closed once a body that waits for a 100 may be sent; nil where none does
	continueOnce     sync.Once     // closes continueReceived
	endOnce          sync.Once
	clientErr        atomic.Pointer[error]
	wasAborted       atomic.Bool
	bodyTimedOut     atomic.Bool // the server did not take the body in time
}

// attemptRelayed makes an attempt over a shared connection. It returns false, and has sent nothing, where the
// attempt has to be made over HTTP/1.1.
func (s *sharedConnections) attemptRelayed(ctx, lifetime context.Context, request *RelayedRequest) (Outcome, bool) {
	if request.UpgradeProtocol != "" && s.protocol == ProtocolPreferHTTP2 { // HTTP/2 has no upgrades
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
	outcome = attempt.run(ctx, lifetime)
	outcome.IsDialed = isDialed
	return outcome, true
}

// run makes the attempt on its stream.
func (a *http2Attempt) run(ctx, lifetime context.Context) Outcome {
	a.stopContextWatch = context.AfterFunc(ctx, a.abort)
	outcome, isStreaming := a.exchange()
	switch {
	case isStreaming && a.stopContextWatch():
		a.stopContextWatch = context.AfterFunc(lifetime, a.abort)
	case isStreaming: // ctx ended at this moment
		outcome = a.failedOutcome(ctx, ErrAborted)
		a.end(false)
	case outcome.Err != nil:
		outcome = a.failedOutcome(ctx, outcome.Err)
		a.end(false)
	default:
		a.end(true)
	}
	return outcome
}

// newRequest makes the request's head, with a body that is complete and small.
func (a *http2Attempt) newRequest(ctx context.Context, scheme string) *h2.Request {
	_, hasDeadline := ctx.Deadline()
	a.lacksContextDeadline = !hasDeadline
	request := &h2.Request{
		Method:        a.RequestMethod,
		Scheme:        scheme,
		Authority:     a.Host,
		Path:          a.Target,
		ContentLength: a.ContentLength,
		MayBegin:      func() bool { return Commit(ctx) },
	}
	if a.Body != nil {
		if body, ok := a.inlineBody(); ok {
			request.Body = body
		} else {
			// Decided once: a body that becomes complete between here and exchange would not be sent at all.
			a.streamsBody = true
			request.HasMoreBody = true
		}
	}
	request.Header = a.requestHeader(ctx)
	return request
}

// requestHeader returns the client's header with the fields that are this node's.
func (a *http2Attempt) requestHeader(ctx context.Context) http.Header {
	header := a.Header
	set := func(name, value string) {
		if a.Header != nil && len(header) == len(a.Header) { // attempts share the client's header
			header = maps.Clone(a.Header)
		}
		header[name] = []string{value}
	}
	if a.SendTimeLeft {
		set(protocol.HeaderTimeLeft, formatTimeLeft(a.timeLeft(ctx)))
	}
	if a.ExpectContinue {
		set("Expect", "100-continue")
	}
	if a.streamsBody && len(a.TrailerNames) > 0 {
		set("Trailer", strings.Join(a.TrailerNames, ", "))
	}
	return header
}

// handleInterim processes an interim answer.
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

// exchange sends the body and reads the answer as far as it is buffered. isStreaming reports that there is more
// of it.
func (a *http2Attempt) exchange() (outcome Outcome, isStreaming bool) {
	if a.streamsBody {
		if a.ExpectContinue {
			a.continueReceived = make(chan struct{})
		}
		go a.sendBody(a.Body.NewReader())
	} else {
		a.setHeadDeadline()
	}
	response, err := a.stream.Head()
	if err != nil {
		return Outcome{Err: err}, false
	}
	outcome.Status = response.Status
	outcome.Header = response.Header
	length := a.responseLength(response.Header)
	a.extendReadDeadline()
	if isBuffered, _ := a.bufferBody(&outcome, readerFunc(a.readBody), length); isBuffered {
		return outcome, false
	}
	outcome.Stream = &Stream{streamingAttempt: a, ContentLength: length}
	return outcome, true
}

// answerLength returns the length of the answer's body, below zero where it is not known, and takes the names of
// its trailer out of the header.
func (a *http2Attempt) responseLength(header http.Header) int64 {
	length := int64(-1)
	if lengths := header["Content-Length"]; len(lengths) > 0 {
		length, _ = strconv.ParseInt(lengths[0], 10, 64) // the connection has checked it
	}
	if event := a.stream.Ended(); event != nil && event.Err == nil && !a.stream.HasMore() {
		return 0 // there is no body, whatever the header says
	}
	a.recordTrailerNames(header)
	return length
}

// recordTrailerNames moves the announced names of trailer fields out of a header.
func (a *http2Attempt) recordTrailerNames(header http.Header) {
	for _, names := range header["Trailer"] {
		for name := range strings.SplitSeq(names, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name != "" {
				a.setTrailer(name, nil)
			}
		}
	}
	delete(header, "Trailer")
}

func (a *http2Attempt) setTrailer(name string, values []string) {
	if a.trailers == nil {
		a.trailers = make(http.Header)
	}
	a.trailers[name] = values
}

// readerFunc is an io.Reader that calls itself.
type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// failedOutcome is the outcome of an attempt without an answer.
func (a *http2Attempt) failedOutcome(ctx context.Context, err error) Outcome {
	if clientErr := a.clientErr.Load(); clientErr != nil {
		return clientFailure(*clientErr, errors.Is(*clientErr, os.ErrDeadlineExceeded))
	}
	outcome := Outcome{Reason: control.ResetByPeer, Err: err}
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

// awaitHead bounds the wait for the answer from now on, where ctx has no deadline.
func (a *http2Attempt) setHeadDeadline() {
	if a.lacksContextDeadline {
		a.stream.ReadBy(time.Now().Add(a.AnswerTimeout))
	}
}

// extendReadDeadline bounds the next read of the answer's body.
func (a *http2Attempt) extendReadDeadline() { a.stream.ReadBy(time.Now().Add(a.IdleTimeout)) }

// sendBody sends the body as it arrives. A fault of the client ends the attempt; one of the server is reported by the
// reading of the answer.
func (a *http2Attempt) sendBody(body *retrybuffer.Reader) {
	if a.ExpectContinue && !awaitContinue(a.continueReceived, a.stream.Done()) {
		return
	}
	readErr, writeErr := copyBody(body, a.writePiece)
	switch {
	case errors.Is(writeErr, os.ErrDeadlineExceeded):
		a.bodyTimedOut.Store(true)
		a.abort()
		return
	case writeErr != nil:
		return
	case readErr != nil:
		if isClientError(readErr) {
			a.clientErr.Store(&readErr)
		}
		a.abort()
		return
	}
	var trailer http.Header
	if a.Trailer != nil {
		trailer = a.Trailer()
	}
	a.stream.CloseWrite(trailer)
	a.setHeadDeadline()
}

// writePiece writes one piece of the body.
func (a *http2Attempt) writePiece(piece []byte) error {
	a.stream.WriteBy(time.Now().Add(a.IdleTimeout))
	_, err := a.stream.Write(piece)
	return err
}

// The methods below implement streamingAttempt.

func (a *http2Attempt) readBody(p []byte) (int, error) {
	a.extendReadDeadline()
	return a.stream.Read(p)
}

func (a *http2Attempt) hasBuffered() bool { return a.stream.HasBuffered() }

func (a *http2Attempt) trailer() http.Header {
	for name, values := range a.stream.Trailer() {
		a.setTrailer(name, slices.Clone(values))
	}
	return a.trailers
}

func (a *http2Attempt) isAborted() bool       { return a.wasAborted.Load() }
func (a *http2Attempt) hasClientFailed() bool { return a.clientErr.Load() != nil }

func (a *http2Attempt) abort() {
	a.wasAborted.Store(true)
	a.stream.Abort()
}

// end resets a stream that has not ended, and releases it.
func (a *http2Attempt) end(bool) {
	a.endOnce.Do(func() {
		a.stopContextWatch()
		a.stream.Abort()
		a.stream.Close()
	})
}
