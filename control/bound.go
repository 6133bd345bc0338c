package control

import "math"

// Tuned constants of the concurrency limit.
const (
	minGroupSlotsPerServer    = 2.0   // sum of a replica group's minimum limits, per server
	limitDecreaseFactor       = 0.5   // on overload, at most once a window
	latencyCutFraction        = 0.18  // mean latency, as a part of the objective, that counts as overload
	latencyHardCutFraction    = 0.33  // the same whatever the idle latency
	idleLatencyCutFactor      = 2.0   // times the idle latency below which latency is no overload
	idleLatencyDrift          = 1.005 // growth of the idle latency in a window without a lower one
	minIdleLatencySamples     = 25    // before an idle latency is kept
	overloadCutFraction       = 0.1   // part of a window's outcomes that show overload at which the limit is cut
	overloadIdleLatencyFactor = 1.3   // times the idle latency below which it is not
	fullUtilization           = 0.9   // mean reported utilization below which servers have spare capacity
	sureAnswerCount           = 40.0  // answers in a window whose mean alone can cut the limit
	overloadHoldFraction      = 0.03  // part of the outcomes above which the limit does not grow
)

// minConcurrencyLimit is twice the usable servers, or this gateway's part of the replica group's sum.
// Guards against many gateways whose minimum limits alone overload the servers.
func (c *Controller) minConcurrencyLimit() float64 {
	n := c.countServers(func(srv *server) bool {
		return srv.isUsable() && srv.consecutiveFailures < ejectionFailures
	})
	return math.Min(slotsPerServer, minGroupSlotsPerServer/float64(c.settings.GroupSize)) * math.Max(1, n)
}

// endWindow sets the concurrency limit and the shares of the next control window.
func (c *Controller) endWindow(windowSeconds float64) {
	c.idleLatency = math.Min(c.idleLatency*idleLatencyDrift, c.fleetLatency)
	if c.latencySamples < minIdleLatencySamples || c.idleLatency == 0 {
		c.idleLatency = c.fleetLatency
	}
	y := c.latencyRatioSum / math.Max(1, c.latencyCount)
	isLate := y > latencyCutFraction &&
		(y > latencyHardCutFraction || c.latencySecondsSum > c.latencyCount*idleLatencyCutFactor*c.idleLatency)
	// Guards against servers that reject a plan though they have capacity: answers are not slow then.
	isSlow := c.latencyCount == 0 || c.latencySecondsSum > c.latencyCount*overloadIdleLatencyFactor*c.idleLatency
	// Guards, in a large group, against cutting for a few answers that are slow by chance or come from
	// slow servers, to which others send no less; many answers are sure without load reports.
	serversAreFull := c.latencyCount >= sureAnswerCount || c.utilizationCount == 0 ||
		c.utilizationSum > c.utilizationCount*fullUtilization
	overloadFraction := c.overloads / math.Max(1, c.overloads+c.answers)
	if serversAreFull && (isLate || overloadFraction > overloadCutFraction && isSlow) {
		c.wasCut = true
		if c.now >= c.limitCutAt+durationOf(2*c.fleetLatency) { // the answers are to attempts after the last cut
			c.limitCutAt, c.concurrencyLimit = c.now, c.concurrencyLimit*limitDecreaseFactor
		}
	} else if overloadFraction <= overloadHoldFraction && c.limitReached {
		c.concurrencyLimit *= limitIncreaseFactor
	}
	c.concurrencyLimit = math.Max(c.concurrencyLimit, c.minConcurrencyLimit())
	for _, plan := range c.plans {
		if plan.latenessCount > 0 {
			plan.meanLateness = plan.latenessSum / plan.latenessCount
		}
		plan.latenessSum, plan.latenessCount = 0, 0
	}
	if c.answers >= minAnswersPerWindow {
		y, shares := make([]float64, len(c.plans)), make([]float64, len(c.plans))
		for i, plan := range c.plans {
			y[i], shares[i] = plan.meanLateness, plan.share
		}
		shares = c.shareController.NextShares(shares, y, !c.wasCut)
		for i, plan := range c.plans {
			plan.share = shares[i]
		}
	}
	c.windowCount++
	gain := math.Max(serverLatencyGain, 1/c.windowCount)
	c.warmThroughput += gain * (c.servedUnits/windowSeconds - c.warmThroughput)
	c.controlWindow = controlWindow{}
	c.evictIdleAccounts()
}
