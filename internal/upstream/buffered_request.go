package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"lockflow/control"
)

// BufferedRequest is a request of the platform's protocol: both the request and its response are complete in memory.
// At most one of its attempts runs at a time.
type BufferedRequest struct {
	Request *http.Request // without its body
	Body    []byte
}

// Method returns the request's method.
func (r *BufferedRequest) Method() string { return r.Request.Method }

// IsBodyPending returns false: the body is complete.
func (r *BufferedRequest) IsBodyPending() bool { return false }

// CanRetry returns true: the request is complete in memory.
func (r *BufferedRequest) CanRetry() bool { return true }

// Attempt makes one attempt and returns when it has ended, at the latest when ctx ends. It sets headers of its own
// in the request.
func (r *BufferedRequest) Attempt(ctx, _ context.Context, upstream *Upstream, pool *Pool) Outcome {
	if shared := upstream.sharedConnectionsOf(pool); shared != nil {
		if outcome, ok := shared.attemptBuffered(ctx, r); ok {
			return outcome
		}
	}
	httpRequest := *r.Request
	httpRequest.ContentLength = int64(len(r.Body))
	httpRequest.Body = http.NoBody
	if len(r.Body) > 0 {
		httpRequest.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return upstream.AttemptHTTP1(ctx, pool, &httpRequest)
}

// AttemptHTTP1 makes one attempt over HTTP/1.1, whatever the pool's protocol is. It returns when the attempt has
// ended, at the latest when ctx ends.
func (u *Upstream) AttemptHTTP1(ctx context.Context, pool *Pool, request *http.Request) Outcome {
	conn, err := u.acquire(ctx, pool, u.QuietPeriod)
	if err != nil {
		return unconnectedOutcome(err)
	}
	isDialed := conn.idleSince.IsZero()
	suspectUntil := u.processOf(pool).suspectUntilOf(conn)
	if !Commit(ctx) {
		return u.releaseUnused(pool, conn)
	}
	outcome := u.attemptOn(ctx, pool, conn, request)
	outcome.IsDialed = isDialed
	outcome.IsProcessUnknown = time.Now().Before(suspectUntil)
	return outcome
}

// attemptOn makes an attempt on a connection, then returns the connection to its pool or closes it.
func (u *Upstream) attemptOn(ctx context.Context, pool *Pool, conn *serverConn, request *http.Request) (outcome Outcome) {
	deadline, hasDeadline := ctx.Deadline()
	conn.responses.start(deadline, u.MaxBodyBytes+maxHeadBytes)
	// The peer may stop both reading and writing, so both directions are interrupted when ctx ends.
	stopContextWatch := context.AfterFunc(ctx, conn.interrupt)
	isReusable := false
	defer func() {
		if stopContextWatch() && isReusable && !conn.isInterrupted.Load() {
			u.release(pool, conn, u.QuietPeriod)
		} else {
			u.discard(pool, conn, outcome.Err != nil && conn.isClosedByPeer())
		}
	}()
	if hasDeadline {
		setTimeLeft(request, deadline)
	}
	if err := conn.writeRequest(request, writeDeadline(ctx)); err != nil {
		// An app server starts a request at its last byte, so a request that was not written completely has not run.
		conn.interrupt()
		return Outcome{Reason: control.ConnectFailed, Err: err}
	}
	guard := conn.guardDelivery(writeDeadline(ctx), func() bool { return true })
	outcome, isReusable = conn.readOutcome(request, u.MaxBodyBytes)
	guard.stop()
	if outcome.Err != nil && ctx.Err() != nil {
		outcome.Reason = control.TimedOut
		if errors.Is(ctx.Err(), context.Canceled) {
			outcome.Reason = control.Cancelled
		}
	}
	return outcome
}

// writeRequest writes a complete request by the deadline; a zero deadline is none.
func (c *serverConn) writeRequest(request *http.Request, deadline time.Time) error {
	if !deadline.IsZero() {
		c.writeBy(deadline)
	}
	if err := request.Write(c.writer); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	if !deadline.IsZero() {
		c.writeBy(time.Time{})
	}
	return nil
}

// readOutcome reads one response and reports whether the connection can be reused. A response that is incomplete,
// malformed or too long counts as a reset: the request may have run.
func (c *serverConn) readOutcome(request *http.Request, maxBodyBytes int) (outcome Outcome, isReusable bool) {
	response, err := readHead(c.reader, request) //nolint:bodyclose // readBody closes it
	for err == nil && isInterim(response.StatusCode) {
		if c.reader.Buffered() == 0 {
			c.responses.resetAfterInterim()
		}
		response, err = readHead(c.reader, request) //nolint:bodyclose // readBody closes it, and an interim response has none
	}
	if err == nil {
		outcome.Body, err = readBody(response, maxBodyBytes)
	}
	if err != nil {
		return Outcome{Reason: control.ResetByPeer, Err: err}, false
	}
	outcome.classify(response.StatusCode, response.Header)
	hasMore := c.reader.Buffered() > 0
	if hasMore {
		c.upstream.noteUnsolicitedResponse()
	}
	return outcome, !response.Close && !hasMore
}

// isInterim reports whether a response of this status is followed by another response (RFC 9110, 15.2).
func isInterim(status int) bool {
	return status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// readHead reads the head of a response. It rejects a head that follows the beginning of another response's status
// line, because it would combine the status of the first response with the rest of the second.
func readHead(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(reader, request)
	if err == nil && strings.Contains(response.Status, "HTTP/") {
		return nil, fmt.Errorf("response follows a partial status line: %s", response.Status)
	}
	return response, err
}

// readBody reads the body of a response and closes it. A body of unstated length ends with its connection, unless
// that is reset.
func readBody(response *http.Response, maxBytes int) ([]byte, error) {
	defer response.Body.Close()
	switch length := response.ContentLength; {
	case response.StatusCode < http.StatusOK:
		return nil, fmt.Errorf("unexpected response status: %s", response.Status)
	case length > int64(maxBytes):
		return nil, fmt.Errorf("response body too long: %d bytes, limit %d", length, maxBytes)
	case length >= 0:
		body := make([]byte, length)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(maxBytes)+1))
	if err == nil && len(body) > maxBytes {
		err = fmt.Errorf("response body too long: more than %d bytes", maxBytes)
	}
	return body, err
}
