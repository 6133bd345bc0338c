package front

import (
	"bufio"
	"context"
	"fmt"
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

// connWithReadHook is a connection that calls after once it has read bytes and before its reader has them.
type connWithReadHook struct {
	net.Conn
	afterRead func()
}

func (c *connWithReadHook) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.afterRead != nil {
		c.afterRead()
	}
	return n, err
}

const completeRequest = "GET /read?account=0000000000000001 HTTP/1.1\r\n" + requestHeaders + "\r\n"

// A connection that the node closes as a request comes on it, in the moment in which net/http has
// read that request and has not told so, ends with nothing begun: the client may send it again.
func TestServeHTTPBeginsNothingOnClosedConnection(t *testing.T) {
	for name, close := range map[string]func(*Front){
		"leaves": (*Front).CloseWhenIdle,
		"evicts": func(f *Front) { f.Evict() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				heard := 0
				m, f, _, stop := startFront(t, func(r control.Request) []control.Action { heard++; return rejectRequest(r) }, nil, nil)
				defer stop()
				client, server := net.Pipe()
				conn := &connWithReadHook{Conn: server}
				m.conns <- conn
				defer client.Close()
				in := bufio.NewReader(client)
				io.WriteString(client, completeRequest)
				if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable || heard != 1 {
					t.Fatalf("%v, %v; heard of %d", resp, err, heard)
				}
				synctest.Wait()
				conn.afterRead = func() { close(f) }
				io.WriteString(client, completeRequest)
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
func TestCloseWhenIdleKeepsConnectionsWithOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f *Front
		m, f, _, stop := startFront(t, func(r control.Request) []control.Action {
			f.CloseWhenIdle()
			if f.Evict() {
				t.Error("evicted a connection with an open request")
			}
			return rejectRequest(r)
		}, nil, nil)
		defer stop()
		first, silent := m.dial(), m.dial()
		f.Drain()
		f.CloseWhenIdle()
		for _, c := range []net.Conn{first, silent} {
			ctx, cancel := context.WithCancel(t.Context())
			if cancel(); f.WaitDisconnected(ctx) {
				t.Error("gone, with clients connected")
			}
			io.WriteString(c, completeRequest)
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || !resp.Close {
				t.Errorf("%v, %v", resp, err)
			}
		}
		if !f.WaitDisconnected(t.Context()) {
			t.Error("not gone")
		}
	})
}

// gatedListener is a listener whose connections are read only once it is open.
type gatedListener struct {
	net.Listener
	open chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return gatedConn{c, l.open}, err
}

type gatedConn struct {
	net.Conn
	open chan struct{}
}

func (c gatedConn) Read(p []byte) (int, error) { <-c.open; return c.Conn.Read(p) }
func (c gatedConn) NetConn() net.Conn          { return c.Conn }

// A place is made by closing no connection, new or kept, on which a request is there that nobody has read
// yet: it has its answer. One that says nothing goes, and so does one whose client has gone.
func TestEvictSparesConnectionsWithUnreadRequests(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		for _, does := range []string{"asks", "is silent", "asks and goes"} {
			t.Run(fmt.Sprint(does, ", new ", fresh), func(t *testing.T) {
				_, f, _, stop := startFront(t, rejectRequest, nil, nil)
				defer stop()
				under, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				l := gatedListener{under, make(chan struct{})}
				srv := f.Server()
				go srv.Serve(l)
				defer srv.Close()
				client, err := net.Dial("tcp", under.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer client.Close()
				if does != "is silent" {
					io.WriteString(client, completeRequest)
				}
				if does == "asks and goes" {
					client.(*net.TCPConn).CloseWrite()
				}
				testkit.Until(t, "its connection and its bytes", func() bool {
					f.clients.mu.Lock()
					defer f.clients.mu.Unlock()
					for _, c := range f.clients.connections {
						more, gone := c.pollSocket()
						c.isNew, c.idleSince = fresh, time.Now().Add(-time.Second)
						return more == (does != "is silent") && gone == (does == "asks and goes")
					}
					return false
				})
				if asks := does == "asks"; f.Evict() == asks {
					t.Error("evicted one that asks, or none")
				}
				close(l.open)
				client.SetDeadline(time.Now().Add(testkit.Patience))
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				if does == "asks" && (err != nil || resp.StatusCode != http.StatusServiceUnavailable) || does != "asks" && err == nil {
					t.Errorf("%v, %v", resp, err)
				}
			})
		}
	}
}

// A client that does not take its answer, or not all of it, keeps nothing of the service, and its connection
// for a bounded time.
func TestClientThatReadsNoAnswerIsDisconnected(t *testing.T) {
	for _, takes := range []int{0, 5} {
		t.Run(fmt.Sprint(takes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, f, s, stop := startFront(t, rejectRequest, nil, nil)
				defer stop()
				c := m.dial()
				defer c.Close()
				io.WriteString(c, completeRequest)
				io.ReadFull(c, make([]byte, takes))
				synctest.Wait()
				if held := s.Status().Requests; held != 0 {
					t.Errorf("the service holds %d", held)
				}
				ctx, cancel := context.WithTimeout(t.Context(), answerWriteTimeout+time.Second)
				defer cancel()
				if !f.WaitDisconnected(ctx) {
					t.Error("its connection stays")
				}
			})
		})
	}
}

// idleGatedConn is a connection whose next request is not read until it is let, once it rests.
type idleGatedConn struct {
	net.Conn
	isIdle atomic.Bool
	resume chan struct{}
}

func (c *idleGatedConn) NetConn() net.Conn { return c.Conn }

func (c *idleGatedConn) SetReadDeadline(t time.Time) error {
	c.isIdle.Store(time.Until(t) > clientIdleTimeout/2)
	return c.Conn.SetReadDeadline(t)
}

func (c *idleGatedConn) Read(p []byte) (int, error) {
	if c.isIdle.Load() {
		<-c.resume
	}
	return c.Conn.Read(p)
}

// A request that is there, and that nobody has read yet, as the node begins to leave is answered.
func TestCloseWhenIdleAnswersUnreadRequest(t *testing.T) {
	m, f, _, stop := startFront(t, rejectRequest, nil, nil)
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
	c := &idleGatedConn{Conn: server, resume: make(chan struct{})}
	m.conns <- c
	in := bufio.NewReader(client)
	for i := range 2 {
		io.WriteString(client, completeRequest)
		if i == 1 {
			testkit.Until(t, "the request", func() bool { return c.isIdle.Load() && hasUnread(tcpConnOf(server)) })
			f.Drain()
			f.CloseWhenIdle()
			close(c.resume)
		}
		if resp, err := http.ReadResponse(in, nil); err != nil || resp.Close != (i == 1) {
			t.Fatalf("request %d: %v, %v", i, resp, err)
		}
	}
}
