package metrics

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/redistest"
	"lockflow/internal/testsupport/testbench"
	"lockflow/internal/testsupport/testbench/benchtest"
	"lockflow/internal/testsupport/testkit"
)

// scrape reads what a handler tells, with the parser that Prometheus has.
func scrape(t *testing.T, h http.Handler) map[string]*dto.MetricFamily {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	p := expfmt.NewTextParser(model.UTF8Validation)
	all, err := p.TextToMetricFamilies(w.Body)
	if err != nil || w.Code != http.StatusOK {
		t.Fatalf("%d: %v", w.Code, err)
	}
	return all
}

// sum adds up a family's values whose labels have all the given ones, "k=v" each.
func sum(f *dto.MetricFamily, labels ...string) (v float64) {
	for _, m := range f.GetMetric() {
		var have []string
		for _, l := range m.GetLabel() {
			have = append(have, l.GetName()+"="+l.GetValue())
		}
		all := true
		for _, want := range labels {
			all = all && strings.Contains(" "+strings.Join(have, " ")+" ", " "+want+" ")
		}
		if all {
			v += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return v
}

// What is told is what clients and servers have counted, over a reload too; without the setting
// nothing is counted.
func TestMetricsAgreeWithTallies(t *testing.T) {
	text := strings.Replace(testbench.WithDescriptors(256), "[process]", "[metrics]\naddress = \"127.0.0.1:0\"\n[process]", 1)
	l := benchtest.Begin(t, text, testbench.DemoServers(1))
	h := Handler(l.Node)
	ctx, stop := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer stop()
	run := fake.Clients{Addr: l.Node.Addr(), Seed: 1, Workers: 6, Call: testbench.RosterCall}.Start(ctx)
	if err := l.Reload(strings.Replace(text, "[services.rosters]", "[services.rosters]\nattempts = 5", 1)); err != nil {
		t.Fatal(err)
	}
	r := run.Wait()["rosters"]
	all := scrape(t, h)
	c := l.Pools["rosters"].Executions.Counts()
	for what, pair := range map[string][2]float64{
		"served":     {sum(all["lockflow_requests_total"], "service=rosters", "outcome=served"), float64(r.Served)},
		"refused":    {sum(all["lockflow_requests_total"], "service=rosters", "outcome=refused"), float64(r.Rejected)},
		"refusals":   {sum(all["lockflow_refusals_total"], "service=rosters"), float64(r.Rejected)},
		"attempts":   {sum(all["lockflow_attempts_total"], "service=rosters", "outcome=ok"), float64(c.Requests)},
		"held":       {sum(all["lockflow_requests_held"]), 0},
		"servers":    {sum(all["lockflow_servers"], "service=rosters", "condition=up"), 4},
		"generation": {sum(all["lockflow_generation"]), 2},
		"documents":  {sum(all["lockflow_requests_total"], "service=documents"), 0},
	} {
		if pair[0] != pair[1] {
			t.Errorf("%s: %g is told, %g was counted", what, pair[0], pair[1])
		}
	}
	if r.Served == 0 || sum(all["lockflow_attempts_bound"], "service=rosters") <= 0 || sum(all["lockflow_part_guaranteed"], "service=rosters", "limit=held") != 60 {
		t.Errorf("%d served, %v", r.Served, all["lockflow_attempts_bound"])
	}
	if off := benchtest.Begin(t, testbench.WithDescriptors(256), testbench.DemoServers(1)); len(off.Node.RequestCounts()) > 0 {
		t.Error("counted without being asked")
	}
}

// Where servers are spoken to by HTTP/2, its connections and streams are told, and only there.
func TestSharedConnections(t *testing.T) {
	app, err := fake.HTTP2Server{UID: "s0", Streams: 7}.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(app.Close)
	text := strings.Replace(testkit.Small, "[services.a]", "[services.a]\nservers = { protocol = \"http/2\" }", 1)
	text = strings.Replace(text, "127.0.0.1:1\"", app.Addr()+"\"", 1)
	l := benchtest.Begin(t, text, nil)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	run := fake.Clients{Addr: l.Node.Addr(), Seed: 1, Workers: 2, Call: func(*rand.Rand) fake.Call {
		return fake.Call{Kind: "r", Host: "h", Method: "GET", Path: "/r", Plan: "p", Deadline: 3 * time.Second}
	}}.Start(ctx)
	testkit.Until(t, "answers", func() bool { return run.Snapshot()["r"].Served > 10 })
	stop()
	run.Wait()
	h := Handler(l.Node)
	testkit.Until(t, "the last stream's end", func() bool { return sum(scrape(t, h)["lockflow_server_streams"], "state=open") == 0 })
	all := scrape(t, h)
	for name, want := range map[string]float64{"server_connections_shared": 1, "server_stream_waits": 0, "servers_fallen_back": 0} {
		f := all["lockflow_"+name]
		if f == nil || sum(f, "service=a") != want {
			t.Errorf("%s is %v", name, f)
		}
	}
	if room := sum(all["lockflow_server_streams"], "state=room"); room != 7 {
		t.Errorf("room for %g streams", room)
	}
	if f := scrape(t, Handler(benchtest.Begin(t, testkit.Small, nil).Node))["lockflow_server_streams"]; f != nil {
		t.Errorf("over HTTP/1.1: %v", f)
	}
}

// What a service has of shared ceilings is told by counter, and only where some are shared.
func TestSharedCeilings(t *testing.T) {
	counter, err := redistest.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(counter.Close)
	text := strings.Replace(testkit.Small, "[plans.p]", "[plans.p]\nceiling_rate = 10\nceiling_burst = 10", 1)
	text = strings.Replace(text, "[services.a]", "[services.a]\ncounter = { addresses = [\""+counter.Addr()+
		"\"], term = \"50ms\", pledge = \"100ms\", settle = \"100ms\" }", 1)
	l := benchtest.Begin(t, text, nil)
	h := Handler(l.Node)
	testkit.Until(t, "a counter that lends", func() bool {
		all := scrape(t, h)
		return sum(all["lockflow_counter_lends"], "service=a", "counter="+counter.Addr()) == 1 && sum(all["lockflow_counter_own_part"]) == 0
	})
	if n := sum(scrape(t, h)["lockflow_counter_calls_total"], "service=a"); n < 2 {
		t.Errorf("%g calls", n)
	}
	counter.SetFaults(redistest.Faults{IsSilent: true})
	counter.CloseConns()
	testkit.Until(t, "a part of its own", func() bool { return sum(scrape(t, h)["lockflow_counter_own_part"]) == 1 })
	if f := scrape(t, Handler(benchtest.Begin(t, testkit.Small, nil).Node))["lockflow_counter_lends"]; f != nil {
		t.Errorf("with nothing shared: %v", f)
	}
}

func TestServeEnds(t *testing.T) {
	l := benchtest.Begin(t, testbench.WithDescriptors(256), testbench.DemoServers(1))
	srv := httptest.NewServer(nil) // only for its listener
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	srv.Listener.Close()
	go func() { ended <- Serve(ctx, srv.Listener, l.Node) }()
	if err := <-ended; err == nil {
		t.Error("a closed listener, and no error")
	}
	stop()
	srv.Close()
}
