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

// clients are the connections of the clients. Its zero value holds none; it is safe for
// concurrent use.
//
// A connection is closed by the node only where no request on it has been begun, and a request on
// one that was closed is not begun: net/http reads a request before it tells that the connection is
// no longer idle, so that a close may come between, and what is then sent on has nobody to answer.
type clients struct {
	mu      sync.Mutex
	all     map[net.Conn]*client
	leaving bool
	none    chan struct{} // closed when there are none; nil where nobody waits
}

// client is one of them.
type client struct {
	conn  net.Conn        // below net/http's, where that lingers
	raw   syscall.RawConn // its socket; nil is none
	since time.Time       // it has been quiet; zero is while a request is open
	fresh bool            // it has not sent a whole head yet
	// shut says that the node has closed it. It is set before the next request is begun, or not.
	shut atomic.Bool
}

// closed tells whether the node has closed the connection.
func (c *client) closed() bool { return c != nil && c.shut.Load() }

// There tells whether the client has not ended its side of the connection. It is the socket's word, as
// net/http, which takes that for the client's leaving too, reads no more than one byte beyond a request
// and sees nothing of what is behind further ones. A socket that can't be asked is taken to be there.
func (c *client) There() bool {
	_, gone := c.look()
	return !gone
}

// look tells whether there is something to read on the socket, and whether the client has ended its side.
func (c *client) look() (more, gone bool) {
	if c.raw == nil {
		return false, false
	}
	_ = c.raw.Control(func(fd uintptr) {
		look := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		if n, err := unix.Poll(look[:], 0); err == nil && n > 0 {
			more = look[0].Revents&unix.POLLIN != 0
			gone = look[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	})
	return more, gone
}

// behindMost is how much a client that sends one request at a time may have sent behind it: less than any
// usual socket holds unread.
const behindMost = 32 << 10

// alone is a client whose request has come whole, and who by its protocol sends no other before the
// answer. Guards against one that sends more than the socket holds and goes: the word of that waits
// behind what nobody reads.
type alone struct{ *client }

// There is the client's, and that it keeps to its protocol as far as an end could be seen.
func (c alone) There() bool {
	more, gone := c.look()
	behind := 0
	if more {
		_ = c.raw.Control(func(fd uintptr) { behind, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	return !gone && behind < behindMost
}

type clientKey struct{}

// begin is http.Server's ConnContext: it has requests find their connection.
func (s *clients) begin(ctx context.Context, conn net.Conn) context.Context {
	c := &client{conn: conn, since: time.Now(), fresh: true}
	if l, ok := conn.(*lingering); ok {
		c.conn = l.Conn
	}
	if tcp := socket(conn); tcp != nil {
		c.raw, _ = tcp.SyscallConn()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = make(map[net.Conn]*client)
	}
	s.all[conn] = c
	return context.WithValue(ctx, clientKey{}, c)
}

// clientOf is a request's connection; nil where it came over none.
func clientOf(r *http.Request) *client {
	c, _ := r.Context().Value(clientKey{}).(*client)
	return c
}

// waiter is who waits for a request's answer; nil where it came over no connection.
func waiter(r *http.Request) upstream.Client {
	if c := clientOf(r); c != nil {
		return c
	}
	return nil
}

// state is http.Server's ConnState. The call that a request is open comes before its handler's.
func (s *clients) state(conn net.Conn, to http.ConnState) {
	if l, ok := conn.(*lingering); ok && to != http.StateClosed {
		l.busy.Store(to == http.StateActive)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.all[conn]
	if c == nil {
		return
	}
	switch to {
	case http.StateActive:
		c.since, c.fresh = time.Time{}, false
	case http.StateIdle:
		if c.since = time.Now(); s.leaving && !c.asked() && !c.awaitsAnswer() {
			c.close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.all, conn)
		if len(s.all) == 0 && s.none != nil {
			close(s.none)
			s.none = nil
		}
	}
}

// asked tells whether a further request, or its client's end, has come on a quiet connection and is about
// to be read. It is answered: a close would reset the connection, with what its client has not taken yet of
// the answer before.
func (c *client) asked() bool {
	tcp := socket(c.conn)
	return tcp != nil && unread(tcp)
}

// awaitsAnswer tells whether some of the last answer is still on its way to the client. A request that comes
// behind a close would reset the connection, and that part with it.
func (c *client) awaitsAnswer() bool {
	tcp := socket(c.conn)
	return tcp != nil && unacknowledged(tcp)
}

// close closes a quiet connection; clients.mu is held.
func (c *client) close() {
	if !c.shut.Swap(true) {
		c.conn.Close()
	}
}

// evict closes the oldest of those that have said nothing for too long, else of those that are idle; none
// on which something has come that is still to be read.
func (s *clients) evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first *client
	for _, c := range s.all {
		if c.since.IsZero() || c.closed() || c.fresh && time.Since(c.since) < silentMost {
			continue
		}
		if first == nil || c.fresh && !first.fresh || c.fresh == first.fresh && c.since.Before(first.since) {
			// Guards against requests that are there and lost: nobody has read them yet.
			if more, gone := c.look(); !more || gone {
				first = c
			}
		}
	}
	if first == nil {
		return false
	}
	first.close()
	return true
}

// leave closes those that are idle, and each that becomes so, unless a request is there already or an answer
// is still on its way: those are closed by their next answer, or by a later call.
func (s *clients) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for _, c := range s.all {
		if !c.since.IsZero() && !c.fresh && !c.asked() && !c.awaitsAnswer() {
			c.close()
		}
	}
}

// gone waits until there are none.
func (s *clients) gone(ctx context.Context) bool {
	s.mu.Lock()
	if len(s.all) == 0 {
		s.mu.Unlock()
		return true
	}
	if s.none == nil {
		s.none = make(chan struct{})
	}
	none := s.none
	s.mu.Unlock()
	select {
	case <-none:
		return true
	case <-ctx.Done():
		return false
	}
}
