// Package life is the life cycle of a daemon as a state machine: it is fed what happens and
// returns what is to be done. It does no I/O and knows no time.
//
//	starting -> warming -> ready <-> reloading
//	    any of them -> draining -> ended
//
// A node that was ready stays so while it reloads: it goes on serving by the old configuration
// until the new one is in force.
package life

import "fmt"

// State is where in its life a daemon is.
type State int

// The states.
const (
	Starting  State = iota // not listening yet
	Warming                // listening; some required service can't serve yet
	Ready                  // every required service can serve
	Reloading              // a configuration is being read and put in force
	Draining               // lets go of its clients
	Ended
)

func (s State) String() string {
	return [...]string{"starting", "warming", "ready", "reloading", "draining", "ended"}[s]
}

// Event is something that happened.
type Event interface{ isEvent() }

// Listening: clients can connect.
type Listening struct{}

// Serves: every required service has been able to serve.
type Serves struct{}

// Reload: somebody asks for the configuration to be read again.
type Reload struct{ Cause string }

// Reloaded: a reload that was begun has ended; Err is nil where it is in force.
type Reloaded struct{ Err error }

// Stop: somebody asks for the end.
type Stop struct{ Cause string }

// Done: all has been let go, or, with Err, the daemon failed.
type Done struct{ Err error }

func (Listening) isEvent() {}
func (Serves) isEvent()    {}
func (Reload) isEvent()    {}
func (Reloaded) isEvent()  {}
func (Stop) isEvent()      {}
func (Done) isEvent()      {}

// Action is something to be done.
type Action interface{ isAction() }

// Log tells of a transition and its cause, or, where both states are the same, of something
// that was asked for in vain.
type Log struct {
	From, To State
	Cause    string
}

// Load begins a reload. Its end is owed as a Reloaded; none begins before.
type Load struct{}

// Drain begins the drain. Its end is owed as a Done.
type Drain struct{}

// Tell tells who supervises the daemon.
type Tell struct{ What Told }

// Told is what a supervisor can be told.
type Told int

// What can be told.
const (
	TellReady     Told = iota // it serves, also again after TellReloading
	TellReloading             // a reload has begun
	TellStopping
)

func (Log) isAction()   {}
func (Load) isAction()  {}
func (Drain) isAction() {}
func (Tell) isAction()  {}

// Machine is the life of one daemon, from Starting on. It is not safe for concurrent use; its
// zero value is ready.
type Machine struct {
	state   State
	serves  bool   // every required service has been able to serve
	loading bool   // a Load is not answered yet
	again   string // cause of a reload that waits for its turn; "" is none
	out     []Action
}

// State is where the daemon is.
func (m *Machine) State() State { return m.state }

// Handle takes an event and returns what is to be done, in order. The slice holds until the
// next call.
func (m *Machine) Handle(e Event) []Action {
	m.out = m.out[:0]
	if m.state == Ended {
		return nil
	}
	switch e := e.(type) {
	case Listening:
		if m.state == Starting {
			m.rest("listening")
		}
	case Serves:
		if m.serves = true; m.state == Warming {
			m.rest("every required service can serve")
		}
	case Reload:
		m.reload(e.Cause)
	case Reloaded:
		m.reloaded(e.Err)
	case Stop:
		if m.state == Draining {
			m.say(Draining, "asked to stop again: "+e.Cause)
			break
		}
		m.say(Draining, e.Cause)
		m.do(Tell{TellStopping}, Drain{})
	case Done:
		cause := "all has been let go"
		if e.Err != nil {
			cause = fmt.Sprintf("failed: %v", e.Err)
		}
		m.say(Ended, cause)
	}
	return m.out
}

// rest goes to where the daemon is while it does nothing in particular, and on to a reload
// that waits.
func (m *Machine) rest(cause string) {
	to := Warming
	if m.serves {
		to = Ready
	}
	was := m.state
	m.say(to, cause)
	if to == Ready && was != Ready {
		m.do(Tell{TellReady})
	}
	if cause := m.again; cause != "" {
		m.again = ""
		m.reload(cause)
	}
}

func (m *Machine) reload(cause string) {
	switch m.state {
	case Starting, Reloading:
		// However many come, one more reload sees what all of them asked for.
		m.again = cause
	case Draining:
		m.say(Draining, "no reload while draining: "+cause)
	default:
		ready := m.state == Ready
		m.say(Reloading, cause)
		if ready {
			m.do(Tell{TellReloading})
		}
		m.do(Load{})
	}
}

func (m *Machine) reloaded(err error) {
	if m.state != Reloading {
		return
	}
	cause := "the new configuration is in force"
	if err != nil {
		cause = fmt.Sprintf("the old configuration stays: %v", err)
	}
	m.rest(cause)
}

func (m *Machine) say(to State, cause string) {
	m.do(Log{m.state, to, cause})
	m.state = to
}

func (m *Machine) do(a ...Action) { m.out = append(m.out, a...) }
