package rolloutsim

import (
	"cmp"
	"math"
	"time"

	"lockflow/internal/canary"
)

const (
	meanCrashInterval = 30 * 24 * time.Hour
	heavyShare        = 0.1 // fraction of the requests whose priority weight is heavyWeight
	heavyWeight       = 5
	requestCPU        = 2e6 // ns of CPU time
)

// conditions determine an instance's behaviour in one interval.
type conditions struct {
	load          float64 // factor of the daily load, around 1
	age           time.Duration
	warmUp        float64 // 1 for a new process, falling to 0
	failureShare  float64 // fraction of requests that fail
	harmShare     float64 // part of failureShare that the change causes
	delayFactor   float64
	memoryGrowth  float64 // factor of the memory
	overLimit     float64 // relative increase of the units of customers at their hard limits
	extraCPU      float64 // relative increase of the CPU time of a request
	crashInterval time.Duration
}

// serve simulates an instance for an interval, and reports whether it serves at the end.
func (w *world) serve(x *instance, load, changedShare float64) bool {
	mean := w.options.Rate * interval.Seconds() * load * x.share
	if w.options.Traffic == trafficBursty {
		mean *= w.drawBurst(x) * w.logNormal(0.3)
	}
	requests := poisson(w.rng, mean)
	if w.now < x.servesAt {
		w.countMissed(x, requests)
		return false
	}
	c := w.conditionsOf(x, load, changedShare)
	if x.side == canary.SideNew {
		w.touched += float64(requests)
	}
	w.count(x, requests, &c)
	if w.rng.Float64() < interval.Seconds()/c.crashInterval.Seconds() {
		w.restart(x, x.side, restartTime)
		return false
	}
	return true
}

// countMissed counts the requests to an instance that is down. If the change causes crashes, requests to a changed
// instance count as lost by the change.
func (w *world) countMissed(x *instance, requests int) {
	if x.side == canary.SideNew && w.options.Harm.CrashInterval > 0 {
		w.touched += float64(requests)
		w.harmed += float64(requests)
	}
}

// conditionsOf draws the conditions of an instance for one interval.
func (w *world) conditionsOf(x *instance, load, changedShare float64) conditions {
	harm := &w.options.Harm
	c := conditions{load: load, age: w.now - x.startedAt, memoryGrowth: 1, crashInterval: meanCrashInterval}
	c.warmUp = math.Exp(-c.age.Seconds() / warmUpTime.Seconds())
	x.drift += -0.03*x.drift + 0.08*w.rng.NormFloat64()
	c.failureShare = failureRate*x.failureFactor*math.Exp(x.drift) + 0.01*c.warmUp
	c.delayFactor = (1 + 0.5*c.warmUp) * (1 + 0.1*(load-1)) * (1 + 0.03*(x.burstFactor-1))
	if w.hasFault(x) {
		c.failureShare += w.faultFailureShare
		c.delayFactor *= w.faultDelayFactor
	}
	if x.side == canary.SideNew && c.age >= harm.After && changedShare >= harm.MinChangedShare {
		c.harmShare = harm.FailureShare
		c.overLimit = harm.OverLimit
		c.extraCPU = harm.ExtraCPU
		c.delayFactor *= cmp.Or(max(harm.DelayFactor, 0), 1)
		c.crashInterval = cmp.Or(max(harm.CrashInterval, 0), c.crashInterval)
		c.memoryGrowth += harm.MemoryGrowth * c.age.Minutes()
	}
	// Units above hard limits overload the app servers, which all instances share, so that unchanged instances see
	// failures too.
	c.harmShare += harm.FleetFailureShare*changedShare + 0.5*harm.OverLimit*limitedShare*changedShare
	c.failureShare += c.harmShare
	return c
}

// count adds the outcomes of requests to an instance's statistics.
func (w *world) count(x *instance, requests int, c *conditions) {
	rng := w.rng
	total := &x.total
	overQuota := binomial(rng, requests, 0.05*(0.75+0.25*x.burstFactor)) // only one of many customers sends a burst
	rejected := binomial(rng, requests-overQuota, rejectionRate*(1+2*c.warmUp))
	forwarded := requests - overQuota - rejected
	failed := binomial(rng, forwarded, c.failureShare)
	late := w.tails.forFactor(c.delayFactor).draw(rng, forwarded-failed, &total.Delays)
	w.harmed += float64(forwarded) * c.harmShare
	if w.options.Harm.DelayFactor > 0 && x.side == canary.SideNew {
		w.harmed += float64(late)
	}
	heavy := binomial(rng, requests-overQuota, heavyShare)
	lostHeavy := binomial(rng, heavy, float64(rejected+failed+late)/float64(max(requests-overQuota, 1)))
	weight := float64(requests - overQuota + (heavyWeight-1)*heavy)
	total.OfferedWeight += weight
	total.Served += weight - float64(rejected+failed+late+(heavyWeight-1)*lostHeavy)
	total.Requests += uint64(requests)
	total.Rejected += uint64(rejected + overQuota)
	total.OverQuota += uint64(overQuota)
	total.Failed += uint64(failed)
	total.Late += uint64(late)
	total.Units += float64(forwarded) * (1 + limitedShare*c.overLimit) * (1 + 0.02*rng.NormFloat64())
	total.CPU += time.Duration(float64(requests) * requestCPU * x.cpuFactor * (1 + 0.3*c.warmUp + c.extraCPU) * w.logNormal(0.08))
	total.MemoryKB = int(meanMemoryKB * x.memoryFactor * c.memoryGrowth * (1 - 0.4*math.Exp(-c.age.Seconds()/300)) * (0.95 + 0.05*c.load) * w.logNormal(0.02))
}
