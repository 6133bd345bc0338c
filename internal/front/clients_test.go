package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"lockflow/control"
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
