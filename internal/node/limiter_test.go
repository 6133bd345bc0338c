package node_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"lockflow/internal/node"
	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testbench"
	"lockflow/internal/testsupport/testbench/benchtest"
	"lockflow/internal/testsupport/testkit"
)

// startLoad starts clients that request a path continuously. stop ends them and returns their results.
func startLoad(bench *testbench.Bench, path string, workers int) (stop func() *fake.Result) {
	ctx, cancel := context.WithCancel(context.Background())
	run := fake.Clients{Addr: bench.Node.Addr(), Seed: 77, Workers: workers, RetryPause: 5 * time.Millisecond, Call: func(rng *rand.Rand) fake.Call {
		time.Sleep(5 * time.Millisecond)
		return fake.Call{Kind: "x", Host: "h", Method: "GET", Path: path, Plan: "standard", Customer: rng.Uint64N(100), Deadline: 5 * time.Second}
	}}.Start(ctx)
	return func() *fake.Result {
		cancel()
		return run.Wait()["x"]
	}
}

// checkOtherServiceServes sends 20 requests in sequence to the other service; all of them must be served.
func checkOtherServiceServes(t *testing.T, bench *testbench.Bench) {
	t.Helper()
	c, in := dial(t, bench)
	for i := range 20 {
		writeRequest(c, "h", "/two", fmt.Sprint("two-", i), "x", 1)
		if status, body := readAnswer(t, in); status != 200 {
			t.Errorf("request %d of the other service: %d %q", i, status, body)
		}
	}
}

// A service that buffers as many bytes as it may leaves the other service its guaranteed bytes.
func TestBufferedBytesAreBoundedByService(t *testing.T) {
	bench := benchtest.Begin(t, strings.Replace(twoServicesConfig, "[process]\n", "[process]\nbytes = \"1MiB\"\n", 1), twoServerPools(0)) // enough for 8 requests
	bench.Pools["a"].Stall(true)
	stop := startLoad(bench, "/one", 30)
	testkit.Until(t, "rejected requests", func() bool { return bench.Node.Status()[0].Resources.BufferedBytes.Denied > 10 })
	checkOtherServiceServes(t, bench)
	a, b := bench.Node.Status()[0].Resources.BufferedBytes, bench.Node.Status()[1].Resources.BufferedBytes
	if a.Used+b.Used > 1<<20 || a.Used <= a.Guaranteed-1<<17 {
		t.Errorf("buffered bytes of service a %+v, of service b %+v", a, b)
	}
	bench.Pools["a"].Stall(false)
	if r := stop(); r.Rejected == 0 || r.Lost > 0 {
		t.Errorf("results of the clients of service a: %+v", *r)
	}
}

// A decision module that uses up the module time of all services is throttled; those of other services are not.
func TestModuleTimeIsBoundedByService(t *testing.T) {
	bench := benchtest.Begin(t, twoServicesConfig, twoServerPools(0))
	c, in := dial(t, bench)
	writeRequest(c, "h", "/one", "before", "", 0)
	if status, _ := readAnswer(t, in); status != 200 {
		t.Fatalf("status %d, want 200", status)
	}
	node.ChargeModuleTime(bench.Node, "a", 20*time.Second)
	writeRequest(c, "h", "/one", "after", "", 0)
	if status, _ := readAnswer(t, in); status != 503 {
		t.Errorf("service that used up the module time: status %d, want 503", status)
	}
	checkOtherServiceServes(t, bench)
}

// A service whose servers never complete a connection uses up the dials that it may have, but not those guaranteed to the
// other service. Its requests for which no dial is free are answered.
func TestDialsAreBoundedByService(t *testing.T) {
	text := strings.Replace(twoServicesConfig, "[process]\n", "[process]\ndials = 6\n", 1)
	text = strings.Replace(text, "[services.a]\nsource = { kind = \"discovery\", address = \"@a\" }",
		fmt.Sprintf("[services.a]\nconnect_timeout = \"1s\"\nsource = { kind = \"static\", servers = [%s] }",
			strings.TrimSuffix(strings.Repeat(fmt.Sprintf("{ uid = \"NAME\", endpoint = %q }, ", testkit.FullBacklogAddress(t)), 8), ", ")), 1)
	for i := range 8 {
		text = strings.Replace(text, "NAME", fmt.Sprint("s", i), 1)
	}
	bench := benchtest.Begin(t, text, twoServerPools(0))
	stop := startLoad(bench, "/one", 30)
	testkit.Until(t, "denied dials", func() bool { return bench.Node.Status()[0].Resources.Dials.Denied > 0 })
	if d := bench.Node.Status()[0].Resources.Dials; d.Used > d.Total-2 {
		t.Errorf("dials of service a: %+v", d)
	}
	checkOtherServiceServes(t, bench)
	if r := stop(); r.Rejected+r.Failed != r.Attempts || r.Lost > 0 {
		t.Errorf("results of the clients of service a: %+v", *r)
	}
}
