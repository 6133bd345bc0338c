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

// deadAddress is an address at which nobody listens.
const deadAddress = "127.0.0.1:1"

// linksPerRegion is how many links a region has: two to its listeners for other regions, two to its app's
// servers, one to its pool. Those of nodes come first: to each, its clients' and its control socket's.
const linksPerRegion = 5

// Links is how many links a trial has whose regions have so many nodes each.
func Links(each int) int { return regionCount * (2*each + linksPerRegion) }

// LinkName names a link by its number.
func LinkName(each, n int) string {
	nodes := regionCount * each
	if n < 2*nodes {
		return []string{"clients to ", "coordinators to "}[n%2] + memberName(n/2)
	}
	n -= 2 * nodes
	region, at := regionNames[n/linksPerRegion], n%linksPerRegion
	return [...]string{
		"regions to the first listener of ", "regions to the second listener of ", region + " to app 0 of ", region + " to app 1 of ",
		region + " to the pool of ",
	}[at] + region
}

func memberName(i int) string { return fmt.Sprint("node-", i) }

// fixture is what a trial stands on: links, processes, and which faults explain what is seen.
type fixture struct {
	nodesPerRegion int
	dir            string
	links          []*faultnet.Link
	processes      []*faultnet.Process

	starts sync.WaitGroup
	mu     sync.Mutex
	faults []clientFaults // of each node's clients
	kills  int
}

// clientFaults is what faults can explain at one node's clients.
type clientFaults struct {
	active  int       // in force
	lastEnd time.Time // when one ended last
}

func (g *fixture) clientLink(node int) *faultnet.Link  { return g.links[2*node] }
func (g *fixture) controlLink(node int) *faultnet.Link { return g.links[2*node+1] }
func (g *fixture) regionLink(region, at int) *faultnet.Link {
	return g.links[regionCount*2*g.nodesPerRegion+region*linksPerRegion+at]
}

func (g *fixture) entryAddresses(region int) []string {
	return []string{g.regionLink(region, 0).Addr(), g.regionLink(region, 1).Addr()}
}

func (g *fixture) appAddresses(region int) []string {
	return []string{g.regionLink(region, 2).Addr(), g.regionLink(region, 3).Addr()}
}
func (g *fixture) poolAddress(region int) string { return g.regionLink(region, 4).Addr() }

func (g *fixture) socketPath(i int) string { return filepath.Join(g.dir, strconv.Itoa(i), "c.sock") }

func (g *fixture) configPath(i int) string {
	return filepath.Join(g.dir, strconv.Itoa(i), "lockflow.toml")
}

// routeTo leads to a process what is to reach it: its clients, and other regions if it is one of the first.
func (g *fixture) routeTo(i int, addr string) {
	g.clientLink(i).To(addr)
	if at := i % g.nodesPerRegion; at < 2 {
		g.regionLink(i/g.nodesPerRegion, at).To(addr)
	}
	if g.nodesPerRegion == 1 {
		g.regionLink(i, 1).To(addr)
	}
}

// openLinks makes the links, to the stand-ins of each region: two apps and a pool.
func (g *fixture) openLinks(standins [][3]string) error {
	var to []string
	for i := range regionCount * g.nodesPerRegion {
		if err := os.MkdirAll(filepath.Join(g.dir, strconv.Itoa(i), "state"), 0o700); err != nil {
			return fmt.Errorf("a trial: %w", err)
		}
		to = append(to, deadAddress, g.socketPath(i))
	}
	for _, s := range standins {
		to = append(to, deadAddress, deadAddress, s[0], s[1], s[2])
	}
	for _, addr := range to {
		l, err := faultnet.Listen(addr)
		if err != nil {
			return err
		}
		g.links = append(g.links, l)
	}
	g.faults = make([]clientFaults, regionCount*g.nodesPerRegion)
	return nil
}

// startNodes starts all processes, and waits until they are up.
func (g *fixture) startNodes(ctx context.Context, program string) error {
	for i := range regionCount * g.nodesPerRegion {
		dir := filepath.Join(g.dir, strconv.Itoa(i))
		state := filepath.Join(dir, "state")
		g.processes = append(g.processes, &process.Process{Path: program, Log: filepath.Join(dir, "log"), State: state, Args: []string{
			"serve", "--config", g.configPath(i),
			"--control", g.socketPath(i), "--state", state,
		}})
		if err := g.processes[i].Start(); err != nil {
			return err
		}
	}
	for i := range g.processes {
		if err := g.awaitReady(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (g *fixture) close() {
	for _, p := range g.processes {
		_ = p.Kill() // one that has ended already is well
	}
	for _, l := range g.links {
		_ = l.Close() // the trial is over
	}
}

// awaitReady waits until a process has come up, and leads the links to where it listens.
func (g *fixture) awaitReady(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		s, err := manage.Client{Path: g.socketPath(i)}.Status(ctx)
		if err == nil && s.PID == g.processes[i].PID() && s.IsReady() && len(s.Listeners) > 0 {
			g.routeTo(i, s.Listeners[0])
			return nil
		}
		if !g.processes[i].Runs() {
			return fmt.Errorf("%s has ended: %w; %s", memberName(i), g.processes[i].Wait(), g.logTail(i))
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%s is not up: %w, %w; %s", memberName(i), ctx.Err(), err, g.logTail(i))
		}
	}
}

// logTail is the end of a node's log.
func (g *fixture) logTail(i int) string {
	raw, err := os.ReadFile(g.processes[i].Log)
	if err != nil {
		return err.Error()
	}
	return "its log ends with: " + string(raw[max(len(raw)-600, 0):])
}

// affectedNode gives the node whose clients a fault reaches.
func (g *fixture) affectedNode(e script.Entry) (node int, ok bool) {
	if e.Kind.OfLink() {
		return e.On / 2, e.On < 2*len(g.processes) && e.On%2 == 0
	}
	return e.On, e.Kind == script.Kill || e.Kind == script.Pause
}

// recordBegins notes faults ahead of their begin, so that whoever feels one finds it noted.
func (g *fixture) recordBegins(st script.Step) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range st.Begins {
		if i, ok := g.affectedNode(e); ok {
			g.faults[i].active++
		}
		if e.Kind == script.Kill {
			g.kills++
		}
	}
}

// recordEnds notes the end of faults once they have ended: that of a kill when clients find the new process.
func (g *fixture) recordEnds(ev faultnet.Event, wrong func(string, ...any)) {
	for _, e := range ev.Step.Begins {
		if e.Kind == script.Kill {
			g.routeTo(e.On, deadAddress) // the port may be another's by now
		}
	}
	for _, e := range ev.Step.Ends {
		i, ok := g.affectedNode(e)
		if !ok {
			continue
		}
		if e.Kind != script.Kill || !g.processes[i].Runs() {
			g.endFault(i)
			continue
		}
		g.starts.Go(func() {
			// Where it is killed again meanwhile, the start after that counts.
			starts := g.processes[i].Starts()
			if err := g.awaitReady(context.Background(), i); err != nil && g.processes[i].Runs() && g.processes[i].Starts() == starts {
				wrong("%v", err)
			}
			g.endFault(i)
		})
	}
}

func (g *fixture) endFault(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults[i].active--
	g.faults[i].lastEnd = time.Now()
}

// isExcused tells whether a fault of a node's clients' way or of its process explains what has befallen a
// connection since then.
func (g *fixture) isExcused(node int, since time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.faults[node]
	return t.active > 0 || t.lastEnd.After(since)
}

// Draw draws a script for a trial of so many nodes a region.
func Draw(seed uint64, each, faults int, lasts time.Duration) faultnet.Script {
	return faultnet.Draw(seed, faultnet.Spec{
		Links: Links(each), Procs: regionCount * each, For: lasts, Faults: faults,
		ProcKinds: []script.Kind{script.Kill, script.Pause, script.Full, script.ReadOnly},
	})
}
