package control

import "math"

// Tuned constants of slow start.
const (
	minWarmupFraction       = 0.1  // of a server's capacity
	slowStartBudgetFraction = 0.32 // part of a warming server's budget that is used
)

// trackRestart takes an entry of the list before it replaces what was listed. A server that started
// anew has no record, and starts cold with nothing to spend.
func (c *Controller) trackRestart(srv *server, endpoint Endpoint) {
	if endpoint.HasStartedAt && (!srv.HasStartedAt || endpoint.StartedAt > srv.StartedAt) {
		srv.latency, srv.latencySamples, srv.reportedAt = 0, 0, 0
		srv.failureRate, srv.consecutiveFailures, srv.ejectedUntil, srv.ejectionTime = 0, 0, 0, 0
		clear(srv.planRejectedUntil)
	}
	if endpoint.HasStartedAt && c.now < endpoint.StartedAt+c.settings.WarmupTime {
		srv.isWarmingUp, srv.warmupStart = true, max(endpoint.StartedAt, srv.warmupStart)
		// Guards against a large group that comes with its first requests all at once, or not at all
		// while the server is cold: what each may send takes it longer to earn than that.
		srv.slowStartTokens, srv.slowStartTokensAt = -c.rng.Float64()*c.meanRequestUnits, c.now
	}
}

// countedUnits are the units of a request in estimates over all customers. Guards against any number of units
// that a client names where the settings have no maximum.
func (c *Controller) countedUnits(units float64) float64 {
	if c.settings.MaxUnits == 0 {
		return 1
	}
	return units
}

// warmupFraction is the part of its capacity that a server has reached at least.
func (c *Controller) warmupFraction(srv *server) float64 {
	if c.settings.WarmupTime <= 0 {
		return 1
	}
	progress := (c.now - srv.warmupStart).Seconds() / c.settings.WarmupTime.Seconds()
	initial := math.Max(minWarmupFraction, c.settings.InitialCapacity)
	return math.Min(1, initial+(1-c.settings.InitialCapacity)*math.Max(0, progress))
}

// allowsSlowStart holds a cold server under this gateway's part of its budget: what warm
// servers do for this gateway, times the warmth and the multiple; one attempt at a
// time is never more than it can do.
func (c *Controller) allowsSlowStart(srv *server) bool {
	if !srv.isWarmingUp {
		return true
	}
	if c.now >= srv.warmupStart+c.settings.WarmupTime {
		srv.isWarmingUp = false
		return true
	}
	warmup := c.warmupFraction(srv)
	if float64(srv.inFlight+srv.abandoned) >= math.Max(1, math.Floor(warmup*slotsPerServer)) {
		return false
	}
	// Guards against one attempt a second each by many gateways: a token bucket, not a window.
	// What is sent may go beyond what was earned and is paid back, so a part below one request flows.
	budget := slowStartBudgetFraction * c.settings.OverloadMultiple * warmup * c.warmServerThroughput()
	rate := c.rateFraction * math.Max(budget, 1/float64(c.settings.GroupSize))
	srv.slowStartTokens += rate * (c.now - srv.slowStartTokensAt).Seconds()
	srv.slowStartTokens = math.Min(srv.slowStartTokens, rate*c.settings.OverloadWindow.Seconds()/2)
	srv.slowStartTokensAt = c.now
	return srv.slowStartTokens >= 0
}

// warmServerThroughput is the units a second that a warm server does for this gateway. Guards against servers
// that are listed long after they died, among which what the others do would seem little: as many of
// those listed are taken to be alive as of those lately tried.
func (c *Controller) warmServerThroughput() float64 {
	warm, reporting, ejected := 0.0, 0.0, 0.0
	for _, srv := range c.sortedServers {
		switch {
		case !srv.isUsable() || srv.isWarmingUp:
			continue
		case srv.consecutiveFailures >= ejectionFailures:
			ejected++
		case c.hasRecentReport(srv):
			reporting++
		}
		warm++
	}
	if ejected > 0 {
		warm *= (1 + reporting) / (1 + reporting + ejected)
	}
	return c.warmThroughput / math.Max(1, warm)
}
