package rolloutsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lockflow/internal/canary"
	"lockflow/internal/instancestats"
)

// Constants of the model that no option changes.
const (
	interval       = 10 * time.Second // duration of a step
	failureRate    = 0.002            // fraction of requests that fail
	rejectionRate  = 0.001            // fraction of requests within quotas that are rejected
	warmUpTime     = time.Minute      // time constant of the exponential warm-up
	meanMemoryKB   = 200e3
	restartTime    = 20 * time.Second // time until an instance serves after a crash
	limitedShare   = 0.5              // fraction of the units that belongs to customers at their hard limits
	meanProcessAge = 48 * time.Hour   // of processes at the start
	burstInterval  = 600              // mean seconds between two bursts of an instance
	minZoneMembers = 6                // a zone needs several members to be compared with each other
	maxZones       = 3
	zoneFaultShare = 0.25 // fraction of the faults that affect only one zone
	allZones       = -1
	worldStream    = 57 // PCG stream of the random generator
)

// instance is one member of the simulated fleet.
type instance struct {
	id          string
	zone        int
	share       float64 // traffic relative to the mean
	burstFactor float64 // factor of the traffic while a burst lasts
	burstEndsAt time.Duration

	// Properties of the instance, as factors of the mean.
	failureFactor float64
	cpuFactor     float64
	memoryFactor  float64

	drift     float64       // offset of the logarithm of the failure rate; a mean-reverting random walk around 0
	startedAt time.Duration // start of the process
	servesAt  time.Duration // time from which the process serves, later than its start after a crash
	side      canary.Side
	total     instancestats.Statistics
}

// world is a simulated fleet and its environment.
type world struct {
	options   *Options
	zones     int
	rng       *rand.Rand
	instances []*instance
	now       time.Duration
	epoch     time.Time // wall-clock time at now = 0
	dayPhase  float64   // phase of the daily load, in radians
	tails     delayTails

	// The current or last fault of the environment.
	faultEndsAt       time.Duration
	faultZone         int // index of the affected zone, or allZones
	faultFailureShare float64
	faultDelayFactor  float64

	readings []canary.Reading // readings of the last step
	touched  float64          // requests to changed instances
	harmed   float64          // requests that the change is expected to lose
}

// newWorld returns a fleet whose processes have run for random times.
func newWorld(o *Options, seed uint64) *world {
	w := &world{
		options: o,
		rng:     rand.New(rand.NewPCG(seed, worldStream)),
		zones:   min(maxZones, max(1, o.Instances/minZoneMembers)),
		tails:   delayTails{},
		epoch:   time.Unix(1e9, 0),
	}
	w.dayPhase = w.rng.Float64() * 2 * math.Pi
	sum := 0.0
	for i := range o.Instances {
		x := &instance{id: fmt.Sprint("m", i), zone: i % w.zones, share: 1, burstFactor: 1}
		if o.Traffic != trafficEven {
			x.share = math.Exp(0.8 * w.rng.NormFloat64())
		}
		sum += x.share
		x.failureFactor = w.logNormal(0.5)
		x.cpuFactor = w.logNormal(0.15)
		x.memoryFactor = w.logNormal(0.2)
		x.startedAt = -time.Duration(w.rng.ExpFloat64() * float64(meanProcessAge))
		w.instances = append(w.instances, x)
	}
	for _, x := range w.instances {
		x.share *= float64(o.Instances) / sum
		x.total = instancestats.Statistics{Began: w.epoch.Add(x.startedAt), Requests: uint64(o.Rate * x.share * -x.startedAt.Seconds())}
		x.total.OfferedWeight = float64(x.total.Requests)
		x.total.Served = 0.995 * float64(x.total.Requests)
	}
	return w
}

// logNormal draws a factor with a median of 1.
func (w *world) logNormal(sigma float64) float64 { return math.Exp(sigma * w.rng.NormFloat64()) }

// restart starts a new process of an instance on the given side. The process serves after a delay.
func (w *world) restart(x *instance, side canary.Side, delay time.Duration) {
	x.side = side
	x.startedAt = w.now
	x.servesAt = w.now + delay
	x.total = instancestats.Statistics{Began: w.epoch.Add(w.now)}
}

// step simulates one interval, and returns the readings at its end, which are valid until the next step.
func (w *world) step() []canary.Reading {
	w.now += interval
	w.drawFault()
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
		isServing := w.serve(x, load, changedShare)
		w.readings = append(w.readings, canary.Reading{
			Member:     x.id,
			Side:       x.side,
			IsServing:  isServing,
			Statistics: x.total,
			Weight:     x.share,
		})
	}
	return w.readings
}

// drawFault randomly starts a fault of the environment if none is active.
func (w *world) drawFault() {
	if w.now <= w.faultEndsAt || w.rng.Float64() >= interval.Seconds()/w.options.FaultInterval.Seconds() {
		return
	}
	w.faultEndsAt = w.now + time.Duration((0.5+w.rng.ExpFloat64())*3*float64(time.Minute))
	w.faultFailureShare = 0.1 * w.rng.Float64()
	w.faultDelayFactor = 1 + 2*w.rng.Float64()
	w.faultZone = allZones
	if w.rng.Float64() < zoneFaultShare {
		w.faultZone = w.rng.IntN(w.zones)
	}
}

// hasFault reports whether a fault of the environment affects an instance.
func (w *world) hasFault(x *instance) bool {
	return w.now < w.faultEndsAt && (w.faultZone == allZones || w.faultZone == x.zone)
}

// drawBurst returns the factor of an instance's traffic, which is above 1 during a burst. It randomly starts a new burst
// once the last one has ended.
func (w *world) drawBurst(x *instance) float64 {
	if w.now >= x.burstEndsAt {
		x.burstFactor = 1
		if w.rng.Float64() < interval.Seconds()/burstInterval {
			x.burstFactor = 2 + 3*w.rng.Float64()
			x.burstEndsAt = w.now + time.Duration(w.rng.ExpFloat64()*float64(time.Minute))
		}
	}
	return x.burstFactor
}
