package control

import (
	"math"
	"time"
)

// Tuned constants of the choice of server.
const (
	triedServerPenalty      = 4.0         // factor on the cost of a server that this request has tried
	ejectedServerPenalty    = 1e6         // factor on the cost of an ejected server, the last choice
	failureRateGain         = 0.15        // gain of a server's failure rate
	failureRatePenalty      = 5.0         // weight of the square of the failure rate above one failure's
	tieBreakNoise           = 0.02        // random part of a cost, so that gateways choose differently
	latencyDecaySeconds     = 5.0         // time constant of the trust in an estimate without new samples
	latencyPriorSamples     = 6.0         // recent samples that weigh as much as the fleet's latency
	slowdownDecaySeconds    = 40.0        // time constant of a reported slowdown
	minSlowdown             = 1.5         // below it, a server counts as fast as the fleet
	utilizationDecaySeconds = 2.0         // time constant of a reported utilization
	utilizationPenalty      = 3.0         // weight of the fourth power of the utilization
	unknownServerPenalty    = 3.0         // factor on the cost of a server without a recent report
	minReportingServers     = 4           // with fewer, servers without a report are preferred
	initialEjectionTime     = time.Second // doubles at each ejection without a success between
	maxEjectionTime         = 8 * time.Second
)

func (s *server) isUsable() bool { return s.isListed && s.State == Active }

func (c *Controller) isEjected(srv *server) bool {
	return srv.consecutiveFailures >= ejectionFailures && c.now < srv.ejectedUntil
}

// chooseServer returns the allowed server of the lowest cost; nil if the request has to wait.
func (c *Controller) chooseServer(req *request) *server {
	var best *server
	bestCost := math.Inf(1)
	unknownPenalty := unknownServerPenalty
	if c.countServers(c.hasRecentReport) < minReportingServers {
		unknownPenalty = 1 / unknownServerPenalty
	}
	for _, srv := range c.sortedServers {
		if !srv.isUsable() || !c.dropsRepeats(req, srv) || !c.allowsSlowStart(srv) {
			continue
		}
		cost := c.expectedWait(srv, unknownPenalty)
		for _, tried := range req.triedServers {
			if tried == srv.Server {
				cost *= triedServerPenalty
			}
		}
		if c.isEjected(srv) || srv.isProbing || c.now < srv.planRejectedUntil[req.plan] {
			cost *= ejectedServerPenalty
		}
		if cost < bestCost {
			best, bestCost = srv, cost
		}
	}
	return best
}

// dropsRepeats tells whether a server would drop a repeat of what the request may have run.
func (c *Controller) dropsRepeats(req *request, srv *server) bool {
	if req.repeatGroup == nil || req.class.Idempotency != IdempotencyKeyed {
		return true
	}
	if c.now >= req.firstRunAt+req.class.RepeatWindow { // it waited in the queue for too long
		return false
	}
	if req.class.KeyScope == ScopeAll {
		return true
	}
	return req.class.KeyScope == ScopeZone && req.repeatGroup.Zone == srv.Zone ||
		req.class.KeyScope == ScopeCell && req.repeatGroup.Cell == srv.Cell
}

// expectedWait is the cost of a server: its latency times the attempts of this gateway there, raised by
// its reported utilization. Without samples it is the fleet's; without a report it is raised by a
// penalty. Guards against many gateways that each try all servers, slow ones too, in turn.
func (c *Controller) expectedWait(srv *server, unknownPenalty float64) float64 {
	fleetLatency := math.Max(c.fleetLatency, 1e-3)
	latency, slowdown, busy := fleetLatency, unknownPenalty, c.fleetUtilization
	if srv.latencySamples > 0 {
		freshSamples := srv.latencySamples * decayFactor(c.now-srv.latencyAt, latencyDecaySeconds)
		latency += (srv.latency - fleetLatency) * freshSamples / (freshSamples + latencyPriorSamples)
	}
	if srv.isWarmingUp { // it has no reports yet, and its budget is below its capacity
		slowdown = 1
	}
	if srv.reportedAt > 0 {
		since := c.now - srv.reportedAt
		slowdown += (srv.slowdown - slowdown) * decayFactor(since, slowdownDecaySeconds)
		busy += (srv.utilization - busy) * decayFactor(since, utilizationDecaySeconds)
	}
	latency = math.Max(latency, fleetLatency*slowdown)
	if srv.inFlight > 0 { // a silent server is at least as slow as its silence is long
		latency = math.Max(latency, (c.now - srv.lastActivityAt).Seconds())
	}
	latency *= 1 + utilizationPenalty*busy*busy*busy*busy
	load := float64(srv.inFlight + srv.abandoned)
	cost := latency * (load + 1)
	excess := math.Max(0, c.currentFailureRate(srv)-failureRateGain) // one failure says nothing
	return cost * (1 + failureRatePenalty*excess*excess) * (1 + tieBreakNoise*c.rng.Float64())
}

func (c *Controller) hasRecentReport(srv *server) bool {
	return srv.reportedAt > 0 && c.now < srv.reportedAt+durationOf(slowdownDecaySeconds)
}

// currentFailureRate decays, as a server that is not chosen has no chance to do better.
func (c *Controller) currentFailureRate(srv *server) float64 {
	return srv.failureRate * decayFactor(c.now-srv.failureRateAt, latencyDecaySeconds)
}

// recordFailureRate takes an attempt that failed, 1, or succeeded, 0. Guards against a server that fails
// part of its requests at once: it is never ejected, looks idle and attracts the others.
func (c *Controller) recordFailureRate(srv *server, failed float64) {
	rate := c.currentFailureRate(srv)
	srv.failureRate, srv.failureRateAt = rate+failureRateGain*(failed-rate), c.now
}

// recordFailure counts n consecutive failures and ejects the server if they are enough.
func (c *Controller) recordFailure(srv *server, n int) {
	srv.consecutiveFailures += n
	srv.isProbing = false
	if srv.consecutiveFailures >= ejectionFailures && c.now >= srv.ejectedUntil {
		srv.ejectionTime = min(max(initialEjectionTime, 2*srv.ejectionTime), maxEjectionTime)
		srv.ejectedUntil = c.now + srv.ejectionTime
	}
}

func (c *Controller) recordLatency(srv *server, seconds float64) {
	if srv.latency == 0 {
		srv.latency = seconds
	}
	srv.latency += serverLatencyGain * (seconds - srv.latency)
	srv.latencySamples = 1 + srv.latencySamples*decayFactor(c.now-srv.latencyAt, latencyDecaySeconds)
	srv.latencyAt = c.now
}

// recordLoadReport takes a report, which covers the requests of all gateways. Its mean latency starts at
// zero and follows slowly: it can show that a server is slow, but not that it is fast. Guards against a
// server just started that all gateways find the fastest.
func (c *Controller) recordLoadReport(srv *server, report *LoadReport) {
	if report.Utilization < 0 || report.MeanLatencyMS < 0 {
		return
	}
	c.reportCount++
	gain := math.Max(fleetEstimateGain, 1/c.reportCount)
	c.fleetUtilization += gain * (math.Min(1, report.Utilization) - c.fleetUtilization)
	c.fleetReportedLatency += gain * (report.MeanLatencyMS/1000 - c.fleetReportedLatency)
	own := math.Max(c.fleetLatency, 1e-3) / 2
	srv.slowdown = (report.MeanLatencyMS/1000 + own) / (c.fleetReportedLatency + own)
	if srv.slowdown < minSlowdown {
		srv.slowdown = 1
	}
	srv.utilization, srv.reportedAt = math.Min(1, report.Utilization), c.now
	c.utilizationSum += srv.utilization
	c.utilizationCount++
}
