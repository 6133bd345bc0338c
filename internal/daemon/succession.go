package daemon

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"syscall"
	"time"

	"lockflow/control"
	"lockflow/internal/desiredstate"
	"lockflow/internal/lifecycle"
	"lockflow/internal/state"
	"lockflow/internal/supervise"
	"lockflow/internal/upgrade"
)

// successorFraction is the part of what is left to spend that a successor gets while both processes serve:
// the old one has connections on which requests go on coming until it has let go of them.
const successorFraction = 0.5

// successorPhase is how far a successor has come.
type successorPhase int

const (
	successorStarting      successorPhase = iota
	successorHasCheckpoint                // it has what was given
	successorServing                      // it takes clients
)

// successor is the taking of a daemon's place by a new process, on the old one's side.
type successor struct {
	*upgrade.Successor
	phase          successorPhase
	sentCheckpoint *state.Checkpoint // nil until it was given
	timer          *time.Timer
	endCause       error // it was killed
	isDetached     bool  // it is not this daemon's concern any more
}

// successorEvent is what a successor did, or, with settled, that its probation is over.
type successorEvent struct {
	successor   *successor
	event       upgrade.Event
	isLate      bool
	isConfirmed bool
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
		d.goroutines.Go(func() { d.post(lifecycle.SuccessorLost{Err: err}) })
		return
	}
	slog.Info("upgrade: a new process starts", "program", program, "pid", s.PID())
	d.successor = s
	s.timer = time.AfterFunc(d.cfg.Process.Upgrade.Within, func() { d.post(successorEvent{successor: s, isLate: true}) })
	go func() { // it may outlive this process
		for e := range s.Events() {
			d.post(successorEvent{successor: s, event: e})
		}
	}()
}

func (d *daemon) startSuccessor(program string) (*successor, error) {
	sockets, err := d.node.ListenerFiles()
	if err != nil {
		return nil, err
	}
	files := make(map[string]*os.File)
	for addr, f := range sockets {
		defer f.Close() //nolint:errcheck // a copy of a socket, which nothing is written to
		files["listen:"+addr] = f
	}
	if f := d.pidFile.File(); f != nil {
		files["pid"] = f
	}
	files["orders"] = d.member.store.Inheritance()
	if d.store != nil {
		files["lock:"+d.store.Directory()] = d.store.LockFile()
	}
	s, err := upgrade.Start(upgrade.Program{Path: program, Args: d.opts.Args, Env: os.Environ(), Files: files})
	if err != nil {
		return nil, err
	}
	return &successor{Successor: s}, nil
}

// handleSuccessorEvent takes what a successor did.
func (d *daemon) handleSuccessorEvent(did successorEvent) {
	s := did.successor
	switch {
	case s.isDetached:
	case did.isLate:
		if s.phase != successorServing {
			s.endCause = fmt.Errorf("process %d was not ready within %v", s.PID(), d.cfg.Process.Upgrade.Within)
			s.Kill()
		}
	case did.isConfirmed:
		if d.running != nil { // the successor has it written; there is no way back any more
			d.answerCommand(desiredstate.Done{ID: d.running.id, Code: desiredstate.OK})
		}
		d.advance(lifecycle.SuccessorConfirmed{})
	case did.event == upgrade.Prepared:
		d.advance(lifecycle.SuccessorPrepared{})
	case did.event == upgrade.TookOver:
		d.advance(lifecycle.SuccessorTookOver{})
	case did.event == upgrade.Ended:
		s.isDetached = true
		if s.endCause == nil {
			s.endCause = s.Err()
		}
		s.timer.Stop()
		if d.machine.State() == lifecycle.Draining && s.phase == successorServing {
			slog.Error("the successor has ended while this process drains", "err", s.endCause)
		}
		d.advance(lifecycle.SuccessorLost{Err: s.endCause})
	}
}

// sendCheckpoint gives the successor its part of what is left to spend, and what was learned.
func (d *daemon) sendCheckpoint() {
	s := d.successor
	d.checkpointer.ownsFile.Store(false) // the file is the successor's from now on
	st := d.node.HandOver(successorFraction)
	s.sentCheckpoint, s.phase = &st, successorHasCheckpoint
	raw, err := state.Encode(st)
	if err != nil {
		s.endCause = err
		s.Kill()
		return
	}
	go func() { // as long as it takes to be read
		if err := s.SendCheckpoint(raw); err != nil {
			slog.Warn("upgrade", "err", err)
			s.Kill()
		}
	}()
}

// yieldToSuccessor leaves new connections to the successor.
func (d *daemon) yieldToSuccessor() {
	s := d.successor
	s.phase = successorServing
	s.timer.Stop()
	d.node.PauseListeners()
	if err := supervise.NotifyMainPID(s.PID()); err != nil {
		slog.Warn("supervisor", "err", err)
	}
	slog.Info("upgrade: the new process takes clients", "pid", s.PID(), "probation", d.cfg.Process.Upgrade.Probation)
	answerEach(d.pendingUpgrades, nil)
	d.pendingUpgrades = nil
	s.timer = time.AfterFunc(d.cfg.Process.Upgrade.Probation, func() { d.post(successorEvent{successor: s, isConfirmed: true}) })
}

// resumeAlone goes on without the successor.
func (d *daemon) resumeAlone() {
	s := d.successor
	err := errors.New("no new process could be started")
	if d.successor = nil; s != nil {
		err = s.endCause
		s.isDetached = true
		switch s.phase {
		case successorServing: // what it was given may be spent
			d.node.Rejoin(nil)
			d.node.ResumeListeners()
			if err := supervise.NotifyMainPID(os.Getpid()); err != nil {
				slog.Warn("supervisor", "err", err)
			}
			d.reclaimFiles()
		case successorHasCheckpoint:
			d.node.Rejoin(s.sentCheckpoint)
			d.reclaimFiles()
		}
	}
	d.checkpointer.ownsFile.Store(true)
	if s != nil && s.phase >= successorHasCheckpoint {
		d.reloadBook(true)
	}
	if d.running != nil && (d.running.kind == desiredstate.Program || d.running.kind == desiredstate.Restart) {
		d.finishCommand(fmt.Errorf("the old process goes on: %w", err))
	} else if d.running == nil {
		d.recoverCommand()
	}
	answerEach(d.pendingUpgrades, fmt.Errorf("the old process goes on: %w", err))
	d.pendingUpgrades = nil
}

// reclaimFiles writes this process's id where the successor may have written its own, and makes the
// control socket anew where the successor had taken its place.
func (d *daemon) reclaimFiles() {
	d.recordProcessID()
	if old := d.controlServer; !old.Own() {
		if err := d.listenControl(d, true); err != nil {
			slog.Warn("upgrade", "err", err)
		}
		go old.Finish() // who asked for the upgrade is still to hear of it
	}
}

// recordProcessID writes this process's id into the files that say who the daemon is.
func (d *daemon) recordProcessID() {
	if err := d.pidFile.RecordProcessID(); err != nil {
		slog.Warn("process id", "err", err)
	}
	if d.store != nil {
		d.store.RecordProcessID()
	}
}

// killSuccessor ends a successor that has not taken over: the daemon itself is to end.
func (d *daemon) killSuccessor() {
	s := d.successor
	d.successor = nil
	s.isDetached = true
	s.Kill()
	if s.sentCheckpoint != nil {
		d.node.Rejoin(s.sentCheckpoint)
	}
	d.checkpointer.ownsFile.Store(true)
	answerEach(d.pendingUpgrades, errors.New("the daemon was asked to end"))
	d.pendingUpgrades = nil
}

// forwardReload has the successor reload.
func (s *successor) forwardReload() {
	if err := s.Signal(syscall.SIGHUP); err != nil {
		slog.Warn("upgrade: the new process can't be told to reload", "err", err)
	}
}

// drainFinished asks live to do what is left to do at the end of a drain.
type drainFinished struct{ done chan struct{} }

// awaitFinalCheckpoint is called by the node at the end of its drain, from its own goroutine.
func (d *daemon) awaitFinalCheckpoint() {
	l := drainFinished{make(chan struct{})}
	d.post(l)
	select {
	case <-l.done:
	case <-d.loopEnded:
	}
}

// saveFinalCheckpoint is called when a drain has come so far that nothing more will be spent: what is left goes
// to the successor, or to the file for the next start.
func (d *daemon) saveFinalCheckpoint() {
	d.checkpointer.stop()
	if s := d.successor; s != nil && s.phase == successorServing {
		raw, err := state.Encode(d.node.HandOver(1))
		if err == nil {
			err = s.SendFinalCheckpoint(raw)
		}
		if err != nil {
			slog.Warn("upgrade: what is left is lost", "err", err)
		}
		return
	}
	if d.store == nil || !d.checkpointer.ownsFile.Load() {
		return
	}
	st := d.node.Checkpoint()
	st.Clean = true
	if err := d.store.Save(st); err != nil {
		slog.Warn("the next start will not know what was spent", "err", err)
	}
}

// receivedCheckpoint is what the old process gave.
type receivedCheckpoint struct {
	encoded []byte
	err     error
}

// receivedFinalCheckpoint is what it left at its end; nil where that is not known.
type receivedFinalCheckpoint struct{ encoded []byte }

// requestCheckpoint says to the old process that this one could serve.
func (d *daemon) requestCheckpoint() {
	raw, err := d.predecessor.AwaitCheckpoint()
	d.post(receivedCheckpoint{raw, err})
}

// takeOver takes clients beside, and soon instead of, the old process. An error ends this one,
// and the old one goes on.
func (d *daemon) takeOver(in receivedCheckpoint) error {
	st, err := state.Decode(in.encoded)
	if in.err != nil {
		err = in.err
	}
	if err == nil {
		d.node.Restore(st, control.TrustAll)
	} else {
		slog.Warn("upgrade: nothing is known of what was spent: this process starts carefully", "err", err)
		d.conditions.add("what was spent before the start", err.Error())
	}
	d.reloadBook(false)
	if err := d.listenControl(d, true); err != nil {
		if in.err == nil { // the old process is there, and has one that works
			return err
		}
		slog.Warn("upgrade", "err", err)
	}
	d.recordProcessID()
	d.checkpointer.ownsFile.Store(true)
	d.node.ResumeListeners()
	if err := d.predecessor.AnnounceTakeOver(); err != nil {
		slog.Warn("upgrade: the old process is gone", "err", err)
	}
	go func() { d.post(receivedFinalCheckpoint{d.predecessor.AwaitFinalCheckpoint()}) }()
	d.servicesReady()
	return nil
}

// takeFinalCheckpoint takes what the old process left.
func (d *daemon) takeFinalCheckpoint(l receivedFinalCheckpoint) {
	if st, err := state.Decode(l.encoded); err == nil {
		d.node.Rejoin(&st)
	} else {
		slog.Warn("upgrade: the old process left nothing: its part of what was left to spend is lost", "err", err)
		d.node.Rejoin(nil)
	}
	d.recoverCommand()
	d.advance(lifecycle.PredecessorEnded{})
}
