package control

import (
	"math"
	"time"
)

const (
	minWarmupFraction       = 0.1  // of a server's capacity
	slowStartBudgetFraction = 0.32 // part of a warming server's budget that is used
)

// slowStartSettings say how servers warm up and what they bear meanwhile.
type slowStartSettings struct {
	warmupTime       time.Duration // after its start, by which a server has its full capacity; 0 is none
	initialCapacity  float64       // part of its capacity that a server has at its start, at least
	overloadWindow   time.Duration // time over which the load of a server that is warming up is counted
	overloadMultiple float64       // times its present capacity that it bears over that time
	groupSize        int           // gateways that share the servers
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

// isWarmingUp tells whether a server that started at a time warms up still.
func (s *slowStartSettings) isWarmingUp(now, startedAt time.Duration) bool {
	return now < startedAt+s.warmupTime
}

// capacityFraction is the part of its capacity that a server has at least reached.
func (s *slowStartSettings) capacityFraction(now, startedAt time.Duration) float64 {
	if s.warmupTime <= 0 {
		return 1
	}
	progress := (now - startedAt).Seconds() / s.warmupTime.Seconds()
	initial := math.Max(minWarmupFraction, s.initialCapacity)
	return math.Min(1, initial+(1-s.initialCapacity)*math.Max(0, progress))
}

// slowStart limits the attempts at a server that is warming up by a token bucket of units.
type slowStart struct {
	isActive  bool
	startedAt time.Duration
	tokens    float64
	updatedAt time.Duration
}

// begin starts the slow start of a server that started at a time. Guards against a large group whose first
// requests come all at once, or not before the slow start ends, as each gateway takes longer than that to
// earn one: the budget begins with a debt, which is random.
func (s *slowStart) begin(now, startedAt time.Duration, debt float64) {
	s.isActive = true
	s.startedAt = max(startedAt, s.startedAt)
	s.tokens = -debt
	s.updatedAt = now
}

// charge takes the units of an attempt that starts.
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

// refill adds what was earned since the last time, at a rate in units a second, up to a capacity in units.
func (s *slowStart) refill(now time.Duration, rate, capacity float64) {
	s.tokens += rate * (now - s.updatedAt).Seconds()
	s.tokens = math.Min(s.tokens, capacity)
	s.updatedAt = now
}

// throughputEstimate tells how many units a second a warm server can serve for this gateway.
type throughputEstimate interface {
	warmServerThroughput(now time.Duration) float64
}

// allows limits a warming server to this gateway's part of its budget: the throughput of warm servers times
// its capacity fraction and the multiple. Below one attempt a second, it still flows. The load is the number
// of attempts at the server that run or are presumed to.
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
	// Guards against many gateways with an attempt a second each: a bucket that may go into debt lets a
	// part of a request a second flow, as a window would not.
	budget := slowStartBudgetFraction * settings.overloadMultiple * warmup * fleet.warmServerThroughput(now)
	rate := rateFraction * math.Max(budget, 1/float64(settings.groupSize))
	s.refill(now, rate, rate*settings.overloadWindow.Seconds()/2)
	return s.tokens >= 0
}
