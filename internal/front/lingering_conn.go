package front

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxLingerTime  = 500 * time.Millisecond // for which a client that was answered is listened to
	maxLingerBytes = 256 << 10              // that are read of it meanwhile
)

// lingeringConn is a client's connection as net/http has it, which closes it behind an answer. Guards against
// a close over bytes that nobody read, further requests or the rest of a bad one: the socket then drops
// what the client has not taken of the answer and resets it (RFC 9112, 9.6). What is read is begun by nobody.
type lingeringConn struct {
	net.Conn
	isBusy atomic.Bool // a request was begun on it and none has ended since with the connection kept
}

// Close closes the connection, behind the client where it has sent more than was read, or may do so before it
// has all of the answer. One that rests is closed at once: its client has all answers, and a request that
// crosses the close is not read.
func (c *lingeringConn) Close() error {
	if tcp := tcpConnOf(c.Conn); tcp != nil && c.isBusy.Load() && !c.isReset() && (hasUnread(tcp) || hasUnacknowledged(tcp)) {
		_ = tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(maxLingerTime))
		_, _ = io.CopyN(io.Discard, tcp, maxLingerBytes)
	}
	return c.Conn.Close()
}

// isReset tells whether the client must see a reset.
func (c *lingeringConn) isReset() bool {
	w, ok := c.Conn.(*validatingConn)
	return ok && w.isReset.Load()
}

// ReadFrom is io.ReaderFrom's, by the connection below where it has one.
func (c *lingeringConn) ReadFrom(r io.Reader) (int64, error) {
	if inner, ok := c.Conn.(io.ReaderFrom); ok {
		return inner.ReadFrom(r)
	}
	return io.Copy(struct{ io.Writer }{c.Conn}, r)
}

// NetConn is the connection below.
func (c *lingeringConn) NetConn() net.Conn { return c.Conn }

// hasUnread tells whether bytes of the peer wait in a socket, or its end.
func hasUnread(c *net.TCPConn) bool {
	rawConn, err := c.SyscallConn()
	if err != nil {
		return false
	}
	readable := false
	_ = rawConn.Control(func(fd uintptr) {
		pollFDs := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(pollFDs[:], 0)
		readable = err == nil && n > 0 && pollFDs[0].Revents == unix.POLLIN
	})
	return readable
}

// hasUnacknowledged tells whether the peer has not acknowledged all that was written to a socket. A reset drops
// that part.
func hasUnacknowledged(c *net.TCPConn) bool {
	rawConn, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unacknowledgedBytes := 0
	_ = rawConn.Control(func(fd uintptr) { unacknowledgedBytes, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return unacknowledgedBytes > 0
}

// LingeringListener has the connections of a listener closed behind their clients. It is put around Strict.
func LingeringListener(listener net.Listener) net.Listener { return lingerListener{listener} }

type lingerListener struct{ net.Listener }

func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingeringConn{Conn: c}, nil
}
