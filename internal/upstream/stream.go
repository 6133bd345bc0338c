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

// Stream is the rest of a response that is not buffered, or a tunnel. Only one goroutine may read it, and only one
// may write to a tunnel; Abort and Close may be called from any goroutine.
type Stream struct {
	ContentLength int64 // length of the body; negative if unknown
	IsTunnel      bool  // the connection has switched to another protocol and carries bytes in both directions

	streamingAttempt
	http1     *http1Attempt // nil over HTTP/2
	bytesRead int64         // bytes of the body; used by the reading goroutine only

	mu      sync.Mutex // guards the fields below
	readErr error      // error that ended reading; io.EOF after a complete response, nil before the end
	isEnded bool
	onEnd   func(Outcome)
}

// streamingAttempt is an attempt whose response is streamed.
type streamingAttempt interface {
	readBody(p []byte) (int, error)
	hasBuffered() bool
	trailer() http.Header // announced names, with their values once the body has been read
	isAborted() bool
	abort()
	hasClientFailed() bool
	end(isComplete bool) // releases the connection; calls after the first have no effect
}

// OnEnd sets a function that is called once with the outcome of the attempt when the stream is closed.
func (s *Stream) OnEnd(callback func(Outcome)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onEnd = callback
}

// Read implements io.Reader. io.EOF marks the end of a complete response. Any other error means that the response is
// incomplete, and ErrAborted that this node aborted it. Each call takes at most the request's idle timeout.
func (s *Stream) Read(p []byte) (n int, err error) {
	n, err = s.readBody(p)
	s.bytesRead += int64(n)
	if err != nil {
		if s.isAborted() { // otherwise reported as a timeout, after which a tunnel may continue
			err = ErrAborted
		}
		s.setReadErr(err)
	}
	return n, err
}

// CopyTo doubles the size of its pieces from minPieceBytes up to maxPieceBytes, and returns to minPieceBytes after a
// piece that took longer than slowPieceTime.
const (
	minPieceBytes = BodyWindowBytes
	maxPieceBytes = 1 << 20
	slowPieceTime = time.Second
)

// CopyTo copies the rest of a body of known length to a client's connection if the system can do so without
// copying it through user space (splice(2)); otherwise it returns errors.ErrUnsupported. It calls beforePiece
// before each piece and afterPiece with the length after each piece. Each piece must be copied within the request's
// idle timeout. An error on the client's side does not count as a failure of the server.
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

// copyPiece copies size bytes. It records errors on the server's side as the stream's read error.
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

// isServerAlive reports, after a failed copy, whether the server's side still works: more of its response has
// arrived, or may still arrive.
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

// HasBuffered reports whether Read would return without blocking.
func (s *Stream) HasBuffered() bool { return s.hasBuffered() }

// TrailerNames returns the names of the trailer fields that the server has announced.
func (s *Stream) TrailerNames() (names []string) {
	for name := range s.trailer() {
		names = append(names, name)
	}
	return names
}

// Trailer returns the trailer fields. It is valid once Read has returned io.EOF.
func (s *Stream) Trailer() http.Header { return s.trailer() }

// Write sends bytes through a tunnel. Each call takes at most the request's idle timeout.
func (s *Stream) Write(p []byte) (int, error) {
	s.http1.conn.writeBy(time.Now().Add(s.http1.IdleTimeout))
	return s.http1.conn.Write(p)
}

// CloseWrite closes the direction from the client to the server in a tunnel.
func (s *Stream) CloseWrite() {
	if conn, ok := s.http1.conn.Conn.Conn.(interface{ CloseWrite() error }); ok { // TCP and TLS
		_ = conn.CloseWrite() // a broken connection shows in reading
	}
}

// Abort ends the stream, so that its reader gets ErrAborted. It never blocks. It has no effect on a closed stream,
// whose connection may already serve another request.
func (s *Stream) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isEnded {
		s.abort()
	}
}

// Close ends the attempt. A connection whose response is complete returns to its pool; any other is closed. Calls
// after the first have no effect.
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

// closedOutcome returns the outcome of the attempt. If the client has failed, the outcome is still a success,
// because the server has responded.
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
