package waitpolicy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func newSettings(minShare float64, weights ...float64) *Settings {
	s := &Settings{MinShare: minShare, HalfLife: 800 * ms, Margin: 10 * ms, AbandonCost: -1}
	for i, w := range weights {
		s.Parts = append(s.Parts, Part{Name: string(rune('a' + i)), Weight: w})
	}
	return s
}

// lognormal returns the forecast of parts with lognormal durations.
func lognormal(correlation float64, sigma float64, medians ...time.Duration) *Forecast {
	return KnownForecast(len(medians), 0.5, correlation, func(p int, d time.Duration) float64 {
		return normalCDF(math.Log(float64(d)/float64(medians[p])) / sigma)
	})
}

// requireAnswer checks that a decided query contains the parts that arrived before the decision, and none that arrive
// later.
func requireAnswer(t *rapid.T, q *Query, now time.Duration, hasEnded []bool, shares []float64) {
	arrivedShare, outstanding, missing := q.ArrivedShare(), q.Outstanding(nil), q.Missing(nil)
	for i := range hasEnded {
		q.PartCompleted(now, i, true)
		if hasEnded[i] && contains(outstanding, i) || contains(missing, i) != (!hasEnded[i] || shares[i] == 0) {
			t.Fatalf("part %d: ended %v, outstanding parts %v, missing parts %v", i, hasEnded[i], outstanding, missing)
		}
	}
	if q.ArrivedShare() != arrivedShare {
		t.Fatal("answer contains a part that arrived after it was decided")
	}
}

// For any arrival times, a query is decided once, by LatestAnswer, with the share that has arrived, and is only refused
// if that share is too small. Each step waits for a later time, and the number of steps is limited.
func TestQueryAnswersInTime(t *testing.T) {
	var q Query
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "parts")
		settings := newSettings(rapid.Float64Range(0, 1).Draw(t, "least"))
		medians := make([]time.Duration, n)
		durations, shares := make([]time.Duration, n), make([]float64, n)
		for i := range n {
			settings.Parts = append(settings.Parts, Part{Name: string(rune('a' + i)), Weight: rapid.Float64Range(0.1, 5).Draw(t, "weight")})
			medians[i] = time.Duration(rapid.IntRange(1, 3000).Draw(t, "median")) * ms
			durations[i] = time.Duration(rapid.IntRange(0, 9000).Draw(t, "took")) * ms
			shares[i] = rapid.SampledFrom([]float64{0, 0.5, 1, 1, 1}).Draw(t, "share")
		}
		settings.Mode = rapid.SampledFrom([]Mode{Learned, Learned, Fixed, None}).Draw(t, "mode")
		settings.Fixed = time.Duration(rapid.IntRange(1, 4000).Draw(t, "fixed")) * ms
		settings.AbandonCost = rapid.Float64Range(-1, 1).Draw(t, "left")
		forecast := lognormal(rapid.SampledFrom([]float64{0, 0.5, 0.9}).Draw(t, "common"), 0.6, medians...)
		begin := time.Duration(rapid.IntRange(1, 1e6).Draw(t, "begin")) * ms
		deadline := time.Duration(0)
		if rapid.Bool().Draw(t, "limited") {
			deadline = begin + time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline"))*ms
		}
		q.Begin(settings, forecast, begin, deadline)
		q.isExploring = rapid.Bool().Draw(t, "explore")
		if deadline > 0 && q.LatestAnswer() > max(begin, deadline-settings.Margin) || q.InnerDeadline() > q.LatestAnswer() {
			t.Fatalf("latest answer %v, inner deadline %v, client deadline %v", q.LatestAnswer(), q.InnerDeadline(), deadline)
		}
		now, arrivedWeight, totalWeight := begin, 0.0, 0.0
		for _, p := range settings.Parts {
			totalWeight += p.Weight
		}
		hasEnded := make([]bool, n)
		for steps := 0; ; steps++ {
			step := q.Next(now)
			if math.Abs(step.Share-arrivedWeight/totalWeight) > 1e-9 || steps > 1000 {
				t.Fatalf("step %d: got share %g, want %g", steps, step.Share, arrivedWeight/totalWeight)
			}
			if step.Kind != Wait {
				isEnough := step.Share > 1e-9 && step.Share >= settings.MinShare-1e-9
				if (step.Kind == Answer) != isEnough || now > q.LatestAnswer() || step.Kind != q.Next(now+ms).Kind {
					t.Fatalf("step kind %v with reason %v at %v, share %g, minimum %g", step.Kind, step.Reason, now-begin, step.Share, settings.MinShare)
				}
				requireAnswer(t, &q, now, hasEnded, shares)
				return
			}
			if step.Until <= now || step.Until > q.LatestAnswer() {
				t.Fatalf("query waits at %v until %v, latest answer %v", now-begin, step.Until-begin, q.LatestAnswer()-begin)
			}
			next, at := -1, step.Until
			for i := range n {
				if !hasEnded[i] && begin+durations[i] <= at {
					next, at = i, max(now, begin+durations[i])
				}
			}
			if now = at; next >= 0 {
				hasEnded[next] = true
				arrivedWeight += settings.Parts[next].Weight * shares[next]
				q.PartEnded(now, next, shares[next])
				q.PartEnded(now, next, 1) // a repeated report is ignored
			}
		}
	})
}

func contains(all []int, i int) bool {
	for _, v := range all {
		if v == i {
			return true
		}
	}
	return false
}

// answerTime returns when a query answers if its first parts end at the given times, and parts with a negative time and
// all others do not end.
func answerTime(s *Settings, f *Forecast, deadline time.Duration, ended ...time.Duration) time.Duration {
	q := Begin(s, f, 0, deadline)
	for i, at := range ended {
		if at >= 0 {
			q.PartCompleted(at, i, true)
		}
	}
	now := max(0, ended[0])
	for {
		step := q.Next(now)
		if step.Kind != Wait {
			return now
		}
		now = step.Until
	}
}

func TestWaitFollowsExpectedValue(t *testing.T) {
	s, equalWeights := newSettings(0.5, 1, 1), newSettings(0.5, 1, 1, 1, 1)
	f := func(common, sigma float64, all ...time.Duration) *Forecast { return lognormal(common, sigma, all...) }
	for name, tc := range map[string]struct{ shorter, longer time.Duration }{
		"a query waits less for a slow part than for a fast one": {answerTime(s, f(0, .3, 50*ms, 3000*ms), 0, 50*ms, -1), answerTime(s, f(0, .3, 50*ms, 300*ms), 0, 50*ms, -1)},
		"a query waits less for a part of low weight": {
			answerTime(newSettings(.5, 4, 1), f(0, 1, 50*ms, 500*ms), 0, 50*ms, -1),
			answerTime(newSettings(.1, 1, 4), f(0, 1, 50*ms, 500*ms), 0, 50*ms, -1),
		},
		"a query waits longer for a late part if the durations of the parts are correlated": {
			answerTime(equalWeights, f(0, 1, 100*ms, 100*ms, 100*ms, 100*ms), 0, 400*ms, 400*ms, 400*ms, -1),
			answerTime(equalWeights, f(.9, 1, 100*ms, 100*ms, 100*ms, 100*ms), 0, 400*ms, 400*ms, 400*ms, -1),
		},
		"a part much later than the correlated others is not waited for to the end": {answerTime(equalWeights, f(.9, 1, 100*ms, 100*ms, 100*ms, 100*ms), 0, 40*ms, 40*ms, 40*ms, -1), time.Second},
		"the client's deadline limits the wait":                                     {answerTime(s, f(0, .3, 50*ms, 300*ms), 200*ms, 50*ms, -1), 191 * ms},
		"a query waits longer if abandoning parts has a cost": {
			answerTime(s, f(0, 1, 50*ms, 800*ms), 0, 50*ms, -1),
			answerTime(&Settings{Parts: s.Parts, MinShare: .5, HalfLife: 800 * ms, AbandonCost: 1}, f(0, 1, 50*ms, 800*ms), 0, 50*ms, -1),
		},
	} {
		if tc.shorter >= tc.longer {
			t.Errorf("%s: %v is not shorter than %v", name, tc.shorter, tc.longer)
		}
	}
}

// A query does not wait for a part that has failed, and waits less for a part that often fails.
func TestFailuresAreNotAnswers(t *testing.T) {
	s := newSettings(0.5, 1, 1, 1)
	q := Begin(s, lognormal(0, .5, 100*ms, 100*ms, 100*ms), 0, 0)
	q.PartCompleted(50*ms, 0, true)
	q.PartCompleted(50*ms, 1, false)
	if step := q.Next(50 * ms); step.Kind != Wait || step.Reason != BelowMinimum {
		t.Errorf("got %+v, want Wait with BelowMinimum", step)
	}
	q.PartCompleted(60*ms, 2, false)
	if step := q.Next(60 * ms); step.Kind != Refuse {
		t.Errorf("got %+v with a third of the parts and a minimum of a half, want Refuse", step)
	}
	// Of the second part's calls, failuresInTen of ten fail. They take as long as its answers, 200 ms in the median.
	learnedWait := func(failuresInTen int) time.Duration {
		m := NewModel(newSettings(0.5, 1, 1), Options{Explore: -1})
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range 400 {
			duration := time.Duration(200*math.Exp(0.8*rng.NormFloat64())) * ms
			m.Observe("c", 0, 0, Outcome{Duration: 50 * ms})
			m.Observe("c", 1, 0, Outcome{Duration: duration, Failed: i%10 < failuresInTen})
		}
		return answerTime(m.settings, m.Forecast("c", 0), 0, 50*ms, -1)
	}
	if neverFailing, mostlyFailing := learnedWait(0), learnedWait(8); mostlyFailing >= neverFailing {
		t.Errorf("query waits %v for a part that always answers, %v for one that mostly fails", neverFailing, mostlyFailing)
	}
}

func BenchmarkPlan(b *testing.B) {
	for name, tc := range map[string]struct {
		parts       int
		correlation float64
	}{"5": {5, 0}, "5common": {5, 0.7}, "64": {64, 0}, "256common": {256, 0.7}} {
		b.Run(name, func(b *testing.B) {
			s, medians := newSettings(0.3), make([]time.Duration, tc.parts)
			for i := range tc.parts {
				s.Parts = append(s.Parts, Part{Name: string(rune('a' + i))})
				medians[i] = time.Duration(100+i) * ms
			}
			f := lognormal(tc.correlation, 0.7, medians...)
			q := Begin(s, f, 0, 0)
			for i := range (tc.parts + 1) / 2 {
				q.PartCompleted(90*ms, i, true)
			}
			b.ReportAllocs()
			for b.Loop() {
				q.plan(100 * ms)
			}
		})
	}
}

// A query that reuses the memory of a query with the same parts allocates nothing.
func TestQueryAllocatesNothing(t *testing.T) {
	s := newSettings(0.5, 1, 1, 1, 1, 1)
	m := NewModel(s, Options{Explore: -1})
	for range 2000 {
		for p := range 5 {
			m.Observe("c", p, 0.5, Outcome{Duration: 100 * ms})
		}
	}
	var q Query
	now := time.Second
	if n := testing.AllocsPerRun(100, func() {
		m.Begin(&q, "c", 0.5, now, now+5*time.Second)
		for p := range 4 {
			q.PartCompleted(now+100*ms, p, true)
			m.Observe("d", p, 0.5, Outcome{At: now, Duration: 100 * ms})
		}
		q.Next(now + 100*ms)
		q.Next(now + 5*time.Second)
		m.Done(&q, "c", now+5*time.Second)
		now += time.Second
	}); n > 0 {
		t.Errorf("got %g allocations per query, want 0", n)
	}
}

// A part that is itself a gatherer answers in time with InnerDeadline as its deadline, and too late with the client's.
func TestInnerGathererAnswersInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outer, inner := newSettings(0.5, 1, 1), newSettings(0.1, 1, 1, 1)
		outer.Mode, inner.Mode = None, None // both wait as long as possible
		clientDeadline := time.Duration(rapid.IntRange(100, 5000).Draw(t, "client")) * ms
		f := lognormal(0, 0.5, 100*ms, 100*ms, 100*ms)
		outerQuery := Begin(outer, f, 0, clientDeadline)
		runInner := func(deadline time.Duration) (at time.Duration, share float64) {
			innerQuery := Begin(inner, f, 0, deadline)
			innerQuery.PartCompleted(ms, 0, true)
			innerQuery.PartCompleted(ms, 1, true)
			at = innerQuery.Next(ms).Until
			return at, innerQuery.Next(at).Share
		}
		at, share := runInner(outerQuery.InnerDeadline())
		outerQuery.PartCompleted(ms, 0, true)
		outerQuery.PartEnded(at, 1, share)
		if step := outerQuery.Next(at); at > outerQuery.LatestAnswer() || step.Kind != Answer || step.Reason != Complete || math.Abs(step.Share-(0.5+0.5*2/3)) > 1e-9 {
			t.Fatalf("inner gatherer answers at %v, latest outer answer %v: %+v", at, outerQuery.LatestAnswer(), step)
		}
		if at, _ := runInner(clientDeadline + inner.Margin); at <= outerQuery.LatestAnswer() {
			t.Fatalf("inner gatherer with the later deadline answers at %v, which is in time: the test shows nothing", at)
		}
	})
}
