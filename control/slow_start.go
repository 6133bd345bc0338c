package control

import "math"

const (
	minWarmupFraction       = 0.1  // of a server's capacity
	slowStartBudgetFraction = 0.32 // part of a warming server's budget that is used
	peakDecaySeconds        = 60.0 // time constant of a server's highest throughput: it can serve that again
	minBusyFraction         = 0.5  // below it, reports of utilization say nothing of what a server can serve
)

// trackRestart takes a new entry of a server before it replaces the old one. What was known of an
// earlier incarnation is dropped, and a slow start begins with an empty budget.
func (c *Controller) trackRestart(srv *server, endpoint Endpoint) {
	if !endpoint.HasStartedAt {
		return
	}
	if !srv.HasStartedAt || endpoint.StartedAt > srv.StartedAt {
		srv.latency.seconds = 0
		srv.latency.samples = 0
		srv.load.reportedAt = 0
		srv.outlier.reset()
	}
	if c.now < endpoint.StartedAt+c.settings.WarmupTime {
		srv.slowStart.isActive = true
		srv.slowStart.startedAt = max(endpoint.StartedAt, srv.slowStart.startedAt)
		// Guards against a large group whose first requests come all at once, or not before the slow
		// start ends, as each gateway takes longer than that to earn one.
		srv.slowStart.tokens = -c.rng.Float64() * c.fleet.requestUnits.mean
		srv.slowStart.updatedAt = c.now
	}
}

// countedUnits are a request's units in estimates over all customers. Guards against a client that names
// any number where the settings have no maximum.
func (c *Controller) countedUnits(units float64) float64 {
	if c.settings.MaxUnits == 0 {
		return 1
	}
	return units
}

// warmupFraction is the part of its capacity that a server has at least reached.
func (c *Controller) warmupFraction(srv *server) float64 {
	if c.settings.WarmupTime <= 0 {
		return 1
	}
	progress := (c.now - srv.slowStart.startedAt).Seconds() / c.settings.WarmupTime.Seconds()
	initial := math.Max(minWarmupFraction, c.settings.InitialCapacity)
	return math.Min(1, initial+(1-c.settings.InitialCapacity)*math.Max(0, progress))
}

// allowsSlowStart limits a warming server to this gateway's part of its budget: the throughput of warm
// servers times its warmup fraction and the multiple. Below one attempt a second, it still flows.
func (c *Controller) allowsSlowStart(srv *server) bool {
	if !srv.slowStart.isActive {
		return true
	}
	if c.now >= srv.slowStart.startedAt+c.settings.WarmupTime {
		srv.slowStart.isActive = false
		return true
	}
	warmup := c.warmupFraction(srv)
	if float64(srv.inFlight+srv.abandoned) >= math.Max(1, math.Floor(warmup*slotsPerServer)) {
		return false
	}
	// Guards against many gateways with an attempt a second each: a bucket that may go into debt lets a
	// part of a request a second flow, as a window would not.
	budget := slowStartBudgetFraction * c.settings.OverloadMultiple * warmup * c.warmServerThroughput()
	rate := c.rateFraction * math.Max(budget, 1/float64(c.settings.GroupSize))
	srv.slowStart.tokens += rate * (c.now - srv.slowStart.updatedAt).Seconds()
	srv.slowStart.tokens = math.Min(srv.slowStart.tokens, rate*c.settings.OverloadWindow.Seconds()/2)
	srv.slowStart.updatedAt = c.now
	return srv.slowStart.tokens >= 0
}

// warmServerThroughput is the units a second that a warm server can serve for this gateway, by what one of
// them has served lately. Guards against a restart of most servers at once: what all have served is divided
// by how many those were, not by how many are left. A checkpoint of an earlier build does not tell that.
func (c *Controller) warmServerThroughput() float64 {
	if c.fleet.warmServers.mean == 0 {
		return c.fleet.warmThroughput.mean / math.Max(1, c.countWarmServers())
	}
	return c.fleet.peakThroughput
}

// updatePeakThroughput follows what one warm server can serve up at once and down slowly: its throughput by
// the part of its capacity that this was.
func (f *fleetEstimate) updatePeakThroughput(windowSeconds float64) {
	decayed := f.peakThroughput * math.Exp(-windowSeconds/peakDecaySeconds)
	served := f.warmThroughput.mean / math.Max(1, f.warmServers.mean)
	f.peakThroughput = math.Max(decayed, served/f.busyFraction())
}

// busyFraction is the part of their capacity that servers report to use, or 1 where they report none.
// Servers are not believed to be able to serve more than twice what they do.
func (f *fleetEstimate) busyFraction() float64 {
	if f.utilization.count == 0 {
		return 1
	}
	return math.Min(1, math.Max(minBusyFraction, f.utilization.mean))
}

// countWarmServers counts the servers that serve and don't warm up. Guards against servers that stay listed
// after they died: as many of those listed count as of those tried lately.
func (c *Controller) countWarmServers() float64 {
	var warm, reporting, ejected float64
	for _, srv := range c.sortedServers {
		switch {
		case !srv.isUsable() || srv.slowStart.isActive:
			continue
		case srv.outlier.hasTripped():
			ejected++
		case srv.load.isRecent(c.now):
			reporting++
		}
		warm++
	}
	if ejected > 0 {
		warm *= (1 + reporting) / (1 + reporting + ejected)
	}
	return warm
}
