// Package fleetsim simulates fleets of nodes in virtual time. The decision modules are the real ones; servers,
// discovery and clients are a model. All results follow from the seed.
//
// Run simulates one warming-up server and one customer with a hard limit, Day a day with faults, and Quotas
// a day of customers with quotas.
package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lockflow/control"
	"lockflow/internal/simulation/vtime"
)

// Constants of the model of Run.
const (
	latencyObjective = time.Second
	deadline         = 3 * time.Second
	warmUpTime       = 15 * time.Second
	warmUpInitial    = 0.15
	overloadWindow   = 2 * time.Second
	overloadMultiple = 2.5
	cores            = 4
	joinsAt          = 10 * time.Second // when the warming-up server starts
	customers        = 2000             // without a hard limit
	hardLimitRate    = 30.0
	hardLimitBurst   = 60.0
	hardLimitSlack   = 6.0
)

// Options configure Run. Zero fields have the defaults given.
type Options struct {
	Instances       int           // of the fleet
	GroupSize       int           // that nodes are configured with; Instances
	NotificationLag time.Duration // after which the last node is notified of the warming-up server; the others are before, evenly
	IsUneven        bool          // some nodes receive ten times the load of others
	Servers         int           // warm ones; 20
	ServerRate      float64       // calls a second that a warm server can serve; 100
	Load            float64       // offered, as a fraction of what all warm servers can serve; 0.7
	HardLimitLoad   float64       // offered by the customer, in multiples of its hard limit; 3
	Duration        time.Duration // 30 s
	Seed            uint64
}

// Report is the result of Run.
type Report struct {
	Instances         int           `json:"instances"`
	GroupSize         int           `json:"told"`
	Lag               time.Duration `json:"lag_ns"`
	Uneven            bool          `json:"uneven"`
	Calls             int           `json:"calls"`
	Served            float64       `json:"served"`     // fraction of the calls without a hard limit
	MaxWarmUpOverload float64       `json:"cold"`       // largest load of the warming-up server in overloadWindow, relative to its limit
	WarmUpShare       float64       `json:"cold_share"` // load of that server while warming up, relative to its capacity
	MaxOverHardLimit  float64       `json:"over"`       // largest excess of the customer over its hard limit, in units
	HardLimitUse      float64       `json:"used"`       // units that the customer used, relative to its hard limit
	Trace             []Point       `json:"trace,omitempty"`
}

// Point is one second of the warming-up server. Numbers are of calls a second.
type Point struct {
	Second        float64 `json:"second"`
	SentCalls     float64 `json:"sent"`  // received
	Capacity      float64 `json:"can"`   // of the server
	OverloadLimit float64 `json:"limit"` // beyond which the server is overloaded
}

// sim is the state of Run.
type sim struct {
	vtime.Clock
	options Options
	rng     *rand.Rand

	controllers []*control.Controller
	weightSums  []float64 // running sums, of the nodes' shares
	servers     []*server
	lastID      int // of a call

	result         Report
	plainCalls     int
	served         int
	recentSends    []time.Duration // at the warming-up server, within overloadWindow
	sent           map[int]int     // at the warming-up server, by second
	tokens         float64         // in the customer's true bucket
	tokensAt       time.Duration
	hardLimitUnits float64
	pending        map[string]pendingCall
}

type pendingCall struct {
	hasHardLimit bool
	attempts     int
}

// server is an app server: cores that serve one call after another, at a speed that grows while warming up.
type server struct {
	coreFreeAt [cores]time.Duration
	startedAt  time.Duration // of a warming-up server
	warmingUp  bool
}

// warmth returns the fraction of its full speed that a server has at a time.
func (s *server) warmth(now time.Duration) float64 {
	if !s.warmingUp {
		return 1
	}
	return math.Min(1, warmUpInitial+(1-warmUpInitial)*(now-s.startedAt).Seconds()/warmUpTime.Seconds())
}

// Run simulates a fleet with one warming-up server and one customer with a hard limit.
func Run(o Options) (Report, error) {
	if o.GroupSize == 0 {
		o.GroupSize = o.Instances
	}
	setDefault(&o.Servers, 20)
	setDefault(&o.ServerRate, 100)
	setDefault(&o.Load, 0.7)
	setDefault(&o.HardLimitLoad, 3)
	setDefault(&o.Duration, 30*time.Second)
	s := &sim{options: o, rng: rand.New(rand.NewPCG(o.Seed, 21)), sent: make(map[int]int), pending: make(map[string]pendingCall), tokens: hardLimitBurst}
	s.result = Report{Instances: o.Instances, GroupSize: o.GroupSize, Lag: o.NotificationLag, Uneven: o.IsUneven}
	var members []control.Endpoint
	for i := range o.Servers {
		s.servers = append(s.servers, &server{})
		members = append(members, control.Endpoint{Server: uint32(i + 1), Size: 1})
	}
	weightSum := 0.0
	for i := range o.Instances {
		controller, err := control.New(settings(o, i), o.Seed*1_000_003+uint64(i))
		if err != nil {
			return Report{}, fmt.Errorf("simulating instance %d: %w", i, err)
		}
		s.controllers = append(s.controllers, controller)
		if o.IsUneven && i%10 != 0 {
			weightSum += 0.1
		} else {
			weightSum++
		}
		s.weightSums = append(s.weightSums, weightSum)
	}
	for node := range s.controllers {
		// Nodes do not all start at the same moment.
		s.At(time.Duration(s.rng.Int64N(int64(100*time.Millisecond))), func() { s.deliver(node, control.EndpointList{Kind: control.ListComplete, Endpoints: members}) })
		notifiedAt := joinsAt + time.Duration(float64(o.NotificationLag)*float64(node+1)/float64(o.Instances))
		endpoint := control.Endpoint{Server: uint32(o.Servers + 1), Size: 1, HasStartedAt: true, StartedAt: joinsAt}
		s.At(notifiedAt, func() {
			s.deliver(node, control.EndpointList{Kind: control.ListPatch, Endpoints: []control.Endpoint{endpoint}})
		})
	}
	s.At(joinsAt, func() { s.servers = append(s.servers, &server{warmingUp: true, startedAt: joinsAt}) })
	s.At(time.Second, func() { s.arrive(false) })
	s.At(time.Second, func() { s.arrive(true) })
	s.Run(o.Duration)
	return s.report(), nil
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

func settings(o Options, instance int) control.Settings {
	return control.Settings{
		SelfIndex: instance % o.GroupSize, GroupSize: o.GroupSize, MaxAttempts: 3, SupportsRetryAfter: true, MaxRetryAfter: time.Second, CanCancel: true,
		DrainGrace: 2 * time.Second, WarmupTime: warmUpTime, InitialCapacity: warmUpInitial, OverloadWindow: overloadWindow, OverloadMultiple: overloadMultiple,
		Classes: []control.Class{{Name: "read", LatencyObjective: latencyObjective, Deadline: deadline, PriorityWeight: 1}},
		Plans: []control.Plan{
			{Name: "standard", Price: 1},
			{Name: "enterprise", Price: 1.5, HardLimitRate: hardLimitRate, HardLimitBurst: hardLimitBurst, HardLimitSlack: hardLimitSlack},
		},
	}
}

// deliver has a node's module handle an event and performs its actions.
func (s *sim) deliver(node int, event control.Event) {
	for _, a := range append([]control.Action(nil), s.controllers[node].Handle(s.Now()+time.Hour, shiftStarts(event))...) {
		switch a := a.(type) {
		case control.Send:
			s.send(node, a)
		case control.Reject:
			delete(s.pending, a.ID)
		case control.Fail:
			delete(s.pending, a.ID)
		case control.StartTimer:
			s.At(s.Now()+a.After, func() { s.deliver(node, control.TimerFired{Label: a.Label}) })
		}
	}
}

// shiftStarts converts the start times of a list to the modules' clock, which is an hour ahead, so that a start
// at 0 is long ago.
func shiftStarts(event control.Event) control.Event {
	list, ok := event.(control.EndpointList)
	if !ok {
		return event
	}
	members := append([]control.Endpoint(nil), list.Endpoints...)
	for i := range members {
		members[i].StartedAt += time.Hour
	}
	list.Endpoints = members
	return list
}

// arrive starts a call, and schedules the next one of its kind.
func (s *sim) arrive(hasHardLimit bool) {
	rate := s.options.Load * s.options.ServerRate * float64(s.options.Servers)
	request := control.Request{Class: "read", Timeout: deadline, Units: 1, FanOut: s.options.GroupSize}
	if hasHardLimit {
		rate = s.options.HardLimitLoad * hardLimitRate
		request.Plan, request.Customer = "enterprise", "the one"
	} else {
		request.Plan, request.Customer = "standard", fmt.Sprint(s.rng.IntN(customers))
		s.plainCalls++
	}
	s.lastID++
	s.result.Calls++
	request.ID = fmt.Sprint(s.lastID)
	s.pending[request.ID] = pendingCall{hasHardLimit: hasHardLimit}
	s.deliver(s.drawNode(), request)
	s.At(s.Now()+time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() { s.arrive(hasHardLimit) })
}

// instance draws a node by its weight.
func (s *sim) drawNode() int {
	draw := s.rng.Float64() * s.weightSums[len(s.weightSums)-1]
	lo, hi := 0, len(s.weightSums)-1
	for lo < hi {
		if mid := (lo + hi) / 2; s.weightSums[mid] <= draw {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// send carries an attempt to a server and schedules its end.
func (s *sim) send(node int, a control.Send) {
	call := s.pending[a.ID]
	attempt := call.attempts
	call.attempts++
	s.pending[a.ID] = call
	if attempt == 0 && call.hasHardLimit {
		s.tokens = math.Min(hardLimitBurst, s.tokens+(s.Now()-s.tokensAt).Seconds()*hardLimitRate) - 1
		s.tokensAt = s.Now()
		s.result.MaxOverHardLimit = math.Max(s.result.MaxOverHardLimit, -s.tokens)
		s.hardLimitUnits++
	}
	server := s.servers[a.Server-1]
	if server.warmingUp {
		s.recordWarmUpSend(server)
	}
	core := firstFreeCore(server.coreFreeAt[:])
	work := cores / s.options.ServerRate * (0.5 + s.rng.Float64()) / server.warmth(s.Now())
	startsAt := max(s.Now(), server.coreFreeAt[core])
	endsAt := startsAt + time.Duration(work*float64(time.Second))
	if endsAt > s.Now()+deadline { // it times out
		s.At(s.Now()+deadline, func() { s.endAttempt(node, a, attempt, control.TimedOut) })
		return
	}
	server.coreFreeAt[core] = endsAt
	s.At(endsAt, func() { s.endAttempt(node, a, attempt, control.OK) })
}

// firstFreeCore returns the core that is free first.
func firstFreeCore(free []time.Duration) int {
	core := 0
	for i := range free {
		if free[i] < free[core] {
			core = i
		}
	}
	return core
}

func (s *sim) recordWarmUpSend(to *server) {
	s.recentSends = append(s.recentSends, s.Now())
	for s.Now()-s.recentSends[0] > overloadWindow {
		s.recentSends = s.recentSends[1:]
	}
	if speed := to.warmth(s.Now()); speed < 1 {
		s.sent[int((s.Now()-joinsAt).Seconds())]++
		capacity := overloadWindow.Seconds() * speed * s.options.ServerRate
		if len(s.recentSends) > 1 { // a single request never counts as overload
			s.result.MaxWarmUpOverload = math.Max(s.result.MaxWarmUpOverload, float64(len(s.recentSends))/(overloadMultiple*capacity))
		}
	}
}

func (s *sim) endAttempt(node int, a control.Send, attempt int, reason control.Reason) {
	call := s.pending[a.ID]
	if reason == control.OK && !call.hasHardLimit {
		s.served++
	}
	s.deliver(node, control.AttemptResult{ID: a.ID, Attempt: attempt, Server: a.Server, Reason: reason, IsFinal: reason == control.OK})
	if reason == control.OK {
		delete(s.pending, a.ID)
	}
}

func (s *sim) report() Report {
	r := s.result
	r.Served = float64(s.served) / math.Max(1, float64(s.plainCalls))
	r.HardLimitUse = s.hardLimitUnits / (hardLimitRate*(s.options.Duration-time.Second).Seconds() + 1)
	sent, capacity := 0.0, 0.0
	for second := range int(math.Min(warmUpTime.Seconds(), (s.options.Duration - joinsAt).Seconds())) {
		speed := (&server{warmingUp: true, startedAt: joinsAt}).warmth(joinsAt + time.Duration(second)*time.Second + time.Second/2)
		point := Point{Second: float64(second), SentCalls: float64(s.sent[second]), Capacity: speed * s.options.ServerRate, OverloadLimit: overloadMultiple * speed * s.options.ServerRate}
		sent, capacity = sent+point.SentCalls, capacity+point.Capacity
		r.Trace = append(r.Trace, point)
	}
	r.WarmUpShare = sent / math.Max(1, capacity)
	return r
}
