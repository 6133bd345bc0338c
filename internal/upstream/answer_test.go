package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/testsupport/testkit"
)

// rawResponses are responses of servers, with the outcomes of attempts that receive them.
var rawResponses = map[string]struct {
	response string // "" stands for an endpoint that refuses connections
	want     control.Reason
	reset    control.Reason // the outcome if the connection is reset after the response; 0 is want
}{
	"served":                          {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.OK, 0},
	"served in chunks":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", control.OK, 0},
	"after an interim response":       {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.OK, 0},
	"error":                           {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", control.Errored, 0},
	"not found":                       {"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", control.Errored, 0},
	"503 unmarked":                    {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", control.Errored, 0},
	"504 marked as processed":         {"HTTP/1.1 504 No\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n", control.Errored, 0},
	"503 marked as unprocessed":       {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", control.RejectedByServer, 0},
	"504 marked as unprocessed":       {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", control.RejectedByServer, 0},
	"500 marked as unprocessed":       {"HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", control.Errored, 0},
	"connection closed":               {" ", control.ResetByPeer, 0},
	"not HTTP":                        {"what?\r\n\r\n", control.ResetByPeer, 0},
	"truncated body":                  {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", control.ResetByPeer, 0},
	"truncated chunk":                 {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", control.ResetByPeer, 0},
	"too large":                       {"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537), control.ResetByPeer, 0},
	"too large head":                  {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 200000), control.ResetByPeer, 0},
	"no length":                       {"HTTP/1.1 200 OK\r\n\r\nok", control.OK, control.ResetByPeer},
	"no length, HTTP/1.0":             {"HTTP/1.0 200 OK\r\n\r\nok", control.OK, control.ResetByPeer},
	"no length, unprocessed":          {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n\r\n", control.RejectedByServer, control.ResetByPeer},
	"no length, too large":            {"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 65537), control.ResetByPeer, 0},
	"unprocessed, truncated body":     {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 1\r\n\r\n", control.ResetByPeer, 0},
	"unprocessed, truncated head":     {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n", control.ResetByPeer, 0},
	"no body":                         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", control.ResetByPeer, 0},
	"no last chunk":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", control.ResetByPeer, 0},
	"an HTTP/1.0 response":            {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", control.OK, 0},
	"204 with a body":                 {"HTTP/1.1 204 No Content\r\n\r\nok", control.Errored, 0},
	"304 with a body":                 {"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\nok", control.Errored, 0},
	"two lengths":                     {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok", control.ResetByPeer, 0},
	"malformed chunk size":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n", control.ResetByPeer, 0},
	"extra bytes after it":            {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\noknoise", control.OK, 0},
	"a second response":               {strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2), control.OK, 0},
	"too many interim responses":      {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 9000), control.ResetByPeer, 0},
	"switched":                        {"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.ResetByPeer, 0},
	"half a status line before it":    {"HTTP/1.1 2HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.ResetByPeer, 0},
	"most of a status line before it": {"HTTP/1.1 200 OHTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nok", control.ResetByPeer, 0},
	"a line before it":                {"noise\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.ResetByPeer, 0},
	"a truncated head before it":      {"HTTP/1.1 200 OK\r\nContent-LenHTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nok", control.ResetByPeer, 0},
	"an empty line before it":         {"\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.ResetByPeer, 0},
	"refused":                         {"", control.ConnectFailed, 0},
}

// TestOutcomeByResponse checks the outcomes of well-formed and malformed responses, with and without a reset of the
// connection after them.
func TestOutcomeByResponse(t *testing.T) {
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.Close()
	for name, tc := range rawResponses {
		for end, reset := range map[string]bool{"": false, ", reset": true} {
			t.Run(name+end, func(t *testing.T) {
				endpoint, want := refusing.Addr().String(), tc.want
				if tc.response != "" {
					endpoint = startRawServer(t, tc.response, reset)
				}
				if reset && tc.reset != 0 {
					want = tc.reset
				}
				upstream := newTestUpstream(testkit.WaitTimeout, limits.NewSocketLimiter(1024))
				ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
				defer cancel()
				if outcome := upstream.AttemptHTTP1(ctx, upstream.NewPool(endpoint, ProtocolHTTP1), newPOSTRequest(t, []byte("body"))); outcome.Reason != want {
					t.Errorf("reason %d (%v), want %d", outcome.Reason, outcome.Err, want)
				} else if outcome.Reason == control.OK && string(outcome.Body) != "ok" {
					t.Errorf("body %q, want ok", outcome.Body)
				}
			})
		}
	}
}

// TestReportHeaders checks which values are read from a server's report headers, and that values out of range are
// skipped.
func TestReportHeaders(t *testing.T) {
	outcome := Outcome{Header: http.Header{
		protocol.HeaderQuotaUsed: {"85"}, protocol.HeaderTrueCost: {"3"},
		protocol.HeaderBackendLoad: {"inflight=7,queue=2, util=0.61,latency_ms=12.5,colour=red,qps=x"},
	}}
	if outcome.QuotaUsage() != 86 || outcome.ActualUnits(4) != 3 {
		t.Errorf("quota usage %d, want 86; units %g, want 3", outcome.QuotaUsage(), outcome.ActualUnits(4))
	}
	if report := *outcome.LoadReport(); report != (control.LoadReport{InFlight: 7, Queued: 2, Utilization: 0.61, MeanLatencyMS: 12.5, RequestsPerSecond: -1, ErrorsPerSecond: -1}) {
		t.Errorf("load report %+v", report)
	}
	for _, invalid := range []string{"", "x", "-1", "NaN", "1e400", "1e300", "99999", "inflight=-1,util=NaN", "queue=1e300"} {
		outcome := Outcome{Header: http.Header{protocol.HeaderQuotaUsed: {invalid}, protocol.HeaderTrueCost: {invalid}, protocol.HeaderBackendLoad: {invalid}}}
		if outcome.QuotaUsage() != 0 || outcome.ActualUnits(4) != 0 || outcome.LoadReport() != nil {
			t.Errorf("%q: quota usage %d, units %g; want no values", invalid, outcome.QuotaUsage(), outcome.ActualUnits(4))
		}
	}
}

// TestIncompleteResponseIsReset checks that a response which stops half way, or states a length above the limit, counts
// as a reset as soon as that is known, although the connection stays open: the attempt must not wait for its deadline.
func TestIncompleteResponseIsReset(t *testing.T) {
	for name, text := range map[string]string{
		"in the head":      "HTTP/1.1 200 OK\r\nContent-Le",
		"in the body":      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"in a chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
		"without length":   "HTTP/1.1 200 OK\r\n\r\nok",
		"length of 3 GB":   "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
		"after an interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			over := make(chan struct{})
			app := testkit.NewApp(t, func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(testkit.Hijack(w), text)
				<-over
			})
			t.Cleanup(func() { close(over) })
			sockets := limits.NewSocketLimiter(1024)
			upstream := newTestUpstream(testkit.WaitTimeout, sockets)
			ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
			defer cancel()
			outcome := upstream.AttemptHTTP1(ctx, upstream.NewPool(app.Listener.Addr().String(), ProtocolHTTP1), newPOSTRequest(t, nil))
			if outcome.Reason != control.ResetByPeer || ctx.Err() != nil {
				t.Errorf("reason %d (%v), want a reset before the deadline", outcome.Reason, outcome.Err)
			}
			if n := sockets.InUse(); n != 0 {
				t.Errorf("%d connections still open, want 0", n)
			}
		})
	}
}

// TestInterimResponseStartsNoTimeout checks that an interim response does not start the completion timeout of the
// response that follows it.
func TestInterimResponseStartsNoTimeout(t *testing.T) {
	t.Parallel()
	app := testkit.NewApp(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		time.Sleep(responseCompletionTimeout + responseCompletionTimeout/3) // exceeds the completion timeout
		io.WriteString(w, "ok")
	})
	upstream := newTestUpstream(testkit.WaitTimeout, limits.NewSocketLimiter(1024))
	ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
	defer cancel()
	if outcome := upstream.AttemptHTTP1(ctx, upstream.NewPool(app.Listener.Addr().String(), ProtocolHTTP1), newPOSTRequest(t, nil)); outcome.Reason != control.OK || string(outcome.Body) != "ok" {
		t.Errorf("reason %d (%v), body %q", outcome.Reason, outcome.Err, outcome.Body)
	}
}

// TestCompletionTimeoutEndsWithItsResponse checks that the completion deadline of a response does not apply to the next
// attempt on the same connection.
func TestCompletionTimeoutEndsWithItsResponse(t *testing.T) {
	t.Parallel()
	requests := 0
	app := testkit.NewApp(t, func(w http.ResponseWriter, _ *http.Request) {
		if requests++; requests > 1 {
			time.Sleep(responseCompletionTimeout + responseCompletionTimeout/3) // exceeds the completion timeout
		}
		io.WriteString(w, "o")
		w.(http.Flusher).Flush() // a separate chunk, so that the rest of the response is read under the completion deadline
		io.WriteString(w, "k")
	})
	upstream := newTestUpstream(2*testkit.WaitTimeout, limits.NewSocketLimiter(1024))
	pool := upstream.NewPool(app.Listener.Addr().String(), ProtocolHTTP1)
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
		if outcome := upstream.AttemptHTTP1(ctx, pool, newPOSTRequest(t, nil)); outcome.Reason != control.OK || string(outcome.Body) != "ok" {
			t.Errorf("reason %d (%v), body %q", outcome.Reason, outcome.Err, outcome.Body)
		}
		cancel()
	}
	if n := upstream.SocketLimiter.(*limits.SocketLimiter).InUse(); n != 1 {
		t.Errorf("%d connections open, want 1 that is reused", n)
	}
}

// oneByteConn is a connection whose reads return one byte each.
type oneByteConn struct{ net.Conn }

func (c oneByteConn) Read(p []byte) (int, error) { return iotest.OneByteReader(c.Conn).Read(p) }

// TestResponsesSplitIntoPieces checks that responses in every form of HTTP/1.1 are read correctly when they arrive one
// byte at a time.
func TestResponsesSplitIntoPieces(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		want control.Reason
	}{
		"a length":         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.OK},
		"lower-case names": {"HTTP/1.1 200 OK\r\ncontent-length:2\r\n\r\nok", control.OK},
		"no reason phrase": {"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", control.OK},
		"chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n", control.OK},
		"chunk extensions": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n01;a=b\r\no\r\n1\r\nk\r\n000\r\n\r\n", control.OK},
		"trailer fields":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: b\r\n\r\n", control.OK},
		"after an interim": {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.OK},
		"until closed":     {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", control.OK},
		"HTTP/1.0":         {"HTTP/1.0 200 OK\r\n\r\nok", control.OK},
		"rejected":         {"HTTP/1.1 503 No\r\nx-unprocessed: 1\r\nContent-Length: 0\r\n\r\n", control.RejectedByServer},
	} {
		t.Run(name, func(t *testing.T) {
			clientEnd, serverEnd := net.Pipe()
			go func() {
				defer serverEnd.Close()
				if _, err := serverEnd.Read(make([]byte, connBufferBytes)); err == nil {
					_, _ = io.WriteString(serverEnd, tc.text) // an early end of the connection shows in the outcome
				}
			}()
			sockets := limits.NewSocketLimiter(1024)
			sockets.TryAcquire()
			upstream := newTestUpstream(testkit.WaitTimeout, sockets)
			ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
			defer cancel()
			pool := upstream.NewPool("", ProtocolHTTP1)
			defer upstream.RetirePool(pool)
			outcome := upstream.attemptOn(ctx, pool, upstream.newConn(limits.Track(oneByteConn{clientEnd}, sockets), nil), newPOSTRequest(t, nil))
			if outcome.Reason != tc.want || tc.want == control.OK && string(outcome.Body) != "ok" {
				t.Errorf("reason %d (%v), body %q", outcome.Reason, outcome.Err, outcome.Body)
			}
		})
	}
}
