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

// testFleet is a fleet whose members report statistics of the same distribution, except for what a test changes.
type testFleet struct {
	judge    *Judge
	rng      *rand.Rand
	now      time.Duration
	readings []Reading

	previous map[string]instancestats.Statistics // statistics of the last observation by member, set by tests that need them
}

func newTestFleet(n int, seed uint64) *testFleet {
	f := &testFleet{judge: NewJudge(Options{}), rng: rand.New(rand.NewPCG(seed, 1)), previous: make(map[string]instancestats.Statistics)}
	for i := range n {
		f.readings = append(f.readings, Reading{Member: fmt.Sprint(i), IsServing: true, Statistics: instancestats.Statistics{Began: time.Unix(1, 0)}})
	}
	return f
}

// observe adds intervals of 10 s. each, if not nil, changes a member's reading before the judge observes it.
func (f *testFleet) observe(intervals int, each func(i int, r *Reading)) {
	for range intervals {
		f.now += 10 * time.Second
		for i := range f.readings {
			statistics := &f.readings[i].Statistics
			requests := 150 + f.rng.IntN(100)
			statistics.Requests += uint64(requests)
			statistics.OfferedWeight += float64(requests)
			statistics.Served += float64(requests)
			statistics.Units += float64(requests)
			statistics.CPU += time.Duration(requests) * time.Millisecond
			statistics.MemoryKB = 100000 + f.rng.IntN(1000)
			for range requests / 5 {
				statistics.Delays.Add(time.Duration(20+f.rng.IntN(10)) * time.Millisecond)
			}
			if each != nil {
				each(i, &f.readings[i])
			}
		}
		f.judge.Observe(f.now, f.readings)
	}
}

// beginStage begins a stage that changes the members with indexes from up to and excluding to. The members that follow
// them become controls.
func (f *testFleet) beginStage(from, to, controls int) {
	f.judge.Begin(f.now, f.readings)
	for i := from; i < to+controls; i++ {
		f.readings[i].Side, f.readings[i].Statistics = SideNew, instancestats.Statistics{Began: time.Unix(2, int64(f.now))}
		if i >= to {
			f.readings[i].Side = SideControl
		}
	}
}

func addFailures(r *Reading, failures int) {
	r.Statistics.Failed += uint64(failures)
	r.Statistics.Served -= float64(failures)
}

// verdictCases define how the readings of a fleet of twelve members change after one member has changed, the number of
// intervals of 10 s, and the expected verdict.
var verdictCases = []struct {
	name string
	want VerdictKind
	run  int
	each func(c *testFleet, i int, r *Reading)
}{
	{"alike", KindPass, 60, nil},
	{"too early", KindWait, 20, nil},
	{"fails", KindWorse, 20, func(_ *testFleet, _ int, r *Reading) {
		if r.Side == SideNew {
			addFailures(r, 20)
		}
	}},
	{"all fail", KindPass, 60, func(c *testFleet, _ int, r *Reading) {
		if c.now > 8*time.Minute {
			addFailures(r, 20)
		}
	}},
	{"restarted ones fail while warming up", KindPass, 60, func(c *testFleet, _ int, r *Reading) {
		if r.Side != SideOld && c.now < 7*time.Minute {
			addFailures(r, 4)
		}
	}},
	{"implausible old ones", KindPass, 60, func(c *testFleet, i int, r *Reading) {
		switch i {
		case 5:
			r.Statistics.OfferedWeight = math.NaN()
		case 6:
			r.Statistics.Requests = uint64(c.rng.Int64())
		case 7:
			r.Statistics.Units = -1
		}
	}},
	{"implausible new one", KindNoEvidence, 400, func(_ *testFleet, i int, r *Reading) {
		if i == 0 && r.Side == SideNew {
			r.Statistics.Served = math.NaN()
		}
	}},
	{"new one without requests", KindNoEvidence, 400, func(_ *testFleet, _ int, r *Reading) {
		if r.Side == SideNew {
			r.Statistics = instancestats.Statistics{Began: r.Statistics.Began, MemoryKB: 100000}
		}
	}},
	{"new one crashes", KindWorse, 30, func(c *testFleet, _ int, r *Reading) {
		if r.Side == SideNew && c.now%time.Minute == 0 {
			r.Statistics = instancestats.Statistics{Began: time.Unix(3, int64(c.now))}
		}
	}},
	{"all crash", KindWait, 20, func(c *testFleet, _ int, r *Reading) {
		if c.now == 6*time.Minute {
			r.Statistics = instancestats.Statistics{Began: time.Unix(3, int64(c.now))}
		}
	}},
	{"unchanged ones harmed, new one sends more units", KindWorse, 60, func(_ *testFleet, _ int, r *Reading) {
		if r.Side == SideNew {
			r.Statistics.Units += 12
		}
		addFailures(r, 6)
	}},
	{"unchanged ones harmed, cause unknown", KindNoEvidence, 400, func(_ *testFleet, _ int, r *Reading) { addFailures(r, 10) }},
}

func TestVerdicts(t *testing.T) {
	for _, c := range verdictCases {
		t.Run(c.name, func(t *testing.T) {
			fleet := newTestFleet(12, 1)
			fleet.observe(30, nil)
			fleet.beginStage(0, 1, 1)
			last := Verdict{}
			for range c.run {
				fleet.observe(1, func(i int, r *Reading) {
					if c.each != nil {
						c.each(fleet, i, r)
					}
				})
				if last = fleet.judge.Verdict(fleet.now); last.Kind != KindWait {
					break
				}
			}
			if last.Kind != c.want {
				t.Errorf("verdict %v (%s) after %v", last.Kind, last.Reason, fleet.now)
			}
		})
	}
}

// Random statistics, including NaN and infinite values, must neither make the judge panic nor let a stage pass.
func TestImplausibleReadingsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newTestFleet(4, 2)
		any := rapid.Custom(func(t *rapid.T) instancestats.Statistics {
			v := rapid.OneOf(rapid.Float64(), rapid.Just(math.NaN()), rapid.Just(math.Inf(1)), rapid.Float64Range(0, 1e6))
			n := rapid.OneOf(rapid.Uint64(), rapid.Uint64Range(0, 1e6))
			return instancestats.Statistics{
				OfferedWeight: v.Draw(t, "asked"), Served: v.Draw(t, "served"), Units: v.Draw(t, "units"), Requests: n.Draw(t, "requests"),
				Failed: n.Draw(t, "failed"), Rejected: n.Draw(t, "refused"), OverQuota: n.Draw(t, "beyond"), CPU: time.Duration(rapid.Int64().Draw(t, "cpu")),
				MemoryKB: rapid.Int().Draw(t, "memory"), Began: time.Unix(rapid.Int64Range(0, 2).Draw(t, "began"), 0),
			}
		})
		fleet.observe(5, nil)
		fleet.beginStage(0, 1, 1)
		for range rapid.IntRange(1, 40).Draw(t, "intervals") {
			fleet.now += 10 * time.Second
			for i := range fleet.readings {
				fleet.readings[i].Statistics = any.Draw(t, "figures")
				fleet.readings[i].IsServing = rapid.Bool().Draw(t, "up")
			}
			fleet.judge.Observe(fleet.now, fleet.readings)
			if v := fleet.judge.Verdict(fleet.now); v.Kind == KindPass {
				t.Fatalf("stage passed with implausible readings: %+v", v)
			}
		}
	})
}

// A random walk crosses the sequential bound with less than its nominal probability over 500 evaluations. It crosses the
// bound for a single evaluation far more often, which shows that the test can fail.
func TestBoundHoldsAtEveryEvaluation(t *testing.T) {
	const walks, alpha = 2000, 0.05
	crossed := map[bool]int{}
	for seed := range uint64(walks) {
		r := rand.New(rand.NewPCG(seed, 3))
		sum, hasCrossed := 0.0, map[bool]bool{}
		for i := 1; i <= 500; i++ {
			sum += r.NormFloat64()
			for _, sequential := range []bool{true, false} {
				if !hasCrossed[sequential] && sum/float64(i) > boundWidth(1/float64(i), 0.3, alpha, sequential) {
					hasCrossed[sequential] = true
					crossed[sequential]++
				}
			}
		}
	}
	if crossed[true] > walks*alpha || crossed[false] < 4*walks*alpha {
		t.Errorf("of %d walks, crossings by whether the bound is sequential: %v", walks, crossed)
	}
}

// Crashes at the usual rate, evaluated after each crash, raise a false alarm no more often than the limit allows.
func TestCrashesAtUsualRateRarelyAlarm(t *testing.T) {
	const runs, limit = 20000, 100
	alarms := 0
	for seed := range uint64(runs) {
		rng := rand.New(rand.NewPCG(seed, 4))
		for e := (rareEvents{}); e.exposure[1] < 1000*time.Hour; {
			e.addExposure(true, time.Duration(rng.ExpFloat64()*float64(240*time.Hour)))
			if e.add(true); e.absoluteEvidence(240*time.Hour) >= limit {
				alarms++
				break
			}
		}
	}
	if alarms > runs/limit {
		t.Errorf("%d false alarms in %d runs", alarms, runs)
	}
}
