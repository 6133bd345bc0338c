package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/testsupport/testkit"
)

// TestRequestAvoidsConnectionWithPossibleSecondAnswer checks that a request isn't written on a connection where
// a second answer to the last one may still come, even the first that a server sends: it would be taken for the
// request's own.
func TestRequestAvoidsConnectionWithPossibleSecondResponse(t *testing.T) {
	for name, inOneWrite := range map[string]bool{"with its answer": true, "some milliseconds later": false} {
		t.Run(name, func(t *testing.T) {
			server := newScriptedServer(t)
			server.upstream.QuietPeriod = testkit.WaitTimeout
			first := server.startRequest()
			server.respond(okResponse + map[bool]string{true: secondResponse}[inOneWrite])
			second := server.startRequest()
			if second.clientAddress == first.clientAddress {
				t.Error("written where a second answer may still come")
			}
			if !inOneWrite {
				io.WriteString(first, secondResponse)
			}
			server.respond(okResponse)
			server.waitIdle(1)
			// Now that it is known of servers, none is used that rests, however many do.
			used := map[string]bool{second.clientAddress: true}
			for range maxConnectionsInQuietPeriod {
				next := server.startRequest()
				if used[next.clientAddress] {
					t.Error("written where a second answer may still come")
				}
				used[next.clientAddress] = true
				server.respond(okResponse)
			}
			// What has rested is used again.
			server.upstream.QuietPeriod = 0
			if next := server.startRequest(); !used[next.clientAddress] {
				t.Error("one that has rested was not used again")
			}
			server.respond(okResponse)
		})
	}
}

// TestRestingConnectionsAreBounded checks that a limited number of connections rest as long as no server sends
// second answers: the next request takes the one that has rested longest.
func TestConnectionsInQuietPeriodAreBounded(t *testing.T) {
	server := newScriptedServer(t)
	server.upstream.QuietPeriod = testkit.WaitTimeout
	var addresses []string
	for range 2 * maxConnectionsInQuietPeriod {
		addresses = append(addresses, server.startRequest().clientAddress)
		server.respond(okResponse)
	}
	for i, address := range addresses {
		if j := slices.Index(addresses, address); j != i%maxConnectionsInQuietPeriod {
			t.Errorf("request %d went where %d had gone, of %q", i, j, addresses)
		}
	}
}

// rejectedDials is a limiter that admits no new connection.
type rejectedDials struct{}

func (rejectedDials) TryAcquire() bool { return false }
func (rejectedDials) Release()         {}

// TestRestingConnectionIsUsedWhereDialsFail checks that a request takes a resting connection where no new one
// can be made, unless servers are known to send second answers: it would fail although its server has a good
// connection open.
func TestConnectionInQuietPeriodIsUsedWhenDialsFail(t *testing.T) {
	server := newScriptedServer(t)
	server.upstream.QuietPeriod = testkit.WaitTimeout
	first := server.startRequest().clientAddress
	server.respond(okResponse)
	server.upstream.DialLimiter = rejectedDials{}
	if address := server.startRequest().clientAddress; address != first {
		t.Errorf("written to %s, not %s", address, first)
	}
	server.respond(okResponse)
	server.upstream.hasUnsolicitedResponse.Store(true)
	if outcome := server.upstream.AttemptHTTP1(t.Context(), server.pool, newPOSTRequest(t, nil)); outcome.Reason != control.NotSent || !errors.Is(outcome.Err, errDialLimit) {
		t.Errorf("%d (%v)", outcome.Reason, outcome.Err)
	}
}

// TestDelayedSecondAnswerIsSeenAfterQuietPeriod checks that a second answer which the server's system holds back
// until the first one is acknowledged (no TCP_NODELAY) has come when the quiet period ends.
func TestDelayedSecondResponseIsSeenAfterQuietPeriod(t *testing.T) {
	server := newScriptedServer(t)
	var conn receivedRequest
	for range 50 { // then this system no longer acknowledges at once
		conn = server.startRequest()
		conn.Conn.(*net.TCPConn).SetNoDelay(false)
		server.respond(okResponse)
	}
	io.WriteString(conn, secondResponse)
	server.upstream.QuietPeriod = SecondAnswerDelay
	time.Sleep(SecondAnswerDelay) // has to pass
	if next := server.startRequest(); next.clientAddress == conn.clientAddress {
		t.Error("written where a second answer was still to come")
	}
	server.respond(okResponse)
}

// TestExtraBytesAreNotNextAnswer checks that bytes after an answer, before or after its connection becomes idle,
// are never read as the next answer.
func TestExtraBytesAreNotNextResponse(t *testing.T) {
	const okResponse, extraResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"
	firstConn := make(chan net.Conn, 1)
	requests := 0
	app := testkit.NewApp(t, func(w http.ResponseWriter, _ *http.Request) {
		if requests++; requests > 1 {
			io.WriteString(w, "ok")
			return
		}
		conn := testkit.Hijack(w)
		io.WriteString(conn, okResponse)
		firstConn <- conn
	})
	upstream := newTestUpstream(2*testkit.WaitTimeout, limits.NewSocketLimiter(1024))
	pool := upstream.NewPool(app.Listener.Addr().String(), ProtocolHTTP1)
	for i := range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
		outcome := upstream.AttemptHTTP1(ctx, pool, newPOSTRequest(t, nil))
		cancel()
		if outcome.Reason != control.OK || string(outcome.Body) != "ok" {
			t.Errorf("%d (%v) %q", outcome.Reason, outcome.Err, outcome.Body)
		}
		if i > 0 {
			break
		}
		conn := testkit.Next(t, firstConn)
		defer conn.Close()
		idle := idleConnections(upstream)[0]
		io.WriteString(conn, extraResponse)
		// isQuiet reads a byte; one has to be left for the next attempt to find.
		for end := time.Now().Add(testkit.WaitTimeout); idle.isOpenAndEmpty() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
}
