// Package lifecycle implements the lifecycle of a daemon as a state machine: Machine.Handle takes an event and returns the
// resulting actions. It does no I/O and has no clock. Package daemon passes it events and performs the actions.
//
//	starting -> warming -> ready <-> reloading
//	                       ready <-> handing over -> draining
//	    any of them -> draining -> ended
//
// A daemon that was ready continues to serve by the old configuration while it reloads. It also serves while it hands
// over to a successor process. If it loses the successor before the end of the probation, it continues as before.
package lifecycle

import "fmt"

// State is a state of the daemon's lifecycle.
type State int

// The states.
const (
	Starting    State = iota // not listening yet
	Warming                  // listening; at least one required service can't serve yet
	Ready                    // every required service can serve
	Reloading                // a configuration is being loaded and applied
	HandingOver              // a successor starts, takes over and is on probation
	Draining                 // completing the requests in flight
	Ended
)

// String returns the state as the daemon's status and log show it.
func (s State) String() string {
	return [...]string{"starting", "warming", "ready", "reloading", "handing over", "draining", "ended"}[s]
}

// Machine is the state machine of one daemon, beginning in Starting. Its zero value is the machine of a daemon without a
// predecessor. It is not safe for concurrent use.
type Machine struct {
	state            State
	areServicesReady bool           // every required service has been able to serve
	pendingReload    string         // cause of a deferred reload; empty for none
	pendingUpgrade   string         // cause of a deferred upgrade; empty for none
	hasPredecessor   bool           // whether the process that this one replaces still runs
	successor        successorPhase // noSuccessor unless HandingOver
	actions          []Action       // result of the current call of Handle
}

// successorPhase is the progress of a successor.
type successorPhase int

const (
	noSuccessor successorPhase = iota
	successorSpawned
	successorHasCheckpoint
	successorServing
)

// NewSuccessor returns the machine of a process that replaces a predecessor. It defers upgrades until PredecessorEnded, so
// that the remaining quota is never divided among three processes.
func NewSuccessor() Machine { return Machine{hasPredecessor: true} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Handle processes an event and returns the resulting actions in order. The slice is valid until the next call.
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
		m.areServicesReady = true
		if m.state == Warming {
			m.enterSteadyState("every required service can serve")
		}
	case ReloadRequested:
		m.requestReload(e.Cause)
	case ReloadFinished:
		m.finishReload(e.Err)
	case UpgradeRequested:
		m.requestUpgrade(e.Cause)
	case SuccessorPrepared:
		m.successorPrepared()
	case SuccessorTookOver:
		m.successorTookOver()
	case SuccessorConfirmed:
		m.successorConfirmed()
	case SuccessorLost:
		m.successorLost(e.Err)
	case PredecessorEnded:
		m.hasPredecessor = false
		if m.state == Ready {
			m.startPending()
		}
	case StopRequested:
		m.requestStop(e.Cause)
	case Finished:
		m.finish(e.Err)
	}
	return m.actions
}

// enterSteadyState enters Warming or Ready and starts a pending reload or upgrade.
func (m *Machine) enterSteadyState(cause string) {
	next := Warming
	if m.areServicesReady {
		next = Ready
	}
	previous := m.state
	m.transition(next, cause)
	if next == Ready && previous != HandingOver {
		m.emit(NotifySupervisor{NotifyReady})
	}
	m.startPending()
}

// startPending starts a pending reload, or else a pending upgrade.
func (m *Machine) startPending() {
	if cause := m.pendingReload; cause != "" {
		m.pendingReload = ""
		m.requestReload(cause)
		return
	}
	if cause := m.pendingUpgrade; cause != "" && m.canUpgrade() {
		m.pendingUpgrade = ""
		m.requestUpgrade(cause)
	}
}

func (m *Machine) canUpgrade() bool { return m.state == Ready && !m.hasPredecessor }

func (m *Machine) requestUpgrade(cause string) {
	switch {
	case m.canUpgrade():
		m.transition(HandingOver, cause)
		m.successor = successorSpawned
		m.emit(SpawnSuccessor{})
	case m.state == Draining:
		m.transition(Draining, "no upgrade while draining: "+cause)
	case m.state == HandingOver:
		m.transition(HandingOver, "one upgrade at a time: "+cause)
	default:
		m.pendingUpgrade = cause
	}
}

func (m *Machine) successorPrepared() {
	if m.successor != successorSpawned {
		return
	}
	m.successor = successorHasCheckpoint
	m.emit(SendCheckpoint{})
}

func (m *Machine) successorTookOver() {
	if m.successor != successorHasCheckpoint {
		return
	}
	m.successor = successorServing
	m.emit(YieldToSuccessor{})
	if m.pendingReload != "" { // the successor may have loaded the configuration before the request
		m.pendingReload = ""
		m.emit(ForwardReload{})
	}
}

func (m *Machine) successorConfirmed() {
	if m.successor != successorServing {
		return
	}
	m.successor = noSuccessor
	m.transition(Draining, "the successor's probation has ended")
	m.emit(StartDrain{})
}

func (m *Machine) successorLost(err error) {
	if m.successor == noSuccessor {
		return
	}
	m.successor = noSuccessor
	m.emit(ResumeAlone{})
	m.enterSteadyState(fmt.Sprintf("goes on: the successor failed: %v", err))
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
		// A single further reload serves all requests that arrive until it starts.
		m.pendingReload = cause
	case Draining:
		m.transition(Draining, "no reload while draining: "+cause)
	default:
		wasReady := m.state == Ready
		m.transition(Reloading, cause)
		if wasReady {
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

func (m *Machine) requestStop(cause string) {
	if m.state == Draining {
		m.transition(Draining, "stop requested again: "+cause)
		return
	}
	// A serving successor has replaced this process as the daemon, so only this process ends: the successor is not killed
	// and the supervisor is not notified.
	isSuccessorServing := m.successor == successorServing
	isSuccessorStarting := m.successor != noSuccessor && !isSuccessorServing
	m.successor = noSuccessor
	m.pendingReload = ""
	m.pendingUpgrade = ""
	m.transition(Draining, cause)
	if isSuccessorStarting {
		m.emit(KillSuccessor{})
	}
	if !isSuccessorServing {
		m.emit(NotifySupervisor{NotifyStopping})
	}
	m.emit(StartDrain{})
}

func (m *Machine) finish(err error) {
	cause := "drained"
	if err != nil {
		cause = fmt.Sprintf("failed: %v", err)
	}
	m.transition(Ended, cause)
}

// transition enters a state, possibly the current one, and emits LogTransition.
func (m *Machine) transition(next State, cause string) {
	m.emit(LogTransition{m.state, next, cause})
	m.state = next
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }
