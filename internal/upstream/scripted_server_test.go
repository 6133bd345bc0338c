package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/testsupport/testkit"
)

const okResponse, secondResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"

// scriptedServer is an app server whose responses are written by the test, with an Upstream that sends requests to it.
type scriptedServer struct {
	t         *testing.T
	upstream  *Upstream
	pool      *Pool
	requests  chan receivedRequest
	responses chan string
	outcomes  chan Outcome
}

// receivedRequest is the connection of a request that a scriptedServer has read.
type receivedRequest struct {
	net.Conn
	clientAddress string
}

func newScriptedServer(t *testing.T) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &scriptedServer{
		t: t, upstream: newTestUpstream(2*testkit.WaitTimeout, limits.NewSocketLimiter(1024)),
		requests: make(chan receivedRequest), responses: make(chan string), outcomes: make(chan Outcome, 1),
	}
	s.pool = s.upstream.NewPool(listener.Addr().String(), ProtocolHTTP1)
	t.Cleanup(func() { s.upstream.RetirePool(s.pool) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for r := bufio.NewReader(conn); ; {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					s.requests <- receivedRequest{conn, conn.RemoteAddr().String()}
					io.WriteString(conn, <-s.responses)
				}
			}()
		}
	}()
	return s
}

// startRequest starts an attempt and waits until the server has read its request.
func (s *scriptedServer) startRequest() receivedRequest {
	s.t.Helper()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
		defer cancel()
		s.outcomes <- s.upstream.AttemptHTTP1(ctx, s.pool, newPOSTRequest(s.t, nil))
	}()
	return testkit.Next(s.t, s.requests)
}

// respond writes the response to the running attempt, which must succeed.
func (s *scriptedServer) respond(text string) {
	s.t.Helper()
	s.responses <- text
	if outcome := testkit.Next(s.t, s.outcomes); outcome.Reason != control.OK || string(outcome.Body) != "ok" {
		s.t.Errorf("reason %d (%v), body %q", outcome.Reason, outcome.Err, outcome.Body)
	}
}

// waitIdle waits until exactly n idle connections remain, and closes those that have received unsolicited bytes.
func (s *scriptedServer) waitIdle(n int) {
	s.t.Helper()
	testkit.Until(s.t, "the expected number of idle connections", func() bool {
		s.upstream.closeIdleIf(func(conn *serverConn) bool { return !conn.isOpenAndEmpty() })
		idle, _ := s.upstream.CountIdle()
		return idle == n
	})
}
