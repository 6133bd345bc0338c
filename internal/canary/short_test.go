package canary

import (
	"testing"
	"time"

	"lockflow/internal/instancestats"
)

// newShortTestFleet returns a fleet with a bake of at most a minute and a reading per second, like the tests that run
// real processes.
func newShortTestFleet(n int) *testFleet {
	f := newTestFleet(n, 3)
	f.judge = NewJudge(Options{Stages: 3, MinBake: 5 * time.Second, MaxBake: time.Minute, WarmUp: 2 * time.Second, Onset: 2 * time.Second})
	return f
}

// observeUntilVerdict observes intervals of one second, each with the counts of ten seconds, until there is a verdict.
func (f *testFleet) observeUntilVerdict(seconds int, each func(i int, r *Reading)) Verdict {
	var v Verdict
	for range seconds {
		f.now -= 9 * time.Second
		f.observe(1, each)
		if v = f.judge.Verdict(f.now); v.Kind != KindWait {
			break
		}
	}
	return v
}

func TestShortBake(t *testing.T) {
	for _, c := range []struct {
		name          string
		controls      int
		secondsBefore int // seconds of observation before the stage
		within        time.Duration
		want          VerdictKind
		each          func(c *testFleet, i int, r *Reading)
	}{
		{"program with a control", 1, 5, 40 * time.Second, KindPass, nil},
		{"fluctuating memory", 1, 5, 40 * time.Second, KindPass, func(c *testFleet, _ int, r *Reading) { r.Statistics.MemoryKB += c.rng.IntN(40000) }},
		{"settings", 0, 5, 40 * time.Second, KindPass, nil},
		{"no baseline", 0, 0, 40 * time.Second, KindPass, nil},
		{"seconds without requests", 1, 5, 50 * time.Second, KindPass, func(c *testFleet, _ int, r *Reading) {
			if c.now/time.Second%4 == 0 { // only the CPU time increases
				idle := r.Statistics.CPU
				r.Statistics = c.previous[r.Member]
				r.Statistics.CPU = idle
			}
		}},
		{"slow responses without a baseline", 0, 0, 20 * time.Second, KindWorse, func(_ *testFleet, _ int, r *Reading) {
			if r.Side == SideNew {
				n := r.Statistics.Delays.Total()
				r.Statistics.Delays = instancestats.Delays{}
				r.Statistics.Delays[instancestats.Bucket(300*time.Millisecond)] = n
			}
		}},
		{"memory leak during the bake", 1, 5, 70 * time.Second, KindWorse, func(c *testFleet, _ int, r *Reading) {
			if r.Side == SideNew {
				r.Statistics.MemoryKB += int(3000 * c.now.Seconds())
			}
		}},
	} {
		fleet := newShortTestFleet(4)
		observe := func(seconds int) Verdict {
			return fleet.observeUntilVerdict(seconds, func(i int, r *Reading) {
				if c.each != nil {
					c.each(fleet, i, r)
				}
				fleet.previous[r.Member] = r.Statistics
			})
		}
		observe(c.secondsBefore)
		fleet.beginStage(0, 1, c.controls)
		stageStartedAt := fleet.now
		if v := observe(70); v.Kind != c.want || fleet.now-stageStartedAt > c.within {
			t.Errorf("%s: verdict %v after %v: %s", c.name, v.Kind, fleet.now-stageStartedAt, v.Reason)
		}
	}
}
