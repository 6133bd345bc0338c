package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/testsupport/testkit"
)

// TestAttemptSendsTimeLeft checks that each attempt sends the time left at the moment it is written: after a connection
// that was slow to establish, and after an earlier attempt.
func TestAttemptSendsTimeLeft(t *testing.T) {
	for name, version := range map[string]Protocol{"HTTP/1.1": ProtocolHTTP1, "HTTP/2": ProtocolHTTP2} {
		t.Run(name, func(t *testing.T) {
			const delay = 100 * time.Millisecond
			received := make(chan string, 2)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				received <- r.Header.Get(protocol.HeaderTimeLeft)
				time.Sleep(delay)
				w.WriteHeader(http.StatusInternalServerError)
			}))
			server.Config.Protocols = new(http.Protocols)
			server.Config.Protocols.SetHTTP1(true)
			server.Config.Protocols.SetUnencryptedHTTP2(true)
			server.Start()
			t.Cleanup(server.Close)
			dials := &delayedDials{readyAt: time.Now().Add(delay)}
			upstream := New(Options{
				ConnectTimeout: testkit.WaitTimeout, KeepAliveTimeout: 2 * testkit.WaitTimeout, SocketLimiter: limits.NewSocketLimiter(1024), DialLimiter: dials,
				HTTP2: HTTP2Options{MaxConnections: 1, MaxStreams: 10, MaxConnectionAge: time.Hour, FallbackPeriod: time.Minute, StartsAtLastByte: true},
			})
			pool := upstream.NewPool(server.Listener.Addr().String(), version)
			t.Cleanup(func() { upstream.RetirePool(pool) })
			startedAt := time.Now()
			deadline := startedAt.Add(testkit.WaitTimeout)
			ctx, cancel := context.WithDeadline(t.Context(), deadline)
			defer cancel()
			request := newUpdate("id", "body")
			for n := 1; n <= 2; n++ {
				if outcome := request.Attempt(ctx, nil, upstream, pool); outcome.Reason != control.Errored {
					t.Fatalf("attempt %d: reason %d (%v)", n, outcome.Reason, outcome.Err)
				}
				text := testkit.Next(t, received)
				left, err := strconv.Atoi(strings.TrimSuffix(text, "m"))
				maxLeft := testkit.WaitTimeout - time.Duration(n)*delay
				if err != nil || time.Duration(left)*time.Millisecond > maxLeft || left < 1 {
					t.Errorf("attempt %d sent time left %q, want at most %v", n, text, maxLeft)
				}
			}
		})
	}
}

// TestRequestWrittenTooSlowlyIsAborted checks that a request that its server reads too slowly is aborted at its write
// deadline, so that it never arrives completely.
func TestRequestWrittenTooSlowlyIsAborted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	const size = 64 << 20 // more than the socket buffers of both ends hold
	ended, received := make(chan struct{}), make(chan int64, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		select { // nothing is read until the attempt has ended, or should have
		case <-ended:
		case <-time.After(2 * time.Second):
		}
		n, _ := io.Copy(io.Discard, conn)
		received <- n
	}()
	upstream := newTestUpstream(2*testkit.WaitTimeout, limits.NewSocketLimiter(1024))
	pool := upstream.NewPool(listener.Addr().String(), ProtocolHTTP1)
	t.Cleanup(func() { upstream.RetirePool(pool) })
	ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
	defer cancel()
	outcome := newUpdate("id", strings.Repeat("x", size)).Attempt(WithWriteDeadline(ctx, time.Now().Add(100*time.Millisecond)), nil, upstream, pool)
	close(ended)
	if outcome.Reason != control.ConnectFailed {
		t.Errorf("reason %d (%v)", outcome.Reason, outcome.Err)
	}
	if n := testkit.Next(t, received); n >= size {
		t.Errorf("%d bytes arrived, want an incomplete request", n)
	}
}
