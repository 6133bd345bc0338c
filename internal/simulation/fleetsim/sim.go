// Package fleetsim plays a fleet of decision modules in virtual time against one server that has
// just started and one customer with a ceiling. The modules are the real ones; servers, news and
// clients are a model. Everything follows from the seed.
package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lockflow/control"
	"lockflow/internal/simulation/vtime"
)

// Figures of the model that no option changes.
const (
	latencyObjective = time.Second
	deadline         = 3 * time.Second
	warmUpTime       = 15 * time.Second
	warmUpInitial    = 0.15
	fall             = 2 * time.Second
	multiple         = 2.5
	cores            = 4
	joins            = 10 * time.Second // when the cold server starts
	customers        = 2000             // without a ceiling
	ceilRate         = 30.0
	ceilBurst        = 60.0
	ceilSlack        = 6.0
)

// Options say what is played. What is zero has a default.
type Options struct {
	Instances     int           // that there are
	GroupSize     int           // that they are configured with; 0 is as many as there are
	Lag           time.Duration // by which the last instance learns of the cold server; the others before, evenly
	Uneven        bool          // some instances get ten times as much as others
	Servers       int           // warm ones; 20
	PerServer     float64       // calls a second that one bears; 100
	Load          float64       // part of what all warm servers bear that clients ask for; 0.7
	HardLimitLoad float64       // times its ceiling that the customer asks for; 3
	Lasts         time.Duration // 30 s
	Seed          uint64
}

// Report is what came of it.
type Report struct {
	Instances         int           `json:"instances"`
	GroupSize         int           `json:"told"`
	Lag               time.Duration `json:"lag_ns"`
	Uneven            bool          `json:"uneven"`
	Calls             int           `json:"calls"`
	Served            float64       `json:"served"`     // part of the calls without a ceiling
	MaxWarmUpOverload float64       `json:"cold"`       // most that the cold server was sent in 2 s, over its limit
	WarmUpShare       float64       `json:"cold_share"` // what it was sent while cold, over what it could have done
	Over              float64       `json:"over"`       // most units of the customer beyond its ceiling
	Used              float64       `json:"used"`       // units of the customer over what the ceiling gave
	Trace             []Point       `json:"trace,omitempty"`
}

// Point is a second of the cold server's life.
type Point struct {
	Second float64 `json:"second"`
	Sent   float64 `json:"sent"`  // calls in it
	Can    float64 `json:"can"`   // that it could do in it
	Limit  float64 `json:"limit"` // that it bears
}

// sim is one run.
type sim struct {
	vtime.Clock
	o   Options
	rng *rand.Rand

	gates   []*control.Controller
	weights []float64 // running sums
	servers []*server
	n       int // ids given

	rep     Report
	plain   int
	served  int
	arrived []time.Duration // at the cold server, of the last 2 s
	sent    map[int]int     // at the cold server, by second
	level   float64         // of the customer's true store
	levelAt time.Duration
	units   float64
	pending map[string]pendingCall
}

type pendingCall struct {
	hasHardLimit bool
	sends        int
}

// server is a model of one: cores that work one call after another, at a speed that grows.
type server struct {
	free      [cores]time.Duration
	since     time.Duration // when it started, where cold
	warmingUp bool
}

// warmth is the part of its speed that a server has at a time.
func (s *server) warmth(now time.Duration) float64 {
	if !s.warmingUp {
		return 1
	}
	return math.Min(1, warmUpInitial+(1-warmUpInitial)*(now-s.since).Seconds()/warmUpTime.Seconds())
}

// Run plays a fleet.
func Run(o Options) (Report, error) {
	if o.GroupSize == 0 {
		o.GroupSize = o.Instances
	}
	def(&o.Servers, 20)
	def(&o.PerServer, 100)
	def(&o.Load, 0.7)
	def(&o.HardLimitLoad, 3)
	def(&o.Lasts, 30*time.Second)
	s := &sim{o: o, rng: rand.New(rand.NewPCG(o.Seed, 21)), sent: make(map[int]int), pending: make(map[string]pendingCall), level: ceilBurst}
	s.rep = Report{Instances: o.Instances, GroupSize: o.GroupSize, Lag: o.Lag, Uneven: o.Uneven}
	var members []control.Endpoint
	for i := range o.Servers {
		s.servers = append(s.servers, &server{})
		members = append(members, control.Endpoint{Server: uint32(i + 1), Size: 1})
	}
	sum := 0.0
	for i := range o.Instances {
		c, err := control.New(settings(o, i), o.Seed*1_000_003+uint64(i))
		if err != nil {
			return Report{}, fmt.Errorf("simulating instance %d: %w", i, err)
		}
		s.gates = append(s.gates, c)
		if o.Uneven && i%10 != 0 {
			sum += 0.1
		} else {
			sum++
		}
		s.weights = append(s.weights, sum)
	}
	for g := range s.gates {
		// They did not all start in the same moment.
		s.At(time.Duration(s.rng.Int64N(int64(100*time.Millisecond))), func() { s.tell(g, control.EndpointList{Kind: control.ListComplete, Endpoints: members}) })
		learns := joins + time.Duration(float64(o.Lag)*float64(g+1)/float64(o.Instances))
		endpoint := control.Endpoint{Server: uint32(o.Servers + 1), Size: 1, HasStartedAt: true, StartedAt: joins}
		s.At(learns, func() {
			s.tell(g, control.EndpointList{Kind: control.ListPatch, Endpoints: []control.Endpoint{endpoint}})
		})
	}
	s.At(joins, func() { s.servers = append(s.servers, &server{warmingUp: true, since: joins}) })
	s.At(time.Second, func() { s.arrive(false) })
	s.At(time.Second, func() { s.arrive(true) })
	s.Run(o.Lasts)
	return s.report(), nil
}

func def[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func settings(o Options, i int) control.Settings {
	return control.Settings{
		SelfIndex: i % o.GroupSize, GroupSize: o.GroupSize, MaxAttempts: 3, SupportsRetryAfter: true, MaxRetryAfter: time.Second, CanCancel: true,
		DrainGrace: 2 * time.Second, WarmupTime: warmUpTime, InitialCapacity: warmUpInitial, OverloadWindow: fall, OverloadMultiple: multiple,
		Classes: []control.Class{{Name: "read", LatencyObjective: latencyObjective, Deadline: deadline, PriorityWeight: 1}},
		Plans: []control.Plan{
			{Name: "standard", Price: 1},
			{Name: "enterprise", Price: 1.5, HardLimitRate: ceilRate, HardLimitBurst: ceilBurst, HardLimitSlack: ceilSlack},
		},
	}
}

// tell brings an event to an instance and does what it answers.
func (s *sim) tell(g int, e control.Event) {
	for _, a := range append([]control.Action(nil), s.gates[g].Handle(s.Now()+time.Hour, shift(e))...) {
		switch a := a.(type) {
		case control.Send:
			s.send(g, a)
		case control.Reject:
			delete(s.pending, a.ID)
		case control.Fail:
			delete(s.pending, a.ID)
		case control.StartTimer:
			s.At(s.Now()+a.After, func() { s.tell(g, control.TimerFired{Label: a.Label}) })
		}
	}
}

// shift puts a list on the modules' clock, which is an hour ahead: a start at 0 is long ago.
func shift(e control.Event) control.Event {
	l, ok := e.(control.EndpointList)
	if !ok {
		return e
	}
	members := append([]control.Endpoint(nil), l.Endpoints...)
	for i := range members {
		members[i].StartedAt += time.Hour
	}
	l.Endpoints = members
	return l
}

// arrive has a call come, and the next one of its kind later.
func (s *sim) arrive(hasHardLimit bool) {
	rate := s.o.Load * s.o.PerServer * float64(s.o.Servers)
	r := control.Request{Class: "read", Timeout: deadline, Units: 1, FanOut: s.o.GroupSize}
	if hasHardLimit {
		rate = s.o.HardLimitLoad * ceilRate
		r.Plan, r.Customer = "enterprise", "the one"
	} else {
		r.Plan, r.Customer = "standard", fmt.Sprint(s.rng.IntN(customers))
		s.plain++
	}
	s.n++
	s.rep.Calls++
	r.ID = fmt.Sprint(s.n)
	s.pending[r.ID] = pendingCall{hasHardLimit: hasHardLimit}
	s.tell(s.instance(), r)
	s.At(s.Now()+time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() { s.arrive(hasHardLimit) })
}

// instance draws one by its weight.
func (s *sim) instance() int {
	x := s.rng.Float64() * s.weights[len(s.weights)-1]
	lo, hi := 0, len(s.weights)-1
	for lo < hi {
		if mid := (lo + hi) / 2; s.weights[mid] <= x {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// send has a server take an attempt.
func (s *sim) send(g int, a control.Send) {
	p := s.pending[a.ID]
	n := p.sends
	p.sends++
	s.pending[a.ID] = p
	if n == 0 && p.hasHardLimit {
		s.level = math.Min(ceilBurst, s.level+(s.Now()-s.levelAt).Seconds()*ceilRate) - 1
		s.levelAt = s.Now()
		s.rep.Over = math.Max(s.rep.Over, -s.level)
		s.units++
	}
	to := s.servers[a.Server-1]
	if to.warmingUp {
		s.recordWarmUpSend(to)
	}
	core := soonest(to.free[:])
	work := cores / s.o.PerServer * (0.5 + s.rng.Float64()) / to.warmth(s.Now())
	from := max(s.Now(), to.free[core])
	done := from + time.Duration(work*float64(time.Second))
	if done > s.Now()+deadline { // its client will have left: it times out
		s.At(s.Now()+deadline, func() { s.end(g, a, n, control.TimedOut) })
		return
	}
	to.free[core] = done
	s.At(done, func() { s.end(g, a, n, control.OK) })
}

// soonest is the core that is free first.
func soonest(free []time.Duration) int {
	core := 0
	for i := range free {
		if free[i] < free[core] {
			core = i
		}
	}
	return core
}

func (s *sim) recordWarmUpSend(to *server) {
	s.arrived = append(s.arrived, s.Now())
	for s.Now()-s.arrived[0] > fall {
		s.arrived = s.arrived[1:]
	}
	if w := to.warmth(s.Now()); w < 1 {
		s.sent[int((s.Now()-joins).Seconds())]++
		can := fall.Seconds() * w * s.o.PerServer
		if len(s.arrived) > 1 { // one is never too much
			s.rep.MaxWarmUpOverload = math.Max(s.rep.MaxWarmUpOverload, float64(len(s.arrived))/(multiple*can))
		}
	}
}

func (s *sim) end(g int, a control.Send, n int, why control.Reason) {
	p := s.pending[a.ID]
	if why == control.OK && !p.hasHardLimit {
		s.served++
	}
	s.tell(g, control.AttemptResult{ID: a.ID, Attempt: n, Server: a.Server, Reason: why, IsFinal: why == control.OK})
	if why == control.OK {
		delete(s.pending, a.ID)
	}
}

func (s *sim) report() Report {
	r := s.rep
	r.Served = float64(s.served) / math.Max(1, float64(s.plain))
	r.Used = s.units / (ceilRate*(s.o.Lasts-time.Second).Seconds() + 1)
	sent, can := 0.0, 0.0
	for second := range int(math.Min(warmUpTime.Seconds(), (s.o.Lasts - joins).Seconds())) {
		w := (&server{warmingUp: true, since: joins}).warmth(joins + time.Duration(second)*time.Second + time.Second/2)
		one := Point{Second: float64(second), Sent: float64(s.sent[second]), Can: w * s.o.PerServer, Limit: multiple * w * s.o.PerServer}
		sent, can = sent+one.Sent, can+one.Can
		r.Trace = append(r.Trace, one)
	}
	r.WarmUpShare = sent / math.Max(1, can)
	return r
}
