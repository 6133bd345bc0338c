package quotalease

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Call is what an instance asks a counter.
type Call struct {
	From    string        // the instance, by a name of this start of it only
	Seq     uint64        // counts up
	Counter string        // identity of the one that is meant; "" is not known yet
	Echo    time.Duration // the counter's own time, as it told it last
	Pledge  float64       // part of each ceiling that it pledges, for Rules.Pledge from Echo on
	Seen    uint64        // the latest token that it knows of
	Wants   []Want
	Gives   []Give
}

// Want asks for units of a ceiling; less than Need are of no use.
type Want struct {
	Key         string
	Ceiling     Ceiling
	Units, Need float64
}

// Give returns units that were not spent and never will be.
type Give struct {
	Key   string
	Token uint64
	Units float64
}

// Grant lends units until the term is over, counted from when they were asked for.
type Grant struct {
	Key   string
	Token uint64
	Units float64
}

// Answer is a counter's answer to a call.
type Answer struct {
	Counter string
	Seq     uint64
	Now     time.Duration // by the counter's clock
	Lends   bool          // something is pledged to it
	Grants  []Grant
}

// liveMost bounds the grants that can be returned; those beyond are lost with their terms.
const liveMost = 1 << 16

// Counter lends what is pledged to it. It may forget everything at any time, as long as it then has
// another identity; see Rules.Promises for one that goes back as itself. It is not safe for
// concurrent use.
type Counter struct {
	rules    Rules
	identity string
	last     time.Duration // it was asked
	token    uint64
	pledges  map[string]pledge
	shares   []share // what was pledged of ceilings: for each time the least since then, up to now
	stores   map[string]*store
	live     map[uint64]loan
	ends     []uint64 // tokens of live, the first that ends first

	without without
}

// without takes a protection away, for tests that show what it is for.
type without struct {
	empty, echo, step, seen  bool // of the counter
	cede, term, wait, settle bool // of the holder
}

type pledge struct {
	ends time.Duration
	part float64
}

// share is the least that was pledged from a time on.
type share struct {
	from time.Duration
	part float64
}

type store struct {
	level float64
	at    time.Duration
	fills time.Duration // that it takes from empty to full
}

type loan struct {
	from, key string
	units     float64
	ends      time.Duration
}

// NewCounter makes a counter that has lent nothing, under an identity that no other ever had.
func NewCounter(r Rules, identity string) *Counter {
	return &Counter{rules: r, identity: identity, pledges: make(map[string]pledge), stores: make(map[string]*store), live: make(map[uint64]loan)}
}

// clone is what a snapshot of it keeps.
func (c *Counter) clone() *Counter {
	d := *c
	d.pledges, d.live, d.ends, d.shares = maps.Clone(c.pledges), maps.Clone(c.live), slices.Clone(c.ends), slices.Clone(c.shares)
	d.stores = make(map[string]*store, len(c.stores))
	for k, s := range c.stores {
		copied := *s
		d.stores[k] = &copied
	}
	return &d
}

// Handle answers a call at a time of the counter's own clock, which may step.
func (c *Counter) Handle(now time.Duration, q Call) Answer {
	if now < c.last && !c.without.step { // pledges and stores go by times that are no more
		c.forget()
	}
	c.last = now
	a := Answer{Counter: c.identity, Seq: q.Seq, Now: now}
	if q.Counter != c.identity {
		return a
	}
	if q.Seen > c.token && !c.without.seen { // it has gone back to what it was
		c.forget()
		c.token = q.Seen
	}
	c.hear(now, q)
	for _, g := range q.Gives {
		c.takeBack(now, q.From, g)
	}
	if a.Lends = c.shares[len(c.shares)-1].part > 0; !a.Lends {
		return a
	}
	for _, w := range q.Wants {
		if g, ok := c.lend(now, q.From, w); ok {
			a.Grants = append(a.Grants, g)
		}
	}
	return a
}

// forget has it begin as one that has lent nothing, but for its tokens, which only count up.
func (c *Counter) forget() {
	clear(c.pledges)
	clear(c.stores)
	clear(c.live)
	c.ends, c.shares = nil, nil
}

// hear takes a pledge in, and notes how much is pledged. Pledges only end between two calls, so
// that what is left of them at the second was there all the time between.
func (c *Counter) hear(now time.Duration, q Call) {
	c.note(now, c.pledged(now))
	if q.Pledge > 0 && (q.Echo <= now || c.without.step) {
		from := q.Echo
		if c.without.echo {
			from = now
		}
		if p := (pledge{from + c.rules.Pledge, q.Pledge}); p.ends > now && p.ends >= c.pledges[q.From].ends {
			c.pledges[q.From] = p
		}
	}
	c.note(now, c.pledged(now))
}

// pledged sums up the pledges that have not ended, and forgets those that have.
func (c *Counter) pledged(now time.Duration) (part float64) {
	for from, p := range c.pledges {
		if p.ends <= now {
			delete(c.pledges, from)
			continue
		}
		part += p.part
	}
	return min(1, math.Round(part*shareSteps)/shareSteps) // whatever the order of the sum
}

// shareSteps is what shares are rounded to; it bounds how many of them are kept.
const shareSteps = 1e5

// note takes in what is pledged from now on.
func (c *Counter) note(now time.Duration, part float64) {
	from := now
	for n := len(c.shares) - 1; n >= 0 && c.shares[n].part >= part; n-- {
		from = c.shares[n].from // no less was pledged since then
		c.shares = c.shares[:n]
	}
	if len(c.shares) == 0 && from == now && part > 0 && !c.without.empty {
		c.shares = append(c.shares, share{-1 << 62, 0}) // nothing was pledged before
	}
	c.shares = append(c.shares, share{from, part})
}

// least is the least that was pledged since a time, up to the latest note.
func (c *Counter) least(since time.Duration) float64 {
	i := len(c.shares) - 1
	for i > 0 && c.shares[i].from > since {
		i--
	}
	return c.shares[i].part
}

// store is a customer's, filled up to now with the least that was pledged meanwhile. One that is
// not known has been empty since the time before which it would be full by now, or was pledged nothing.
func (c *Counter) store(now time.Duration, key string, of Ceiling) *store {
	s := c.stores[key]
	if s == nil {
		c.sweep(now)
		s = &store{at: now, fills: time.Duration(of.Burst / of.Rate * float64(time.Second))}
		if c.without.empty {
			s.level = of.Burst
		}
		for _, h := range c.shares { // from each of the times on, by what was pledged since
			if h.part > 0 {
				s.level = max(s.level, min(of.Burst, (now-h.from).Seconds()*of.Rate)*h.part)
			}
		}
		c.stores[key] = s
		return s
	}
	part := c.least(s.at)
	if c.without.empty {
		part = 1
	}
	s.level = min(part*of.Burst, s.level) + max(0, (now-s.at).Seconds())*part*of.Rate
	s.level = min(s.level, part*of.Burst)
	s.at = now
	return s
}

// sweepEvery is how many stores are kept before those of customers long gone are looked for.
const sweepEvery = 1024

// sweep forgets stores that nobody has asked for in ten minutes, and for longer than they take to
// fill, once there are many: each is as it would be anew.
func (c *Counter) sweep(now time.Duration) {
	if n := len(c.stores); n == 0 || n%sweepEvery != 0 {
		return
	}
	for k, s := range c.stores {
		if now-s.at > max(10*time.Minute, s.fills) {
			delete(c.stores, k)
		}
	}
}

func (c *Counter) lend(now time.Duration, from string, w Want) (Grant, bool) {
	s := c.store(now, w.Key, w.Ceiling)
	units := min(w.Units, s.level)
	if units <= 0 || units < w.Need {
		return Grant{}, false
	}
	s.level -= units
	c.token++
	for len(c.ends) > 0 && (c.live[c.ends[0]].ends <= now || len(c.ends) >= liveMost) {
		delete(c.live, c.ends[0])
		c.ends = c.ends[1:]
	}
	c.live[c.token] = loan{from, w.Key, units, now + c.rules.Term}
	c.ends = append(c.ends, c.token)
	return Grant{w.Key, c.token, units}, true
}

// takeBack puts back what is returned of a grant, once.
func (c *Counter) takeBack(now time.Duration, from string, g Give) {
	l, ok := c.live[g.Token]
	if !ok || l.from != from || l.key != g.Key || l.ends <= now || !(g.Units > 0) {
		return
	}
	delete(c.live, g.Token)
	if s := c.stores[g.Key]; s != nil { // what nobody pledges any more goes as it is filled
		s.level += min(g.Units, l.units)
	}
}
