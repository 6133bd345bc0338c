package quotalease

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lockflow/internal/simulation/vtime"
)

// world is a group of instances that one customer comes through, and counters, in virtual time.
// Its clocks have rates of their own; what goes wrong is drawn from the seed.
type world struct {
	vtime.Clock
	rng     *rand.Rand
	rules   Rules
	ceiling HardLimit
	units   float64 // most of a request
	nodes   []*node
	places  []*place
	without protections
	starts  int

	delay, tail float64 // s; mean, and part of calls that take up to 4 s
	loss        float64
	weight      func(node int) float64 // of the traffic
	asking      float64                // units a second

	// The bucket over everything that was sent: what it holds beyond Burst breaks the promise.
	level, worst float64
	at           time.Duration
	sent, asked  float64
	minute       []spent
}

type spent struct {
	at    time.Duration
	units float64
}

// clock is one that has its own rate and shows its own time.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) at(t time.Duration) time.Duration {
	return time.Duration(float64(t)*c.rate) + c.offset
}

type node struct {
	w       *world
	h       *Holder
	clock   clock
	place   int // of the counter that it reaches; below zero is none
	gen     int
	stopped time.Duration // expiresAt which the process does not run
	gone    bool
	late    time.Duration // of its calls
	n       uint64
}

// place is an address at which a counter answers, or none.
type place struct {
	c     *Store
	clock clock
	late  time.Duration // of calls and answers together

	answers time.Duration // by which its answers are later still
}

func newWorld(seed uint64, nodes int, r Rules, c HardLimit, w protections) *world {
	x := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), rules: r, ceiling: c, units: 4, without: w, delay: 0.002,
		weight: func(int) float64 { return 1 }, worst: math.Inf(-1),
	}
	for range 2 {
		x.places = append(x.places, &place{clock: x.clock()})
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

// replace puts a counter that knows nothing at a place.
func (w *world) replace(i int) {
	w.starts++
	w.places[i].c = NewStore(w.rules, fmt.Sprint("counter ", w.starts))
	w.places[i].c.disabled = w.without
}

func (n *node) now() time.Duration { return n.clock.at(n.w.Now()) }

// start has a process take the place of another one, or of none.
func (n *node) start() {
	n.w.starts++
	n.gen++
	n.gone, n.stopped = false, 0
	n.h = NewHolder(n.now(), n.w.rules, fmt.Sprint("instance ", n.w.starts))
	n.h.disabled = n.w.without
	n.tick(n.gen)
}

func (n *node) kill() {
	n.gone = true
	n.gen++
}

// when does something for this process once it runs, unless another one has taken its place.
func (n *node) when(gen int, do func()) {
	if n.gen != gen {
		return
	}
	if n.w.Now() < n.stopped {
		// What waited is taken up in no order.
		n.w.At(n.stopped+time.Duration(n.w.rng.IntN(1000))*time.Microsecond, func() { n.when(gen, do) })
		return
	}
	do()
}

func (n *node) tick(gen int) {
	n.when(gen, func() {
		n.do(n.h.Tick(n.now()))
		n.w.After(TickInterval, func() { n.tick(gen) })
	})
}

func (n *node) do(todo []Action) {
	for _, a := range todo {
		switch a.Kind {
		case Admit:
			n.w.spend(float64(a.RequestID&7) / 2)
		case Call:
			n.w.carry(n, *a.StoreCall)
		}
	}
}

// ask has a request come: its units are in its id.
func (w *world) ask(i int) {
	n := w.nodes[i]
	if n.gone {
		return
	}
	halves := 1 + w.rng.IntN(int(2*w.units)-1)
	n.n++
	id := n.n<<3 | uint64(halves)
	w.asked += float64(halves) / 2
	n.when(n.gen, func() { n.do(n.h.RequestUnits(n.now(), id, "a", w.ceiling, float64(halves)/2)) })
}

func (w *world) spend(units float64) {
	b := w.rules.Bound(w.ceiling)
	w.level = math.Max(0, w.level-b.Rate*(w.Now()-w.at).Seconds()) + units
	w.at = w.Now()
	w.worst = math.Max(w.worst, w.level-b.Burst)
	w.sent += units
	w.minute = append(w.minute, spent{w.Now(), units})
}

// over is the most that any minute holds beyond the ceiling, as a part of it.
func (w *world) over() float64 {
	most := math.Inf(-1)
	allowed := w.ceiling.Burst + 60*w.ceiling.Rate
	sum, first := 0.0, 0
	for _, s := range w.minute {
		for sum += s.units; s.at-w.minute[first].at > time.Minute; first++ {
			sum -= w.minute[first].units
		}
		most = math.Max(most, sum/allowed-1)
	}
	return most
}

func (w *world) latency() time.Duration {
	s := w.delay * w.rng.ExpFloat64()
	if w.rng.Float64() < w.tail {
		s = 4 * w.rng.Float64()
	}
	return time.Duration(s * float64(time.Second))
}

// carry takes a call to the counter that the instance reaches when it leaves, and the answer back,
// each late, lost or overtaken by others.
func (w *world) carry(n *node, q StoreCall) {
	if n.place < 0 || w.rng.Float64() < w.loss {
		return
	}
	p, gen := w.places[n.place], n.gen
	if p.c == nil {
		return
	}
	w.After(w.latency()+p.late/2+n.late, func() {
		if p.c == nil || w.rng.Float64() < w.loss {
			return
		}
		a := p.c.Handle(p.clock.at(w.Now()), q)
		w.After(w.latency()+p.late/2+p.answers, func() {
			n.when(gen, func() { n.do(n.h.HandleReply(n.now(), a)) })
		})
	})
}

// load has requests come by chance, until an end: so many units a second as asking says at the time.
func (w *world) load(until time.Duration) {
	var next func()
	next = func() {
		if w.Now() >= until {
			return
		}
		if w.asking <= 0 {
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
				w.ask(i)
				break
			}
		}
		w.After(time.Duration(w.rng.ExpFloat64()*w.units/2/w.asking*float64(time.Second)), next)
	}
	next()
}

func (w *world) reach(place int, of func(i int) bool) {
	for i, n := range w.nodes {
		if of(i) {
			n.place = place
		}
	}
}

func all(int) bool { return true }
