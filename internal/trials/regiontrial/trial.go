// Package regiontrial has a staged change go over three regions of real processes that gather from each
// other, with clients at work and faults on every way between them, kills its coordinators, and holds what
// was seen to what has to be so whatever befalls them.
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
)

// Options say what is tried.
type Options struct {
	Program        string // absolute
	Dir            string // for the nodes' files; short and empty
	NodesPerRegion int    // nodes of each of the three regions
	Clients        int    // of each node
	Script         faultnet.Script
	Bake           time.Duration // of a stage of the harmful change
}

// Report is what came of one script.
type Report struct {
	Seed                    uint64        `json:"seed"`
	Faults                  int           `json:"faults"`
	NodesKilled             int           `json:"kills"` // of nodes
	CoordinatorsKilled      int           `json:"coordinators_killed"`
	ExitCodes               []int         `json:"runs"`      // exits of coordinators under faults; -1 is killed
	CoordinatorsAfterFaults int           `json:"again"`     // coordinators that were needed once all faults had ended
	Phases                  int           `json:"phases"`    // of the change
	ChangedUnderFaults      bool          `json:"changed"`   // all had the new settings already when the faults ended
	Decisions               int           `json:"decisions"` // told by all coordinators
	Epochs                  int           `json:"epochs"`    // granted by some member
	Commands                int           `json:"orders"`    // begun by members
	Requests                int           `json:"requests"`
	Served                  int           `json:"served"`
	Broken                  int           `json:"broken"`   // without an answer, as a fault explains
	GatherResults           int           `json:"gathered"` // answers of queries
	PartialResults          int           `json:"partial"`  // of them, without some part
	Effects                 int           `json:"effects"`
	LimitedRequests         int           `json:"metered"` // requests of customers with a ceiling that stand-ins were sent
	MaxExcess               float64       `json:"beyond"`  // by which they passed it at most, in requests
	StatusReads             int           `json:"looks"`
	FailedByHarm            int           `json:"harmed"`         // requests that the harmful change failed
	HarmedMembers           int           `json:"harmed_at"`      // members it had reached
	HarmDuration            time.Duration `json:"harmed_took_ns"` // until it was stopped and taken back
	Duration                time.Duration `json:"took_ns"`
	Violations              []string      `json:"wrong"`
}

// Bounds of what a trial waits for; nothing is expected to come near them.
const (
	startTimeout      = 40 * time.Second
	recoveryTimeout   = 40 * time.Second
	changeTimeout     = 4 * time.Minute
	readyPollInterval = 2 * time.Millisecond
	statusInterval    = 10 * time.Millisecond
	statusTimeout     = 2 * time.Second
	retryInterval     = 50 * time.Millisecond
	maxStatusReads    = 500_000
)

// run is a trial that goes on.
type run struct {
	options       Options
	fixture       *fixture
	exchanges     *history.Exchanges
	limited       limitedRequests
	fakes         []*fakeServer
	failingServer *fakeServer
	effects       sync.Map // ids of writes whose effect happened
	isHarmRunning atomic.Bool
	rng           *rand.Rand
	startedAt     time.Time

	mu                 sync.Mutex
	statusCounts       map[int]int // of answers
	gatherResults      int
	partialResults     int
	failedByHarm       int
	decisions          int
	coordinatorsKilled int
	generations        map[string][]string // of the change, by member
	statusReads        []StatusRead
}

func (r *run) nodes() int { return regionCount * r.options.NodesPerRegion }

// Run tries one script. The error is of what could not be tried; what went wrong in it is in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &run{
		options: o, fixture: &fixture{nodesPerRegion: o.NodesPerRegion, dir: o.Dir}, exchanges: &history.Exchanges{}, statusCounts: make(map[int]int), generations: make(map[string][]string),
		rng: rand.New(rand.NewPCG(o.Script.Seed, 0xa70ce)), startedAt: time.Now(),
	}
	player, err := faultnet.NewPlayer(o.Script, make([]*faultnet.Link, Links(o.NodesPerRegion)), make([]*faultnet.Process, r.nodes()))
	if err != nil {
		return nil, err
	}
	defer r.close()
	rep := &Report{Seed: o.Script.Seed, Faults: len(o.Script.Entries)}
	hashes, files, err := r.setUp(ctx)
	if err != nil {
		return nil, err
	}
	player.Links, player.Procs, player.Before = r.fixture.links, r.fixture.processes, r.fixture.recordBegins
	player.Done = func(ev faultnet.Event) { r.fixture.recordEnds(ev, r.exchanges.Wrong) }

	working, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	for i := range r.nodes() {
		for n := range o.Clients {
			c := r.client(i, n)
			all.Go(func() { c.sendUntilDone(working) })
		}
		all.Go(func() { r.readStatuses(working, i) })
	}
	err = r.changeUnderFaults(ctx, player, rep, hashes, files)
	if err == nil {
		err = r.finishChange(ctx, rep, hashes, files)
	}
	stop()
	all.Wait()
	if err = errors.Join(err, ctx.Err()); err != nil { // what was cut short shows nothing
		return nil, err
	}
	r.fillReport(rep)
	return rep, nil
}

// setUp starts all at the old settings, and writes the fleet files.
func (r *run) setUp(ctx context.Context) (hashes map[configKind][]string, files map[configKind]string, err error) {
	var standins [][3]string
	for _, name := range regionNames {
		var addrs [3]string
		for n, handle := range []func(string) (*fakeServer, error){
			func(name string) (*fakeServer, error) { return startServer(r.exchanges, r.appHandler(name)) },
			func(name string) (*fakeServer, error) { return startServer(r.exchanges, r.appHandler(name)) },
			func(name string) (*fakeServer, error) { return startServer(r.exchanges, r.poolHandler(name)) },
		} {
			s, err := handle(name)
			if err != nil {
				return nil, nil, err
			}
			r.fakes, addrs[n] = append(r.fakes, s), s.addr
		}
		standins = append(standins, addrs)
	}
	if r.failingServer, err = startServer(r.exchanges, failAll); err != nil {
		return nil, nil, err
	}
	r.fakes = append(r.fakes, r.failingServer)
	if err := r.fixture.openLinks(standins); err != nil {
		return nil, nil, err
	}
	if err := os.WriteFile(r.customersPath(), []byte("gold-1,gold\nsilver-1,silver\n"), 0o600); err != nil {
		return nil, nil, fmt.Errorf("a trial: %w", err)
	}
	hashes, files = make(map[configKind][]string), make(map[configKind]string)
	for k, name := range map[configKind]string{oldConfig: "before", newConfig: "after", conflictingConfig: "conflicting", harmfulConfig: "harmful"} {
		if files[k], hashes[k], err = r.writeFleet(name, k); err != nil {
			return nil, nil, err
		}
	}
	for k := range files {
		f, err := fleetfile.Load(files[k])
		if err != nil {
			return nil, nil, err
		}
		found := slices.DeleteFunc(f.Waive(regions.Check(f.Regions()), time.Now()), func(c regions.Conflict) bool { return c.Severity != regions.Error })
		if (len(found) > 0) != (k == conflictingConfig) {
			r.exchanges.Wrong("%s: %d conflicts: %+v", files[k], len(found), found)
		}
	}
	for i := range r.nodes() {
		r.exchanges.WantGeneration(hashes[oldConfig][i/r.options.NodesPerRegion])
		if err := os.WriteFile(r.fixture.configPath(i), []byte(r.regionConfig(i/r.options.NodesPerRegion, oldConfig)), 0o600); err != nil {
			return nil, nil, fmt.Errorf("a trial: %w", err)
		}
	}
	r.limited.startedAt = time.Now()
	if err := r.fixture.startNodes(ctx, r.options.Program); err != nil {
		return nil, nil, err
	}
	return hashes, files, r.awaitServing(ctx)
}

func (r *run) close() {
	r.fixture.close()
	for _, s := range r.fakes {
		s.close()
	}
}

// changeUnderFaults has the conflicting change refused and the valid one go over the fleet while the script plays:
// its coordinator is killed twice, with another one, of a journal of its own, in between, which is killed too.
func (r *run) changeUnderFaults(ctx context.Context, player *faultnet.Player, rep *Report, hashes map[configKind][]string, files map[configKind]string) error {
	// What the change goes through is known once it is in a journal, before any of it is ordered.
	for _, h := range hashes[newConfig] {
		r.exchanges.WantGeneration(h)
	}
	played := make(chan error, 1)
	go func() {
		_, err := player.Play(ctx)
		played <- err
	}()
	err := func() error {
		if err := r.checkRejected(ctx, files[conflictingConfig]); err != nil {
			return err
		}
		soft := []string{"--unjudged", "--bake", "100ms", "--bake-most", "5s"}
		e, err := r.startChange(ctx, files[newConfig], 2+r.rng.IntN(12), soft...)
		if err != nil {
			return err
		}
		rep.ExitCodes = append(rep.ExitCodes, e.exitCode)
		second := r.changeFlags(files[newConfig], "second", soft...)
		for _, step := range []struct {
			kill int
			args []string
		}{{2 + r.rng.IntN(12), second}, {2 + r.rng.IntN(16), r.changeFlags(files[newConfig], "journal", "--resume")}, {0, r.changeFlags(files[newConfig], "journal", "--resume")}} {
			if e, err = r.runCoordinator(ctx, step.kill, step.args...); err != nil {
				return err
			}
			rep.ExitCodes = append(rep.ExitCodes, e.exitCode)
			if e.exitCode != exitDone && e.exitCode != exitRolledBack && e.exitCode != exitStuck && e.exitCode != killed {
				r.exchanges.Wrong("a coordinator: exit %d: %s", e.exitCode, e.output)
			}
		}
		return nil
	}()
	if playErr := <-played; err == nil && playErr != nil {
		err = fmt.Errorf("carrying the script out: %w", playErr)
	}
	r.fixture.starts.Wait()
	for _, name := range []string{"journal", "second"} {
		err = errors.Join(err, r.recordGenerations(name))
	}
	return err
}

// finishChange holds the end of the change, brings all to the new settings, and has a harmful change stopped.
func (r *run) finishChange(ctx context.Context, rep *Report, hashes map[configKind][]string, files map[configKind]string) error {
	if err := r.awaitServing(ctx); err != nil {
		r.exchanges.Wrong("%v", err)
		return ctx.Err()
	}
	var said []string
	last := rep.ExitCodes[len(rep.ExitCodes)-1]
	for tries := 0; ; tries++ {
		k, one, told := r.commonConfig(ctx, hashes)
		if one && (k == oldConfig || k == newConfig) && (tries > 0 || last != exitStuck) {
			rep.ChangedUnderFaults, rep.CoordinatorsAfterFaults = k == newConfig, tries
			if tries == 0 && last == exitDone && !rep.ChangedUnderFaults {
				r.exchanges.Wrong("the change ended with %v, and all run the old settings", rep.ExitCodes)
			}
			break
		}
		if tries == 0 && last != exitStuck {
			r.exchanges.Wrong("the change ended with %v, and members run different settings:%s", rep.ExitCodes, told)
		}
		if tries == 4 {
			r.exchanges.Wrong("the members do not all come to one state:%s; %s", told, strings.Join(said, "\n"))
			return nil
		}
		// A member that the second coordinator left between two of its own generations runs what the first one's
		// journal doesn't know: that is told as stuck, and the second one's journal takes it back.
		way := [][]string{{"journal", "--resume"}, {"second", "--take-back"}, {"journal", "--resume"}, {"journal", "--take-back"}}[tries]
		what, err := r.resumeChange(ctx, files[newConfig], way[0], way[1])
		if err != nil {
			return err
		}
		said = append(said, what)
	}
	if !rep.ChangedUnderFaults {
		if changed, err := r.changeWithoutFaults(ctx, hashes, files); err != nil || !changed {
			return err
		}
	}
	return r.changeHarmfully(ctx, rep, hashes, files)
}

// resumeChange goes on with the change of a journal in some way, where it has one, and gives what came of it.
func (r *run) resumeChange(ctx context.Context, file, journal, way string) (said string, err error) {
	if c, err := r.readRolloutLog(journal); err != nil || c == nil {
		return fmt.Sprintf("%s: nothing begun, %v", journal, err), nil
	}
	e, err := r.runCoordinator(ctx, 0, r.changeFlags(file, journal, way)...)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s %s: exit %d: %s", journal, way, e.exitCode, e.output[max(len(e.output)-1500, 0):]), nil
}

// changeWithoutFaults makes the change without faults.
func (r *run) changeWithoutFaults(ctx context.Context, hashes map[configKind][]string, files map[configKind]string) (changed bool, err error) {
	e, err := r.runCoordinator(ctx, 0, r.changeFlags(files[newConfig], "journal", "--unjudged", "--bake", "100ms", "--bake-most", "5s")...)
	if err != nil {
		return false, err
	}
	if err := r.recordGenerations("journal"); err != nil {
		return false, err
	}
	if k, one, told := r.commonConfig(ctx, hashes); e.exitCode != exitDone || !one || k != newConfig {
		r.exchanges.Wrong("without faults the change ends with %d:%s: %s", e.exitCode, told, e.output[max(len(e.output)-1500, 0):])
		return false, nil
	}
	return true, nil
}

// changeHarmfully begins a harmful change, which has to be stopped and taken back, and counts the members that it reached.
func (r *run) changeHarmfully(ctx context.Context, rep *Report, hashes map[configKind][]string, files map[configKind]string) error {
	for _, h := range hashes[harmfulConfig] {
		r.exchanges.WantGeneration(h)
	}
	r.isHarmRunning.Store(true)
	begun := time.Now()
	e, err := r.runCoordinator(ctx, 0, r.changeFlags(files[harmfulConfig], "harmful", "--bake", r.options.Bake.String(), "--bake-most", "40s")...)
	if err != nil {
		return err
	}
	rep.HarmDuration = time.Since(begun)
	if k, one, told := r.commonConfig(ctx, hashes); e.exitCode != exitRolledBack || !one || k != newConfig || !strings.Contains(e.output, "1 taken back") {
		r.exchanges.Wrong("a harmful change ends with %d:%s: %s", e.exitCode, told, e.output[max(len(e.output)-1500, 0):])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reached := make(map[string]bool)
	for _, l := range r.statusReads {
		if slices.Contains(hashes[harmfulConfig], l.Hash) {
			reached[l.Member] = true
		}
	}
	rep.HarmedMembers = len(reached)
	return nil
}

// awaitServing waits until each node answers a query and a write well.
func (r *run) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for i := range r.nodes() {
		c := r.client(i, 1000+int(time.Since(r.startedAt)/time.Millisecond)) // with ids of its own
		defer c.disconnect()
		for well := make(map[string]bool); len(well) < 2; {
			q := c.drawRequest()
			if q.customer == "" && q.path != "/list" && !well[q.path] && c.send(q) == 200 {
				well[q.path] = true
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s serves only %v: %w; %s", memberName(i), well, ctx.Err(), r.fixture.logTail(i))
			}
		}
	}
	return nil
}

// readStatuses asks a member what it is, beside all links, until ctx ends.
func (r *run) readStatuses(ctx context.Context, i int) {
	c := manage.Client{Path: r.fixture.socketPath(i)}
	for ctx.Err() == nil {
		within, cancel := context.WithTimeout(ctx, statusTimeout)
		from := time.Since(r.startedAt)
		s, err := c.Status(within)
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

// fillReport holds all that was noted to the rules.
func (r *run) fillReport(rep *Report) {
	for i, p := range r.fixture.processes {
		if !p.Runs() {
			r.exchanges.Wrong("%s has ended by itself: %v; %s", memberName(i), p.Wait(), r.fixture.logTail(i))
		}
	}
	for _, g := range r.generations {
		rep.Phases = max(rep.Phases, len(g)-1)
	}
	wrong := append(CheckNeighbours(r.statusReads, r.generations), CheckOwners(r.statusReads)...)
	owners := make(map[uint64]string)
	for _, l := range r.statusReads {
		if l.Epoch > 0 {
			owners[l.Epoch] = l.Owner
		}
	}
	for i, p := range r.fixture.processes {
		raw, err := os.ReadFile(p.Log)
		if err != nil {
			r.exchanges.Wrong("%s: %v", memberName(i), err)
		}
		var g MemberLog
		g.Read(memberName(i), string(raw), owners)
		wrong = append(wrong, g.Violations...)
		rep.Commands += g.Commands
	}
	for _, c := range customers {
		at := slices.Clone(r.limited.times[c])
		slices.Sort(at)
		rep.LimitedRequests += len(at)
		// The change passes between the two; the larger holds for all. A store starts with its burst at most.
		beyond := MaxExcess(at, unitsHigh, unitsHigh)
		if rep.MaxExcess = max(rep.MaxExcess, beyond); beyond > float64(roundingSlack(r.nodes())) {
			wrong = append(wrong, fmt.Sprintf("customer %s: %.1f requests beyond its ceiling", c, beyond))
		}
	}
	rep.Violations = append(wrong, r.exchanges.Check(func(why string) bool { return !strings.HasPrefix(why, "unexplained") })...)
	rep.Requests, _ = r.exchanges.Counts()
	rep.Effects = r.exchanges.Effects()
	rep.Served, rep.GatherResults, rep.PartialResults, rep.FailedByHarm = r.statusCounts[200], r.gatherResults, r.partialResults, r.failedByHarm
	for s, n := range r.statusCounts {
		_ = s
		rep.Broken += n
	}
	rep.Broken = rep.Requests - rep.Broken
	rep.CoordinatorsKilled, rep.Decisions, rep.NodesKilled, rep.Epochs, rep.StatusReads = r.coordinatorsKilled, r.decisions, r.fixture.kills, len(owners), len(r.statusReads)
	rep.Duration = time.Since(r.startedAt)
}

// roundingSlack is what ceilings may be passed by, in requests: an account that is drawn on at several instances at
// once is counted in parts, of which each may be rounded up.
func roundingSlack(nodes int) int { return nodes }
