// Package script describes faults of links and processes as data: which fault is in force where,
// and from when to when. The same seed draws the same script; Parse reads the text of
// Script.String, and Shrink reduces a script to a small one that still fails. The package does no
// I/O.
package script

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault.
type Kind uint8

// The kinds of faults: those of links, then those of processes.
const (
	Cut       Kind = iota // bytes are dropped silently; a connection that lost bytes never delivers any again
	Hold                  // bytes are delivered once the fault ends, as by TCP after a short outage
	Late                  // each byte is delivered Delay later
	Slow                  // Rate bytes a second, shared by all connections of the link
	Reset                 // a connection is reset once Bytes bytes of it were delivered since the fault began
	Lost                  // requests are delivered, responses are dropped and the connection is reset
	Blackhole             // requests are delivered, responses are dropped and the connection stays open
	Refuse                // new connections are refused, open ones stay

	Kill     // SIGKILL at the start, a restart with the same arguments at the end
	Pause    // SIGSTOP at the start, SIGCONT at the end
	Full     // no file of the process can grow
	ReadOnly // the state directory of the process is read-only
	Clock    // the wall clock of the process is Delay ahead, if the process supports an offset
	kinds    // number of kinds
)

// kindNames are the names of the kinds in a script's text.

var kindNames = [kinds]string{"cut", "hold", "late", "slow", "reset", "lost", "mute", "refuse", "kill", "pause", "full", "readonly", "clock"}

func (k Kind) String() string {
	if k < kinds {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// OfLink reports whether the fault applies to links rather than to processes.
func (k Kind) OfLink() bool { return k < Kill }

// directed reports whether the fault has a Direction.
func (k Kind) directed() bool { return k <= Reset }

// Direction is a direction of a link.
type Direction uint8

// The directions of a link.
const (
	Both  Direction = iota
	Forth           // from client to server
	Back            // from server to client
)

var directionNames = [...]string{"both", "forth", "back"}

func (w Direction) String() string {
	if int(w) < len(directionNames) {
		return directionNames[w]
	}
	return fmt.Sprintf("way(%d)", uint8(w))
}

// Has reports whether w is or includes the direction other, which is Forth or Back.
func (w Direction) Has(other Direction) bool { return w == Both || w == other }

// Fault is a kind of fault with its parameters. Parameters that the kind doesn't use are zero.
type Fault struct {
	Kind      Kind
	Direction Direction     // of Cut, Hold, Late, Slow and Reset
	Delay     time.Duration // of Late, where it is positive, and of Clock
	Rate      int           // of Slow: bytes a second
	Bytes     int           // of Reset
}

// Entry is a fault with its place and time.
type Entry struct {
	On   int           // index of the link or process
	From time.Duration // since the script began
	To   time.Duration // since the script began; later than From
	Fault
}

// Script is a list of faults ordered by From. The zero value has none.
type Script struct {
	Seed    uint64        // the seed it was drawn from
	Links   int           // number of links
	Procs   int           // number of processes
	For     time.Duration // duration of the script
	Entries []Entry
}

// Spec is the input of Draw.
type Spec struct {
	Links       int           // number of links
	Procs       int           // number of processes
	For         time.Duration // duration of the script
	Faults      int           // number of faults; 0 is the number of links and processes plus one
	LinkKinds   []Kind        // kinds to draw from; nil is all
	ProcKinds   []Kind        // kinds to draw from; nil is Kill and Pause, which every process supports
	MinDuration time.Duration // minimum duration of a fault; 0 is a twentieth of For
}

// Draw generates the script of a seed. It has no faults if there are no links and no processes.
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
		if place := rng.IntN(places); place < s.Links {
			e.On = place
			e.Kind = o.LinkKinds[rng.IntN(len(o.LinkKinds))]
		} else {
			e.On = place - s.Links
			e.Kind = o.ProcKinds[rng.IntN(len(o.ProcKinds))]
		}
		e.From = draw(rng, 0, s.For-minDuration)
		e.To = e.From + draw(rng, minDuration, s.For-e.From)
		e.drawParameters(rng, s.For)
		s.Entries = append(s.Entries, e)
	}
	s.sort()
	return s
}

// drawParameters draws the parameters that the fault's kind uses; duration is that of the script.
func (f *Fault) drawParameters(rng *rand.Rand, duration time.Duration) {
	if f.Kind.directed() {
		f.Direction = Direction(rng.IntN(len(directionNames)))
	}
	switch f.Kind {
	case Late:
		f.Delay = draw(rng, step, duration/4)
	case Slow:
		f.Rate = 1 << (6 + rng.IntN(10)) // 64 bytes a second to 32 KiB
	case Reset:
		f.Bytes = rng.IntN(1 << rng.IntN(13)) // mostly small, so that the reset falls into a message's header
	case Clock:
		f.Delay = draw(rng, step, 2*time.Hour)
		if rng.IntN(2) == 0 {
			f.Delay = -f.Delay
		}
	}
}

// step is the granularity of drawn times, which keeps scripts readable.
const step = time.Millisecond

// draw returns a duration between shortest and longest, in whole steps.
func draw(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	if longest <= shortest {
		return shortest
	}
	return (shortest + time.Duration(rng.Int64N(int64(longest-shortest)+1))).Truncate(step)
}

func (s *Script) sort() {
	slices.SortStableFunc(s.Entries, func(a, b Entry) int { return cmp.Compare(a.From, b.From) })
}

// Check returns an error that describes the first invalid value of a script, or nil.
func (s Script) Check() error {
	if s.Links < 0 || s.Procs < 0 || s.For < 0 {
		return fmt.Errorf("negative number or duration: %d links, %d processes, for %v", s.Links, s.Procs, s.For)
	}
	for i, e := range s.Entries {
		n := s.Procs
		if e.Kind >= kinds || e.Direction > Back {
			return fmt.Errorf("fault %d: unknown kind or direction: %v %v", i+1, e.Kind, e.Direction)
		}
		if e.Kind.OfLink() {
			n = s.Links
		}
		switch {
		case e.On < 0 || e.On >= n:
			return fmt.Errorf("fault %d: %v on number %d of %d", i+1, e.Kind, e.On, n)
		case e.From < 0 || e.To <= e.From || e.To > s.For:
			return fmt.Errorf("fault %d: from %v to %v is not a period within %v", i+1, e.From, e.To, s.For)
		case !e.hasValidParameters():
			return fmt.Errorf("fault %d: parameters out of range: %v", i+1, e)
		}
	}
	return nil
}

// hasValidParameters reports whether the parameters are in range, and zero where the kind doesn't
// use them.
func (f Fault) hasValidParameters() bool {
	if !f.Kind.directed() && f.Direction != Both {
		return false
	}
	switch f.Kind {
	case Late:
		return f.Delay > 0 && f.Rate == 0 && f.Bytes == 0
	case Slow:
		return f.Delay == 0 && f.Rate > 0 && f.Bytes == 0
	case Reset:
		return f.Delay == 0 && f.Rate == 0 && f.Bytes >= 0
	case Clock:
		return f.Rate == 0 && f.Bytes == 0
	default:
		return f.Delay == 0 && f.Rate == 0 && f.Bytes == 0
	}
}

// Step is a time at which faults begin or end.
type Step struct {
	At     time.Duration
	Begins []Entry
	Ends   []Entry
	Links  map[int][]Fault // faults in force from At on, for each link whose faults change; empty if all have ended
	Procs  map[int][]Fault // the same for processes
}

// Steps returns the steps of a script in order of time. No fault is in force after the last one.
func (s Script) Steps() []Step {
	var times []time.Duration
	for _, e := range s.Entries {
		times = append(times, e.From, e.To)
	}
	slices.Sort(times)
	times = slices.Compact(times)
	steps := make([]Step, 0, len(times))
	for _, at := range times {
		steps = append(steps, s.stepAt(at))
	}
	return steps
}

// stepAt returns the step at a time at which at least one fault begins or ends.
func (s Script) stepAt(at time.Duration) Step {
	step := Step{At: at, Links: make(map[int][]Fault), Procs: make(map[int][]Fault)}
	for _, e := range s.Entries {
		switch at {
		case e.From:
			step.Begins = append(step.Begins, e)
		case e.To:
			step.Ends = append(step.Ends, e)
		default:
			continue
		}
		step.faultsLike(e)[e.On] = nil
	}
	for _, e := range s.Entries {
		if at < e.From || at >= e.To {
			continue
		}
		faults := step.faultsLike(e)
		if _, changes := faults[e.On]; changes {
			faults[e.On] = append(faults[e.On], e.Fault)
		}
	}
	return step
}

// faultsLike returns the map, of links or of processes, that the entry belongs to.
func (s *Step) faultsLike(e Entry) map[int][]Fault {
	if e.Kind.OfLink() {
		return s.Links
	}
	return s.Procs
}
