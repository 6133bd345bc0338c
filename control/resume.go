package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Resume makes a controller of the settings that an image was taken under. An error tells what of
// the image is not of these settings, or of no controller.
func Resume(set Settings, image Image) (*Controller, error) {
	if image.Version != ImageVersion {
		return nil, fmt.Errorf("image: version %d, not %d", image.Version, ImageVersion)
	}
	c, err := New(set, 0)
	if err != nil {
		return nil, err
	}
	if err := c.resume(&image); err != nil {
		return nil, fmt.Errorf("image: %w", err)
	}
	return c, nil
}

func (c *Controller) resume(image *Image) error {
	c.pcg = &rand.PCG{}
	if err := c.pcg.UnmarshalBinary(image.Random); err != nil {
		return fmt.Errorf("random numbers: %w", err)
	}
	c.rng = rand.New(c.pcg)
	n := len(c.plans)
	if len(image.Plans) != n {
		return fmt.Errorf("of %d plans, not %d", len(image.Plans), n)
	}
	if len(image.TypicalDeadlines) != len(c.settings.Classes) || len(image.Meter.Misfit) != binsPerPeriod*maxMeterLagBins {
		return fmt.Errorf("of %d classes, not %d, or of another meter", len(image.TypicalDeadlines), len(c.settings.Classes))
	}
	c.now, c.clockAdvance, c.fillingSince, c.isStarted, c.isWatching = image.Now, image.ClockAdvance, image.FillingSince, image.IsStarted, image.IsWatching
	c.nextWatchAt, c.minRetryGap, c.lastTimerLabel, c.slackFraction, c.rateFraction, c.slots.inFlight, c.slots.streaming = image.NextWatchAt, image.MinRetryGap, image.LastTimerLabel, image.SlackFraction, image.RateFraction, image.InFlight, image.StreamingAttempts
	c.limiter.limit, c.limiter.cutAt, c.limiter.fractionalSlotFreeAt, c.fleet.latency.mean, c.limiter.idleLatency, c.fleet.latency.count = image.ConcurrencyLimit, image.LimitCutAt, image.FractionalSlotFreeAt, image.FleetLatency, image.IdleLatency, image.LatencySamples
	c.fleet.utilization = runningMean{image.FleetUtilization, image.ReportCount}
	c.fleet.reportedLatency = runningMean{image.FleetReportedLatency, image.ReportCount}
	c.fleet.warmThroughput.count, c.fleet.requestUnits.mean, c.fleet.requestUnits.count = image.WindowCount, image.MeanRequestUnits, image.RequestCount
	c.fleet.warmThroughput.mean, c.retryBudget, c.nextTick, c.windowEndsAt = image.WarmThroughput, image.RetryBudget, image.NextTick, image.WindowEndsAt
	i := image.Window
	c.window = controlWindow{wasCut: i.WasCut, limitReached: i.LimitReached, latencyRatioSum: i.LatencyRatioSum, latencySecondsSum: i.LatencySecondsSum, latencyCount: i.LatencyCount, answers: i.Answers, overloads: i.Overloads, servedUnits: i.ServedUnits, utilizationSum: i.UtilizationSum, utilizationCount: i.UtilizationCount}
	c.meter.phaseBin, c.meter.lagBins = image.Meter.PhaseBin, image.Meter.LagBins
	for i := range c.meter.misfit {
		copy(c.meter.misfit[i][:], image.Meter.Misfit[i*maxMeterLagBins:])
	}
	if err := c.shareController.Restore(image.ShareController); err != nil {
		return err
	}
	for _, saved := range image.TypicalDeadlines {
		class := c.classes[saved.Class]
		if class == nil {
			return fmt.Errorf("there is no class %q", saved.Class)
		}
		*c.typicalDeadlines[class] = typicalDeadline{saved.Deadline, saved.Support}
	}
	servers, err := c.resumeServers(image)
	if err != nil {
		return err
	}
	customers, err := c.resumeCustomers(image)
	if err != nil {
		return err
	}
	return c.resumeRequests(image, servers, customers)
}

func (c *Controller) resumeRequests(image *Image, servers []*server, customers []*customerAccount) error {
	var all []*request
	for _, w := range image.Requests {
		class := c.classes[w.Class]
		if class == nil || w.Plan < 0 || w.Plan >= len(c.plans) || w.Customer < 0 || w.Customer >= len(customers) || w.RepeatGroup < 0 || w.RepeatGroup > len(servers) {
			return fmt.Errorf("request %q: it refers to what is not there", w.ID)
		}
		req := &request{
			id: w.ID, class: class, plan: c.plans[w.Plan], account: customers[w.Customer], units: w.Units, arrivedAt: w.ArrivedAt, objectiveAt: w.ObjectiveAt,
			deadline: w.Deadline, firstRunAt: w.FirstRunAt, isQueued: w.IsQueued, isStreaming: w.IsStreaming, mayHaveRun: w.MayHaveRun, attempts: w.Attempts, inFlight: w.InFlight,
			triedServers: slices.Clone(w.TriedServers), timerLabel: w.TimerLabel,
		}
		if w.RepeatGroup > 0 {
			req.repeatGroup = servers[w.RepeatGroup-1]
		}
		if all = append(all, req); w.IsTracked {
			c.requests[req.id] = req
			if req.timerLabel != 0 {
				c.requestsByTimer[req.timerLabel] = req
			}
		}
	}
	for i, w := range image.Plans {
		plan := c.plans[i]
		plan.share, plan.deficit, plan.latenessSum, plan.latenessCount, plan.meanLateness, plan.firstReadingUsage, plan.firstReadingExcess = w.Share, w.Deficit, w.LatenessSum, w.LatenessCount, w.MeanLateness, w.FirstReadingUsage, w.FirstReadingExcess
		for _, j := range w.Queue {
			if j < 0 || j >= len(all) {
				return fmt.Errorf("plan %q: there is no request %d", plan.Name, j)
			}
			plan.queue = append(plan.queue, all[j])
		}
	}
	for _, w := range image.Attempts {
		if w.Request < 0 || w.Request >= len(all) || w.Server < 0 || w.Server >= len(servers) || w.Customer < 0 || w.Customer >= len(customers) {
			return fmt.Errorf("attempt %d of %q: it refers to what is not there", w.Attempt, w.ID)
		}
		c.attempts[attemptKey{w.ID, w.Attempt}] = &pendingAttempt{
			all[w.Request], servers[w.Server], customers[w.Customer], w.SentAt,
			charge{w.Units, w.GroupUnits, w.QuotaTokens, w.Bin},
		}
	}
	return nil
}
