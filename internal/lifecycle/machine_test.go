package lifecycle

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// actionWords returns actions as these tests write them.
func actionWords(actions []Action) string {
	var w []string
	for _, a := range actions {
		switch a := a.(type) {
		case LogTransition:
			w = append(w, fmt.Sprintf("%v>%v", a.From, a.To))
		case StartReload:
			w = append(w, "load")
		case StartDrain:
			w = append(w, "drain")
		case NotifySupervisor:
			w = append(w, []string{"READY", "RELOADING", "STOPPING"}[a.Notification])
		case SpawnSuccessor:
			w = append(w, "spawn")
		case SendCheckpoint:
			w = append(w, "give")
		case YieldToSuccessor:
			w = append(w, "yield")
		case ResumeAlone:
			w = append(w, "resume")
		case KillSuccessor:
			w = append(w, "abandon")
		case ForwardReload:
			w = append(w, "forward")
		default:
			w = append(w, fmt.Sprintf("unknown %T", a))
		}
	}
	return strings.Join(w, " ")
}

// step is an event and the actions that follow from it.
type step struct {
	event Event
	want  string
}

var errBadFile = errors.New("bad file")

// readySteps lead to Ready.
var readySteps = []step{{Listening{}, "starting>warming"}, {ServicesReady{}, "warming>ready READY"}}

// stepsFromReady are sequences of events that start in Ready.
var stepsFromReady = map[string][]step{
	"an ordinary life": {
		{ReloadRequested{"SIGHUP"}, "ready>reloading RELOADING load"},
		{ReloadFinished{}, "reloading>ready READY"},
		{StopRequested{"SIGTERM"}, "ready>draining STOPPING drain"},
		{Finished{}, "draining>ended"},
		{StopRequested{"SIGTERM"}, ""},
		{ReloadRequested{"SIGHUP"}, ""},
	},
	"a bad file": {
		{ReloadRequested{"SIGHUP"}, "ready>reloading RELOADING load"},
		{ReloadFinished{errBadFile}, "reloading>ready READY"},
	},
	"many reloads": {
		{ReloadRequested{"1"}, "ready>reloading RELOADING load"},
		{ReloadRequested{"2"}, ""},
		{ReloadRequested{"3"}, ""},
		{ReloadFinished{}, "reloading>ready READY ready>reloading RELOADING load"},
		{ReloadFinished{}, "reloading>ready READY"},
	},
	"stop in a reload": {
		{ReloadRequested{"1"}, "ready>reloading RELOADING load"},
		{StopRequested{"SIGTERM"}, "reloading>draining STOPPING drain"},
		{ReloadFinished{}, ""},
		{ReloadRequested{"2"}, "draining>draining"},
		{StopRequested{"again"}, "draining>draining"},
		{Finished{}, "draining>ended"},
	},
	"a failure": {{Finished{errBadFile}, "ready>ended"}},
	"an upgrade": {
		{UpgradeRequested{"x"}, "ready>handing over spawn"},
		{SuccessorPrepared{}, "give"},
		{SuccessorTookOver{}, "yield"},
		{SuccessorConfirmed{}, "handing over>draining drain"},
		{SuccessorLost{errBadFile}, ""},
		{Finished{}, "draining>ended"},
	},
	"a successor that can't": {
		{UpgradeRequested{"x"}, "ready>handing over spawn"},
		{SuccessorLost{errBadFile}, "resume handing over>ready"},
		{SuccessorPrepared{}, ""},
		{UpgradeRequested{"x"}, "ready>handing over spawn"},
		{SuccessorPrepared{}, "give"},
		{SuccessorLost{errBadFile}, "resume handing over>ready"},
	},
	"ready, then it panics": {
		{UpgradeRequested{"x"}, "ready>handing over spawn"},
		{SuccessorPrepared{}, "give"},
		{SuccessorTookOver{}, "yield"},
		{SuccessorLost{errBadFile}, "resume handing over>ready"},
		{ReloadRequested{"x"}, "ready>reloading RELOADING load"},
	},
	"stop before it took over": {
		{UpgradeRequested{"x"}, "ready>handing over spawn"},
		{SuccessorPrepared{}, "give"},
		{StopRequested{"SIGTERM"}, "handing over>draining abandon STOPPING drain"},
		{SuccessorTookOver{}, ""},
		{SuccessorConfirmed{}, ""},
	},
	"stop after it took over": {
		{UpgradeRequested{"x"}, "ready>handing over spawn"},
		{SuccessorPrepared{}, "give"},
		{SuccessorTookOver{}, "yield"},
		{StopRequested{"SIGTERM"}, "handing over>draining drain"},
		{SuccessorConfirmed{}, ""},
	},
	"reload while it starts": {
		{UpgradeRequested{"x"}, "ready>handing over spawn"},
		{ReloadRequested{"x"}, ""},
		{SuccessorPrepared{}, "give"},
		{SuccessorTookOver{}, "yield forward"},
		{ReloadRequested{"x"}, "forward"},
		{SuccessorConfirmed{}, "handing over>draining drain"},
	},
	"reload, and it fails": {
		{UpgradeRequested{"x"}, "ready>handing over spawn"},
		{ReloadRequested{"x"}, ""},
		{SuccessorLost{errBadFile}, "resume handing over>ready ready>reloading RELOADING load"},
	},
	"upgrade in a reload": {
		{ReloadRequested{"x"}, "ready>reloading RELOADING load"},
		{UpgradeRequested{"x"}, ""},
		{ReloadFinished{}, "reloading>ready READY ready>handing over spawn"},
		{UpgradeRequested{"y"}, "handing over>handing over"},
	},
}

// checkSteps has m handle the events of steps and checks the actions.
func checkSteps(t *testing.T, m *Machine, steps []step) {
	t.Helper()
	for i, s := range steps {
		if got := actionWords(m.Handle(s.event)); got != s.want {
			t.Fatalf("step %d: %T: %q, not %q", i+1, s.event, got, s.want)
		}
	}
}

func TestMachineActions(t *testing.T) {
	for name, steps := range stepsFromReady {
		t.Run(name, func(t *testing.T) {
			checkSteps(t, new(Machine), append(slices.Clone(readySteps), steps...))
		})
	}
	t.Run("reload before it listens", func(t *testing.T) {
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

// A successor that is to be upgraded itself waits until its predecessor has ended.
func TestUpgradeWaitsForPredecessorToEnd(t *testing.T) {
	m := NewSuccessor()
	checkSteps(t, &m, []step{
		{Listening{}, "starting>warming"},
		{ServicesReady{}, "warming>ready READY"},
		{UpgradeRequested{"x"}, ""},
		{PredecessorEnded{}, "ready>handing over spawn"},
	})
}

// environment is a machine and what its actions have led to, as far as that decides which events may come.
type environment struct {
	machine           Machine
	isReloading       bool
	successor         int // 0 no successor, 1 starts, 2 prepared, 3 was given, 4 takes clients, 5 takes them alone
	isDraining        bool
	isPaused          bool   // new connections are the successor's
	hasSentCheckpoint bool   // the successor has a part of what is left
	lastNotification  string // what the supervisor heard last
}

// In every state that any order of events can reach: some process accepts connections until the drain; a checkpoint
// that was sent is taken back or its receiver goes on; each reload is followed by its end; there is one drain;
// nothing follows the end.
func TestInvariantsInEveryReachableState(t *testing.T) {
	first := []environment{{}, {machine: NewSuccessor()}}
	visited := make(map[string]bool)
	key := func(w environment) string { w.machine.actions = nil; return fmt.Sprintf("%+v", w) }
	todo := slices.Clone(first)
	for len(todo) > 0 {
		w := todo[0]
		todo = todo[1:]
		if visited[key(w)] {
			continue
		}
		visited[key(w)] = true
		events := []Event{Listening{}, ServicesReady{}, ReloadRequested{"x"}, UpgradeRequested{"x"}, StopRequested{"x"}, PredecessorEnded{}}
		if w.isReloading {
			events = append(events, ReloadFinished{}, ReloadFinished{errors.New("bad")})
		}
		switch w.successor {
		case 1:
			events = append(events, SuccessorPrepared{})
		case 3:
			events = append(events, SuccessorTookOver{})
		case 4:
			events = append(events, SuccessorConfirmed{})
		}
		if w.successor > 0 {
			events = append(events, SuccessorLost{errors.New("gone")})
		}
		if w.isDraining {
			events = append(events, Finished{})
		}
		for _, e := range events {
			if n, ok := w.apply(t, e); ok {
				todo = append(todo, n)
			}
		}
	}
	if len(visited) < 60 {
		t.Errorf("only %d states", len(visited))
	}
}

// apply returns the environment after an event; false where the machine has ended.
func (w environment) apply(t *testing.T, e Event) (environment, bool) {
	t.Helper()
	before := w
	fail := func(format string, args ...any) {
		t.Helper()
		t.Fatalf("%T in %+v: %s", e, before, fmt.Sprintf(format, args...))
	}
	switch e.(type) {
	case ReloadFinished:
		w.isReloading = false
	case SuccessorPrepared, SuccessorTookOver:
		w.successor++
	case SuccessorConfirmed:
		w.successor = 5
	case SuccessorLost:
		w.successor = 0
	}
	w.machine.actions = nil
	hadEnded := w.machine.State() == Ended
	for _, a := range w.machine.Handle(e) {
		if hadEnded {
			fail("an action after the end")
		}
		if broken := w.perform(a, before); broken != "" {
			fail("%s", broken)
		}
	}
	if broken := w.brokenInvariant(); broken != "" {
		fail("%s", broken)
	}
	return w, w.machine.State() != Ended
}

// perform updates the environment by an action. It returns why the action is wrong there, or nothing.
func (w *environment) perform(a Action, before environment) string {
	switch a := a.(type) {
	case StartReload:
		if w.isReloading || w.isDraining || w.successor > 0 {
			return "a reload"
		}
		w.isReloading = true
	case StartDrain:
		if w.isDraining {
			return "drained twice"
		}
		w.isDraining = true
	case NotifySupervisor:
		w.lastNotification = []string{"READY", "RELOADING", "STOPPING"}[a.Notification]
		if before.lastNotification == "STOPPING" {
			return "notified " + w.lastNotification
		}
	case LogTransition:
	default:
		return w.performOnSuccessor(a, before)
	}
	return ""
}

// performOnSuccessor is perform of the actions that concern a successor.
func (w *environment) performOnSuccessor(a Action, before environment) string {
	switch a.(type) {
	case SpawnSuccessor:
		if w.successor > 0 || w.isDraining || w.isReloading || before.machine.hasPredecessor && w.machine.hasPredecessor {
			return "a successor"
		}
		w.successor = 1
	case SendCheckpoint:
		if w.hasSentCheckpoint || w.successor != 2 {
			return "sent a checkpoint twice"
		}
		w.hasSentCheckpoint, w.successor = true, 3
	case YieldToSuccessor:
		if w.successor != 4 {
			return "yielded to nobody"
		}
		w.isPaused = true
	case ResumeAlone:
		if w.successor != 0 {
			return "resumed beside a successor"
		}
		w.isPaused, w.hasSentCheckpoint = false, false
	case KillSuccessor:
		w.successor, w.hasSentCheckpoint = 0, false
	case ForwardReload:
		if w.successor != 4 {
			return "nobody to reload"
		}
	default:
		return fmt.Sprintf("unknown action %T", a)
	}
	return ""
}

// brokenInvariant returns what does not hold between two events, or nothing.
func (w *environment) brokenInvariant() string {
	state := w.machine.State()
	switch {
	case w.isPaused && w.successor < 4 && !w.isDraining:
		return "nobody takes connections"
	case w.hasSentCheckpoint && w.successor < 3 && !w.isDraining:
		return "a part of what is left is nobody's"
	case state == Reloading != (w.isReloading && !w.isDraining) && state != Ended,
		w.lastNotification == "RELOADING" && !w.isReloading && !w.isDraining:
		return fmt.Sprintf("%v while reloading %v", state, w.isReloading)
	}
	return ""
}

// Over random events: one reload runs at a time, each request before the drain is followed by a reload that starts
// later; a supervisor is notified READY after each RELOADING unless it is notified STOPPING; there is one drain;
// nothing follows the end.
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
		if !r.isDraining && !r.hasEnded && (r.isReloadOwed || state == Reloading || r.lastNotification == "RELOADING") {
			t.Fatalf("in %v, a reload owed %v, notified %q", state, r.isReloadOwed, r.lastNotification)
		}
	})
}

// randomRun is a machine under random events and what its actions have led to.
type randomRun struct {
	machine          Machine
	isReloading      bool
	isDraining       bool
	isReloadOwed     bool // requested, and none has started since
	hasEnded         bool
	lastNotification string
}

func (r *randomRun) handleRandomEvent(t *rapid.T) {
	switch rapid.IntRange(0, 11).Draw(t, "event") {
	case 0:
		r.handle(t, Listening{})
	case 1, 2:
		r.handle(t, ServicesReady{})
	case 3, 4, 5:
		r.isReloadOwed = r.isReloadOwed || !r.isDraining && !r.hasEnded
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

// finishReload ends the reload that runs, if any.
func (r *randomRun) finishReload(t *rapid.T) {
	if r.isReloading {
		r.isReloading = false
		r.handle(t, ReloadFinished{})
	}
}

// handle has the machine handle an event and checks its actions.
func (r *randomRun) handle(t *rapid.T, e Event) {
	actions := r.machine.Handle(e)
	if r.hasEnded && len(actions) > 0 {
		t.Fatalf("%q after the end", actionWords(actions))
	}
	for _, a := range actions {
		switch a := a.(type) {
		case StartReload:
			if r.isReloading || r.isDraining {
				t.Fatalf("a reload while reloading %v, draining %v", r.isReloading, r.isDraining)
			}
			r.isReloading, r.isReloadOwed = true, false
		case StartDrain:
			if r.isDraining {
				t.Fatalf("drained twice")
			}
			r.isDraining = true
		case NotifySupervisor:
			r.notify(t, actionWords([]Action{a}))
		case LogTransition:
			r.hasEnded = r.hasEnded || a.To == Ended
		}
	}
}

// notify checks the order of notifications.
func (r *randomRun) notify(t *rapid.T, next string) {
	last := r.lastNotification
	if last == "STOPPING" || last == "RELOADING" && next == "RELOADING" || last == "" && next == "RELOADING" {
		t.Fatalf("%s after %q", next, last)
	}
	r.lastNotification = next
}
