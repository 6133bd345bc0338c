package waitpolicysim

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"lockflow/internal/waitpolicy"
)

// Defaults of Options.
const (
	defaultQueries = 20_000
	defaultWarmup  = 2000
)

// The fixed timeouts that are compared form a geometric series that starts at shortestFixedTime.
const (
	shortestFixedTime = 20.0 // ms
	fixedTimeFactor   = 1.05
)

// runStream is the PCG stream of a run's random numbers; Options.Seed is the seed.
const runStream = 0x67617468

// Options configure Run. Zero fields take the defaults given in the comments.
type Options struct {
	World        string
	Queries      int     // 20,000
	Warmup       int     // first queries, which are not counted; 2,000
	LateFraction float64 // fraction of abandoned parts whose outcomes are still observed; 0
	Seed         uint64
}

// Report holds the mean value of a query under each policy. The value of a complete answer without delay is 1.
type Report struct {
	World              string           `json:"world"`
	Queries            int              `json:"queries"`
	IsChanging         bool             `json:"moves"`          // whether the world's distributions change over time
	Oracle             float64          `json:"oracle"`         // optimal policy that knows the distributions
	Learned            float64          `json:"learned"`        // learned policy, which starts without observations
	None               float64          `json:"none"`           // waits for all parts or the client's deadline
	Fixed              float64          `json:"fixed"`          // best fixed timeout, chosen after the run
	FixedTime          time.Duration    `json:"at_ns"`          // the timeout of Fixed
	P95                float64          `json:"p95"`            // timeout at the 95th percentile of all parts of the last 500 queries, including late ones
	Plan               float64          `json:"plan"`           // decides as Learned does, but knows the distributions
	CommonFactorOracle float64          `json:"told,omitempty"` // knows each query's common factor too: the upper bound of all policies
	ArrivedShare       float64          `json:"share"`          // mean of the learned policy's answers
	MeanDuration       time.Duration    `json:"took_ns"`        // mean of the learned policy's answers
	StepsPerQuery      float64          `json:"looks"`          // decision steps of the learned policy
	Stats              waitpolicy.Stats `json:"stats"`
}

// Indices of the policies of a run.
const (
	oracleIndex = iota
	learnedIndex
	planIndex
	p95Index
	commonFactorIndex // present only if the parts are correlated
)

// run is the state of Run.
type run struct {
	world      *world
	settings   *waitpolicy.Settings
	weights    [partCount]float64
	policies   []policy
	values     []float64 // sums of values by policy
	fixedTimes []time.Duration
	fixed      []float64 // sums of values by fixed timeout
	counted    int       // number of counted queries
	report     Report
}

// Run simulates the queries of one world.
func Run(options Options) (Report, error) {
	w, err := findWorld(options.World)
	if err != nil {
		return Report{}, err
	}
	options.Queries = cmp.Or(options.Queries, defaultQueries)
	options.Warmup = min(cmp.Or(options.Warmup, defaultWarmup), options.Queries/2)
	rng := rand.New(rand.NewPCG(options.Seed, runStream))
	learned := newLearner(w, waitpolicy.Options{Seed: options.Seed})
	learned.lateFraction = options.LateFraction
	r := newRun(w, learned)
	r.report.Queries = options.Queries
	for i := range options.Queries {
		progress := float64(i) / float64(options.Queries)
		durations, factor := w.draw(rng, progress)
		r.simulateQuery(progress, &durations, factor, i >= options.Warmup)
	}
	r.summarize()
	r.report.StepsPerQuery = float64(learned.steps) / float64(options.Queries)
	r.report.Stats = learned.model.Stats()
	return r.report, nil
}

func newRun(w *world, learned *learner) *run {
	weights := w.shares()
	r := &run{
		world:      w,
		settings:   normalizedSettings(w),
		weights:    weights,
		policies:   []policy{newOracle(w), learned, newPlanner(w), &percentilePolicy{weights: weights}},
		fixedTimes: fixedTimes(),
		report:     Report{World: w.name, IsChanging: w.isChanging},
	}
	if w.correlation > 0 {
		r.policies = append(r.policies, &commonFactorOracle{world: w, byFactor: make(map[int]*optimalPolicy)})
	}
	r.values = make([]float64, len(r.policies))
	r.fixed = make([]float64, len(r.fixedTimes))
	return r
}

// simulateQuery has each policy end one query. Queries of the warm-up are not counted.
func (r *run) simulateQuery(progress float64, durations *[partCount]time.Duration, factor float64, isCounted bool) {
	for i, p := range r.policies {
		end := p.end(progress, durations, factor)
		if !isCounted {
			continue
		}
		r.values[i] += r.value(end)
		if i == learnedIndex {
			r.report.ArrivedShare += end.arrivedShare
			r.report.MeanDuration += end.at
		}
	}
	if !isCounted {
		return
	}
	r.counted++
	for i, timeout := range r.fixedTimes {
		r.fixed[i] += r.value(endAfter(&r.weights, durations, timeout))
	}
}

// value returns the value of a query. A query without an answer has only the cost of its abandoned parts.
func (r *run) value(end queryEnd) float64 {
	if end.arrivedShare == 0 {
		return -r.settings.AbandonCost * load * end.abandonedShare
	}
	return r.settings.Value(end.arrivedShare, end.abandonedShare, load, end.at)
}

// summarize turns the sums into the means of the report.
func (r *run) summarize() {
	queries := float64(r.counted)
	report := &r.report
	report.Oracle = r.values[oracleIndex] / queries
	report.Learned = r.values[learnedIndex] / queries
	report.Plan = r.values[planIndex] / queries
	report.P95 = r.values[p95Index] / queries
	if r.world.correlation > 0 {
		report.CommonFactorOracle = r.values[commonFactorIndex] / queries
	}
	best := slices.Index(r.fixed, slices.Max(r.fixed))
	report.None = r.fixed[len(r.fixed)-1] / queries
	report.Fixed = r.fixed[best] / queries
	report.FixedTime = r.fixedTimes[best]
	report.ArrivedShare /= queries
	report.MeanDuration = time.Duration(float64(report.MeanDuration) / queries)
}

// fixedTimes returns the fixed timeouts that are compared. The last one is the client's deadline.
func fixedTimes() (times []time.Duration) {
	for t := shortestFixedTime; t < float64(clientDeadline/time.Millisecond); t *= fixedTimeFactor {
		times = append(times, milliseconds(t))
	}
	return append(times, clientDeadline)
}
