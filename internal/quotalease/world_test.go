package quotalease

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lockflow/internal/simulation/vtime"
)

// world is a group of instances through which one customer sends, and lease stores, in virtual time.
// Each clock has its own rate; faults are drawn from the seed.
type world struct {
	vtime.Clock
	rng       *rand.Rand
	rules     Rules
	limit     HardLimit
	maxUnits  float64 // of a request
	nodes     []*node
	addresses []*address
	disabled  protections
	starts    int

	meanDelay, tail float64 // s; mean, and fraction of calls that take up to 4 s
	loss            float64
	weight          func(node int) float64 // of the traffic
	demand          float64                // units a second

	// The bucket over all admitted requests: what it holds above the bound's Burst breaks the guarantee.
	level, maxExcess    float64
	at                  time.Duration
	admitted, requested float64
	log                 []admission
}

type admission struct {
	at    time.Duration
	units float64
}

// clock has its own rate and shows its own time.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) at(t time.Duration) time.Duration {
	return time.Duration(float64(t)*c.rate) + c.offset
}

type node struct {
	w            *world
	holder       *Holder
	clock        clock
	address      int // of the store that it reaches; below zero is none
	incarnation  int
	stoppedUntil time.Duration // the process does not run before
	isKilled     bool
	callDelay    time.Duration // added to its calls
	lastRequest  uint64
}

// address is where a store may reply.
type address struct {
	store *Store
	clock clock
	delay time.Duration // added to calls and replies together

	replyDelay time.Duration // added to replies
}

func newWorld(seed uint64, nodes int, r Rules, c HardLimit, w protections) *world {
	x := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), rules: r, limit: c, maxUnits: 4, disabled: w, meanDelay: 0.002,
		weight: func(int) float64 { return 1 }, maxExcess: math.Inf(-1),
	}
	for range 2 {
		x.addresses = append(x.addresses, &address{clock: x.clock()})
	}
	x.replace(0)
	for range nodes {
		n := &node{w: x, clock: x.clock()}
		x.nodes = append(x.nodes, n)
		n.start()
	}
	return x
}

func (w *world) clock() clock {
	return clock{1 + w.rules.MaxDrift*(2*w.rng.Float64()-1), time.Duration(w.rng.IntN(1000)) * time.Second}
}

// replace puts an empty store at an address.
func (w *world) replace(i int) {
	w.starts++
	w.addresses[i].store = NewStore(w.rules, fmt.Sprint("counter ", w.starts))
	w.addresses[i].store.disabled = w.disabled
}

func (n *node) now() time.Duration { return n.clock.at(n.w.Now()) }

// start starts a process of the node.
func (n *node) start() {
	n.w.starts++
	n.incarnation++
	n.isKilled, n.stoppedUntil = false, 0
	n.holder = NewHolder(n.now(), n.w.rules, fmt.Sprint("instance ", n.w.starts))
	n.holder.disabled = n.w.disabled
	n.tick(n.incarnation)
}

func (n *node) kill() {
	n.isKilled = true
	n.incarnation++
}

// when calls do in this process, after it has resumed if it is stopped, unless the process has ended.
func (n *node) when(incarnation int, do func()) {
	if n.incarnation != incarnation {
		return
	}
	if n.w.Now() < n.stoppedUntil {
		// Deferred calls are made in random order.
		n.w.At(n.stoppedUntil+time.Duration(n.w.rng.IntN(1000))*time.Microsecond, func() { n.when(incarnation, do) })
		return
	}
	do()
}

func (n *node) tick(incarnation int) {
	n.when(incarnation, func() {
		n.do(n.holder.Tick(n.now()))
		n.w.After(TickInterval, func() { n.tick(incarnation) })
	})
}

func (n *node) do(todo []Action) {
	for _, a := range todo {
		switch a.Kind {
		case Admit:
			n.w.admit(float64(a.RequestID&7) / 2)
		case Call:
			n.w.transfer(n, *a.StoreCall)
		}
	}
}

// request sends a request to a node; its ID contains its units.
func (w *world) request(i int) {
	n := w.nodes[i]
	if n.isKilled {
		return
	}
	halves := 1 + w.rng.IntN(int(2*w.maxUnits)-1)
	n.lastRequest++
	id := n.lastRequest<<3 | uint64(halves)
	w.requested += float64(halves) / 2
	n.when(n.incarnation, func() { n.do(n.holder.RequestUnits(n.now(), id, "a", w.limit, float64(halves)/2)) })
}

func (w *world) admit(units float64) {
	b := w.rules.Bound(w.limit)
	w.level = math.Max(0, w.level-b.Rate*(w.Now()-w.at).Seconds()) + units
	w.at = w.Now()
	w.maxExcess = math.Max(w.maxExcess, w.level-b.Burst)
	w.admitted += units
	w.log = append(w.log, admission{w.Now(), units})
}

// minuteExcess returns by how much any minute exceeds the hard limit, as a fraction of what that allows.
func (w *world) minuteExcess() float64 {
	maxExcess := math.Inf(-1)
	allowed := w.limit.Burst + 60*w.limit.Rate
	sum, first := 0.0, 0
	for _, s := range w.log {
		for sum += s.units; s.at-w.log[first].at > time.Minute; first++ {
			sum -= w.log[first].units
		}
		maxExcess = math.Max(maxExcess, sum/allowed-1)
	}
	return maxExcess
}

func (w *world) latency() time.Duration {
	s := w.meanDelay * w.rng.ExpFloat64()
	if w.rng.Float64() < w.tail {
		s = 4 * w.rng.Float64()
	}
	return time.Duration(s * float64(time.Second))
}

// transfer takes a call to the store that the node reaches now, and the reply back. Both may be delayed, lost
// or reordered.
func (w *world) transfer(n *node, q StoreCall) {
	if n.address < 0 || w.rng.Float64() < w.loss {
		return
	}
	p, incarnation := w.addresses[n.address], n.incarnation
	if p.store == nil {
		return
	}
	w.After(w.latency()+p.delay/2+n.callDelay, func() {
		if p.store == nil || w.rng.Float64() < w.loss {
			return
		}
		a := p.store.Handle(p.clock.at(w.Now()), q)
		w.After(w.latency()+p.delay/2+p.replyDelay, func() {
			n.when(incarnation, func() { n.do(n.holder.HandleReply(n.now(), a)) })
		})
	})
}

// load sends requests at random until an end, as many units a second as demand is at the time.
func (w *world) load(until time.Duration) {
	var next func()
	next = func() {
		if w.Now() >= until {
			return
		}
		if w.demand <= 0 {
			w.After(10*time.Millisecond, next)
			return
		}
		total := 0.0
		for i := range w.nodes {
			total += w.weight(i)
		}
		at := w.rng.Float64() * total
		for i := range w.nodes {
			if at -= w.weight(i); at < 0 {
				w.request(i)
				break
			}
		}
		w.After(time.Duration(w.rng.ExpFloat64()*w.maxUnits/2/w.demand*float64(time.Second)), next)
	}
	next()
}

func (w *world) reach(address int, of func(i int) bool) {
	for i, n := range w.nodes {
		if of(i) {
			n.address = address
		}
	}
}

func all(int) bool { return true }
