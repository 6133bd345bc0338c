package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/testkit"
)

func newTestUpstream(keepalive time.Duration, sockets *limits.SocketLimiter) *Upstream {
	upstream := New(Options{ConnectTimeout: testkit.Patience, KeepAliveTimeout: keepalive, SocketLimiter: sockets})
	sockets.OnEvict(nil, upstream.Evict)
	return upstream
}

// idleConnections are the idle connections to app servers.
func idleConnections(upstream *Upstream) []*serverConn {
	var all []*serverConn
	upstream.closeIdleIf(func(conn *serverConn) bool { all = append(all, conn); return false })
	return all
}

func newMessage(t *testing.T, body []byte) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://origin.svc/visit-update", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return req
}

// startRawServer is an app server that answers each request with the same bytes and ends the connection.
func startRawServer(t *testing.T, answer string, reset bool) string {
	app := testkit.NewApp(t, func(w http.ResponseWriter, _ *http.Request) {
		conn := testkit.Hijack(w)
		io.WriteString(conn, answer)
		if reset {
			conn.(*net.TCPConn).SetLinger(0)
		}
		conn.Close()
	})
	return app.Listener.Addr().String()
}

func TestOutcomeByAnswer(t *testing.T) {
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.Close()
	for name, tc := range map[string]struct {
		answer string // "" is an endpoint that refuses connections
		want   control.Reason
		reset  control.Reason // where the connection is reset behind the answer; 0 is the same
	}{
		"served":                       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.OK, 0},
		"served in chunks":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", control.OK, 0},
		"after an interim one":         {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.OK, 0},
		"error":                        {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", control.Errored, 0},
		"not found":                    {"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", control.Errored, 0},
		"503 of no account":            {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", control.Errored, 0},
		"504 marked otherwise":         {"HTTP/1.1 504 No\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n", control.Errored, 0},
		"503 turned away":              {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", control.RejectedByServer, 0},
		"504 turned away":              {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", control.RejectedByServer, 0},
		"500 marked":                   {"HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", control.Errored, 0},
		"hung up":                      {" ", control.ResetByPeer, 0},
		"no HTTP":                      {"what?\r\n\r\n", control.ResetByPeer, 0},
		"cut short":                    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", control.ResetByPeer, 0},
		"a chunk cut short":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", control.ResetByPeer, 0},
		"too large":                    {"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537), control.ResetByPeer, 0},
		"an endless head":              {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 200000), control.ResetByPeer, 0},
		"no stated length":             {"HTTP/1.1 200 OK\r\n\r\nok", control.OK, control.ResetByPeer},
		"the same of HTTP/1.0":         {"HTTP/1.0 200 OK\r\n\r\nok", control.OK, control.ResetByPeer},
		"the same, turned away":        {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n\r\n", control.RejectedByServer, control.ResetByPeer},
		"the same, too large":          {"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 65537), control.ResetByPeer, 0},
		"turned away, cut":             {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 1\r\n\r\n", control.ResetByPeer, 0},
		"turned away, cut in its head": {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n", control.ResetByPeer, 0},
		"a head alone":                 {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", control.ResetByPeer, 0},
		"the last chunk lost":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", control.ResetByPeer, 0},
		"of HTTP/1.0":                  {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", control.OK, 0},
		"204 with a body":              {"HTTP/1.1 204 No Content\r\n\r\nok", control.Errored, 0},
		"304 with a body":              {"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\nok", control.Errored, 0},
		"two lengths":                  {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok", control.ResetByPeer, 0},
		"an odd chunk":                 {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n", control.ResetByPeer, 0},
		"more behind":                  {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\noknoise", control.OK, 0},
		"a second copy":                {strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2), control.OK, 0},
		"interim without end":          {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 9000), control.ResetByPeer, 0},
		"switched":                     {"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.ResetByPeer, 0},
		"half a line ahead":            {"HTTP/1.1 2HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.ResetByPeer, 0},
		"most of a line ahead":         {"HTTP/1.1 200 OHTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nok", control.ResetByPeer, 0},
		"a line ahead":                 {"noise\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.ResetByPeer, 0},
		"a field cut ahead":            {"HTTP/1.1 200 OK\r\nContent-LenHTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nok", control.ResetByPeer, 0},
		"an end of a line ahead":       {"\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.ResetByPeer, 0},
		"refused":                      {"", control.ConnectFailed, 0},
	} {
		for end, reset := range map[string]bool{"": false, ", reset": true} {
			t.Run(name+end, func(t *testing.T) {
				endpoint, want := refusing.Addr().String(), tc.want
				if tc.answer != "" {
					endpoint = startRawServer(t, tc.answer, reset)
				}
				if reset && tc.reset != 0 {
					want = tc.reset
				}
				upstream := newTestUpstream(testkit.Patience, limits.NewSocketLimiter(1024))
				ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
				defer cancel()
				if outcome := upstream.AttemptHTTP1(ctx, upstream.NewPool(endpoint, ProtocolHTTP1), newMessage(t, []byte("body"))); outcome.Reason != want {
					t.Errorf("%d (%v), not %d", outcome.Reason, outcome.Err, want)
				} else if outcome.Reason == control.OK && string(outcome.Body) != "ok" {
					t.Errorf("body %q", outcome.Body)
				}
			})
		}
	}
}

// What breaks before its last byte is written has not run.
func TestBrokenWriteHasNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			conn.Read(make([]byte, 1))
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}()
	upstream := newTestUpstream(testkit.Patience, limits.NewSocketLimiter(1024))
	ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
	defer cancel()
	if outcome := upstream.AttemptHTTP1(ctx, upstream.NewPool(listener.Addr().String(), ProtocolHTTP1), newMessage(t, make([]byte, 64<<20))); outcome.Reason != control.ConnectFailed {
		t.Errorf("%d (%v)", outcome.Reason, outcome.Err)
	}
}

// A peer that takes nothing, or answers nothing, holds an attempt no longer than its time; what is told of the
// request is what the peer may find of it later.
func TestAttemptAtSilentServerEndsAtItsDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts in the kernel only
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for name, tc := range map[string]struct {
		body []byte
		want control.Reason
	}{
		"takes nothing":   {make([]byte, 64<<20), control.ConnectFailed},
		"answers nothing": {[]byte("body"), control.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			sockets := limits.NewSocketLimiter(1024)
			upstream := newTestUpstream(testkit.Patience, sockets)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if outcome := upstream.AttemptHTTP1(ctx, upstream.NewPool(listener.Addr().String(), ProtocolHTTP1), newMessage(t, tc.body)); outcome.Reason != tc.want {
				t.Errorf("%d (%v), not %d", outcome.Reason, outcome.Err, tc.want)
			}
			if n := sockets.InUse(); n != 0 {
				t.Errorf("%d connections left open", n)
			}
			// What the system had taken comes all the same, once the peer reads: a request that can be begun may yet run.
			conn, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetReadDeadline(time.Now().Add(testkit.Patience))
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, err = io.Copy(io.Discard, req.Body)
			}
			if isComplete := err == nil; isComplete != (tc.want == control.TimedOut) {
				t.Errorf("the request came whole: %v (%v)", isComplete, err)
			}
		})
	}
}

func TestCancelledAttempt(t *testing.T) {
	received := make(chan struct{})
	app := testkit.NewApp(t, func(_ http.ResponseWriter, r *http.Request) {
		close(received)
		<-r.Context().Done() // the edge node closes its connection
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	upstream := newTestUpstream(testkit.Patience, limits.NewSocketLimiter(1024))
	if outcome := upstream.AttemptHTTP1(ctx, upstream.NewPool(app.Listener.Addr().String(), ProtocolHTTP1), newMessage(t, nil)); outcome.Reason != control.Cancelled {
		t.Errorf("%d (%v)", outcome.Reason, outcome.Err)
	}
}

// The connection that is used again is an open one: one that the app server has closed
// while it stood idle would end the next request as a reset.
func TestIdleConnectionIsReusedWhileOpen(t *testing.T) {
	var hijack bool
	var from []string
	conns := make(map[string]net.Conn)
	app := testkit.NewApp(t, func(w http.ResponseWriter, r *http.Request) {
		from = append(from, r.RemoteAddr)
		if !hijack {
			testkit.Served(w, r)
			return
		}
		conn := testkit.Hijack(w)
		conns[r.RemoteAddr] = conn
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	sockets := limits.NewSocketLimiter(1024)
	upstream := newTestUpstream(2*testkit.Patience, sockets)
	pool := upstream.NewPool(app.Listener.Addr().String(), ProtocolHTTP1)
	try := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
		defer cancel()
		if outcome := upstream.AttemptHTTP1(ctx, pool, newMessage(t, nil)); outcome.Reason != control.OK {
			t.Fatalf("%d (%v)", outcome.Reason, outcome.Err)
		}
	}
	try()
	hijack = true
	try()
	if from[0] != from[1] {
		t.Error("an open connection was not used again")
	}
	idle := pool.idle[0]
	conns[from[1]].Close()
	for end := time.Now().Add(testkit.Patience); idle.isQuiet() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	hijack = false
	try()
	if from[2] == from[1] {
		t.Error("a closed connection was used again")
	}
	upstream.maxIdleTime = 0 // all have idled for too long
	try()
	if from[3] == from[2] {
		t.Error("an old connection was used again")
	}
	if n := sockets.InUse(); n != 1 {
		t.Errorf("%d connections open, not the last alone", n)
	}
}

func TestReportHeaders(t *testing.T) {
	outcome := Outcome{Header: http.Header{
		protocol.HeaderQuotaUsed: {"85"}, protocol.HeaderTrueCost: {"3"},
		protocol.HeaderBackendLoad: {"inflight=7,queue=2, util=0.61,latency_ms=12.5,colour=red,qps=x"},
	}}
	if outcome.QuotaUsage() != 86 || outcome.ActualUnits(4) != 3 {
		t.Errorf("used %d, cost %g", outcome.QuotaUsage(), outcome.ActualUnits(4))
	}
	if report := *outcome.LoadReport(); report != (control.LoadReport{InFlight: 7, Queued: 2, Utilization: 0.61, MeanLatencyMS: 12.5, RequestsPerSecond: -1, ErrorsPerSecond: -1}) {
		t.Errorf("load %+v", report)
	}
	for _, invalid := range []string{"", "x", "-1", "NaN", "1e400", "1e300", "99999", "inflight=-1,util=NaN", "queue=1e300"} {
		outcome := Outcome{Header: http.Header{protocol.HeaderQuotaUsed: {invalid}, protocol.HeaderTrueCost: {invalid}, protocol.HeaderBackendLoad: {invalid}}}
		if outcome.QuotaUsage() != 0 || outcome.ActualUnits(4) != 0 || outcome.LoadReport() != nil {
			t.Errorf("%q: used %d, cost %g", invalid, outcome.QuotaUsage(), outcome.ActualUnits(4))
		}
	}
}

// A node that is out of descriptors doesn't hold it against the app server.
func TestMissingDescriptorIsNotServerFault(t *testing.T) {
	app := testkit.NewApp(t, testkit.Served)
	sockets := limits.NewSocketLimiter(0)
	sockets.SetLimit(0)
	upstream := newTestUpstream(testkit.Patience, sockets)
	if outcome := upstream.AttemptHTTP1(context.Background(), upstream.NewPool(app.Listener.Addr().String(), ProtocolHTTP1), newMessage(t, nil)); outcome.Reason != control.NotSent || app.Count() > 0 {
		t.Errorf("%d (%v)", outcome.Reason, outcome.Err)
	}
}

// Near the limit an idle connection goes for a new one.
func TestIdleConnectionIsEvictedAtSocketLimit(t *testing.T) {
	app := testkit.NewApp(t, testkit.Served)
	other := testkit.NewApp(t, testkit.Served)
	sockets := limits.NewSocketLimiter(0)
	sockets.SetLimit(1)
	upstream := newTestUpstream(2*testkit.Patience, sockets)
	for _, next := range []*testkit.App{app, other, app} {
		ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
		if outcome := upstream.AttemptHTTP1(ctx, upstream.NewPool(next.Listener.Addr().String(), ProtocolHTTP1), newMessage(t, nil)); outcome.Reason != control.OK {
			t.Errorf("%d (%v)", outcome.Reason, outcome.Err)
		}
		cancel()
		if n := sockets.InUse(); n != 1 {
			t.Errorf("%d connections open", n)
		}
	}
}

// An answer that stops half way, or says that it is too long, is a reset as soon as that is
// known: the connection stays open and silent, and the attempt must not wait for its time.
func TestIncompleteAnswerIsReset(t *testing.T) {
	for name, text := range map[string]string{
		"in its head":       "HTTP/1.1 200 OK\r\nContent-Le",
		"in its body":       "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"in a chunk":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
		"of no length":      "HTTP/1.1 200 OK\r\n\r\nok",
		"of 3 GB":           "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
		"behind an interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
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
			upstream := newTestUpstream(testkit.Patience, sockets)
			ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
			defer cancel()
			outcome := upstream.AttemptHTTP1(ctx, upstream.NewPool(app.Listener.Addr().String(), ProtocolHTTP1), newMessage(t, nil))
			if outcome.Reason != control.ResetByPeer || ctx.Err() != nil {
				t.Errorf("%d (%v)", outcome.Reason, outcome.Err)
			}
			if n := sockets.InUse(); n != 0 {
				t.Errorf("%d connections left open", n)
			}
		})
	}
}

// An interim answer starts no clock: the answer itself may take its time.
func TestInterimAnswerStartsNoTimeout(t *testing.T) {
	t.Parallel()
	app := testkit.NewApp(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		time.Sleep(answerCompletionTimeout + answerCompletionTimeout/3) // has to pass
		io.WriteString(w, "ok")
	})
	upstream := newTestUpstream(testkit.Patience, limits.NewSocketLimiter(1024))
	ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
	defer cancel()
	if outcome := upstream.AttemptHTTP1(ctx, upstream.NewPool(app.Listener.Addr().String(), ProtocolHTTP1), newMessage(t, nil)); outcome.Reason != control.OK || string(outcome.Body) != "ok" {
		t.Errorf("%d (%v) %q", outcome.Reason, outcome.Err, outcome.Body)
	}
}

// The clock of one answer's rest is none of the next attempt's on that connection.
func TestAnswerTimeoutEndsWithItsAnswer(t *testing.T) {
	t.Parallel()
	requests := 0
	app := testkit.NewApp(t, func(w http.ResponseWriter, _ *http.Request) {
		if requests++; requests > 1 {
			time.Sleep(answerCompletionTimeout + answerCompletionTimeout/3) // has to pass
		}
		io.WriteString(w, "o")
		w.(http.Flusher).Flush() // a chunk of its own, so that there is a rest to wait for
		io.WriteString(w, "k")
	})
	upstream := newTestUpstream(2*testkit.Patience, limits.NewSocketLimiter(1024))
	pool := upstream.NewPool(app.Listener.Addr().String(), ProtocolHTTP1)
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
		if outcome := upstream.AttemptHTTP1(ctx, pool, newMessage(t, nil)); outcome.Reason != control.OK || string(outcome.Body) != "ok" {
			t.Errorf("%d (%v) %q", outcome.Reason, outcome.Err, outcome.Body)
		}
		cancel()
	}
	if n := upstream.SocketLimiter.(*limits.SocketLimiter).InUse(); n != 1 {
		t.Errorf("%d connections, not the same one", n)
	}
}

// What comes behind an answer, before or after its connection is pooled, is never the next
// answer.
func TestExtraBytesAreNotNextAnswer(t *testing.T) {
	const good, noise = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"
	first := make(chan net.Conn, 1)
	requests := 0
	app := testkit.NewApp(t, func(w http.ResponseWriter, _ *http.Request) {
		if requests++; requests > 1 {
			io.WriteString(w, "ok")
			return
		}
		conn := testkit.Hijack(w)
		io.WriteString(conn, good)
		first <- conn
	})
	upstream := newTestUpstream(2*testkit.Patience, limits.NewSocketLimiter(1024))
	pool := upstream.NewPool(app.Listener.Addr().String(), ProtocolHTTP1)
	for i := range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
		outcome := upstream.AttemptHTTP1(ctx, pool, newMessage(t, nil))
		cancel()
		if outcome.Reason != control.OK || string(outcome.Body) != "ok" {
			t.Errorf("%d (%v) %q", outcome.Reason, outcome.Err, outcome.Body)
		}
		if i > 0 {
			break
		}
		conn := testkit.Next(t, first)
		defer conn.Close()
		idle := idleConnections(upstream)[0]
		io.WriteString(conn, noise)
		// quiet reads a byte; there has to be one left for try to find.
		for end := time.Now().Add(testkit.Patience); idle.isQuiet() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
}
