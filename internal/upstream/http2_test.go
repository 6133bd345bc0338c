package upstream

import (
	"context"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/certs"
	"lockflow/internal/fake"
	"lockflow/internal/h2"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/responseclass"
	"lockflow/internal/retrybuffer"
	"lockflow/internal/testkit"
)

func newHTTP2Upstream(options HTTP2Options) *Upstream {
	options.FallbackPeriod = time.Minute
	if options.MaxConnections == 0 {
		options.MaxConnections = 2
	}
	if options.MaxStreams == 0 {
		options.MaxStreams = 8
	}
	options.StartsAtLastByte = true
	return New(Options{ConnectTimeout: 5 * time.Second, KeepAliveTimeout: time.Minute, SocketLimiter: limits.NewSocketLimiter(1000), HTTP2: options})
}

func newUpdate(id string, body string) *BufferedRequest {
	req, err := http.NewRequest(http.MethodPost, "http://origin.svc/visit-update?account=1", nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set(protocol.HeaderID, id)
	req.Header.Set(protocol.HeaderIdempotencyKey, "key-"+id)
	return &BufferedRequest{Request: req, Body: []byte(body)}
}

func startHTTP2(t *testing.T, settings fake.HTTP2Server) *fake.RunningHTTP2 {
	t.Helper()
	server, err := settings.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

// playFaultyServer plays a burst of updates against a server that goes wrong by seed, each tried again only
// where it is told never to have run, or where trusting is true, also where its stream broke. It
// tells what speaks against the rules.
func playFaultyServer(t *testing.T, seed uint64, trusting bool) (wrong []string) {
	random := rand.New(rand.NewPCG(seed, 77))
	faults := fake.HTTP2Faults{Refuse: 0.1, Reset: 0.05, Error: 0.05, Lower: 0.1, GoAway: 0.1, CutRead: 0.3, CutSent: 0.3}
	server, err := fake.HTTP2Server{UID: "s", Seed: seed, Faults: faults, Streams: uint32(1 + random.IntN(8))}.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	upstream := newHTTP2Upstream(HTTP2Options{MaxStreams: 1 + random.IntN(8), MaxConnections: 1 + random.IntN(3)})
	pool := upstream.NewPool(server.Addr(), ProtocolHTTP2)
	var mu sync.Mutex
	report := func(format string, args ...any) {
		mu.Lock()
		wrong = append(wrong, fmt.Sprintf(format, args...))
		mu.Unlock()
	}
	var all sync.WaitGroup
	for i := range 12 {
		id, body := fmt.Sprint("r", i), strings.Repeat("x", random.IntN(400))
		all.Go(func() {
			buffered := newUpdate(id, body)
			knownRuns := 0 // attempts that ran, by what was told of them
			for try := 0; try < 30; try++ {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				outcome := buffered.Attempt(ctx, ctx, upstream, pool)
				cancel()
				ran := server.Tally.Runs(id) - knownRuns
				var end *h2.StreamError
				errors.As(outcome.Err, &end)
				switch outcome.Reason {
				case control.OK, control.Errored:
					if ran != 1 || outcome.Reason == control.OK && string(outcome.Body) != "s "+id {
						report("%s: %v %q, and it ran %d times", id, outcome.Reason, outcome.Body, ran)
					}
					return
				case control.RejectedByServer, control.ConnectFailed, control.NotSent:
					if ran != 0 {
						report("%s: told that it never ran (%v, %v), and it ran", id, outcome.Reason, outcome.Err)
						return
					}
				case control.ResetByPeer:
					// Of what never ran only that is not told which went out whole, where all that came back
					// is the end of the connection.
					if ran == 0 && (end == nil || end.End != h2.Broke || end.Moment != h2.Sent) {
						report("%s: it never ran, which could be known: %v", id, outcome.Err)
					}
					if knownRuns += ran; !trusting {
						return
					}
				default:
					report("%s: %v, %v", id, outcome.Reason, outcome.Err)
					return
				}
			}
		})
	}
	all.Wait()
	upstream.RetirePool(pool)
	if counts := server.Tally.Counts(); counts.Twice > 0 || counts.Again > 0 || counts.MostAtOne > 1 {
		report("%+v", counts)
	}
	return wrong
}

// A server that closes at any byte, refuses, goes away in any way and changes its limits, in the
// middle of a burst of updates: none runs twice, and what never ran is known to.
func TestUpdatesRunOnceOnFaultyServer(t *testing.T) {
	seeds := 300
	if n, err := strconv.Atoi(os.Getenv("LOCKFLOW_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		if wrong := playFaultyServer(t, seed, false); len(wrong) > 0 {
			t.Fatalf("seed %d: %s", seed, strings.Join(wrong, "\n"))
		}
	}
}

// Whoever takes a broken stream for one that never ran is found.
func TestFaultyServerFindsRetriesOfBrokenStreams(t *testing.T) {
	for seed := range uint64(100) {
		if len(playFaultyServer(t, seed, true)) > 0 {
			return
		}
	}
	t.Error("100 seeds, and no update ran twice")
}

// Many requests at once share few connections, within the server's limit.
func TestRequestsShareHTTP2Connections(t *testing.T) {
	server := startHTTP2(t, fake.HTTP2Server{UID: "s", Streams: 50})
	upstream := newHTTP2Upstream(HTTP2Options{MaxStreams: 100, MaxConnections: 2})
	pool := upstream.NewPool(server.Addr(), ProtocolHTTP2)
	var all sync.WaitGroup
	for i := range 80 {
		all.Go(func() {
			if outcome := newUpdate(fmt.Sprint(i), "swap").Attempt(t.Context(), t.Context(), upstream, pool); outcome.Reason != control.OK || outcome.LoadReport() == nil {
				t.Errorf("%v, %v", outcome.Reason, outcome.Err)
			}
		})
	}
	all.Wait()
	if opened, maxOpen := server.Dials(); opened > 2 || maxOpen > 2 {
		t.Errorf("%d connections, %d at once", opened, maxOpen)
	}
	upstream.RetirePool(pool)
	testkit.Until(t, "all descriptors back", func() bool { return upstream.SocketLimiter.(*limits.SocketLimiter).InUse() == 0 })
}

// Where there is no stream to be had, a request goes back to the module.
func TestAttemptWithoutFreeStreamEndsAtOnce(t *testing.T) {
	address := serveConnections(t, func(conn net.Conn) {
		io.WriteString(conn, "\x00\x00\x06\x04\x00\x00\x00\x00\x00\x00\x03\x00\x00\x00\x00") // settings: no streams
		io.Copy(io.Discard, conn)
	})
	upstream := newHTTP2Upstream(HTTP2Options{})
	started := time.Now()
	outcome := newUpdate("a", "").Attempt(t.Context(), t.Context(), upstream, upstream.NewPool(address, ProtocolHTTP2))
	if outcome.Reason != control.NotSent || !errors.Is(outcome.Err, errNoStream) || time.Since(started) > upstream.ConnectTimeout/2 {
		t.Errorf("%v, %v after %v", outcome.Reason, outcome.Err, time.Since(started))
	}
}

// A server that has left the list is not connected to anew.
func TestRetiredPoolIsNotDialed(t *testing.T) {
	server := startHTTP2(t, fake.HTTP2Server{UID: "s"})
	upstream := newHTTP2Upstream(HTTP2Options{})
	pool := upstream.NewPool(server.Addr(), ProtocolHTTP2)
	upstream.RetirePool(pool)
	if outcome := newUpdate("a", "").Attempt(t.Context(), t.Context(), upstream, pool); outcome.Reason != control.ConnectFailed || !errors.Is(outcome.Err, errServerRemoved) || upstream.SocketLimiter.(*limits.SocketLimiter).InUse() != 0 {
		t.Errorf("%v, %v", outcome.Reason, outcome.Err)
	}
}

// serveConnections serves each connection, until the test ends.
func serveConnections(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			stop := context.AfterFunc(t.Context(), func() { conn.Close() })
			all.Go(func() { serve(conn); conn.Close(); stop() })
		}
	})
	t.Cleanup(func() { listener.Close(); all.Wait() })
	return listener.Addr().String()
}

// A server that speaks HTTP/1.1 is spoken to so, for a time, and only where that is allowed.
func TestFallbackToHTTP1(t *testing.T) {
	app := testkit.NewApp(t, testkit.Served)
	upstream := newHTTP2Upstream(HTTP2Options{})
	pool := upstream.NewPool(app.Addr(), ProtocolPreferHTTP2)
	for i := range 3 {
		if outcome := newUpdate(fmt.Sprint(i), "swap").Attempt(t.Context(), t.Context(), upstream, pool); outcome.Reason != control.OK {
			t.Errorf("%v, %v", outcome.Reason, outcome.Err)
		}
	}
	if n := app.Dials(); n != 2 {
		t.Errorf("%d connections: one to try, one to use", n)
	}
	if got := upstream.HTTP2Status(); *got != (HTTP2Status{FallbackServers: 1}) {
		t.Errorf("%+v", *got)
	}
	requests := func() (n int) {
		for _, request := range app.Requests() {
			if !strings.HasPrefix(request, "PRI") { // the beginning of HTTP/2, as HTTP/1.1 reads it
				n++
			}
		}
		return n
	}
	if n := requests(); n != 3 {
		t.Errorf("%d requests", n)
	}
	pool.shared.http1Until = time.Now() // the time is over, and the server still as it was
	if outcome := newUpdate("4", "swap").Attempt(t.Context(), t.Context(), upstream, pool); outcome.Reason != control.OK || app.Dials() != 3 {
		t.Errorf("%v, %v; %d connections", outcome.Reason, outcome.Err, app.Dials())
	}
	if upstream = newHTTP2Upstream(HTTP2Options{}); upstream.HTTP2Status() != nil {
		t.Error("connections that nobody asked for")
	}
	if outcome := newUpdate("5", "swap").Attempt(t.Context(), t.Context(), upstream, upstream.NewPool(app.Addr(), ProtocolHTTP2)); outcome.Reason != control.ConnectFailed || requests() != 4 {
		t.Errorf("%v, %v; %d requests", outcome.Reason, outcome.Err, requests())
	}
}

// A request whose time is up is reset; the connection and the other requests on it go on.
func TestCancelledStreamLeavesConnectionUsable(t *testing.T) {
	server := startHTTP2(t, fake.HTTP2Server{UID: "s"})
	received := make(chan struct{}, 1)
	resume := make(chan struct{})
	address := serveConnections(t, func(conn net.Conn) {
		target, err := net.Dial("tcp", server.Addr())
		if err != nil {
			return
		}
		defer target.Close()
		go func() {
			defer conn.Close()
			b := make([]byte, 64)
			n, _ := target.Read(b) // the settings; what comes then waits
			conn.Write(b[:n])
			<-resume
			io.Copy(conn, target)
		}()
		b := make([]byte, 4<<10)
		for all := 0; ; {
			n, err := conn.Read(b)
			if err != nil {
				return
			}
			target.Write(b[:n])
			if all += n; all > 300 { // a request has come
				select {
				case received <- struct{}{}:
				default:
				}
			}
		}
	})
	upstream := newHTTP2Upstream(HTTP2Options{MaxConnections: 1})
	pool := upstream.NewPool(address, ProtocolHTTP2)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-received; cancel() }()
	if outcome := newUpdate("late", strings.Repeat("x", 400)).Attempt(ctx, ctx, upstream, pool); outcome.Reason != control.Cancelled {
		t.Errorf("%v, %v", outcome.Reason, outcome.Err)
	}
	close(resume)
	if outcome := newUpdate("next", "").Attempt(t.Context(), t.Context(), upstream, pool); outcome.Reason != control.OK || outcome.IsDialed {
		t.Errorf("%v, %v, dialed %v", outcome.Reason, outcome.Err, outcome.IsDialed)
	}
}

// Over TLS the protocol is agreed on; connections are kept and shared as in the clear.
func TestProtocolNegotiationOverTLS(t *testing.T) {
	for _, tc := range []struct {
		name   string
		speaks Protocol
		h2     bool // the server's
		want   control.Reason
		proto  string
		dials  int64
	}{
		{"HTTP/2", ProtocolHTTP2, true, control.OK, "HTTP/2.0", 1},
		{"HTTP/2 where there is none", ProtocolHTTP2, false, control.ConnectFailed, "", 3},
		{"either, HTTP/2", ProtocolPreferHTTP2, true, control.OK, "HTTP/2.0", 1},
		{"either, HTTP/1.1", ProtocolPreferHTTP2, false, control.OK, "HTTP/1.1", 2},
		{"HTTP/1.1", ProtocolHTTP1, true, control.OK, "HTTP/1.1", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var dials atomic.Int64
			var proto atomic.Value
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				proto.Store(r.Proto)
				testkit.Served(w, r)
			}))
			server.EnableHTTP2 = tc.h2
			server.Config.ErrorLog = log.New(io.Discard, "", 0)
			server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					dials.Add(1)
				}
			}
			server.StartTLS()
			defer server.Close()
			authority := filepath.Join(t.TempDir(), "ca")
			if err := os.WriteFile(authority, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}), 0o600); err != nil {
				t.Fatal(err)
			}
			certificates, err := certs.Load(certs.Options{CA: authority, Name: "example.com"})
			if err != nil {
				t.Fatal(err)
			}
			upstream := newHTTP2Upstream(HTTP2Options{})
			upstream.TLS = certificates
			pool := upstream.NewPool(server.Listener.Addr().String(), tc.speaks)
			for i := range 3 {
				outcome := newUpdate(fmt.Sprint(i), "swap").Attempt(t.Context(), t.Context(), upstream, pool)
				if outcome.Reason != tc.want || tc.want == control.OK && proto.Load() != tc.proto {
					t.Errorf("%v, %v over %v", outcome.Reason, outcome.Err, proto.Load())
				}
			}
			if n := dials.Load(); n != tc.dials {
				t.Errorf("%d connections", n)
			}
			upstream.TLS, err = certs.Load(certs.Options{CA: authority, Name: "other.example"})
			if err != nil {
				t.Fatal(err)
			}
			if outcome := newUpdate("other", "").Attempt(t.Context(), t.Context(), upstream, upstream.NewPool(pool.Endpoint, tc.speaks)); outcome.Reason != control.ConnectFailed {
				t.Errorf("another name: %v, %v", outcome.Reason, outcome.Err)
			}
			upstream.RetirePool(pool)
			testkit.Until(t, "all descriptors back", func() bool { return upstream.SocketLimiter.(*limits.SocketLimiter).InUse() == 0 })
		})
	}
}

// A body that has come whole just behind the head is sent all the same.
func TestBodyCompletedAfterHeadIsSent(t *testing.T) {
	server := startHTTP2(t, fake.HTTP2Server{UID: "s"})
	upstream := newHTTP2Upstream(HTTP2Options{})
	pool := upstream.NewPool(server.Addr(), ProtocolHTTP2)
	request := &RelayedRequest{
		RequestMethod: "POST", Target: "/x", Host: "h", Header: http.Header{protocol.HeaderID: {"a"}}, ContentLength: 4,
		Body: retrybuffer.New(strings.NewReader("body"), 1000, nil), ResponseRules: &responseclass.Rules{}, MaxBufferedBytes: 1000, IdleTimeout: testkit.Patience, AnswerTimeout: testkit.Patience,
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	attempt := &http2Attempt{RelayedRequest: request}
	streamRequest := attempt.newRequest(ctx, "http")
	if b, err := io.ReadAll(request.Body.NewReader()); err != nil || string(b) != "body" || !streamRequest.More {
		t.Fatalf("%q, %v, more %v", b, err, streamRequest.More)
	}
	conn, _, err := upstream.sharedConnectionsOf(pool).acquire(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if attempt.stream, err = conn.Open(streamRequest, BodyWindowBytes, attempt.handleInterim); err != nil {
		t.Fatal(err)
	}
	defer context.AfterFunc(ctx, attempt.abort)()
	if outcome, _ := attempt.exchange(); outcome.Status != 200 || server.Tally.Runs("a") != 1 {
		t.Errorf("%+v, ran %d times", outcome, server.Tally.Runs("a"))
	}
	upstream.RetirePool(pool)
}
