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

// http2Attempt is one attempt of a RelayedRequest over an HTTP/2 stream. The goroutine of the attempt reads the
// response. A second goroutine sends a body that is not written with the head; it ends with the stream.
type http2Attempt struct {
	*RelayedRequest
	stream               *h2.Stream
	stopContextWatch     func() bool // stops waiting for the context that ends the attempt
	lacksContextDeadline bool        // ctx has no deadline: ResponseTimeout applies, from the last byte of the request
	trailers             http.Header // trailers of the response: announced names, with their values once they have arrived

	streamsBody      bool          // the body is not written with the head
	continueReceived chan struct{} // closed when a body that waits for a 100 may be sent; nil if it does not wait
	closeOnce        sync.Once     // closes continueReceived
	endOnce          sync.Once
	clientErr        atomic.Pointer[error]
	wasAborted       atomic.Bool
	bodyTimedOut     atomic.Bool // the server did not accept the body in time
}

// attemptRelayed makes an attempt over a shared connection. It returns false, without having sent anything, if the
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
	isProcessUnknown := outcome.IsProcessUnknown
	outcome = attempt.run(ctx, lifetime)
	outcome.IsProcessUnknown = isProcessUnknown
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

// newRequest creates the head of the request, with the body if that is complete and small.
func (a *http2Attempt) newRequest(ctx context.Context, scheme string) *h2.Request {
	_, hasDeadline := ctx.Deadline()
	a.lacksContextDeadline = !hasDeadline
	request := &h2.Request{
		Method:        a.RequestMethod,
		Scheme:        scheme,
		Authority:     a.Host,
		Path:          a.Target,
		ContentLength: a.ContentLength,
		MayBegin:      func() bool { return commitByWriteDeadline(ctx) },
		WriteDeadline: writeDeadline(ctx),
	}
	if a.Body != nil {
		if body, ok := a.inlineBody(); ok {
			request.Body = body
		} else {
			// Decided only once: if exchange checked again, a body that became complete in between would not be
			// sent at all.
			a.streamsBody = true
			request.HasMoreBody = true
		}
	}
	request.Header = a.requestHeader(ctx)
	return request
}

// requestHeader returns the client's header with the fields that this node adds.
func (a *http2Attempt) requestHeader(ctx context.Context) http.Header {
	header := a.Header
	set := func(name, value string) {
		if a.Header != nil && len(header) == len(a.Header) { // cloned because attempts share the client's header
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

// handleInterim processes an interim response.
func (a *http2Attempt) handleInterim(status int, header http.Header) {
	switch {
	case status != http.StatusContinue:
		if a.InterimWriter != nil {
			a.InterimWriter.WriteInterim(status, header)
		}
	case a.continueReceived != nil:
		a.closeOnce.Do(func() { close(a.continueReceived) })
	}
}

// exchange sends the body and reads the response as far as it is buffered. isStreaming reports that the response
// continues as a stream.
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

// responseLength returns the length of the response's body, negative if unknown. It moves the announced trailer names
// out of the header.
func (a *http2Attempt) responseLength(header http.Header) int64 {
	length := int64(-1)
	if lengths := header["Content-Length"]; len(lengths) > 0 {
		length, _ = strconv.ParseInt(lengths[0], 10, 64) // validated by the connection
	}
	if event := a.stream.Result(); event != nil && event.Err == nil && !a.stream.HasMore() {
		return 0 // there is no body, whatever the header states
	}
	a.recordTrailerNames(header)
	return length
}

// recordTrailerNames moves the announced names of trailer fields from a header to the trailers.
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

// readerFunc adapts a function to io.Reader.
type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// failedOutcome returns the outcome of an attempt without a response.
func (a *http2Attempt) failedOutcome(ctx context.Context, err error) Outcome {
	if clientErr := a.clientErr.Load(); clientErr != nil {
		return clientFailure(*clientErr, errors.Is(*clientErr, os.ErrDeadlineExceeded))
	}
	outcome := Outcome{Reason: control.ResetByPeer, Err: err}
	unprocessed := control.Reason(0)
	wasCancelled := false // by this side; without an end of ctx, at the write deadline
	if event := a.stream.Result(); event != nil {
		unprocessed = unprocessedReason(*event)
		wasCancelled = event.Err != nil && event.Err.End == h2.EndCancelled
	}
	switch {
	case unprocessed != 0:
		outcome.Reason = unprocessed
	case errors.Is(ctx.Err(), context.Canceled):
		outcome.Reason = control.Cancelled
	case ctx.Err() != nil || wasCancelled || a.bodyTimedOut.Load() || errors.Is(err, os.ErrDeadlineExceeded):
		outcome.Reason = control.TimedOut
	}
	return outcome
}

// setHeadDeadline limits the wait for the response, starting now, if ctx has no deadline.
func (a *http2Attempt) setHeadDeadline() {
	if a.lacksContextDeadline {
		a.stream.SetReadDeadline(time.Now().Add(a.ResponseTimeout))
	}
}

// extendReadDeadline limits the time of the next read of the response's body.
func (a *http2Attempt) extendReadDeadline() { a.stream.SetReadDeadline(time.Now().Add(a.IdleTimeout)) }

// sendBody sends the body as it arrives. A client error ends the attempt. A server error is reported by the goroutine
// that reads the response.
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
	a.stream.SetWriteDeadline(time.Now().Add(a.IdleTimeout))
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

// end resets the stream if it has not ended, and releases it.
func (a *http2Attempt) end(bool) {
	a.endOnce.Do(func() {
		a.stopContextWatch()
		a.stream.Abort()
		a.stream.Close()
	})
}
