package upstream

import (
	"sync"
	"time"

	"lockflow/internal/socketpoll"
)

// deliveryGrace is the time for a server's system to acknowledge what was written by a write deadline.
const deliveryGrace = 50 * time.Millisecond

// abandon closes a connection whose request may be incomplete at the server. It resets the connection if the server's
// system has not acknowledged all of it: after an ordinary close this node's system would go on delivering the request.
func (c *serverConn) abandon() {
	if socketpoll.UnacknowledgedBytes(c.rawConn) > 0 {
		socketpoll.ResetOnClose(c.Conn)
	}
	c.Close()
}

// deliveryGuard interrupts a connection whose request has not been delivered to the server's system by a write deadline.
// An attempt whose request is delivered later could run although its servers have forgotten its key.
type deliveryGuard struct {
	conn      *serverConn
	isWritten func() bool // whether the system of this node has the complete request

	mu       sync.Mutex
	timer    *time.Timer
	hasEnded bool
}

// guardDelivery starts a guard, which the caller has to stop. It returns nil if there is no deadline.
func (c *serverConn) guardDelivery(deadline time.Time, isWritten func() bool) *deliveryGuard {
	if deadline.IsZero() {
		return nil
	}
	guard := &deliveryGuard{conn: c, isWritten: isWritten}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.timer = time.AfterFunc(time.Until(deadline), guard.checkSent)
	return guard
}

// checkSent interrupts the connection at the deadline unless the request has been sent completely.
func (g *deliveryGuard) checkSent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.hasEnded:
	case !g.isWritten() || socketpoll.UnsentBytes(g.conn.rawConn) > 0:
		g.conn.interrupt()
	default:
		g.timer = time.AfterFunc(deliveryGrace, g.checkAcknowledged)
	}
}

// checkAcknowledged interrupts the connection unless the server's system has acknowledged the request.
func (g *deliveryGuard) checkAcknowledged() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.hasEnded && socketpoll.UnacknowledgedBytes(g.conn.rawConn) > 0 {
		g.conn.interrupt()
	}
}

// stop ends the guard. Afterwards it does not interrupt the connection. A nil guard is allowed.
func (g *deliveryGuard) stop() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasEnded = true
	g.timer.Stop()
}
