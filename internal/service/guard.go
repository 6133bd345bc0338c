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

// repeatGuard has the loop's record of an exchange's attempts, independently of its module, to check whether another
// one may start.
type repeatGuard struct {
	firstRunAt time.Time      // when the first attempt that may have run was started; zero is none
	location   serverLocation // of its server
}

// attemptEnded notes an attempt that has ended.
func (g *repeatGuard) attemptEnded(job attemptJob, reason control.Reason) {
	if mayHaveRun(reason) && g.firstRunAt.IsZero() {
		g.firstRunAt = job.startedAt
		g.location = job.location
	}
}

// allows reports whether an attempt at a server may follow, and otherwise why not.
func (g *repeatGuard) allows(class *control.Class, location serverLocation, now time.Time) (violation string, ok bool) {
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
	case class.KeyScope == control.ScopeZone && location.zone != g.location.zone:
		return fmt.Sprintf("it may have run in zone %q, not %q", g.location.zone, location.zone), false
	case class.KeyScope == control.ScopeCell && location.cell != g.location.cell:
		return fmt.Sprintf("it may have run in cell %d, not %d", g.location.cell, location.cell), false
	}
	return "", true
}

// serverPlace is where a server drops repeats.
type serverLocation struct {
	zone string
	cell int
}

// guardAttempt checks an attempt that the module has decided on, by the loop's own knowledge. An attempt that could run
// a request twice, while another is in flight, or that is one too many must not be made.
func (l *loop) guardAttempt(x *Exchange, a control.Send, now time.Time) (ok bool) {
	if x.isAnswered { // startAttempt makes none then
		return true
	}
	if x.inFlight > 0 {
		violation := fmt.Sprintf("attempt %d while %d are in flight", x.attemptCount, x.inFlight)
		invariant.Violated(invariant.ParallelAttempt, x.Request.ID, violation)
		return false
	}
	if l.maxAttempts > 0 && x.attemptCount >= l.maxAttempts {
		violation := fmt.Sprintf("attempt %d of %d", x.attemptCount+1, l.maxAttempts)
		invariant.Violated(invariant.TooManyAttempts, x.Request.ID, violation)
		return false
	}
	if class := l.classOf(x); class != nil {
		if violation, ok := x.repeats.allows(class, l.locations[a.Server], now); !ok {
			invariant.Violated(invariant.UnsafeRetry, x.Request.ID, violation)
			return false
		}
	}
	if violation, ok := l.warmups.countAttempt(a.Server, now); !ok {
		invariant.Violated(invariant.SlowStartOverrun, x.Request.ID, violation)
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
	if x.startedAt.After(dueAt) { // its deadline had passed when it was read
		dueAt = x.startedAt
	}
	if lateness := time.Since(dueAt); lateness > lateAnswerGrace {
		invariant.Violated(invariant.LateAnswer, x.Request.ID, fmt.Sprintf("%v after its deadline", lateness))
	}
}

const (
	warmupBuckets = 4  // of the overload window, in which attempts are counted
	maxBudgetBase = 30 // attempts from which on the narrower slack applies

	peakTime = time.Minute // after which a lower rate replaces the peak
)

// warmupGuard counts the attempts at each server, and compares those at a server that is warming up with what all nodes
// together may send it: the overload multiple of its present capacity over the overload window, and a statistical slack.
// Its full capacity is taken as the recent peak of this node's busiest warm server, times the nodes. One node can't
// exceed that alone unless its module is at fault. The loop's goroutine alone uses it.
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
		window:          s.OverloadWindow,
		nodes:           float64(s.GroupSize),
		multiple:        s.OverloadMultiple,
		warmupTime:      s.WarmupTime,
		initialCapacity: s.InitialCapacity,
		servers:         make(map[uint32]*attemptRate),
	}
}

// listed adds a server, or resets the counts of one that has restarted.
func (g *warmupGuard) addServer(server uint32, startedAt time.Time) {
	rate := g.servers[server]
	if rate == nil {
		rate = &attemptRate{}
		g.servers[server] = rate
	}
	if !rate.startedAt.Equal(startedAt) {
		*rate = attemptRate{startedAt: startedAt}
	}
}

func (g *warmupGuard) removeServer(server uint32) { delete(g.servers, server) }

// attempt counts an attempt and reports whether it is within the budget, and otherwise why not.
func (g *warmupGuard) countAttempt(server uint32, now time.Time) (violation string, ok bool) {
	rate := g.servers[server]
	if rate == nil || g.window <= 0 {
		return "", true
	}
	age := now.Sub(rate.startedAt)
	sent := rate.add(g.bucketOf(now))
	if rate.startedAt.IsZero() || age >= g.warmupTime {
		if sent >= g.peak || now.Sub(g.peakAt) > peakTime {
			g.peak = sent
			g.peakAt = now
		}
		return "", true
	}
	fraction := g.initialCapacity + (1-g.initialCapacity)*age.Seconds()/g.warmupTime.Seconds()
	allowed := g.multiple * fraction * g.peak * g.nodes
	if limit := allowed + budgetSlack(allowed); sent > limit {
		violation = fmt.Sprintf("%.0f attempts within %v at a server that started %v ago, more than %.1f",
			sent, g.window, age, limit)
		return violation, false
	}
	return "", true
}

// budgetSlack is how far a number of attempts may exceed its mean by random variation.
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
