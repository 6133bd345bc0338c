package upstream

import (
	"net"
	"time"

	"lockflow/internal/validation"
)

const (
	// maxHeadBytes limits the head and framing of a response, including interim responses before it.
	maxHeadBytes = 32 << 10
	// maxHeadFields limits the fields of the head of a response.
	maxHeadFields = 256
	// responseCompletionTimeout is the time limit from the first byte of a response to its last.
	responseCompletionTimeout = 300 * time.Millisecond
)

// responseReader reads the response to a BufferedRequest. It limits the number of bytes and the time after the first
// of them: app servers write such a response once it is complete, so one that stalls half way is a fault. For a
// RelayedRequest, http1Attempt enforces the limits instead.
type responseReader struct {
	net.Conn
	owner                 *serverConn
	attempt               *http1Attempt // attempt of a RelayedRequest; nil for a BufferedRequest
	bytesLeft             int
	deadline              time.Time // deadline of the attempt; zero is none
	isStarted             bool      // part of the response has arrived
	hasCompletionDeadline bool      // the read deadline covers the rest of the response
	hasConnDeadline       bool      // the connection has a read deadline
	headScanner           validation.Scanner
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
	if r.headScanner.Feed(b[:n]) != nil || r.headScanner.TotalSize().Bytes > maxHeadBytes {
		return 0, errResponseTooLong
	}
	return n, err
}

// start prepares for the response to the next attempt, which ends at deadline.
func (r *responseReader) start(deadline time.Time, maxBytes int) {
	if r.hasConnDeadline {
		r.SetReadDeadline(time.Time{})
	}
	*r = responseReader{
		Conn:        r.Conn,
		owner:       r.owner,
		bytesLeft:   maxBytes,
		deadline:    deadline,
		headScanner: validation.Scanner{ReadsResponses: true, MaxFields: maxHeadFields, MeasuresOnly: true},
	}
}

// resetAfterInterim prepares for the response that follows an interim one.
func (r *responseReader) resetAfterInterim() {
	if r.hasCompletionDeadline {
		r.owner.readBy(r.deadline)
	}
	r.isStarted = false
	r.hasCompletionDeadline = false
}
