// Package lifecycle is the life cycle of a daemon as a state machine: it is fed what happens and
// returns what is to be done. It does no I/O and knows no time.
//
//	starting -> warming -> ready <-> reloading
//	                       ready <-> handing over -> draining
//	    any of them -> draining -> ended
//
// A node that was ready stays so while it reloads: it goes on serving by the old configuration
// until the new one is in force. It also goes on while it hands over to a successor process, and
// where that one is lost, at any time before the end of its probation, as if nothing had been.
package lifecycle

import "fmt"

// State is where in its life a daemon is.
type State int

// The states.
const (
	Starting    State = iota // not listening yet
	Warming                  // listening; some required service can't serve yet
	Ready                    // every required service can serve
	Reloading                // a configuration is being read and put in force
	HandingOver              // a successor process starts, takes over and proves itself
	Draining                 // lets go of its clients
	Ended
)

func (s State) String() string {
	return [...]string{"starting", "warming", "ready", "reloading", "handing over", "draining", "ended"}[s]
}

// Event is something that happened.
type Event interface{ isEvent() }

// Listening reports that clients can connect.
type Listening struct{}

// ServicesReady reports that every required service has been able to serve.
type ServicesReady struct{}

// ReloadRequested asks for the configuration to be read again.
type ReloadRequested struct{ Cause string }

// ReloadFinished reports that a reload has ended; Err is nil where the new configuration is in force.
type ReloadFinished struct{ Err error }

// UpgradeRequested asks for a new process to take this one's place.
type UpgradeRequested struct{ Cause string }

// SuccessorPrepared reports that the successor could serve, and waits for the state of this process.
type SuccessorPrepared struct{}

// SuccessorTookOver reports that the successor accepts clients.
type SuccessorTookOver struct{}

// SuccessorConfirmed reports that the successor has served clients for as long as its probation lasts.
type SuccessorConfirmed struct{}

// SuccessorLost reports that the successor has ended or exceeded its time.
type SuccessorLost struct{ Err error }

// PredecessorEnded reports that the process whose place this one took has ended.
type PredecessorEnded struct{}

// StopRequested asks for the end.
type StopRequested struct{ Cause string }

// Finished reports that everything is released, or, with Err, that the daemon failed.
type Finished struct{ Err error }

func (Listening) isEvent()          {}
func (ServicesReady) isEvent()      {}
func (ReloadRequested) isEvent()    {}
func (ReloadFinished) isEvent()     {}
func (UpgradeRequested) isEvent()   {}
func (SuccessorPrepared) isEvent()  {}
func (SuccessorTookOver) isEvent()  {}
func (SuccessorConfirmed) isEvent() {}
func (SuccessorLost) isEvent()      {}
func (PredecessorEnded) isEvent()   {}
func (StopRequested) isEvent()      {}
func (Finished) isEvent()           {}

// Action is something to be done.
type Action interface{ isAction() }

// LogTransition tells of a transition and its cause, or, where both states are the same, of something
// that was asked for in vain.
type LogTransition struct {
	From, To State
	Cause    string
}

// StartReload begins a reload. Its end is owed as a Reloaded; none begins before.
type StartReload struct{}

// SpawnSuccessor starts a successor. Its fate is owed: Prepared, Took and Settled in this order, or Lost
// instead of one of them.
type SpawnSuccessor struct{}

// SendCheckpoint gives the successor its part of what is left to spend.
type SendCheckpoint struct{}

// YieldToSuccessor leaves new connections to the successor, which takes them too.
type YieldToSuccessor struct{}

// ResumeAlone goes on without the successor: takes back what it was given and, where it has Yielded,
// new connections.
type ResumeAlone struct{}

// KillSuccessor ends the successor; nothing of it is owed any more.
type KillSuccessor struct{}

// ForwardReload has the successor reload: whoever asked this process means the one that goes on.
type ForwardReload struct{}

// StartDrain begins the drain. Its end is owed as a Done.
type StartDrain struct{}

// NotifySupervisor tells who supervises the daemon.
type NotifySupervisor struct{ Notification Notification }

// Notification is what a supervisor can be told.
type Notification int

// What can be told.
const (
	NotifyReady     Notification = iota // it serves, also again after TellReloading
	NotifyReloading                     // a reload has begun
	NotifyStopping
)

func (LogTransition) isAction()    {}
func (StartReload) isAction()      {}
func (SpawnSuccessor) isAction()   {}
func (SendCheckpoint) isAction()   {}
func (YieldToSuccessor) isAction() {}
func (ResumeAlone) isAction()      {}
func (KillSuccessor) isAction()    {}
func (ForwardReload) isAction()    {}
func (StartDrain) isAction()       {}
func (NotifySupervisor) isAction() {}

// Machine is the life of one daemon, from Starting on. It is not safe for concurrent use; its
// zero value is ready.
type Machine struct {
	state            State
	areServicesReady bool           // every required service has been able to serve
	pendingReload    string         // cause of a reload that waits for its turn; "" is none
	pendingUpgrade   string         // the same of an upgrade
	hasPredecessor   bool           // the process whose place this one took goes on yet
	successor        successorPhase // of a successor
	actions          []Action
}

// successorPhase is how far a successor has come.
type successorPhase int

const (
	noSuccessor successorPhase = iota
	successorSpawned
	successorHasCheckpoint
	successorServing
)

// NewSuccessor makes the life of a process that takes another's place: it is upgraded itself only once
// it is Alone. Guards against what is left to spend divided among three.
func NewSuccessor() Machine { return Machine{hasPredecessor: true} }

// State is where the daemon is.
func (m *Machine) State() State { return m.state }

// Handle takes an event and returns what is to be done, in order. The slice holds until the
// next call.
func (m *Machine) Handle(e Event) []Action {
	m.actions = m.actions[:0]
	if m.state == Ended {
		return nil
	}
	switch e := e.(type) {
	case Listening:
		if m.state == Starting {
			m.enterSteadyState("listening")
		}
	case ServicesReady:
		if m.areServicesReady = true; m.state == Warming {
			m.enterSteadyState("every required service can serve")
		}
	case ReloadRequested:
		m.requestReload(e.Cause)
	case ReloadFinished:
		m.finishReload(e.Err)
	case UpgradeRequested:
		m.requestUpgrade(e.Cause)
	case SuccessorPrepared:
		if m.successor == successorSpawned {
			m.successor = successorHasCheckpoint
			m.emit(SendCheckpoint{})
		}
	case SuccessorTookOver:
		if m.successor != successorHasCheckpoint {
			break
		}
		m.successor = successorServing
		m.emit(YieldToSuccessor{})
		if m.pendingReload != "" { // the successor may have read the file before
			m.pendingReload = ""
			m.emit(ForwardReload{})
		}
	case SuccessorConfirmed:
		if m.successor == successorServing {
			m.successor = noSuccessor
			m.transition(Draining, "the successor has proved itself")
			m.emit(StartDrain{})
		}
	case SuccessorLost:
		m.successorLost(e.Err)
	case PredecessorEnded:
		if m.hasPredecessor = false; m.state == Ready {
			m.startPending()
		}
	case StopRequested:
		m.requestStop(e.Cause)
	case Finished:
		cause := "all has been let go"
		if e.Err != nil {
			cause = fmt.Sprintf("failed: %v", e.Err)
		}
		m.transition(Ended, cause)
	}
	return m.actions
}

// enterSteadyState goes to where the daemon is while it does nothing in particular, and on to a reload
// that waits.
func (m *Machine) enterSteadyState(cause string) {
	to := Warming
	if m.areServicesReady {
		to = Ready
	}
	was := m.state
	m.transition(to, cause)
	if to == Ready && was != Ready && was != HandingOver {
		m.emit(NotifySupervisor{NotifyReady})
	}
	m.startPending()
}

// startPending goes on to a reload or an upgrade that waits.
func (m *Machine) startPending() {
	if cause := m.pendingReload; cause != "" {
		m.pendingReload = ""
		m.requestReload(cause)
	} else if cause := m.pendingUpgrade; cause != "" && m.state == Ready && !m.hasPredecessor {
		m.pendingUpgrade = ""
		m.requestUpgrade(cause)
	}
}

func (m *Machine) requestUpgrade(cause string) {
	switch {
	case m.state == Ready && !m.hasPredecessor:
		m.transition(HandingOver, cause)
		m.successor = successorSpawned
		m.emit(SpawnSuccessor{})
	case m.state == Draining:
		m.transition(Draining, "no upgrade while draining: "+cause)
	case m.state == HandingOver:
		m.transition(HandingOver, "one upgrade at a time: "+cause)
	default: // it comes once the daemon is ready and alone
		m.pendingUpgrade = cause
	}
}

func (m *Machine) successorLost(err error) {
	if m.successor == noSuccessor {
		return
	}
	m.successor = noSuccessor
	m.emit(ResumeAlone{})
	m.enterSteadyState(fmt.Sprintf("goes on: the successor failed: %v", err))
}

func (m *Machine) requestStop(cause string) {
	if m.state == Draining {
		m.transition(Draining, "asked to stop again: "+cause)
		return
	}
	// A successor that takes clients is the daemon by now: it is asked for itself.
	abandon, goesOn := m.successor == successorSpawned || m.successor == successorHasCheckpoint, m.successor == successorServing
	m.successor, m.pendingReload, m.pendingUpgrade = noSuccessor, "", ""
	m.transition(Draining, cause)
	if abandon {
		m.emit(KillSuccessor{})
	}
	if !goesOn {
		m.emit(NotifySupervisor{NotifyStopping})
	}
	m.emit(StartDrain{})
}

func (m *Machine) requestReload(cause string) {
	switch m.state {
	case HandingOver:
		if m.successor == successorServing {
			m.emit(ForwardReload{})
			return
		}
		m.pendingReload = cause
	case Starting, Reloading:
		// However many come, one more reload sees what all of them asked for.
		m.pendingReload = cause
	case Draining:
		m.transition(Draining, "no reload while draining: "+cause)
	default:
		ready := m.state == Ready
		m.transition(Reloading, cause)
		if ready {
			m.emit(NotifySupervisor{NotifyReloading})
		}
		m.emit(StartReload{})
	}
}

func (m *Machine) finishReload(err error) {
	if m.state != Reloading {
		return
	}
	cause := "the new configuration is in force"
	if err != nil {
		cause = fmt.Sprintf("the old configuration stays: %v", err)
	}
	m.enterSteadyState(cause)
}

func (m *Machine) transition(to State, cause string) {
	m.emit(LogTransition{m.state, to, cause})
	m.state = to
}

func (m *Machine) emit(a ...Action) { m.actions = append(m.actions, a...) }
