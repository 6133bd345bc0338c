package fake

import (
	"strconv"
	"sync"
	"time"
)

// Ceiling watches what customers from a number on send: at most Rate units a second and Burst at
// once, each. It refuses nothing. It is safe for concurrent use.
type Ceiling struct {
	Rate, Burst float64
	From        uint64 // the first customer that has one

	mu    sync.Mutex
	store map[uint64]*store
	worst float64
	units float64
}

type store struct {
	level float64
	at    time.Time
}

// take notes a customer's units; a nil ceiling notes nothing.
func (c *Ceiling) take(account string, units float64) {
	if c == nil {
		return
	}
	id, err := strconv.ParseUint(account, 16, 64)
	if err != nil || id < c.From {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.store == nil {
		c.store = make(map[uint64]*store)
	}
	now := time.Now()
	s := c.store[id]
	if s == nil {
		s = &store{c.Burst, now}
		c.store[id] = s
	}
	s.level = min(c.Burst, s.level+now.Sub(s.at).Seconds()*c.Rate) - units
	s.at = now
	c.worst, c.units = max(c.worst, -s.level), c.units+units
}

// Over is the most by which any customer was beyond its ceiling, in units, and all units that
// those customers sent.
func (c *Ceiling) Over() (worst, units float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.worst, c.units
}
