package canary

import (
	"testing"
	"time"

	"lockflow/internal/instancestats"
)

// newShortTestFleet returns a fleet that bakes for a minute at most, with a reading each second, as tests of processes do.
func newShortTestFleet(n int) *testFleet {
	c := newTestFleet(n, 3)
	c.judge = NewJudge(Options{Stages: 3, MinBake: 5 * time.Second, MaxBake: time.Minute, WarmUp: 2 * time.Second, Onset: 2 * time.Second})
	return c
}

// watch observes intervals of a second, with the counts of ten, until there is a verdict.
func (c *testFleet) watch(seconds int, each func(i int, r *Reading)) Verdict {
	var v Verdict
	for range seconds {
		c.now -= 9 * time.Second
		c.observe(1, each)
		if v = c.judge.Verdict(c.now); v.Kind != KindWait {
			break
		}
	}
	return v
}

func TestShortBake(t *testing.T) {
	for _, c := range []struct {
		name     string
		controls int
		before   int // seconds watched before
		within   time.Duration
		want     VerdictKind
		each     func(c *testFleet, i int, r *Reading)
	}{
		{"a program with a control", 1, 5, 40 * time.Second, KindPass, nil},
		{"memory that goes up and down", 1, 5, 40 * time.Second, KindPass, func(c *testFleet, _ int, r *Reading) { r.Statistics.MemoryKB += c.rng.IntN(40000) }},
		{"settings", 0, 5, 40 * time.Second, KindPass, nil},
		{"nothing before", 0, 0, 40 * time.Second, KindPass, nil},
		{"seconds without a request", 1, 5, 50 * time.Second, KindPass, func(c *testFleet, _ int, r *Reading) {
			if c.now/time.Second%4 == 0 { // CPU alone goes on
				idle := r.Statistics.CPU
				r.Statistics = c.previous[r.Member]
				r.Statistics.CPU = idle
			}
		}},
		{"slow, and nothing before", 0, 0, 20 * time.Second, KindWorse, func(_ *testFleet, _ int, r *Reading) {
			if r.Side == SideNew {
				n := r.Statistics.Delays.Total()
				r.Statistics.Delays = instancestats.Delays{}
				r.Statistics.Delays[instancestats.Bucket(300*time.Millisecond)] = n
			}
		}},
		{"a leak that fills memory in the watch", 1, 5, 70 * time.Second, KindWorse, func(c *testFleet, _ int, r *Reading) {
			if r.Side == SideNew {
				r.Statistics.MemoryKB += int(3000 * c.now.Seconds())
			}
		}},
	} {
		k := newShortTestFleet(4)
		play := func(seconds int) Verdict {
			return k.watch(seconds, func(i int, r *Reading) {
				if c.each != nil {
					c.each(k, i, r)
				}
				k.previous[r.Member] = r.Statistics
			})
		}
		play(c.before)
		k.beginStage(0, 1, c.controls)
		begun := k.now
		if v := play(70); v.Kind != c.want || k.now-begun > c.within {
			t.Errorf("%s: %v after %v: %s", c.name, v.Kind, k.now-begun, v.Reason)
		}
	}
}
