package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/testsupport/testkit"
)

// endableServer is a process of an app server, which can end under its requests.
type endableServer struct {
	t        *testing.T
	listener net.Listener
	requests chan net.Conn // connections of requests that have been read

	mu    sync.Mutex
	conns []net.Conn
}

// startEndableServer starts a process at an address.
func startEndableServer(t *testing.T, address string) *endableServer {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s := &endableServer{t: t, listener: listener, requests: make(chan net.Conn, 10)}
	t.Cleanup(s.end)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			go s.read(conn)
		}
	}()
	return s
}

func (s *endableServer) read(conn net.Conn) {
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		s.requests <- conn
	}
}

// end ends the process: its connections are reset.
func (s *endableServer) end() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

func (s *endableServer) address() string { return s.listener.Addr().String() }

// attempt starts an attempt and returns the channel with its outcome.
func attempt(ctx context.Context, t *testing.T, upstream *Upstream, pool *Pool) <-chan Outcome {
	outcome := make(chan Outcome, 1)
	go func() { outcome <- upstream.AttemptHTTP1(ctx, pool, newPOSTRequest(t, nil)) }()
	return outcome
}

// startAttempts starts attempts and waits until the server has read their requests.
func (s *endableServer) startAttempts(upstream *Upstream, pool *Pool, count int) (outcomes []<-chan Outcome, conns []net.Conn) {
	s.t.Helper()
	for range count {
		outcomes = append(outcomes, attempt(s.t.Context(), s.t, upstream, pool))
		conns = append(conns, testkit.Next(s.t, s.requests))
	}
	return outcomes, conns
}

// newRepeatContext returns the context of a repeat that only the named process may get.
func newRepeatContext(t *testing.T, window time.Duration) context.Context {
	return WithKnownProcess(WithWriteDeadline(t.Context(), time.Now().Add(window)))
}

// TestRepeatIsNotSentToAnotherProcess checks that a repeat is not sent to a process that has taken over the address of one
// that has ended, as it would run a second time there, and that it ends when the endpoint list names the other process.
func TestRepeatIsNotSentToAnotherProcess(t *testing.T) {
	const window = 400 * time.Millisecond
	for name, isListed := range map[string]bool{"not listed": false, "listed while the repeat waits": true} {
		t.Run(name, func(t *testing.T) {
			upstream := newTestUpstream(testkit.WaitTimeout, limits.NewSocketLimiter(100))
			first := startEndableServer(t, "127.0.0.1:0")
			pool := upstream.NewPool(first.address(), ProtocolHTTP1)
			defer upstream.RetirePool(pool)
			outcomes, _ := first.startAttempts(upstream, pool, 2)
			first.end()
			for _, outcome := range outcomes {
				if outcome := testkit.Next(t, outcome); outcome.Reason != control.ResetByPeer || outcome.IsProcessUnknown {
					t.Errorf("outcome %+v, want a reset by a known process", outcome)
				}
			}
			next := startEndableServer(t, first.address())
			wantErr := errUnknownProcess
			if isListed {
				wantErr = errServerRemoved
				time.AfterFunc(window/4, func() { upstream.RetirePool(pool) })
			}
			outcome := testkit.Next(t, attempt(newRepeatContext(t, window), t, upstream, pool))
			if outcome.Reason != control.ConnectFailed || !errors.Is(outcome.Err, wantErr) {
				t.Errorf("outcome %+v, want %v", outcome, wantErr)
			}
			if len(next.requests) > 0 {
				t.Error("the other process got the repeat")
			}
		})
	}
}

// TestAttemptAtUnknownProcessIsMarked checks that the outcome of an attempt tells that another process may have got it.
func TestAttemptAtUnknownProcessIsMarked(t *testing.T) {
	upstream := newTestUpstream(testkit.WaitTimeout, limits.NewSocketLimiter(100))
	first := startEndableServer(t, "127.0.0.1:0")
	pool := upstream.NewPool(first.address(), ProtocolHTTP1)
	defer upstream.RetirePool(pool)
	_, conns := first.startAttempts(upstream, pool, 1)
	io.WriteString(conns[0], okResponse)
	testkit.Until(t, "the connection is idle", func() bool { return len(idleConnections(upstream)) == 1 })
	first.end()
	next := startEndableServer(t, first.address())
	outcomes, _ := next.startAttempts(upstream, pool, 1)
	next.end()
	if outcome := testkit.Next(t, outcomes[0]); outcome.Reason != control.ResetByPeer || !outcome.IsProcessUnknown {
		t.Errorf("outcome %+v, want a reset by an unknown process", outcome)
	}
}

// TestRepeatIsSentWhileProcessIsKnown checks that a repeat is sent at once where an older connection shows that the process
// has not ended, and after half of its time where the only sign is one lost connection.
func TestRepeatIsSentWhileProcessIsKnown(t *testing.T) {
	const window = 400 * time.Millisecond
	for name, tc := range map[string]struct {
		connections int
		minWait     time.Duration
		maxWait     time.Duration
	}{
		"another connection is open": {2, 0, window / 2},
		"the only connection":        {1, window / 2, window},
	} {
		t.Run(name, func(t *testing.T) {
			upstream := newTestUpstream(testkit.WaitTimeout, limits.NewSocketLimiter(100))
			server := startEndableServer(t, "127.0.0.1:0")
			pool := upstream.NewPool(server.address(), ProtocolHTTP1)
			defer upstream.RetirePool(pool)
			outcomes, conns := server.startAttempts(upstream, pool, tc.connections)
			reset(conns[0])
			testkit.Next(t, outcomes[0])
			startedAt := time.Now()
			attempt(newRepeatContext(t, window), t, upstream, pool)
			testkit.Next(t, server.requests)
			if elapsed := time.Since(startedAt); elapsed < tc.minWait || elapsed > tc.maxWait {
				t.Errorf("sent after %v, want %v to %v", elapsed, tc.minWait, tc.maxWait)
			}
		})
	}
}

// TestMergeKeepsSuspicion checks that a pool stays suspect when it takes over the connections of one that is not: its own
// connections would stay so, and an attempt would not wait for that to end.
func TestMergeKeepsSuspicion(t *testing.T) {
	process, known := newProcessIdentity(), newProcessIdentity()
	process.suspect(time.Now().Add(time.Hour))
	conn := &serverConn{}
	process.established(conn)
	process.absorb(known)
	requirement := newProcessRequirement(newRepeatContext(t, time.Millisecond))
	if requirement.accepts(process, conn) {
		t.Error("the connection is not suspect")
	}
	if err := requirement.await(newRepeatContext(t, time.Millisecond), process); !errors.Is(err, errUnknownProcess) {
		t.Errorf("the wait ended with %v", err)
	}
}

// TestSuspectProcessGetsNoRepeat checks that a server at an address which the list had given to another one gets no repeat
// before the other process has certainly gone, and that a merge of pools keeps the suspicion.
func TestSuspectProcessGetsNoRepeat(t *testing.T) {
	const window = 200 * time.Millisecond
	upstream := newTestUpstream(testkit.WaitTimeout, limits.NewSocketLimiter(100))
	server := startEndableServer(t, "127.0.0.1:0")
	pool, merged := upstream.NewPool(server.address(), ProtocolHTTP1), upstream.NewPool(server.address(), ProtocolHTTP1)
	defer upstream.RetirePool(pool)
	upstream.SuspectProcess(merged, time.Now().Add(2*window))
	upstream.MergePool(merged, pool)
	outcome := testkit.Next(t, attempt(newRepeatContext(t, window), t, upstream, pool))
	if !errors.Is(outcome.Err, errUnknownProcess) || len(server.requests) > 0 {
		t.Errorf("outcome %+v, %d requests", outcome, len(server.requests))
	}
	time.Sleep(window)
	attempt(newRepeatContext(t, window), t, upstream, pool)
	testkit.Next(t, server.requests)
}
