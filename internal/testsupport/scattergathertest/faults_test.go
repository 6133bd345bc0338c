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

// faulty is instances of the program over pools and a store that all stand behind links.
type faulty struct {
	t     *testing.T
	pools []*pool
	links []*faultnet.Link // by pool, then the store's
	nodes []*proc
	names []string
	c     tally
}

func (f *faulty) link(to string) string {
	l, err := faultnet.Listen(to)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { l.Close() })
	f.links = append(f.links, l)
	return l.Addr()
}

func newFaulty(t *testing.T, pools, nodes int) *faulty {
	store, err := redistest.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	f := &faulty{t: t}
	text, parts := strings.Replace(head, "[process]", "[process]\nstate = \"DIR/state\"", 1), ""
	for i := range pools {
		p := newPool(t, fmt.Sprint("p", i))
		p.says(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "[%q]", p.name) })
		f.pools, f.names = append(f.pools, p), append(f.names, p.name)
		text += fmt.Sprintf("[services.%s]\nplans = [\"free\"]\nsource = { kind = \"static\", servers = [{ endpoint = %q }] }\n", p.name, f.link(p.Addr()))
		parts += fmt.Sprintf("%q, ", p.name)
	}
	shared := f.link(store.Addr())
	for i := range nodes {
		wait := "half_life = \"100ms\"\ndeadline = \"learned\""
		if i == 0 { // whose answers lack what is not there, and nothing that is only slow on busy cores
			wait = "half_life = \"10s\"\ndeadline = \"2s\""
		}
		f.nodes = append(f.nodes, run(t, text+district("parts = ["+parts+"]\nleast = 0.4\n"+wait+"\nshare = { addresses = [\""+shared+"\"] }")))
	}
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	return f
}

// wave has each instance asked so many times, one after another.
func (f *faulty) wave(n int, of ...*proc) {
	var clients sync.WaitGroup
	for _, p := range of {
		clients.Go(func() {
			for range n {
				f.c.ask(p, f.names)
			}
		})
	}
	clients.Wait()
}

func (f *faulty) asked() int {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	return f.c.asked
}

// each holds that so many pools, from the first on, were sent each query once since they had counted so
// many, less those which a module could not take in time on busy cores: they are missing in answers.
func (f *faulty) each(pools, queries int, since []int) {
	f.t.Helper()
	for i, p := range f.pools[:pools] {
		if n := p.Count() - since[i]; n > queries || n < queries-f.c.cut {
			f.t.Errorf("%s was sent %d of %d queries", p.name, n, queries)
		}
	}
}

func (f *faulty) counts() (all []int) {
	for _, p := range f.pools {
		all = append(all, p.Count())
	}
	return all
}

// silentPool has one pool fall silent: the others are sent each query once and are in each answer that waits for
// them.
func (f *faulty) silentPool(t *testing.T) {
	t.Helper()
	if err := f.links[4].Set(script.Fault{Kind: script.Cut}); err != nil {
		t.Fatal(err)
	}
	since, asked, cut := f.counts(), f.asked(), f.c.cut
	f.wave(1, f.nodes[0])
	if f.c.cut != cut+1 || f.c.refused > 0 {
		t.Error("an answer that waits two seconds:", f.c.String())
	}
	for i, n := range f.counts()[:4] {
		if n != since[i]+1 {
			t.Errorf("%s was sent %d for it", f.pools[i].name, n-since[i])
		}
	}
	f.wave(8, f.nodes[1:]...)
	f.each(4, f.asked()-asked, since)
	if f.pools[4].Count() != since[4] || f.c.refused+f.c.lost > 0 {
		t.Errorf("the silent pool was sent %d; %s", f.pools[4].Count()-since[4], f.c.String())
	}
	if err := f.links[4].Heal(); err != nil {
		t.Fatal(err)
	}
}

// Six instances over five pools, the pools and the store that they share in behind links. First one pool
// falls silent: the others are sent each query once and are in each answer that waits for them. Then a
// script befalls all links, a step whenever so many more queries have been answered: each query has one
// answer, which holds what it claims. Once all is healed each instance has whole answers again, and hears
// from the others.
func TestFaultsBetween(t *testing.T) {
	f := newFaulty(t, 5, 6)
	f.wave(20, f.nodes...)
	f.each(5, f.asked(), make([]int, 5))
	if f.c.refused+f.c.lost > 0 || f.c.whole == 0 {
		t.Error("while nothing was wrong:", f.c.String())
	}

	f.silentPool(t)

	s := faultnet.Draw(7, faultnet.Spec{Links: len(f.links), For: 4 * time.Second, Faults: 10})
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("%s\nby\n%v", f.c.String(), s)
		}
	})
	p, err := faultnet.NewPlayer(s, f.links, nil)
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range f.nodes[1:] {
		for range 2 {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						f.c.ask(n, f.names)
					}
				}
			})
		}
	}
	for p.Next() {
		n := f.asked()
		testkit.Until(t, "more answers", func() bool { return f.asked() >= n+16 })
	}
	close(stop)
	clients.Wait()
	for _, e := range p.Events() {
		if e.Err != nil {
			t.Error(e)
		}
	}
	if f.c.lost > 0 || f.c.cut == 0 {
		t.Error("by the script:", f.c.String())
	}
	for _, l := range f.links {
		if err := l.Heal(); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range f.nodes {
		testkit.Until(t, "a whole answer", func() bool {
			before := f.c.whole
			f.wave(1, n)
			return f.c.whole > before
		})
	}
	for _, n := range f.nodes {
		n.until("what others learned", func(s manage.Status) bool {
			return s.ScatterGathers[0].Shared.Members > 0 && s.ScatterGathers[0].InFlight == 0
		})
	}
}
