// Package limits holds what a process may have of descriptors, requests, bytes and dials
// to its bounds, and to each service's part of them. What a part may take is decided in
// package parts; this one keeps the books of what is open and closes what is idle.
package limits

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	processDescriptors   = 24 // listener, discovery, log, poller and what the runtime opens
	acquireRetryInterval = 20 * time.Millisecond

	// ReservedForServers is what is left to connections to app servers when clients fill the rest.
	ReservedForServers = 64

	// MinDescriptors is the lowest limit on descriptors that leaves a client and an app server a place.
	MinDescriptors = processDescriptors + 2
)

// ConnectionLimiter books the descriptors of one owner: a service, or the clients.
type ConnectionLimiter interface {
	// TryAcquire books a place for one more connection; false where there is none.
	TryAcquire() bool
	// Release gives a place back.
	Release()
}

// SocketLimiter holds the connections of all sides together under the limit on
// descriptors. Where it is reached, idle connections are closed for new ones. It serves a
// process of one service; several share by a Ledger.
type SocketLimiter struct {
	inUse              atomic.Int64
	limit              atomic.Int64
	reservedForServers int64 // SocketsAhead, or half of what a low limit leaves

	// Each closes one connection that nothing waits on, if there is one. That of the app
	// servers keeps some.
	evictClient func() bool
	evictServer func(keep int) bool
}

// NewSocketLimiter makes the books for a limit on the process's descriptors.
func NewSocketLimiter(descriptors int) *SocketLimiter {
	limit := MaxConnections(descriptors)
	s := &SocketLimiter{reservedForServers: int64(min(ReservedForServers, limit/2)), evictClient: func() bool { return false }, evictServer: func(int) bool { return false }}
	s.limit.Store(int64(limit))
	return s
}

// MaxConnections is how many connections a limit on descriptors leaves room for; 0 is a limit that nobody
// told.
func MaxConnections(descriptors int) int {
	if descriptors == 0 {
		return 2 * ReservedForServers
	}
	return max(descriptors, MinDescriptors) - processDescriptors
}

// SetLimit sets how many connections may be open; what is open beyond it stays.
func (s *SocketLimiter) SetLimit(n int) { s.limit.Store(int64(n)) }

// InUse is how many connections are booked.
func (s *SocketLimiter) InUse() int { return int(s.inUse.Load()) }

// OnEvict sets how a place is made: each closes one idle connection, that of the clients or
// of the app servers, if there is one (of the latter some are kept). Not for use once
// connections are taken.
func (s *SocketLimiter) OnEvict(client func() bool, server func(keep int) bool) {
	if client != nil {
		s.evictClient = client
	}
	if server != nil {
		s.evictServer = server
	}
}

func (s *SocketLimiter) acquire(reserved int64) bool {
	for s.inUse.Add(1) > s.limit.Load()-reserved {
		s.inUse.Add(-1)
		// Guards against silent clients that cost app servers handshakes: a client's place is
		// given up first, and for a client the idle connections to app servers stay.
		if !s.evictClient() && !s.evictServer(int(reserved)) {
			return false
		}
	}
	return true
}

// TryAcquire books a place for a connection to an app server.
func (s *SocketLimiter) TryAcquire() bool { return s.acquire(0) }

// Release gives a place back.
func (s *SocketLimiter) Release() { s.inUse.Add(-1) }

// ForClients books the places of clients, who leave some to the connections to app servers.
func (s *SocketLimiter) ForClients() ConnectionLimiter { return clientLimiter{s} }

type clientLimiter struct{ *SocketLimiter }

func (s clientLimiter) TryAcquire() bool { return s.acquire(s.reservedForServers) }

// acquire books a place as soon as there is one.
func acquire(ctx context.Context, o ConnectionLimiter) error {
	for !o.TryAcquire() {
		select {
		case <-ctx.Done():
			return net.ErrClosed
		case <-time.After(acquireRetryInterval):
		}
	}
	return nil
}

// Conn is a connection that gives its place back when it is closed.
type Conn struct {
	net.Conn
	limiter ConnectionLimiter
	once    sync.Once
}

// Track has a connection, for which a place is booked, give that place back at its end.
func Track(c net.Conn, o ConnectionLimiter) *Conn { return &Conn{Conn: c, limiter: o} }

// Close closes the connection; only the first call gives the place back.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.limiter.Release)
	return err
}

// Listener takes connections only while there is room for them.
type Listener struct {
	net.Listener
	ctx     context.Context
	limiter ConnectionLimiter
}

// Listen wraps a listener; ctx ends the waiting for room.
func Listen(ctx context.Context, l net.Listener, o ConnectionLimiter) *Listener {
	return &Listener{Listener: l, ctx: ctx, limiter: o}
}

// Accept waits for room, then for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	if err := acquire(l.ctx, l.limiter); err != nil {
		return nil, err
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.limiter.Release()
		return nil, err
	}
	return Track(c, l.limiter), nil
}

// NetConn is the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }
