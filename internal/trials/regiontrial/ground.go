package regiontrial

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"lockflow/internal/manage"
	"lockflow/internal/trials/faultnet"
	"lockflow/internal/trials/faultnet/process"
	"lockflow/internal/trials/faultnet/script"
)

// nowhere is an address at which nobody listens.
const nowhere = "127.0.0.1:1"

// perRegion is how many links a region has: two to its listeners for other regions, two to its app's
// servers, one to its pool. Those of nodes come first: to each, its clients' and its control socket's.
const perRegion = 5

// Links is how many links a trial has whose regions have so many nodes each.
func Links(each int) int { return regionCount * (2*each + perRegion) }

// Place names a link by its number.
func Place(each, n int) string {
	nodes := regionCount * each
	if n < 2*nodes {
		return []string{"clients to ", "coordinators to "}[n%2] + member(n/2)
	}
	n -= 2 * nodes
	region, at := regionNames[n/perRegion], n%perRegion
	return [...]string{
		"regions to the first listener of ", "regions to the second listener of ", region + " to app 0 of ", region + " to app 1 of ",
		region + " to the pool of ",
	}[at] + region
}

func member(i int) string { return fmt.Sprint("node-", i) }

// ground is what a trial stands on: links, processes, and which faults explain what is seen.
type ground struct {
	each  int
	dir   string
	links []*faultnet.Link
	procs []*faultnet.Process

	starts sync.WaitGroup
	mu     sync.Mutex
	faults []trouble // of each node's clients
	kills  int
}

// trouble is what faults can explain at one node's clients.
type trouble struct {
	open int       // in force
	last time.Time // when one ended last
}

func (g *ground) client(node int) *faultnet.Link  { return g.links[2*node] }
func (g *ground) control(node int) *faultnet.Link { return g.links[2*node+1] }
func (g *ground) of(region, at int) *faultnet.Link {
	return g.links[regionCount*2*g.each+region*perRegion+at]
}

func (g *ground) entry(region int) []string {
	return []string{g.of(region, 0).Addr(), g.of(region, 1).Addr()}
}

func (g *ground) apps(region int) []string {
	return []string{g.of(region, 2).Addr(), g.of(region, 3).Addr()}
}
func (g *ground) pool(region int) string { return g.of(region, 4).Addr() }

func (g *ground) socket(i int) string { return filepath.Join(g.dir, strconv.Itoa(i), "c.sock") }
func (g *ground) file(i int) string   { return filepath.Join(g.dir, strconv.Itoa(i), "lockflow.toml") }

// point leads to a process what is to reach it: its clients, and other regions if it is one of the first.
func (g *ground) point(i int, addr string) {
	g.client(i).To(addr)
	if at := i % g.each; at < 2 {
		g.of(i/g.each, at).To(addr)
	}
	if g.each == 1 {
		g.of(i, 1).To(addr)
	}
}

// prepare makes the links, to the stand-ins of each region: two apps and a pool.
func (g *ground) prepare(standins [][3]string) error {
	var to []string
	for i := range regionCount * g.each {
		if err := os.MkdirAll(filepath.Join(g.dir, strconv.Itoa(i), "state"), 0o700); err != nil {
			return fmt.Errorf("a trial: %w", err)
		}
		to = append(to, nowhere, g.socket(i))
	}
	for _, s := range standins {
		to = append(to, nowhere, nowhere, s[0], s[1], s[2])
	}
	for _, addr := range to {
		l, err := faultnet.Listen(addr)
		if err != nil {
			return err
		}
		g.links = append(g.links, l)
	}
	g.faults = make([]trouble, regionCount*g.each)
	return nil
}

// start starts all processes, and waits until they are up.
func (g *ground) start(ctx context.Context, program string) error {
	for i := range regionCount * g.each {
		dir := filepath.Join(g.dir, strconv.Itoa(i))
		state := filepath.Join(dir, "state")
		g.procs = append(g.procs, &process.Process{Path: program, Log: filepath.Join(dir, "log"), State: state, Args: []string{
			"serve", "--config", g.file(i),
			"--control", g.socket(i), "--state", state,
		}})
		if err := g.procs[i].Start(); err != nil {
			return err
		}
	}
	for i := range g.procs {
		if err := g.up(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (g *ground) close() {
	for _, p := range g.procs {
		_ = p.Kill() // one that has ended already is well
	}
	for _, l := range g.links {
		_ = l.Close() // the trial is over
	}
}

// up waits until a process has come up, and leads the links to where it listens.
func (g *ground) up(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, upWithin)
	defer cancel()
	for {
		s, err := manage.Client{Path: g.socket(i)}.Status(ctx)
		if err == nil && s.PID == g.procs[i].PID() && s.IsReady() && len(s.Listeners) > 0 {
			g.point(i, s.Listeners[0])
			return nil
		}
		if !g.procs[i].Runs() {
			return fmt.Errorf("%s has ended: %w; %s", member(i), g.procs[i].Wait(), g.tail(i))
		}
		select {
		case <-time.After(waitEvery):
		case <-ctx.Done():
			return fmt.Errorf("%s is not up: %w, %w; %s", member(i), ctx.Err(), err, g.tail(i))
		}
	}
}

// tail is the end of a node's log.
func (g *ground) tail(i int) string {
	raw, err := os.ReadFile(g.procs[i].Log)
	if err != nil {
		return err.Error()
	}
	return "its log ends with: " + string(raw[max(len(raw)-600, 0):])
}

// explains gives the node whose clients a fault reaches.
func (g *ground) explains(e script.Entry) (node int, ok bool) {
	if e.Kind.OfLink() {
		return e.On / 2, e.On < 2*len(g.procs) && e.On%2 == 0
	}
	return e.On, e.Kind == script.Kill || e.Kind == script.Pause
}

// before notes faults ahead of their begin, so that whoever feels one finds it noted.
func (g *ground) before(st script.Step) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range st.Begins {
		if i, ok := g.explains(e); ok {
			g.faults[i].open++
		}
		if e.Kind == script.Kill {
			g.kills++
		}
	}
}

// seen notes the end of faults once they have ended: that of a kill when clients find the new process.
func (g *ground) seen(ev faultnet.Event, wrong func(string, ...any)) {
	for _, e := range ev.Step.Begins {
		if e.Kind == script.Kill {
			g.point(e.On, nowhere) // the port may be another's by now
		}
	}
	for _, e := range ev.Step.Ends {
		i, ok := g.explains(e)
		if !ok {
			continue
		}
		if e.Kind != script.Kill || !g.procs[i].Runs() {
			g.over(i)
			continue
		}
		g.starts.Go(func() {
			// Where it is killed again meanwhile, the start after that counts.
			starts := g.procs[i].Starts()
			if err := g.up(context.Background(), i); err != nil && g.procs[i].Runs() && g.procs[i].Starts() == starts {
				wrong("%v", err)
			}
			g.over(i)
		})
	}
}

func (g *ground) over(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults[i].open--
	g.faults[i].last = time.Now()
}

// excused tells whether a fault of a node's clients' way or of its process explains what has befallen a
// connection since then.
func (g *ground) excused(node int, since time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.faults[node]
	return t.open > 0 || t.last.After(since)
}

// Draw draws a script for a trial of so many nodes a region.
func Draw(seed uint64, each, faults int, lasts time.Duration) faultnet.Script {
	return faultnet.Draw(seed, faultnet.Spec{
		Links: Links(each), Procs: regionCount * each, For: lasts, Faults: faults,
		ProcKinds: []script.Kind{script.Kill, script.Pause, script.Full, script.ReadOnly},
	})
}
