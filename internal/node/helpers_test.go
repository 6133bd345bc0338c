package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// patience bounds every wait of the tests; nothing is expected to come near it.
const patience = 30 * time.Second

// agent is a discovery that tells what a test has it tell.
type agent struct {
	*httptest.Server
	asked chan string   // the query of each watch
	tell  chan string   // a line each; "" ends the watch
	quit  chan struct{} // closed at the end of the test
}

func newAgent(t *testing.T) *agent {
	a := &agent{asked: make(chan string, 100), tell: make(chan string, 100), quit: make(chan struct{})}
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.asked <- r.URL.RequestURI()
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		for {
			select {
			case line := <-a.tell:
				if line == "" {
					return
				}
				io.WriteString(w, line)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			case <-a.quit:
				return
			}
		}
	}))
	t.Cleanup(func() { close(a.quit); a.Close() })
	return a
}

func (a *agent) addr() string { return a.Listener.Addr().String() }

// rig is a node with an agent, and app servers as a test starts them.
type rig struct {
	t     *testing.T
	agent *agent
	node  *Node
	stop  context.CancelFunc
	ended chan error
	told  chan int64 // versions of the list that have been handed to the loop
	rev   int
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, agent: newAgent(t), ended: make(chan error, 1), told: make(chan int64, 100), rev: 7}
	raw, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := parseConfig(raw)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Discovery = r.agent.addr()
	if r.node, err = New(cfg); err != nil {
		t.Fatal(err)
	}
	tell := r.node.discovery.tell
	r.node.discovery.tell = func(l listing) {
		tell(l)
		r.told <- l.Rev
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.ended <- r.node.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		select {
		case err := <-r.ended:
			r.ended <- err
		case <-time.After(patience):
			t.Error("the node did not end")
		}
	})
	return r
}

// list tells the node of changes and returns when the module knows them.
func (r *rig) list(targets ...target) {
	r.t.Helper()
	r.rev++
	line, err := json.Marshal(listing{Rev: int64(r.rev), Targets: targets})
	if err != nil {
		r.t.Fatal(err)
	}
	r.agent.tell <- string(line) + "\n"
	for next(r.t, r.told) != int64(r.rev) {
	}
}

// wait looks at the loop's state, on the loop's goroutine, until it is as wanted.
func (r *rig) wait(what string, is func() bool) {
	r.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		seen := make(chan bool, 1)
		if !r.node.loop.post(func() { seen <- is() }) {
			r.t.Fatalf("%s: the loop has ended", what)
		}
		if <-seen {
			return
		}
	}
	r.t.Fatalf("%s: not in time", what)
}

// call is a client's request that a test may change before it is sent.
func (r *rig) call(method, path, id string) *http.Request {
	req, err := http.NewRequest(method, "http://"+r.node.Addr()+path+"?account=00000000b4d65521", nil)
	if err != nil {
		r.t.Fatal(err)
	}
	for k, v := range map[string]string{headerID: id, headerPlan: "enterprise", headerTimeLeft: "7000m",
		headerWeight: "units=1,spread=1,first=0"} {
		req.Header.Set(k, v)
	}
	if method == http.MethodPost {
		req.Header.Set(headerKey, "k-"+id)
	}
	return req
}

func (r *rig) do(req *http.Request) (*http.Response, string) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	resp, err := http.DefaultTransport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	return resp, string(body)
}

// held has the node hold a request that its app server never answers. The status of
// its final answer comes on the channel.
func (r *rig) held() <-chan int {
	r.t.Helper()
	asked := make(chan struct{})
	silent := never(r.t)
	a := newApp(r.t, func(w http.ResponseWriter, q *http.Request) { close(asked); silent(w, q) })
	r.list(a.target("s-1", 0))
	answered := make(chan int, 1)
	go func() {
		resp, _ := r.do(r.call(http.MethodGet, "/roster-read", "id-1"))
		answered <- resp.StatusCode
	}()
	next(r.t, asked)
	return answered
}

// app is an app server that notes what it is asked.
type app struct {
	*httptest.Server
	mu   sync.Mutex
	seen []string // method, URI and key of each request
}

func newApp(t *testing.T, serve http.HandlerFunc) *app {
	a := &app{}
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		a.mu.Lock()
		a.seen = append(a.seen, strings.TrimSpace(fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Header.Get(headerKey), " ", string(body))))
		a.mu.Unlock()
		serve(w, r)
	}))
	t.Cleanup(a.Close)
	return a
}

// requests are what it has been asked so far.
func (a *app) requests() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.seen)
}

func (a *app) count() int { return len(a.requests()) }

func (a *app) target(uid string, group int) target {
	return target{UID: uid, Endpoint: a.Listener.Addr().String(), Zone: "z1", Group: group, State: "up", Capacity: 1}
}

// pooled are the idle connections to app servers.
func pooled(u *upstream) []*conn {
	var all []*conn
	u.drop(func(c *conn) bool { all = append(all, c); return false })
	return all
}

func served(w http.ResponseWriter, r *http.Request) {
	io.WriteString(w, "served "+r.Header.Get(headerID))
}

func hijack(w http.ResponseWriter) net.Conn {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	return c
}

// reset ends a request's connection with no answer.
func reset(w http.ResponseWriter, _ *http.Request) { hijack(w).Close() }

func never(t *testing.T) http.HandlerFunc {
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-over:
		case <-r.Context().Done():
		}
	}
}
