// Package groupsize estimates how many instances share a service's servers, from what servers report
// of their load: where all instances send alike, a server holds as many times what one of them
// holds there as there are instances. It is for noticing that the group's size in the settings is
// wrong; nothing is decided by it. It does no I/O and takes the time as an argument.
package groupsize

import (
	"math"
	"time"
)

const (
	memory   = 2 * time.Minute // after which a report has lost 63% of its weight
	evidence = 40.0            // own attempts seen beside an answer that an estimate needs
	beyond   = 1.6             // times, or one over it, from which the told size is doubted
)

// Estimator follows one service. It is not safe for concurrent use.
type Estimator struct {
	configured float64
	active     float64 // sum over reports of what the server held
	own        float64 // and of what this instance held there, beside the attempt that was answered
	n          float64 // reports
	at         time.Duration
}

// New makes one for a group that is told to have so many instances.
func New(configured int) *Estimator { return &Estimator{configured: math.Max(1, float64(configured))} }

// Saw takes a report: the server held active requests, of which own are this instance's, the
// answered one not counted.
func (c *Estimator) Saw(now time.Duration, active, own float64) {
	if !(active >= 0) || !(own >= 0) || math.IsInf(active, 0) {
		return
	}
	c.fade(now)
	c.active += math.Max(active, own)
	c.own += own
	c.n++
}

func (c *Estimator) fade(now time.Duration) {
	if now > c.at {
		k := math.Exp(-(now - c.at).Seconds() / memory.Seconds())
		c.active, c.own, c.n, c.at = c.active*k, c.own*k, c.n*k, now
	}
}

// Seen is the least and the most that the group's size may be by the reports, which leave open
// whether a server counts the request that it answers; false while they say too little.
func (c *Estimator) Seen(now time.Duration) (low, high float64, ok bool) {
	c.fade(now)
	if c.own < evidence {
		return 0, 0, false
	}
	return math.Max(1, (c.active-c.n)/c.own), math.Max(1, c.active/c.own), true
}

// ContradictsConfiguration tells whether the reports speak against the told size.
func (c *Estimator) ContradictsConfiguration(now time.Duration) bool {
	low, high, ok := c.Seen(now)
	return ok && (low > beyond*c.configured || high < c.configured/beyond)
}
