// Package script has faults between processes as data: what befalls which link or process from
// when to when. The same seed draws the same script; a script prints itself in a form that Parse
// reads back, and Shrink shortens it to the least that still fails. It does no I/O.
package script

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a fault does.
type Kind uint8

// Faults of links, then of processes.
const (
	Cut       Kind = iota // bytes vanish in silence, connections stay; one that lost bytes stays dumb for good
	Hold                  // bytes wait until the fault ends, as TCP brings them after a short cut
	Late                  // each byte comes Delay later
	Slow                  // Rate bytes a second, over all connections of the link
	Reset                 // a connection is reset once Bytes of it have passed since the fault began
	Lost                  // what is asked goes through whole, the answer is thrown away and the connection reset
	Blackhole             // the same, but then there is silence instead of a reset
	Refuse                // new connections are refused, those that are there stay

	Kill     // SIGKILL at the begin, a start with the same arguments at the end
	Pause    // SIGSTOP at the begin, SIGCONT at the end
	Full     // no file of the process can grow
	ReadOnly // its state directory can be read and not written
	Clock    // its wall clock is Delay ahead, where it takes that from us
	kinds
)

var kindNames = [kinds]string{"cut", "hold", "late", "slow", "reset", "lost", "mute", "refuse", "kill", "pause", "full", "readonly", "clock"}

func (k Kind) String() string {
	if k < kinds {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// OfLink tells whether links have such faults; processes have the others.
func (k Kind) OfLink() bool { return k < Kill }

// directed tells whether the fault has a way.
func (k Kind) directed() bool { return k <= Reset }

// Direction is a direction of a link.
type Direction uint8

// Both ways, from whoever dials to what is dialled, or from there.
const (
	Both Direction = iota
	Forth
	Back
)

var directionNames = [...]string{"both", "forth", "back"}

func (w Direction) String() string {
	if int(w) < len(directionNames) {
		return directionNames[w]
	}
	return fmt.Sprintf("way(%d)", uint8(w))
}

// Has tells whether it is or contains the way w (Forth or Back).
func (w Direction) Has(other Direction) bool { return w == Both || w == other }

// Fault is one thing that goes wrong.
type Fault struct {
	Kind      Kind
	Direction Direction     // of Cut to Reset
	Delay     time.Duration // of Late; of Clock, where it may be negative
	Rate      int           // of Slow: bytes a second
	Bytes     int           // of Reset
}

// Entry is a fault with its place and time.
type Entry struct {
	On       int           // number of the link or process
	From, To time.Duration // since the script began; From < To
	Fault
}

// Script is a set of faults in order of their begin. The zero value has none.
type Script struct {
	Seed         uint64 // that it was drawn from
	Links, Procs int    // how many there are of each
	For          time.Duration
	Entries      []Entry
}

// Spec says what Draw draws from.
type Spec struct {
	Links, Procs int
	For          time.Duration // the length of the whole; no fault lasts longer
	Faults       int           // how many; 0 is one for each link and process, and one more
	LinkKinds    []Kind        // nil is all
	ProcKinds    []Kind        // nil is Kill and Pause, which every process has
	MinDuration  time.Duration // that a fault lasts; 0 is a twentieth of For
}

// Draw gives the script of a seed. It has no faults where there are no links and no processes.
func Draw(seed uint64, o Spec) Script {
	s := Script{Seed: seed, Links: max(o.Links, 0), Procs: max(o.Procs, 0), For: max(o.For, 20*step)}
	rng := rand.New(rand.NewPCG(seed, 0xfa017))
	if o.LinkKinds == nil {
		o.LinkKinds = []Kind{Cut, Hold, Late, Slow, Reset, Lost, Blackhole, Refuse}
	}
	if o.ProcKinds == nil {
		o.ProcKinds = []Kind{Kill, Pause}
	}
	places := s.Links + s.Procs
	if places == 0 {
		return s
	}
	n := o.Faults
	if n <= 0 {
		n = places + 1
	}
	minDuration := o.MinDuration
	if minDuration <= 0 {
		minDuration = s.For / 20
	}
	minDuration = min(max(minDuration.Round(step), step), s.For/2)
	for range n {
		var e Entry
		if at := rng.IntN(places); at < s.Links {
			e.On, e.Kind = at, o.LinkKinds[rng.IntN(len(o.LinkKinds))]
		} else {
			e.On, e.Kind = at-s.Links, o.ProcKinds[rng.IntN(len(o.ProcKinds))]
		}
		e.From = draw(rng, 0, s.For-minDuration)
		e.To = e.From + draw(rng, minDuration, s.For-e.From)
		if e.Kind.directed() {
			e.Direction = Direction(rng.IntN(3))
		}
		switch e.Kind {
		case Late:
			e.Delay = draw(rng, step, s.For/4)
		case Slow:
			e.Rate = 1 << (6 + rng.IntN(10)) // 64 bytes a second to 32 KiB
		case Reset:
			e.Bytes = rng.IntN(1 << rng.IntN(13)) // small ones often: in the midst of a head
		case Clock:
			e.Delay = draw(rng, step, 2*time.Hour)
			if rng.IntN(2) == 0 {
				e.Delay = -e.Delay
			}
		}
		s.Entries = append(s.Entries, e)
	}
	s.sort()
	return s
}

// step is the grain of drawn times, so that scripts are short to read.
const step = time.Millisecond

// draw is a time from least to most, in whole steps.
func draw(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	if longest <= shortest {
		return shortest
	}
	return (shortest + time.Duration(rng.Int64N(int64(longest-shortest)+1))).Truncate(step)
}

func (s *Script) sort() {
	slices.SortStableFunc(s.Entries, func(a, b Entry) int { return cmp.Compare(a.From, b.From) })
}

// Check tells what is wrong with a script; Parse and the player refuse such.
func (s Script) Check() error {
	if s.Links < 0 || s.Procs < 0 || s.For < 0 {
		return fmt.Errorf("%d links, %d processes, for %v", s.Links, s.Procs, s.For)
	}
	for i, e := range s.Entries {
		n := s.Procs
		if e.Kind >= kinds || e.Direction > Back {
			return fmt.Errorf("fault %d: %v %v", i+1, e.Kind, e.Direction)
		}
		if e.Kind.OfLink() {
			n = s.Links
		}
		switch {
		case e.On < 0 || e.On >= n:
			return fmt.Errorf("fault %d: %v on number %d of %d", i+1, e.Kind, e.On, n)
		case e.From < 0 || e.To <= e.From || e.To > s.For:
			return fmt.Errorf("fault %d: from %v to %v in %v", i+1, e.From, e.To, s.For)
		case !e.Kind.directed() && e.Direction != Both,
			e.Kind == Late && e.Delay <= 0, e.Kind == Slow && e.Rate <= 0, e.Bytes < 0,
			e.Kind != Late && e.Kind != Clock && e.Delay != 0, e.Kind != Slow && e.Rate != 0, e.Kind != Reset && e.Bytes != 0:
			return fmt.Errorf("fault %d: its figures are off: %v", i+1, e)
		}
	}
	return nil
}

// Step is a moment at which faults begin or end.
type Step struct {
	At     time.Duration
	Begins []Entry
	Ends   []Entry
	Links  map[int][]Fault // in force from now on, of each link that changes; none: it is healed
	Procs  map[int][]Fault // the same of processes
}

// Steps gives the moments of a script in order; after the last one nothing is in force.
func (s Script) Steps() []Step {
	var at []time.Duration
	for _, e := range s.Entries {
		at = append(at, e.From, e.To)
	}
	slices.Sort(at)
	at = slices.Compact(at)
	steps := make([]Step, 0, len(at))
	for _, t := range at {
		st := Step{At: t, Links: make(map[int][]Fault), Procs: make(map[int][]Fault)}
		side := func(e Entry) map[int][]Fault {
			if e.Kind.OfLink() {
				return st.Links
			}
			return st.Procs
		}
		for _, e := range s.Entries {
			switch t {
			case e.From:
				st.Begins = append(st.Begins, e)
			case e.To:
				st.Ends = append(st.Ends, e)
			default:
				continue
			}
			side(e)[e.On] = nil
		}
		for _, e := range s.Entries {
			if m := side(e); e.From <= t && t < e.To {
				if _, changes := m[e.On]; changes {
					m[e.On] = append(m[e.On], e.Fault)
				}
			}
		}
		steps = append(steps, st)
	}
	return steps
}
