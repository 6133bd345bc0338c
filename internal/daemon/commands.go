package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"

	"lockflow/internal/desiredstate"
	"lockflow/internal/lifecycle"
)

// A command is an operation that a coordinator requests of a fleet member. It runs at most one time for each id. The API
// of the control socket and the stored data call it an order. The member's desired state is saved before a command starts
// and after it has ended.

// runningCommand is a command that has started and not ended.
type runningCommand struct {
	id          string
	kind        desiredstate.Kind
	hash        string       // hash of the settings that the command applies
	isInherited bool         // the predecessor started the command
	waiters     []chan error // requests that wait for the outcome; each channel is buffered for it
}

// isUpgrade reports whether the command starts a new process.
func (r *runningCommand) isUpgrade() bool {
	return r.kind == desiredstate.KindProgram || r.kind == desiredstate.KindRestart
}

// claimRequest is a coordinator's claim of an epoch.
type claimRequest struct {
	claim  desiredstate.Claim
	answer chan error
}

func (r claimRequest) handle(d *daemon) error {
	if err := d.checkOwnership(); err != nil {
		r.answer <- err
		return nil
	}
	r.answer <- d.member.grantEpoch(r.claim)
	return nil
}

// setDrainedRequest is an operator's request to change whether the desired state is drained. It needs no coordinator's
// epoch.
type setDrainedRequest struct {
	isDrained bool
	answer    chan error
}

func (r setDrainedRequest) handle(d *daemon) error {
	if err := d.checkOwnership(); err != nil {
		r.answer <- err
		return nil
	}
	r.answer <- d.member.setDrained(r.isDrained)
	return nil
}

// commandRequest requests a command. The answer is sent when the command has ended.
type commandRequest struct {
	command desiredstate.Command
	answer  chan error
}

func (r commandRequest) handle(d *daemon) error {
	if err := d.checkOwnership(); err != nil {
		r.answer <- err
		return nil
	}
	next, step, outcome, err := d.member.desiredState.Accept(r.command)
	switch {
	case err != nil:
		r.answer <- err
	case step == desiredstate.StepAnswer:
		r.answer <- outcomeError(outcome)
	case step == desiredstate.StepWait:
		d.running.waiters = append(d.running.waiters, r.answer)
	default:
		d.beginCommand(r, next)
	}
	return nil
}

// commandFinished reports the end of a command that ran in another goroutine.
type commandFinished struct {
	command      *runningCommand
	err          error
	isRolledBack bool // the configuration file has been restored to the configuration in force
}

func (f commandFinished) handle(d *daemon) error {
	if d.running != f.command {
		return nil
	}
	if f.isRolledBack {
		d.conditions.clear(conditionConfigFile)
	}
	isSettings := f.command.kind == desiredstate.KindSettings
	if f.err == nil && isSettings && d.cfg.Hash != f.command.hash {
		f.err = fmt.Errorf("the file was replaced meanwhile: the settings in force have the hash %s", d.cfg.Hash)
	}
	d.finishCommand(f.err)
	if isSettings {
		d.member.store.RemoveOldSettings()
	}
	return nil
}

// Claim implements manage.Daemon.
func (d *daemon) Claim(ctx context.Context, claim desiredstate.Claim) error {
	answer := make(chan error, 1)
	return d.postAndWait(ctx, claimRequest{claim, answer}, answer)
}

// RunCommand implements manage.Daemon.
func (d *daemon) RunCommand(ctx context.Context, command desiredstate.Command) error {
	answer := make(chan error, 1)
	return d.postAndWait(ctx, commandRequest{command, answer}, answer)
}

// Serve implements manage.Daemon.
func (d *daemon) Serve(ctx context.Context) error {
	return d.requestDrained(ctx, false)
}

// Drain implements manage.Daemon.
func (d *daemon) Drain(keep bool) error {
	if keep {
		if err := d.requestDrained(context.Background(), true); err != nil {
			return err
		}
	}
	d.post(lifecycleEvent{lifecycle.StopRequested{Cause: "control socket"}})
	return nil
}

func (d *daemon) requestDrained(ctx context.Context, isDrained bool) error {
	answer := make(chan error, 1)
	return d.postAndWait(ctx, setDrainedRequest{isDrained, answer}, answer)
}

// checkOwnership returns an error if another process owns the desired state. A process that is upgraded loses ownership
// when it sends the checkpoint, and its successor gains it at the take-over.
func (d *daemon) checkOwnership() error {
	if !d.checkpointer.ownsFile.Load() {
		return busyError("another process takes this one's place")
	}
	return nil
}

// beginCommand saves next, the desired state with the command recorded as running, and starts the command.
func (d *daemon) beginCommand(r commandRequest, next desiredstate.State) {
	c := r.command
	err := d.checkCommand(c.Operation)
	if err == nil {
		err = d.member.save(next)
	}
	if err != nil {
		r.answer <- err
		return
	}
	slog.Info("command started", "id", c.ID, "epoch", c.Epoch, "owner", c.Owner, "kind", c.Operation.Kind)
	d.running = &runningCommand{
		id:      c.ID,
		kind:    c.Operation.Kind,
		hash:    c.Operation.Hash,
		waiters: []chan error{r.answer},
	}
	d.startCommand(c.Operation)
}

// checkCommand returns an error if a command cannot start in the current state, or is invalid.
func (d *daemon) checkCommand(operation desiredstate.Operation) error {
	switch operation.Kind {
	case desiredstate.KindDrain:
		if d.member.store.IsVolatile() {
			return invalidError("process.state is not set: started again, it would serve")
		}
	case desiredstate.KindProgram:
		if err := checkExecutable(operation.Path); err != nil {
			return invalidError(err.Error())
		}
	}
	current := d.machine.State()
	canStart := current == lifecycle.Ready
	if operation.Kind == desiredstate.KindDrain || operation.Kind == desiredstate.KindServe {
		canStart = !isEnding(current)
	}
	if !canStart {
		return busyError("the daemon is %v", current)
	}
	return nil
}

// startCommand starts the operation of d.running.
func (d *daemon) startCommand(operation desiredstate.Operation) {
	running := d.running
	switch operation.Kind {
	case desiredstate.KindSettings:
		inForce := d.cfg
		d.goroutines.Go(func() {
			isRolledBack, err := d.applySettings(inForce, operation)
			if !errors.Is(err, errEnded) { // after errEnded the next process recovers the command
				d.post(commandFinished{running, err, isRolledBack})
			}
		})
	case desiredstate.KindProgram, desiredstate.KindRestart:
		d.startUpgradeCommand(running, operation.Path)
	case desiredstate.KindDrain:
		d.finishCommand(nil)
		d.advance(lifecycle.StopRequested{Cause: "order " + running.id})
	case desiredstate.KindServe:
		if d.machine.State() != lifecycle.Warming { // while warming up, servicesReady finishes the command
			d.finishCommand(nil)
		}
	}
}

// startUpgradeCommand starts an upgrade to a program; an empty program is the one that runs. The command succeeds when
// the successor's probation ends, and fails if the upgrade fails before that.
func (d *daemon) startUpgradeCommand(running *runningCommand, program string) {
	if program == "" {
		program = d.opts.Program
	}
	r := upgradeRequest{program: program, isCommand: true, answer: make(chan error, 1)}
	d.goroutines.Go(func() {
		select {
		case err := <-r.answer:
			if err != nil {
				d.post(commandFinished{command: running, err: err})
			}
		case <-d.loopEnded:
		}
	})
	_ = r.handle(d) // always nil: errors are sent to r.answer
}

// finishCommand ends the running command. It saves the outcome before it answers the waiting requests.
func (d *daemon) finishCommand(err error) {
	stored := d.member.desiredState.Running
	if stored == nil || stored.ID != d.running.id { // another process has recorded its end
		d.answerCommand(interruptedOutcome(d.running.id))
		return
	}
	d.member.record(d.member.desiredState.Finish(err))
	d.answerCommand(d.member.desiredState.LastOutcome())
}

// interruptedOutcome returns the outcome of a command that was interrupted without an effect. A retry starts the command
// from the beginning.
func interruptedOutcome(id string) desiredstate.Outcome {
	return desiredstate.Outcome{ID: id, Code: desiredstate.CodeBusy, Error: "order " + id + " was interrupted: ask again"}
}

// answerCommand ends the running command in memory and sends its outcome to all requests that wait for it.
func (d *daemon) answerCommand(outcome desiredstate.Outcome) {
	running := d.running
	d.running = nil
	slog.Info("command ended", "id", running.id, "code", outcome.Code, "err", outcome.Error)
	answerEach(running.waiters, outcomeError(outcome))
}

// takeOverDesiredState reads the predecessor's desired state and adopts the command that the predecessor started.
func (d *daemon) takeOverDesiredState() {
	d.reloadDesiredState()
	if running := d.member.desiredState.Running; running != nil {
		d.running = &runningCommand{
			id:          running.ID,
			kind:        running.Kind,
			hash:        running.Hash,
			isInherited: true,
		}
	}
}

// reloadDesiredState reads the desired state, which another process may have written, and saves it, because the
// configured state directory may have changed.
func (d *daemon) reloadDesiredState() {
	d.member.load()
	d.member.record(d.member.desiredState)
}

// recoverCommand ends the command that the desired state records as running, after the process that ran it has ended.
// The command has succeeded if its effect is observed, and is interrupted otherwise. A command to serve continues.
func (d *daemon) recoverCommand() {
	m := d.member
	stored := m.desiredState.Running
	if stored == nil {
		d.running = nil
		return
	}
	next := m.desiredState.Recover(desiredstate.Observed{Hash: d.cfg.Hash, Program: d.opts.Program})
	if next.Running != nil {
		if d.running == nil {
			d.running = &runningCommand{id: stored.ID, kind: stored.Kind, hash: stored.Hash}
		}
		return
	}
	m.record(next)
	m.store.RemoveOldSettings()
	outcome := next.LastOutcome()
	if outcome.ID != stored.ID {
		slog.Warn("command interrupted by the end of its process, nothing of it remains", "id", stored.ID, "kind", stored.Kind)
		outcome = interruptedOutcome(stored.ID)
	}
	if d.running != nil {
		d.answerCommand(outcome)
	}
}

// checkUpgrade returns an error if an upgrade would interrupt the running command. isCommand reports that the running
// command itself requests the upgrade.
func (d *daemon) checkUpgrade(isCommand bool) error {
	if d.running != nil && !d.running.isInherited && !isCommand {
		return fmt.Errorf("no upgrade: order %s is under way", d.running.id)
	}
	return nil
}

// checkExecutable returns an error if program is not the absolute path of an executable file.
func checkExecutable(program string) error {
	if !filepath.IsAbs(program) {
		return fmt.Errorf("program %q is no absolute path", program)
	}
	if info, err := os.Stat(program); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return fmt.Errorf("program %s can't be run", program)
	}
	return nil
}
