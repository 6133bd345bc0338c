package control

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Trust determines which parts of a checkpoint Restore uses.
type Trust int

const (
	// TrustAll is for a checkpoint after which no units were spent. All of it is restored.
	TrustAll Trust = iota
	// TrustEstimates is for a checkpoint after which an unknown amount was spent, as after a crash. Only estimates are
	// restored. The buckets of hard limits start empty, since the slack would otherwise be granted at each restart.
	TrustEstimates
)

// maxShareSumError is the maximum difference between one and the sum of a checkpoint's shares.
const maxShareSumError = 1e-6

// Restore restores a checkpoint, with its fraction of all rates until ReclaimRates. The controller must have received
// the endpoint list, but no request yet. The state of servers, classes or plans that no longer exist is discarded. If a
// plan's quotas have changed, the units spent still count. Estimates are weighted by their age. An invalid checkpoint
// is ignored.
func (c *Controller) Restore(now time.Duration, checkpoint Checkpoint, trust Trust) {
	now = max(c.now, now)
	if checkpoint.Version != CheckpointVersion || !checkpoint.isFinite() {
		return
	}
	c.now = now
	if !c.isStarted {
		c.startClock()
	}
	c.accounts.slackFraction = 0
	if trust == TrustAll {
		c.accounts.rateFraction = math.Min(1, math.Max(0, checkpoint.RateFraction))
		c.accounts.refillStart = min(c.now, checkpoint.RefillStart)
		c.accounts.slackFraction = math.Min(initialSlackFraction, math.Max(0, checkpoint.SlackFraction))
	}
	c.restoreEstimates(&checkpoint)
	if trust == TrustAll {
		c.restoreWindow(&checkpoint.Window)
	}
	if checkpoint.Meter.isUsable(c.settings.MeterPeriod) {
		c.usage.meter.restore(&checkpoint.Meter)
	}
	for _, saved := range checkpoint.TypicalDeadlines {
		if class := c.classes[saved.Class]; class != nil {
			*c.clientWaits.typicalDeadlines[class] = typicalDeadline{saved.Deadline, saved.Support}
		}
	}
	c.restoreShares(checkpoint.Plans)
	c.restoreServers(&checkpoint, trust)
	for i := range checkpoint.Customers {
		c.restoreAccount(&checkpoint.Customers[i], checkpoint.Meter.Period, trust)
	}
}

// RestoreServers restores only the servers and the concurrency limit of a checkpoint. It is for a controller that
// received its first endpoint list after Restore.
func (c *Controller) RestoreServers(now time.Duration, checkpoint Checkpoint, trust Trust) {
	if checkpoint.Version != CheckpointVersion || !checkpoint.isFinite() {
		return
	}
	c.now = max(c.now, now)
	c.restoreConcurrencyLimit(&checkpoint)
	c.restoreServers(&checkpoint, trust)
}

// restoreServers restores the servers of a checkpoint that are listed.
func (c *Controller) restoreServers(checkpoint *Checkpoint, trust Trust) {
	for i := range checkpoint.Servers {
		c.restoreServer(&checkpoint.Servers[i], trust)
	}
	slices.SortFunc(c.requests.slots.abandoned, func(a, b abandonedAttempt) int { return cmp.Compare(a.until, b.until) })
}

// estimateWeight returns the weight of a checkpoint's estimates, which decreases with its age.
func (c *Controller) estimateWeight(checkpoint *Checkpoint) float64 {
	return math.Exp(-math.Max(0, (c.now-checkpoint.At).Seconds()) / maxAccountIdleTime.Seconds())
}

// restoreEstimates restores the estimates over the fleet, weighted by their age, and the concurrency limit.
func (c *Controller) restoreEstimates(checkpoint *Checkpoint) {
	decay := c.estimateWeight(checkpoint)
	c.fleet.latency = runningMean{checkpoint.FleetLatency, checkpoint.LatencySamples * decay}
	// With this count the first window does not replace the restored mean.
	c.fleet.warmThroughput = runningMean{checkpoint.WarmThroughput * decay, 1 / throughputGain}
	c.fleet.warmServers = runningMean{checkpoint.WarmServers, 1 / throughputGain}
	c.fleet.peakThroughput = checkpoint.PeakThroughput * decay
	c.limiter.idleLatency = checkpoint.IdleLatency
	c.clientWaits.minRetryGap = max(checkpoint.MinRetryGap, tickPeriod)
	c.retries.budget.retries = math.Max(0, math.Min(maxRetryBudget, checkpoint.RetryBudget))
	c.restoreConcurrencyLimit(checkpoint)
}

// restoreConcurrencyLimit restores the concurrency limit, scaled down if there are fewer usable servers than at the time
// of the checkpoint. Without a usable server the limit is not changed.
func (c *Controller) restoreConcurrencyLimit(checkpoint *Checkpoint) {
	usable := c.fleet.countServers((*server).isUsable)
	if checkpoint.ConcurrencyLimit > 0 && checkpoint.UsableServers > 0 && usable > 0 {
		limit := checkpoint.ConcurrencyLimit * math.Min(1, usable/checkpoint.UsableServers)
		c.limiter.limit = math.Max(c.minConcurrencyLimit(), c.limiter.limit+c.estimateWeight(checkpoint)*(limit-c.limiter.limit))
	}
}

// restoreWindow continues the control window of a checkpoint. With reloads at intervals shorter than a window, no window
// would otherwise end and the limit and shares would never be updated.
func (c *Controller) restoreWindow(saved *WindowState) {
	if saved.EndsAt > c.now-maxWindowExtension && saved.EndsAt <= c.now+windowDuration {
		c.windowEndsAt = saved.EndsAt
		c.limiter.cutAt = min(saved.CutAt, c.now)
		c.window = saved.window()
	}
}

// isUsable reports whether the state is valid for a meter clock with the given period.
func (m *MeterState) isUsable(period time.Duration) bool {
	isPhase := m.PhaseBin >= 0 && m.PhaseBin < binsPerPeriod
	isLag := m.LagBins >= 0 && m.LagBins < maxMeterLagBins
	return m.Period == period && m.hasMisfits() && isPhase && isLag
}

// hasMisfits reports whether there is a misfit for each phase and lag.
func (m *MeterState) hasMisfits() bool { return len(m.Misfit) == binsPerPeriod*maxMeterLagBins }

// restoreShares restores the shares if the plans are the same.
func (c *Controller) restoreShares(plans []PlanCheckpoint) {
	if len(plans) != len(c.scheduler.plans) {
		return
	}
	sum := 0.0
	for _, saved := range plans {
		if c.scheduler.plansByName[saved.Plan] == nil || saved.Share < 0 {
			return
		}
		sum += saved.Share
	}
	if math.Abs(sum-1) > maxShareSumError {
		return
	}
	for _, saved := range plans {
		plan := c.scheduler.plansByName[saved.Plan]
		plan.share = saved.Share
		plan.meanLateness = saved.MeanLateness
		plan.latenessSum = saved.LatenessSum
		plan.latenessCount = saved.LatenessCount
	}
}

// ReclaimRates returns all rates to this controller after a HandOver or a Restore, when the controller that had the other
// part has ended. handedOver is that controller's checkpoint with the tokens that it has not spent, or nil if unknown.
func (c *Controller) ReclaimRates(now time.Duration, handedOver *Checkpoint) {
	c.now = max(c.now, now)
	if handedOver != nil && handedOver.Version == CheckpointVersion && handedOver.isFinite() {
		c.reclaimTokens(handedOver)
	}
	for _, account := range c.accounts.byKey {
		c.refillAccount(account)
	}
	c.accounts.rateFraction = 1
	c.PredecessorEnded()
}

func (c *Controller) reclaimTokens(handedOver *Checkpoint) {
	for i := range handedOver.Customers {
		saved := &handedOver.Customers[i]
		plan := c.scheduler.plansByName[saved.Plan]
		if plan == nil || !(saved.FanOut >= 1) {
			continue
		}
		account := c.accountFor(plan, saved.ID, int(saved.FanOut)) // new if only the other controller had it
		if account == nil {
			continue
		}
		account.quota.tokens = math.Min(plan.QuotaBurst, account.quota.tokens+saved.QuotaTokens)
		hardLimitTokens := account.hardLimit.tokens + saved.HardLimitTokens
		account.hardLimit.tokens = math.Min(plan.HardLimitBurst/account.fanOut, hardLimitTokens)
	}
	for i := range handedOver.Servers {
		saved := &handedOver.Servers[i]
		srv := c.fleet.servers[saved.Server]
		if srv != nil && srv.slowStart.isActive && isSameIncarnation(srv.bootTime(), saved.StartedAt) {
			srv.slowStart.tokens += saved.SlowStartTokens
		}
	}
}

// PredecessorEnded tells the controller that its predecessor has no attempts in flight anymore.
func (c *Controller) PredecessorEnded() {
	for _, account := range c.accounts.byKey {
		account.inFlight.predecessor = 0
	}
}
