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
	doubling, part := i/delaySteps, i%delaySteps
	return minDelay << doubling * time.Duration(delaySteps+part) / delaySteps
}

// Bucket is the one that a delay is counted in.
func Bucket(d time.Duration) int {
	if d < minDelay {
		return 0
	}
	doubling := bits.Len64(uint64(d/minDelay)) - 1
	part := int((d - minDelay<<doubling) * delaySteps / (minDelay << doubling))
	return min(doubling*delaySteps+part+1, delayBuckets-1)
}

// Add counts a delay.
func (d *Delays) Add(delay time.Duration) { d[Bucket(delay)]++ }

// Total is how many are counted.
func (d *Delays) Total() (n uint64) {
	for _, v := range d {
		n += v
	}
	return n
}

// Quantile is the end of the bucket that holds the share p of all; 0 of none. What is in the last
// bucket is told as the end of the one before.
func (d *Delays) Quantile(share float64) time.Duration {
	total := d.Total()
	if total == 0 {
		return 0
	}
	rank, counted := uint64(math.Ceil(share*float64(total))), uint64(0)
	for i, v := range d {
		if counted += v; counted >= max(rank, 1) {
			return Edge(min(i, delayBuckets-2))
		}
	}
	return Edge(delayBuckets - 2)
}

// Statistics are one instance's, cumulative since Began. Worth is by class, as the settings have it.
type Statistics struct {
	Began         time.Time     `json:"began"`    // of the process; another value says that it has restarted
	OfferedWeight float64       `json:"asked"`    // worth of what was asked, but for what was beyond quotas
	Served        float64       `json:"served"`   // worth of what was served within its class's aim
	Requests      uint64        `json:"requests"` // that have ended, whichever way
	Refused       uint64        `json:"refused"`
	OverQuota     uint64        `json:"beyond"` // of the refused, those that were beyond a quota or ceiling
	Failed        uint64        `json:"failed"`
	Late          uint64        `json:"late"`      // served after the aim
	ClientsGone   uint64        `json:"left"`      // clients that hung up
	Units         float64       `json:"units"`     // sent on, as ceilings count them
	Breaches      uint64        `json:"breaches"`  // of the rules that a node can see of itself
	Panics        uint64        `json:"panics"`    // of modules
	CPU           time.Duration `json:"cpu"`       // of the process
	MemoryKB      int           `json:"memory_kb"` // resident now; the one figure that does not only grow
	Delays        Delays        `json:"delays"`    // of what was served
}

// Since is what came after an earlier reading of the same process, and false where that is not the same
// process's or is not earlier. Began and MemoryKB are the later reading's.
func (f Statistics) Since(earlier Statistics) (Statistics, bool) {
	if !f.Began.Equal(earlier.Began) || f.Requests < earlier.Requests || f.CPU < earlier.CPU {
		return Statistics{}, false
	}
	difference := f
	difference.OfferedWeight -= earlier.OfferedWeight
	difference.Served -= earlier.Served
	difference.Requests -= earlier.Requests
	difference.Refused -= earlier.Refused
	difference.OverQuota -= earlier.OverQuota
	difference.Failed -= earlier.Failed
	difference.Late -= earlier.Late
	difference.ClientsGone -= earlier.ClientsGone
	difference.Units -= earlier.Units
	difference.Breaches -= earlier.Breaches
	difference.Panics -= earlier.Panics
	difference.CPU -= earlier.CPU
	for i := range difference.Delays {
		difference.Delays[i] -= earlier.Delays[i]
	}
	return difference, true
}

// Add sums what several instances, or several spans, counted. Began and MemoryKB stay.
func (f *Statistics) Add(other Statistics) {
	f.OfferedWeight += other.OfferedWeight
	f.Served += other.Served
	f.Requests += other.Requests
	f.Refused += other.Refused
	f.OverQuota += other.OverQuota
	f.Failed += other.Failed
	f.Late += other.Late
	f.ClientsGone += other.ClientsGone
	f.Units += other.Units
	f.Breaches += other.Breaches
	f.Panics += other.Panics
	f.CPU += other.CPU
	for i := range f.Delays {
		f.Delays[i] += other.Delays[i]
	}
}
