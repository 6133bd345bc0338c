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

// Stream is the rest of an answer, or a tunnel. One goroutine reads it; Close may be called by
// any.
type Stream struct {
	ContentLength int64 // of the body; below zero it is not known
	IsTunnel      bool  // the protocol has changed: bytes go both ways

	streamingAttempt
	http1     *http1Attempt // that it is of; nil over HTTP/2
	bytesRead int64         // of the body; the reader's own

	mu      sync.Mutex
	readErr error // with which reading ended; io.EOF is well
	isEnded bool
	onEnd   func(Outcome)
}

// streamingAttempt is an attempt whose answer goes on.
type streamingAttempt interface {
	readBody(p []byte) (int, error)
	hasBuffered() bool
	trailer() http.Header // the names that were announced, and the values once all is read
	isAborted() bool      // it was broken off from this side
	abort()
	hasClientFailed() bool
	end(isComplete bool) // lets go of it, once
}

// ErrAborted is the end of a stream that was broken off from this side.
var ErrAborted = errors.New("broken off")

// OnEnd sets what is called once, with how the attempt ended, when the stream is closed.
func (s *Stream) OnEnd(callback func(Outcome)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onEnd = callback
}

// Read reads on. io.EOF is an answer that is whole, any other error one that is not. Each read
// waits for the attempt's Idle at the most.
func (s *Stream) Read(p []byte) (n int, err error) {
	n, err = s.readBody(p)
	s.bytesRead += int64(n)
	if err != nil {
		if s.isAborted() { // else it would look like a silence, which a tunnel may outlast
			err = ErrAborted
		}
		s.setReadErr(err)
	}
	return n, err
}

const (
	minPieceBytes = BodyWindowBytes
	maxPieceBytes = 1 << 20
	slowPieceTime = time.Second // from which on pieces are made smaller
)

// CopyTo passes the rest of a body of known length on to a client's connection without its bytes
// coming through this process, where the system can (splice(2)). ahead is called before each piece
// moves, which has to have moved within the attempt's Idle, moved after it. An error with which the
// server has nothing to do is not its failure.
func (s *Stream) CopyTo(destination io.ReaderFrom, beforePiece func(), afterPiece func(n int64) error) error {
	if s.http1 == nil {
		return errors.ErrUnsupported
	}
	tcp, ok := s.http1.conn.Conn.Conn.(*net.TCPConn)
	if !ok || s.ContentLength < 0 || s.HasBuffered() {
		return errors.ErrUnsupported
	}
	for piece := int64(minPieceBytes); s.bytesRead < s.ContentLength; {
		s.http1.hasDeadline = true
		s.http1.conn.readBy(time.Now().Add(s.http1.IdleTimeout))
		beforePiece()
		begun := time.Now()
		want := min(piece, s.ContentLength-s.bytesRead)
		n, err := destination.ReadFrom(&io.LimitedReader{R: tcp, N: want})
		s.bytesRead += n
		if err == nil && n < want {
			err = io.ErrUnexpectedEOF
		} else if err != nil && s.isServerAlive(tcp) {
			return err
		}
		if err != nil {
			if s.http1.conn.isInterrupted.Load() {
				err = ErrAborted
			}
			s.setReadErr(err)
			return err
		}
		if err := afterPiece(n); err != nil {
			return err
		}
		if piece = min(2*piece, maxPieceBytes); time.Since(begun) > slowPieceTime {
			piece = minPieceBytes
		}
	}
	s.setReadErr(io.EOF)
	return nil
}

// isServerAlive tells whether the server's side of a copy that failed is well: there is more of its
// answer, or may be.
func (s *Stream) isServerAlive(tcp *net.TCPConn) bool {
	if s.http1.conn.isInterrupted.Load() {
		return false
	}
	var one [1]byte
	s.http1.conn.readBy(time.Now().Add(time.Millisecond))
	n, err := tcp.Read(one[:])
	return n > 0 || errors.Is(err, os.ErrDeadlineExceeded)
}

func (s *Stream) setReadErr(err error) {
	s.mu.Lock()
	s.readErr = err
	s.mu.Unlock()
}

// HasBuffered tells whether more is there without waiting.
func (s *Stream) HasBuffered() bool { return s.hasBuffered() }

// TrailerNames are the fields that the server has announced to come behind the body.
func (s *Stream) TrailerNames() (names []string) {
	for name := range s.trailer() {
		names = append(names, name)
	}
	return names
}

// Trailer are the fields that came behind the body, once Read has given io.EOF.
func (s *Stream) Trailer() http.Header { return s.trailer() }

// Write sends bytes through a tunnel; each part waits for the attempt's Idle at the most.
func (s *Stream) Write(p []byte) (int, error) {
	s.http1.conn.writeBy(time.Now().Add(s.http1.IdleTimeout))
	return s.http1.conn.Write(p)
}

// CloseWrite ends the client's side of a tunnel.
func (s *Stream) CloseWrite() {
	if c, ok := s.http1.conn.Conn.Conn.(interface{ CloseWrite() error }); ok { // of TLS too
		_ = c.CloseWrite() // what is broken shows in reading
	}
}

// Abort breaks the stream off: who reads it gets an error. It never waits. Guards against breaking
// off what goes over the connection next: a stream that has ended is left alone.
func (s *Stream) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isEnded {
		s.abort()
	}
}

// Close ends the attempt. A connection whose answer is whole is kept, any other one closed. Only
// the first call does anything.
func (s *Stream) Close() {
	s.mu.Lock()
	err, onEnd := s.readErr, s.onEnd
	if s.isEnded {
		s.mu.Unlock()
		return
	}
	s.isEnded = true
	s.mu.Unlock()
	isComplete := errors.Is(err, io.EOF) && !s.IsTunnel
	var timeout net.Error
	outcome := Outcome{Reason: control.OK} // also where the client left: the server has answered
	switch {
	case err == nil || errors.Is(err, io.EOF) || s.hasClientFailed():
	case errors.Is(err, ErrAborted):
		outcome = Outcome{Reason: control.Cancelled, Err: err}
	case errors.As(err, &timeout) && timeout.Timeout():
		outcome = Outcome{Reason: control.TimedOut, Err: err}
	default:
		outcome = Outcome{Reason: control.ResetByPeer, Err: err}
	}
	s.end(isComplete)
	if onEnd != nil {
		onEnd(outcome)
	}
}
