package waitpolicysim

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lockflow/internal/waitpolicy"
)

// The learned policy has to reach at least 95% of the oracle's value and more value than no timeout and than a percentile
// timeout. In a changing world it also has to exceed the best fixed timeout.
func TestLearnedPolicyIsNearOracle(t *testing.T) {
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
				t.Logf("oracle %.4f; relative to it: learned %.3f, plan %.3f, fixed %.3f, p95 %.3f, none %.3f", r.Oracle, r.Learned/r.Oracle, r.Plan/r.Oracle,
					r.Fixed/r.Oracle, r.P95/r.Oracle, r.None/r.Oracle)
				if r.Learned < 0.95*r.Oracle || r.Learned <= r.None || r.Learned <= r.P95 || w.isChanging && r.Learned <= r.Fixed {
					t.Error("learned policy: want at least 0.95 of the oracle's value and more than none, p95 and, in a changing world, fixed")
				}
				if r.Plan < 0.985*r.Oracle {
					t.Error("plan with known distributions: want at least 0.985 of the oracle's value")
				}
				if r.Stats.ExploreCost > 0.01*float64(n)+2 {
					t.Errorf("exploration cost %g, want at most 1%% of the number of queries, plus 2", r.Stats.ExploreCost)
				}
			}
		})
	}
}

// learnedPercentiles simulates queries that end at the 95th percentile of their parts' durations, as observed under this
// deadline itself. It returns the deadline after each thousand queries.
func learnedPercentiles(w *world, censored bool) (deadlines []time.Duration) {
	rng, shares, deadline := rand.New(rand.NewPCG(1, 1)), w.shares(), clientDeadline
	var observed waitpolicy.Sketch
	for i := range 8000 {
		durations, _ := w.draw(rng, 0)
		end := endAfter(&shares, &durations, deadline)
		for _, d := range durations {
			if d <= end.at {
				observed.Answered[waitpolicy.Bucket(d)]++
			} else if censored {
				observed.Abandoned[waitpolicy.Bucket(end.at)]++
			}
		}
		if i%200 == 199 {
			deadline = observed.Quantile(0.95)
			if observed.Weight() > 4000 {
				var decayed waitpolicy.Sketch
				decayed.Add(&observed, 0.5)
				observed = decayed
			}
		}
		if i%1000 == 999 {
			deadlines = append(deadlines, deadline)
		}
	}
	return deadlines
}

// A deadline that is learned only from parts that answered in time decreases with each update, since it never observes the
// slow parts that it abandons. If abandoned parts are counted as censored observations, the deadline stays stable.
func TestCensoringKeepsDeadlineStable(t *testing.T) {
	w, _ := findWorld("lognormal")
	with, without := learnedPercentiles(w, true), learnedPercentiles(w, false)
	t.Logf("deadlines with censored observations:    %v", with)
	t.Logf("deadlines without censored observations: %v", without)
	last := len(with) - 1
	if r := float64(with[last]) / float64(with[0]); r < 0.85 || r > 1.15 {
		t.Error("with censored observations the deadline changes by more than 15%")
	}
	if !slices.IsSortedFunc(without, func(a, b time.Duration) int { return int(b - a) }) || 2*without[last] > with[last] {
		t.Error("without censored observations the deadline does not fall steadily to less than half")
	}
	// A learner that does not observe abandoned parts underestimates the durations of all parts.
	for name, maxRatio := range map[string]float64{"pareto": 0.99, "stalled": 0.5} {
		w, _ := findWorld(name)
		meanValue := func(censored bool) (sum float64) {
			l, rng, policySettings := newLearner(w, waitpolicy.Options{Seed: 1}), rand.New(rand.NewPCG(1, 2)), normalizedSettings(w)
			l.usesCensored = censored
			for range 3000 {
				durations, commonFactor := w.draw(rng, 0)
				queryResult := l.end(0, &durations, commonFactor)
				sum += policySettings.Value(queryResult.arrivedShare, queryResult.abandonedShare, load, queryResult.at)
			}
			return sum / 3000
		}
		a, b := meanValue(true), meanValue(false)
		if t.Logf("%s: mean value %.3f, without censored observations %.3f", name, a, b); b > maxRatio*a {
			t.Errorf("%s: the mean value without censored observations is not lower", name)
		}
	}
}

// Instances that share their models converge faster than a single one. One misreporting instance and the loss of the store
// must each reduce the value by at most 0.05.
func TestSharingSpeedsUpLearning(t *testing.T) {
	simulate := func(o ShareOptions) ShareReport {
		o.World, o.Queries, o.Seed = "pareto", 16, 1
		r, err := RunShared(o)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%+v: converged after %d queries, values %.3f", o, r.QueriesToConverge, r.Values)
		return r
	}
	alone, four := simulate(ShareOptions{Instances: 1, Groups: 60}), simulate(ShareOptions{Instances: 4, Groups: 15})
	if alone.QueriesToConverge < 0 || alone.QueriesToConverge > 12 || four.QueriesToConverge < 0 || four.QueriesToConverge >= alone.QueriesToConverge {
		t.Error("want convergence of a single instance within 12 queries, and earlier convergence of four instances")
	}
	lateValue := func(r ShareReport) (sum float64) {
		for _, v := range r.Values[6:] {
			sum += v / float64(len(r.Values)-6)
		}
		return sum
	}
	honest := simulate(ShareOptions{Instances: 8, Groups: 6})
	for _, misreportFactor := range []float64{0.02, 50} {
		if misreported := simulate(ShareOptions{Instances: 8, Groups: 6, MisreportFactor: misreportFactor}); lateValue(misreported) < lateValue(honest)-0.05 {
			t.Errorf("one of eight instances that reports durations times %g costs a value of %.3f of %.3f, want at most 0.05", misreportFactor, lateValue(honest)-lateValue(misreported), lateValue(honest))
		}
	}
	if storeLost := simulate(ShareOptions{Instances: 8, Groups: 6, LostFrom: 6}); lateValue(storeLost) < lateValue(honest)-0.05 {
		t.Error("the loss of the store costs a value of more than 0.05")
	}
}

// meanAnswerTime returns the mean duration of answers under an instance's current model. Each call uses the same queries.
func meanAnswerTime(w *world, l *learner) (mean time.Duration) {
	const n = 400
	rng, forecast := rand.New(rand.NewPCG(5, 1)), l.model.Forecast(className, load)
	forecastPolicy := queryPolicy{settings: l.settings, begin: func(q *waitpolicy.Query, _ float64, now time.Duration) {
		q.Begin(l.settings, forecast, now, now+clientDeadline)
	}}
	for range n {
		durations, commonFactor := w.draw(rng, 0)
		mean += forecastPolicy.end(0, &durations, commonFactor).at / n
	}
	return mean
}

// The mean duration of answers must change by no more than a fifth from one exchange to the next while the store becomes
// available, unavailable and available again. Otherwise answers to clients would change abruptly with the store's state.
func TestSharingChangesDeadlinesGradually(t *testing.T) {
	for _, factor := range []float64{0.4, 1, 2.5} { // factor of the other instances' durations
		w, _ := findWorld("lognormal")
		slower := *w
		slower.delay = func(p int, at, s float64) time.Duration { return time.Duration(factor * float64(w.delay(p, at, s))) }
		g := newGroup(w, ShareOptions{Instances: 8}, 1)
		rng := rand.New(rand.NewPCG(1, 1))
		for i, l := range g.learners {
			source := &slower
			if i == 0 {
				source = w
			}
			for range 25 {
				durations, commonFactor := source.draw(rng, 0)
				l.end(0, &durations, commonFactor)
			}
		}
		last, maxChange := meanAnswerTime(w, g.learners[0]), 1.0
		for round := range 60 {
			if err := g.exchange(rng, round/20 != 1); err != nil {
				t.Fatal(err)
			}
			mean := meanAnswerTime(w, g.learners[0])
			maxChange = max(maxChange, float64(mean)/float64(last), float64(last)/float64(mean))
			last = mean
		}
		if t.Logf("other instances observe durations times %g: the mean answer time changes by a factor of at most %.2f", factor, maxChange); maxChange > 1.2 {
			t.Error("the mean answer time changes by a factor of more than 1.2 between exchanges")
		}
	}
}
