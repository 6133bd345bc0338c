package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"lockflow/control"
)

// Stream is the rest of an answer that is not buffered, or a tunnel. One goroutine reads it, and one may write
// to a tunnel; Abort and Close may be called by any.
type Stream struct {
	ContentLength int64 // of the body; below zero it is not known
	IsTunnel      bool  // the connection has switched to another protocol: bytes go in both directions

	streamingAttempt
	http1     *http1Attempt // the attempt; nil over HTTP/2
	bytesRead int64         // of the body; used by the reading goroutine only

	mu      sync.Mutex // guards what follows
	readErr error      // with which reading ended; io.EOF is a complete answer, nil one that is not complete
	isEnded bool
	onEnd   func(Outcome)
}

// streamingAttempt is an attempt whose answer is streamed.
type streamingAttempt interface {
	readBody(p []byte) (int, error)
	hasBuffered() bool
	trailer() http.Header // the announced names, and the values once the body has been read
	isAborted() bool
	abort()
	hasClientFailed() bool
	end(isComplete bool) // releases the connection; only the first call has an effect
}

// OnEnd sets a function that is called once, with how the attempt ended, when the stream is closed.
func (s *Stream) OnEnd(callback func(Outcome)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onEnd = callback
}

// Read implements io.Reader. io.EOF is the end of a complete answer; any other error means that it is not
// complete, ErrAborted that it was aborted here. Each call takes the idle timeout of the request at most.
func (s *Stream) Read(p []byte) (n int, err error) {
	n, err = s.readBody(p)
	s.bytesRead += int64(n)
	if err != nil {
		if s.isAborted() { // otherwise it would be taken for a timeout, which a tunnel may survive
			err = ErrAborted
		}
		s.setReadErr(err)
	}
	return n, err
}

// CopyTo doubles its pieces from the smallest size to the largest, and returns to the smallest after a piece that lasted
// longer than slowPieceTime.
const (
	minPieceBytes = BodyWindowBytes
	maxPieceBytes = 1 << 20
	slowPieceTime = time.Second
)

// CopyTo copies the rest of a body of known length to a client's connection, where the system can do so without
// copying it through this process (splice(2)); otherwise it returns errors.ErrUnsupported. It calls beforePiece
// before each piece, which has to be copied within the idle timeout of the request, and afterPiece with its
// length after it. An error of the client's side does not count as a failure of the server.
func (s *Stream) CopyTo(destination io.ReaderFrom, beforePiece func(), afterPiece func(n int64) error) error {
	if s.http1 == nil {
		return errors.ErrUnsupported
	}
	tcp, ok := s.http1.conn.Conn.Conn.(*net.TCPConn)
	if !ok || s.ContentLength < 0 || s.HasBuffered() {
		return errors.ErrUnsupported
	}
	for pieceBytes := int64(minPieceBytes); s.bytesRead < s.ContentLength; {
		beforePiece()
		started := time.Now()
		n, err := s.copyPiece(destination, tcp, min(pieceBytes, s.ContentLength-s.bytesRead))
		if err != nil {
			return err
		}
		if err := afterPiece(n); err != nil {
			return err
		}
		pieceBytes = min(2*pieceBytes, maxPieceBytes)
		if time.Since(started) > slowPieceTime {
			pieceBytes = minPieceBytes
		}
	}
	s.setReadErr(io.EOF)
	return nil
}

// copyPiece copies size bytes. It records an error of the server's side.
func (s *Stream) copyPiece(destination io.ReaderFrom, tcp *net.TCPConn, size int64) (int64, error) {
	s.http1.hasConnDeadline = true
	s.http1.conn.readBy(time.Now().Add(s.http1.IdleTimeout))
	n, err := destination.ReadFrom(&io.LimitedReader{R: tcp, N: size})
	s.bytesRead += n
	switch {
	case err == nil && n == size:
		return n, nil
	case err == nil:
		err = io.ErrUnexpectedEOF
	case s.isServerAlive(tcp):
		return n, err
	}
	if s.isAborted() {
		err = ErrAborted
	}
	s.setReadErr(err)
	return n, err
}

// isServerAlive reports, after a copy that failed, whether the server's side works: there is more of its
// answer, or may be.
func (s *Stream) isServerAlive(tcp *net.TCPConn) bool {
	if s.isAborted() {
		return false
	}
	var probe [1]byte
	s.http1.conn.readBy(time.Now().Add(time.Millisecond))
	n, err := tcp.Read(probe[:])
	return n > 0 || errors.Is(err, os.ErrDeadlineExceeded)
}

func (s *Stream) setReadErr(err error) {
	s.mu.Lock()
	s.readErr = err
	s.mu.Unlock()
}

// HasBuffered reports whether Read returns without waiting.
func (s *Stream) HasBuffered() bool { return s.hasBuffered() }

// TrailerNames returns the names of the trailer fields that the server has announced.
func (s *Stream) TrailerNames() (names []string) {
	for name := range s.trailer() {
		names = append(names, name)
	}
	return names
}

// Trailer returns the trailer fields, once Read has returned io.EOF.
func (s *Stream) Trailer() http.Header { return s.trailer() }

// Write sends bytes through a tunnel. Each call takes the idle timeout of the request at most.
func (s *Stream) Write(p []byte) (int, error) {
	s.http1.conn.writeBy(time.Now().Add(s.http1.IdleTimeout))
	return s.http1.conn.Write(p)
}

// CloseWrite ends the client's direction of a tunnel.
func (s *Stream) CloseWrite() {
	if conn, ok := s.http1.conn.Conn.Conn.(interface{ CloseWrite() error }); ok { // TCP and TLS
		_ = conn.CloseWrite() // a broken connection shows in reading
	}
}

// Abort ends the stream: its reader gets ErrAborted. It never waits. It does nothing to a stream that has been
// closed, whose connection may serve the next request.
func (s *Stream) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isEnded {
		s.abort()
	}
}

// Close ends the attempt. A connection with a complete answer is returned to its pool, any other one is closed.
// Only the first call does anything.
func (s *Stream) Close() {
	s.mu.Lock()
	readErr := s.readErr
	onEnd := s.onEnd
	if s.isEnded {
		s.mu.Unlock()
		return
	}
	s.isEnded = true
	s.mu.Unlock()
	outcome := s.closedOutcome(readErr)
	s.end(errors.Is(readErr, io.EOF) && !s.IsTunnel)
	if onEnd != nil {
		onEnd(outcome)
	}
}

// closedOutcome is the outcome of the attempt. It is a success also where the client has left, as the server has
// answered.
func (s *Stream) closedOutcome(readErr error) Outcome {
	switch {
	case readErr == nil || errors.Is(readErr, io.EOF) || s.hasClientFailed():
		return Outcome{Reason: control.OK}
	case errors.Is(readErr, ErrAborted):
		return Outcome{Reason: control.Cancelled, Err: readErr}
	case isTimeout(readErr):
		return Outcome{Reason: control.TimedOut, Err: readErr}
	default:
		return Outcome{Reason: control.ResetByPeer, Err: readErr}
	}
}
