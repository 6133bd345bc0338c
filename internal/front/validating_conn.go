package front

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"lockflow/internal/validation"
)

// validatingConn is a client's connection that validates the bytes that net/http reads from it. net/http
// silently repairs messages that another HTTP parser could interpret differently, which enables request
// smuggling.
type validatingConn struct {
	net.Conn
	scanner   validation.Scanner    // used by Read only
	firstErr  atomic.Pointer[error] // first error of the scanner; nil if there is none
	mustReset atomic.Bool           // resetOnClose was called
}

// Read implements net.Conn. Only one goroutine of net/http calls it at a time.
func (c *validatingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.firstErr.Load() == nil {
		if invalid := c.scanner.Feed(p[:n]); invalid != nil {
			escaped := invalid // keeps the common case free of a heap allocation
			c.firstErr.Store(&escaped)
		}
	}
	return n, err
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

// ValidatingListener wraps a listener so that its connections are scanned for malformed requests. It is
// required for a Front with a service of generic HTTP.
func ValidatingListener(listener net.Listener) net.Listener { return validatingConnListener{listener} }

// validatingConnListener accepts connections as *validatingConn.
type validatingConnListener struct{ net.Listener }

// Accept implements net.Listener.
func (l validatingConnListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &validatingConn{Conn: withInputConn(conn)}, nil
}

// validatingConnOf returns the validatingConn of a request; nil if its connection is not scanned.
func validatingConnOf(r *http.Request) *validatingConn {
	if c := clientOf(r); c != nil {
		conn, _ := c.conn.(*validatingConn)
		return conn
	}
	return nil
}
