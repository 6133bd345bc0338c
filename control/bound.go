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

// floor is twice the ready servers, the least that the bound may be, or where the floors of the
// whole group would sum up to more than a server can use, this gateway's part of that sum. Guards
// against many gateways that jam the fleet by their floors alone.
func (c *Controller) floor() float64 {
	n := c.count(func(s *server) bool { return s.usable() && s.strikes < ejectionFailures })
	return math.Min(slotsPerServer, minGroupSlotsPerServer/float64(c.set.GroupSize)) * math.Max(1, n)
}

// endInterval sets the bound and the shares for the next interval.
func (c *Controller) endInterval(lasted float64) {
	// The time that an idle server takes is the least seen; it may be far from or near to the aim.
	if c.idle = math.Min(c.idle*idleLatencyDrift, c.latency); c.seen < minIdleLatencySamples || c.idle == 0 {
		c.idle = c.latency
	}
	y := c.latSum / math.Max(1, c.latN)
	late := y > latencyCutFraction &&
		(y > latencyHardCutFraction || c.secSum > c.latN*idleLatencyCutFactor*c.idle)
	// Guards against servers that refuse a plan though they have room: answers are not slow then.
	slow := c.latN == 0 || c.secSum > c.latN*overloadIdleLatencyFactor*c.idle
	// Guards, in a large group, against a bound that is cut for a few answers that took long by
	// chance, or at slow servers: no other gateway's attempts are fewer for it.
	// Where there are many answers they say it themselves, sooner than reports of a server just started.
	jammed := c.latN >= sureAnswerCount || c.utilN == 0 || c.utilSum > c.utilN*fullUtilization
	if bad := c.bad / math.Max(1, c.bad+c.answers); jammed && (late || bad > overloadCutFraction && slow) {
		if c.cut = true; c.now >= c.cutAt+seconds(2*c.latency) { // answers to sends after the last cut
			c.cutAt, c.bound = c.now, c.bound*limitDecreaseFactor
		}
	} else if bad <= overloadHoldFraction && c.pressed {
		c.bound *= limitIncreaseFactor
	}
	c.bound = math.Max(c.bound, c.floor())
	for _, p := range c.plans {
		if p.lateN > 0 {
			p.y = p.lateSum / p.lateN
		}
		p.lateSum, p.lateN = 0, 0
	}
	if c.answers >= minAnswersPerWindow {
		y, u := make([]float64, len(c.plans)), make([]float64, len(c.plans))
		for i, p := range c.plans {
			y[i], u[i] = p.y, p.share
		}
		u = c.law.step(u, y, !c.cut)
		for i, p := range c.plans {
			p.share = u[i]
		}
	}
	c.intervals++
	c.servedRate += math.Max(serverLatencyGain, 1/c.intervals) * (c.served/lasted - c.servedRate)
	c.span = span{}
	c.sweep()
}
