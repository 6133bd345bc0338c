// Package trial runs nodes between clients and fake servers, applies the faults of a script to the
// nodes and to the links between all of them, and checks the results against rules that hold under
// any fault: a request gets one final answer, no effect happens twice, no write succeeds without its
// effect, and all nodes serve again after the faults.
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
	Program string // absolute path of the program
	Dir     string // empty directory for the nodes' files; short, as it is part of the paths of Unix sockets
	Nodes   int
	Servers int
	Clients int // number of clients of each node
	Script  faultnet.Script
	OnEvent func(faultnet.Event) // may be nil
}

// Report is the result of one script.
type Report struct {
	Seed           uint64        `json:"seed"`
	Faults         int           `json:"faults"`
	Requests       int           `json:"requests"`
	Answered       int           `json:"answered"` // with a final answer of any kind
	Served         int           `json:"served"`   // answered with 200
	Broken         int           `json:"broken"`   // without a final answer, which a fault has to explain
	Effects        int           `json:"effects"`
	ControlCalls   int           `json:"asked"`   // status and reload calls over the control sockets
	ControlReplies int           `json:"told"`    // control calls that got a reply
	OwnedEpochs    int           `json:"owned"`   // epochs that a coordinator has acquired
	Orders         int           `json:"orders"`  // commands that were executed, or acknowledged as executed before
	Kills          int           `json:"kills"`   // faults that killed a process
	Resets         int           `json:"resets"`  // connections that a fault reset
	Lost           int64         `json:"lost"`    // bytes that faults dropped
	RecoveryTime   time.Duration `json:"back_ns"` // from the last fault's end until all nodes serve again
	Wrong          []string      `json:"wrong"`
	Events         []string      `json:"-"`
	StartDuration  time.Duration `json:"-"`
	Undecided      string        `json:"-"` // why the check of ownership reached no verdict; "" if it reached one
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

// Links returns the number of links of a trial. Each node has, in this order, one link from its
// clients, one to its control socket and one to each server.
func Links(nodes, servers int) int { return nodes * (2 + servers) }

// Place returns the description of a link by its number.
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
	status         map[int]int // number of final answers by HTTP status
	controlCalls   int
	controlReplies int
	kills          int
	servingChecks  int
	newestEpoch    uint64 // newest epoch in any reply

	ownership history.History
	texts     []string // initial configuration of each node
	undecided string   // Report.Undecided
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
		return nil, fmt.Errorf("running the script: %w", err)
	}
	r.checkNodesAfterFaults()
	r.converge(ctx)
	r.report(rep)
	for _, e := range events {
		rep.Events = append(rep.Events, e.String())
	}
	return rep, nil
}

// report enters the results of the trial into rep.
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

// start starts the servers, links and nodes, and waits until all nodes serve.
func (r *run) start(ctx context.Context) (err error) {
	if r.servers, err = startServers(r.options.Servers, serverWorkTime, r.exchanges); err != nil {
		return err
	}
	for i := range r.options.Nodes {
		dir := r.dir(i)
		state := filepath.Join(dir, "state")
		if err := os.MkdirAll(state, 0o700); err != nil {
			return fmt.Errorf("starting node processes: %w", err)
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
			return fmt.Errorf("starting node processes: %w", err)
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

// unusedAddr is an address on which nothing listens.
const unusedAddr = "127.0.0.1:1"

func (r *run) dir(i int) string     { return filepath.Join(r.options.Dir, strconv.Itoa(i)) }
func (r *run) control(i int) string { return filepath.Join(r.dir(i), "c.sock") }

// link returns a link of a node: at 0 is the one from its clients, at 1 the one to its control socket, and from 2 on
// those to the servers.
func (r *run) link(node, at int) *faultnet.Link { return r.links[node*(2+r.options.Servers)+at] }

// clientAddr returns the address at which clients connect to a node.
func (r *run) clientAddr(node int) string { return r.link(node, 0).Addr() }

func (r *run) close() {
	for _, p := range r.procs {
		_ = p.Kill() // best effort: the trial is over
	}
	for _, l := range r.links {
		_ = l.Close() // best effort: the trial is over
	}
	if r.servers != nil {
		r.servers.close()
	}
}

// awaitReady waits until a process is ready, and directs the link from its clients to the address on which it listens.
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
			return fmt.Errorf("process has exited: %w", r.procs[i].Wait())
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("process is not ready: %w, %w", ctx.Err(), err)
		}
	}
}

// awaitServing waits until a node has served one request of each class. It doesn't wait until every
// server receives requests, as the node sends none to a server for some time after it has failed.
func (r *run) awaitServing(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	r.mu.Lock()
	r.servingChecks++
	c := r.client(i, r.options.Clients+r.servingChecks) // a number that no other client has, so that request IDs are unique
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
			return fmt.Errorf("of %d requests, only requests of %v were served; answers by status: %v; latest request: %s: %w", c.requestCount,
				slices.Sorted(maps.Keys(servedPaths)), r.status, c.lastOutcome, ctx.Err())
		}
	}
	return nil
}

// logTail returns the end of a node's log.
func (r *run) logTail(i int) string {
	raw, err := os.ReadFile(r.procs[i].Log)
	if err != nil {
		return err.Error()
	}
	return "end of the log: " + string(raw[max(len(raw)-600, 0):])
}

// checkAnswer checks that a final answer has a permitted status. isFaultPossible reports whether a
// fault on the client's side may have truncated the request.
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

// callControl requests a node's status over its control socket, and in one of 10 calls a reload, until ctx
// ends. It records the states for the check of ownership, and checks that the generation of a process
// never decreases.
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

// checkNodesAfterFaults checks that all nodes still run and reload their configuration.
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
