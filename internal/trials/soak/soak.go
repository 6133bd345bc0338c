// Package soak runs real node processes over real sockets under faults that overlap in time, and checks rules that hold
// under any of these faults. The nodes are built by package faultbuild, so that system calls can be made to fail and wall
// clocks can be stepped while they run. The nodes are terminated, killed, suspended and switched to another discovery
// server; their app servers drain, restart, hang, fail and reset connections; the links to the app servers are cut;
// discovery servers send no events; and clients close early, send incomplete requests and reuse connections that are
// being closed.
//
// The checks use only what clients and app servers observe, and the violations that a node itself logs (package
// invariant). The package is used by tests and measurements only.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Options are the parameters of a run.
type Options struct {
	Program      string        // absolute path of a program built by faultbuild.Build
	Dir          string        // existing empty directory for the nodes' files
	Nodes        int           // number of nodes
	Servers      int           // number of app servers
	Clients      int           // number of clients of each node
	Flood        int           // number of further clients of each node that occupy its few descriptors; 0 is no flood
	Disturbances int           // mean number started per second
	Duration     time.Duration // period in which disturbances are started
	Seed         uint64
	// Slack is added to each time limit that is checked, to allow for inexact clock readings and for the time that a process
	// waits for a processor on a busy machine. 0 is 150 ms; only then do late answers that the nodes log count as violations.
	Slack time.Duration
}

// Report is the result of a run.
type Report struct {
	Seed             uint64         `json:"seed"`
	Requests         int            `json:"requests"`
	Statuses         map[int]int    `json:"statuses"`     // number of final answers by HTTP status
	Excused          int            `json:"excused"`      // requests whose missing answer is explained by a disturbance of their node
	Resent           int            `json:"resent"`       // requests sent a second time because the node closed their connection between requests
	Left             int            `json:"left"`         // requests whose client closed the connection early
	Attempts         int            `json:"attempts"`     // attempts that reached app servers
	Effects          int            `json:"effects"`      // executions of requests by app servers
	Disturbances     map[string]int `json:"disturbances"` // number of disturbances by kind
	Injected         int            `json:"injected"`     // failed system calls
	Starts           int            `json:"starts"`       // starts of node processes
	Signals          int            `json:"signals"`      // signals sent in series around SIGTERM
	Kills            int            `json:"kills"`        // processes killed because they still ran at the platform's earliest SIGKILL
	FloodConnections int            `json:"flood"`        // connections of flood clients
	Wrong            []string       `json:"wrong"`        // violations of the rules
	DisturbanceList  []string       `json:"-"`            // a line for each disturbance, in the order in which they began
}

const (
	readyTimeout    = 30 * time.Second // longest time from a node's start to a successful health check
	undisturbedTime = time.Second      // period without disturbances at the beginning and at the end of a run
)

// play is the state of a run: its app servers, nodes, disturbances and journal.
type play struct {
	Options
	journal      *journal
	servers      []*server
	nodes        []*node
	disturbances *disturbances
	tasks        sync.WaitGroup
}

// Run performs the run of one seed. It returns an error if the run could not start or was cancelled; violations are part
// of the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	p := &play{Options: o, journal: newJournal(o.Slack)}
	p.journal.missedListEvents = p.missedListEvents
	defer p.close()
	if err := p.start(ctx); err != nil {
		return nil, err
	}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	for _, n := range p.nodes {
		for i := range o.Clients {
			c := newClient(p, n, i)
			p.tasks.Go(func() { c.run(sending) })
		}
		for i := range o.Flood {
			c := newFloodClient(p, n, i)
			p.tasks.Go(func() { c.run(sending) })
		}
	}
	p.disturbances = newDisturbances(p, rand.New(rand.NewPCG(o.Seed, 1)))
	p.disturbances.run(ctx)
	for _, n := range p.nodes {
		if err := n.awaitReady(ctx); err != nil {
			p.journal.addViolation("%s is not ready after the disturbances: %v", n.name, err)
		}
	}
	sleep(ctx, undisturbedTime)
	stop()
	p.tasks.Wait()
	for _, n := range p.nodes {
		n.finish()
	}
	return p.report(), ctx.Err()
}

// start starts the app servers and nodes, and waits until all nodes are ready.
func (p *play) start(ctx context.Context) error {
	for i := range p.Servers {
		s, err := newServer(p.journal, i)
		if err != nil {
			return err
		}
		p.servers = append(p.servers, s)
	}
	for i := range p.Nodes {
		dir := filepath.Join(p.Dir, fmt.Sprint("n", i))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		n, err := newNode(p, i, dir)
		if err != nil {
			return err
		}
		p.nodes = append(p.nodes, n)
	}
	for _, n := range p.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range p.nodes {
		if err := n.awaitReady(ctx); err != nil {
			return fmt.Errorf("starting %s: %w", n.name, err)
		}
	}
	return nil
}

// descriptors returns a node's descriptor limit.
func (p *play) descriptors() int {
	if p.Flood > 0 {
		return floodDescriptors
	}
	return descriptors
}

// missedListEvents reports whether a node may have missed endpoint list events between two times.
func (p *play) missedListEvents(name string, from, to time.Time) bool {
	for _, n := range p.nodes {
		if n.name == name {
			return n.missedListEvents(from, to)
		}
	}
	return false
}

// close kills the nodes and closes the app servers.
func (p *play) close() {
	for _, n := range p.nodes {
		n.close()
	}
	for _, s := range p.servers {
		s.close()
	}
}

// report returns the result of the run. It is called when all tasks have ended.
func (p *play) report() *Report {
	r := p.journal.judge()
	r.Seed = p.Seed
	r.Disturbances = p.disturbances.counts
	r.DisturbanceList = p.disturbances.list
	for _, n := range p.nodes {
		r.Injected += n.failedCalls()
		r.Starts += n.process.Starts()
	}
	return r
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
