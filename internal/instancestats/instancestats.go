// Package instancestats holds the counts that one instance keeps of the service it provides since its process started,
// in a form that allows instances to be compared. Counts never decrease, so the difference of two readings is what was
// counted between them. The package does no I/O.
package instancestats

import (
	"math"
	"math/bits"
	"time"
)

// Delays is a histogram of response times: bucket i counts times from Edge(i-1) to just below Edge(i), and the last
// bucket counts all longer ones.
type Delays [delayBuckets]uint64

const (
	delayBuckets       = 64
	bucketsPerDoubling = 4                // buckets for each doubling of the delay
	minDelay           = time.Millisecond // upper edge of the first bucket
)

// Edge returns the exclusive upper edge of a bucket.
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
// bucket, which has no upper edge, it returns its lower edge. fraction is from 0 to 1.
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

// Statistics are one instance's counts since Began. OfferedWeight and Served sum the priority weights of requests' classes.
type Statistics struct {
	Began         time.Time     `json:"began"`    // start of the process, which identifies it across readings
	OfferedWeight float64       `json:"asked"`    // total priority weight of requests, without those over a quota
	Served        float64       `json:"served"`   // total priority weight of requests served within their latency objective
	Requests      uint64        `json:"requests"` // requests that have ended, with any outcome
	Rejected      uint64        `json:"refused"`
	OverQuota     uint64        `json:"beyond"` // the requests in Rejected that exceeded a quota or hard limit
	Failed        uint64        `json:"failed"`
	Late          uint64        `json:"late"`      // requests served later than their latency objective
	ClientsGone   uint64        `json:"left"`      // requests whose client closed its connection
	Units         float64       `json:"units"`     // units forwarded, as hard limits count them
	Breaches      uint64        `json:"breaches"`  // invariant violations that the instance detected itself (package invariant)
	Panics        uint64        `json:"panics"`    // panics of decision modules
	CPU           time.Duration `json:"cpu"`       // CPU time of the process
	MemoryKB      int           `json:"memory_kb"` // resident memory; a current value, which may decrease
	Delays        Delays        `json:"delays"`    // response times of served requests
}

// Since returns what was counted since an earlier reading of the same process, with the Began and MemoryKB of the
// later reading. It returns false if the readings are of different processes or in the wrong order.
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

// Add adds the counts of another instance or of another period. Began and MemoryKB do not change.
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
