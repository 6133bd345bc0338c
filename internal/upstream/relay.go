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
	"lockflow/internal/responseclass"
	"lockflow/internal/retrybuffer"
	"lockflow/internal/validation"
)

const (
	maxInlineBodyBytes = 4 << 10         // of a body that is written with the head
	maxInterimAnswers  = 32              // answers of 1xx to one request
	continueTimeout    = time.Second     // for a 100 before the body is sent without (RFC 9110, 10.1.1)
	headTimeout        = 5 * time.Second // from the first byte of an answer's head to its last
)

// InterimWriter is told of answers of 1xx that go on to the client, by an attempt's goroutine.
type InterimWriter interface {
	WriteInterim(status int, h http.Header)
}

// RelayedRequest is a request of ordinary HTTP (RFC 9110, 9112) as attempts send it. Its fields are not
// changed once the first attempt is made; one is out at a time.
type RelayedRequest struct {
	// Name, Target and Host go on as they are.
	RequestMethod, Target, Host string
	Header                      http.Header
	Trailer                     func() http.Header // known once all of the body was read; nil is none
	TrailerNames                []string           // that are announced
	Body                        *retrybuffer.Body  // nil is none
	ContentLength               int64              // of the body; below zero it goes in chunks
	ExpectContinue              bool               // the body waits for an answer of 100
	UpgradeProtocol             string             // protocol that may be changed to; "" is none

	ResponseRules    *responseclass.Rules
	MaxBufferedBytes int           // most bytes of an answer's body that are held
	IdleTimeout      time.Duration // for which one window of a body may take to move
	AnswerTimeout    time.Duration // from a body's last byte to the answer's first
	SendTimeLeft     bool          // how long the node will wait

	InterimWriter InterimWriter // nil is nobody asks
}

// Method is the request's.
func (r *RelayedRequest) Method() string { return r.RequestMethod }

// IsBodyPending tells whether some of the body is still to come.
func (r *RelayedRequest) IsBodyPending() bool { return r.Body != nil && !r.Body.HasEnded() }

// CanRetry tells whether a further attempt could send all of it.
func (r *RelayedRequest) CanRetry() bool { return r.Body == nil || r.Body.CanRetry() }

// http1Attempt is one attempt.
type http1Attempt struct {
	*RelayedRequest
	upstream      *Upstream
	pool          *Pool
	conn          *serverConn
	stopWatch     func() bool // from what ends the attempt
	request       http.Request
	response      *http.Response // whose body is read; nil for a tunnel
	headScanner   validation.Scanner
	headBytesLeft int  // bytes that heads may still have
	inBody        bool // what is read now is no head
	isUnbounded   bool // no ctx bounds the wait for the answer: it counts from the last of the body
	hasDeadline   bool // some deadline is set

	bodyEnded        chan struct{} // closed when nothing more of the body is sent; nil where it went with the head
	continueReceived chan struct{} // closed once a body that waits for 100 may be sent; nil where none does
	attemptEnded     chan struct{} // closed with the attempt, where a body waits
	isSent           atomic.Bool   // all of the request is
	clientErr        atomic.Pointer[error]
	endOnce          sync.Once

	mu        sync.Mutex // of what reader and pump both set
	headBegun bool       // the answer's head has
}

// BodyWindowBytes is what of a body is under way at once, each way, in bytes.
const BodyWindowBytes = 32 << 10

// BodyBuffers holds *[]byte of a Window, for bodies that go on as they come.
var BodyBuffers = sync.Pool{New: func() any { b := make([]byte, BodyWindowBytes); return &b }}

// Attempt makes one attempt: it waits for an answer's head until ctx ends at the most. An answer
// that is not held goes on as a Stream, until life ends.
func (r *RelayedRequest) Attempt(ctx, lifetime context.Context, upstream *Upstream, pool *Pool) Outcome {
	if shared := upstream.sharedConnectionsOf(pool); shared != nil {
		if outcome, ok := shared.attemptRelayed(ctx, lifetime, r); ok {
			return outcome
		}
	}
	conn, err := upstream.acquire(ctx, pool)
	if err != nil {
		return unconnectedOutcome(err)
	}
	if !Commit(ctx) {
		return upstream.releaseUnused(pool, conn)
	}
	attempt := &http1Attempt{RelayedRequest: r, upstream: upstream, pool: pool, conn: conn, headBytesLeft: maxHeadBytes}
	attempt.request.Method = r.RequestMethod
	attempt.headScanner.ReadsAnswers = true
	conn.answers.start(time.Time{}, maxHeadBytes)
	conn.answers.attempt = attempt
	attempt.stopWatch = context.AfterFunc(ctx, conn.interrupt)
	outcome, isStreaming := attempt.exchange(ctx)
	switch {
	case isStreaming:
		if !attempt.stopWatch() { // its time was up at this moment
			outcome = Outcome{Err: context.Cause(ctx)}
			break
		}
		attempt.stopWatch = context.AfterFunc(lifetime, conn.interrupt)
		return outcome
	case outcome.Err == nil:
		attempt.release(!attempt.request.Close && attempt.canReuseConnection())
		return outcome
	}
	// What ends an attempt from outside shows as an error of its own kind on the connection.
	var timeout net.Error
	switch {
	case attempt.clientErr.Load() != nil: // the client's side
		outcome = Outcome{Reason: control.Cancelled, Err: *attempt.clientErr.Load(), Status: http.StatusBadRequest, IsFinal: true}
		if errors.As(outcome.Err, &timeout) && timeout.Timeout() {
			outcome.Status = http.StatusRequestTimeout
		}
	case errors.Is(ctx.Err(), context.Canceled):
		outcome.Reason = control.Cancelled
	case ctx.Err() != nil || errors.As(outcome.Err, &timeout) && timeout.Timeout():
		outcome.Reason = control.TimedOut
	}
	attempt.release(false)
	return outcome
}

// canReuseConnection tells whether the request has gone out and nothing else is on the connection.
func (a *http1Attempt) canReuseConnection() bool {
	if a.bodyEnded != nil {
		select {
		case <-a.bodyEnded:
		default:
			return false
		}
	}
	return a.isSent.Load() && a.conn.reader.Buffered() == 0
}

// release lets go of the connection, once.
func (a *http1Attempt) release(reuse bool) {
	a.endOnce.Do(func() {
		if a.attemptEnded != nil {
			close(a.attemptEnded)
		}
		isRunning := a.stopWatch()
		a.conn.answers.attempt = nil
		if !isRunning || !reuse {
			a.conn.Close()
			return
		}
		if a.hasDeadline || a.bodyEnded != nil {
			a.conn.SetDeadline(time.Time{})
		}
		a.upstream.release(a.pool, a.conn)
	})
}

// readAnswer is the reading of an answer's bytes.
func (a *http1Attempt) readAnswer(b []byte) (int, error) {
	if a.headBytesLeft <= 0 {
		return 0, errTooLong
	}
	if a.inBody {
		a.hasDeadline = true
		a.conn.readBy(time.Now().Add(a.IdleTimeout))
		n, err := a.conn.Read(b)
		if errors.Is(err, io.EOF) && a.response != nil && a.conn.wasReset() {
			err = syscall.ECONNRESET
		}
		return n, err
	}
	n, err := a.conn.Read(b[:min(len(b), a.headBytesLeft)])
	if a.headBytesLeft -= n; n > 0 {
		a.beginHead()
	}
	if bad := a.headScanner.Feed(b[:n]); bad != nil {
		return 0, fmt.Errorf("the answer's head: %w", bad)
	}
	return n, err
}

// beginHead bounds the time of a head that has begun.
func (a *http1Attempt) beginHead() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isUnbounded && !a.headBegun {
		a.hasDeadline = true
		a.conn.readBy(time.Now().Add(headTimeout))
	}
	a.headBegun = true
}

// awaitHead waits for a head to begin: for so long from now where the whole request is out.
func (a *http1Attempt) awaitHead() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.headBegun || !a.isUnbounded {
		return
	}
	if a.isSent.Load() {
		a.conn.readBy(time.Now().Add(a.AnswerTimeout))
	} else {
		a.conn.readBy(time.Time{}) // the pump has bounds of its own
	}
}

// exchange sends the request and reads the answer up to where it is held; going tells that there
// is more.
func (a *http1Attempt) exchange(ctx context.Context) (outcome Outcome, isStreaming bool) {
	if outcome := a.sendRequest(ctx); outcome.Err != nil {
		return outcome, false
	}
	response, err := a.readFinalHead()
	if err != nil {
		return Outcome{Reason: control.ResetByPeer, Err: err}, false
	}
	a.inBody = true
	a.request.Close = response.Close
	outcome.Status, outcome.Header = response.StatusCode, response.Header
	if response.StatusCode == http.StatusSwitchingProtocols {
		outcome.Reason, outcome.IsFinal = control.OK, true
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
	a.release(isComplete && !a.request.Close && a.canReuseConnection())
}

// bufferBody says what an answer's head means and holds its body, of n bytes (below zero is not known),
// where it is to be held; cut says that some of it was left unread.
func (r *RelayedRequest) bufferBody(outcome *Outcome, body io.Reader, length int64) (isBuffered, isTruncated bool) {
	meaning := r.ResponseRules.Classify(outcome.Status, outcome.Header)
	outcome.Reason, outcome.IsFinal = meaning.Reason, meaning.IsFinal
	switch {
	case length == 0:
	case length > 0 && length <= int64(r.MaxBufferedBytes) && !isEventStream(outcome.Header):
		outcome.Body = make([]byte, length)
		if _, err := io.ReadFull(body, outcome.Body); err != nil {
			*outcome = Outcome{Reason: control.ResetByPeer, Err: err}
		}
	case !meaning.IsFinal:
		// What might be tried elsewhere is held for the case that nothing better comes; where it is
		// too long, the node's own answer has to do.
		read, err := io.ReadAll(io.LimitReader(body, int64(r.MaxBufferedBytes)+1))
		if outcome.Body = read; err != nil || len(read) > r.MaxBufferedBytes {
			outcome.Status, outcome.Body, isTruncated = 0, nil, true
		}
	default:
		return false, false
	}
	return true, isTruncated
}

func isEventStream(header http.Header) bool {
	values := header["Content-Type"]
	return len(values) > 0 && strings.HasPrefix(strings.ToLower(values[0]), "text/event-stream")
}

// readFinalHead reads heads up to that of the final answer, or of a change of protocol.
func (a *http1Attempt) readFinalHead() (*http.Response, error) {
	for n := 0; ; n++ {
		response, err := readHead(a.conn.reader, &a.request)
		if err != nil {
			if !a.isSent.Load() && a.bodyEnded != nil && a.clientErr.Load() == nil {
				err = fmt.Errorf("while the body was sent: %w", err)
			}
			return nil, err
		}
		switch status := response.StatusCode; {
		case status == http.StatusSwitchingProtocols && a.UpgradeProtocol != "" && a.isSent.Load() && strings.EqualFold(response.Header.Get("Upgrade"), a.UpgradeProtocol):
			return response, nil
		case status < 200 && status != http.StatusSwitchingProtocols && n < maxInterimAnswers:
			if status == http.StatusContinue {
				a.allowBody()
			} else if a.InterimWriter != nil {
				a.InterimWriter.WriteInterim(status, response.Header)
			}
			if a.conn.reader.Buffered() == 0 { // the next head comes when it comes
				a.mu.Lock()
				a.headBegun, a.headBytesLeft = false, maxHeadBytes
				a.mu.Unlock()
				a.awaitHead()
			}
			continue
		case status < 200:
			return nil, fmt.Errorf("unasked for: %s", response.Status)
		}
		return response, nil
	}
}
