// Package soak runs real node processes over real sockets under faults that overlap in time, and checks the rules that
// hold under any of them. Nodes are built by package faultbuild, so that their system calls fail and their wall clocks
// are stepped while they run. They are terminated, killed, suspended and moved to another discovery server; their app
// servers drain, restart, hang, fail and reset connections; the links to these are cut; discovery goes silent; and
// clients close early, send incomplete requests and reuse connections that are being closed.
//
// The checks use only what clients and app servers observe, and the violations that a node logs itself (package
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
	Flood        int           // number of further clients of each node that keep its few descriptors; 0 is none
	Disturbances int           // mean number drawn in a second
	Duration     time.Duration // during which disturbances begin
	Seed         uint64
	// Slack is added to each time limit that is checked, for inexact clock readings and for the time that a process waits
	// for a processor on a busy machine. 0 is 150 ms; only then do late answers that the nodes log count as violations.
	Slack time.Duration
}

// Report is the result of a run.
type Report struct {
	Seed             uint64         `json:"seed"`
	Requests         int            `json:"requests"`
	Statuses         map[int]int    `json:"statuses"`     // number of final answers by HTTP status
	Excused          int            `json:"excused"`      // requests without an answer that a disturbance of their node explains
	Resent           int            `json:"resent"`       // requests sent again because their connection was closed between requests
	Left             int            `json:"left"`         // requests whose client closed early
	Attempts         int            `json:"attempts"`     // attempts that reached app servers
	Effects          int            `json:"effects"`      // executions by app servers
	Disturbances     map[string]int `json:"disturbances"` // number by kind
	Injected         int            `json:"injected"`     // failed system calls
	Starts           int            `json:"starts"`       // of node processes
	Signals          int            `json:"signals"`      // sent in series around SIGTERM
	Kills            int            `json:"kills"`        // of processes that still ran at the earliest SIGKILL
	FloodConnections int            `json:"flood"`        // connections of floods
	Wrong            []string       `json:"wrong"`        // violations of the rules
	DisturbanceList  []string       `json:"-"`            // a line for each disturbance, in order of begin
}

const (
	readyTimeout    = 30 * time.Second // from a node's start to a successful health check
	undisturbedTime = time.Second      // without disturbances at the begin and the end of a run
)

// play is the state of a run.
type play struct {
	Options
	journal      *journal
	servers      []*server
	nodes        []*node
	disturbances *disturbances
	tasks        sync.WaitGroup
}

// Run runs one seed. It returns an error if the run could not start or was cancelled; violations are in the report.
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
			p.journal.addViolation("%s does not serve again: %v", n.name, err)
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
			return fmt.Errorf("%s: %w", n.name, err)
		}
	}
	return nil
}

// descriptors returns a node's limit on descriptors.
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

// report returns the results, once all tasks have ended.
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
