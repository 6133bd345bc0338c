package control

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	triedServerPenalty   = 4.0  // factor on the cost of a server that this request has tried
	ejectedServerPenalty = 1e6  // factor on the cost of an ejected server, the last choice
	tieBreakNoise        = 0.02 // random part of a cost, so that gateways choose differently
	utilizationPenalty   = 3.0  // weight of the fourth power of the utilization
	unknownServerPenalty = 3.0  // factor on the cost of a server without a recent report
	minReportingServers  = 4    // with fewer, servers without a report are preferred
)

// endpointSelector chooses the server of an attempt among those of a fleet.
type endpointSelector struct {
	fleet     *serverFleet
	slowStart *slowStartSettings
}

// choose returns the allowed server of the lowest cost; nil if the request has to wait. The rate fraction is
// the part of a slow start's rate that is the caller's.
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

// unknownServerPenalty is the factor on the cost of a server without a recent load report. While few
// servers have reported, it makes the others cheaper, so that they come to report.
func (s *endpointSelector) unknownServerPenalty(now time.Duration) float64 {
	reporting := s.fleet.countServers(func(srv *server) bool { return srv.load.isRecent(now) })
	if reporting < minReportingServers {
		return 1 / unknownServerPenalty
	}
	return unknownServerPenalty
}

// isRepeatDroppedBy tells whether a server would drop a repeat of what the request may have run.
func (r *request) isRepeatDroppedBy(srv *server, now time.Duration) bool {
	if r.repeatGroup == nil || !r.hasIdempotencyKey() {
		return true
	}
	if now >= r.repeatsDroppedUntil() { // it was queued for too long
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

// expectedWait is the cost of a server: its latency times the attempts of this gateway there, raised by
// its reported utilization. Without samples it is the fleet's; without a report it is raised by a
// penalty. Guards against many gateways that each try all servers, slow ones too, in turn. The noise, from
// 0 to 1, makes gateways choose differently.
func (s *endpointSelector) expectedCost(
	now time.Duration, srv *server, unknownPenalty, noise float64,
) float64 {
	fleetLatency := s.fleet.positiveLatency()
	latency := srv.latency.expectedSeconds(now, fleetLatency)
	unknownSlowdown := unknownPenalty
	if srv.isWarmingUp() { // it has no reports yet, and its budget is below its capacity
		unknownSlowdown = 1
	}
	slowdown, serverUtilization := srv.load.expected(now, unknownSlowdown, s.fleet.utilization.mean)
	latency = math.Max(latency, fleetLatency*slowdown)
	if srv.inFlight > 0 { // a silent server is at least as slow as its silence is long
		latency = math.Max(latency, (now - srv.lastActivityAt).Seconds())
	}
	latency *= 1 + utilizationPenalty*serverUtilization*serverUtilization*serverUtilization*serverUtilization
	cost := latency * (float64(srv.currentLoad()) + 1)
	return cost * srv.outlier.costFactor(now) * (1 + tieBreakNoise*noise)
}
