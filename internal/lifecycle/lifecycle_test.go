package lifecycle

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// words are actions as a test writes them.
func words(actions []Action) string {
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

func TestMachine(t *testing.T) {
	bad := errors.New("bad file")
	type step struct {
		e    Event
		want string
	}
	up := []step{{Listening{}, "starting>warming"}, {ServicesReady{}, "warming>ready READY"}}
	for name, steps := range map[string][]step{
		"an ordinary life": {
			{ReloadRequested{"SIGHUP"}, "ready>reloading RELOADING load"},
			{ReloadFinished{}, "reloading>ready READY"},
			{StopRequested{"SIGTERM"}, "ready>draining STOPPING drain"},
			{Finished{}, "draining>ended"},
			{StopRequested{"SIGTERM"}, ""},
			{ReloadRequested{"SIGHUP"}, ""},
		},
		"a bad file":   {{ReloadRequested{"SIGHUP"}, "ready>reloading RELOADING load"}, {ReloadFinished{bad}, "reloading>ready READY"}},
		"many reloads": {{ReloadRequested{"1"}, "ready>reloading RELOADING load"}, {ReloadRequested{"2"}, ""}, {ReloadRequested{"3"}, ""}, {ReloadFinished{}, "reloading>ready READY ready>reloading RELOADING load"}, {ReloadFinished{}, "reloading>ready READY"}},
		"stop in a reload": {
			{ReloadRequested{"1"}, "ready>reloading RELOADING load"},
			{StopRequested{"SIGTERM"}, "reloading>draining STOPPING drain"},
			{ReloadFinished{}, ""},
			{ReloadRequested{"2"}, "draining>draining"},
			{StopRequested{"again"}, "draining>draining"},
			{Finished{}, "draining>ended"},
		},
		"a failure": {{Finished{bad}, "ready>ended"}},
		"an upgrade": {
			{UpgradeRequested{"x"}, "ready>handing over spawn"},
			{SuccessorPrepared{}, "give"},
			{SuccessorTookOver{}, "yield"},
			{SuccessorConfirmed{}, "handing over>draining drain"},
			{SuccessorLost{bad}, ""},
			{Finished{}, "draining>ended"},
		},
		"a successor that can't": {
			{UpgradeRequested{"x"}, "ready>handing over spawn"},
			{SuccessorLost{bad}, "resume handing over>ready"},
			{SuccessorPrepared{}, ""},
			{UpgradeRequested{"x"}, "ready>handing over spawn"},
			{SuccessorPrepared{}, "give"},
			{SuccessorLost{bad}, "resume handing over>ready"},
		},
		"ready, then it panics": {
			{UpgradeRequested{"x"}, "ready>handing over spawn"},
			{SuccessorPrepared{}, "give"},
			{SuccessorTookOver{}, "yield"},
			{SuccessorLost{bad}, "resume handing over>ready"},
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
			{SuccessorLost{bad}, "resume handing over>ready ready>reloading RELOADING load"},
		},
		"upgrade in a reload": {
			{ReloadRequested{"x"}, "ready>reloading RELOADING load"},
			{UpgradeRequested{"x"}, ""},
			{ReloadFinished{}, "reloading>ready READY ready>handing over spawn"},
			{UpgradeRequested{"y"}, "handing over>handing over"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var m Machine
			for i, s := range append(slices.Clone(up), steps...) {
				if got := words(m.Handle(s.e)); got != s.want {
					t.Fatalf("step %d: %T: %q, not %q", i+1, s.e, got, s.want)
				}
			}
		})
	}
	var m Machine
	for i, s := range []step{{ReloadRequested{"early"}, ""}, {ServicesReady{}, ""}, {Listening{}, "starting>ready READY ready>reloading RELOADING load"}, {ReloadFinished{}, "reloading>ready READY"}} {
		if got := words(m.Handle(s.e)); got != s.want {
			t.Errorf("early step %d: %q, not %q", i+1, got, s.want)
		}
	}
	m = Machine{}
	for i, s := range []step{{Listening{}, "starting>warming"}, {ReloadRequested{"1"}, "warming>reloading load"}, {ServicesReady{}, ""}, {ReloadFinished{}, "reloading>ready READY"}} {
		if got := words(m.Handle(s.e)); got != s.want {
			t.Errorf("warming step %d: %q, not %q", i+1, got, s.want)
		}
	}
	m = Machine{}
	if got := words(m.Handle(StopRequested{"SIGTERM"})); got != "starting>draining STOPPING drain" {
		t.Errorf("stopped while starting: %q", got)
	}
}

// An upgrade of an upgrade waits until the first process has ended.
func TestUpgradeOfAnUpgrade(t *testing.T) {
	m := NewSuccessor()
	for i, s := range []struct {
		e    Event
		want string
	}{{Listening{}, "starting>warming"}, {ServicesReady{}, "warming>ready READY"}, {UpgradeRequested{"x"}, ""}, {PredecessorEnded{}, "ready>handing over spawn"}} {
		if got := words(m.Handle(s.e)); got != s.want {
			t.Errorf("step %d: %q, not %q", i+1, got, s.want)
		}
	}
}

// world is what a daemon's surroundings can be in, as far as it bears on which events may come.
type world struct {
	m       Machine
	loading bool
	spawned int // 0 no successor, 1 starts, 2 prepared, 3 was given, 4 takes clients, 5 takes them alone
	drained bool
	paused  bool   // new connections are the successor's
	given   bool   // the successor has a part of what is left
	told    string // what the supervisor heard last
}

// Every state that any order of events can lead to, whole: somebody takes new connections until
// the drain; what was given away comes back or its owner goes on; a reload is followed by its
// end; one drain; nothing after the end.
func TestEveryState(t *testing.T) {
	first := []world{{}, {m: NewSuccessor()}}
	seen := make(map[string]bool)
	key := func(w world) string { w.m.actions = nil; return fmt.Sprintf("%+v", w) }
	todo := slices.Clone(first)
	for len(todo) > 0 {
		w := todo[0]
		todo = todo[1:]
		if seen[key(w)] {
			continue
		}
		seen[key(w)] = true
		events := []Event{Listening{}, ServicesReady{}, ReloadRequested{"x"}, UpgradeRequested{"x"}, StopRequested{"x"}, PredecessorEnded{}}
		if w.loading {
			events = append(events, ReloadFinished{}, ReloadFinished{errors.New("bad")})
		}
		switch w.spawned {
		case 1:
			events = append(events, SuccessorPrepared{})
		case 3:
			events = append(events, SuccessorTookOver{})
		case 4:
			events = append(events, SuccessorConfirmed{})
		}
		if w.spawned > 0 {
			events = append(events, SuccessorLost{errors.New("gone")})
		}
		if w.drained {
			events = append(events, Finished{})
		}
		for _, e := range events {
			if n, ok := w.after(t, e); ok {
				todo = append(todo, n)
			}
		}
	}
	if len(seen) < 60 {
		t.Errorf("only %d states", len(seen))
	}
}

// after is the world after an event; false where life has ended.
func (w world) after(t *testing.T, e Event) (world, bool) {
	was := w
	fail := func(format string, args ...any) {
		t.Helper()
		t.Fatalf("%T in %+v: %s", e, was, fmt.Sprintf(format, args...))
	}
	switch e.(type) {
	case ReloadFinished:
		w.loading = false
	case SuccessorPrepared, SuccessorTookOver:
		w.spawned++
	case SuccessorConfirmed:
		w.spawned = 5
	case SuccessorLost:
		w.spawned = 0
	}
	w.m.actions = nil
	ended := w.m.State() == Ended
	for _, a := range w.m.Handle(e) {
		switch a := a.(type) {
		case StartReload:
			if w.loading || w.drained || w.spawned > 0 {
				fail("a reload")
			}
			w.loading = true
		case SpawnSuccessor:
			if w.spawned > 0 || w.drained || w.loading || was.m.hasPredecessor && w.m.hasPredecessor {
				fail("a successor")
			}
			w.spawned = 1
		case SendCheckpoint:
			if w.given || w.spawned != 2 {
				fail("gave twice")
			}
			w.given, w.spawned = true, 3
		case YieldToSuccessor:
			if w.spawned != 4 {
				fail("yielded to nobody")
			}
			w.paused = true
		case ResumeAlone:
			if w.spawned != 0 {
				fail("resumed beside a successor")
			}
			w.paused, w.given = false, false
		case KillSuccessor:
			w.spawned, w.given = 0, false
		case ForwardReload:
			if w.spawned != 4 {
				fail("nobody to reload")
			}
		case StartDrain:
			if w.drained {
				fail("drained twice")
			}
			w.drained = true
		case NotifySupervisor:
			w.told = []string{"READY", "RELOADING", "STOPPING"}[a.Notification]
			if was.told == "STOPPING" {
				fail("told %s", w.told)
			}
		case LogTransition:
			if ended {
				fail("said something after the end")
			}
		}
	}
	state := w.m.State()
	if w.paused && w.spawned < 4 && !w.drained {
		fail("nobody takes connections")
	}
	if w.given && w.spawned < 3 && !w.drained {
		fail("a part of what is left is nobody's")
	}
	if state == Reloading != (w.loading && !w.drained) && state != Ended || w.told == "RELOADING" && !w.loading && !w.drained {
		fail("%v while loading %v", state, w.loading)
	}
	return w, state != Ended
}

// Whatever comes in whatever order: one reload at a time, each asked for before the drain is
// followed by one that begins later; a supervisor hears READY after each RELOADING unless it
// hears STOPPING; one drain; nothing after the end.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Machine
		loading, drained, owed, told, ended := false, false, false, "", false
		handle := func(e Event) {
			actions := m.Handle(e)
			if ended && len(actions) > 0 {
				t.Fatalf("%q after the end", words(actions))
			}
			for _, a := range actions {
				switch a := a.(type) {
				case StartReload:
					if loading || drained {
						t.Fatalf("a reload while loading %v, drained %v", loading, drained)
					}
					loading, owed = true, false
				case StartDrain:
					if drained {
						t.Fatalf("drained twice")
					}
					drained = true
				case NotifySupervisor:
					now := words([]Action{a})
					if told == "STOPPING" || told == "RELOADING" && now == "RELOADING" || told == "" && now == "RELOADING" {
						t.Fatalf("%s after %q", now, told)
					}
					told = now
				case LogTransition:
					ended = ended || a.To == Ended
				}
			}
		}
		for range 60 {
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				handle(Listening{})
			case 1, 2:
				handle(ServicesReady{})
			case 3, 4, 5:
				owed = owed || !drained && !ended
				handle(ReloadRequested{"x"})
			case 6, 7, 8, 9:
				if loading {
					loading = false
					handle(ReloadFinished{})
				}
			case 10:
				if rapid.IntRange(0, 4).Draw(t, "stops") == 0 {
					handle(StopRequested{"x"})
				}
			case 11:
				if drained && rapid.IntRange(0, 2).Draw(t, "ends") == 0 {
					handle(Finished{})
				}
			}
		}
		handle(Listening{})
		for range 3 {
			if loading {
				loading = false
				handle(ReloadFinished{})
			}
		}
		if !drained && !ended && (owed || m.State() == Reloading || told == "RELOADING") {
			t.Fatalf("in %v, a reload owed %v, told %q", m.State(), owed, told)
		}
	})
}
