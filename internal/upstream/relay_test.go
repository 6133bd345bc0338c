package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/responseclass"
	"lockflow/internal/retrybuffer"
	"lockflow/internal/testkit"
)

// An answer that ends with its connection isn't whole where that is reset, whichever side of the attempt
// the system tells it to: it tells it once, and here the body's.
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
			upstream := newTestUpstream(testkit.Patience, limits.NewSocketLimiter(1024))
			from, body := io.Pipe()
			request := &RelayedRequest{
				RequestMethod: http.MethodPost, Target: "/x", Host: "h", ContentLength: -1, Body: retrybuffer.New(from, 0, nil), ResponseRules: &responseclass.Rules{},
				IdleTimeout: testkit.Patience, AnswerTimeout: testkit.Patience,
			}
			outcome := request.Attempt(context.Background(), context.Background(), upstream, upstream.NewPool(listener.Addr().String(), ProtocolHTTP1))
			if outcome.Stream == nil {
				t.Fatalf("%+v", outcome)
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
			<-outcome.Stream.http1.bodyEnded
			from.Close()
			if _, err := outcome.Stream.Read(got); errors.Is(err, io.EOF) == reset {
				t.Errorf("%v", err)
			}
		})
	}
}

// The status of one answer isn't taken with the rest of another.
func TestPartialStatusLineIsRejected(t *testing.T) {
	upstream := newTestUpstream(testkit.Patience, limits.NewSocketLimiter(1024))
	pool := upstream.NewPool(startRawServer(t, "HTTP/1.1 200 OHTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nok", false), ProtocolHTTP1)
	request := &RelayedRequest{RequestMethod: http.MethodGet, Target: "/x", Host: "h", ContentLength: -1, ResponseRules: &responseclass.Rules{}, MaxBufferedBytes: 100, IdleTimeout: testkit.Patience, AnswerTimeout: testkit.Patience}
	if outcome := request.Attempt(t.Context(), t.Context(), upstream, pool); outcome.Reason != control.ResetByPeer || outcome.Status != 0 {
		t.Errorf("%+v", outcome)
	}
}
