package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/limits"
	"lockflow/internal/retrybuffer"
	"lockflow/internal/route"
	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

// pipeListener is a listener whose connections are pipes, so that a server can run in virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// scriptedModule is a decision module that calls a function of the test for the actions on each request.
type scriptedModule func(control.Request) []control.Action

func (s scriptedModule) Handle(_ time.Duration, e control.Event) []control.Action {
	if r, ok := e.(control.Request); ok {
		return s(r)
	}
	return nil
}

func keepQueued(control.Request) []control.Action { return nil }

func rejectRequest(r control.Request) []control.Action {
	return []control.Action{control.Reject{ID: r.ID, RetryAfter: time.Second}}
}

type fullLimiter struct{}

func (fullLimiter) Admit(int64) (func(), bool) { return nil, false }

// startFront runs a front with one service, which uses a scripted module, until stop is called.
func startFront(t *testing.T, module scriptedModule, limiter service.RequestLimiter, router *route.Router) (listener *pipeListener, f *Front, s *service.Service, stop func()) {
	t.Helper()
	settings := control.Settings{
		GroupSize: 1, MaxRetryAfter: time.Second, Plans: []control.Plan{{Name: "p"}},
		Classes: []control.Class{
			{Name: "read", LatencyObjective: time.Second, Deadline: 20 * time.Second},
			{Name: "write", LatencyObjective: time.Second, Deadline: 20 * time.Second, Idempotency: control.IdempotentWithKey},
		},
	}
	s, err := service.New(service.Options{
		Settings: settings, Limiter: limiter, Upstream: upstream.Options{SocketLimiter: limits.NewSocketLimiter(100)},
		Source: discovery.Source{Kind: discovery.Static}, NewModule: func() (service.Module, error) { return module, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	listener = &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	f = New(&RoutingTable{Router: router, Targets: []Target{{Service: s, MaxBodyBytes: 1 << 16}}}, func() bool { return true })
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Run(ctx) }() // the tests check only what clients receive
	srv := f.Server()
	go srv.Serve(listener)
	return listener, f, s, func() { srv.Close(); cancel() }
}

const requestHeaders = "Host: h\r\nX-Correlation-Id: id-1\r\nX-Tariff: p\r\nX-Time-Left: 15000m\r\nIdempotency-Key: k\r\n"

// Every client is answered or disconnected within 3 s, even if it sends nothing or only a part of a request.
func TestServerDisconnectsSlowClients(t *testing.T) {
	for name, text := range map[string]string{
		"silent":      "",
		"half a head": "POST /write?account=0000000000000001 HTTP/1.1\r\nX-Correlation-Id: x",
		"half a body": "POST /write?account=0000000000000001 HTTP/1.1\r\n" + requestHeaders + "Content-Length: 9\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				received := 0
				listener, _, _, stop := startFront(t, func(control.Request) []control.Action { received++; return nil }, nil, nil)
				defer stop()
				c, startedAt := listener.dial(), time.Now()
				defer c.Close()
				go io.WriteString(c, text)
				raw, _ := io.ReadAll(c) // until the server closes the connection
				if elapsed := time.Since(startedAt); elapsed > 3*time.Second || elapsed < requestReadTimeout {
					t.Errorf("the connection was closed after %v, want between the read timeout and 3 s", elapsed)
				}
				if text := string(raw); text != "" && !strings.HasPrefix(text, "HTTP/1.1 4") {
					t.Errorf("answer %q, want none or a status 4xx", text)
				}
				if received > 0 {
					t.Error("the decision module got the incomplete request")
				}
			})
		})
	}
}

// A request may be queued for longer than the read timeout, and a disconnect of its client is still detected.
func TestQueuedRequestOutlivesReadTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, _, s, stop := startFront(t, keepQueued, nil, nil)
		defer stop()
		c := listener.dial()
		go io.WriteString(c, "POST /write?account=0000000000000001 HTTP/1.1\r\n"+requestHeaders+"Content-Length: 4\r\n\r\nswap")
		time.Sleep(5 * requestReadTimeout)
		synctest.Wait()
		if st := s.Status(); st.Unanswered != 1 {
			t.Errorf("status %+v, want 1 unanswered request", st)
		}
		c.Close()
		synctest.Wait()
		if st := s.Status(); st.Unanswered != 0 || st.Requests != 0 {
			t.Errorf("status after the disconnect: %+v, want no requests", st)
		}
	})
}

// A request over capacity is rejected at once, even if its body has not arrived.
func TestOverCapacityRequestIsRejectedBeforeItsBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, _, _, stop := startFront(t, func(r control.Request) []control.Action {
			if !r.IsOverCapacity {
				t.Error("IsOverCapacity is not set in the request to the decision module")
			}
			return rejectRequest(r)
		}, fullLimiter{}, nil)
		defer stop()
		for _, head := range []string{
			"GET /read?account=0000000000000001 HTTP/1.1\r\n" + requestHeaders + "\r\n",
			"POST /write?account=0000000000000001 HTTP/1.1\r\n" + requestHeaders + "Content-Length: 9\r\n\r\nhalf",
		} {
			c, startedAt := listener.dial(), time.Now()
			go io.WriteString(c, head)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "1" || time.Since(startedAt) > 0 {
				t.Errorf("status %s, header %v after %v; want 503 with Retry-After 1 at once", resp.Status, resp.Header, time.Since(startedAt))
			}
			c.Close()
		}
	})
}

// The routing table may be replaced between two requests on the same connection.
func TestSetTableAppliesToNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router, _ := route.New([]route.Rule{{Prefix: "/read"}})
		listener, f, s, stop := startFront(t, rejectRequest, nil, router)
		defer stop()
		c := listener.dial()
		defer c.Close()
		in := bufio.NewReader(c)
		for i, want := range []int{503, 404, 503} {
			rules := []route.Rule{{Prefix: "/read"}}
			if want == 404 {
				rules[0].Prefix = "/other"
			}
			router, _ := route.New(rules)
			f.SetTable(&RoutingTable{Router: router, Targets: []Target{{Service: s, MaxBodyBytes: 1}}})
			go fmt.Fprintf(c, "GET /read?account=0000000000000001 HTTP/1.1\r\n%s\r\n", requestHeaders)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
			if resp.StatusCode != want {
				t.Errorf("request %d: status %s, want %d", i+1, resp.Status, want)
			}
		}
	})
}

func TestCustomerOf(t *testing.T) {
	for query, want := range map[string]string{
		"account=00000000B4D65521": "00000000b4d65521", "account=1&x=2": "1", "x=2&account=1": "1", "account=%31": "1",
		"account=1&account=2": "", "": "", "x=1": "", "account=": "", "accounts=1": "", "account=1;x": "", "account=a+b": "a b",
	} {
		r, err := http.NewRequest("GET", "http://h/?"+query, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got := customerOf(r.URL); got != want {
			t.Errorf("query %q: customer %q, want %q", query, got, want)
		}
	}
}

// Finish flushes an answer that was written before the body was read completely, and writes nothing if there was none.
func TestFinishFlushesOnlyWrittenAnswers(t *testing.T) {
	for _, answerWritten := range []bool{false, true} {
		w := httptest.NewRecorder()
		call := &genericCall{writer: w, controller: http.NewResponseController(w), hasAnswer: answerWritten}
		call.Forwarder = call
		call.Body = retrybuffer.New(strings.NewReader("the rest"), 0, func() {})
		(&GenericHTTP{}).Finish(&call.Exchange)
		if w.Flushed != answerWritten {
			t.Errorf("answer written %v: flushed %v", answerWritten, w.Flushed)
		}
	}
}

// Whatever a client sends, the parsed values are within the limits of the settings.
func FuzzParseTimeLeftAndWeight(f *testing.F) {
	f.Add("480m", "units=2,spread=3,first=1")
	f.Add("1e3u", "units=0x1p-2,first=2,=,,")
	f.Add("-0m", "spread=1e0,units=1_0")
	rules := &service.RequestRules{GroupSize: 3, MaxUnitsByPlan: map[string]float64{"": 4}}
	f.Fuzz(func(t *testing.T, timeLeft, weight string) {
		if d, err := parseTimeLeft(timeLeft, time.Second); err == nil && (d < 0 || d > time.Second+timeLeftTolerance) {
			t.Errorf("time left %q: %v is out of range", timeLeft, d)
		}
		got := control.Request{Units: 1, FanOut: 1}
		if parseWeight(rules, &got, weight) == nil && !(got.Units > 0 && got.Units <= 4 && got.FanOut >= 1 && got.FanOut <= 3 && got.FirstGateway >= 0 && got.FirstGateway < 3) {
			t.Errorf("weight %q: a value is out of range: %+v", weight, got)
		}
	})
}
