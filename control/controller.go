package control

import (
	"math"
	"math/rand/v2"
	"time"
)

// tickPeriod is the period of the timer on which control windows and the endpoint watch are checked.
const tickPeriod = 100 * time.Millisecond

// Controller makes the decisions of one gateway. It is not safe for concurrent use.
type Controller struct {
	settings Settings
	classes  map[string]*Class

	pcg *rand.PCG // source of rng
	rng *rand.Rand

	now          time.Duration
	clockAdvance time.Duration // time by which the clock last advanced between two events
	isStarted    bool
	actions      []Action // actions of the current event

	// Requests and their attempts.
	requests    requestTable
	retries     retryPolicy
	clientWaits clientWaitEstimator

	// Customers and their plans.
	scheduler scheduler
	accounts  accountTable
	admission admission
	usage     usageEstimator

	// Servers.
	fleet             serverFleet
	slowStartSettings slowStartSettings
	selector          endpointSelector
	watch             endpointWatch

	// The control window and the concurrency limit.
	window       controlWindow
	windowEndsAt time.Duration
	limiter      concurrencyLimiter
	nextTick     time.Duration // unused, but kept since images have a key for it
}

// New returns a gateway's controller, whose random numbers come from seed. The error names an invalid
// setting.
func New(settings Settings, seed uint64) (*Controller, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return newController(settings, seed), nil
}

// secondSeedMask makes the generator's second seed differ from the first. It is 2^64 divided by the golden
// ratio.
const secondSeedMask = 0x9e3779b97f4a7c15

func newController(settings Settings, seed uint64) *Controller {
	pcg := rand.NewPCG(seed, seed^secondSeedMask)
	c := &Controller{
		settings:  settings,
		pcg:       pcg,
		rng:       rand.New(pcg),
		classes:   make(map[string]*Class),
		scheduler: newScheduler(settings.Plans),
		requests:  newRequestTable(),
		fleet:     newServerFleet(settings.MaxUnits),
	}
	c.slowStartSettings = newSlowStartSettings(&c.settings)
	c.selector = endpointSelector{fleet: &c.fleet, slowStart: &c.slowStartSettings}
	for i := range c.settings.Classes {
		class := &c.settings.Classes[i]
		c.classes[class.Name] = class
	}
	c.admission = newAdmission(&c.settings)
	c.accounts = newAccountTable(&c.settings)
	c.watch.isRequired = c.settings.ListOnRequest
	c.usage = newUsageEstimator(&c.settings)
	c.retries = newRetryPolicy(&c.settings)
	c.clientWaits = newClientWaitEstimator(&c.settings)
	return c
}

// Handle processes an event and returns the resulting actions in order. The slice belongs to the controller
// and is valid until the next call. If now is before the time of an earlier event, that time is used instead.
func (c *Controller) Handle(now time.Duration, event Event) []Action {
	c.actions = c.actions[:0]
	if now > c.now {
		c.clockAdvance = now - c.now
		c.now = now
	}
	if !c.isStarted {
		c.startClock()
	}
	switch e := event.(type) {
	case EndpointList:
		c.handleEndpointList(e)
	case Request:
		c.handleRequest(e)
	case ResponseStarted:
		c.handleResponseStarted(e)
	case AttemptResult:
		c.handleAttemptResult(e)
	case ClientGone:
		if req := c.requests.byID[e.ID]; req != nil {
			c.requests.remove(req)
		}
	case TimerFired:
		c.handleTimer(e.Label)
	}
	c.dispatch()
	return c.actions
}

const tickTimerLabel = 0 // labels of requests start at 1

// startClock starts the tick timer and the first control window at the first event.
func (c *Controller) startClock() {
	c.isStarted = true
	c.accounts.refillStart = c.now
	c.windowEndsAt = c.now + windowDuration
	c.emit(StartTimer{After: tickPeriod, Label: tickTimerLabel})
}

func (c *Controller) emit(action Action) { c.actions = append(c.actions, action) }

// ConcurrencyLimit returns the number of attempts that may currently be in flight at once.
func (c *Controller) ConcurrencyLimit() float64 { return c.limiter.limit }

// handleEndpointList applies a change of the endpoint list.
func (c *Controller) handleEndpointList(event EndpointList) {
	c.watch.recordList(c.now, c.rng, event.Kind)
	if event.Kind == ListFailed {
		return
	}
	c.fleet.merge(c.now, c.rng, event, &c.slowStartSettings)
	c.limiter.initialize(c.settings.GroupSize, c.fleet.countServers((*server).isUsable), c.minConcurrencyLimit())
}

// minConcurrencyLimit returns the minimum concurrency limit for the servers that are usable and not ejected.
func (c *Controller) minConcurrencyLimit() float64 {
	responsive := c.fleet.countServers(func(srv *server) bool {
		return srv.isUsable() && !srv.outlier.hasTripped()
	})
	return minConcurrencyLimit(c.settings.GroupSize, responsive)
}

// handleTimer handles the tick timer or the timer of a request. A request that is still queued is ended.
func (c *Controller) handleTimer(label uint64) {
	if label == tickTimerLabel {
		c.handleTick()
		return
	}
	req := c.requests.byTimer[label]
	if req == nil || !req.isQueued {
		return
	}
	// A request that times out in the queue counts with its deadline as its latency, so that a starved plan does
	// not appear to meet its objective.
	req.plan.recordLateness(math.Max(1, req.class.Deadline.Seconds()/req.class.LatencyObjective.Seconds()))
	c.rejectOrFail(req, CauseQueueTimeout)
}

// handleTick restarts the watch of the endpoint list if it has ended, and ends the control window if it is
// due.
func (c *Controller) handleTick() {
	c.emit(StartTimer{After: tickPeriod, Label: tickTimerLabel})
	if c.watch.startIfDue(c.now) {
		c.emit(WatchEndpoints{Active: true})
	}
	if c.isWindowDue() {
		c.endWindow((c.now - c.windowEndsAt + windowDuration).Seconds())
		c.windowEndsAt = c.now + windowDuration
	}
}

// isWindowDue reports whether the control window ends now. A window with few answers is extended, since their
// mean is not meaningful.
func (c *Controller) isWindowDue() bool {
	if c.now < c.windowEndsAt {
		return false
	}
	return c.window.hasEnoughAnswers() || c.now >= c.windowEndsAt+maxWindowExtension
}

// endWindow ends the control window and sets the concurrency limit and the shares of the next one.
func (c *Controller) endWindow(windowSeconds float64) {
	if c.limiter.update(c.now, &c.window, c.fleet.latency, c.minConcurrencyLimit()) {
		c.window.isOverloaded = true
	}
	c.scheduler.updateShares(&c.window)
	c.fleet.recordThroughput(c.now, c.window.servedUnits, windowSeconds)
	c.window = controlWindow{}
	c.accounts.evictIdle(c.now)
}

// accountFor returns the refilled account of a plan's customer, and opens it if there is none. It returns nil
// if there are too many accounts.
func (c *Controller) accountFor(plan *planQueue, customer string, fanOut int) *customerAccount {
	return c.accounts.accountFor(c.now, c.rng, plan, customer, fanOut)
}

// refillAccount refills an account's buckets up to now.
func (c *Controller) refillAccount(account *customerAccount) {
	c.accounts.refillAccount(c.now, account)
}

func (c *Controller) currentBin() int64 { return c.accounts.binAt(c.now) }

// armTimer sets the request's single timer to fire after a time.
func (c *Controller) armTimer(req *request, after time.Duration) {
	c.emit(StartTimer{After: max(after, 0), Label: c.requests.timerLabel(req)})
}
