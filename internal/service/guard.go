package service

import (
	"fmt"
	"math"
	"time"

	"lockflow/control"
	"lockflow/internal/invariant"
)

// lateAnswerGrace is how long after its deadline a request may be answered before it counts as lost.
const lateAnswerGrace = 500 * time.Millisecond

// repeatGuard is what the loop itself knows of an exchange's attempts, beside its module, to judge whether another one
// may begin.
type repeatGuard struct {
	firstRunAt time.Time   // when the first attempt that may have run was started; zero is none
	place      serverPlace // of its server
}

// attemptEnded notes an attempt that has ended.
func (g *repeatGuard) attemptEnded(job attemptJob, reason control.Reason) {
	if mayHaveRun(reason) && g.firstRunAt.IsZero() {
		g.firstRunAt, g.place = job.startedAt, job.place
	}
}

// allows tells whether an attempt at a server may follow, and why not.
func (g *repeatGuard) allows(class *control.Class, place serverPlace, now time.Time) (why string, ok bool) {
	if g.firstRunAt.IsZero() || class.Idempotency == control.Idempotent {
		return "", true
	}
	if class.Idempotency == control.NotIdempotent {
		return "it may have run and is not idempotent", false
	}
	if since := now.Sub(g.firstRunAt); since > class.RepeatWindow {
		return fmt.Sprintf("it may have run %v ago, its repeat window is %v", since, class.RepeatWindow), false
	}
	switch {
	case class.KeyScope == control.ScopeZone && place.zone != g.place.zone:
		return fmt.Sprintf("it may have run in zone %q, not %q", g.place.zone, place.zone), false
	case class.KeyScope == control.ScopeCell && place.cell != g.place.cell:
		return fmt.Sprintf("it may have run in cell %d, not %d", g.place.cell, place.cell), false
	}
	return "", true
}

// serverPlace is where a server drops repeats.
type serverPlace struct {
	zone string
	cell int
}

// guardAttempt checks an attempt that the module has decided on, whatever it went by. One that could run a request
// twice or beside itself, or is one too many, is not made.
func (l *loop) guardAttempt(x *Exchange, a control.Send, now time.Time) (ok bool) {
	if x.isAnswered { // it is not made anyway
		return true
	}
	if x.inFlight > 0 {
		invariant.Violated(invariant.ParallelAttempt, x.Request.ID, fmt.Sprintf("attempt %d while %d are in flight", x.attemptCount, x.inFlight))
		return false
	}
	if l.maxAttempts > 0 && x.attemptCount >= l.maxAttempts {
		invariant.Violated(invariant.TooManyAttempts, x.Request.ID, fmt.Sprintf("attempt %d of %d", x.attemptCount+1, l.maxAttempts))
		return false
	}
	if class := l.classOf(x); class != nil {
		if why, ok := x.repeats.allows(class, l.places[a.Server], now); !ok {
			invariant.Violated(invariant.UnsafeRetry, x.Request.ID, why)
			return false
		}
	}
	if why, ok := l.warmups.attempt(a.Server, now); !ok {
		invariant.Violated(invariant.SlowStartOverrun, x.Request.ID, why)
	}
	return true
}

func (l *loop) classOf(x *Exchange) *control.Class {
	for i := range l.classes {
		if l.classes[i].Name == x.Request.Class {
			return &l.classes[i]
		}
	}
	return nil
}

// guardAnswer checks the time of a final answer.
func (l *loop) guardAnswer(x *Exchange, a Answer) {
	if a.Status == 0 || a.Stream != nil || x.Request.HasPendingBody {
		return
	}
	dueAt := x.Deadline
	if x.startedAt.After(dueAt) { // its time was over when it was read
		dueAt = x.startedAt
	}
	if late := time.Since(dueAt); late > lateAnswerGrace {
		invariant.Violated(invariant.LateAnswer, x.Request.ID, fmt.Sprintf("%v after its deadline", late))
	}
}

const (
	warmupBuckets = 4  // of the overload window, in which attempts are counted
	maxBudgetBase = 30 // attempts from which on the narrower slack holds

	peakTime = time.Minute // for which a peak counts unless it is exceeded
)

// warmupGuard counts the attempts at each server, and holds those at a server that warms up against what all nodes
// together may send it: the overload multiple of its present capacity over the overload window, and a slack for chance.
// Its capacity is at least what this node's busiest warm server has borne lately, times the nodes. One node can't break
// that alone unless its module is at fault. It is used by the loop's goroutine only.
type warmupGuard struct {
	window          time.Duration // 0 counts nothing
	nodes           float64
	peak            float64   // attempts within the window at the busiest warm server, of the last peakTime
	peakAt          time.Time // of peak
	multiple        float64
	warmupTime      time.Duration
	initialCapacity float64
	servers         map[uint32]*attemptRate
}

// attemptRate counts attempts at one server over a window.
type attemptRate struct {
	startedAt time.Time // zero is long ago
	bucket    int64
	counts    [warmupBuckets]float64
}

func newWarmupGuard(s *control.Settings) warmupGuard {
	return warmupGuard{
		window: s.OverloadWindow, nodes: float64(s.GroupSize), multiple: s.OverloadMultiple, warmupTime: s.WarmupTime, initialCapacity: s.InitialCapacity,
		servers: make(map[uint32]*attemptRate),
	}
}

// listed notes a server and when it started.
func (g *warmupGuard) listed(server uint32, startedAt time.Time) {
	rate := g.servers[server]
	if rate == nil {
		rate = &attemptRate{}
		g.servers[server] = rate
	}
	if !rate.startedAt.Equal(startedAt) {
		*rate = attemptRate{startedAt: startedAt}
	}
}

func (g *warmupGuard) forget(server uint32) { delete(g.servers, server) }

// attempt counts an attempt, and tells whether it stays within the budget, and why not.
func (g *warmupGuard) attempt(server uint32, now time.Time) (why string, ok bool) {
	rate := g.servers[server]
	if rate == nil || g.window <= 0 {
		return "", true
	}
	age, sent := now.Sub(rate.startedAt), rate.add(g.bucketOf(now))
	if rate.startedAt.IsZero() || age >= g.warmupTime {
		if sent >= g.peak || now.Sub(g.peakAt) > peakTime {
			g.peak, g.peakAt = sent, now
		}
		return "", true
	}
	fraction := g.initialCapacity + (1-g.initialCapacity)*age.Seconds()/g.warmupTime.Seconds()
	allowed := g.multiple * fraction * g.peak * g.nodes
	if limit := allowed + budgetSlack(allowed); sent > limit {
		return fmt.Sprintf("%.0f attempts within %v at a server that started %v ago, more than %.1f", sent, g.window, age, limit), false
	}
	return "", true
}

// budgetSlack is what chance may add to a number of attempts.
func budgetSlack(attempts float64) float64 {
	if attempts < maxBudgetBase {
		return 3 * math.Sqrt(attempts+3)
	}
	return 2 * math.Sqrt(attempts+2)
}

func (g *warmupGuard) bucketOf(now time.Time) int64 {
	return int64(now.Sub(guardEpoch) / max(1, g.window/warmupBuckets))
}

// guardEpoch is a moment before any attempt, with a monotonic reading.
var guardEpoch = time.Now()

// add counts an attempt, and returns how many there were within the window.
func (r *attemptRate) add(bucket int64) (sum float64) {
	r.advance(bucket)
	r.counts[((bucket%warmupBuckets)+warmupBuckets)%warmupBuckets]++
	for _, n := range r.counts {
		sum += n
	}
	return sum
}

// advance drops the counts of buckets that are over.
func (r *attemptRate) advance(bucket int64) {
	for steps := min(bucket-r.bucket, warmupBuckets); steps > 0; steps-- {
		r.counts[(((bucket-steps+1)%warmupBuckets)+warmupBuckets)%warmupBuckets] = 0
	}
	r.bucket = max(r.bucket, bucket)
}
