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

// inputConn is the innermost wrapper of a client's connection. It records when bytes of a request were first read from the
// socket, because net/http reports a request only once it has parsed its head. Read must not be called concurrently; the
// other methods are safe for concurrent use.
type inputConn struct {
	net.Conn
	rawConn     syscall.RawConn       // nil if there is no socket
	tryReadFunc func(fd uintptr) bool // tryRead as a method value, created once

	// Argument and results of the call of Read in progress.
	buffer []byte
	count  int
	err    error

	mu                sync.Mutex      // held during reads from the socket and while closeIfAllowed decides
	requests          requestProgress // of the bytes read so far; nil if they are not scanned
	firstReadAt       time.Time       // when bytes were first read since the connection became idle; zero if none were
	nextRequestReadAt time.Time       // when a byte of the next request was read during the current one; zero if none was
	isIdle            bool            // becameActive has not been called since becameIdle
	isClosed          bool            // closeIfAllowed has decided to close: nothing more is read
	bodyStartedAt     time.Time       // when net/http reported a request whose body has not been read; zero if it has been
}

// requestProgress scans the bytes that are read from a connection. Its methods are called with inputConn.mu held.
type requestProgress interface {
	// scan scans the next bytes.
	scan(p []byte)
	// hasUnservedRequest reports whether the head of a request has been read that net/http has not reported yet.
	hasUnservedRequest() bool
	// isBodyMissing reports whether a part of the body of the request that is served has not been read yet.
	isBodyMissing() bool
}

// backgroundReadBytes is the buffer length of the reads with which net/http detects a client's disconnect while it handles
// a request. A byte that they read belongs to the next request; requests themselves are read through a larger buffer.
const backgroundReadBytes = 1

// withInputConn wraps conn in an inputConn. If conn wraps an inputConn already, it returns conn itself.
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
			c.recordInput(p, n)
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
	case err != nil: // the read timed out or the connection is closed
		return 0, err
	case c.err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: c.err}
	case c.count == 0:
		return 0, io.EOF
	}
	return c.count, nil
}

// limitPartialRequest limits the time for the rest of a request of which bytes were read. net/http applies its limit only
// after the first four bytes of a further request; until then it uses the timeout for idle connections.
func (c *inputConn) limitPartialRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle && !c.firstReadAt.IsZero() {
		c.SetReadDeadline(c.firstReadAt.Add(requestReadTimeout))
	}
}

// tryRead reads from the socket without waiting. It returns false if there is nothing to read.
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
			c.recordInput(c.buffer, n)
		}
		return true
	}
}

// recordInput records that n bytes were read into a buffer. The caller holds mu.
func (c *inputConn) recordInput(buffer []byte, n int) {
	if c.requests != nil {
		c.requests.scan(buffer[:n])
	}
	if c.firstReadAt.IsZero() {
		c.firstReadAt = time.Now()
	}
	if len(buffer) == backgroundReadBytes {
		c.nextRequestReadAt = time.Now()
	}
}

// pendingInputSince returns when the first bytes were read of a request that net/http has not reported yet; zero if there
// are none. For a nil inputConn it returns zero.
func (c *inputConn) pendingInputSince() time.Time {
	if c == nil {
		return time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstReadAt
}

// hasUnservedRequest reports whether the head of a request has been read that net/http has not reported yet. For a nil
// inputConn it returns false.
func (c *inputConn) hasUnservedRequest() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests != nil && c.requests.hasUnservedRequest()
}

// endBody records that the node no longer waits for the body of the current request.
func (c *inputConn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyStartedAt = time.Time{}
}

// isBodyUnread reports whether the node has not read the body of the current request, nor begun to forward it. For a nil
// inputConn it returns false.
func (c *inputConn) isBodyUnread() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.bodyStartedAt.IsZero()
}

// incompleteBodySince returns when the node began to wait for a body of which a part is still missing; zero if there is
// none. For a nil inputConn it returns zero.
func (c *inputConn) incompleteBodySince() time.Time {
	if c == nil {
		return time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incompleteBodySinceLocked()
}

// incompleteBodySinceLocked is incompleteBodySince with mu held.
func (c *inputConn) incompleteBodySinceLocked() time.Time {
	if c.requests == nil || !c.requests.isBodyMissing() {
		return time.Time{}
	}
	return c.bodyStartedAt
}

// becameIdle records that the requests read so far have ended. Only a byte that a background read has read belongs to the
// next request.
func (c *inputConn) becameIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstReadAt = c.nextRequestReadAt
	c.nextRequestReadAt = time.Time{}
	c.bodyStartedAt = time.Time{}
	c.isIdle = true
}

// becameActive records that net/http has reported a request.
func (c *inputConn) becameActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle = false
	c.bodyStartedAt = time.Now()
}

// closeIfAllowed calls closeConnection if mayClose returns true; nothing more is read then. The argument of mayClose is the
// time at which the first bytes were read of a request that net/http has not reported yet; zero if there are none.
// closeConnection is called without mu held, because closing a socket waits for its reader, which may need mu.
func (c *inputConn) closeIfAllowed(mayClose func(firstReadAt time.Time) bool, closeConnection func()) {
	c.mu.Lock()
	isUnserved := c.requests != nil && c.requests.hasUnservedRequest()
	isClosing := !c.isClosed && !isUnserved && mayClose(c.firstReadAt)
	c.isClosed = c.isClosed || isClosing
	c.mu.Unlock()
	if isClosing {
		closeConnection()
	}
}

// closeIncompleteBody calls closeConnection if the node has waited for the rest of a body at least since a time. Nothing
// more is read then, so that the request is not forwarded.
func (c *inputConn) closeIncompleteBody(since time.Time, closeConnection func()) {
	c.mu.Lock()
	startedAt := c.incompleteBodySinceLocked()
	isClosing := !c.isClosed && !startedAt.IsZero() && !startedAt.After(since)
	c.isClosed = c.isClosed || isClosing
	c.mu.Unlock()
	if isClosing {
		closeConnection()
	}
}
