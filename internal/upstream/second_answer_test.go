package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/responseclass"
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
			used := map[string]bool{second.clientAddress: true}
			for range 4 {
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

// TestNoConnectionIsUsedInItsQuietPeriod checks that no number of connections to a server ends their quiet period. Four of
// them once did, so that from 80 requests a second on clients got answers to the requests of others.
func TestNoConnectionIsUsedInItsQuietPeriod(t *testing.T) {
	server := newScriptedServer(t)
	server.upstream.QuietPeriod = testkit.WaitTimeout
	used := make(map[string]bool)
	for i := range 40 {
		address := server.startRequest().clientAddress
		if used[address] {
			t.Errorf("request %d was written on a connection in its quiet period", i)
		}
		used[address] = true
		server.respond(okResponse)
	}
}

// rejectedDials is a dial limiter that rejects every dial.
type rejectedDials struct{}

func (rejectedDials) TryAcquire() bool { return false }
func (rejectedDials) Release()         {}

// TestRequestAwaitsQuietPeriodWhenDialsFail checks that a request waits for the end of a connection's quiet period if no
// new connection can be made: before that it could get the answer of another request, and without it, it would fail
// although a working connection to its server is open.
func TestRequestAwaitsQuietPeriodWhenDialsFail(t *testing.T) {
	const quietPeriod = 200 * time.Millisecond
	server := newScriptedServer(t)
	server.upstream.QuietPeriod = quietPeriod
	first := server.startRequest().clientAddress
	server.respond(okResponse)
	answeredAt := idleConnections(server.upstream)[0].lastResponseEnd
	server.upstream.DialLimiter = rejectedDials{}
	next := server.startRequest()
	if elapsed := time.Since(answeredAt); next.clientAddress != first || elapsed < quietPeriod {
		t.Errorf("request came from %s after %v, want %s after the quiet period", next.clientAddress, elapsed, first)
	}
	server.respond(okResponse)
}

// TestAwaitedConnectionIsNotUsed checks what ends a wait for a connection's quiet period, and that nothing is written then.
func TestAwaitedConnectionIsNotUsed(t *testing.T) {
	for name, tc := range map[string]struct {
		disturb  func(*scriptedServer, net.Conn, context.CancelFunc)
		wantErr  error
		wantIdle int
	}{
		"second response": {func(_ *scriptedServer, conn net.Conn, _ context.CancelFunc) { io.WriteString(conn, secondResponse) }, errDialLimit, 0},
		"server removed":  {func(s *scriptedServer, _ net.Conn, _ context.CancelFunc) { s.upstream.RetirePool(s.pool) }, errServerRemoved, 0},
		"attempt ended":   {func(_ *scriptedServer, _ net.Conn, cancel context.CancelFunc) { cancel() }, errDialLimit, 1},
	} {
		t.Run(name, func(t *testing.T) {
			server := newScriptedServer(t)
			server.upstream.QuietPeriod = 200 * time.Millisecond
			conn := server.startRequest()
			server.respond(okResponse)
			server.upstream.DialLimiter = rejectedDials{}
			ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
			defer cancel()
			go func() { server.outcomes <- server.upstream.AttemptHTTP1(ctx, server.pool, newPOSTRequest(t, nil)) }()
			server.waitIdle(0)
			tc.disturb(server, conn, cancel)
			select {
			case <-server.requests:
				t.Error("a request was written")
			case outcome := <-server.outcomes:
				if !errors.Is(outcome.Err, tc.wantErr) {
					t.Errorf("reason %d (%v), want %v", outcome.Reason, outcome.Err, tc.wantErr)
				}
			}
			if idle, _ := server.upstream.CountIdle(); idle != tc.wantIdle {
				t.Errorf("%d idle connections, want %d", idle, tc.wantIdle)
			}
		})
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

// TestNoRequestGetsSecondResponse plays the servers that are known to answer twice: without TCP_NODELAY, so that the
// system delays the copy until the response is acknowledged, and with it, some milliseconds late. No request may get the
// response of another, also not when the first copy of all comes under load.
func TestNoRequestGetsSecondResponse(t *testing.T) {
	const (
		requestInterval = time.Millisecond
		requestCount    = 2500
		copyFraction    = 0.05
	)
	for name, tc := range map[string]struct {
		noDelay bool
		delay   time.Duration // of the copy
	}{
		"right behind, in the server's queue": {false, 0},
		"some milliseconds late":              {true, 8 * time.Millisecond},
		"late, in the server's queue":         {false, 8 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var copies atomic.Int64
			endpoint := serveConnections(t, func(conn net.Conn) {
				conn.(*net.TCPConn).SetNoDelay(tc.noDelay)
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					time.Sleep(5 * time.Millisecond)
					id := request.Header.Get(protocol.HeaderID)
					response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
					io.WriteString(conn, response)
					if rand.Float64() < copyFraction {
						copies.Add(1)
						time.Sleep(tc.delay)
						io.WriteString(conn, response)
					}
				}
			})
			upstream := newTestUpstream(2*testkit.WaitTimeout, limits.NewSocketLimiter(1024))
			upstream.QuietPeriod = SecondResponseDelay
			pool := upstream.NewPool(endpoint, ProtocolHTTP1)
			defer upstream.RetirePool(pool)
			var attempts sync.WaitGroup
			var foreign atomic.Int64
			for i := range requestCount {
				attempts.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
					defer cancel()
					request, id := newPOSTRequest(t, nil), strconv.Itoa(i)
					request.Header.Set(protocol.HeaderID, id)
					if outcome := upstream.AttemptHTTP1(ctx, pool, request); outcome.Reason == control.OK && string(outcome.Body) != id {
						foreign.Add(1)
					}
				})
				time.Sleep(requestInterval)
			}
			attempts.Wait()
			if foreign.Load() > 0 || copies.Load() == 0 {
				t.Errorf("%d of %d requests got another request's response, %d copies", foreign.Load(), requestCount, copies.Load())
			}
		})
	}
}

// TestRelayedRequestsRestAfterSecondResponse checks that requests of generic HTTP avoid connections in their quiet period
// once a server has answered twice, and only then.
func TestRelayedRequestsRestAfterSecondResponse(t *testing.T) {
	server := newScriptedServer(t)
	server.upstream.QuietPeriod = testkit.WaitTimeout
	relay := func(response string) string {
		t.Helper()
		go func() {
			request := &RelayedRequest{
				RequestMethod: http.MethodGet, Target: "/x", Host: "h", ResponseRules: &responseclass.Rules{}, MaxBufferedBytes: 100,
				IdleTimeout: testkit.WaitTimeout, ResponseTimeout: testkit.WaitTimeout,
			}
			server.outcomes <- request.Attempt(t.Context(), t.Context(), server.upstream, server.pool)
		}()
		address := testkit.Next(t, server.requests).clientAddress
		server.respond(response)
		return address
	}
	first := relay(okResponse)
	if next := relay(okResponse + secondResponse); next != first {
		t.Error("a connection rested before any server had answered twice")
	}
	used := make(map[string]bool)
	for range 10 {
		address := relay(okResponse)
		if used[address] || address == first {
			t.Error("request written on a connection where a second response may still arrive")
		}
		used[address] = true
	}
}
