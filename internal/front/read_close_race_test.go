package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lockflow/internal/testsupport/testkit"
)

// delayedReadListener accepts connections with a lingering close. Bytes that were read from their sockets reach net/http
// only after release is closed.
type delayedReadListener struct {
	net.Listener
	wasRead chan struct{} // gets a value when a read from the socket has returned bytes
	release chan struct{} // closed to pass the bytes on
}

func (l delayedReadListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &delayedReadConn{conn, l}, err
}

type delayedReadConn struct {
	net.Conn
	listener delayedReadListener
}

func (c *delayedReadConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		select {
		case c.listener.wasRead <- struct{}{}:
		default:
		}
		<-c.listener.release
	}
	return n, err
}

func (c *delayedReadConn) NetConn() net.Conn { return c.Conn }

// Once a request has been read from a socket, neither a drain nor an eviction closes the connection, even if net/http has
// not got the bytes yet. The request is answered.
func TestConnectionStaysOpenAfterRequestWasRead(t *testing.T) {
	for name, closeConnections := range map[string]func(*Front){
		"drain":    func(f *Front) { f.Drain(); f.CloseWhenIdle() },
		"eviction": func(f *Front) { f.Evict() },
	} {
		t.Run(name, func(t *testing.T) {
			_, f, _, stop := startFront(t, rejectRequest, nil, nil)
			defer stop()
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := delayedReadListener{LingeringListener(socket), make(chan struct{}, 1), make(chan struct{})}
			server := f.Server()
			go server.Serve(listener)
			defer server.Close()
			client, err := net.Dial("tcp", socket.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			testkit.Until(t, "the connection", func() bool { _, ended := setOnlyConnection(f, false, time.Now().Add(-time.Minute)); return !ended })
			io.WriteString(client, completeRequest)
			testkit.Next(t, listener.wasRead)
			closeConnections(f)
			close(listener.release)
			if resp, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("answer %v, error %v; want status 503", resp, err)
			}
		})
	}
}
