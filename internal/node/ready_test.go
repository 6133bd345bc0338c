package node

import (
	"net"
	"net/http"
	"testing"

	"lockflow/internal/config"
	"lockflow/internal/discovery"
	"lockflow/internal/testsupport/testkit"
)

// A node that restarts with a cached endpoint list becomes ready and serves before discovery has answered, whether the
// agent is down, accepts connections without answering, or answers late. A late answer applies once it arrives.
func TestCachedEndpointsMakeNodeReadyBeforeDiscovery(t *testing.T) {
	listen := func(t *testing.T) net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		return l
	}
	for name, address := range map[string]func(t *testing.T) string{
		"down":   func(t *testing.T) string { l := listen(t); l.Close(); return l.Addr().String() },
		"silent": func(t *testing.T) string { return listen(t).Addr().String() }, // the kernel completes the connections
		"late":   nil,
	} {
		t.Run(name, func(t *testing.T) { checkReadyFromCachedEndpoints(t, address) })
	}
}

// checkReadyFromCachedEndpoints runs a node with a server from a cached endpoint list and with its discovery agent at
// address. If address is nil, the agent answers late.
func checkReadyFromCachedEndpoints(t *testing.T, address func(*testing.T) string) {
	served := testkit.NewApp(t, testkit.AnswerServed)
	cfg, err := config.LoadPlatform("../config/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Process.Drain = config.Drain{}
	s := &cfg.Services[0]
	s.Known = discovery.EndpointList{Revision: 41, IsComplete: true, Endpoints: []discovery.Endpoint{endpointOf(served, "s-1", 0)}}
	r := newIdleTestNodeWithConfig(t, cfg)
	if address != nil {
		cfg.Services[0].Source.Address = address(t)
		if r.node, err = New(cfg); err != nil {
			t.Fatal(err)
		}
	}
	r.run()
	r.waitUntil("ready", r.node.isReady)
	health, err := http.NewRequest(http.MethodGet, "http://"+r.node.Addr()+"/healthz", nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp, _ := r.do(health); resp.StatusCode != http.StatusOK {
		t.Errorf("/healthz: %s, want 200", resp.Status)
	}
	if resp, body := r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1")); resp.StatusCode != http.StatusOK {
		t.Errorf("request: %s %s, want 200", resp.Status, body)
	}
	if address != nil {
		return
	}
	other := testkit.NewApp(t, testkit.AnswerServed)
	r.revision = 50
	r.setEndpoints(discovery.Endpoint{UID: "s-1", State: "draining"}, endpointOf(other, "s-2", 0))
	r.do(r.newRequest(http.MethodGet, "/roster-read", "id-2"))
	if served.Count() != 1 || other.Count() != 1 {
		t.Errorf("the cached server got %d requests and the later one %d, want one each", served.Count(), other.Count())
	}
}
