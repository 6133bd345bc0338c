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
	"lockflow/internal/trials/faultnet/traffic"
)

// unusedAddr is an address on which no process listens.
const unusedAddr = "127.0.0.1:1"

// linksPerRegion is the number of links of a region besides those of its nodes: two to listeners of its nodes, for other
// regions, two to its app servers, and one to its pool. In the list of links the nodes' links come first; each node has one
// for its clients and one for its control socket.
const linksPerRegion = 5

// Links returns the number of links of a trial.
func Links(nodesPerRegion int) int { return regionCount * (2*nodesPerRegion + linksPerRegion) }

// Place returns a description of a link.
func Place(nodesPerRegion, n int) string {
	nodes := regionCount * nodesPerRegion
	if n < 2*nodes {
		return []string{"clients to ", "coordinators to "}[n%2] + memberName(n/2)
	}
	n -= 2 * nodes
	region, position := regionNames[n/linksPerRegion], n%linksPerRegion
	return [...]string{
		"regions to the first listener of ", "regions to the second listener of ", region + " to app 0 of ", region + " to app 1 of ",
		region + " to the pool of ",
	}[position] + region
}

func memberName(i int) string { return fmt.Sprint("node-", i) }

// fixture contains the links and processes of a trial, and records the faults that may have affected clients.
type fixture struct {
	nodesPerRegion int
	dir            string
	links          []*faultnet.Link
	procs          []*faultnet.Process

	starts sync.WaitGroup
	faults traffic.Faults[int] // by the node whose clients the faults affect
	mu     sync.Mutex
	kills  int
}

func (g *fixture) client(node int) *faultnet.Link  { return g.links[2*node] }
func (g *fixture) control(node int) *faultnet.Link { return g.links[2*node+1] }
func (g *fixture) regionLink(region, position int) *faultnet.Link {
	return g.links[regionCount*2*g.nodesPerRegion+region*linksPerRegion+position]
}

func (g *fixture) listenerAddrs(region int) []string {
	return []string{g.regionLink(region, 0).Addr(), g.regionLink(region, 1).Addr()}
}

func (g *fixture) appAddrs(region int) []string {
	return []string{g.regionLink(region, 2).Addr(), g.regionLink(region, 3).Addr()}
}
func (g *fixture) poolAddr(region int) string { return g.regionLink(region, 4).Addr() }

func (g *fixture) controlSocket(i int) string { return filepath.Join(g.dir, strconv.Itoa(i), "c.sock") }

func (g *fixture) settingsPath(i int) string {
	return filepath.Join(g.dir, strconv.Itoa(i), "lockflow.toml")
}

// redirectLinks points the links of a process at an address: that of its clients and, for the first two processes of a
// region, one of the links from other regions. With one node per region both of these links lead to it.
func (g *fixture) redirectLinks(i int, addr string) {
	g.client(i).To(addr)
	if position := i % g.nodesPerRegion; position < 2 {
		g.regionLink(i/g.nodesPerRegion, position).To(addr)
	}
	if g.nodesPerRegion == 1 {
		g.regionLink(i, 1).To(addr)
	}
}

// openLinks opens the links. servers has the addresses of each region's fake servers: two app servers and a pool. The links
// to nodes' listeners have no target until the nodes are ready.
func (g *fixture) openLinks(servers [][3]string) error {
	var targets []string
	for i := range regionCount * g.nodesPerRegion {
		if err := os.MkdirAll(filepath.Join(g.dir, strconv.Itoa(i), "state"), 0o700); err != nil {
			return fmt.Errorf("creating a node's directory: %w", err)
		}
		targets = append(targets, unusedAddr, g.controlSocket(i))
	}
	for _, s := range servers {
		targets = append(targets, unusedAddr, unusedAddr, s[0], s[1], s[2])
	}
	for _, addr := range targets {
		l, err := faultnet.Listen(addr)
		if err != nil {
			return err
		}
		g.links = append(g.links, l)
	}
	return nil
}

// start starts the processes of all nodes and waits until they are ready.
func (g *fixture) start(ctx context.Context, program string) error {
	for i := range regionCount * g.nodesPerRegion {
		dir := filepath.Join(g.dir, strconv.Itoa(i))
		state := filepath.Join(dir, "state")
		g.procs = append(g.procs, &process.Process{Path: program, Log: filepath.Join(dir, "log"), State: state, Args: []string{
			"serve", "--config", g.settingsPath(i),
			"--control", g.controlSocket(i), "--state", state,
		}})
		if err := g.procs[i].Start(); err != nil {
			return err
		}
	}
	for i := range g.procs {
		if err := g.awaitReady(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (g *fixture) close() {
	for _, p := range g.procs {
		_ = p.Kill() // the process may have exited already
	}
	for _, l := range g.links {
		_ = l.Close() // the trial is over
	}
}

// awaitReady waits until a process is ready, and points its links at its listener.
func (g *fixture) awaitReady(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		s, err := manage.Client{Path: g.controlSocket(i)}.Status(ctx)
		if err == nil && s.PID == g.procs[i].PID() && s.IsReady() && len(s.Listeners) > 0 {
			g.redirectLinks(i, s.Listeners[0])
			return nil
		}
		if !g.procs[i].Runs() {
			return fmt.Errorf("%s exited before it was ready: %w; %s", memberName(i), g.procs[i].Wait(), g.logTail(i))
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w, %w; %s", memberName(i), ctx.Err(), err, g.logTail(i))
		}
	}
}

// logTail returns the end of a node's log, for messages.
func (g *fixture) logTail(i int) string {
	raw, err := os.ReadFile(g.procs[i].Log)
	if err != nil {
		return err.Error()
	}
	return "end of its log: " + string(raw[max(len(raw)-600, 0):])
}

// affectedNode returns the node whose clients a fault affects, if there is one.
func (g *fixture) affectedNode(e script.Entry) (node int, ok bool) {
	if e.Kind.OfLink() {
		return e.On / 2, e.On < 2*len(g.procs) && e.On%2 == 0
	}
	return e.On, e.Kind == script.Kill || e.Kind == script.Pause
}

// beforeStep records faults before they begin, so that a fault is recorded by the time it affects a client.
func (g *fixture) beforeStep(st script.Step) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range st.Begins {
		if i, ok := g.affectedNode(e); ok {
			g.faults.Begin(i)
		}
		if e.Kind == script.Kill {
			g.kills++
		}
	}
}

// afterStep records the end of faults. A kill ends when clients can reach the restarted process.
func (g *fixture) afterStep(ev faultnet.Event, reportViolation func(string, ...any)) {
	for _, e := range ev.Step.Begins {
		if e.Kind == script.Kill {
			g.redirectLinks(e.On, unusedAddr) // another process may use the port by now
		}
	}
	for _, e := range ev.Step.Ends {
		i, ok := g.affectedNode(e)
		if !ok {
			continue
		}
		if e.Kind != script.Kill || !g.procs[i].Runs() {
			g.faults.End(i)
			continue
		}
		g.starts.Go(func() {
			// If the process is killed a second time in the meantime, this start is not checked; the next one is.
			starts := g.procs[i].Starts()
			if err := g.awaitReady(context.Background(), i); err != nil && g.procs[i].Runs() && g.procs[i].Starts() == starts {
				reportViolation("%v", err)
			}
			g.faults.End(i)
		})
	}
}

// isClientFaultPossible reports whether a fault of the link between a node and its clients, or of the node's process, may
// have affected a connection since a time.
func (g *fixture) isClientFaultPossible(node int, since time.Time) bool {
	return g.faults.IsPossible(node, since)
}

// Draw generates the script of a seed for a trial.
func Draw(seed uint64, nodesPerRegion, faults int, duration time.Duration) faultnet.Script {
	return faultnet.Draw(seed, faultnet.Spec{
		Links: Links(nodesPerRegion), Procs: regionCount * nodesPerRegion, For: duration, Faults: faults,
		ProcKinds: []script.Kind{script.Kill, script.Pause, script.Full, script.ReadOnly},
	})
}
