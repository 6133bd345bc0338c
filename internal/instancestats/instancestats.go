// Package instancestats is what one instance has counted of its own service since its process began, in a
// form that others can compare: all of it only grows, so that what a span of time brought is the
// difference of two readings. It does no I/O.
package instancestats

import (
	"math"
	"math/bits"
	"time"
)

// Delays are counts of answers by how long they took: bucket i holds those under Edge(i) and not under
// Edge(i-1), the last all that took longer.
type Delays [delayBuckets]uint64

const (
	delayBuckets = 64
	delaySteps   = 4 // buckets for each doubling
	minDelay     = time.Millisecond
)

// Edge is the end of a bucket.
func Edge(i int) time.Duration {
	if i >= delayBuckets-1 {
		return math.MaxInt64
	}
	whole, part := i/delaySteps, i%delaySteps
	return minDelay << whole * time.Duration(delaySteps+part) / delaySteps
}

// Bucket is the one that a delay is counted in.
func Bucket(d time.Duration) int {
	if d < minDelay {
		return 0
	}
	whole := bits.Len64(uint64(d/minDelay)) - 1
	part := int((d - minDelay<<whole) * delaySteps / (minDelay << whole))
	return min(whole*delaySteps+part+1, delayBuckets-1)
}

// Add counts a delay.
func (d *Delays) Add(took time.Duration) { d[Bucket(took)]++ }

// Total is how many are counted.
func (d *Delays) Total() (n uint64) {
	for _, v := range d {
		n += v
	}
	return n
}

// Quantile is the end of the bucket that holds the share p of all; 0 of none. What is in the last
// bucket is told as the end of the one before.
func (d *Delays) Quantile(p float64) time.Duration {
	total := d.Total()
	if total == 0 {
		return 0
	}
	rank, seen := uint64(math.Ceil(p*float64(total))), uint64(0)
	for i, v := range d {
		if seen += v; seen >= max(rank, 1) {
			return Edge(min(i, delayBuckets-2))
		}
	}
	return Edge(delayBuckets - 2)
}

// Figures are one instance's, cumulative since Began. Worth is by class, as the settings have it.
type Figures struct {
	Began         time.Time     `json:"began"`    // of the process; another value says that it has restarted
	OfferedWeight float64       `json:"asked"`    // worth of what was asked, but for what was beyond quotas
	Served        float64       `json:"served"`   // worth of what was served within its class's aim
	Requests      uint64        `json:"requests"` // that have ended, whichever way
	Refused       uint64        `json:"refused"`
	Beyond        uint64        `json:"beyond"` // of the refused, those that were beyond a quota or ceiling
	Failed        uint64        `json:"failed"`
	Late          uint64        `json:"late"`      // served after the aim
	Left          uint64        `json:"left"`      // clients that hung up
	Units         float64       `json:"units"`     // sent on, as ceilings count them
	Breaches      uint64        `json:"breaches"`  // of the rules that a node can see of itself
	Panics        uint64        `json:"panics"`    // of modules
	CPU           time.Duration `json:"cpu"`       // of the process
	MemoryKB      int           `json:"memory_kb"` // resident now; the one figure that does not only grow
	Delays        Delays        `json:"delays"`    // of what was served
}

// Since is what came after an earlier reading of the same process, and false where that is not the same
// process's or is not earlier. Began and MemoryKB are the later reading's.
func (f Figures) Since(old Figures) (Figures, bool) {
	if !f.Began.Equal(old.Began) || f.Requests < old.Requests || f.CPU < old.CPU {
		return Figures{}, false
	}
	d := f
	d.OfferedWeight -= old.OfferedWeight
	d.Served -= old.Served
	d.Requests -= old.Requests
	d.Refused -= old.Refused
	d.Beyond -= old.Beyond
	d.Failed -= old.Failed
	d.Late -= old.Late
	d.Left -= old.Left
	d.Units -= old.Units
	d.Breaches -= old.Breaches
	d.Panics -= old.Panics
	d.CPU -= old.CPU
	for i := range d.Delays {
		d.Delays[i] -= old.Delays[i]
	}
	return d, true
}

// Add sums what several instances, or several spans, counted. Began and MemoryKB stay.
func (f *Figures) Add(o Figures) {
	f.OfferedWeight += o.OfferedWeight
	f.Served += o.Served
	f.Requests += o.Requests
	f.Refused += o.Refused
	f.Beyond += o.Beyond
	f.Failed += o.Failed
	f.Late += o.Late
	f.Left += o.Left
	f.Units += o.Units
	f.Breaches += o.Breaches
	f.Panics += o.Panics
	f.CPU += o.CPU
	for i := range f.Delays {
		f.Delays[i] += o.Delays[i]
	}
}
