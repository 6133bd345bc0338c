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

// TestRequestAvoidsConnectionWithPossibleSecondResponse checks that no request is written on a connection where a second
// response to the previous request may still arrive, even before any server has been seen to send one: it would be read
// as the response to the new request.
func TestRequestAvoidsConnectionWithPossibleSecondResponse(t *testing.T) {
	for name, inOneWrite := range map[string]bool{"with the response": true, "some milliseconds later": false} {
		t.Run(name, func(t *testing.T) {
			server := newScriptedServer(t)
			server.upstream.QuietPeriod = testkit.WaitTimeout
			first := server.startRequest()
			server.respond(okResponse + map[bool]string{true: secondResponse}[inOneWrite])
			second := server.startRequest()
			if second.clientAddress == first.clientAddress {
				t.Error("request written on a connection where a second response may still arrive")
			}
			if !inOneWrite {
				io.WriteString(first, secondResponse)
			}
			server.respond(okResponse)
			server.waitIdle(1)
			// Servers are now known to send second responses, so no connection in its quiet period is used, however many
			// there are.
			used := map[string]bool{second.clientAddress: true}
			for range maxConnectionsInQuietPeriod {
				next := server.startRequest()
				if used[next.clientAddress] {
					t.Error("request written on a connection where a second response may still arrive")
				}
				used[next.clientAddress] = true
				server.respond(okResponse)
			}
			// Connections whose quiet period is over are used again.
			server.upstream.QuietPeriod = 0
			if next := server.startRequest(); !used[next.clientAddress] {
				t.Error("no connection whose quiet period is over was reused")
			}
			server.respond(okResponse)
		})
	}
}

// TestConnectionsInQuietPeriodAreBounded checks that the number of connections in their quiet period is limited as long
// as no server sends second responses: the next request takes the one whose quiet period started first.
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
			t.Errorf("request %d used the same connection as request %d, of %q", i, j, addresses)
		}
	}
}

// rejectedDials is a dial limiter that rejects every dial.
type rejectedDials struct{}

func (rejectedDials) TryAcquire() bool { return false }
func (rejectedDials) Release()         {}

// TestConnectionInQuietPeriodIsUsedWhenDialsFail checks that a request takes a connection in its quiet period if no new
// one can be made, unless servers are known to send second responses. Otherwise the request would fail although a
// working connection to its server is open.
func TestConnectionInQuietPeriodIsUsedWhenDialsFail(t *testing.T) {
	server := newScriptedServer(t)
	server.upstream.QuietPeriod = testkit.WaitTimeout
	first := server.startRequest().clientAddress
	server.respond(okResponse)
	server.upstream.DialLimiter = rejectedDials{}
	if address := server.startRequest().clientAddress; address != first {
		t.Errorf("request came from %s, want %s", address, first)
	}
	server.respond(okResponse)
	server.upstream.hasUnsolicitedResponse.Store(true)
	if outcome := server.upstream.AttemptHTTP1(t.Context(), server.pool, newPOSTRequest(t, nil)); outcome.Reason != control.NotSent || !errors.Is(outcome.Err, errDialLimit) {
		t.Errorf("reason %d (%v)", outcome.Reason, outcome.Err)
	}
}

// TestDelayedSecondResponseIsSeenAfterQuietPeriod checks that a second response has arrived by the end of the quiet
// period if the server's system delays it until the first one is acknowledged (no TCP_NODELAY).
func TestDelayedSecondResponseIsSeenAfterQuietPeriod(t *testing.T) {
	server := newScriptedServer(t)
	var conn receivedRequest
	for range 50 { // after that, this system delays acknowledgements
		conn = server.startRequest()
		conn.Conn.(*net.TCPConn).SetNoDelay(false)
		server.respond(okResponse)
	}
	io.WriteString(conn, secondResponse)
	server.upstream.QuietPeriod = SecondResponseDelay
	time.Sleep(SecondResponseDelay) // the quiet period has to end
	if next := server.startRequest(); next.clientAddress == conn.clientAddress {
		t.Error("request written on a connection with a pending second response")
	}
	server.respond(okResponse)
}

// TestExtraBytesAreNotNextResponse checks that bytes after a response, whether they arrive before or after its connection
// becomes idle, are never read as the next response.
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
			t.Errorf("reason %d (%v), body %q", outcome.Reason, outcome.Err, outcome.Body)
		}
		if i > 0 {
			break
		}
		conn := testkit.Next(t, firstConn)
		defer conn.Close()
		idle := idleConnections(upstream)[0]
		io.WriteString(conn, extraResponse)
		// isOpenAndEmpty consumes a byte; the rest must stay unread for the next attempt to find.
		for end := time.Now().Add(testkit.WaitTimeout); idle.isOpenAndEmpty() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
}
