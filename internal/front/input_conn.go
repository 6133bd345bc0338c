package front

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// inputConn is a client's connection below all others that wrap it. It makes known at any time whether some of a request
// was read from the socket: net/http reports a request only once it has parsed its head. One goroutine at a time calls
// Read; the other methods are safe for concurrent use.
type inputConn struct {
	net.Conn
	rawConn     syscall.RawConn       // nil where there is no socket
	tryReadFunc func(fd uintptr) bool // tryRead

	// The call of Read in progress.
	buffer []byte
	count  int
	err    error

	mu                sync.Mutex // held while bytes go from the socket to the reader, and while closing is decided on
	firstReadAt       time.Time  // when bytes were first read since the connection became idle; zero is none
	nextRequestReadAt time.Time  // when a byte of the next request was read during the one before; zero is none
	isIdle            bool       // no request has been reported since becameIdle
	isClosed          bool       // nothing more is read
}

// backgroundReadBytes is the length of the reads by which net/http notices, while it handles a request, that a client
// leaves. What they read belongs to the next request; requests themselves are read through a larger buffer.
const backgroundReadBytes = 1

// withInput returns a connection that has an inputConn inside: conn itself where it has one.
func withInputConn(conn net.Conn) net.Conn {
	if findWrappedConn[*inputConn](conn) != nil {
		return conn
	}
	c := &inputConn{Conn: conn}
	if tcp := tcpConnOf(conn); tcp != nil {
		c.rawConn, _ = tcp.SyscallConn()
		c.tryReadFunc = c.tryRead
	}
	return c
}

// NetConn returns the wrapped connection.
func (c *inputConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *inputConn) Read(p []byte) (int, error) {
	c.limitPartialRequest()
	if c.rawConn == nil || len(p) == 0 {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.mu.Lock()
			c.recordInput(len(p))
			c.mu.Unlock()
		}
		return n, err
	}
	c.buffer = p
	c.count = 0
	c.err = nil
	err := c.rawConn.Read(c.tryReadFunc)
	c.buffer = nil
	switch {
	case err != nil: // a deadline, or the connection is closed
		return 0, err
	case c.err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: c.err}
	case c.count == 0:
		return 0, io.EOF
	}
	return c.count, nil
}

// limitPartialRequest bounds the time for the rest of a request of which some was read. net/http does so only once it has
// four bytes, and before that allows as much time as to an idle connection.
func (c *inputConn) limitPartialRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle && !c.firstReadAt.IsZero() {
		c.SetReadDeadline(c.firstReadAt.Add(requestReadTimeout))
	}
}

// tryRead reads what the socket has, and returns false where it has nothing.
func (c *inputConn) tryRead(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		c.err = net.ErrClosed
		return true
	}
	for {
		n, err := syscall.Read(int(fd), c.buffer)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return false
		case err != nil:
			c.err = os.NewSyscallError("read", err)
			return true
		}
		c.count = n
		if n > 0 {
			c.recordInput(len(c.buffer))
		}
		return true
	}
}

// noteInput records that bytes were read into a buffer of some length. The caller holds mu.
func (c *inputConn) recordInput(bufferBytes int) {
	if c.firstReadAt.IsZero() {
		c.firstReadAt = time.Now()
	}
	if bufferBytes == backgroundReadBytes {
		c.nextRequestReadAt = time.Now()
	}
}

// inputSince returns when bytes were first read of a request that has not been reported; zero for none. A nil inputConn
// has read none.
func (c *inputConn) pendingInputSince() time.Time {
	if c == nil {
		return time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstReadAt
}

// becameIdle records that all that was read so far belongs to requests that have ended, but for a byte of the next one.
func (c *inputConn) becameIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstReadAt = c.nextRequestReadAt
	c.nextRequestReadAt = time.Time{}
	c.isIdle = true
}

// becameActive records that a request was reported.
func (c *inputConn) becameActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle = false
}

// closeUnlessRead closes the connection if mayClose allows it, and reads nothing from then on. mayClose gets the time at
// which bytes were first read of a request that has not been reported; zero for none. closeConnection is called with no
// lock held, as closing a socket waits for its reader.
func (c *inputConn) closeIfAllowed(mayClose func(firstReadAt time.Time) bool, closeConnection func()) {
	c.mu.Lock()
	isClosing := !c.isClosed && mayClose(c.firstReadAt)
	c.isClosed = c.isClosed || isClosing
	c.mu.Unlock()
	if isClosing {
		closeConnection()
	}
}
