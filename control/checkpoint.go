package control

import (
	"math"
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
	Ends    time.Duration `cbor:"ends"`
	Cut     bool          `cbor:"Cut"`
	Pressed bool          `cbor:"Pressed"`
	LatSum  float64       `cbor:"LatSum"`
	SecSum  float64       `cbor:"SecSum"`
	LatN    float64       `cbor:"LatN"`
	Answers float64       `cbor:"Answers"`
	Bad     float64       `cbor:"Bad"`
	Served  float64       `cbor:"Served"`
	UtilSum float64       `cbor:"UtilSum"`
	UtilN   float64       `cbor:"UtilN"`
	CutAt   time.Duration `cbor:"cut_at"`
}

// MeterLearned is what is known of the meter's periods; of use with the same period only.
type MeterLearned struct {
	Period time.Duration `cbor:"period"`
	Phase  int64         `cbor:"Phase"`
	Lag    int64         `cbor:"Lag"`
	Miss   []float64     `cbor:"miss"`
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
	ID       string        `cbor:"id"`
	Plan     string        `cbor:"plan"`
	Spread   float64       `cbor:"spread"`
	Depth    float64       `cbor:"depth"` // of the plan that Level was counted under
	Burst    float64       `cbor:"burst"` // of the plan that Ceiling was counted under; 0 is no ceiling
	Level    float64       `cbor:"level"`
	Ceiling  float64       `cbor:"ceiling"`
	Out      int           `cbor:"out"` // attempts out
	OpenCap  float64       `cbor:"open_cap"`
	Chance   float64       `cbor:"chance"`
	Metered  bool          `cbor:"metered"`
	Base     float64       `cbor:"base"`
	LastUsed float64       `cbor:"last"`
	BaseAt   time.Duration `cbor:"base_at"`
	ToldAt   time.Duration `cbor:"told_at"`
	Tries    float64       `cbor:"tries"`
	TriesAt  time.Duration `cbor:"tries_at"`
	Told     float64       `cbor:"told"`
	ToldFor  float64       `cbor:"told_for"`
	Cover    float64       `cbor:"cover"`
	ReadEnd  int64         `cbor:"read_end"`
	OwnSum   float64       `cbor:"own_sum"`
	AllSum   float64       `cbor:"all_sum"`
	Smooth   float64       `cbor:"smooth"`
	Own      []Amount      `cbor:"Own"`
	Charged  []Amount      `cbor:"Charged"`
	Asked    []Amount      `cbor:"Asked"`
	Refused  []Amount      `cbor:"Refused"`
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
	s := Checkpoint{
		Version: CheckpointVersion, At: c.now, Start: c.start, Slack: c.slack, Portion: c.portion, Bound: c.bound, Usable: c.count((*server).usable),
		Interval: Interval{c.nextInterval, c.cut, c.pressed, c.latSum, c.secSum, c.latN, c.answers, c.bad, c.served, c.utilSum, c.utilN, c.cutAt}, Latency: c.latency, Idle: c.idle, Seen: c.seen,
		Served: c.servedRate, Retries: c.retries, NextTry: c.nextTry,
	}
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
		one := ServerState{
			Server: v.Server, CameUp: v.bootTime(), Out: v.inflight, Latency: v.latency, LatencyAt: v.latencyAt,
			Strikes: v.strikes, Failing: v.failing, FailingAt: v.failingAt, AsideUntil: v.asideUntil, Aside: v.aside, Tokens: v.tokens,
			Shut: make(map[string]time.Duration),
		}
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
		s.Customers = append(s.Customers, Spent{
			ID: key[len(p.Name)+1:], Plan: p.Name, Spread: q.spread, Depth: p.QuotaBurst,
			Burst: p.HardLimitBurst, Level: q.level, Ceiling: q.ceiling, Out: q.open + q.foreign, OpenCap: q.openCap, Chance: q.chance,
			Metered: q.metered, Base: q.base, LastUsed: q.lastUsed, BaseAt: q.baseAt, ToldAt: q.toldAt, Tries: q.tries,
			TriesAt: q.triesAt, Told: q.told, ToldFor: q.toldFor, Cover: q.cover, ReadEnd: q.readEnd, OwnSum: q.ownSum,
			AllSum: q.allSum, Smooth: q.smooth, Own: q.own.amounts(), Charged: q.charged.amounts(), Asked: q.asked.amounts(),
			Refused: q.refused.amounts(),
		})
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
	if !s.HasStartedAt {
		return 0
	}
	return s.StartedAt
}
