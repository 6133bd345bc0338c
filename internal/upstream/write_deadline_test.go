package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"lockflow/control"
	"lockflow/internal/protocol"
	"lockflow/internal/responseclass"
	"lockflow/internal/retrybuffer"
	"lockflow/internal/testsupport/testkit"
)

// serveWithoutWindow accepts HTTP/2 connections whose streams have a window of a few bytes, and gives more when a stream
// has been reset or giveWindow is closed. It returns the address and a channel with what ends each stream.
func serveWithoutWindow(t *testing.T, giveWindow <-chan struct{}) (address string, ends <-chan string) {
	received := make(chan string, 100)
	return serveConnections(t, func(conn net.Conn) {
		framer := http2.NewFramer(conn, conn)
		io.ReadFull(conn, make([]byte, len(http2.ClientPreface)))
		framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 2})
		go func() {
			<-giveWindow
			framer.WriteWindowUpdate(1, 1<<16)
		}()
		for {
			frame, err := framer.ReadFrame()
			if err != nil {
				return
			}
			switch frame := frame.(type) {
			case *http2.DataFrame:
				if frame.StreamEnded() {
					received <- "complete"
				}
			case *http2.RSTStreamFrame:
				received <- "reset"
			}
		}
	}), received
}

// TestAttemptIsNotCompletedAfterWriteDeadline checks that an attempt whose request can't be written completely by its
// write deadline ends then, and that the server never has the whole request: the deadline is the end of a repeat window,
// after which the server would run a repeat a second time.
func TestAttemptIsNotCompletedAfterWriteDeadline(t *testing.T) {
	const timeToWrite = 150 * time.Millisecond
	for _, c := range []struct {
		name   string
		body   func() *retrybuffer.Body // nil for a buffered request
		reason control.Reason
	}{
		{"buffered", nil, control.ConnectFailed},
		{"relayed", func() *retrybuffer.Body { return retrybuffer.FromBytes([]byte("body")) }, control.ConnectFailed},
		{"relayed, longer than inline", func() *retrybuffer.Body {
			return retrybuffer.FromBytes([]byte(strings.Repeat("b", maxInlineBodyBytes+1)))
		}, control.ConnectFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			giveWindow := make(chan struct{})
			address, ends := serveWithoutWindow(t, giveWindow)
			upstream := newHTTP2Upstream(HTTP2Options{})
			pool := upstream.NewPool(address, ProtocolHTTP2)
			defer upstream.RetirePool(pool)
			ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
			defer cancel()
			ctx = WithWriteDeadline(ctx, time.Now().Add(timeToWrite))
			timer := time.AfterFunc(5*timeToWrite, func() { close(giveWindow) })
			defer func() {
				if timer.Stop() {
					close(giveWindow)
				}
			}()
			startedAt := time.Now()
			var outcome Outcome
			if c.body == nil {
				outcome = newUpdate("a", "body").Attempt(ctx, t.Context(), upstream, pool)
			} else {
				body := c.body()
				raw, _ := body.Complete()
				outcome = newRelayedUpdate(body, int64(len(raw))).Attempt(ctx, t.Context(), upstream, pool)
			}
			if elapsed := time.Since(startedAt); outcome.Reason != c.reason || elapsed < timeToWrite {
				t.Errorf("reason %v (%v) after %v, want %v at the write deadline", outcome.Reason, outcome.Err, elapsed, c.reason)
			}
			if end := testkit.Next(t, ends); end != "reset" {
				t.Errorf("the server's stream ended as %s, want a reset", end)
			}
		})
	}
}

// newRelayedUpdate creates a request of generic HTTP with an idempotency key.
func newRelayedUpdate(body *retrybuffer.Body, length int64) *RelayedRequest {
	return &RelayedRequest{
		RequestMethod: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{protocol.HeaderIdempotencyKey: {"key"}}, ContentLength: length,
		Body: body, ResponseRules: &responseclass.Rules{}, MaxBufferedBytes: 1000, IdleTimeout: testkit.WaitTimeout, ResponseTimeout: testkit.WaitTimeout,
	}
}

// TestRelayedBodyEndsAtWriteDeadline checks that a body whose end arrives from the client after the attempt's write
// deadline is not completed, over HTTP/1.1, and that the attempt ends at that deadline.
func TestRelayedBodyEndsAtWriteDeadline(t *testing.T) {
	for name, length := range map[string]int64{"chunked": -1, "of stated length": 8} {
		t.Run(name, func(t *testing.T) {
			completed := make(chan error, 1)
			app := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, err := io.ReadAll(r.Body)
				completed <- err
			}))
			defer app.Close()
			upstream := newHTTP2Upstream(HTTP2Options{})
			pool := upstream.NewPool(app.Listener.Addr().String(), ProtocolHTTP1)
			defer upstream.RetirePool(pool)
			from, client := io.Pipe()
			defer from.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ctx = WithWriteDeadline(ctx, time.Now().Add(150*time.Millisecond))
			go func() {
				io.WriteString(client, "body")
				<-ctx.Done()
				io.WriteString(client, "more")
				client.Close()
			}()
			defer time.AfterFunc(600*time.Millisecond, cancel).Stop()
			body := retrybuffer.New(from, 0, nil)
			defer body.Close(func() { from.Close() })
			outcome := newRelayedUpdate(body, length).Attempt(ctx, t.Context(), upstream, pool)
			if outcome.Reason != control.TimedOut || ctx.Err() != nil {
				t.Errorf("reason %v (%v), context %v; want a timeout at the write deadline", outcome.Reason, outcome.Err, ctx.Err())
			}
			cancel()
			if err := testkit.Next(t, completed); err == nil {
				t.Error("the server has read the whole body")
			}
		})
	}
}
