package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lockflow/internal/node"
	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testbench"
	"lockflow/internal/testsupport/testbench/benchtest"
	"lockflow/internal/testsupport/testkit"
)

// randomConfig returns a configuration with random targets of the routes, endpoint sources, guarantees and settings of
// the services, and with or without a third service.
func randomConfig(rng *rand.Rand, bench *testbench.Bench, file string) string {
	var b strings.Builder
	b.WriteString(configHeader)
	for _, name := range []string{"a", "b"} {
		fmt.Fprintf(&b, "[services.%s]\nguaranteed = { held = %d }\n", name, 20+rng.IntN(40))
		if rng.IntN(3) == 0 {
			fmt.Fprintf(&b, "attempts = %d\n", 2+rng.IntN(3))
		}
		switch rng.IntN(3) {
		case 0:
			fmt.Fprintf(&b, "source = { kind = \"discovery\", address = \"@%s\" }\n", name)
		case 1:
			fmt.Fprintf(&b, "source = { kind = \"file\", path = %q }\n", file+name)
		case 2:
			fmt.Fprintf(&b, "[services.%s.source]\nkind = \"static\"\n", name)
			for _, s := range bench.Pools[name].Servers {
				fmt.Fprintf(&b, "[[services.%s.source.servers]]\nuid = %q\nendpoint = %q\ngroup = %d\n", name, s.UID, s.Addr(), s.GroupNumber)
			}
		}
	}
	first, second := "a", "b"
	if rng.IntN(2) == 0 {
		first, second = second, first
	}
	fmt.Fprintf(&b, "[[routes]]\nname = \"one\"\nservice = %q\nprefix = \"/one\"\nas = \"read\"\n", first)
	fmt.Fprintf(&b, "[[routes]]\nname = \"two\"\nservice = %q\nprefix = \"/two\"\nas = \"write\"\n", second)
	if rng.IntN(2) == 0 {
		b.WriteString("[services.third]\nsource = { kind = \"discovery\", address = \"@a\" }\n")
		b.WriteString("[[routes]]\nname = \"third\"\nservice = \"third\"\nprefix = \"/one/third\"\nas = \"read\"\n")
	}
	return b.String()
}

// TestRandomReloadsUnderLoadLoseNoRequest reloads random configurations under load. By the counts of clients and servers
// each request gets exactly one final answer, and removed services end.
func TestRandomReloadsUnderLoadLoseNoRequest(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkRandomReloads(t, seed) })
	}
}

func checkRandomReloads(t *testing.T, seed uint64) {
	bench := benchtest.Begin(t, twoServicesConfig, twoServerPools(5*time.Millisecond))
	file := writeServerLists(t, bench)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	load := startReloadLoad(ctx, bench.Node.Addr(), seed)
	rng := rand.New(rand.NewPCG(seed, 9))
	for i := range 20 {
		if err := bench.Reload(randomConfig(rng, bench, file)); err != nil {
			t.Fatalf("reload %d: %v", i, err)
		}
		if err := bench.Reload(twoServicesConfig + "[services.c]\n"); err == nil {
			t.Fatal("an invalid configuration was accepted")
		}
		want := load.answers() + 100 + rng.IntN(200)
		testkit.Until(t, "more answers", func() bool { return load.answers() >= want })
	}
	stop()
	load.check(t)
	for name, p := range bench.Pools {
		if c := p.Executions.Counts(); c.Repeated+c.DuplicateEffects > 0 || c.MaxInFlight > 1 {
			t.Errorf("executions on the servers of %s: %+v", name, c)
		}
	}
	testkit.Until(t, "the end of removed services", func() bool { return node.RunningServices(bench.Node) == len(bench.Node.Status()) })
	for _, s := range bench.Node.Status() {
		if s.Resources.Requests.Used != 0 || s.Resources.BufferedBytes.Used != 0 || s.Resources.Dials.Used != 0 {
			t.Errorf("%s: resources are still reserved without requests in flight: %+v", s.Name, *s.Resources)
		}
	}
}

// writeServerLists writes the servers of each pool to a file whose name is the returned prefix and the pool's name.
func writeServerLists(t *testing.T, bench *testbench.Bench) (prefix string) {
	t.Helper()
	prefix = filepath.Join(t.TempDir(), "servers-")
	for name, p := range bench.Pools {
		var list []fake.Entry
		for _, s := range p.Servers {
			list = append(list, s.Entry())
		}
		raw, err := json.Marshal(map[string]any{"targets": list})
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(prefix+name, raw, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return prefix
}

// reloadLoad is the running clients of several routes.
type reloadLoad []*fake.Run

// startReloadLoad starts clients of three routes, which run until ctx is done.
func startReloadLoad(ctx context.Context, address string, seed uint64) reloadLoad {
	var load reloadLoad
	for i, path := range []string{"/one/x", "/two", "/one/third/y"} {
		load = append(load, fake.Clients{Addr: address, Seed: seed*10 + uint64(i), Workers: 8, Call: func(rng *rand.Rand) fake.Call {
			c := fake.Call{
				Kind: path, Host: "care.example", Method: "GET", Path: path, Plan: "standard",
				Customer: rng.Uint64N(100), Deadline: 5 * time.Second,
			}
			if path == "/two" {
				c.Method, c.Key, c.Body = "POST", fmt.Sprint("k", rng.Uint64()), strings.Repeat("x", rng.IntN(2000))
			}
			return c
		}}.Start(ctx))
	}
	return load
}

// answers returns the number of final answers so far.
func (l reloadLoad) answers() (n int) {
	for _, run := range l {
		for _, s := range run.Snapshot() {
			n += s.Served + s.Rejected + s.Failed
		}
	}
	return n
}

// check waits for the clients to end and checks that all requests were answered and some were served on each route.
func (l reloadLoad) check(t *testing.T) {
	t.Helper()
	for _, run := range l {
		for kind, s := range run.Wait() {
			t.Logf("%s: %+v", kind, s)
			if s.Lost+s.Wrong > 0 || s.Served == 0 || s.Failed > 0 {
				t.Errorf("%s: lost %d, wrong %d, late %d, failed %d of %d", kind, s.Lost, s.Wrong, s.Late, s.Failed, s.Attempts)
			}
		}
	}
}
