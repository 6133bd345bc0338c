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

// given is the part of what is left to spend that a successor gets while both processes serve:
// the old one has connections on which requests go on coming until it has let go of them.
const given = 0.5

// phase is how far a successor has come.
type phase int

const (
	starting phase = iota
	endowed        // it has what was given
	serving        // it takes clients
)

// succession is the taking of a daemon's place by a new process, on the old one's side.
type succession struct {
	*upgrade.Successor
	phase phase
	gave  *state.Checkpoint // nil until it was given
	late  *time.Timer
	why   error // it was killed
	over  bool  // it is not this daemon's concern any more
}

// successorDid is what a successor did, or, with settled, that its probation is over.
type successorDid struct {
	s       *succession
	event   upgrade.Event
	late    bool
	settled bool
}

// spawn starts a successor.
func (d *daemon) spawn() {
	program := d.program
	if program == "" {
		program = d.opts.Program
	}
	d.program = ""
	s, err := d.startSuccessor(program)
	if err != nil {
		d.parts.Go(func() { d.post(lifecycle.Lost{Err: err}) })
		return
	}
	slog.Info("upgrade: a new process starts", "program", program, "pid", s.PID())
	d.succ = s
	s.late = time.AfterFunc(d.cfg.Process.Upgrade.Within, func() { d.post(successorDid{s: s, late: true}) })
	go func() { // it may outlive this process
		for e := range s.Events() {
			d.post(successorDid{s: s, event: e})
		}
	}()
}

func (d *daemon) startSuccessor(program string) (*succession, error) {
	sockets, err := d.node.ListenerFiles()
	if err != nil {
		return nil, err
	}
	files := make(map[string]*os.File)
	for addr, f := range sockets {
		defer f.Close() //nolint:errcheck // a copy of a socket, which nothing is written to
		files["listen:"+addr] = f
	}
	if f := d.pid.File(); f != nil {
		files["pid"] = f
	}
	files["orders"] = d.member.file.Inheritance()
	if d.store != nil {
		files["lock:"+d.store.Directory()] = d.store.LockFile()
	}
	s, err := upgrade.Start(upgrade.Program{Path: program, Args: d.opts.Args, Env: os.Environ(), Files: files})
	if err != nil {
		return nil, err
	}
	return &succession{Successor: s}, nil
}

// successor takes what a successor did.
func (d *daemon) successor(did successorDid) {
	s := did.s
	switch {
	case s.over:
	case did.late:
		if s.phase != serving {
			s.why = fmt.Errorf("process %d was not ready within %v", s.PID(), d.cfg.Process.Upgrade.Within)
			s.Kill()
		}
	case did.settled:
		if d.doing != nil { // the successor has it written; there is no way back any more
			d.answerOrder(desiredstate.Done{ID: d.doing.id, Code: desiredstate.OK})
		}
		d.handle(lifecycle.Settled{})
	case did.event == upgrade.Prepared:
		d.handle(lifecycle.Prepared{})
	case did.event == upgrade.Took:
		d.handle(lifecycle.Took{})
	case did.event == upgrade.Ended:
		s.over = true
		if s.why == nil {
			s.why = s.Err()
		}
		s.late.Stop()
		if d.machine.State() == lifecycle.Draining && s.phase == serving {
			slog.Error("the successor has ended while this process drains", "err", s.why)
		}
		d.handle(lifecycle.Lost{Err: s.why})
	}
}

// give gives the successor its part of what is left to spend, and what was learned.
func (d *daemon) give() {
	s := d.succ
	d.keeper.own.Store(false) // the file is the successor's from now on
	st := d.node.HandOver(given)
	s.gave, s.phase = &st, endowed
	raw, err := state.Encode(st)
	if err != nil {
		s.why = err
		s.Kill()
		return
	}
	go func() { // as long as it takes to be read
		if err := s.Give(raw); err != nil {
			slog.Warn("upgrade", "err", err)
			s.Kill()
		}
	}()
}

// yield leaves new connections to the successor.
func (d *daemon) yield() {
	s := d.succ
	s.phase = serving
	s.late.Stop()
	d.node.PauseListeners()
	if err := supervise.MainPID(s.PID()); err != nil {
		slog.Warn("supervisor", "err", err)
	}
	slog.Info("upgrade: the new process takes clients", "pid", s.PID(), "probation", d.cfg.Process.Upgrade.Probation)
	answer(d.upgrading, nil)
	d.upgrading = nil
	s.late = time.AfterFunc(d.cfg.Process.Upgrade.Probation, func() { d.post(successorDid{s: s, settled: true}) })
}

// resume goes on without the successor.
func (d *daemon) resume() {
	s := d.succ
	err := errors.New("no new process could be started")
	if d.succ = nil; s != nil {
		err = s.why
		s.over = true
		switch s.phase {
		case serving: // what it was given may be spent
			d.node.Rejoin(nil)
			d.node.ResumeListeners()
			if err := supervise.MainPID(os.Getpid()); err != nil {
				slog.Warn("supervisor", "err", err)
			}
			d.claim()
		case endowed:
			d.node.Rejoin(s.gave)
			d.claim()
		}
	}
	d.keeper.own.Store(true)
	if s != nil && s.phase >= endowed {
		d.inheritOrders(true)
	}
	if d.doing != nil && (d.doing.kind == desiredstate.Program || d.doing.kind == desiredstate.Restart) {
		d.endOrder(fmt.Errorf("the old process goes on: %w", err))
	} else if d.doing == nil {
		d.recoverOrders()
	}
	answer(d.upgrading, fmt.Errorf("the old process goes on: %w", err))
	d.upgrading = nil
}

// claim writes this process's id where the successor may have written its own, and makes the
// control socket anew where the successor had taken its place.
func (d *daemon) claim() {
	d.claimFiles()
	if old := d.control; !old.Own() {
		if err := d.listenControl(d, true); err != nil {
			slog.Warn("upgrade", "err", err)
		}
		go old.Finish() // who asked for the upgrade is still to hear of it
	}
}

// claimFiles writes this process's id into the files that say who the daemon is.
func (d *daemon) claimFiles() {
	if err := d.pid.Claim(); err != nil {
		slog.Warn("process id", "err", err)
	}
	if d.store != nil {
		d.store.RecordProcessID()
	}
}

// abandon ends a successor that has not taken over: the daemon itself is to end.
func (d *daemon) abandon() {
	s := d.succ
	d.succ = nil
	s.over = true
	s.Kill()
	if s.gave != nil {
		d.node.Rejoin(s.gave)
	}
	d.keeper.own.Store(true)
	answer(d.upgrading, errors.New("the daemon was asked to end"))
	d.upgrading = nil
}

// forward has the successor reload.
func (s *succession) forward() {
	if err := s.Signal(syscall.SIGHUP); err != nil {
		slog.Warn("upgrade: the new process can't be told to reload", "err", err)
	}
}

// drained asks live to do what is left to do at the end of a drain.
type drained struct{ done chan struct{} }

// awaitLast is called by the node at the end of its drain, from its own goroutine.
func (d *daemon) awaitLast() {
	l := drained{make(chan struct{})}
	d.post(l)
	select {
	case <-l.done:
	case <-d.ended:
	}
}

// last is called when a drain has come so far that nothing more will be spent: what is left goes
// to the successor, or to the file for the next start.
func (d *daemon) last() {
	d.keeper.end()
	if s := d.succ; s != nil && s.phase == serving {
		raw, err := state.Encode(d.node.HandOver(1))
		if err == nil {
			err = s.Leave(raw)
		}
		if err != nil {
			slog.Warn("upgrade: what is left is lost", "err", err)
		}
		return
	}
	if d.store == nil || !d.keeper.own.Load() {
		return
	}
	st := d.node.Checkpoint()
	st.Clean = true
	if err := d.store.Save(st); err != nil {
		slog.Warn("the next start will not know what was spent", "err", err)
	}
}

// inherited is what the old process gave.
type inherited struct {
	raw []byte
	err error
}

// left is what it left at its end; nil where that is not known.
type left struct{ raw []byte }

// askForState says to the old process that this one could serve.
func (d *daemon) askForState() {
	raw, err := d.pred.Prepared()
	d.post(inherited{raw, err})
}

// takeOver takes clients beside, and soon instead of, the old process. An error ends this one,
// and the old one goes on.
func (d *daemon) takeOver(in inherited) error {
	st, err := state.Decode(in.raw)
	if in.err != nil {
		err = in.err
	}
	if err == nil {
		d.node.Restore(st, control.TrustAll)
	} else {
		slog.Warn("upgrade: nothing is known of what was spent: this process starts carefully", "err", err)
		d.doubts.add("what was spent before the start", err.Error())
	}
	d.inheritOrders(false)
	if err := d.listenControl(d, true); err != nil {
		if in.err == nil { // the old process is there, and has one that works
			return err
		}
		slog.Warn("upgrade", "err", err)
	}
	d.claimFiles()
	d.keeper.own.Store(true)
	d.node.ResumeListeners()
	if err := d.pred.Took(); err != nil {
		slog.Warn("upgrade: the old process is gone", "err", err)
	}
	go func() { d.post(left{d.pred.Rest()}) }()
	d.serves()
	return nil
}

// rejoin takes what the old process left.
func (d *daemon) rejoin(l left) {
	if st, err := state.Decode(l.raw); err == nil {
		d.node.Rejoin(&st)
	} else {
		slog.Warn("upgrade: the old process left nothing: its part of what was left to spend is lost", "err", err)
		d.node.Rejoin(nil)
	}
	d.recoverOrders()
	d.handle(lifecycle.Alone{})
}
