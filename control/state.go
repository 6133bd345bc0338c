package control

import (
	"math"
	"math/rand/v2"
	"time"
)

// Controller decides for one gateway. It is not safe for concurrent use.
type Controller struct {
	settings Settings
	classes  map[string]*Class

	pcg *rand.PCG // source of rng
	rng *rand.Rand

	now          time.Duration
	clockAdvance time.Duration // of the latest event at which the clock moved
	isStarted    bool
	actions      []Action // that answer the present event

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

	// The control window.
	window       controlWindow
	windowEndsAt time.Duration
	limiter      concurrencyLimiter
	nextTick     time.Duration // not in use; images have a key for it
}

// secondSeedMask makes the second seed of the random numbers differ from the first: 2^64 over the golden ratio.
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
		fleet:     serverFleet{servers: make(map[uint32]*server)},
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

// Handle takes an event and returns the actions that it leads to, in order. The slice is the controller's own and
// valid until the next call. A time before that of an earlier event counts as that.
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
		c.handleList(e)
	case Request:
		c.handleRequest(e)
	case ResponseStarted:
		c.handleStarted(e)
	case AttemptResult:
		c.handleResponse(e)
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

const tickTimerLabel = 0 // requests have labels from 1 on

// startClock starts the timer and the first window, at the first event.
func (c *Controller) startClock() {
	c.isStarted = true
	c.accounts.fillingSince = c.now
	c.windowEndsAt = c.now + windowDuration
	c.emit(StartTimer{After: tickPeriod, Label: tickTimerLabel})
}

func (c *Controller) emit(action Action) { c.actions = append(c.actions, action) }

// ConcurrencyLimit is how many attempts may be in flight at once now.
func (c *Controller) ConcurrencyLimit() float64 { return c.limiter.limit }

// decayFactor is the part of a quantity that is left after a time in which it decays exponentially.
func decayFactor(elapsed time.Duration, timeConstantSeconds float64) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstantSeconds)
}

func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
