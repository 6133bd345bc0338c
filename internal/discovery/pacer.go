package discovery

import (
	"math/rand/v2"
	"time"
)

// Mean intervals between two calls of a group, counting the calls of all its instances.
const (
	callInterval      = 100 * time.Millisecond
	firstCallInterval = 50 * time.Millisecond // for first calls of instances with a cached list
	moveCallInterval  = 25 * time.Millisecond // for first calls to another discovery
)

// Deadlines of the discovery protocol, and values derived from them.
const (
	missedEventDeadline = 6 * time.Second // from a watch's last message until the instance must have received a missed change
	moveTimeSpent       = 2 * time.Second // part of missedEventDeadline that has passed when an instance moves to another discovery
	maxAnswerTime       = 2 * time.Second // a discovery answers or rejects a call within this time
	deadlineMargin      = 300 * time.Millisecond

	// maxCallDelay is how long after a watch's last message a call can start and still be answered by the deadline.
	maxCallDelay = missedEventDeadline - maxAnswerTime - deadlineMargin
)

// Limits of the delays that a Pacer returns.
const (
	minRetryDelay       = 100 * time.Millisecond
	maxMoveDelay        = time.Second
	maxWindow           = 8 * time.Second // limits the time over which a group of any size is spread
	maxRejectionSpread  = 2 * time.Second // window width after a rejection while the deadline can be met or is just missed
	maxBackoffDoublings = 2
	stableWatchTime     = 5 * time.Second // a watch that lasted this long resets the backoff
)

// Pacer delays the calls of one instance so that the calls of its complete replica group are spread over time. Without
// it, a discovery that all instances call at the same time rejects most of the calls, then receives the retries at the
// same time, and processes calls that have already timed out, while no instance receives a list. Instances don't
// coordinate: each draws its delay from a window that is proportional to the group size, which keeps the call rate of
// the group constant.
//
// A Pacer is not safe for concurrent use.
type Pacer struct {
	GroupSize int        // instances that call the same discovery; values below 2 mean one instance
	Rand      *rand.Rand // if nil, every delay is the shortest one
	failures  int        // consecutive failures
}

// FirstDelay returns the delay of the first call of an instance that has a cached list.
func (p *Pacer) FirstDelay() time.Duration {
	return p.drawDelay(0, min(firstCallInterval*p.peers(), maxCallDelay))
}

// MoveDelay returns the delay of the first call to another discovery, and resets the backoff.
func (p *Pacer) MoveDelay() time.Duration {
	p.failures = 0
	return p.drawDelay(0, min(moveCallInterval*p.peers(), maxMoveDelay))
}

// RetryDelay returns the delay of the next call after a watch has ended, or a call has failed, that lasted for lifetime.
// silence is the time since the last message of any watch. While a call can still be answered by missedEventDeadline,
// the delay ends early enough for that. After that the deadline counts from the start of the failed call instead: a
// discovery that has become reachable since then has another missedEventDeadline to deliver its changes.
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

// RejectionDelay returns the delay of the next call after the discovery has rejected one, because an answer would have
// taken longer than maxAnswerTime. callDuration is how long the rejected call lasted; silence is the time since the last
// message of a watch. A retry before the discovery has processed its queue would be rejected too and cost it work. The
// very first call, and the first one after a move, are retried as after any other failure, because a discovery that has
// just started rejects calls without being overloaded.
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

// groupCallPeriod returns the time in which each instance of the group may make one call.
func (p *Pacer) groupCallPeriod() time.Duration { return callInterval * time.Duration(p.GroupSize) }

// peers returns the number of other instances in the group.
func (p *Pacer) peers() time.Duration { return time.Duration(max(0, p.GroupSize-1)) }

// drawDelay returns a random delay of at least shortest and less than longest.
func (p *Pacer) drawDelay(shortest, longest time.Duration) time.Duration {
	if p.Rand == nil || longest <= shortest {
		return shortest
	}
	return shortest + time.Duration(p.Rand.Int64N(int64(longest-shortest)))
}
