package control

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	triedServerPenalty      = 4.0  // factor on the cost of a server that this request has tried
	ejectedServerPenalty    = 1e6  // factor on the cost of an ejected server, the last choice
	tieBreakNoise           = 0.02 // random part of a cost, so that gateways choose differently
	latencyDecaySeconds     = 5.0  // time constant of the trust in an estimate without new samples
	latencyPriorSamples     = 6.0  // recent samples that weigh as much as the fleet's latency
	slowdownDecaySeconds    = 40.0 // time constant of a reported slowdown
	minSlowdown             = 1.5  // below it, a server counts as fast as the fleet
	utilizationDecaySeconds = 2.0  // time constant of a reported utilization
	utilizationPenalty      = 3.0  // weight of the fourth power of the utilization
	unknownServerPenalty    = 3.0  // factor on the cost of a server without a recent report
	minReportingServers     = 4    // with fewer, servers without a report are preferred
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
		load := srv.inFlight + srv.abandoned
		if !srv.slowStart.allows(now, s.slowStart, load, rateFraction, s.fleet) {
			continue
		}
		cost := s.expectedWait(now, srv, unknownPenalty, rng.Float64())
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
func (s *endpointSelector) expectedWait(
	now time.Duration, srv *server, unknownPenalty, noise float64,
) float64 {
	fleetLatency := s.fleet.minLatency()
	latency := fleetLatency
	slowdown := unknownPenalty
	busy := s.fleet.utilization.mean
	if srv.latency.samples > 0 {
		freshSamples := srv.latency.samples * decayFactor(now-srv.latency.updatedAt, latencyDecaySeconds)
		latency += (srv.latency.seconds - fleetLatency) * freshSamples / (freshSamples + latencyPriorSamples)
	}
	if srv.slowStart.isActive { // it has no reports yet, and its budget is below its capacity
		slowdown = 1
	}
	if srv.load.reportedAt > 0 {
		since := now - srv.load.reportedAt
		slowdown += (srv.load.slowdown - slowdown) * decayFactor(since, slowdownDecaySeconds)
		busy += (srv.load.utilization - busy) * decayFactor(since, utilizationDecaySeconds)
	}
	latency = math.Max(latency, fleetLatency*slowdown)
	if srv.inFlight > 0 { // a silent server is at least as slow as its silence is long
		latency = math.Max(latency, (now - srv.lastActivityAt).Seconds())
	}
	latency *= 1 + utilizationPenalty*busy*busy*busy*busy
	cost := latency * (float64(srv.inFlight+srv.abandoned) + 1)
	return cost * srv.outlier.costFactor(now) * (1 + tieBreakNoise*noise)
}

// add takes the latency of an answer, or the time after which there was none.
func (l *latencyEstimate) add(now time.Duration, seconds float64) {
	if l.seconds == 0 {
		l.seconds = seconds
	}
	l.seconds += serverLatencyGain * (seconds - l.seconds)
	l.samples = 1 + l.samples*decayFactor(now-l.updatedAt, latencyDecaySeconds)
	l.updatedAt = now
}

// isRecent tells whether the latest report still counts.
func (l *loadEstimate) isRecent(now time.Duration) bool {
	return l.reportedAt > 0 && now < l.reportedAt+durationOf(slowdownDecaySeconds)
}

// recordLoadReport takes a report, which covers the requests of all gateways. Its mean latency starts at
// zero and follows slowly: it can show that a server is slow, but not that it is fast. Guards against a
// server just started that all gateways find the fastest.
func (f *serverFleet) recordLoadReport(now time.Duration, srv *server, report *LoadReport) {
	reportedLatency := report.MeanLatencyMS / 1000
	f.utilization.add(math.Min(1, report.Utilization), fleetEstimateGain)
	f.reportedLatency.add(reportedLatency, fleetEstimateGain)
	own := f.minLatency() / 2
	srv.load.slowdown = (reportedLatency + own) / (f.reportedLatency.mean + own)
	if srv.load.slowdown < minSlowdown {
		srv.load.slowdown = 1
	}
	srv.load.utilization = math.Min(1, report.Utilization)
	srv.load.reportedAt = now
}

// minLatency is the fleet's latency in seconds, or a small one where none is known.
func (f *fleetEstimate) minLatency() float64 { return math.Max(f.latency.mean, 1e-3) }
