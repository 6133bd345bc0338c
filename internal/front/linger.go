package front

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lingerMost  = 500 * time.Millisecond // for which a client that was answered is listened to
	lingerBytes = 256 << 10              // that are read of it meanwhile
)

// lingering is a client's connection as net/http has it, which closes it behind an answer. Guards against
// a close over bytes that nobody read, further requests or the rest of a bad one: the socket then drops
// what the client has not taken of the answer and resets it (RFC 9112, 9.6). What is read is begun by nobody.
type lingering struct {
	net.Conn
	busy atomic.Bool // a request was begun on it and none has ended since with the connection kept
}

// Close closes the connection, behind the client where it has sent more than was read, or may do so before it
// has all of the answer. One that rests is closed at once: its client has all answers, and a request that
// crosses the close is not read.
func (c *lingering) Close() error {
	if tcp := socket(c.Conn); tcp != nil && c.busy.Load() && !c.cut() && (unread(tcp) || unacknowledged(tcp)) {
		_ = tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(lingerMost))
		_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
	}
	return c.Conn.Close()
}

// cut tells whether the client must see a reset.
func (c *lingering) cut() bool {
	w, ok := c.Conn.(*wire)
	return ok && w.cut.Load()
}

// ReadFrom is io.ReaderFrom's, by the connection below where it has one.
func (c *lingering) ReadFrom(r io.Reader) (int64, error) {
	if below, ok := c.Conn.(io.ReaderFrom); ok {
		return below.ReadFrom(r)
	}
	return io.Copy(struct{ io.Writer }{c.Conn}, r)
}

// NetConn is the connection below.
func (c *lingering) NetConn() net.Conn { return c.Conn }

// unread tells whether bytes of the peer wait in a socket, or its end.
func unread(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	is := false
	_ = raw.Control(func(fd uintptr) {
		look := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(look[:], 0)
		is = err == nil && n > 0 && look[0].Revents == unix.POLLIN
	})
	return is
}

// unacknowledged tells whether the peer has not acknowledged all that was written to a socket. A reset drops
// that part.
func unacknowledged(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	waiting := 0
	_ = raw.Control(func(fd uintptr) { waiting, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return waiting > 0
}

// LingeringListener has the connections of a listener closed behind their clients. It is put around Strict.
func LingeringListener(l net.Listener) net.Listener { return lingerListener{l} }

type lingerListener struct{ net.Listener }

func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingering{Conn: c}, nil
}
