package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/testsupport/testkit"
)

// TestUnusedConnectionKeepsItsIdleTime checks that a connection on which an attempt wrote nothing needs no quiet period
// and keeps its idle time, since the server's idle timeout continues.
func TestUnusedConnectionKeepsItsIdleTime(t *testing.T) {
	const age = time.Second
	server := newScriptedServer(t)
	server.upstream.QuietPeriod = testkit.WaitTimeout
	attemptLate := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(WithWriteDeadline(t.Context(), time.Now()), testkit.WaitTimeout)
		defer cancel()
		if outcome := server.upstream.AttemptHTTP1(ctx, server.pool, newPOSTRequest(t, nil)); outcome.Reason != control.NotSent {
			t.Fatalf("reason %d (%v)", outcome.Reason, outcome.Err)
		}
	}
	attemptLate() // over a new connection
	conn := idleConnections(server.upstream)[0]
	conn.idleSince = conn.idleSince.Add(-age)
	idleSince := conn.idleSince
	if attemptLate(); conn.idleSince != idleSince {
		t.Errorf("idle time reduced by %v", conn.idleSince.Sub(idleSince))
	}
	server.startRequest()
	server.respond(okResponse)
	if all := idleConnections(server.upstream); len(all) != 1 || all[0] != conn {
		t.Error("an idle connection without an earlier request was not reused")
	}
}

// TestIdleConnectionIsReusedWhileOpen checks that an idle connection is reused, unless the server has closed it or it
// is too old: the next request on such a connection would end as a reset.
func TestIdleConnectionIsReusedWhileOpen(t *testing.T) {
	var hijack bool
	var clientAddresses []string
	conns := make(map[string]net.Conn)
	app := testkit.NewApp(t, func(w http.ResponseWriter, r *http.Request) {
		clientAddresses = append(clientAddresses, r.RemoteAddr)
		if !hijack {
			testkit.AnswerServed(w, r)
			return
		}
		conn := testkit.Hijack(w)
		conns[r.RemoteAddr] = conn
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	sockets := limits.NewSocketLimiter(1024)
	upstream := newTestUpstream(2*testkit.WaitTimeout, sockets)
	pool := upstream.NewPool(app.Listener.Addr().String(), ProtocolHTTP1)
	attempt := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
		defer cancel()
		if outcome := upstream.AttemptHTTP1(ctx, pool, newPOSTRequest(t, nil)); outcome.Reason != control.OK {
			t.Fatalf("reason %d (%v)", outcome.Reason, outcome.Err)
		}
	}
	attempt()
	hijack = true
	attempt()
	if clientAddresses[0] != clientAddresses[1] {
		t.Error("an open connection was not reused")
	}
	idle := pool.idle[0]
	conns[clientAddresses[1]].Close()
	for end := time.Now().Add(testkit.WaitTimeout); idle.isOpenAndEmpty() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	hijack = false
	attempt()
	if clientAddresses[2] == clientAddresses[1] {
		t.Error("a closed connection was reused")
	}
	upstream.maxIdleTime = 0 // every idle connection is now too old
	attempt()
	if clientAddresses[3] == clientAddresses[2] {
		t.Error("a connection past its idle time was reused")
	}
	if n := sockets.InUse(); n != 1 {
		t.Errorf("%d connections open, want only the last one", n)
	}
}

// TestMissingDescriptorIsNotServerFault checks that an attempt that gets no file descriptor counts as not sent.
func TestMissingDescriptorIsNotServerFault(t *testing.T) {
	app := testkit.NewApp(t, testkit.AnswerServed)
	sockets := limits.NewSocketLimiter(0)
	sockets.SetLimit(0)
	upstream := newTestUpstream(testkit.WaitTimeout, sockets)
	if outcome := upstream.AttemptHTTP1(context.Background(), upstream.NewPool(app.Listener.Addr().String(), ProtocolHTTP1), newPOSTRequest(t, nil)); outcome.Reason != control.NotSent || app.Count() > 0 {
		t.Errorf("reason %d (%v)", outcome.Reason, outcome.Err)
	}
}

// TestIdleConnectionIsEvictedAtSocketLimit checks that at the limit of sockets an idle connection is closed to make room
// for a new one.
func TestIdleConnectionIsEvictedAtSocketLimit(t *testing.T) {
	app := testkit.NewApp(t, testkit.AnswerServed)
	other := testkit.NewApp(t, testkit.AnswerServed)
	sockets := limits.NewSocketLimiter(0)
	sockets.SetLimit(1)
	upstream := newTestUpstream(2*testkit.WaitTimeout, sockets)
	for _, next := range []*testkit.App{app, other, app} {
		ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
		if outcome := upstream.AttemptHTTP1(ctx, upstream.NewPool(next.Listener.Addr().String(), ProtocolHTTP1), newPOSTRequest(t, nil)); outcome.Reason != control.OK {
			t.Errorf("reason %d (%v)", outcome.Reason, outcome.Err)
		}
		cancel()
		if n := sockets.InUse(); n != 1 {
			t.Errorf("%d connections open, want 1", n)
		}
	}
}
