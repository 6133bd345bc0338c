package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lockflow/internal/upstream"
)

// clientRegistry are the connections of the clients. Its zero value holds none; it is safe for
// concurrent use.
//
// A connection is closed by the node only where no request on it has been begun, and a request on
// one that was closed is not begun: net/http reads a request before it tells that the connection is
// no longer idle, so that a close may come between, and what is then sent on has nobody to answer.
type clientRegistry struct {
	mu          sync.Mutex
	connections map[net.Conn]*clientConn
	isDraining  bool
	empty       chan struct{} // closed when there are none; nil where nobody waits
}

// clientConn is one of them.
type clientConn struct {
	conn      net.Conn        // below net/http's, where that lingers
	rawConn   syscall.RawConn // its socket; nil is none
	idleSince time.Time       // it has been quiet; zero is while a request is open
	isNew     bool            // it has not sent a whole head yet
	// isShut says that the node has closed it. It is set before the next request is begun, or not.
	isShut atomic.Bool
}

// isClosed tells whether the node has closed the connection.
func (c *clientConn) isClosed() bool { return c != nil && c.isShut.Load() }

// There tells whether the client has not ended its side of the connection. It is the socket's word, as
// net/http, which takes that for the client's leaving too, reads no more than one byte beyond a request
// and sees nothing of what is behind further ones. A socket that can't be asked is taken to be there.
func (c *clientConn) There() bool {
	_, gone := c.pollSocket()
	return !gone
}

// pollSocket tells whether there is something to read on the socket, and whether the client has ended its side.
func (c *clientConn) pollSocket() (readable, ended bool) {
	if c.rawConn == nil {
		return false, false
	}
	_ = c.rawConn.Control(func(fd uintptr) {
		pollFDs := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		if n, err := unix.Poll(pollFDs[:], 0); err == nil && n > 0 {
			readable = pollFDs[0].Revents&unix.POLLIN != 0
			ended = pollFDs[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	})
	return readable, ended
}

// maxUnreadBytes is how much a client that sends one request at a time may have sent behind it: less than any
// usual socket holds unread.
const maxUnreadBytes = 32 << 10

// sequentialClient is a client whose request has come whole, and who by its protocol sends no other before the
// answer. Guards against one that sends more than the socket holds and goes: the word of that waits
// behind what nobody reads.
type sequentialClient struct{ *clientConn }

// There is the client's, and that it keeps to its protocol as far as an end could be seen.
func (c sequentialClient) There() bool {
	readable, ended := c.pollSocket()
	unreadBytes := 0
	if readable {
		_ = c.rawConn.Control(func(fd uintptr) { unreadBytes, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	return !ended && unreadBytes < maxUnreadBytes
}

type clientKey struct{}

// register is http.Server's ConnContext: it has requests find their connection.
func (s *clientRegistry) register(ctx context.Context, conn net.Conn) context.Context {
	client := &clientConn{conn: conn, idleSince: time.Now(), isNew: true}
	if l, ok := conn.(*lingeringConn); ok {
		client.conn = l.Conn
	}
	if tcp := tcpConnOf(conn); tcp != nil {
		client.rawConn, _ = tcp.SyscallConn()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections == nil {
		s.connections = make(map[net.Conn]*clientConn)
	}
	s.connections[conn] = client
	return context.WithValue(ctx, clientKey{}, client)
}

// clientOf is a request's connection; nil where it came over none.
func clientOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(clientKey{}).(*clientConn)
	return c
}

// waitingClient is who waits for a request's answer; nil where it came over no connection.
func waitingClient(r *http.Request) upstream.Client {
	if c := clientOf(r); c != nil {
		return c
	}
	return nil
}

// trackState is http.Server's ConnState. The call that a request is open comes before its handler's.
func (s *clientRegistry) trackState(conn net.Conn, newState http.ConnState) {
	if l, ok := conn.(*lingeringConn); ok && newState != http.StateClosed {
		l.isBusy.Store(newState == http.StateActive)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	client := s.connections[conn]
	if client == nil {
		return
	}
	switch newState {
	case http.StateActive:
		client.idleSince, client.isNew = time.Time{}, false
	case http.StateIdle:
		if client.idleSince = time.Now(); s.isDraining && !client.hasUnreadInput() && !client.hasUnacknowledgedOutput() {
			client.close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, conn)
		if len(s.connections) == 0 && s.empty != nil {
			close(s.empty)
			s.empty = nil
		}
	}
}

// hasUnreadInput tells whether a further request, or its client's end, has come on a quiet connection and is about
// to be read. It is answered: a close would reset the connection, with what its client has not taken yet of
// the answer before.
func (c *clientConn) hasUnreadInput() bool {
	tcp := tcpConnOf(c.conn)
	return tcp != nil && hasUnread(tcp)
}

// hasUnacknowledgedOutput tells whether some of the last answer is still on its way to the client. A request that comes
// behind a close would reset the connection, and that part with it.
func (c *clientConn) hasUnacknowledgedOutput() bool {
	tcp := tcpConnOf(c.conn)
	return tcp != nil && hasUnacknowledged(tcp)
}

// close closes a quiet connection; clients.mu is held.
func (c *clientConn) close() {
	if !c.isShut.Swap(true) {
		c.conn.Close()
	}
}

// closeOldestIdle closes the oldest of those that have said nothing for too long, else of those that are idle; none
// on which something has come that is still to be read.
func (s *clientRegistry) closeOldestIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *clientConn
	for _, c := range s.connections {
		if c.idleSince.IsZero() || c.isClosed() || c.isNew && time.Since(c.idleSince) < newConnGracePeriod {
			continue
		}
		if oldest == nil || c.isNew && !oldest.isNew || c.isNew == oldest.isNew && c.idleSince.Before(oldest.idleSince) {
			// Guards against requests that are there and lost: nobody has read them yet.
			if readable, ended := c.pollSocket(); !readable || ended {
				oldest = c
			}
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close()
	return true
}

// closeWhenIdle closes those that are idle, and each that becomes so, unless a request is there already or an answer
// is still on its way: those are closed by their next answer, or by a later call.
func (s *clientRegistry) closeWhenIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining = true
	for _, c := range s.connections {
		if !c.idleSince.IsZero() && !c.isNew && !c.hasUnreadInput() && !c.hasUnacknowledgedOutput() {
			c.close()
		}
	}
}

// waitEmpty waits until there are none.
func (s *clientRegistry) waitEmpty(ctx context.Context) bool {
	s.mu.Lock()
	if len(s.connections) == 0 {
		s.mu.Unlock()
		return true
	}
	if s.empty == nil {
		s.empty = make(chan struct{})
	}
	empty := s.empty
	s.mu.Unlock()
	select {
	case <-empty:
		return true
	case <-ctx.Done():
		return false
	}
}
