package upstream

import (
	"net"
	"time"
)

const (
	// maxHeadBytes limits an answer's head and framing, together with the interim answers before it.
	maxHeadBytes = 32 << 10
	// answerCompletionTimeout is the time from the first bytes of an answer to its last.
	responseCompletionTimeout = 300 * time.Millisecond
)

// answerReader reads the answer to a BufferedRequest with a limit of bytes, and of the time after the first of them:
// app servers write such an answer once it is complete, so one that stops half way is a fault. For a RelayedRequest,
// http1Attempt sets the limits in its place.
type responseReader struct {
	net.Conn
	owner                 *serverConn
	attempt               *http1Attempt // of a RelayedRequest; nil is none
	bytesLeft             int
	deadline              time.Time // of the attempt; zero is none
	isStarted             bool      // some of the answer has arrived
	hasCompletionDeadline bool      // its rest has a deadline
	hasConnDeadline       bool      // the connection has a read deadline
}

// Read implements io.Reader.
func (r *responseReader) Read(b []byte) (int, error) {
	if r.attempt != nil {
		return r.attempt.readResponseBytes(b)
	}
	if r.bytesLeft == 0 {
		return 0, errResponseTooLong
	}
	if r.isStarted && !r.hasCompletionDeadline {
		completeBy := time.Now().Add(responseCompletionTimeout)
		if !r.deadline.IsZero() && r.deadline.Before(completeBy) {
			completeBy = r.deadline
		}
		r.owner.readBy(completeBy)
		r.hasCompletionDeadline = true
		r.hasConnDeadline = true
	}
	n, err := r.Conn.Read(b[:min(len(b), r.bytesLeft)])
	r.bytesLeft -= n
	r.isStarted = r.isStarted || n > 0
	return n, err
}

// start prepares for the answer to the next attempt, which ends at deadline.
func (r *responseReader) start(deadline time.Time, maxBytes int) {
	if r.hasConnDeadline {
		r.SetReadDeadline(time.Time{})
	}
	*r = responseReader{Conn: r.Conn, owner: r.owner, bytesLeft: maxBytes, deadline: deadline}
}

// awaitNext prepares for the answer after an interim one.
func (r *responseReader) resetAfterInterim() {
	if r.hasCompletionDeadline {
		r.owner.readBy(r.deadline)
	}
	r.isStarted = false
	r.hasCompletionDeadline = false
}
