package service

import (
	"context"
	"encoding/json"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/google/renameio/v2"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/limits"
	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/upstream"
)

// listingModule is a module that sends each request to a server of a uid, sends it there again after a failed attempt as
// long as the server is listed, and else answers it as failed.
type listingModule struct {
	repeatTo uint32 // number of the second server
	isListed map[uint32]bool
	lists    chan int // number of servers after each list
}

func (m *listingModule) Handle(_ time.Duration, e control.Event) []control.Action {
	switch e := e.(type) {
	case control.EndpointList:
		if e.Kind != control.ListPatch {
			clear(m.isListed)
		}
		for _, endpoint := range e.Endpoints {
			m.isListed[endpoint.Server] = endpoint.State == control.Active
		}
		m.lists <- len(m.isListed)
	case control.Request:
		return []control.Action{control.Send{ID: e.ID, Server: 1}}
	case control.AttemptResult:
		if e.IsFinal {
			return nil
		}
		if m.isListed[m.repeatTo] {
			return []control.Action{control.Send{ID: e.ID, Server: m.repeatTo}}
		}
		return []control.Action{control.Fail{ID: e.ID}}
	}
	return nil
}

// replacedSourceTest is a service with a request at a server that does not answer, and another server.
type replacedSourceTest struct {
	t        *testing.T
	service  *Service
	module   *listingModule
	received chan string // by which server each request was received
	reset    func()      // has the first server reset its request
	answers  <-chan Answer
	servers  []discovery.Endpoint
}

func newReplacedSourceTest(t *testing.T, source func(servers []discovery.Endpoint) discovery.Source) *replacedSourceTest {
	mayReset := make(chan struct{})
	x := &replacedSourceTest{t: t, received: make(chan string, 10), reset: sync.OnceFunc(func() { close(mayReset) })}
	first := testkit.NewApp(t, func(w http.ResponseWriter, _ *http.Request) {
		x.received <- "s-1"
		<-mayReset
		testkit.Hijack(w).Close()
	})
	second := testkit.NewApp(t, func(http.ResponseWriter, *http.Request) { x.received <- "s-2" })
	t.Cleanup(x.reset)
	x.servers = []discovery.Endpoint{
		{UID: "s-1", Address: first.Addr(), State: "up"},
		{UID: "s-2", Address: second.Addr(), State: "up"},
	}
	x.service, x.module = x.start(source(x.servers), discovery.EndpointList{})
	testkit.Next(t, x.module.lists)
	e := newExchange("a")
	e.Deadline, e.Forwarder = time.Now().Add(time.Hour), newForwarder(t, http.MethodPost, "body", nil)
	x.answers = doInBackground(t.Context(), x.service, e)
	if got := testkit.Next(t, x.received); got != "s-1" {
		t.Fatalf("request received by %s, want s-1", got)
	}
	return x
}

// start runs a service with connections of its own.
func (x *replacedSourceTest) start(source discovery.Source, cached discovery.EndpointList) (*Service, *listingModule) {
	x.t.Helper()
	module := &listingModule{repeatTo: 2, isListed: make(map[uint32]bool), lists: make(chan int, 100)}
	o := Options{Settings: testSettings(), NewModule: moduleOf(module), Source: source, CachedEndpoints: cached}
	o.Settings.Classes[0].Idempotency = control.IdempotentWithKey
	o.Upstream = upstream.Options{SocketLimiter: limits.NewSocketLimiter(100), ConnectTimeout: testkit.WaitTimeout, KeepAliveTimeout: time.Hour}
	if x.service == nil {
		return runService(x.t, o), module
	}
	s, err := New(o)
	if err != nil {
		x.t.Fatal(err)
	}
	return s, module
}

// run runs a service that start has created until the test ends.
func (x *replacedSourceTest) run(s *Service) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	x.t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			x.t.Error(err)
		}
	})
}

// replace replaces a service with one of another source.
func (x *replacedSourceTest) replace(current *Service, source discovery.Source) *Service {
	cached := current.Endpoints()
	cached.Revision = 0
	next, _ := x.start(source, cached)
	current.ReplaceWith(next)
	x.run(next)
	return next
}

// requireNoRepeat resets the request, and requires that it is not sent to the second server.
func (x *replacedSourceTest) requireNoRepeat() {
	x.t.Helper()
	x.reset()
	answer := testkit.Next(x.t, x.answers)
	select {
	case got := <-x.received:
		x.t.Errorf("the repeat was received by %s, which the new source does not list (answer %+v)", got, answer)
	default:
	}
}

func static(servers ...discovery.Endpoint) discovery.Source {
	return discovery.Source{Kind: discovery.Static, Endpoints: servers}
}

// TestReplacedServiceFollowsNewSource checks that a service that a reload has replaced goes by the lists of its
// replacement's source: a repeat to a server that only the old list names may reach another pod at its address, which
// does not drop it.
func TestReplacedServiceFollowsNewSource(t *testing.T) {
	t.Run("one reload", func(t *testing.T) {
		x := newReplacedSourceTest(t, func(servers []discovery.Endpoint) discovery.Source { return static(servers...) })
		x.replace(x.service, static(x.servers[0]))
		testkit.Until(t, "the new list at the old service", func() bool { return testkit.Next(t, x.module.lists) == 1 })
		x.requireNoRepeat()
	})
	t.Run("a reload within a reload", func(t *testing.T) {
		x := newReplacedSourceTest(t, func(servers []discovery.Endpoint) discovery.Source { return static(servers...) })
		second := x.replace(x.service, static(x.servers...))
		third := x.replace(second, static(x.servers...))
		second.Retire()
		<-second.Ended()
		third.SetSource(static(x.servers[0]))
		testkit.Until(t, "the newest list at the first service", func() bool { return testkit.Next(t, x.module.lists) == 1 })
		x.requireNoRepeat()
	})
	t.Run("the old source changes", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "servers")
		write := func(list discovery.EndpointList) {
			text, err := json.Marshal(list)
			if err == nil {
				err = renameio.WriteFile(path, text, 0o600)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		x := newReplacedSourceTest(t, func(servers []discovery.Endpoint) discovery.Source {
			write(discovery.EndpointList{Revision: 1, IsComplete: true, Endpoints: servers})
			return discovery.Source{Kind: discovery.File, Path: path}
		})
		x.replace(x.service, static(discovery.Endpoint{UID: "s-3", Address: x.servers[0].Address, State: "up"}))
		testkit.Until(t, "the new list at the old service", func() bool { return testkit.Next(t, x.module.lists) == 1 })
		write(discovery.EndpointList{Revision: 2, IsComplete: true, Endpoints: x.servers})
		time.Sleep(1500 * time.Millisecond) // the file is checked each second
		if n := len(x.service.Endpoints().Endpoints); n != 1 {
			t.Errorf("%d servers after a change of the old source, want 1", n)
		}
		x.requireNoRepeat()
	})
}
