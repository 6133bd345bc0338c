package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"gonum.org/v1/gonum/mat"
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

	Now, Skipped, Start time.Duration
	Started, Following  bool
	AskAt, NextTry      time.Duration
	Label               uint64
	Slack, Portion      float64
	Inflight, Streams   int
	Bound               float64
	CutAt, RestUntil    time.Duration
	Latency, Idle, Seen float64
	ServedRate, Retries float64
	Util, MeanTold      float64
	Reports             float64
	Intervals           float64
	MeanUnits, Asks     float64
	NextTick            time.Duration
	NextInterval        time.Duration
	Interval            Interval

	Meter     MeterLearned
	Law       LawState
	Usual     []UsualTTL
	Plans     []PlanState
	Servers   []WholeServer
	Customers []WholeCustomer
	Requests  []WholeRequest
	Attempts  []WholeAttempt
	Ghosts    []WholeGhost
}

// LawState is the state of the share law's estimate.
type LawState struct {
	X, P, Phi []float64 // by rows; Phi is empty until shares have been set
}

// PlanState is a plan's state; Queue are requests.
type PlanState struct {
	Share, Credit, LateSum, LateN, Y float64
	Told, Beyond                     float64
	Queue                            []int
}

// WholeServer is a server's state. One that is not Kept is gone, and something still refers to it.
type WholeServer struct {
	Member
	Kept, Listed, Probing, ColdRamp        bool
	Inflight, Ghosts, Strikes              int
	Latency, Failing, Tokens               float64
	Samples, Slow, Util                    float64
	ToldAt                                 time.Duration
	LatencyAt, Heard, FailingAt, AsideUnto time.Duration
	Aside, ColdFrom, TokensAt              time.Duration
	Shut                                   map[int]time.Duration // by plan
}

// WholeCustomer is a customer's state, under its key; see customer.
type WholeCustomer struct {
	Key                                          string
	Kept                                         bool
	Plan                                         int
	Spread, Level, Ceiling, Queued, OpenCap      float64
	Chance, Carry, Base, LastUsed, Tries, Told   float64
	ToldFor, Cover, OwnSum, AllSum, Smooth       float64
	At, OpenNext, BaseAt, ToldAt, TriesAt        time.Duration
	Open, Foreign                                int
	OpenHit, Metered                             bool
	ReadEnd                                      int64
	OwnLast, ChargedLast, AskedLast, RefusedLast int64
	Own, Charged, Asked, Refused                 []Step
}

// WholeRequest is a request that is held, or of which attempts are out.
type WholeRequest struct {
	ID                             string
	Kept                           bool
	Class                          string
	Plan, Customer                 int
	Group                          int // a server's place, from 1 on; 0 is none
	Units                          float64
	Arrived, Aim, GiveUp, FirstRun time.Duration
	Queued, Streaming, MayRun      bool
	Sends, Out                     int
	Tried                          []uint32
	Label                          uint64
}

// WholeAttempt is an attempt that is out.
type WholeAttempt struct {
	ID                        string
	N                         int
	Request, Server, Customer int
	Sent                      time.Duration
	Units, Charged, Level     float64 // taken of the customer's stores
	Bin                       int64   // in which they are booked
}

// WholeGhost is work that is taken to go on.
type WholeGhost struct {
	Server int
	Until  time.Duration
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
			Member: v.Member, Kept: c.servers[v.Server] == v, Listed: v.listed, Probing: v.probing, ColdRamp: v.coldRamp,
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

// Resume makes a controller of the settings that an image was taken under. An error tells what of
// the image is not of these settings, or of no controller.
func Resume(set Settings, s Image) (*Controller, error) {
	if s.Version != ImageVersion {
		return nil, fmt.Errorf("image: version %d, not %d", s.Version, ImageVersion)
	}
	c, err := New(set, 0)
	if err != nil {
		return nil, err
	}
	if err := c.resume(&s); err != nil {
		return nil, fmt.Errorf("image: %w", err)
	}
	return c, nil
}

func (c *Controller) resume(s *Image) error {
	c.pcg = &rand.PCG{}
	if err := c.pcg.UnmarshalBinary(s.Random); err != nil {
		return fmt.Errorf("random numbers: %w", err)
	}
	c.rng = rand.New(c.pcg)
	n := len(c.plans)
	if len(s.Plans) != n || len(s.Law.X) != 2*n*n || len(s.Law.P) != 4*n*n || len(s.Law.Phi) != 0 && len(s.Law.Phi) != 2*n {
		return fmt.Errorf("of %d plans, not %d", len(s.Plans), n)
	}
	if len(s.Usual) != len(c.set.Classes) || len(s.Meter.Miss) != binsPeriod*lagMost {
		return fmt.Errorf("of %d classes, not %d, or of another meter", len(s.Usual), len(c.set.Classes))
	}
	c.now, c.skipped, c.start, c.started, c.following = s.Now, s.Skipped, s.Start, s.Started, s.Following
	c.askAt, c.nextTry, c.label, c.slack, c.portion, c.inflight, c.streams = s.AskAt, s.NextTry, s.Label, s.Slack, s.Portion, s.Inflight, s.Streams
	c.bound, c.cutAt, c.restUntil, c.latency, c.idle, c.seen = s.Bound, s.CutAt, s.RestUntil, s.Latency, s.Idle, s.Seen
	c.util, c.meanTold, c.reports = s.Util, s.MeanTold, s.Reports
	c.intervals, c.meanUnits, c.asks = s.Intervals, s.MeanUnits, s.Asks
	c.servedRate, c.retries, c.nextTick, c.nextInterval = s.ServedRate, s.Retries, s.NextTick, s.NextInterval
	i := s.Interval
	c.span = span{cut: i.Cut, pressed: i.Pressed, latSum: i.LatSum, secSum: i.SecSum, latN: i.LatN, answers: i.Answers, bad: i.Bad, served: i.Served, utilSum: i.UtilSum, utilN: i.UtilN}
	c.clock.phase, c.clock.lag = s.Meter.Phase, s.Meter.Lag
	for i := range c.clock.miss {
		copy(c.clock.miss[i][:], s.Meter.Miss[i*lagMost:])
	}
	c.law.x, c.law.p = mat.NewDense(n, 2*n, slices.Clone(s.Law.X)), mat.NewDense(2*n, 2*n, slices.Clone(s.Law.P))
	if len(s.Law.Phi) > 0 {
		c.law.phi = mat.NewVecDense(2*n, slices.Clone(s.Law.Phi))
	}
	for _, u := range s.Usual {
		k := c.classes[u.Class]
		if k == nil {
			return fmt.Errorf("there is no class %q", u.Class)
		}
		*c.usual[k] = usualTTL{u.TTL, u.Seen}
	}
	servers, err := c.resumeServers(s)
	if err != nil {
		return err
	}
	customers, err := c.resumeCustomers(s)
	if err != nil {
		return err
	}
	return c.resumeRequests(s, servers, customers)
}

func (c *Controller) resumeServers(s *Image) ([]*server, error) {
	var all []*server
	for _, w := range s.Servers {
		v := &server{
			Member: w.Member, listed: w.Listed, probing: w.Probing, coldRamp: w.ColdRamp, inflight: w.Inflight, ghosts: w.Ghosts,
			strikes: w.Strikes, latency: w.Latency, failing: w.Failing, tokens: w.Tokens,
			samples: w.Samples, slow: w.Slow, util: w.Util, toldAt: w.ToldAt, latencyAt: w.LatencyAt, heard: w.Heard,
			failingAt: w.FailingAt, asideUntil: w.AsideUnto, aside: w.Aside, coldFrom: w.ColdFrom, tokensAt: w.TokensAt,
			shut: make(map[*plan]time.Duration, len(w.Shut)),
		}
		for i, until := range w.Shut {
			if i < 0 || i >= len(c.plans) {
				return nil, fmt.Errorf("server %d: there is no plan %d", w.Server, i)
			}
			v.shut[c.plans[i]] = until
		}
		if all = append(all, v); w.Kept {
			c.servers[v.Server], c.order = v, append(c.order, v)
		}
	}
	for _, g := range s.Ghosts {
		if g.Server < 0 || g.Server >= len(all) {
			return nil, fmt.Errorf("there is no server %d", g.Server)
		}
		c.ghosts = append(c.ghosts, ghost{all[g.Server], g.Until})
	}
	return all, nil
}

func (c *Controller) resumeCustomers(s *Image) ([]*customer, error) {
	var all []*customer
	for _, w := range s.Customers {
		if w.Plan < 0 || w.Plan >= len(c.plans) {
			return nil, fmt.Errorf("customer %q: there is no plan %d", w.Key, w.Plan)
		}
		q := &customer{
			plan: c.plans[w.Plan], spread: w.Spread, level: w.Level, ceiling: w.Ceiling, queued: w.Queued, openCap: w.OpenCap,
			chance: w.Chance, carry: w.Carry, base: w.Base, lastUsed: w.LastUsed, tries: w.Tries, told: w.Told, toldFor: w.ToldFor,
			cover: w.Cover, ownSum: w.OwnSum, allSum: w.AllSum, smooth: w.Smooth, at: w.At, openNext: w.OpenNext, baseAt: w.BaseAt,
			toldAt: w.ToldAt, triesAt: w.TriesAt, open: w.Open, foreign: w.Foreign, openHit: w.OpenHit, metered: w.Metered, readEnd: w.ReadEnd,
		}
		for _, h := range []struct {
			to   *history
			last int64
			from []Step
		}{
			{&q.own, w.OwnLast, w.Own},
			{&q.charged, w.ChargedLast, w.Charged},
			{&q.asked, w.AskedLast, w.Asked},
			{&q.refused, w.RefusedLast, w.Refused},
		} {
			if len(h.from) > bins+1 {
				return nil, fmt.Errorf("customer %q: a history of %d bins", w.Key, len(h.from))
			}
			for i, s := range h.from {
				if s.Bin > h.last || i > 0 && s.Bin <= h.from[i-1].Bin {
					return nil, fmt.Errorf("customer %q: bin %d is out of order", w.Key, s.Bin)
				}
			}
			h.to.last, h.to.steps = h.last, slices.Clone(h.from)
		}
		if all = append(all, q); w.Kept {
			c.custs[w.Key] = q
		}
	}
	return all, nil
}

func (c *Controller) resumeRequests(s *Image, servers []*server, customers []*customer) error {
	var all []*request
	for _, w := range s.Requests {
		k := c.classes[w.Class]
		if k == nil || w.Plan < 0 || w.Plan >= len(c.plans) || w.Customer < 0 || w.Customer >= len(customers) || w.Group < 0 || w.Group > len(servers) {
			return fmt.Errorf("request %q: it refers to what is not there", w.ID)
		}
		r := &request{
			id: w.ID, class: k, plan: c.plans[w.Plan], cust: customers[w.Customer], units: w.Units, arrived: w.Arrived, aim: w.Aim,
			giveUp: w.GiveUp, firstRun: w.FirstRun, queued: w.Queued, streaming: w.Streaming, mayRun: w.MayRun, sends: w.Sends, out: w.Out,
			tried: slices.Clone(w.Tried), label: w.Label,
		}
		if w.Group > 0 {
			r.group = servers[w.Group-1]
		}
		if all = append(all, r); w.Kept {
			c.reqs[r.id] = r
			if r.label != 0 {
				c.labels[r.label] = r
			}
		}
	}
	for i, w := range s.Plans {
		p := c.plans[i]
		p.share, p.credit, p.lateSum, p.lateN, p.y, p.told, p.beyond = w.Share, w.Credit, w.LateSum, w.LateN, w.Y, w.Told, w.Beyond
		for _, j := range w.Queue {
			if j < 0 || j >= len(all) {
				return fmt.Errorf("plan %q: there is no request %d", p.Name, j)
			}
			p.queue = append(p.queue, all[j])
		}
	}
	for _, w := range s.Attempts {
		if w.Request < 0 || w.Request >= len(all) || w.Server < 0 || w.Server >= len(servers) || w.Customer < 0 || w.Customer >= len(customers) {
			return fmt.Errorf("attempt %d of %q: it refers to what is not there", w.N, w.ID)
		}
		c.attempts[attemptKey{w.ID, w.N}] = &attempt{
			all[w.Request], servers[w.Server], customers[w.Customer], w.Sent,
			bill{w.Units, w.Charged, w.Level, w.Bin},
		}
	}
	return nil
}
