package node_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"lockflow/internal/quotalease"
	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/redistest"
	"lockflow/internal/testsupport/testbench"
	"lockflow/internal/testsupport/testbench/benchtest"
	"lockflow/internal/testsupport/testkit"
)

// nodeGroup is a group of nodes that share the hard limit of a customer through lease stores.
type nodeGroup struct {
	nodes       []*testbench.Bench
	firstStore  *redistest.Server // the first of stores
	hardLimit   *fake.HardLimitMonitor
	configs     []string
	bound       quotalease.HardLimit
	unitsServed func() float64
	stores      []*redistest.Server
}

// startNodeGroup starts nodes that use a lease store. From each node index in storeBoundaries on, nodes use the next
// store.
func startNodeGroup(t *testing.T, nodes int, storeBoundaries ...int) *nodeGroup {
	t.Helper()
	const rate, burst = 100, 50
	rules := quotalease.Rules{Instances: nodes, Term: 200 * time.Millisecond, ReservationTime: 400 * time.Millisecond, ResizeTime: 500 * time.Millisecond, MaxDrift: 0.001}
	f := &nodeGroup{bound: rules.Bound(quotalease.HardLimit{Rate: rate, Burst: burst})}
	f.hardLimit = &fake.HardLimitMonitor{Rate: f.bound.Rate, Burst: f.bound.Burst}
	f.unitsServed = func() float64 { _, units := f.hardLimit.MaxExcess(); return units }
	app, err := fake.Server{UID: "s", HardLimit: f.hardLimit}.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(app.Close)
	for range 1 + len(storeBoundaries) {
		c, err := redistest.Start()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		f.stores = append(f.stores, c)
	}
	f.firstStore = f.stores[0]
	for i := range nodes {
		storeIndex := 0
		for k, first := range storeBoundaries {
			if i >= first {
				storeIndex = k + 1
			}
		}
		text := strings.Replace(configHeader, "[process]\n", fmt.Sprintf("[process]\ninstances = %d\ninstance = %d\n", nodes, i), 1) + fmt.Sprintf(`[plans.enterprise]
ceiling_rate = %d
ceiling_burst = %d
[services.a]
counter = { addresses = [%q], term = "200ms", pledge = "400ms", settle = "500ms", over = 0.5 }
[services.a.source]
kind = "static"
[[services.a.source.servers]]
uid = "s"
endpoint = %q
[[routes]]
service = "a"
prefix = "/"
as = "read"
`, rate, burst, f.stores[storeIndex].Addr(), app.Addr())
		f.configs = append(f.configs, text)
		f.nodes = append(f.nodes, benchtest.Begin(t, text, nil))
	}
	return f
}

// startLoad starts requests of one customer far above its hard limit through all nodes. When the test ends it checks that
// the units served stayed within the bound.
func (f *nodeGroup) startLoad(t *testing.T) {
	addrs := make([]string, len(f.nodes))
	for i, n := range f.nodes {
		addrs[i] = n.Node.Addr()
	}
	ctx, stop := context.WithCancel(context.Background())
	run := fake.Clients{
		Seed: 1, Workers: 3 * len(addrs), Interval: time.Second / 300,
		PickAddress: func(rng *rand.Rand, _ fake.Call, _ string) string { return addrs[rng.IntN(len(addrs))] },
		Call: func(rng *rand.Rand) fake.Call {
			return fake.Call{Kind: "r", Host: "h", Method: "GET", Path: "/r", Plan: "enterprise", Customer: 7, Units: 1 + rng.IntN(4), Deadline: 3 * time.Second}
		},
	}.Start(ctx)
	t.Cleanup(func() {
		stop()
		if r := run.Wait()["r"]; r.Lost+r.Wrong > 0 {
			t.Errorf("results of the clients: %+v", *r)
		}
		worst, units := f.hardLimit.MaxExcess()
		if t.Logf("%.0f units served; bound: burst %.0f, rate %.0f per second; maximum excess %.1f", units, f.bound.Burst, f.bound.Rate, worst); worst > 0 {
			t.Errorf("%.1f units above the bound", worst)
		}
	})
}

// awaitUnits waits until the servers have served the given number of additional units.
func (f *nodeGroup) awaitUnits(t *testing.T, units float64) {
	t.Helper()
	want := f.unitsServed() + units
	testkit.Until(t, fmt.Sprint(units, " more units"), func() bool { return f.unitsServed() >= want })
}

// awaitStatus waits until condition holds for the status of the quota leases of every node.
func (f *nodeGroup) awaitStatus(t *testing.T, event string, condition func(quotalease.Status) bool) {
	t.Helper()
	testkit.Until(t, event, func() bool {
		for _, n := range f.nodes {
			for _, s := range n.Node.Status()[0].HardLimits {
				if !condition(s.Status) {
					return false
				}
			}
		}
		return true
	})
}

func leasesUnits(s quotalease.Status) bool  { return s.CanBorrow && s.ReservedFraction > 0 }
func usesOwnQuota(s quotalease.Status) bool { return s.UsesOwnQuota }

// Guards against exceeding a shared hard limit when the lease store is silent, answers with errors or late, loses its
// connections, is replaced by an empty one, or is restored from a snapshot. By the servers' count the customer stays
// within its hard limit and keeps being served, from leased units or from the nodes' own quota.
func TestSharedHardLimitHoldsOverStoreFaults(t *testing.T) {
	t.Parallel()
	f := startNodeGroup(t, 6)
	f.startLoad(t)
	f.awaitStatus(t, "leases from the store", leasesUnits)
	f.awaitUnits(t, 100)
	for _, injectFault := range []func(){
		func() { f.firstStore.SetFaults(redistest.Faults{IsSilent: true}) },
		func() {
			f.firstStore.SetFaults(redistest.Faults{Error: "LOADING Redis is loading the dataset in memory"})
		},
		func() { f.firstStore.SetFaults(redistest.Faults{Delay: 2 * time.Second}) },
	} {
		injectFault()
		f.firstStore.CloseConns()
		f.awaitStatus(t, "use of the nodes' own quota", usesOwnQuota)
		f.awaitUnits(t, 30)
		f.firstStore.SetFaults(redistest.Faults{})
		f.awaitStatus(t, "leases from the store again", leasesUnits)
		f.awaitUnits(t, 30)
	}
	for range 3 {
		f.firstStore.Replace()
		f.awaitUnits(t, 30)
	}
	for range 3 {
		restore := f.firstStore.Snapshot()
		f.awaitUnits(t, 10)
		restore()
	}
	f.awaitStatus(t, "leases from the store in the end", leasesUnits)
}

// Each half of the nodes uses a lease store that does not know the other one, as in a network partition. Each store lends
// only the quota of its own nodes.
func TestSharedHardLimitHoldsWhileStoresAreSplit(t *testing.T) {
	t.Parallel()
	f := startNodeGroup(t, 6, 3)
	f.startLoad(t)
	f.awaitStatus(t, "leases from both stores", leasesUnits)
	f.awaitUnits(t, 200)
	for _, c := range f.stores {
		if c.ScriptRuns() == 0 {
			t.Error("a lease store was not used")
		}
	}
}

// Guards against reloads, also to another lease store, that reset a hard limit and so let a customer exceed it.
func TestSharedHardLimitHoldsOverReloads(t *testing.T) {
	t.Parallel()
	f := startNodeGroup(t, 4, 4) // no node uses the second store yet
	f.startLoad(t)
	f.awaitStatus(t, "leases from the store", leasesUnits)
	for i := range 6 {
		for k, n := range f.nodes {
			text := strings.Replace(f.configs[k], "[services.a]\n", fmt.Sprintf("[services.a]\nattempts = %d\n", 3+i%2), 1)
			if i >= 4 {
				text = strings.Replace(text, f.stores[0].Addr(), f.stores[1].Addr(), 1)
			}
			if err := n.Reload(text); err != nil {
				t.Fatal(err)
			}
		}
		f.awaitUnits(t, 20)
	}
	f.awaitStatus(t, "leases from the second store", leasesUnits)
	if f.stores[1].ScriptRuns() == 0 {
		t.Error("the second lease store was not used")
	}
}
