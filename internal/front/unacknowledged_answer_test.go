package front

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"lockflow/internal/testsupport/testkit"
)

// dialWithSmallBuffers connects a client with small segments and a small receive buffer, so that most of a long answer stays
// in the server's send buffer.
func dialWithSmallBuffers(t *testing.T, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1)
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 536)
		})
	}}
	client, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	return client
}

// connectWithSmallBuffers returns both ends of a connection made by dialWithSmallBuffers.
func connectWithSmallBuffers(t *testing.T) (client net.Conn, server *net.TCPConn) {
	t.Helper()
	return connectWith(t, dialWithSmallBuffers)
}

// connectWith returns both ends of a connection made by dial.
func connectWith(t *testing.T, dial func(t *testing.T, address string) net.Conn) (client net.Conn, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client = dial(t, listener.Addr().String())
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return client, conn.(*net.TCPConn)
}

const answerBytes = 32 << 10

// writeToSendBuffer writes answerBytes, which fit in the server's send buffer.
func writeToSendBuffer(t *testing.T, server *net.TCPConn) {
	t.Helper()
	server.SetWriteBuffer(1 << 20)
	server.SetWriteDeadline(time.Now().Add(testkit.WaitTimeout))
	if _, err := server.Write(make([]byte, answerBytes)); err != nil {
		t.Fatal(err)
	}
}

// tcpState returns the state of a socket; unix.BPF_TCP_CLOSE if it is closed.
func tcpState(raw syscall.RawConn) (state uint8) {
	state = unix.BPF_TCP_CLOSE
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state
}

// A client that sends another request while its connection is being closed, and before it has read its answer,
// still gets the complete answer.
func TestLingeringConnDeliversAnswerBeforeLateRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := dialWithSmallBuffers(t, listener.Addr().String())
	conn, err := LingeringListener(listener).Accept()
	if err != nil {
		t.Fatal(err)
	}
	writeToSendBuffer(t, tcpConnOf(conn))
	conn.(*lingeringConn).isBusy.Store(true)
	raw, err := tcpConnOf(conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	closed := make(chan struct{})
	go func() { conn.Close(); close(closed) }()
	testkit.Until(t, "closing of the sending side", func() bool { return tcpState(raw) != unix.BPF_TCP_ESTABLISHED })
	io.WriteString(client, completeRequest)
	if got, err := io.ReadAll(client); err != nil || len(got) != answerBytes {
		t.Errorf("received %d bytes of the answer, error %v; want all of it", len(got), err)
	}
	client.Close()
	testkit.Next(t, closed)
}

// CloseWhenIdle does not close a connection while a part of an answer is unacknowledged, whether the connection is
// already idle or becomes idle later, and the next request can still be read. Once the answer is acknowledged, a
// further call closes the connection.
func TestCloseWhenIdleWaitsForUnacknowledgedAnswer(t *testing.T) {
	for name, isIdle := range map[string]bool{"is idle": true, "becomes idle": false} {
		t.Run(name, func(t *testing.T) {
			_, f, _, stop := startFront(t, rejectRequest, nil, nil)
			defer stop()
			client, server := connectWithSmallBuffers(t)
			writeToSendBuffer(t, server)
			conn := &lingeringConn{Conn: server}
			f.clients.register(t.Context(), conn)
			f.clients.trackState(conn, http.StateActive)
			if isIdle {
				f.clients.trackState(conn, http.StateIdle)
			}
			f.CloseWhenIdle()
			if !isIdle {
				f.clients.trackState(conn, http.StateIdle)
			}
			if !hasUnacknowledged(server) {
				t.Fatal("the connection was closed, or the client has already acknowledged the complete answer")
			}
			io.WriteString(client, completeRequest)
			if n, err := io.ReadFull(client, make([]byte, answerBytes)); err != nil {
				t.Errorf("received %d bytes of the answer, error %v", n, err)
			}
			request, err := http.ReadRequest(bufio.NewReader(server))
			if err != nil || request.URL.Path != "/read" {
				t.Errorf("next request: %v, error %v; want path /read", request, err)
			}
			testkit.Until(t, "the client's acknowledgement", func() bool { return !hasUnacknowledged(server) })
			f.CloseWhenIdle()
			if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("error of the client's read after the answer: %v, want EOF", err)
			}
		})
	}
}
