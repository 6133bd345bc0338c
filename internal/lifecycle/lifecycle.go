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

// Listening: clients can connect.
type Listening struct{}

// Serves: every required service has been able to serve.
type Serves struct{}

// Reload: somebody asks for the configuration to be read again.
type Reload struct{ Cause string }

// Reloaded: a reload that was begun has ended; Err is nil where it is in force.
type Reloaded struct{ Err error }

// Upgrade: somebody asks for a new process to take this one's place.
type Upgrade struct{ Cause string }

// Prepared: the successor could serve, and waits for what was spent and learned.
type Prepared struct{}

// Took: the successor takes clients.
type Took struct{}

// Settled: the successor has taken clients for as long as its probation lasts.
type Settled struct{}

// Lost: the successor has ended or took too long.
type Lost struct{ Err error }

// Alone: the process whose place this one took has ended.
type Alone struct{}

// Stop: somebody asks for the end.
type Stop struct{ Cause string }

// Done: all has been let go, or, with Err, the daemon failed.
type Done struct{ Err error }

func (Listening) isEvent() {}
func (Serves) isEvent()    {}
func (Reload) isEvent()    {}
func (Reloaded) isEvent()  {}
func (Upgrade) isEvent()   {}
func (Prepared) isEvent()  {}
func (Took) isEvent()      {}
func (Settled) isEvent()   {}
func (Lost) isEvent()      {}
func (Alone) isEvent()     {}
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

// Spawn starts a successor. Its fate is owed: Prepared, Took and Settled in this order, or Lost
// instead of one of them.
type Spawn struct{}

// Give gives the successor its part of what is left to spend.
type Give struct{}

// Yield leaves new connections to the successor, which takes them too.
type Yield struct{}

// Resume goes on without the successor: takes back what it was given and, where it has Yielded,
// new connections.
type Resume struct{}

// Abandon ends the successor; nothing of it is owed any more.
type Abandon struct{}

// Forward has the successor reload: whoever asked this process means the one that goes on.
type Forward struct{}

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

func (Log) isAction()     {}
func (Load) isAction()    {}
func (Spawn) isAction()   {}
func (Give) isAction()    {}
func (Yield) isAction()   {}
func (Resume) isAction()  {}
func (Abandon) isAction() {}
func (Forward) isAction() {}
func (Drain) isAction()   {}
func (Tell) isAction()    {}

// Machine is the life of one daemon, from Starting on. It is not safe for concurrent use; its
// zero value is ready.
type Machine struct {
	state   State
	serves  bool   // every required service has been able to serve
	again   string // cause of a reload that waits for its turn; "" is none
	upgrade string // the same of an upgrade
	beside  bool   // the process whose place this one took goes on yet
	phase   phase  // of a successor
	out     []Action
}

// phase is how far a successor has come.
type phase int

const (
	none phase = iota
	spawned
	given
	took
)

// Succeed makes the life of a process that takes another's place: it is upgraded itself only once
// it is Alone. Guards against what is left to spend divided among three.
func Succeed() Machine { return Machine{beside: true} }

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
	case Upgrade:
		m.askUpgrade(e.Cause)
	case Prepared:
		if m.phase == spawned {
			m.phase = given
			m.do(Give{})
		}
	case Took:
		if m.phase != given {
			break
		}
		m.phase = took
		m.do(Yield{})
		if m.again != "" { // the successor may have read the file before
			m.again = ""
			m.do(Forward{})
		}
	case Settled:
		if m.phase == took {
			m.phase = none
			m.say(Draining, "the successor has proved itself")
			m.do(Drain{})
		}
	case Lost:
		m.lost(e.Err)
	case Alone:
		if m.beside = false; m.state == Ready {
			m.turn()
		}
	case Stop:
		m.stop(e.Cause)
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
	if to == Ready && was != Ready && was != HandingOver {
		m.do(Tell{TellReady})
	}
	m.turn()
}

// turn goes on to a reload or an upgrade that waits.
func (m *Machine) turn() {
	if cause := m.again; cause != "" {
		m.again = ""
		m.reload(cause)
	} else if cause := m.upgrade; cause != "" && m.state == Ready && !m.beside {
		m.upgrade = ""
		m.askUpgrade(cause)
	}
}

func (m *Machine) askUpgrade(cause string) {
	switch {
	case m.state == Ready && !m.beside:
		m.say(HandingOver, cause)
		m.phase = spawned
		m.do(Spawn{})
	case m.state == Draining:
		m.say(Draining, "no upgrade while draining: "+cause)
	case m.state == HandingOver:
		m.say(HandingOver, "one upgrade at a time: "+cause)
	default: // it comes once the daemon is ready and alone
		m.upgrade = cause
	}
}

func (m *Machine) lost(err error) {
	if m.phase == none {
		return
	}
	m.phase = none
	m.do(Resume{})
	m.rest(fmt.Sprintf("goes on: the successor failed: %v", err))
}

func (m *Machine) stop(cause string) {
	if m.state == Draining {
		m.say(Draining, "asked to stop again: "+cause)
		return
	}
	// A successor that takes clients is the daemon by now: it is asked for itself.
	abandon, goesOn := m.phase == spawned || m.phase == given, m.phase == took
	m.phase, m.again, m.upgrade = none, "", ""
	m.say(Draining, cause)
	if abandon {
		m.do(Abandon{})
	}
	if !goesOn {
		m.do(Tell{TellStopping})
	}
	m.do(Drain{})
}

func (m *Machine) reload(cause string) {
	switch m.state {
	case HandingOver:
		if m.phase == took {
			m.do(Forward{})
			return
		}
		m.again = cause
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
