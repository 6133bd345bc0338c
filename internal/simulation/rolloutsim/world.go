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
	interval      = 10 * time.Second
	failureRate   = 0.002
	rejectionRate = 0.001 // refused inside quotas
	warmUpTime    = time.Minute
	meanMemoryKB  = 200e3
	restartTime   = 20 * time.Second // after a crash
	limitedShare  = 0.5              // part of the units that are of customers at their ceilings
)

// Harm is what a change does to an instance that has it.
type Harm struct {
	Name              string
	FailureShare      float64       // more of the requests
	After             time.Duration // of its life, from when on
	MinChangedShare   float64       // of the fleet changed, from which on
	DelayFactor       float64       // times
	OverLimit         float64       // beyond ceilings, of their part
	MemoryGrowth      float64       // memory, a minute
	CrashInterval     time.Duration // between crashes
	FleetFailureShare float64       // more failures for all, at a fleet that is wholly changed; its own figures tell nothing
	ExtraCPU          float64       // more CPU a request, relative
}

// Harms are what is played; the first does none. The last three are not in the list.
var Harms = []Harm{
	{Name: "none"},
	{Name: "fails 10%", FailureShare: 0.1},
	{Name: "fails 5%", FailureShare: 0.05},
	{Name: "p99 twice", DelayFactor: 2},
	{Name: "ceilings +30%", OverLimit: 0.3},
	{Name: "memory grows", MemoryGrowth: 0.02},
	{Name: "crash an hour", CrashInterval: time.Hour},
	{Name: "fails 5% after 4 min", FailureShare: 0.05, After: 4 * time.Minute},
	{Name: "fails 10% from half on", FailureShare: 0.1, MinChangedShare: 0.5},
	{Name: "hammers servers", FleetFailureShare: 0.1},
}

// Traffics are the ways in which requests come.
var Traffics = []string{"even", "uneven", "bursty"}

type instance struct {
	id                                     string
	zone                                   int
	share                                  float64 // of the mean traffic
	burstFactor                            float64
	burstEndsAt                            time.Duration // until then
	failureFactor, cpuFactor, memoryFactor float64       // what it has of its own, as factors
	drift                                  float64
	startedAt                              time.Duration
	servesAt                               time.Duration
	side                                   canary.Side
	total                                  instancestats.Statistics
}

type world struct {
	options           *Options
	zones             int // one for fewer than six members, as a zone needs some to be held against each other
	rng               *rand.Rand
	instances         []*instance
	now               time.Duration
	dayPhase          float64
	tails             delayTails
	faultEndsAt       time.Duration
	faultZone         int // -1 is all
	faultFailureShare float64
	faultDelayFactor  float64
	readings          []canary.Reading
	touched           float64 // requests that went to changed instances
	harmed            float64 // those expected to be lost by the change alone
	epoch             time.Time
}

func newWorld(o *Options, seed uint64) *world {
	w := &world{options: o, rng: rand.New(rand.NewPCG(seed, 57)), zones: min(3, max(1, o.Instances/6)), tails: delayTails{}, epoch: time.Unix(1e9, 0)}
	w.dayPhase = w.rng.Float64() * 2 * math.Pi
	sum := 0.0
	for i := range o.Instances {
		x := &instance{id: fmt.Sprint("m", i), zone: i % w.zones, share: 1, burstFactor: 1}
		if o.Traffic != "even" { // some get several times the mean
			x.share = math.Exp(0.8 * w.rng.NormFloat64())
		}
		sum += x.share
		x.failureFactor, x.cpuFactor, x.memoryFactor = w.logNormal(0.5), w.logNormal(0.15), w.logNormal(0.2)
		x.startedAt = -time.Duration(w.rng.ExpFloat64() * float64(48*time.Hour))
		w.instances = append(w.instances, x)
	}
	for _, x := range w.instances {
		x.share *= float64(o.Instances) / sum
		x.total = instancestats.Statistics{Began: w.epoch.Add(x.startedAt), Requests: uint64(o.Rate * x.share * -x.startedAt.Seconds())}
		x.total.OfferedWeight, x.total.Served = float64(x.total.Requests), 0.995*float64(x.total.Requests)
	}
	return w
}

func (w *world) logNormal(sigma float64) float64 { return math.Exp(sigma * w.rng.NormFloat64()) }

// restart has an instance begin anew on a side.
func (w *world) restart(x *instance, side canary.Side, off time.Duration) {
	x.side, x.startedAt, x.servesAt = side, w.now, w.now+off
	x.total = instancestats.Statistics{Began: w.epoch.Add(w.now)}
}

// step plays an interval and tells what every instance says at its end.
func (w *world) step() []canary.Reading {
	w.now += interval
	if w.now > w.faultEndsAt && w.rng.Float64() < interval.Seconds()/w.options.FaultInterval.Seconds() {
		w.faultEndsAt = w.now + time.Duration((0.5+w.rng.ExpFloat64())*3*float64(time.Minute))
		w.faultFailureShare, w.faultDelayFactor, w.faultZone = 0.1*w.rng.Float64(), 1+2*w.rng.Float64(), -1
		if w.rng.Float64() < 0.25 {
			w.faultZone = w.rng.IntN(w.zones)
		}
	}
	load := 1 + 0.4*math.Sin(w.dayPhase+2*math.Pi*w.now.Hours()/24)
	changed := 0
	for _, x := range w.instances {
		if x.side == canary.SideNew {
			changed++
		}
	}
	changedShare := float64(changed) / float64(len(w.instances))
	w.readings = w.readings[:0]
	for _, x := range w.instances {
		w.readings = append(w.readings, canary.Reading{Member: x.id, Side: x.side, IsServing: w.serve(x, load, changedShare), Statistics: x.total, Weight: x.share})
	}
	return w.readings
}

// burst is by how much an instance gets more than usual now.
func (w *world) burst(x *instance) float64 {
	if w.now >= x.burstEndsAt {
		x.burstFactor = 1
		if w.rng.Float64() < interval.Seconds()/600 {
			x.burstFactor, x.burstEndsAt = 2+3*w.rng.Float64(), w.now+time.Duration(w.rng.ExpFloat64()*float64(time.Minute))
		}
	}
	return x.burstFactor
}

// countMissed counts what was asked of an instance that is down.
func (w *world) countMissed(x *instance, requests int) {
	if x.side == canary.SideNew && w.options.Harm.CrashInterval > 0 {
		w.touched, w.harmed = w.touched+float64(requests), w.harmed+float64(requests)
	}
}

// serve has one instance serve for an interval.
func (w *world) serve(x *instance, load, changedShare float64) bool {
	harm, rng := &w.options.Harm, w.rng
	mean := w.options.Rate * interval.Seconds() * load * x.share
	if w.options.Traffic == "bursty" {
		mean *= w.burst(x) * w.logNormal(0.3)
	}
	requests := poisson(rng, mean)
	if w.now < x.servesAt {
		w.countMissed(x, requests)
		return false
	}
	age := w.now - x.startedAt
	warmUp := math.Exp(-age.Seconds() / warmUpTime.Seconds())
	x.drift += -0.03*x.drift + 0.08*rng.NormFloat64()
	failureShare := failureRate*x.failureFactor*math.Exp(x.drift) + 0.01*warmUp
	delayFactor := (1 + 0.5*warmUp) * (1 + 0.1*(load-1)) * (1 + 0.03*(x.burstFactor-1))
	if w.now < w.faultEndsAt && (w.faultZone < 0 || w.faultZone == x.zone) {
		failureShare, delayFactor = failureShare+w.faultFailureShare, delayFactor*w.faultDelayFactor
	}
	crashInterval := 30 * 24 * time.Hour
	harmShare, memoryGrowth, overLimit, extraCPU := 0.0, 1.0, 0.0, 0.0
	if x.side == canary.SideNew && age >= harm.After && changedShare >= harm.MinChangedShare {
		harmShare, overLimit, extraCPU = harm.FailureShare, harm.OverLimit, harm.ExtraCPU
		delayFactor *= cmp.Or(max(harm.DelayFactor, 0), 1)
		crashInterval = cmp.Or(max(harm.CrashInterval, 0), crashInterval)
		memoryGrowth += harm.MemoryGrowth * age.Minutes()
	}
	// What passes ceilings overloads the servers of all.
	harmShare += harm.FleetFailureShare*changedShare + 0.5*harm.OverLimit*limitedShare*changedShare
	failureShare += harmShare
	if x.side == canary.SideNew {
		w.touched += float64(requests)
	}

	total := &x.total
	overQuota := binomial(rng, requests, 0.05*(0.75+0.25*x.burstFactor)) // a burst is one of many customers'
	rejected := binomial(rng, requests-overQuota, rejectionRate*(1+2*warmUp))
	forwarded := requests - overQuota - rejected
	failed := binomial(rng, forwarded, failureShare)
	t := w.tails.of(delayFactor)
	late := t.draw(rng, forwarded-failed, &total.Delays)
	w.harmed += float64(forwarded) * harmShare
	if harm.DelayFactor > 0 && x.side == canary.SideNew {
		w.harmed += float64(late)
	}
	heavy := binomial(rng, requests-overQuota, 0.1) // worth five
	lostHeavy := binomial(rng, heavy, float64(rejected+failed+late)/float64(max(requests-overQuota, 1)))
	weight := float64(requests - overQuota + 4*heavy)
	total.OfferedWeight += weight
	total.Served += weight - float64(rejected+failed+late+4*lostHeavy)
	total.Requests += uint64(requests)
	total.Rejected += uint64(rejected + overQuota)
	total.OverQuota += uint64(overQuota)
	total.Failed += uint64(failed)
	total.Late += uint64(late)
	total.Units += float64(forwarded) * (1 + limitedShare*overLimit) * (1 + 0.02*rng.NormFloat64())
	total.CPU += time.Duration(float64(requests) * 2e6 * x.cpuFactor * (1 + 0.3*warmUp + extraCPU) * w.logNormal(0.08))
	total.MemoryKB = int(meanMemoryKB * x.memoryFactor * memoryGrowth * (1 - 0.4*math.Exp(-age.Seconds()/300)) * (0.95 + 0.05*load) * w.logNormal(0.02))
	if rng.Float64() < interval.Seconds()/crashInterval.Seconds() {
		w.restart(x, x.side, restartTime)
		return false
	}
	return true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
