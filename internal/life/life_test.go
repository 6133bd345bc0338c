package life

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
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
		"an ordinary life": {{Reload{"SIGHUP"}, "ready>reloading RELOADING load"}, {Reloaded{}, "reloading>ready READY"},
			{Stop{"SIGTERM"}, "ready>draining STOPPING drain"}, {Done{}, "draining>ended"}, {Stop{"SIGTERM"}, ""}, {Reload{"SIGHUP"}, ""}},
		"a bad file":   {{Reload{"SIGHUP"}, "ready>reloading RELOADING load"}, {Reloaded{bad}, "reloading>ready READY"}},
		"many reloads": {{Reload{"1"}, "ready>reloading RELOADING load"}, {Reload{"2"}, ""}, {Reload{"3"}, ""}, {Reloaded{}, "reloading>ready READY ready>reloading RELOADING load"}, {Reloaded{}, "reloading>ready READY"}},
		"stop in a reload": {{Reload{"1"}, "ready>reloading RELOADING load"}, {Stop{"SIGTERM"}, "reloading>draining STOPPING drain"}, {Reloaded{}, ""},
			{Reload{"2"}, "draining>draining"}, {Stop{"again"}, "draining>draining"}, {Done{}, "draining>ended"}},
		"a failure": {{Done{bad}, "ready>ended"}},
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

// Whatever comes in whatever order: one reload at a time, each asked for before the drain is
// followed by one that begins later; a supervisor hears READY after each RELOADING unless it
// hears STOPPING; one drain; nothing after the end.
func TestPromises(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 2))
		var m Machine
		loading, drained, owed, told, ended := false, false, false, "", false
		handle := func(e Event) {
			actions := m.Handle(e)
			if ended && len(actions) > 0 {
				t.Fatalf("seed %d: %q after the end", seed, words(actions))
			}
			for _, a := range actions {
				switch a := a.(type) {
				case Load:
					if loading || drained {
						t.Fatalf("seed %d: a reload while loading %v, drained %v", seed, loading, drained)
					}
					loading, owed = true, false
				case Drain:
					if drained {
						t.Fatalf("seed %d: drained twice", seed)
					}
					drained = true
				case Tell:
					now := words([]Action{a})
					if told == "STOPPING" || told == "RELOADING" && now == "RELOADING" || told == "" && now == "RELOADING" {
						t.Fatalf("seed %d: %s after %q", seed, now, told)
					}
					told = now
				case Log:
					ended = ended || a.To == Ended
				}
			}
		}
		for range 60 {
			switch rng.IntN(12) {
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
				if rng.IntN(5) == 0 {
					handle(Stop{"x"})
				}
			case 11:
				if drained && rng.IntN(3) == 0 {
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
			t.Fatalf("seed %d: in %v, a reload owed %v, told %q", seed, m.State(), owed, told)
		}
	}
}
