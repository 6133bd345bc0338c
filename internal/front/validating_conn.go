package front

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"lockflow/internal/validation"
)

// validatingConn is a client's connection that scans what net/http reads from it. net/http silently
// repairs messages that another HTTP parser could read differently, which enables request smuggling.
type validatingConn struct {
	net.Conn
	scanner   validation.Scanner    // used by Read only
	firstErr  atomic.Pointer[error] // of the scanner; nil for none
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

// ReadFrom implements io.ReaderFrom. It uses the TCP socket's own, if there is one, which can copy from
// another socket inside the kernel.
func (c *validatingConn) ReadFrom(r io.Reader) (int64, error) {
	if tcp := tcpConnOf(c.Conn); tcp != nil {
		return tcp.ReadFrom(r)
	}
	return io.Copy(struct{ io.Writer }{c.Conn}, r)
}

// connInside returns the connection of a type that is conn or is wrapped by it; the type's zero value if there is none.
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

// tcpConnOf returns the TCP connection inside conn; nil if there is none.
func tcpConnOf(conn net.Conn) *net.TCPConn { return findWrappedConn[*net.TCPConn](conn) }

// NetConn returns the wrapped connection.
func (c *validatingConn) NetConn() net.Conn { return c.Conn }

// validationError returns the first violation found on the connection, which may be in a request behind
// the current one. No request of the connection is served after it.
func (c *validatingConn) validationError() error {
	if err := c.firstErr.Load(); err != nil {
		return *err
	}
	return nil
}

// resetOnClose makes Close reset the connection, so that a client that takes the end of the connection
// for the end of the answer sees that the answer is incomplete.
func (c *validatingConn) resetOnClose() {
	c.mustReset.Store(true)
	if tcp := tcpConnOf(c.Conn); tcp != nil {
		_ = tcp.SetLinger(0)
	}
}

// ValidatingListener wraps a listener so that its connections are scanned for malformed requests. A
// Front with a service of generic HTTP needs it.
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

// validatingConnOf returns the connection of a request; nil if it is not scanned.
func validatingConnOf(r *http.Request) *validatingConn {
	if c := clientOf(r); c != nil {
		conn, _ := c.conn.(*validatingConn)
		return conn
	}
	return nil
}
