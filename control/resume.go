package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/mat"
)

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
	if len(s.Usual) != len(c.set.Classes) || len(s.Meter.Miss) != binsPerPeriod*maxMeterLagBins {
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
		copy(c.clock.miss[i][:], s.Meter.Miss[i*maxMeterLagBins:])
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
			Endpoint: w.Endpoint, listed: w.Listed, probing: w.Probing, coldRamp: w.ColdRamp, inflight: w.Inflight, ghosts: w.Ghosts,
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
			if len(h.from) > historyBins+1 {
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
