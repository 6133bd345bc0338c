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

// This file has the old process's side of a binary upgrade, in which it starts a successor and hands over to it.

// successorFraction is the part of what is left to spend that a successor gets while both processes serve:
// requests still arrive over the old process's connections until it has closed them.
const successorFraction = 0.5

// successorPhase is what a successor has reached.
type successorPhase int

const (
	successorStarting      successorPhase = iota
	successorHasCheckpoint                // it has been sent its part
	successorServing                      // it accepts connections
)

// successor is a new process that is to take this one's place.
type successor struct {
	*upgrade.Successor
	phase          successorPhase
	sentCheckpoint *state.Checkpoint // nil until it has been sent
	timer          *time.Timer       // of its start, then of its probation
	endCause       error             // why it was killed, or has ended
	isDetached     bool              // the daemon no longer handles its events
}

// successorEvent is what a successor did, or, with isLate or isConfirmed, that one of its timers has fired.
type successorEvent struct {
	successor       *successor
	event           upgrade.Event
	hasTimedOut     bool // the time in which it had to accept connections is over
	isProbationOver bool // its probation has ended
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
	go func() { // not waited for: the successor may outlive this process
		for e := range s.Events() {
			d.post(successorEvent{successor: s, event: e})
		}
	}()
}

// startSuccessor starts a program with copies of this process's listeners, locks and desired state.
func (d *daemon) startSuccessor(program string) (*successor, error) {
	listeners, err := d.node.ListenerFiles()
	if err != nil {
		return nil, err
	}
	files := make(map[string]*os.File)
	for address, f := range listeners {
		defer f.Close() //nolint:errcheck // a copy of a socket, which nothing is written to
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
		if d.running != nil { // the successor has saved the outcome, and this process won't resume
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

// hasServingSuccessor reports whether a successor accepts connections in this process's place.
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

// sendCheckpoint sends the successor its part of what is left to spend, and what was learned.
func (d *daemon) sendCheckpoint() {
	s := d.successor
	d.checkpointer.ownsFile.Store(false) // the files are the successor's from now on
	checkpoint := d.node.HandOver(successorFraction)
	s.sentCheckpoint = &checkpoint
	s.phase = successorHasCheckpoint
	encoded, err := state.Encode(checkpoint)
	if err != nil {
		s.endCause = err
		s.Kill()
		return
	}
	go func() { // not waited for: it ends when the successor has read the checkpoint or has ended
		if err := s.SendCheckpoint(encoded); err != nil {
			slog.Warn("upgrade: checkpoint not sent to successor", "err", err)
			s.Kill()
		}
	}()
}

// yieldToSuccessor leaves new connections to the successor and begins its probation.
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

// resumeAlone continues without the successor, which has ended or could not be started.
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

// reclaimFromSuccessor takes back what a successor that has ended was sent, as far as it can't have spent it, and new
// connections.
func (d *daemon) reclaimFromSuccessor(s *successor) {
	switch s.phase {
	case successorServing: // its part may be spent
		d.node.Rejoin(nil)
		d.node.ResumeListeners()
		logSupervisor(supervise.NotifyMainPID(os.Getpid()))
		d.reclaimFiles()
	case successorHasCheckpoint:
		d.node.Rejoin(s.sentCheckpoint)
		d.reclaimFiles()
	}
}

// reclaimFiles records this process's id where the successor may have recorded its own, and reopens the control
// socket where the successor had replaced it.
func (d *daemon) reclaimFiles() {
	d.recordProcessID()
	if old := d.controlServer; !old.OwnsSocket() {
		if err := d.listenControl(d, true); err != nil {
			logControlSocket(err)
		}
		go old.Shutdown() // ends in a bounded time; it still answers the request of the upgrade
	}
}

func logControlSocket(err error) {
	slog.Warn("upgrade: control socket not replaced", "err", err)
}

// recordProcessID writes this process's id into the files that name the daemon's process.
func (d *daemon) recordProcessID() {
	if err := d.pidFile.RecordProcessID(); err != nil {
		slog.Warn("process id not recorded", "err", err)
	}
	if d.store != nil {
		d.store.RecordProcessID()
	}
}

// killSuccessor kills a successor that has not taken over, as the daemon is to end.
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

// forwardReload has the successor reload its configuration.
func (s *successor) forwardReload() {
	if err := s.Signal(syscall.SIGHUP); err != nil {
		slog.Warn("upgrade: reload not forwarded to successor", "err", err)
	}
}
