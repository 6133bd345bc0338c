package control

import (
	"math"
	"time"
)

// Tuned constants that several files use; the others stand in the file that uses them.
const (
	tickPeriod                 = 100 * time.Millisecond // period of the timer that drives windows and watches
	windowDuration             = time.Second            // control window of shares and concurrency limit
	maxWindowExtension         = 4 * time.Second        // by which a window with few answers may be longer
	slotsPerServer             = 2                      // concurrency limit per usable server: initial and floor
	initialGroupSlotsPerServer = 8.0                    // sum of a replica group's initial limits, per server
	limitIncreaseFactor        = 1.25                   // growth of the limit after a window without overload
	minAnswersPerWindow        = 5                      // with fewer answers the shares stay
	epsilon                    = 1e-9                   // keeps quotients finite
	rejectRetryAfter           = time.Second            // Retry-After of a rejection
	historyBins                = 80                     // length of an account's histories
	serverLatencyGain          = 0.2                    // gain of a server's latency estimate
	fleetEstimateGain          = 0.02                   // gain of estimates over all servers
)

// New returns a gateway's controller, whose randomness comes from seed; an error names a bad setting.
func New(settings Settings, seed uint64) (*Controller, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	c := newController(settings, seed)
	c.fleet.requestUnits.mean = (1 + math.Max(1, settings.MaxUnits)) / 2 // until there are requests
	return c, nil
}

// handleList takes a change of the endpoint list.
func (c *Controller) handleList(event EndpointList) {
	c.watch.handleList(c.now, c.rng, event.Kind)
	if event.Kind == ListFailed {
		return
	}
	c.fleet.merge(c.now, c.rng, event, &c.slowStartSettings)
	c.limiter.open(c.settings.GroupSize, c.fleet.countServers((*server).isUsable), c.minConcurrencyLimit())
}

// minConcurrencyLimit is the lowest concurrency limit with the servers that are usable and not ejected.
func (c *Controller) minConcurrencyLimit() float64 {
	responsive := c.fleet.countServers(func(srv *server) bool {
		return srv.isUsable() && !srv.outlier.hasTripped()
	})
	return minConcurrencyLimit(c.settings.GroupSize, responsive)
}

func (c *Controller) handleTimer(label uint64) {
	if label == tickTimerLabel {
		c.handleTick()
		return
	}
	req := c.requests.byTimer[label]
	if req == nil || !req.isQueued {
		return
	}
	// Guards against a starved plan that seems punctual: a request shed counts as late by its deadline.
	req.plan.recordLateness(math.Max(1, req.class.Deadline.Seconds()/req.class.LatencyObjective.Seconds()))
	c.endUnserved(req, CauseQueueTimeout)
}

// handleTick watches the endpoint list again if its watch has ended, and ends the control window if it is
// due.
func (c *Controller) handleTick() {
	c.emit(StartTimer{After: tickPeriod, Label: tickTimerLabel})
	if c.watch.start(c.now) {
		c.emit(WatchEndpoints{Active: true})
	}
	if c.isWindowDue() {
		c.endWindow((c.now - c.windowEndsAt + windowDuration).Seconds())
		c.windowEndsAt = c.now + windowDuration
	}
}

// isWindowDue tells whether the control window ends now. One with few answers is extended, as their mean
// says little.
func (c *Controller) isWindowDue() bool {
	if c.now < c.windowEndsAt {
		return false
	}
	return c.window.hasEnoughAnswers() || c.now >= c.windowEndsAt+maxWindowExtension
}

// endWindow sets the concurrency limit and the shares of the next control window.
func (c *Controller) endWindow(windowSeconds float64) {
	c.limiter.update(c.now, &c.window, c.fleet.latency, c.minConcurrencyLimit())
	c.scheduler.updateShares(&c.window)
	c.fleet.recordThroughput(c.now, c.window.servedUnits, windowSeconds)
	c.window = controlWindow{}
	c.accounts.evictIdle(c.now)
}

// accountFor returns the refilled account of a plan's customer, opened at its first request.
func (c *Controller) accountFor(plan *planQueue, customer string, fanOut int) *customerAccount {
	return c.accounts.find(c.now, c.rng, plan, customer, fanOut)
}

// refill brings an account up to now.
func (c *Controller) refill(account *customerAccount) { c.accounts.refillAccount(c.now, account) }

func (c *Controller) currentBin() int64 { return c.accounts.binAt(c.now) }

// armTimer has the request's one timer fire after a time.
func (c *Controller) armTimer(req *request, after time.Duration) {
	c.emit(StartTimer{After: max(after, 0), Label: c.requests.timerLabel(req)})
}
