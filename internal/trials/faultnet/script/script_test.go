package script

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var allFaultKinds = Spec{Links: 3, Procs: 2, For: 4 * time.Second, Faults: 12, ProcKinds: []Kind{Kill, Pause, Full, ReadOnly, Clock}}

// The same seed draws the same script, which is valid and equals its parsed text; its steps are in
// order and leave no fault in force.
func TestDraw(t *testing.T) {
	seen := make(map[Kind]bool)
	rapid.Check(t, func(t *rapid.T) {
		o := Spec{
			Links: rapid.IntRange(0, 4).Draw(t, "links"), Procs: rapid.IntRange(0, 4).Draw(t, "procs"),
			For: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "for")), Faults: rapid.IntRange(0, 20).Draw(t, "faults"), ProcKinds: allFaultKinds.ProcKinds,
		}
		seed := rapid.Uint64().Draw(t, "seed")
		s := Draw(seed, o)
		if err := s.Check(); err != nil {
			t.Fatalf("Draw returned an invalid script: %v\n%v", err, s)
		}
		parsed, err := Parse(s.String())
		if err != nil || !reflect.DeepEqual(parsed, s) || !reflect.DeepEqual(Draw(seed, o), s) {
			t.Fatalf("Parse or a second Draw differs: %v\n%v\n%v", err, s, parsed)
		}
		var at time.Duration = -1
		inForce := make(map[bool]map[int][]Fault)
		inForce[true], inForce[false] = make(map[int][]Fault), make(map[int][]Fault)
		for _, st := range s.Steps() {
			if st.At <= at {
				t.Fatalf("step at %v follows the step at %v", st.At, at)
			}
			at = st.At
			for i, all := range st.Links {
				inForce[true][i] = all
			}
			for i, all := range st.Procs {
				inForce[false][i] = all
			}
			n := 0
			for _, e := range s.Entries {
				seen[e.Kind] = true
				if e.From <= at && at < e.To {
					n++
				}
			}
			for _, places := range inForce {
				for _, all := range places {
					n -= len(all)
				}
			}
			if n != 0 {
				t.Fatalf("at %v: %d faults in force are missing from the steps\n%v", at, n, s)
			}
		}
	})
	if len(seen) != int(kinds) {
		t.Errorf("%d of %d kinds were drawn", len(seen), kinds)
	}
}

// Parse rejects an invalid text with an error that names the line.
func TestParse(t *testing.T) {
	const header = "faults seed=1 links=1 procs=1 for=2s\n"
	for _, tc := range []struct{ text, want string }{
		{"", "line 0: missing header faults"},
		{"link 0 0s..1s cut both", "line 1: "},
		{"faults seed=1 links=-1 procs=1 for=2s", "line 1: negative number or duration: -1 links"},
		{header + "\n# why\nlink 1 0s..1s cut both", "line 4: fault 1: cut on number 1 of 1"},
		{header + "link 0 1s..1s cut both", "from 1s to 1s"},
		{header + "link 0 0s..3s cut both", "from 0s to 3s is not a period within 2s"},
		{header + "link 0 0s-1s cut both", "is not of the form from..to"},
		{header + "link 0 0s..1s kill", `link has no fault of kind "kill"`},
		{header + "proc 0 0s..1s cut", `proc has no fault of kind "cut"`},
		{header + "link 0 0s..1s cut", "cut needs a direction"},
		{header + "link 0 0s..1s cut up", `"up" is none of both`},
		{header + "link 0 0s..1s late both", "late has 1 numeric parameters"},
		{header + "link 0 0s..1s slow both 0", "parameters out of range"},
		{header + "link 0 0s..1s reset both x", "invalid syntax"},
		{header + "link 0 0s..1s refuse back", "refuse has 0 numeric parameters"},
		{strings.Repeat("#", maxTextBytes+1), "bytes"},
	} {
		if _, err := Parse(tc.text); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("Parse(%.80q) returned error %v, want %q", tc.text, err, tc.want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(Draw(3, allFaultKinds).String())
	f.Add("faults seed=1 links=1 procs=1 for=2s\nproc 0 0s..1s clock -1h # why")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err != nil {
			return
		}
		reparsed, err := Parse(s.String())
		if err != nil || reparsed.String() != s.String() || s.Check() != nil {
			t.Errorf("%v: %q -> %q, %v", err, text, s, s.Check())
		}
	})
}

// A script is reduced to the two faults that cause the failure, each as short and weak as possible,
// within the limit of runs and deterministically.
func TestShrink(t *testing.T) {
	o := allFaultKinds
	o.Faults = 40
	for seed := range uint64(50) {
		// It fails if a fault that drops bytes from server to client overlaps a kill of process 1.
		fails := func(s Script) bool {
			for _, a := range s.Entries {
				for _, b := range s.Entries {
					if (a.Kind == Cut || a.Kind == Hold) && a.Direction.Has(Back) && b.Kind == Kill && b.On == 1 && a.From < b.To && b.From < a.To {
						return true
					}
				}
			}
			return false
		}
		s := Draw(seed, o)
		if !fails(s) {
			continue
		}
		runs := 0
		shrunk := ShrinkWithRuns(s, 300, func(s Script) bool { runs++; return fails(s) })
		if repeated := ShrinkWithRuns(s, 300, fails); !fails(shrunk) || len(shrunk.Entries) != 2 || runs > 300 || !reflect.DeepEqual(repeated, shrunk) {
			t.Fatalf("seed %d: after %d runs the script is not a deterministic failing one of two faults:\n%v", seed, runs, shrunk)
		}
		for _, e := range shrunk.Entries {
			if e.To-e.From > 2*step || e.Kind.OfLink() && e.Direction != Back {
				t.Errorf("seed %d: %v could be reduced further", seed, e)
			}
		}
	}
	runs := 0
	if s := Draw(1, o); len(ShrinkWithRuns(s, 5, func(Script) bool { runs++; return false }).Entries) != 40 || runs != 5 {
		t.Errorf("%d runs, want 5 and the script unchanged", runs)
	}
}
