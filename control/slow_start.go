package control

import (
	"math"
	"time"
)

const (
	minWarmupFraction       = 0.1  // minimum fraction of its capacity that a warming server is assumed to have
	slowStartBudgetFraction = 0.32 // fraction of a warming server's budget that is used
)

// slowStartSettings define how servers warm up and how much load they tolerate meanwhile.
type slowStartSettings struct {
	warmupTime       time.Duration // time from its start to a server's full capacity; 0 is no warmup
	initialCapacity  float64       // minimum fraction of its capacity that a server has at its start
	overloadWindow   time.Duration // window over which the load of a warming server is counted
	overloadMultiple float64       // tolerated load over that window, as a multiple of its current capacity
	groupSize        int           // number of gateways that share the servers
}

func newSlowStartSettings(settings *Settings) slowStartSettings {
	return slowStartSettings{
		warmupTime:       settings.WarmupTime,
		initialCapacity:  settings.InitialCapacity,
		overloadWindow:   settings.OverloadWindow,
		overloadMultiple: settings.OverloadMultiple,
		groupSize:        settings.GroupSize,
	}
}

// isWarmingUp reports whether a server that started at startedAt is still warming up.
func (s *slowStartSettings) isWarmingUp(now, startedAt time.Duration) bool {
	return now < startedAt+s.warmupTime
}

// capacityFraction returns the fraction of its full capacity that a server has reached at least.
func (s *slowStartSettings) capacityFraction(now, startedAt time.Duration) float64 {
	if s.warmupTime <= 0 {
		return 1
	}
	progress := (now - startedAt).Seconds() / s.warmupTime.Seconds()
	initial := math.Max(minWarmupFraction, s.initialCapacity)
	return math.Min(1, initial+(1-s.initialCapacity)*math.Max(0, progress))
}

// slowStart limits the attempts at a warming server by a token bucket of units.
type slowStart struct {
	isActive  bool
	startedAt time.Duration
	tokens    float64
	updatedAt time.Duration
}

// begin starts the slow start of a server that started at startedAt. The bucket begins with a random debt. In
// a large group, where a gateway may take longer than the whole slow start to earn the tokens of one request,
// the gateways would otherwise send their first requests all at once, or none before the slow start ends.
func (s *slowStart) begin(now, startedAt time.Duration, debt float64) {
	s.isActive = true
	s.startedAt = max(startedAt, s.startedAt)
	s.tokens = -debt
	s.updatedAt = now
}

// charge takes the units of a starting attempt from the bucket.
func (s *slowStart) charge(units float64) {
	if s.isActive {
		s.tokens -= units
	}
}

// refund returns the units of an attempt that was not sent, if they were charged to this slow start.
func (s *slowStart) refund(units float64, sentAt time.Duration) {
	if s.isActive && sentAt >= s.startedAt {
		s.tokens += units
	}
}

// refill adds the tokens earned since the last refill, at a rate in units per second, up to a capacity in
// units.
func (s *slowStart) refill(now time.Duration, rate, capacity float64) {
	s.tokens += rate * (now - s.updatedAt).Seconds()
	s.tokens = math.Min(s.tokens, capacity)
	s.updatedAt = now
}

// throughputEstimate estimates the units per second that one warm server can serve for this gateway.
type throughputEstimate interface {
	warmServerThroughput(now time.Duration) float64
}

// allows reports whether an attempt may be sent to the server. A warming server is limited to this gateway's
// budget: the throughput of a warm server times the capacity fraction and the overload multiple, which may be
// less than one attempt per second. load is the number of attempts that run, or are presumed to run, there.
func (s *slowStart) allows(
	now time.Duration, settings *slowStartSettings, load int, rateFraction float64, fleet throughputEstimate,
) bool {
	if !s.isActive {
		return true
	}
	if !settings.isWarmingUp(now, s.startedAt) {
		s.isActive = false
		return true
	}
	warmup := settings.capacityFraction(now, s.startedAt)
	if float64(load) >= math.Max(1, math.Floor(warmup*slotsPerServer)) {
		return false
	}
	// With many gateways, even one attempt per second from each would be too much. A bucket that may go into
	// debt allows rates below one request per second, which a counting window would not.
	budget := slowStartBudgetFraction * settings.overloadMultiple * warmup * fleet.warmServerThroughput(now)
	rate := rateFraction * math.Max(budget, 1/float64(settings.groupSize))
	s.refill(now, rate, rate*settings.overloadWindow.Seconds()/2)
	return s.tokens >= 0
}
