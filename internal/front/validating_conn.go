package front

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"lockflow/internal/validation"
)

// validatingConn is a client's connection whose bytes are looked at before net/http reads them, which
// would mend what two readers may read in two ways.
type validatingConn struct {
	net.Conn
	scanner  validation.Scanner
	firstErr atomic.Pointer[error]
	isReset  atomic.Bool // reset was called
}

// Read is net.Conn's; net/http has one goroutine in it at a time.
func (c *validatingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.firstErr.Load() == nil {
		if invalid := c.scanner.Feed(p[:n]); invalid != nil {
			escaped := invalid // only what is kept is put on the heap
			c.firstErr.Store(&escaped)
		}
	}
	return n, err
}

// ReadFrom is io.ReaderFrom's, by the socket itself where there is one: bytes from another socket
// then need not come through this process.
func (c *validatingConn) ReadFrom(r io.Reader) (int64, error) {
	if tcp := tcpConnOf(c.Conn); tcp != nil {
		return tcp.ReadFrom(r)
	}
	return io.Copy(struct{ io.Writer }{c.Conn}, r)
}

// tcpConnOf is the one below a connection; nil where there is none.
func tcpConnOf(conn net.Conn) *net.TCPConn {
	for {
		if tcp, ok := conn.(*net.TCPConn); ok {
			return tcp
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
}

// NetConn is the connection below.
func (c *validatingConn) NetConn() net.Conn { return c.Conn }

// validationError is what is wrong with some request on the connection, one that is read already or one
// behind it: none is served any more.
func (c *validatingConn) validationError() error {
	if err := c.firstErr.Load(); err != nil {
		return *err
	}
	return nil
}

// resetOnClose has the close of the connection tell that what it carried is not whole, to a client that
// takes its end for the end of an answer.
func (c *validatingConn) resetOnClose() {
	c.isReset.Store(true)
	if tcp := tcpConnOf(c.Conn); tcp != nil {
		_ = tcp.SetLinger(0)
	}
}

// ValidatingListener has the connections of a listener looked at, which a front with ordinary services needs.
func ValidatingListener(listener net.Listener) net.Listener { return validatingConnListener{listener} }

type validatingConnListener struct{ net.Listener }

func (l validatingConnListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &validatingConn{Conn: c}, nil
}

// validatingConnOf is a request's connection; nil where it is not looked at.
func validatingConnOf(r *http.Request) *validatingConn {
	if c := clientOf(r); c != nil {
		w, _ := c.conn.(*validatingConn)
		return w
	}
	return nil
}
