package measure

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/fleet"
	"lockflow/internal/rolloutlog"
)

// rolloutRecoveries are the ways to recover from a killed coordinator: another coordinator resumes the change or rolls
// it back. With "killed again" that one is killed too, at one of its first writes, and a third one takes over.
var rolloutRecoveries = []string{"resume", "take-back", "resume, killed again", "take-back, killed again"}

// RolloutOptions are the options of Rollout.
type RolloutOptions struct {
	Program    string
	Dir        string // directory of all files; must be empty and its path short
	Members    int
	Kinds      []desiredstate.Kind // KindSettings or KindProgram
	Kills      []int               // writes to kill a coordinator at: after write n, or before it for -n; nil means each write of a change
	Recoveries []string            // nil means all; taken in turn over Kills, or all of them at each write if Kills is empty
	Clients    int                 // number of clients of each member
	Seed       uint64
	// Progress receives a line for each change.
	Progress io.Writer
}

// RolloutRow is the result of a change whose coordinator was killed.
type RolloutRow struct {
	Kind     desiredstate.Kind `json:"kind"`
	Kill     int               `json:"kill"` // write after which it was killed, or before which if less than 0
	Recovery string            `json:"way"`
	Killed   int               `json:"killed"` // number of killed coordinators
	State    string            `json:"state"`  // state of all members at the end: new or old
	Exit     int               `json:"exit"`   // exit code of the last coordinator
	Seconds  float64           `json:"seconds"`
}

// RolloutReport is the result of Rollout.
type RolloutReport struct {
	Rows            []RolloutRow   `json:"rows"`
	Writes          map[string]int `json:"writes"` // number of writes of a complete change, by kind
	Killed          int            `json:"killed"`
	Claims          int            `json:"claims"`
	Owned           int            `json:"owned"`  // epochs that a coordinator owned
	Orders          int            `json:"orders"` // commands that completed or whose completion was repeated
	Restarts        int            `json:"restarts"`
	StartedCommands int            `json:"begun"` // commands that members have started, according to their logs
	Requests        int64          `json:"requests"`
	Lost            int64          `json:"lost"`  // requests without an answer
	Other           int64          `json:"other"` // answers that belong to another request or have a status other than 200
	Wrong           []string       `json:"wrong"`
}

// rolloutRig is the state of a run with a fleet whose coordinators are killed.
type rolloutRig struct {
	options        RolloutOptions
	report         *RolloutReport
	capture        *controlCapture
	run            *fleet.Run
	rng            *rand.Rand
	changeCount    int
	text           string    // settings at the start
	programs       [2]string // program upgrades alternate between these two
	currentProgram int
	socketList     string

	requests, lost, other atomic.Int64
	firstFailure          atomic.Pointer[string]
}

const rolloutConfig = `[process]
upgrade = { within = "10s", probation = "50ms" }
drain = { idle = "0s", accept = "0s", most = "1s" }
[[listeners]]
address = "127.0.0.1:0"
[services.app]
source = { kind = "static", servers = [{ endpoint = %q }] }
[[routes]]
service = "app"
`

// Rollout runs changes over a fleet of real processes under load, and kills the coordinator of each change at one of its
// writes. After each kill another coordinator has to bring all members to the same state, the old or the new one.
func Rollout(ctx context.Context, o RolloutOptions) (*RolloutReport, error) {
	r := &rolloutRig{options: o, report: &RolloutReport{Writes: make(map[string]int)}, capture: newControlCapture(o.Members), rng: rand.New(rand.NewPCG(o.Seed, 5))}
	if o.Progress == nil {
		r.options.Progress = io.Discard
	}
	if o.Recoveries == nil {
		r.options.Recoveries = rolloutRecoveries
	}
	stop, err := r.start(ctx)
	defer stop()
	if err != nil {
		return nil, fmt.Errorf("measuring rollouts: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var clients sync.WaitGroup
	for i := range o.Members {
		for n := range o.Clients {
			clients.Go(func() { r.sendRequests(ctx, fmt.Sprintf("%d-%d", i, n), r.run.Addr(i)) })
		}
	}
	for _, kind := range o.Kinds {
		if err := r.killAtWrites(ctx, kind); err != nil {
			return nil, fmt.Errorf("measuring rollouts: %w", err)
		}
	}
	cancel()
	clients.Wait()
	r.checkResults()
	return r.report, nil
}

// killAtWrites runs changes of one kind, and kills their coordinators at the writes in the options, or before and after
// each write.
func (r *rolloutRig) killAtWrites(ctx context.Context, kind desiredstate.Kind) error {
	for i, at := range r.options.Kills {
		if _, err := r.runChange(ctx, kind, at, r.options.Recoveries[i%len(r.options.Recoveries)]); err != nil {
			return err
		}
	}
	for n := 1; len(r.options.Kills) == 0; n++ {
		for _, at := range []int{-n, n} {
			for _, recovery := range r.options.Recoveries {
				killed, err := r.runChange(ctx, kind, at, recovery)
				if err != nil || !killed {
					r.report.Writes[string(kind)] = n - 1
					return err
				}
			}
		}
	}
	return nil
}

func (r *rolloutRig) start(ctx context.Context) (stop func(), err error) {
	var ends []func()
	stop = func() {
		for _, end := range slices.Backward(ends) {
			end()
		}
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return stop, err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { io.WriteString(w, q.URL.Path) })}
	go s.Serve(l) //nolint:errcheck // ends with its listener
	ends = append(ends, func() { s.Close() })
	raw, err := os.ReadFile(r.options.Program)
	if err != nil {
		return stop, err
	}
	for i := range r.programs { // a byte appended to an executable changes its hash, but not its behaviour
		r.programs[i] = filepath.Join(r.options.Dir, fmt.Sprint("program-", i))
		if err := os.WriteFile(r.programs[i], append(bytes.Clone(raw), byte(i)), 0o700); err != nil {
			return stop, err
		}
	}
	r.text = fmt.Sprintf(rolloutConfig, l.Addr())
	config := filepath.Join(r.options.Dir, "c.toml")
	if err := os.WriteFile(config, []byte(r.text), 0o600); err != nil {
		return stop, err
	}
	r.run, err = fleet.Start(ctx, fleet.Options{Program: r.programs[0], Config: config, Dir: r.options.Dir, Instances: r.options.Members, Host: "127.0.0.1", StartTimeout: time.Minute})
	if err != nil {
		return stop, err
	}
	ends = append(ends, func() { _ = r.run.Stop(5 * time.Second) })
	var list strings.Builder
	for i, m := range r.run.Members {
		path := filepath.Join(r.options.Dir, fmt.Sprint("t", i))
		end, err := r.capture.open(m.Name, path, m.Client.Path)
		if err != nil {
			return stop, err
		}
		ends = append(ends, end)
		fmt.Fprintln(&list, path)
	}
	r.socketList = filepath.Join(r.options.Dir, "members")
	return stop, os.WriteFile(r.socketList, []byte(list.String()), 0o600)
}

// sendRequests sends requests to a member until ctx ends, and counts the answers. The path identifies a request.
func (r *rolloutRig) sendRequests(ctx context.Context, name, addr string) {
	c := &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}
	defer c.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		path := "/" + name + "/" + strconv.Itoa(n)
		resp, err := get(context.WithoutCancel(ctx), c, "http://"+addr+path)
		r.requests.Add(1)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		switch {
		case err != nil:
			r.lost.Add(1)
			why := fmt.Sprintf("%s at %s: %v", path, addr, err)
			r.firstFailure.CompareAndSwap(nil, &why)
		case resp.StatusCode != http.StatusOK || string(body) != path:
			r.other.Add(1)
			why := fmt.Sprintf("%s at %s: %d %.80q", path, addr, resp.StatusCode, body)
			r.firstFailure.CompareAndSwap(nil, &why)
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// runCoordinator runs a coordinator until it ends. killed reports whether it ended by SIGKILL.
func (r *rolloutRig) runCoordinator(ctx context.Context, kill int, args ...string) (code int, killed bool, output string, err error) {
	args = append([]string{"fleet", "--sockets", r.socketList, "--journal", r.journal(), "--kill-at", strconv.Itoa(kill)}, args...)
	cmd := exec.CommandContext(ctx, r.options.Program, args...)
	out, err := cmd.CombinedOutput()
	if exit := (*exec.ExitError)(nil); err != nil && !errors.As(err, &exit) {
		return 0, false, "", err
	}
	w, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
	return cmd.ProcessState.ExitCode(), ok && w.Signaled() && w.Signal() == syscall.SIGKILL, string(out), ctx.Err()
}

func (r *rolloutRig) journal() string { return filepath.Join(r.options.Dir, "journal") }

// nextChange returns the coordinator's arguments for the next change of a kind, and the hash of the settings or program
// that members run after it.
func (r *rolloutRig) nextChange(kind desiredstate.Kind) (args []string, hash string, err error) {
	if kind == desiredstate.KindProgram {
		raw, err := os.ReadFile(r.programs[1-r.currentProgram])
		if err != nil {
			return nil, "", err
		}
		return []string{"upgrade", "--program", r.programs[1-r.currentProgram]}, desiredstate.Hash(raw), nil
	}
	text := []byte(r.text + fmt.Sprintf("# change %d\n", r.changeCount))
	path := filepath.Join(r.options.Dir, "next.toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, "", err
	}
	return []string{"reload", "--config", path}, desiredstate.Hash(text), nil
}

// addKilled adds to the report a change whose first coordinator was killed. notStarted tells that the coordinator was
// killed before the change started.
func (r *rolloutRig) addKilled(row RolloutRow, notStarted bool) {
	r.report.Rows, r.report.Killed = append(r.report.Rows, row), r.report.Killed+row.Killed
	if notStarted {
		r.report.Killed++
	}
}

// stateName returns "new" or "old" if all members run the same version, and "mixed" otherwise. now counts members by
// hash.
func (r *rolloutRig) stateName(now map[string]int, old, next string) string {
	switch r.options.Members {
	case now[next]:
		return "new"
	case now[old]:
		return "old"
	default:
		return "mixed"
	}
}

// changeOutcome describes how a change ended.
type changeOutcome struct {
	notStarted    bool // the change was not started
	wasKilled     bool // its first coordinator was killed
	needsRollback bool // it had to be rolled back
	foundFinished bool // the last coordinator found the change already finished
	exitCode      int  // exit code of the last coordinator
}

// isWrong reports whether the members must not be in the given state after the change, or the exit code does not fit it.
func (e *changeOutcome) isWrong(state string) bool {
	switch {
	case state == "mixed":
		return true
	case e.notStarted:
		return state != "old"
	case e.foundFinished || !e.wasKilled:
		return !e.wasKilled && (e.exitCode != 0 || state != "new")
	case e.needsRollback:
		return state != "old" || e.exitCode != 1
	default:
		return state != "new" || e.exitCode != 0
	}
}

// runChange starts a change, kills its coordinator at a write, and recovers the change. killed reports whether the
// coordinator was killed; it is false if the change has fewer writes.
func (r *rolloutRig) runChange(ctx context.Context, kind desiredstate.Kind, kill int, recovery string) (killed bool, err error) {
	started := time.Now()
	r.changeCount++
	args, next, err := r.nextChange(kind)
	if err != nil {
		return false, err
	}
	hashesBefore, err := r.runningHashes(ctx, kind)
	if err != nil {
		return false, err
	}
	old := slices.Sorted(maps.Keys(hashesBefore))
	if len(old) != 1 {
		return false, fmt.Errorf("members run different versions before a change (count by hash): %v", hashesBefore)
	}
	args = append(args, "--bake", "50ms", "--bake-most", "10s", "--within", "10s", "--unjudged")
	row := RolloutRow{Kind: kind, Kill: kill, Recovery: recovery}
	code, killed, output, err := r.runCoordinator(ctx, kill, args...)
	if err != nil {
		return false, err
	}
	records, _, err := rolloutlog.Read(r.journal())
	if err != nil {
		return false, err
	}
	// A coordinator that is killed before its first write has not started the change.
	isUnstarted := kill == -1 || len(records) == 0
	log := output
	flag, nextKill := "--"+strings.SplitN(recovery, ",", 2)[0], 0
	if strings.HasSuffix(recovery, "again") {
		nextKill = 1 + r.rng.IntN(8)
	}
	for interrupted := killed && !isUnstarted; interrupted; nextKill = 0 {
		row.Killed++
		if code, interrupted, output, err = r.runCoordinator(ctx, nextKill, args[0], flag); err != nil {
			return false, err
		}
		log += "-- killed, then " + flag + "\n" + output
	}
	hashesAfter, err := r.runningHashes(ctx, kind)
	if err != nil {
		return false, err
	}
	row.State, row.Exit, row.Seconds = r.stateName(hashesAfter, old[0], next), code, time.Since(started).Seconds()
	if row.State == "new" && kind == desiredstate.KindProgram {
		r.currentProgram = 1 - r.currentProgram
	}
	end := changeOutcome{notStarted: isUnstarted, wasKilled: killed, needsRollback: strings.HasPrefix(recovery, "take-back"), foundFinished: strings.Contains(output, "the change is over"), exitCode: code}
	if end.isWrong(row.State) {
		r.report.Wrong = append(r.report.Wrong, fmt.Sprintf("%s, killed at write %d, then %s: exit %d, members run %v; before %v, next %.12s\n%s", kind, kill, recovery, code, hashesAfter, old, next, log))
	}
	if killed {
		r.addKilled(row, isUnstarted)
	}
	fmt.Fprintf(r.options.Progress, "%s, killed at write %d, %s: state %s, exit code %d, %.1f s, %d violations\n", kind, kill, recovery, row.State, code, row.Seconds, len(r.report.Wrong))
	if row.State == "mixed" {
		return false, fmt.Errorf("members run a mixture of versions after a change: %s", r.report.Wrong[len(r.report.Wrong)-1])
	}
	return killed, nil
}

// runningHashes counts members by the hash of the settings that they report, or of the executables of their processes.
func (r *rolloutRig) runningHashes(ctx context.Context, kind desiredstate.Kind) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	all := make(map[string]int)
	for _, m := range r.run.Members {
		s, err := m.Client.Status(ctx)
		if err != nil {
			return nil, err
		}
		hash := s.ConfigHash
		if kind == desiredstate.KindProgram {
			raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/exe", s.PID))
			if err != nil {
				return nil, err
			}
			hash = desiredstate.Hash(raw)
		}
		all[hash]++
	}
	return all, nil
}

// checkResults checks all observations against the rules.
func (r *rolloutRig) checkResults() {
	p := r.report
	p.Requests, p.Lost, p.Other = r.requests.Load(), r.lost.Load(), r.other.Load()
	r.capture.mu.Lock()
	p.Claims, p.Owned, p.Orders, p.Restarts = r.capture.claims, r.capture.owned, r.capture.completed, r.capture.restarts
	r.capture.mu.Unlock()
	if why := r.firstFailure.Load(); why != nil {
		p.Wrong = append(p.Wrong, fmt.Sprintf("%d requests without an answer, %d with another one; the first: %s", p.Lost, p.Other, *why))
	}
	if err := r.capture.history.CheckOwnership(); err != nil {
		p.Wrong = append(p.Wrong, "two owners: "+err.Error())
	}
	for _, m := range r.run.Members {
		raw, err := os.ReadFile(filepath.Join(filepath.Dir(m.Client.Path), "log"))
		if err != nil {
			p.Wrong = append(p.Wrong, err.Error())
		}
		startsByCommand := make(map[string]int)
		for line := range strings.Lines(string(raw)) {
			if _, rest, ok := strings.Cut(line, `msg="command started" id=`); ok {
				id, _, _ := strings.Cut(rest, " ")
				startsByCommand[id]++
				p.StartedCommands++
			}
		}
		for id, n := range startsByCommand {
			if n > 1 {
				p.Wrong = append(p.Wrong, fmt.Sprintf("member %s has done order %s %d times", m.Name, id, n))
			}
		}
	}
	if p.Orders > 0 && p.StartedCommands == 0 {
		p.Wrong = append(p.Wrong, fmt.Sprintf("%d commands were carried out, and no member's log has one that was started", p.Orders))
	}
}
