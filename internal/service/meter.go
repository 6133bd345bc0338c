package service

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/control"
	"lockflow/internal/instancestats"
)

// StatisticsCollector counts what a process's services do, over all their generations. It is safe for concurrent use;
// its zero value is empty.
type StatisticsCollector struct {
	mu    sync.Mutex
	gone  instancestats.Figures // of loops that have ended
	loops map[*metered]struct{}
}

// metered is one loop's count. Only the loop's own goroutine counts, so that nothing is locked and no two
// processors write the same line; whoever reads sees each figure whole.
type metered struct {
	classes                               map[string]*meteredClass
	left, failed, refused, late, breaches atomic.Uint64
	beyond, panics                        atomic.Uint64
	units                                 atomic.Uint64 // bits of a float64
	delays                                [len(instancestats.Delays{})]atomic.Uint64
}

// meteredClass is one class's count, as its worth is the same for all.
type meteredClass struct {
	worth         float64
	aim           time.Duration
	asked, served atomic.Uint64
	requests      atomic.Uint64
}

// loop gives a new loop's count.
func (m *StatisticsCollector) loop(classes []control.Class) *metered {
	c := &metered{classes: make(map[string]*meteredClass, len(classes))}
	for _, k := range classes {
		c.classes[k.Name] = &meteredClass{worth: k.Worth, aim: k.Aim}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loops == nil {
		m.loops = make(map[*metered]struct{})
	}
	m.loops[c] = struct{}{}
	return c
}

// end takes in that a loop has ended: nothing more is counted there.
func (m *StatisticsCollector) end(c *metered) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.loops, c)
	c.addTo(&m.gone)
}

// Statistics are what was counted until now. What is of the process, and not of services, is left to the caller.
func (m *StatisticsCollector) Statistics() instancestats.Figures {
	if m == nil {
		return instancestats.Figures{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.gone
	for c := range m.loops {
		c.addTo(&f)
	}
	return f
}

func (c *metered) addTo(f *instancestats.Figures) {
	for _, k := range c.classes {
		f.Asked += k.worth * float64(k.asked.Load())
		f.Served += k.worth * float64(k.served.Load())
		f.Requests += k.requests.Load()
	}
	f.Refused += c.refused.Load()
	f.Beyond += c.beyond.Load()
	f.Failed += c.failed.Load()
	f.Late += c.late.Load()
	f.Left += c.left.Load()
	f.Breaches += c.breaches.Load()
	f.Panics += c.panics.Load()
	f.Units += math.Float64frombits(c.units.Load())
	for i := range c.delays {
		f.Delays[i] += c.delays[i].Load()
	}
}

// sent counts the units of an attempt.
func (c *metered) sent(units float64) {
	c.units.Store(math.Float64bits(math.Float64frombits(c.units.Load()) + units))
}

// ended counts a request's final answer.
func (c *metered) ended(x *Exchange, a Answer) {
	k := c.classes[x.Request.Class]
	if k == nil { // the module refuses it as unknown
		return
	}
	k.requests.Add(1)
	now := time.Now()
	asked := true
	switch is := a.outcome(); is {
	case 0:
		took := now.Sub(x.began)
		c.delays[instancestats.Bucket(took)].Add(1)
		if took <= k.aim {
			k.served.Add(1)
		} else {
			c.late.Add(1)
		}
	case 1:
		c.refused.Add(1)
		if a.Cause == control.OverCeiling || a.Cause == control.OverStore || a.Cause == control.ByChance {
			c.beyond.Add(1)
			asked = false
		}
	case 2:
		c.failed.Add(1)
	default:
		c.left.Add(1)
	}
	if asked {
		k.asked.Add(1)
	}
	// The attempts have ended DeadlineMargin before; a stream's body and one that is still to come have time
	// of their own.
	if a.Status != 0 && !x.Request.Open && now.Sub(x.Deadline) > DeadlineMargin {
		c.breaches.Add(1)
	}
}

// over counts what a loop's end does to those that it holds: without a panic there is to be nobody left.
func (c *metered) over(unanswered int, panicked bool) {
	if panicked {
		c.panics.Add(1)
	} else {
		c.breaches.Add(uint64(unanswered))
	}
}
