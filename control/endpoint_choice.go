package control

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	triedServerPenalty   = 4.0  // factor on the cost of a server that this request has already tried
	ejectedServerPenalty = 1e6  // factor on the cost of an ejected server, which makes it the last choice
	tieBreakNoise        = 0.02 // random fraction of a cost, so that gateways choose different servers
	utilizationPenalty   = 3.0  // weight of the fourth power of the utilization
	unknownServerPenalty = 3.0  // factor on the cost of a server without a recent load report
	minReportingServers  = 4    // with fewer reporting servers, those without a report are preferred
)

// endpointSelector selects the server of an attempt from a fleet.
type endpointSelector struct {
	fleet     *serverFleet
	slowStart *slowStartSettings
}

// choose returns the eligible server of the lowest cost, or nil if the request has to wait. rateFraction is
// the fraction of each slow start's rate that this controller may use.
func (s *endpointSelector) choose(
	now time.Duration, rng *rand.Rand, rateFraction float64, req *request,
) *server {
	var best *server
	bestCost := math.Inf(1)
	unknownPenalty := s.unknownServerPenalty(now)
	for _, srv := range s.fleet.sortedServers {
		if !srv.isUsable() || !req.isRepeatDroppedBy(srv, now) {
			continue
		}
		if !srv.slowStart.allows(now, s.slowStart, srv.currentLoad(), rateFraction, s.fleet) {
			continue
		}
		cost := s.expectedCost(now, srv, unknownPenalty, rng.Float64())
		for _, tried := range req.triedServers {
			if tried == srv.Server {
				cost *= triedServerPenalty
			}
		}
		if srv.outlier.isAvoided(now, req.plan) {
			cost *= ejectedServerPenalty
		}
		if cost < bestCost {
			best = srv
			bestCost = cost
		}
	}
	return best
}

// unknownServerPenalty returns the factor on the cost of a server without a recent load report. While few
// servers have reported, the factor is below one, so that the others get requests and report.
func (s *endpointSelector) unknownServerPenalty(now time.Duration) float64 {
	reporting := s.fleet.countServers(func(srv *server) bool { return srv.load.isRecent(now) })
	if reporting < minReportingServers {
		return 1 / unknownServerPenalty
	}
	return unknownServerPenalty
}

// isRepeatDroppedBy reports whether a server would drop a repeat of a run of the request. It is also true if
// there is nothing to drop: the request cannot have run, or has no idempotency key.
func (r *request) isRepeatDroppedBy(srv *server, now time.Duration) bool {
	if r.repeatGroup == nil || !r.hasIdempotencyKey() {
		return true
	}
	if now >= r.repeatsDroppedUntil() { // it was queued beyond its repeat window
		return false
	}
	switch r.class.KeyScope {
	case ScopeAll:
		return true
	case ScopeZone:
		return r.repeatGroup.Zone == srv.Zone
	case ScopeCell:
		return r.repeatGroup.Cell == srv.Cell
	default:
		return false
	}
}

// expectedCost returns the cost of a server: its latency times this gateway's attempts there, raised by its
// reported utilization. Without samples the latency is that of the fleet; without a report it is raised by a
// penalty, so that not each of many gateways has to try every server, including slow ones. The noise, from 0
// to 1, makes gateways choose different servers.
func (s *endpointSelector) expectedCost(
	now time.Duration, srv *server, unknownPenalty, noise float64,
) float64 {
	fleetLatency := s.fleet.positiveLatency()
	latency := srv.latency.expectedSeconds(now, fleetLatency)
	unknownSlowdown := unknownPenalty
	if srv.isWarmingUp() { // it has not reported yet, and its slow start keeps it below its capacity
		unknownSlowdown = 1
	}
	slowdown, serverUtilization := srv.load.expected(now, unknownSlowdown, s.fleet.utilization.mean)
	latency = math.Max(latency, fleetLatency*slowdown)
	if srv.inFlight > 0 { // a server that has not answered since is at least that slow
		latency = math.Max(latency, (now - srv.lastActivityAt).Seconds())
	}
	latency *= 1 + utilizationPenalty*serverUtilization*serverUtilization*serverUtilization*serverUtilization
	cost := latency * (float64(srv.currentLoad()) + 1)
	return cost * srv.outlier.costFactor(now) * (1 + tieBreakNoise*noise)
}
