package waitpolicysim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lockflow/internal/waitpolicy"
	"lockflow/internal/waitpolicy/pool"
	"lockflow/internal/waitpolicy/share"
)

const (
	// exchangeInterval is the time between two exchanges of reports.
	exchangeInterval = 5 * time.Second
	// lifetimeIntervals is the lifetime of reports, as a multiple of exchangeInterval.
	lifetimeIntervals = 12

	defaultSharedQueries = 40
	minSharedQueries     = 5
	maxInstances         = 1000
	// defaultTotalInstances is the number of instances in all groups.
	defaultTotalInstances = 200
	minGroups             = 2
	// Groups have converged at the first of convergedQueries consecutive queries whose mean values are each at least
	// convergedValue of the oracle's value.
	convergedQueries = 5
	convergedValue   = 0.9
	// misreportQueries is the number of queries from which the misreported model learns.
	misreportQueries = 600
)

// PCG streams of the random numbers.
const (
	sharedStream    = 0x73686172
	misreportStream = 0x6c6965
)

// ShareOptions configure RunShared. Zero fields take the defaults given in the comments.
type ShareOptions struct {
	World            string
	Instances        int // instances per group, required; with 1 nothing is shared
	Queries          int // queries of each instance; 40
	ExchangeInterval int // queries of each instance between two exchanges; 1
	Groups           int // as many as make 200 instances in total
	Seed             uint64
	// MisreportFactor makes the last instance of each group share durations that are longer by this factor; 0 disables
	// misreporting.
	MisreportFactor float64
	LostFrom        int // index of the query from which on no store replies; 0 means that it always replies
}

// ShareReport tells how fast instances learn that share their models.
type ShareReport struct {
	World     string `json:"world"`
	Instances int    `json:"instances"`
	Groups    int    `json:"groups"`
	// Values are the mean values of the instances' queries by index, as fractions of the oracle's values.
	Values            []float64 `json:"worth"`
	QueriesToConverge int       `json:"until"` // queries before 90% of the oracle's value is reached, or -1
}

// RunShared simulates groups of instances that share their models.
func RunShared(options ShareOptions) (ShareReport, error) {
	w, err := findWorld(options.World)
	if err != nil {
		return ShareReport{}, err
	}
	if options.Instances < 1 || options.Instances > maxInstances {
		return ShareReport{}, fmt.Errorf("waitpolicysim: %d instances per group, want 1 to %d", options.Instances, maxInstances)
	}
	options.Queries = max(minSharedQueries, cmp.Or(options.Queries, defaultSharedQueries))
	options.ExchangeInterval = cmp.Or(options.ExchangeInterval, 1)
	options.Groups = cmp.Or(options.Groups, max(minGroups, defaultTotalInstances/options.Instances))
	report := ShareReport{
		World:             w.name,
		Instances:         options.Instances,
		Groups:            options.Groups,
		Values:            make([]float64, options.Queries),
		QueriesToConverge: -1,
	}
	oracleValues := make([]float64, options.Queries)
	oracle := newOracle(w)
	for number := range options.Groups {
		g := newGroup(w, options, options.Seed<<20+uint64(number))
		if err := g.run(oracle, report.Values, oracleValues); err != nil {
			return report, err
		}
	}
	for i := range report.Values {
		report.Values[i] /= oracleValues[i]
	}
	for i := range len(report.Values) - convergedQueries {
		if slices.Min(report.Values[i:i+convergedQueries]) >= convergedValue {
			report.QueriesToConverge = i
			break
		}
	}
	return report, nil
}

// group is a group of instances that share their models.
type group struct {
	options      ShareOptions
	world        *world
	rng          *rand.Rand
	learners     []*learner
	pools        []*pool.Pool // by instance
	misreporting *learner     // learner whose model the last instance shares instead of its own, or nil
	now          time.Duration
}

func newGroup(w *world, options ShareOptions, seed uint64) *group {
	g := &group{options: options, world: w, rng: rand.New(rand.NewPCG(seed, sharedStream))}
	for i := range options.Instances {
		g.learners = append(g.learners, newLearner(w, waitpolicy.Options{Seed: seed<<10 + uint64(i)}))
		g.pools = append(g.pools, pool.New(pool.Options{
			OwnID:         instanceID(i),
			Lifetime:      lifetimeIntervals * exchangeInterval,
			MergeInterval: exchangeInterval,
		}))
	}
	if options.MisreportFactor > 0 {
		g.misreporting = newMisreporting(w, options.MisreportFactor, seed)
	}
	return g
}

func instanceID(i int) string { return fmt.Sprint("i", i) }

// newMisreporting returns a learner that has learned from durations that are scaled by a factor.
func newMisreporting(w *world, factor float64, seed uint64) *learner {
	slower := *w
	slower.delay = func(part int, progress, score float64) time.Duration {
		return milliseconds(float64(w.delay(part, progress, score)) / float64(time.Millisecond) * factor)
	}
	l := newLearner(&slower, waitpolicy.Options{Seed: seed})
	rng := rand.New(rand.NewPCG(seed, misreportStream))
	for range misreportQueries {
		durations, commonFactor := slower.draw(rng, 0)
		l.end(0, &durations, commonFactor)
	}
	return l
}

// run runs all queries of the group, and adds the values of its instances and of the oracle to the sums by query.
func (g *group) run(oracle policy, values, oracleValues []float64) error {
	settings := normalizedSettings(g.world)
	for i := range values {
		for _, l := range g.learners {
			durations, factor := g.world.draw(g.rng, 0)
			end := l.end(0, &durations, factor)
			values[i] += settings.Value(end.arrivedShare, end.abandonedShare, load, end.at)
			end = oracle.end(0, &durations, factor)
			oracleValues[i] += settings.Value(end.arrivedShare, end.abandonedShare, load, end.at)
		}
		if g.options.Instances > 1 && (i+1)%g.options.ExchangeInterval == 0 {
			isStoreAvailable := g.options.LostFrom == 0 || i < g.options.LostFrom
			if err := g.exchange(g.rng, isStoreAvailable); err != nil {
				return err
			}
		}
	}
	return nil
}

// exchange has each instance write its model and read some models of other instances, as share.Sharer does.
func (g *group) exchange(rng *rand.Rand, isStoreAvailable bool) error {
	g.now += exchangeInterval
	reports, err := g.reports()
	if err != nil {
		return err
	}
	for i, l := range g.learners {
		if isStoreAvailable {
			if err := g.read(g.pools[i], reports, rng.IntN(len(reports))); err != nil {
				return err
			}
		}
		keys, sketches := l.model.Sketches()
		l.model.SetFleet(g.pools[i].Merge(g.now, keys, sketches))
	}
	return nil
}

// reports returns the report that each instance writes.
func (g *group) reports() ([][]byte, error) {
	reports := make([][]byte, len(g.learners))
	for i, l := range g.learners {
		if i == len(g.learners)-1 && g.misreporting != nil {
			l = g.misreporting
		}
		report, err := l.model.Shared()
		if err != nil {
			return nil, err
		}
		reports[i] = report
	}
	return reports, nil
}

// read adds to an instance's pool as many reports as one exchange reads, starting at an offset.
func (g *group) read(p *pool.Pool, reports [][]byte, offset int) error {
	p.StoreReplied(g.now)
	for i := range min(len(reports), share.MaxMembersRead) {
		member := (offset + i) % len(reports)
		if err := p.AddReport(g.now, instanceID(member), 0, reports[member]); err != nil {
			return err
		}
	}
	return nil
}
