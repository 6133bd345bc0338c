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
	maxRemembered        = 512
	memoryHalfLife       = 2 * time.Hour
	allLoadsWeight       = 16  // weight that what is known over all loads has beside what is known at one
	fleetWeight          = 128 // that what others know has
	exploreHalfLives     = 2   // half-lives that a query waits longer to learn
	defaultExploreBudget = 0.01
	exploreInterval      = 32 // of so many queries one explores, where the budget is there
)

// Changes are told by two sums, of the scores beyond a drift each way, once one is above the limit:
// once in a hundred thousand and more observations where nothing changes and all is known.
const (
	changeDrift     = 0.6
	changeLimit     = 9.0
	changeMinWeight = 60 // weight of what was learned, below which nothing is told from it
	maxChangeStep   = 3.0
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
	mu            sync.Mutex
	settings      *Settings
	options       Options
	rng           *rand.Rand
	histories     map[Key]*partHistory
	classes       map[string]*class
	useCount      uint64
	fleet         map[Key]*Sketch // what others know; weights as they gave them
	trust         float64         // in it: 0 to 1
	exploreCredit float64         // worth that may be spent on exploring
	stats         Stats
}

// Stats are what a model has done, cumulative.
type Stats struct {
	Queries         uint64  `json:"queries"`
	Explored        uint64  `json:"explored"`
	ExploreCost     float64 `json:"spent"`   // worth, by exploring
	Changes         uint64  `json:"changes"` // that were told
	EvictedSketches uint64  `json:"dropped"` // sketches that made room
	Sketches        int     `json:"sketches"`
	Classes         int     `json:"classes"`
	Trust           float64 `json:"trust"` // in what others know
}

// class is what is known of one class: the forecasts at each load, and the parts' common factor.
type class struct {
	lastUse          uint64
	forecasts        [Loads]*Forecast
	observationsLeft [Loads]int // observations until the next
	// Moments of the parts' normal scores, of pairs in a query and of each.
	pairMoment, squareMoment float64
}

// partHistory is what is known of one part, at a class and a load.
type partHistory struct {
	lastUse              uint64
	longTerm             memory
	shortTerm            memory  // since one of the sums last left 0: if it tells a change, that is where it began
	slowerSum, fasterSum float64 // sums that tell a change
	distrustLeft         int     // observations for which others' knowledge counts little: a change was told
}

// NewModel makes a model that knows nothing.
func NewModel(s *Settings, o Options) *Model {
	if o.Explore == 0 {
		o.Explore = defaultExploreBudget
	}
	return &Model{
		settings: s, options: o, rng: rand.New(rand.NewPCG(o.Seed, 0x6761746865720000)), histories: make(map[Key]*partHistory),
		classes: make(map[string]*class),
	}
}

func loadBucket(load float64) int { return max(0, min(Loads-1, int(load*Loads))) }

// classKey is a class's name that can be kept and written.
func classKey(class string) string {
	if class == "" {
		return "-"
	}
	return class[:min(len(class), MaxNameBytes)]
}

func (m *Model) class(name string) *class {
	m.useCount++
	c := m.classes[name]
	if c == nil {
		if len(m.classes) >= MaxClasses {
			oldest := ""
			for n, o := range m.classes {
				if oldest == "" || o.lastUse < m.classes[oldest].lastUse {
					oldest = n
				}
			}
			delete(m.classes, oldest)
			for k := range m.histories {
				if k.Class == oldest {
					delete(m.histories, k)
					m.stats.EvictedSketches++
				}
			}
		}
		c = new(class)
		m.classes[name] = c
	}
	c.lastUse = m.useCount
	return c
}

// Forecast is what is known when a query of a class begins at a load: the share of what the parts bear
// that is in use, 0 to 1.
func (m *Model) Forecast(name string, load float64) *Forecast {
	m.mu.Lock()
	defer m.mu.Unlock()
	name = classKey(name)
	c, l := m.class(name), loadBucket(load)
	if c.forecasts[l] == nil || c.observationsLeft[l] <= 0 {
		c.forecasts[l], c.observationsLeft[l] = m.newForecast(name, c, l)
	}
	return c.forecasts[l]
}

// newForecast makes one anew, and tells for how many observations it is good.
func (m *Model) newForecast(name string, c *class, load int) (*Forecast, int) {
	f := &Forecast{load: (float64(load) + 0.5) / Loads, correlation: c.correlation(), parts: make([]curve, len(m.settings.Parts))}
	minWeight := float64(maxRemembered)
	for i := range m.settings.Parts {
		s, own := m.blendedSketch(Key{name, m.settings.Parts[i].Name, load})
		f.parts[i].estimate(&s)
		minWeight = min(minWeight, own)
	}
	return f, len(m.settings.Parts) * max(1, int(minWeight/24))
}

// blendedSketch is all that is known of one part: its own sketch at a load, a little of its own at any, and
// what others know. Own knowledge soon weighs more than theirs.
func (m *Model) blendedSketch(k Key) (all Sketch, own float64) {
	wary := false
	if l := m.histories[k]; l != nil {
		all.Add(&l.longTerm.Sketch, l.longTerm.countScale())
		own = all.Weight()
		wary = l.distrustLeft > 0
	}
	add := func(s *Sketch, times, maxWeight float64) {
		if n := s.Weight() * times; n > 0 {
			all.Add(s, times*min(1, maxWeight/n))
		}
	}
	any := k
	any.Load = AllLoads
	if l := m.histories[any]; l != nil {
		add(&l.longTerm.Sketch, l.longTerm.countScale(), allLoadsWeight)
		wary = wary || l.distrustLeft > 0
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
		add(s, 1, allLoadsWeight*trust)
	}
	return all, own
}

func (c *class) correlation() float64 {
	if c.squareMoment < 20 {
		return 0
	}
	return max(0, min(0.95, c.pairMoment/c.squareMoment))
}

// Observe learns what became of a part (by its place in the settings) of one query: also what comes
// after the query was answered. What was cut is told once: as censored, or when it came.
func (m *Model) Observe(name string, part int, load float64, o Outcome) {
	if part < 0 || part >= len(m.settings.Parts) || o.Duration < 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	name = classKey(name)
	c, l := m.class(name), loadBucket(load)
	at, any := m.history(Key{name, m.settings.Parts[part].Name, l}), m.history(Key{name, m.settings.Parts[part].Name, AllLoads})
	c.observationsLeft[l]--
	if f := c.forecasts[l]; f != nil && part < len(f.parts) && at.hasChanged(&f.parts[part], o) {
		m.stats.Changes++
		at.longTerm = at.shortTerm
		any.longTerm, any.distrustLeft, at.distrustLeft = at.shortTerm, maxRemembered, maxRemembered
		at.slowerSum, at.fasterSum, at.shortTerm = 0, 0, memory{}
		c.observationsLeft = [Loads]int{}
		return
	}
	at.add(o)
	any.add(o)
}

func (m *Model) history(k Key) *partHistory {
	l := m.histories[k]
	if l == nil {
		if len(m.histories) >= MaxSketches {
			m.evictOldest()
		}
		l = new(partHistory)
		m.histories[k] = l
	}
	l.lastUse = m.useCount
	return l
}

// evictOldest leaves out the eighth of all sketches that were used longest ago: many at once, as finding
// them costs as much as finding one.
func (m *Model) evictOldest() {
	all := make([]uint64, 0, len(m.histories))
	for _, l := range m.histories {
		all = append(all, l.lastUse)
	}
	slices.Sort(all)
	until := all[len(all)/8]
	for k, l := range m.histories {
		if l.lastUse <= until && len(m.histories) > MaxSketches*7/8 {
			delete(m.histories, k)
			m.stats.EvictedSketches++
		}
	}
}

func (l *partHistory) add(o Outcome) {
	l.longTerm.add(o, maxRemembered, memoryHalfLife)
	l.distrustLeft = max(0, l.distrustLeft-1)
}

// hasChanged tells whether what came can't well be of what was learned; the short memory holds then what
// came since that began. Failures tell nothing of delays, but come often enough to be learned.
func (l *partHistory) hasChanged(c *curve, o Outcome) bool {
	n := l.longTerm.Weight() * l.longTerm.countScale()
	if o.Failed || !c.isKnown || n < changeMinWeight {
		l.slowerSum, l.fasterSum = 0, 0
		return false
	}
	s := max(-maxChangeStep, min(maxChangeStep, c.scoreOf(o)))
	drift := changeDrift + 1/math.Sqrt(n) // what is known of few may be off by so much
	l.slowerSum = max(0, l.slowerSum+s-drift)
	l.fasterSum = max(0, l.fasterSum-s-drift)
	if l.slowerSum == 0 && l.fasterSum == 0 {
		if l.shortTerm.unit > 0 {
			l.shortTerm = memory{}
		}
		return false
	}
	l.shortTerm.add(o, maxRemembered, memoryHalfLife)
	return max(l.slowerSum, l.fasterSum) >= changeLimit
}

// scoreOf is the normal score of an outcome; of what was cut the mean of what it can have been.
func (c *curve) scoreOf(o Outcome) float64 {
	s := c.scoreAt(o.Duration)
	if !o.Censored {
		return s
	}
	stays := 1 - normalCDF(s)
	if stays < 1e-4 {
		return maxScore
	}
	return math.Exp(-s*s/2) / math.Sqrt(2*math.Pi) / stays
}

// Begin begins a query as Query.Begin does, which may be one that explores: of those the model
// settles the cost when Done is called, and no more are drawn than it may spend.
func (m *Model) Begin(q *Query, name string, load float64, now, deadline time.Duration) {
	f := m.Forecast(name, load)
	q.Begin(m.settings, f, now, deadline)
	if m.settings.Mode != Learned || m.options.Explore < 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.exploreCredit = min(2, m.exploreCredit+m.options.Explore)
	if m.exploreCredit > 0 && m.rng.IntN(exploreInterval) == 0 {
		q.isExploring = true
		m.exploreCredit-- // the most it can cost, until it is known
	}
}

// Done tells that a query of a class is over, by Next or by anything else: the model learns how far its
// parts went together, and what its exploring has cost. Each part's outcome is told by Observe.
func (m *Model) Done(q *Query, name string, now time.Duration) {
	if q.isReported {
		return
	}
	if !q.isDone {
		q.isDone, q.endedAt = true, now
	}
	q.isReported = true
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Queries++
	if q.isExploring {
		cost := 0.0
		if q.valueAnswerAt > 0 {
			m.stats.Explored++
			cost = q.settings.decay(q.valueAnswerAt-q.startedAt) - q.settings.decay(q.endedAt-q.startedAt)
		}
		m.stats.ExploreCost += cost
		m.exploreCredit += 1 - cost
	}
	c := m.class(classKey(name))
	if q.forecast == nil || len(q.forecast.parts) != len(q.parts) || len(q.parts) < 2 {
		return
	}
	var sum, squares float64
	for i := range q.parts {
		p, o := &q.parts[i], Outcome{Duration: q.endedAt - q.startedAt, Censored: true}
		if p.status != partOutstanding {
			o = Outcome{Duration: p.duration}
		}
		if !q.forecast.parts[i].isKnown {
			return
		}
		s := q.forecast.parts[i].scoreOf(o)
		sum += s
		squares += s * s
	}
	n := float64(len(q.parts))
	const keep = 1 - 1.0/256
	c.pairMoment = keep*c.pairMoment + (sum*sum-squares)/(n*(n-1))
	c.squareMoment = keep*c.squareMoment + squares/n
}

// Stats is what it has done so far.
func (m *Model) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stats
	s.Sketches, s.Classes, s.Trust = len(m.histories), len(m.classes), m.trust
	return s
}

// PartReport is what is known of a part of a class over all loads, for operators.
type PartReport struct {
	Class     string  `json:"class"`
	Part      string  `json:"part"`
	Weight    float64 `json:"weight"` // answers, failures and cuts that are remembered
	Median    float64 `json:"p50_ms"`
	P95       float64 `json:"p95_ms"` // with what was cut counted as such
	Failed    float64 `json:"failed"` // share of what is remembered
	Abandoned float64 `json:"cut"`
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
		for b := range s.Answered {
			r.Failed += float64(s.Failed[b]) / n
			r.Abandoned += float64(s.Abandoned[b]) / n
		}
		all = append(all, r)
	}
	return all
}

// Sketches are copies of what was learned here, in the order of keys: to be shared.
func (m *Model) Sketches() (keys []Key, all []Sketch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k := range m.histories {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, Key.Compare)
	all = make([]Sketch, len(keys))
	for i, k := range keys {
		l := m.histories[k]
		all[i].Add(&l.longTerm.Sketch, l.longTerm.countScale())
	}
	return keys, all
}

// SetFleet tells what others know, and how far that is to be trusted, 0 to 1. What is told replaces what
// was told before.
func (m *Model) SetFleet(all map[Key]*Sketch, trust float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet, m.trust = all, max(0, min(1, trust))
	for _, c := range m.classes {
		c.observationsLeft = [Loads]int{}
	}
}
