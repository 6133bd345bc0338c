package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/responseclass"
	"lockflow/internal/retrybuffer"
	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testkit"
)

// TestResetIsNotEndOfBody checks that a response without a length counts as incomplete if its connection is reset. The
// system reports a reset only once, in this test to the goroutine that sends the body.
func TestResetIsNotEndOfBody(t *testing.T) {
	for name, reset := range map[string]bool{"ended": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			conns := make(chan net.Conn, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				conn.Read(make([]byte, 1<<10))
				io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				conns <- conn
			}()
			upstream := newTestUpstream(testkit.WaitTimeout, limits.NewSocketLimiter(1024))
			from, body := io.Pipe()
			request := &RelayedRequest{
				RequestMethod: http.MethodPost, Target: "/x", Host: "h", ContentLength: -1, Body: retrybuffer.New(from, 0, nil), ResponseRules: &responseclass.Rules{},
				IdleTimeout: testkit.WaitTimeout, ResponseTimeout: testkit.WaitTimeout,
			}
			outcome := request.Attempt(context.Background(), context.Background(), upstream, upstream.NewPool(listener.Addr().String(), ProtocolHTTP1))
			if outcome.Stream == nil {
				t.Fatalf("outcome without a stream: %+v", outcome)
			}
			defer outcome.Stream.Close()
			got := make([]byte, 4)
			if _, err := io.ReadFull(outcome.Stream, got); err != nil {
				t.Fatal(err)
			}
			conn := testkit.Next(t, conns).(*net.TCPConn)
			defer conn.Close()
			if !reset {
				conn.CloseWrite()
				body.Close()
			} else {
				conn.SetLinger(0)
				conn.Close()
				go func() {
					for _, err := body.Write([]byte("more")); err == nil; _, err = body.Write([]byte("more")) {
					}
				}()
			}
			<-outcome.Stream.http1.bodySendEnded
			from.Close()
			if _, err := outcome.Stream.Read(got); errors.Is(err, io.EOF) == reset {
				t.Errorf("read returned %v", err)
			}
		})
	}
}

// TestPartialStatusLineIsRejected checks that the status of one response is not combined with the rest of another.
func TestPartialStatusLineIsRejected(t *testing.T) {
	upstream := newTestUpstream(testkit.WaitTimeout, limits.NewSocketLimiter(1024))
	pool := upstream.NewPool(startRawServer(t, "HTTP/1.1 200 OHTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nok", false), ProtocolHTTP1)
	request := &RelayedRequest{RequestMethod: http.MethodGet, Target: "/x", Host: "h", ContentLength: -1, ResponseRules: &responseclass.Rules{}, MaxBufferedBytes: 100, IdleTimeout: testkit.WaitTimeout, ResponseTimeout: testkit.WaitTimeout}
	if outcome := request.Attempt(t.Context(), t.Context(), upstream, pool); outcome.Reason != control.ResetByPeer || outcome.Status != 0 {
		t.Errorf("outcome %+v, want a reset without a status", outcome)
	}
}

// TestBodyCompletedAfterHeadIsSent checks that a body is sent if it becomes complete just after the head was created.
func TestBodyCompletedAfterHeadIsSent(t *testing.T) {
	server := startHTTP2(t, fake.HTTP2Server{UID: "s"})
	upstream := newHTTP2Upstream(HTTP2Options{})
	pool := upstream.NewPool(server.Addr(), ProtocolHTTP2)
	request := &RelayedRequest{
		RequestMethod: "POST", Target: "/x", Host: "h", Header: http.Header{protocol.HeaderID: {"a"}}, ContentLength: 4,
		Body: retrybuffer.New(strings.NewReader("body"), 1000, nil), ResponseRules: &responseclass.Rules{}, MaxBufferedBytes: 1000, IdleTimeout: testkit.WaitTimeout, ResponseTimeout: testkit.WaitTimeout,
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	attempt := &http2Attempt{RelayedRequest: request}
	streamRequest := attempt.newRequest(ctx, "http")
	if b, err := io.ReadAll(request.Body.NewReader()); err != nil || string(b) != "body" || !streamRequest.HasMoreBody {
		t.Fatalf("body %q, %v, HasMoreBody %v", b, err, streamRequest.HasMoreBody)
	}
	conn, _, err := upstream.sharedConnectionsOf(pool).acquire(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if attempt.stream, err = conn.Open(streamRequest, BodyWindowBytes, attempt.handleInterim); err != nil {
		t.Fatal(err)
	}
	defer context.AfterFunc(ctx, attempt.abort)()
	if outcome, _ := attempt.exchange(); outcome.Status != 200 || server.Executions.Runs("a") != 1 {
		t.Errorf("outcome %+v, request ran %d times", outcome, server.Executions.Runs("a"))
	}
	upstream.RetirePool(pool)
}
