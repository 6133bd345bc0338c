package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/manage"
	"lockflow/internal/testsupport/testkit"
)

// changedSettings returns an operation that replaces the configuration file by its content with old replaced by new.
func (r *daemonProcess) changedSettings(old, new string) desiredstate.Operation {
	r.t.Helper()
	raw, err := os.ReadFile(r.directory + "/c.toml")
	if err != nil {
		r.t.Fatal(err)
	}
	text := strings.Replace(string(raw), old, new, 1)
	return desiredstate.Operation{Kind: desiredstate.KindSettings, Text: text, Hash: desiredstate.Hash([]byte(text))}
}

func (r *daemonProcess) claimEpoch(epoch uint64, owner, lossToken string) error {
	_, err := r.control.Claim(context.Background(), desiredstate.Claim{Epoch: epoch, Owner: owner, LossToken: lossToken})
	return err
}

func (r *daemonProcess) sendCommand(epoch uint64, id string, operation desiredstate.Operation) error {
	_, err := r.control.RunCommand(context.Background(), desiredstate.Command{Epoch: epoch, Owner: "me", ID: id, Operation: operation})
	return err
}

// checkError checks that err wraps want, or is nil if want is nil.
func (r *daemonProcess) checkError(action string, err, want error) {
	r.t.Helper()
	if !errors.Is(err, want) || want == nil && err != nil {
		r.t.Errorf("%s: error %v, want %v", action, err, want)
	}
}

func (r *daemonProcess) killAndWait() {
	r.t.Helper()
	pid := r.status().PID
	syscall.Kill(pid, syscall.SIGKILL)
	testkit.Until(r.t, "the end", func() bool { return hasEnded(pid) })
}

func (r *daemonProcess) configHash() string {
	raw, err := os.ReadFile(r.directory + "/c.toml")
	if err != nil {
		r.t.Fatal(err)
	}
	return desiredstate.Hash(raw)
}

// Across a reload, kill -9 and an upgrade, a member accepts commands only from the owner of the granted epoch, and runs
// each a single time, however often it is sent. A command that fails leaves the settings and the desired state unchanged.
func TestCommandRunsOnceOverReloadKillAndUpgrade(t *testing.T) {
	r := startDaemon(t, "")
	settings := r.changedSettings("rate = 100000", "rate = 90000")
	r.checkError("a command before any claim", r.sendCommand(7, "s/1", settings), manage.ErrStale)
	r.checkError("a claim", r.claimEpoch(7, "me", ""), nil)
	for range 3 {
		r.checkError("settings", r.sendCommand(7, "s/1", settings), nil)
	}
	s := r.status()
	if s.Generation != 2 || s.ConfigHash != settings.Hash || r.configHash() != settings.Hash || s.Epoch != 7 || s.Owner != "me" || s.LastCommand != (desiredstate.Outcome{ID: "s/1", Code: desiredstate.CodeOK}) || s.DesiredState.Hash != settings.Hash {
		t.Errorf("unexpected status: %+v", s)
	}
	checkFailingCommands(r, settings)
	r.killAndWait()
	r.start("")
	r.checkError("an old epoch", r.claimEpoch(6, "me", ""), manage.ErrStale)
	r.checkError("another owner", r.claimEpoch(7, "you", ""), manage.ErrStale)
	generation := r.status().Generation
	r.checkError("the same command after kill -9", r.sendCommand(7, "s/1", settings), nil)
	if s := r.status(); s.Generation != generation || s.ConfigHash != settings.Hash || s.DesiredState.Hash != settings.Hash {
		t.Errorf("unexpected status: %+v", s)
	}
	checkRestartCommand(r)
	// The fleet trials count these two log lines.
	for line, want := range map[string]int{`msg="command started" id=s/1 epoch=7 owner=me `: 1, `msg="coordinator epoch granted" epoch=7 owner=me` + "\n": 1} {
		if count := strings.Count(r.log.String(), line); count != want {
			t.Errorf("%q is logged %d times, not %d", line, count, want)
		}
	}
	r.checkError("a newer epoch", r.claimEpoch(8, "me", ""), nil)
	r.checkError("a command of the old epoch", r.sendCommand(7, "s/2", settings), manage.ErrStale)
	// A change of the file by hand results in another hash than the desired one.
	r.writeConfig("rate = 100000", "rate = 80000")
	if _, err := r.control.Reload(context.Background()); err != nil {
		t.Fatal(err)
	}
	if s := r.status(); s.ConfigHash != r.configHash() || s.DesiredState.Hash != settings.Hash || s.ConfigHash == settings.Hash {
		t.Errorf("status after a change by hand: %+v", s)
	}
}

// checkFailingCommands checks that r keeps the settings of current after commands that fail or are rejected.
func checkFailingCommands(r *daemonProcess, current desiredstate.Operation) {
	r.t.Helper()
	for name, operation := range map[string]desiredstate.Operation{
		"an unknown key":                 r.changedSettings("[plans.standard]", "[plans.standard]\nx = 1"),
		"a change that needs a restart":  r.changedSettings("/state\"", "/other\""),
		"an address that can't be bound": r.changedSettings(`address = "127.0.0.1:0"`, `address = "192.0.2.1:9"`),
	} {
		for range 2 {
			r.checkError(name, r.sendCommand(7, "bad/"+name, operation), manage.ErrFailed)
		}
		if s := r.status(); s.Generation != 2 || s.ConfigHash != current.Hash || s.DesiredState.Hash != current.Hash || r.configHash() != current.Hash || len(s.DegradedConditions) > 0 {
			r.t.Errorf("%s: unexpected status: %+v", name, s)
		}
	}
	r.checkError("another operation with the same id", r.sendCommand(7, "s/1", desiredstate.Operation{Kind: desiredstate.KindRestart}), manage.ErrInvalid)
	r.checkError("a program that is a directory", r.sendCommand(7, "p/0", desiredstate.Operation{Kind: desiredstate.KindProgram, Path: r.directory}), manage.ErrInvalid)
}

// checkRestartCommand sends a restart three times concurrently and checks that it runs a single time and that each sender
// gets its outcome.
func checkRestartCommand(r *daemonProcess) {
	r.t.Helper()
	oldPID := r.status().PID
	answers := make(chan error, 3)
	for range 3 {
		go func() { answers <- r.sendCommand(7, "c/1", desiredstate.Operation{Kind: desiredstate.KindRestart}) }()
	}
	succeeded := 0
	for range 3 {
		err := <-answers
		for errors.Is(err, manage.ErrBusy) || err != nil && !errors.As(err, new(manage.RejectedError)) { // the request arrived between the two processes
			err = r.sendCommand(7, "c/1", desiredstate.Operation{Kind: desiredstate.KindRestart})
		}
		if r.checkError("restart", err, nil); err == nil {
			succeeded++
		}
	}
	r.awaitStatus("the new process without the old one", func(s manage.Status) bool {
		return s.PID != oldPID && hasEnded(oldPID) && s.LastCommand.ID == "c/1" && s.LastCommand.Code == desiredstate.CodeOK
	})
	if s := r.status(); succeeded != 3 || s.Epoch != 7 || s.RunningCommand != "" || strings.Count(r.log.String(), "upgrade: successor started") != 1 {
		r.t.Errorf("unexpected status: %+v", s)
	}
}

// A command to upgrade fails if the successor can't take over or ends during its probation. The old process continues
// with the newest desired state.
func TestFailedUpgradeCommandLeavesOldProcessServing(t *testing.T) {
	for successorFault, probation := range map[string]string{"dies": "300ms", "exits after the take-over": "30s"} {
		t.Run(successorFault, func(t *testing.T) {
			t.Parallel()
			r := startDaemonWith(t, successorFault, nil, `probation = "300ms"`, fmt.Sprintf("probation = %q", probation))
			before := r.status()
			r.checkError("a claim", r.claimEpoch(7, "me", ""), nil)
			operation := desiredstate.Operation{Kind: desiredstate.KindProgram, Path: os.Args[0]}
			for range 2 {
				r.checkError("the program", r.sendCommand(7, "p/1", operation), manage.ErrFailed)
			}
			if s := r.status(); s.PID != before.PID || s.DesiredState.Program != "" || s.LastCommand.Code != desiredstate.CodeFailed || s.Epoch != 7 || s.RunningCommand != "" {
				t.Errorf("unexpected status: %+v", s)
			}
			r.checkError("a command after the failed upgrade", r.sendCommand(7, "s/1", r.changedSettings("rate = 100000", "rate = 90000")), nil)
		})
	}
}

// A command to replace the settings that kill -9 has interrupted, at any of its steps, is finished by the next start, or
// runs when it is sent again, or is rolled back if the daemon can't start with the new settings.
func TestInterruptedSettingsCommandIsRecovered(t *testing.T) {
	r := startDaemon(t, "")
	r.checkError("a claim", r.claimEpoch(7, "me", ""), nil)
	for i, c := range []interruption{
		{"command saved", "# 1", false, false, ""},
		{"old settings saved", "# 2", true, false, ""},
		{"file replaced", "# 3", true, true, desiredstate.CodeOK},
		{"file replaced, start fails", "listeners", true, true, desiredstate.CodeFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			id := fmt.Sprint("s/", i)
			before := r.status()
			r.killAndWait()
			settings := r.changedSettings("[plans.standard]", c.change+"\n[plans.standard]")
			if c.change == "listeners" {
				settings = r.changedSettings(`address = "127.0.0.1:0"`, `address = "192.0.2.1:9"`)
			}
			defer c.prepare(t, r, id, settings).Close()
			r.start("")
			c.checkRecovery(t, r, id, settings, before)
		})
	}
}

// interruption is a step of a settings command after which the process was killed.
type interruption struct {
	name       string
	change     string            // change of the configuration text
	isOldSaved bool              // whether the old text was saved for a rollback
	isReplaced bool              // whether the configuration file was replaced
	wantCode   desiredstate.Code // code of the command after the start; empty if it is interrupted
}

// prepare writes the files that the killed process would have left of the command id with the given operation.
func (c interruption) prepare(t *testing.T, r *daemonProcess, id string, operation desiredstate.Operation) *desiredstate.File {
	t.Helper()
	file, err := desiredstate.Open(r.directory+"/state", nil)
	if err != nil {
		t.Fatal(err)
	}
	desired, err := file.Load()
	if err != nil {
		t.Fatal(err)
	}
	if desired, _, _, err = desired.Accept(desiredstate.Command{Epoch: 7, Owner: "me", ID: id, Operation: operation}); err == nil {
		err = file.Save(desired)
	}
	old, _ := os.ReadFile(r.directory + "/c.toml")
	if c.isOldSaved && err == nil {
		err = file.SaveOldSettings(old)
	}
	if c.isReplaced && err == nil {
		err = desiredstate.ReplaceFile(r.directory+"/c.toml", []byte(operation.Text))
	}
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// checkRecovery checks the outcome of the command after the start, and its result when it is sent again. before is the
// status before the kill.
func (c interruption) checkRecovery(t *testing.T, r *daemonProcess, id string, operation desiredstate.Operation, before manage.Status) {
	t.Helper()
	s := r.status()
	if isRecorded := s.LastCommand.ID == id; isRecorded != (c.wantCode != "") || isRecorded && s.LastCommand.Code != c.wantCode || s.Epoch != 7 || s.RunningCommand != "" {
		t.Fatalf("unexpected status: %+v", s)
	}
	switch c.wantCode {
	case desiredstate.CodeFailed:
		if s.ConfigHash != before.ConfigHash || r.configHash() != before.ConfigHash || s.DesiredState.Hash != before.DesiredState.Hash {
			t.Errorf("unexpected status: %+v", s)
		}
		r.checkError("again", r.sendCommand(7, id, operation), manage.ErrFailed)
	default:
		if s.DesiredState.Hash != operation.Hash || (s.ConfigHash == operation.Hash) != c.isReplaced {
			t.Errorf("unexpected status: %+v", s)
		}
		r.checkError("again", r.sendCommand(7, id, operation), nil)
		if s := r.status(); s.ConfigHash != operation.Hash || r.configHash() != operation.Hash {
			t.Errorf("unexpected status: %+v", s)
		}
	}
	if _, err := os.Stat(r.directory + "/state/settings.old"); !os.IsNotExist(err) {
		t.Errorf("the saved old settings were not removed: %v", err)
	}
}

// A settings command that is sent again after kill -9 at any time during its run succeeds. The configuration file, the
// settings in force and the desired state then agree.
func TestKillDuringSettingsCommandLeavesOneState(t *testing.T) {
	r := startDaemon(t, "")
	r.checkError("a claim", r.claimEpoch(7, "me", ""), nil)
	for i := range 8 {
		settings := r.changedSettings("depth = 100000", fmt.Sprintf("depth = 100000 # %d", i))
		pid := r.status().PID
		killTimer := time.AfterFunc(time.Duration(3*i)*time.Millisecond, func() { syscall.Kill(pid, syscall.SIGKILL) })
		_ = r.sendCommand(7, fmt.Sprint("s/", i), settings) // the kill may lose the answer
		killTimer.Stop()
		syscall.Kill(pid, syscall.SIGKILL)
		testkit.Until(t, "the end", func() bool { return hasEnded(pid) })
		r.start("")
		r.checkError("the command sent again", r.sendCommand(7, fmt.Sprint("s/", i), settings), nil)
		if s := r.status(); s.ConfigHash != settings.Hash || r.configHash() != settings.Hash || s.DesiredState.Hash != settings.Hash || s.Epoch != 7 ||
			strings.Count(r.log.String(), fmt.Sprintf("ended\" id=s/%d code=ok", i)) > 1 {
			t.Fatalf("round %d: unexpected status: %+v", i, s)
		}
	}
}

// A member that can't read its desired state rejects every coordinator until a claim contains the token of the loss.
func TestUnreadableDesiredStateNeedsNewClaim(t *testing.T) {
	r := startDaemon(t, "")
	r.checkError("a claim", r.claimEpoch(9, "you", ""), nil)
	r.killAndWait()
	path := r.directory + "/state/orders"
	raw, err := os.ReadFile(path)
	if err == nil {
		err = os.WriteFile(path, raw[:len(raw)/2], 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	r.start("")
	r.killAndWait() // the loss is still known after another restart
	r.start("")
	s := r.status()
	if s.LostToken == "" || !strings.Contains(strings.Join(s.DegradedConditions, " "), "orders") {
		t.Errorf("unexpected status: %+v", s)
	}
	r.checkError("an old epoch", r.claimEpoch(7, "me", ""), manage.ErrLost)
	r.checkError("a command of the old epoch", r.sendCommand(7, "s/1", desiredstate.Operation{Kind: desiredstate.KindRestart}), manage.ErrLost)
	r.checkError("a claim with the token of the loss", r.claimEpoch(10, "me", s.LostToken), nil)
	if s := r.status(); s.LostToken != "" || s.Epoch != 10 || strings.Contains(strings.Join(s.DegradedConditions, " "), "orders") {
		t.Errorf("unexpected status: %+v", s)
	}
	// Claims and commands that can't be saved are rejected and have no effect.
	if err := os.Rename(r.directory+"/state", r.directory+"/gone"); err != nil {
		t.Fatal(err)
	}
	r.checkError("a claim that can't be saved", r.claimEpoch(11, "me", ""), manage.ErrNotSaved)
	settings := r.changedSettings("rate = 100000", "rate = 90000")
	r.checkError("a command that can't be saved", r.sendCommand(10, "s/1", settings), manage.ErrNotSaved)
	if s := r.status(); s.Epoch != 10 || s.ConfigHash == settings.Hash || s.DesiredState.Hash != "" || r.configHash() != s.ConfigHash || !strings.Contains(strings.Join(s.DegradedConditions, " "), "orders") {
		t.Errorf("unexpected status: %+v", s)
	}
	if err := os.Rename(r.directory+"/gone", r.directory+"/state"); err != nil {
		t.Fatal(err)
	}
	r.checkError("the command when it can be saved", r.sendCommand(10, "s/1", settings), nil)
	r.checkError("the claim when it can be saved", r.claimEpoch(11, "me", ""), nil)
}

// A member whose desired state becomes drained ends, and is drained after each restart. It then has no listeners, but
// accepts claims, settings and the command to serve.
func TestDrainedDaemonStaysDrainedUntilServe(t *testing.T) {
	r := startDaemon(t, "")
	r.checkError("a claim", r.claimEpoch(7, "me", ""), nil)
	pid := r.status().PID
	r.checkError("drain", r.sendCommand(7, "d/1", desiredstate.Operation{Kind: desiredstate.KindDrain}), nil)
	testkit.Until(t, "the end", func() bool { return hasEnded(pid) })
	for range 2 {
		r.startProcess("")
		r.awaitStatus("drained", func(s manage.Status) bool {
			return s.State == manage.StateDrained && s.IsAsDesired() && s.LastCommand.ID == "d/1"
		})
		if c, err := net.Dial("tcp", r.address); err == nil {
			c.Close()
			t.Error("a drained daemon accepts connections")
		}
		pid := r.status().PID
		if _, err := r.control.Drain(context.Background()); err != nil {
			t.Error(err)
		}
		testkit.Until(t, "the end", func() bool { return hasEnded(pid) })
	}
	r.startProcess("")
	r.awaitStatus("drained", func(s manage.Status) bool { return s.State == manage.StateDrained })
	r.checkError("an old epoch", r.claimEpoch(6, "me", ""), manage.ErrStale)
	r.checkError("a newer epoch", r.claimEpoch(8, "me", ""), nil)
	r.checkError("a restart", r.sendCommand(8, "c/1", desiredstate.Operation{Kind: desiredstate.KindRestart}), manage.ErrInvalid)
	settings := r.changedSettings("rate = 100000", "rate = 90000")
	r.checkError("settings", r.sendCommand(8, "s/1", settings), nil)
	for range 2 {
		r.checkError("serve", r.sendCommand(8, "v/1", desiredstate.Operation{Kind: desiredstate.KindServe}), nil)
	}
	if s := r.status(); !s.IsReady() || s.ConfigHash != settings.Hash || s.DesiredState.Drained || s.Epoch != 8 || s.LastCommand.ID != "v/1" {
		t.Errorf("unexpected status: %+v", s)
	}
	// The operator drains and serves through the control socket, without a coordinator.
	pid = r.status().PID
	if _, err := r.control.DrainAndStay(context.Background()); err != nil {
		t.Error(err)
	}
	testkit.Until(t, "the end", func() bool { return hasEnded(pid) })
	r.startProcess("")
	r.awaitStatus("drained", func(s manage.Status) bool { return s.State == manage.StateDrained })
	if s, err := r.control.Serve(context.Background()); err != nil || s.State == manage.StateDrained {
		t.Errorf("serve: status %+v, error %v", s, err)
	}
	r.awaitStatus("ready", func(s manage.Status) bool { return s.IsReady() })
}

// Without a state directory a member keeps its epoch across an upgrade, reports that a crash loses the epoch, and rejects
// a command to drain.
func TestEpochOutlivesUpgradeWithoutStateDirectory(t *testing.T) {
	r := startDaemonWith(t, "", nil, "state = \"DIR/state\"\ncheckpoint = \"20ms\"\n", "")
	r.checkError("a claim", r.claimEpoch(7, "me", ""), nil)
	r.checkError("drain", r.sendCommand(7, "d/1", desiredstate.Operation{Kind: desiredstate.KindDrain}), manage.ErrInvalid)
	r.checkError("restart", r.sendCommand(7, "c/1", desiredstate.Operation{Kind: desiredstate.KindRestart}), nil)
	r.awaitStatus("the new process without the old one", func(s manage.Status) bool {
		return s.LastCommand.ID == "c/1" && s.LastCommand.Code == desiredstate.CodeOK
	})
	if s := r.status(); s.Epoch != 7 || !s.IsVolatile {
		t.Errorf("unexpected status: %+v", s)
	}
}

// A member's instance statistics count requests that were served and requests that were rejected by a hard limit.
func TestInstanceStatsCountServedAndRejected(t *testing.T) {
	// At 0.01 units/s no token is refilled, however long the requests take.
	r := startDaemonWith(t, "", nil, "ceiling_rate = 50", "ceiling_rate = 0.01")
	before := r.status().Statistics
	served := r.sendRequests(60)                                                                                                   // the burst is 50
	r.awaitStatus("statistics of all requests", func(s manage.Status) bool { return s.Statistics.Requests >= before.Requests+60 }) // a request is answered before it is counted
	stats, ok := r.status().Statistics.Since(before)
	if !ok || stats.Requests != 60 || int(stats.Delays.Total()) != served || int(stats.Rejected) != 60-served || stats.OverQuota != stats.Rejected || stats.OverQuota == 0 ||
		stats.OfferedWeight != float64(served) || stats.Served != float64(served)-float64(stats.Late) || stats.Units < float64(served) || stats.Failed+stats.Breaches+stats.Panics > 0 || stats.CPU <= 0 || stats.MemoryKB <= 0 {
		t.Errorf("%d served, statistics %+v", served, stats)
	}
}
