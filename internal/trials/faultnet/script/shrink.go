package script

import (
	"slices"
	"time"
)

// shrinkRuns is how often Shrink tries a script at most.
const shrinkRuns = 200

// Shrink gives the least script it finds that still fails; s itself has to. It tries scripts one
// after another, always the same for the same answers, and at most 200 of them.
func Shrink(s Script, fails func(Script) bool) Script { return ShrinkWithRuns(s, shrinkRuns, fails) }

// ShrinkWithRuns is Shrink with a bound of its own on the scripts tried. First faults are left out,
// halves before single ones (delta debugging), then those that are left are made shorter and
// milder.
func ShrinkWithRuns(s Script, runs int, fails func(Script) bool) Script {
	sh := shrinker{s, runs, fails}
	sh.leaveOut()
	for sh.runs > 0 && sh.reduceFaults() {
	}
	sh.script.sort()
	return sh.script
}

// shrinker is the least script so far that fails, and how many more may be tried.
type shrinker struct {
	script Script
	runs   int
	fails  func(Script) bool
}

// try takes other faults if the script still fails with them.
func (sh *shrinker) try(e []Entry) bool {
	if sh.runs <= 0 {
		return false
	}
	sh.runs--
	c := sh.script
	c.Entries = e
	if !sh.fails(c) {
		return false
	}
	sh.script = c
	return true
}

// leaveOut leaves out what it can, until nothing more goes.
func (sh *shrinker) leaveOut() {
	for before := -1; before != len(sh.script.Entries) && sh.runs > 0; {
		before = len(sh.script.Entries)
		for size := len(sh.script.Entries); size > 0; size /= 2 {
			for at := 0; at < len(sh.script.Entries); {
				end := min(at+size, len(sh.script.Entries))
				if !sh.try(slices.Concat(sh.script.Entries[:at], sh.script.Entries[end:])) {
					at = end
				}
			}
		}
	}
}

// reduceFaults makes each fault as mild as it goes, and tells whether one has become milder.
func (sh *shrinker) reduceFaults() (isReduced bool) {
	for i := range sh.script.Entries {
		for _, less := range reductions {
			for sh.runs > 0 {
				e, ok := less(sh.script.Entries[i])
				if !ok {
					break
				}
				all := slices.Clone(sh.script.Entries)
				all[i] = e
				if !sh.try(all) {
					break
				}
				isReduced = true
			}
		}
	}
	return isReduced
}

// reductions are the ways in which one fault can be less. Each falls to an end: times to a step, places
// to the script's begin, rates and bytes to figures at which they hardly count.
var reductions = []func(Entry) (Entry, bool){
	endEarlier(2), beginLater(2), endEarlier(8), beginLater(8),
	func(e Entry) (Entry, bool) { // one way only
		if !e.Kind.directed() || e.Direction != Both {
			return e, false
		}
		e.Direction = Back
		return e, true
	},
	func(e Entry) (Entry, bool) {
		if !e.Kind.directed() || e.Direction != Both {
			return e, false
		}
		e.Direction = Forth
		return e, true
	},
	func(e Entry) (Entry, bool) {
		d := (e.Delay / 2).Truncate(step)
		if d == 0 || d == e.Delay {
			return e, false
		}
		e.Delay = d
		return e, true
	},
	func(e Entry) (Entry, bool) {
		if e.Kind != Slow || e.Rate >= 1<<20 {
			return e, false
		}
		e.Rate *= 2
		return e, true
	},
	func(e Entry) (Entry, bool) {
		if e.Kind != Reset || e.Bytes >= 1<<16 {
			return e, false
		}
		e.Bytes = max(2*e.Bytes, 1)
		return e, true
	},
}

// endEarlier has a fault end a part of its time sooner.
func endEarlier(part time.Duration) func(Entry) (Entry, bool) {
	return func(e Entry) (Entry, bool) {
		e.To -= max(((e.To - e.From) / part).Truncate(step), step)
		return e, e.To-e.From >= step
	}
}

// beginLater has it begin a part of its time later.
func beginLater(part time.Duration) func(Entry) (Entry, bool) {
	return func(e Entry) (Entry, bool) {
		e.From += max(((e.To - e.From) / part).Truncate(step), step)
		return e, e.To-e.From >= step
	}
}
