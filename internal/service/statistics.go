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
	ended instancestats.Figures // of loops that have ended
	loops map[*loopStatistics]struct{}
}

// loopStatistics is one loop's count. Only the loop's own goroutine counts, so that nothing is locked and no two
// processors write the same line; whoever reads sees each figure whole.
type loopStatistics struct {
	classes                                             map[string]*classStatistics
	abandoned, failed, rejected, late, deadlineBreaches atomic.Uint64
	rejectedByQuota, panics                             atomic.Uint64
	units                                               atomic.Uint64 // bits of a float64
	latencies                                           [len(instancestats.Delays{})]atomic.Uint64
}

// classStatistics is one class's count, as its worth is the same for all.
type classStatistics struct {
	priorityWeight   float64
	latencyObjective time.Duration
	offered, served  atomic.Uint64
	requests         atomic.Uint64
}

// addLoop gives a new loop's count.
func (m *StatisticsCollector) addLoop(classes []control.Class) *loopStatistics {
	c := &loopStatistics{classes: make(map[string]*classStatistics, len(classes))}
	for _, k := range classes {
		c.classes[k.Name] = &classStatistics{priorityWeight: k.PriorityWeight, latencyObjective: k.LatencyObjective}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loops == nil {
		m.loops = make(map[*loopStatistics]struct{})
	}
	m.loops[c] = struct{}{}
	return c
}

// removeLoop takes in that a loop has ended: nothing more is counted there.
func (m *StatisticsCollector) removeLoop(c *loopStatistics) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.loops, c)
	c.addTo(&m.ended)
}

// Statistics are what was counted until now. What is of the process, and not of services, is left to the caller.
func (m *StatisticsCollector) Statistics() instancestats.Figures {
	if m == nil {
		return instancestats.Figures{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.ended
	for c := range m.loops {
		c.addTo(&f)
	}
	return f
}

func (c *loopStatistics) addTo(f *instancestats.Figures) {
	for _, k := range c.classes {
		f.Asked += k.priorityWeight * float64(k.offered.Load())
		f.Served += k.priorityWeight * float64(k.served.Load())
		f.Requests += k.requests.Load()
	}
	f.Refused += c.rejected.Load()
	f.Beyond += c.rejectedByQuota.Load()
	f.Failed += c.failed.Load()
	f.Late += c.late.Load()
	f.Left += c.abandoned.Load()
	f.Breaches += c.deadlineBreaches.Load()
	f.Panics += c.panics.Load()
	f.Units += math.Float64frombits(c.units.Load())
	for i := range c.latencies {
		f.Delays[i] += c.latencies[i].Load()
	}
}

// attemptStarted counts the units of an attempt.
func (c *loopStatistics) attemptStarted(units float64) {
	c.units.Store(math.Float64bits(math.Float64frombits(c.units.Load()) + units))
}

// requestEnded counts a request's final answer.
func (c *loopStatistics) requestEnded(x *Exchange, a Answer) {
	k := c.classes[x.Request.Class]
	if k == nil { // the module refuses it as unknown
		return
	}
	k.requests.Add(1)
	now := time.Now()
	asked := true
	switch is := a.outcome(); is {
	case 0:
		took := now.Sub(x.startedAt)
		c.latencies[instancestats.Bucket(took)].Add(1)
		if took <= k.latencyObjective {
			k.served.Add(1)
		} else {
			c.late.Add(1)
		}
	case 1:
		c.rejected.Add(1)
		if a.Cause == control.CauseHardLimit || a.Cause == control.CauseQuota || a.Cause == control.CauseProbability {
			c.rejectedByQuota.Add(1)
			asked = false
		}
	case 2:
		c.failed.Add(1)
	default:
		c.abandoned.Add(1)
	}
	if asked {
		k.offered.Add(1)
	}
	// The attempts have ended DeadlineMargin before; a stream's body and one that is still to come have time
	// of their own.
	if a.Status != 0 && !x.Request.HasPendingBody && now.Sub(x.Deadline) > DeadlineMargin {
		c.deadlineBreaches.Add(1)
	}
}

// loopEnded counts what a loop's end does to those that it holds: without a panic there is to be nobody left.
func (c *loopStatistics) loopEnded(unanswered int, panicked bool) {
	if panicked {
		c.panics.Add(1)
	} else {
		c.deadlineBreaches.Add(uint64(unanswered))
	}
}
