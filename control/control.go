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

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/mat"
)

// Every tuned figure of the module.
const (
	tick         = 100 * time.Millisecond // how often held requests are looked at without an event
	interval     = time.Second            // control interval of shares and bound
	intervalMore = 4 * time.Second        // by which it may last longer where few answers are in
	perServer    = 2                      // in-flight bound per ready server, at start and as floor
	groupFirst   = 8.0                    // per server, that the first bounds of a whole group may sum up to
	groupLeast   = 2.0                    // the same for the floors
	boundUp      = 1.25                   // growth of the bound after an interval without trouble
	boundDown    = 0.5                    // cut of the bound on trouble, once an interval at most
	leastAnswers = 5                      // below so many answers an interval the shares stay
	forgetting   = 0.95                   // lambda of the RLS
	shareCost    = 0.3                    // diagonal of Q: the price of large shares
	firstCov     = 1.0                    // diagonal of P(0)
	firstGain    = 3.0                    // B0(0): lateness that a share above the equal one takes off
	firstKeep    = 0.9                    // A1(0): lateness that stays to the next interval
	tiny         = 1e-9                   // keeps a quotient finite; phi' P phi below it teaches nothing
	covLimit     = 1e4                    // largest entry of P; beyond it the estimate starts anew

	chanceMax    = 0.95             // highest chance of refusal
	retryAfter   = time.Second      // advice in a refusal
	lagFirst     = 8                // bins by which a metered period is taken to be told late until learned
	lagMost      = 66               // bins of lateness that are considered
	lagKeep      = 0.99             // what the misfit of a lateness keeps at each answer
	lagWeak      = 0.5              // weight of sends that are missing against sends that cannot have been
	lagSwitch    = 0.8              // a new lateness must fit better by this factor
	bins         = 80               // history of a customer, in bins of a tenth of the meter period
	binsPeriod   = 10               // bins in one meter period
	shareKeep    = 0.85             // what a customer's learned part keeps at each reading
	sharePrior   = 3.0              // requests' worth of belief in an even spread
	shareLeast   = 0.05             // the least that the learned part can be
	usePrior     = 0.3              // part of its rate that an unseen customer is taken to use
	useKeep      = 0.8              // what the smoothed use keeps at each reading
	surge        = 0.5              // shape of the belief about others' use: small trusts own surges more
	baseAge      = 4.0              // s after which a told use is taken to have ended by 63%
	unmetered    = 2.0              // s of use that the meter has not told yet
	storeHigh    = 0.08             // part of the store above which the chance is not applied
	storeSpare   = 0.5              // part of the store that a repeat too late for its aim must leave
	worthLow     = 0.5              // part of the dearest class's worth below which a class yields
	yieldAim     = 0.05             // part of its aim that a turn may take for a class that yields to be let in
	storeLow     = 0.5              // units of a request that the store must hold for it to be let in
	ceilingStart = 0.5              // part of the slack with which a ceiling's store starts
	openDown     = 0.85             // the most that one reading takes off a part of an open quota
	toldUnits    = 8.0              // units of quota that the readings behind a chance amount to
	askedShape   = 0.5              // shape of the belief about a customer's demand
	askedMean    = 0.8              // and its mean, in parts of the rate: few customers ask for far more
	burstPart    = 0.5              // part of the depth that the chance grants over toldAge
	toldAge      = 20.0             // s after which a reading has lost 63% of its weight
	coverLeast   = 0.5              // part of the periods told from which the store goes before the chance
	custKeep     = time.Minute      // the longest that an idle customer is remembered, if its stores are full
	custMost     = 20000            // customers from half of which the idle are forgotten
	latencyGain  = 0.2              // gain of a server's latency estimate
	fleetGain    = 0.02             // gain of the fleet's latency estimate
	triedCost    = 4.0              // factor on the cost of a server that this request has tried
	asideCost    = 1e6              // factor on the cost of a server put aside: where there is no other
	failGain     = 0.15             // gain of the estimate of a server's failures
	failCost     = 5.0              // factor on a server's cost, times the square of what it is over the gain
	failMost     = 0.75             // part from which failures speak against the server as a whole
	tieNoise     = 0.02             // random part of a cost, so that gateways do not agree on one server
	warmLeast    = 0.1              // the least warmth that is reckoned with
	latencyAge   = 5.0              // s after which an estimate unfed has lost 63% against the fleet's
	sampleNoise  = 6.0              // own answers, of late, whose mean weighs as much as the fleet's
	slowAge      = 40.0             // s after which what a server told of its speed has lost 63%
	slowLeast    = 1.5              // times the fleet's mean, below which it is as fast as others
	busyAge      = 2.0              // the same for how busy it is
	busyCost     = 3.0              // factor on the cost of a busy server, less one
	strange      = 3.0              // factor on the cost of a server that has told nothing of late
	knownLeast   = 4                // servers that have, below which others are tried first
	strikesOut   = 3                // failures in a row that put a server aside
	asideFirst   = time.Second      // how long it is put aside at first; doubles
	shutFor      = 15 * time.Second // how long a server that refused a plan is not tried for it
	asideMost    = 8 * time.Second
	coldSafety   = 0.32  // part of a cold server's budget that is used
	retryEarn    = 0.1   // further attempts earned by each request
	retryLeast   = 0.1   // the least that a further attempt takes of what was earned
	retryMost    = 20.0  // further attempts saved up at most
	zombieLife   = 2.0   // mean latencies that timed-out work is taken to go on at most
	lateAim      = 0.18  // part of the aim that attempts may take on average before the bound is cut
	lateMost     = 0.33  // part from which it is cut even where idle servers take half as long
	lateIdle     = 2.0   // times the idle time that attempts may take before it is cut
	idleCreep    = 1.005 // growth of the idle time in an interval without a shorter one
	idleLeast    = 25    // answers before the least is kept
	queueAim     = 0.4   // part of the aim that a request may wait in the queue
	openAim      = 0.7   // the same where an open quota holds requests back
	badCut       = 0.1   // part of an interval's outcomes that are full or timed out from which the bound is cut
	badIdle      = 1.3   // times the idle time below which it is not
	utilFull     = 0.9   // mean part of their cores that servers tell as busy, below which they have room
	answersSure  = 40.0  // answers an interval whose mean is sure enough to cut the bound by
	badHold      = 0.03  // part from which it does not grow
	askAgain     = 2 * time.Second
)

// New makes the controller of one gateway. All randomness comes from seed.
func New(s Settings, seed uint64) (*Controller, error) {
	if err := validate(&s); err != nil {
		return nil, err
	}
	c := newController(s, seed)
	c.retries, c.nextTry, c.clock.lag = retryMost, retryAfter, lagFirst
	c.meanUnits = (1 + math.Max(1, s.UnitsTop)) / 2 // until requests tell
	for i := range c.set.Classes {
		k := &c.set.Classes[i]
		c.classes[k.Name], c.usual[k] = k, &usualTTL{}
		c.topWorth = math.Max(c.topWorth, k.Worth)
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
	c.nextInterval = c.now + interval
	c.act(Arm{After: tick, Label: tickLabel})
}

// ---- server list ----

func (c *Controller) onList(e List) {
	if c.following = c.set.OnRequest && e.Kind != Stale && e.Kind != Broken; e.Kind == Broken {
		c.askAt = c.now + askAgain/2 + time.Duration(c.rng.Int64N(int64(askAgain)))
		return
	}
	c.merge(e)
	if c.bound == 0 {
		first := math.Min(perServer, groupFirst/float64(c.set.GroupSize))
		c.bound = math.Max(c.floor(), first*c.count((*server).usable))
	}
}

// learn takes an entry of the list before it replaces what was listed. A server that started
// anew has no record, and starts cold with nothing to spend.
func (c *Controller) learn(s *server, m Member) {
	if m.HasCameUp && (!s.HasCameUp || m.CameUp > s.CameUp) {
		s.latency, s.failing, s.strikes, s.asideUntil, s.aside, s.samples, s.toldAt = 0, 0, 0, 0, 0, 0, 0
		clear(s.shut)
	}
	if m.HasCameUp && c.now < m.CameUp+c.set.Cold {
		s.coldRamp, s.coldFrom = true, max(m.CameUp, s.coldFrom)
		// Guards against a large group that comes with its first requests all at once, or not at all
		// while the server is cold: what each may send takes it longer to earn than that.
		s.tokens, s.tokensAt = -c.rng.Float64()*c.meanUnits, c.now
	}
}

func (s *server) usable() bool { return s.listed && s.Condition == On }

func (c *Controller) aside(s *server) bool { return s.strikes >= strikesOut && c.now < s.asideUntil }

// floor is twice the ready servers, the least that the bound may be, or where the floors of the
// whole group would sum up to more than a server can use, this gateway's part of that sum. Guards
// against many gateways that jam the fleet by their floors alone.
func (c *Controller) floor() float64 {
	n := c.count(func(s *server) bool { return s.usable() && s.strikes < strikesOut })
	return math.Min(perServer, groupLeast/float64(c.set.GroupSize)) * math.Max(1, n)
}

// ---- quota ----

func (c *Controller) customerOf(p *plan, id string, spread int) *customer {
	key := p.Name + " " + id
	q := c.custs[key]
	if q == nil {
		q = &customer{plan: p, at: c.now, level: c.portion * p.Depth, carry: c.rng.Float64(),
			spread: math.Max(1, float64(spread)), smooth: usePrior * p.Rate}
		// A gateway just started does not know what its former self has passed on: the
		// ceiling's store begins with the slack only and fills from the gateway's start.
		q.ceiling = c.portion * (c.slack*p.CeilingSlack + (c.now-c.start).Seconds()*p.CeilingRate) / q.spread
		q.openCap = float64(p.Open) / q.spread
		c.custs[key] = q
	}
	q.spread = math.Max(q.spread, float64(spread))
	c.refill(q)
	return q
}

// refill fills a customer's stores up to now. Use elsewhere that was told is charged as if it
// went on, and less so as the reading ages.
func (c *Controller) refill(q *customer) {
	dt := (c.now - q.at).Seconds()
	q.at = c.now
	c.roll(q)
	elsewhere := dt * q.base * math.Exp(-(c.now-q.baseAt).Seconds()/baseAge)
	q.charged.add(elsewhere)
	q.level = math.Min(math.Max(q.level, c.portion*q.plan.Depth), q.level+c.portion*(dt*q.plan.Rate-elsewhere))
	full := math.Max(q.ceiling, c.portion*q.plan.CeilingBurst/q.spread)
	q.ceiling = math.Min(full, q.ceiling+c.portion*dt*q.plan.CeilingRate/q.spread)
}

// part is the learned part of a customer's use that comes through this gateway.
func (q *customer) part() float64 {
	return math.Min(1, math.Max(shareLeast, (sharePrior/q.spread+q.ownSum)/(sharePrior+q.allSum)))
}

// others is what the whole group is taken to have sent for a unit sent here.
func (c *Controller) others(q *customer) float64 {
	w := q.part()
	if !q.metered { // the design's rule for a customer not yet metered
		return 1 / w
	}
	told := math.Min(1, q.base/math.Max(q.plan.Rate, q.base+tiny)) // what refill charges already
	return 1 + (1-told)*(1-w)/(w+surge/math.Max(q.smooth*unmetered, surge/10))
}

// admits is the quota's decision on a request at its arrival: why not, or Unsaid where it is let in.
func (c *Controller) admits(q *customer, k *Class, units float64, late bool) (why Cause) {
	p := q.plan
	q.asked.add(1)
	q.tries = q.tries*math.Exp(-(c.now-q.triesAt).Seconds()/toldAge) + units
	q.triesAt = c.now
	// Guards against tries that can only be late, or of a class worth far less than the dearest,
	// taking the units or the turn of others.
	yields := late || k.Worth < worthLow*c.topWorth
	full := !c.free() && c.turnTakes() > yieldAim*k.Aim.Seconds()
	scarce := full || p.Rate > 0 && q.level-q.queued < storeSpare*p.Depth
	switch {
	case late && !c.covered(q):
		why = TooLate
	case yields && scarce:
		why = Yields
	default:
		why = c.passes(q, units)
	}
	if why != Unsaid {
		q.refused.add(1)
	}
	return why
}

// turnTakes is how long, in s, a try that joins the queues now is taken to wait and to hold its
// place: by so much it sets back dearer work that comes meanwhile. Guards against refusing what
// fast servers would be done with in no time, only because the bound is full at that moment.
func (c *Controller) turnTakes() float64 {
	ahead := 0
	for _, p := range c.plans {
		ahead += len(p.queue)
	}
	return c.latency * (1 + float64(ahead+1)/math.Max(1, c.bound))
}

// passes holds a try against the ceiling, the store and the chance. The metered chance decides
// where the store is not empty (a surge not told yet), nor well filled and told of most periods.
func (c *Controller) passes(q *customer, units float64) Cause {
	p := q.plan
	if p.CeilingRate > 0 && q.ceiling-q.queued < units {
		return OverCeiling
	}
	if p.Rate > 0 {
		left := q.level - q.queued
		if left >= math.Max(storeHigh*p.Depth, units) && c.covered(q) {
			return Unsaid
		}
		if left < storeLow*units {
			return OverStore
		}
	}
	// The chance is drawn by carrying its remainder on, which keeps it exact over few tries.
	if q.carry += 1 - c.chanceNow(q); q.carry >= 1 {
		q.carry--
		return Unsaid
	}
	return ByChance
}

// covered tells whether most periods of a customer's use are told here, of those that could have
// been since this gateway started.
func (c *Controller) covered(q *customer) bool {
	could := toldAge * (1 - math.Exp(-(c.now-c.start).Seconds()/toldAge))
	return q.cover*math.Exp(-(c.now-q.toldAt).Seconds()/toldAge) > coverLeast*could
}

// chanceNow is the chance of refusal, 1-(1-d')*100/p with p over the latest readings that amount
// to some units and over own tries. Guards against readings of few requests, which are noise, and
// against old ones where few periods are told: both count less against a prior of the demand.
func (c *Controller) chanceNow(q *customer) float64 {
	r := q.plan.Rate
	if r == 0 || !q.metered {
		return q.chance
	}
	k := math.Exp(-(c.now - q.toldAt).Seconds() / toldAge)
	own := q.tries * math.Exp(-(c.now-q.triesAt).Seconds()/toldAge)
	seen := math.Min(toldAge, (c.now-c.start).Seconds()) / q.spread
	demand := (askedShape + k*q.told + own) / (askedShape/(askedMean*r) + k*q.toldFor + seen)
	return math.Min(chanceMax, math.Max(0, 1-(r+burstPart*q.plan.Depth/toldAge)/demand))
}

// draw takes a request's first send from the customer's stores.
func (c *Controller) draw(q *customer, units float64) {
	c.refill(q)
	q.ceiling -= units
	f := units * c.others(q)
	q.level = math.Max(-q.plan.Depth, q.level-f)
	q.own.add(units)
	q.charged.add(f)
}

// meter reads the told use of a customer, once for each period. The chance d'
// is what was in force while that period was metered, whoever decided it then.
func (c *Controller) meter(q *customer, told int, units float64) {
	c.refill(q)
	pct := float64(told - 1)
	used := pct / 100 * q.plan.Rate * c.set.MeterPeriod.Seconds()
	if q.plan.Rate > 0 {
		c.clock.learn(q, used, units, q.part(), c.binNow())
	}
	end := c.clock.end(c.binNow())
	if q.metered && end < q.readEnd+binsPeriod/2 {
		return
	}
	q.metered, q.readEnd = true, end
	own, charged := q.own.over(end), q.charged.over(end)
	asked, force := q.asked.over(end), c.chanceNow(q)
	if asked > 0 {
		force = q.refused.over(end) / asked
	}
	period := c.set.MeterPeriod.Seconds()
	k := math.Exp(-(c.now - q.toldAt).Seconds() / toldAge)
	q.cover = q.cover*k + period
	k *= math.Exp(-q.plan.Rate * period / toldUnits)
	q.told, q.toldFor, q.toldAt = q.told*k+used, q.toldFor*k+(1-force)*period, c.now
	if q.plan.Rate == 0 {
		c.meterOpen(q, pct, force, asked)
		return
	}
	q.ownSum = q.ownSum*shareKeep + math.Min(own, used)
	q.allSum = q.allSum*shareKeep + used
	// Guards against periods that no answer told of, where a customer comes through many
	// gateways: the lower of the last two readings is taken to go on elsewhere.
	q.base = (1 - q.part()) * math.Min(math.Min(used, q.lastUsed)/c.set.MeterPeriod.Seconds(), q.plan.Rate)
	q.baseAt, q.lastUsed = c.now, used
	q.smooth += (1 - useKeep) * (used/c.set.MeterPeriod.Seconds() - q.smooth)
	q.level = math.Min(c.portion*q.plan.Depth, math.Max(-q.plan.Depth/2, q.level+c.portion*(charged-used)))
}

// learn finds when the meter's periods end and how late they are told: the pair under
// which this gateway's own sends fit best with what is told. Guards against a period
// read many times or matched with another's sends; holds for late reports of any cause.
func (m *meterClock) learn(q *customer, used, units, part float64, now int64) {
	least, at, lag := math.Inf(1), int64(0), int64(0)
	sent := q.own.window()
	for ph := int64(0); ph < binsPeriod; ph++ {
		f := flip(now, ph)
		for l := int64(0); l < lagMost; l++ {
			own := sent.over(f - l)
			miss := math.Max(0, own-used) + lagWeak*math.Max(0, part*used-own)
			e := &m.miss[ph][l]
			if *e = *e*lagKeep + miss/(units+used+own); *e < least {
				least, at, lag = *e, ph, l
			}
		}
	}
	if least < lagSwitch*m.miss[m.phase][m.lag] {
		m.phase, m.lag = at, lag
	}
}

// meterOpen moves this gateway's part of an open quota by the told maximum. A part
// below one is kept by a pause after each attempt; see onResponse. The chance comes last.
func (c *Controller) meterOpen(q *customer, pct, force, asked float64) {
	if q.openCap > q.openLeast() {
		q.chance = 0
	} else if asked > 0 || pct <= 100 {
		q.chance = math.Min(chanceMax, math.Max(0, 1-(1-force)*100/math.Max(pct, 1)))
	}
	if pct > 100 || q.openHit {
		q.openCap *= math.Max(openDown, math.Min(boundUp, 100/math.Max(pct, 1)))
	}
	most := float64(q.plan.Open)
	q.openCap, q.openHit = math.Min(most, math.Max(q.openLeast(), q.openCap)), false
}

// openLeast is half of an even part of an open quota.
func (q *customer) openLeast() float64 { return float64(q.plan.Open) / q.spread / 2 }

// sweep forgets customers that have been idle for long and are as good as new ones; where
// there are many it forgets sooner, and all that are idle. A ceiling's store that was not full
// is safe then: all stores unseen fill from now.
func (c *Controller) sweep() {
	for k, q := range c.custs {
		if c.now-q.at > custKeep && q.open == 0 && q.queued == 0 && c.full(q) {
			delete(c.custs, k)
		}
	}
	keep := custKeep
	for len(c.custs) > custMost/2 && keep > interval {
		keep /= 2
		c.start = max(c.start, c.now-keep)
		for k, q := range c.custs {
			if c.now-q.at > keep && q.open == 0 && q.queued == 0 {
				delete(c.custs, k)
			}
		}
	}
}

// full tells whether an idle customer's stores have filled again since it was last looked at.
func (c *Controller) full(q *customer) bool {
	p, dt := q.plan, (c.now - q.at).Seconds()
	elsewhere := q.base * math.Exp(-(c.now-q.baseAt).Seconds()/baseAge)
	return p.Open == 0 && (p.Rate == 0 || q.level+dt*(p.Rate-elsewhere) >= p.Depth) &&
		(p.CeilingRate == 0 || q.ceiling+dt*p.CeilingRate/q.spread >= p.CeilingBurst/q.spread)
}

// ---- requests ----

func (c *Controller) onRequest(e Request) {
	k, p := c.classes[e.Class], c.planOf[e.Plan]
	if c.reqs[e.ID] != nil {
		return
	} else if e.NoRoom {
		c.refuse(e.ID, NoRoom)
		return
	} else if e.Over {
		c.refuse(e.ID, OverCeiling)
		return
	} else if k == nil || p == nil || !(e.Units >= 0) || e.TTL <= 0 {
		c.refuse(e.ID, Unknown)
		return
	}
	c.asks++
	c.meanUnits += math.Max(fleetGain, 1/c.asks) * (e.Units - c.meanUnits)
	q := c.customerOf(p, e.Customer, e.Spread)
	waited := c.waited(e, k)
	if why := c.admits(q, k, e.Units, waited+seconds(c.latency) >= k.Aim); why != Unsaid {
		c.refuse(e.ID, why)
		return
	}
	r := &request{id: e.ID, class: k, plan: p, cust: q, units: e.Units, arrived: c.now,
		aim: c.now + k.Aim - waited, giveUp: c.now + e.TTL, streaming: e.Open}
	c.reqs[r.id] = r
	c.retries = math.Min(retryMost, c.retries+retryEarn)
	c.enqueue(r, false)
	part := queueAim
	if p.Open > 0 {
		part = openAim
	}
	c.wake(r, min(time.Duration(part*float64(k.Aim)), e.TTL/2, max(r.aim-c.now-seconds(c.latency), tick)))
}

// waited is what the client of a try has waited for earlier tries or for this gateway. A
// later try is told by its mark, or by a time unlike what is usual for its class; the deadline
// over all tries then tells. Guards against first tries that a gateway that stood still finds
// late: they lack no more than its own clock has skipped.
func (c *Controller) waited(e Request, k *Class) time.Duration {
	u := c.usual[k]
	short := u.ttl - e.TTL
	odd := short > max(c.skipped, tick) || short < -tick
	later := e.Repeat || !c.set.MarksRetry && odd && u.seen > 0
	if !e.Repeat {
		u.count(e.TTL, odd)
	}
	if !later {
		return min(max(short, 0), c.skipped)
	} else if !odd { // as long as a first try's: not the last of its client
		return min(c.nextTry, k.Deadline-e.TTL)
	}
	c.nextTry = min(c.nextTry, k.Deadline-e.TTL)
	return k.Deadline - e.TTL
}

func (c *Controller) refuse(id string, why Cause) {
	c.act(Refuse{ID: id, RetryAfter: min(retryAfter, c.set.MaxRetryAfter), Why: why})
}

// finish gives the final answer of a request that was not served: a refusal
// where the rules allow one, else a failure.
func (c *Controller) finish(r *request, why Cause) {
	if c.harmless(r) {
		c.refuse(r.id, why)
	} else {
		c.act(Fail{ID: r.id, Why: why})
	}
	c.forget(r)
}

func (c *Controller) harmless(r *request) bool {
	return r.class.Effect == Free || !r.mayRun && r.out == 0 ||
		r.class.Effect == Guarded && r.class.KeyScope == ScopeAll
}

// ---- dispatch ----

// pump gives turns to the plans while the bound allows.
func (c *Controller) pump() {
	for c.free() {
		r, s := c.turn()
		if r == nil {
			return
		}
		c.send(r, s)
	}
	c.pressed = true
}

// free tells whether the bound has room. The part of it beyond a whole number is a place that
// rests after each use; so hundreds of gateways may each have less than one request in flight.
func (c *Controller) free() bool {
	n := c.busyNow()
	return n+1 <= c.bound || n < c.bound && c.now >= c.restUntil
}

// busyNow counts attempts out and timed-out work that is taken to go on.
func (c *Controller) busyNow() float64 {
	for len(c.ghosts) > 0 && c.ghosts[0].until <= c.now {
		c.ghosts[0].srv.ghosts--
		c.ghosts = c.ghosts[1:]
	}
	return float64(c.inflight - c.streams + len(c.ghosts))
}

// turn is one step of the weighted round robin: the plan with the most credit
// among those that have a request to send. An empty queue passes its turn.
func (c *Controller) turn() (*request, *server) {
	var best *plan
	total := 0.0
	for _, p := range c.plans {
		if p.next, p.to = c.head(p); p.next == nil {
			continue
		}
		p.credit += p.share
		total += p.share
		if best == nil || p.credit > best.credit {
			best = p
		}
	}
	if best == nil {
		return nil, nil
	}
	best.credit -= total
	return best.next, best.to
}

// head is the first request of a plan's queue that may go now, and its server.
// One that waits for its open quota or for its own group lets the next pass.
func (c *Controller) head(p *plan) (*request, *server) {
	for _, r := range p.queue {
		if p.Open > 0 && r.sends == 0 && (c.now < r.cust.openNext ||
			float64(r.cust.open+r.cust.foreign) >= math.Max(1, math.Floor(r.cust.openCap))) {
			r.cust.openHit = true
			continue
		}
		if s := c.pick(r); s != nil {
			return r, s
		}
		if r.group == nil {
			return nil, nil
		}
	}
	return nil, nil
}

func (c *Controller) send(r *request, s *server) {
	c.dequeue(r)
	if r.sends == 0 {
		c.draw(r.cust, r.units)
	}
	if r.group == nil && r.class.Effect == Guarded {
		r.firstRun = c.now
	}
	if s.inflight == 0 {
		s.heard = c.now
	}
	if s.coldRamp {
		s.tokens -= r.units
	}
	if s.strikes >= strikesOut {
		s.probing = true
	}
	c.record(r, s)
	c.act(Send{ID: r.id, Server: s.Server})
}

// ---- server choice ----

// pick is the server of least expected wait that the rules allow; nil is to wait.
func (c *Controller) pick(r *request) *server {
	var best *server
	bestCost := math.Inf(1)
	unknown := strange
	if c.count(c.known) < knownLeast {
		unknown = 1 / strange
	}
	for _, s := range c.order {
		if !s.usable() || !c.sameGroup(r, s) || !c.coldRoom(s) {
			continue
		}
		cost := c.cost(s, unknown)
		for _, t := range r.tried {
			if t == s.Server {
				cost *= triedCost
			}
		}
		if c.aside(s) || s.probing || c.now < s.shut[r.plan] {
			cost *= asideCost
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

func (c *Controller) sameGroup(r *request, s *server) bool {
	if r.group == nil || r.class.Effect != Guarded {
		return true
	}
	if c.now >= r.firstRun+r.class.RepeatWindow { // it waited in the queue for too long
		return false
	}
	if r.class.KeyScope == ScopeAll {
		return true
	}
	return r.class.KeyScope == ScopeZone && r.group.Zone == s.Zone ||
		r.class.KeyScope == ScopeCell && r.group.Cell == s.Cell
}

// cost is the expected wait at a server: its latency times what it holds of ours, and more the
// busier it says its cores are. Own answers count by their number, as the work of each is a draw.
// What is not known is taken to be as with the fleet; a server not seen of late costs unknown times
// as much. Guards against each of many gateways that tries all servers in turn, and so the slow
// ones, and opens connections to all.
func (c *Controller) cost(s *server, unknown float64) float64 {
	base := math.Max(c.latency, 1e-3)
	lat, slow, busy := base, unknown, c.util
	if s.samples > 0 {
		fresh := s.samples * math.Exp(-(c.now-s.latencyAt).Seconds()/latencyAge)
		lat += (s.latency - base) * fresh / (fresh + sampleNoise)
	}
	if s.coldRamp { // none has told for long of one, and its budget is below what it can do
		slow = 1
	}
	if s.toldAt > 0 {
		since := (c.now - s.toldAt).Seconds()
		slow += (s.slow - slow) * math.Exp(-since/slowAge)
		busy += (s.util - busy) * math.Exp(-since/busyAge)
	}
	lat = math.Max(lat, base*slow)
	if s.inflight > 0 { // a server that is silent is at least as slow as its silence
		lat = math.Max(lat, (c.now - s.heard).Seconds())
	}
	lat *= 1 + busyCost*busy*busy*busy*busy
	n := float64(s.inflight + s.ghosts)
	cost := lat * (n + 1)
	f := math.Max(0, c.failing(s)-failGain) // one failure says nothing
	return cost * (1 + failCost*f*f) * (1 + tieNoise*c.rng.Float64())
}

// known tells whether a server has told of its load of late.
func (c *Controller) known(s *server) bool { return s.toldAt > 0 && c.now < s.toldAt+seconds(slowAge) }

// failing is the part of a server's attempts that is taken to fail. It is forgotten with time,
// as a server that is not chosen has no chance to do better.
func (c *Controller) failing(s *server) float64 {
	return s.failing * math.Exp(-(c.now-s.failingAt).Seconds()/latencyAge)
}

// fared takes whether an attempt at a server failed: 1 or 0. Guards against a server that fails
// part of its requests at once: never so often in a row as to be put aside, it looks idle and
// draws the rest.
func (c *Controller) fared(s *server, failed float64) {
	f := c.failing(s)
	s.failing, s.failingAt = f+failGain*(failed-f), c.now
}

// warmth is the part of its capacity that a server has reached at least.
func (c *Controller) warmth(s *server) float64 {
	if c.set.Cold <= 0 {
		return 1
	}
	x := (c.now - s.coldFrom).Seconds() / c.set.Cold.Seconds()
	return math.Min(1, math.Max(warmLeast, c.set.ColdFrom)+(1-c.set.ColdFrom)*math.Max(0, x))
}

// coldRoom holds a cold server under this gateway's part of its budget: what warm
// servers do for this gateway, times the warmth and the multiple; one attempt at a
// time is never more than it can do.
func (c *Controller) coldRoom(s *server) bool {
	if !s.coldRamp {
		return true
	}
	if c.now >= s.coldFrom+c.set.Cold {
		s.coldRamp = false
		return true
	}
	w := c.warmth(s)
	if float64(s.inflight+s.ghosts) >= math.Max(1, math.Floor(w*perServer)) {
		return false
	}
	// Guards against one attempt a second each by many gateways: a token bucket, not a window.
	// What is sent may go beyond what was earned and is paid back, so a part below one request flows.
	rate := c.portion * math.Max(coldSafety*c.set.FallMultiple*w*c.warmRate(), 1/float64(c.set.GroupSize))
	s.tokens += rate * (c.now - s.tokensAt).Seconds()
	s.tokens, s.tokensAt = math.Min(s.tokens, rate*c.set.Fall.Seconds()/2), c.now
	return s.tokens >= 0
}

// warmRate is the units a second that a warm server does for this gateway. Guards against servers
// that are listed long after they died, among which what the others do would seem little: as many of
// those listed are taken to be alive as of those lately tried.
func (c *Controller) warmRate() float64 {
	warm, good, dead := 0.0, 0.0, 0.0
	for _, s := range c.order {
		switch {
		case !s.usable() || s.coldRamp:
			continue
		case s.strikes >= strikesOut:
			dead++
		case c.known(s):
			good++
		}
		warm++
	}
	if dead > 0 {
		warm *= (1 + good) / (1 + good + dead)
	}
	return c.servedRate / math.Max(1, warm)
}

// strike counts a failure that speaks against the server.
func (c *Controller) strike(s *server, n int) {
	s.strikes += n
	s.probing = false
	if s.strikes >= strikesOut && c.now >= s.asideUntil {
		s.aside = min(max(asideFirst, 2*s.aside), asideMost)
		s.asideUntil = c.now + s.aside
	}
}

// ---- outcomes ----

func (c *Controller) onStarted(e Started) {
	a := c.attempts[attemptKey{e.ID, e.N}]
	if a == nil || a.req.streaming {
		return
	}
	a.req.streaming = true
	c.streams++
	c.answered(a, e.Delay)
}

func (c *Controller) onResponse(e Response) {
	a := c.settle(attemptKey{e.ID, e.N})
	if a == nil {
		return
	}
	r := a.req
	a.srv.heard = c.now
	if part := c.bound - c.busyNow(); part > 0 && part < 1 {
		c.restUntil = c.now + seconds((1/part-1)*c.latency)
	}
	if pause := 1/math.Max(a.cust.openCap, tiny) - 1; a.cust.plan.Open > 0 && pause > 0 {
		a.cust.openNext = c.now + time.Duration(pause*float64(c.now-a.sent))
	}
	if e.Used > 0 && c.set.MeterPeriod > 0 {
		c.meter(a.cust, e.Used, r.units)
	}
	c.judge(a, e)
	if e.Load != nil {
		c.reported(a.srv, e.Load)
	}
	if c.reqs[r.id] != r {
		return
	}
	switch {
	case e.Done:
		c.forget(r)
	case !r.queued && r.out == 0:
		c.again(r, a, e.Reason)
	}
}

// judge takes an outcome's lesson on the server, the bound and the plan.
func (c *Controller) judge(a *attempt, e Response) {
	s, r := a.srv, a.req
	took := (c.now - a.sent).Seconds()
	switch e.Reason {
	case OK:
		s.strikes, s.probing, s.aside = 0, false, 0
		c.fared(s, 0)
		if !s.coldRamp {
			c.served += r.units
		}
		if e.Cost > 0 && c.set.CostAfter {
			c.refill(a.cust)
			a.cust.level -= e.Cost - r.units
		}
		if !r.streaming {
			c.answered(a, c.now-a.sent)
		}
	case Full: // some servers refuse one plan only
		c.strike(s, 1)
		s.shut[r.plan] = c.now + shutFor
		c.bad++
	case ConnectFailed:
		c.strike(s, strikesOut)
	case ResetByPeer, Errored: // a server that fails at once looks idle and draws the rest
		if c.fared(s, 1); c.failing(s) > failMost {
			c.strike(s, 1)
		}
		s.probing = false
	case TimedOut:
		c.strike(s, 1)
		if !r.streaming { // else it tells how long a stream was
			c.sawLatency(s, took)
		}
		c.bad++
	}
	late := e.Reason == TimedOut || e.Reason == Cancelled
	if late { // its work may go on
		s.ghosts++
		c.ghosts = append(c.ghosts, ghost{s, c.now + seconds(math.Min(took, zombieLife*c.latency))})
	}
	if ran := e.Reason == Errored || e.Reason == ResetByPeer || late; ran && !r.mayRun {
		r.mayRun, r.firstRun, r.group = true, a.sent, s
	}
}

func (c *Controller) sawLatency(s *server, t float64) {
	if s.latency == 0 {
		s.latency = t
	}
	s.latency += latencyGain * (t - s.latency)
	s.samples = 1 + s.samples*math.Exp(-(c.now-s.latencyAt).Seconds()/latencyAge)
	s.latencyAt = c.now
}

// reported takes what a server tells of its load, which is of all gateways' requests and so the most
// that one of many gateways can know. Its mean time follows slowly and begins at nothing: it tells
// a slow server from others, beside the time that work takes here, but not one that is faster.
// Guards against a server just started that all find the fastest.
func (c *Controller) reported(s *server, l *Load) {
	if l.CPU < 0 || l.AvgMS < 0 {
		return
	}
	c.reports++
	gain := math.Max(fleetGain, 1/c.reports)
	c.util += gain * (math.Min(1, l.CPU) - c.util)
	c.meanTold += gain * (l.AvgMS/1000 - c.meanTold)
	own := math.Max(c.latency, 1e-3) / 2
	if s.slow = (l.AvgMS/1000 + own) / (c.meanTold + own); s.slow < slowLeast {
		s.slow = 1
	}
	s.util, s.toldAt = math.Min(1, l.CPU), c.now
	c.utilSum += s.util
	c.utilN++
}

// answered takes the latency of a good answer.
func (c *Controller) answered(a *attempt, took time.Duration) {
	t := took.Seconds()
	c.sawLatency(a.srv, t)
	aim := a.req.class.Aim.Seconds()
	c.answers++
	if c.chanceNow(a.cust) == 0 {
		a.req.plan.saw((c.now - a.req.arrived).Seconds() / aim)
	}
	// Guards against a bound that is cut because servers are cold: they are slow with little to do.
	if a.srv.coldRamp {
		return
	}
	c.seen++
	c.latency += math.Max(fleetGain, 1/c.seen) * (math.Min(t, aim) - c.latency)
	c.secSum += math.Min(t, aim)
	c.latSum += math.Min(1, t/aim)
	c.latN++
}

// again gives a request a further attempt where the rules, the attempt limit, the
// retry budget and its time allow one; else it ends it. What failed at once took little of the
// fleet's work, and little of the budget goes for it. Guards against a storm of errors that uses
// the budget up while most servers still serve half of what they are sent.
func (c *Controller) again(r *request, a *attempt, why Reason) {
	price := 1.0
	if why == Errored || why == ResetByPeer || why == ConnectFailed {
		price = math.Min(1, math.Max(retryLeast, (c.now-a.sent).Seconds()/math.Max(c.latency, tiny)))
	}
	ok := why != Moot && c.retries >= price && c.now < r.giveUp-time.Millisecond &&
		(c.set.SendCap == 0 || r.sends < c.set.SendCap)
	if r.mayRun && r.class.Effect != Free {
		ok = ok && r.class.Effect == Guarded && c.now < r.firstRun+r.class.RepeatWindow
	}
	if !ok {
		c.finish(r, NoFurther)
		return
	}
	c.retries -= price
	c.enqueue(r, true)
	// Guards against a further attempt that waits in the queue beyond the client's time, or beyond
	// the time for which a repeat of its key is dropped.
	until := r.giveUp - time.Millisecond
	if r.mayRun && r.class.Effect == Guarded {
		until = min(until, r.firstRun+r.class.RepeatWindow)
	}
	c.wake(r, until-c.now)
}

// ---- time ----

func (c *Controller) onTimer(label uint64) {
	if label == tickLabel {
		c.onTick()
	} else if r := c.labels[label]; r != nil && r.queued {
		// Guards against a starved plan that looks punctual: one shed counts as its deadline.
		r.plan.saw(math.Max(1, r.class.Deadline.Seconds()/r.class.Aim.Seconds()))
		c.finish(r, NoTurn)
	}
}

func (c *Controller) onTick() {
	c.act(Arm{After: tick, Label: tickLabel})
	if c.set.OnRequest && !c.following && c.now >= c.askAt {
		c.act(Follow{Active: true})
		c.askAt = c.now + askAgain
	}
	// An interval of few answers goes on, as their mean says little.
	if c.now >= c.nextInterval && (c.answers+c.bad >= leastAnswers || c.now >= c.nextInterval+intervalMore) {
		c.endInterval((c.now - c.nextInterval + interval).Seconds())
		c.nextInterval = c.now + interval
	}
}

// endInterval sets the bound and the shares for the next interval.
func (c *Controller) endInterval(lasted float64) {
	// The time that an idle server takes is the least seen; it may be far from or near to the aim.
	if c.idle = math.Min(c.idle*idleCreep, c.latency); c.seen < idleLeast || c.idle == 0 {
		c.idle = c.latency
	}
	y := c.latSum / math.Max(1, c.latN)
	late := y > lateAim && (y > lateMost || c.secSum > c.latN*lateIdle*c.idle)
	// Guards against servers that refuse a plan though they have room: answers are not slow then.
	slow := c.latN == 0 || c.secSum > c.latN*badIdle*c.idle
	// Guards, in a large group, against a bound that is cut for a few answers that took long by
	// chance, or at slow servers: no other gateway's attempts are fewer for it.
	// Where there are many answers they say it themselves, sooner than reports of a server just started.
	jammed := c.latN >= answersSure || c.utilN == 0 || c.utilSum > c.utilN*utilFull
	if bad := c.bad / math.Max(1, c.bad+c.answers); jammed && (late || bad > badCut && slow) {
		if c.cut = true; c.now >= c.cutAt+seconds(2*c.latency) { // answers to sends after the last cut
			c.cutAt, c.bound = c.now, c.bound*boundDown
		}
	} else if bad <= badHold && c.pressed {
		c.bound *= boundUp
	}
	c.bound = math.Max(c.bound, c.floor())
	for _, p := range c.plans {
		if p.lateN > 0 {
			p.y = p.lateSum / p.lateN
		}
		p.lateSum, p.lateN = 0, 0
	}
	if c.answers >= leastAnswers {
		y, u := make([]float64, len(c.plans)), make([]float64, len(c.plans))
		for i, p := range c.plans {
			y[i], u[i] = p.y, p.share
		}
		u = c.law.step(u, y, !c.cut)
		for i, p := range c.plans {
			p.share = u[i]
		}
	}
	c.intervals++
	c.servedRate += math.Max(latencyGain, 1/c.intervals) * (c.served/lasted - c.servedRate)
	c.span = span{}
	c.sweep()
}

// ---- the share law ----

func newShareLaw(prices []float64) *shareLaw {
	l := &shareLaw{n: len(prices), w: mat.NewDiagDense(len(prices), nil)}
	for i, p := range prices {
		if l.w.SetDiag(i, 1); floats.Sum(prices) > 0 {
			l.w.SetDiag(i, p*float64(l.n)/floats.Sum(prices))
		}
	}
	l.reset()
	return l
}

func (l *shareLaw) reset() {
	l.x, l.p = mat.NewDense(l.n, 2*l.n, nil), mat.NewDense(2*l.n, 2*l.n, nil)
	for i := 0; i < 2*l.n; i++ {
		l.p.Set(i, i, firstCov)
	}
	for i := 0; i < l.n; i++ {
		for j := 0; j < l.n; j++ {
			l.x.Set(i, j, firstGain/float64(l.n))
		}
		l.x.Set(i, i, firstGain/float64(l.n)-firstGain)
		l.x.Set(i, l.n+i, firstKeep)
	}
	l.phi = nil
}

// step takes the shares u in force during the interval and the y measured at its
// end; it returns the next shares.
func (l *shareLaw) step(u, y []float64, learn bool) []float64 {
	if l.phi != nil && learn {
		l.estimate(y)
	}
	next := l.control(y)
	if !(math.Abs(floats.Sum(next)-1) < 1e-6) { // NaN, or a singular matrix
		l.reset()
		return u
	}
	l.phi = mat.NewVecDense(2*l.n, append(append([]float64{}, next...), y...))
	return next
}

// estimate is one RLS step with directional forgetting. The term printed in (4)
// does not have matching units; this is Kulhavy's form (the paper's [9]), in which
// the information grows by (lambda - (1-lambda)/r) phi phi', r = phi' P phi, and
// so is lost only in the direction that new data come from.
func (l *shareLaw) estimate(y []float64) {
	var pphi, e mat.VecDense
	pphi.MulVec(l.p, l.phi)
	r := mat.Dot(l.phi, &pphi)
	if r < tiny {
		return
	}
	e.MulVec(l.x, l.phi)
	e.SubVec(mat.NewVecDense(l.n, y), &e)
	l.x.RankOne(l.x, 1/(forgetting+r), &e, &pphi)
	beta := forgetting - (1-forgetting)/r
	l.p.RankOne(l.p, -beta/(1+beta*r), &pphi, &pphi)
	if !(mat.Norm(l.p, 1) < covLimit) || !(mat.Norm(l.x, 1) < covLimit) {
		l.reset()
	}
}

// control is law (14): the shares of least cost that sum to one, then lifted to
// be no less than zero and normalised. It gives NaN where S cannot be had.
func (l *shareLaw) control(y []float64) []float64 {
	n := l.n
	var wb, m, s mat.Dense
	var err, g, v, s1 mat.VecDense
	wb.Mul(l.w, l.x.Slice(0, n, 0, n))
	err.MulVec(l.x.Slice(0, n, n, 2*n), mat.NewVecDense(n, y))
	ones := mat.NewVecDense(n, nil)
	m.Mul(wb.T(), &wb)
	for i := 0; i < n; i++ {
		// Guards against slowing a dear plan first, as law (14) would while all plans are
		// better than their goals: a plan that meets its goal has no error to track.
		err.SetVec(i, math.Min(0, 1-err.AtVec(i)))
		m.Set(i, i, m.At(i, i)+shareCost*shareCost)
		ones.SetVec(i, 1)
	}
	if s.Inverse(&m) != nil {
		return []float64{math.NaN()}
	}
	err.MulVec(l.w, &err)
	g.MulVec(wb.T(), &err)
	v.MulVec(&s, &g)
	s1.MulVec(&s, ones)
	v.AddScaledVec(&v, -(mat.Sum(&v)-1)/mat.Sum(&s1), &s1)
	u := append([]float64{}, v.RawVector().Data...)
	floats.AddConst(-math.Min(0, floats.Min(u)), u)
	floats.Scale(1/floats.Sum(u), u)
	return u
}
