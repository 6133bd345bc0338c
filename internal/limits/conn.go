package limits

import (
	"context"
	"net"
	"sync"
	"time"

	"lockflow/internal/accept"
)

// acquireRetryInterval is the maximum time between two attempts to acquire a descriptor for a client. A release triggers
// an attempt at once. Retries are needed besides because a connection can become evictable with time alone.
const acquireRetryInterval = 20 * time.Millisecond

// Conn is a connection that releases its descriptor when it is closed.
type Conn struct {
	net.Conn
	// AcceptedAt is the time at which a Listener accepted the connection.
	AcceptedAt time.Time
	// Queued is the period before AcceptedAt during which the connection may have waited to be accepted.
	Queued accept.Period

	limiter      ConnectionLimiter
	availability *Signal // of the limiter's descriptors; nil if no listener waits for one
	releaseOnce  sync.Once

	mu       sync.Mutex
	isServed bool // between BeginServing and EndServing
	isClosed bool
}

// Track wraps a connection for which a descriptor has been acquired. Closing the result releases the descriptor.
func Track(c net.Conn, limiter ConnectionLimiter) *Conn { return &Conn{Conn: c, limiter: limiter} }

// Close closes the connection and then releases its descriptor, once.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.releaseOnce.Do(func() {
		c.limiter.Release()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.isClosed = true
		c.releaseServed()
	})
	return err
}

// BeginServing records that a goroutine serves the connection, whose memory is in use until EndServing is called.
func (c *Conn) BeginServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isServed = true
}

// EndServing records that the goroutine that served the connection has ended. It is called once after BeginServing. The
// connection may still be open, if another user has taken it over.
func (c *Conn) EndServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isServed = false
	c.releaseServed()
}

// releaseServed releases the connection's memory if it is closed and not served. The caller holds mu.
func (c *Conn) releaseServed() {
	if !c.isClosed || c.isServed {
		return
	}
	if served, ok := c.limiter.(servedLimiter); ok {
		served.ReleaseServed()
	}
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// NotifyEvictable notifies the listeners that wait for a descriptor that this connection may be evicted.
func (c *Conn) NotifyEvictable() {
	if c.availability != nil {
		c.availability.Notify()
	}
}

// Listener accepts connections only while a descriptor can be acquired for them. An accepted connection may still have to
// wait for its descriptor if another user acquires the last one at the same moment.
type Listener struct {
	net.Listener
	ctx     context.Context // ends the waits of Accept, which has no context parameter
	limiter ConnectionLimiter
	backlog *accept.Backlog

	availability *Signal // the limiter's signal, or one that is never notified
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

// Accept waits until a descriptor is available, then for a connection, and acquires a descriptor for it. While it waits for
// a connection it holds no descriptor, so that another listener, for example, can use it. It returns net.ErrClosed if the
// context ends before a descriptor is available.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.acquire() {
		return nil, net.ErrClosed
	}
	l.release()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := Track(c, l.limiter)
	if !l.acquire() { // the context has ended: this connection is served beyond the limit
		conn.limiter = unlimited{}
	}
	l.backlog.Unblock()
	conn.availability = l.availability
	conn.AcceptedAt = time.Now()
	conn.Queued = l.backlog.QueuedDuring()
	return conn, nil
}

// release releases a descriptor that was acquired for no connection.
func (l *Listener) release() {
	l.limiter.Release()
	if served, ok := l.limiter.(servedLimiter); ok {
		served.ReleaseServed()
	}
}

// unlimited is a ConnectionLimiter without a limit.
type unlimited struct{}

// TryAcquire implements ConnectionLimiter.
func (unlimited) TryAcquire() bool { return true }

// Release implements ConnectionLimiter.
func (unlimited) Release() {}

// acquire waits for a descriptor and acquires it. It returns false if the context ends first.
func (l *Listener) acquire() bool {
	for {
		available := l.availability.Next() // obtained before the attempt, so that no release is missed
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
