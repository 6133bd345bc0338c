package regiontrial

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/fleet"
	"lockflow/internal/manage"
	"lockflow/internal/rolloutlog"
)

// Exit codes of a coordinator.
const (
	exitCompleted  = 0
	exitRolledBack = 1
	exitUndecided  = 3
	exitKilled     = -1
)

// coordinatorResult is the outcome of a coordinator's process.
type coordinatorResult struct {
	exitCode int
	output   string
}

// runCoordinator runs the real coordinator command, and kills it when it has logged kill decisions; 0 means never. The
// coordinator logs a decision after it has written it to the rollout log.
func (r *run) runCoordinator(ctx context.Context, kill int, args ...string) (e coordinatorResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, r.options.Program, append([]string{"fleet", "reload"}, args...)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	var out bytes.Buffer
	var mu sync.Mutex // guards out
	cmd.Stdout = writerFunc(func(b []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return out.Write(b)
	})
	lines, err := cmd.StderrPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		return e, fmt.Errorf("starting a coordinator: %w", err)
	}
	decisions := 0
	for in := bufio.NewScanner(lines); in.Scan(); {
		mu.Lock()
		fmt.Fprintln(&out, in.Text())
		mu.Unlock()
		if strings.Contains(in.Text(), `msg="rollout: `) {
			if decisions++; decisions == kill {
				cmd.Process.Kill()
			}
		}
	}
	_ = cmd.Wait() // ProcessState has the exit code
	e = coordinatorResult{cmd.ProcessState.ExitCode(), out.String()}
	r.mu.Lock()
	r.decisions += decisions
	if e.exitCode == exitKilled && ctx.Err() == nil {
		r.coordinatorsKilled++
	}
	r.mu.Unlock()
	if ctx.Err() != nil {
		return e, fmt.Errorf("coordinator did not exit within %v: ...%s", changeTimeout, e.output[max(len(e.output)-2000, 0):])
	}
	return e, nil
}

type writerFunc func([]byte) (int, error)

func (w writerFunc) Write(b []byte) (int, error) { return w(b) }

// readRolloutLog returns the change in a coordinator's rollout log, or nil if the log has none.
func (r *run) readRolloutLog(name string) (*fleet.Change, error) {
	records, _, err := rolloutlog.Read(filepath.Join(r.options.Dir, name))
	if err != nil || len(records) == 0 {
		return nil, err
	}
	c := new(fleet.Change)
	if err := json.Unmarshal(records[0], c); err != nil {
		return nil, fmt.Errorf("reading a rollout log: %w", err)
	}
	return c, nil
}

// recordGenerations records the generations that members run at each step of a rollout log's change as allowed ones.
func (r *run) recordGenerations(name string) error {
	c, err := r.readRolloutLog(name)
	if err != nil || c == nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, m := range c.Plan.Members {
		// The log of a coordinator that starts during another's change has fewer of the change's generations.
		if n := memberName(i); len(m.Versions) > len(r.generationsByMember[n]) {
			r.generationsByMember[n] = m.Versions
		}
		for _, h := range m.Versions {
			r.exchanges.WantGeneration(h)
		}
	}
	return nil
}

// changeFlags returns a coordinator's flags for a fleet file and the name of a rollout log.
func (r *run) changeFlags(fleetFile, journal string, more ...string) []string {
	return append([]string{"--fleet", fleetFile, "--journal", filepath.Join(r.options.Dir, journal), "--within", "20s", "--stages", "1, 50%, 100%"}, more...)
}

// expectRejection requests a change that introduces a conflict between regions. The coordinator has to reject it before
// it changes anything, and has to name an example request.
func (r *run) expectRejection(ctx context.Context, file string) error {
	for {
		e, err := r.runCoordinator(ctx, 0, r.changeFlags(file, "refused", "--unjudged", "--bake", "100ms")...)
		if err != nil {
			return err
		}
		c, err := r.readRolloutLog("refused")
		if err != nil {
			return err
		}
		if c != nil || e.exitCode != exitRolledBack || !strings.Contains(e.output, "nothing was changed") {
			r.exchanges.Wrong("change with a conflict: coordinator's exit code %d, change started: %v: %s", e.exitCode, c != nil, e.output)
		}
		if strings.Contains(e.output, "does not answer") || strings.Contains(e.output, "member ") && !strings.Contains(e.output, "loop") {
			select { // a fault prevented the check of the change: retry
			case <-time.After(retryInterval):
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if !strings.Contains(e.output, "loop: ") || !strings.Contains(e.output, "/visits") {
			r.exchanges.Wrong("change with a conflict was rejected without naming the conflict and an example request: %s", e.output)
		}
		return nil
	}
}

// startChange starts coordinators until one has written the change to its rollout log. Each is killed after kill
// decisions.
func (r *run) startChange(ctx context.Context, file string, kill int, more ...string) (e coordinatorResult, err error) {
	for {
		if e, err = r.runCoordinator(ctx, kill, r.changeFlags(file, "journal", more...)...); err != nil {
			return e, err
		}
		c, err := r.readRolloutLog("journal")
		if err != nil {
			return e, err
		}
		if c != nil {
			return e, nil
		}
		if e.exitCode != exitRolledBack && e.exitCode != exitKilled || !strings.Contains(e.output, "member ") {
			r.exchanges.Wrong("change could not be started: coordinator's exit code %d: %s", e.exitCode, e.output)
			return e, nil
		}
		select { // a member did not answer: retry
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return e, ctx.Err()
		}
	}
}

// fleetState returns the kind of settings that all members run, and a description of each member's state. isUniform is
// false unless all members are ready and run the same kind.
func (r *run) fleetState(ctx context.Context, hashes map[kind][]string) (k kind, isUniform bool, description string) {
	counts := make(map[kind]int)
	for i := range r.nodes() {
		s, err := manage.Client{Path: r.fixture.controlSocket(i)}.Status(ctx)
		raw, fileErr := os.ReadFile(r.fixture.settingsPath(i))
		description += fmt.Sprintf(" %s %.8s", memberName(i), s.ConfigHash)
		if err != nil || fileErr != nil || !s.IsReady() || desiredstate.Hash(raw) != s.ConfigHash {
			description += fmt.Sprintf(" (state %s, settings file %.8s; status error %v, file error %v)", s.State, desiredstate.Hash(raw), err, fileErr)
			continue
		}
		for k, h := range hashes {
			if h[i/r.options.NodesPerRegion] == s.ConfigHash {
				counts[k]++
			}
		}
	}
	for k, n := range counts {
		if n == r.nodes() {
			return k, true, description
		}
	}
	return 0, false, description
}
