// Package balancesim plays one node in virtual time before app servers that tell nothing of their
// load, and compares the decision module's choice of server with round robin and with least in
// flight. The module is the real one; servers and clients are a model. Everything follows from the
// seed.
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

// Figures of the model that no option changes.
const (
	servers  = 8
	cores    = 4
	work     = 20 * time.Millisecond // of a call on one core of a server of speed 1
	deadline = 5 * time.Second
	attempts = 3 // of one call
	begins   = 10 * time.Second
	failFast = time.Millisecond
)

// Case is a set of servers and what happens to one of them, from 10 s on.
type Case struct {
	Name  string
	Speed [servers]float64
	// Trouble of the first server; the others have none.
	Slow   float64       // times slower
	Status int           // that it answers at once: 500 goes to the client, 503 may be tried elsewhere
	Part   float64       // of its calls that it answers so
	Down   time.Duration // of each Cycle, in which it refuses connections
	Cycle  time.Duration
}

var even = [servers]float64{1, 1, 1, 1, 1, 1, 1, 1}

// Cases are what is played.
var Cases = []Case{
	{Name: "equal", Speed: even},
	{Name: "unequal, 1 to 8", Speed: [servers]float64{0.5, 0.5, 1, 1, 2, 2, 4, 4}},
	{Name: "one ten times slower", Speed: even, Slow: 10},
	{Name: "one fails at once with 503", Speed: even, Status: 503, Part: 1},
	{Name: "one fails at once with 500", Speed: even, Status: 500, Part: 1},
	{Name: "one fails half with 500", Speed: even, Status: 500, Part: 0.5},
	{Name: "one flaps, down 1 s of 3", Speed: even, Down: time.Second, Cycle: 3 * time.Second},
}

// Policies are what is compared, in this order.
var Policies = []string{"module", "round robin", "least in flight"}

// Options say what is played.
type Options struct {
	Load  float64 // part of what all servers can do
	Lasts time.Duration
	Seed  uint64
}

// Report is what came of a case under a policy, from the trouble's begin on.
type Report struct {
	Case    string  `json:"case"`
	Policy  string  `json:"policy"`
	Calls   int     `json:"calls"`
	Served  float64 `json:"served"` // part of the calls
	Failed  float64 `json:"failed"` // answered by 5xx, cut or too late
	Refused float64 `json:"refused"`
	P50     float64 `json:"p50_ms"` // of the served
	P99     float64 `json:"p99_ms"`
	Extra   float64 `json:"extra"` // further attempts a call
}

// balancer chooses servers. It is told of calls and of how attempts end; it sends and gives up
// through the sim.
type balancer interface {
	arrive(id int)
	ended(c *call, server, n int, why control.Reason, final bool)
}

type sim struct {
	vtime.Clock
	o     Options
	c     Case
	rng   *rand.Rand
	by    balancer
	srv   [servers]server
	calls map[int]*call
	n     int
	rep   Report
	took  []float64
	done  [3]int // served, failed, refused
	tries int
}

type server struct{ free [cores]time.Duration }

type call struct {
	id    int
	at    time.Duration
	sends int
	tried [servers]bool
}

// Run plays one case under one policy.
func Run(c Case, policy string, o Options) (Report, error) {
	s := &sim{o: o, c: c, rng: rand.New(rand.NewPCG(o.Seed, 31)), calls: make(map[int]*call)}
	s.rep = Report{Case: c.Name, Policy: policy}
	switch policy {
	case "module":
		m, err := newModule(s)
		if err != nil {
			return Report{}, err
		}
		s.by = m
	case "round robin":
		s.by = &plain{s: s, pick: func(p *plain, _ *call) int { p.next++; return p.next % servers }}
	case "least in flight":
		s.by = &plain{s: s, pick: fewestInFlight}
	default:
		return Report{}, fmt.Errorf("there is no policy %q", policy)
	}
	s.At(0, s.next)
	s.Run(o.Lasts + deadline)
	return s.report(), nil
}

// next has a call come, and another one later.
func (s *sim) next() {
	rate := 0.0
	for _, v := range s.c.Speed {
		rate += v * cores / work.Seconds()
	}
	if s.Now() > s.o.Lasts {
		return
	}
	s.n++
	s.calls[s.n] = &call{id: s.n, at: s.Now()}
	s.by.arrive(s.n)
	s.After(time.Duration(s.rng.ExpFloat64()/(rate*s.o.Load)*float64(time.Second)), s.next)
}

// send has a server take an attempt.
func (s *sim) send(c *call, to int) {
	n := c.sends
	c.sends++
	c.tried[to] = true
	if c.at >= begins {
		s.tries++
	}
	end := func(after time.Duration, why control.Reason, final bool) {
		s.After(after, func() { s.by.ended(c, to, n, why, final) })
	}
	troubled := to == 0 && s.Now() >= begins
	if troubled && s.c.Cycle > 0 && s.Now()%s.c.Cycle < s.c.Down {
		end(failFast, control.ConnectFailed, false)
		return
	}
	if troubled && s.rng.Float64() < s.c.Part {
		end(failFast, control.Errored, s.c.Status == 500)
		return
	}
	speed := s.c.Speed[to]
	if troubled && s.c.Slow > 0 {
		speed /= s.c.Slow
	}
	free := &s.srv[to].free
	core := 0
	for i := range free {
		if free[i] < free[core] {
			core = i
		}
	}
	from := max(s.Now(), free[core])
	took := time.Duration(float64(work) / speed * (0.5 + s.rng.Float64()))
	left := c.at + deadline - s.Now()
	free[core] = from + took
	if done := from + took - s.Now(); done <= left {
		end(done, control.OK, true)
	} else {
		end(left, control.TimedOut, false)
	}
}

// The ends of a call.
const (
	served = iota
	failed
	refused
)

func (s *sim) finish(c *call, how int) {
	if s.calls[c.id] == nil {
		return
	}
	delete(s.calls, c.id)
	if c.at < begins {
		return
	}
	if s.done[how]++; how == served {
		s.took = append(s.took, float64((s.Now()-c.at).Microseconds())/1000)
	}
}

func (s *sim) report() Report {
	r := s.rep
	r.Calls = s.done[served] + s.done[failed] + s.done[refused]
	n := math.Max(1, float64(r.Calls))
	r.Served, r.Failed, r.Refused = float64(s.done[served])/n, float64(s.done[failed])/n, float64(s.done[refused])/n
	r.Extra = math.Max(0, float64(s.tries)/n-1)
	if slices.Sort(s.took); len(s.took) > 0 {
		r.P50, r.P99 = stat.Quantile(0.5, stat.Empirical, s.took, nil), stat.Quantile(0.99, stat.Empirical, s.took, nil)
	}
	return r
}

// plain is a policy without a memory but for what is in flight: it sends at once, and once more
// elsewhere what may be.
type plain struct {
	s    *sim
	pick func(*plain, *call) int
	next int
	out  [servers]int
}

func fewestInFlight(p *plain, c *call) int {
	best, at := -1, p.s.rng.IntN(servers) // ties by chance
	for i := range servers {
		k := (at + i) % servers
		if !c.tried[k] && (best < 0 || p.out[k] < p.out[best]) {
			best = k
		}
	}
	return best
}

func (p *plain) arrive(id int) { p.send(p.s.calls[id]) }

func (p *plain) send(c *call) {
	to := p.pick(p, c)
	p.out[to]++
	p.s.send(c, to)
}

func (p *plain) ended(c *call, to, _ int, why control.Reason, final bool) {
	p.out[to]--
	switch {
	case why == control.OK:
		p.s.finish(c, served)
	case final || c.sends >= attempts || why == control.TimedOut:
		p.s.finish(c, failed)
	default:
		p.send(c)
	}
}

// module is the decision module with what an ordinary service has.
type module struct {
	s *sim
	c *control.Controller
}

func newModule(s *sim) (*module, error) {
	c, err := control.New(control.Settings{
		GroupSize: 1, MaxAttempts: attempts, CanCancel: true, SupportsRetryAfter: true, MaxRetryAfter: time.Second,
		DrainGrace: 2 * time.Second, WarmupTime: 15 * time.Second, InitialCapacity: 0.15, OverloadWindow: 2 * time.Second, OverloadMultiple: 2.5,
		Classes: []control.Class{{Name: "read", LatencyObjective: 2 * time.Second, Deadline: deadline, PriorityWeight: 1}},
		Plans:   []control.Plan{{Name: "default", Price: 1}},
	}, s.o.Seed)
	if err != nil {
		return nil, fmt.Errorf("starting the module: %w", err)
	}
	m := &module{s, c}
	var members []control.Endpoint
	for i := range servers {
		members = append(members, control.Endpoint{Server: uint32(i + 1), Size: 1})
	}
	s.At(0, func() { m.tell(control.EndpointList{Kind: control.ListComplete, Endpoints: members}) })
	return m, nil
}

func (m *module) tell(e control.Event) {
	for _, a := range slices.Clone(m.c.Handle(m.s.Now()+time.Hour, e)) {
		switch a := a.(type) {
		case control.Send:
			if c := m.s.calls[number(a.ID)]; c != nil {
				m.s.send(c, int(a.Server)-1)
			}
		case control.Reject:
			m.giveUp(a.ID)
		case control.Fail:
			m.giveUp(a.ID)
		case control.StartTimer:
			m.s.After(a.After, func() { m.tell(control.TimerFired{Label: a.Label}) })
		}
	}
}

// giveUp ends a call: one that was sent has failed, whatever the module calls it.
func (m *module) giveUp(id string) {
	c := m.s.calls[number(id)]
	switch {
	case c == nil:
	case c.sends > 0:
		m.s.finish(c, failed)
	default:
		m.s.finish(c, refused)
	}
}

func number(id string) (n int) {
	_, _ = fmt.Sscan(id, &n) // our own
	return n
}

func (m *module) arrive(id int) {
	m.tell(control.Request{ID: fmt.Sprint(id), Class: "read", Plan: "default", Customer: "anonymous", Timeout: deadline, Units: 1, FanOut: 1})
}

func (m *module) ended(c *call, to, n int, why control.Reason, final bool) {
	if why == control.OK {
		m.s.finish(c, served)
	} else if final {
		m.s.finish(c, failed)
	}
	m.tell(control.AttemptResult{ID: fmt.Sprint(c.id), Attempt: n, Server: uint32(to + 1), Reason: why, IsFinal: final})
}
