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

// ShareOptions say how many instances learn together. What is zero has a default.
type ShareOptions struct {
	World            string
	Instances        int // 1: alone
	Queries          int // of each; 40
	ExchangeInterval int // queries of each between two exchanges; 1
	Groups           int // of so many instances that are played; as many as make 200 in all
	Seed             uint64
	// MisreportFactor has the last instance of each group tell the others what it does not see: all delays so
	// many times as long. 0 is none.
	MisreportFactor float64
	// LostFrom is the query from which on no exchange works; 0 is never.
	LostFrom int
}

// ShareReport is how fast they learned: of each instance's queries the mean worth, over the oracle's.
type ShareReport struct {
	World             string    `json:"world"`
	Instances         int       `json:"instances"`
	Groups            int       `json:"groups"`
	Values            []float64 `json:"worth"` // of the first query, the second, and so on
	QueriesToConverge int       `json:"until"` // queries of one instance until 90% of the oracle's, or -1
}

// RunShared plays groups of instances that share what they learn.
func RunShared(o ShareOptions) (ShareReport, error) {
	w, err := findWorld(o.World)
	if err != nil {
		return ShareReport{}, err
	}
	if o.Instances < 1 || o.Instances > 1000 {
		return ShareReport{}, fmt.Errorf("gathersim: %d instances; 1 to 1000 can be", o.Instances)
	}
	o.Queries, o.ExchangeInterval = max(5, cmp.Or(o.Queries, 40)), cmp.Or(o.ExchangeInterval, 1)
	o.Groups = cmp.Or(o.Groups, max(2, 200/o.Instances))
	rep := ShareReport{World: w.name, Instances: o.Instances, Groups: o.Groups, Values: make([]float64, o.Queries), QueriesToConverge: -1}
	best := make([]float64, len(rep.Values))
	know, s := newOracle(w), normalizedSettings(w)
	for g := range o.Groups {
		seed := o.Seed<<20 + uint64(g)
		rng := rand.New(rand.NewPCG(seed, 0x73686172))
		group := newGroup(w, o, seed)
		for i := range rep.Values {
			for _, l := range group.learners {
				took, common := w.draw(rng, 0)
				e := l.end(0, &took, common)
				rep.Values[i] += s.Value(e.arrivedShare, e.abandonedShare, load, e.at)
				e = know.end(0, &took, common)
				best[i] += s.Value(e.arrivedShare, e.abandonedShare, load, e.at)
			}
			if o.Instances > 1 && (i+1)%o.ExchangeInterval == 0 {
				if err := group.exchange(rng, o.LostFrom == 0 || i < o.LostFrom); err != nil {
					return rep, err
				}
			}
		}
	}
	for i := range rep.Values {
		rep.Values[i] /= best[i]
	}
	// The first from which on five in turn are there: one may be by chance.
	for i := range len(rep.Values) - 5 {
		if slices.Min(rep.Values[i:i+5]) >= 0.9 {
			rep.QueriesToConverge = i
			break
		}
	}
	return rep, nil
}

// group are instances that share.
type group struct {
	options      ShareOptions
	learners     []*learner
	pools        []*pool.Pool
	misreporting *learner // whose knowledge the last one tells instead of its own
	now          time.Duration
}

const exchangeInterval = 5 * time.Second

func newGroup(w *world, o ShareOptions, seed uint64) *group {
	g := &group{options: o}
	for i := range o.Instances {
		l := newLearner(w, waitpolicy.Options{Seed: seed<<10 + uint64(i)})
		g.learners = append(g.learners, l)
		g.pools = append(g.pools, pool.New(pool.Options{OwnID: fmt.Sprint("i", i), Lifetime: 12 * exchangeInterval, MergeInterval: exchangeInterval}))
	}
	if o.MisreportFactor > 0 {
		lie := *w
		lie.delay = func(p int, at, s float64) time.Duration {
			return milliseconds(float64(w.delay(p, at, s)) / float64(time.Millisecond) * o.MisreportFactor)
		}
		g.misreporting = newLearner(&lie, waitpolicy.Options{Seed: seed})
		rng := rand.New(rand.NewPCG(seed, 0x6c6965))
		for range 600 {
			took, common := lie.draw(rng, 0)
			g.misreporting.end(0, &took, common)
		}
	}
	return g
}

// exchange has each instance write what it knows and read some of the others', as share.Sharer does.
func (g *group) exchange(rng *rand.Rand, works bool) error {
	g.now += exchangeInterval
	n := len(g.learners)
	values := make([][]byte, n)
	for i, l := range g.learners {
		if i == n-1 && g.misreporting != nil {
			l = g.misreporting
		}
		var err error
		if values[i], err = l.model.Shared(); err != nil {
			return err
		}
	}
	for i, l := range g.learners {
		if works {
			g.pools[i].StoreReplied(g.now)
			from := rng.IntN(n)
			for k := range min(n, share.MaxMembersRead) {
				j := (from + k) % n
				if err := g.pools[i].AddReport(g.now, fmt.Sprint("i", j), 0, values[j]); err != nil {
					return err
				}
			}
		}
		keys, own := l.model.Sketches()
		l.model.SetFleet(g.pools[i].Merge(g.now, keys, own))
	}
	return nil
}
