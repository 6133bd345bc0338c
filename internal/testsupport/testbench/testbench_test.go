package testbench_test

import (
	"context"
	"testing"
	"time"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testbench"
	"lockflow/internal/testsupport/testbench/benchtest"
)

// runClients runs clients against the node for a duration and returns their results by kind.
func runClients(bench *testbench.Bench, duration time.Duration, clients ...fake.Clients) map[string]*fake.Result {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var runs []*fake.Run
	for i, c := range clients {
		c.Addr, c.Seed = bench.Node.Addr(), c.Seed+uint64(i)
		runs = append(runs, c.Start(ctx))
	}
	results := make(map[string]*fake.Result)
	for _, r := range runs {
		for k, v := range r.Wait() {
			results[k] = v
		}
	}
	return results
}

func TestDemoServes(t *testing.T) {
	bench := benchtest.Begin(t, testbench.Demo, testbench.DemoServers(1))
	got := runClients(bench, time.Second, fake.Clients{Call: testbench.RosterCall, Interval: 10 * time.Millisecond, Workers: 32, Seed: 1},
		fake.Clients{Call: testbench.DocumentCall, Interval: 20 * time.Millisecond, Workers: 32, Seed: 2})
	for kind, r := range got {
		// On a busy machine calls arrive in bursts, and the concurrency limit rejects a part of each burst.
		if r.Served < r.Calls/4 || r.Calls == 0 || r.Lost+r.Wrong > 0 {
			t.Errorf("%s: %+v", kind, *r)
		}
		t.Logf("%s: %d calls, p50 %v, p99 %v", kind, r.Calls, r.Quantile(0.5), r.Quantile(0.99))
	}
	for name, p := range bench.Pools {
		if c := p.Executions.Counts(); c.Repeated+c.DuplicateEffects > 0 || c.MaxInFlight > 1 {
			t.Errorf("%s: %+v", name, c)
		}
	}
}
