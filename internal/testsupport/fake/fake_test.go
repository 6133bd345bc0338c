package fake

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"lockflow/internal/testsupport/testkit"
)

func startServer(t *testing.T, s Server) *Running {
	t.Helper()
	r, err := s.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// runClients makes calls to a server directly, without a node, so that the results must match what the server did.
func runClients(t *testing.T, r *Running, calls int, modify func(*Clients, *Call)) *Result {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := Clients{Addr: r.Addr(), Seed: r.Seed, Workers: 1}
	template := Call{Kind: "x", Host: "h", Method: "GET", Path: "/x", Plan: "p", Deadline: 5 * time.Second}
	if modify != nil {
		modify(&c, &template)
	}
	callCount := 0
	c.Call = func(*rand.Rand) Call {
		if callCount++; callCount == calls {
			cancel()
		}
		return template
	}
	return c.Start(ctx).Wait()["x"]
}

func TestFaultsAreCounted(t *testing.T) {
	for name, tc := range map[string]struct {
		f    Faults
		want func(*Result, Counts) bool
	}{
		"none":   {Faults{}, func(r *Result, c Counts) bool { return r.Served == 50 && c.Requests == 50 && c.Repeated == 0 }},
		"error":  {Faults{Error: 1}, func(r *Result, c Counts) bool { return r.Failed == 50 && c.Requests == 50 }},
		"reset":  {Faults{Reset: 1}, func(r *Result, c Counts) bool { return r.Lost == 50 && c.Requests == 50 }},
		"spoilt": {Faults{Corrupt: 1}, func(r *Result, c Counts) bool { return r.Lost == 50 && c.Requests == 50 }},
		"away":   {Faults{Reject: 1}, func(r *Result, c Counts) bool { return r.Rejected == 50 && c.Requests == 0 && c.Rejected == 50 }},
		"some": {Faults{Error: 0.3, Reject: 0.3}, func(r *Result, c Counts) bool {
			return r.Served > 10 && r.Failed > 5 && r.Rejected > 5 && r.Served+r.Failed+r.Rejected == 50 && c.Rejected == r.Rejected
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := startServer(t, Server{UID: "s", Faults: tc.f, Seed: 5})
			if got := runClients(t, r, 50, nil); !tc.want(got, r.Executions.Counts()) {
				t.Errorf("clients %+v, servers %+v", *got, r.Executions.Counts())
			}
		})
	}
}

// A group drops the repeat of an idempotency key: the request is executed without an effect. Servers that are not in the
// group don't know the key.
func TestRepeatsAreDropped(t *testing.T) {
	g := &Group{Window: time.Hour}
	executions := &Executions{}
	for _, r := range []*Running{startServer(t, Server{UID: "a", Group: g, Executions: executions, Seed: 1}), startServer(t, Server{UID: "b", Group: g, Executions: executions, Seed: 2})} {
		runClients(t, r, 2, func(_ *Clients, c *Call) { c.Method, c.Key = "POST", "same" })
	}
	if c := executions.Counts(); c.Requests != 4 || c.DuplicateEffects != 0 {
		t.Errorf("servers of one group: got %+v", c)
	}
	runClients(t, startServer(t, Server{UID: "c", Executions: executions, Seed: 3}), 1, func(_ *Clients, c *Call) { c.Method, c.Key = "POST", "same" })
	if c := executions.Counts(); c.DuplicateEffects != 1 {
		t.Errorf("server of another group: got %+v", c)
	}
}

// A server that warms up collapses permanently when its load exceeds the limit.
func TestServerCollapsesWhileWarmingUp(t *testing.T) {
	warmingUp := Server{UID: "s", Work: time.Millisecond, Cores: 1, WarmUp: time.Hour, InitialSpeed: 0.1, OverloadWindow: time.Hour, OverloadFactor: 0.0001}
	r := startServer(t, warmingUp)
	got := runClients(t, r, 100, func(_ *Clients, c *Call) { c.Units = 1 })
	if hasCollapsed, maxOverload := r.Collapsed(); !hasCollapsed || maxOverload <= 1 || got.Served == 0 || got.Lost == 0 {
		t.Errorf("got collapsed %v, maximum overload %g, results %+v", hasCollapsed, maxOverload, *got)
	}
	warmingUp.OverloadFactor = 1e9
	r = startServer(t, warmingUp)
	runClients(t, r, 5, nil)
	if hasCollapsed, maxOverload := r.Collapsed(); hasCollapsed || maxOverload >= 1 {
		t.Errorf("got collapsed %v, maximum overload %g, want no collapse", hasCollapsed, maxOverload)
	}
}

func TestQueueIsBounded(t *testing.T) {
	r := startServer(t, Server{UID: "s", Cores: 1, Queue: 2})
	r.Stall()
	ctx, cancel := context.WithCancel(context.Background())
	run := Clients{Addr: r.Addr(), Workers: 3, Call: func(*rand.Rand) Call {
		return Call{Kind: "x", Host: "h", Method: "GET", Path: "/x", Plan: "p", Deadline: 5 * time.Second}
	}, RetryPause: time.Millisecond}.Start(ctx)
	testkit.Until(t, "a request is rejected", func() bool { return r.Executions.Counts().Rejected > 0 })
	cancel()
	r.Resume()
	if got := run.Wait()["x"]; got.Served < 2 || got.Rejected == 0 || got.Lost > 0 {
		t.Errorf("%+v", *got)
	}
}

func TestMeterAndReports(t *testing.T) {
	m := &Meter{Period: 20 * time.Millisecond, Rate: 100}
	r := startServer(t, Server{UID: "s", Meter: m, Work: time.Millisecond, Cores: 2})
	answerCount := 0
	testkit.Until(t, "usage of a completed period is reported", func() bool {
		req, _ := http.NewRequest("GET", "http://"+r.Addr()+"/x?account=0000000000000001", nil)
		req.Header.Set("X-Correlation-Id", "x")
		req.Header.Set("X-Weight", "units=2,spread=1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.Header.Get("X-True-Cost") != "2" || !strings.Contains(resp.Header.Get("X-Backend-Load"), "latency_ms=") {
			t.Fatalf("%v", resp.Header)
		}
		answerCount++
		used := resp.Header.Get("X-Allowance-Used")
		return used != "" && used != "0"
	})
	if answerCount < 2 {
		t.Error("usage was reported before the end of its period")
	}
}

// Discovery sends the changes to a client that names a known revision, and the complete list to others.
func TestDiscovery(t *testing.T) {
	d, err := StartDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	get := func(from string) string {
		resp, err := http.Get("http://" + d.Addr() + "/v1/servers" + from)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		raw, _ := io.ReadAll(resp.Body)
		return string(raw)
	}
	d.Publish(Entry{UID: "s-1", State: "up"}, Entry{UID: "s-2", State: "up"})
	d.Publish(Entry{UID: "s-1", State: "removed"})
	if l := get(""); !strings.Contains(l, `"all":true`) || strings.Contains(l, "s-1") || !strings.Contains(l, "s-2") {
		t.Error(l)
	}
	if l := get("?from=2"); !strings.Contains(l, `"all":false`) || !strings.Contains(l, "removed") || strings.Contains(l, "s-2") {
		t.Error(l)
	}
	if l := get("?from=99"); !strings.Contains(l, `"all":true`) {
		t.Error(l)
	}
	d.SetSilent(true)
	if l := get(""); l != "" {
		t.Errorf("got %q from a silent discovery", l)
	}
}
