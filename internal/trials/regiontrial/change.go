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

// Exit codes of a change.
const (
	exitDone       = 0
	exitRolledBack = 1
	exitStuck      = 3
	killed         = -1
)

// coordinatorResult is how a coordinator's process came to its end.
type coordinatorResult struct {
	exitCode int
	output   string
}

// runCoordinator runs the real command over the fleet, and kills it once it has told of so many decisions; 0 is
// never. Each line of a decision comes after it was written.
func (r *run) runCoordinator(ctx context.Context, kill int, args ...string) (e coordinatorResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, r.options.Program, append([]string{"fleet", "reload"}, args...)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	var out bytes.Buffer
	var mu sync.Mutex // of out
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
		return e, fmt.Errorf("a coordinator: %w", err)
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
	_ = cmd.Wait() // ProcessState tells how it ended
	e = coordinatorResult{cmd.ProcessState.ExitCode(), out.String()}
	r.mu.Lock()
	r.decisions += decisions
	if e.exitCode == killed && ctx.Err() == nil {
		r.coordinatorsKilled++
	}
	r.mu.Unlock()
	if ctx.Err() != nil {
		return e, fmt.Errorf("a coordinator did not end within %v: ...%s", changeTimeout, e.output[max(len(e.output)-2000, 0):])
	}
	return e, nil
}

type writerFunc func([]byte) (int, error)

func (w writerFunc) Write(b []byte) (int, error) { return w(b) }

// readRolloutLog reads what a coordinator has begun; nil is nothing.
func (r *run) readRolloutLog(name string) (*fleet.Change, error) {
	records, _, err := rolloutlog.Read(filepath.Join(r.options.Dir, name))
	if err != nil || len(records) == 0 {
		return nil, err
	}
	c := new(fleet.Change)
	if err := json.Unmarshal(records[0], c); err != nil {
		return nil, fmt.Errorf("a coordinator's journal: %w", err)
	}
	return c, nil
}

// recordGenerations notes what the members of a journal's change run at each step: these are wanted.
func (r *run) recordGenerations(name string) error {
	c, err := r.readRolloutLog(name)
	if err != nil || c == nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, m := range c.Plan.Members {
		// A coordinator that begins in the midst of another's change knows fewer of its generations.
		if n := memberName(i); len(m.Versions) > len(r.generations[n]) {
			r.generations[n] = m.Versions
		}
		for _, h := range m.Versions {
			r.exchanges.WantGeneration(h)
		}
	}
	return nil
}

// changeFlags of a change, with a journal by name.
func (r *run) changeFlags(fleetFile, journal string, more ...string) []string {
	return append([]string{"--fleet", fleetFile, "--journal", filepath.Join(r.options.Dir, journal), "--within", "20s", "--stages", "1, 50%, 100%"}, more...)
}

// checkRejected has a change asked for that would bring a conflict: it has to be refused with a request that shows
// it, before anything is changed.
func (r *run) checkRejected(ctx context.Context, file string) error {
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
			r.exchanges.Wrong("a change with a conflict: exit %d, begun %v: %s", e.exitCode, c != nil, e.output)
		}
		if strings.Contains(e.output, "does not answer") || strings.Contains(e.output, "member ") && !strings.Contains(e.output, "loop") {
			select { // a fault keeps it from looking: again
			case <-time.After(retryInterval):
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if !strings.Contains(e.output, "loop: ") || !strings.Contains(e.output, "/visits") {
			r.exchanges.Wrong("a change with a conflict is refused without saying why: %s", e.output)
		}
		return nil
	}
}

// startChange starts a change until a coordinator has come so far as to write it, and is killed after some
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
		if e.exitCode != exitRolledBack && e.exitCode != killed || !strings.Contains(e.output, "member ") {
			r.exchanges.Wrong("a change could not be begun: exit %d: %s", e.exitCode, e.output)
			return e, nil
		}
		select { // a member did not answer
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return e, ctx.Err()
		}
	}
}

// commonConfig is what all members run: one kind, or neither.
func (r *run) commonConfig(ctx context.Context, hashes map[configKind][]string) (k configKind, one bool, told string) {
	counts := make(map[configKind]int)
	for i := range r.nodes() {
		s, err := manage.Client{Path: r.fixture.socketPath(i)}.Status(ctx)
		raw, fileErr := os.ReadFile(r.fixture.configPath(i))
		told += fmt.Sprintf(" %s %.8s", memberName(i), s.ConfigHash)
		if err != nil || fileErr != nil || !s.IsReady() || desiredstate.Hash(raw) != s.ConfigHash {
			told += fmt.Sprintf(" (%s, its file %.8s; %v, %v)", s.State, desiredstate.Hash(raw), err, fileErr)
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
			return k, true, told
		}
	}
	return 0, false, told
}
