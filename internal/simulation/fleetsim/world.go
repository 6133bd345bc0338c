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

// Parameters of the simulated days: requests to the service take a quarter of a second on average, and its clients
// wait ten seconds.
const (
	dayWork              = 0.25 // mean work of a request, in core-seconds
	dayLatencyObjective  = 3 * time.Second
	dayDeadline          = 10 * time.Second
	dayRepeatWindow      = time.Second // time within which the servers of a cell recognize a repeated idempotency key
	dayCores             = 4
	maxServerQueue       = 80 // requests that a server accepts in addition to one per core
	maxServerConnections = 400
	dayCellSize          = 6
	dayZones             = 3
	serversPerNode       = 0.6 // number of servers per node
	offeredFraction      = 0.5 // offered load within quotas, as a fraction of the servers' capacity
	handshakeWork        = 1e-3
	idleConnectionTime   = 15 * time.Second
	connectTime          = 250 * time.Millisecond
	startListingDelay    = time.Second             // from a server's start until the endpoint list contains it
	endListingDelay      = 2 * time.Second         // from a server's drain or end until the endpoint list shows it
	maxNotificationDelay = 6 * time.Second         // after a change, or after a watch becomes silent, until a node counts as notified
	watchSilence         = 3200 * time.Millisecond // until a node has detected a silent watch and received the missed watch events on a new one
	maxSlowConnect       = time.Second             // upper limit of the connect time of a slow connection
	loadReportInterval   = 400 * time.Millisecond
	meterLagPeriods      = 2 // in periods of one second: the meter reports the period before the last complete one
	termGrace            = 3 * time.Second
	maxUnits             = 4

	rejectedAllMin = 15 // a node with this many consecutive rejections over rejectedAllFor counts as rejecting all requests
	rejectedAllFor = 4 * time.Second

	moduleClockOffset = time.Hour // reading of the modules' clock at the start of a day
)

// DayOptions configures Day. A zero field takes the default named in its comment.
type DayOptions struct {
	Day       string
	Instances int
	GroupSize int           // group size in the nodes' settings; default Instances
	Duration  time.Duration // default 25 s, or 120 s on the day "long"
	Load      float64       // offered load within quotas, in multiples of half of the servers' capacity (offeredFraction); default 1
	Seed      uint64
	Mutation  *Mutation // nil applies no mutation

	observe observer // may be nil
}

// observer is called with each event that a node's decision module handles and the resulting actions.
type observer func(w *world, instance int, event control.Event, actions []control.Action)

// DayReport is the result of a day. The weight of a call is its priority weight times its plan's price times its units.
type DayReport struct {
	Day               string                  `json:"day"`
	Instances         int                     `json:"instances"`
	Servers           int                     `json:"servers"` // number of servers at the start of the day
	Seed              uint64                  `json:"seed"`
	Calls             int                     `json:"first_tries"`
	Requests          int                     `json:"tries"`
	Attempts          int                     `json:"attempts"`
	Served            float64                 `json:"served"`     // served fraction of the weight offered within quotas; late reads count a fifth, late updates nothing
	Classes           map[string]float64      `json:"classes"`    // Served by class
	Thirds            [3]float64              `json:"thirds"`     // Served by third of the day
	Plans             map[string]float64      `json:"plans"`      // Served by plan
	RejectingFraction float64                 `json:"rejecting"`  // fraction of the nodes that rejected all requests for at least rejectedAllFor
	StarvedFraction   float64                 `json:"starved"`    // fraction of that weight offered by customers with less than a tenth of theirs served
	OverQuotaFraction float64                 `json:"beyond"`     // fraction of the forwarded units that were over quota
	FailedFraction    float64                 `json:"failed"`     // fraction of the requests that failed
	Handshakes        float64                 `json:"handshakes"` // new connections to servers per call
	MaxWarmUpOverload float64                 `json:"cold"`       // largest load of a warming-up server relative to its overload limit
	Broken            map[fleetrules.Rule]int `json:"broken"`
	Breaches          []fleetrules.Breach     `json:"breaches,omitempty"`
}

type hostState int

const (
	hostUp hostState = iota
	hostDraining
	hostSilent // its machine is unreachable: connection attempts time out
	hostGone   // its process has ended: connection attempts are refused
)

// appServer is a simulated app server.
type appServer struct {
	id                  uint32
	zone                string
	cell                int
	state               hostState
	isBeingReplaced     bool
	isFaulty            bool
	disconnectedUntil   time.Duration
	bootedAt            time.Duration // start time; a negative time means long ago
	incarnation         int           // incremented at each restart and at removal; work of an earlier incarnation is lost
	coreFreeAt          [dayCores]time.Duration
	inFlight            int
	connections         map[int]time.Duration // time of last use, by node
	smoothedUtilization float64               // exponentially smoothed fraction of busy cores
	smoothedTime        float64
	report              control.LoadReport
	reportAt            time.Duration
}

// listedEndpoint is an entry of the endpoint list and whether that entry shows the server as available.
type listedEndpoint struct {
	control.Endpoint
	isUp bool
}

// node is a simulated node.
type node struct {
	controller          *control.Controller
	settings            control.Settings
	grantsFullHardLimit bool
	incarnation         int // incremented at each start and each end of the node
	down                bool
	closing             bool
	inFlight            map[string]*clientRequest
	knownIncarnations   map[uint32]int // incarnation of each server of which the node was last notified
	watchSilentSince    time.Duration  // time at which its watch became silent
	watchSilentUntil    time.Duration  // time at which a new watch replaces the silent one; 0 means that the watch was never silent

	rejectedInRow  int           // consecutive rejections since the last attempt
	rejectingSince time.Duration // time of the first of these rejections
	hasRejectedAll bool          // whether it rejected all requests for rejectedAllFor at any time
}

// dayCustomer is a customer and the range of nodes that receive its requests.
type dayCustomer struct {
	name              string
	plan              int
	firstNode, fanOut int
	preferredNode     int     // offset from firstNode of the node that receives a fifth of the requests in addition to its even share of the others
	demand            *demand // used by RunQuotas only
}

// call is a call of a client. It consists of a first request and its retries.
type call struct {
	arrivedAt    time.Duration
	customer     *dayCustomer
	class        int
	units        float64
	requests     int
	isUnderQuota bool
	weight       float64
	isServed     bool

	// Used by RunQuotas only. rejectedWithCapacity is whether a request was rejected while at least half of the quota was unused.
	actualUnits          float64
	node                 int
	isForwarded          bool
	rejectedWithCapacity bool
}

// clientRequest is one request of a call, as received by a node.
type clientRequest struct {
	id       string
	call     *call
	deadline time.Duration
	attempts int

	// Used by RunQuotas only: whether the request was forwarded, whether it was within the quota, and the cells that count it.
	isForwarded, isUnderQuota bool
	cells                     []*Cell
	rejectionCause            control.Cause
	admissionRemainder        float64 // remainder of the module's error diffusion at arrival; valid if hasReading
	hasReading                bool
}

type world struct {
	vtime.Clock
	options        DayOptions
	script         dayScript
	rules          control.Settings // settings without the mutation
	rng            *rand.Rand       // for servers and the network; clients use clientRand, so that all variants of a day have the same arrivals
	clientRand     *rand.Rand
	checker        *fleetrules.Checker
	result         DayReport
	nodes          []*node
	hosts          []*appServer
	hostByID       map[uint32]*appServer
	drawnCustomers []*dayCustomer
	demandSums     []float64 // prefix sums of the customers' demand
	freshCustomers int
	arrivalRate    float64 // in calls a second
	lastID         int
	quotas         map[string]*quota // exact quota state over all nodes, by customer
	meters         map[string]*meter

	listsSilentUntil time.Duration
	meterDown        bool
	totalWeight      weightTotals // over all customers
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
	periodUnits []float64 // units of each of the last periods
}

// weightTotals is the weight offered within quotas and the part of it that was served.
type weightTotals struct{ offered, served float64 }

func (w *weightTotals) servedFraction() float64 { return w.served / math.Max(1, w.offered) }

// countWeight adds the offered and served weight of a call to all totals that include the call.
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

// Day simulates a day of a fleet whose nodes run the real decision module and checks it against the rules of package
// fleetrules. The same options give the same report.
func Day(o DayOptions) (DayReport, error) {
	script, err := dayByName(o.Day)
	if err != nil {
		return DayReport{}, err
	}
	return runDay(o, script)
}

// runDay simulates a day according to its script.
func runDay(o DayOptions, p dayScript) (DayReport, error) {
	if o.Instances < 1 || o.GroupSize < 0 || o.Load < 0 {
		return DayReport{}, fmt.Errorf("invalid options of day %q: %d instances, group size %d", o.Day, o.Instances, o.GroupSize)
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
	for _, customer := range slices.SortedFunc(maps.Keys(w.customerTotals), byName) { // a fixed order of summation gives the same rounding in each run
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
