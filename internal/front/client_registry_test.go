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
	"lockflow/internal/testsupport/testkit"
)

// connWithReadHook is a connection that calls afterRead after it has read bytes and before Read returns them.
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

// If the node closes a connection after net/http has read a request and before net/http reports the connection
// as active, the request is not started, so the client can safely retry it.
func TestServeHTTPStartsNoRequestOnClosedConnection(t *testing.T) {
	for name, close := range map[string]func(*Front){
		"close when idle": (*Front).CloseWhenIdle,
		"evicts":          func(f *Front) { f.Evict() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				received := 0
				listener, f, _, stop := startFront(t, func(r control.Request) []control.Action { received++; return rejectRequest(r) }, nil, nil)
				defer stop()
				client, server := net.Pipe()
				conn := &connWithReadHook{Conn: server}
				listener.conns <- conn
				defer client.Close()
				in := bufio.NewReader(client)
				io.WriteString(client, completeRequest)
				if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable || received != 1 {
					t.Fatalf("first request: answer %v, error %v, %d requests at the module; want status 503 and 1", resp, err, received)
				}
				synctest.Wait()
				conn.afterRead = func() { close(f) }
				io.WriteString(client, completeRequest)
				if resp, err := http.ReadResponse(in, nil); err == nil {
					t.Errorf("a request on a closed connection was answered: %v", resp)
				}
				if synctest.Wait(); received != 1 {
					t.Error("a request on a closed connection was started")
				}
			})
		})
	}
}

// A connection with an open request is not closed until the request is answered, even if the client had sent
// nothing when the node began to shut down.
func TestCloseWhenIdleKeepsConnectionsWithOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f *Front
		listener, f, _, stop := startFront(t, func(r control.Request) []control.Action {
			f.CloseWhenIdle()
			if f.Evict() {
				t.Error("evicted a connection with an open request")
			}
			return rejectRequest(r)
		}, nil, nil)
		defer stop()
		first, silent := listener.dial(), listener.dial()
		synctest.Wait() // both are accepted
		f.Drain()
		f.CloseWhenIdle()
		for _, c := range []net.Conn{first, silent} {
			ctx, cancel := context.WithCancel(t.Context())
			if cancel(); f.WaitDisconnected(ctx) {
				t.Error("WaitDisconnected returned true while clients were connected")
			}
			io.WriteString(c, completeRequest)
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || !resp.Close {
				t.Errorf("answer %v, error %v; want an answer that closes the connection", resp, err)
			}
		}
		if !f.WaitDisconnected(t.Context()) {
			t.Error("clients are still connected after their answers")
		}
	})
}

// blockedReadListener is a listener whose connections are not read until readsAllowed is closed.
type blockedReadListener struct {
	net.Listener
	readsAllowed chan struct{}
}

func (l blockedReadListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return blockedReadConn{c, l.readsAllowed}, err
}

type blockedReadConn struct {
	net.Conn
	readsAllowed chan struct{}
}

func (c blockedReadConn) Read(p []byte) (int, error) { <-c.readsAllowed; return c.Conn.Read(p) }
func (c blockedReadConn) NetConn() net.Conn          { return c.Conn }

// Evict spares a connection, new or idle, that has an unread request, and the request is answered. It closes a
// connection without input, and one whose client has closed its side.
func TestEvictSparesConnectionsWithUnreadRequests(t *testing.T) {
	for _, isNew := range []bool{true, false} {
		for _, tc := range []struct {
			name                      string
			sendsRequest, closesWrite bool
			wantIsAnswered            bool
		}{
			{name: "asks", sendsRequest: true, wantIsAnswered: true},
			{name: "no input"},
			{name: "asks and closes", sendsRequest: true, closesWrite: true},
		} {
			t.Run(fmt.Sprint(tc.name, ", new ", isNew), func(t *testing.T) {
				f, client, allowReads := dialWithBlockedReads(t)
				if tc.sendsRequest {
					io.WriteString(client, completeRequest)
				}
				if tc.closesWrite {
					client.CloseWrite()
				}
				testkit.Until(t, "the connection with its input", func() bool {
					readable, ended := setOnlyConnection(f, isNew, time.Now().Add(-time.Second))
					return readable == tc.sendsRequest && ended == tc.closesWrite
				})
				if f.Evict() == tc.wantIsAnswered {
					t.Error("a connection with a request was evicted, or one without a request was not")
				}
				allowReads()
				client.SetDeadline(time.Now().Add(testkit.WaitTimeout))
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				if tc.wantIsAnswered && (err != nil || resp.StatusCode != http.StatusServiceUnavailable) || !tc.wantIsAnswered && err == nil {
					t.Errorf("answer %v, error %v; want status 503 if the connection had a request, else an error", resp, err)
				}
			})
		}
	}
}

// dialWithBlockedReads connects a client to a front that reads nothing from it until allowReads is called.
func dialWithBlockedReads(t *testing.T) (f *Front, client *net.TCPConn, allowReads func()) {
	t.Helper()
	_, f, _, stop := startFront(t, rejectRequest, nil, nil)
	t.Cleanup(stop)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	blocked := blockedReadListener{listener, make(chan struct{})}
	server := f.Server()
	go server.Serve(blocked)
	t.Cleanup(func() { server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return f, conn.(*net.TCPConn), func() { close(blocked.readsAllowed) }
}

// setOnlyConnection sets the state of the front's only connection and polls its socket. If there is no connection
// yet, it returns a combination that no test client produces.
func setOnlyConnection(f *Front, isNew bool, idleSince time.Time) (readable, ended bool) {
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	for _, c := range f.clients.connections {
		c.isNew, c.idleSince = isNew, idleSince
		return c.pollSocket()
	}
	return false, true
}

// A client that does not read its answer, or reads only a part of it, occupies nothing in the service and is
// disconnected after a limited time.
func TestClientThatReadsNoAnswerIsDisconnected(t *testing.T) {
	for _, bytesRead := range []int{0, 5} {
		t.Run(fmt.Sprint(bytesRead), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener, f, s, stop := startFront(t, rejectRequest, nil, nil)
				defer stop()
				c := listener.dial()
				defer c.Close()
				io.WriteString(c, completeRequest)
				io.ReadFull(c, make([]byte, bytesRead))
				synctest.Wait()
				if inFlight := s.Status().Requests; inFlight != 0 {
					t.Errorf("%d requests are still in the service", inFlight)
				}
				ctx, cancel := context.WithTimeout(t.Context(), answerWriteTimeout+time.Second)
				defer cancel()
				if !f.WaitDisconnected(ctx) {
					t.Error("the connection is still open after the write timeout")
				}
			})
		})
	}
}

// blockedWhenIdleConn is a connection that, once it is idle, is not read until resume is closed.
type blockedWhenIdleConn struct {
	net.Conn
	isIdle atomic.Bool
	resume chan struct{}
}

func (c *blockedWhenIdleConn) NetConn() net.Conn { return c.Conn }

func (c *blockedWhenIdleConn) SetReadDeadline(t time.Time) error {
	c.isIdle.Store(time.Until(t) > clientIdleTimeout/2)
	return c.Conn.SetReadDeadline(t)
}

func (c *blockedWhenIdleConn) Read(p []byte) (int, error) {
	if c.isIdle.Load() {
		<-c.resume
	}
	return c.Conn.Read(p)
}

// A request that has arrived but has not been read when the node begins to shut down is answered.
func TestCloseWhenIdleAnswersUnreadRequest(t *testing.T) {
	listener, f, _, stop := startFront(t, rejectRequest, nil, nil)
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
	client.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &blockedWhenIdleConn{Conn: server, resume: make(chan struct{})}
	listener.conns <- c
	in := bufio.NewReader(client)
	for i := range 2 {
		io.WriteString(client, completeRequest)
		if i == 1 {
			testkit.Until(t, "arrival of the request", func() bool { return c.isIdle.Load() && hasUnread(tcpConnOf(server)) })
			f.Drain()
			f.CloseWhenIdle()
			close(c.resume)
		}
		if resp, err := http.ReadResponse(in, nil); err != nil || resp.Close != (i == 1) {
			t.Fatalf("request %d: answer %v, error %v; only the second answer must close the connection", i, resp, err)
		}
	}
}
