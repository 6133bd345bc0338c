package control

import (
	"math"
	"time"
)

const (
	slotsPerServer             = 2    // concurrency limit per usable server: initial and minimum
	initialGroupSlotsPerServer = 8.0  // sum of a replica group's initial limits, per server
	limitIncreaseFactor        = 1.25 // growth of the limit after a window without overload

	minGroupSlotsPerServer    = 2.0   // sum of a replica group's minimum limits, per server
	limitDecreaseFactor       = 0.5   // on overload, at most once a window
	latencyCutFraction        = 0.18  // mean latency, as a part of the objective, that counts as overload
	latencyHardCutFraction    = 0.33  // the same whatever the idle latency
	idleLatencyCutFactor      = 2.0   // times the idle latency below which latency is no overload
	idleLatencyDrift          = 1.005 // growth of the idle latency in a window without a lower one
	minIdleLatencySamples     = 25    // before an idle latency is kept
	overloadCutFraction       = 0.1   // part of a window's outcomes that show overload at which the limit is cut
	overloadIdleLatencyFactor = 1.3   // times the idle latency below which it is not
	fullUtilization           = 0.9   // mean reported utilization below which servers have spare capacity
	conclusiveAnswerCount     = 40.0  // answers in a window whose mean alone can cut the limit
	overloadHoldFraction      = 0.03  // part of the outcomes above which the limit does not grow
)

// concurrencyLimiter limits the attempts in flight: it cuts the limit on overload and raises it without.
type concurrencyLimiter struct {
	limit                float64
	cutAt                time.Duration // of the latest cut
	fractionalSlotFreeAt time.Duration // before, the part of the limit beyond a whole number is not used
	idleLatency          float64       // seconds; latency of answers by servers with little load
}

// minConcurrencyLimit is twice the servers, or this gateway's part of the replica group's sum. Guards
// against many gateways whose minimum limits alone overload the servers.
func minConcurrencyLimit(groupSize int, servers float64) float64 {
	return math.Min(slotsPerServer, minGroupSlotsPerServer/float64(groupSize)) * math.Max(1, servers)
}

// open sets the first limit, for a number of usable servers; a limit that is set stays.
func (l *concurrencyLimiter) initialize(groupSize int, usable, minLimit float64) {
	if l.limit != 0 {
		return
	}
	initialLimit := math.Min(slotsPerServer, initialGroupSlotsPerServer/float64(groupSize))
	l.limit = math.Max(minLimit, initialLimit*usable)
}

// update cuts the limit on overload in a window, and raises it if there was none and it was reached. It
// returns whether there was overload; the limit is not cut again soon after a cut.
func (l *concurrencyLimiter) update(
	now time.Duration, window *controlWindow, latency runningMean, minLimit float64,
) (isOverloaded bool) {
	l.idleLatency = math.Min(l.idleLatency*idleLatencyDrift, latency.mean)
	if latency.count < minIdleLatencySamples || l.idleLatency == 0 {
		l.idleLatency = latency.mean
	}
	isOverloaded = l.isOverloaded(window)
	if isOverloaded {
		if now >= l.cutAt+durationOf(2*latency.mean) { // the answers are to attempts after the last cut
			l.cutAt = now
			l.limit *= limitDecreaseFactor
		}
	} else if window.overloadFraction() <= overloadHoldFraction && window.limitReached {
		l.limit *= limitIncreaseFactor
	}
	l.limit = math.Max(l.limit, minLimit)
	return isOverloaded
}

// isOverloaded tells whether a window shows that servers have too much to do.
func (l *concurrencyLimiter) isOverloaded(window *controlWindow) bool {
	// Guards, in a large group, against cutting for a few answers that are slow by chance or come from
	// slow servers, to which others send no less; many answers are sure without load reports.
	isConclusive := window.latencyCount >= conclusiveAnswerCount || window.utilizationCount == 0
	if !isConclusive && !window.isUtilizedAbove(fullUtilization) {
		return false
	}
	if l.isLate(window) {
		return true
	}
	// Guards against servers that reject a plan though they have capacity: answers are not slow then.
	isSlow := window.latencyCount == 0 || window.isSlowerThan(overloadIdleLatencyFactor, l.idleLatency)
	return window.overloadFraction() > overloadCutFraction && isSlow
}

// isLate tells whether the mean latency of a window shows overload by itself.
func (l *concurrencyLimiter) isLate(window *controlWindow) bool {
	latencyRatio := window.meanLatencyRatio()
	if latencyRatio > latencyHardCutFraction {
		return true
	}
	return latencyRatio > latencyCutFraction && window.isSlowerThan(idleLatencyCutFactor, l.idleLatency)
}

// hasFreeSlot tells whether another attempt is within the limit. A fractional slot pauses after each
// use, so that hundreds of gateways may each have less than one attempt in flight.
func (l *concurrencyLimiter) hasFreeSlot(now time.Duration, occupied float64) bool {
	if occupied+1 <= l.limit {
		return true
	}
	return occupied < l.limit && now >= l.fractionalSlotFreeAt
}

// expectedTurnSeconds is the time that a request which joins so many queued ones waits and occupies its
// slot, by the mean latency in seconds.
func (l *concurrencyLimiter) expectedSojournSeconds(queued int, meanLatency float64) float64 {
	return meanLatency * (1 + float64(queued+1)/math.Max(1, l.limit))
}

// pauseAfter holds the fractional slot back after an attempt that ended.
func (l *concurrencyLimiter) pauseAfter(now time.Duration, occupied, latencySeconds float64) {
	if fraction := l.limit - occupied; fraction > 0 && fraction < 1 {
		l.fractionalSlotFreeAt = now + durationOf((1/fraction-1)*latencySeconds)
	}
}

// abandonedAttempt is one that has ended here and is presumed still running at its server.
type abandonedAttempt struct {
	server *server
	until  time.Duration
}

// attemptSlots counts the attempts that occupy slots of the concurrency limit.
type attemptSlots struct {
	inFlight  int
	streaming int                // of those in flight, which occupy none
	abandoned []abandonedAttempt // by their ends
}

// occupied counts the attempts in flight, without streaming ones, and the abandoned ones that are presumed
// still running.
func (s *attemptSlots) occupied(now time.Duration) float64 {
	for len(s.abandoned) > 0 && s.abandoned[0].until <= now {
		s.abandoned[0].server.abandoned--
		s.abandoned = s.abandoned[1:]
	}
	return float64(s.inFlight - s.streaming + len(s.abandoned))
}

// abandon counts an attempt at a server that is presumed still running.
func (s *attemptSlots) abandon(srv *server, until time.Duration) {
	srv.abandoned++
	s.abandoned = append(s.abandoned, abandonedAttempt{server: srv, until: until})
}
