package front

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lockflow/internal/limits"
	"lockflow/internal/socketpoll"
)

const (
	maxLingerTime  = 500 * time.Millisecond // how long a closed connection is still read
	maxLingerBytes = 256 << 10              // limit of the input that is discarded before the connection is closed
	finBytes       = 1                      // what a FIN adds to the kernel's count of unacknowledged bytes
)

// lingeringConn is a client's connection with a lingering close (RFC 9112, 9.6). If a socket is closed
// while it has unread input, such as pipelined requests or the rest of a malformed request, the kernel
// resets the connection and the client may lose the part of the answer that it has not read yet.
// Therefore the connection is still read for a while, and its input discarded, before it is closed.
type lingeringConn struct {
	net.Conn
	isBusy      atomic.Bool // a request has started since the connection was last idle
	isLingering atomic.Bool // the sending side is closed; the connection stays open only until the answer is delivered
}

// Close closes the connection. If it is busy, and has unread input or the client has not received all of
// the answer yet, Close first closes only the sending side and discards input until the client closes, a
// limit is reached or the connection is evicted. An idle connection is closed at once.
func (c *lingeringConn) Close() error {
	tcp := tcpConnOf(c.Conn)
	mayLinger := tcp != nil && c.isBusy.Load() && !c.mustReset()
	if mayLinger && (hasUnread(tcp) || hasUnacknowledged(tcp)) {
		_ = c.closeSending(tcp)
		_ = tcp.SetReadDeadline(time.Now().Add(maxLingerTime))
		_, _ = io.CopyN(io.Discard, tcp, maxLingerBytes)
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side. net/http calls it after the answer to a request that it has not read
// completely, then waits, and then calls Close.
func (c *lingeringConn) CloseWrite() error {
	tcp := tcpConnOf(c.Conn)
	if tcp == nil || c.mustReset() {
		return nil
	}
	return c.closeSending(tcp)
}

// closeSending closes the sending side. After that the connection may be evicted.
func (c *lingeringConn) closeSending(tcp *net.TCPConn) error {
	err := tcp.CloseWrite()
	c.isLingering.Store(true)
	if limited := findWrappedConn[*limits.Conn](c.Conn); limited != nil {
		limited.NotifyEvictable()
	}
	return err
}

// canStopLingering reports whether closing a lingering connection loses no part of its answer: the client's kernel has
// acknowledged all of the answer or, if onlySent is set, all of the answer has been sent.
func (c *lingeringConn) canStopLingering(onlySent bool) bool {
	if !c.isLingering.Load() {
		return false
	}
	tcp := tcpConnOf(c.Conn)
	return outputBytes(tcp, socketpoll.UnacknowledgedBytes) <= finBytes || onlySent && outputBytes(tcp, socketpoll.UnsentBytes) == 0
}

// stopLingering closes a lingering connection. It first discards the unread input, because closing a socket with unread
// input would reset the connection.
func (c *lingeringConn) stopLingering() {
	discardUnread(tcpConnOf(c.Conn))
	c.Conn.Close()
}

// mustReset reports whether Close must reset the connection.
func (c *lingeringConn) mustReset() bool {
	conn, ok := c.Conn.(*validatingConn)
	return ok && conn.mustReset.Load()
}

// ReadFrom implements io.ReaderFrom. It uses the wrapped connection's ReadFrom, if there is one.
func (c *lingeringConn) ReadFrom(r io.Reader) (int64, error) {
	if inner, ok := c.Conn.(io.ReaderFrom); ok {
		return inner.ReadFrom(r)
	}
	return io.Copy(struct{ io.Writer }{c.Conn}, r)
}

// NetConn returns the wrapped connection.
func (c *lingeringConn) NetConn() net.Conn { return c.Conn }

// hasUnread reports whether a socket has unread input, or an unread close by the peer.
func hasUnread(c *net.TCPConn) bool {
	rawConn, err := c.SyscallConn()
	if err != nil {
		return false
	}
	state := socketpoll.Poll(rawConn)
	return state.IsReadable && !state.IsBroken
}

// hasUnacknowledged reports whether the peer has not acknowledged all bytes written to a socket. A reset
// would drop the unacknowledged bytes.
func hasUnacknowledged(c *net.TCPConn) bool {
	return outputBytes(c, socketpoll.UnacknowledgedBytes) > 0
}

// outputBytes calls count with a socket. The result is 0 for a closed socket.
func outputBytes(c *net.TCPConn, count func(syscall.RawConn) int) int {
	rawConn, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	return count(rawConn)
}

// discardUnread reads and discards a socket's unread input, up to about maxLingerBytes, without waiting.
func discardUnread(c *net.TCPConn) {
	rawConn, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = rawConn.Control(func(fd uintptr) {
		buffer := make([]byte, 4<<10)
		for discarded := 0; discarded < maxLingerBytes; {
			n, err := unix.Read(int(fd), buffer)
			if err != nil || n <= 0 {
				return
			}
			discarded += n
		}
	})
}

// LingeringListener wraps a listener so that its connections have a lingering close. If a
// ValidatingListener is used as well, LingeringListener must wrap it.
func LingeringListener(listener net.Listener) net.Listener { return lingerListener{listener} }

// lingerListener accepts connections as *lingeringConn.
type lingerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l lingerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingeringConn{Conn: withInputConn(conn)}, nil
}
