package rolloutsim

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lockflow/internal/canary"
	"lockflow/internal/instancestats"
)

// What the world is like where no option says otherwise.
const (
	interval  = 10 * time.Second
	baseFails = 0.002
	baseTurns = 0.001 // refused inside quotas
	coldFor   = time.Minute
	memoryKB  = 200e3
	down      = 20 * time.Second // after a crash
	atCeiling = 0.5              // part of the units that are of customers at their ceilings
)

// Harm is what a change does to an instance that has it.
type Harm struct {
	Name   string
	Fails  float64       // more of the requests
	After  time.Duration // of its life, from when on
	Dose   float64       // of the fleet changed, from which on
	Slower float64       // times
	Ceil   float64       // beyond ceilings, of their part
	Grows  float64       // memory, a minute
	Crash  time.Duration // between crashes
	Hammer float64       // more failures for all, at a fleet that is wholly changed; its own figures tell nothing
	Costs  float64       // more CPU a request, relative
}

// Harms are what is played; the first does none. The last three are not in the list.
var Harms = []Harm{
	{Name: "none"},
	{Name: "fails 10%", Fails: 0.1},
	{Name: "fails 5%", Fails: 0.05},
	{Name: "p99 twice", Slower: 2},
	{Name: "ceilings +30%", Ceil: 0.3},
	{Name: "memory grows", Grows: 0.02},
	{Name: "crash an hour", Crash: time.Hour},
	{Name: "fails 5% after 4 min", Fails: 0.05, After: 4 * time.Minute},
	{Name: "fails 10% from half on", Fails: 0.1, Dose: 0.5},
	{Name: "hammers servers", Hammer: 0.1},
}

// Traffics are the ways in which requests come.
var Traffics = []string{"even", "uneven", "bursty"}

type instance struct {
	id                 string
	zone               int
	share              float64 // of the mean traffic
	burst              float64
	bursts             time.Duration // until then
	fails, cost, holds float64       // what it has of its own, as factors
	drift              float64
	began              time.Duration
	upAt               time.Duration
	side               canary.Side
	total              instancestats.Statistics
}

type world struct {
	o         *Options
	zones     int // one for fewer than six members, as a zone needs some to be held against each other
	rng       *rand.Rand
	all       []*instance
	now       time.Duration
	day       float64
	tails     tails
	faultEnds time.Duration
	faultZone int // -1 is all
	faultFail float64
	faultSlow float64
	readings  []canary.Reading
	touched   float64 // requests that went to changed instances
	harmed    float64 // those expected to be lost by the change alone
	epoch     time.Time
}

func newWorld(o *Options, seed uint64) *world {
	w := &world{o: o, rng: rand.New(rand.NewPCG(seed, 57)), zones: min(3, max(1, o.Instances/6)), tails: tails{}, epoch: time.Unix(1e9, 0)}
	w.day = w.rng.Float64() * 2 * math.Pi
	sum := 0.0
	for i := range o.Instances {
		x := &instance{id: fmt.Sprint("m", i), zone: i % w.zones, share: 1, burst: 1}
		if o.Traffic != "even" { // some get several times the mean
			x.share = math.Exp(0.8 * w.rng.NormFloat64())
		}
		sum += x.share
		x.fails, x.cost, x.holds = w.around(0.5), w.around(0.15), w.around(0.2)
		x.began = -time.Duration(w.rng.ExpFloat64() * float64(48*time.Hour))
		w.all = append(w.all, x)
	}
	for _, x := range w.all {
		x.share *= float64(o.Instances) / sum
		x.total = instancestats.Statistics{Began: w.epoch.Add(x.began), Requests: uint64(o.Rate * x.share * -x.began.Seconds())}
		x.total.OfferedWeight, x.total.Served = float64(x.total.Requests), 0.995*float64(x.total.Requests)
	}
	return w
}

func (w *world) around(sigma float64) float64 { return math.Exp(sigma * w.rng.NormFloat64()) }

// restart has an instance begin anew on a side.
func (w *world) restart(x *instance, side canary.Side, off time.Duration) {
	x.side, x.began, x.upAt = side, w.now, w.now+off
	x.total = instancestats.Statistics{Began: w.epoch.Add(w.now)}
}

// step plays an interval and tells what every instance says at its end.
func (w *world) step() []canary.Reading {
	w.now += interval
	if w.now > w.faultEnds && w.rng.Float64() < interval.Seconds()/w.o.FaultEvery.Seconds() {
		w.faultEnds = w.now + time.Duration((0.5+w.rng.ExpFloat64())*3*float64(time.Minute))
		w.faultFail, w.faultSlow, w.faultZone = 0.1*w.rng.Float64(), 1+2*w.rng.Float64(), -1
		if w.rng.Float64() < 0.25 {
			w.faultZone = w.rng.IntN(w.zones)
		}
	}
	load := 1 + 0.4*math.Sin(w.day+2*math.Pi*w.now.Hours()/24)
	changed := 0
	for _, x := range w.all {
		if x.side == canary.SideNew {
			changed++
		}
	}
	dose := float64(changed) / float64(len(w.all))
	w.readings = w.readings[:0]
	for _, x := range w.all {
		w.readings = append(w.readings, canary.Reading{Member: x.id, Side: x.side, IsServing: w.play(x, load, dose), Statistics: x.total, Weight: x.share})
	}
	return w.readings
}

// burst is by how much an instance gets more than usual now.
func (w *world) burst(x *instance) float64 {
	if w.now >= x.bursts {
		x.burst = 1
		if w.rng.Float64() < interval.Seconds()/600 {
			x.burst, x.bursts = 2+3*w.rng.Float64(), w.now+time.Duration(w.rng.ExpFloat64()*float64(time.Minute))
		}
	}
	return x.burst
}

// missed counts what was asked of an instance that is down.
func (w *world) missed(x *instance, requests int) {
	if x.side == canary.SideNew && w.o.Harm.Crash > 0 {
		w.touched, w.harmed = w.touched+float64(requests), w.harmed+float64(requests)
	}
}

// play has one instance serve for an interval.
func (w *world) play(x *instance, load, dose float64) bool {
	h, r := &w.o.Harm, w.rng
	n := w.o.Rate * interval.Seconds() * load * x.share
	if w.o.Traffic == "bursty" {
		n *= w.burst(x) * w.around(0.3)
	}
	requests := poisson(r, n)
	if w.now < x.upAt {
		w.missed(x, requests)
		return false
	}
	age := w.now - x.began
	cold := math.Exp(-age.Seconds() / coldFor.Seconds())
	x.drift += -0.03*x.drift + 0.08*r.NormFloat64()
	fail := baseFails*x.fails*math.Exp(x.drift) + 0.01*cold
	slower := (1 + 0.5*cold) * (1 + 0.1*(load-1)) * (1 + 0.03*(x.burst-1))
	if w.now < w.faultEnds && (w.faultZone < 0 || w.faultZone == x.zone) {
		fail, slower = fail+w.faultFail, slower*w.faultSlow
	}
	crash := 30 * 24 * time.Hour
	part, grown, over, costs := 0.0, 1.0, 0.0, 0.0
	if x.side == canary.SideNew && age >= h.After && dose >= h.Dose {
		part, over, costs = h.Fails, h.Ceil, h.Costs
		slower *= cmp.Or(max(h.Slower, 0), 1)
		crash = cmp.Or(max(h.Crash, 0), crash)
		grown += h.Grows * age.Minutes()
	}
	// What passes ceilings overloads the servers of all.
	part += h.Hammer*dose + 0.5*h.Ceil*atCeiling*dose
	fail += part
	if x.side == canary.SideNew {
		w.touched += float64(requests)
	}

	f := &x.total
	beyond := binomial(r, requests, 0.05*(0.75+0.25*x.burst)) // a burst is one of many customers'
	turned := binomial(r, requests-beyond, baseTurns*(1+2*cold))
	rest := requests - beyond - turned
	failed := binomial(r, rest, fail)
	t := w.tails.of(slower)
	late := t.draw(r, rest-failed, &f.Delays)
	w.harmed += float64(rest) * part
	if h.Slower > 0 && x.side == canary.SideNew {
		w.harmed += float64(late)
	}
	dear := binomial(r, requests-beyond, 0.1) // worth five
	lostDear := binomial(r, dear, float64(turned+failed+late)/float64(max(requests-beyond, 1)))
	worth := float64(requests - beyond + 4*dear)
	f.OfferedWeight += worth
	f.Served += worth - float64(turned+failed+late+4*lostDear)
	f.Requests += uint64(requests)
	f.Rejected += uint64(turned + beyond)
	f.OverQuota += uint64(beyond)
	f.Failed += uint64(failed)
	f.Late += uint64(late)
	f.Units += float64(rest) * (1 + atCeiling*over) * (1 + 0.02*r.NormFloat64())
	f.CPU += time.Duration(float64(requests) * 2e6 * x.cost * (1 + 0.3*cold + costs) * w.around(0.08))
	f.MemoryKB = int(memoryKB * x.holds * grown * (1 - 0.4*math.Exp(-age.Seconds()/300)) * (0.95 + 0.05*load) * w.around(0.02))
	if r.Float64() < interval.Seconds()/crash.Seconds() {
		w.restart(x, x.side, down)
		return false
	}
	return true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
