package quotalease

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lockflow/internal/simulation/vtime"
)

// simulation simulates, in virtual time, a group of instances that receive the requests of one customer, and their lease
// stores. Each instance and store has a clock with its own rate. Random faults depend on the seed.
type simulation struct {
	vtime.Clock
	rng       *rand.Rand
	rules     Rules
	limit     HardLimit
	maxUnits  float64 // maximum of a request
	nodes     []*node
	addresses []*storeAddress
	disabled  protections
	lastID    int

	meanDelay, slowFraction float64 // mean in seconds, and the fraction of messages that take up to 4 s instead
	lossFraction            float64
	weight                  func(node int) float64 // share of the traffic
	demand                  float64                // units requested per second

	// A leaky bucket of all admitted units, which drains at the bound's Rate. A level above the bound's Burst
	// violates the guarantee.
	bucketLevel, maxExcess float64
	bucketUpdatedAt        time.Duration
	admitted, requested    float64
	admissions             []admission
}

type admission struct {
	at    time.Duration
	units float64
}

// clock is the clock of a node or store, with its own rate and offset.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) at(t time.Duration) time.Duration {
	return time.Duration(float64(t)*c.rate) + c.offset
}

type node struct {
	w            *simulation
	holder       *Holder
	clock        clock
	address      int // index of the store address that the node reaches; negative if none
	incarnation  int
	stoppedUntil time.Duration // the process is stopped until then
	isKilled     bool
	callDelay    time.Duration // added to the latency of its calls
	lastRequest  uint64
}

// storeAddress is a network address at which a store may run.
type storeAddress struct {
	store *Store
	clock clock
	delay time.Duration // added to each round trip: half to the call, half to the reply

	replyDelay time.Duration // added to the latency of replies
}

func newSimulation(seed uint64, nodes int, r Rules, hardLimit HardLimit, w protections) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), rules: r, limit: hardLimit, maxUnits: 4, disabled: w, meanDelay: 0.002,
		weight: func(int) float64 { return 1 }, maxExcess: math.Inf(-1),
	}
	for range 2 {
		sim.addresses = append(sim.addresses, &storeAddress{clock: sim.clock()})
	}
	sim.replace(0)
	for range nodes {
		n := &node{w: sim, clock: sim.clock()}
		sim.nodes = append(sim.nodes, n)
		n.start()
	}
	return sim
}

func (sim *simulation) clock() clock {
	return clock{1 + sim.rules.MaxDrift*(2*sim.rng.Float64()-1), time.Duration(sim.rng.IntN(1000)) * time.Second}
}

// replace puts a new, empty store at an address.
func (sim *simulation) replace(i int) {
	sim.lastID++
	sim.addresses[i].store = NewStore(sim.rules, fmt.Sprint("store ", sim.lastID))
	sim.addresses[i].store.disabled = sim.disabled
}

func (n *node) now() time.Duration { return n.clock.at(n.w.Now()) }

// start starts a new incarnation of the node.
func (n *node) start() {
	n.w.lastID++
	n.incarnation++
	n.isKilled, n.stoppedUntil = false, 0
	n.holder = NewHolder(n.now(), n.w.rules, fmt.Sprint("instance ", n.w.lastID))
	n.holder.disabled = n.w.disabled
	n.tick(n.incarnation)
}

func (n *node) kill() {
	n.isKilled = true
	n.incarnation++
}

// runIfAlive calls run unless the given incarnation of the node has ended. If the process is stopped, the call is deferred
// until it resumes.
func (n *node) runIfAlive(incarnation int, run func()) {
	if n.incarnation != incarnation {
		return
	}
	if n.w.Now() < n.stoppedUntil {
		// A random delay makes the order of deferred calls random.
		n.w.At(n.stoppedUntil+time.Duration(n.w.rng.IntN(1000))*time.Microsecond, func() { n.runIfAlive(incarnation, run) })
		return
	}
	run()
}

func (n *node) tick(incarnation int) {
	n.runIfAlive(incarnation, func() {
		n.execute(n.holder.Tick(n.now()))
		n.w.After(TickInterval, func() { n.tick(incarnation) })
	})
}

func (n *node) execute(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Admit:
			n.w.admit(float64(a.RequestID&7) / 2)
		case Call:
			n.w.sendCall(n, *a.StoreCall)
		}
	}
}

// request sends a request to a node. The request's ID encodes its units: the lowest three bits are the number of half units.
func (sim *simulation) request(i int) {
	n := sim.nodes[i]
	if n.isKilled {
		return
	}
	halves := 1 + sim.rng.IntN(int(2*sim.maxUnits)-1)
	n.lastRequest++
	id := n.lastRequest<<3 | uint64(halves)
	sim.requested += float64(halves) / 2
	n.runIfAlive(n.incarnation, func() { n.execute(n.holder.RequestUnits(n.now(), id, "a", sim.limit, float64(halves)/2)) })
}

func (sim *simulation) admit(units float64) {
	bound := sim.rules.Bound(sim.limit)
	sim.bucketLevel = math.Max(0, sim.bucketLevel-bound.Rate*(sim.Now()-sim.bucketUpdatedAt).Seconds()) + units
	sim.bucketUpdatedAt = sim.Now()
	sim.maxExcess = math.Max(sim.maxExcess, sim.bucketLevel-bound.Burst)
	sim.admitted += units
	sim.admissions = append(sim.admissions, admission{sim.Now(), units})
}

// minuteExcess returns the maximum by which the units admitted in a minute exceed the hard limit, as a fraction of the
// units that the limit allows in a minute.
func (sim *simulation) minuteExcess() float64 {
	maxExcess := math.Inf(-1)
	allowed := sim.limit.Burst + 60*sim.limit.Rate
	sum, first := 0.0, 0
	for _, admitted := range sim.admissions {
		for sum += admitted.units; admitted.at-sim.admissions[first].at > time.Minute; first++ {
			sum -= sim.admissions[first].units
		}
		maxExcess = math.Max(maxExcess, sum/allowed-1)
	}
	return maxExcess
}

func (sim *simulation) latency() time.Duration {
	seconds := sim.meanDelay * sim.rng.ExpFloat64()
	if sim.rng.Float64() < sim.slowFraction {
		seconds = 4 * sim.rng.Float64()
	}
	return time.Duration(seconds * float64(time.Second))
}

// sendCall delivers a call to the store that the node currently reaches, and the reply to the node. Both may be delayed,
// lost or reordered.
func (sim *simulation) sendCall(n *node, call StoreCall) {
	if n.address < 0 || sim.rng.Float64() < sim.lossFraction {
		return
	}
	target, incarnation := sim.addresses[n.address], n.incarnation
	if target.store == nil {
		return
	}
	sim.After(sim.latency()+target.delay/2+n.callDelay, func() {
		if target.store == nil || sim.rng.Float64() < sim.lossFraction {
			return
		}
		reply := target.store.Handle(target.clock.at(sim.Now()), call)
		sim.After(sim.latency()+target.delay/2+target.replyDelay, func() {
			n.runIfAlive(incarnation, func() { n.execute(n.holder.HandleReply(n.now(), reply)) })
		})
	})
}

// generateLoad sends requests to random nodes until a given time. demand sets the units per second and may change
// meanwhile.
func (sim *simulation) generateLoad(until time.Duration) {
	var next func()
	next = func() {
		if sim.Now() >= until {
			return
		}
		if sim.demand <= 0 {
			sim.After(10*time.Millisecond, next)
			return
		}
		total := 0.0
		for i := range sim.nodes {
			total += sim.weight(i)
		}
		position := sim.rng.Float64() * total
		for i := range sim.nodes {
			if position -= sim.weight(i); position < 0 {
				sim.request(i)
				break
			}
		}
		sim.After(time.Duration(sim.rng.ExpFloat64()*sim.maxUnits/2/sim.demand*float64(time.Second)), next)
	}
	next()
}

func (sim *simulation) setReachableStore(address int, matches func(i int) bool) {
	for i, n := range sim.nodes {
		if matches(i) {
			n.address = address
		}
	}
}

func allNodes(int) bool { return true }
