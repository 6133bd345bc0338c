package control

import (
	"slices"
	"sort"
	"time"
)

// ImageVersion is that of the form of an Image. One of another version can't be resumed: a
// field may mean something else.
const ImageVersion = 4

// Image is the whole state of a controller between two events: one that is resumed from it takes
// every later event as the first would have. It holds no settings; a Checkpoint, in contrast, is
// what another controller, with other settings or servers, can go on from. What refers to a customer,
// server or request does so by its place in the lists here.
type Image struct {
	Version int    `cbor:"v"`
	Random  []byte `cbor:"rng"` // of math/rand/v2's PCG

	Now          time.Duration `cbor:"Now"`
	Skipped      time.Duration `cbor:"Skipped"`
	Start        time.Duration `cbor:"Start"`
	Started      bool          `cbor:"Started"`
	Following    bool          `cbor:"Following"`
	AskAt        time.Duration `cbor:"AskAt"`
	NextTry      time.Duration `cbor:"NextTry"`
	Label        uint64        `cbor:"Label"`
	Slack        float64       `cbor:"Slack"`
	Portion      float64       `cbor:"Portion"`
	Inflight     int           `cbor:"Inflight"`
	Streams      int           `cbor:"Streams"`
	Bound        float64       `cbor:"Bound"`
	CutAt        time.Duration `cbor:"CutAt"`
	RestUntil    time.Duration `cbor:"RestUntil"`
	Latency      float64       `cbor:"Latency"`
	Idle         float64       `cbor:"Idle"`
	Seen         float64       `cbor:"Seen"`
	ServedRate   float64       `cbor:"ServedRate"`
	Retries      float64       `cbor:"Retries"`
	Util         float64       `cbor:"Util"`
	MeanTold     float64       `cbor:"MeanTold"`
	Reports      float64       `cbor:"Reports"`
	Intervals    float64       `cbor:"Intervals"`
	MeanUnits    float64       `cbor:"MeanUnits"`
	Asks         float64       `cbor:"Asks"`
	NextTick     time.Duration `cbor:"NextTick"`
	NextInterval time.Duration `cbor:"NextInterval"`
	Interval     Interval      `cbor:"Interval"`

	Meter     MeterLearned    `cbor:"Meter"`
	Law       LawState        `cbor:"Law"`
	Usual     []UsualTTL      `cbor:"Usual"`
	Plans     []PlanState     `cbor:"Plans"`
	Servers   []WholeServer   `cbor:"Servers"`
	Customers []WholeCustomer `cbor:"Customers"`
	Requests  []WholeRequest  `cbor:"Requests"`
	Attempts  []WholeAttempt  `cbor:"Attempts"`
	Ghosts    []WholeGhost    `cbor:"Ghosts"`
}

// LawState is the state of the share law's estimate; matrices are stored by rows.
type LawState struct {
	X   []float64 `cbor:"X"`
	P   []float64 `cbor:"P"`
	Phi []float64 `cbor:"Phi"` // empty until shares have been set
}

// PlanState is a plan's state; Queue are requests.
type PlanState struct {
	Share   float64 `cbor:"Share"`
	Credit  float64 `cbor:"Credit"`
	LateSum float64 `cbor:"LateSum"`
	LateN   float64 `cbor:"LateN"`
	Y       float64 `cbor:"Y"`
	Told    float64 `cbor:"Told"`
	Beyond  float64 `cbor:"Beyond"`
	Queue   []int   `cbor:"Queue"`
}

// WholeServer is a server's state. One that is not Kept is gone, and something still refers to it.
type WholeServer struct {
	Endpoint
	Kept      bool                  `cbor:"Kept"`
	Listed    bool                  `cbor:"Listed"`
	Probing   bool                  `cbor:"Probing"`
	ColdRamp  bool                  `cbor:"ColdRamp"`
	Inflight  int                   `cbor:"Inflight"`
	Ghosts    int                   `cbor:"Ghosts"`
	Strikes   int                   `cbor:"Strikes"`
	Latency   float64               `cbor:"Latency"`
	Failing   float64               `cbor:"Failing"`
	Tokens    float64               `cbor:"Tokens"`
	Samples   float64               `cbor:"Samples"`
	Slow      float64               `cbor:"Slow"`
	Util      float64               `cbor:"Util"`
	ToldAt    time.Duration         `cbor:"ToldAt"`
	LatencyAt time.Duration         `cbor:"LatencyAt"`
	Heard     time.Duration         `cbor:"Heard"`
	FailingAt time.Duration         `cbor:"FailingAt"`
	AsideUnto time.Duration         `cbor:"AsideUnto"`
	Aside     time.Duration         `cbor:"Aside"`
	ColdFrom  time.Duration         `cbor:"ColdFrom"`
	TokensAt  time.Duration         `cbor:"TokensAt"`
	Shut      map[int]time.Duration `cbor:"Shut"` // by plan
}

// WholeCustomer is a customer's state, under its key; see customer.
type WholeCustomer struct {
	Key         string        `cbor:"Key"`
	Kept        bool          `cbor:"Kept"`
	Plan        int           `cbor:"Plan"`
	Spread      float64       `cbor:"Spread"`
	Level       float64       `cbor:"Level"`
	Ceiling     float64       `cbor:"Ceiling"`
	Queued      float64       `cbor:"Queued"`
	OpenCap     float64       `cbor:"OpenCap"`
	Chance      float64       `cbor:"Chance"`
	Carry       float64       `cbor:"Carry"`
	Base        float64       `cbor:"Base"`
	LastUsed    float64       `cbor:"LastUsed"`
	Tries       float64       `cbor:"Tries"`
	Told        float64       `cbor:"Told"`
	ToldFor     float64       `cbor:"ToldFor"`
	Cover       float64       `cbor:"Cover"`
	OwnSum      float64       `cbor:"OwnSum"`
	AllSum      float64       `cbor:"AllSum"`
	Smooth      float64       `cbor:"Smooth"`
	At          time.Duration `cbor:"At"`
	OpenNext    time.Duration `cbor:"OpenNext"`
	BaseAt      time.Duration `cbor:"BaseAt"`
	ToldAt      time.Duration `cbor:"ToldAt"`
	TriesAt     time.Duration `cbor:"TriesAt"`
	Open        int           `cbor:"Open"`
	Foreign     int           `cbor:"Foreign"`
	OpenHit     bool          `cbor:"OpenHit"`
	Metered     bool          `cbor:"Metered"`
	ReadEnd     int64         `cbor:"ReadEnd"`
	OwnLast     int64         `cbor:"OwnLast"`
	ChargedLast int64         `cbor:"ChargedLast"`
	AskedLast   int64         `cbor:"AskedLast"`
	RefusedLast int64         `cbor:"RefusedLast"`
	Own         []Step        `cbor:"Own"`
	Charged     []Step        `cbor:"Charged"`
	Asked       []Step        `cbor:"Asked"`
	Refused     []Step        `cbor:"Refused"`
}

// WholeRequest is a request that is held, or of which attempts are out.
type WholeRequest struct {
	ID        string        `cbor:"ID"`
	Kept      bool          `cbor:"Kept"`
	Class     string        `cbor:"Class"`
	Plan      int           `cbor:"Plan"`
	Customer  int           `cbor:"Customer"`
	Group     int           `cbor:"Group"` // a server's place, from 1 on; 0 is none
	Units     float64       `cbor:"Units"`
	Arrived   time.Duration `cbor:"Arrived"`
	Aim       time.Duration `cbor:"Aim"`
	GiveUp    time.Duration `cbor:"GiveUp"`
	FirstRun  time.Duration `cbor:"FirstRun"`
	Queued    bool          `cbor:"Queued"`
	Streaming bool          `cbor:"Streaming"`
	MayRun    bool          `cbor:"MayRun"`
	Sends     int           `cbor:"Sends"`
	Out       int           `cbor:"Out"`
	Tried     []uint32      `cbor:"Tried"`
	Label     uint64        `cbor:"Label"`
}

// WholeAttempt is an attempt that is out; Units, Charged and Level were taken of the customer's stores.
type WholeAttempt struct {
	ID       string        `cbor:"ID"`
	N        int           `cbor:"N"`
	Request  int           `cbor:"Request"`
	Server   int           `cbor:"Server"`
	Customer int           `cbor:"Customer"`
	Sent     time.Duration `cbor:"Sent"`
	Units    float64       `cbor:"Units"`
	Charged  float64       `cbor:"Charged"`
	Level    float64       `cbor:"Level"`
	Bin      int64         `cbor:"Bin"` // in which they are booked
}

// WholeGhost is work that is taken to go on.
type WholeGhost struct {
	Server int           `cbor:"Server"`
	Until  time.Duration `cbor:"Until"`
}

// places gives things a place each, in the order in which they are first asked for.
type places[T comparable] struct {
	of  map[T]int
	all []T
}

func (p *places[T]) at(v T) int {
	i, ok := p.of[v]
	if !ok {
		if p.of == nil {
			p.of = make(map[T]int)
		}
		i = len(p.all)
		p.of[v], p.all = i, append(p.all, v)
	}
	return i
}

// Image tells the controller's whole state. It shares nothing with it.
func (c *Controller) Image() Image {
	random, _ := c.pcg.MarshalBinary() // it gives no error
	s := Image{
		Version: ImageVersion, Random: random, Now: c.now, Skipped: c.skipped, Start: c.start, Started: c.started, Following: c.following,
		AskAt: c.askAt, NextTry: c.nextTry, Label: c.label, Slack: c.slack, Portion: c.portion, Inflight: c.inflight, Streams: c.streams,
		Bound: c.bound, CutAt: c.cutAt, RestUntil: c.restUntil, Latency: c.latency, Idle: c.idle, Seen: c.seen, ServedRate: c.servedRate, Util: c.util, MeanTold: c.meanTold, Reports: c.reports, Intervals: c.intervals,
		MeanUnits: c.meanUnits, Asks: c.asks,
		Retries: c.retries, NextTick: c.nextTick, NextInterval: c.nextInterval,
		Interval: Interval{Cut: c.cut, Pressed: c.pressed, LatSum: c.latSum, SecSum: c.secSum, LatN: c.latN, Answers: c.answers, Bad: c.bad, Served: c.served, UtilSum: c.utilSum, UtilN: c.utilN},
		Meter:    MeterLearned{Phase: c.clock.phase, Lag: c.clock.lag},
	}
	for i := range c.clock.miss {
		s.Meter.Miss = append(s.Meter.Miss, c.clock.miss[i][:]...)
	}
	s.Law = LawState{X: slices.Clone(c.law.x.RawMatrix().Data), P: slices.Clone(c.law.p.RawMatrix().Data)}
	if c.law.phi != nil {
		s.Law.Phi = slices.Clone(c.law.phi.RawVector().Data)
	}
	for i := range c.set.Classes {
		u := c.usual[&c.set.Classes[i]]
		s.Usual = append(s.Usual, UsualTTL{c.set.Classes[i].Name, u.ttl, u.seen})
	}
	var servers places[*server]
	var customers places[*customer]
	var requests places[*request]
	keys := make(map[*customer]string, len(c.custs))
	for _, srv := range c.order {
		servers.at(srv)
	}
	for _, k := range sortedKeys(c.custs) {
		customers.at(c.custs[k])
		keys[c.custs[k]] = k
	}
	for _, id := range sortedKeys(c.reqs) {
		requests.at(c.reqs[id])
	}
	attempts := make([]attemptKey, 0, len(c.attempts))
	for k := range c.attempts {
		attempts = append(attempts, k)
	}
	sort.Slice(attempts, func(i, j int) bool {
		a, b := attempts[i], attempts[j]
		return a.id < b.id || a.id == b.id && a.n < b.n
	})
	for _, k := range attempts {
		a := c.attempts[k]
		s.Attempts = append(s.Attempts, WholeAttempt{
			k.id, k.n, requests.at(a.req), servers.at(a.srv), customers.at(a.cust), a.sent,
			a.bill.units, a.bill.charged, a.bill.level, a.bill.bin,
		})
	}
	for _, g := range c.ghosts {
		s.Ghosts = append(s.Ghosts, WholeGhost{servers.at(g.srv), g.until})
	}
	for _, r := range requests.all {
		w := WholeRequest{
			ID: r.id, Kept: c.reqs[r.id] == r, Class: r.class.Name, Plan: r.plan.index, Customer: customers.at(r.cust), Units: r.units,
			Arrived: r.arrived, Aim: r.aim, GiveUp: r.giveUp, FirstRun: r.firstRun, Queued: r.queued, Streaming: r.streaming, MayRun: r.mayRun,
			Sends: r.sends, Out: r.out, Tried: slices.Clone(r.tried), Label: r.label,
		}
		if r.group != nil {
			w.Group = servers.at(r.group) + 1
		}
		s.Requests = append(s.Requests, w)
	}
	for _, p := range c.plans {
		w := PlanState{Share: p.share, Credit: p.credit, LateSum: p.lateSum, LateN: p.lateN, Y: p.y, Told: p.told, Beyond: p.beyond}
		for _, r := range p.queue {
			w.Queue = append(w.Queue, requests.at(r))
		}
		s.Plans = append(s.Plans, w)
	}
	for _, v := range servers.all {
		w := WholeServer{
			Endpoint: v.Endpoint, Kept: c.servers[v.Server] == v, Listed: v.listed, Probing: v.probing, ColdRamp: v.coldRamp,
			Inflight: v.inflight, Ghosts: v.ghosts, Strikes: v.strikes, Latency: v.latency, Failing: v.failing, Tokens: v.tokens,
			Samples: v.samples, Slow: v.slow, Util: v.util, ToldAt: v.toldAt,
			LatencyAt: v.latencyAt, Heard: v.heard, FailingAt: v.failingAt, AsideUnto: v.asideUntil, Aside: v.aside, ColdFrom: v.coldFrom,
			TokensAt: v.tokensAt, Shut: make(map[int]time.Duration, len(v.shut)),
		}
		for p, until := range v.shut {
			w.Shut[p.index] = until
		}
		s.Servers = append(s.Servers, w)
	}
	for _, q := range customers.all {
		key, kept := keys[q]
		s.Customers = append(s.Customers, WholeCustomer{
			Key: key, Kept: kept, Plan: q.plan.index, Spread: q.spread, Level: q.level, Ceiling: q.ceiling,
			Queued: q.queued, OpenCap: q.openCap, Chance: q.chance, Carry: q.carry, Base: q.base, LastUsed: q.lastUsed, Tries: q.tries,
			Told: q.told, ToldFor: q.toldFor, Cover: q.cover, OwnSum: q.ownSum, AllSum: q.allSum, Smooth: q.smooth, At: q.at,
			OpenNext: q.openNext, BaseAt: q.baseAt, ToldAt: q.toldAt, TriesAt: q.triesAt, Open: q.open, Foreign: q.foreign,
			OpenHit: q.openHit, Metered: q.metered, ReadEnd: q.readEnd, OwnLast: q.own.last, ChargedLast: q.charged.last,
			AskedLast: q.asked.last, RefusedLast: q.refused.last, Own: slices.Clone(q.own.steps), Charged: slices.Clone(q.charged.steps),
			Asked: slices.Clone(q.asked.steps), Refused: slices.Clone(q.refused.steps),
		})
	}
	return s
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
