package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/sys/unix"

	"lockflow/control"
	"lockflow/internal/retrybuffer"
	"lockflow/internal/testsupport/testkit"
)

// undeliverableBodyBytes is the length of a body that the system of the node takes, and that of a server with a small receive
// buffer does not.
const undeliverableBodyBytes = 60 << 10

// startStalledServer starts a server that takes connections and reads nothing until reads is closed. It reports for each
// connection whether it had a complete request then.
func startStalledServer(t *testing.T, protocol Protocol, reads <-chan struct{}) (address string, received <-chan bool) {
	t.Helper()
	isComplete := make(chan bool, 10)
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) (err error) {
		controlErr := conn.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
		return errors.Join(err, controlErr)
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if protocol == ProtocolHTTP1 {
					<-reads
					isComplete <- hasCompleteHTTP1Request(conn)
					return
				}
				framer := http2.NewFramer(conn, conn)
				framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 20})
				framer.WriteWindowUpdate(0, 1<<20)
				<-reads
				isComplete <- hasCompleteHTTP2Request(conn, framer)
			}()
		}
	}()
	return listener.Addr().String(), isComplete
}

func hasCompleteHTTP1Request(conn net.Conn) bool {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

func hasCompleteHTTP2Request(conn net.Conn, framer *http2.Framer) bool {
	if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil {
		return false
	}
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return false
		}
		if data, ok := frame.(*http2.DataFrame); ok && data.StreamEnded() {
			return true
		}
	}
}

// attempter is a request of either kind.
type attempter interface {
	Attempt(ctx, lifetime context.Context, upstream *Upstream, pool *Pool) Outcome
}

// TestUndeliveredRequestIsDropped checks that a request which the node's system has taken and the server's has not is never
// delivered once its attempt has ended, by its own end or at its write deadline: the server would run it although a
// group of servers has forgotten its key by then, or another server has run it.
func TestUndeliveredRequestIsDropped(t *testing.T) {
	const attemptTime = 300 * time.Millisecond
	body := strings.Repeat("b", undeliverableBodyBytes)
	relayed := func() attempter {
		return newRelayedUpdate(retrybuffer.FromBytes([]byte(body)), undeliverableBodyBytes)
	}
	buffered := func() attempter { return newUpdate("a", body) }
	for name, tc := range map[string]struct {
		protocol   Protocol
		newRequest func() attempter
	}{
		"buffered, HTTP/1.1": {ProtocolHTTP1, buffered},
		"relayed, HTTP/1.1":  {ProtocolHTTP1, relayed},
		"buffered, HTTP/2":   {ProtocolHTTP2, buffered},
		"relayed, HTTP/2":    {ProtocolHTTP2, relayed},
	} {
		for end, newContext := range map[string]func(context.Context, time.Time) (context.Context, context.CancelFunc){
			"attempt's end": context.WithDeadline,
			"write deadline": func(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
				return context.WithTimeout(WithWriteDeadline(parent, at), testkit.WaitTimeout)
			},
		} {
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()
				reads := make(chan struct{})
				address, received := startStalledServer(t, tc.protocol, reads)
				upstream := newHTTP2Upstream(HTTP2Options{})
				pool := upstream.NewPool(address, tc.protocol)
				defer upstream.RetirePool(pool)
				startedAt := time.Now()
				ctx, cancel := newContext(t.Context(), startedAt.Add(attemptTime))
				defer cancel()
				outcome := tc.newRequest().Attempt(ctx, t.Context(), upstream, pool)
				if elapsed := time.Since(startedAt); !mayHaveRun(outcome.Reason) || elapsed > testkit.WaitTimeout/2 {
					t.Errorf("reason %v (%v) after %v, want one that may have run, at %v", outcome.Reason, outcome.Err, elapsed, attemptTime)
				}
				time.Sleep(attemptTime) // whatever is closed only after the attempt
				close(reads)
				if isComplete := testkit.Next(t, received); isComplete {
					t.Error("the server had the complete request after the attempt")
				}
			})
		}
	}
}

// mayHaveRun reports whether the node takes a request whose attempt had this outcome as possibly run.
func mayHaveRun(reason control.Reason) bool {
	return reason == control.TimedOut || reason == control.ResetByPeer || reason == control.Cancelled
}
