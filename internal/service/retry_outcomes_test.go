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

// connectionCounter counts open connections and their maximum.
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

// connectionAction is what a server does with a connection after a response.
type connectionAction int

const (
	keepOpen connectionAction = iota
	closeGracefully
	resetConnection
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// scriptedServer answers its first request with the bytes of first, after which it does afterResponse with the
// connection, and all others with okResponse.
type scriptedServer struct {
	first         string
	afterResponse connectionAction
	mu            sync.Mutex
	count         int // of requests
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
		switch s.afterResponse {
		case keepOpen:
			continue
		case resetConnection:
			_ = c.SetLinger(0)
		}
		return
	}
}

// countRequest counts a request, and returns the count so far.
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

// firstResponse is what the first response implies about whether the request ran.
type firstResponse int

const (
	requestNeverRan   firstResponse = iota // requests of any class are retried
	requestMayHaveRun                      // requests of an unsafe class are not retried
	responseIsFinal                        // it is the final answer
)

// firstAttempt is one way in which a first attempt can end.
type firstAttempt struct {
	response        string
	afterResponse   connectionAction
	meaning         firstResponse
	keepsConnection bool // for further requests
}

// expected returns how often a request of a class is sent, and the status of its answer.
func (f firstAttempt) expected(class string) (sends, status int) {
	switch {
	case f.meaning == responseIsFinal:
		return 1, http.StatusOK
	case f.meaning == requestMayHaveRun && class == "unsafe":
		return 1, http.StatusBadGateway
	}
	return 2, http.StatusOK
}

// check sends a request of a class to a server whose first response is this one.
func (f firstAttempt) check(t *testing.T, class string) {
	server, sockets := &scriptedServer{first: f.response, afterResponse: f.afterResponse}, &connectionCounter{}
	s := runReadyService(t, Options{
		Settings: threeClassSettings(time.Hour, time.Hour), Seed: 1, AnyMethod: true,
		Source:   staticSource(server.start(t), "s-1", "s-2"), // in one cell, both at the same scripted server
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
		t.Errorf("answered with status %d and body %q, sent %d times", a.Status, a.Body, n)
	}
	sockets.mu.Lock()
	defer sockets.mu.Unlock()
	if !f.keepsConnection && sockets.maxOpen > 1 {
		t.Error("retry was sent while the first connection was open")
	}
}

// TestRetryFollowsOutcomeOfFirstAttempt checks for each way in which a first attempt can end, and each idempotency
// of a class, that a request is retried if and only if that is allowed. If the first connection is unusable, the
// retry's connection is opened after it is closed.
func TestRetryFollowsOutcomeOfFirstAttempt(t *testing.T) {
	for name, first := range map[string]firstAttempt{
		"rejected by the server":         {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", keepOpen, requestNeverRan, true},
		"rejected, then closed":          {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\n\r\nno", closeGracefully, requestNeverRan, false},
		"rejected, then reset":           {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\n\r\nno", resetConnection, requestMayHaveRun, false},
		"rejected in an incomplete head": {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n", keepOpen, requestMayHaveRun, false},
		"503":                            {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", keepOpen, requestMayHaveRun, true},
		"500 marked as unprocessed":      {"HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", keepOpen, requestMayHaveRun, true},
		"no response, closed":            {"", closeGracefully, requestMayHaveRun, false},
		"no response, reset":             {"", resetConnection, requestMayHaveRun, false},
		"head, then reset":               {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", resetConnection, requestMayHaveRun, false},
		"half a body, then nothing":      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", keepOpen, requestMayHaveRun, false},
		"noise":                          {"noise\r\n" + okResponse, keepOpen, requestMayHaveRun, false},
		"no length, left open":           {"HTTP/1.1 200 OK\r\n\r\nok", keepOpen, requestMayHaveRun, false},
		"no length, then reset":          {"HTTP/1.1 200 OK\r\n\r\nok", resetConnection, requestMayHaveRun, false},
		"no length, then closed":         {"HTTP/1.1 200 OK\r\n\r\nok", closeGracefully, responseIsFinal, false},
		"complete, then reset":           {okResponse, resetConnection, responseIsFinal, true},
		"complete, then invalid bytes":   {okResponse + "HTTP", keepOpen, responseIsFinal, false},
	} {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			t.Run(name+", "+class, func(t *testing.T) {
				t.Parallel()
				first.check(t, class)
			})
		}
	}
}
