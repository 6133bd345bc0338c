package upstream

import (
	"bufio"
	"crypto/tls"
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lockflow/internal/limits"
)

const connBufferBytes = 4 << 10

// expired is a deadline that has already passed.
var expired = time.Unix(1, 0) //nolint:forbidigo // in the past by any clock

// serverConn is an HTTP/1.1 connection to an app server. One attempt uses it at a time.
type serverConn struct {
	*limits.Conn
	rawConn         syscall.RawConn
	isInterrupted   atomic.Bool // all reads and writes fail from now on
	responses       responseReader
	reader          *bufio.Reader
	writer          *bufio.Writer
	idleSince       time.Time // zero until the connection is idle for the first time
	lastResponseEnd time.Time // when the last response ended; zero is none
	upstream        *Upstream
}

func (u *Upstream) newConn(conn *limits.Conn, rawConn syscall.RawConn) *serverConn {
	created := &serverConn{Conn: conn, rawConn: rawConn, upstream: u}
	created.responses = responseReader{Conn: conn.Conn, owner: created}
	created.reader = bufio.NewReaderSize(&created.responses, connBufferBytes)
	created.writer = bufio.NewWriterSize(conn.Conn, connBufferBytes)
	return created
}

// interrupt permanently ends all reads and writes of the connection.
func (c *serverConn) interrupt() {
	c.isInterrupted.Store(true)
	c.SetDeadline(expired)
}

// Close closes the connection. tls.Conn.Close would first send a close_notify and block for seconds if the peer does
// not read, so an interrupted connection sends none.
func (c *serverConn) Close() error {
	if tlsConn, ok := c.Conn.Conn.(*tls.Conn); ok && c.isInterrupted.Load() {
		tlsConn.NetConn().Close()
	}
	return c.Conn.Close()
}

// readBy sets the read deadline. It does not undo a concurrent interrupt.
func (c *serverConn) readBy(deadline time.Time) {
	c.SetReadDeadline(deadline)
	if c.isInterrupted.Load() {
		c.SetReadDeadline(expired)
	}
}

// writeBy sets the write deadline. It does not undo a concurrent interrupt.
func (c *serverConn) writeBy(deadline time.Time) {
	c.SetWriteDeadline(deadline)
	if c.isInterrupted.Load() {
		c.SetWriteDeadline(expired)
	}
}

// isOpenAndEmpty reports whether an idle connection is open and has no unread bytes. A request written on a
// connection that the server has closed would count as reset, and bytes that arrived after the last response would
// be read as the next one. A server's TLS session tickets precede its first response and are read with it.
func (c *serverConn) isOpenAndEmpty() bool {
	isOpenAndEmpty := false
	err := c.rawConn.Control(func(fd uintptr) {
		var probe [1]byte
		n, err := syscall.Read(int(fd), probe[:])
		isOpenAndEmpty = errors.Is(err, syscall.EAGAIN)
		if _, isTLS := c.Conn.Conn.(*tls.Conn); n > 0 && !isTLS { // over TLS the byte may belong to a record of TLS itself
			c.upstream.noteUnsolicitedResponse()
		}
	})
	return err == nil && isOpenAndEmpty
}

// wasReset reports whether the connection is closed in both directions although this side has not closed it. The
// system reports a reset only once, to whichever goroutine of the attempt reads or writes first; to the other
// goroutine it looks like the end of the response.
func (c *serverConn) wasReset() (isClosed bool) {
	_ = c.rawConn.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isClosed = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return isClosed
}
