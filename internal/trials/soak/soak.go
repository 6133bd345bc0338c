// Package soak plays disturbances that overlap in time with real processes of the platform's node, over real sockets, and
// judges what comes of it by the rules that hold under any of them. Nodes are built by package faultbuild, so that their
// system calls fail and their wall clocks are stepped while they run; they are told to end, killed, held up and moved to
// another discovery; their app servers drain, restart cold, hang, fail and break off; their connections to these are cut;
// their discovery is silent; and their clients leave early, stop in the middle and send when a connection is closed.
//
// All that is judged was seen from outside, by clients and app servers, or stands in a node's own count of broken
// invariants (package invariant). It is used by tests and measurements only.
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

// Options say what is played.
type Options struct {
	Program      string // built by faultbuild.Build; absolute
	Dir          string // for the nodes' files; it exists and is empty
	Nodes        int
	Servers      int
	Clients      int // of each node
	Disturbances int // that begin in each second
	Duration     time.Duration
	Seed         uint64
	// Slack is what the judge adds to each time limit for its own clock readings, and the time that a process waits for a
	// processor on a busy machine; 0 is 150 ms, with which the nodes' own word of late answers counts too.
	Slack time.Duration
}

// Report is what came of one play.
type Report struct {
	Seed            uint64         `json:"seed"`
	Requests        int            `json:"requests"`
	Statuses        map[int]int    `json:"statuses"` // of final answers
	Excused         int            `json:"excused"`  // without an answer, as a disturbance of the node or the client itself explains
	Resent          int            `json:"resent"`   // on a new connection, as the one before was closed between requests
	Left            int            `json:"left"`     // by their clients
	Attempts        int            `json:"attempts"` // that came to app servers
	Effects         int            `json:"effects"`
	Disturbances    map[string]int `json:"disturbances"` // by kind
	Injected        int            `json:"injected"`     // system calls that were made to fail
	Starts          int            `json:"starts"`       // of nodes
	Wrong           []string       `json:"wrong"`
	DisturbanceList []string       `json:"-"`
}

// Bounds of what a play waits for.
const (
	readyTimeout = 30 * time.Second // of a node
	calmTime     = time.Second      // without disturbances, before and after them
)

// play is one run.
type play struct {
	Options
	journal      *journal
	servers      []*server
	nodes        []*node
	disturbances *disturbances
	tasks        sync.WaitGroup
}

// Run plays one seed. The error is of what could not be played; what went wrong in it is in the report.
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
	}
	p.disturbances = newDisturbances(p, rand.New(rand.NewPCG(o.Seed, 1)))
	p.disturbances.run(ctx)
	for _, n := range p.nodes {
		if err := n.awaitReady(ctx); err != nil {
			p.journal.wrong("%s does not serve again: %v", n.name, err)
		}
	}
	sleep(ctx, calmTime)
	stop()
	p.tasks.Wait()
	for _, n := range p.nodes {
		n.finish()
	}
	return p.report(), ctx.Err()
}

// start starts app servers and nodes, and waits until all nodes are ready.
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

// missedListEvents tells whether the watch of a node may have been broken or silent between two times.
func (p *play) missedListEvents(name string, from, to time.Time) bool {
	for _, n := range p.nodes {
		if n.name == name {
			return n.missedListEvents(from, to)
		}
	}
	return false
}

func (p *play) close() {
	for _, n := range p.nodes {
		n.close()
	}
	for _, s := range p.servers {
		s.close()
	}
}

func (p *play) report() *Report {
	r := p.journal.judge()
	r.Seed, r.Disturbances, r.DisturbanceList = p.Seed, p.disturbances.counts, p.disturbances.list
	for _, n := range p.nodes {
		r.Injected += n.injected()
		r.Starts += n.process.Starts()
	}
	return r
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
