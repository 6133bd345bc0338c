package limits

import (
	"context"
	"net"
	"sync"
	"time"

	"lockflow/internal/accept"
)

// acquireRetryInterval is the maximum time between two attempts to acquire a descriptor for a client. A release ends
// it; whether a connection may be evicted also depends on the time.
const acquireRetryInterval = 20 * time.Millisecond

// Conn is a connection that releases its descriptor when it is closed.
type Conn struct {
	net.Conn
	// AcceptedAt is when a Listener accepted it.
	AcceptedAt time.Time
	// Queued is the time before AcceptedAt in which it may have waited to be accepted.
	Queued accept.Period

	limiter      ConnectionLimiter
	availability *Signal // of the limiter's descriptors; nil where nobody waits for one
	releaseOnce  sync.Once
}

// Track returns a connection, for which a descriptor was acquired, as one that releases it.
func Track(c net.Conn, limiter ConnectionLimiter) *Conn { return &Conn{Conn: c, limiter: limiter} }

// Close closes the connection and then releases its descriptor, once.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.releaseOnce.Do(c.limiter.Release)
	return err
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// NotifyEvictable makes known to those that wait for a descriptor that this connection may be evicted.
func (c *Conn) NotifyEvictable() {
	if c.availability != nil {
		c.availability.Notify()
	}
}

// Listener accepts connections only while a descriptor can be acquired for them. One connection may be accepted and wait
// for its descriptor where another user takes it in that moment.
type Listener struct {
	net.Listener
	ctx     context.Context // Accept, which net.Listener defines without one, waits until it ends
	limiter ConnectionLimiter
	backlog *accept.Backlog

	availability *Signal // that of the limiter, or one that is never given
}

// Listen wraps a listener. Once ctx has ended, Accept no longer waits for a descriptor.
func Listen(ctx context.Context, l net.Listener, limiter ConnectionLimiter) *Listener {
	backlog := &accept.Backlog{}
	if retrying, ok := l.(*accept.Listener); ok {
		backlog = retrying.Backlog()
	}
	availability := &Signal{}
	if awaitable, ok := limiter.(AwaitedLimiter); ok {
		availability = awaitable.Availability()
	}
	return &Listener{Listener: l, ctx: ctx, limiter: limiter, backlog: backlog, availability: availability}
}

// Accept waits until there is a descriptor, then for a connection, and acquires the descriptor for it. While no connection
// comes, the descriptor is left to others, such as another listener. The error is net.ErrClosed where ctx has ended first.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.acquire() {
		return nil, net.ErrClosed
	}
	l.limiter.Release()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := Track(c, l.limiter)
	if !l.acquire() { // the listener is closed, and this connection is served beyond the limit
		conn.limiter = unlimited{}
	}
	l.backlog.Unblock()
	conn.availability = l.availability
	conn.AcceptedAt = time.Now()
	conn.Queued = l.backlog.QueuedDuring()
	return conn, nil
}

// unlimited is a ConnectionLimiter without a limit.
type unlimited struct{}

// TryAcquire implements ConnectionLimiter.
func (unlimited) TryAcquire() bool { return true }

// Release implements ConnectionLimiter.
func (unlimited) Release() {}

// acquire acquires a descriptor as soon as there is one; false where ctx has ended first.
func (l *Listener) acquire() bool {
	for {
		available := l.availability.Next() // before the attempt, so that no release is missed
		if l.limiter.TryAcquire() {
			return true
		}
		l.backlog.Block()
		select {
		case <-l.ctx.Done():
			return false
		case <-available:
		case <-time.After(acquireRetryInterval):
		}
	}
}
