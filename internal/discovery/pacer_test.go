package discovery

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lockflow/internal/simulation/vtime"
)

// simulatedDiscovery processes calls one after another at a fixed rate, including calls that have timed out, and rejects
// calls that would wait longer than maxWait.
type simulatedDiscovery struct {
	vtime.Clock
	busyUntil     time.Duration // when the last accepted call will be finished
	serviceTime   time.Duration
	maxWait       time.Duration
	rejectsAtOnce bool // otherwise a call is rejected only after it has waited
}

// call makes a call. It returns whether the call is answered in time, and the time until its answer or rejection.
func (d *simulatedDiscovery) call() (isAnswered bool, elapsed time.Duration) {
	d.busyUntil = max(d.busyUntil, d.Now()) + d.serviceTime
	if answerTime := d.busyUntil - d.Now(); answerTime <= d.maxWait {
		return true, answerTime
	}
	d.busyUntil -= d.serviceTime / 2 // a rejection costs half the service time
	if d.rejectsAtOnce {
		return false, 0
	}
	return false, min(d.maxWait, d.busyUntil-d.Now())
}

// groupResult has the times at which 90% and 100% of a group's instances had a watch, 0 for never, and the number of
// calls.
type groupResult struct {
	p90, fullGroupTime time.Duration
	calls              int
}

// simulateGroup simulates instances that all start to open a watch at the same time. firstDelay and retryDelay return
// the delays of their calls.
func simulateGroup(instances int, serviceTime time.Duration, rejectsAtOnce bool, firstDelay func(i int) time.Duration, retryDelay func(i int, lasted, now time.Duration) time.Duration) (result groupResult) {
	d := &simulatedDiscovery{serviceTime: serviceTime, maxWait: 2 * time.Second, rejectsAtOnce: rejectsAtOnce}
	watches := 0
	var call func(i int)
	call = func(i int) {
		result.calls++
		isAnswered, elapsed := d.call()
		d.After(elapsed, func() {
			if !isAnswered {
				d.After(retryDelay(i, elapsed, d.Now()), func() { call(i) })
				return
			}
			if watches++; watches == (instances*9+9)/10 {
				result.p90 = d.Now()
			}
			if watches == instances {
				result.fullGroupTime = d.Now()
			}
		})
	}
	for i := range instances {
		d.At(firstDelay(i), func() { call(i) })
	}
	d.Run(time.Minute)
	return result
}

// newGroup returns the pacers of a group's instances.
func newGroup(size int) []Pacer {
	pacers := make([]Pacer, size)
	for i := range pacers {
		pacers[i] = Pacer{GroupSize: size, Rand: rand.New(rand.NewPCG(7, uint64(i)))}
	}
	return pacers
}

// rejectsAtOnceByName has the values of simulatedDiscovery.rejectsAtOnce by their names in messages.
var rejectsAtOnceByName = map[string]bool{"at once": true, "late": false}

// TestSimultaneousStartNotifiesWholeGroup starts all instances of a group at the same time, so that in large groups most
// calls are rejected and retried. 90% of the instances must receive a list within a bound, and no later than without
// pacing.
func TestSimultaneousStartNotifiesWholeGroup(t *testing.T) {
	for rejection, rejectsAtOnce := range rejectsAtOnceByName {
		for _, n := range []int{1, 2, 8, 40, 80, 400} {
			for _, fullGroupTime := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second} { // per call of each instance
				serviceTime := fullGroupTime / time.Duration(max(40, n))
				pacers := newGroup(n)
				paced := simulateGroup(n, serviceTime, rejectsAtOnce, func(i int) time.Duration { return pacers[i].FirstDelay() },
					func(i int, lasted, now time.Duration) time.Duration { return pacers[i].RejectionDelay(lasted, now) })
				bound := fullGroupTime + 3*callInterval*time.Duration(n) + maxCallDelay
				if paced.p90 == 0 || paced.p90 > bound {
					t.Errorf("%d instances, %v per call of each instance, rejected %s: result %+v", n, fullGroupTime, rejection, paced)
				}
				if n < 80 || fullGroupTime < 5*time.Second {
					continue
				}
				if unpaced := simulateUnpacedGroup(n, serviceTime, rejectsAtOnce); unpaced.p90 > 0 && unpaced.p90 < paced.p90 {
					t.Errorf("%d instances, %v per call of each instance, rejected %s: result %+v without pacing, %+v with pacing", n, fullGroupTime, rejection, unpaced, paced)
				}
			}
		}
	}
}

// simulateUnpacedGroup simulates instances that start at the same time and retry in lockstep, after 100 ms that double
// up to 500 ms.
func simulateUnpacedGroup(n int, serviceTime time.Duration, rejectsAtOnce bool) groupResult {
	failures := make([]int, n)
	return simulateGroup(n, serviceTime, rejectsAtOnce, func(int) time.Duration { return 0 }, func(i int, _, _ time.Duration) time.Duration {
		failures[i]++
		return min(minRetryDelay<<min(failures[i]-1, 3), 500*time.Millisecond)
	})
}

// TestSimultaneousSilenceNotifiesWholeGroup ends the watches of a whole group, or makes them fall silent, at the same
// time. The group must receive its lists in time from a discovery that is fast enough to answer all of it in time,
// within 2 s of grace from one that nearly is, and soon from one that is not, with few calls per instance, whether the
// discovery rejects calls immediately or late.
func TestSimultaneousSilenceNotifiesWholeGroup(t *testing.T) {
	for rejection, rejectsAtOnce := range rejectsAtOnceByName {
		for _, n := range []int{1, 3, 40, 300} {
			for _, fullGroupTime := range []time.Duration{2 * time.Second, 3500 * time.Millisecond, 5 * time.Second, 8 * time.Second} { // per call of each instance
				for _, silence := range []time.Duration{0, watchSilenceTimeout} {
					pacers := newGroup(n)
					// The simulated clock starts when the silence is detected.
					got := simulateGroup(n, fullGroupTime/time.Duration(max(40, n)), rejectsAtOnce, func(i int) time.Duration { return pacers[i].RetryDelay(time.Minute, silence) },
						func(i int, lasted, now time.Duration) time.Duration {
							return pacers[i].RejectionDelay(lasted, silence+now)
						})
					limit := silenceLimits(fullGroupTime, silence)
					if got.p90 == 0 || got.p90 > limit.p90 || got.fullGroupTime > limit.fullGroupTime || got.calls >= limit.calls*n && n > 1 {
						t.Errorf("%d instances, silent for %v, %v per call of each instance, rejected %s: result %+v", n, silence, fullGroupTime, rejection, got)
					}
				}
			}
		}
	}
}

// silenceLimits returns the limits for a group whose watches were silent for some time; the limit of calls is per
// instance. fullGroupTime is the time in which the discovery answers one call of each instance.
func silenceLimits(fullGroupTime, silence time.Duration) groupResult {
	const grace = 2 * time.Second
	limit := groupResult{p90: fullGroupTime + maxWindow, fullGroupTime: fullGroupTime + maxWindow + maxAnswerTime, calls: 2}
	switch fullGroupTime {
	case maxAnswerTime: // fast enough to answer the whole group in time
		limit.p90, limit.fullGroupTime = missedEventDeadline-silence, missedEventDeadline-silence
	case 3500 * time.Millisecond:
		limit.p90, limit.fullGroupTime = missedEventDeadline+grace-silence, missedEventDeadline+grace-silence
	case maxWindow:
		limit.calls = 3
	}
	return limit
}

// TestRetryDelayKeepsMissedEventDeadline checks that after any sequence of failures a call that can still be answered by
// the deadline is made early enough, and a later one within maxWindow, the time in which a discovery answers the whole
// group.
func TestRetryDelayKeepsMissedEventDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Pacer{GroupSize: rapid.IntRange(1, 1000).Draw(t, "group"), Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		for range rapid.IntRange(1, 12).Draw(t, "calls") {
			checkRetryDelay(t, &p)
		}
		for range 3 {
			checkRejectionDelay(t, &p)
		}
		if d := p.FirstDelay(); d+maxAnswerTime > missedEventDeadline {
			t.Fatalf("first call delayed by %v, too late for the deadline", d)
		}
		if d := p.MoveDelay(); d+maxAnswerTime > missedEventDeadline-moveTimeSpent {
			t.Fatalf("first call after a move delayed by %v, too late for the deadline", d)
		}
	})
}

// checkRetryDelay draws a failed call and checks the delay of its retry.
func checkRetryDelay(t *rapid.T, p *Pacer) {
	silence := time.Duration(rapid.Int64Range(0, int64(2*missedEventDeadline)).Draw(t, "quiet"))
	lifetime := time.Duration(rapid.Int64Range(0, int64(2*stableWatchTime)).Draw(t, "lived"))
	delay := p.RetryDelay(lifetime, silence)
	if delay < minRetryDelay || delay > maxWindow || p.GroupSize == 1 && delay > minRetryDelay {
		t.Fatalf("group of %d: retry delay %v out of range", p.GroupSize, delay)
	}
	if elapsed := min(lifetime, silence); elapsed+minRetryDelay <= maxCallDelay && elapsed+delay > maxCallDelay {
		t.Fatalf("call failed after %v, watch silent for %v: retry delay %v misses the deadline", lifetime, silence, delay)
	}
	if silence+minRetryDelay <= maxCallDelay && silence+delay > maxCallDelay {
		t.Fatalf("watch silent for %v: retry delay %v misses the deadline", silence, delay)
	}
	if silence+minRetryDelay > maxCallDelay && lifetime >= stableWatchTime && delay > minRetryDelay {
		t.Fatalf("stable watch silent for %v: retry delay %v exceeds the minimum", silence, delay)
	}
}

// checkRejectionDelay draws a call that was rejected when missedEventDeadline had passed, and checks the delay of its
// retry.
func checkRejectionDelay(t *rapid.T, p *Pacer) {
	callDuration := time.Duration(rapid.Int64Range(0, int64(maxAnswerTime)).Draw(t, "lasted"))
	isFirst := p.failures == 0
	delay := p.RejectionDelay(callDuration, missedEventDeadline)
	if delay < minRetryDelay || delay > maxWindow || p.GroupSize == 1 && delay > minRetryDelay {
		t.Fatalf("group of %d: retry delay %v after a rejection out of range", p.GroupSize, delay)
	}
	if !isFirst && p.GroupSize >= 20 && callDuration+delay < maxAnswerTime {
		t.Fatalf("retry %v after the start of the rejected call, before maxAnswerTime", callDuration+delay)
	}
}

func TestPacerDelaysAreBounded(t *testing.T) {
	single := Pacer{}
	if single.FirstDelay() != 0 || single.MoveDelay() != 0 || single.RetryDelay(0, 0) != minRetryDelay {
		t.Error("delays of a single instance exceed the minimum")
	}
	p := Pacer{GroupSize: 80, Rand: rand.New(rand.NewPCG(1, 2))}
	for range 1000 {
		if d := p.FirstDelay(); d < 0 || d >= maxCallDelay {
			t.Fatalf("first delay %v out of range", d)
		}
		if d := p.MoveDelay(); d < 0 || d >= maxMoveDelay {
			t.Fatalf("move delay %v out of range", d)
		}
		for range 4 {
			if d := p.RetryDelay(0, missedEventDeadline); d < minRetryDelay || d >= maxCallDelay {
				t.Fatalf("retry delay %v out of range", d)
			}
		}
		if p.RetryDelay(stableWatchTime, 0); p.failures != 1 {
			t.Fatalf("%d consecutive failures counted after a stable watch, want 1", p.failures)
		}
	}
}

// An instance of a large group calls its own agent without a spread delay after a start, a move or a broken watch,
// because it would use an old list while it waits.
func TestOwnAgentIsCalledWithoutPacing(t *testing.T) {
	f := NewFeed(Source{}, 41, Pacer{GroupSize: 300, Rand: rand.New(rand.NewPCG(1, 2))}, nil)
	for _, agent := range []bool{true, false} {
		maxFirst, maxMove, maxRetry := time.Duration(0), time.Duration(0), time.Duration(0)
		for range 100 {
			p := f.pacerFor(Source{IsOwnAgent: agent})
			maxFirst, maxMove, maxRetry = max(maxFirst, p.FirstDelay()), max(maxMove, p.MoveDelay()), max(maxRetry, p.RetryDelay(0, missedEventDeadline))
		}
		if !agent {
			if maxFirst < time.Second || maxRetry < maxCallDelay*9/10 || maxRetry > maxCallDelay {
				t.Errorf("shared discovery: maximum first delay %v, maximum retry delay %v", maxFirst, maxRetry)
			}
		} else if maxFirst > 0 || maxMove > 0 || maxRetry > minRetryDelay {
			t.Errorf("own agent: maximum first delay %v, move delay %v, retry delay %v", maxFirst, maxMove, maxRetry)
		}
	}
}
