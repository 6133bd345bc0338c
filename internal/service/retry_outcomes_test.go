package service

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/upstream"
)

// connectionCounter counts open connections and the maximum of them.
type connectionCounter struct {
	mu            sync.Mutex
	open, maxOpen int
}

func (a *connectionCounter) TryAcquire() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open++
	a.maxOpen = max(a.maxOpen, a.open)
	return true
}

func (a *connectionCounter) Release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open--
}

// connectionEnd is how a connection goes on after a response.
type connectionEnd int

const (
	staysOpen connectionEnd = iota
	endsOrderly
	isReset
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// scriptedServer answers its first request with some bytes, after which the connection goes on in some way,
// and all others with okResponse.
type scriptedServer struct {
	first string
	then  connectionEnd
	mu    sync.Mutex
	count int // of requests
}

// start listens until the test ends, and returns the address.
func (s *scriptedServer) start(t *testing.T) string {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func (s *scriptedServer) serve(c *net.TCPConn) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if s.countRequest() > 1 {
			_, _ = io.WriteString(c, okResponse)
			continue
		}
		_, _ = io.WriteString(c, s.first)
		switch s.then {
		case staysOpen:
			continue
		case isReset:
			_ = c.SetLinger(0)
		}
		return
	}
}

// countRequest counts a request, and returns how many there were.
func (s *scriptedServer) countRequest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	return s.count
}

func (s *scriptedServer) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// firstResponse is what the first response says of whether the request ran.
type firstResponse int

const (
	neverRan   firstResponse = iota // any class is sent again
	mayHaveRan                      // an unsafe class is not
	isFinal                         // it is the final answer
)

// firstAttempt is a way in which a first attempt can end.
type firstAttempt struct {
	text            string
	then            connectionEnd
	means           firstResponse
	keepsConnection bool // for further requests
}

// expected is how often a request of a class is sent, and the status of its answer.
func (f firstAttempt) expected(class string) (sends, status int) {
	switch {
	case f.means == isFinal:
		return 1, http.StatusOK
	case f.means == mayHaveRan && class == "unsafe":
		return 1, http.StatusBadGateway
	}
	return 2, http.StatusOK
}

// check sends a request of a class to a server whose first response is this one.
func (f firstAttempt) check(t *testing.T, class string) {
	server, sockets := &scriptedServer{first: f.text, then: f.then}, &connectionCounter{}
	s := runReadyService(t, Options{
		Settings: threeClassSettings(time.Hour, time.Hour), Seed: 1, AnyMethod: true,
		Source:   staticSource(server.start(t), "s-1", "s-2"), // of one cell, which share one server's script
		Upstream: upstream.Options{ConnectTimeout: testkit.WaitTimeout, KeepAliveTimeout: time.Hour, SocketLimiter: sockets},
	})
	x := &Exchange{
		Request: control.Request{ID: "a", Class: class, Plan: "p", Customer: "c", Units: 1, FanOut: 1}, Deadline: time.Now().Add(testkit.WaitTimeout),
		Forwarder: newForwarder(t, http.MethodPost, "body", nil),
	}
	sends, status := f.expected(class)
	a, _ := s.Do(t.Context(), x)
	n := server.requests()
	if a.Status != status || n != sends || status == http.StatusOK && string(a.Body) != "ok" {
		t.Errorf("answered %d %q, sent %d times", a.Status, a.Body, n)
	}
	sockets.mu.Lock()
	defer sockets.mu.Unlock()
	if !f.keepsConnection && sockets.maxOpen > 1 {
		t.Error("sent again while the first connection was open")
	}
}

// TestRetryFollowsOutcomeOfFirstAttempt checks that for each way in which a first attempt can end, and each
// idempotency of a class, a request is retried where it may be and only there, over a connection that is
// opened once the unusable one is closed.
func TestRetryFollowsOutcomeOfFirstAttempt(t *testing.T) {
	for name, first := range map[string]firstAttempt{
		"turned away":                 {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", staysOpen, neverRan, true},
		"turned away, ended":          {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\n\r\nno", endsOrderly, neverRan, false},
		"turned away, reset":          {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\n\r\nno", isReset, mayHaveRan, false},
		"turned away in half a head":  {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n", staysOpen, mayHaveRan, false},
		"503":                         {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", staysOpen, mayHaveRan, true},
		"500 that says it never ran":  {"HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", staysOpen, mayHaveRan, true},
		"nothing, ended":              {"", endsOrderly, mayHaveRan, false},
		"nothing, reset":              {"", isReset, mayHaveRan, false},
		"a head, reset":               {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", isReset, mayHaveRan, false},
		"half a body, and silence":    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", staysOpen, mayHaveRan, false},
		"noise":                       {"noise\r\n" + okResponse, staysOpen, mayHaveRan, false},
		"no length, and silence":      {"HTTP/1.1 200 OK\r\n\r\nok", staysOpen, mayHaveRan, false},
		"no length, reset":            {"HTTP/1.1 200 OK\r\n\r\nok", isReset, mayHaveRan, false},
		"no length, ended":            {"HTTP/1.1 200 OK\r\n\r\nok", endsOrderly, isFinal, false},
		"whole, reset right behind":   {okResponse, isReset, isFinal, true},
		"whole, with noise behind it": {okResponse + "HTTP", staysOpen, isFinal, false},
	} {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			t.Run(name+", "+class, func(t *testing.T) {
				t.Parallel()
				first.check(t, class)
			})
		}
	}
}
