package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	callEvery   = 100 * time.Millisecond // a group's calls come no closer together than this, on average
	firstEvery  = 50 * time.Millisecond  // the same of first calls, where a list is known
	moveEvery   = 25 * time.Millisecond  // the same after a move: its news counts as told 4 s later
	moveMost    = time.Second
	backoffMore = 2               // doublings of the window at most
	livedLong   = 5 * time.Second // a watch that has lived for so long was taken: what went before is forgotten

	newsWithin = 6 * time.Second // what is missed counts as told so long after a watch was last heard
	movedSpent = 2 * time.Second // of that, where the discovery was left for another: 4 s later it counts
	answerMost = 2 * time.Second // a discovery answers a call by then, or turns it away
	newsSpare  = 300 * time.Millisecond
	askMost    = newsWithin - answerMost - newsSpare // a call that comes no later is answered in time
	callsLeast = 2 * time.Second                     // a discovery takes a call of each instance in this at the soonest
	callsMost  = 8 * time.Second                     // and in this at the latest, however many they are
)

// Pacer spreads the calls of a group's instances over time. Guards against a discovery that is
// asked by all of them at once, turns most of them away, and is asked by those again at once: it
// works on calls that nobody waits for any more, and nobody is told anything, for as long as they go
// on. Instances that can't talk keep to a rate together by waits drawn from a window as long as
// the group is large.
type Pacer struct {
	GroupSize int        // instances that ask; below two is one
	Rand      *rand.Rand // nil never waits for longer than it must
	fails     int        // in a row
}

// FirstDelay is the wait before the first call of one that knows a list already.
func (p *Pacer) FirstDelay() time.Duration { return p.draw(0, min(firstEvery*p.others(), askMost)) }

// MoveDelay is the wait before the first call to another discovery.
func (p *Pacer) MoveDelay() time.Duration {
	p.fails = 0
	return p.draw(0, min(moveEvery*p.others(), moveMost))
}

// RetryDelay is the wait before the next call after a watch that lived for some time and was last heard
// some time ago. Guards against one that asks when what it missed has long counted as told: while a
// call can still be answered in time, it is made in time. Behind that the clock is of what discovery has had
// since the call that has just failed: a discovery that can be reached again counts as heard 6 s later.
func (p *Pacer) RetryDelay(lived, quiet time.Duration) time.Duration {
	if lived >= livedLong {
		p.fails = 0
	}
	window := backoffFirst
	if p.GroupSize > 1 {
		window = min(callEvery*time.Duration(p.GroupSize)<<min(p.fails, backoffMore), callsMost)
	}
	left := askMost - quiet
	if left < backoffFirst && lived < livedLong {
		left = askMost - lived
	}
	window = min(window, max(left, backoffFirst))
	p.fails++
	return p.draw(backoffFirst, window)
}

// RejectionDelay is the wait before the next call after one that a discovery turned away, which it does where
// its answer would take longer than answerMost; the call lasted for some time, and the watch before was
// last heard some time ago. Guards against a discovery that turns calls away at once: until what it has
// is done it does so again, and that is work too. The first call of all, and the first after a move, may be
// made again at once, as a discovery that has just started turns calls away with nothing to do.
func (p *Pacer) RejectionDelay(lasted, quiet time.Duration) time.Duration {
	if p.fails == 0 || p.GroupSize <= 1 {
		return p.RetryDelay(lasted, quiet)
	}
	one := callEvery * time.Duration(p.GroupSize)
	least := max(min(answerMost, one)-lasted, backoffFirst)
	most := min(least+min(callsLeast, one), callsMost)
	switch left := askMost - quiet; {
	case left >= least:
		most = min(most, left)
	case p.fails > 1:
		most = min(least+one<<min(p.fails, backoffMore), callsMost)
	}
	p.fails++
	return p.draw(least, most)
}

func (p *Pacer) others() time.Duration { return time.Duration(max(0, p.GroupSize-1)) }

func (p *Pacer) draw(least, most time.Duration) time.Duration {
	if p.Rand == nil || most <= least {
		return least
	}
	return least + time.Duration(p.Rand.Int64N(int64(most-least)))
}
