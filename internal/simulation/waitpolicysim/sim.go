package waitpolicysim

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lockflow/internal/waitpolicy"
)

// Options say what is played. What is zero has a default.
type Options struct {
	World        string
	Queries      int     // 20,000
	Warmup       int     // of them that are not counted; 2,000
	LateFraction float64 // part of the late answers of cut parts that are seen; 0
	Seed         uint64
}

// Report is what each way earned: the mean worth of a query, 1 for a whole answer at once.
type Report struct {
	World              string           `json:"world"`
	Queries            int              `json:"queries"`
	IsChanging         bool             `json:"moves"`          // the world changes while it is played
	Oracle             float64          `json:"oracle"`         // knows the distributions at each moment
	Learned            float64          `json:"learned"`        // and knows nothing at the begin
	None               float64          `json:"none"`           // waits for all, or the client's time
	Fixed              float64          `json:"fixed"`          // the best fixed time, chosen afterwards
	FixedTime          time.Duration    `json:"at_ns"`          // that time
	P95                float64          `json:"p95"`            // of the last 500 queries' parts, late ones known too
	Plan               float64          `json:"plan"`           // as learned, but knows the distributions
	CommonFactorOracle float64          `json:"told,omitempty"` // knows each query's common factor: no rule can earn more
	ArrivedShare       float64          `json:"share"`          // of the parts in learned answers
	MeanDuration       time.Duration    `json:"took_ns"`        // mean of learned answers
	StepsPerQuery      float64          `json:"looks"`          // a query, at whether to wait
	Stats              waitpolicy.Stats `json:"stats"`
}

// percentilePolicy answers at the 95th percentile of what the parts took lately.
type percentilePolicy struct {
	shares    [partCount]float64
	durations [500 * partCount]time.Duration
	count     int
	deadline  time.Duration
}

func (r *percentilePolicy) end(_ float64, took *[partCount]time.Duration, _ float64) queryEnd {
	if r.count%(50*partCount) == 0 {
		all := slices.Clone(r.durations[:min(r.count, len(r.durations))])
		slices.Sort(all)
		if r.deadline = clientDeadline; len(all) > 0 {
			r.deadline = min(clientDeadline, all[len(all)*95/100])
		}
	}
	for _, t := range took {
		r.durations[r.count%len(r.durations)] = t
		r.count++
	}
	return endAfter(&r.shares, took, r.deadline)
}

func newOracle(w *world) policy {
	s := w.settings(waitpolicy.Learned)
	if w.correlation == 0 {
		return &optimalPolicy{world: w, settings: s, shares: w.shares(), rebuildInterval: 1.0 / 100, answeredBy: w.answeredBy}
	}
	return newPlanner(w)
}

// newPlanner ends queries by internal/waitpolicy, knowing the distributions.
func newPlanner(w *world) *queryPolicy {
	s := normalizedSettings(w)
	b := &queryPolicy{settings: s}
	var f *waitpolicy.Forecast
	from := 0.0
	b.begin = func(q *waitpolicy.Query, at float64, now time.Duration) {
		if f == nil || w.isChanging && math.Floor(at*100) != math.Floor(from*100) {
			from = at
			f = waitpolicy.KnownForecast(partCount, load, w.correlation, func(p int, d time.Duration) float64 { return w.answeredBy(p, at, d) })
		}
		q.Begin(s, f, now, now+clientDeadline+time.Millisecond)
	}
	return b
}

// normalizedSettings are settings whose weights are shares.
func normalizedSettings(w *world) *waitpolicy.Settings {
	s := w.settings(waitpolicy.Learned)
	for p, share := range w.shares() {
		s.Parts[p].Weight = share
	}
	return s
}

// Run plays one world.
func Run(o Options) (Report, error) {
	w, err := findWorld(o.World)
	if err != nil {
		return Report{}, err
	}
	o.Queries = cmp.Or(o.Queries, 20_000)
	o.Warmup = min(cmp.Or(o.Warmup, 2000), o.Queries/2)
	rep := Report{World: w.name, Queries: o.Queries, IsChanging: w.isChanging}
	rng := rand.New(rand.NewPCG(o.Seed, 0x67617468))
	s, shares := normalizedSettings(w), w.shares()
	l := newLearner(w, waitpolicy.Options{Seed: o.Seed})
	l.lateFraction = o.LateFraction
	p := newPlanner(w)
	rules := []policy{newOracle(w), l, p, &percentilePolicy{shares: shares}}
	if w.correlation > 0 {
		rules = append(rules, &commonFactorOracle{w, make(map[int]*optimalPolicy)})
	}
	sums := make([]float64, len(rules))
	times := fixedTimes()
	fixedSums := make([]float64, len(times))
	worth := func(e queryEnd) float64 {
		if e.arrivedShare == 0 {
			return -s.AbandonCost * load * e.abandonedShare
		}
		return s.Value(e.arrivedShare, e.abandonedShare, load, e.at)
	}
	counted := 0
	for i := range o.Queries {
		at := float64(i) / float64(o.Queries)
		took, common := w.draw(rng, at)
		if counts := i >= o.Warmup; counts {
			counted++
		}
		for r, one := range rules {
			e := one.end(at, &took, common)
			if i >= o.Warmup {
				sums[r] += worth(e)
				if r == 1 {
					rep.ArrivedShare += e.arrivedShare
					rep.MeanDuration += e.at
				}
			}
		}
		if i >= o.Warmup {
			for j, t := range times {
				fixedSums[j] += worth(endAfter(&shares, &took, t))
			}
		}
	}
	n := float64(counted)
	best := slices.Index(fixedSums, slices.Max(fixedSums))
	rep.Oracle, rep.Learned, rep.Plan, rep.P95 = sums[0]/n, sums[1]/n, sums[2]/n, sums[3]/n
	if w.correlation > 0 {
		rep.CommonFactorOracle = sums[4] / n
	}
	rep.None, rep.Fixed, rep.FixedTime = fixedSums[len(times)-1]/n, fixedSums[best]/n, times[best]
	rep.ArrivedShare /= n
	rep.MeanDuration = time.Duration(float64(rep.MeanDuration) / n)
	rep.StepsPerQuery = float64(l.steps) / float64(o.Queries)
	rep.Stats = l.model.Stats()
	return rep, nil
}

// fixedTimes are those of which the best is chosen; the last is the client's.
func fixedTimes() (all []time.Duration) {
	for d := 20.0; d < float64(clientDeadline/time.Millisecond); d *= 1.05 {
		all = append(all, milliseconds(d))
	}
	return append(all, clientDeadline)
}
