// Package instancestats holds what one instance has counted of its own service since its process began, in a form
// that instances can be compared by. Counts only grow, so that the difference of two readings is what was counted
// between them. It does no I/O.
package instancestats

import (
	"math"
	"math/bits"
	"time"
)

// Delays is a histogram of response times: bucket i counts those under Edge(i) and not under Edge(i-1), the last one
// all longer ones.
type Delays [delayBuckets]uint64

const (
	delayBuckets       = 64
	bucketsPerDoubling = 4                // buckets for each doubling
	minDelay           = time.Millisecond // upper edge of the first bucket
)

// Edge returns the upper edge of a bucket, which is not part of it.
func Edge(i int) time.Duration {
	if i >= delayBuckets-1 {
		return math.MaxInt64
	}
	doubling := i / bucketsPerDoubling
	step := i % bucketsPerDoubling
	return minDelay << doubling * time.Duration(bucketsPerDoubling+step) / bucketsPerDoubling
}

// Bucket returns the index of the bucket that counts a delay.
func Bucket(delay time.Duration) int {
	if delay < minDelay {
		return 0
	}
	doubling := bits.Len64(uint64(delay/minDelay)) - 1
	step := int((delay - minDelay<<doubling) * bucketsPerDoubling / (minDelay << doubling))
	return min(doubling*bucketsPerDoubling+step+1, delayBuckets-1)
}

// Add counts a delay.
func (d *Delays) Add(delay time.Duration) { d[Bucket(delay)]++ }

// Total returns the number of delays counted.
func (d *Delays) Total() (total uint64) {
	for _, count := range d {
		total += count
	}
	return total
}

// Quantile returns the upper edge of the bucket that holds a quantile, and 0 if no delay is counted. For the last
// bucket, which has no edge, it returns that of the one before. share is from 0 to 1.
func (d *Delays) Quantile(fraction float64) time.Duration {
	total := d.Total()
	if total == 0 {
		return 0
	}
	rank := uint64(math.Ceil(fraction * float64(total)))
	counted := uint64(0)
	for i, count := range d {
		counted += count
		if counted >= max(rank, 1) {
			return Edge(min(i, delayBuckets-2))
		}
	}
	return Edge(delayBuckets - 2)
}

// Statistics are one instance's counts since Began. Requests weigh by the priority weight of their class.
type Statistics struct {
	Began         time.Time     `json:"began"`    // start of the process, by which a restart is known
	OfferedWeight float64       `json:"asked"`    // priority weight of requests, without those over a quota
	Served        float64       `json:"served"`   // priority weight of requests served within their latency objective
	Requests      uint64        `json:"requests"` // that have ended, with any outcome
	Rejected      uint64        `json:"refused"`
	OverQuota     uint64        `json:"beyond"` // part of Rejected that exceeded a quota or hard limit
	Failed        uint64        `json:"failed"`
	Late          uint64        `json:"late"`      // served after the latency objective
	ClientsGone   uint64        `json:"left"`      // requests whose client closed its connection
	Units         float64       `json:"units"`     // forwarded, as hard limits count them
	Breaches      uint64        `json:"breaches"`  // invariant violations that the instance has seen itself
	Panics        uint64        `json:"panics"`    // of modules
	CPU           time.Duration `json:"cpu"`       // time of the process
	MemoryKB      int           `json:"memory_kb"` // resident; a state that may also fall
	Delays        Delays        `json:"delays"`    // of served requests
}

// Since returns what was counted after an earlier reading of the same process, with the later reading's Began and
// MemoryKB. It returns false if the readings are of different processes or in the wrong order.
func (s Statistics) Since(earlier Statistics) (Statistics, bool) {
	if !s.Began.Equal(earlier.Began) || s.Requests < earlier.Requests || s.CPU < earlier.CPU {
		return Statistics{}, false
	}
	difference := s
	difference.OfferedWeight -= earlier.OfferedWeight
	difference.Served -= earlier.Served
	difference.Requests -= earlier.Requests
	difference.Rejected -= earlier.Rejected
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

// Add adds the counts of another instance or another time. Began and MemoryKB do not change.
func (s *Statistics) Add(other Statistics) {
	s.OfferedWeight += other.OfferedWeight
	s.Served += other.Served
	s.Requests += other.Requests
	s.Rejected += other.Rejected
	s.OverQuota += other.OverQuota
	s.Failed += other.Failed
	s.Late += other.Late
	s.ClientsGone += other.ClientsGone
	s.Units += other.Units
	s.Breaches += other.Breaches
	s.Panics += other.Panics
	s.CPU += other.CPU
	for i := range s.Delays {
		s.Delays[i] += other.Delays[i]
	}
}
