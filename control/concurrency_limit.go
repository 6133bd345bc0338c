package control

import (
	"math"
	"time"
)

const (
	slotsPerServer             = 2    // initial and minimum concurrency limit per usable server
	initialGroupSlotsPerServer = 8.0  // sum of a replica group's initial limits, per server
	limitIncreaseFactor        = 1.25 // growth of the limit after a control window without overload

	minGroupSlotsPerServer    = 2.0   // sum of a replica group's minimum limits, per server
	limitDecreaseFactor       = 0.5   // factor on the limit on overload, at most once a window
	latencyCutFraction        = 0.18  // mean latency, as a fraction of the objective, that shows overload
	latencyHardCutFraction    = 0.33  // the same, regardless of the idle latency
	idleLatencyCutFactor      = 2.0   // multiple of the idle latency below which latency shows no overload
	idleLatencyDrift          = 1.005 // growth of the idle latency in a window without a lower latency
	minIdleLatencySamples     = 25    // samples below which the idle latency follows the mean latency
	overloadCutFraction       = 0.1   // fraction of overloads among the outcomes above which the limit is cut
	overloadIdleLatencyFactor = 1.3   // multiple of the idle latency below which overloads do not cut it
	fullUtilization           = 0.9   // mean reported utilization below which servers have spare capacity
	conclusiveAnswerCount     = 40.0  // answers in a window that can cut the limit despite load reports
	overloadHoldFraction      = 0.03  // fraction of overloads above which the limit does not grow
)

// concurrencyLimiter limits the attempts in flight. It cuts the limit on overload and raises it otherwise.
type concurrencyLimiter struct {
	limit                float64
	cutAt                time.Duration // time of the latest cut
	fractionalSlotFreeAt time.Duration // time before which the fractional part of the limit is not used
	idleLatency          float64       // estimated latency in seconds of servers with little load
}

// minConcurrencyLimit returns the minimum limit: two slots per server, or less in a large replica group,
// whose minimum limits together would otherwise overload the servers.
func minConcurrencyLimit(groupSize int, servers float64) float64 {
	return math.Min(slotsPerServer, minGroupSlotsPerServer/float64(groupSize)) * math.Max(1, servers)
}

// initialize sets the initial limit for a number of usable servers, unless a limit is already set.
func (l *concurrencyLimiter) initialize(groupSize int, usable, minLimit float64) {
	if l.limit != 0 {
		return
	}
	initialLimit := math.Min(slotsPerServer, initialGroupSlotsPerServer/float64(groupSize))
	l.limit = math.Max(minLimit, initialLimit*usable)
}

// update cuts the limit if the window shows overload, and raises it if there was none and the limit was
// reached. It reports whether there was overload. The limit is not cut again for two mean latencies after a
// cut, since answers may belong to earlier attempts.
func (l *concurrencyLimiter) update(
	now time.Duration, window *controlWindow, latency runningMean, minLimit float64,
) (isOverloaded bool) {
	l.idleLatency = math.Min(l.idleLatency*idleLatencyDrift, latency.mean)
	if latency.count < minIdleLatencySamples || l.idleLatency == 0 {
		l.idleLatency = latency.mean
	}
	isOverloaded = l.isOverloaded(window)
	if isOverloaded {
		if now >= l.cutAt+durationOf(2*latency.mean) { // the answers belong to attempts after the latest cut
			l.cutAt = now
			l.limit *= limitDecreaseFactor
		}
	} else if window.overloadFraction() <= overloadHoldFraction && window.limitReached {
		l.limit *= limitIncreaseFactor
	}
	l.limit = math.Max(l.limit, minLimit)
	return isOverloaded
}

// isOverloaded reports whether a window shows that the servers are overloaded.
func (l *concurrencyLimiter) isOverloaded(window *controlWindow) bool {
	// A gateway of a large group gets few answers. They may be slow by chance or come from slow servers, to
	// which the other gateways keep sending, so the limit is cut only if load reports confirm the overload.
	// Many answers are conclusive by themselves, and so are all where there are no load reports.
	isConclusive := window.latencyCount >= conclusiveAnswerCount || window.utilizationCount == 0
	if !isConclusive && !window.isUtilizedAbove(fullUtilization) {
		return false
	}
	if l.isLate(window) {
		return true
	}
	// Servers may reject a plan although they have capacity; then the answers are not slow.
	isSlow := window.latencyCount == 0 || window.isSlowerThan(overloadIdleLatencyFactor, l.idleLatency)
	return window.overloadFraction() > overloadCutFraction && isSlow
}

// isLate reports whether the mean latency of a window alone shows overload.
func (l *concurrencyLimiter) isLate(window *controlWindow) bool {
	latencyRatio := window.meanLatencyRatio()
	if latencyRatio > latencyHardCutFraction {
		return true
	}
	return latencyRatio > latencyCutFraction && window.isSlowerThan(idleLatencyCutFactor, l.idleLatency)
}

// hasFreeSlot reports whether the limit allows another attempt. A fractional slot is paused after each use,
// so that each of hundreds of gateways may have less than one attempt in flight on average.
func (l *concurrencyLimiter) hasFreeSlot(now time.Duration, occupied float64) bool {
	if occupied+1 <= l.limit {
		return true
	}
	return occupied < l.limit && now >= l.fractionalSlotFreeAt
}

// expectedSojournSeconds returns the expected time in the queue and in service of a request that arrives
// behind the given number of queued requests; meanLatency is in seconds.
func (l *concurrencyLimiter) expectedSojournSeconds(queued int, meanLatency float64) float64 {
	return meanLatency * (1 + float64(queued+1)/math.Max(1, l.limit))
}

// pauseAfter pauses the fractional slot after an attempt has ended.
func (l *concurrencyLimiter) pauseAfter(now time.Duration, occupied, latencySeconds float64) {
	if fraction := l.limit - occupied; fraction > 0 && fraction < 1 {
		l.fractionalSlotFreeAt = now + durationOf((1/fraction-1)*latencySeconds)
	}
}

// abandonedAttempt is an attempt that has ended at this gateway and is presumed still running at its server.
type abandonedAttempt struct {
	server *server
	until  time.Duration
}

// attemptSlots counts the attempts that occupy slots of the concurrency limit.
type attemptSlots struct {
	inFlight  int
	streaming int                // attempts in flight that occupy no slot
	abandoned []abandonedAttempt // by ascending end
}

// occupied returns the number of occupied slots: attempts in flight without streaming ones, and abandoned
// attempts that are presumed still running.
func (s *attemptSlots) occupied(now time.Duration) float64 {
	for len(s.abandoned) > 0 && s.abandoned[0].until <= now {
		s.abandoned[0].server.abandoned--
		s.abandoned = s.abandoned[1:]
	}
	return float64(s.inFlight - s.streaming + len(s.abandoned))
}

// abandon adds an abandoned attempt that is presumed to run at a server until the given time.
func (s *attemptSlots) abandon(srv *server, until time.Duration) {
	srv.abandoned++
	s.abandoned = append(s.abandoned, abandonedAttempt{server: srv, until: until})
}
