package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"lockflow/control"
	"lockflow/internal/responseclass"
	"lockflow/internal/retrybuffer"
)

const (
	// BodyWindowBytes is the number of bytes of a body that are in transit at once in each direction.
	BodyWindowBytes = 32 << 10
	// maxInlineBodyBytes is the maximum size of a complete body that is written together with its head.
	maxInlineBodyBytes = 4 << 10
	// continueTimeout is how long the node waits for a 100 (Continue) before it sends the body without it (RFC 9110,
	// 10.1.1).
	continueTimeout = time.Second
)

// BodyBuffers is a pool of *[]byte of BodyWindowBytes each, for bodies that are relayed as they arrive.
var BodyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, BodyWindowBytes)
	return &buffer
}}

// InterimWriter forwards interim responses (1xx) to the client. It is called on the goroutine of an attempt.
type InterimWriter interface {
	WriteInterim(status int, header http.Header)
}

// RelayedRequest is a request of generic HTTP (RFC 9110, 9112). Its fields must not change once the first attempt
// has started. At most one of its attempts runs at a time.
type RelayedRequest struct {
	// RequestMethod, Target and Host are forwarded unchanged.
	RequestMethod, Target, Host string
	Header                      http.Header
	Trailer                     func() http.Header // valid once the body has been read completely; nil if there is none
	TrailerNames                []string           // trailer names announced by the client
	Body                        *retrybuffer.Body  // nil if there is none
	ContentLength               int64              // length of the body; negative if it is sent in chunks
	ExpectContinue              bool               // the body is sent only after a 100 (Continue) or continueTimeout
	UpgradeProtocol             string             // protocol that the connection may switch to; "" is none

	ResponseRules    *responseclass.Rules
	MaxBufferedBytes int           // limit of a buffered response body
	IdleTimeout      time.Duration // limit for transferring BodyWindowBytes of a body
	ResponseTimeout  time.Duration // limit from the last byte of the request to the first of the response, if ctx has no deadline
	SendTimeLeft     bool          // adds a header field with the time that the node will wait

	InterimWriter InterimWriter // nil discards interim responses
}

// Method returns the request's method.
func (r *RelayedRequest) Method() string { return r.RequestMethod }

// IsBodyPending reports whether part of the body has yet to arrive from the client.
func (r *RelayedRequest) IsBodyPending() bool { return r.Body != nil && !r.Body.HasEnded() }

// CanRetry reports whether the complete body is available for another attempt.
func (r *RelayedRequest) CanRetry() bool { return r.Body == nil || r.Body.CanRetry() }

// Attempt makes one attempt and returns once it has the head of a response, at the latest when ctx ends. A response
// that is not buffered continues as Outcome.Stream, until lifetime ends.
func (r *RelayedRequest) Attempt(ctx, lifetime context.Context, upstream *Upstream, pool *Pool) Outcome {
	if shared := upstream.sharedConnectionsOf(pool); shared != nil {
		if outcome, ok := shared.attemptRelayed(ctx, lifetime, r); ok {
			return outcome
		}
	}
	conn, err := upstream.acquire(ctx, pool, upstream.relayedQuietPeriod())
	if err != nil {
		return unconnectedOutcome(err)
	}
	if !Commit(ctx) {
		return upstream.releaseUnused(pool, conn)
	}
	attempt := &http1Attempt{
		RelayedRequest: r,
		upstream:       upstream,
		pool:           pool,
		conn:           conn,
		headBytesLeft:  maxHeadBytes,
	}
	suspectUntil := upstream.processOf(pool).suspectUntilOf(conn)
	outcome := attempt.run(ctx, lifetime)
	outcome.IsProcessUnknown = time.Now().Before(suspectUntil)
	return outcome
}

// timeLeft returns how long the node will wait for the response.
func (r *RelayedRequest) timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return timeUntil(deadline)
	}
	return r.ResponseTimeout
}

// inlineBody returns a complete body that is small enough to be written together with the head.
func (r *RelayedRequest) inlineBody() (body []byte, ok bool) {
	if r.ExpectContinue || r.ContentLength < 0 {
		return nil, false
	}
	body, ok = r.Body.Complete()
	return body, ok && len(body) <= maxInlineBodyBytes
}

// awaitContinue waits until a body that expects a 100 (Continue) may be sent. It returns false if the attempt has
// ended.
func awaitContinue(received, ended <-chan struct{}) bool {
	timer := time.NewTimer(continueTimeout)
	defer timer.Stop()
	select {
	case <-received:
	case <-timer.C:
	case <-ended:
	}
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// copyBody passes a body to write as it arrives, until the body ends or either side fails.
func copyBody(body *retrybuffer.Reader, write func(piece []byte) error) (readErr, writeErr error) {
	buffer := BodyBuffers.Get().(*[]byte)
	defer BodyBuffers.Put(buffer)
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			if writeErr := write((*buffer)[:n]); writeErr != nil {
				return nil, writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}

// isClientError reports whether an error from reading a body was caused by the client, and not by this node, which
// may have closed the body or replaced its reader.
func isClientError(err error) bool {
	return !errors.Is(err, retrybuffer.ErrGone) && !errors.Is(err, retrybuffer.ErrClosed)
}

// bufferBody classifies a response by its head, and reads its body if it is to be buffered. length is negative if
// unknown. isTruncated reports that part of the body was left unread.
func (r *RelayedRequest) bufferBody(outcome *Outcome, body io.Reader, length int64) (isBuffered, isTruncated bool) {
	classification := r.ResponseRules.Classify(outcome.Status, outcome.Header)
	outcome.Reason = classification.Reason
	outcome.IsFinal = classification.IsFinal
	switch {
	case length == 0:
	case length > 0 && length <= int64(r.MaxBufferedBytes) && !isEventStream(outcome.Header):
		outcome.Body = make([]byte, length)
		if _, err := io.ReadFull(body, outcome.Body); err != nil {
			*outcome = Outcome{Reason: control.ResetByPeer, Err: err}
		}
	case !classification.IsFinal:
		// The request may be retried: this response is used only if no better one arrives. If it is too long, the node
		// sends a response of its own instead.
		read, err := io.ReadAll(io.LimitReader(body, int64(r.MaxBufferedBytes)+1))
		outcome.Body = read
		if err != nil || len(read) > r.MaxBufferedBytes {
			outcome.Status = 0
			outcome.Body = nil
			isTruncated = true
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
