// Package control decides for one gateway what becomes of each request: whether
// it is let in, when its plan has a turn, which server gets it and what follows
// a failure. Its interface, that is settings, events and actions, is api.go.
//
// The path of a request: quota (metered chance) -> queue of its plan ->
// weighted round robin by share -> in-flight bound -> choice of server.
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
	initialMeterLagBins        = 8                      // delay of readings assumed until it is learned
	historyBins                = 80                     // length of an account's histories
	initialSlackFraction       = 0.5                    // part of the slack that a new hard-limit bucket has
	serverLatencyGain          = 0.2                    // gain of a server's latency estimate
	fleetEstimateGain          = 0.02                   // gain of estimates over all servers
	ejectionFailures           = 3                      // consecutive failures that eject a server
	maxRetryBudget             = 20.0                   // retries that can be saved up
	rewatchInterval            = 2 * time.Second        // between two requests to watch the endpoint list
)

// New makes the controller of one gateway. All randomness comes from seed.
func New(s Settings, seed uint64) (*Controller, error) {
	if err := validate(&s); err != nil {
		return nil, err
	}
	c := newController(s, seed)
	c.retries, c.nextTry, c.clock.lag = maxRetryBudget, rejectRetryAfter, initialMeterLagBins
	c.meanUnits = (1 + math.Max(1, s.MaxUnits)) / 2 // until requests tell
	for i := range c.set.Classes {
		k := &c.set.Classes[i]
		c.classes[k.Name], c.usual[k] = k, &usualTTL{}
		c.topWorth = math.Max(c.topWorth, k.PriorityWeight)
	}
	prices := make([]float64, len(s.Plans))
	for i, p := range s.Plans {
		pl := &plan{Plan: p, index: i, share: 1 / float64(len(s.Plans))}
		c.plans, c.planOf[p.Name], prices[i] = append(c.plans, pl), pl, p.Price
	}
	c.law = newShareLaw(prices)
	return c, nil
}

func (c *Controller) begin() {
	c.started, c.start = true, c.now
	c.nextInterval = c.now + windowDuration
	c.act(StartTimer{After: tickPeriod, Label: tickLabel})
}

func (c *Controller) onList(e EndpointList) {
	if c.following = c.set.ListOnRequest && e.Kind != ListCached && e.Kind != ListFailed; e.Kind == ListFailed {
		c.askAt = c.now + rewatchInterval/2 + time.Duration(c.rng.Int64N(int64(rewatchInterval)))
		return
	}
	c.merge(e)
	if c.bound == 0 {
		first := math.Min(slotsPerServer, initialGroupSlotsPerServer/float64(c.set.GroupSize))
		c.bound = math.Max(c.floor(), first*c.count((*server).usable))
	}
}

func (c *Controller) onTimer(label uint64) {
	if label == tickLabel {
		c.onTick()
	} else if r := c.labels[label]; r != nil && r.queued {
		// Guards against a starved plan that looks punctual: one shed counts as its deadline.
		r.plan.saw(math.Max(1, r.class.Deadline.Seconds()/r.class.LatencyObjective.Seconds()))
		c.finish(r, CauseQueueTimeout)
	}
}

func (c *Controller) onTick() {
	c.act(StartTimer{After: tickPeriod, Label: tickLabel})
	if c.set.ListOnRequest && !c.following && c.now >= c.askAt {
		c.act(WatchEndpoints{Active: true})
		c.askAt = c.now + rewatchInterval
	}
	// An interval of few answers goes on, as their mean says little.
	hasAnswers := c.answers+c.bad >= minAnswersPerWindow
	if c.now >= c.nextInterval && (hasAnswers || c.now >= c.nextInterval+maxWindowExtension) {
		c.endInterval((c.now - c.nextInterval + windowDuration).Seconds())
		c.nextInterval = c.now + windowDuration
	}
}
