// Package versionskew tries whether two builds of lockflow can take each other's place. A daemon of the previous
// build is upgraded to the current one and back, under load, and started from the other one's checkpoint files.
// What passes between processes of both builds is held to be understood in full: the messages of an upgrade, the
// state handed over, the files of the state directory, the JSON of the control socket, the coordinator's journal.
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
	firstSpending    = 20  // units of the reserved customer at the start
	tokenTolerance   = 0.5 // of the reserved bucket, which fills by 0.06 a minute
	learnedTolerance = 0.2
	usedMin          = 0.7 // part of the hard limit that customers are to get who ask for more
)

// Options say which builds are tried, and how long.
type Options struct {
	Previous, Current string   // absolute paths of the programs
	Dir               string   // for the daemon's files; its path has to be short
	Env               []string // of all processes
	Rounds            int      // of an upgrade to the current build and back
	Clients           int      // that keep their connection, and as many with a new one for each request
	Requests          int      // that are answered between two changes, at least
	Progress          io.Writer
}

// trial is one run.
type trial struct {
	Options
	previous, current build
	daemon            *daemon
	backends          *backends
	load              *load
	report            *Report
	addr              string
	changes           int // of the configuration
	answered          int // at the last step
}

// Run tries two builds. An error is a trial that could not begin or was cancelled; what was not kept is in the
// report.
func Run(ctx context.Context, o Options) (*Report, error) {
	t := &trial{
		Options: o, report: &Report{Violations: []string{}}, daemon: newDaemon(o.Dir),
		previous: build{"previous", o.Previous, o.Env}, current: build{"current", o.Current, o.Env},
	}
	var err error
	if t.backends, err = startBackends(); err != nil {
		return nil, err
	}
	defer t.backends.Close()
	text := strings.NewReplacer("@backends", t.backends.source(), "@state", t.daemon.stateDir()).Replace(configText)
	if err := os.WriteFile(t.daemon.config(), []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("trying two builds: %w", err)
	}
	defer t.daemon.kill()
	if err = t.upgrades(ctx); err == nil {
		err = t.restarts(ctx)
	}
	if ctx.Err() != nil {
		return nil, err
	}
	if err != nil { // what was found before says why, most likely
		t.report.violation("the trial ended early: %v", err)
		return t.report, nil
	}
	t.judge()
	return t.report, nil
}

// upgrades has the builds take each other's place under load.
func (t *trial) upgrades(ctx context.Context) error {
	status, err := t.start(ctx, t.previous, "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.addr = status.Listeners[0]
	t.load = startLoad(ctx, t.addr, t.Clients)
	defer t.load.stop()
	if err := spend(ctx, t.addr, firstSpending); err != nil {
		return err
	}
	if err := t.inspect(ctx, t.previous); err != nil {
		return err
	}
	for range t.Rounds {
		for _, pair := range t.directions() {
			if err := t.load.await(ctx, t.Requests); err != nil {
				return err
			}
			if err := t.prepare(ctx, pair[1]); err != nil {
				return err
			}
			if err := t.upgrade(ctx, "upgrade", pair[0], pair[1]); err != nil {
				return err
			}
		}
	}
	if err := t.load.await(ctx, t.Requests); err != nil {
		return err
	}
	t.load.finish(t.report, t.backends)
	return t.idleUpgrades(ctx)
}

// idleUpgrades has the builds take each other's place once more, with no load: what was learned then stays as it was.
func (t *trial) idleUpgrades(ctx context.Context) error {
	for _, pair := range t.directions() {
		from, to := pair[0], pair[1]
		before, err := t.freshCheckpoint(ctx, from)
		if err != nil {
			return err
		}
		if err := t.upgrade(ctx, "idle upgrade", from, to); err != nil {
			return err
		}
		after, err := t.freshCheckpoint(ctx, to)
		if err != nil {
			return err
		}
		t.compareServers(fmt.Sprintf("idle upgrade %s to %s", from.name, to.name), before, after)
	}
	return nil
}

// directions are the two ways between the builds.
func (t *trial) directions() [2][2]build {
	return [2][2]build{{t.previous, t.current}, {t.current, t.previous}}
}

func (t *trial) start(ctx context.Context, b build, listen string) (manage.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return t.daemon.start(ctx, b, listen)
}

// prepare has a coordinator of the build that does not serve change the configuration, and something be spent.
// The next coordinator, of the other build, reads what this one has written.
func (t *trial) prepare(ctx context.Context, coordinator build) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := t.reload(ctx, coordinator); err != nil {
		return err
	}
	return spend(ctx, t.addr, 1)
}

// upgrade has a process of one build give way to one of another.
func (t *trial) upgrade(ctx context.Context, kind string, from, to build) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	before, err := t.daemon.client.Status(ctx)
	if err != nil {
		return err
	}
	step := Step{Name: fmt.Sprintf("%s %s to %s", kind, from.name, to.name)}
	settled, err := t.freshCheckpoint(ctx, from)
	if err != nil {
		return err
	}
	step.Tokens[0] = tokens(settled)
	started := time.Now()
	first, err := t.replace(ctx, to, before.PID)
	if err != nil {
		return err
	}
	step.Duration = time.Since(started)
	step.Concurrency = [2]float64{concurrency(before), concurrency(first)}
	step.Tokens[1] = t.tokensLike(ctx, to, step.Tokens[0])
	answered, _ := t.load.progress()
	step.Requests, t.answered = answered-t.answered, answered
	t.report.Steps = append(t.report.Steps, step)
	t.compareTokens(step)
	t.compareConcurrency(step)
	_, _ = fmt.Fprintf(t.Progress, "%s: %v\n", step.Name, step.Duration.Round(time.Millisecond))
	after, err := t.daemon.client.Status(ctx)
	if err != nil {
		return err
	}
	t.compareOrders(step.Name, before, after)
	if after.Program != to.path {
		t.report.violation("%s: %s serves", step.Name, after.Program)
	}
	return t.inspect(ctx, to)
}

// replace upgrades by the command line of the new build and gives the first status of the new process.
func (t *trial) replace(ctx context.Context, to build, old int) (first manage.Status, err error) {
	done := make(chan error, 1)
	go func() {
		_, err := to.run(ctx, "upgrade", "--control", t.daemon.client.Path, "--program", to.path)
		done <- err
	}()
	over := false
	err = eventually(ctx, func() (bool, error) {
		if !over {
			select {
			case err := <-done:
				if over = true; err != nil {
					return false, err
				}
			default:
			}
		}
		var err error
		first, err = t.daemon.client.Status(ctx)
		return err == nil && first.PID != old, nil
	})
	if err == nil && !over {
		err = <-done
	}
	return first, err
}

// reload has a coordinator of a build change the configuration that the daemon serves by.
func (t *trial) reload(ctx context.Context, coordinator build) error {
	t.changes++
	raw, err := os.ReadFile(t.daemon.config())
	if err != nil {
		return fmt.Errorf("changing the configuration: %w", err)
	}
	depth := 2000 + t.changes
	text := strings.Replace(string(raw), fmt.Sprintf("depth = %d", depth-1), fmt.Sprintf("depth = %d", depth), 1)
	next, members := filepath.Join(t.Dir, "next.toml"), filepath.Join(t.Dir, "members")
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

// restarts has each build start from the checkpoint file of the other one, with no load.
func (t *trial) restarts(ctx context.Context) error {
	if err := t.stop(ctx); err != nil {
		return err
	}
	before, err := t.readCheckpoint(t.previous.name)
	if err != nil {
		return err
	}
	for _, pair := range t.directions() {
		from, to := pair[0], pair[1]
		started := time.Now()
		status, err := t.start(ctx, to, t.addr)
		if err != nil {
			return err
		}
		step := Step{Name: fmt.Sprintf("restart %s to %s", from.name, to.name)}
		for _, condition := range status.DegradedConditions {
			t.report.violation("%s: the new process distrusts %s", step.Name, condition)
		}
		if err := t.inspect(ctx, to); err != nil {
			return err
		}
		if err := t.stop(ctx); err != nil {
			return err
		}
		step.Duration = time.Since(started)
		after, err := t.readCheckpoint(to.name)
		if err != nil {
			return err
		}
		step.Tokens = [2]float64{tokens(before), tokens(after)}
		step.Concurrency = [2]float64{limitOf(before), limitOf(after)}
		t.report.Steps = append(t.report.Steps, step)
		t.compareTokens(step)
		before = after
	}
	return nil
}

func (t *trial) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return t.daemon.stop(ctx)
}

// inspect holds what a process of a build tells and writes to be understood in full by both builds.
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
		if _, err := reader.run(ctx, "status", "--control", t.daemon.client.Path); err != nil {
			t.report.violation("status of the %s build: %v", serving.name, err)
			continue
		}
		printed, err := t.daemon.cliStatus(ctx, reader)
		if err != nil {
			t.report.violation("status of the %s build: %v", serving.name, err)
			continue
		}
		if paths, err := keyDifferences(raw, printed); err != nil || len(paths) > 0 {
			t.report.violation("status of the %s build as the %s build prints it: %v %s", serving.name, reader.name, err, strings.Join(paths, " "))
		}
		if printedStatus, _, err := statusDifferences(printed); err != nil || printedStatus.PID != decoded.PID || printedStatus.ConfigHash != decoded.ConfigHash || printedStatus.Epoch != decoded.Epoch {
			t.report.violation("status of the %s build as the %s build prints it: process %d, epoch %d: %v", serving.name, reader.name, printedStatus.PID, printedStatus.Epoch, err)
		}
	}
	return nil
}

// readCheckpoint reads the checkpoint file, which a build has written.
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

// freshCheckpoint is a checkpoint that was taken after this call: of the files that are written from now on the
// first may have been begun before.
func (t *trial) freshCheckpoint(ctx context.Context, writer build) (state.Checkpoint, error) {
	var last time.Time
	files := 0
	err := eventually(ctx, func() (bool, error) {
		info, err := os.Stat(t.daemon.checkpoint())
		if err == nil && !info.ModTime().Equal(last) {
			last = info.ModTime()
			files++ // the first one was there
		}
		return files > 2, nil
	})
	if err != nil {
		return state.Checkpoint{}, fmt.Errorf("waiting for a checkpoint of the %s build: %w", writer.name, err)
	}
	return t.readCheckpoint(writer.name)
}

// tokensLike waits until a checkpoint says that the reserved customer has as much left as before, and gives
// what the last one said.
func (t *trial) tokensLike(ctx context.Context, writer build, before float64) (left float64) {
	ctx, cancel := context.WithTimeout(ctx, tokensTimeout)
	defer cancel()
	// That it never comes to that is told by what is given.
	_ = eventually(ctx, func() (bool, error) {
		checkpoint, err := t.readCheckpoint(writer.name)
		if err != nil {
			return false, err
		}
		left = tokens(checkpoint)
		return math.Abs(left-before) < tokenTolerance, nil
	})
	return left
}

// tokensTimeout bounds the wait for a checkpoint after the old process's end: many times the interval at which they are written.
const tokensTimeout = 5 * time.Second
