package discovery

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lockflow/internal/vtime"
)

// registry is a discovery that takes so many calls a second in turn, also those that nobody waits for
// any more, and has a caller wait for so long at most.
type registry struct {
	vtime.Clock
	free time.Duration // when the last call that it took is done
	each time.Duration
	wait time.Duration
	soon bool // it turns callers away at once
}

// call takes a call; ok is whether it was answered in time, after some time either way.
func (r *registry) call() (ok bool, after time.Duration) {
	r.free = max(r.free, r.Now()) + r.each
	if took := r.free - r.Now(); took <= r.wait {
		return true, took
	}
	r.free -= r.each / 2 // turning one away is work too
	if r.soon {
		return false, 0
	}
	return false, min(r.wait, r.free-r.Now())
}

// simulateGroup plays instances that all begin in one moment; it gives when nine in ten, and all, had a
// watch, and 0 for never.
func simulateGroup(instances int, each time.Duration, soon bool, first func(i int) time.Duration, again func(i int, lasted, now time.Duration) time.Duration) (most, all time.Duration, calls int) {
	r := &registry{each: each, wait: 2 * time.Second, soon: soon}
	n := 0
	var ask func(i int)
	ask = func(i int) {
		calls++
		ok, after := r.call()
		r.After(after, func() {
			if !ok {
				r.After(again(i, after, r.Now()), func() { ask(i) })
				return
			}
			if n++; n == (instances*9+9)/10 {
				most = r.Now()
			}
			if n == instances {
				all = r.Now()
			}
		})
	}
	for i := range instances {
		r.At(first(i), func() { ask(i) })
	}
	r.Run(time.Minute)
	return most, all, calls
}

// rejections is whether a discovery turns calls away at once, or once they have waited.
var rejections = map[string]bool{"at once": true, "late": false}

// Guards against a group that starts at once, is turned away for the most part, and asks again at
// once until nobody is told anything any more.
func TestSimultaneousStartNotifiesWholeGroup(t *testing.T) {
	for how, soon := range rejections {
		for _, n := range []int{1, 2, 8, 40, 80, 400} {
			for _, all := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second} { // that one call of each takes
				each := all / time.Duration(max(40, n))
				paces := make([]Pacer, n)
				for i := range paces {
					paces[i] = Pacer{GroupSize: n, Rand: rand.New(rand.NewPCG(7, uint64(i)))}
				}
				most, last, calls := simulateGroup(n, each, soon, func(i int) time.Duration { return paces[i].FirstDelay() },
					func(i int, lasted, now time.Duration) time.Duration { return paces[i].RejectionDelay(lasted, now) })
				bound := all + 3*callInterval*time.Duration(n) + maxCallDelay
				if most == 0 || most > bound {
					t.Errorf("%d instances, %v for a call of each, turned away %s: nine in ten are told after %v, all after %v, by %d calls", n, all, how, most, last, calls)
				}
				if n < 80 || all < 5*time.Second {
					continue
				}
				// What was before: 100 ms, doubled up to 500 ms, in step.
				fails := make([]int, n)
				if before, _, old := simulateGroup(n, each, soon, func(int) time.Duration { return 0 }, func(i int, _, _ time.Duration) time.Duration {
					fails[i]++
					return min(minRetryDelay<<min(fails[i]-1, 3), 500*time.Millisecond)
				}); before > 0 && before < most {
					t.Errorf("%d instances, %v, turned away %s: told after %v by %d calls with no pace, %v by %d with it", n, all, how, before, old, most, calls)
				}
			}
		}
	}
}

// A group whose watches fall silent, or end, in one moment is told in time by a discovery that can answer
// all of it in time, within the 2 s that sends may take to stop by one that nearly can, and soon by
// one that can't, for few calls each, whether it turns calls away at once or late.
func TestSimultaneousSilenceNotifiesWholeGroup(t *testing.T) {
	const grace = 2 * time.Second
	for how, soonAway := range rejections {
		for _, n := range []int{1, 3, 40, 300} {
			for _, all := range []time.Duration{2 * time.Second, 3500 * time.Millisecond, 5 * time.Second, 8 * time.Second} { // that one call of each takes
				for _, quiet := range []time.Duration{0, watchSilenceTimeout} {
					paces := make([]Pacer, n)
					for i := range paces {
						paces[i] = Pacer{GroupSize: n, Rand: rand.New(rand.NewPCG(7, uint64(i)))}
					}
					// The clock begins as the silence is noticed.
					most, last, calls := simulateGroup(n, all/time.Duration(max(40, n)), soonAway, func(i int) time.Duration { return paces[i].RetryDelay(time.Minute, quiet) },
						func(i int, lasted, now time.Duration) time.Duration {
							return paces[i].RejectionDelay(lasted, quiet+now)
						})
					soon, late, each := all+maxWindow, all+maxWindow+maxAnswerTime, 2
					switch all {
					case maxAnswerTime: // it can answer them all in time
						soon, late = missedEventDeadline-quiet, missedEventDeadline-quiet
					case 3500 * time.Millisecond:
						soon, late = missedEventDeadline+grace-quiet, missedEventDeadline+grace-quiet
					case maxWindow:
						each = 3
					}
					if most == 0 || most > soon || last > late || calls >= each*n && n > 1 {
						t.Errorf("%d instances, silent for %v, %v for a call of each, turned away %s: nine in ten are told after %v, all after %v, by %d calls",
							n, quiet, all, how, most, last, calls)
					}
				}
			}
		}
	}
}

// Whatever has failed before, a call that can still be answered in time comes in time; later ones come
// within what a discovery takes to answer the whole group.
func TestRetryDelayKeepsMissedEventDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Pacer{GroupSize: rapid.IntRange(1, 1000).Draw(t, "group"), Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		for range rapid.IntRange(1, 12).Draw(t, "calls") {
			quiet := time.Duration(rapid.Int64Range(0, int64(2*missedEventDeadline)).Draw(t, "quiet"))
			lived := time.Duration(rapid.Int64Range(0, int64(2*stableWatchTime)).Draw(t, "lived"))
			after := p.RetryDelay(lived, quiet)
			if after < minRetryDelay || after > maxWindow || p.GroupSize == 1 && after > minRetryDelay {
				t.Fatalf("a group of %d asks again after %v", p.GroupSize, after)
			}
			if since := min(lived, quiet); since+minRetryDelay <= maxCallDelay && since+after > maxCallDelay {
				t.Fatalf("after a call that failed in %v, silent for %v, it asks again after %v", lived, quiet, after)
			}
			if quiet+minRetryDelay <= maxCallDelay && quiet+after > maxCallDelay {
				t.Fatalf("silent for %v, it asks again after %v", quiet, after)
			}
			if quiet+minRetryDelay > maxCallDelay && lived >= stableWatchTime && after > minRetryDelay {
				t.Fatalf("held up for %v by itself, it asks again after %v", quiet, after)
			}
		}
		for range 3 {
			lasted := time.Duration(rapid.Int64Range(0, int64(maxAnswerTime)).Draw(t, "lasted"))
			first := p.failures == 0
			after := p.RejectionDelay(lasted, missedEventDeadline)
			if after < minRetryDelay || after > maxWindow || p.GroupSize == 1 && after > minRetryDelay {
				t.Fatalf("a group of %d, turned away, asks again after %v", p.GroupSize, after)
			}
			if !first && p.GroupSize >= 20 && lasted+after < maxAnswerTime {
				t.Fatalf("turned away, it asks again %v after it asked", lasted+after)
			}
		}
		if d := p.FirstDelay(); d+maxAnswerTime > missedEventDeadline {
			t.Fatalf("the first call comes after %v", d)
		}
		if d := p.MoveDelay(); d+maxAnswerTime > missedEventDeadline-moveTimeSpent {
			t.Fatalf("the first call after a move comes after %v", d)
		}
	})
}

func TestPacerDelaysAreBounded(t *testing.T) {
	one := Pacer{}
	if one.FirstDelay() != 0 || one.MoveDelay() != 0 || one.RetryDelay(0, 0) != minRetryDelay {
		t.Error("one instance waits for others")
	}
	p := Pacer{GroupSize: 80, Rand: rand.New(rand.NewPCG(1, 2))}
	for range 1000 {
		if d := p.FirstDelay(); d < 0 || d >= maxCallDelay {
			t.Fatalf("first after %v", d)
		}
		if d := p.MoveDelay(); d < 0 || d >= maxMoveDelay {
			t.Fatalf("moved after %v", d)
		}
		for range 4 {
			if d := p.RetryDelay(0, missedEventDeadline); d < minRetryDelay || d >= maxCallDelay {
				t.Fatalf("again after %v", d)
			}
		}
		if p.RetryDelay(stableWatchTime, 0); p.failures != 1 {
			t.Fatalf("%d failures are remembered after a watch that lived", p.failures)
		}
	}
}

// One of hundreds whose own agent has the list asks it at once, after each start, move and break: a
// change counts as told while it waits.
func TestOwnAgentIsCalledWithoutPacing(t *testing.T) {
	f := NewFeed(Source{}, 41, Pacer{GroupSize: 300, Rand: rand.New(rand.NewPCG(1, 2))}, nil)
	for _, agent := range []bool{true, false} {
		first, moved, again := time.Duration(0), time.Duration(0), time.Duration(0)
		for range 100 {
			p := f.pacerFor(Source{IsOwnAgent: agent})
			first, moved, again = max(first, p.FirstDelay()), max(moved, p.MoveDelay()), max(again, p.RetryDelay(0, missedEventDeadline))
		}
		if !agent {
			if first < time.Second || again < maxCallDelay*9/10 || again > maxCallDelay {
				t.Errorf("a shared discovery is asked within %v, and again within %v", first, again)
			}
		} else if first > 0 || moved > 0 || again > minRetryDelay {
			t.Errorf("the own agent is asked after %v, when moved after %v, again after %v", first, moved, again)
		}
	}
}
