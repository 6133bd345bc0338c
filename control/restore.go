package control

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Trust says how a checkpoint's figures of what is left to spend may be taken.
type Trust int

// The degrees of trust.
const (
	// Exact: nothing was spent elsewhere since the checkpoint was taken.
	TrustAll Trust = iota
	// Learned: what was spent since is not known, as after a crash. What was learned counts;
	// stores of ceilings begin empty, as slack that each start anew grants would add up.
	TrustEstimates
)

// Restore takes over a checkpoint, with the portion of the rates that it names until Rejoin. It is
// for a controller that has been told the list of servers and has taken nothing yet. What a
// checkpoint says of servers, classes or plans that are not there is dropped; where a plan has
// other figures now, what was spent stays spent. Each fact counts by its age.
func (c *Controller) Restore(now time.Duration, checkpoint Checkpoint, trust Trust) {
	if now = max(c.now, now); checkpoint.Version != CheckpointVersion || !checkpoint.finite() {
		return
	}
	c.now = now
	if !c.isStarted {
		c.startClock()
	}
	if trust == TrustAll {
		c.rateFraction = math.Min(1, math.Max(0, checkpoint.RateFraction))
	}
	decay := math.Exp(-math.Max(0, (now-checkpoint.At).Seconds()) / maxAccountIdleTime.Seconds())
	c.fleet.latency.mean, c.limiter.idleLatency, c.fleet.latency.count, c.minRetryGap = checkpoint.FleetLatency, checkpoint.IdleLatency, checkpoint.LatencySamples*decay, max(checkpoint.MinRetryGap, tickPeriod)
	c.fleet.warmThroughput.count = 1 / serverLatencyGain // what was learned is not for the first interval to replace
	c.fleet.warmThroughput.mean, c.retryBudget = checkpoint.WarmThroughput*decay, math.Max(0, math.Min(maxRetryBudget, checkpoint.RetryBudget))
	// The bound is one for so many servers; there may be others now.
	if n := c.countServers((*server).isUsable); checkpoint.ConcurrencyLimit > 0 && checkpoint.UsableServers > 0 && n > 0 {
		c.limiter.limit = math.Max(c.minConcurrencyLimit(), c.limiter.limit+decay*(checkpoint.ConcurrencyLimit*math.Min(1, n/checkpoint.UsableServers)-c.limiter.limit))
	}
	// The interval goes on. Guards against reloads faster than an interval, in which nothing would
	// ever be learned.
	if window := checkpoint.Window; trust == TrustAll && window.EndsAt > c.now-maxWindowExtension && window.EndsAt <= c.now+windowDuration {
		c.windowEndsAt, c.limiter.cutAt = window.EndsAt, min(window.CutAt, c.now)
		c.window = controlWindow{
			wasCut: window.WasCut, limitReached: window.LimitReached, latencyRatioSum: window.LatencyRatioSum, latencySecondsSum: window.LatencySecondsSum, latencyCount: window.LatencyCount, answers: window.Answers, utilizationSum: window.UtilizationSum, utilizationCount: window.UtilizationCount, overloads: window.Overloads,
			servedUnits: window.ServedUnits,
		}
	}
	if c.slackFraction = 0; trust == TrustAll {
		c.fillingSince, c.slackFraction = min(c.now, checkpoint.FillingSince), math.Min(initialSlackFraction, math.Max(0, checkpoint.SlackFraction))
	}
	if checkpoint.Meter.Period == c.settings.MeterPeriod && len(checkpoint.Meter.Misfit) == binsPerPeriod*maxMeterLagBins && checkpoint.Meter.valid() {
		c.meter.phaseBin, c.meter.lagBins = checkpoint.Meter.PhaseBin, checkpoint.Meter.LagBins
		for i := range c.meter.misfit {
			copy(c.meter.misfit[i][:], checkpoint.Meter.Misfit[i*maxMeterLagBins:])
		}
	}
	for _, saved := range checkpoint.TypicalDeadlines {
		if class := c.classes[saved.Class]; class != nil {
			*c.typicalDeadlines[class] = typicalDeadline{saved.Deadline, saved.Support}
		}
	}
	c.restoreShares(checkpoint.Plans)
	for i := range checkpoint.Servers {
		c.restoreServer(&checkpoint.Servers[i], trust)
	}
	slices.SortFunc(c.slots.abandoned, func(a, b abandonedAttempt) int { return cmp.Compare(a.until, b.until) })
	for i := range checkpoint.Customers {
		if len(c.accounts) < maxAccounts {
			c.restoreAccount(&checkpoint.Customers[i], checkpoint.Meter.Period, trust)
		}
	}
}

func (m *MeterState) valid() bool {
	return m.PhaseBin >= 0 && m.PhaseBin < binsPerPeriod && m.LagBins >= 0 && m.LagBins < maxMeterLagBins
}

// finite tells whether all that a checkpoint says can be reckoned with.
func (s *Checkpoint) finite() bool {
	sum := s.SlackFraction + s.RateFraction + s.ConcurrencyLimit + s.FleetLatency + s.IdleLatency + s.LatencySamples + s.WarmThroughput + s.RetryBudget
	for _, v := range s.Meter.Misfit {
		sum += v
	}
	for _, v := range s.Plans {
		sum += v.Share + v.MeanLateness + v.LatenessSum + v.LatenessCount
	}
	sum += s.UsableServers + s.Window.LatencyRatioSum + s.Window.LatencySecondsSum + s.Window.LatencyCount + s.Window.Answers + s.Window.Overloads + s.Window.ServedUnits + s.Window.UtilizationSum + s.Window.UtilizationCount
	for i := range s.Servers {
		v := &s.Servers[i]
		sum += v.Latency + v.FailureRate + v.SlowStartTokens
	}
	for i := range s.Customers {
		saved := &s.Customers[i]
		sum += saved.FanOut + saved.QuotaBurst + saved.HardLimitBurst + saved.QuotaTokens + saved.HardLimitTokens + saved.InFlightLimit + saved.OpenRejectionProbability + saved.RemoteRate + saved.LastReadingUnits + saved.RequestedUnits + saved.MeteredUnits +
			saved.DemandSeconds + saved.MeteredSeconds + saved.LocalUnits + saved.TotalUnits + saved.UsageRate
		for _, h := range [][]BinAmount{saved.Sent, saved.Charged, saved.Arrivals, saved.Rejections} {
			for _, amount := range h {
				sum += amount.Amount
			}
		}
	}
	return !math.IsNaN(sum) && !math.IsInf(sum, 0)
}

// restoreShares takes the shares over where the plans are the same.
func (c *Controller) restoreShares(all []PlanCheckpoint) {
	if len(all) != len(c.plans) {
		return
	}
	sum := 0.0
	for _, saved := range all {
		if c.plansByName[saved.Plan] == nil || saved.Share < 0 {
			return
		}
		sum += saved.Share
	}
	if math.Abs(sum-1) > 1e-6 {
		return
	}
	for _, saved := range all {
		plan := c.plansByName[saved.Plan]
		plan.share, plan.meanLateness, plan.latenessSum, plan.latenessCount = saved.Share, saved.MeanLateness, saved.LatenessSum, saved.LatenessCount
	}
}

// ReclaimRates gives a controller all rates again: whoever had the rest has ended. What that one left,
// or was given and has not touched, is given, and comes back; nil where that is not known.
func (c *Controller) ReclaimRates(now time.Duration, given *Checkpoint) {
	c.now = max(c.now, now)
	if given != nil && given.Version == CheckpointVersion && given.finite() {
		for i := range given.Customers {
			saved := &given.Customers[i]
			plan := c.plansByName[saved.Plan]
			if plan == nil || !(saved.FanOut >= 1) {
				continue
			}
			account := c.accountFor(plan, saved.ID, int(saved.FanOut)) // also one that only the other has seen
			account.quota.tokens = math.Min(plan.QuotaBurst, account.quota.tokens+saved.QuotaTokens)
			account.hardLimit.tokens = math.Min(plan.HardLimitBurst/account.fanOut, account.hardLimit.tokens+saved.HardLimitTokens)
		}
		for _, saved := range given.Servers {
			if srv := c.servers[saved.Server]; srv != nil && srv.slowStart.isActive && srv.bootTime() == saved.StartedAt {
				srv.slowStart.tokens += saved.SlowStartTokens
			}
		}
	}
	for _, account := range c.accounts {
		c.refill(account)
	}
	c.rateFraction = 1
	c.PredecessorEnded()
}

// PredecessorEnded tells that the controller whose place this one took holds nothing any more.
func (c *Controller) PredecessorEnded() {
	for _, account := range c.accounts {
		account.inFlight.predecessor = 0
	}
}
