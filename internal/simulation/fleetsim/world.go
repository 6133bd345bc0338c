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

// Constants of the simulated days: a service whose requests take a quarter of a second and whose clients wait
// for ten.
const (
	dayWork              = 0.25 // mean of a request, in seconds of a core
	dayLatencyObjective  = 3 * time.Second
	dayDeadline          = 10 * time.Second
	dayRepeatWindow      = time.Second // within which a cell's servers drop repeats
	dayCores             = 4
	maxServerQueue       = 80 // requests beyond its cores
	maxServerConnections = 400
	dayCellSize          = 6
	dayZones             = 3
	serversPerNode       = 0.6 // servers for each node
	offeredFraction      = 0.5 // load within quotas, as a fraction of the servers' capacity
	handshakeWork        = 1e-3
	idleConnectionTime   = 15 * time.Second
	connectTime          = 250 * time.Millisecond
	startListingDelay    = time.Second             // from a server's start until it is listed
	endListingDelay      = 2 * time.Second         // from a server's drain or end until that is listed
	maxNotificationDelay = 6 * time.Second         // after a change, or since a watch is silent, when a node counts as notified
	watchSilence         = 3200 * time.Millisecond // until a silent watch is detected and a new one has sent what was missed
	maxSlowConnect       = time.Second             // of a slow connection
	loadReportInterval   = 400 * time.Millisecond
	meterLagPeriods      = 2 // of a second each; the period before the last complete one is reported
	termGrace            = 3 * time.Second
	maxUnits             = 4

	rejectedAllMin = 15 // consecutive rejections over rejectedAllFor that count as rejecting all requests
	rejectedAllFor = 4 * time.Second

	moduleClockOffset = time.Hour // of the modules' clock, at the start of a day
)

// DayOptions configure Day. Zero fields have the defaults given.
type DayOptions struct {
	Day       string
	Instances int
	GroupSize int           // that nodes are configured with; Instances
	Duration  time.Duration // 25 s; 120 s for the long day
	Load      float64       // in multiples of half of the servers' capacity; 1
	Seed      uint64
	Mutation  *Mutation // nil is none

	observe observer // may be nil
}

// observer is called with each event that a node's module handles, and its actions.
type observer func(w *world, instance int, event control.Event, actions []control.Action)

// DayReport is the result of a day. Weight is that of priorities, prices and units.
type DayReport struct {
	Day               string                  `json:"day"`
	Instances         int                     `json:"instances"`
	Servers           int                     `json:"servers"` // at the start
	Seed              uint64                  `json:"seed"`
	Calls             int                     `json:"first_tries"`
	Requests          int                     `json:"tries"`
	Attempts          int                     `json:"attempts"`
	Served            float64                 `json:"served"`     // fraction of the weight offered within quotas that was served within the latency objective
	Classes           map[string]float64      `json:"classes"`    // the same by class
	Thirds            [3]float64              `json:"thirds"`     // by third of the day
	Plans             map[string]float64      `json:"plans"`      // by plan
	RejectingFraction float64                 `json:"rejecting"`  // fraction of the nodes that rejected all requests for rejectedAllFor
	StarvedFraction   float64                 `json:"starved"`    // fraction of that weight of customers that were served less than a tenth of theirs
	OverQuotaFraction float64                 `json:"beyond"`     // fraction of the forwarded units
	FailedFraction    float64                 `json:"failed"`     // fraction of the requests
	Handshakes        float64                 `json:"handshakes"` // new connections to servers for each call
	MaxWarmUpOverload float64                 `json:"cold"`       // largest load of a warming-up server relative to its limit
	Broken            map[fleetrules.Rule]int `json:"broken"`
	Breaches          []fleetrules.Breach     `json:"breaches,omitempty"`
}

type hostState int

const (
	hostUp hostState = iota
	hostDraining
	hostSilent // its machine is lost: no packet is answered
	hostGone   // its process has ended: connections are refused
)

// host is a simulated app server.
type appServer struct {
	id                  uint32
	zone                string
	cell                int
	state               hostState
	isBeingReplaced     bool
	isFaulty            bool
	disconnectedUntil   time.Duration
	bootedAt            time.Duration // start; negative is long ago
	incarnation         int           // number of its starts; work of an earlier one is lost
	coreFreeAt          [dayCores]time.Duration
	inFlight            int
	connections         map[int]time.Duration // last use, by node
	smoothedUtilization float64               // fraction of its cores
	smoothedTime        float64
	report              control.LoadReport
	reportAt            time.Duration
}

// listed is an endpoint of the list, and whether it is listed as available.
type listedEndpoint struct {
	control.Endpoint
	isUp bool
}

// node is a simulated node.
type node struct {
	controller          *control.Controller
	settings            control.Settings
	grantsFullHardLimit bool
	incarnation         int // number of its starts
	down                bool
	closing             bool
	inFlight            map[string]*clientRequest
	knownIncarnations   map[uint32]int // by server, as it was notified
	watchSilentSince    time.Duration  // since when its watch is silent
	watchSilentUntil    time.Duration  // when a new watch is open; 0 is never silent

	rejectedInRow  int           // consecutive rejections, without an attempt
	rejectingSince time.Duration // the first of these
	hasRejectedAll bool          // it has rejected all requests at some time
}

// dayCustomer is a customer and the nodes that its requests arrive at.
type dayCustomer struct {
	name              string
	plan              int
	firstNode, fanOut int
	preferredNode     int     // among its nodes; it receives a fifth of the requests
	demand            *demand // with Quotas
}

// call is a client's call with all its requests: the first and its retries.
type call struct {
	arrivedAt    time.Duration
	customer     *dayCustomer
	class        int
	units        float64
	requests     int
	isUnderQuota bool
	weight       float64
	isServed     bool

	// With Quotas only. rejectedWithCapacity tells that a request was rejected while half of the quota was unused.
	actualUnits          float64
	node                 int
	isForwarded          bool
	rejectedWithCapacity bool
}

// clientRequest is one request at a node.
type clientRequest struct {
	id       string
	call     *call
	deadline time.Duration
	attempts int

	// With Quotas only: whether it was forwarded, and within its quota; the cells that count it.
	isForwarded, isUnderQuota bool
	cells                     []*Cell
	rejectionCause            control.Cause
	admissionRemainder        float64 // of the module's error diffusion, if hasReading
	hasReading                bool
}

type world struct {
	vtime.Clock
	options        DayOptions
	script         dayScript
	rules          control.Settings // without the mutation
	rng            *rand.Rand       // of the world; clients have their own, so that all variants have the same arrivals
	clientRand     *rand.Rand
	checker        *fleetrules.Checker
	result         DayReport
	nodes          []*node
	hosts          []*appServer
	hostByID       map[uint32]*appServer
	drawnCustomers []*dayCustomer
	demandSums     []float64 // running sums of the customers' demand
	freshCustomers int
	arrivalRate    float64 // calls a second
	lastID         int
	quotas         map[string]*quota // true quotas, by customer
	meters         map[string]*meter

	listsSilentUntil time.Duration
	meterDown        bool
	totalWeight      weightTotals // of all customers
	classes          [2]weightTotals
	plans            []weightTotals
	thirds           [3]weightTotals
	customerTotals   map[*dayCustomer]*weightTotals
	sentUnits        float64
	overQuotaUnits   float64
	failedRequests   int
	newConnections   int
}

type quota struct {
	offeredTokens, forwardedTokens float64
	offeredAt, forwardedAt         time.Duration
}

type meter struct {
	period      int
	current     float64
	periodUnits []float64 // of the last periods
}

// weightTotals is the weight offered within quotas, and what of it was served in time.
type weightTotals struct{ offered, served float64 }

func (w *weightTotals) servedFraction() float64 { return w.served / math.Max(1, w.offered) }

// countWeight adds the weight of a call, offered or served, to all totals that it belongs to.
func (w *world) countWeight(c *call, offered, served float64) {
	third := min(2, int(3*c.arrivedAt/w.options.Duration))
	ofCustomer := w.customerTotals[c.customer]
	if ofCustomer == nil {
		ofCustomer = &weightTotals{}
		w.customerTotals[c.customer] = ofCustomer
	}
	for _, totals := range []*weightTotals{&w.totalWeight, &w.classes[c.class], &w.plans[c.customer.plan], &w.thirds[third], ofCustomer} {
		totals.offered += offered
		totals.served += served
	}
}

// Day simulates a day of a fleet with the real module in each node, and checks it against the rules of package
// fleetrules. The same options give the same report.
func Day(o DayOptions) (DayReport, error) {
	script, err := dayByName(o.Day)
	if err != nil {
		return DayReport{}, err
	}
	return runDay(o, script)
}

// play simulates a day by its script.
func runDay(o DayOptions, p dayScript) (DayReport, error) {
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
		options: o, script: p, rng: newRand(o.Seed, 1), clientRand: newRand(o.Seed, 2), hostByID: map[uint32]*appServer{},
		quotas: map[string]*quota{}, meters: map[string]*meter{}, customerTotals: map[*dayCustomer]*weightTotals{},
	}
	w.rules = w.settings(0)
	w.plans = make([]weightTotals, len(w.rules.Plans))
	w.checker = fleetrules.New(fleetrules.Tolerances{
		AnswerGrace: 55 * time.Millisecond, DrainGrace: 2050 * time.Millisecond,
		OverloadWindow: 2 * time.Second, OverloadMultiple: 2.5, MeanWork: dayWork,
	})
	for i := range max(4, int(serversPerNode*float64(o.Instances))) {
		host := w.newHost(fmt.Sprintf("z%d", i%dayZones), i/dayCellSize, -time.Hour)
		host.isFaulty = w.rng.Float64() < p.faultyFraction
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
	r.Served = w.totalWeight.servedFraction()
	r.Classes = map[string]float64{}
	r.Plans = map[string]float64{}
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
	for _, customer := range slices.SortedFunc(maps.Keys(w.customerTotals), byName) { // a fixed order, so that rounding is the same each time
		if totals := w.customerTotals[customer]; totals.servedFraction() < 0.1 {
			r.StarvedFraction += totals.offered / math.Max(1, w.totalWeight.offered)
		}
	}
	r.OverQuotaFraction = w.overQuotaUnits / math.Max(1, w.sentUnits)
	r.FailedFraction = float64(w.failedRequests) / math.Max(1, float64(r.Requests))
	r.Handshakes = float64(w.newConnections) / math.Max(1, float64(r.Calls))
	r.MaxWarmUpOverload = w.checker.MaxWarmUpOverload()
	r.Broken, r.Breaches = w.checker.Broken(), w.checker.Breaches()
	return r
}
