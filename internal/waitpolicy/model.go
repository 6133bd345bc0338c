package waitpolicy

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Limits of a model. The least recently used classes and sketches are evicted for new ones.
const (
	MaxClasses   = 32
	MaxNameBytes = 128 // of a class's or a part's name
	MaxSketches  = 2048
)

// Loads is the number of equal buckets of loads from 0 to 1; the last bucket also contains higher loads.
const Loads = 4

// AllLoads is the load in the keys of sketches over all loads.
const AllLoads = Loads

// noClass is the key of queries without a class.
const noClass = "-"

// defaultExploreBudget is the default fraction of the answers' value that is spent on exploring.
const defaultExploreBudget = 0.01

// modelStream is the second seed of a model's random number generator, beside Options.Seed.
const modelStream = 0x6761746865720000

// Options configure a model.
type Options struct {
	Seed uint64 // of the random choice of exploring queries
	// Explore is the fraction of the answers' value that is spent on waiting longer to learn. 0 is 0.01; a value
	// below 0 disables exploring.
	Explore float64
}

// Stats are the counts of a model since its creation, and its current sizes.
type Stats struct {
	Queries         uint64  `json:"queries"`
	Explored        uint64  `json:"explored"` // queries that waited longer to learn
	ExploreCost     float64 `json:"spent"`    // in values of complete answers without delay
	Changes         uint64  `json:"changes"`  // detected changes of parts
	EvictedSketches uint64  `json:"dropped"`
	Sketches        int     `json:"sketches"`
	Classes         int     `json:"classes"`
	Trust           float64 `json:"trust"` // in the other instances' sketches, 0 to 1
}

// Model learns how long the parts of one gatherer take. It is safe for concurrent use.
type Model struct {
	mu            sync.Mutex
	settings      *Settings
	options       Options
	rng           *rand.Rand
	histories     map[Key]*partHistory
	classes       map[string]*class
	useCount      uint64          // logical clock for evictions
	fleet         map[Key]*Sketch // learned by other instances
	trust         float64         // in fleet, 0 to 1
	exploreCredit float64         // value that may be spent on exploring
	stats         Stats
}

// class is the state of one class.
type class struct {
	lastUse          uint64
	forecasts        [Loads]*Forecast // by load bucket; nil if not computed yet
	observationsLeft [Loads]int       // by load bucket: outcomes until the forecast is computed again
	// Exponential moving sums over queries: of the mean product of two parts' normal scores, and of the mean square
	// of a score.
	pairMoment   float64
	squareMoment float64
}

// NewModel returns a model without observations.
func NewModel(settings *Settings, options Options) *Model {
	if options.Explore == 0 {
		options.Explore = defaultExploreBudget
	}
	return &Model{
		settings:  settings,
		options:   options,
		rng:       rand.New(rand.NewPCG(options.Seed, modelStream)),
		histories: make(map[Key]*partHistory),
		classes:   make(map[string]*class),
	}
}

// loadBucket returns the bucket of a load.
func loadBucket(load float64) int { return max(0, min(Loads-1, int(load*Loads))) }

// classKey returns the name under which a class is stored.
func classKey(name string) string {
	if name == "" {
		return noClass
	}
	return name[:min(len(name), MaxNameBytes)]
}

// class returns a class, and adds it if it does not exist.
func (m *Model) class(name string) *class {
	m.useCount++
	c := m.classes[name]
	if c == nil {
		if len(m.classes) >= MaxClasses {
			m.evictOldestClass()
		}
		c = new(class)
		m.classes[name] = c
	}
	c.lastUse = m.useCount
	return c
}

// evictOldestClass removes the least recently used class and its sketches.
func (m *Model) evictOldestClass() {
	oldest := ""
	for name, c := range m.classes {
		if oldest == "" || c.lastUse < m.classes[oldest].lastUse {
			oldest = name
		}
	}
	delete(m.classes, oldest)
	for key := range m.histories {
		if key.Class == oldest {
			delete(m.histories, key)
			m.stats.EvictedSketches++
		}
	}
}

// Observe records the outcome of a part, given by its index in the settings. It is called once for each part of a
// query, also after the query was answered: an abandoned part is reported as censored, or with its outcome when it ends.
func (m *Model) Observe(className string, part int, load float64, outcome Outcome) {
	if part < 0 || part >= len(m.settings.Parts) || outcome.Duration < 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	className = classKey(className)
	class := m.class(className)
	bucket := loadBucket(load)
	partName := m.settings.Parts[part].Name
	atLoad := m.history(Key{Class: className, Part: partName, Load: bucket})
	atAllLoads := m.history(Key{Class: className, Part: partName, Load: AllLoads})
	class.observationsLeft[bucket]--
	forecast := class.forecasts[bucket]
	if forecast != nil && part < len(forecast.parts) && atLoad.hasChanged(&forecast.parts[part], outcome) {
		m.stats.Changes++
		atLoad.restart(atAllLoads)
		class.observationsLeft = [Loads]int{}
		return
	}
	atLoad.add(outcome)
	atAllLoads.add(outcome)
}

// Forecast returns the forecast for a class and a load. load is the utilization of the parts, 0 to 1.
func (m *Model) Forecast(className string, load float64) *Forecast {
	m.mu.Lock()
	defer m.mu.Unlock()
	className = classKey(className)
	class := m.class(className)
	bucket := loadBucket(load)
	if class.forecasts[bucket] == nil || class.observationsLeft[bucket] <= 0 {
		class.forecasts[bucket], class.observationsLeft[bucket] = m.newForecast(className, class, bucket)
	}
	return class.forecasts[bucket]
}

// Stats returns the model's counts and sizes.
func (m *Model) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stats
	s.Sketches = len(m.histories)
	s.Classes = len(m.classes)
	s.Trust = m.trust
	return s
}

// SetFleet replaces the sketches of other instances and the trust in them, 0 to 1.
func (m *Model) SetFleet(sketches map[Key]*Sketch, trust float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet = sketches
	m.trust = max(0, min(1, trust))
	for _, c := range m.classes {
		c.observationsLeft = [Loads]int{}
	}
}

// Begin starts a query with the forecast for its class and load. It may select the query for exploring, within the
// budget; Done accounts for the cost.
func (m *Model) Begin(q *Query, className string, load float64, now, deadline time.Duration) {
	forecast := m.Forecast(className, load)
	q.Begin(m.settings, forecast, now, deadline)
	if m.settings.Mode != Learned || m.options.Explore < 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	q.isExploring = m.drawExploring()
}

// Done reports the end of a query, whether or not Next has decided it. The model learns the correlation of the parts
// and accounts for the cost of exploring; the parts' outcomes are reported by Observe.
func (m *Model) Done(q *Query, className string, now time.Duration) {
	if q.isReported {
		return
	}
	if !q.isDone {
		q.isDone = true
		q.endedAt = now
	}
	q.isReported = true
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Queries++
	if q.isExploring {
		m.accountExploring(q)
	}
	m.class(classKey(className)).observeCorrelation(q)
}
