package service

import (
	"fmt"
	"math"
	"time"

	"lockflow/control"
	"lockflow/internal/invariant"
)

// lateAnswerGrace is how long after its deadline a request may be answered without violating invariant.LateAnswer.
const lateAnswerGrace = 500 * time.Millisecond

// repeatGuard records which attempt of an exchange may have run the request first. It checks, independently of the
// module, that a further attempt is safe.
type repeatGuard struct {
	firstRunAt time.Time      // start of the first attempt that may have run the request; zero if there is none
	location   serverLocation // of its server
}

// attemptEnded records an attempt that has ended.
func (g *repeatGuard) attemptEnded(job attemptJob, reason control.Reason) {
	if mayHaveRun(reason) && g.firstRunAt.IsZero() {
		g.firstRunAt = job.startedAt
		g.location = job.location
	}
}

// allows reports whether a further attempt at a server in location is safe; if it is not, violation is the reason.
func (g *repeatGuard) allows(class *control.Class, location serverLocation, now time.Time) (violation string, ok bool) {
	if g.firstRunAt.IsZero() || class.Idempotency == control.Idempotent {
		return "", true
	}
	if class.Idempotency == control.NotIdempotent {
		return "it may have run and is not idempotent", false
	}
	if since := now.Sub(g.firstRunAt); since > class.RepeatWindow {
		return fmt.Sprintf("the request may have run %v ago; its repeat window is %v", since, class.RepeatWindow), false
	}
	switch {
	case class.KeyScope == control.ScopeZone && location.zone != g.location.zone:
		return fmt.Sprintf("the request may have run in zone %q, and the retry is for zone %q", g.location.zone, location.zone), false
	case class.KeyScope == control.ScopeCell && location.cell != g.location.cell:
		return fmt.Sprintf("the request may have run in cell %d, and the retry is for cell %d", g.location.cell, location.cell), false
	}
	return "", true
}

// serverLocation is where a server is: control.KeyScope limits the recognition of idempotency keys to a zone or cell.
type serverLocation struct {
	zone string
	cell int
}

// guardAttempt checks an attempt that the module has decided on against the loop's own records. It returns false for an
// attempt that must not be made: while another one is in flight, beyond the maximum number of attempts, or where it
// could run a request twice. An attempt beyond the budget of a server's slow start is only reported.
func (l *loop) guardAttempt(x *Exchange, a control.Send, now time.Time) (ok bool) {
	if x.isAnswered { // startAttempt then makes no attempt
		return true
	}
	if x.inFlight > 0 {
		violation := fmt.Sprintf("attempt %d decided on while %d are in flight", x.attemptCount, x.inFlight)
		invariant.Violated(invariant.ParallelAttempt, x.Request.ID, violation)
		return false
	}
	if l.maxAttempts > 0 && x.attemptCount >= l.maxAttempts {
		violation := fmt.Sprintf("attempt %d of at most %d", x.attemptCount+1, l.maxAttempts)
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

// guardAnswer reports a final answer that is too late. Streams and requests whose body was pending are exempt, as they
// have other time limits, and so are answers to clients that have disconnected.
func (l *loop) guardAnswer(x *Exchange, a Answer) {
	if a.Status == 0 || a.Stream != nil || x.Request.HasPendingBody {
		return
	}
	dueAt := x.Deadline
	if x.startedAt.After(dueAt) { // the deadline had passed before the request was accepted
		dueAt = x.startedAt
	}
	if lateness := time.Since(dueAt); lateness > lateAnswerGrace {
		invariant.Violated(invariant.LateAnswer, x.Request.ID, fmt.Sprintf("answered %v after the deadline", lateness))
	}
}

const (
	warmupBuckets = 4  // into which the overload window is divided to count attempts
	maxBudgetBase = 30 // budget in attempts from which budgetSlack is the narrower one

	peakTime = time.Minute // after which a lower count replaces the peak
)

// warmupGuard counts the attempts at each server, and compares those at a server that is warming up with what all nodes
// together may send it: the overload multiple of its present capacity over the overload window, and a statistical slack.
// Its full capacity is estimated as the recent peak of this node's busiest warm server, times the number of nodes. A
// single node exceeds this budget only if its module is at fault. Only the loop's goroutine uses it.
type warmupGuard struct {
	window          time.Duration // 0 disables the guard
	nodes           float64
	peak            float64   // most attempts within a window at a warm server during the last peakTime
	peakAt          time.Time // of peak
	multiple        float64
	warmupTime      time.Duration
	initialCapacity float64
	servers         map[uint32]*attemptRate
}

// attemptRate counts attempts at one server over a window.
type attemptRate struct {
	startedAt time.Time // zero if unknown, which counts as long ago
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

// addServer adds a server, or resets the counts of one that has restarted.
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

// countAttempt counts an attempt and reports whether it is within the budget; if it is not, violation is the reason.
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
		violation = fmt.Sprintf("%.0f attempts within %v at a server that started %v ago, want at most %.1f",
			sent, g.window, age, limit)
		return violation, false
	}
	return "", true
}

// budgetSlack returns by how much a number of attempts may exceed its mean through random variation: about three
// standard deviations of a Poisson distribution, or two from maxBudgetBase on.
func budgetSlack(attempts float64) float64 {
	if attempts < maxBudgetBase {
		return 3 * math.Sqrt(attempts+3)
	}
	return 2 * math.Sqrt(attempts+2)
}

func (g *warmupGuard) bucketOf(now time.Time) int64 {
	return int64(now.Sub(guardEpoch) / max(1, g.window/warmupBuckets))
}

// guardEpoch is the origin of bucket numbers: a time before any attempt, with a monotonic reading.
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

// advance clears the counts of buckets that have left the window.
func (r *attemptRate) advance(bucket int64) {
	for steps := min(bucket-r.bucket, warmupBuckets); steps > 0; steps-- {
		r.counts[(((bucket-steps+1)%warmupBuckets)+warmupBuckets)%warmupBuckets] = 0
	}
	r.bucket = max(r.bucket, bucket)
}
