package control

import (
	"math"
	"time"
)

// Tuned constants of quotas and hard limits.
const (
	maxRejectionProbability = 0.95        // of the metered rule
	maxMeterLagBins         = 66          // delays of readings that are considered
	misfitDecay             = 0.99        // part of a delay's misfit that stays at each reading
	missingSendsWeight      = 0.5         // weight of usage without sends against sends without usage
	misfitSwitchRatio       = 0.8         // another delay's misfit must be below this part of the present one's
	binsPerPeriod           = 10          // bins in a meter period
	localUsageDecay         = 0.85        // part of the local and total usage that stays at each reading
	localUsagePriorRequests = 3.0         // weight, in requests, of the prior that usage is spread evenly
	minLocalFraction        = 0.05        // of a customer's usage
	initialUsageFraction    = 0.3         // part of its rate that an unmetered customer is assumed to use
	usageRateDecay          = 0.8         // part of the smoothed usage rate that stays at each reading
	surgeShape              = 0.5         // shape of the prior of remote usage: small trusts local surges more
	remoteRateDecaySeconds  = 4.0         // time constant with which a reading's remote rate decays
	unmeteredSeconds        = 2.0         // of usage that readings do not cover yet
	wellFilledFraction      = 0.08        // filling from which the quota's bucket alone admits
	spareTokensFraction     = 0.5         // filling that sheddable requests must leave
	sheddableWeightRatio    = 0.5         // part of the highest priority weight below which a class is sheddable
	sheddableTurnFraction   = 0.05        // part of its latency objective that a sheddable request may queue
	minTokensPerUnit        = 0.5         // tokens needed to admit a unit
	minInFlightLimitFactor  = 0.85        // of an in-flight limit, at one reading
	readingWindowUnits      = 8.0         // units of quota over which readings are averaged
	demandPriorShape        = 0.5         // shape of the prior of a customer's demand
	demandPriorMean         = 0.8         // and its mean, as a part of the quota's rate
	burstAllowanceFraction  = 0.5         // part of the burst granted over readingDecaySeconds
	readingDecaySeconds     = 20.0        // time constant with which readings decay
	planReadingWindow       = 30.0        // first readings over which a plan's estimate is averaged
	minMeteredFraction      = 0.5         // part of the recent periods that must have been read
	maxAccountIdleTime      = time.Minute // after which an idle account with full buckets is evicted
	maxAccounts             = 20000       // above half of it, eviction starts earlier
)

func (c *Controller) customerOf(p *plan, id string, spread int) *customer {
	key := p.Name + " " + id
	q := c.custs[key]
	if q == nil {
		q = &customer{plan: p, at: c.now, level: c.portion * p.QuotaBurst}
		q.smooth = initialUsageFraction * p.QuotaRate
		q.spread, q.carry = math.Max(1, float64(spread)), c.rng.Float64()
		// A gateway just started does not know what its former self has passed on: the
		// ceiling's store begins with the slack only and fills from the gateway's start, to what it holds.
		filled := c.slack*p.HardLimitSlack + (c.now-c.start).Seconds()*p.HardLimitRate
		q.ceiling = c.portion * math.Min(p.HardLimitBurst, filled) / q.spread
		q.openCap = float64(p.MaxInFlight) / q.spread
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
	elsewhere := dt * q.base * math.Exp(-(c.now-q.baseAt).Seconds()/remoteRateDecaySeconds)
	q.charged.add(elsewhere)
	burst := math.Max(q.level, c.portion*q.plan.QuotaBurst)
	q.level = math.Min(burst, q.level+c.portion*(dt*q.plan.QuotaRate-elsewhere))
	full := math.Max(q.ceiling, c.portion*q.plan.HardLimitBurst/q.spread)
	q.ceiling = math.Min(full, q.ceiling+c.portion*dt*q.plan.HardLimitRate/q.spread)
}

// part is the learned part of a customer's use that comes through this gateway.
func (q *customer) part() float64 {
	local := (localUsagePriorRequests/q.spread + q.ownSum) / (localUsagePriorRequests + q.allSum)
	return math.Min(1, math.Max(minLocalFraction, local))
}

// others is what the whole group is taken to have sent for a unit sent here.
func (c *Controller) others(q *customer) float64 {
	w := q.part()
	if !q.metered { // the design's rule for a customer not yet metered
		return 1 / w
	}
	told := math.Min(1, q.base/math.Max(q.plan.QuotaRate, q.base+epsilon)) // what refill charges already
	return 1 + (1-told)*(1-w)/(w+surgeShape/math.Max(q.smooth*unmeteredSeconds, surgeShape/10))
}

// admits is the quota's decision on a request at its arrival: why not, or Unsaid where it is let in.
func (c *Controller) admits(q *customer, k *Class, units float64, late bool) (why Cause) {
	p := q.plan
	q.asked.add(1)
	q.tries = q.tries*math.Exp(-(c.now-q.triesAt).Seconds()/readingDecaySeconds) + units
	q.triesAt = c.now
	// Guards against tries that can only be late, or of a class worth far less than the dearest,
	// taking the units or the turn of others.
	yields := late || k.PriorityWeight < sheddableWeightRatio*c.topWorth
	full := !c.free() && c.turnTakes() > sheddableTurnFraction*k.LatencyObjective.Seconds()
	scarce := full || p.QuotaRate > 0 && q.level-q.queued < spareTokensFraction*p.QuotaBurst
	switch {
	case late && !c.covered(q):
		why = CauseTooLate
	case yields && scarce:
		why = CauseShed
	default:
		why = c.passes(q, units)
	}
	if why != CauseNone {
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
	if p.HardLimitRate > 0 && q.ceiling-q.queued < units {
		return CauseHardLimit
	}
	if p.QuotaRate > 0 {
		left := q.level - q.queued
		if left >= math.Max(wellFilledFraction*p.QuotaBurst, units) && c.covered(q) {
			return CauseNone
		}
		if left < minTokensPerUnit*units {
			return CauseQuota
		}
	}
	// The chance is drawn by carrying its remainder on, which keeps it exact over few tries.
	if q.carry += 1 - c.chanceNow(q); q.carry >= 1 {
		q.carry--
		return CauseNone
	}
	return CauseProbability
}

// covered tells whether most periods of a customer's use are told here, of those that could have
// been since this gateway started.
func (c *Controller) covered(q *customer) bool {
	could := readingDecaySeconds * (1 - math.Exp(-(c.now-c.start).Seconds()/readingDecaySeconds))
	return q.cover*math.Exp(-(c.now-q.toldAt).Seconds()/readingDecaySeconds) > minMeteredFraction*could
}

// chanceNow is the chance of refusal, 1-(1-d')*100/p with p over the latest readings that amount
// to some units and over own tries. Guards against readings of few requests, which are noise, and
// against old ones where few periods are told: both count less against a prior of the demand.
func (c *Controller) chanceNow(q *customer) float64 {
	r := q.plan.QuotaRate
	// Guards against customers that ask far more than their quota, let in as unseen by one gateway after the
	// other: one not metered here is refused as much as of its plan's use lies beyond quotas.
	if !q.metered {
		return math.Min(maxRejectionProbability, (1-1/q.spread)*q.plan.beyond/math.Max(q.plan.told, epsilon))
	} else if r == 0 {
		return q.chance
	}
	k := math.Exp(-(c.now - q.toldAt).Seconds() / readingDecaySeconds)
	own := q.tries * math.Exp(-(c.now-q.triesAt).Seconds()/readingDecaySeconds)
	seen := math.Min(readingDecaySeconds, (c.now-c.start).Seconds()) / q.spread
	demand := (demandPriorShape + k*q.told + own) / (demandPriorShape/(demandPriorMean*r) + k*q.toldFor + seen)
	allowed := r + burstAllowanceFraction*q.plan.QuotaBurst/readingDecaySeconds
	return math.Min(maxRejectionProbability, math.Max(0, 1-allowed/demand))
}

// draw takes a request's first send from the customer's stores, and tells what that was.
func (c *Controller) draw(q *customer, units float64) bill {
	c.refill(q)
	q.ceiling -= units
	f := units * c.others(q)
	b := bill{units: units, charged: f, level: q.level, bin: c.binNow()}
	q.level = math.Max(-q.plan.QuotaBurst, q.level-f)
	b.level -= q.level
	q.own.add(units)
	q.charged.add(f)
	return b
}

// undraw undoes draw for a send that nobody was asked for.
func (c *Controller) undraw(q *customer, b bill) {
	c.refill(q)
	q.ceiling += b.units
	q.level += b.level
	q.own.less(b.bin, b.units)
	q.charged.less(b.bin, b.charged)
}

// meter reads the told use of a customer, once for each period. The chance d'
// is what was in force while that period was metered, whoever decided it then.
func (c *Controller) meter(q *customer, told int, units float64) {
	c.refill(q)
	pct := float64(told - 1)
	used := pct / 100 * q.plan.QuotaRate * c.set.MeterPeriod.Seconds()
	if q.plan.QuotaRate > 0 {
		c.clock.learn(q, used, units, q.part(), c.binNow())
	}
	end := c.clock.end(c.binNow())
	if q.metered && end < q.readEnd+binsPerPeriod/2 {
		return
	}
	// Only the first reading counts: it tells of those who come unseen, whatever is refused to others. One
	// request above a quota is not beyond: in a small one a single request may be.
	if p := q.plan; !q.metered {
		one := units / (p.QuotaRate * c.set.MeterPeriod.Seconds())
		if p.QuotaRate == 0 {
			one = 1 / float64(p.MaxInFlight)
		}
		p.told += (pct/100 - p.told) / planReadingWindow
		p.beyond += (math.Max(0, pct/100-1-one) - p.beyond) / planReadingWindow
	}
	q.metered, q.readEnd = true, end
	own, charged := q.own.over(end), q.charged.over(end)
	asked, force := q.asked.over(end), c.chanceNow(q)
	if asked > 0 {
		force = q.refused.over(end) / asked
	}
	period := c.set.MeterPeriod.Seconds()
	k := math.Exp(-(c.now - q.toldAt).Seconds() / readingDecaySeconds)
	q.cover = q.cover*k + period
	k *= math.Exp(-q.plan.QuotaRate * period / readingWindowUnits)
	q.told, q.toldFor, q.toldAt = q.told*k+used, q.toldFor*k+(1-force)*period, c.now
	if q.plan.QuotaRate == 0 {
		c.meterOpen(q, pct, force, asked)
		return
	}
	q.ownSum = q.ownSum*localUsageDecay + math.Min(own, used)
	q.allSum = q.allSum*localUsageDecay + used
	// Guards against periods that no answer told of, where a customer comes through many
	// gateways: the lower of the last two readings is taken to go on elsewhere.
	q.base = (1 - q.part()) * math.Min(math.Min(used, q.lastUsed)/c.set.MeterPeriod.Seconds(), q.plan.QuotaRate)
	q.baseAt, q.lastUsed = c.now, used
	q.smooth += (1 - usageRateDecay) * (used/c.set.MeterPeriod.Seconds() - q.smooth)
	corrected := math.Max(-q.plan.QuotaBurst/2, q.level+c.portion*(charged-used))
	q.level = math.Min(c.portion*q.plan.QuotaBurst, corrected)
}

// learn finds when the meter's periods end and how late they are told: the pair under
// which this gateway's own sends fit best with what is told. Guards against a period
// read many times or matched with another's sends; holds for late reports of any cause.
func (m *meterClock) learn(q *customer, used, units, part float64, now int64) {
	least, at, lag := math.Inf(1), int64(0), int64(0)
	sent := q.own.window()
	for ph := int64(0); ph < binsPerPeriod; ph++ {
		f := flip(now, ph)
		for l := int64(0); l < maxMeterLagBins; l++ {
			own := sent.over(f - l)
			miss := math.Max(0, own-used) + missingSendsWeight*math.Max(0, part*used-own)
			e := &m.miss[ph][l]
			if *e = *e*misfitDecay + miss/(units+used+own); *e < least {
				least, at, lag = *e, ph, l
			}
		}
	}
	if least < misfitSwitchRatio*m.miss[m.phase][m.lag] {
		m.phase, m.lag = at, lag
	}
}

// meterOpen moves this gateway's part of an open quota by the told maximum. A part
// below one is kept by a pause after each attempt; see onResponse. The chance comes last.
func (c *Controller) meterOpen(q *customer, pct, force, asked float64) {
	if q.openCap > q.openLeast() {
		q.chance = 0
	} else if asked > 0 || pct <= 100 {
		q.chance = math.Min(maxRejectionProbability, math.Max(0, 1-(1-force)*100/math.Max(pct, 1)))
	}
	if pct > 100 || q.openHit {
		q.openCap *= math.Max(minInFlightLimitFactor, math.Min(limitIncreaseFactor, 100/math.Max(pct, 1)))
	}
	most := float64(q.plan.MaxInFlight)
	q.openCap, q.openHit = math.Min(most, math.Max(q.openLeast(), q.openCap)), false
}

// openLeast is half of an even part of an open quota.
func (q *customer) openLeast() float64 { return float64(q.plan.MaxInFlight) / q.spread / 2 }

// sweep forgets customers that have been idle for long and are as good as new ones; where
// there are many it forgets sooner, and all that are idle. A ceiling's store that was not full
// is safe then: all stores unseen fill from now.
func (c *Controller) sweep() {
	for k, q := range c.custs {
		if c.now-q.at > maxAccountIdleTime && q.idle() && c.full(q) {
			delete(c.custs, k)
		}
	}
	keep := maxAccountIdleTime
	for len(c.custs) > maxAccounts/2 && keep > windowDuration {
		keep /= 2
		c.start, c.slack = max(c.start, c.now-keep), 0 // each has had its slack
		for k, q := range c.custs {
			if c.now-q.at > keep && q.idle() {
				delete(c.custs, k)
			}
		}
	}
}

// idle tells whether nothing of a customer's is held; what was queued leaves a rounding error.
func (q *customer) idle() bool { return q.open == 0 && q.queued < epsilon }

// full tells whether an idle customer's stores have filled again since it was last looked at.
func (c *Controller) full(q *customer) bool {
	p, dt := q.plan, (c.now - q.at).Seconds()
	elsewhere := q.base * math.Exp(-(c.now-q.baseAt).Seconds()/remoteRateDecaySeconds)
	return p.MaxInFlight == 0 && (p.QuotaRate == 0 || q.level+dt*(p.QuotaRate-elsewhere) >= p.QuotaBurst) &&
		(p.HardLimitRate == 0 || q.ceiling+dt*p.HardLimitRate/q.spread >= p.HardLimitBurst/q.spread)
}
