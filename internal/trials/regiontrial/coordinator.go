package regiontrial

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	exitDone       = 0
	exitRolledBack = 1
	exitStuck      = 3
	killed         = -1
)

// maxOutput is how many bytes of a coordinator's output a violation quotes.
const maxOutput = 2000

// decisionMark is in each line that a coordinator logs for a decision, once the decision is in its rollout log.
const decisionMark = `msg="rollout: `

// Rollout logs of a trial, by file name.
const (
	mainLog     = "journal"
	secondLog   = "second" // of a second coordinator of the same change
	rejectedLog = "refused"
	harmfulLog  = "harmful"
)

// coordinatorResult is how a coordinator's process ended.
type coordinatorResult struct {
	exitCode int
	output   string // of stdout and stderr
}

// lastOutput returns the end of the output.
func (c *coordinatorResult) lastOutput() string { return c.output[max(len(c.output)-maxOutput, 0):] }

// runCoordinator runs the command "fleet reload" with arguments, and kills it once it has logged killAfter
// decisions; 0 is never.
func (r *run) runCoordinator(ctx context.Context, killAfter int, args ...string) (result coordinatorResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, r.options.Program, append([]string{"fleet", "reload"}, args...)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	output := &lockedBuffer{}
	cmd.Stdout = output
	stderr, err := cmd.StderrPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		return result, fmt.Errorf("a coordinator: %w", err)
	}
	decisions := killAfterDecisions(cmd.Process, stderr, output, killAfter)
	_ = cmd.Wait() // ProcessState has how it ended
	result = coordinatorResult{cmd.ProcessState.ExitCode(), output.String()}
	r.mu.Lock()
	r.decisions += decisions
	if result.exitCode == killed && ctx.Err() == nil {
		r.coordinatorsKilled++
	}
	r.mu.Unlock()
	if ctx.Err() != nil {
		return result, fmt.Errorf("a coordinator did not end within %v: ...%s", changeTimeout, result.lastOutput())
	}
	return result, nil
}

// killAfterDecisions copies a coordinator's log to output until it ends, kills it after some decisions, and
// returns how many it has logged.
func killAfterDecisions(coordinator *os.Process, log io.Reader, output io.Writer, killAfter int) (decisions int) {
	for lines := bufio.NewScanner(log); lines.Scan(); {
		fmt.Fprintln(output, lines.Text())
		if !strings.Contains(lines.Text(), decisionMark) {
			continue
		}
		decisions++
		if decisions == killAfter {
			coordinator.Kill()
		}
	}
	return decisions
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// readRolloutLog returns the change that a coordinator has started; nil is none.
func (r *run) readRolloutLog(name string) (*fleet.Change, error) {
	records, _, err := rolloutlog.Read(filepath.Join(r.options.Dir, name))
	if err != nil || len(records) == 0 {
		return nil, err
	}
	change := new(fleet.Change)
	if err := json.Unmarshal(records[0], change); err != nil {
		return nil, fmt.Errorf("a coordinator's journal: %w", err)
	}
	return change, nil
}

// recordGenerations records what the members of a rollout log's change run at each step: all of it is
// desired.
func (r *run) recordGenerations(name string) error {
	change, err := r.readRolloutLog(name)
	if err != nil || change == nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, member := range change.Plan.Members {
		// A coordinator that starts during another's change knows fewer of its generations.
		if name := memberName(i); len(member.Versions) > len(r.generations[name]) {
			r.generations[name] = member.Versions
		}
		for _, hash := range member.Versions {
			r.exchanges.WantGeneration(hash)
		}
	}
	return nil
}

// changeFlags returns the flags of a change with a rollout log of a name.
func (r *run) changeFlags(fleetFile, rolloutLog string, more ...string) []string {
	return append([]string{
		"--fleet", fleetFile, "--journal", filepath.Join(r.options.Dir, rolloutLog), "--within", "20s", "--stages", "1, 50%, 100%",
	}, more...)
}

// checkRejected requests a change that would bring a conflict: it has to be rejected with a request that
// shows the conflict, before anything is changed.
func (r *run) checkRejected(ctx context.Context, fleetFile string) error {
	for {
		result, err := r.runCoordinator(ctx, 0, r.changeFlags(fleetFile, rejectedLog, "--unjudged", "--bake", "100ms")...)
		if err != nil {
			return err
		}
		change, err := r.readRolloutLog(rejectedLog)
		if err != nil {
			return err
		}
		isStarted := change != nil
		if isStarted || result.exitCode != exitRolledBack || !strings.Contains(result.output, "nothing was changed") {
			r.exchanges.Wrong("a change with a conflict: exit %d, begun %v: %s", result.exitCode, isStarted, result.output)
		}
		if !isPreventedByFault(result.output) {
			if !strings.Contains(result.output, "loop: ") || !strings.Contains(result.output, "/visits") {
				r.exchanges.Wrong("a change with a conflict is refused without saying why: %s", result.output)
			}
			return nil
		}
		if err := pause(ctx, retryInterval); err != nil {
			return err
		}
	}
}

// isPreventedByFault tells whether a fault kept a coordinator from finding the conflict.
func isPreventedByFault(output string) bool {
	if strings.Contains(output, "does not answer") {
		return true
	}
	return strings.Contains(output, "member ") && !strings.Contains(output, "loop")
}

// pause waits; it returns an error if ctx ends before.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startChange runs coordinators until one has written the change to its rollout log; it is killed after
// some decisions.
func (r *run) startChange(ctx context.Context, fleetFile string, killAfter int, more ...string) (result coordinatorResult, err error) {
	for {
		if result, err = r.runCoordinator(ctx, killAfter, r.changeFlags(fleetFile, mainLog, more...)...); err != nil {
			return result, err
		}
		change, err := r.readRolloutLog(mainLog)
		if err != nil || change != nil {
			return result, err
		}
		isUnreachable := strings.Contains(result.output, "member ") // one did not answer
		if result.exitCode != exitRolledBack && result.exitCode != killed || !isUnreachable {
			r.exchanges.Wrong("a change could not be begun: exit %d: %s", result.exitCode, result.output)
			return result, nil
		}
		if err := pause(ctx, retryInterval); err != nil {
			return result, err
		}
	}
}

// fleetState is what all members run.
type fleetState struct {
	kind      configKind
	isUniform bool   // all run kind
	text      string // of all members, for violations
}

// readFleetState reads what each member runs and has as its file.
func (r *run) readFleetState(ctx context.Context, configs map[configKind]fleetConfig) (state fleetState) {
	counts := make(map[configKind]int)
	for i := range r.nodes() {
		status, err := manage.Client{Path: r.fixture.socketPath(i)}.Status(ctx)
		raw, fileErr := os.ReadFile(r.fixture.configPath(i))
		fileHash := desiredstate.Hash(raw)
		state.text += fmt.Sprintf(" %s %.8s", memberName(i), status.ConfigHash)
		hasFailed := err != nil || fileErr != nil
		if hasFailed || !status.IsReady() || fileHash != status.ConfigHash {
			state.text += fmt.Sprintf(" (%s, its file %.8s; %v, %v)", status.State, fileHash, err, fileErr)
			continue
		}
		for kind, config := range configs {
			if config.hashes[i/r.options.NodesPerRegion] == status.ConfigHash {
				counts[kind]++
			}
		}
	}
	for kind, count := range counts {
		if count == r.nodes() {
			state.kind = kind
			state.isUniform = true
		}
	}
	return state
}
