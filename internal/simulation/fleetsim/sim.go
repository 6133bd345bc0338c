// Package fleetsim simulates fleets of nodes in virtual time. Each node runs the real decision module; servers,
// discovery and clients are modelled. The same seed gives the same results.
//
// Run simulates a fleet with one warming-up server and one customer with a hard limit, Day simulates a scripted day
// with faults, and RunQuotas simulates a day on which customers are subject to quotas.
package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lockflow/control"
	"lockflow/internal/simulation/vtime"
)

// Parameters of the model that Run simulates.
const (
	latencyObjective = time.Second
	deadline         = 3 * time.Second
	warmUpTime       = 15 * time.Second
	warmUpInitial    = 0.15
	overloadWindow   = 2 * time.Second
	overloadMultiple = 2.5
	cores            = 4
	joinsAt          = 10 * time.Second // when the warming-up server starts
	customers        = 2000             // number of customers without a hard limit
	hardLimitRate    = 30.0
	hardLimitBurst   = 60.0
	hardLimitSlack   = 6.0
)

// Options configures Run. A zero field takes the default named in its comment.
type Options struct {
	Instances       int           // number of nodes in the fleet
	GroupSize       int           // group size in the nodes' settings; default Instances
	NotificationLag time.Duration // delay until the last node is notified of the warming-up server; the other nodes are notified at even intervals before
	IsUneven        bool          // one node in ten receives ten times the load of each other node
	Servers         int           // number of warm servers; default 20
	ServerRate      float64       // calls a second that a warm server can serve; default 100
	Load            float64       // offered load, as a fraction of the capacity of all warm servers; default 0.7
	HardLimitLoad   float64       // load offered by the customer with a hard limit, in multiples of that limit; default 3
	Duration        time.Duration // default 30 s
	Seed            uint64
}

// Report is the result of Run.
type Report struct {
	Instances         int           `json:"instances"`
	GroupSize         int           `json:"told"`
	Lag               time.Duration `json:"lag_ns"`
	Uneven            bool          `json:"uneven"`
	Calls             int           `json:"calls"`
	Served            float64       `json:"served"`     // served fraction of the calls whose customers have no hard limit
	MaxWarmUpOverload float64       `json:"cold"`       // largest load of the warming-up server within overloadWindow, relative to its overload limit
	WarmUpShare       float64       `json:"cold_share"` // load of that server during warm-up, relative to its capacity
	MaxOverHardLimit  float64       `json:"over"`       // largest excess of the customer with a hard limit over that limit, in units
	HardLimitUse      float64       `json:"used"`       // units used by the customer with a hard limit, relative to that limit
	Trace             []Point       `json:"trace,omitempty"`
}

// Point describes the warming-up server during one second; rates are in calls a second.
type Point struct {
	Second        float64 `json:"second"`
	SentCalls     float64 `json:"sent"`  // calls received
	Capacity      float64 `json:"can"`   // rate that the server can serve
	OverloadLimit float64 `json:"limit"` // rate above which the server is overloaded
}

// sim is the state of one Run.
type sim struct {
	vtime.Clock
	options Options
	rng     *rand.Rand

	controllers []*control.Controller
	weightSums  []float64 // prefix sums of the nodes' load weights
	servers     []*server
	lastID      int // ID of the last call

	result         Report
	plainCalls     int
	served         int
	recentSends    []time.Duration // times of attempts sent to the warming-up server within overloadWindow
	sent           map[int]int     // number of attempts sent to the warming-up server, by second since joinsAt
	tokens         float64         // tokens in the token bucket that the hard limit allows the customer over all nodes
	tokensAt       time.Duration
	hardLimitUnits float64
	pending        map[string]pendingCall
}

type pendingCall struct {
	hasHardLimit bool
	attempts     int
}

// server is an app server. Each core serves one call at a time, at a speed that increases during warm-up.
type server struct {
	coreFreeAt [cores]time.Duration
	startedAt  time.Duration // meaningful only for a warming-up server
	warmingUp  bool
}

// warmth returns the server's speed at a time, as a fraction of its full speed.
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
		// Node starts are spread over 100 ms.
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

// deliver passes an event to a node's decision module and performs the resulting actions.
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

// shiftStarts converts the start times in an endpoint list to the modules' clock. That clock is one hour ahead of the
// simulation's, so a server with start time 0 started long ago.
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

// arrive starts a call, with or without a hard limit, and schedules the next call of the same kind.
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

// drawNode draws a node at random with probability proportional to its load weight.
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

// send delivers an attempt to a server and schedules its end.
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
	if endsAt > s.Now()+deadline { // the attempt times out
		s.At(s.Now()+deadline, func() { s.endAttempt(node, a, attempt, control.TimedOut) })
		return
	}
	server.coreFreeAt[core] = endsAt
	s.At(endsAt, func() { s.endAttempt(node, a, attempt, control.OK) })
}

// firstFreeCore returns the index of the core that becomes free first.
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
		if len(s.recentSends) > 1 { // a single attempt never counts as overload
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
