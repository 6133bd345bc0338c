// Package regiontrial tries a staged change over three regions of real processes that gather from each
// other. Clients send requests, faults occur on all links and processes, and coordinators are killed. What
// was observed is checked against the rules that hold whatever happens.
package regiontrial

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/internal/fleetfile"
	"lockflow/internal/regions"
	"lockflow/internal/trials/faultnet"
	"lockflow/internal/trials/faultnet/history"
)

// Options configure a trial.
type Options struct {
	Program        string // absolute path of the node's program
	Dir            string // for the nodes' files; its path is short, and it is empty
	NodesPerRegion int
	Clients        int // of each node
	Script         faultnet.Script
	Bake           time.Duration // of each stage of the harmful change
}

// Timeouts and intervals of a trial. No timeout is expected to expire.
const (
	startTimeout      = 40 * time.Second
	recoveryTimeout   = 40 * time.Second
	changeTimeout     = 4 * time.Minute
	readyPollInterval = 2 * time.Millisecond
	statusInterval    = 10 * time.Millisecond
	statusTimeout     = 2 * time.Second
	retryInterval     = 50 * time.Millisecond
)

// maxStatusReads bounds the status reads that are recorded.
const maxStatusReads = 500_000

// coordinatorSeed separates the random numbers of the coordinators' kills from the script's.
const coordinatorSeed = 0xa70ce

// run is one trial.
type run struct {
	options       Options
	fixture       *fixture
	exchanges     *history.Exchanges
	limited       limitedRequests
	fakes         []*fakeServer
	failingServer *fakeServer
	effects       sync.Map    // IDs of writes that had their effect
	isHarmRunning atomic.Bool // the harmful change has started
	rng           *rand.Rand
	startedAt     time.Time
	configs       map[configKind]fleetConfig

	mu                 sync.Mutex
	statusCounts       map[int]int // of final answers
	gatherResults      int
	partialResults     int
	failedByHarm       int
	decisions          int
	coordinatorsKilled int
	generations        map[string][]string // hashes in the order of the change, by member
	statusReads        []StatusRead
}

func (r *run) nodes() int { return regionCount * r.options.NodesPerRegion }

// Run runs a trial. It returns an error where the trial could not be run; violations are in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &run{
		options:      o,
		fixture:      &fixture{nodesPerRegion: o.NodesPerRegion, dir: o.Dir},
		exchanges:    &history.Exchanges{},
		rng:          rand.New(rand.NewPCG(o.Script.Seed, coordinatorSeed)),
		startedAt:    time.Now(),
		configs:      make(map[configKind]fleetConfig),
		statusCounts: make(map[int]int),
		generations:  make(map[string][]string),
	}
	player, err := faultnet.NewPlayer(o.Script, make([]*faultnet.Link, Links(o.NodesPerRegion)), make([]*faultnet.Process, r.nodes()))
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.setUp(ctx); err != nil {
		return nil, err
	}
	player.Links = r.fixture.links
	player.Procs = r.fixture.processes
	player.Before = r.fixture.recordBegins
	player.Done = func(event faultnet.Event) { r.fixture.recordEnds(event, r.exchanges.Wrong) }

	stopWork := r.startWork(ctx)
	report := &Report{Seed: o.Script.Seed, Faults: len(o.Script.Entries)}
	err = r.changeUnderFaults(ctx, player, report)
	if err == nil {
		err = r.finishChange(ctx, report)
	}
	stopWork()
	if err = errors.Join(err, ctx.Err()); err != nil { // a trial that was cut short shows nothing
		return nil, err
	}
	r.fillReport(report)
	return report, nil
}

// startWork starts the clients and the reads of statuses. The function that it returns ends them.
func (r *run) startWork(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	for node := range r.nodes() {
		for n := range r.options.Clients {
			c := r.client(node, n)
			work.Go(func() { c.sendUntilDone(ctx) })
		}
		work.Go(func() { r.readStatuses(ctx, node) })
	}
	return func() {
		cancel()
		work.Wait()
	}
}

// setUp starts fake servers and nodes with the old settings, writes all fleet files, and waits until all
// nodes serve.
func (r *run) setUp(ctx context.Context) error {
	fakes, err := r.startFakes()
	if err != nil {
		return err
	}
	if err := r.fixture.openLinks(fakes); err != nil {
		return err
	}
	if err := os.WriteFile(r.customersPath(), []byte("gold-1,gold\nsilver-1,silver\n"), 0o600); err != nil {
		return fmt.Errorf("a trial: %w", err)
	}
	for name, kind := range configKinds {
		if r.configs[kind], err = r.writeFleet(name, kind); err != nil {
			return err
		}
	}
	for kind, config := range r.configs {
		if err := r.checkConflicts(kind, config.file); err != nil {
			return err
		}
	}
	for node := range r.nodes() {
		region := node / r.options.NodesPerRegion
		r.exchanges.WantGeneration(r.configs[oldConfig].hashes[region])
		if err := os.WriteFile(r.fixture.configPath(node), []byte(r.regionConfig(region, oldConfig)), 0o600); err != nil {
			return fmt.Errorf("a trial: %w", err)
		}
	}
	r.limited.startedAt = time.Now()
	if err := r.fixture.startNodes(ctx, r.options.Program); err != nil {
		return err
	}
	return r.awaitServing(ctx)
}

// startFakes starts the fake servers and returns those of each region.
func (r *run) startFakes() ([]regionFakes, error) {
	var all []regionFakes
	for _, name := range regionNames {
		var addresses []string
		for _, handler := range []func(string) http.HandlerFunc{r.appHandler, r.appHandler, r.poolHandler} {
			server, err := startServer(r.exchanges, handler(name))
			if err != nil {
				return nil, err
			}
			r.fakes = append(r.fakes, server)
			addresses = append(addresses, server.addr)
		}
		all = append(all, regionFakes{firstApp: addresses[0], secondApp: addresses[1], pool: addresses[2]})
	}
	var err error
	if r.failingServer, err = startServer(r.exchanges, failAll); err != nil {
		return nil, err
	}
	r.fakes = append(r.fakes, r.failingServer)
	return all, nil
}

// checkConflicts checks that the regions of a fleet file conflict only in the kind that is meant to.
func (r *run) checkConflicts(kind configKind, file string) error {
	fleet, err := fleetfile.Load(file)
	if err != nil {
		return err
	}
	conflicts := fleet.Waive(regions.Check(fleet.Regions()), time.Now())
	conflicts = slices.DeleteFunc(conflicts, func(c regions.Conflict) bool { return c.Severity != regions.Error })
	if (len(conflicts) > 0) != (kind == conflictingConfig) {
		r.exchanges.Wrong("%s: %d conflicts: %+v", file, len(conflicts), conflicts)
	}
	return nil
}

func (r *run) close() {
	r.fixture.close()
	for _, server := range r.fakes {
		server.close()
	}
}

// firstProbeClient is the number of the first client of awaitServing, above those of other clients, so that
// its requests have IDs of their own.
const firstProbeClient = 1000

// awaitServing waits until each node answers a query and a write with status 200.
func (r *run) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for node := range r.nodes() {
		if err := r.awaitNode(ctx, node); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) awaitNode(ctx context.Context, node int) error {
	c := r.client(node, firstProbeClient+int(time.Since(r.startedAt)/time.Millisecond))
	defer c.disconnect()
	for served := make(map[string]bool); len(served) < 2; {
		q := c.drawRequest()
		isProbe := q.customer == "" && q.path != pathList && !served[q.path]
		if isProbe && c.send(q) == http.StatusOK {
			served[q.path] = true
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%s serves only %v: %w; %s", memberName(node), served, ctx.Err(), r.fixture.logTail(node))
		}
	}
	return nil
}
