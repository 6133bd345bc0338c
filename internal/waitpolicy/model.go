package waitpolicy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Bounds of what a model keeps. One that asked longest ago makes room for a new one.
const (
	MaxClasses   = 32
	MaxNameBytes = 128 // bytes of a class's or a part's name
	MaxSketches  = 2048
	Loads        = 4 // of a load from 0 to 1, evenly; what is above 1 counts with the last
)

// How fast is learned and forgotten: the long memory is a mean over so many observations of one part.
const (
	longMemory   = 512
	forgetHalf   = 2 * time.Hour
	backOff      = 16  // weight that what is known over all loads has beside what is known at one
	fleetWeight  = 128 // that what others know has
	exploreFor   = 2   // half-lives that a query waits longer to learn
	exploreShare = 0.01
	exploreOne   = 32 // of so many queries one explores, where the budget is there
)

// Changes are told by two sums, of the scores beyond a drift each way, once one is above the limit:
// once in a hundred thousand and more observations where nothing changes and all is known.
const (
	changeDrift = 0.6
	changeLimit = 9.0
	changeFrom  = 60 // weight of what was learned, below which nothing is told from it
	changeStep  = 3.0
)

// Key names what a sketch is of.
type Key struct {
	Class string
	Part  string
	Load  int // bucket, or AllLoads
}

// AllLoads is the load of sketches that count them all.
const AllLoads = Loads

// Compare orders keys.
func (k Key) Compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Class, o.Class), cmp.Compare(k.Part, o.Part), cmp.Compare(k.Load, o.Load))
}

// Options are of one model.
type Options struct {
	Seed uint64 // of which queries explore
	// Explore is the share of the worth that is spent on waiting longer to learn; 0 is a hundredth,
	// below 0 none.
	Explore float64
}

// Model learns how long the parts of one gatherer take. It is safe for concurrent use.
type Model struct {
	mu      sync.Mutex
	s       *Settings
	o       Options
	rng     *rand.Rand
	sketch  map[Key]*learned
	classes map[string]*class
	used    uint64
	fleet   map[Key]*Sketch // what others know; weights as they gave them
	trust   float64         // in it: 0 to 1
	credit  float64         // worth that may be spent on exploring
	stats   Stats
}

// Stats are what a model has done, cumulative.
type Stats struct {
	Queries  uint64  `json:"queries"`
	Explored uint64  `json:"explored"`
	Spent    float64 `json:"spent"`   // worth, by exploring
	Changes  uint64  `json:"changes"` // that were told
	Dropped  uint64  `json:"dropped"` // sketches that made room
	Sketches int     `json:"sketches"`
	Classes  int     `json:"classes"`
	Trust    float64 `json:"trust"` // in what others know
}

// class is what is known of one class: the forecasts at each load, and the parts' common factor.
type class struct {
	used  uint64
	at    [Loads]*Forecast
	fresh [Loads]int // observations until the next
	// Moments of the parts' normal scores, of pairs in a query and of each.
	pairs, squares float64
}

// learned is what is known of one part, at a class and a load.
type learned struct {
	used       uint64
	long       memory
	short      memory  // since one of the sums last left 0: if it tells a change, that is where it began
	slow, fast float64 // sums that tell a change
	wary       int     // observations for which others' knowledge counts little: a change was told
}

// NewModel makes a model that knows nothing.
func NewModel(s *Settings, o Options) *Model {
	if o.Explore == 0 {
		o.Explore = exploreShare
	}
	return &Model{
		s: s, o: o, rng: rand.New(rand.NewPCG(o.Seed, 0x6761746865720000)), sketch: make(map[Key]*learned),
		classes: make(map[string]*class),
	}
}

func loadBucket(load float64) int { return max(0, min(Loads-1, int(load*Loads))) }

// named is a class's name that can be kept and written.
func named(class string) string {
	if class == "" {
		return "-"
	}
	return class[:min(len(class), MaxNameBytes)]
}

func (m *Model) class(name string) *class {
	m.used++
	c := m.classes[name]
	if c == nil {
		if len(m.classes) >= MaxClasses {
			oldest := ""
			for n, o := range m.classes {
				if oldest == "" || o.used < m.classes[oldest].used {
					oldest = n
				}
			}
			delete(m.classes, oldest)
			for k := range m.sketch {
				if k.Class == oldest {
					delete(m.sketch, k)
					m.stats.Dropped++
				}
			}
		}
		c = new(class)
		m.classes[name] = c
	}
	c.used = m.used
	return c
}

// For is what is known when a query of a class begins at a load: the share of what the parts bear
// that is in use, 0 to 1.
func (m *Model) For(name string, load float64) *Forecast {
	m.mu.Lock()
	defer m.mu.Unlock()
	name = named(name)
	c, l := m.class(name), loadBucket(load)
	if c.at[l] == nil || c.fresh[l] <= 0 {
		c.at[l], c.fresh[l] = m.forecast(name, c, l)
	}
	return c.at[l]
}

// forecast makes one anew, and tells for how many observations it is good.
func (m *Model) forecast(name string, c *class, load int) (*Forecast, int) {
	f := &Forecast{load: (float64(load) + 0.5) / Loads, common: c.common(), parts: make([]curve, len(m.s.Parts))}
	minWeight := float64(longMemory)
	for i := range m.s.Parts {
		s, own := m.blend(Key{name, m.s.Parts[i].Name, load})
		f.parts[i].estimate(&s)
		minWeight = min(minWeight, own)
	}
	return f, len(m.s.Parts) * max(1, int(minWeight/24))
}

// blend is all that is known of one part: its own sketch at a load, a little of its own at any, and
// what others know. Own knowledge soon weighs more than theirs.
func (m *Model) blend(k Key) (all Sketch, own float64) {
	wary := false
	if l := m.sketch[k]; l != nil {
		all.Add(&l.long.Sketch, l.long.times())
		own = all.Weight()
		wary = l.wary > 0
	}
	add := func(s *Sketch, times, maxWeight float64) {
		if n := s.Weight() * times; n > 0 {
			all.Add(s, times*min(1, maxWeight/n))
		}
	}
	any := k
	any.Load = AllLoads
	if l := m.sketch[any]; l != nil {
		add(&l.long.Sketch, l.long.times(), backOff)
		wary = wary || l.wary > 0
	}
	trust := m.trust
	if wary {
		trust /= 16
	}
	trust /= 1 + own/(fleetWeight/2)
	if s := m.fleet[k]; s != nil {
		add(s, 1, fleetWeight*trust)
	}
	if s := m.fleet[any]; s != nil {
		add(s, 1, backOff*trust)
	}
	return all, own
}

func (c *class) common() float64 {
	if c.squares < 20 {
		return 0
	}
	return max(0, min(0.95, c.pairs/c.squares))
}

// Observe learns what became of a part (by its place in the settings) of one query: also what comes
// after the query was answered. What was cut is told once: as censored, or when it came.
func (m *Model) Observe(name string, part int, load float64, o Outcome) {
	if part < 0 || part >= len(m.s.Parts) || o.Took < 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	name = named(name)
	c, l := m.class(name), loadBucket(load)
	at, any := m.at(Key{name, m.s.Parts[part].Name, l}), m.at(Key{name, m.s.Parts[part].Name, AllLoads})
	c.fresh[l]--
	if f := c.at[l]; f != nil && part < len(f.parts) && at.changed(&f.parts[part], o) {
		m.stats.Changes++
		at.long = at.short
		any.long, any.wary, at.wary = at.short, longMemory, longMemory
		at.slow, at.fast, at.short = 0, 0, memory{}
		c.fresh = [Loads]int{}
		return
	}
	at.add(o)
	any.add(o)
}

func (m *Model) at(k Key) *learned {
	l := m.sketch[k]
	if l == nil {
		if len(m.sketch) >= MaxSketches {
			m.evictOldest()
		}
		l = new(learned)
		m.sketch[k] = l
	}
	l.used = m.used
	return l
}

// evictOldest leaves out the eighth of all sketches that were used longest ago: many at once, as finding
// them costs as much as finding one.
func (m *Model) evictOldest() {
	all := make([]uint64, 0, len(m.sketch))
	for _, l := range m.sketch {
		all = append(all, l.used)
	}
	slices.Sort(all)
	until := all[len(all)/8]
	for k, l := range m.sketch {
		if l.used <= until && len(m.sketch) > MaxSketches*7/8 {
			delete(m.sketch, k)
			m.stats.Dropped++
		}
	}
}

func (l *learned) add(o Outcome) {
	l.long.add(o, longMemory, forgetHalf)
	l.wary = max(0, l.wary-1)
}

// changed tells whether what came can't well be of what was learned; the short memory holds then what
// came since that began. Failures tell nothing of delays, but come often enough to be learned.
func (l *learned) changed(c *curve, o Outcome) bool {
	n := l.long.Weight() * l.long.times()
	if o.Failed || !c.known || n < changeFrom {
		l.slow, l.fast = 0, 0
		return false
	}
	s := max(-changeStep, min(changeStep, c.scoreOf(o)))
	drift := changeDrift + 1/math.Sqrt(n) // what is known of few may be off by so much
	l.slow = max(0, l.slow+s-drift)
	l.fast = max(0, l.fast-s-drift)
	if l.slow == 0 && l.fast == 0 {
		if l.short.unit > 0 {
			l.short = memory{}
		}
		return false
	}
	l.short.add(o, longMemory, forgetHalf)
	return max(l.slow, l.fast) >= changeLimit
}

// scoreOf is the normal score of an outcome; of what was cut the mean of what it can have been.
func (c *curve) scoreOf(o Outcome) float64 {
	s := c.scoreAt(o.Took)
	if !o.Censored {
		return s
	}
	stays := 1 - phi(s)
	if stays < 1e-4 {
		return maxScore
	}
	return math.Exp(-s*s/2) / math.Sqrt(2*math.Pi) / stays
}

// Begin begins a query as Query.Begin does, which may be one that explores: of those the model
// settles the cost when Done is called, and no more are drawn than it may spend.
func (m *Model) Begin(q *Query, name string, load float64, now, deadline time.Duration) {
	f := m.For(name, load)
	q.Begin(m.s, f, now, deadline)
	if m.s.Mode != Learned || m.o.Explore < 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.credit = min(2, m.credit+m.o.Explore)
	if m.credit > 0 && m.rng.IntN(exploreOne) == 0 {
		q.explore = true
		m.credit-- // the most it can cost, until it is known
	}
}

// Done tells that a query of a class is over, by Next or by anything else: the model learns how far its
// parts went together, and what its exploring has cost. Each part's outcome is told by Observe.
func (m *Model) Done(q *Query, name string, now time.Duration) {
	if q.settled {
		return
	}
	if !q.done {
		q.done, q.ended = true, now
	}
	q.settled = true
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Queries++
	if q.explore {
		cost := 0.0
		if q.wouldEnd > 0 {
			m.stats.Explored++
			cost = q.s.fall(q.wouldEnd-q.begin) - q.s.fall(q.ended-q.begin)
		}
		m.stats.Spent += cost
		m.credit += 1 - cost
	}
	c := m.class(named(name))
	if q.f == nil || len(q.f.parts) != len(q.parts) || len(q.parts) < 2 {
		return
	}
	var sum, squares float64
	for i := range q.parts {
		p, o := &q.parts[i], Outcome{Took: q.ended - q.begin, Censored: true}
		if p.is != isOut {
			o = Outcome{Took: p.took}
		}
		if !q.f.parts[i].known {
			return
		}
		s := q.f.parts[i].scoreOf(o)
		sum += s
		squares += s * s
	}
	n := float64(len(q.parts))
	const keep = 1 - 1.0/256
	c.pairs = keep*c.pairs + (sum*sum-squares)/(n*(n-1))
	c.squares = keep*c.squares + squares/n
}

// Stats is what it has done so far.
func (m *Model) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stats
	s.Sketches, s.Classes, s.Trust = len(m.sketch), len(m.classes), m.trust
	return s
}

// PartReport is what is known of a part of a class over all loads, for operators.
type PartReport struct {
	Class  string  `json:"class"`
	Part   string  `json:"part"`
	Weight float64 `json:"weight"` // answers, failures and cuts that are remembered
	Median float64 `json:"p50_ms"`
	P95    float64 `json:"p95_ms"` // with what was cut counted as such
	Failed float64 `json:"failed"` // share of what is remembered
	Cut    float64 `json:"cut"`
}

// Report tells what is known here, in the order of classes and parts.
func (m *Model) Report() (all []PartReport) {
	keys, sketches := m.Sketches()
	for i, k := range keys {
		s := &sketches[i]
		n := s.Weight()
		if k.Load != AllLoads || n == 0 {
			continue
		}
		r := PartReport{Class: k.Class, Part: k.Part, Weight: n}
		var at [2]time.Duration
		s.Quantiles([]float64{0.5, 0.95}, at[:])
		r.Median, r.P95 = at[0].Seconds()*1e3, at[1].Seconds()*1e3
		for b := range s.Came {
			r.Failed += float64(s.Failed[b]) / n
			r.Cut += float64(s.Cut[b]) / n
		}
		all = append(all, r)
	}
	return all
}

// Sketches are copies of what was learned here, in the order of keys: to be shared.
func (m *Model) Sketches() (keys []Key, all []Sketch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k := range m.sketch {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, Key.Compare)
	all = make([]Sketch, len(keys))
	for i, k := range keys {
		l := m.sketch[k]
		all[i].Add(&l.long.Sketch, l.long.times())
	}
	return keys, all
}

// Fleet tells what others know, and how far that is to be trusted, 0 to 1. What is told replaces what
// was told before.
func (m *Model) Fleet(all map[Key]*Sketch, trust float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet, m.trust = all, max(0, min(1, trust))
	for _, c := range m.classes {
		c.fresh = [Loads]int{}
	}
}
