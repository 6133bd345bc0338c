package daemon

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"syscall"
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/lifecycle"
	"lockflow/internal/state"
	"lockflow/internal/supervise"
	"lockflow/internal/upgrade"
)

// This file contains the old process's side of a binary upgrade, in which it starts a successor and hands over to it.

// successorFraction is the fraction of the remaining quota that a successor gets while both processes serve. The old
// process needs the rest, because requests arrive over its connections until it has closed them.
const successorFraction = 0.5

// successorPhase is the progress of a successor.
type successorPhase int

const (
	successorStarting      successorPhase = iota
	successorHasCheckpoint                // its checkpoint has been sent
	successorServing                      // it accepts connections
)

// successor is a new process that is to replace this one.
type successor struct {
	*upgrade.Successor
	phase          successorPhase
	sentCheckpoint *state.Checkpoint // nil until the checkpoint is sent
	timer          *time.Timer       // limits the start, then the probation
	endCause       error             // why the process was killed or has ended
	isDetached     bool              // whether the daemon ignores its events
}

// successorEvent is an event of a successor or, with hasTimedOut or isProbationOver, the expiry of one of its timers.
type successorEvent struct {
	successor       *successor
	event           upgrade.Event
	hasTimedOut     bool // the timeout for accepting connections has expired
	isProbationOver bool // the probation has ended
}

// spawnSuccessor starts a successor.
func (d *daemon) spawnSuccessor() {
	program := d.nextProgram
	if program == "" {
		program = d.opts.Program
	}
	d.nextProgram = ""
	s, err := d.startSuccessor(program)
	if err != nil {
		d.goroutines.Go(func() { d.post(lifecycleEvent{lifecycle.SuccessorLost{Err: err}}) })
		return
	}
	slog.Info("upgrade: successor started", "program", program, "pid", s.PID())
	d.successor = s
	s.timer = time.AfterFunc(d.cfg.Process.Upgrade.ReadyTimeout, func() { d.post(successorEvent{successor: s, hasTimedOut: true}) })
	go func() { // run does not wait for it: the successor may outlive this process
		for e := range s.Events() {
			d.post(successorEvent{successor: s, event: e})
		}
	}()
}

// startSuccessor starts a program that inherits this process's listeners, lock files and desired state.
func (d *daemon) startSuccessor(program string) (*successor, error) {
	listeners, err := d.node.ListenerFiles()
	if err != nil {
		return nil, err
	}
	files := make(map[string]*os.File)
	for address, f := range listeners {
		defer f.Close() //nolint:errcheck // a duplicate of a listening socket, to which nothing is written
		files[filePrefixListener+address] = f
	}
	if f := d.pidFile.File(); f != nil {
		files[filePID] = f
	}
	files[fileDesiredState] = d.member.store.MemoryFile()
	if d.store != nil {
		files[filePrefixLock+d.store.Directory()] = d.store.LockFile()
	}
	s, err := upgrade.Start(upgrade.Program{Path: program, Args: d.opts.Args, Env: os.Environ(), Files: files})
	if err != nil {
		return nil, err
	}
	return &successor{Successor: s}, nil
}

func (e successorEvent) handle(d *daemon) error {
	s := e.successor
	switch {
	case s.isDetached:
	case e.hasTimedOut:
		if s.phase != successorServing {
			s.endCause = fmt.Errorf("process %d was not ready within %v", s.PID(), d.cfg.Process.Upgrade.ReadyTimeout)
			s.Kill()
		}
	case e.isProbationOver:
		if d.running != nil { // the successor has saved the outcome, and this process does not resume any more
			d.answerCommand(desiredstate.Outcome{ID: d.running.id, Code: desiredstate.CodeOK})
		}
		d.advance(lifecycle.SuccessorConfirmed{})
	case e.event == upgrade.Prepared:
		d.advance(lifecycle.SuccessorPrepared{})
	case e.event == upgrade.TookOver:
		d.advance(lifecycle.SuccessorTookOver{})
	case e.event == upgrade.Ended:
		d.successorEnded(s)
	}
	return nil
}

// hasServingSuccessor reports whether a successor accepts connections instead of this process.
func (d *daemon) hasServingSuccessor() bool {
	return d.successor != nil && d.successor.phase == successorServing
}

func (d *daemon) successorEnded(s *successor) {
	s.isDetached = true
	if s.endCause == nil {
		s.endCause = s.Err()
	}
	s.timer.Stop()
	if d.machine.State() == lifecycle.Draining && s.phase == successorServing {
		slog.Error("upgrade: successor ended while this process drains", "err", s.endCause)
	}
	d.advance(lifecycle.SuccessorLost{Err: s.endCause})
}

// sendCheckpoint sends the successor its fraction of the remaining quota and the estimates.
func (d *daemon) sendCheckpoint() {
	s := d.successor
	d.checkpointer.ownsFile.Store(false) // from now on the successor owns the files
	checkpoint := d.node.HandOver(successorFraction)
	s.sentCheckpoint = &checkpoint
	s.phase = successorHasCheckpoint
	encoded, err := state.Encode(checkpoint)
	if err != nil {
		s.endCause = err
		s.Kill()
		return
	}
	go func() { // run does not wait for it: it ends when the successor has read the checkpoint or has ended
		if err := s.SendCheckpoint(encoded); err != nil {
			slog.Warn("upgrade: checkpoint not sent to successor", "err", err)
			s.Kill()
		}
	}()
}

// yieldToSuccessor stops accepting connections and begins the successor's probation.
func (d *daemon) yieldToSuccessor() {
	s := d.successor
	probation := d.cfg.Process.Upgrade.Probation
	s.phase = successorServing
	s.timer.Stop()
	d.node.PauseListeners()
	logSupervisor(supervise.NotifyMainPID(s.PID()))
	slog.Info("upgrade: successor accepts connections", "pid", s.PID(), "probation", probation)
	answerEach(d.pendingUpgrades, nil)
	d.pendingUpgrades = nil
	s.timer = time.AfterFunc(probation, func() { d.post(successorEvent{successor: s, isProbationOver: true}) })
}

// resumeAlone continues without a successor after it has ended or could not be started.
func (d *daemon) resumeAlone() {
	s := d.successor
	d.successor = nil
	cause := errors.New("no new process could be started")
	if s != nil {
		cause = s.endCause
		s.isDetached = true
		d.reclaimFromSuccessor(s)
	}
	d.checkpointer.ownsFile.Store(true)
	if s != nil && s.phase >= successorHasCheckpoint {
		d.reloadDesiredState()
	}
	cause = fmt.Errorf("the old process goes on: %w", cause)
	switch {
	case d.running == nil:
		d.recoverCommand()
	case d.running.isUpgrade():
		d.finishCommand(cause)
	}
	answerEach(d.pendingUpgrades, cause)
	d.pendingUpgrades = nil
}

// reclaimFromSuccessor takes back the quota that was sent to a successor that has ended, unless the successor may have
// used it, and resumes accepting connections if they had been left to the successor.
func (d *daemon) reclaimFromSuccessor(s *successor) {
	switch s.phase {
	case successorServing: // it may have used its quota
		d.node.Rejoin(nil)
		d.node.ResumeListeners()
		logSupervisor(supervise.NotifyMainPID(os.Getpid()))
		d.reclaimFiles()
	case successorHasCheckpoint:
		d.node.Rejoin(s.sentCheckpoint)
		d.reclaimFiles()
	}
}

// reclaimFiles records this process's id in the files in which the successor may have recorded its own, and reopens the
// control socket if the successor has replaced it.
func (d *daemon) reclaimFiles() {
	d.recordProcessID()
	if old := d.controlServer; !old.OwnsSocket() {
		if err := d.listenControl(d, true); err != nil {
			logControlSocket(err)
		}
		go old.Shutdown() // ends in bounded time, after it has answered the request for the upgrade
	}
}

func logControlSocket(err error) {
	slog.Warn("upgrade: control socket not replaced", "err", err)
}

// recordProcessID writes this process's id to the pid file and the lock file of the state directory.
func (d *daemon) recordProcessID() {
	if err := d.pidFile.RecordProcessID(); err != nil {
		slog.Warn("process id not recorded", "err", err)
	}
	if d.store != nil {
		d.store.RecordProcessID()
	}
}

// killSuccessor kills a successor that has not taken over, because the daemon is to end.
func (d *daemon) killSuccessor() {
	s := d.successor
	d.successor = nil
	s.isDetached = true
	s.Kill()
	if s.sentCheckpoint != nil {
		d.node.Rejoin(s.sentCheckpoint)
	}
	d.checkpointer.ownsFile.Store(true)
	answerEach(d.pendingUpgrades, errors.New("the daemon is stopping"))
	d.pendingUpgrades = nil
}

// forwardReload signals the successor to reload its configuration.
func (s *successor) forwardReload() {
	if err := s.Signal(syscall.SIGHUP); err != nil {
		slog.Warn("upgrade: reload not forwarded to successor", "err", err)
	}
}
