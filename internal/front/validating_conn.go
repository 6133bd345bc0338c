package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"lockflow/internal/validation"
)

// validatingConn is a client's connection that validates and measures the bytes that net/http reads from it. net/http
// silently repairs messages that another HTTP parser could interpret differently, which enables request smuggling. It
// also parses heads that take many times the memory of their bytes.
type validatingConn struct {
	net.Conn
	inputConn *inputConn // wrapped by Conn; its mu guards scanner and the counts and sizes below
	scanner   validation.Scanner
	firstErr  atomic.Pointer[error]      // first violation of the scanner; nil if there is none
	refusal   atomic.Pointer[BadRequest] // why no further request is served: the heads are too large; nil if they are not
	isRefused atomic.Bool                // the refusal has been written in place of an answer
	isServing atomic.Bool                // the head of a request has been read, and its answer is not complete
	mustReset atomic.Bool                // resetOnClose was called

	input         inputReservation
	servedCount   int                 // requests that have ended
	releasedSize  validation.HeadSize // heads that are no longer held
	sizeBeforeNow validation.HeadSize // size of all heads before the last Read
}

// Read implements net.Conn. Only one goroutine of net/http calls it at a time.
func (c *validatingConn) Read(p []byte) (int, error) {
	if badRequest := c.refusal.Load(); badRequest != nil && len(p) != backgroundReadBytes {
		return 0, c.refuse(badRequest)
	}
	return c.Conn.Read(p)
}

// scan implements requestProgress. It validates and measures bytes that have been read.
func (c *validatingConn) scan(p []byte) {
	c.sizeBeforeNow = c.scanner.TotalSize()
	err := c.scanner.Feed(p)
	switch {
	case err == nil:
	case errors.Is(err, validation.ErrTooManyFields):
		c.refusal.CompareAndSwap(nil, newBadRequest(http.StatusRequestHeaderFieldsTooLarge, "%v", err).withConnectionClose())
	case c.firstErr.Load() == nil:
		first := err // keeps the common case free of a heap allocation
		c.firstErr.Store(&first)
	}
	if !c.input.setHead(c.scanner.TotalSize().Minus(c.releasedSize)) {
		c.refusal.CompareAndSwap(nil, newOverloaded())
	}
}

// hasUnservedRequest implements requestProgress.
func (c *validatingConn) hasUnservedRequest() bool {
	if c.isServing.Load() || c.scanner.HasViolation() {
		return false
	}
	return c.scanner.Messages() > c.servedCount || c.scanner.IsHeadRead()
}

// isBodyMissing implements requestProgress. Messages counts a request with a Content-Length once its head has been read.
func (c *validatingConn) isBodyMissing() bool {
	isCurrent := c.scanner.Messages() <= c.servedCount+1
	return c.isServing.Load() && isCurrent && c.scanner.IsHeadRead()
}

// refuse ends the reading of requests. If net/http is reading a head, refuse answers the request. net/http closes the
// connection without an answer of its own for the error that refuse returns.
func (c *validatingConn) refuse(badRequest *BadRequest) error {
	if !c.isServing.Load() && !c.isRefused.Swap(true) {
		_ = c.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
		_, _ = c.Write(badRequest.message()) // a client that has disconnected gets no answer
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errInputRefused}
}

// becameActive records that net/http has read the head of a request, or has failed to.
func (c *validatingConn) becameActive() { c.isServing.Store(true) }

// becameIdle records that a request has ended and releases the memory of its head. Only heads of pipelined requests, which
// net/http has read ahead, are still held.
func (c *validatingConn) becameIdle() {
	c.isServing.Store(false)
	c.inputConn.mu.Lock()
	defer c.inputConn.mu.Unlock()
	c.servedCount++
	if c.firstErr.Load() != nil { // the end of the request is unknown to the scanner
		c.scanner.Reset()
		c.servedCount = c.scanner.Messages()
	}
	if c.servedCount >= c.scanner.Messages() {
		c.releasedSize = c.scanner.TotalSize().Minus(c.scanner.CurrentSize())
	} else {
		c.releasedSize = c.sizeBeforeNow
	}
	c.input.ended(c.scanner.TotalSize().Minus(c.releasedSize))
}

// ReadFrom implements io.ReaderFrom. If there is a TCP socket, it uses the socket's ReadFrom, which can
// copy from another socket inside the kernel.
func (c *validatingConn) ReadFrom(r io.Reader) (int64, error) {
	if tcp := tcpConnOf(c.Conn); tcp != nil {
		return tcp.ReadFrom(r)
	}
	return io.Copy(struct{ io.Writer }{c.Conn}, r)
}

// findWrappedConn returns the connection of type T that is conn itself or is wrapped by it; T's zero value if there is none.
func findWrappedConn[T net.Conn](conn net.Conn) (zero T) {
	for {
		if found, ok := conn.(T); ok {
			return found
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return zero
		}
		conn = wrapper.NetConn()
	}
}

// tcpConnOf returns the TCP connection that is conn itself or is wrapped by it; nil if there is none.
func tcpConnOf(conn net.Conn) *net.TCPConn { return findWrappedConn[*net.TCPConn](conn) }

// NetConn returns the wrapped connection.
func (c *validatingConn) NetConn() net.Conn { return c.Conn }

// validationError returns the first violation found on the connection, which may be in a request after
// the current one. No further request on the connection is served.
func (c *validatingConn) validationError() error {
	if err := c.firstErr.Load(); err != nil {
		return *err
	}
	return nil
}

// resetOnClose makes Close reset the connection, so that a client that takes the end of the connection
// for the end of the answer detects that the answer is incomplete.
func (c *validatingConn) resetOnClose() {
	c.mustReset.Store(true)
	if tcp := tcpConnOf(c.Conn); tcp != nil {
		_ = tcp.SetLinger(0)
	}
}

// ValidatingListener wraps a listener so that its connections are scanned for malformed requests and for heads that take too
// much memory. It is required for a Front with a service of generic HTTP or with a limit on its InputMemory.
func ValidatingListener(listener net.Listener) net.Listener { return validatingConnListener{listener} }

// validatingConnListener accepts connections as *validatingConn.
type validatingConnListener struct{ net.Listener }

// Accept implements net.Listener.
func (l validatingConnListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn = withInputConn(conn)
	validating := &validatingConn{
		Conn:      conn,
		inputConn: findWrappedConn[*inputConn](conn),
		scanner:   validation.Scanner{MaxFields: maxHeadFields},
	}
	validating.inputConn.requests = validating
	return validating, nil
}

// validatingConnOf returns the validatingConn of a request; nil if its connection is not scanned.
func validatingConnOf(r *http.Request) *validatingConn {
	if c := clientOf(r); c != nil {
		return c.validating
	}
	return nil
}

// inputOf returns what the connection of a request has reserved; nil if its connection is not scanned.
func inputOf(r *http.Request) *inputReservation {
	if conn := validatingConnOf(r); conn != nil {
		return &conn.input
	}
	return nil
}
