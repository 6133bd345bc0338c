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
	World   string
	Queries int     // 20,000
	Warm    int     // of them that are not counted; 2,000
	Late    float64 // part of the late answers of cut parts that are seen; 0
	Seed    uint64
}

// Report is what each way earned: the mean worth of a query, 1 for a whole answer at once.
type Report struct {
	World   string           `json:"world"`
	Queries int              `json:"queries"`
	Moves   bool             `json:"moves"`          // the world changes while it is played
	Oracle  float64          `json:"oracle"`         // knows the distributions at each moment
	Learned float64          `json:"learned"`        // and knows nothing at the begin
	None    float64          `json:"none"`           // waits for all, or the client's time
	Fixed   float64          `json:"fixed"`          // the best fixed time, chosen afterwards
	At      time.Duration    `json:"at_ns"`          // that time
	P95     float64          `json:"p95"`            // of the last 500 queries' parts, late ones known too
	Plan    float64          `json:"plan"`           // as learned, but knows the distributions
	Told    float64          `json:"told,omitempty"` // knows each query's common factor: no rule can earn more
	Share   float64          `json:"share"`          // of the parts in learned answers
	Took    time.Duration    `json:"took_ns"`        // mean of learned answers
	Looks   float64          `json:"looks"`          // a query, at whether to wait
	Stats   waitpolicy.Stats `json:"stats"`
}

// percentile answers at the 95th percentile of what the parts took lately.
type percentile struct {
	shares [parts]float64
	ring   [500 * parts]time.Duration
	n      int
	now    time.Duration
}

func (r *percentile) end(_ float64, took *[parts]time.Duration, _ float64) ending {
	if r.n%(50*parts) == 0 {
		all := slices.Clone(r.ring[:min(r.n, len(r.ring))])
		slices.Sort(all)
		if r.now = client; len(all) > 0 {
			r.now = min(client, all[len(all)*95/100])
		}
	}
	for _, t := range took {
		r.ring[r.n%len(r.ring)] = t
		r.n++
	}
	return fixed(&r.shares, took, r.now)
}

func oracle(w *world) rule {
	s := w.settings(waitpolicy.Learned)
	if w.common == 0 {
		return &exact{w: w, s: s, shares: w.shares(), every: 1.0 / 100, given: w.chance}
	}
	return planner(w)
}

// planner ends queries by internal/waitpolicy, knowing the distributions.
func planner(w *world) *byQuery {
	s := normal(w)
	b := &byQuery{s: s}
	var f *waitpolicy.Forecast
	from := 0.0
	b.begin = func(q *waitpolicy.Query, at float64, now time.Duration) {
		if f == nil || w.moves && math.Floor(at*100) != math.Floor(from*100) {
			from = at
			f = waitpolicy.KnownForecast(parts, load, w.common, func(p int, d time.Duration) float64 { return w.chance(p, at, d) })
		}
		q.Begin(s, f, now, now+client+time.Millisecond)
	}
	return b
}

// normal are settings whose weights are shares.
func normal(w *world) *waitpolicy.Settings {
	s := w.settings(waitpolicy.Learned)
	for p, share := range w.shares() {
		s.Parts[p].Weight = share
	}
	return s
}

// Run plays one world.
func Run(o Options) (Report, error) {
	w, err := find(o.World)
	if err != nil {
		return Report{}, err
	}
	o.Queries = cmp.Or(o.Queries, 20_000)
	o.Warm = min(cmp.Or(o.Warm, 2000), o.Queries/2)
	rep := Report{World: w.name, Queries: o.Queries, Moves: w.moves}
	rng := rand.New(rand.NewPCG(o.Seed, 0x67617468))
	s, shares := normal(w), w.shares()
	l := newLearner(w, waitpolicy.Options{Seed: o.Seed})
	l.late = o.Late
	p := planner(w)
	rules := []rule{oracle(w), l, p, &percentile{shares: shares}}
	if w.common > 0 {
		rules = append(rules, &told{w, make(map[int]*exact)})
	}
	sums := make([]float64, len(rules))
	times := fixedTimes()
	fixedSums := make([]float64, len(times))
	worth := func(e ending) float64 {
		if e.share == 0 {
			return -s.AbandonCost * load * e.out
		}
		return s.Value(e.share, e.out, load, e.at)
	}
	counted := 0
	for i := range o.Queries {
		at := float64(i) / float64(o.Queries)
		took, common := w.draw(rng, at)
		if counts := i >= o.Warm; counts {
			counted++
		}
		for r, one := range rules {
			e := one.end(at, &took, common)
			if i >= o.Warm {
				sums[r] += worth(e)
				if r == 1 {
					rep.Share += e.share
					rep.Took += e.at
				}
			}
		}
		if i >= o.Warm {
			for j, t := range times {
				fixedSums[j] += worth(fixed(&shares, &took, t))
			}
		}
	}
	n := float64(counted)
	best := slices.Index(fixedSums, slices.Max(fixedSums))
	rep.Oracle, rep.Learned, rep.Plan, rep.P95 = sums[0]/n, sums[1]/n, sums[2]/n, sums[3]/n
	if w.common > 0 {
		rep.Told = sums[4] / n
	}
	rep.None, rep.Fixed, rep.At = fixedSums[len(times)-1]/n, fixedSums[best]/n, times[best]
	rep.Share /= n
	rep.Took = time.Duration(float64(rep.Took) / n)
	rep.Looks = float64(l.looks) / float64(o.Queries)
	rep.Stats = l.model.Stats()
	return rep, nil
}

// fixedTimes are those of which the best is chosen; the last is the client's.
func fixedTimes() (all []time.Duration) {
	for d := 20.0; d < float64(client/time.Millisecond); d *= 1.05 {
		all = append(all, ms(d))
	}
	return append(all, client)
}
