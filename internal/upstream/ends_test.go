package upstream

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/fake"
	"lockflow/internal/limits"
	"lockflow/internal/testkit"
)

const goodAnswer, strayAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"

// scriptedServer is an app server that answers what it is told, and who asks it.
type scriptedServer struct {
	t        *testing.T
	upstream *Upstream
	pool     *Pool
	requests chan receivedRequest
	answers  chan string
	outcomes chan Outcome
}

// receivedRequest is a request that a teller has read, by its connection.
type receivedRequest struct {
	net.Conn
	clientAddress string
}

func newScriptedServer(t *testing.T) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &scriptedServer{
		t: t, upstream: newTestUpstream(2*testkit.Patience, limits.NewSocketLimiter(1024)),
		requests: make(chan receivedRequest), answers: make(chan string), outcomes: make(chan Outcome, 1),
	}
	s.pool = s.upstream.NewPool(listener.Addr().String(), ProtocolHTTP1)
	t.Cleanup(func() { s.upstream.RetirePool(s.pool) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for r := bufio.NewReader(conn); ; {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					s.requests <- receivedRequest{conn, conn.RemoteAddr().String()}
					io.WriteString(conn, <-s.answers)
				}
			}()
		}
	}()
	return s
}

// startRequest sends a request.
func (s *scriptedServer) startRequest() receivedRequest {
	s.t.Helper()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
		defer cancel()
		s.outcomes <- s.upstream.AttemptHTTP1(ctx, s.pool, newMessage(s.t, nil))
	}()
	return testkit.Next(s.t, s.requests)
}

// answerRequest answers it.
func (s *scriptedServer) answerRequest(text string) {
	s.t.Helper()
	s.answers <- text
	if outcome := testkit.Next(s.t, s.outcomes); outcome.Reason != control.OK || string(outcome.Body) != "ok" {
		s.t.Errorf("%d (%v) %q", outcome.Reason, outcome.Err, outcome.Body)
	}
}

// waitIdle waits until there are so many idle connections to which nothing has come.
func (s *scriptedServer) waitIdle(n int) {
	s.t.Helper()
	testkit.Until(s.t, "what came to idle connections", func() bool {
		s.upstream.closeIdleIf(func(conn *serverConn) bool { return !conn.isQuiet() })
		idle, _ := s.upstream.CountIdle()
		return idle == n
	})
}

// A request isn't written where a second answer may still be on its way, be it the first one that a server
// sends: it would be taken for that request's.
func TestRequestAvoidsConnectionWithPossibleSecondAnswer(t *testing.T) {
	for name, isTogether := range map[string]bool{"with its answer": true, "some milliseconds later": false} {
		t.Run(name, func(t *testing.T) {
			server := newScriptedServer(t)
			server.upstream.QuietPeriod = testkit.Patience
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

// As long as no server sends second answers, so many connections rest and no more: the next request goes
// where the rest was longest.
func TestRestingConnectionsAreBounded(t *testing.T) {
	server := newScriptedServer(t)
	server.upstream.QuietPeriod = testkit.Patience
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

// rejectedDials lets no further connection come up.
type rejectedDials struct{}

func (rejectedDials) TryAcquire() bool { return false }
func (rejectedDials) Release()         {}

// Where no new connection is to be had a request goes on one that still rests, unless servers are known to send
// second answers: it would be turned away although its server has a good connection open.
func TestRestingConnectionIsUsedWhereDialsFail(t *testing.T) {
	server := newScriptedServer(t)
	server.upstream.QuietPeriod = testkit.Patience
	first := server.startRequest().clientAddress
	server.answerRequest(goodAnswer)
	server.upstream.DialLimiter = rejectedDials{}
	if from := server.startRequest().clientAddress; from != first {
		t.Errorf("written to %s, not %s", from, first)
	}
	server.answerRequest(goodAnswer)
	server.upstream.sawSecondAnswer.Store(true)
	if outcome := server.upstream.AttemptHTTP1(t.Context(), server.pool, newMessage(t, nil)); outcome.Reason != control.NotSent || !errors.Is(outcome.Err, errDialLimit) {
		t.Errorf("%d (%v)", outcome.Reason, outcome.Err)
	}
}

// A connection that an attempt took and wrote nothing on is as it was: it needs no rest, and grows no younger,
// as its server's clock of idle connections goes on.
func TestUnusedConnectionKeepsItsIdleTime(t *testing.T) {
	const age = time.Second
	server := newScriptedServer(t)
	server.upstream.QuietPeriod = testkit.Patience
	attemptLate := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(WithWriteDeadline(t.Context(), time.Now()), testkit.Patience)
		defer cancel()
		if outcome := server.upstream.AttemptHTTP1(ctx, server.pool, newMessage(t, nil)); outcome.Reason != control.NotSent {
			t.Fatalf("%d (%v)", outcome.Reason, outcome.Err)
		}
	}
	attemptLate() // over a new one
	conn := idleConnections(server.upstream)[0]
	conn.idleSince = conn.idleSince.Add(-age)
	idleSince := conn.idleSince
	if attemptLate(); conn.idleSince != idleSince {
		t.Errorf("%v younger", conn.idleSince.Sub(idleSince))
	}
	server.startRequest()
	server.answerRequest(goodAnswer)
	if all := idleConnections(server.upstream); len(all) != 1 || all[0] != conn {
		t.Error("one that nothing was asked on was not used")
	}
}

// A second answer that the server's system holds back until the first one is acknowledged (no TCP_NODELAY) is
// there when its connection has rested.
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

// delayedDials has connections come up once a time is past.
type delayedDials struct{ readyAt time.Time }

func (c *delayedDials) TryAcquire() bool { time.Sleep(time.Until(c.readyAt)); return true }
func (c *delayedDials) Release()         {}

// What has to begin by some time is not written to a connection that comes up later, nor on an idle
// one: that speaks against no server, and the connection serves the next request.
func TestConnectionUpAfterWriteDeadlineIsNotWritten(t *testing.T) {
	for name, speaks := range map[string]Protocol{"HTTP/1.1": ProtocolHTTP1, "HTTP/2": ProtocolHTTP2} {
		t.Run(name, func(t *testing.T) {
			app, err := fake.Server{UID: "s", HTTP2: true}.Start()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(app.Close)
			dials := &delayedDials{}
			sockets := limits.NewSocketLimiter(1024)
			upstream := New(Options{
				ConnectTimeout: testkit.Patience, KeepAliveTimeout: 2 * testkit.Patience, SocketLimiter: sockets, DialLimiter: dials,
				HTTP2: HTTP2Options{MaxConnections: 1, MaxStreams: 10, MaxConnectionAge: time.Hour, FallbackPeriod: time.Minute, StartsAtLastByte: true},
			})
			pool := upstream.NewPool(app.Addr(), speaks)
			t.Cleanup(func() { upstream.RetirePool(pool) })
			try := func(by time.Time) Outcome {
				ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
				defer cancel()
				if !by.IsZero() {
					ctx = WithWriteDeadline(ctx, by)
				}
				return newUpdate("id", "body").Attempt(ctx, nil, upstream, pool)
			}
			dials.readyAt = time.Now().Add(10 * time.Millisecond)
			if outcome := try(dials.readyAt); outcome.Reason != control.NotSent {
				t.Errorf("%d (%v) over a new connection", outcome.Reason, outcome.Err)
			}
			if outcome := try(time.Now()); outcome.Reason != control.NotSent {
				t.Errorf("%d (%v) over an idle one", outcome.Reason, outcome.Err)
			}
			if one, two := app.Spoken(); one+two != 0 {
				t.Errorf("%d were written", one+two)
			}
			for _, by := range []time.Time{time.Now().Add(time.Hour), {}} {
				if outcome := try(by); outcome.Reason != control.OK {
					t.Errorf("%d (%v) in time", outcome.Reason, outcome.Err)
				}
			}
			if n := sockets.InUse(); n != 1 {
				t.Errorf("%d connections", n)
			}
		})
	}
}

// An attempt over TLS that is given up while its server takes nothing ends with its time: it doesn't
// wait to say farewell.
func TestAttemptOverTLSEndsAtItsDeadline(t *testing.T) {
	cert := httptest.NewUnstartedServer(nil)
	cert.StartTLS()
	certs := cert.TLS.Certificates
	cert.Close()
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		go tls.Server(far, &tls.Config{Certificates: certs, SessionTicketsDisabled: true}).Handshake() // and reads no more
		tlsConn := tls.Client(near, &tls.Config{InsecureSkipVerify: true})
		if err := tlsConn.Handshake(); err != nil {
			t.Fatal(err)
		}
		sockets := limits.NewSocketLimiter(1024)
		sockets.TryAcquire()
		upstream := newTestUpstream(testkit.Patience, sockets)
		pool := upstream.NewPool("", ProtocolHTTP1)
		conn := upstream.newConn(limits.Track(tlsConn, sockets), nil)
		const left = time.Second
		ctx, cancel := context.WithTimeout(context.Background(), left)
		defer cancel()
		begun := time.Now()
		outcome := upstream.attemptOn(ctx, pool, conn, newMessage(t, make([]byte, 64<<10)))
		if took := time.Since(begun); took != left || outcome.Reason != control.ConnectFailed {
			t.Errorf("%d (%v) after %v", outcome.Reason, outcome.Err, took)
		}
		if n := sockets.InUse(); n != 0 {
			t.Errorf("%d connections left open", n)
		}
	})
}

// An attempt that ends at a told byte of its request never ran where that is not the last one, and
// may have run where it is, however the request was cut into writes; its connection is closed by then.
func TestOutcomeByLastByteSent(t *testing.T) {
	for _, size := range []int{0, 1, connBufferBytes, 64 << 10} {
		total := 0
		for _, tc := range []struct {
			name   string
			before int // of the last byte
			breaks bool
			want   control.Reason
		}{
			{"all", 0, false, control.TimedOut}, // counts the request's bytes too
			{"broken behind the last", 0, true, control.ResetByPeer},
			{"broken before the last", 1, true, control.ConnectFailed},
			{"silent before the last", 1, false, control.ConnectFailed},
			{"broken in the middle", size/2 + 1, true, control.ConnectFailed},
			{"silent in the middle", size/2 + 1, false, control.ConnectFailed},
		} {
			t.Run(fmt.Sprintf("%d bytes, %s", size, tc.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					near, far := net.Pipe()
					sockets := limits.NewSocketLimiter(1024)
					sockets.TryAcquire()
					upstream := newTestUpstream(testkit.Patience, sockets)
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					ends := make(chan Outcome, 1)
					req := newMessage(t, make([]byte, size))
					go func() {
						ends <- upstream.attemptOn(ctx, upstream.NewPool("", ProtocolHTTP1), upstream.newConn(limits.Track(near, sockets), nil), req)
					}()
					if total == 0 {
						far.SetReadDeadline(time.Now().Add(time.Millisecond))
						n, _ := io.Copy(io.Discard, far)
						total = int(n)
						far.SetReadDeadline(time.Time{})
					} else if _, err := io.CopyN(io.Discard, far, int64(total-tc.before)); err != nil {
						t.Fatal(err)
					}
					if tc.breaks {
						far.Close()
					}
					if outcome := <-ends; outcome.Reason != tc.want {
						t.Errorf("%d (%v), not %d", outcome.Reason, outcome.Err, tc.want)
					}
					if _, err := far.Write([]byte("x")); err == nil || sockets.InUse() != 0 {
						t.Error("not closed")
					}
				})
			})
		}
	}
}

// What ends an attempt between two reads of its answer is not undone by the clock of that answer.
func TestInterruptOutlastsLaterDeadlines(t *testing.T) {
	for name, reads := range map[string]int{"as an answer goes on": 1, "behind an interim one": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer far.Close()
				sockets := limits.NewSocketLimiter(1024)
				sockets.TryAcquire()
				conn := newTestUpstream(testkit.Patience, sockets).newConn(limits.Track(near, sockets), nil)
				defer conn.Close()
				begun := time.Now()
				conn.answers.start(begun.Add(time.Hour), maxHeadBytes)
				go far.Write([]byte("HT"))
				for range reads {
					if _, err := conn.answers.Read(make([]byte, 1)); err != nil {
						t.Fatal(err)
					}
				}
				if conn.interrupt(); reads > 1 {
					conn.answers.awaitNext()
				}
				if _, err := conn.answers.Read(make([]byte, 1)); err == nil || time.Since(begun) > 0 {
					t.Errorf("%v after %v", err, time.Since(begun))
				}
			})
		})
	}
}

// dialHook does something as a connection is about to come up.
type dialHook func()

func (f dialHook) TryAcquire() bool { f(); return true }
func (f dialHook) Release()         {}

// An attempt whose server leaves the list before its connection is up, or before it has one at all, is not
// written: sends to the server have to have stopped by then, and a connection may take its time.
func TestRemovedServerIsNotWrittenTo(t *testing.T) {
	for name, speaks := range map[string]Protocol{"HTTP/1.1": ProtocolHTTP1, "HTTP/2": ProtocolHTTP2} {
		for when, before := range map[string]bool{"before": true, "meanwhile": false} {
			t.Run(name+" "+when, func(t *testing.T) {
				app, err := fake.Server{UID: "s", HTTP2: true}.Start()
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(app.Close)
				sockets, dials := limits.NewSocketLimiter(1024), 0
				var upstream *Upstream
				var pool *Pool
				upstream = New(Options{
					ConnectTimeout: testkit.Patience, KeepAliveTimeout: 2 * testkit.Patience, SocketLimiter: sockets,
					DialLimiter: dialHook(func() { dials++; upstream.RetirePool(pool) }),
					HTTP2:       HTTP2Options{MaxConnections: 1, MaxStreams: 10, MaxConnectionAge: time.Hour, FallbackPeriod: time.Minute, StartsAtLastByte: true},
				})
				pool = upstream.NewPool(app.Addr(), speaks)
				if before {
					upstream.RetirePool(pool)
				}
				ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
				defer cancel()
				if outcome := newUpdate("id", "body").Attempt(ctx, nil, upstream, pool); outcome.Reason != control.ConnectFailed && outcome.Reason != control.NotSent {
					t.Errorf("%d (%v)", outcome.Reason, outcome.Err)
				}
				if one, two := app.Spoken(); one+two != 0 {
					t.Errorf("%d were written", one+two)
				}
				testkit.Until(t, "the place back", func() bool { return sockets.InUse() == 0 })
				if before && dials > 0 {
					t.Errorf("%d connections for a server that has left", dials)
				}
			})
		}
	}
}
