package control

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Image returns the complete state of the controller. It shares nothing with it.
func (c *Controller) Image() Image {
	random, _ := c.pcg.MarshalBinary() // never fails
	image := Image{
		Version:              ImageVersion,
		Random:               random,
		Now:                  c.now,
		ClockAdvance:         c.clockAdvance,
		FillingSince:         c.fillingSince,
		IsStarted:            c.isStarted,
		IsWatching:           c.isWatching,
		NextWatchAt:          c.nextWatchAt,
		MinRetryGap:          c.minRetryGap,
		LastTimerLabel:       c.lastTimerLabel,
		SlackFraction:        c.slackFraction,
		RateFraction:         c.rateFraction,
		InFlight:             c.slots.inFlight,
		StreamingAttempts:    c.slots.streaming,
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
		RetryBudget:          c.retryBudget.retries,
		NextTick:             c.nextTick,
		WindowEndsAt:         c.windowEndsAt,
		Window:               c.window.state(),
		Meter:                c.meter.state(),
		ShareController:      c.shareController.State(),
		TypicalDeadlines:     c.typicalDeadlineStates(),
	}
	c.imageReferences(&image)
	return image
}

// imageReferences adds what refers to each other. Everything that is referred to has an index, in the order in which it
// is first met; what is tracked comes first, in a fixed order.
func (c *Controller) imageReferences(image *Image) {
	var servers indexer[*server]
	var customers indexer[*customerAccount]
	var requests indexer[*request]
	keys := make(map[*customerAccount]string, len(c.accounts))
	for _, srv := range c.sortedServers {
		servers.index(srv)
	}
	for _, key := range slices.Sorted(maps.Keys(c.accounts)) {
		customers.index(c.accounts[key])
		keys[c.accounts[key]] = key
	}
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		requests.index(c.requests[id])
	}
	for _, key := range slices.SortedFunc(maps.Keys(c.attempts), compareAttempts) {
		attempt := c.attempts[key]
		image.Attempts = append(image.Attempts, AttemptImage{
			ID:          key.id,
			Attempt:     key.number,
			Request:     requests.index(attempt.request),
			Server:      servers.index(attempt.server),
			Customer:    customers.index(attempt.account),
			SentAt:      attempt.sentAt,
			Units:       attempt.charge.units,
			GroupUnits:  attempt.charge.groupUnits,
			QuotaTokens: attempt.charge.quotaTokens,
			Bin:         attempt.charge.bin,
		})
	}
	for _, abandoned := range c.slots.abandoned {
		image.Abandoned = append(image.Abandoned, AbandonedImage{servers.index(abandoned.server), abandoned.until})
	}
	for _, req := range requests.items {
		requestImage := req.image()
		requestImage.IsTracked = c.requests[req.id] == req
		requestImage.Customer = customers.index(req.account)
		if req.repeatGroup != nil {
			requestImage.RepeatGroup = servers.index(req.repeatGroup) + 1
		}
		image.Requests = append(image.Requests, requestImage)
	}
	for _, plan := range c.plans {
		planImage := plan.image()
		for _, req := range plan.queue {
			planImage.Queue = append(planImage.Queue, requests.index(req))
		}
		image.Plans = append(image.Plans, planImage)
	}
	for _, srv := range servers.items {
		serverImage := srv.image()
		serverImage.IsTracked = c.servers[srv.Server] == srv
		image.Servers = append(image.Servers, serverImage)
	}
	for _, account := range customers.items {
		customerImage := account.image()
		customerImage.Key, customerImage.IsTracked = keys[account]
		image.Customers = append(image.Customers, customerImage)
	}
}

func compareAttempts(a, b attemptKey) int {
	return cmp.Or(strings.Compare(a.id, b.id), cmp.Compare(a.number, b.number))
}

// image is the stored form of a request, without what it refers to.
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

// image is the stored form of a plan, without its queue.
func (p *planQueue) image() PlanImage {
	return PlanImage{
		Share:              p.share,
		Deficit:            p.deficit,
		LatenessSum:        p.latenessSum,
		LatenessCount:      p.latenessCount,
		MeanLateness:       p.meanLateness,
		FirstReadingUsage:  p.firstReadingUsage,
		FirstReadingExcess: p.firstReadingExcess,
	}
}

// indexer gives each item an index, in the order in which they are first asked for.
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
		x.indexes[item], x.items = i, append(x.items, item)
	}
	return i
}
