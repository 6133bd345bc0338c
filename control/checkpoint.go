package control

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

// CheckpointVersion is that of the form of a Checkpoint. One of another version is not to be
// restored: a field may mean something else.
const CheckpointVersion = 1

// Checkpoint is what a controller has spent and learned, for one that takes its place: after a
// reload, in a successor process, after a restart. Times are on the clock of the controllers,
// which therefore has to be one that both share (Unix time).
type Checkpoint struct {
	Version   int           `cbor:"v"`
	At        time.Duration `cbor:"at"`      // when it was taken
	Start     time.Duration `cbor:"start"`   // since when the stores of unseen customers fill
	Slack     float64       `cbor:"slack"`   // part of the slack with which they began
	Portion   float64       `cbor:"portion"` // of the rates at which stores fill, from 0 to 1
	Bound     float64       `cbor:"bound"`
	Usable    float64       `cbor:"usable"` // servers that Bound was for
	Interval  Interval      `cbor:"interval"`
	Latency   float64       `cbor:"lat"`
	Idle      float64       `cbor:"idle"`
	Seen      float64       `cbor:"seen"`
	Served    float64       `cbor:"served"` // units a second by warm servers
	Retries   float64       `cbor:"retries"`
	NextTry   time.Duration `cbor:"next"`
	Meter     MeterLearned  `cbor:"meter"`
	Usual     []UsualTTL    `cbor:"usual"`
	Shares    []PlanShare   `cbor:"shares"`
	Servers   []ServerState `cbor:"servers"`
	Customers []Spent       `cbor:"customers"`
}

// Interval is what a control interval that has not ended has counted.
type Interval struct {
	Ends                 time.Duration `cbor:"ends"`
	Cut, Pressed         bool
	LatSum, SecSum, LatN float64
	Answers, Bad, Served float64
	UtilSum, UtilN       float64
	CutAt                time.Duration `cbor:"cut_at"`
}

// MeterLearned is what is known of the meter's periods; of use with the same period only.
type MeterLearned struct {
	Period     time.Duration `cbor:"period"`
	Phase, Lag int64
	Miss       []float64 `cbor:"miss"`
}

// UsualTTL is the time that most first tries of a class come with.
type UsualTTL struct {
	Class string        `cbor:"class"`
	TTL   time.Duration `cbor:"ttl"`
	Seen  int           `cbor:"seen"`
}

// PlanShare is a plan's share of the turns.
type PlanShare struct {
	Plan  string  `cbor:"plan"`
	Share float64 `cbor:"share"`
	Y     float64 `cbor:"y"`
	Late  float64 `cbor:"late"` // sum of lateness over aim in this interval
	LateN float64 `cbor:"late_n"`
}

// ServerState is what is known of a server. It is of use for the same start of the server only.
type ServerState struct {
	Server     uint32                   `cbor:"id"`
	CameUp     time.Duration            `cbor:"up"`     // 0 is long ago
	Out        int                      `cbor:"out"`    // attempts out
	Ghosts     []time.Duration          `cbor:"ghosts"` // until when other work is taken to go on there
	Latency    float64                  `cbor:"lat"`
	LatencyAt  time.Duration            `cbor:"lat_at"`
	Strikes    int                      `cbor:"strikes"`
	Failing    float64                  `cbor:"failing"`
	FailingAt  time.Duration            `cbor:"failing_at"`
	Shut       map[string]time.Duration `cbor:"shut"`
	AsideUntil time.Duration            `cbor:"aside_until"`
	Aside      time.Duration            `cbor:"aside"`
	Tokens     float64                  `cbor:"tokens"`
}

// Spent is what a customer has left, and what is known of it.
type Spent struct {
	ID           string        `cbor:"id"`
	Plan         string        `cbor:"plan"`
	Spread       float64       `cbor:"spread"`
	Depth        float64       `cbor:"depth"` // of the plan that Level was counted under
	Burst        float64       `cbor:"burst"` // of the plan that Ceiling was counted under; 0 is no ceiling
	Level        float64       `cbor:"level"`
	Ceiling      float64       `cbor:"ceiling"`
	Out          int           `cbor:"out"` // attempts out
	OpenCap      float64       `cbor:"open_cap"`
	Chance       float64       `cbor:"chance"`
	Metered      bool          `cbor:"metered"`
	Base         float64       `cbor:"base"`
	LastUsed     float64       `cbor:"last"`
	BaseAt       time.Duration `cbor:"base_at"`
	ToldAt       time.Duration `cbor:"told_at"`
	Tries        float64       `cbor:"tries"`
	TriesAt      time.Duration `cbor:"tries_at"`
	Told         float64       `cbor:"told"`
	ToldFor      float64       `cbor:"told_for"`
	Cover        float64       `cbor:"cover"`
	ReadEnd      int64         `cbor:"read_end"`
	OwnSum       float64       `cbor:"own_sum"`
	AllSum       float64       `cbor:"all_sum"`
	Smooth       float64       `cbor:"smooth"`
	Own, Charged []Amount
	Asked        []Amount
	Refused      []Amount
}

// Amount is what a history holds of one bin of time.
type Amount struct {
	Bin int64   `cbor:"b"`
	V   float64 `cbor:"v"`
}

// HandOver takes a Checkpoint and gives away, with it, the given part (from 0 to 1) of what is
// left to spend: of each customer's stores beyond what is queued already, of the budgets of
// cold servers, and of the rates by which both fill. What was given and what is kept sum up to
// what there was. The controller goes on with the rest, until Rejoin.
func (c *Controller) HandOver(now time.Duration, give float64) Checkpoint {
	c.now = max(c.now, now)
	s := c.checkpoint()
	queued := 0.0
	for i := range s.Customers {
		v := &s.Customers[i]
		q := c.custs[v.Plan+" "+v.ID]
		queued += q.queued
		v.Level, q.level = share(v.Level, q.queued, give)
		v.Ceiling, q.ceiling = share(v.Ceiling, q.queued, give)
	}
	for i := range s.Servers {
		v := &s.Servers[i]
		if srv := c.servers[v.Server]; srv.coldRamp {
			v.Tokens, srv.tokens = share(v.Tokens, queued, give)
		}
	}
	s.Portion = c.portion * give
	c.portion *= 1 - give
	return s
}

// share divides what is left of a store: what is promised to queued requests is kept first. A
// debt goes by the same parts.
func share(left, promised, give float64) (given, kept float64) {
	kept = math.Min(math.Max(left, 0), promised)
	given = (left - kept) * give
	return given, left - given
}

// Checkpoint tells what the controller has spent and learned, and changes nothing.
func (c *Controller) Checkpoint(now time.Duration) Checkpoint {
	c.now = max(c.now, now)
	return c.checkpoint()
}

func (c *Controller) checkpoint() Checkpoint {
	s := Checkpoint{Version: CheckpointVersion, At: c.now, Start: c.start, Slack: c.slack, Portion: c.portion, Bound: c.bound, Usable: c.count((*server).usable),
		Interval: Interval{c.nextInterval, c.cut, c.pressed, c.latSum, c.secSum, c.latN, c.answers, c.bad, c.served, c.utilSum, c.utilN, c.cutAt}, Latency: c.latency, Idle: c.idle, Seen: c.seen,
		Served: c.servedRate, Retries: c.retries, NextTry: c.nextTry}
	if c.set.MeterPeriod > 0 {
		s.Meter = MeterLearned{Period: c.set.MeterPeriod, Phase: c.clock.phase, Lag: c.clock.lag}
		for i := range c.clock.miss {
			s.Meter.Miss = append(s.Meter.Miss, c.clock.miss[i][:]...)
		}
	}
	for i := range c.set.Classes {
		k := &c.set.Classes[i]
		s.Usual = append(s.Usual, UsualTTL{k.Name, c.usual[k].ttl, c.usual[k].seen})
	}
	for _, p := range c.plans {
		s.Shares = append(s.Shares, PlanShare{p.Name, p.share, p.y, p.lateSum, p.lateN})
	}
	for _, v := range c.order {
		one := ServerState{Server: v.Server, CameUp: v.bootTime(), Out: v.inflight, Latency: v.latency, LatencyAt: v.latencyAt,
			Strikes: v.strikes, Failing: v.failing, FailingAt: v.failingAt, AsideUntil: v.asideUntil, Aside: v.aside, Tokens: v.tokens,
			Shut: make(map[string]time.Duration)}
		for _, g := range c.ghosts {
			if g.srv == v {
				one.Ghosts = append(one.Ghosts, g.until)
			}
		}
		for p, until := range v.shut {
			if until > c.now {
				one.Shut[p.Name] = until
			}
		}
		s.Servers = append(s.Servers, one)
	}
	for key, q := range c.custs {
		c.refill(q)
		p := q.plan
		s.Customers = append(s.Customers, Spent{ID: key[len(p.Name)+1:], Plan: p.Name, Spread: q.spread, Depth: p.Depth,
			Burst: p.CeilingBurst, Level: q.level, Ceiling: q.ceiling, Out: q.open + q.foreign, OpenCap: q.openCap, Chance: q.chance,
			Metered: q.metered, Base: q.base, LastUsed: q.lastUsed, BaseAt: q.baseAt, ToldAt: q.toldAt, Tries: q.tries,
			TriesAt: q.triesAt, Told: q.told, ToldFor: q.toldFor, Cover: q.cover, ReadEnd: q.readEnd, OwnSum: q.ownSum,
			AllSum: q.allSum, Smooth: q.smooth, Own: q.own.amounts(), Charged: q.charged.amounts(), Asked: q.asked.amounts(),
			Refused: q.refused.amounts()})
	}
	sort.Slice(s.Customers, func(i, j int) bool { // the latest first: a bound on them drops the oldest
		a, b := &s.Customers[i], &s.Customers[j]
		if a.TriesAt != b.TriesAt {
			return a.TriesAt > b.TriesAt
		}
		return a.Plan+" "+a.ID < b.Plan+" "+b.ID
	})
	return s
}

// bootTime is when a server started, 0 for long ago.
func (s *server) bootTime() time.Duration {
	if !s.HasCameUp {
		return 0
	}
	return s.CameUp
}

// Trust says how a checkpoint's figures of what is left to spend may be taken.
type Trust int

// The degrees of trust.
const (
	// Exact: nothing was spent elsewhere since the checkpoint was taken.
	Exact Trust = iota
	// Learned: what was spent since is not known, as after a crash. What was learned counts;
	// stores of ceilings begin empty, as slack that each start anew grants would add up.
	Learned
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
	if trust == Exact {
		c.portion = math.Min(1, math.Max(0, s.Portion))
	}
	fade := math.Exp(-math.Max(0, (now-s.At).Seconds()) / custKeep.Seconds())
	c.latency, c.idle, c.seen, c.nextTry = s.Latency, s.Idle, s.Seen*fade, max(s.NextTry, tick)
	c.intervals = 1 / latencyGain // what was learned is not for the first interval to replace
	c.servedRate, c.retries = s.Served*fade, math.Max(0, math.Min(retryMost, s.Retries))
	// The bound is one for so many servers; there may be others now.
	if n := c.count((*server).usable); s.Bound > 0 && s.Usable > 0 && n > 0 {
		c.bound = math.Max(c.floor(), c.bound+fade*(s.Bound*math.Min(1, n/s.Usable)-c.bound))
	}
	// The interval goes on. Guards against reloads faster than an interval, in which nothing would
	// ever be learned.
	if v := s.Interval; trust == Exact && v.Ends > c.now-intervalMore && v.Ends <= c.now+interval {
		c.nextInterval, c.cutAt = v.Ends, min(v.CutAt, c.now)
		c.span = span{cut: v.Cut, pressed: v.Pressed, latSum: v.LatSum, secSum: v.SecSum, latN: v.LatN, answers: v.Answers, utilSum: v.UtilSum, utilN: v.UtilN, bad: v.Bad,
			served: v.Served}
	}
	if c.slack = 0; trust == Exact {
		c.start, c.slack = min(c.now, s.Start), math.Min(ceilingStart, math.Max(0, s.Slack))
	}
	if s.Meter.Period == c.set.MeterPeriod && len(s.Meter.Miss) == binsPeriod*lagMost && s.Meter.valid() {
		c.clock.phase, c.clock.lag = s.Meter.Phase, s.Meter.Lag
		for i := range c.clock.miss {
			copy(c.clock.miss[i][:], s.Meter.Miss[i*lagMost:])
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
		if len(c.custs) < custMost {
			c.takeCustomer(&s.Customers[i], s.Meter.Period, trust)
		}
	}
}

func (m *MeterLearned) valid() bool {
	return m.Phase >= 0 && m.Phase < binsPeriod && m.Lag >= 0 && m.Lag < lagMost
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
	s.samples = sampleNoise // its estimate was one of several answers, most likely
	s.latency, s.latencyAt, s.failing, s.failingAt = v.Latency, v.LatencyAt, v.Failing, v.FailingAt
	s.strikes, s.asideUntil, s.aside = v.Strikes, min(v.AsideUntil, c.now+asideMost), min(v.Aside, asideMost)
	for name, until := range v.Shut {
		if p := c.planOf[name]; p != nil {
			s.shut[p] = min(until, c.now+shutFor)
		}
	}
	if trust != Exact {
		return
	}
	if s.coldRamp {
		s.tokens = v.Tokens
	}
	// What the predecessor has out counts against the bound and a cold server until it is
	// taken to have ended.
	until := c.now + seconds(c.latency)
	for range min(v.Out, ghostsMost) {
		c.haunt(s, until)
	}
	for i := range min(len(v.Ghosts), ghostsMost) {
		if at := v.Ghosts[i]; at > c.now {
			c.haunt(s, min(at, c.now+ghostLongest))
		}
	}
}

const (
	ghostsMost   = 10000     // at one server that are taken over
	ghostLongest = time.Hour // for which they are at most
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
	q.openCap, q.chance, q.metered = math.Min(v.OpenCap, float64(p.Open)), v.Chance, v.Metered
	if v.OpenCap == 0 && p.Open > 0 {
		q.openCap = float64(p.Open) / q.spread
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
	if trust != Exact {
		return
	}
	// What is missing in a store was spent, whatever the store holds now.
	q.level = math.Max(-p.Depth, c.portion*p.Depth-(c.portion*v.Depth-v.Level))
	if v.Burst > 0 && p.CeilingRate > 0 {
		q.ceiling = c.portion*p.CeilingBurst/q.spread - (c.portion*v.Burst/v.Spread - v.Ceiling)
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
			q.level = math.Min(p.Depth, q.level+v.Level)
			q.ceiling = math.Min(p.CeilingBurst/q.spread, q.ceiling+v.Ceiling)
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
