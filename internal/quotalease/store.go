package quotalease

import (
	"maps"
	"math"
	"slices"
	"time"
)

// StoreCall is what an instance asks a counter.
type StoreCall struct {
	HolderID         string        // the instance, by a name of this start of it only
	Seq              uint64        // counts up
	StoreID          string        // identity of the one that is meant; "" is not known yet
	EchoedTime       time.Duration // the counter's own time, as it told it last
	ReservedFraction float64       // fraction of each ceiling that it pledges, for Rules.Pledge from Echo on
	LastToken        uint64        // the latest token that it knows of
	Requests         []LeaseRequest
	Returns          []LeaseReturn
}

// LeaseRequest asks for units of a ceiling; less than Need are of no use.
type LeaseRequest struct {
	Key             string
	Limit           HardLimit
	Units, MinUnits float64
}

// LeaseReturn returns units that were not spent and never will be.
type LeaseReturn struct {
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

// StoreReply is a counter's answer to a call.
type StoreReply struct {
	StoreID   string
	Seq       uint64
	StoreTime time.Duration // by the counter's clock
	IsLending bool          // something is pledged to it
	Grants    []Grant
}

// maxLoans bounds the grants that can be returned; those beyond are lost with their terms.
const maxLoans = 1 << 16

// StoreID lends what is pledged to it. It may forget everything at any time, as long as it then has
// another identity; see Rules.Promises for one that goes back as itself. It is not safe for
// concurrent use.
type Store struct {
	rules          Rules
	identity       string
	lastCallAt     time.Duration // it was asked
	lastToken      uint64
	reservations   map[string]reservation
	reservedMinima []reservedMinimum // what was pledged of ceilings: for each time the least since then, up to now
	buckets        map[string]*bucket
	loans          map[uint64]loan
	loanOrder      []uint64 // tokens of live, the first that ends first

	disabled protections
}

// protections takes a protection away, for tests that show what it is for.
type protections struct {
	emptyStart, reservationFromEcho, clockStepReset, rollbackReset   bool // of the counter
	exclusiveReservation, leaseExpiry, storeChangeDelay, resizeDelay bool // of the holder
}

type reservation struct {
	expiresAt time.Duration
	fraction  float64
}

// reservedMinimum is the least that was pledged from a time on.
type reservedMinimum struct {
	since    time.Duration
	fraction float64
}

type bucket struct {
	tokens    float64
	updatedAt time.Duration
	fillTime  time.Duration // that it takes from empty to full
}

type loan struct {
	holderID, key string
	units         float64
	expiresAt     time.Duration
}

// NewStore makes a counter that has lent nothing, under an identity that no other ever had.
func NewStore(r Rules, identity string) *Store {
	return &Store{rules: r, identity: identity, reservations: make(map[string]reservation), buckets: make(map[string]*bucket), loans: make(map[uint64]loan)}
}

// clone is what a snapshot of it keeps.
func (c *Store) clone() *Store {
	d := *c
	d.reservations, d.loans, d.loanOrder, d.reservedMinima = maps.Clone(c.reservations), maps.Clone(c.loans), slices.Clone(c.loanOrder), slices.Clone(c.reservedMinima)
	d.buckets = make(map[string]*bucket, len(c.buckets))
	for k, s := range c.buckets {
		copied := *s
		d.buckets[k] = &copied
	}
	return &d
}

// Handle answers a call at a time of the counter's own clock, which may step.
func (c *Store) Handle(now time.Duration, q StoreCall) StoreReply {
	if now < c.lastCallAt && !c.disabled.clockStepReset { // reservations and stores go by times that are no more
		c.reset()
	}
	c.lastCallAt = now
	a := StoreReply{StoreID: c.identity, Seq: q.Seq, StoreTime: now}
	if q.StoreID != c.identity {
		return a
	}
	if q.LastToken > c.lastToken && !c.disabled.rollbackReset { // it has gone back to what it was
		c.reset()
		c.lastToken = q.LastToken
	}
	c.updateReservation(now, q)
	for _, g := range q.Returns {
		c.acceptReturn(now, q.HolderID, g)
	}
	if a.IsLending = c.reservedMinima[len(c.reservedMinima)-1].fraction > 0; !a.IsLending {
		return a
	}
	for _, w := range q.Requests {
		if g, ok := c.lend(now, q.HolderID, w); ok {
			a.Grants = append(a.Grants, g)
		}
	}
	return a
}

// reset has it begin as one that has lent nothing, but for its tokens, which only count up.
func (c *Store) reset() {
	clear(c.reservations)
	clear(c.buckets)
	clear(c.loans)
	c.loanOrder, c.reservedMinima = nil, nil
}

// updateReservation takes a pledge in, and notes how much is pledged. Pledges only end between two calls, so
// that what is left of them at the second was there all the time between.
func (c *Store) updateReservation(now time.Duration, q StoreCall) {
	c.recordReserved(now, c.reservedFraction(now))
	if q.ReservedFraction > 0 && (q.EchoedTime <= now || c.disabled.clockStepReset) {
		from := q.EchoedTime
		if c.disabled.reservationFromEcho {
			from = now
		}
		if p := (reservation{from + c.rules.ReservationTime, q.ReservedFraction}); p.expiresAt > now && p.expiresAt >= c.reservations[q.HolderID].expiresAt {
			c.reservations[q.HolderID] = p
		}
	}
	c.recordReserved(now, c.reservedFraction(now))
}

// reservedFraction sums up the pledges that have not ended, and forgets those that have.
func (c *Store) reservedFraction(now time.Duration) (part float64) {
	for from, p := range c.reservations {
		if p.expiresAt <= now {
			delete(c.reservations, from)
			continue
		}
		part += p.fraction
	}
	return min(1, math.Round(part*fractionSteps)/fractionSteps) // whatever the order of the sum
}

// fractionSteps is what shares are rounded to; it bounds how many of them are kept.
const fractionSteps = 1e5

// recordReserved takes in what is pledged from now on.
func (c *Store) recordReserved(now time.Duration, part float64) {
	from := now
	for n := len(c.reservedMinima) - 1; n >= 0 && c.reservedMinima[n].fraction >= part; n-- {
		from = c.reservedMinima[n].since // no less was pledged since then
		c.reservedMinima = c.reservedMinima[:n]
	}
	if len(c.reservedMinima) == 0 && from == now && part > 0 && !c.disabled.emptyStart {
		c.reservedMinima = append(c.reservedMinima, reservedMinimum{-1 << 62, 0}) // nothing was pledged before
	}
	c.reservedMinima = append(c.reservedMinima, reservedMinimum{from, part})
}

// minReservedSince is the least that was pledged since a time, up to the latest note.
func (c *Store) minReservedSince(since time.Duration) float64 {
	i := len(c.reservedMinima) - 1
	for i > 0 && c.reservedMinima[i].since > since {
		i--
	}
	return c.reservedMinima[i].fraction
}

// refilledBucket is a customer's, filled up to now with the least that was pledged meanwhile. One that is
// not known has been empty since the time before which it would be full by now, or was pledged nothing.
func (c *Store) refilledBucket(now time.Duration, key string, of HardLimit) *bucket {
	s := c.buckets[key]
	if s == nil {
		c.removeIdleBuckets(now)
		s = &bucket{updatedAt: now, fillTime: time.Duration(of.Burst / of.Rate * float64(time.Second))}
		if c.disabled.emptyStart {
			s.tokens = of.Burst
		}
		for _, h := range c.reservedMinima { // since each of the times on, by what was pledged since
			if h.fraction > 0 {
				s.tokens = max(s.tokens, min(of.Burst, (now-h.since).Seconds()*of.Rate)*h.fraction)
			}
		}
		c.buckets[key] = s
		return s
	}
	part := c.minReservedSince(s.updatedAt)
	if c.disabled.emptyStart {
		part = 1
	}
	s.tokens = min(part*of.Burst, s.tokens) + max(0, (now-s.updatedAt).Seconds())*part*of.Rate
	s.tokens = min(s.tokens, part*of.Burst)
	s.updatedAt = now
	return s
}

// bucketCleanupInterval is how many stores are kept before those of customers long gone are looked for.
const bucketCleanupInterval = 1024

// removeIdleBuckets forgets stores that nobody has asked for in ten minutes, and for longer than they take to
// fill, once there are many: each is as it would be anew.
func (c *Store) removeIdleBuckets(now time.Duration) {
	if n := len(c.buckets); n == 0 || n%bucketCleanupInterval != 0 {
		return
	}
	for k, s := range c.buckets {
		if now-s.updatedAt > max(10*time.Minute, s.fillTime) {
			delete(c.buckets, k)
		}
	}
}

func (c *Store) lend(now time.Duration, from string, w LeaseRequest) (Grant, bool) {
	s := c.refilledBucket(now, w.Key, w.Limit)
	units := min(w.Units, s.tokens)
	if units <= 0 || units < w.MinUnits {
		return Grant{}, false
	}
	s.tokens -= units
	c.lastToken++
	for len(c.loanOrder) > 0 && (c.loans[c.loanOrder[0]].expiresAt <= now || len(c.loanOrder) >= maxLoans) {
		delete(c.loans, c.loanOrder[0])
		c.loanOrder = c.loanOrder[1:]
	}
	c.loans[c.lastToken] = loan{from, w.Key, units, now + c.rules.Term}
	c.loanOrder = append(c.loanOrder, c.lastToken)
	return Grant{w.Key, c.lastToken, units}, true
}

// acceptReturn puts back what is returned of a grant, once.
func (c *Store) acceptReturn(now time.Duration, from string, g LeaseReturn) {
	l, ok := c.loans[g.Token]
	if !ok || l.holderID != from || l.key != g.Key || l.expiresAt <= now || !(g.Units > 0) {
		return
	}
	delete(c.loans, g.Token)
	if s := c.buckets[g.Key]; s != nil { // what nobody pledges any more goes as it is filled
		s.tokens += min(g.Units, l.units)
	}
}
