package upstream

import (
	"context"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/certs"
	"lockflow/internal/limits"
	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testkit"
)

// TestRequestsShareHTTP2Connections checks that many concurrent requests share few connections, within the server's
// limit of streams.
func TestRequestsShareHTTP2Connections(t *testing.T) {
	server := startHTTP2(t, fake.HTTP2Server{UID: "s", Streams: 50})
	upstream := newHTTP2Upstream(HTTP2Options{MaxStreams: 100, MaxConnections: 2})
	pool := upstream.NewPool(server.Addr(), ProtocolHTTP2)
	var all sync.WaitGroup
	for i := range 80 {
		all.Go(func() {
			if outcome := newUpdate(fmt.Sprint(i), "swap").Attempt(t.Context(), t.Context(), upstream, pool); outcome.Reason != control.OK || outcome.LoadReport() == nil {
				t.Errorf("reason %v, %v", outcome.Reason, outcome.Err)
			}
		})
	}
	all.Wait()
	if opened, maxOpen := server.Dials(); opened > 2 || maxOpen > 2 {
		t.Errorf("%d connections, %d at once; want at most 2", opened, maxOpen)
	}
	upstream.RetirePool(pool)
	testkit.Until(t, "release of all sockets", func() bool { return upstream.SocketLimiter.(*limits.SocketLimiter).InUse() == 0 })
}

// TestAttemptWithoutFreeStreamEndsAtOnce checks that an attempt ends as not sent, without waiting, if the server allows
// no streams.
func TestAttemptWithoutFreeStreamEndsAtOnce(t *testing.T) {
	address := serveConnections(t, func(conn net.Conn) {
		io.WriteString(conn, "\x00\x00\x06\x04\x00\x00\x00\x00\x00\x00\x03\x00\x00\x00\x00") // SETTINGS frame that allows no streams
		io.Copy(io.Discard, conn)
	})
	upstream := newHTTP2Upstream(HTTP2Options{})
	started := time.Now()
	outcome := newUpdate("a", "").Attempt(t.Context(), t.Context(), upstream, upstream.NewPool(address, ProtocolHTTP2))
	if outcome.Reason != control.NotSent || !errors.Is(outcome.Err, errNoStream) || time.Since(started) > upstream.ConnectTimeout/2 {
		t.Errorf("reason %v, %v after %v", outcome.Reason, outcome.Err, time.Since(started))
	}
}

// TestRetiredPoolIsNotDialed checks that no connection is made to a server that has been removed.
func TestRetiredPoolIsNotDialed(t *testing.T) {
	server := startHTTP2(t, fake.HTTP2Server{UID: "s"})
	upstream := newHTTP2Upstream(HTTP2Options{})
	pool := upstream.NewPool(server.Addr(), ProtocolHTTP2)
	upstream.RetirePool(pool)
	if outcome := newUpdate("a", "").Attempt(t.Context(), t.Context(), upstream, pool); outcome.Reason != control.ConnectFailed || !errors.Is(outcome.Err, errServerRemoved) || upstream.SocketLimiter.(*limits.SocketLimiter).InUse() != 0 {
		t.Errorf("reason %v, %v", outcome.Reason, outcome.Err)
	}
}

// TestFallbackToHTTP1 checks that HTTP/1.1 is used for the fallback period with a server that does not support HTTP/2,
// and only if the protocol setting allows it.
func TestFallbackToHTTP1(t *testing.T) {
	app := testkit.NewApp(t, testkit.AnswerServed)
	upstream := newHTTP2Upstream(HTTP2Options{})
	pool := upstream.NewPool(app.Addr(), ProtocolPreferHTTP2)
	for i := range 3 {
		if outcome := newUpdate(fmt.Sprint(i), "swap").Attempt(t.Context(), t.Context(), upstream, pool); outcome.Reason != control.OK {
			t.Errorf("reason %v, %v", outcome.Reason, outcome.Err)
		}
	}
	if n := app.Dials(); n != 2 {
		t.Errorf("%d connections, want 2: the HTTP/2 attempt and the HTTP/1.1 connection", n)
	}
	if got := upstream.HTTP2Status(); *got != (HTTP2Status{FallbackServers: 1}) {
		t.Errorf("status %+v", *got)
	}
	requests := func() (n int) {
		for _, request := range app.Requests() {
			if !strings.HasPrefix(request, "PRI") { // the HTTP/2 connection preface, parsed as an HTTP/1.1 request
				n++
			}
		}
		return n
	}
	if n := requests(); n != 3 {
		t.Errorf("%d requests, want 3", n)
	}
	pool.shared.http1Until = time.Now() // the fallback period is over, and the server still supports HTTP/1.1 only
	if outcome := newUpdate("4", "swap").Attempt(t.Context(), t.Context(), upstream, pool); outcome.Reason != control.OK || app.Dials() != 3 {
		t.Errorf("reason %v, %v; %d connections", outcome.Reason, outcome.Err, app.Dials())
	}
	if upstream = newHTTP2Upstream(HTTP2Options{}); upstream.HTTP2Status() != nil {
		t.Error("HTTP/2 status present although no pool uses HTTP/2")
	}
	if outcome := newUpdate("5", "swap").Attempt(t.Context(), t.Context(), upstream, upstream.NewPool(app.Addr(), ProtocolHTTP2)); outcome.Reason != control.ConnectFailed || requests() != 4 {
		t.Errorf("reason %v, %v; %d requests", outcome.Reason, outcome.Err, requests())
	}
}

// TestCancelledStreamLeavesConnectionUsable checks that the stream of a cancelled attempt is reset, and that its
// connection serves the next request.
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
			n, _ := target.Read(b) // the settings; later frames are held back until resume is closed
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
			if all += n; all > 300 { // more than the preface and settings: a request has arrived
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
		t.Errorf("reason %v, %v", outcome.Reason, outcome.Err)
	}
	close(resume)
	if outcome := newUpdate("next", "").Attempt(t.Context(), t.Context(), upstream, pool); outcome.Reason != control.OK || outcome.IsDialed {
		t.Errorf("reason %v, %v, dialed %v", outcome.Reason, outcome.Err, outcome.IsDialed)
	}
}

// startTLSServer starts a server that records the protocol of its latest request and counts its connections.
func startTLSServer(hasHTTP2 bool, dials *atomic.Int64, proto *atomic.Value) *httptest.Server {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		proto.Store(r.Proto)
		testkit.AnswerServed(w, r)
	}))
	server.EnableHTTP2 = hasHTTP2
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			dials.Add(1)
		}
	}
	server.StartTLS()
	return server
}

// writeAuthority writes a server's certificate to a file as a certificate authority, and returns the file's path.
func writeAuthority(t *testing.T, server *httptest.Server) string {
	t.Helper()
	authority := filepath.Join(t.TempDir(), "ca")
	encoded := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	if err := os.WriteFile(authority, encoded, 0o600); err != nil {
		t.Fatal(err)
	}
	return authority
}

// TestProtocolNegotiationOverTLS checks that the protocol is negotiated over TLS, that connections are reused and shared
// as they are without TLS, and that a server whose certificate has another name is rejected.
func TestProtocolNegotiationOverTLS(t *testing.T) {
	for _, tc := range []struct {
		name           string
		protocol       Protocol
		serverHasHTTP2 bool // whether the server supports HTTP/2
		want           control.Reason
		proto          string
		dials          int64
	}{
		{"HTTP/2", ProtocolHTTP2, true, control.OK, "HTTP/2.0", 1},
		{"HTTP/2 not supported", ProtocolHTTP2, false, control.ConnectFailed, "", 3},
		{"prefer HTTP/2, supported", ProtocolPreferHTTP2, true, control.OK, "HTTP/2.0", 1},
		{"prefer HTTP/2, not supported", ProtocolPreferHTTP2, false, control.OK, "HTTP/1.1", 2},
		{"HTTP/1.1", ProtocolHTTP1, true, control.OK, "HTTP/1.1", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var dials atomic.Int64
			var proto atomic.Value
			server := startTLSServer(tc.serverHasHTTP2, &dials, &proto)
			defer server.Close()
			authority := writeAuthority(t, server)
			certificates, err := certs.Load(certs.Options{CA: authority, Name: "example.com"})
			if err != nil {
				t.Fatal(err)
			}
			upstream := newHTTP2Upstream(HTTP2Options{})
			upstream.TLS = certificates
			pool := upstream.NewPool(server.Listener.Addr().String(), tc.protocol)
			for i := range 3 {
				outcome := newUpdate(fmt.Sprint(i), "swap").Attempt(t.Context(), t.Context(), upstream, pool)
				if outcome.Reason != tc.want || tc.want == control.OK && proto.Load() != tc.proto {
					t.Errorf("reason %v, %v over %v", outcome.Reason, outcome.Err, proto.Load())
				}
			}
			if n := dials.Load(); n != tc.dials {
				t.Errorf("%d connections dialed", n)
			}
			upstream.TLS, err = certs.Load(certs.Options{CA: authority, Name: "other.example"})
			if err != nil {
				t.Fatal(err)
			}
			if outcome := newUpdate("other", "").Attempt(t.Context(), t.Context(), upstream, upstream.NewPool(pool.Endpoint, tc.protocol)); outcome.Reason != control.ConnectFailed {
				t.Errorf("certificate with another name: reason %v, %v", outcome.Reason, outcome.Err)
			}
			upstream.RetirePool(pool)
			testkit.Until(t, "release of all sockets", func() bool { return upstream.SocketLimiter.(*limits.SocketLimiter).InUse() == 0 })
		})
	}
}
