package fake

import (
	"strconv"
	"sync"
	"time"
)

// HardLimitMonitor measures by how much customers exceed a hard limit of Rate units a second and Burst at once, each.
// It rejects nothing. It is safe for concurrent use; a nil monitor records nothing.
type HardLimitMonitor struct {
	Rate          float64
	Burst         float64
	FirstCustomer uint64 // customers from this number on have the limit

	mu        sync.Mutex
	buckets   map[uint64]*bucket // by customer
	maxExcess float64            // units
	units     float64
}

// bucket is the token bucket of a customer; below zero is an excess.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// record records the units of a request.
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

// MaxExcess returns the largest excess of a customer, and the units that all of them used.
func (m *HardLimitMonitor) MaxExcess() (maxExcess, units float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.maxExcess, m.units
}
