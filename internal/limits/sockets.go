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
	socketsApart = 24 // listener, discovery, log, poller and what the runtime opens
	roomAgain    = 20 * time.Millisecond

	// SocketsAhead is what is left to connections to app servers when clients fill the rest.
	SocketsAhead = 64

	// Least is the lowest limit on descriptors that leaves a client and an app server a place.
	Least = socketsApart + 2
)

// Opener books the descriptors of one owner: a service, or the clients.
type Opener interface {
	// Take books a place for one more connection; false where there is none.
	Take() bool
	// Give gives a place back.
	Give()
}

// Sockets holds the connections of all sides together under the limit on
// descriptors. Where it is reached, idle connections are closed for new ones. It serves a
// process of one service; several share by a Ledger.
type Sockets struct {
	open  atomic.Int64
	most  atomic.Int64
	ahead int64 // SocketsAhead, or half of what a low limit leaves

	// Each closes one connection that nothing waits on, if there is one. That of the app
	// servers keeps some.
	evictClient func() bool
	evictServer func(keep int) bool
}

// NewSockets makes the books for a limit on the process's descriptors.
func NewSockets(limit int) *Sockets {
	most := Connections(limit)
	s := &Sockets{ahead: int64(min(SocketsAhead, most/2)), evictClient: func() bool { return false }, evictServer: func(int) bool { return false }}
	s.most.Store(int64(most))
	return s
}

// Connections is how many connections a limit on descriptors leaves room for; 0 is a limit that nobody
// told.
func Connections(limit int) int {
	if limit == 0 {
		return 2 * SocketsAhead
	}
	return max(limit, Least) - socketsApart
}

// SetMost sets how many connections may be open; what is open beyond it stays.
func (s *Sockets) SetMost(n int) { s.most.Store(int64(n)) }

// Open is how many connections are booked.
func (s *Sockets) Open() int { return int(s.open.Load()) }

// OnEvict sets how a place is made: each closes one idle connection, that of the clients or
// of the app servers, if there is one (of the latter some are kept). Not for use once
// connections are taken.
func (s *Sockets) OnEvict(client func() bool, server func(keep int) bool) {
	if client != nil {
		s.evictClient = client
	}
	if server != nil {
		s.evictServer = server
	}
}

func (s *Sockets) take(leave int64) bool {
	for s.open.Add(1) > s.most.Load()-leave {
		s.open.Add(-1)
		// Guards against silent clients that cost app servers handshakes: a client's place is
		// given up first, and for a client the idle connections to app servers stay.
		if !s.evictClient() && !s.evictServer(int(leave)) {
			return false
		}
	}
	return true
}

// Take books a place for a connection to an app server.
func (s *Sockets) Take() bool { return s.take(0) }

// Give gives a place back.
func (s *Sockets) Give() { s.open.Add(-1) }

// Clients books the places of clients, who leave some to the connections to app servers.
func (s *Sockets) Clients() Opener { return clientSockets{s} }

type clientSockets struct{ *Sockets }

func (s clientSockets) Take() bool { return s.take(s.ahead) }

// wait books a place as soon as there is one.
func wait(ctx context.Context, o Opener) error {
	for !o.Take() {
		select {
		case <-ctx.Done():
			return net.ErrClosed
		case <-time.After(roomAgain):
		}
	}
	return nil
}

// Conn is a connection that gives its place back when it is closed.
type Conn struct {
	net.Conn
	opener Opener
	once   sync.Once
}

// Own has a connection, for which a place is booked, give that place back at its end.
func Own(c net.Conn, o Opener) *Conn { return &Conn{Conn: c, opener: o} }

// Close closes the connection; only the first call gives the place back.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.opener.Give)
	return err
}

// Listener takes connections only while there is room for them.
type Listener struct {
	net.Listener
	ctx    context.Context
	opener Opener
}

// Listen wraps a listener; ctx ends the waiting for room.
func Listen(ctx context.Context, l net.Listener, o Opener) *Listener {
	return &Listener{Listener: l, ctx: ctx, opener: o}
}

// Accept waits for room, then for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	if err := wait(l.ctx, l.opener); err != nil {
		return nil, err
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.opener.Give()
		return nil, err
	}
	return Own(c, l.opener), nil
}

// NetConn is the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }
