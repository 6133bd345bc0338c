package script

import (
	"slices"
	"time"
)

// shrinkRuns is the maximum number of scripts that Shrink runs.
const shrinkRuns = 200

// Shrink returns a smaller script that still fails, or s, which has to fail, if it finds none. It
// runs at most 200 scripts, one after another; the result is deterministic if fails is.
func Shrink(s Script, fails func(Script) bool) Script { return ShrinkWithRuns(s, shrinkRuns, fails) }

// ShrinkWithRuns is Shrink with a limit on the number of scripts it runs. It first removes faults,
// halves before single ones (delta debugging), then shortens and weakens the remaining ones.
func ShrinkWithRuns(s Script, runs int, fails func(Script) bool) Script {
	sh := shrinker{script: s, runs: runs, fails: fails}
	sh.removeEntries()
	for sh.runs > 0 && sh.reduceFaults() {
	}
	sh.script.sort()
	return sh.script
}

// shrinker is the state of a reduction.
type shrinker struct {
	script Script // the smallest script so far that fails
	runs   int    // remaining runs
	fails  func(Script) bool
}

// try replaces the script's entries if the script still fails with them, and reports whether it did.
func (sh *shrinker) try(entries []Entry) bool {
	if sh.runs <= 0 {
		return false
	}
	sh.runs--
	candidate := sh.script
	candidate.Entries = entries
	if !sh.fails(candidate) {
		return false
	}
	sh.script = candidate
	return true
}

// removeEntries removes entries until no entry can be removed any more or no runs remain.
func (sh *shrinker) removeEntries() {
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

// reduceFaults applies every reduction to every fault while the script still fails, and reports
// whether any was applied.
func (sh *shrinker) reduceFaults() (isReduced bool) {
	for i := range sh.script.Entries {
		for _, reduce := range reductions {
			for sh.runs > 0 {
				reduced, ok := reduce(sh.script.Entries[i])
				if !ok {
					break
				}
				entries := slices.Clone(sh.script.Entries)
				entries[i] = reduced
				if !sh.try(entries) {
					break
				}
				isReduced = true
			}
		}
	}
	return isReduced
}

// The limits of reductions, at which a fault has hardly any effect.
const (
	maxReducedRate  = 1 << 20 // bytes a second
	maxReducedBytes = 1 << 16
)

// reduction returns a milder form of a fault, or false if there is none.
type reduction func(Entry) (Entry, bool)

// reductions are all reductions, in the order in which they are tried. Each ends after a bounded
// number of applications.
var reductions = []reduction{
	endEarlier(2),
	beginLater(2),
	endEarlier(8),
	beginLater(8),
	limitDirection(Back),
	limitDirection(Forth),
	halveDelay,
	doubleRate,
	doubleBytes,
}

// endEarlier ends a fault earlier by a fraction, 1/divisor, of its duration.
func endEarlier(divisor time.Duration) reduction {
	return func(e Entry) (Entry, bool) {
		e.To -= max(((e.To - e.From) / divisor).Truncate(step), step)
		return e, e.To-e.From >= step
	}
}

// beginLater begins a fault later by a fraction, 1/divisor, of its duration.
func beginLater(divisor time.Duration) reduction {
	return func(e Entry) (Entry, bool) {
		e.From += max(((e.To - e.From) / divisor).Truncate(step), step)
		return e, e.To-e.From >= step
	}
}

// limitDirection limits a fault of both directions to one.
func limitDirection(direction Direction) reduction {
	return func(e Entry) (Entry, bool) {
		if !e.Kind.directed() || e.Direction != Both {
			return e, false
		}
		e.Direction = direction
		return e, true
	}
}

// halveDelay halves the delay of a late fault or the offset of a clock.
func halveDelay(e Entry) (Entry, bool) {
	delay := (e.Delay / 2).Truncate(step)
	if delay == 0 || delay == e.Delay {
		return e, false
	}
	e.Delay = delay
	return e, true
}

// doubleRate doubles the rate of a slow link.
func doubleRate(e Entry) (Entry, bool) {
	if e.Kind != Slow || e.Rate >= maxReducedRate {
		return e, false
	}
	e.Rate *= 2
	return e, true
}

// doubleBytes doubles the bytes before a reset.
func doubleBytes(e Entry) (Entry, bool) {
	if e.Kind != Reset || e.Bytes >= maxReducedBytes {
		return e, false
	}
	e.Bytes = max(2*e.Bytes, 1)
	return e, true
}
