package canary

import (
	"testing"
	"time"

	"lockflow/internal/instancestats"
)

// brief is a crew that is watched for a minute at most, a reading each second, as tests and the impatient do.
func brief(n int) *crew {
	c := newCrew(n, 3)
	c.j = NewJudge(Options{Stages: 3, MinBake: 5 * time.Second, MaxBake: time.Minute, WarmUp: 2 * time.Second, Onset: 2 * time.Second})
	return c
}

// tick is a second: run's ten, told as one.
func (c *crew) tick(seconds int, each func(i int, r *Reading)) Verdict {
	var v Verdict
	for range seconds {
		c.now -= 9 * time.Second
		c.run(1, each)
		if v = c.j.Verdict(c.now); v.Kind != KindWait {
			break
		}
	}
	return v
}

func TestShortWatch(t *testing.T) {
	for _, c := range []struct {
		name     string
		controls int
		before   int // seconds watched before
		within   time.Duration
		want     VerdictKind
		each     func(c *crew, i int, r *Reading)
	}{
		{"a program with a control", 1, 5, 40 * time.Second, KindPass, nil},
		{"memory that goes up and down", 1, 5, 40 * time.Second, KindPass, func(c *crew, _ int, r *Reading) { r.Statistics.MemoryKB += c.rng.IntN(40000) }},
		{"settings", 0, 5, 40 * time.Second, KindPass, nil},
		{"nothing before", 0, 0, 40 * time.Second, KindPass, nil},
		{"seconds without a request", 1, 5, 50 * time.Second, KindPass, func(c *crew, _ int, r *Reading) {
			if c.now/time.Second%4 == 0 { // CPU alone goes on
				idle := r.Statistics.CPU
				r.Statistics = c.before[r.Member]
				r.Statistics.CPU = idle
			}
		}},
		{"slow, and nothing before", 0, 0, 20 * time.Second, KindWorse, func(_ *crew, _ int, r *Reading) {
			if r.Side == SideNew {
				n := r.Statistics.Delays.Total()
				r.Statistics.Delays = instancestats.Delays{}
				r.Statistics.Delays[instancestats.Bucket(300*time.Millisecond)] = n
			}
		}},
		{"a leak that fills memory in the watch", 1, 5, 70 * time.Second, KindWorse, func(c *crew, _ int, r *Reading) {
			if r.Side == SideNew {
				r.Statistics.MemoryKB += int(3000 * c.now.Seconds())
			}
		}},
	} {
		k := brief(4)
		play := func(seconds int) Verdict {
			return k.tick(seconds, func(i int, r *Reading) {
				if c.each != nil {
					c.each(k, i, r)
				}
				k.before[r.Member] = r.Statistics
			})
		}
		play(c.before)
		k.stage(0, 1, c.controls)
		begun := k.now
		if v := play(70); v.Kind != c.want || k.now-begun > c.within {
			t.Errorf("%s: %v after %v: %s", c.name, v.Kind, k.now-begun, v.Reason)
		}
	}
}
