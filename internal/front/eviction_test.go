package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lockflow/internal/testsupport/testkit"
)

// dialTCP connects a client, which is closed when the test ends.
func dialTCP(t *testing.T, address string) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	return client
}

// lingeringClient is a client whose answer the node has written and whose connection the node has begun to close.
type lingeringClient struct {
	net.Conn
	front  *Front
	closed chan struct{} // closed when the node has closed the connection
}

// newLingeringClient makes the node write an answer of the given length on a connection and begin a lingering close.
func newLingeringClient(t *testing.T, client net.Conn, server *net.TCPConn, answerLength int) *lingeringClient {
	t.Helper()
	_, f, _, stop := startFront(t, rejectRequest, nil, nil)
	t.Cleanup(stop)
	conn := &lingeringConn{Conn: server}
	f.clients.register(t.Context(), conn)
	f.clients.trackState(conn, http.StateActive)
	server.SetWriteBuffer(1 << 20)
	if _, err := server.Write(make([]byte, answerLength)); err != nil {
		t.Fatal(err)
	}
	closed := make(chan struct{})
	go func() { conn.Close(); close(closed) }()
	testkit.Until(t, "the lingering close", conn.isLingering.Load)
	return &lingeringClient{client, f, closed}
}

// Guards against clients that wait in the listener's queue for the descriptor of a lingering connection whose client has
// already received the answer. The connection is evicted, and its client gets the answer and a close without a reset.
func TestEvictClosesLingeringConnectionAfterAnswerIsReceived(t *testing.T) {
	client, server := connectWith(t, dialTCP)
	io.WriteString(client, "GET /next")
	testkit.Until(t, "arrival of the beginning of a request", func() bool { return hasUnread(server) })
	c := newLingeringClient(t, client, server, 100)
	testkit.Until(t, "the eviction", c.front.Evict)
	testkit.Next(t, c.closed)
	if c.front.Evict() {
		t.Error("the connection was evicted twice")
	}
	if got, err := io.ReadAll(client); err != nil || len(got) != 100 {
		t.Errorf("received %d bytes of the answer, error %v; want 100 bytes", len(got), err)
	}
}

// Guards against the loss of an answer by eviction: a lingering connection whose client has not received the complete
// answer is not evicted, even during shutdown, and a request that the client sends meanwhile does not reset it.
func TestEvictSparesLingeringConnectionUntilAnswerIsReceived(t *testing.T) {
	client, server := connectWithSmallBuffers(t)
	c := newLingeringClient(t, client, server, answerBytes)
	if c.front.Evict() {
		t.Error("the connection was evicted")
	}
	c.front.BeginShutdown()
	if c.front.Evict() {
		t.Error("the connection was evicted during shutdown")
	}
	io.WriteString(client, completeRequest)
	if got, err := io.ReadAll(client); err != nil || len(got) != answerBytes {
		t.Errorf("received %d bytes of the answer, error %v; want all of it", len(got), err)
	}
	client.Close()
	testkit.Next(t, c.closed)
}

// Guards against descriptors that stay in use while net/http waits before it closes the connection of a request that it
// has not read completely.
func TestEvictClosesConnectionAfterTooLongHead(t *testing.T) {
	_, f, _, stop := startFront(t, rejectRequest, nil, nil)
	defer stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := f.Server()
	go server.Serve(LingeringListener(listener))
	defer server.Close()
	client := dialTCP(t, listener.Addr().String())
	io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("x", 2*maxHeadBytes)+"\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Fatalf("answer %v, error %v; want status 431", resp, err)
	}
	testkit.Until(t, "the eviction", f.Evict)
	f.WaitDisconnected(t.Context()) // net/http still waits, but the descriptor is free
}

// Guards against the loss of an answer by eviction: an idle connection whose client has not received the complete last
// answer is not evicted for maxLingerTime, and a request that the client sends meanwhile does not reset it. After that time
// it is evicted, so that clients that never read do not keep descriptors in use.
func TestEvictSparesIdleConnectionUntilAnswerIsReceived(t *testing.T) {
	for name, idleFor := range map[string]time.Duration{"just idle": 0, "idle for maxLingerTime": maxLingerTime} {
		t.Run(name, func(t *testing.T) {
			_, f, _, stop := startFront(t, rejectRequest, nil, nil)
			defer stop()
			client, server := connectWithSmallBuffers(t)
			writeToSendBuffer(t, server)
			conn := &lingeringConn{Conn: server}
			f.clients.register(t.Context(), conn)
			f.clients.trackState(conn, http.StateActive)
			f.clients.trackState(conn, http.StateIdle)
			setOnlyConnection(f, false, time.Now().Add(-idleFor))
			if isEvicted := f.Evict(); isEvicted != (idleFor > 0) {
				t.Fatalf("Evict returned %v", isEvicted)
			}
			if idleFor > 0 {
				return
			}
			io.WriteString(client, completeRequest)
			if n, err := io.ReadFull(client, make([]byte, answerBytes)); err != nil {
				t.Errorf("received %d bytes of the answer, error %v", n, err)
			}
		})
	}
}
