package fake

import (
	"strconv"
	"sync"
	"time"
)

// HardLimitMonitor measures by how much customers exceed a hard limit, which is a token bucket of Rate units per second
// and Burst units for each customer. It rejects nothing. It is safe for concurrent use. A nil monitor records nothing.
type HardLimitMonitor struct {
	Rate          float64
	Burst         float64
	FirstCustomer uint64 // only customers with this number or a higher one have the limit

	mu        sync.Mutex
	buckets   map[uint64]*bucket // by customer
	maxExcess float64            // units by which a customer exceeded its limit
	units     float64
}

// bucket is the token bucket of a customer. Negative tokens are the excess over the limit.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// record charges the units of a request to its customer's bucket.
func (m *HardLimitMonitor) record(account string, units float64) {
	if m == nil {
		return
	}
	customer, err := strconv.ParseUint(account, 16, 64)
	if err != nil || customer < m.FirstCustomer {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.buckets == nil {
		m.buckets = make(map[uint64]*bucket)
	}
	now := time.Now()
	b := m.buckets[customer]
	if b == nil {
		b = &bucket{tokens: m.Burst, updatedAt: now}
		m.buckets[customer] = b
	}
	b.tokens = min(m.Burst, b.tokens+now.Sub(b.updatedAt).Seconds()*m.Rate) - units
	b.updatedAt = now
	m.maxExcess = max(m.maxExcess, -b.tokens)
	m.units += units
}

// MaxExcess returns the largest excess of any customer in units, and the total units of all limited customers.
func (m *HardLimitMonitor) MaxExcess() (maxExcess, units float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.maxExcess, m.units
}
