package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/iotest"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/testkit"
)

// oneByteConn is a connection of which each read gives one byte.
type oneByteConn struct{ net.Conn }

func (c oneByteConn) Read(p []byte) (int, error) { return iotest.OneByteReader(c.Conn).Read(p) }

// An answer in any form that HTTP/1.1 allows is taken however it is cut into pieces.
func TestAnswersInPieces(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		want control.Reason
	}{
		"a length":            {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.OK},
		"names in lower case": {"HTTP/1.1 200 OK\r\ncontent-length:2\r\n\r\nok", control.OK},
		"no reason":           {"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", control.OK},
		"chunks":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n", control.OK},
		"chunk extensions":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n01;a=b\r\no\r\n1\r\nk\r\n000\r\n\r\n", control.OK},
		"fields behind":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: b\r\n\r\n", control.OK},
		"behind an interim":   {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.OK},
		"to the end":          {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", control.OK},
		"HTTP/1.0":            {"HTTP/1.0 200 OK\r\n\r\nok", control.OK},
		"rejected":            {"HTTP/1.1 503 No\r\nx-unprocessed: 1\r\nContent-Length: 0\r\n\r\n", control.RejectedByServer},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				if _, err := far.Read(make([]byte, connBufferBytes)); err == nil {
					_, _ = io.WriteString(far, tc.text) // an end that comes early shows in the outcome
				}
			}()
			sockets := limits.NewSocketLimiter(1024)
			sockets.TryAcquire()
			upstream := newTestUpstream(testkit.Patience, sockets)
			ctx, cancel := context.WithTimeout(t.Context(), testkit.Patience)
			defer cancel()
			pool := upstream.NewPool("", ProtocolHTTP1)
			defer upstream.RetirePool(pool)
			outcome := upstream.attemptOn(ctx, pool, upstream.newConn(limits.Track(oneByteConn{near}, sockets), nil), newMessage(t, nil))
			if outcome.Reason != tc.want || tc.want == control.OK && string(outcome.Body) != "ok" {
				t.Errorf("%d (%v) %q", outcome.Reason, outcome.Err, outcome.Body)
			}
		})
	}
}
