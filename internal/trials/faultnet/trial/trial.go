// Package trial runs nodes between clients and stand-in servers, applies the faults of a script to
// the links between them and to the nodes, and checks the results against the rules that
// hold under any fault: one final answer, no effect twice, no answer without its effect, and all
// serve again afterwards.
package trial

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/manage"
	"lockflow/internal/trials/faultnet"
	"lockflow/internal/trials/faultnet/history"
	"lockflow/internal/trials/faultnet/process"
	"lockflow/internal/trials/faultnet/traffic"
)

//go:embed config.toml
var config string

// Options are the options of a trial.
type Options struct {
	Program string // absolute
	Dir     string // for the nodes' files; short and empty
	Nodes   int
	Servers int
	Clients int // of each node
	Script  faultnet.Script
	OnEvent func(faultnet.Event) // may be nil
}

// Report is the result of one script.
type Report struct {
	Seed           uint64        `json:"seed"`
	Faults         int           `json:"faults"`
	Requests       int           `json:"requests"`
	Answered       int           `json:"answered"` // with a final answer of any kind
	Served         int           `json:"served"`   // with 200
	Broken         int           `json:"broken"`   // without one, as a fault of the client's way or of the process explains
	Effects        int           `json:"effects"`
	ControlCalls   int           `json:"asked"`   // status and reload, by the control sockets
	ControlReplies int           `json:"told"`    // of them, answered
	OwnedEpochs    int           `json:"owned"`   // epochs that a coordinator has come to own
	Orders         int           `json:"orders"`  // carried out, or told again
	Kills          int           `json:"kills"`   //
	Resets         int           `json:"resets"`  // connections that a fault reset
	Lost           int64         `json:"lost"`    // bytes that vanished
	RecoveryTime   time.Duration `json:"back_ns"` // from the last fault's end until all serve again
	Wrong          []string      `json:"wrong"`
	Events         []string      `json:"-"`
	StartDuration  time.Duration `json:"-"`
	Undecided      string        `json:"-"` // why the check of ownership has come to no verdict; "" is that it has
}

// Timeouts and intervals of a trial.
const (
	startTimeout       = 30 * time.Second
	recoveryTimeout    = 60 * time.Second
	serverWorkTime     = 2 * time.Millisecond
	controlInterval    = 15 * time.Millisecond
	controlCallTimeout = 2 * time.Second
	pollInterval       = 2 * time.Millisecond
)

// Links is how many links a trial has: for each node its clients', its control socket's, and one
// to each server, in that order.
func Links(nodes, servers int) int { return nodes * (2 + servers) }

// Place names a link by its number.
func Place(servers, n int) string {
	node, at := n/(2+servers), n%(2+servers)
	switch at {
	case 0:
		return fmt.Sprintf("clients to node %d", node)
	case 1:
		return fmt.Sprintf("owner to node %d", node)
	}
	return fmt.Sprintf("node %d to server %d", node, at-2)
}

// run is the state of a running trial.
type run struct {
	options   Options
	exchanges *history.Exchanges
	servers   *servers
	links     []*faultnet.Link
	procs     []*faultnet.Process
	starts    sync.WaitGroup
	faults    traffic.Faults[side]

	mu             sync.Mutex
	status         map[int]int // of answers
	controlCalls   int
	controlReplies int
	kills          int
	servingChecks  int
	newestEpoch    uint64 // epoch in any reply

	ownership history.History
	texts     []string // the settings of each node
	undecided string   // of Report
}

// Run runs a trial of one script. It returns an error if the trial could not be run; violated rules
// are in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &run{options: o, exchanges: &history.Exchanges{}, status: make(map[int]int)}
	player, err := faultnet.NewPlayer(o.Script, make([]*faultnet.Link, Links(o.Nodes, o.Servers)), make([]*faultnet.Process, o.Nodes))
	if err != nil {
		return nil, err
	}
	defer r.close()
	started := time.Now()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	rep := &Report{Seed: o.Script.Seed, Faults: len(o.Script.Entries), StartDuration: time.Since(started)}
	player.Links, player.Procs, player.Before, player.Done = r.links, r.procs, r.beforeStep, r.afterStep

	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var loadGoroutines sync.WaitGroup
	for i := range o.Nodes {
		for n := range o.Clients {
			c := r.client(i, n)
			loadGoroutines.Go(func() { c.sendRequests(loadCtx) })
		}
		loadGoroutines.Go(func() { r.callControl(loadCtx, i) })
	}
	for n := range ownerCount {
		loadGoroutines.Go(func() { r.owner(n).coordinate(loadCtx) })
	}
	events, err := player.Play(ctx)
	healedAt := time.Now()
	r.starts.Wait()
	for i := range o.Nodes {
		if err := r.awaitServing(ctx, i); err != nil {
			r.exchanges.Wrong("node %d does not serve again: %v; %s", i, err, r.logTail(i))
		}
	}
	rep.RecoveryTime = time.Since(healedAt)
	stop()
	loadGoroutines.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, fmt.Errorf("carrying the script out: %w", err)
	}
	r.checkNodesAfterFaults()
	r.converge(ctx)
	r.report(rep)
	for _, e := range events {
		rep.Events = append(rep.Events, e.String())
	}
	return rep, nil
}

// report counts what came of the trial.
func (r *run) report(rep *Report) {
	rep.Wrong = r.exchanges.Check(func(why string) bool { return !strings.HasPrefix(why, "unexplained") })
	rep.Requests, rep.Answered = r.exchanges.Counts()
	rep.Effects = r.exchanges.Effects()
	rep.Undecided = r.undecided
	rep.Broken = rep.Requests - rep.Answered
	rep.Served, rep.ControlCalls, rep.ControlReplies, rep.Kills = r.status[200], r.controlCalls, r.controlReplies, r.kills
	for _, e := range r.ownership.Entries() {
		switch _, acquires := e.Op.(history.Acquire); {
		case acquires && e.Result == history.Granted:
			rep.OwnedEpochs++
		case e.Result == history.DoneOrAlreadyDone:
			rep.Orders++
		}
	}
	for _, l := range r.links {
		n := l.Counts()
		rep.Resets += n.Resets
		rep.Lost += n.Lost
	}
}

// start starts all, and waits until it serves.
func (r *run) start(ctx context.Context) (err error) {
	if r.servers, err = startServers(r.options.Servers, serverWorkTime, r.exchanges); err != nil {
		return err
	}
	for i := range r.options.Nodes {
		dir := r.dir(i)
		state := filepath.Join(dir, "state")
		if err := os.MkdirAll(state, 0o700); err != nil {
			return fmt.Errorf("a trial: %w", err)
		}
		targets := append([]string{unusedAddr, r.control(i)}, r.servers.addrs...)
		var entries []string
		for n, addr := range targets {
			l, err := faultnet.Listen(addr)
			if err != nil {
				return err
			}
			r.links = append(r.links, l)
			if n >= 2 {
				entries = append(entries, fmt.Sprintf("{ uid = \"server-%d\", endpoint = %q }", n-2, l.Addr()))
			}
		}
		file := filepath.Join(dir, "lockflow.toml")
		text := strings.NewReplacer("@servers", strings.Join(entries, ", "), "@control", r.control(i), "@state", state).Replace(config)
		r.texts = append(r.texts, text)
		r.exchanges.WantGeneration(desiredstate.Hash([]byte(text)))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return fmt.Errorf("a trial: %w", err)
		}
		p := &process.Process{Path: r.options.Program, Log: filepath.Join(dir, "log"), State: state, Args: []string{"serve", "--config", file}}
		r.procs = append(r.procs, p)
		if err := p.Start(); err != nil {
			return err
		}
	}
	for i := range r.options.Nodes {
		if err := r.awaitReady(ctx, i); err != nil {
			return fmt.Errorf("node %d: %w; %s", i, err, r.logTail(i))
		}
		if err := r.awaitServing(ctx, i); err != nil {
			return fmt.Errorf("node %d: %w; %s", i, err, r.logTail(i))
		}
	}
	return nil
}

// unusedAddr is an address at which nobody listens.
const unusedAddr = "127.0.0.1:1"

func (r *run) dir(i int) string     { return filepath.Join(r.options.Dir, strconv.Itoa(i)) }
func (r *run) control(i int) string { return filepath.Join(r.dir(i), "c.sock") }

// link is the link of a place of a node: 0 is its clients', 1 its owner's.
func (r *run) link(node, at int) *faultnet.Link { return r.links[node*(2+r.options.Servers)+at] }

// front is where clients find a node.
func (r *run) clientAddr(node int) string { return r.link(node, 0).Addr() }

func (r *run) close() {
	for _, p := range r.procs {
		_ = p.Kill() // one that has ended already is well
	}
	for _, l := range r.links {
		_ = l.Close() // the trial is over
	}
	if r.servers != nil {
		r.servers.close()
	}
}

// awaitReady waits until a process has come up, and leads its clients' link to where it listens.
func (r *run) awaitReady(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		s, err := manage.Client{Path: r.control(i)}.Status(ctx)
		if err == nil && s.PID == r.procs[i].PID() && s.IsReady() && len(s.Listeners) > 0 {
			r.link(i, 0).To(s.Listeners[0])
			return nil
		}
		if !r.procs[i].Runs() {
			return fmt.Errorf("it has ended: %w", r.procs[i].Wait())
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("it is not up: %w, %w", ctx.Err(), err)
		}
	}
}

// awaitServing waits until a node answers one request of each class well. That each server is asked
// again is the choice of the node, which lets one that failed rest for a time.
func (r *run) awaitServing(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	r.mu.Lock()
	r.servingChecks++
	c := r.client(i, r.options.Clients+r.servingChecks) // with ids of its own
	r.mu.Unlock()
	defer c.conn.Close()
	for servedPaths := make(map[string]bool); len(servedPaths) < 3; {
		if q := c.drawRequest(); !servedPaths[q.path] && c.send(q) != "" {
			servedPaths[q.path] = true
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			r.mu.Lock()
			defer r.mu.Unlock()
			return fmt.Errorf("of %d requests only those of %v are answered well; all answers by status: %v; the last one: %s: %w", c.requestCount,
				slices.Sorted(maps.Keys(servedPaths)), r.status, c.lastOutcome, ctx.Err())
		}
	}
	return nil
}

// tail is the end of a node's log.
func (r *run) logTail(i int) string {
	raw, err := os.ReadFile(r.procs[i].Log)
	if err != nil {
		return err.Error()
	}
	return "its log ends with: " + string(raw[max(len(raw)-600, 0):])
}

// answered holds a final answer to what may be answered. excused tells that a fault on the
// client's side may have broken the request off.
func (r *run) checkAnswer(node int, q request, status int, isFaultPossible bool) {
	r.mu.Lock()
	r.status[status]++
	r.mu.Unlock()
	switch status {
	case 200:
		if q.method == "POST" && !r.servers.hasEffect(q.id) {
			r.exchanges.Wrong("request %s: answered 200, and no server has had it", q.id)
		}
	case 502, 503, 504, 429:
	case 400, 408:
		if !isFaultPossible {
			r.exchanges.Wrong("request %s: answered %d, and it came whole", q.id, status)
		}
	default:
		r.exchanges.Wrong("request %s: answered %d by node %d", q.id, status, node)
	}
}

// callControl asks a node by its control socket what it does, and has it read its file again, until ctx
// ends. What it says has to be of the process that runs.
func (r *run) callControl(ctx context.Context, i int) {
	rng := rand.New(rand.NewPCG(r.options.Script.Seed, uint64(i)+77))
	c := manage.Client{Path: r.link(i, 1).Addr()}
	var last manage.Status
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, controlCallTimeout)
		recordStatus := func(any) {}
		call := c.Status
		if rng.IntN(10) == 0 {
			call = c.Reload
		} else {
			recordStatus = r.ownership.Call(ownerCount+1+i, history.ReadStatus{Member: member(i)})
		}
		s, err := call(callCtx)
		cancel()
		r.mu.Lock()
		r.controlCalls++
		if err == nil {
			r.controlReplies++
		}
		r.mu.Unlock()
		if err == nil {
			if s.PID == last.PID && s.Generation < last.Generation {
				r.exchanges.Wrong("node %d: generation %d after %d of the same process", i, s.Generation, last.Generation)
			}
			last = s
			recordStatus(history.MemberState{Epoch: s.Epoch, Owner: s.Owner})
			r.observeEpoch(s.Epoch)
			r.exchanges.Reported(member(i), s.ConfigHash)
		} else if refused := (manage.RejectedError{}); errors.As(err, &refused) && !strings.Contains(refused.Message, "reload") {
			r.exchanges.Wrong("node %d refuses what it is asked: %v", i, err)
		}
		select {
		case <-time.After(controlInterval):
		case <-ctx.Done():
		}
	}
}

// judge tells what is wrong at the end.
func (r *run) checkNodesAfterFaults() {
	for i, p := range r.procs {
		if !p.Runs() {
			r.exchanges.Wrong("node %d has ended by itself: %v; %s", i, p.Wait(), r.logTail(i))
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
		_, err := manage.Client{Path: r.control(i)}.Reload(ctx)
		cancel()
		if err != nil {
			r.exchanges.Wrong("node %d does not reload afterwards: %v", i, err)
		}
	}
}
