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
func TestRequestAvoidsConnectionWithPossibleSecondAnswer(t *testing.T) {
	for name, isTogether := range map[string]bool{"with its answer": true, "some milliseconds later": false} {
		t.Run(name, func(t *testing.T) {
			server := newScriptedServer(t)
			server.upstream.QuietPeriod = testkit.WaitTimeout
			first := server.startRequest()
			server.answerRequest(goodAnswer + map[bool]string{true: strayAnswer}[isTogether])
			second := server.startRequest()
			if second.clientAddress == first.clientAddress {
				t.Error("written where a second answer may still come")
			}
			if !isTogether {
				io.WriteString(first, strayAnswer)
			}
			server.answerRequest(goodAnswer)
			server.waitIdle(1)
			// Now that it is known of servers, none is used that rests, however many do.
			used := map[string]bool{second.clientAddress: true}
			for range maxRestingConnections {
				next := server.startRequest()
				if used[next.clientAddress] {
					t.Error("written where a second answer may still come")
				}
				used[next.clientAddress] = true
				server.answerRequest(goodAnswer)
			}
			// What has rested is used again.
			server.upstream.QuietPeriod = 0
			if next := server.startRequest(); !used[next.clientAddress] {
				t.Error("one that has rested was not used again")
			}
			server.answerRequest(goodAnswer)
		})
	}
}

// TestRestingConnectionsAreBounded checks that a limited number of connections rest as long as no server sends
// second answers: the next request takes the one that has rested longest.
func TestRestingConnectionsAreBounded(t *testing.T) {
	server := newScriptedServer(t)
	server.upstream.QuietPeriod = testkit.WaitTimeout
	var from []string
	for range 2 * maxRestingConnections {
		from = append(from, server.startRequest().clientAddress)
		server.answerRequest(goodAnswer)
	}
	for i, f := range from {
		if j := slices.Index(from, f); j != i%maxRestingConnections {
			t.Errorf("request %d went where %d had gone, of %q", i, j, from)
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
func TestRestingConnectionIsUsedWhereDialsFail(t *testing.T) {
	server := newScriptedServer(t)
	server.upstream.QuietPeriod = testkit.WaitTimeout
	first := server.startRequest().clientAddress
	server.answerRequest(goodAnswer)
	server.upstream.DialLimiter = rejectedDials{}
	if from := server.startRequest().clientAddress; from != first {
		t.Errorf("written to %s, not %s", from, first)
	}
	server.answerRequest(goodAnswer)
	server.upstream.hasUnrequestedAnswer.Store(true)
	if outcome := server.upstream.AttemptHTTP1(t.Context(), server.pool, newMessage(t, nil)); outcome.Reason != control.NotSent || !errors.Is(outcome.Err, errDialLimit) {
		t.Errorf("%d (%v)", outcome.Reason, outcome.Err)
	}
}

// TestDelayedSecondAnswerIsSeenAfterQuietPeriod checks that a second answer which the server's system holds back
// until the first one is acknowledged (no TCP_NODELAY) has come when the quiet period ends.
func TestDelayedSecondAnswerIsSeenAfterQuietPeriod(t *testing.T) {
	server := newScriptedServer(t)
	var conn receivedRequest
	for range 50 { // then this system no longer acknowledges at once
		conn = server.startRequest()
		conn.Conn.(*net.TCPConn).SetNoDelay(false)
		server.answerRequest(goodAnswer)
	}
	io.WriteString(conn, strayAnswer)
	server.upstream.QuietPeriod = SecondAnswerDelay
	time.Sleep(SecondAnswerDelay) // has to pass
	if next := server.startRequest(); next.clientAddress == conn.clientAddress {
		t.Error("written where a second answer was still to come")
	}
	server.answerRequest(goodAnswer)
}

// TestExtraBytesAreNotNextAnswer checks that bytes after an answer, before or after its connection becomes idle,
// are never read as the next answer.
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
	upstream := newTestUpstream(2*testkit.WaitTimeout, limits.NewSocketLimiter(1024))
	pool := upstream.NewPool(app.Listener.Addr().String(), ProtocolHTTP1)
	for i := range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
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
		// isQuiet reads a byte; one has to be left for the next attempt to find.
		for end := time.Now().Add(testkit.WaitTimeout); idle.isQuiet() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
}
