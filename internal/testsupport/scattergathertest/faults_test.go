package scattergathertest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lockflow/internal/manage"
	"lockflow/internal/testsupport/redistest"
	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/trials/faultnet"
	"lockflow/internal/trials/faultnet/script"
)

// faultyCluster is a set of lockflow instances that reach their pools and their store through links with injected faults.
type faultyCluster struct {
	t         *testing.T
	pools     []*pool
	links     []*faultnet.Link // one per pool, then the link of the store
	instances []*instance
	names     []string
	answers   answerCounts
}

func (f *faultyCluster) listenLink(to string) string {
	l, err := faultnet.Listen(to)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { l.Close() })
	f.links = append(f.links, l)
	return l.Addr()
}

func newFaultyCluster(t *testing.T, pools, instances int) *faultyCluster {
	store, err := redistest.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	f := &faultyCluster{t: t}
	text, parts := strings.Replace(baseConfig, "[process]", "[process]\nstate = \"DIR/state\"", 1), ""
	for i := range pools {
		p := newPool(t, fmt.Sprint("p", i))
		p.setHandler(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "[%q]", p.name) })
		f.pools, f.names = append(f.pools, p), append(f.names, p.name)
		text += fmt.Sprintf("[services.%s]\nplans = [\"free\"]\nsource = { kind = \"static\", servers = [{ endpoint = %q }] }\n", p.name, f.listenLink(p.Addr()))
		parts += fmt.Sprintf("%q, ", p.name)
	}
	storeAddress := f.listenLink(store.Addr())
	for i := range instances {
		waitPolicy := "half_life = \"100ms\"\ndeadline = \"learned\""
		if i == 0 { // its answers lack parts that do not answer, but not those that are merely slow on a busy machine
			waitPolicy = "half_life = \"10s\"\ndeadline = \"2s\""
		}
		f.instances = append(f.instances, startInstance(t, text+gatheringService("parts = ["+parts+"]\nleast = 0.4\n"+waitPolicy+"\nshare = { addresses = [\""+storeAddress+"\"] }")))
	}
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	return f
}

// queryAll sends n queries to each instance, one after another. Instances are queried concurrently.
func (f *faultyCluster) queryAll(n int, instances ...*instance) {
	var clients sync.WaitGroup
	for _, p := range instances {
		clients.Go(func() {
			for range n {
				f.answers.query(p, f.names)
			}
		})
	}
	clients.Wait()
}

func (f *faultyCluster) queries() int {
	f.answers.mu.Lock()
	defer f.answers.mu.Unlock()
	return f.answers.queries
}

// requireQueriedByAll checks that each of the first pools was sent every query once, in addition to the requests counted in
// since. Queries that a module could not admit in time on a busy machine are allowed for: their parts are missing in
// answers.
func (f *faultyCluster) requireQueriedByAll(pools, queries int, since []int) {
	f.t.Helper()
	for i, p := range f.pools[:pools] {
		if n := p.Count() - since[i]; n > queries || n < queries-f.answers.partial {
			f.t.Errorf("%s received %d requests for %d queries", p.name, n, queries)
		}
	}
}

func (f *faultyCluster) requestCounts() (all []int) {
	for _, p := range f.pools {
		all = append(all, p.Count())
	}
	return all
}

// checkSilentPool cuts the link of one pool. The other pools must be sent each query once, and their results must be in each
// answer whose deadline is long enough.
func (f *faultyCluster) checkSilentPool(t *testing.T) {
	t.Helper()
	if err := f.links[4].Set(script.Fault{Kind: script.Cut}); err != nil {
		t.Fatal(err)
	}
	since, queries, partial := f.requestCounts(), f.queries(), f.answers.partial
	f.queryAll(1, f.instances[0])
	if f.answers.partial != partial+1 || f.answers.rejected > 0 {
		t.Error("answer with a deadline of 2 s:", f.answers.String())
	}
	for i, n := range f.requestCounts()[:4] {
		if n != since[i]+1 {
			t.Errorf("%s received %d requests for one query, want 1", f.pools[i].name, n-since[i])
		}
	}
	f.queryAll(8, f.instances[1:]...)
	f.requireQueriedByAll(4, f.queries()-queries, since)
	if f.pools[4].Count() != since[4] || f.answers.rejected+f.answers.lost > 0 {
		t.Errorf("the silent pool received %d requests, want 0; %s", f.pools[4].Count()-since[4], f.answers.String())
	}
	if err := f.links[4].Heal(); err != nil {
		t.Fatal(err)
	}
}

// Six instances query five pools and share what they learn in a store; pools and store are behind links. First one pool stops
// answering: the others must be sent each query once, and be in each answer whose deadline is long enough. Then a random
// fault script runs on all links, one step per 16 queries: each query must have one answer, whose header states exactly the
// results in the body. After all links are healed, each instance must give complete answers and receive learned data again.
func TestFaultsBetween(t *testing.T) {
	f := newFaultyCluster(t, 5, 6)
	f.queryAll(20, f.instances...)
	f.requireQueriedByAll(5, f.queries(), make([]int, 5))
	if f.answers.rejected+f.answers.lost > 0 || f.answers.complete == 0 {
		t.Error("without faults:", f.answers.String())
	}

	f.checkSilentPool(t)

	s := faultnet.Draw(7, faultnet.Spec{Links: len(f.links), For: 4 * time.Second, Faults: 10})
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("%s\nwith the fault script\n%v", f.answers.String(), s)
		}
	})
	p, err := faultnet.NewPlayer(s, f.links, nil)
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range f.instances[1:] {
		for range 2 {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						f.answers.query(n, f.names)
					}
				}
			})
		}
	}
	for p.Next() {
		n := f.queries()
		testkit.Until(t, "more answers", func() bool { return f.queries() >= n+16 })
	}
	close(stop)
	clients.Wait()
	for _, e := range p.Events() {
		if e.Err != nil {
			t.Error(e)
		}
	}
	if f.answers.lost > 0 || f.answers.partial == 0 {
		t.Error("with the fault script:", f.answers.String())
	}
	for _, l := range f.links {
		if err := l.Heal(); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range f.instances {
		testkit.Until(t, "a complete answer", func() bool {
			before := f.answers.complete
			f.queryAll(1, n)
			return f.answers.complete > before
		})
	}
	for _, n := range f.instances {
		n.waitForStatus("data learned by other instances is received", func(s manage.Status) bool {
			return s.ScatterGathers[0].Shared.Members > 0 && s.ScatterGathers[0].InFlight == 0
		})
	}
}
