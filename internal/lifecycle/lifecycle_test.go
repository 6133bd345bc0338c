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
		case Log:
			w = append(w, fmt.Sprintf("%v>%v", a.From, a.To))
		case Load:
			w = append(w, "load")
		case Drain:
			w = append(w, "drain")
		case Tell:
			w = append(w, []string{"READY", "RELOADING", "STOPPING"}[a.What])
		default:
			w = append(w, strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", a), "lifecycle.")))
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
	up := []step{{Listening{}, "starting>warming"}, {Serves{}, "warming>ready READY"}}
	for name, steps := range map[string][]step{
		"an ordinary life": {
			{Reload{"SIGHUP"}, "ready>reloading RELOADING load"},
			{Reloaded{}, "reloading>ready READY"},
			{Stop{"SIGTERM"}, "ready>draining STOPPING drain"},
			{Done{}, "draining>ended"},
			{Stop{"SIGTERM"}, ""},
			{Reload{"SIGHUP"}, ""},
		},
		"a bad file":   {{Reload{"SIGHUP"}, "ready>reloading RELOADING load"}, {Reloaded{bad}, "reloading>ready READY"}},
		"many reloads": {{Reload{"1"}, "ready>reloading RELOADING load"}, {Reload{"2"}, ""}, {Reload{"3"}, ""}, {Reloaded{}, "reloading>ready READY ready>reloading RELOADING load"}, {Reloaded{}, "reloading>ready READY"}},
		"stop in a reload": {
			{Reload{"1"}, "ready>reloading RELOADING load"},
			{Stop{"SIGTERM"}, "reloading>draining STOPPING drain"},
			{Reloaded{}, ""},
			{Reload{"2"}, "draining>draining"},
			{Stop{"again"}, "draining>draining"},
			{Done{}, "draining>ended"},
		},
		"a failure": {{Done{bad}, "ready>ended"}},
		"an upgrade": {
			{Upgrade{"x"}, "ready>handing over spawn"},
			{Prepared{}, "give"},
			{Took{}, "yield"},
			{Settled{}, "handing over>draining drain"},
			{Lost{bad}, ""},
			{Done{}, "draining>ended"},
		},
		"a successor that can't": {
			{Upgrade{"x"}, "ready>handing over spawn"},
			{Lost{bad}, "resume handing over>ready"},
			{Prepared{}, ""},
			{Upgrade{"x"}, "ready>handing over spawn"},
			{Prepared{}, "give"},
			{Lost{bad}, "resume handing over>ready"},
		},
		"ready, then it panics": {
			{Upgrade{"x"}, "ready>handing over spawn"},
			{Prepared{}, "give"},
			{Took{}, "yield"},
			{Lost{bad}, "resume handing over>ready"},
			{Reload{"x"}, "ready>reloading RELOADING load"},
		},
		"stop before it took over": {
			{Upgrade{"x"}, "ready>handing over spawn"},
			{Prepared{}, "give"},
			{Stop{"SIGTERM"}, "handing over>draining abandon STOPPING drain"},
			{Took{}, ""},
			{Settled{}, ""},
		},
		"stop after it took over": {
			{Upgrade{"x"}, "ready>handing over spawn"},
			{Prepared{}, "give"},
			{Took{}, "yield"},
			{Stop{"SIGTERM"}, "handing over>draining drain"},
			{Settled{}, ""},
		},
		"reload while it starts": {
			{Upgrade{"x"}, "ready>handing over spawn"},
			{Reload{"x"}, ""},
			{Prepared{}, "give"},
			{Took{}, "yield forward"},
			{Reload{"x"}, "forward"},
			{Settled{}, "handing over>draining drain"},
		},
		"reload, and it fails": {
			{Upgrade{"x"}, "ready>handing over spawn"},
			{Reload{"x"}, ""},
			{Lost{bad}, "resume handing over>ready ready>reloading RELOADING load"},
		},
		"upgrade in a reload": {
			{Reload{"x"}, "ready>reloading RELOADING load"},
			{Upgrade{"x"}, ""},
			{Reloaded{}, "reloading>ready READY ready>handing over spawn"},
			{Upgrade{"y"}, "handing over>handing over"},
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
	for i, s := range []step{{Reload{"early"}, ""}, {Serves{}, ""}, {Listening{}, "starting>ready READY ready>reloading RELOADING load"}, {Reloaded{}, "reloading>ready READY"}} {
		if got := words(m.Handle(s.e)); got != s.want {
			t.Errorf("early step %d: %q, not %q", i+1, got, s.want)
		}
	}
	m = Machine{}
	for i, s := range []step{{Listening{}, "starting>warming"}, {Reload{"1"}, "warming>reloading load"}, {Serves{}, ""}, {Reloaded{}, "reloading>ready READY"}} {
		if got := words(m.Handle(s.e)); got != s.want {
			t.Errorf("warming step %d: %q, not %q", i+1, got, s.want)
		}
	}
	m = Machine{}
	if got := words(m.Handle(Stop{"SIGTERM"})); got != "starting>draining STOPPING drain" {
		t.Errorf("stopped while starting: %q", got)
	}
}

// An upgrade of an upgrade waits until the first process has ended.
func TestUpgradeOfAnUpgrade(t *testing.T) {
	m := Succeed()
	for i, s := range []struct {
		e    Event
		want string
	}{{Listening{}, "starting>warming"}, {Serves{}, "warming>ready READY"}, {Upgrade{"x"}, ""}, {Alone{}, "ready>handing over spawn"}} {
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
	first := []world{{}, {m: Succeed()}}
	seen := make(map[string]bool)
	key := func(w world) string { w.m.out = nil; return fmt.Sprintf("%+v", w) }
	todo := slices.Clone(first)
	for len(todo) > 0 {
		w := todo[0]
		todo = todo[1:]
		if seen[key(w)] {
			continue
		}
		seen[key(w)] = true
		events := []Event{Listening{}, Serves{}, Reload{"x"}, Upgrade{"x"}, Stop{"x"}, Alone{}}
		if w.loading {
			events = append(events, Reloaded{}, Reloaded{errors.New("bad")})
		}
		switch w.spawned {
		case 1:
			events = append(events, Prepared{})
		case 3:
			events = append(events, Took{})
		case 4:
			events = append(events, Settled{})
		}
		if w.spawned > 0 {
			events = append(events, Lost{errors.New("gone")})
		}
		if w.drained {
			events = append(events, Done{})
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
	case Reloaded:
		w.loading = false
	case Prepared, Took:
		w.spawned++
	case Settled:
		w.spawned = 5
	case Lost:
		w.spawned = 0
	}
	w.m.out = nil
	ended := w.m.State() == Ended
	for _, a := range w.m.Handle(e) {
		switch a := a.(type) {
		case Load:
			if w.loading || w.drained || w.spawned > 0 {
				fail("a reload")
			}
			w.loading = true
		case Spawn:
			if w.spawned > 0 || w.drained || w.loading || was.m.beside && w.m.beside {
				fail("a successor")
			}
			w.spawned = 1
		case Give:
			if w.given || w.spawned != 2 {
				fail("gave twice")
			}
			w.given, w.spawned = true, 3
		case Yield:
			if w.spawned != 4 {
				fail("yielded to nobody")
			}
			w.paused = true
		case Resume:
			if w.spawned != 0 {
				fail("resumed beside a successor")
			}
			w.paused, w.given = false, false
		case Abandon:
			w.spawned, w.given = 0, false
		case Forward:
			if w.spawned != 4 {
				fail("nobody to reload")
			}
		case Drain:
			if w.drained {
				fail("drained twice")
			}
			w.drained = true
		case Tell:
			w.told = []string{"READY", "RELOADING", "STOPPING"}[a.What]
			if was.told == "STOPPING" {
				fail("told %s", w.told)
			}
		case Log:
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
				case Load:
					if loading || drained {
						t.Fatalf("a reload while loading %v, drained %v", loading, drained)
					}
					loading, owed = true, false
				case Drain:
					if drained {
						t.Fatalf("drained twice")
					}
					drained = true
				case Tell:
					now := words([]Action{a})
					if told == "STOPPING" || told == "RELOADING" && now == "RELOADING" || told == "" && now == "RELOADING" {
						t.Fatalf("%s after %q", now, told)
					}
					told = now
				case Log:
					ended = ended || a.To == Ended
				}
			}
		}
		for range 60 {
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				handle(Listening{})
			case 1, 2:
				handle(Serves{})
			case 3, 4, 5:
				owed = owed || !drained && !ended
				handle(Reload{"x"})
			case 6, 7, 8, 9:
				if loading {
					loading = false
					handle(Reloaded{})
				}
			case 10:
				if rapid.IntRange(0, 4).Draw(t, "stops") == 0 {
					handle(Stop{"x"})
				}
			case 11:
				if drained && rapid.IntRange(0, 2).Draw(t, "ends") == 0 {
					handle(Done{})
				}
			}
		}
		handle(Listening{})
		for range 3 {
			if loading {
				loading = false
				handle(Reloaded{})
			}
		}
		if !drained && !ended && (owed || m.State() == Reloading || told == "RELOADING") {
			t.Fatalf("in %v, a reload owed %v, told %q", m.State(), owed, told)
		}
	})
}
