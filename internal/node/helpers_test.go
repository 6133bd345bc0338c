package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/discovery"
	"lockflow/internal/protocol"
	"lockflow/internal/service"
	"lockflow/internal/testsupport/testkit"
)

// testNode is a node with a fake discovery agent. Tests start app servers for it.
type testNode struct {
	http.Transport // not http.DefaultTransport, whose idle connections any httptest.Server.Close closes
	t              *testing.T
	agent          *testkit.FakeDiscovery
	node           *Node
	runContext     context.Context
	stop           context.CancelFunc
	ended          chan error
	revision       int
}

func newTestNode(t *testing.T) *testNode {
	t.Helper()
	return newTestNodeWithDrain(t, config.Drain{}) // drains without waiting
}

func newTestNodeWithDrain(t *testing.T, drain config.Drain) *testNode {
	r := newIdleTestNode(t, drain)
	r.run()
	return r
}

// newIdleTestNode creates a testNode that listens but does not run until the test calls run.
func newIdleTestNode(t *testing.T, drain config.Drain) *testNode {
	t.Helper()
	cfg, err := config.LoadPlatform("../config/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Process.Drain = drain
	return newIdleTestNodeWithConfig(t, cfg)
}

// newTestNodeWithConfig runs a node with a platform configuration, whose discovery address it replaces by that of a fake
// agent.
func newTestNodeWithConfig(t *testing.T, cfg config.Config) *testNode {
	t.Helper()
	r := newIdleTestNodeWithConfig(t, cfg)
	r.run()
	return r
}

func newIdleTestNodeWithConfig(t *testing.T, cfg config.Config) *testNode {
	t.Helper()
	r := &testNode{t: t, agent: testkit.NewFakeDiscovery(t), ended: make(chan error, 1), revision: 7}
	cfg.Services[0].Source.Address = r.agent.Addr()
	var err error
	if r.node, err = New(cfg); err != nil {
		t.Fatal(err)
	}
	r.runContext, r.stop = context.WithCancel(context.Background())
	return r
}

// run runs the node until stop is called, which may have happened before.
func (r *testNode) run() {
	go func() { r.ended <- r.node.Run(r.runContext) }()
	r.t.Cleanup(func() {
		r.CloseIdleConnections()
		r.stop()
		select {
		case err := <-r.ended:
			r.ended <- err
		case <-time.After(testkit.WaitTimeout):
			r.t.Error("the node did not end in time")
		}
	})
}

// setEndpoints publishes changed endpoints and returns once the decision module has received them.
func (r *testNode) setEndpoints(targets ...discovery.Endpoint) {
	r.t.Helper()
	r.revision++
	line, err := json.Marshal(discovery.EndpointList{Revision: int64(r.revision), Endpoints: targets})
	if err != nil {
		r.t.Fatal(err)
	}
	r.agent.Lines <- string(line) + "\n"
	testkit.Until(r.t, "the new endpoint list", func() bool {
		known := r.service().Endpoints().Revision == int64(r.revision)
		if known {
			r.status() // waits until the event loop has handled all earlier events
		}
		return known
	})
}

// service returns the node's only service.
func (r *testNode) service() *service.Service { return r.node.services[""].Service }

func (r *testNode) status() service.Status { return r.service().Status() }

func (r *testNode) waitUntil(event string, condition func() bool) {
	r.t.Helper()
	testkit.Until(r.t, event, condition)
}

// isDraining reports whether an answer of the node closes its connection.
func (r *testNode) isDraining() bool {
	resp, err := http.Get("http://" + r.node.Addr() + "/healthz")
	if err != nil {
		r.t.Fatal(err)
	}
	resp.Body.Close()
	return resp.Close
}

func endpointOf(app *testkit.App, uid string, group int) discovery.Endpoint {
	return discovery.Endpoint{UID: uid, Address: app.Addr(), Zone: "z1", Group: group, State: "up", Capacity: 1}
}

// newRequest returns a valid client request, which a test may change before sending it.
func (r *testNode) newRequest(method, path, id string) *http.Request {
	req, err := http.NewRequest(method, "http://"+r.node.Addr()+path+"?account=00000000b4d65521", nil)
	if err != nil {
		r.t.Fatal(err)
	}
	for k, v := range map[string]string{
		protocol.HeaderID: id, protocol.HeaderPlan: "enterprise", protocol.HeaderTimeLeft: "7000m",
		protocol.HeaderWeight: "units=1,spread=1,first=0",
	} {
		req.Header.Set(k, v)
	}
	if method == http.MethodPost {
		req.Header.Set(protocol.HeaderIdempotencyKey, "k-"+id)
	}
	return req
}

func (r *testNode) do(req *http.Request) (*http.Response, string) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
	defer cancel()
	resp, err := r.RoundTrip(req.WithContext(ctx))
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

// holdRequest sends a request that its app server never answers, and returns once the server has received it. The channel
// receives the status of the final answer.
func (r *testNode) holdRequest() <-chan int {
	r.t.Helper()
	accepted := make(chan struct{})
	silent := testkit.BlockUntilCanceled(r.t)
	app := testkit.NewApp(r.t, func(w http.ResponseWriter, req *http.Request) { close(accepted); silent(w, req) })
	r.setEndpoints(endpointOf(app, "s-1", 0))
	answered := make(chan int, 1)
	go func() {
		resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1"))
		answered <- resp.StatusCode
	}()
	testkit.Next(r.t, accepted)
	return answered
}
