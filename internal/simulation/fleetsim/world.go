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
	dayRepeatWindow      = time.Second // in which a cell's servers drop repeats
	dayCores             = 4
	maxServerQueue       = 80 // requests that a server holds beyond its cores
	maxServerConnections = 400
	dayCellSize          = 6
	dayZones             = 3
	serversPerNode       = 0.6 // servers for each instance
	offeredFraction      = 0.5 // part of the servers' capacity that is asked for inside quotas
	handshakeWork        = 1e-3
	idleConnectionTime   = 15 * time.Second
	connectTime          = 250 * time.Millisecond
	listDelayOfStart     = time.Second             // until a new server is listed
	listDelayOfEnd       = 2 * time.Second         // until a drain or an end is
	maxNotificationDelay = 6 * time.Second         // after which news counts as told, from its time or from when a watch fell silent
	watchSilence         = 3200 * time.Millisecond // until a silent watch is noticed and a new one has said what was missed
	maxSlowConnect       = time.Second             // until a connection is up that comes up late
	loadReportInterval   = 400 * time.Millisecond
	meterLagPeriods      = 2 // periods of a second: the one before the last that ended is told
	termGrace            = 3 * time.Second
	maxUnits             = 4

	rejectedAllMin = 15 // requests rejected in a row, over so long or more, are all that an instance gets
	rejectedAllFor = 4 * time.Second

	firstUse = time.Hour // on the modules' clock
)

// DayOptions say what is played.
type DayOptions struct {
	Day       string
	Instances int
	GroupSize int           // size of the group that they are told; 0 is as many as there are
	Duration  time.Duration // 25 s; the long day 120 s
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
	Calls             int                     `json:"first_tries"`
	Requests          int                     `json:"tries"`
	Attempts          int                     `json:"attempts"`
	Served            float64                 `json:"served"`     // part of the worth asked inside quotas that was answered within its aim
	Classes           map[string]float64      `json:"classes"`    // the same of each class
	Thirds            [3]float64              `json:"thirds"`     // and of each third of the day
	Plans             map[string]float64      `json:"plans"`      // and of each plan
	RejectingFraction float64                 `json:"rejecting"`  // part of the instances that rejected all that they got for 4 s
	StarvedFraction   float64                 `json:"starved"`    // part of that worth whose customers were served under a tenth of theirs
	OverQuotaFraction float64                 `json:"beyond"`     // part of the units sent on that were beyond quotas
	FailedFraction    float64                 `json:"failed"`     // part of the tries
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
	id                  uint32
	zone                string
	cell                int
	state               hostState
	isLeaving           bool
	isFaulty            bool
	disconnectedUntil   time.Duration
	bootedAt            time.Duration // cold since; negative is long ago
	incarnation         int           // counts its starts: work of an earlier one is lost
	coreFreeAt          [dayCores]time.Duration
	inFlight            int
	connections         map[int]time.Duration // last use by instance
	smoothedUtilization float64               // smoothed part of its cores
	smoothedTime        float64
	report              control.LoadReport
	reportAt            time.Duration
}

// listed is an entry of the list, and whether it says up.
type listed struct {
	control.Endpoint
	isUp bool
}

// node is an instance.
type node struct {
	controller          *control.Controller
	settings            control.Settings
	grantsFullHardLimit bool
	incarnation         int // counts its starts
	down                bool
	closing             bool
	inFlight            map[string]*clientRequest
	knownIncarnations   map[uint32]int // the life of each server of which it was told
	watchSilentSince    time.Duration  // its watch has fallen silent
	watchSilentUntil    time.Duration  // and is open anew; 0 is never silent

	rejectedInRow  int           // requests rejected with no attempt in between
	rejectingSince time.Duration // the first of them
	hasRejectedAll bool          // they were rejectedAllMin or more over rejectedAllFor, once
}

// customer is a client's name with its demand.
type dayCustomer struct {
	name              string
	plan              int
	firstNode, fanOut int
	preferredNode     int     // the instance of its set that gets a fifth of its tries
	demand            *demand // in a world of quotas
}

// call is a client's request over all its tries.
type call struct {
	arrivedAt    time.Duration
	customer     *dayCustomer
	class        int
	units        float64
	requests     int
	isUnderQuota bool
	weight       float64
	isServed     bool

	// In a world of quotas: its true units, its instance, whether a try was sent on, and whether one was refused with room.
	actualUnits          float64
	node                 int
	isForwarded          bool
	rejectedWithCapacity bool
}

// clientRequest is one request at an instance.
type clientRequest struct {
	id       string
	call     *call
	deadline time.Duration
	attempts int

	// In a world of quotas: whether it was sent on, and inside its quota; what sorts it is of; why it is refused.
	isForwarded, isUnderQuota bool
	cells                     []*Cell
	rejectionCause            control.Cause
	admissionRemainder        float64 // what the module's chance had over, where it had read of the customer
	hasReading                bool
}

type world struct {
	vtime.Clock
	options        DayOptions
	script         dayPlan
	rules          control.Settings // as they are, whatever a mutation tells an instance
	rng            *rand.Rand       // of the world; clients have their own, so that two variants see the same arrivals
	clientRand     *rand.Rand
	checker        *fleetrules.Checker
	result         DayReport
	nodes          []*node
	hosts          []*host
	byID           map[uint32]*host
	drawnCustomers []*dayCustomer
	demandSums     []float64 // of customers' demand
	freshCustomers int
	arrivalRate    float64 // first tries a second
	lastID         int
	quotas         map[string]*quota // true stores of the quotas, of first tries and of what is sent
	meters         map[string]*meter

	listsSilentUntil time.Duration
	meterDown        bool
	totalWeight      weightTotals // of all
	classes          [2]weightTotals
	plans            []weightTotals
	thirds           [3]weightTotals
	customers        map[*dayCustomer]*weightTotals
	sentUnits        float64
	overQuotaUnits   float64
	failedRequests   int
	newConnections   int
}

type quota struct {
	offered, forwarded     float64
	offeredAt, forwardedAt time.Duration
}

type meter struct {
	period      int
	current     float64
	periodUnits []float64 // by period, of the last ones
}

// weightTotals is what was asked inside quotas, and what of it was served in time.
type weightTotals struct{ offered, served float64 }

func (w *weightTotals) servedFraction() float64 { return w.served / math.Max(1, w.offered) }

// countWeight books a first try's worth, asked or served, wherever it belongs.
func (w *world) countWeight(c *call, offered, served float64) {
	third := min(2, int(3*c.arrivedAt/w.options.Duration))
	own := w.customers[c.customer]
	if own == nil {
		own = &weightTotals{}
		w.customers[c.customer] = own
	}
	for _, one := range []*weightTotals{&w.totalWeight, &w.classes[c.class], &w.plans[c.customer.plan], &w.thirds[third], own} {
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
	setDefault(&o.GroupSize, o.Instances)
	setDefault(&o.Load, 1)
	if o.Mutation == nil {
		o.Mutation = &Mutation{}
	}
	if o.Day == "long" {
		setDefault(&o.Duration, 120*time.Second)
	}
	setDefault(&o.Duration, 25*time.Second)
	w := &world{
		options: o, script: p, rng: stream(o.Seed, 1), clientRand: stream(o.Seed, 2), byID: map[uint32]*host{},
		quotas: map[string]*quota{}, meters: map[string]*meter{}, customers: map[*dayCustomer]*weightTotals{},
	}
	w.rules = w.settings(0)
	w.plans = make([]weightTotals, len(w.rules.Plans))
	w.checker = fleetrules.New(fleetrules.Terms{
		AnswerGrace: 55 * time.Millisecond, DrainGrace: 2050 * time.Millisecond,
		OverloadWindow: 2 * time.Second, OverloadMultiple: 2.5, MeanWork: dayWork,
	})
	for i := range max(4, int(serversPerNode*float64(o.Instances))) {
		h := w.newHost(fmt.Sprintf("z%d", i%dayZones), i/dayCellSize, -time.Hour)
		h.isFaulty = w.rng.Float64() < p.faultyFraction
	}
	w.result = DayReport{Day: o.Day, Instances: o.Instances, Servers: len(w.hosts), Seed: o.Seed}
	w.drawCustomers()
	for i := range o.Instances {
		w.nodes = append(w.nodes, &node{down: true})
		w.At(time.Duration(w.rng.Int64N(int64(100*time.Millisecond))), func() { w.start(i) })
	}
	p.script(w)
	if p.quotas == nil {
		w.At(200*time.Millisecond, w.arrive)
	}
	w.Run(o.Duration + dayDeadline + time.Second)
	w.checker.Close(w.Now())
	return w.report(), nil
}

func (w *world) report() DayReport {
	r := w.result
	r.Served, r.Classes, r.Plans = w.totalWeight.servedFraction(), map[string]float64{}, map[string]float64{}
	for i := range w.classes {
		r.Classes[w.rules.Classes[i].Name] = w.classes[i].servedFraction()
	}
	for i := range w.plans {
		r.Plans[w.rules.Plans[i].Name] = w.plans[i].servedFraction()
	}
	for _, n := range w.nodes {
		if n.hasRejectedAll {
			r.RejectingFraction += 1 / float64(len(w.nodes))
		}
	}
	for i := range w.thirds {
		r.Thirds[i] = w.thirds[i].servedFraction()
	}
	byName := func(a, b *dayCustomer) int { return strings.Compare(a.name, b.name) }
	for _, cust := range slices.SortedFunc(maps.Keys(w.customers), byName) { // a sum of another order is another in its last digit
		if c := w.customers[cust]; c.servedFraction() < 0.1 {
			r.StarvedFraction += c.offered / math.Max(1, w.totalWeight.offered)
		}
	}
	r.OverQuotaFraction = w.overQuotaUnits / math.Max(1, w.sentUnits)
	r.FailedFraction = float64(w.failedRequests) / math.Max(1, float64(r.Requests))
	r.Handshakes = float64(w.newConnections) / math.Max(1, float64(r.Calls))
	r.MaxWarmUpOverload = w.checker.MaxWarmUpOverload()
	r.Broken, r.Breaches = w.checker.Broken(), w.checker.Breaches()
	return r
}
