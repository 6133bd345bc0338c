package waitpolicysim

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lockflow/internal/waitpolicy"
)

// The learned policy earns at least 95% of what the oracle does, more than no deadline and a percentile, and more
// than any fixed time in a changing world.
func TestLearnedIsNearTheOracle(t *testing.T) {
	for _, w := range worlds {
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			n := 3000
			if w.isChanging {
				n = 10_000
			}
			for seed := range uint64(1) {
				r, err := Run(Options{World: w.name, Queries: n, Warmup: 500, Seed: seed})
				if err != nil {
					t.Fatal(err)
				}
				t.Logf("oracle %.4f, of it learned %.3f, plan %.3f, fixed %.3f, p95 %.3f, none %.3f", r.Oracle, r.Learned/r.Oracle, r.Plan/r.Oracle,
					r.Fixed/r.Oracle, r.P95/r.Oracle, r.None/r.Oracle)
				if r.Learned < 0.95*r.Oracle || r.Learned <= r.None || r.Learned <= r.P95 || w.isChanging && r.Learned <= r.Fixed {
					t.Error("learned earns too little")
				}
				if r.Plan < 0.985*r.Oracle {
					t.Error("the plan is no good even by true distributions")
				}
				if r.Stats.ExploreCost > 0.01*float64(n)+2 {
					t.Errorf("exploring cost %g", r.Stats.ExploreCost)
				}
			}
		})
	}
}

// learnedPercentiles has queries answered at the 95th percentile of their parts' durations, as observed by that
// policy itself. It returns the deadline after each thousand queries.
func learnedPercentiles(w *world, censored bool) (all []time.Duration) {
	rng, shares, deadline := rand.New(rand.NewPCG(1, 1)), w.shares(), clientDeadline
	var seen waitpolicy.Sketch
	for i := range 8000 {
		took, _ := w.draw(rng, 0)
		e := endAfter(&shares, &took, deadline)
		for _, d := range took {
			if d <= e.at {
				seen.Answered[waitpolicy.Bucket(d)]++
			} else if censored {
				seen.Abandoned[waitpolicy.Bucket(e.at)]++
			}
		}
		if i%200 == 199 {
			deadline = seen.Quantile(0.95)
			if seen.Weight() > 4000 {
				var half waitpolicy.Sketch
				half.Add(&seen, 0.5)
				seen = half
			}
		}
		if i%1000 == 999 {
			all = append(all, deadline)
		}
	}
	return all
}

// A deadline that is learned from the parts in time alone abandons more and more of them. With abandoned parts counted
// as censored it is stable.
func TestCensoringKeepsDeadlineStable(t *testing.T) {
	w, _ := findWorld("lognormal")
	with, without := learnedPercentiles(w, true), learnedPercentiles(w, false)
	t.Logf("with what was cut: %v", with)
	t.Logf("without:           %v", without)
	last := len(with) - 1
	if r := float64(with[last]) / float64(with[0]); r < 0.85 || r > 1.15 {
		t.Error("with what was cut it does not stay")
	}
	if !slices.IsSortedFunc(without, func(a, b time.Duration) int { return int(b - a) }) || 2*without[last] > with[last] {
		t.Error("without what was cut nothing is shown")
	}
	// A learner that does not count abandoned parts expects all to answer soon.
	for name, least := range map[string]float64{"pareto": 0.99, "stalled": 0.5} {
		w, _ := findWorld(name)
		earned := func(censored bool) (sum float64) {
			l, rng, s := newLearner(w, waitpolicy.Options{Seed: 1}), rand.New(rand.NewPCG(1, 2)), normalizedSettings(w)
			l.usesCensored = censored
			for range 3000 {
				took, c := w.draw(rng, 0)
				e := l.end(0, &took, c)
				sum += s.Value(e.arrivedShare, e.abandonedShare, load, e.at)
			}
			return sum / 3000
		}
		a, b := earned(true), earned(false)
		if t.Logf("%s: %.3f, without what was cut %.3f", name, a, b); b > least*a {
			t.Errorf("%s: what was cut does not matter", name)
		}
	}
}

// Instances learn faster together. A misreporting one costs them little, and the loss of the store next to nothing.
func TestLearnTogether(t *testing.T) {
	play := func(o ShareOptions) ShareReport {
		o.World, o.Queries, o.Seed = "pareto", 16, 1
		r, err := RunShared(o)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%+v: until %d, %.3f", o, r.QueriesToConverge, r.Values)
		return r
	}
	alone, four := play(ShareOptions{Instances: 1, Groups: 60}), play(ShareOptions{Instances: 4, Groups: 15})
	if alone.QueriesToConverge < 0 || alone.QueriesToConverge > 12 || four.QueriesToConverge < 0 || four.QueriesToConverge >= alone.QueriesToConverge {
		t.Error("four don't learn sooner than one")
	}
	late := func(r ShareReport) (sum float64) {
		for _, v := range r.Values[6:] {
			sum += v / float64(len(r.Values)-6)
		}
		return sum
	}
	honest := play(ShareOptions{Instances: 8, Groups: 6})
	for _, liar := range []float64{0.02, 50} {
		if lied := play(ShareOptions{Instances: 8, Groups: 6, MisreportFactor: liar}); late(lied) < late(honest)-0.05 {
			t.Errorf("one of eight that tells %g times as long costs %.3f of %.3f", liar, late(honest)-late(lied), late(honest))
		}
	}
	if lost := play(ShareOptions{Instances: 8, Groups: 6, LostFrom: 6}); late(lost) < late(honest)-0.05 {
		t.Error("a lost store costs much")
	}
}

// meanAnswerTime returns the mean duration of answers by an instance's current model, over the same queries each time.
func meanAnswerTime(w *world, l *learner) (mean time.Duration) {
	const n = 400
	rng, f := rand.New(rand.NewPCG(5, 1)), l.model.Forecast(className, load)
	b := queryPolicy{settings: l.settings, begin: func(q *waitpolicy.Query, _ float64, now time.Duration) {
		q.Begin(l.settings, f, now, now+clientDeadline)
	}}
	for range n {
		took, c := w.draw(rng, 0)
		mean += b.end(0, &took, c).at / n
	}
	return mean
}

// From one exchange to the next the mean duration of answers changes by no more than a fifth, while a store is found,
// lost, and found again.
func TestSharingChangesDeadlinesGradually(t *testing.T) {
	for _, factor := range []float64{0.4, 1, 2.5} { // of the other instances' durations
		w, _ := findWorld("lognormal")
		slower := *w
		slower.delay = func(p int, at, s float64) time.Duration { return time.Duration(factor * float64(w.delay(p, at, s))) }
		g := newGroup(w, ShareOptions{Instances: 8}, 1)
		rng := rand.New(rand.NewPCG(1, 1))
		for i, l := range g.learners {
			of := &slower
			if i == 0 {
				of = w
			}
			for range 25 {
				took, c := of.draw(rng, 0)
				l.end(0, &took, c)
			}
		}
		last, worst := meanAnswerTime(w, g.learners[0]), 1.0
		for round := range 60 {
			if err := g.exchange(rng, round/20 != 1); err != nil {
				t.Fatal(err)
			}
			now := meanAnswerTime(w, g.learners[0])
			worst = max(worst, float64(now)/float64(last), float64(last)/float64(now))
			last = now
		}
		if t.Logf("others see %g times as long: by %.2f at the most", factor, worst); worst > 1.2 {
			t.Error("the deadline jumps")
		}
	}
}
