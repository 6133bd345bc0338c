// Package regiontrial rolls a staged change out over three regions of real processes that send scatter-gather queries to
// each other, while clients send requests and faults occur on the links and processes. It kills the coordinators of the
// change, and checks the observations against rules that hold under any fault.
package regiontrial

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/internal/fleetfile"
	"lockflow/internal/manage"
	"lockflow/internal/regions"
	"lockflow/internal/trials/faultnet"
	"lockflow/internal/trials/faultnet/history"
	"lockflow/internal/trials/faultnet/traffic"
)

// Options are the options of a trial.
type Options struct {
	Program        string // absolute path of the node's and the coordinator's program
	Dir            string // empty directory for the nodes' files; its path has to be short, as those of Unix sockets are limited
	NodesPerRegion int    // number of nodes of each of the three regions
	Clients        int    // number of clients of each node
	Script         faultnet.Script
	Bake           time.Duration // bake time of a stage of the harmful change
}

// Timeouts, intervals and limits of a trial.
const (
	startTimeout    = 40 * time.Second
	recoveryTimeout = 40 * time.Second
	changeTimeout   = 4 * time.Minute
	pollInterval    = 2 * time.Millisecond
	statusInterval  = 10 * time.Millisecond
	statusTimeout   = 2 * time.Second
	retryInterval   = 50 * time.Millisecond
	maxStatusReads  = 500_000
)

// run is the state of a running trial.
type run struct {
	options               Options
	fixture               *fixture
	exchanges             *history.Exchanges
	forwarded             forwardedRequests
	servers               []*traffic.Server
	failing               *traffic.Server
	effects               sync.Map // ids of writes that an app server ran
	isHarmfulChangeActive atomic.Bool
	rng                   *rand.Rand
	startedAt             time.Time

	mu                  sync.Mutex
	status              map[int]int // number of answers by status
	gathered            int
	partial             int
	harmed              int
	decisions           int
	coordinatorsKilled  int
	generationsByMember map[string][]string // hashes of the change's generations, by member
	statusReads         []StatusRead
}

func (r *run) nodes() int { return regionCount * r.options.NodesPerRegion }

// Run runs the trial of one script. It returns an error if the trial could not be run or was cancelled; violations of the
// rules are part of the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &run{
		options: o, fixture: &fixture{nodesPerRegion: o.NodesPerRegion, dir: o.Dir}, exchanges: &history.Exchanges{}, status: make(map[int]int), generationsByMember: make(map[string][]string),
		rng: rand.New(rand.NewPCG(o.Script.Seed, 0xa70ce)), startedAt: time.Now(),
	}
	player, err := faultnet.NewPlayer(o.Script, make([]*faultnet.Link, Links(o.NodesPerRegion)), make([]*faultnet.Process, r.nodes()))
	if err != nil {
		return nil, err
	}
	defer r.close()
	rep := &Report{Seed: o.Script.Seed, Faults: len(o.Script.Entries)}
	hashes, files, err := r.start(ctx)
	if err != nil {
		return nil, err
	}
	player.Links, player.Procs, player.Before = r.fixture.links, r.fixture.procs, r.fixture.beforeStep
	player.Done = func(ev faultnet.Event) { r.fixture.afterStep(ev, r.exchanges.Wrong) }

	untilStopped, stop := context.WithCancel(ctx)
	defer stop()
	var workers sync.WaitGroup
	for i := range r.nodes() {
		for n := range o.Clients {
			c := r.client(i, n)
			workers.Go(func() { c.sendUntilDone(untilStopped) })
		}
		workers.Go(func() { r.readStatus(untilStopped, i) })
	}
	err = r.changeUnderFaults(ctx, player, rep, hashes, files)
	if err == nil {
		err = r.completeAfterFaults(ctx, rep, hashes, files)
	}
	stop()
	workers.Wait()
	if err = errors.Join(err, ctx.Err()); err != nil { // the observations of an interrupted trial are incomplete
		return nil, err
	}
	r.judge(rep)
	return rep, nil
}

// start starts all servers, starts all nodes with the old settings, and writes the fleet files.
func (r *run) start(ctx context.Context) (hashes map[kind][]string, files map[kind]string, err error) {
	var addresses [][3]string
	for _, name := range regionNames {
		var addrs [3]string
		for n, startOne := range []func(string) (*traffic.Server, error){
			func(name string) (*traffic.Server, error) { return startServer(r.exchanges, r.app(name)) },
			func(name string) (*traffic.Server, error) { return startServer(r.exchanges, r.app(name)) },
			func(name string) (*traffic.Server, error) { return startServer(r.exchanges, r.pool(name)) },
		} {
			s, err := startOne(name)
			if err != nil {
				return nil, nil, err
			}
			r.servers, addrs[n] = append(r.servers, s), s.Addr
		}
		addresses = append(addresses, addrs)
	}
	if r.failing, err = startServer(r.exchanges, respondError); err != nil {
		return nil, nil, err
	}
	r.servers = append(r.servers, r.failing)
	if err := r.fixture.openLinks(addresses); err != nil {
		return nil, nil, err
	}
	if err := os.WriteFile(r.customersFile(), []byte("gold-1,gold\nsilver-1,silver\n"), 0o600); err != nil {
		return nil, nil, fmt.Errorf("writing the customers file: %w", err)
	}
	hashes, files = make(map[kind][]string), make(map[kind]string)
	for k, name := range map[kind]string{before: "before", after: "after", conflicting: "conflicting", harmful: "harmful"} {
		if files[k], hashes[k], err = r.writeFleetFile(name, k); err != nil {
			return nil, nil, err
		}
	}
	for k := range files {
		f, err := fleetfile.Load(files[k])
		if err != nil {
			return nil, nil, err
		}
		conflicts := slices.DeleteFunc(f.Waive(regions.Check(f.Regions()), time.Now()), func(c regions.Conflict) bool { return c.Severity != regions.Error })
		if (len(conflicts) > 0) != (k == conflicting) {
			r.exchanges.Wrong("fleet file %s: unexpected number of conflicts, %d: %+v", files[k], len(conflicts), conflicts)
		}
	}
	for i := range r.nodes() {
		r.exchanges.WantGeneration(hashes[before][i/r.options.NodesPerRegion])
		if err := os.WriteFile(r.fixture.settingsPath(i), []byte(r.settingsText(i/r.options.NodesPerRegion, before)), 0o600); err != nil {
			return nil, nil, fmt.Errorf("writing the settings of a node: %w", err)
		}
	}
	r.forwarded.started = time.Now()
	if err := r.fixture.start(ctx, r.options.Program); err != nil {
		return nil, nil, err
	}
	return hashes, files, r.awaitServing(ctx)
}

func (r *run) close() {
	r.fixture.close()
	for _, s := range r.servers {
		s.Close()
	}
}

// changeUnderFaults checks that the conflicting change is rejected, and rolls the valid one out, while the script runs. The
// coordinator of the change is killed twice; between these kills, another coordinator with its own rollout log is killed.
func (r *run) changeUnderFaults(ctx context.Context, player *faultnet.Player, rep *Report, hashes map[kind][]string, files map[kind]string) error {
	// The intermediate settings are read from the rollout logs later; a coordinator writes them before it sends any command.
	for _, h := range hashes[after] {
		r.exchanges.WantGeneration(h)
	}
	played := make(chan error, 1)
	go func() {
		_, err := player.Play(ctx)
		played <- err
	}()
	err := func() error {
		if err := r.expectRejection(ctx, files[conflicting]); err != nil {
			return err
		}
		unjudgedFlags := []string{"--unjudged", "--bake", "100ms", "--bake-most", "5s"}
		e, err := r.startChange(ctx, files[after], 2+r.rng.IntN(12), unjudgedFlags...)
		if err != nil {
			return err
		}
		rep.ExitCodes = append(rep.ExitCodes, e.exitCode)
		second := r.changeFlags(files[after], "second", unjudgedFlags...)
		for _, step := range []struct {
			kill int
			args []string
		}{{2 + r.rng.IntN(12), second}, {2 + r.rng.IntN(16), r.changeFlags(files[after], "journal", "--resume")}, {0, r.changeFlags(files[after], "journal", "--resume")}} {
			if e, err = r.runCoordinator(ctx, step.kill, step.args...); err != nil {
				return err
			}
			rep.ExitCodes = append(rep.ExitCodes, e.exitCode)
			if e.exitCode != exitCompleted && e.exitCode != exitRolledBack && e.exitCode != exitUndecided && e.exitCode != exitKilled {
				r.exchanges.Wrong("coordinator exited with the unexpected code %d: %s", e.exitCode, e.output)
			}
		}
		return nil
	}()
	if playErr := <-played; err == nil && playErr != nil {
		err = fmt.Errorf("running the script of faults: %w", playErr)
	}
	r.fixture.starts.Wait()
	for _, name := range []string{"journal", "second"} {
		err = errors.Join(err, r.recordGenerations(name))
	}
	return err
}

// completeAfterFaults checks the state in which the change ended, completes the change if necessary, and runs the harmful
// change.
func (r *run) completeAfterFaults(ctx context.Context, rep *Report, hashes map[kind][]string, files map[kind]string) error {
	if err := r.awaitServing(ctx); err != nil {
		r.exchanges.Wrong("%v", err)
		return ctx.Err()
	}
	var outputs []string
	lastExitCode := rep.ExitCodes[len(rep.ExitCodes)-1]
	for tries := 0; ; tries++ {
		k, isUniform, description := r.fleetState(ctx, hashes)
		if isUniform && (k == before || k == after) && (tries > 0 || lastExitCode != exitUndecided) {
			rep.Changed, rep.ExtraCoordinators = k == after, tries
			if tries == 0 && lastExitCode == exitCompleted && !rep.Changed {
				r.exchanges.Wrong("coordinators exited with %v, but all members run the old settings", rep.ExitCodes)
			}
			break
		}
		if tries == 0 && lastExitCode != exitUndecided {
			r.exchanges.Wrong("coordinators exited with %v, but members run different settings:%s", rep.ExitCodes, description)
		}
		if tries == 4 {
			r.exchanges.Wrong("members do not run the same settings after further coordinators:%s; %s", description, strings.Join(outputs, "\n"))
			return nil
		}
		// The killed second coordinator may have left a member at a generation that the rollout log of the first coordinator
		// doesn't have. A coordinator with the first log then ends undecided, and one with the second log has to roll the
		// member back.
		recovery := [][]string{{"journal", "--resume"}, {"second", "--take-back"}, {"journal", "--resume"}, {"journal", "--take-back"}}[tries]
		outcome, err := r.resumeChange(ctx, files[after], recovery[0], recovery[1])
		if err != nil {
			return err
		}
		outputs = append(outputs, outcome)
	}
	if !rep.Changed {
		if changed, err := r.changeWithoutFaults(ctx, hashes, files); err != nil || !changed {
			return err
		}
	}
	return r.runHarmfulChange(ctx, rep, hashes, files)
}

// resumeChange runs a coordinator with a flag for the change of a rollout log, if the log has one, and returns a
// description of the outcome.
func (r *run) resumeChange(ctx context.Context, file, journal, flag string) (description string, err error) {
	if c, err := r.readRolloutLog(journal); err != nil || c == nil {
		return fmt.Sprintf("rollout log %s: contains no change, error %v", journal, err), nil
	}
	e, err := r.runCoordinator(ctx, 0, r.changeFlags(file, journal, flag)...)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("coordinator with rollout log %s and %s: exit code %d: %s", journal, flag, e.exitCode, e.output[max(len(e.output)-1500, 0):]), nil
}

// changeWithoutFaults rolls the change out after the faults, and reports whether all members run it.
func (r *run) changeWithoutFaults(ctx context.Context, hashes map[kind][]string, files map[kind]string) (changed bool, err error) {
	e, err := r.runCoordinator(ctx, 0, r.changeFlags(files[after], "journal", "--unjudged", "--bake", "100ms", "--bake-most", "5s")...)
	if err != nil {
		return false, err
	}
	if err := r.recordGenerations("journal"); err != nil {
		return false, err
	}
	if k, isUniform, description := r.fleetState(ctx, hashes); e.exitCode != exitCompleted || !isUniform || k != after {
		r.exchanges.Wrong("change without faults: coordinator's exit code %d, members:%s: %s", e.exitCode, description, e.output[max(len(e.output)-1500, 0):])
		return false, nil
	}
	return true, nil
}

// runHarmfulChange starts the harmful change, which the coordinator has to stop and roll back, and counts the members that
// ran it.
func (r *run) runHarmfulChange(ctx context.Context, rep *Report, hashes map[kind][]string, files map[kind]string) error {
	for _, h := range hashes[harmful] {
		r.exchanges.WantGeneration(h)
	}
	r.isHarmfulChangeActive.Store(true)
	started := time.Now()
	e, err := r.runCoordinator(ctx, 0, r.changeFlags(files[harmful], "harmful", "--bake", r.options.Bake.String(), "--bake-most", "40s")...)
	if err != nil {
		return err
	}
	rep.RollbackDuration = time.Since(started)
	if k, isUniform, description := r.fleetState(ctx, hashes); e.exitCode != exitRolledBack || !isUniform || k != after || !strings.Contains(e.output, "1 taken back") {
		r.exchanges.Wrong("harmful change: coordinator's exit code %d, members:%s: %s", e.exitCode, description, e.output[max(len(e.output)-1500, 0):])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reached := make(map[string]bool)
	for _, l := range r.statusReads {
		if slices.Contains(hashes[harmful], l.Hash) {
			reached[l.Member] = true
		}
	}
	rep.HarmedMembers = len(reached)
	return nil
}

// awaitServing waits until each node has answered a query and a write successfully.
func (r *run) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for i := range r.nodes() {
		c := r.client(i, 1000+int(time.Since(r.startedAt)/time.Millisecond)) // a client number that no other client has, so that request ids are unique
		defer c.conn.Close()
		for served := make(map[string]bool); len(served) < 2; {
			q := c.drawRequest()
			if q.customer == "" && q.path != "/list" && !served[q.path] && c.send(q) == 200 {
				served[q.path] = true
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s answered successfully only on %v: %w; %s", memberName(i), served, ctx.Err(), r.fixture.logTail(i))
			}
		}
	}
	return nil
}

// readStatus reads a member's status repeatedly until ctx ends. It connects without the links, so that faults don't
// prevent it.
func (r *run) readStatus(ctx context.Context, i int) {
	c := manage.Client{Path: r.fixture.controlSocket(i)}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		from := time.Since(r.startedAt)
		s, err := c.Status(callCtx)
		to := time.Since(r.startedAt)
		cancel()
		if err == nil {
			r.exchanges.Reported(memberName(i), s.ConfigHash)
			r.mu.Lock()
			if len(r.statusReads) < maxStatusReads {
				r.statusReads = append(r.statusReads, StatusRead{memberName(i), from, to, s.PID, s.Generation, s.ConfigHash, s.Epoch, s.Owner})
			}
			r.mu.Unlock()
		}
		select {
		case <-time.After(statusInterval):
		case <-ctx.Done():
		}
	}
}
