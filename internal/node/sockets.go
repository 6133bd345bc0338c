package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	socketsApart = 24 // listener, discovery, log, poller and what the runtime opens
	socketsAhead = 64 // left to upstream connections when clients fill the rest
	roomAgain    = 20 * time.Millisecond
)

// sockets holds the connections of all sides together under the limit on
// descriptors. Where it is reached, idle connections are closed for new ones.
type sockets struct {
	open atomic.Int64
	most atomic.Int64

	// Each closes one connection that nothing waits on, if there is one. That of the app
	// servers keeps some.
	evictClient func() bool
	evictServer func(keep int) bool
}

func newSockets(limit int) *sockets {
	s := &sockets{evictClient: func() bool { return false }, evictServer: func(int) bool { return false }}
	s.most.Store(int64(max(limit-socketsApart, 2*socketsAhead)))
	return s
}

// take books a place for one more connection and leaves some free.
func (s *sockets) take(leave int64) bool {
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

// wait books a place as soon as there is one.
func (s *sockets) wait(ctx context.Context, leave int64) error {
	for !s.take(leave) {
		select {
		case <-ctx.Done():
			return net.ErrClosed
		case <-time.After(roomAgain):
		}
	}
	return nil
}

// counted is a connection that gives its place back when it is closed.
type counted struct {
	net.Conn
	sockets *sockets
	once    sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() { c.sockets.open.Add(-1) })
	return c.Conn.Close()
}

// countedListener takes connections only while there is room for them.
type countedListener struct {
	net.Listener
	ctx     context.Context // ends the waiting for room
	sockets *sockets
}

func (l *countedListener) Accept() (net.Conn, error) {
	if err := l.sockets.wait(l.ctx, socketsAhead); err != nil {
		return nil, err
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.sockets.open.Add(-1)
		return nil, err
	}
	return &counted{Conn: c, sockets: l.sockets}, nil
}
