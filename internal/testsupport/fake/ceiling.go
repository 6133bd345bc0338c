package fake

import (
	"strconv"
	"sync"
	"time"
)

// HardLimitMonitor watches what customers from a number on send: at most Rate units a second and Burst at
// once, each. It refuses nothing. It is safe for concurrent use.
type HardLimitMonitor struct {
	Rate, Burst   float64
	FirstCustomer uint64 // the first customer that has one

	mu        sync.Mutex
	buckets   map[uint64]*bucket
	maxExcess float64
	units     float64
}

type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// record notes a customer's units; a nil ceiling notes nothing.
func (c *HardLimitMonitor) record(account string, units float64) {
	if c == nil {
		return
	}
	id, err := strconv.ParseUint(account, 16, 64)
	if err != nil || id < c.FirstCustomer {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.buckets == nil {
		c.buckets = make(map[uint64]*bucket)
	}
	now := time.Now()
	s := c.buckets[id]
	if s == nil {
		s = &bucket{c.Burst, now}
		c.buckets[id] = s
	}
	s.tokens = min(c.Burst, s.tokens+now.Sub(s.updatedAt).Seconds()*c.Rate) - units
	s.updatedAt = now
	c.maxExcess, c.units = max(c.maxExcess, -s.tokens), c.units+units
}

// MaxExcess is the most by which any customer was beyond its ceiling, in units, and all units that
// those customers sent.
func (c *HardLimitMonitor) MaxExcess() (worst, units float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxExcess, c.units
}
