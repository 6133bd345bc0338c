package service

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/limits"
	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/upstream"
)

// moduleFunc is a module that handles events by a function of the test.
type moduleFunc func(control.Event) []control.Action

func (f moduleFunc) Handle(_ time.Duration, e control.Event) []control.Action { return f(e) }

// rejectAll rejects each request at once.
func rejectAll(e control.Event) []control.Action {
	if r, ok := e.(control.Request); ok {
		return []control.Action{control.Reject{ID: r.ID, RetryAfter: time.Second}}
	}
	return nil
}

// ignoreAll leaves each request without an answer until its service ends.
func ignoreAll(control.Event) []control.Action { return nil }

// sendToFirstServer makes one attempt for each request, at the first server.
func sendToFirstServer(e control.Event) []control.Action {
	if r, ok := e.(control.Request); ok {
		return []control.Action{control.Send{ID: r.ID, Server: 1}}
	}
	return nil
}

// moduleOf returns a constructor that always returns m.
func moduleOf(m Module) func() (Module, error) {
	return func() (Module, error) { return m, nil }
}

// idempotencies are the idempotencies of classes by their names in subtests.
var idempotencies = map[string]control.Idempotency{
	"safe": control.Idempotent, "keyed": control.IdempotentWithKey, "unsafe": control.NotIdempotent,
}

// testSettings returns the settings of a service with one class, "read", and one plan, "p".
func testSettings() control.Settings {
	return control.Settings{
		GroupSize: 1, MaxRetryAfter: time.Second, MaxAttempts: 3,
		Classes: []control.Class{{Name: "read", LatencyObjective: time.Second, Deadline: 5 * time.Second}}, Plans: []control.Plan{{Name: "p"}},
	}
}

// threeClassSettings returns the settings of a service with a class of each idempotency, named as in idempotencies,
// and one plan, "p".
func threeClassSettings(deadline, repeatWindow time.Duration) control.Settings {
	s := control.Settings{
		GroupSize: 1, MaxRetryAfter: time.Second, MaxAttempts: 3, Plans: []control.Plan{{Name: "p", Price: 1}},
		Classes: []control.Class{
			{Name: "safe", Idempotency: control.Idempotent},
			{Name: "keyed", Idempotency: control.IdempotentWithKey, RepeatWindow: repeatWindow},
			{Name: "unsafe", Idempotency: control.NotIdempotent},
		},
	}
	for i := range s.Classes {
		s.Classes[i].LatencyObjective, s.Classes[i].Deadline, s.Classes[i].PriorityWeight = deadline, deadline, 1
	}
	return s
}

// staticSource returns a source that lists servers with these uids, all at one address.
func staticSource(address string, uids ...string) discovery.Source {
	source := discovery.Source{Kind: discovery.Static}
	for _, uid := range uids {
		source.Endpoints = append(source.Endpoints, discovery.Endpoint{UID: uid, Address: address, State: "up", Capacity: 1})
	}
	return source
}

// startService creates a service with one server, at an address where nothing listens, and runs it until the test
// ends, in a synctest bubble.
func startService(t *testing.T, o Options) (*Service, <-chan error) {
	t.Helper()
	s, handle := startStoppableService(t, o)
	return s, handle.ended
}

// serviceHandle lets a test stop a service and receive the error with which it ended.
type serviceHandle struct {
	stop  context.CancelFunc
	ended <-chan error
}

// startStoppableService is startService for a service that the test may stop earlier.
func startStoppableService(t *testing.T, o Options) (*Service, serviceHandle) {
	t.Helper()
	if o.Settings.GroupSize == 0 {
		o.Settings = testSettings()
	}
	o.Upstream.SocketLimiter = limits.NewSocketLimiter(100)
	o.Source = discovery.Source{Kind: discovery.Static, Endpoints: []discovery.Endpoint{{UID: "s-1", Address: "127.0.0.1:1", State: "up"}}}
	s, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() { stop(); synctest.Wait() })
	return s, serviceHandle{stop, ended}
}

// runService creates a service and runs it, in real time, until the test ends. Run has to return no error.
func runService(t *testing.T, o Options) *Service {
	t.Helper()
	s, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		s.Upstream().Evict(0)
	})
	return s
}

// runReadyService is runService, but waits until the service is ready.
func runReadyService(t *testing.T, o Options) *Service {
	t.Helper()
	ready := make(chan struct{})
	o.OnReady = func() { close(ready) }
	s := runService(t, o)
	testkit.Next(t, ready)
	return s
}

// newExchange returns a request of class "read".
func newExchange(id string) *Exchange {
	return &Exchange{Request: control.Request{ID: id, Class: "read", Plan: "p"}, Forwarder: &upstream.BufferedRequest{Request: &http.Request{}}, Deadline: time.Now().Add(5 * time.Second)}
}

// newForwarder returns a buffered request with a body and header.
func newForwarder(t *testing.T, method, body string, header http.Header) *upstream.BufferedRequest {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, "http://h/read", nil)
	if err != nil {
		t.Fatal(err)
	}
	if header != nil {
		request.Header = header
	}
	forwarder := &upstream.BufferedRequest{Request: request}
	if body != "" {
		forwarder.Body = []byte(body)
	}
	return forwarder
}

// doInBackground has a service serve a request in a new goroutine, and returns the channel of its answer.
func doInBackground(ctx context.Context, s *Service, x *Exchange) <-chan Answer {
	answers := make(chan Answer, 1)
	go func() {
		a, _ := s.Do(ctx, x)
		answers <- a
	}()
	return answers
}

// scriptedForwarder is a request whose attempts are a function of the test.
type scriptedForwarder struct {
	upstream.BufferedRequest
	attempt func(ctx context.Context) upstream.Outcome
}

func (f *scriptedForwarder) Attempt(ctx, _ context.Context, _ *upstream.Upstream, _ *upstream.Pool) upstream.Outcome {
	return f.attempt(ctx)
}

// startBothProtocols starts a server that speaks HTTP/1.1 and HTTP/2, both without TLS, and returns its
// address.
func startBothProtocols(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
