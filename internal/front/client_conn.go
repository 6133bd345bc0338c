package front

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lockflow/internal/accept"
	"lockflow/internal/limits"
	"lockflow/internal/socketpoll"
)

// clientConn is the connection of one client.
type clientConn struct {
	conn         net.Conn        // the connection that net/http uses, without its lingeringConn if it has one
	lingering    *lingeringConn  // the wrapper around conn; nil if there is none
	rawConn      syscall.RawConn // the socket; nil if there is none
	input        *inputConn      // the inputConn wrapped by conn; nil if there is none
	validating   *validatingConn // the validatingConn that is conn or is wrapped by it; nil if there is none
	limited      *limits.Conn    // the limits.Conn wrapped by conn; nil if there is none
	idleSince    time.Time       // zero while a request is open; guarded by clientRegistry.mu
	isNew        bool            // no complete head has been received yet; guarded by clientRegistry.mu
	closedByNode atomic.Bool     // the node has closed the connection, so no more requests are started on it

	// acceptedAt is when the connection was accepted, and queued the period before in which it may have waited in the
	// listener's queue. They are used for the first request only, by the goroutine that serves the connection.
	acceptedAt time.Time
	queued     accept.Period
}

// endServing releases the memory of the connection. It is called when net/http no longer serves it: an eviction closes only
// the socket.
func (c *clientConn) endServing() {
	if c.validating != nil {
		c.validating.input.close()
	}
	if c.limited != nil {
		c.limited.EndServing()
	}
}

// endBody records that the body of the current request has been read, or is read while it is forwarded. It does nothing for
// a nil connection.
func (c *clientConn) endBody() {
	if c != nil && c.input != nil {
		c.input.endBody()
	}
}

// isClosed reports whether the node has closed the connection. It is false for a nil connection.
func (c *clientConn) isClosed() bool { return c != nil && c.closedByNode.Load() }

// IsWaiting reports whether the client has not closed its side of the connection. It polls the socket,
// because net/http reads at most one byte after a request and therefore misses a close that follows
// pipelined requests. Without a socket the client is assumed to be connected.
func (c *clientConn) IsWaiting() bool {
	_, peerClosed := c.pollSocket()
	return !peerClosed
}

// pollSocket reports whether the socket is readable, and whether the client has closed its side of the connection.
func (c *clientConn) pollSocket() (readable, peerClosed bool) {
	if c.rawConn == nil {
		return false, false
	}
	state := socketpoll.Poll(c.rawConn)
	return state.IsReadable, state.IsHalfClosed || state.IsBroken
}

// maxUnreadBytes limits how much unread input a client that must send one request at a time may have
// sent after its request. It is less than the usual receive buffer of a socket.
const maxUnreadBytes = 32 << 10

// sequentialClient is a client that has sent a complete request and whose protocol forbids sending
// another one before the answer. If a client fills the receive buffer and then closes, the node cannot
// detect the close, so a client with maxUnreadBytes of unread input is assumed to have disconnected.
type sequentialClient struct{ *clientConn }

// IsWaiting reports whether the client is connected and has sent so little that a close would be detected.
func (c sequentialClient) IsWaiting() bool {
	readable, peerClosed := c.pollSocket()
	unreadBytes := 0
	if readable {
		_ = c.rawConn.Control(func(fd uintptr) { unreadBytes, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	return !peerClosed && unreadBytes < maxUnreadBytes
}

// arrivalOf returns the arrival time of a request whose head has just been read. The first request of a connection that
// could not be accepted at once may have waited in the listener's queue; its deadline counts from the arrival of its
// last byte.
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

// lastReceivedAt returns when the client's last byte arrived, or when the connection was established if none has
// arrived. It returns false if the kernel does not report the time.
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

// silentSince returns the time since which a connection that was accepted now has sent nothing. For a connection that
// may have waited in the listener's queue, it is the time of the last received byte, or of the connection's
// establishment.
func (c *clientConn) silentSince(now time.Time) time.Time {
	if c.queued.From.IsZero() {
		return now
	}
	if receivedAt, ok := c.lastReceivedAt(now); ok {
		return receivedAt
	}
	return now
}

// closeIf closes an idle connection if mayClose returns true. The argument of mayClose is the time at which the first
// bytes were read of a request that net/http has not reported yet; zero if there is none. The caller holds
// clientRegistry.mu.
func (c *clientConn) closeIf(mayClose func(firstReadAt time.Time) bool) {
	if c.input != nil {
		c.input.closeIfAllowed(mayClose, c.close)
	} else if mayClose(time.Time{}) {
		c.close()
	}
}

// canCloseWithoutLoss reports whether closing an idle connection loses neither a request, whether it has
// been read or only received, nor a part of the last answer that the client has not acknowledged.
func (c *clientConn) canCloseWithoutLoss(firstReadAt time.Time) bool {
	return firstReadAt.IsZero() && !c.hasUnreadInput() && !c.hasUnacknowledgedOutput()
}

// hasUnreadInput reports whether an idle connection has unread input, or an unread close by the client.
// Closing the socket in that state would reset the connection and drop the part of the last answer that
// the client has not read yet.
func (c *clientConn) hasUnreadInput() bool {
	tcp := tcpConnOf(c.conn)
	return tcp != nil && hasUnread(tcp)
}

// hasUnacknowledgedOutput reports whether the client has not acknowledged all of the last answer. A
// request that arrives after a close would reset the connection and drop the unacknowledged part.
func (c *clientConn) hasUnacknowledgedOutput() bool {
	tcp := tcpConnOf(c.conn)
	return tcp != nil && hasUnacknowledged(tcp)
}

// hasUndeliveredOutput reports whether a part of the last answer has not been sent to the client yet or, unless onlyUnsent
// is set, has not been acknowledged by it.
func (c *clientConn) hasUndeliveredOutput(onlyUnsent bool) bool {
	if !onlyUnsent {
		return c.hasUnacknowledgedOutput()
	}
	tcp := tcpConnOf(c.conn)
	return tcp != nil && outputBytes(tcp, socketpoll.UnsentBytes) > 0
}

// close closes an idle connection. The caller holds clientRegistry.mu.
func (c *clientConn) close() {
	if !c.closedByNode.Swap(true) {
		c.conn.Close()
	}
}
