// Package balancesim simulates one node in virtual time with app servers that send no load reports. It compares the
// server selection of the real decision module with round robin and with least in flight. Servers and clients are
// modelled. The same seed gives the same results.
package balancesim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lockflow/control"
	"lockflow/internal/simulation/vtime"

	"gonum.org/v1/gonum/stat"
)

// Parameters of the model.
const (
	servers         = 8
	cores           = 4
	meanWork        = 20 * time.Millisecond // mean service time of a call on one core of a server with speed 1
	deadline        = 5 * time.Second
	maxAttempts     = 3 // per call, including the first attempt
	faultsStart     = 10 * time.Second
	fastFailureTime = time.Millisecond
)

// Case is a set of servers and the fault of the first server, which begins at faultsStart.
type Case struct {
	Name   string
	Speeds [servers]float64
	// The fault of the first server.
	SlowDown        float64       // factor by which its service times increase; 0 means no slowdown
	Status          int           // status of its immediate error responses: 500 is final, 503 may be retried at another server
	FailingFraction float64       // fraction of attempts that it answers with Status
	DownTime        time.Duration // time at the start of each Cycle during which it refuses connections
	Cycle           time.Duration
}

var equalSpeeds = [servers]float64{1, 1, 1, 1, 1, 1, 1, 1}

// Cases lists all cases.
var Cases = []Case{
	{Name: "equal", Speeds: equalSpeeds},
	{Name: "unequal, 1 to 8", Speeds: [servers]float64{0.5, 0.5, 1, 1, 2, 2, 4, 4}},
	{Name: "one ten times slower", Speeds: equalSpeeds, SlowDown: 10},
	{Name: "one fails at once with 503", Speeds: equalSpeeds, Status: 503, FailingFraction: 1},
	{Name: "one fails at once with 500", Speeds: equalSpeeds, Status: 500, FailingFraction: 1},
	{Name: "one fails half with 500", Speeds: equalSpeeds, Status: 500, FailingFraction: 0.5},
	{Name: "one flaps, down 1 s of 3", Speeds: equalSpeeds, DownTime: time.Second, Cycle: 3 * time.Second},
}

// Policies lists the compared policies in the order of reports.
var Policies = []string{"module", "round robin", "least in flight"}

// Options configures Run.
type Options struct {
	Load     float64 // offered load, as a fraction of the capacity of all servers
	Duration time.Duration
	Seed     uint64
}

// Report is the result of a case with a policy. It counts the calls that start at faultsStart or later.
type Report struct {
	Case           string  `json:"case"`
	Policy         string  `json:"policy"`
	Calls          int     `json:"calls"`
	Served         float64 `json:"served"` // fraction of the calls that were served
	Failed         float64 `json:"failed"` // fraction of the calls that were answered with 5xx, reset or timed out
	Refused        float64 `json:"refused"`
	P50            float64 `json:"p50_ms"` // latency percentile of the served calls
	P99            float64 `json:"p99_ms"`
	RetriesPerCall float64 `json:"extra"` // attempts after the first, per call
}

// balancer chooses servers. It is called for each new call and each result of an attempt. It sends attempts and finishes
// calls with methods of sim.
type balancer interface {
	arrive(id int)
	endAttempt(c *call, server, n int, why control.Reason, final bool)
}

type sim struct {
	vtime.Clock
	options   Options
	testCase  Case
	rng       *rand.Rand
	balancer  balancer
	servers   [servers]server
	calls     map[int]*call
	lastID    int
	result    Report
	latencies []float64
	outcomes  [3]int // number of calls, indexed by outcome
	attempts  int
}

type server struct{ coreFreeAt [cores]time.Duration }

type call struct {
	id        int
	arrivedAt time.Duration
	attempts  int
	tried     [servers]bool
}

// Run simulates one case with one policy.
func Run(c Case, policy string, o Options) (Report, error) {
	s := &sim{options: o, testCase: c, rng: rand.New(rand.NewPCG(o.Seed, 31)), calls: make(map[int]*call)}
	s.result = Report{Case: c.Name, Policy: policy}
	switch policy {
	case "module":
		m, err := newModule(s)
		if err != nil {
			return Report{}, err
		}
		s.balancer = m
	case "round robin":
		s.balancer = &simplePolicy{sim: s, choose: func(p *simplePolicy, _ *call) int { p.next++; return p.next % servers }}
	case "least in flight":
		s.balancer = &simplePolicy{sim: s, choose: fewestInFlight}
	default:
		return Report{}, fmt.Errorf("unknown policy %q", policy)
	}
	s.At(0, s.arrive)
	s.Run(o.Duration + deadline)
	return s.report(), nil
}

// arrive starts a call and schedules the next one.
func (s *sim) arrive() {
	rate := 0.0
	for _, v := range s.testCase.Speeds {
		rate += v * cores / meanWork.Seconds()
	}
	if s.Now() > s.options.Duration {
		return
	}
	s.lastID++
	s.calls[s.lastID] = &call{id: s.lastID, arrivedAt: s.Now()}
	s.balancer.arrive(s.lastID)
	s.After(time.Duration(s.rng.ExpFloat64()/(rate*s.options.Load)*float64(time.Second)), s.arrive)
}

// send delivers an attempt to a server and schedules its end.
func (s *sim) send(c *call, target int) {
	attempt := c.attempts
	c.attempts++
	c.tried[target] = true
	if c.arrivedAt >= faultsStart {
		s.attempts++
	}
	endAfter := func(delay time.Duration, reason control.Reason, isFinal bool) {
		s.After(delay, func() { s.balancer.endAttempt(c, target, attempt, reason, isFinal) })
	}
	isFaulty := target == 0 && s.Now() >= faultsStart
	if isFaulty && s.testCase.Cycle > 0 && s.Now()%s.testCase.Cycle < s.testCase.DownTime {
		endAfter(fastFailureTime, control.ConnectFailed, false)
		return
	}
	if isFaulty && s.rng.Float64() < s.testCase.FailingFraction {
		endAfter(fastFailureTime, control.Errored, s.testCase.Status == 500)
		return
	}
	speed := s.testCase.Speeds[target]
	if isFaulty && s.testCase.SlowDown > 0 {
		speed /= s.testCase.SlowDown
	}
	free := &s.servers[target].coreFreeAt
	core := 0
	for i := range free {
		if free[i] < free[core] {
			core = i
		}
	}
	startsAt := max(s.Now(), free[core])
	duration := time.Duration(float64(meanWork) / speed * (0.5 + s.rng.Float64()))
	remaining := c.arrivedAt + deadline - s.Now()
	free[core] = startsAt + duration
	if responseTime := startsAt + duration - s.Now(); responseTime <= remaining {
		endAfter(responseTime, control.OK, true)
	} else {
		endAfter(remaining, control.TimedOut, false)
	}
}

// Outcomes of a call.
const (
	served = iota
	failed
	rejected
)

func (s *sim) finish(c *call, outcome int) {
	if s.calls[c.id] == nil {
		return
	}
	delete(s.calls, c.id)
	if c.arrivedAt < faultsStart {
		return
	}
	if s.outcomes[outcome]++; outcome == served {
		s.latencies = append(s.latencies, float64((s.Now()-c.arrivedAt).Microseconds())/1000)
	}
}

func (s *sim) report() Report {
	r := s.result
	r.Calls = s.outcomes[served] + s.outcomes[failed] + s.outcomes[rejected]
	n := math.Max(1, float64(r.Calls))
	r.Served, r.Failed, r.Refused = float64(s.outcomes[served])/n, float64(s.outcomes[failed])/n, float64(s.outcomes[rejected])/n
	r.RetriesPerCall = math.Max(0, float64(s.attempts)/n-1)
	if slices.Sort(s.latencies); len(s.latencies) > 0 {
		r.P50, r.P99 = stat.Quantile(0.5, stat.Empirical, s.latencies, nil), stat.Quantile(0.99, stat.Empirical, s.latencies, nil)
	}
	return r
}

// simplePolicy is a balancer without admission control or learned state. It sends each call immediately and retries it
// where a retry is allowed.
type simplePolicy struct {
	sim      *sim
	choose   func(*simplePolicy, *call) int
	next     int
	inFlight [servers]int
}

func fewestInFlight(p *simplePolicy, c *call) int {
	best, start := -1, p.sim.rng.IntN(servers) // a random start avoids a preference among equally loaded servers
	for i := range servers {
		candidate := (start + i) % servers
		if !c.tried[candidate] && (best < 0 || p.inFlight[candidate] < p.inFlight[best]) {
			best = candidate
		}
	}
	return best
}

func (p *simplePolicy) arrive(id int) { p.send(p.sim.calls[id]) }

func (p *simplePolicy) send(c *call) {
	target := p.choose(p, c)
	p.inFlight[target]++
	p.sim.send(c, target)
}

func (p *simplePolicy) endAttempt(c *call, target, _ int, reason control.Reason, isFinal bool) {
	p.inFlight[target]--
	switch {
	case reason == control.OK:
		p.sim.finish(c, served)
	case isFinal || c.attempts >= maxAttempts || reason == control.TimedOut:
		p.sim.finish(c, failed)
	default:
		p.send(c)
	}
}

// module is the decision module with the settings of a generic HTTP service.
type module struct {
	sim        *sim
	controller *control.Controller
}

func newModule(s *sim) (*module, error) {
	c, err := control.New(control.Settings{
		GroupSize: 1, MaxAttempts: maxAttempts, CanCancel: true, SupportsRetryAfter: true, MaxRetryAfter: time.Second,
		DrainGrace: 2 * time.Second, WarmupTime: 15 * time.Second, InitialCapacity: 0.15, OverloadWindow: 2 * time.Second, OverloadMultiple: 2.5,
		Classes: []control.Class{{Name: "read", LatencyObjective: 2 * time.Second, Deadline: deadline, PriorityWeight: 1}},
		Plans:   []control.Plan{{Name: "default", Price: 1}},
	}, s.options.Seed)
	if err != nil {
		return nil, fmt.Errorf("creating the decision module: %w", err)
	}
	m := &module{s, c}
	var members []control.Endpoint
	for i := range servers {
		members = append(members, control.Endpoint{Server: uint32(i + 1), Size: 1})
	}
	s.At(0, func() { m.deliver(control.EndpointList{Kind: control.ListComplete, Endpoints: members}) })
	return m, nil
}

func (m *module) deliver(e control.Event) {
	for _, a := range slices.Clone(m.controller.Handle(m.sim.Now()+time.Hour, e)) {
		switch a := a.(type) {
		case control.Send:
			if c := m.sim.calls[callNumber(a.ID)]; c != nil {
				m.sim.send(c, int(a.Server)-1)
			}
		case control.Reject:
			m.finishUnserved(a.ID)
		case control.Fail:
			m.finishUnserved(a.ID)
		case control.StartTimer:
			m.sim.After(a.After, func() { m.deliver(control.TimerFired{Label: a.Label}) })
		}
	}
}

// finishUnserved finishes a call that the module rejects or fails. A call that has been sent to a server counts as failed.
func (m *module) finishUnserved(id string) {
	c := m.sim.calls[callNumber(id)]
	switch {
	case c == nil:
	case c.attempts > 0:
		m.sim.finish(c, failed)
	default:
		m.sim.finish(c, rejected)
	}
}

func callNumber(id string) (n int) {
	_, _ = fmt.Sscan(id, &n) // the ID was made by arrive
	return n
}

func (m *module) arrive(id int) {
	m.deliver(control.Request{ID: fmt.Sprint(id), Class: "read", Plan: "default", Customer: "anonymous", Timeout: deadline, Units: 1, FanOut: 1})
}

func (m *module) endAttempt(c *call, target, attempt int, reason control.Reason, isFinal bool) {
	if reason == control.OK {
		m.sim.finish(c, served)
	} else if isFinal {
		m.sim.finish(c, failed)
	}
	m.deliver(control.AttemptResult{ID: fmt.Sprint(c.id), Attempt: attempt, Server: uint32(target + 1), Reason: reason, IsFinal: isFinal})
}
