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

// chooseServer is the server of least expected wait that the rules allow; nil is to wait.
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

// expectedWait is the expected wait at a server: its latency times what it holds of ours, and more the
// busier it says its cores are. Own answers count by their number, as the work of each is a draw.
// What is not known is taken to be as with the fleet; a server not seen of late costs unknown times
// as much. Guards against each of many gateways that tries all servers in turn, and so the slow
// ones, and opens connections to all.
func (c *Controller) expectedWait(srv *server, unknownPenalty float64) float64 {
	fleetLatency := math.Max(c.fleetLatency, 1e-3)
	latency, slowdown, busy := fleetLatency, unknownPenalty, c.fleetUtilization
	if srv.latencySamples > 0 {
		freshSamples := srv.latencySamples * decayFactor(c.now-srv.latencyAt, latencyDecaySeconds)
		latency += (srv.latency - fleetLatency) * freshSamples / (freshSamples + latencyPriorSamples)
	}
	if srv.isWarmingUp { // none has told for long of one, and its budget is below what it can do
		slowdown = 1
	}
	if srv.reportedAt > 0 {
		since := c.now - srv.reportedAt
		slowdown += (srv.slowdown - slowdown) * decayFactor(since, slowdownDecaySeconds)
		busy += (srv.utilization - busy) * decayFactor(since, utilizationDecaySeconds)
	}
	latency = math.Max(latency, fleetLatency*slowdown)
	if srv.inFlight > 0 { // a server that is silent is at least as slow as its silence
		latency = math.Max(latency, (c.now - srv.lastActivityAt).Seconds())
	}
	latency *= 1 + utilizationPenalty*busy*busy*busy*busy
	load := float64(srv.inFlight + srv.abandoned)
	cost := latency * (load + 1)
	excess := math.Max(0, c.currentFailureRate(srv)-failureRateGain) // one failure says nothing
	return cost * (1 + failureRatePenalty*excess*excess) * (1 + tieBreakNoise*c.rng.Float64())
}

// hasRecentReport tells whether a server has told of its load of late.
func (c *Controller) hasRecentReport(srv *server) bool {
	return srv.reportedAt > 0 && c.now < srv.reportedAt+durationOf(slowdownDecaySeconds)
}

// currentFailureRate is the part of a server's attempts that is taken to fail. It is forgotten with time,
// as a server that is not chosen has no chance to do better.
func (c *Controller) currentFailureRate(srv *server) float64 {
	return srv.failureRate * decayFactor(c.now-srv.failureRateAt, latencyDecaySeconds)
}

// recordFailureRate takes whether an attempt at a server failed: 1 or 0. Guards against a server that fails
// part of its requests at once: never so often in a row as to be put aside, it looks idle and
// draws the rest.
func (c *Controller) recordFailureRate(srv *server, failed float64) {
	rate := c.currentFailureRate(srv)
	srv.failureRate, srv.failureRateAt = rate+failureRateGain*(failed-rate), c.now
}

// recordFailure counts a failure that speaks against the server.
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

// recordLoadReport takes what a server tells of its load, which is of all gateways' requests and so the most
// that one of many gateways can know. Its mean time follows slowly and begins at nothing: it tells
// a slow server from others, beside the time that work takes here, but not one that is faster.
// Guards against a server just started that all find the fastest.
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
