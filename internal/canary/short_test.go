package canary

import (
	"testing"
	"time"

	"lockflow/internal/instancestats"
)

// brief is a crew that is watched for a minute at most, a reading each second, as tests and the impatient do.
func brief(n int) *crew {
	c := newCrew(n, 3)
	c.j = NewJudge(Options{Stages: 3, BakeLeast: 5 * time.Second, BakeMost: time.Minute, Warm: 2 * time.Second, Onset: 2 * time.Second})
	return c
}

// tick is a second: run's ten, told as one.
func (c *crew) tick(seconds int, each func(i int, r *Reading)) Verdict {
	var v Verdict
	for range seconds {
		c.now -= 9 * time.Second
		c.run(1, each)
		if v = c.j.Verdict(c.now); v.Kind != Wait {
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
		want     Kind
		each     func(c *crew, i int, r *Reading)
	}{
		{"a program with a control", 1, 5, 40 * time.Second, Pass, nil},
		{"memory that goes up and down", 1, 5, 40 * time.Second, Pass, func(c *crew, _ int, r *Reading) { r.Figures.MemoryKB += c.rng.IntN(40000) }},
		{"settings", 0, 5, 40 * time.Second, Pass, nil},
		{"nothing before", 0, 0, 40 * time.Second, Pass, nil},
		{"seconds without a request", 1, 5, 50 * time.Second, Pass, func(c *crew, _ int, r *Reading) {
			if c.now/time.Second%4 == 0 { // CPU alone goes on
				idle := r.Figures.CPU
				r.Figures = c.before[r.Member]
				r.Figures.CPU = idle
			}
		}},
		{"slow, and nothing before", 0, 0, 20 * time.Second, Worse, func(_ *crew, _ int, r *Reading) {
			if r.Side == New {
				n := r.Figures.Delays.Total()
				r.Figures.Delays = instancestats.Delays{}
				r.Figures.Delays[instancestats.Bucket(300*time.Millisecond)] = n
			}
		}},
		{"a leak that fills memory in the watch", 1, 5, 70 * time.Second, Worse, func(c *crew, _ int, r *Reading) {
			if r.Side == New {
				r.Figures.MemoryKB += int(3000 * c.now.Seconds())
			}
		}},
	} {
		k := brief(4)
		play := func(seconds int) Verdict {
			return k.tick(seconds, func(i int, r *Reading) {
				if c.each != nil {
					c.each(k, i, r)
				}
				k.before[r.Member] = r.Figures
			})
		}
		play(c.before)
		k.stage(0, 1, c.controls)
		begun := k.now
		if v := play(70); v.Kind != c.want || k.now-begun > c.within {
			t.Errorf("%s: %v after %v: %s", c.name, v.Kind, k.now-begun, v.Why)
		}
	}
}
