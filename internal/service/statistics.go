package service

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/control"
	"lockflow/internal/instancestats"
)

// StatisticsCollector collects the instance statistics of a process's services, over all generations of
// them. The zero value is empty; a nil *StatisticsCollector reports none.
type StatisticsCollector struct {
	mu    sync.Mutex
	ended instancestats.Statistics // of loops that have ended
	loops map[*loopStatistics]struct{}
}

// loopStatistics are the statistics of one loop. Only the loop's goroutine updates them, so that no lock is needed
// and no two processors write to the same cache line; the atomics are for concurrent readers.
type loopStatistics struct {
	classes          map[string]*classStatistics
	rejected         atomic.Uint64
	rejectedByQuota  atomic.Uint64 // those of rejected that were above a quota or hard limit
	failed           atomic.Uint64
	late             atomic.Uint64 // served after the latency objective
	abandoned        atomic.Uint64 // the client disconnected before the answer
	deadlineBreaches atomic.Uint64 // answered after the deadline, or not at all
	panics           atomic.Uint64
	units            atomic.Uint64 // bits of a float64
	latencies        [len(instancestats.Delays{})]atomic.Uint64
}

// classStatistics are the statistics of one class, whose requests have one priority weight.
type classStatistics struct {
	priorityWeight   float64
	latencyObjective time.Duration
	offered          atomic.Uint64 // within quota
	served           atomic.Uint64 // within the latency objective
	requests         atomic.Uint64
}

// addLoop creates and registers the statistics of a new loop.
func (c *StatisticsCollector) addLoop(classes []control.Class) *loopStatistics {
	s := &loopStatistics{classes: make(map[string]*classStatistics, len(classes))}
	for _, class := range classes {
		s.classes[class.Name] = &classStatistics{priorityWeight: class.PriorityWeight, latencyObjective: class.LatencyObjective}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loops == nil {
		c.loops = make(map[*loopStatistics]struct{})
	}
	c.loops[s] = struct{}{}
	return s
}

// removeLoop adds the statistics of a loop that has ended to those of all ended loops.
func (c *StatisticsCollector) removeLoop(s *loopStatistics) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.loops, s)
	s.addTo(&c.ended)
}

// Statistics returns the totals so far. Statistics of the process that no service counts are left to the
// caller.
func (c *StatisticsCollector) Statistics() instancestats.Statistics {
	if c == nil {
		return instancestats.Statistics{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	total := c.ended
	for s := range c.loops {
		s.addTo(&total)
	}
	return total
}

func (s *loopStatistics) addTo(total *instancestats.Statistics) {
	for _, class := range s.classes {
		total.OfferedWeight += class.priorityWeight * float64(class.offered.Load())
		total.Served += class.priorityWeight * float64(class.served.Load())
		total.Requests += class.requests.Load()
	}
	total.Rejected += s.rejected.Load()
	total.OverQuota += s.rejectedByQuota.Load()
	total.Failed += s.failed.Load()
	total.Late += s.late.Load()
	total.ClientsGone += s.abandoned.Load()
	total.Breaches += s.deadlineBreaches.Load()
	total.Panics += s.panics.Load()
	total.Units += math.Float64frombits(s.units.Load())
	for i := range s.latencies {
		total.Delays[i] += s.latencies[i].Load()
	}
}

// attemptStarted counts the units of an attempt.
func (s *loopStatistics) attemptStarted(units float64) {
	s.units.Store(math.Float64bits(math.Float64frombits(s.units.Load()) + units))
}

// requestEnded counts a request's final answer. Requests of an unknown class, which the module rejects, are not
// counted.
func (s *loopStatistics) requestEnded(x *Exchange, a Answer) {
	class := s.classes[x.Request.Class]
	if class == nil {
		return
	}
	class.requests.Add(1)
	now := time.Now()
	isOffered := true
	switch a.outcome() {
	case outcomeServed:
		s.served(class, now.Sub(x.startedAt))
	case outcomeRejected:
		s.rejected.Add(1)
		if isQuotaCause(a.Cause) {
			s.rejectedByQuota.Add(1)
			isOffered = false
		}
	case outcomeFailed:
		s.failed.Add(1)
	case outcomeAbandoned:
		s.abandoned.Add(1)
	}
	if isOffered {
		class.offered.Add(1)
	}
	// Deadline is DeadlineMargin before the client's. The body of a stream, and of a request whose own body
	// is still to arrive, has time limits of its own.
	if a.Status != 0 && !x.Request.HasPendingBody && now.Sub(x.Deadline) > DeadlineMargin {
		s.deadlineBreaches.Add(1)
	}
}

// served counts a served request by its latency.
func (s *loopStatistics) served(class *classStatistics, latency time.Duration) {
	s.latencies[instancestats.Bucket(latency)].Add(1)
	if latency <= class.latencyObjective {
		class.served.Add(1)
	} else {
		s.late.Add(1)
	}
}

// isQuotaCause reports whether a request was rejected because its customer was above a quota or hard limit.
func isQuotaCause(cause control.Cause) bool {
	return cause == control.CauseHardLimit || cause == control.CauseQuota || cause == control.CauseProbability
}

// loopEnded counts the end of a loop. Requests without an answer count as deadline breaches, unless the module has
// panicked; then only the panic is counted.
func (s *loopStatistics) loopEnded(unanswered int, hasPanicked bool) {
	if hasPanicked {
		s.panics.Add(1)
	} else {
		s.deadlineBreaches.Add(uint64(unanswered))
	}
}
