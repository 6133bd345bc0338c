package front

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lockflow/internal/accept"
	"lockflow/internal/socketpoll"
)

// clientConn is the connection of one client.
type clientConn struct {
	conn         net.Conn        // inside the lingeringConn that net/http has, if that is used
	lingering    *lingeringConn  // around conn; nil if it is not used
	rawConn      syscall.RawConn // the socket; nil if there is none
	input        *inputConn      // inside conn; nil if there is none
	idleSince    time.Time       // zero while a request is open; guarded by clientRegistry.mu
	isNew        bool            // no complete head has been received yet; guarded by clientRegistry.mu
	closedByNode atomic.Bool     // the node has closed the connection: no more requests are started on it

	// When the connection was accepted, and the time before in which it may have waited for that; used for its first
	// request only, by the goroutine that serves the connection.
	acceptedAt time.Time
	queued     accept.Period
}

// isClosed reports whether the node has closed the connection. It is false for a nil connection.
func (c *clientConn) isClosed() bool { return c != nil && c.closedByNode.Load() }

// IsWaiting reports whether the client has not closed its side of the connection. It polls the socket,
// because net/http reads at most one byte after a request and misses a close that follows pipelined
// requests. Without a socket the client is assumed to be there.
func (c *clientConn) IsWaiting() bool {
	_, peerClosed := c.pollSocket()
	return !peerClosed
}

// pollSocket reports whether the socket has bytes to read, and whether the client has closed its side.
func (c *clientConn) pollSocket() (readable, peerClosed bool) {
	if c.rawConn == nil {
		return false, false
	}
	state := socketpoll.Poll(c.rawConn)
	return state.IsReadable, state.IsHalfShut || state.IsBroken
}

// maxUnreadBytes is how much a client that sends one request at a time may have sent behind it. It is
// less than the usual receive buffer of a socket.
const maxUnreadBytes = 32 << 10

// sequentialClient is a client that has sent a complete request and whose protocol forbids to send
// another one before the answer. A client that fills the receive buffer and then closes cannot be
// seen to close, so a client with much unread input is assumed to have left.
type sequentialClient struct{ *clientConn }

// IsWaiting reports whether the client is connected and has not sent so much that a close would be hidden.
func (c sequentialClient) IsWaiting() bool {
	readable, peerClosed := c.pollSocket()
	unreadBytes := 0
	if readable {
		_ = c.rawConn.Control(func(fd uintptr) { unreadBytes, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	return !peerClosed && unreadBytes < maxUnreadBytes
}

// arrivalOf returns when a request arrived that was read now. The first one of a connection that could not be accepted
// at once may have waited in the socket's queue: its client's time counts from the arrival of its last byte.
func (c *clientConn) arrivalOf(now time.Time) time.Time {
	queued := c.queued
	c.queued = accept.Period{}
	if queued.From.IsZero() {
		return now
	}
	lastByteAt, ok := c.lastReceivedAt(now)
	if !ok {
		return now
	}
	if lastByteAt.After(queued.To) || lastByteAt.After(c.acceptedAt) {
		return now
	}
	if lastByteAt.Before(queued.From) {
		return queued.From
	}
	return lastByteAt
}

// lastReceivedAt returns when the client's last byte arrived; before the first one, when the connection came up. It is
// false where the system does not tell.
func (c *clientConn) lastReceivedAt(now time.Time) (time.Time, bool) {
	if c.rawConn == nil {
		return time.Time{}, false
	}
	var info *unix.TCPInfo
	err := errors.ErrUnsupported
	_ = c.rawConn.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond), true
}

// silentSince returns since when a connection that was accepted now has sent nothing: one that may have waited in the
// socket's queue, since it came up.
func (c *clientConn) silentSince(now time.Time) time.Time {
	if c.queued.From.IsZero() {
		return now
	}
	if receivedAt, ok := c.lastReceivedAt(now); ok {
		return receivedAt
	}
	return now
}

// closeIf closes an idle connection if mayClose allows it. That gets the time at which bytes were first read of a request
// that net/http has not reported; zero for none. The caller holds clientRegistry.mu.
func (c *clientConn) closeIf(mayClose func(firstReadAt time.Time) bool) {
	if c.input != nil {
		c.input.closeIfAllowed(mayClose, c.close)
	} else if mayClose(time.Time{}) {
		c.close()
	}
}

// canCloseCleanly reports whether closing an idle connection loses nothing: neither a request that has
// arrived, was read or is about to be, nor a part of the last answer that is still on its way.
func (c *clientConn) canCloseWithoutLoss(firstReadAt time.Time) bool {
	return firstReadAt.IsZero() && !c.hasUnreadInput() && !c.hasUnacknowledgedOutput()
}

// hasUnreadInput reports whether an idle connection has input, or the client's close, that is about to
// be read. Closing the socket then would reset the connection and drop what the client has not yet
// read of the answer before.
func (c *clientConn) hasUnreadInput() bool {
	tcp := tcpConnOf(c.conn)
	return tcp != nil && hasUnread(tcp)
}

// hasUnacknowledgedOutput reports whether a part of the last answer is still on its way to the client.
// A request that arrives after a close would reset the connection and drop that part.
func (c *clientConn) hasUnacknowledgedOutput() bool {
	tcp := tcpConnOf(c.conn)
	return tcp != nil && hasUnacknowledged(tcp)
}

// hasUndeliveredOutput is hasUnacknowledgedOutput or, if onlyUnsent is set, reports whether a part of the last answer has
// not been sent to the client yet.
func (c *clientConn) hasUndeliveredOutput(onlyUnsent bool) bool {
	if !onlyUnsent {
		return c.hasUnacknowledgedOutput()
	}
	tcp := tcpConnOf(c.conn)
	return tcp != nil && outputBytes(tcp, unix.SIOCOUTQNSD) > 0
}

// close closes an idle connection. The caller holds clientRegistry.mu.
func (c *clientConn) close() {
	if !c.closedByNode.Swap(true) {
		c.conn.Close()
	}
}
