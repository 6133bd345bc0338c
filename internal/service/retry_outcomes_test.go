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
	"lockflow/internal/discovery"
	"lockflow/internal/testkit"
	"lockflow/internal/upstream"
)

// connectionCounter books connections and notes how many were open at once.
type connectionCounter struct {
	mu            sync.Mutex
	open, maxOpen int
}

func (a *connectionCounter) Take() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open++
	a.maxOpen = max(a.maxOpen, a.open)
	return true
}

func (a *connectionCounter) Give() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open--
}

// How a connection goes on behind an answer.
type connectionEnd int

const (
	staysOpen connectionEnd = iota
	endsOrderly
	isReset
)

// Of each way in which a first attempt can end, and each effect of a class, a request is sent again where it
// may be and only there, over a connection that comes up once the spoilt one is closed.
func TestRetryFollowsOutcomeOfFirstAttempt(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	const (
		never  = iota // ran: any class goes again
		may           // it may have
		served        // it is the answer
	)
	for name, tc := range map[string]struct {
		text  string
		then  connectionEnd
		means int
		kept  bool // the connection is, for further requests
	}{
		"turned away":                 {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", staysOpen, never, true},
		"turned away, ended":          {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\n\r\nno", endsOrderly, never, false},
		"turned away, reset":          {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\n\r\nno", isReset, may, false},
		"turned away in half a head":  {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n", staysOpen, may, false},
		"503":                         {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", staysOpen, may, true},
		"500 that says it never ran":  {"HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", staysOpen, may, true},
		"nothing, ended":              {"", endsOrderly, may, false},
		"nothing, reset":              {"", isReset, may, false},
		"a head, reset":               {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", isReset, may, false},
		"half a body, and silence":    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", staysOpen, may, false},
		"noise":                       {"noise\r\n" + ok, staysOpen, may, false},
		"no length, and silence":      {"HTTP/1.1 200 OK\r\n\r\nok", staysOpen, may, false},
		"no length, reset":            {"HTTP/1.1 200 OK\r\n\r\nok", isReset, may, false},
		"no length, ended":            {"HTTP/1.1 200 OK\r\n\r\nok", endsOrderly, served, false},
		"whole, reset right behind":   {ok, isReset, served, true},
		"whole, with noise behind it": {ok + "HTTP", staysOpen, served, false},
	} {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			t.Run(name+", "+class, func(t *testing.T) {
				t.Parallel()
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
				came := make(chan int, 1)
				came <- 0
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						go func() {
							defer c.Close()
							for in := bufio.NewReader(c); ; {
								q, err := http.ReadRequest(in)
								if err != nil {
									return
								}
								if _, err := io.Copy(io.Discard, q.Body); err != nil {
									return
								}
								n := <-came
								if came <- n + 1; n > 0 {
									io.WriteString(c, ok)
									continue
								}
								if io.WriteString(c, tc.text); tc.then == staysOpen {
									continue
								}
								if tc.then == isReset {
									c.(*net.TCPConn).SetLinger(0)
								}
								return
							}
						}()
					}
				}()
				set := control.Settings{
					GroupSize: 1, MaxRetryAfter: time.Second, MaxAttempts: 3, Plans: []control.Plan{{Name: "p", Price: 1}},
					Classes: []control.Class{{Name: "safe", Idempotency: control.Idempotent}, {Name: "keyed", Idempotency: control.IdempotencyKeyed, RepeatWindow: time.Hour}, {Name: "unsafe", Idempotency: control.NotIdempotent}},
				}
				for i := range set.Classes {
					set.Classes[i].LatencyObjective, set.Classes[i].Deadline, set.Classes[i].PriorityWeight = time.Hour, time.Hour, 1
				}
				socks, ready := &connectionCounter{}, make(chan struct{})
				var servers []discovery.Target // two, of one group, that share what is asked of them
				for _, uid := range []string{"s-1", "s-2"} {
					servers = append(servers, discovery.Target{UID: uid, Endpoint: l.Addr().String(), State: "up", Capacity: 1})
				}
				s, err := New(Options{
					Settings: set, AnyMethod: true, OnReady: func() { close(ready) }, Source: discovery.Source{Kind: discovery.Static, Servers: servers},
					NewModule: func() (Module, error) { return control.New(set, 1) },
					Upstream:  upstream.Options{Connect: testkit.Patience, Keepalive: time.Hour, Sockets: socks},
				})
				if err != nil {
					t.Fatal(err)
				}
				ctx, stop := context.WithCancel(context.Background())
				over := make(chan error, 1)
				go func() { over <- s.Run(ctx) }()
				defer func() {
					stop()
					if err := <-over; err != nil {
						t.Error(err)
					}
					s.Upstream().Evict(0)
				}()
				testkit.Next(t, ready)
				q, err := http.NewRequest(http.MethodPost, "http://h/x", nil)
				if err != nil {
					t.Fatal(err)
				}
				x := &Exchange{
					Request: control.Request{ID: "a", Class: class, Plan: "p", Customer: "c", Units: 1, FanOut: 1}, Deadline: time.Now().Add(testkit.Patience),
					Forwarder: &upstream.Whole{Request: q, Body: []byte("body")},
				}
				sends, status := 2, http.StatusOK
				switch {
				case tc.means == served:
					sends = 1
				case tc.means == may && class == "unsafe":
					sends, status = 1, http.StatusBadGateway
				}
				a, _ := s.Do(t.Context(), x)
				n := <-came
				if a.Status != status || n != sends || status == http.StatusOK && string(a.Body) != "ok" {
					t.Errorf("answered %d %q, sent %d times", a.Status, a.Body, n)
				}
				socks.mu.Lock()
				defer socks.mu.Unlock()
				if !tc.kept && socks.maxOpen > 1 {
					t.Error("sent again while the first connection was open")
				}
			})
		}
	}
}
