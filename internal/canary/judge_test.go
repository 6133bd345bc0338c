package canary

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lockflow/internal/instancestats"

	"pgregory.net/rapid"
)

// crew is a fleet that all counts alike but for what a test changes.
type crew struct {
	j   *Judge
	rng *rand.Rand
	now time.Duration
	all []Reading

	before map[string]instancestats.Statistics // kept by tests that want them
}

func newCrew(n int, seed uint64) *crew {
	c := &crew{j: NewJudge(Options{}), rng: rand.New(rand.NewPCG(seed, 1)), before: make(map[string]instancestats.Statistics)}
	for i := range n {
		c.all = append(c.all, Reading{Member: fmt.Sprint(i), IsServing: true, Statistics: instancestats.Statistics{Began: time.Unix(1, 0)}})
	}
	return c
}

// run plays intervals of 10 s with a hook for each.
func (c *crew) run(intervals int, each func(i int, r *Reading)) {
	for range intervals {
		c.now += 10 * time.Second
		for i := range c.all {
			f := &c.all[i].Statistics
			n := 150 + c.rng.IntN(100)
			f.Requests += uint64(n)
			f.OfferedWeight += float64(n)
			f.Served += float64(n)
			f.Units += float64(n)
			f.CPU += time.Duration(n) * time.Millisecond
			f.MemoryKB = 100000 + c.rng.IntN(1000)
			for range n / 5 {
				f.Delays.Add(time.Duration(20+c.rng.IntN(10)) * time.Millisecond)
			}
			if each != nil {
				each(i, &c.all[i])
			}
		}
		c.j.Observe(c.now, c.all)
	}
}

// stage begins one with members from..to changed and as many controls after them.
func (c *crew) stage(from, to, controls int) {
	c.j.Begin(c.now, c.all)
	for i := from; i < to+controls; i++ {
		c.all[i].Side, c.all[i].Statistics = SideNew, instancestats.Statistics{Began: time.Unix(2, int64(c.now))}
		if i >= to {
			c.all[i].Side = SideControl
		}
	}
}

func fails(r *Reading, n int) {
	r.Statistics.Failed += uint64(n)
	r.Statistics.Served -= float64(n)
}

// verdicts are what one of twelve does once it is changed, for how many intervals, and what has to come of it.
var verdicts = []struct {
	name string
	want VerdictKind
	run  int
	each func(c *crew, i int, r *Reading)
}{
	{"alike", KindPass, 60, nil},
	{"too early", KindWait, 20, nil},
	{"fails", KindWorse, 20, func(_ *crew, _ int, r *Reading) {
		if r.Side == SideNew {
			fails(r, 20)
		}
	}},
	{"the world fails", KindPass, 60, func(c *crew, _ int, r *Reading) {
		if c.now > 8*time.Minute {
			fails(r, 20)
		}
	}},
	{"cold ones fail, control too", KindPass, 60, func(c *crew, _ int, r *Reading) {
		if r.Side != SideOld && c.now < 7*time.Minute {
			fails(r, 4)
		}
	}},
	{"nonsense of an old one", KindPass, 60, func(c *crew, i int, r *Reading) {
		switch i {
		case 5:
			r.Statistics.OfferedWeight = math.NaN()
		case 6:
			r.Statistics.Requests = uint64(c.rng.Int64())
		case 7:
			r.Statistics.Units = -1
		}
	}},
	{"nonsense of the new one", KindNoEvidence, 400, func(_ *crew, i int, r *Reading) {
		if i == 0 && r.Side == SideNew {
			r.Statistics.Served = math.NaN()
		}
	}},
	{"nobody asks the new one", KindNoEvidence, 400, func(_ *crew, _ int, r *Reading) {
		if r.Side == SideNew {
			r.Statistics = instancestats.Statistics{Began: r.Statistics.Began, MemoryKB: 100000}
		}
	}},
	{"the new one crashes", KindWorse, 30, func(c *crew, _ int, r *Reading) {
		if r.Side == SideNew && c.now%time.Minute == 0 {
			r.Statistics = instancestats.Statistics{Began: time.Unix(3, int64(c.now))}
		}
	}},
	{"all crash", KindWait, 20, func(c *crew, _ int, r *Reading) {
		if c.now == 6*time.Minute {
			r.Statistics = instancestats.Statistics{Began: time.Unix(3, int64(c.now))}
		}
	}},
	{"others are harmed, and the new one takes more", KindWorse, 60, func(_ *crew, _ int, r *Reading) {
		if r.Side == SideNew {
			r.Statistics.Units += 12
		}
		fails(r, 6)
	}},
	{"others are harmed, nothing tells by whom", KindNoEvidence, 400, func(_ *crew, _ int, r *Reading) { fails(r, 10) }},
}

func TestVerdicts(t *testing.T) {
	for _, c := range verdicts {
		t.Run(c.name, func(t *testing.T) {
			f := newCrew(12, 1)
			f.run(30, nil)
			f.stage(0, 1, 1)
			last := Verdict{}
			for range c.run {
				f.run(1, func(i int, r *Reading) {
					if c.each != nil {
						c.each(f, i, r)
					}
				})
				if last = f.j.Verdict(f.now); last.Kind != KindWait {
					break
				}
			}
			if last.Kind != c.want {
				t.Errorf("%v (%s) after %v", last.Kind, last.Reason, f.now)
			}
		})
	}
}

// Whatever members tell, the judge neither panics nor passes a changed one that tells nonsense.
func TestNonsenseIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newCrew(4, 2)
		any := rapid.Custom(func(t *rapid.T) instancestats.Statistics {
			v := rapid.OneOf(rapid.Float64(), rapid.Just(math.NaN()), rapid.Just(math.Inf(1)), rapid.Float64Range(0, 1e6))
			n := rapid.OneOf(rapid.Uint64(), rapid.Uint64Range(0, 1e6))
			return instancestats.Statistics{
				OfferedWeight: v.Draw(t, "asked"), Served: v.Draw(t, "served"), Units: v.Draw(t, "units"), Requests: n.Draw(t, "requests"),
				Failed: n.Draw(t, "failed"), Rejected: n.Draw(t, "refused"), OverQuota: n.Draw(t, "beyond"), CPU: time.Duration(rapid.Int64().Draw(t, "cpu")),
				MemoryKB: rapid.Int().Draw(t, "memory"), Began: time.Unix(rapid.Int64Range(0, 2).Draw(t, "began"), 0),
			}
		})
		f.run(5, nil)
		f.stage(0, 1, 1)
		for range rapid.IntRange(1, 40).Draw(t, "intervals") {
			f.now += 10 * time.Second
			for i := range f.all {
				f.all[i].Statistics = any.Draw(t, "figures")
				f.all[i].IsServing = rapid.Bool().Draw(t, "up")
			}
			f.j.Observe(f.now, f.all)
			if v := f.j.Verdict(f.now); v.Kind == KindPass {
				t.Fatalf("%+v", v)
			}
		}
	})
}

// A random walk crosses a bound for any number of looks in less than its part, and one for one look in far more.
func TestWidthHoldsAtEveryLook(t *testing.T) {
	const walks, alpha = 2000, 0.05
	crossed := map[bool]int{}
	for seed := range uint64(walks) {
		r := rand.New(rand.NewPCG(seed, 3))
		sum, done := 0.0, map[bool]bool{}
		for i := 1; i <= 500; i++ {
			sum += r.NormFloat64()
			for _, seq := range []bool{true, false} {
				if !done[seq] && sum/float64(i) > boundWidth(1/float64(i), 0.3, alpha, seq) {
					done[seq] = true
					crossed[seq]++
				}
			}
		}
	}
	if crossed[true] > walks*alpha || crossed[false] < 4*walks*alpha {
		t.Errorf("of %d: %v", walks, crossed)
	}
}

// Looking at crashes after each, under a rate that is usual, raises an alarm in less than its part.
func TestCrashesAtTheUsualRate(t *testing.T) {
	const runs, limit = 20000, 100
	n := 0
	for seed := range uint64(runs) {
		r := rand.New(rand.NewPCG(seed, 4))
		for e := (rareEvents{}); e.exposure[1] < 1000*time.Hour; {
			e.addExposure(true, time.Duration(r.ExpFloat64()*float64(240*time.Hour)))
			if e.add(true); e.absoluteEvidence(240*time.Hour) >= limit {
				n++
				break
			}
		}
	}
	if n > runs/limit {
		t.Errorf("%d of %d", n, runs)
	}
}
