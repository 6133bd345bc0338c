package control

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Image returns a copy of the controller's complete state.
func (c *Controller) Image() Image {
	random, _ := c.pcg.MarshalBinary() // never returns an error
	image := Image{
		Version:              ImageVersion,
		Random:               random,
		Now:                  c.now,
		ClockAdvance:         c.clockAdvance,
		RefillStart:          c.accounts.refillStart,
		IsStarted:            c.isStarted,
		IsWatching:           c.watch.isActive,
		NextWatchAt:          c.watch.nextAttemptAt,
		MinRetryGap:          c.clientWaits.minRetryGap,
		LastTimerLabel:       c.requests.lastTimerLabel,
		SlackFraction:        c.accounts.slackFraction,
		RateFraction:         c.accounts.rateFraction,
		InFlight:             c.requests.slots.inFlight,
		StreamingAttempts:    c.requests.slots.streaming,
		ConcurrencyLimit:     c.limiter.limit,
		LimitCutAt:           c.limiter.cutAt,
		FractionalSlotFreeAt: c.limiter.fractionalSlotFreeAt,
		IdleLatency:          c.limiter.idleLatency,
		FleetLatency:         c.fleet.latency.mean,
		LatencySamples:       c.fleet.latency.count,
		WarmThroughput:       c.fleet.warmThroughput.mean,
		WarmServers:          c.fleet.warmServers.mean,
		PeakThroughput:       c.fleet.peakThroughput,
		WindowCount:          c.fleet.warmThroughput.count,
		FleetUtilization:     c.fleet.utilization.mean,
		FleetReportedLatency: c.fleet.reportedLatency.mean,
		ReportCount:          c.fleet.utilization.count,
		MeanRequestUnits:     c.fleet.requestUnits.mean,
		RequestCount:         c.fleet.requestUnits.count,
		RetryBudget:          c.retries.budget.retries,
		NextTick:             c.nextTick,
		WindowEndsAt:         c.windowEndsAt,
		Window:               c.window.state(),
		Meter:                c.usage.meter.state(),
		ShareController:      c.scheduler.shareController.State(),
		TypicalDeadlines:     c.typicalDeadlineStates(),
	}
	references := c.indexTracked()
	// The order matters: a request may be referred to by an attempt only, and a server or a customer by attempts or
	// requests only.
	c.imageAttempts(&image, references)
	c.imageRequests(&image, references)
	c.imagePlans(&image, references)
	c.imageServers(&image, references)
	c.imageCustomers(&image, references)
	return image
}

// imageReferences holds the indexes of all objects that an image refers to, in the order of the first reference.
type imageReferences struct {
	servers   indexer[*server]
	customers indexer[*customerAccount]
	requests  indexer[*request]
}

// indexTracked returns references in which all objects that the controller tracks come first, in a fixed order.
func (c *Controller) indexTracked() *imageReferences {
	references := &imageReferences{}
	for _, srv := range c.fleet.sortedServers {
		references.servers.index(srv)
	}
	for _, key := range slices.Sorted(maps.Keys(c.accounts.byKey)) {
		references.customers.index(c.accounts.byKey[key])
	}
	for _, id := range slices.Sorted(maps.Keys(c.requests.byID)) {
		references.requests.index(c.requests.byID[id])
	}
	return references
}

// imageAttempts adds the attempts in flight and the abandoned ones that are presumed still running.
func (c *Controller) imageAttempts(image *Image, references *imageReferences) {
	for _, key := range slices.SortedFunc(maps.Keys(c.requests.attempts), compareAttempts) {
		attempt := c.requests.attempts[key]
		image.Attempts = append(image.Attempts, AttemptImage{
			ID:          key.id,
			Attempt:     key.number,
			Request:     references.requests.index(attempt.request),
			Server:      references.servers.index(attempt.server),
			Customer:    references.customers.index(attempt.account),
			SentAt:      attempt.sentAt,
			Units:       attempt.charge.units,
			GroupUnits:  attempt.charge.groupUnits,
			QuotaTokens: attempt.charge.quotaTokens,
			Bin:         attempt.charge.bin,
		})
	}
	for _, abandoned := range c.requests.slots.abandoned {
		image.Abandoned = append(image.Abandoned, AbandonedImage{
			Server: references.servers.index(abandoned.server),
			Until:  abandoned.until,
		})
	}
}

func (c *Controller) imageRequests(image *Image, references *imageReferences) {
	for _, req := range references.requests.items {
		requestImage := req.image()
		requestImage.IsTracked = c.requests.byID[req.id] == req
		requestImage.Customer = references.customers.index(req.account)
		if req.repeatGroup != nil {
			requestImage.RepeatGroup = references.servers.index(req.repeatGroup) + 1
		}
		image.Requests = append(image.Requests, requestImage)
	}
}

func (c *Controller) imagePlans(image *Image, references *imageReferences) {
	for _, plan := range c.scheduler.plans {
		planImage := plan.image()
		for _, req := range plan.queue {
			planImage.Queue = append(planImage.Queue, references.requests.index(req))
		}
		image.Plans = append(image.Plans, planImage)
	}
}

func (c *Controller) imageServers(image *Image, references *imageReferences) {
	for _, srv := range references.servers.items {
		serverImage := srv.image()
		serverImage.IsTracked = c.fleet.servers[srv.Server] == srv
		image.Servers = append(image.Servers, serverImage)
	}
}

func (c *Controller) imageCustomers(image *Image, references *imageReferences) {
	keys := make(map[*customerAccount]string, len(c.accounts.byKey))
	for key, account := range c.accounts.byKey {
		keys[account] = key
	}
	for _, account := range references.customers.items {
		customerImage := account.image()
		customerImage.Key, customerImage.IsTracked = keys[account]
		image.Customers = append(image.Customers, customerImage)
	}
}

func compareAttempts(a, b attemptKey) int {
	return cmp.Or(strings.Compare(a.id, b.id), cmp.Compare(a.number, b.number))
}

// image returns the stored form of a request, without its references.
func (r *request) image() RequestImage {
	return RequestImage{
		ID:           r.id,
		Class:        r.class.Name,
		Plan:         r.plan.index,
		Units:        r.units,
		ArrivedAt:    r.arrivedAt,
		ObjectiveAt:  r.objectiveAt,
		Deadline:     r.deadline,
		FirstRunAt:   r.firstRunAt,
		IsQueued:     r.isQueued,
		IsStreaming:  r.isStreaming,
		MayHaveRun:   r.mayHaveRun,
		Attempts:     r.attempts,
		InFlight:     r.inFlight,
		TriedServers: slices.Clone(r.triedServers),
		TimerLabel:   r.timerLabel,
	}
}

// image returns the stored form of a plan, without its queue.
func (p *planQueue) image() PlanImage {
	return PlanImage{
		Share:              p.share,
		Deficit:            p.deficit,
		LatenessSum:        p.latenessSum,
		LatenessCount:      p.latenessCount,
		MeanLateness:       p.meanLateness,
		FirstReadingUsage:  p.firstReadings.usage,
		FirstReadingExcess: p.firstReadings.excess,
	}
}

// indexer assigns indexes to items in the order of the first calls of index.
type indexer[T comparable] struct {
	indexes map[T]int
	items   []T
}

func (x *indexer[T]) index(item T) int {
	i, ok := x.indexes[item]
	if !ok {
		if x.indexes == nil {
			x.indexes = make(map[T]int)
		}
		i = len(x.items)
		x.indexes[item] = i
		x.items = append(x.items, item)
	}
	return i
}
