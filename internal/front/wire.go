package front

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"lockflow/internal/validation"
)

// wire is a client's connection whose bytes are looked at before net/http reads them, which
// would mend what two readers may read in two ways.
type wire struct {
	net.Conn
	scan  validation.Scanner
	wrong atomic.Pointer[error]
	cut   atomic.Bool // reset was called
}

// Read is net.Conn's; net/http has one goroutine in it at a time.
func (c *wire) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.wrong.Load() == nil {
		if bad := c.scan.Feed(p[:n]); bad != nil {
			kept := bad // only what is kept is put on the heap
			c.wrong.Store(&kept)
		}
	}
	return n, err
}

// ReadFrom is io.ReaderFrom's, by the socket itself where there is one: bytes from another socket
// then need not come through this process.
func (c *wire) ReadFrom(r io.Reader) (int64, error) {
	if tcp := socket(c.Conn); tcp != nil {
		return tcp.ReadFrom(r)
	}
	return io.Copy(struct{ io.Writer }{c.Conn}, r)
}

// socket is the one below a connection; nil where there is none.
func socket(c net.Conn) *net.TCPConn {
	for {
		if tcp, ok := c.(*net.TCPConn); ok {
			return tcp
		}
		under, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = under.NetConn()
	}
}

// NetConn is the connection below.
func (c *wire) NetConn() net.Conn { return c.Conn }

// bad is what is wrong with some request on the connection, one that is read already or one
// behind it: none is served any more.
func (c *wire) bad() error {
	if e := c.wrong.Load(); e != nil {
		return *e
	}
	return nil
}

// reset has the close of the connection tell that what it carried is not whole, to a client that
// takes its end for the end of an answer.
func (c *wire) reset() {
	c.cut.Store(true)
	if tcp := socket(c.Conn); tcp != nil {
		_ = tcp.SetLinger(0)
	}
}

// ValidatingListener has the connections of a listener looked at, which a front with ordinary services needs.
func ValidatingListener(l net.Listener) net.Listener { return validatingConnListener{l} }

type validatingConnListener struct{ net.Listener }

func (l validatingConnListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &wire{Conn: c}, nil
}

// wireOf is a request's connection; nil where it is not looked at.
func wireOf(r *http.Request) *wire {
	if c := clientOf(r); c != nil {
		w, _ := c.conn.(*wire)
		return w
	}
	return nil
}
