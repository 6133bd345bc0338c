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

// deadAddress is an address on which nobody listens.
const deadAddress = "127.0.0.1:1"

// maxLogTail is how many bytes of a node's log an error quotes.
const maxLogTail = 600

// fixture is the links and the processes of a trial, and the faults in force.
type fixture struct {
	nodesPerRegion int
	dir            string
	links          []*faultnet.Link
	processes      []*faultnet.Process

	starts sync.WaitGroup // of processes that were killed
	mu     sync.Mutex
	faults []clientFaults // by node
	kills  int
}

// clientFaults is the faults that the clients of one node can observe.
type clientFaults struct {
	active  int
	lastEnd time.Time
}

func (f *fixture) nodes() int { return regionCount * f.nodesPerRegion }

func (f *fixture) clientLink(node int) *faultnet.Link {
	return f.links[linksPerNode*node+clientLinkIndex]
}

func (f *fixture) controlLink(node int) *faultnet.Link {
	return f.links[linksPerNode*node+controlLinkIndex]
}

func (f *fixture) regionLink(region, index int) *faultnet.Link {
	return f.links[linksPerNode*f.nodes()+region*linksPerRegion+index]
}

func (f *fixture) entryAddresses(region int) []string {
	return []string{f.regionLink(region, firstEntryLink).Addr(), f.regionLink(region, secondEntryLink).Addr()}
}

func (f *fixture) appAddresses(region int) []string {
	return []string{f.regionLink(region, firstAppLink).Addr(), f.regionLink(region, secondAppLink).Addr()}
}

func (f *fixture) poolAddress(region int) string { return f.regionLink(region, poolLink).Addr() }

func (f *fixture) nodeDir(node int) string    { return filepath.Join(f.dir, strconv.Itoa(node)) }
func (f *fixture) socketPath(node int) string { return filepath.Join(f.nodeDir(node), "c.sock") }
func (f *fixture) configPath(node int) string { return filepath.Join(f.nodeDir(node), "lockflow.toml") }

// routeTo points the links to a node at an address: that of its clients, and those of other regions if it is
// one of its region's entry nodes.
func (f *fixture) routeTo(node int, address string) {
	f.clientLink(node).To(address)
	if index := node % f.nodesPerRegion; index < entryNodes {
		f.regionLink(node/f.nodesPerRegion, firstEntryLink+index).To(address)
	}
	if f.nodesPerRegion == 1 {
		f.regionLink(node, secondEntryLink).To(address)
	}
}

// regionFakes is the addresses of a region's fake servers.
type regionFakes struct{ firstApp, secondApp, pool string }

// openLinks opens the links, those of each region to its fake servers.
func (f *fixture) openLinks(fakes []regionFakes) error {
	var targets []string
	for node := range f.nodes() {
		if err := os.MkdirAll(filepath.Join(f.nodeDir(node), "state"), 0o700); err != nil {
			return fmt.Errorf("a trial: %w", err)
		}
		targets = append(targets, deadAddress, f.socketPath(node))
	}
	for _, region := range fakes {
		targets = append(targets, deadAddress, deadAddress, region.firstApp, region.secondApp, region.pool)
	}
	for _, target := range targets {
		link, err := faultnet.Listen(target)
		if err != nil {
			return err
		}
		f.links = append(f.links, link)
	}
	f.faults = make([]clientFaults, f.nodes())
	return nil
}

// startNodes starts all processes and waits until they are ready.
func (f *fixture) startNodes(ctx context.Context, program string) error {
	for node := range f.nodes() {
		dir := f.nodeDir(node)
		state := filepath.Join(dir, "state")
		f.processes = append(f.processes, &process.Process{
			Path: program, Log: filepath.Join(dir, "log"), State: state,
			Args: []string{"serve", "--config", f.configPath(node), "--control", f.socketPath(node), "--state", state},
		})
		if err := f.processes[node].Start(); err != nil {
			return err
		}
	}
	for node := range f.processes {
		if err := f.awaitReady(ctx, node); err != nil {
			return err
		}
	}
	return nil
}

func (f *fixture) close() {
	for _, p := range f.processes {
		_ = p.Kill() // fails for one that has ended
	}
	for _, link := range f.links {
		_ = link.Close() // the trial is over
	}
}

// awaitReady waits until a node's process is ready, and points the links at its listener.
func (f *fixture) awaitReady(ctx context.Context, node int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		status, err := manage.Client{Path: f.socketPath(node)}.Status(ctx)
		isCurrent := err == nil && status.PID == f.processes[node].PID()
		if isCurrent && status.IsReady() && len(status.Listeners) > 0 {
			f.routeTo(node, status.Listeners[0])
			return nil
		}
		if !f.processes[node].Runs() {
			return fmt.Errorf("%s has ended: %w; %s", memberName(node), f.processes[node].Wait(), f.logTail(node))
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%s is not up: %w, %w; %s", memberName(node), ctx.Err(), err, f.logTail(node))
		}
	}
}

// logTail returns the end of a node's log.
func (f *fixture) logTail(node int) string {
	log, err := os.ReadFile(f.processes[node].Log)
	if err != nil {
		return err.Error()
	}
	return "its log ends with: " + string(log[max(len(log)-maxLogTail, 0):])
}

// affectedNode returns the node whose clients can observe a fault.
func (f *fixture) affectedNode(e script.Entry) (node int, ok bool) {
	if e.Kind.OfLink() {
		isClientLink := e.On < linksPerNode*len(f.processes) && e.On%linksPerNode == clientLinkIndex
		return e.On / linksPerNode, isClientLink
	}
	return e.On, e.Kind == script.Kill || e.Kind == script.Pause
}

// recordBegins records the faults of a step before they start, so that a client that observes one finds it
// recorded.
func (f *fixture) recordBegins(step script.Step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range step.Begins {
		if node, ok := f.affectedNode(e); ok {
			f.faults[node].active++
		}
		if e.Kind == script.Kill {
			f.kills++
		}
	}
}

// recordEnds records the end of a step's faults: that of a kill when the new process is ready for clients.
func (f *fixture) recordEnds(event faultnet.Event, reportViolation func(string, ...any)) {
	for _, e := range event.Step.Begins {
		if e.Kind == script.Kill {
			f.routeTo(e.On, deadAddress) // the port may be another process's by now
		}
	}
	for _, e := range event.Step.Ends {
		node, ok := f.affectedNode(e)
		if !ok {
			continue
		}
		if e.Kind != script.Kill || !f.processes[node].Runs() {
			f.endFault(node)
			continue
		}
		f.starts.Go(func() {
			// If it is killed again meanwhile, the start after that counts.
			starts := f.processes[node].Starts()
			err := f.awaitReady(context.Background(), node)
			if err != nil && f.processes[node].Runs() && f.processes[node].Starts() == starts {
				reportViolation("%v", err)
			}
			f.endFault(node)
		})
	}
}

func (f *fixture) endFault(node int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[node].active--
	f.faults[node].lastEnd = time.Now()
}

// isExcused tells whether a fault of a node or of its clients' link explains a failure of a connection that
// was opened at a time.
func (f *fixture) isExcused(node int, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	faults := f.faults[node]
	return faults.active > 0 || faults.lastEnd.After(since)
}
