package discovery

import (
	"math/rand/v2"
	"time"
)

// Mean intervals between calls of all instances of a group.
const (
	callInterval      = 100 * time.Millisecond
	firstCallInterval = 50 * time.Millisecond // of first calls, where a list is known
	moveCallInterval  = 25 * time.Millisecond // of calls to a new discovery
)

// Deadlines of the protocol, and what follows from them.
const (
	missedEventDeadline = 6 * time.Second // after the last message of its watch, in which an instance has to get a change
	moveTimeSpent       = 2 * time.Second // of that, when an instance moves to another discovery
	maxAnswerTime       = 2 * time.Second // a discovery answers a call in this time, or rejects it
	deadlineMargin      = 300 * time.Millisecond

	// maxCallDelay is the latest time, after a watch's last message, of a call that is answered by the deadline.
	maxCallDelay = missedEventDeadline - maxAnswerTime - deadlineMargin
)

// Limits of delays.
const (
	minRetryDelay       = 100 * time.Millisecond
	maxMoveDelay        = time.Second
	maxWindow           = 8 * time.Second // over which a group is spread, however large
	maxRejectionSpread  = 2 * time.Second // width of a window after a rejection where the deadline is met or just missed
	maxBackoffDoublings = 2
	stableWatchTime     = 5 * time.Second // after which a watch resets the backoff
)

// Pacer delays the calls of one instance so that those of its complete replica group are spread over time. Without it, a
// discovery that all instances call at once rejects most of them, gets their retries at once, and works on calls that
// have timed out while no instance receives a list. Instances don't communicate: each draws its delay from a window that
// grows with the size of the group, which gives the group a constant rate.
//
// A Pacer is not safe for concurrent use.
type Pacer struct {
	GroupSize int        // instances that call the same discovery; below two is one
	Rand      *rand.Rand // nil always draws the shortest delay
	failures  int        // in a row
}

// FirstDelay is the delay of the first call of an instance that has a cached list.
func (p *Pacer) FirstDelay() time.Duration {
	return p.drawDelay(0, min(firstCallInterval*p.peers(), maxCallDelay))
}

// MoveDelay is the delay of the first call to another discovery.
func (p *Pacer) MoveDelay() time.Duration {
	p.failures = 0
	return p.drawDelay(0, min(moveCallInterval*p.peers(), maxMoveDelay))
}

// RetryDelay is the delay of the next call after a watch, or an attempt at one, that lived for some time. silence is the
// time since the last message of a watch. As long as a call can be answered by the deadline for missed events, the delay
// ends in time for that. Afterwards the time of the failed call counts instead: a discovery that has become reachable
// has another missedEventDeadline from then on.
func (p *Pacer) RetryDelay(lifetime, silence time.Duration) time.Duration {
	if lifetime >= stableWatchTime {
		p.failures = 0
	}
	window := minRetryDelay
	if p.GroupSize > 1 {
		window = min(p.groupCallPeriod()<<min(p.failures, maxBackoffDoublings), maxWindow)
	}
	remaining := maxCallDelay - silence
	if remaining < minRetryDelay && lifetime < stableWatchTime {
		remaining = maxCallDelay - lifetime
	}
	window = min(window, max(remaining, minRetryDelay))
	p.failures++
	return p.drawDelay(minRetryDelay, window)
}

// RejectionDelay is the delay of the next call after one that the discovery rejected, because its answer would have
// taken longer than maxAnswerTime. The call lasted for some time; silence is the time since the last message of a watch.
// A call before the discovery has worked off its queue would be rejected too, which costs it work. The first call of all,
// and the first after a move, are retried as after any other failure: a discovery that has just started rejects calls
// without being busy.
func (p *Pacer) RejectionDelay(callDuration, silence time.Duration) time.Duration {
	if p.failures == 0 || p.GroupSize <= 1 {
		return p.RetryDelay(callDuration, silence)
	}
	groupCallPeriod := p.groupCallPeriod()
	shortest := max(min(maxAnswerTime, groupCallPeriod)-callDuration, minRetryDelay)
	longest := min(shortest+min(maxRejectionSpread, groupCallPeriod), maxWindow)
	switch remaining := maxCallDelay - silence; {
	case remaining >= shortest:
		longest = min(longest, remaining)
	case p.failures > 1:
		longest = min(shortest+groupCallPeriod<<min(p.failures, maxBackoffDoublings), maxWindow)
	}
	p.failures++
	return p.drawDelay(shortest, longest)
}

// groupTime is the time in which each instance of the group may call once.
func (p *Pacer) groupCallPeriod() time.Duration { return callInterval * time.Duration(p.GroupSize) }

// peers is the number of other instances.
func (p *Pacer) peers() time.Duration { return time.Duration(max(0, p.GroupSize-1)) }

// drawDelay draws a delay between two bounds, the upper one excluded.
func (p *Pacer) drawDelay(shortest, longest time.Duration) time.Duration {
	if p.Rand == nil || longest <= shortest {
		return shortest
	}
	return shortest + time.Duration(p.Rand.Int64N(int64(longest-shortest)))
}
