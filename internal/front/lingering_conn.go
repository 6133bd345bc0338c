package front

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"lockflow/internal/limits"
	"lockflow/internal/socketpoll"
)

const (
	maxLingerTime  = 500 * time.Millisecond // for which a closed connection is still read
	maxLingerBytes = 256 << 10              // that are read in that time
	finBytes       = 1                      // by which the end of a stream counts in a socket's output
)

// lingeringConn is a client's connection with a lingering close (RFC 9112, 9.6). If a socket is closed
// while it has unread input, such as pipelined requests or the rest of a malformed one, the kernel
// resets the connection and the client may lose the part of the answer that it has not read yet. Input
// that is read while the connection lingers is discarded.
type lingeringConn struct {
	net.Conn
	isBusy      atomic.Bool // a request has started since the connection was last idle
	isLingering atomic.Bool // the sending side is closed, and the connection stays only for its answer's sake
}

// Close closes the connection. If it is busy and the client has sent more than was read, or has not
// received all of the answer yet, only the sending side is closed first, and input is discarded until the
// client closes, the limits are reached or the connection is evicted. An idle connection is closed at once.
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

// CloseWrite closes the sending side. net/http calls it after an answer to a request that it has not read
// completely, waits, and then calls Close.
func (c *lingeringConn) CloseWrite() error {
	tcp := tcpConnOf(c.Conn)
	if tcp == nil || c.mustReset() {
		return nil
	}
	return c.closeSending(tcp)
}

// closeSending closes the sending side, after which the connection may be evicted.
func (c *lingeringConn) closeSending(tcp *net.TCPConn) error {
	err := tcp.CloseWrite()
	c.isLingering.Store(true)
	if limited := findWrappedConn[*limits.Conn](c.Conn); limited != nil {
		limited.NotifyEvictable()
	}
	return err
}

// canStopLingering reports whether closing a lingering connection loses nothing of its answer: the client's system
// has acknowledged all of it or, if onlySent is set, all of it was sent to the client.
func (c *lingeringConn) canStopLingering(onlySent bool) bool {
	if !c.isLingering.Load() {
		return false
	}
	tcp := tcpConnOf(c.Conn)
	return outputBytes(tcp, unix.SIOCOUTQ) <= finBytes || onlySent && outputBytes(tcp, unix.SIOCOUTQNSD) == 0
}

// stopLingering closes a lingering connection. It discards the input first, as far as it is there, over which the close
// would reset the connection.
func (c *lingeringConn) stopLingering() {
	discardUnread(tcpConnOf(c.Conn))
	c.Conn.Close()
}

// isReset reports whether the close has to reset the connection.
func (c *lingeringConn) mustReset() bool {
	conn, ok := c.Conn.(*validatingConn)
	return ok && conn.mustReset.Load()
}

// ReadFrom implements io.ReaderFrom by that of the wrapped connection, if it has one.
func (c *lingeringConn) ReadFrom(r io.Reader) (int64, error) {
	if inner, ok := c.Conn.(io.ReaderFrom); ok {
		return inner.ReadFrom(r)
	}
	return io.Copy(struct{ io.Writer }{c.Conn}, r)
}

// NetConn returns the wrapped connection.
func (c *lingeringConn) NetConn() net.Conn { return c.Conn }

// hasUnread reports whether a socket has input, or the peer's close, that has not been read.
func hasUnread(c *net.TCPConn) bool {
	rawConn, err := c.SyscallConn()
	if err != nil {
		return false
	}
	state := socketpoll.Poll(rawConn)
	return state.IsReadable && !state.IsBroken
}

// hasUnacknowledged reports whether the peer has not acknowledged all that was written to a socket. A
// reset would drop that part.
func hasUnacknowledged(c *net.TCPConn) bool { return outputBytes(c, unix.SIOCOUTQ) > 0 }

// outputBytes returns how many bytes a socket has of those written to it, by a request of ioctl(2): SIOCOUTQ counts the
// unacknowledged ones, SIOCOUTQNSD those that have not been sent. It is 0 for a socket that is closed.
func outputBytes(c *net.TCPConn, request uint) (count int) {
	rawConn, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = rawConn.Control(func(fd uintptr) { count, _ = unix.IoctlGetInt(int(fd), request) })
	return count
}

// discardUnread reads what a socket has for its reader, up to maxLingerBytes, without waiting.
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

// LingeringListener wraps a listener so that its connections have a lingering close. It goes around a
// ValidatingListener, if both are used.
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
