package control

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"lockflow/control/sharecontrol"
)

// This file holds what a controller remembers and the bookkeeping of it. It
// decides nothing: decisions and tuned figures are in the files that the deploy file lists.

type planQueue struct {
	Plan
	index                                 int
	queue                                 []*request
	share, deficit                        float64
	latenessSum                           float64 // of latency over aim in this interval
	latenessCount                         float64
	meanLateness                          float64
	firstReadingUsage, firstReadingExcess float64  // by first readings of its customers, in quotas: their use, and what of it is beyond
	nextRequest                           *request // head of the queue and its server, for one turn
	nextServer                            *server
}

type request struct {
	id           string
	class        *Class
	plan         *planQueue
	account      *customerAccount
	units        float64
	arrivedAt    time.Duration
	objectiveAt  time.Duration // an answer by then is in time
	deadline     time.Duration
	isQueued     bool
	isStreaming  bool
	attempts     int // attempts started
	inFlight     int // attempts outstanding
	triedServers []uint32
	mayHaveRun   bool // an attempt may have run
	firstRunAt   time.Duration
	repeatGroup  *server // a server of the group that drops its repeats
	timerLabel   uint64
}

func (r *request) isKeyed() bool { return r.class.Idempotency == IdempotencyKeyed }

// repeatsDroppedUntil is the end of the time in which the repeat group drops repeats of what may have run.
func (r *request) repeatsDroppedUntil() time.Duration { return r.firstRunAt + r.class.RepeatWindow }

type pendingAttempt struct {
	request *request
	server  *server
	account *customerAccount
	sentAt  time.Duration
	charge  charge // of the customer's stores; nothing where it is not its request's first
}

// abandonedAttempt is work that is taken to go on at a server after its attempt has ended.
type abandonedAttempt struct {
	server *server
	until  time.Duration
}

type attemptKey struct {
	id string
	n  int
}

// typicalDeadline is the time that most first tries of a class come with.
type typicalDeadline struct {
	deadline time.Duration
	support  int // how many tries had it, less those that had not
}

// observe follows what most of the tries have.
func (u *typicalDeadline) observe(deadline time.Duration, isOutlier bool) {
	if isOutlier && u.support == 0 {
		u.deadline = deadline
	} else if isOutlier {
		u.support -= 2
	}
	u.support++
}

// concurrencyLimiter limits the attempts in flight.
type concurrencyLimiter struct {
	limit                float64
	cutAt                time.Duration // of the latest cut
	fractionalSlotFreeAt time.Duration // before, the part of the limit beyond a whole number is not used
	idleLatency          float64       // seconds; latency of answers by servers with little load
}

// controlWindow is what is counted in one control interval.
type controlWindow struct {
	wasCut, limitReached                             bool
	latencyRatioSum, latencySecondsSum, latencyCount float64 // latency over aim, in s, and their number
	answers, overloads, servedUnits                  float64 // served: units by warm servers
	utilizationSum, utilizationCount                 float64 // of reports
}

// Controller decides for one gateway. It is not safe for concurrent use.
type Controller struct {
	settings     Settings
	pcg          *rand.PCG // behind rng
	rng          *rand.Rand
	now          time.Duration
	clockAdvance time.Duration // between the last two times at which anything was told
	fillingSince time.Duration
	isStarted    bool
	actions      []Action

	classes           map[string]*Class
	plans             []*planQueue
	plansByName       map[string]*planQueue
	requests          map[string]*request
	typicalDeadlines  map[*Class]*typicalDeadline
	maxPriorityWeight float64
	minRetryGap       time.Duration // the shortest time seen from a client's first try to a later one
	requestsByTimer   map[uint64]*request
	attempts          map[attemptKey]*pendingAttempt
	accounts          map[string]*customerAccount
	servers           map[uint32]*server
	sortedServers     []*server
	lastTimerLabel    uint64

	slackFraction               float64 // part of it with which a ceiling's store starts
	inFlight, streamingAttempts int
	rateFraction                float64 // of the rates at which stores fill that is this controller's; see HandOver
	abandoned                   []abandonedAttempt
	limiter                     concurrencyLimiter
	window                      controlWindow
	fleet                       fleetEstimate
	retryBudget                 float64
	meter                       meterClock
	nextTick                    time.Duration
	windowEndsAt                time.Duration
	shareController             *sharecontrol.Controller
	isWatching                  bool
	nextWatchAt                 time.Duration
}

func (c *Controller) binDuration() time.Duration {
	if c.settings.MeterPeriod > 0 {
		return c.settings.MeterPeriod / binsPerPeriod
	}
	return windowDuration / binsPerPeriod
}

func (c *Controller) currentBin() int64 { return int64(c.now / c.binDuration()) }

func (c *Controller) enqueue(req *request, front bool) {
	req.isQueued = true
	if req.attempts == 0 {
		req.account.queuedUnits += req.units
	}
	if front {
		req.plan.queue = append([]*request{req}, req.plan.queue...)
	} else {
		req.plan.queue = append(req.plan.queue, req)
	}
}

func (c *Controller) dequeue(r *request) {
	if !r.isQueued {
		return
	}
	r.isQueued = false
	if r.attempts == 0 {
		r.account.queuedUnits -= r.units
	}
	for i, queued := range r.plan.queue {
		if queued == r {
			r.plan.queue = append(r.plan.queue[:i], r.plan.queue[i+1:]...)
			break
		}
	}
}

// removeRequest drops a request that has its final answer. Attempts still out go on.
func (c *Controller) removeRequest(req *request) {
	c.dequeue(req)
	delete(c.requests, req.id)
	delete(c.requestsByTimer, req.timerLabel)
}

// latestBinAtPhase is the latest bin at or before now that lies at a phase of the period.
func latestBinAtPhase(now, phase int64) int64 {
	return now - ((now-phase)%binsPerPeriod+binsPerPeriod)%binsPerPeriod
}

func (c *Controller) emit(action Action) { c.actions = append(c.actions, action) }

func (c *Controller) armTimer(req *request, after time.Duration) {
	if req.timerLabel == 0 {
		c.lastTimerLabel++
		req.timerLabel = c.lastTimerLabel
		c.requestsByTimer[req.timerLabel] = req
	}
	c.emit(StartTimer{After: max(after, 0), Label: req.timerLabel})
}

const tickTimerLabel = 0

// meterClock is what is known of the meter; see learn.
type meterClock struct {
	misfit            [binsPerPeriod][maxMeterLagBins]float64
	phaseBin, lagBins int64
}

// periodEndBin is the bin in which the period ended that is told now.
func (m *meterClock) periodEndBin(now int64) int64 {
	return latestBinAtPhase(now, m.phaseBin) - m.lagBins
}

// removeGoneServers forgets servers that are gone and hold nothing of ours.
func (c *Controller) removeGoneServers() {
	kept := c.sortedServers[:0]
	for _, srv := range c.sortedServers {
		if srv.isListed || srv.inFlight > 0 {
			kept = append(kept, srv)
		} else {
			delete(c.servers, srv.Server)
		}
	}
	c.sortedServers = kept
}

// ConcurrencyLimit is how many attempts may be out at once now.
func (c *Controller) ConcurrencyLimit() float64 { return c.limiter.limit }

// decayFactor is the part of a quantity that is left after a time in which it decays exponentially.
func decayFactor(elapsed time.Duration, timeConstantSeconds float64) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstantSeconds)
}

func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// Handle takes one event and returns what the gateway has to do, in order. The
// slice is the controller's own and holds until the next call.
func (c *Controller) Handle(now time.Duration, event Event) []Action {
	c.actions = c.actions[:0]
	if now > c.now {
		c.now, c.clockAdvance = now, now-c.now
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
		if req := c.requests[e.ID]; req != nil {
			c.removeRequest(req)
		}
	case TimerFired:
		c.handleTimer(e.Label)
	}
	c.dispatch()
	return c.actions
}

func newController(settings Settings, seed uint64) *Controller {
	pcg := rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)
	c := &Controller{
		settings:         settings,
		rateFraction:     1,
		slackFraction:    initialSlackFraction,
		pcg:              pcg,
		rng:              rand.New(pcg),
		classes:          make(map[string]*Class),
		plansByName:      make(map[string]*planQueue),
		requests:         make(map[string]*request),
		typicalDeadlines: make(map[*Class]*typicalDeadline),
		requestsByTimer:  make(map[uint64]*request),
		attempts:         make(map[attemptKey]*pendingAttempt),
		accounts:         make(map[string]*customerAccount),
		servers:          make(map[uint32]*server),
	}
	for i := range c.settings.Classes {
		class := &c.settings.Classes[i]
		c.classes[class.Name], c.typicalDeadlines[class] = class, &typicalDeadline{}
		c.maxPriorityWeight = math.Max(c.maxPriorityWeight, class.PriorityWeight)
	}
	prices := make([]float64, len(settings.Plans))
	for i, p := range settings.Plans {
		plan := &planQueue{Plan: p, index: i}
		c.plans, c.plansByName[p.Name], prices[i] = append(c.plans, plan), plan, p.Price
	}
	c.shareController = sharecontrol.New(prices)
	return c
}

// mergeList brings the servers up to a list event and forgets those that are gone.
func (c *Controller) mergeList(event EndpointList) {
	for _, srv := range c.sortedServers {
		srv.isListed = srv.isListed && event.Kind == ListPatch
	}
	for _, endpoint := range event.Endpoints {
		srv := c.servers[endpoint.Server]
		if srv == nil {
			srv = &server{outlier: outlierDetector{planRejectedUntil: make(map[*planQueue]time.Duration)}}
			c.servers[endpoint.Server], c.sortedServers = srv, append(c.sortedServers, srv)
		} else if endpoint.State != Active {
			// Guards against an entry that tells no more than that: where the server was says who
			// drops repeats of what it may have run.
			srv.State, srv.isListed = endpoint.State, endpoint.State != Gone
			continue
		}
		c.trackRestart(srv, endpoint)
		srv.Endpoint, srv.isListed = endpoint, endpoint.State != Gone
	}
	sort.Slice(c.sortedServers, func(i, j int) bool { return c.sortedServers[i].Server < c.sortedServers[j].Server })
	c.removeGoneServers()
}

// startClock begins at the first event.
func (c *Controller) startClock() {
	c.isStarted, c.fillingSince = true, c.now
	c.windowEndsAt = c.now + windowDuration
	c.emit(StartTimer{After: tickPeriod, Label: tickTimerLabel})
}

// occupiedSlots counts attempts in flight and abandoned ones that are presumed still running.
func (c *Controller) occupiedSlots() float64 {
	for len(c.abandoned) > 0 && c.abandoned[0].until <= c.now {
		c.abandoned[0].server.abandoned--
		c.abandoned = c.abandoned[1:]
	}
	return float64(c.inFlight - c.streamingAttempts + len(c.abandoned))
}

// recordAttemptStart books an attempt that starts now.
func (c *Controller) recordAttemptStart(req *request, srv *server, charged charge) {
	c.attempts[attemptKey{req.id, req.attempts}] = &pendingAttempt{request: req, server: srv, account: req.account, sentAt: c.now, charge: charged}
	req.attempts++
	req.inFlight++
	req.triedServers = append(req.triedServers, srv.Server)
	srv.inFlight++
	c.inFlight++
	req.account.inFlight.current++
	if req.isStreaming { // from the start: its body is still to come
		c.streamingAttempts++
	}
}

// recordAttemptEnd books the end of an attempt; it gives nil where there is none of that name.
func (c *Controller) recordAttemptEnd(key attemptKey) *pendingAttempt {
	attempt := c.attempts[key]
	if attempt == nil {
		return nil
	}
	delete(c.attempts, key)
	attempt.request.inFlight--
	attempt.server.inFlight--
	c.inFlight--
	attempt.account.inFlight.current--
	if attempt.request.isStreaming {
		c.streamingAttempts--
	}
	return attempt
}

// recordLateness takes one lateness over the aim of a plan's requests.
func (p *planQueue) recordLateness(lateness float64) {
	p.latenessSum += lateness
	p.latenessCount++
}

func (c *Controller) countServers(matches func(*server) bool) float64 {
	n := 0.0
	for _, srv := range c.sortedServers {
		if matches(srv) {
			n++
		}
	}
	return n
}
