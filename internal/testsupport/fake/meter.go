package fake

import (
	"sync"
	"time"
)

// Meter measures the usage of each customer. It reports the usage of the previous period, as a percentage of a period's
// allowance. It is safe for concurrent use.
type Meter struct {
	Period time.Duration
	Rate   float64 // allowance of a customer in units per second (100 percent)

	mu          sync.Mutex
	usage       map[string]periodUsage // by customer
	periodStart time.Time
}

// periodUsage holds the units of a customer in the current and the previous period.
type periodUsage struct {
	current float64
	last    float64
}

// Use records a customer's units and returns its usage of the previous period as a percentage of the allowance.
func (m *Meter) Use(customer string, units float64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	used := m.usage[customer]
	used.current += units
	m.usage[customer] = used
	return int(100 * used.last / (m.Rate * m.Period.Seconds()))
}

// advance starts a new period if the current one has ended. After two periods without a call all usage is discarded.
func (m *Meter) advance(now time.Time) {
	if m.usage == nil || now.Sub(m.periodStart) >= 2*m.Period {
		m.usage = make(map[string]periodUsage)
		m.periodStart = now
		return
	}
	if now.Sub(m.periodStart) < m.Period {
		return
	}
	m.periodStart = m.periodStart.Add(m.Period)
	for customer, used := range m.usage {
		if used.current == 0 {
			delete(m.usage, customer)
			continue
		}
		m.usage[customer] = periodUsage{last: used.current}
	}
}
