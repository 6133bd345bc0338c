package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/testkit"
)

// readThen is a connection that calls after once it has read bytes and before its reader has them.
type readThen struct {
	net.Conn
	after func()
}

func (c *readThen) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.after != nil {
		c.after()
	}
	return n, err
}

const wholeRequest = "GET /read?account=0000000000000001 HTTP/1.1\r\n" + headers + "\r\n"

// A connection that the node closes as a request comes on it, in the moment in which net/http has
// read that request and has not told so, ends with nothing begun: the client may send it again.
func TestClosedAsARequestComes(t *testing.T) {
	for name, close := range map[string]func(*Front){
		"leaves": (*Front).Leave,
		"evicts": func(f *Front) { f.Evict() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				heard := 0
				m, f, _, stop := serving(t, func(r control.Request) []control.Action { heard++; return refuses(r) }, nil, nil)
				defer stop()
				client, server := net.Pipe()
				conn := &readThen{Conn: server}
				m.conns <- conn
				defer client.Close()
				in := bufio.NewReader(client)
				io.WriteString(client, wholeRequest)
				if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable || heard != 1 {
					t.Fatalf("%v, %v; heard of %d", resp, err, heard)
				}
				synctest.Wait()
				conn.after = func() { close(f) }
				io.WriteString(client, wholeRequest)
				if resp, err := http.ReadResponse(in, nil); err == nil {
					t.Errorf("answered %v", resp)
				}
				if synctest.Wait(); heard != 1 {
					t.Error("a request was begun whose client has no connection any more")
				}
			})
		})
	}
}

// A request that is open keeps its connection, also where it came on one that had not said
// anything when the node began to leave; then all are gone.
func TestLeaveKeepsWhatIsOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f *Front
		m, f, _, stop := serving(t, func(r control.Request) []control.Action {
			f.Leave()
			if f.Evict() {
				t.Error("evicted a connection with an open request")
			}
			return refuses(r)
		}, nil, nil)
		defer stop()
		first, silent := m.dial(), m.dial()
		f.Drain()
		f.Leave()
		for _, c := range []net.Conn{first, silent} {
			ctx, cancel := context.WithCancel(t.Context())
			if cancel(); f.Gone(ctx) {
				t.Error("gone, with clients connected")
			}
			io.WriteString(c, wholeRequest)
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || !resp.Close {
				t.Errorf("%v, %v", resp, err)
			}
		}
		if !f.Gone(t.Context()) {
			t.Error("not gone")
		}
	})
}

// restsUnread is a connection whose next request is not read until it is let, once it rests.
type restsUnread struct {
	net.Conn
	rests atomic.Bool
	let   chan struct{}
}

func (c *restsUnread) NetConn() net.Conn { return c.Conn }

func (c *restsUnread) SetReadDeadline(t time.Time) error {
	c.rests.Store(time.Until(t) > clientIdle/2)
	return c.Conn.SetReadDeadline(t)
}

func (c *restsUnread) Read(p []byte) (int, error) {
	if c.rests.Load() {
		<-c.let
	}
	return c.Conn.Read(p)
}

// A request that is there, and that nobody has read yet, as the node begins to leave is answered.
func TestLeaveAnswersWhatIsUnread(t *testing.T) {
	m, f, _, stop := serving(t, refuses, nil, nil)
	defer stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(testkit.Patience))
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &restsUnread{Conn: server, let: make(chan struct{})}
	m.conns <- c
	in := bufio.NewReader(client)
	for i := range 2 {
		io.WriteString(client, wholeRequest)
		if i == 1 {
			testkit.Until(t, "the request", func() bool { return c.rests.Load() && unread(socket(server)) })
			f.Drain()
			f.Leave()
			close(c.let)
		}
		if resp, err := http.ReadResponse(in, nil); err != nil || resp.Close != (i == 1) {
			t.Fatalf("request %d: %v, %v", i, resp, err)
		}
	}
}
