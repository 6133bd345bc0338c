package h2

import (
	"syscall"
	"time"

	"lockflow/internal/socketpoll"
)

// deliveryGrace is the time for the server's system to acknowledge what was written.
const deliveryGrace = 50 * time.Millisecond

// closeSocket closes the socket. It resets the connection if the server's system has not taken all output, unless only
// the end of a healthy connection is on its way: after an ordinary close this node's system would go on delivering requests
// that other servers may have run meanwhile.
func (c *Conn) closeSocket() {
	if c.rawConn != nil && (c.dropsUndelivered.Load() || socketpoll.UnsentBytes(c.rawConn) > 0) {
		socketpoll.ResetOnClose(c.conn)
	}
	c.conn.Close()
}

// closeUndelivered ends the connection and drops what the server's system has not acknowledged.
func (c *Conn) closeUndelivered() {
	c.dropsUndelivered.Store(true)
	c.Close()
}

// checkSent ends the connection if the output before an offset, which this node's system has taken, has not been sent.
// Otherwise it does so after deliveryGrace, unless the server's system has acknowledged that output by then.
func (c *Conn) checkSent(offset int64) {
	if c.hasUndelivered(offset, socketpoll.UnsentBytes) {
		c.closeUndelivered()
		return
	}
	c.scheduleDeliveryCheck(offset)
}

// scheduleDeliveryCheck ends the connection after deliveryGrace unless the server's system has acknowledged the output
// before an offset by then.
func (c *Conn) scheduleDeliveryCheck(offset int64) {
	if c.rawConn == nil {
		return
	}
	time.AfterFunc(deliveryGrace, func() {
		if c.hasUndelivered(offset, socketpoll.UnacknowledgedBytes) {
			c.closeUndelivered()
		}
	})
}

// hasUndelivered reports whether part of the output before an offset is among the bytes that count returns, which are the
// last ones that this node's system has taken. It is false once the connection has ended.
func (c *Conn) hasUndelivered(offset int64, count func(syscall.RawConn) int) bool {
	if c.rawConn == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Err() == nil && c.machine.offered-int64(count(c.rawConn)) < offset
}
