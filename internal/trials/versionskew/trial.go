// Package versionskew tests whether two builds of lockflow are compatible. It upgrades a daemon of the previous build
// to the current one and back under load, and starts each build from the other one's checkpoint file. It checks that
// both builds understand all data that passes between them: upgrade messages, the state handed over, checkpoint files,
// the JSON of the control socket and the coordinator's rollout log.
package versionskew

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	"lockflow/internal/manage"
	"lockflow/internal/state"
)

//go:embed config.toml
var configText string

const (
	reservedPlan     = "reserved"
	initialSpending  = 20  // units that the reserved customer spends at the start
	tokenTolerance   = 0.5 // units; the reserved bucket is refilled by 0.06 a minute
	learnedTolerance = 0.2 // maximum relative deviation of learned values after an upgrade
	minUsedFraction  = 0.7 // fraction of the hard limit that customers who exceed it must get
)

// Options are the builds of a trial and its extent.
type Options struct {
	Previous string    // absolute path of the previous build's program
	Current  string    // absolute path of the current build's program
	Dir      string    // for the daemon's files; short, as it holds the path of a Unix socket
	Env      []string  // additional environment of all processes, "K=V"
	Rounds   int       // number of upgrades to the current build and back
	Clients  int       // number of clients with a persistent connection; as many others use a connection for each request
	Requests int       // minimum number of requests answered between two upgrades
	Progress io.Writer // receives a line for each upgrade
}

// trial is the state of one run.
type trial struct {
	Options
	previous, current build
	daemon            *daemon
	backends          *backends
	load              *load
	report            *Report
	addr              string
	changes           int // number of configuration changes so far
	answered          int // number of answers at the last step
}

// Run tests two builds. It returns an error if the trial could not begin or was cancelled; violations, and an error
// that ended the trial early, are in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	t := &trial{
		Options:  o,
		report:   &Report{Violations: []string{}},
		daemon:   newDaemon(o.Dir),
		previous: build{name: "previous", path: o.Previous, env: o.Env},
		current:  build{name: "current", path: o.Current, env: o.Env},
	}
	var err error
	if t.backends, err = startBackends(); err != nil {
		return nil, err
	}
	defer t.backends.Close()
	text := strings.NewReplacer("@backends", t.backends.source(), "@state", t.daemon.stateDir()).Replace(configText)
	if err := os.WriteFile(t.daemon.config(), []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("writing the daemon's configuration: %w", err)
	}
	defer t.daemon.kill()
	if err = t.upgrades(ctx); err == nil {
		err = t.restarts(ctx)
	}
	if ctx.Err() != nil {
		return nil, err
	}
	if err != nil { // the violations found so far probably explain it
		t.report.violation("the trial ended early: %v", err)
		return t.report, nil
	}
	t.judge()
	return t.report, nil
}

// upgrades upgrades the daemon to the current build and back, under load and then without.
func (t *trial) upgrades(ctx context.Context) error {
	status, err := t.start(ctx, t.previous, "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.addr = status.Listeners[0]
	t.load = startLoad(ctx, t.addr, t.Clients)
	defer t.load.stop()
	if err := spendUnits(ctx, t.addr, initialSpending); err != nil {
		return err
	}
	if err := t.inspect(ctx, t.previous); err != nil {
		return err
	}
	for range t.Rounds {
		for _, change := range t.replacements() {
			if err := t.load.awaitAnswers(ctx, t.Requests); err != nil {
				return err
			}
			if err := t.prepare(ctx, change.to); err != nil {
				return err
			}
			if err := t.upgrade(ctx, "upgrade", change); err != nil {
				return err
			}
		}
	}
	if err := t.load.awaitAnswers(ctx, t.Requests); err != nil {
		return err
	}
	t.load.finish(t.report, t.backends)
	return t.idleUpgrades(ctx)
}

// idleUpgrades upgrades the daemon in both directions without load, so that learned values must stay unchanged.
func (t *trial) idleUpgrades(ctx context.Context) error {
	for _, change := range t.replacements() {
		before, err := t.freshCheckpoint(ctx, change.from)
		if err != nil {
			return err
		}
		if err := t.upgrade(ctx, "idle upgrade", change); err != nil {
			return err
		}
		after, err := t.freshCheckpoint(ctx, change.to)
		if err != nil {
			return err
		}
		t.compareServers(change.describe("idle upgrade"), before, after)
	}
	return nil
}

// replacement is the change from a process of one build to one of the other.
type replacement struct {
	from build
	to   build
}

// describe returns the name of a step of a kind.
func (r replacement) describe(kind string) string {
	return fmt.Sprintf("%s %s to %s", kind, r.from.name, r.to.name)
}

// replacements returns the changes to the current build and back.
func (t *trial) replacements() []replacement {
	return []replacement{{from: t.previous, to: t.current}, {from: t.current, to: t.previous}}
}

// start starts a process of a build and waits until it is ready.
func (t *trial) start(ctx context.Context, b build, listen string) (manage.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return t.daemon.start(ctx, b, listen)
}

// prepare changes the configuration with a coordinator of the build that does not serve, and spends a unit of the reserved
// customer. The next coordinator, of the other build, reads the rollout log of this one.
func (t *trial) prepare(ctx context.Context, coordinator build) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := t.reload(ctx, coordinator); err != nil {
		return err
	}
	return spendUnits(ctx, t.addr, 1)
}

// upgrade upgrades the daemon and compares the state before and after.
func (t *trial) upgrade(ctx context.Context, kind string, change replacement) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	before, err := t.daemon.client.Status(ctx)
	if err != nil {
		return err
	}
	step := Step{Name: change.describe(kind)}
	checkpoint, err := t.freshCheckpoint(ctx, change.from)
	if err != nil {
		return err
	}
	step.Tokens[0] = reservedTokens(checkpoint)
	started := time.Now()
	upgraded, err := t.replace(ctx, change.to, before.PID)
	if err != nil {
		return err
	}
	step.Duration = time.Since(started)
	step.Concurrency = [2]float64{statusConcurrency(before), statusConcurrency(upgraded)}
	step.Tokens[1] = t.awaitTokens(ctx, change.to, step.Tokens[0])
	answered, _ := t.load.progress()
	step.Requests = answered - t.answered
	t.answered = answered
	t.report.Steps = append(t.report.Steps, step)
	t.compareTokens(step)
	t.compareConcurrency(step)
	_, _ = fmt.Fprintf(t.Progress, "%s: %v\n", step.Name, step.Duration.Round(time.Millisecond))
	after, err := t.daemon.client.Status(ctx)
	if err != nil {
		return err
	}
	t.compareOwnership(step.Name, before, after)
	if after.Program != change.to.path {
		t.report.violation("%s: %s serves", step.Name, after.Program)
	}
	return t.inspect(ctx, change.to)
}

// replace upgrades the daemon with the command line of the new build and returns the first status of the new process.
func (t *trial) replace(ctx context.Context, to build, oldPID int) (status manage.Status, err error) {
	done := make(chan error, 1)
	go func() {
		_, err := to.run(ctx, "upgrade", "--control", t.daemon.client.Path, "--program", to.path)
		done <- err
	}()
	isDone := false
	err = pollUntil(ctx, func() (bool, error) {
		if !isDone {
			select {
			case err := <-done:
				isDone = true
				if err != nil {
					return false, err
				}
			default:
			}
		}
		var err error
		status, err = t.daemon.client.Status(ctx)
		return err == nil && status.PID != oldPID, nil
	})
	if err == nil && !isDone {
		err = <-done
	}
	return status, err
}

// reload changes the daemon's configuration with a coordinator of a build.
func (t *trial) reload(ctx context.Context, coordinator build) error {
	t.changes++
	raw, err := os.ReadFile(t.daemon.config())
	if err != nil {
		return fmt.Errorf("changing the configuration: %w", err)
	}
	depth := initialDepth + t.changes
	text := strings.Replace(string(raw), fmt.Sprintf("depth = %d", depth-1), fmt.Sprintf("depth = %d", depth), 1)
	next := filepath.Join(t.Dir, "next.toml")
	members := filepath.Join(t.Dir, "members")
	err = errors.Join(os.WriteFile(next, []byte(text), 0o600), os.WriteFile(members, []byte(t.daemon.client.Path+"\n"), 0o600))
	if err != nil {
		return fmt.Errorf("changing the configuration: %w", err)
	}
	if _, err := coordinator.run(ctx, "fleet", "reload", "--sockets", members, "--config", next, "--journal", filepath.Join(t.Dir, "rollout"),
		"--stages", "100%", "--bake", "10ms", "--unjudged"); err != nil {
		return err
	}
	status, err := t.daemon.client.Status(ctx)
	if err != nil {
		return err
	}
	if status.ConfigHash != status.DesiredState.Hash || status.LastCommand.ID == "" {
		t.report.violation("a coordinator of the %s build: hash %s, wanted %s, order %q", coordinator.name, status.ConfigHash, status.DesiredState.Hash, status.LastCommand.ID)
	}
	return nil
}

// initialDepth is the depth in config.toml that each change of the configuration increases.
const initialDepth = 2000

// restarts starts each build from the checkpoint file of the other one, without load.
func (t *trial) restarts(ctx context.Context) error {
	if err := t.stop(ctx); err != nil {
		return err
	}
	before, err := t.readCheckpoint(t.previous.name)
	if err != nil {
		return err
	}
	for _, change := range t.replacements() {
		started := time.Now()
		status, err := t.start(ctx, change.to, t.addr)
		if err != nil {
			return err
		}
		step := Step{Name: change.describe("restart")}
		for _, condition := range status.DegradedConditions {
			t.report.violation("%s: the new process distrusts %s", step.Name, condition)
		}
		if err := t.inspect(ctx, change.to); err != nil {
			return err
		}
		if err := t.stop(ctx); err != nil {
			return err
		}
		step.Duration = time.Since(started)
		after, err := t.readCheckpoint(change.to.name)
		if err != nil {
			return err
		}
		step.Tokens = [2]float64{reservedTokens(before), reservedTokens(after)}
		step.Concurrency = [2]float64{checkpointConcurrency(before), checkpointConcurrency(after)}
		t.report.Steps = append(t.report.Steps, step)
		t.compareTokens(step)
		before = after
	}
	return nil
}

// stop drains the serving process and waits until it has exited.
func (t *trial) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return t.daemon.stop(ctx)
}

// inspect checks that both builds understand the checkpoint and the status of the serving process completely.
func (t *trial) inspect(ctx context.Context, serving build) error {
	if _, err := t.freshCheckpoint(ctx, serving); err != nil {
		return err
	}
	raw, err := t.daemon.rawStatus(ctx)
	if err != nil {
		return err
	}
	decoded, paths, err := statusDifferences(raw)
	if err != nil || len(paths) > 0 {
		t.report.violation("status of the %s build is not understood in full: %v %s", serving.name, err, strings.Join(paths, " "))
	}
	for _, reader := range []build{t.previous, t.current} {
		if err := t.inspectPrinted(ctx, serving, reader, raw, decoded); err != nil {
			t.report.violation("status of the %s build: %v", serving.name, err)
		}
	}
	return nil
}

// inspectPrinted checks that the command line of a build prints the status of the serving process, which is given raw and
// decoded, completely. It returns an error if the command failed.
func (t *trial) inspectPrinted(ctx context.Context, serving, reader build, raw []byte, decoded manage.Status) error {
	if _, err := reader.run(ctx, "status", "--control", t.daemon.client.Path); err != nil {
		return err
	}
	printed, err := t.daemon.cliStatus(ctx, reader)
	if err != nil {
		return err
	}
	if paths, err := keyDifferences(raw, printed); err != nil || len(paths) > 0 {
		t.report.violation("status of the %s build as the %s build prints it: %v %s", serving.name, reader.name, err, strings.Join(paths, " "))
	}
	status, _, err := statusDifferences(printed)
	isSame := status.PID == decoded.PID && status.ConfigHash == decoded.ConfigHash && status.Epoch == decoded.Epoch
	if err != nil || !isSame {
		t.report.violation("status of the %s build as the %s build prints it: process %d, epoch %d: %v", serving.name, reader.name, status.PID, status.Epoch, err)
	}
	return nil
}

// readCheckpoint reads the checkpoint file that a build, the writer, has written.
func (t *trial) readCheckpoint(writer string) (state.Checkpoint, error) {
	raw, err := os.ReadFile(t.daemon.checkpoint())
	if err != nil {
		return state.Checkpoint{}, fmt.Errorf("reading a checkpoint: %w", err)
	}
	decoded, paths, err := checkpointDifferences(raw)
	if err != nil || len(paths) > 0 {
		t.report.violation("checkpoint of the %s build is not understood in full: %v %s", writer, err, strings.Join(paths, " "))
	}
	return decoded, nil
}

// freshCheckpoint waits for a checkpoint that was taken after this call. It skips the next file that is written, as its
// checkpoint may have been taken before.
func (t *trial) freshCheckpoint(ctx context.Context, writer build) (state.Checkpoint, error) {
	var last time.Time
	files := 0
	err := pollUntil(ctx, func() (bool, error) {
		info, err := os.Stat(t.daemon.checkpoint())
		if err == nil && !info.ModTime().Equal(last) {
			last = info.ModTime()
			files++ // the first file that is counted existed before this call
		}
		return files > 2, nil
	})
	if err != nil {
		return state.Checkpoint{}, fmt.Errorf("waiting for a checkpoint of the %s build: %w", writer.name, err)
	}
	return t.readCheckpoint(writer.name)
}

// awaitTokens waits until a checkpoint has as many tokens of the reserved customer as before, and returns those of the
// last checkpoint read.
func (t *trial) awaitTokens(ctx context.Context, writer build, before float64) (left float64) {
	ctx, cancel := context.WithTimeout(ctx, tokensTimeout)
	defer cancel()
	// The caller compares the tokens, so a timeout needs no error here.
	_ = pollUntil(ctx, func() (bool, error) {
		checkpoint, err := t.readCheckpoint(writer.name)
		if err != nil {
			return false, err
		}
		left = reservedTokens(checkpoint)
		return math.Abs(left-before) < tokenTolerance, nil
	})
	return left
}

// tokensTimeout is the maximum wait for a checkpoint after the old process's end, many times the checkpoint interval.
const tokensTimeout = 5 * time.Second
