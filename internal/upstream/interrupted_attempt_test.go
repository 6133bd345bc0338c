package upstream

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/testsupport/testkit"
)

// TestAttemptOverTLSEndsAtItsDeadline checks that an attempt over TLS ends at its deadline if the server stops reading:
// closing the connection must not block on sending a close_notify.
func TestAttemptOverTLSEndsAtItsDeadline(t *testing.T) {
	cert := httptest.NewUnstartedServer(nil)
	cert.StartTLS()
	certs := cert.TLS.Certificates
	cert.Close()
	synctest.Test(t, func(t *testing.T) {
		clientEnd, serverEnd := net.Pipe()
		defer serverEnd.Close()
		go tls.Server(serverEnd, &tls.Config{Certificates: certs, SessionTicketsDisabled: true}).Handshake() // reads nothing after the handshake
		tlsConn := tls.Client(clientEnd, &tls.Config{InsecureSkipVerify: true})
		if err := tlsConn.Handshake(); err != nil {
			t.Fatal(err)
		}
		sockets := limits.NewSocketLimiter(1024)
		sockets.TryAcquire()
		upstream := newTestUpstream(testkit.WaitTimeout, sockets)
		pool := upstream.NewPool("", ProtocolHTTP1)
		conn := upstream.newConn(limits.Track(tlsConn, sockets), nil)
		const timeout = time.Second
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		startedAt := time.Now()
		outcome := upstream.attemptOn(ctx, pool, conn, newPOSTRequest(t, make([]byte, 64<<10)))
		if elapsed := time.Since(startedAt); elapsed != timeout || outcome.Reason != control.ConnectFailed {
			t.Errorf("reason %d (%v) after %v", outcome.Reason, outcome.Err, elapsed)
		}
		if n := sockets.InUse(); n != 0 {
			t.Errorf("%d connections still open, want 0", n)
		}
	})
}

// TestOutcomeByLastByteSent checks that an attempt that ends before the last byte of its request was sent counts as not
// run, and that one that ends after that byte may have run, however the request is split into writes. In both cases the
// connection is closed.
func TestOutcomeByLastByteSent(t *testing.T) {
	for _, size := range []int{0, 1, connBufferBytes, 64 << 10} {
		total := 0
		for _, tc := range []struct {
			name        string
			unreadBytes int // bytes of the request that the server does not read
			breaks      bool
			want        control.Reason
		}{
			{"all", 0, false, control.TimedOut}, // also measures the size of the request
			{"broken after the last", 0, true, control.ResetByPeer},
			{"broken before the last", 1, true, control.ConnectFailed},
			{"silent before the last", 1, false, control.ConnectFailed},
			{"broken in the middle", size/2 + 1, true, control.ConnectFailed},
			{"silent in the middle", size/2 + 1, false, control.ConnectFailed},
		} {
			t.Run(fmt.Sprintf("%d bytes, %s", size, tc.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					clientEnd, serverEnd := net.Pipe()
					sockets := limits.NewSocketLimiter(1024)
					sockets.TryAcquire()
					upstream := newTestUpstream(testkit.WaitTimeout, sockets)
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					outcomes := make(chan Outcome, 1)
					req := newPOSTRequest(t, make([]byte, size))
					go func() {
						outcomes <- upstream.attemptOn(ctx, upstream.NewPool("", ProtocolHTTP1), upstream.newConn(limits.Track(clientEnd, sockets), nil), req)
					}()
					if total == 0 {
						serverEnd.SetReadDeadline(time.Now().Add(time.Millisecond))
						n, _ := io.Copy(io.Discard, serverEnd)
						total = int(n)
						serverEnd.SetReadDeadline(time.Time{})
					} else if _, err := io.CopyN(io.Discard, serverEnd, int64(total-tc.unreadBytes)); err != nil {
						t.Fatal(err)
					}
					if tc.breaks {
						serverEnd.Close()
					}
					if outcome := <-outcomes; outcome.Reason != tc.want {
						t.Errorf("reason %d (%v), want %d", outcome.Reason, outcome.Err, tc.want)
					}
					if _, err := serverEnd.Write([]byte("x")); err == nil || sockets.InUse() != 0 {
						t.Error("connection not closed")
					}
				})
			})
		}
	}
}

// TestInterruptOutlastsLaterDeadlines checks that the read deadline of a response does not undo an interrupt between two
// reads of that response.
func TestInterruptOutlastsLaterDeadlines(t *testing.T) {
	for name, reads := range map[string]int{"within a response": 1, "after an interim response": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clientEnd, serverEnd := net.Pipe()
				defer serverEnd.Close()
				sockets := limits.NewSocketLimiter(1024)
				sockets.TryAcquire()
				conn := newTestUpstream(testkit.WaitTimeout, sockets).newConn(limits.Track(clientEnd, sockets), nil)
				defer conn.Close()
				startedAt := time.Now()
				conn.responses.start(startedAt.Add(time.Hour), maxHeadBytes)
				go serverEnd.Write([]byte("HT"))
				for range reads {
					if _, err := conn.responses.Read(make([]byte, 1)); err != nil {
						t.Fatal(err)
					}
				}
				if conn.interrupt(); reads > 1 {
					conn.responses.resetAfterInterim()
				}
				if _, err := conn.responses.Read(make([]byte, 1)); err == nil || time.Since(startedAt) > 0 {
					t.Errorf("read returned %v after %v, want an error at once", err, time.Since(startedAt))
				}
			})
		})
	}
}

// TestBrokenWriteHasNotRun checks that a request whose connection breaks before its last byte counts as not run.
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
	upstream := newTestUpstream(testkit.WaitTimeout, limits.NewSocketLimiter(1024))
	ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
	defer cancel()
	if outcome := upstream.AttemptHTTP1(ctx, upstream.NewPool(listener.Addr().String(), ProtocolHTTP1), newPOSTRequest(t, make([]byte, 64<<20))); outcome.Reason != control.ConnectFailed {
		t.Errorf("reason %d (%v)", outcome.Reason, outcome.Err)
	}
}

// TestAttemptAtUnresponsiveServerEndsAtItsDeadline checks that a server which does not read or does not respond delays an
// attempt no longer than its deadline, and that the outcome agrees with what the server can still read of the request.
func TestAttemptAtUnresponsiveServerEndsAtItsDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // connections are accepted by the kernel only
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for name, tc := range map[string]struct {
		body []byte
		want control.Reason
	}{
		"reads nothing":  {make([]byte, 64<<20), control.ConnectFailed},
		"never responds": {[]byte("body"), control.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			sockets := limits.NewSocketLimiter(1024)
			upstream := newTestUpstream(testkit.WaitTimeout, sockets)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if outcome := upstream.AttemptHTTP1(ctx, upstream.NewPool(listener.Addr().String(), ProtocolHTTP1), newPOSTRequest(t, tc.body)); outcome.Reason != tc.want {
				t.Errorf("reason %d (%v), want %d", outcome.Reason, outcome.Err, tc.want)
			}
			if n := sockets.InUse(); n != 0 {
				t.Errorf("%d connections still open, want 0", n)
			}
			// Bytes that the system has accepted still arrive once the peer reads, so a request that is complete may still run.
			conn, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetReadDeadline(time.Now().Add(testkit.WaitTimeout))
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, err = io.Copy(io.Discard, req.Body)
			}
			if isComplete := err == nil; isComplete != (tc.want == control.TimedOut) {
				t.Errorf("request arrived completely: %v (%v)", isComplete, err)
			}
		})
	}
}

// TestCancelledAttempt checks the outcome of an attempt that is cancelled while it waits for its response.
func TestCancelledAttempt(t *testing.T) {
	received := make(chan struct{})
	app := testkit.NewApp(t, func(_ http.ResponseWriter, r *http.Request) {
		close(received)
		<-r.Context().Done() // ends when the node closes its connection
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	upstream := newTestUpstream(testkit.WaitTimeout, limits.NewSocketLimiter(1024))
	if outcome := upstream.AttemptHTTP1(ctx, upstream.NewPool(app.Listener.Addr().String(), ProtocolHTTP1), newPOSTRequest(t, nil)); outcome.Reason != control.Cancelled {
		t.Errorf("reason %d (%v)", outcome.Reason, outcome.Err)
	}
}
