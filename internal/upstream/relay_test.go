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
func TestResetIsNoEnd(t *testing.T) {
	for name, reset := range map[string]bool{"ended": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			conns := make(chan net.Conn, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				c.Read(make([]byte, 1<<10))
				io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				conns <- c
			}()
			u := newTest(testkit.Patience, limits.NewSocketLimiter(1024))
			from, body := io.Pipe()
			q := &RelayedRequest{
				RequestMethod: http.MethodPost, Target: "/x", Host: "h", ContentLength: -1, Body: retrybuffer.New(from, 0, nil), ResponseRules: &responseclass.Rules{},
				IdleTimeout: testkit.Patience, AnswerTimeout: testkit.Patience,
			}
			o := q.Attempt(context.Background(), context.Background(), u, u.NewPool(l.Addr().String(), ProtocolHTTP1))
			if o.Stream == nil {
				t.Fatalf("%+v", o)
			}
			defer o.Stream.Close()
			got := make([]byte, 4)
			if _, err := io.ReadFull(o.Stream, got); err != nil {
				t.Fatal(err)
			}
			c := testkit.Next(t, conns).(*net.TCPConn)
			defer c.Close()
			if !reset {
				c.CloseWrite()
				body.Close()
			} else {
				c.SetLinger(0)
				c.Close()
				go func() {
					for _, err := body.Write([]byte("more")); err == nil; _, err = body.Write([]byte("more")) {
					}
				}()
			}
			<-o.Stream.t.pumped
			from.Close()
			if _, err := o.Stream.Read(got); errors.Is(err, io.EOF) == reset {
				t.Errorf("%v", err)
			}
		})
	}
}

// The status of one answer isn't taken with the rest of another.
func TestHalfALineAhead(t *testing.T) {
	u := newTest(testkit.Patience, limits.NewSocketLimiter(1024))
	p := u.NewPool(raw(t, "HTTP/1.1 200 OHTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nok", false), ProtocolHTTP1)
	q := &RelayedRequest{RequestMethod: http.MethodGet, Target: "/x", Host: "h", ContentLength: -1, ResponseRules: &responseclass.Rules{}, MaxBufferedBytes: 100, IdleTimeout: testkit.Patience, AnswerTimeout: testkit.Patience}
	if o := q.Attempt(t.Context(), t.Context(), u, p); o.Reason != control.ResetByPeer || o.Status != 0 {
		t.Errorf("%+v", o)
	}
}
