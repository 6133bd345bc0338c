package fleetsim

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lockflow/control"
	"lockflow/internal/simulation/fleetrules"
	"lockflow/internal/simulation/vtime"
)

// Figures of the days' world that no option changes. Works and aims are those of a service whose
// calls take a quarter of a second and whose clients wait for ten.
const (
	dayWork              = 0.25 // s of one core, on average
	dayLatencyObjective  = 3 * time.Second
	dayDeadline          = 10 * time.Second
	dayWindow            = time.Second // in which a cell's servers drop repeats
	dayCores             = 4
	dayQueue             = 80 // requests that a server holds beyond its cores
	dayConns             = 400
	dayCellSize          = 6
	dayZones             = 3
	perNode              = 0.6 // servers for each instance
	perNodeOffered       = 0.5 // part of the servers' capacity that is asked for inside quotas
	handshake            = 1e-3
	idleConn             = 15 * time.Second
	connectTime          = 250 * time.Millisecond
	addNotice            = time.Second             // until a new server is listed
	goneNotice           = 2 * time.Second         // until a drain or an end is
	maxNotificationDelay = 6 * time.Second         // after which news counts as told, from its time or from when a watch fell silent
	watchSilence         = 3200 * time.Millisecond // until a silent watch is noticed and a new one has said what was missed
	maxSlowConnect       = time.Second             // until a connection is up that comes up late
	reportEvery          = 400 * time.Millisecond
	meterBack            = 2 // periods of a second: the one before the last that ended is told
	termGrace            = 3 * time.Second
	unitsTop             = 4

	rejectedAllMin = 15 // requests rejected in a row, over so long or more, are all that an instance gets
	rejectedAllFor = 4 * time.Second

	firstUse = time.Hour // on the modules' clock
)

// DayOptions say what is played.
type DayOptions struct {
	Day       string
	Instances int
	GroupSize int           // size of the group that they are told; 0 is as many as there are
	Lasts     time.Duration // 25 s; the long day 120 s
	Load      float64       // times what is asked usually, which is half of what the servers can do; 1
	Seed      uint64
	Mutation  *Mutation // nil takes no guard out

	observe observer // nil observes nothing
}

// observer sees each event that an instance's controller handles, and the actions that answer it.
type observer func(w *world, instance int, event control.Event, actions []control.Action)

// DayReport is what came of a day.
type DayReport struct {
	Day               string                  `json:"day"`
	Instances         int                     `json:"instances"`
	Servers           int                     `json:"servers"` // at the start
	Seed              uint64                  `json:"seed"`
	First             int                     `json:"first_tries"`
	Tries             int                     `json:"tries"`
	Attempts          int                     `json:"attempts"`
	Served            float64                 `json:"served"`     // part of the worth asked inside quotas that was answered within its aim
	Classes           map[string]float64      `json:"classes"`    // the same of each class
	Thirds            [3]float64              `json:"thirds"`     // and of each third of the day
	Plans             map[string]float64      `json:"plans"`      // and of each plan
	Rejecting         float64                 `json:"rejecting"`  // part of the instances that rejected all that they got for 4 s
	Starved           float64                 `json:"starved"`    // part of that worth whose customers were served under a tenth of theirs
	Beyond            float64                 `json:"beyond"`     // part of the units sent on that were beyond quotas
	Failed            float64                 `json:"failed"`     // part of the tries
	Handshakes        float64                 `json:"handshakes"` // for each first try
	MaxWarmUpOverload float64                 `json:"cold"`       // the most a cold server was sent, over its limit
	Broken            map[fleetrules.Rule]int `json:"broken"`
	Breaches          []fleetrules.Breach     `json:"breaches,omitempty"`
}

type hostState int

const (
	hostUp hostState = iota
	hostDraining
	hostSilent // its machine is lost: nothing answers
	hostGone   // its process has ended: connections are refused
)

// host is an app server of the model.
type host struct {
	id       uint32
	zone     string
	cell     int
	state    hostState
	leaving  bool
	bad      bool
	cutUntil time.Duration
	bootAt   time.Duration // cold since; negative is long ago
	life     int           // counts its starts: work of an earlier one is lost
	free     [dayCores]time.Duration
	inFlight int
	conns    map[int]time.Duration // last use by instance
	busy     float64               // smoothed part of its cores
	mean     float64
	report   control.LoadReport
	reportAt time.Duration
}

// listed is an entry of the list, and whether it says up.
type listed struct {
	control.Endpoint
	up bool
}

// node is an instance.
type node struct {
	c                   *control.Controller
	set                 control.Settings
	grantsFullHardLimit bool
	life                int // counts its starts
	down                bool
	closing             bool
	inFlight            map[string]*try
	knows               map[uint32]int // the life of each server of which it was told
	deafSince           time.Duration  // its watch has fallen silent
	deafUntil           time.Duration  // and is open anew; 0 is never silent

	rejectedInRow int           // requests rejected with no attempt in between
	rejectsSince  time.Duration // the first of them
	rejectedAll   bool          // they were rejectedAllMin or more over rejectedAllFor, once
}

// customer is a client's name with its demand.
type dayCustomer struct {
	name          string
	plan          int
	first, spread int
	hot           int     // the instance of its set that gets a fifth of its tries
	demand        *demand // in a world of quotas
}

// call is a client's request over all its tries.
type call struct {
	at     time.Duration
	cust   *dayCustomer
	class  int
	units  float64
	tries  int
	inside bool
	weight float64
	done   bool

	// In a world of quotas: its true units, its instance, whether a try was sent on, and whether one was refused with room.
	cost                 float64
	node                 int
	sent                 bool
	rejectedWithCapacity bool
}

// try is one request at an instance.
type try struct {
	id    string
	call  *call
	until time.Duration
	sends int

	// In a world of quotas: whether it was sent on, and inside its quota; what sorts it is of; why it is refused.
	sent, inside       bool
	cells              []*Cell
	why                control.Cause
	admissionRemainder float64 // what the module's chance had over, where it had read of the customer
	read               bool
}

type world struct {
	vtime.Clock
	o           DayOptions
	plan        dayPlan
	rules       control.Settings // as they are, whatever a mutation tells an instance
	rng         *rand.Rand       // of the world; clients have their own, so that two variants see the same arrivals
	clientRand  *rand.Rand
	check       *fleetrules.Checker
	rep         DayReport
	nodes       []*node
	hosts       []*host
	byID        map[uint32]*host
	custs       []*dayCustomer
	sums        []float64 // of customers' demand
	fresh       int
	arrivalRate float64 // first tries a second
	ids         int
	stores      map[string]*quota // true stores of the quotas, of first tries and of what is sent
	used        map[string]*meter

	listsSilentUntil time.Duration
	meterDown        bool
	totalWeight      weightTotals // of all
	classes          [2]weightTotals
	plans            []weightTotals
	thirds           [3]weightTotals
	customers        map[*dayCustomer]*weightTotals
	sentUnits        float64
	beyond           float64
	failed           int
	dialed           int
}

type quota struct {
	offered, sent     float64
	offeredAt, sentAt time.Duration
}

type meter struct {
	period      int
	now         float64
	periodUnits []float64 // by period, of the last ones
}

// weightTotals is what was asked inside quotas, and what of it was served in time.
type weightTotals struct{ offered, served float64 }

func (w *weightTotals) part() float64 { return w.served / math.Max(1, w.offered) }

// count books a first try's worth, asked or served, wherever it belongs.
func (w *world) count(c *call, offered, served float64) {
	third := min(2, int(3*c.at/w.o.Lasts))
	own := w.customers[c.cust]
	if own == nil {
		own = &weightTotals{}
		w.customers[c.cust] = own
	}
	for _, one := range []*weightTotals{&w.totalWeight, &w.classes[c.class], &w.plans[c.cust.plan], &w.thirds[third], own} {
		one.offered += offered
		one.served += served
	}
}

// Day plays a day of a fleet in virtual time, with the real module in each instance, and holds it to
// the five rules. The same options give the same report.
func Day(o DayOptions) (DayReport, error) {
	p, err := dayOf(o.Day)
	if err != nil {
		return DayReport{}, err
	}
	return play(o, p)
}

// play plays a day's script.
func play(o DayOptions, p dayPlan) (DayReport, error) {
	if o.Instances < 1 || o.GroupSize < 0 || o.Load < 0 {
		return DayReport{}, fmt.Errorf("simulating %q: %d instances, %d told", o.Day, o.Instances, o.GroupSize)
	}
	def(&o.GroupSize, o.Instances)
	def(&o.Load, 1)
	if o.Mutation == nil {
		o.Mutation = &Mutation{}
	}
	if o.Day == "long" {
		def(&o.Lasts, 120*time.Second)
	}
	def(&o.Lasts, 25*time.Second)
	w := &world{
		o: o, plan: p, rng: stream(o.Seed, 1), clientRand: stream(o.Seed, 2), byID: map[uint32]*host{},
		stores: map[string]*quota{}, used: map[string]*meter{}, customers: map[*dayCustomer]*weightTotals{},
	}
	w.rules = w.settings(0)
	w.plans = make([]weightTotals, len(w.rules.Plans))
	w.check = fleetrules.New(fleetrules.Terms{
		AnswerGrace: 55 * time.Millisecond, DrainGrace: 2050 * time.Millisecond,
		Fall: 2 * time.Second, FallMultiple: 2.5, MeanWork: dayWork,
	})
	for i := range max(4, int(perNode*float64(o.Instances))) {
		h := w.newHost(fmt.Sprintf("z%d", i%dayZones), i/dayCellSize, -time.Hour)
		h.bad = w.rng.Float64() < p.bad
	}
	w.rep = DayReport{Day: o.Day, Instances: o.Instances, Servers: len(w.hosts), Seed: o.Seed}
	w.people()
	for i := range o.Instances {
		w.nodes = append(w.nodes, &node{down: true})
		w.At(time.Duration(w.rng.Int64N(int64(100*time.Millisecond))), func() { w.start(i) })
	}
	p.script(w)
	if p.quotas == nil {
		w.At(200*time.Millisecond, w.arrive)
	}
	w.Run(o.Lasts + dayDeadline + time.Second)
	w.check.Close(w.Now())
	return w.report(), nil
}

func (w *world) report() DayReport {
	r := w.rep
	r.Served, r.Classes, r.Plans = w.totalWeight.part(), map[string]float64{}, map[string]float64{}
	for i := range w.classes {
		r.Classes[w.rules.Classes[i].Name] = w.classes[i].part()
	}
	for i := range w.plans {
		r.Plans[w.rules.Plans[i].Name] = w.plans[i].part()
	}
	for _, n := range w.nodes {
		if n.rejectedAll {
			r.Rejecting += 1 / float64(len(w.nodes))
		}
	}
	for i := range w.thirds {
		r.Thirds[i] = w.thirds[i].part()
	}
	byName := func(a, b *dayCustomer) int { return strings.Compare(a.name, b.name) }
	for _, cust := range slices.SortedFunc(maps.Keys(w.customers), byName) { // a sum of another order is another in its last digit
		if c := w.customers[cust]; c.part() < 0.1 {
			r.Starved += c.offered / math.Max(1, w.totalWeight.offered)
		}
	}
	r.Beyond = w.beyond / math.Max(1, w.sentUnits)
	r.Failed = float64(w.failed) / math.Max(1, float64(r.Tries))
	r.Handshakes = float64(w.dialed) / math.Max(1, float64(r.First))
	r.MaxWarmUpOverload = w.check.MaxWarmUpOverload()
	r.Broken, r.Breaches = w.check.Broken(), w.check.Breaches()
	return r
}
