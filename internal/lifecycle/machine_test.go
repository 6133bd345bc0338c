package lifecycle

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// formatActions returns actions in the notation of these tests.
func formatActions(actions []Action) string {
	var words []string
	for _, a := range actions {
		switch a := a.(type) {
		case LogTransition:
			words = append(words, fmt.Sprintf("%v>%v", a.From, a.To))
		case StartReload:
			words = append(words, "load")
		case StartDrain:
			words = append(words, "drain")
		case NotifySupervisor:
			words = append(words, []string{"READY", "RELOADING", "STOPPING"}[a.Notification])
		case SpawnSuccessor:
			words = append(words, "spawn")
		case SendCheckpoint:
			words = append(words, "give")
		case YieldToSuccessor:
			words = append(words, "yield")
		case ResumeAlone:
			words = append(words, "resume")
		case KillSuccessor:
			words = append(words, "abandon")
		case ForwardReload:
			words = append(words, "forward")
		default:
			words = append(words, fmt.Sprintf("unknown %T", a))
		}
	}
	return strings.Join(words, " ")
}

// step is an event and the expected actions, in the notation of formatActions.
type step struct {
	event Event
	want  string
}

var errBadFile = errors.New("bad file")

// readySteps lead from Starting to Ready.
var readySteps = []step{{Listening{}, "starting>warming"}, {ServicesReady{}, "warming>ready READY"}}

// stepsFromReady are sequences of steps that begin in Ready, by test name.
var stepsFromReady = map[string][]step{
	"reload and stop": {
		{ReloadRequested{"SIGHUP"}, "ready>reloading RELOADING load"},
		{ReloadFinished{}, "reloading>ready READY"},
		{StopRequested{"SIGTERM"}, "ready>draining STOPPING drain"},
		{Finished{}, "draining>ended"},
		{StopRequested{"SIGTERM"}, ""},
		{ReloadRequested{"SIGHUP"}, ""},
	},
	"failed reload": {
		{ReloadRequested{"SIGHUP"}, "ready>reloading RELOADING load"},
		{ReloadFinished{errBadFile}, "reloading>ready READY"},
	},
	"requests during a reload": {
		{ReloadRequested{"1"}, "ready>reloading RELOADING load"},
		{ReloadRequested{"2"}, ""},
		{ReloadRequested{"3"}, ""},
		{ReloadFinished{}, "reloading>ready READY ready>reloading RELOADING load"},
		{ReloadFinished{}, "reloading>ready READY"},
	},
	"stop during a reload": {
		{ReloadRequested{"1"}, "ready>reloading RELOADING load"},
		{StopRequested{"SIGTERM"}, "reloading>draining STOPPING drain"},
		{ReloadFinished{}, ""},
		{ReloadRequested{"2"}, "draining>draining"},
		{StopRequested{"again"}, "draining>draining"},
		{Finished{}, "draining>ended"},
	},
	"failure of the daemon": {{Finished{errBadFile}, "ready>ended"}},
	"successful upgrade": {
		{UpgradeRequested{"x"}, "ready>handing over spawn"},
		{SuccessorPrepared{}, "give"},
		{SuccessorTookOver{}, "yield"},
		{SuccessorConfirmed{}, "handing over>draining drain"},
		{SuccessorLost{errBadFile}, ""},
		{Finished{}, "draining>ended"},
	},
	"successor lost before the take-over": {
		{UpgradeRequested{"x"}, "ready>handing over spawn"},
		{SuccessorLost{errBadFile}, "resume handing over>ready"},
		{SuccessorPrepared{}, ""},
		{UpgradeRequested{"x"}, "ready>handing over spawn"},
		{SuccessorPrepared{}, "give"},
		{SuccessorLost{errBadFile}, "resume handing over>ready"},
	},
	"successor lost after the take-over": {
		{UpgradeRequested{"x"}, "ready>handing over spawn"},
		{SuccessorPrepared{}, "give"},
		{SuccessorTookOver{}, "yield"},
		{SuccessorLost{errBadFile}, "resume handing over>ready"},
		{ReloadRequested{"x"}, "ready>reloading RELOADING load"},
	},
	"stop before the take-over": {
		{UpgradeRequested{"x"}, "ready>handing over spawn"},
		{SuccessorPrepared{}, "give"},
		{StopRequested{"SIGTERM"}, "handing over>draining abandon STOPPING drain"},
		{SuccessorTookOver{}, ""},
		{SuccessorConfirmed{}, ""},
	},
	"stop after the take-over": {
		{UpgradeRequested{"x"}, "ready>handing over spawn"},
		{SuccessorPrepared{}, "give"},
		{SuccessorTookOver{}, "yield"},
		{StopRequested{"SIGTERM"}, "handing over>draining drain"},
		{SuccessorConfirmed{}, ""},
	},
	"reload while the successor starts": {
		{UpgradeRequested{"x"}, "ready>handing over spawn"},
		{ReloadRequested{"x"}, ""},
		{SuccessorPrepared{}, "give"},
		{SuccessorTookOver{}, "yield forward"},
		{ReloadRequested{"x"}, "forward"},
		{SuccessorConfirmed{}, "handing over>draining drain"},
	},
	"reload, then successor lost": {
		{UpgradeRequested{"x"}, "ready>handing over spawn"},
		{ReloadRequested{"x"}, ""},
		{SuccessorLost{errBadFile}, "resume handing over>ready ready>reloading RELOADING load"},
	},
	"upgrade during a reload": {
		{ReloadRequested{"x"}, "ready>reloading RELOADING load"},
		{UpgradeRequested{"x"}, ""},
		{ReloadFinished{}, "reloading>ready READY ready>handing over spawn"},
		{UpgradeRequested{"y"}, "handing over>handing over"},
	},
}

// checkSteps passes the events of steps to m and checks the actions.
func checkSteps(t *testing.T, m *Machine, steps []step) {
	t.Helper()
	for i, s := range steps {
		if got := formatActions(m.Handle(s.event)); got != s.want {
			t.Fatalf("step %d: %T: actions %q, want %q", i+1, s.event, got, s.want)
		}
	}
}

func TestMachineActions(t *testing.T) {
	for name, steps := range stepsFromReady {
		t.Run(name, func(t *testing.T) {
			checkSteps(t, new(Machine), append(slices.Clone(readySteps), steps...))
		})
	}
	t.Run("reload before listening", func(t *testing.T) {
		checkSteps(t, new(Machine), []step{
			{ReloadRequested{"early"}, ""},
			{ServicesReady{}, ""},
			{Listening{}, "starting>ready READY ready>reloading RELOADING load"},
			{ReloadFinished{}, "reloading>ready READY"},
		})
	})
	t.Run("reload while warming", func(t *testing.T) {
		checkSteps(t, new(Machine), []step{
			{Listening{}, "starting>warming"},
			{ReloadRequested{"1"}, "warming>reloading load"},
			{ServicesReady{}, ""},
			{ReloadFinished{}, "reloading>ready READY"},
		})
	})
	t.Run("stop while starting", func(t *testing.T) {
		checkSteps(t, new(Machine), []step{{StopRequested{"SIGTERM"}, "starting>draining STOPPING drain"}})
	})
}

// An upgrade of a successor is deferred until its predecessor has ended.
func TestUpgradeWaitsForPredecessorToEnd(t *testing.T) {
	m := NewSuccessor()
	checkSteps(t, &m, []step{
		{Listening{}, "starting>warming"},
		{ServicesReady{}, "warming>ready READY"},
		{UpgradeRequested{"x"}, ""},
		{PredecessorEnded{}, "ready>handing over spawn"},
	})
}

// modelState is a machine and the effects of its actions that determine which events may occur next.
type modelState struct {
	machine            Machine
	isReloading        bool
	successor          int // 0 no successor, 1 starting, 2 prepared, 3 has the checkpoint, 4 accepts connections on probation, 5 confirmed
	isDraining         bool
	areListenersPaused bool   // new connections are left to the successor
	hasSentCheckpoint  bool   // the successor has a fraction of the remaining quota
	lastNotification   string // the last one that was sent to the supervisor
}

// In every state that any order of events can reach: some process accepts connections until the drain; the quota of a
// checkpoint that was sent is reclaimed unless its receiver continues; the state is Reloading exactly while a reload runs;
// there is at most one drain; no action follows the end.
func TestInvariantsInEveryReachableState(t *testing.T) {
	initial := []modelState{{}, {machine: NewSuccessor()}}
	visited := make(map[string]bool)
	key := func(current modelState) string { current.machine.actions = nil; return fmt.Sprintf("%+v", current) }
	queue := slices.Clone(initial)
	for len(queue) > 0 {
		current := queue[0]
		queue = queue[1:]
		if visited[key(current)] {
			continue
		}
		visited[key(current)] = true
		events := []Event{Listening{}, ServicesReady{}, ReloadRequested{"x"}, UpgradeRequested{"x"}, StopRequested{"x"}, PredecessorEnded{}}
		if current.isReloading {
			events = append(events, ReloadFinished{}, ReloadFinished{errors.New("bad")})
		}
		switch current.successor {
		case 1:
			events = append(events, SuccessorPrepared{})
		case 3:
			events = append(events, SuccessorTookOver{})
		case 4:
			events = append(events, SuccessorConfirmed{})
		}
		if current.successor > 0 {
			events = append(events, SuccessorLost{errors.New("gone")})
		}
		if current.isDraining {
			events = append(events, Finished{})
		}
		for _, e := range events {
			if next, ok := current.apply(t, e); ok {
				queue = append(queue, next)
			}
		}
	}
	if len(visited) < 60 {
		t.Errorf("%d states visited, want at least 60", len(visited))
	}
}

// apply returns the state after an event, and false if the machine has ended. It fails the test if an invariant is violated.
func (m modelState) apply(t *testing.T, e Event) (modelState, bool) {
	t.Helper()
	before := m
	fail := func(format string, args ...any) {
		t.Helper()
		t.Fatalf("%T in %+v: %s", e, before, fmt.Sprintf(format, args...))
	}
	switch e.(type) {
	case ReloadFinished:
		m.isReloading = false
	case SuccessorPrepared, SuccessorTookOver:
		m.successor++
	case SuccessorConfirmed:
		m.successor = 5
	case SuccessorLost:
		m.successor = 0
	}
	m.machine.actions = nil
	hadEnded := m.machine.State() == Ended
	for _, a := range m.machine.Handle(e) {
		if hadEnded {
			fail("action after the end")
		}
		if violation := m.perform(a, before); violation != "" {
			fail("%s", violation)
		}
	}
	if violation := m.violatedInvariant(); violation != "" {
		fail("%s", violation)
	}
	return m, m.machine.State() != Ended
}

// perform updates the state by an action. It returns why the action is wrong in that state, or an empty string.
func (m *modelState) perform(a Action, before modelState) string {
	switch a := a.(type) {
	case StartReload:
		if m.isReloading || m.isDraining || m.successor > 0 {
			return "reload started while reloading, draining or upgrading"
		}
		m.isReloading = true
	case StartDrain:
		if m.isDraining {
			return "second drain"
		}
		m.isDraining = true
	case NotifySupervisor:
		m.lastNotification = []string{"READY", "RELOADING", "STOPPING"}[a.Notification]
		if before.lastNotification == "STOPPING" {
			return "notification after STOPPING: " + m.lastNotification
		}
	case LogTransition:
	default:
		return m.performSuccessorAction(a, before)
	}
	return ""
}

// performSuccessorAction is perform for the actions that concern a successor.
func (m *modelState) performSuccessorAction(a Action, before modelState) string {
	switch a.(type) {
	case SpawnSuccessor:
		if m.successor > 0 || m.isDraining || m.isReloading || before.machine.hasPredecessor && m.machine.hasPredecessor {
			return "successor started while another process exists, reloading or draining"
		}
		m.successor = 1
	case SendCheckpoint:
		if m.hasSentCheckpoint || m.successor != 2 {
			return "checkpoint sent to a successor that is not prepared, or a second time"
		}
		m.hasSentCheckpoint, m.successor = true, 3
	case YieldToSuccessor:
		if m.successor != 4 {
			return "yielded without a successor that accepts connections"
		}
		m.areListenersPaused = true
	case ResumeAlone:
		if m.successor != 0 {
			return "resumed while a successor runs"
		}
		m.areListenersPaused, m.hasSentCheckpoint = false, false
	case KillSuccessor:
		m.successor, m.hasSentCheckpoint = 0, false
	case ForwardReload:
		if m.successor != 4 {
			return "reload forwarded without a successor that accepts connections"
		}
	default:
		return fmt.Sprintf("unknown action %T", a)
	}
	return ""
}

// violatedInvariant returns which invariant is violated between two events, or an empty string.
func (m *modelState) violatedInvariant() string {
	state := m.machine.State()
	switch {
	case m.areListenersPaused && m.successor < 4 && !m.isDraining:
		return "no process accepts connections"
	case m.hasSentCheckpoint && m.successor < 3 && !m.isDraining:
		return "no process has the quota of the sent checkpoint"
	case state == Reloading != (m.isReloading && !m.isDraining) && state != Ended,
		m.lastNotification == "RELOADING" && !m.isReloading && !m.isDraining:
		return fmt.Sprintf("state %v while reloading is %v", state, m.isReloading)
	}
	return ""
}

// Under random events: at most one reload runs at a time; each reload request before the drain is followed by a reload
// that starts later; the supervisor is notified READY after each RELOADING unless it is notified STOPPING; there is at
// most one drain; no action follows the end.
func TestInvariantsOverRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r randomRun
		for range 60 {
			r.handleRandomEvent(t)
		}
		r.handle(t, Listening{})
		for range 3 {
			r.finishReload(t)
		}
		state := r.machine.State()
		if !r.isDraining && !r.hasEnded && (r.isReloadOutstanding || state == Reloading || r.lastNotification == "RELOADING") {
			t.Fatalf("state %v, reload outstanding %v, last notification %q", state, r.isReloadOutstanding, r.lastNotification)
		}
	})
}

// randomRun is a machine under random events and the effects of its actions.
type randomRun struct {
	machine             Machine
	isReloading         bool
	isDraining          bool
	isReloadOutstanding bool // a reload was requested, and none has started since
	hasEnded            bool
	lastNotification    string
}

func (r *randomRun) handleRandomEvent(t *rapid.T) {
	switch rapid.IntRange(0, 11).Draw(t, "event") {
	case 0:
		r.handle(t, Listening{})
	case 1, 2:
		r.handle(t, ServicesReady{})
	case 3, 4, 5:
		r.isReloadOutstanding = r.isReloadOutstanding || !r.isDraining && !r.hasEnded
		r.handle(t, ReloadRequested{"x"})
	case 6, 7, 8, 9:
		r.finishReload(t)
	case 10:
		if rapid.IntRange(0, 4).Draw(t, "stops") == 0 {
			r.handle(t, StopRequested{"x"})
		}
	case 11:
		if r.isDraining && rapid.IntRange(0, 2).Draw(t, "ends") == 0 {
			r.handle(t, Finished{})
		}
	}
}

// finishReload ends the running reload, if any.
func (r *randomRun) finishReload(t *rapid.T) {
	if r.isReloading {
		r.isReloading = false
		r.handle(t, ReloadFinished{})
	}
}

// handle passes an event to the machine and checks its actions.
func (r *randomRun) handle(t *rapid.T, e Event) {
	actions := r.machine.Handle(e)
	if r.hasEnded && len(actions) > 0 {
		t.Fatalf("actions %q after the end", formatActions(actions))
	}
	for _, a := range actions {
		switch a := a.(type) {
		case StartReload:
			if r.isReloading || r.isDraining {
				t.Fatalf("reload started while reloading %v, draining %v", r.isReloading, r.isDraining)
			}
			r.isReloading, r.isReloadOutstanding = true, false
		case StartDrain:
			if r.isDraining {
				t.Fatalf("second drain")
			}
			r.isDraining = true
		case NotifySupervisor:
			r.notify(t, formatActions([]Action{a}))
		case LogTransition:
			r.hasEnded = r.hasEnded || a.To == Ended
		}
	}
}

// notify checks the order of notifications.
func (r *randomRun) notify(t *rapid.T, notification string) {
	last := r.lastNotification
	if last == "STOPPING" || last == "RELOADING" && notification == "RELOADING" || last == "" && notification == "RELOADING" {
		t.Fatalf("notification %s after %q", notification, last)
	}
	r.lastNotification = notification
}
