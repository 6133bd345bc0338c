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
	// BodyWindowBytes is how much of a body is in transit at once, in each direction.
	BodyWindowBytes = 32 << 10
	// maxInlineBodyBytes is the size up to which a complete body is written together with its head.
	maxInlineBodyBytes = 4 << 10
	// continueTimeout is how long a 100 is waited for before the body is sent without it (RFC 9110, 10.1.1).
	continueTimeout = time.Second
)

// BodyBuffers is a pool of *[]byte with BodyWindowBytes each, for bodies that are relayed as they arrive.
var BodyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, BodyWindowBytes)
	return &buffer
}}

// InterimWriter forwards interim answers (1xx) to the client. It is called on the goroutine of an attempt.
type InterimWriter interface {
	WriteInterim(status int, header http.Header)
}

// RelayedRequest is a request of generic HTTP (RFC 9110, 9112). Its fields do not change once the first attempt
// has started. At most one of its attempts runs at a time.
type RelayedRequest struct {
	// RequestMethod, Target and Host are forwarded unchanged.
	RequestMethod, Target, Host string
	Header                      http.Header
	Trailer                     func() http.Header // valid once the body has been read completely; nil is none
	TrailerNames                []string           // that the client has announced
	Body                        *retrybuffer.Body  // nil is none
	ContentLength               int64              // of the body; below zero it is sent in chunks
	ExpectContinue              bool               // the body waits for a 100
	UpgradeProtocol             string             // that the connection may switch to; "" is none

	ResponseRules    *responseclass.Rules
	MaxBufferedBytes int           // of an answer's body
	IdleTimeout      time.Duration // for BodyWindowBytes of a body to be transferred
	AnswerTimeout    time.Duration // from the last byte of the request to the first of the answer, where ctx has no deadline
	SendTimeLeft     bool          // adds a field with the time that the node will wait

	InterimWriter InterimWriter // nil forwards no interim answers
}

// Method returns the request's method.
func (r *RelayedRequest) Method() string { return r.RequestMethod }

// IsBodyPending reports whether a part of the body is still to arrive from the client.
func (r *RelayedRequest) IsBodyPending() bool { return r.Body != nil && !r.Body.HasEnded() }

// CanRetry reports whether the complete body is available for another attempt.
func (r *RelayedRequest) CanRetry() bool { return r.Body == nil || r.Body.CanRetry() }

// Attempt makes one attempt and returns once it has an answer's head, at the latest when ctx ends. An answer
// that is not buffered continues as Outcome.Stream, until lifetime ends.
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
	attempt := &http1Attempt{
		RelayedRequest: r,
		upstream:       upstream,
		pool:           pool,
		conn:           conn,
		headBytesLeft:  maxHeadBytes,
	}
	return attempt.run(ctx, lifetime)
}

// timeLeft is how long the answer is waited for.
func (r *RelayedRequest) timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return timeUntil(deadline)
	}
	return r.AnswerTimeout
}

// inlineBody returns a complete body that is small enough to be written together with the head.
func (r *RelayedRequest) inlineBody() (body []byte, ok bool) {
	if r.ExpectContinue || r.ContentLength < 0 {
		return nil, false
	}
	body, ok = r.Body.Complete()
	return body, ok && len(body) <= maxInlineBodyBytes
}

// awaitContinue waits until a body that expects a 100 may be sent. It reports false where the attempt has ended.
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

// copyBody passes a body to write as it arrives, until it ends or either side fails.
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

// isClientError reports whether an error in reading a body is due to the client, not from this node having
// closed the body.
func isClientError(err error) bool {
	return !errors.Is(err, retrybuffer.ErrGone) && !errors.Is(err, retrybuffer.ErrClosed)
}

// bufferBody classifies an answer by its head, and reads its body where that is to be buffered. length is below
// zero where it is not known. isTruncated reports that some of the body was left unread.
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
		// The request may be retried: this answer is for the case that no better one arrives. If it is too long
		// the node writes an answer of its own.
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
