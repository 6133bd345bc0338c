package control

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Trust says how a checkpoint's figures of what is left to spend may be taken.
type Trust int

// The degrees of trust.
const (
	// Exact: nothing was spent elsewhere since the checkpoint was taken.
	TrustAll Trust = iota
	// Learned: what was spent since is not known, as after a crash. What was learned counts;
	// stores of ceilings begin empty, as slack that each start anew grants would add up.
	TrustEstimates
)

// Restore takes over a checkpoint, with the portion of the rates that it names until Rejoin. It is
// for a controller that has been told the list of servers and has taken nothing yet. What a
// checkpoint says of servers, classes or plans that are not there is dropped; where a plan has
// other figures now, what was spent stays spent. Each fact counts by its age.
func (c *Controller) Restore(now time.Duration, s Checkpoint, trust Trust) {
	if now = max(c.now, now); s.Version != CheckpointVersion || !s.finite() {
		return
	}
	c.now = now
	if !c.started {
		c.begin()
	}
	if trust == TrustAll {
		c.portion = math.Min(1, math.Max(0, s.Portion))
	}
	fade := math.Exp(-math.Max(0, (now-s.At).Seconds()) / maxAccountIdleTime.Seconds())
	c.latency, c.idle, c.seen, c.nextTry = s.Latency, s.Idle, s.Seen*fade, max(s.NextTry, tickPeriod)
	c.intervals = 1 / serverLatencyGain // what was learned is not for the first interval to replace
	c.servedRate, c.retries = s.Served*fade, math.Max(0, math.Min(maxRetryBudget, s.Retries))
	// The bound is one for so many servers; there may be others now.
	if n := c.count((*server).usable); s.Bound > 0 && s.Usable > 0 && n > 0 {
		c.bound = math.Max(c.floor(), c.bound+fade*(s.Bound*math.Min(1, n/s.Usable)-c.bound))
	}
	// The interval goes on. Guards against reloads faster than an interval, in which nothing would
	// ever be learned.
	if v := s.Interval; trust == TrustAll && v.Ends > c.now-maxWindowExtension && v.Ends <= c.now+windowDuration {
		c.nextInterval, c.cutAt = v.Ends, min(v.CutAt, c.now)
		c.span = span{
			cut: v.Cut, pressed: v.Pressed, latSum: v.LatSum, secSum: v.SecSum, latN: v.LatN, answers: v.Answers, utilSum: v.UtilSum, utilN: v.UtilN, bad: v.Bad,
			served: v.Served,
		}
	}
	if c.slack = 0; trust == TrustAll {
		c.start, c.slack = min(c.now, s.Start), math.Min(initialSlackFraction, math.Max(0, s.Slack))
	}
	if s.Meter.Period == c.set.MeterPeriod && len(s.Meter.Miss) == binsPerPeriod*maxMeterLagBins && s.Meter.valid() {
		c.clock.phase, c.clock.lag = s.Meter.Phase, s.Meter.Lag
		for i := range c.clock.miss {
			copy(c.clock.miss[i][:], s.Meter.Miss[i*maxMeterLagBins:])
		}
	}
	for _, u := range s.Usual {
		if k := c.classes[u.Class]; k != nil {
			*c.usual[k] = usualTTL{u.TTL, u.Seen}
		}
	}
	c.takeShares(s.Shares)
	for i := range s.Servers {
		c.takeServer(&s.Servers[i], trust)
	}
	slices.SortFunc(c.ghosts, func(a, b ghost) int { return cmp.Compare(a.until, b.until) })
	for i := range s.Customers {
		if len(c.custs) < maxAccounts {
			c.takeCustomer(&s.Customers[i], s.Meter.Period, trust)
		}
	}
}

func (m *MeterLearned) valid() bool {
	return m.Phase >= 0 && m.Phase < binsPerPeriod && m.Lag >= 0 && m.Lag < maxMeterLagBins
}

// finite tells whether all that a checkpoint says can be reckoned with.
func (s *Checkpoint) finite() bool {
	sum := s.Slack + s.Portion + s.Bound + s.Latency + s.Idle + s.Seen + s.Served + s.Retries
	for _, v := range s.Meter.Miss {
		sum += v
	}
	for _, v := range s.Shares {
		sum += v.Share + v.Y + v.Late + v.LateN
	}
	sum += s.Usable + s.Interval.LatSum + s.Interval.SecSum + s.Interval.LatN + s.Interval.Answers + s.Interval.Bad + s.Interval.Served + s.Interval.UtilSum + s.Interval.UtilN
	for i := range s.Servers {
		v := &s.Servers[i]
		sum += v.Latency + v.Failing + v.Tokens
	}
	for i := range s.Customers {
		q := &s.Customers[i]
		sum += q.Spread + q.Depth + q.Burst + q.Level + q.Ceiling + q.OpenCap + q.Chance + q.Base + q.LastUsed + q.Tries + q.Told +
			q.ToldFor + q.Cover + q.OwnSum + q.AllSum + q.Smooth
		for _, h := range [][]Amount{q.Own, q.Charged, q.Asked, q.Refused} {
			for _, a := range h {
				sum += a.V
			}
		}
	}
	return !math.IsNaN(sum) && !math.IsInf(sum, 0)
}

// takeShares takes the shares over where the plans are the same.
func (c *Controller) takeShares(all []PlanShare) {
	if len(all) != len(c.plans) {
		return
	}
	sum := 0.0
	for _, v := range all {
		if c.planOf[v.Plan] == nil || v.Share < 0 {
			return
		}
		sum += v.Share
	}
	if math.Abs(sum-1) > 1e-6 {
		return
	}
	for _, v := range all {
		p := c.planOf[v.Plan]
		p.share, p.y, p.lateSum, p.lateN = v.Share, v.Y, v.Late, v.LateN
	}
}

func (c *Controller) takeServer(v *ServerState, trust Trust) {
	s := c.servers[v.Server]
	if s == nil || s.bootTime() != v.CameUp {
		return // another start of it: nothing is known of that
	}
	s.samples = latencyPriorSamples // its estimate was one of several answers, most likely
	s.latency, s.latencyAt, s.failing, s.failingAt = v.Latency, v.LatencyAt, v.Failing, v.FailingAt
	s.strikes, s.asideUntil, s.aside = v.Strikes, min(v.AsideUntil, c.now+maxEjectionTime), min(v.Aside, maxEjectionTime)
	for name, until := range v.Shut {
		if p := c.planOf[name]; p != nil {
			s.shut[p] = min(until, c.now+planRejectionTime)
		}
	}
	if trust != TrustAll {
		return
	}
	if s.coldRamp {
		s.tokens = v.Tokens
	}
	// What the predecessor has out counts against the bound and a cold server until it is
	// taken to have ended.
	until := c.now + seconds(c.latency)
	for range min(v.Out, maxRestoredAbandoned) {
		c.haunt(s, until)
	}
	for i := range min(len(v.Ghosts), maxRestoredAbandoned) {
		if at := v.Ghosts[i]; at > c.now {
			c.haunt(s, min(at, c.now+maxAbandonedTime))
		}
	}
}

const (
	maxRestoredAbandoned = 10000     // at one server that are taken over
	maxAbandonedTime     = time.Hour // for which they are at most
)

// haunt has work be taken to go on at a server.
func (c *Controller) haunt(s *server, until time.Duration) {
	s.ghosts++
	c.ghosts = append(c.ghosts, ghost{s, until})
}

func (c *Controller) takeCustomer(v *Spent, period time.Duration, trust Trust) {
	p := c.planOf[v.Plan]
	if p == nil || !(v.Spread >= 1) {
		return
	}
	q := c.customerOf(p, v.ID, int(v.Spread))
	q.openCap, q.chance, q.metered = math.Min(v.OpenCap, float64(p.MaxInFlight)), v.Chance, v.Metered
	if v.OpenCap == 0 && p.MaxInFlight > 0 {
		q.openCap = float64(p.MaxInFlight) / q.spread
	}
	q.base, q.lastUsed, q.baseAt, q.toldAt = v.Base, v.LastUsed, v.BaseAt, v.ToldAt
	q.tries, q.triesAt, q.told, q.toldFor, q.cover = v.Tries, v.TriesAt, v.Told, v.ToldFor, v.Cover
	q.ownSum, q.allSum, q.smooth = v.OwnSum, v.AllSum, v.Smooth
	if period == c.set.MeterPeriod {
		q.readEnd = v.ReadEnd
		for _, h := range []struct {
			to   *history
			from []Amount
		}{{&q.own, v.Own}, {&q.charged, v.Charged}, {&q.asked, v.Asked}, {&q.refused, v.Refused}} {
			*h.to = history{}
			h.to.take(h.from, c.binNow())
		}
		c.roll(q)
	}
	if trust != TrustAll {
		return
	}
	// What is missing in a store was spent, whatever the store holds now.
	q.level = math.Max(-p.QuotaBurst, c.portion*p.QuotaBurst-(c.portion*v.Depth-v.Level))
	if v.Burst > 0 && p.HardLimitRate > 0 {
		q.ceiling = c.portion*p.HardLimitBurst/q.spread - (c.portion*v.Burst/v.Spread - v.Ceiling)
	}
	q.foreign = v.Out
}

// Rejoin gives a controller all rates again: whoever had the rest has ended. What that one left,
// or was given and has not touched, is given, and comes back; nil where that is not known.
func (c *Controller) Rejoin(now time.Duration, given *Checkpoint) {
	c.now = max(c.now, now)
	if given != nil && given.Version == CheckpointVersion && given.finite() {
		for i := range given.Customers {
			v := &given.Customers[i]
			p := c.planOf[v.Plan]
			if p == nil || !(v.Spread >= 1) {
				continue
			}
			q := c.customerOf(p, v.ID, int(v.Spread)) // also one that only the other has seen
			q.level = math.Min(p.QuotaBurst, q.level+v.Level)
			q.ceiling = math.Min(p.HardLimitBurst/q.spread, q.ceiling+v.Ceiling)
		}
		for _, v := range given.Servers {
			if s := c.servers[v.Server]; s != nil && s.coldRamp && s.bootTime() == v.CameUp {
				s.tokens += v.Tokens
			}
		}
	}
	for _, q := range c.custs {
		c.refill(q)
	}
	c.portion = 1
	c.Alone()
}

// Alone tells that the controller whose place this one took holds nothing any more.
func (c *Controller) Alone() {
	for _, q := range c.custs {
		q.foreign = 0
	}
}
