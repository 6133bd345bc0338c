package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Resume returns a controller in the state of an image, with the settings that it was taken under. It fails if the
// image is not one of these settings, or not one of a controller.
func Resume(settings Settings, image Image) (*Controller, error) {
	if image.Version != ImageVersion {
		return nil, fmt.Errorf("image: version %d, not %d", image.Version, ImageVersion)
	}
	c, err := New(settings, 0)
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
	if len(image.Plans) != len(c.plans) {
		return fmt.Errorf("of %d plans, not %d", len(image.Plans), len(c.plans))
	}
	if len(image.TypicalDeadlines) != len(c.settings.Classes) || len(image.Meter.Misfit) != binsPerPeriod*maxMeterLagBins {
		return fmt.Errorf("of %d classes, not %d, or of another meter", len(image.TypicalDeadlines), len(c.settings.Classes))
	}
	c.resumeCounters(image)
	c.meter.restore(&image.Meter)
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
	requests, err := c.resumeRequests(image, servers, customers)
	if err != nil {
		return err
	}
	if err := c.resumePlans(image, requests); err != nil {
		return err
	}
	return c.resumeAttempts(image, requests, servers, customers)
}

// resumeCounters takes over all that refers to nothing else.
func (c *Controller) resumeCounters(image *Image) {
	c.now, c.clockAdvance, c.isStarted = image.Now, image.ClockAdvance, image.IsStarted
	c.isWatching, c.nextWatchAt = image.IsWatching, image.NextWatchAt
	c.fillingSince, c.slackFraction, c.rateFraction = image.FillingSince, image.SlackFraction, image.RateFraction
	c.minRetryGap, c.retryBudget.retries, c.lastTimerLabel = image.MinRetryGap, image.RetryBudget, image.LastTimerLabel
	c.slots.inFlight, c.slots.streaming = image.InFlight, image.StreamingAttempts
	c.limiter = concurrencyLimiter{
		limit:                image.ConcurrencyLimit,
		cutAt:                image.LimitCutAt,
		fractionalSlotFreeAt: image.FractionalSlotFreeAt,
		idleLatency:          image.IdleLatency,
	}
	c.fleet = fleetEstimate{
		latency:         runningMean{image.FleetLatency, image.LatencySamples},
		utilization:     runningMean{image.FleetUtilization, image.ReportCount},
		reportedLatency: runningMean{image.FleetReportedLatency, image.ReportCount},
		warmThroughput:  runningMean{image.WarmThroughput, image.WindowCount},
		warmServers:     runningMean{image.WarmServers, image.WindowCount},
		peakThroughput:  image.PeakThroughput,
		requestUnits:    runningMean{image.MeanRequestUnits, image.RequestCount},
	}
	c.window, c.windowEndsAt, c.nextTick = image.Window.window(), image.WindowEndsAt, image.NextTick
}

// resumeRequests takes over the requests of an image, in its order.
func (c *Controller) resumeRequests(
	image *Image, servers []*server, customers []*customerAccount,
) ([]*request, error) {
	var all []*request
	for i := range image.Requests {
		saved := &image.Requests[i]
		class := c.classes[saved.Class]
		if class == nil || !isIndex(saved.Plan, len(c.plans)) || !isIndex(saved.Customer, len(customers)) ||
			!isIndex(saved.RepeatGroup, len(servers)+1) {
			return nil, fmt.Errorf("request %q: it refers to what is not there", saved.ID)
		}
		req := &request{
			id:           saved.ID,
			class:        class,
			plan:         c.plans[saved.Plan],
			account:      customers[saved.Customer],
			units:        saved.Units,
			arrivedAt:    saved.ArrivedAt,
			objectiveAt:  saved.ObjectiveAt,
			deadline:     saved.Deadline,
			firstRunAt:   saved.FirstRunAt,
			isQueued:     saved.IsQueued,
			isStreaming:  saved.IsStreaming,
			mayHaveRun:   saved.MayHaveRun,
			attempts:     saved.Attempts,
			inFlight:     saved.InFlight,
			triedServers: slices.Clone(saved.TriedServers),
			timerLabel:   saved.TimerLabel,
		}
		if saved.RepeatGroup > 0 {
			req.repeatGroup = servers[saved.RepeatGroup-1]
		}
		all = append(all, req)
		if !saved.IsTracked {
			continue
		}
		c.requests[req.id] = req
		if req.timerLabel != 0 {
			c.requestsByTimer[req.timerLabel] = req
		}
	}
	return all, nil
}

func (c *Controller) resumePlans(image *Image, requests []*request) error {
	for i := range image.Plans {
		saved, plan := &image.Plans[i], c.plans[i]
		plan.share, plan.deficit = saved.Share, saved.Deficit
		plan.latenessSum, plan.latenessCount = saved.LatenessSum, saved.LatenessCount
		plan.meanLateness = saved.MeanLateness
		plan.firstReadingUsage, plan.firstReadingExcess = saved.FirstReadingUsage, saved.FirstReadingExcess
		for _, place := range saved.Queue {
			if !isIndex(place, len(requests)) {
				return fmt.Errorf("plan %q: there is no request %d", plan.Name, place)
			}
			plan.queue = append(plan.queue, requests[place])
		}
	}
	return nil
}

func (c *Controller) resumeAttempts(
	image *Image, requests []*request, servers []*server, customers []*customerAccount,
) error {
	for i := range image.Attempts {
		saved := &image.Attempts[i]
		if !isIndex(saved.Request, len(requests)) || !isIndex(saved.Server, len(servers)) ||
			!isIndex(saved.Customer, len(customers)) {
			return fmt.Errorf("attempt %d of %q: it refers to what is not there", saved.Attempt, saved.ID)
		}
		c.attempts[attemptKey{saved.ID, saved.Attempt}] = &pendingAttempt{
			request: requests[saved.Request],
			server:  servers[saved.Server],
			account: customers[saved.Customer],
			sentAt:  saved.SentAt,
			charge:  charge{saved.Units, saved.GroupUnits, saved.QuotaTokens, saved.Bin},
		}
	}
	return nil
}

func isIndex(i, length int) bool { return i >= 0 && i < length }
