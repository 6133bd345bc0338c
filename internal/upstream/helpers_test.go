package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testkit"
)

// newTestUpstream creates an Upstream whose idle connections are evicted when the limit of sockets is reached.
func newTestUpstream(keepalive time.Duration, sockets *limits.SocketLimiter) *Upstream {
	upstream := New(Options{ConnectTimeout: testkit.WaitTimeout, KeepAliveTimeout: keepalive, SocketLimiter: sockets})
	sockets.SetEvictFuncs(nil, upstream.Evict)
	return upstream
}

// newHTTP2Upstream creates an Upstream for HTTP/2, with defaults for options that are zero.
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

// idleConnections returns the idle HTTP/1.1 connections.
func idleConnections(upstream *Upstream) []*serverConn {
	var all []*serverConn
	upstream.closeIdleIf(func(conn *serverConn) bool { all = append(all, conn); return false })
	return all
}

// newPOSTRequest creates a POST request with a body.
func newPOSTRequest(t *testing.T, body []byte) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://origin.svc/visit-update", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return req
}

// newUpdate creates a request of the platform's protocol with an idempotency key.
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

// startRawServer starts an app server that sends the same bytes in response to each request and then closes or resets
// the connection. It returns the server's address.
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

// serveConnections listens until the test ends, calls serve for each connection, and returns the address.
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
