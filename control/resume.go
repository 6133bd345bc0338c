package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Resume returns a controller in the state of an image. It needs the settings under which the image was taken, and fails
// if the image does not match them or is invalid.
func Resume(settings Settings, image Image) (*Controller, error) {
	if image.Version != ImageVersion {
		return nil, fmt.Errorf("image: got version %d, want %d", image.Version, ImageVersion)
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
		return fmt.Errorf("random number generator: %w", err)
	}
	c.rng = rand.New(c.pcg)
	if err := c.checkSettings(image); err != nil {
		return err
	}
	c.resumeCounters(image)
	c.resumeEstimates(image)
	c.usage.meter.restore(&image.Meter)
	if err := c.scheduler.shareController.Restore(image.ShareController); err != nil {
		return err
	}
	if err := c.resumeTypicalDeadlines(image.TypicalDeadlines); err != nil {
		return err
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

// checkSettings returns an error if the image does not match the number of plans, classes or misfits of the settings.
func (c *Controller) checkSettings(image *Image) error {
	if len(image.Plans) != len(c.scheduler.plans) {
		return fmt.Errorf("got %d plans, want %d", len(image.Plans), len(c.scheduler.plans))
	}
	if len(image.TypicalDeadlines) != len(c.settings.Classes) {
		return fmt.Errorf("got %d classes, want %d", len(image.TypicalDeadlines), len(c.settings.Classes))
	}
	if !image.Meter.hasMisfits() {
		return fmt.Errorf("wrong number of meter misfits: %d", len(image.Meter.Misfit))
	}
	return nil
}

// resumeCounters restores times, counts and the parts that refer to no other object.
func (c *Controller) resumeCounters(image *Image) {
	c.now = image.Now
	c.clockAdvance = image.ClockAdvance
	c.isStarted = image.IsStarted
	c.watch.isActive = image.IsWatching
	c.watch.nextAttemptAt = image.NextWatchAt
	c.accounts.refillStart = image.RefillStart
	c.accounts.slackFraction = image.SlackFraction
	c.accounts.rateFraction = image.RateFraction
	c.clientWaits.minRetryGap = image.MinRetryGap
	c.retries.budget.retries = image.RetryBudget
	c.requests.lastTimerLabel = image.LastTimerLabel
	c.requests.slots.inFlight = image.InFlight
	c.requests.slots.streaming = image.StreamingAttempts
	c.window = image.Window.window()
	c.windowEndsAt = image.WindowEndsAt
	c.nextTick = image.NextTick
}

// resumeEstimates restores the concurrency limit and the estimates over all servers.
func (c *Controller) resumeEstimates(image *Image) {
	c.limiter = concurrencyLimiter{
		limit:                image.ConcurrencyLimit,
		cutAt:                image.LimitCutAt,
		fractionalSlotFreeAt: image.FractionalSlotFreeAt,
		idleLatency:          image.IdleLatency,
	}
	c.fleet.fleetEstimate = fleetEstimate{
		latency:         runningMean{image.FleetLatency, image.LatencySamples},
		utilization:     runningMean{image.FleetUtilization, image.ReportCount},
		reportedLatency: runningMean{image.FleetReportedLatency, image.ReportCount},
		warmThroughput:  runningMean{image.WarmThroughput, image.WindowCount},
		warmServers:     runningMean{image.WarmServers, image.WindowCount},
		peakThroughput:  image.PeakThroughput,
		requestUnits:    runningMean{image.MeanRequestUnits, image.RequestCount},
	}
}

func (c *Controller) resumeTypicalDeadlines(states []TypicalDeadlineState) error {
	for _, saved := range states {
		class := c.classes[saved.Class]
		if class == nil {
			return fmt.Errorf("unknown class %q", saved.Class)
		}
		*c.clientWaits.typicalDeadlines[class] = typicalDeadline{saved.Deadline, saved.Support}
	}
	return nil
}

// resumeRequests restores the requests of an image and returns them in the image's order.
func (c *Controller) resumeRequests(
	image *Image, servers []*server, customers []*customerAccount,
) ([]*request, error) {
	var requests []*request
	for i := range image.Requests {
		saved := &image.Requests[i]
		req, err := c.resumeRequest(saved, servers, customers)
		if err != nil {
			return nil, fmt.Errorf("request %q: %w", saved.ID, err)
		}
		requests = append(requests, req)
		if !saved.IsTracked {
			continue
		}
		c.requests.byID[req.id] = req
		if req.timerLabel != 0 {
			c.requests.byTimer[req.timerLabel] = req
		}
	}
	return requests, nil
}

// resumeRequest returns a request of an image, or an error if it refers to an object that does not exist in the image or
// the settings.
func (c *Controller) resumeRequest(
	saved *RequestImage, servers []*server, customers []*customerAccount,
) (*request, error) {
	class := c.classes[saved.Class]
	switch {
	case class == nil:
		return nil, fmt.Errorf("unknown class %q", saved.Class)
	case !isIndex(saved.Plan, len(c.scheduler.plans)):
		return nil, fmt.Errorf("plan index %d is out of range", saved.Plan)
	case !isIndex(saved.Customer, len(customers)):
		return nil, fmt.Errorf("customer index %d is out of range", saved.Customer)
	case !isIndex(saved.RepeatGroup, len(servers)+1):
		return nil, fmt.Errorf("server index %d is out of range", saved.RepeatGroup-1)
	}
	req := &request{
		id:           saved.ID,
		class:        class,
		plan:         c.scheduler.plans[saved.Plan],
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
	return req, nil
}

func (c *Controller) resumePlans(image *Image, requests []*request) error {
	for i := range image.Plans {
		saved := &image.Plans[i]
		plan := c.scheduler.plans[i]
		plan.share = saved.Share
		plan.deficit = saved.Deficit
		plan.latenessSum = saved.LatenessSum
		plan.latenessCount = saved.LatenessCount
		plan.meanLateness = saved.MeanLateness
		plan.firstReadings.usage = saved.FirstReadingUsage
		plan.firstReadings.excess = saved.FirstReadingExcess
		for _, index := range saved.Queue {
			if !isIndex(index, len(requests)) {
				return fmt.Errorf("plan %q: request index %d is out of range", plan.Name, index)
			}
			plan.queue = append(plan.queue, requests[index])
		}
	}
	return nil
}

func (c *Controller) resumeAttempts(
	image *Image, requests []*request, servers []*server, customers []*customerAccount,
) error {
	for i := range image.Attempts {
		saved := &image.Attempts[i]
		switch {
		case !isIndex(saved.Request, len(requests)):
			return fmt.Errorf("attempt %d of %q: request index %d is out of range", saved.Attempt, saved.ID, saved.Request)
		case !isIndex(saved.Server, len(servers)):
			return fmt.Errorf("attempt %d of %q: server index %d is out of range", saved.Attempt, saved.ID, saved.Server)
		case !isIndex(saved.Customer, len(customers)):
			return fmt.Errorf("attempt %d of %q: customer index %d is out of range", saved.Attempt, saved.ID, saved.Customer)
		}
		c.requests.attempts[attemptKey{saved.ID, saved.Attempt}] = &pendingAttempt{
			request: requests[saved.Request],
			server:  servers[saved.Server],
			account: customers[saved.Customer],
			sentAt:  saved.SentAt,
			charge: charge{
				units:       saved.Units,
				groupUnits:  saved.GroupUnits,
				quotaTokens: saved.QuotaTokens,
				bin:         saved.Bin,
			},
		}
	}
	return nil
}

// isIndex reports whether i is an index of a list with the given length.
func isIndex(i, length int) bool { return i >= 0 && i < length }
