package fleetsim

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lockflow/control"
	"lockflow/internal/fleetrules"
	"lockflow/internal/vtime"
)

// Figures of the days' world that no option changes. Works and aims are those of a service whose
// calls take a quarter of a second and whose clients wait for ten.
const (
	dayWork      = 0.25 // s of one core, on average
	dayAim       = 3 * time.Second
	dayDeadline  = 10 * time.Second
	dayWindow    = time.Second // in which a cell's servers drop repeats
	dayCores     = 4
	dayQueue     = 80 // requests that a server holds beyond its cores
	dayConns     = 400
	dayCellSize  = 6
	dayZones     = 3
	perNode      = 0.6 // servers for each instance
	perNodeAsked = 0.5 // part of the servers' capacity that is asked for inside quotas
	handshake    = 1e-3
	idleConn     = 15 * time.Second
	connectTime  = 250 * time.Millisecond
	addNotice    = time.Second     // until a new server is listed
	goneNotice   = 2 * time.Second // until a drain or an end is
	toldAtMost   = 6 * time.Second // after which news counts as told
	reportEvery  = 400 * time.Millisecond
	meterBack    = 2 // periods of a second: the one before the last that ended is told
	termGrace    = 3 * time.Second
	unitsTop     = 4
	firstUse     = time.Hour // on the modules' clock
)

// DayOptions say what is played.
type DayOptions struct {
	Day       string
	Instances int
	Told      int           // size of the group that they are told; 0 is as many as there are
	Lasts     time.Duration // 25 s; the long day 120 s
	Load      float64       // times what is asked usually, which is half of what the servers can do; 1
	Seed      uint64
	Mutation  *Mutation // nil takes no guard out
}

// DayReport is what came of a day.
type DayReport struct {
	Day        string                  `json:"day"`
	Instances  int                     `json:"instances"`
	Servers    int                     `json:"servers"` // at the start
	Seed       uint64                  `json:"seed"`
	First      int                     `json:"first_tries"`
	Tries      int                     `json:"tries"`
	Attempts   int                     `json:"attempts"`
	Served     float64                 `json:"served"`     // part of the worth asked inside quotas that was answered within its aim
	Beyond     float64                 `json:"beyond"`     // part of the units sent on that were beyond quotas
	Failed     float64                 `json:"failed"`     // part of the tries
	Handshakes float64                 `json:"handshakes"` // for each first try
	ColdAt     float64                 `json:"cold"`       // the most a cold server was sent, over its limit
	Broken     map[fleetrules.Rule]int `json:"broken"`
	Breaches   []fleetrules.Breach     `json:"breaches,omitempty"`
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
	held     int
	conns    map[int]time.Duration // last use by instance
	busy     float64               // smoothed part of its cores
	mean     float64
	report   control.Load
	reportAt time.Duration
}

// listed is an entry of the list, and whether it says up.
type listed struct {
	control.Member
	up bool
}

// node is an instance.
type node struct {
	c            *control.Controller
	set          control.Settings
	wholeCeiling bool
	life         int // counts its starts
	down         bool
	closing      bool
	held         map[string]*try
	knows        map[uint32]int // the life of each server of which it was told
}

// customer is a client's name with its demand.
type dayCustomer struct {
	name          string
	plan          int
	first, spread int
	hot           int // the instance of its set that gets a fifth of its tries
}

// call is a client's request over all its tries.
type call struct {
	at     time.Duration
	cust   *dayCustomer
	class  int
	units  float64
	tries  int
	inside bool
	worth  float64
	done   bool
}

// try is one request at an instance.
type try struct {
	id    string
	call  *call
	until time.Duration
	sends int
}

type world struct {
	vtime.Clock
	o      DayOptions
	plan   dayPlan
	rules  control.Settings // as they are, whatever a mutation tells an instance
	rng    *rand.Rand       // of the world; clients have their own, so that two variants see the same arrivals
	ask    *rand.Rand
	check  *fleetrules.Checker
	rep    DayReport
	nodes  []*node
	hosts  []*host
	byID   map[uint32]*host
	custs  []*dayCustomer
	sums   []float64 // of customers' demand
	fresh  int
	asked  float64 // first tries a second
	ids    int
	stores map[string]*quota // true stores of the quotas, of first tries and of what is sent
	used   map[string]*meter

	listsSilentUntil time.Duration
	meterDown        bool
	worthAsked       float64
	worthServed      float64
	sentUnits        float64
	beyond           float64
	failed           int
	dialed           int
}

type quota struct {
	asked, sent     float64
	askedAt, sentAt time.Duration
}

type meter struct {
	period int
	now    float64
	told   []float64 // by period, of the last ones
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
	if o.Instances < 1 || o.Told < 0 || o.Load < 0 {
		return DayReport{}, fmt.Errorf("simulating %q: %d instances, %d told", o.Day, o.Instances, o.Told)
	}
	def(&o.Told, o.Instances)
	def(&o.Load, 1)
	if o.Mutation == nil {
		o.Mutation = &Mutation{}
	}
	if o.Day == "long" {
		def(&o.Lasts, 120*time.Second)
	}
	def(&o.Lasts, 25*time.Second)
	w := &world{o: o, plan: p, rng: stream(o.Seed, 1), ask: stream(o.Seed, 2), byID: map[uint32]*host{},
		stores: map[string]*quota{}, used: map[string]*meter{}}
	w.rules = w.settings(0)
	w.check = fleetrules.New(fleetrules.Terms{AnswerGrace: 55 * time.Millisecond, DrainGrace: 2050 * time.Millisecond,
		Fall: 2 * time.Second, FallMultiple: 2.5, ColdSlack: 4 * dayWork})
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
	w.At(200*time.Millisecond, w.arrive)
	w.Run(o.Lasts + dayDeadline + time.Second)
	w.check.Close(w.Now())
	return w.report(), nil
}

func (w *world) report() DayReport {
	r := w.rep
	r.Served = w.worthServed / math.Max(1, w.worthAsked)
	r.Beyond = w.beyond / math.Max(1, w.sentUnits)
	r.Failed = float64(w.failed) / math.Max(1, float64(r.Tries))
	r.Handshakes = float64(w.dialed) / math.Max(1, float64(r.First))
	r.ColdAt = w.check.ColdMost()
	r.Broken, r.Breaches = w.check.Broken(), w.check.Breaches()
	return r
}

// ---- servers and their list ----

func (w *world) newHost(zone string, cell int, boot time.Duration) *host {
	h := &host{id: uint32(len(w.hosts) + 1), zone: zone, cell: cell, bootAt: boot, conns: map[int]time.Duration{}}
	w.hosts = append(w.hosts, h)
	w.byID[h.id] = h
	w.register(h)
	return h
}

func (w *world) register(h *host) {
	boot := h.bootAt
	w.check.Started(h.id, fleetrules.Server{Zone: h.zone, Cell: h.cell, Can: func(at time.Duration) (float64, bool) {
		warm := warmthAt(at - boot)
		return warm * dayCores, warm < 1
	}})
}

// warmthAt is the part of its speed that a server has some time after its start: no more than the
// settings promise.
func warmthAt(since time.Duration) float64 {
	return math.Min(1, 0.15+0.85*since.Seconds()/15)
}

// boot starts a new server, which is listed a little later.
func (w *world) boot(zone string, cell int) {
	h := w.newHost(zone, cell, w.Now())
	w.After(addNotice, func() { w.announce(h, true) })
}

func (w *world) reboot(h *host) {
	h.state, h.bootAt, h.life, h.held = hostUp, w.Now(), h.life+1, 0
	clear(h.conns)
	h.free = [dayCores]time.Duration{}
	w.register(h)
	w.After(addNotice, func() { w.announce(h, true) })
}

func (w *world) drain(h *host) {
	if h.state == hostUp {
		h.state = hostDraining
	}
	w.After(goneNotice/2, func() { w.announce(h, false) })
}

func (w *world) remove(h *host) {
	h.state = hostGone
	h.life++
}

func (w *world) entry(h *host) listed {
	up := h.state == hostUp || h.state == hostSilent
	m := control.Member{Server: h.id, Condition: control.On, Zone: h.zone, Cell: h.cell, Size: 1}
	if !up {
		m.Condition = control.Fading
		if h.state == hostGone {
			m.Condition = control.Off
		}
	}
	if h.bootAt > -time.Hour {
		m.HasCameUp, m.CameUp = true, h.bootAt+firstUse
	}
	return listed{m, up}
}

// announce sends a change to every instance's agent, which has it a little later each, or as late as
// lists are on this day. By toldAtMost it counts as told either way.
func (w *world) announce(h *host, up bool) {
	e, life, seen := w.entry(h), h.life, w.Now()
	for i := range w.nodes {
		arrives := seen + time.Duration(w.rng.Int64N(int64(400*time.Millisecond))) + w.plan.late
		arrives = max(arrives, w.listsSilentUntil)
		if !up {
			w.At(min(arrives, seen+toldAtMost), func() { w.check.Told(w.Now(), i, h.id, false) })
		}
		w.At(arrives, func() {
			if n := w.nodes[i]; !n.down {
				n.knows[h.id] = life
				w.list(i, control.Patch, []listed{e})
			}
		})
	}
}

// ---- instances ----

func (w *world) settings(i int) control.Settings {
	return control.Settings{SelfIndex: i % w.o.Told, GroupSize: w.o.Told, SendCap: 6, MaxRetryAfter: time.Second, MayCancel: true, MarksRetry: true,
		DrainGrace: 2 * time.Second, Cold: 15 * time.Second, ColdFrom: 0.15, Fall: 2 * time.Second, FallMultiple: 2.5,
		MeterPeriod: time.Second, CostAfter: true, UnitsTop: unitsTop,
		Classes: []control.Class{{Name: "read", Aim: dayAim, Deadline: dayDeadline, Worth: 1, LateShare: 0.2},
			{Name: "update", Aim: dayAim, Deadline: dayDeadline, Worth: 5, Effect: control.Guarded, KeyScope: control.ScopeCell, RepeatWindow: dayWindow}},
		Plans: []control.Plan{{Name: "basic", Price: 0.8, Rate: 1.5, Depth: 8, OverCost: 0.6},
			{Name: "enterprise", Price: 1.4, Rate: 10, Depth: 18, OverCost: 1.2, CeilingRate: 20, CeilingBurst: 40, CeilingSlack: 4}}}
}

// start has an instance begin, or begin again, with the list that it had last; its agent has the
// present one.
func (w *world) start(i int) {
	n := w.nodes[i]
	n.set, n.wholeCeiling = w.settings(i), false
	if m := w.o.Mutation; m.settings != nil {
		m.settings(w, n)
	}
	c, err := control.New(n.set, w.o.Seed*1_000_003+uint64(i)*1009+uint64(n.life))
	if err != nil {
		panic(fmt.Sprintf("the settings of a day: %v", err)) // ours, and the same each time
	}
	n.c, n.down, n.closing, n.held, n.knows = c, false, false, map[string]*try{}, map[uint32]int{}
	n.life++
	var now []listed
	for _, h := range w.hosts {
		e := w.entry(h)
		if h.bootAt > w.Now()-addNotice && h.bootAt >= 0 {
			continue // nobody lists it yet
		}
		n.knows[h.id] = h.life
		if !e.up {
			w.check.Told(w.Now(), i, h.id, false)
		}
		if h.state != hostGone {
			now = append(now, e)
		}
	}
	w.list(i, control.Whole, now)
}

func (w *world) list(i int, kind control.ListKind, m []listed) {
	if hide := w.o.Mutation.list; hide != nil {
		m = hide(w, slices.Clone(m))
	}
	e := control.List{Kind: kind}
	for _, one := range m {
		e.Members = append(e.Members, one.Member)
	}
	w.tell(i, e)
}

// kill ends an instance without warning: clients of what it held learn of it and may come again.
func (w *world) kill(i int) { w.end(i, false) }

func (w *world) end(i int, owed bool) {
	n := w.nodes[i]
	if n.down {
		return
	}
	w.check.Killed(w.Now(), i, owed)
	n.down = true
	n.life++
	for _, id := range slices.Sorted(maps.Keys(n.held)) {
		w.later(n.held[id].call, w.plan.eager)
	}
	n.held = nil
}

// terminate is a planned restart: requests go on coming for a moment; what is held at the end of the
// grace is answered as failed.
func (w *world) terminate(i int) {
	n := w.nodes[i]
	life, grace := n.life, termGrace
	drops := w.o.Mutation.drops
	if drops {
		grace = 0
	}
	w.After(300*time.Millisecond, func() { n.closing = n.closing || n.life == life })
	w.After(grace, func() {
		if n.life != life {
			return
		}
		if !drops {
			for _, id := range slices.Sorted(maps.Keys(n.held)) {
				w.answer(i, id, "failed")
			}
		}
		w.end(i, true)
		w.After(500*time.Millisecond, func() { w.start(i) })
	})
}

// tell brings an event to an instance and does what it answers.
func (w *world) tell(i int, e control.Event) {
	n := w.nodes[i]
	if n.down {
		return
	}
	for _, a := range slices.Clone(n.c.Handle(w.Now()+firstUse, e)) {
		switch a := a.(type) {
		case control.Send:
			w.send(i, a)
		case control.Refuse:
			w.answer(i, a.ID, "refused")
		case control.Fail:
			if w.o.Mutation.allFails {
				w.answer(i, a.ID, "refused")
			} else {
				w.answer(i, a.ID, "failed")
			}
		case control.Arm:
			if w.o.Mutation.noTimer && a.Label != 0 {
				continue
			}
			life := n.life
			w.After(a.After, func() {
				if n.life == life {
					w.tell(i, control.Timer{Label: a.Label})
				}
			})
		}
	}
}

// answer gives a client its final answer.
func (w *world) answer(i int, id, how string) {
	t := w.nodes[i].held[id]
	if t == nil {
		return
	}
	w.check.Answered(w.Now(), i, id, how == "refused")
	if w.o.Mutation.twoEnds {
		w.check.Answered(w.Now(), i, id, how == "refused")
	}
	delete(w.nodes[i].held, id)
	switch how {
	case "served":
		if c := t.call; !c.done {
			c.done = true
			if took := w.Now() - c.at; c.inside && took <= dayAim {
				w.worthServed += c.worth
			} else if c.inside && c.class == 0 {
				w.worthServed += 0.2 * c.worth
			}
		}
	case "failed":
		if w.failed++; t.call.class == 0 {
			w.later(t.call, w.plan.eager)
		}
	default:
		w.later(t.call, w.plan.eager)
	}
}

// ---- attempts ----

// send has an attempt go to its server.
func (w *world) send(i int, a control.Send) {
	t := w.nodes[i].held[a.ID]
	if t == nil { // its client has left meanwhile
		w.tell(i, control.Response{ID: a.ID, Server: a.Server, Reason: control.Moot, Done: true})
		return
	}
	n := t.sends
	t.sends++
	sent := w.Now()
	w.rep.Attempts++
	h, life := w.byID[a.Server], w.nodes[i].life
	end := func(after time.Duration, why control.Reason, ran, whole bool) {
		w.After(after, func() {
			if whole {
				w.check.Ended(a.ID, sent, h.id, ran)
			}
			if w.nodes[i].life == life && !w.nodes[i].down {
				w.ended(i, a.ID, n, h, why)
			}
		})
	}
	switch {
	case h.state == hostGone:
		end(time.Millisecond, control.ConnectFailed, false, false)
		return
	case h.state == hostSilent || w.Now() < h.cutUntil:
		end(min(connectTime, t.until-w.Now()), control.ConnectFailed, false, false)
		return
	}
	after := w.connect(i, h)
	if len(h.conns) > dayConns {
		end(after, control.ConnectFailed, false, false)
		return
	}
	// It has come whole from here on.
	c := t.call
	plan := &w.rules.Plans[c.cust.plan]
	w.check.Sent(w.Now(), i, a.ID, h.id, n == 0, plan, c.cust.name, c.units)
	if n == 0 {
		w.spend(c, plan)
	}
	work := dayWork * w.rng.ExpFloat64()
	if w.o.Mutation.twoCopies {
		w.check.Sent(w.Now(), i, a.ID, h.id, false, plan, c.cust.name, c.units)
	}
	w.arrived(i, h, work)
	switch {
	case h.state == hostDraining || h.held >= dayCores+dayQueue:
		end(after+time.Millisecond, control.Full, false, true)
		return
	case h.bad && w.plan.failing && w.rng.Float64() < 0.8:
		end(after+2*time.Millisecond, control.Errored, true, true)
		return
	}
	done := w.serve(h, work) + after
	draw, hl := w.rng.Float64(), h.life
	switch {
	case draw < w.plan.reset:
		end(time.Duration(w.rng.Float64()*float64(min(done, t.until-w.Now()))), control.ResetByPeer, true, true)
		if w.o.Mutation.hidden {
			w.check.Sent(w.Now(), i, a.ID, h.id, false, plan, c.cust.name, c.units)
		}
	case w.Now()+done >= t.until:
		end(t.until-w.Now(), control.TimedOut, true, true)
	case draw < w.plan.reset+w.plan.lost+w.plan.spoilt:
		end(done, control.ResetByPeer, true, true)
	default:
		w.After(done, func() {
			lost := h.life != hl // its process ended under the request
			w.check.Ended(a.ID, sent, h.id, true)
			if w.nodes[i].life != life || w.nodes[i].down {
				return
			}
			why := control.OK
			if lost {
				why = control.ResetByPeer
			}
			w.ended(i, a.ID, n, h, why)
		})
	}
}

// connect is how long it takes until a request may be written to a server.
func (w *world) connect(i int, h *host) time.Duration {
	last, ok := h.conns[i]
	h.conns[i] = w.Now()
	if ok && w.Now()-last < idleConn {
		return 500 * time.Microsecond
	}
	w.dialed++
	for k, at := range h.conns {
		if w.Now()-at >= idleConn {
			delete(h.conns, k)
		}
	}
	w.arrived(i, h, handshake)
	return 3 * time.Millisecond
}

// arrived books work that has reached a server.
func (w *world) arrived(i int, h *host, work float64) {
	knows := false
	if life, ok := w.nodes[i].knows[h.id]; ok {
		knows = life == h.life
	}
	w.check.Arrived(w.Now(), h.id, work, knows)
}

// serve has a server work; it gives how long the answer takes.
func (w *world) serve(h *host, work float64) time.Duration {
	core := soonest(h.free[:])
	speed := warmthAt(w.Now() - h.bootAt)
	if h.bad && !w.plan.failing {
		speed /= 5
	}
	took := time.Duration(work / speed * float64(time.Second))
	from := max(w.Now(), h.free[core])
	h.free[core] = from + took
	h.mean += 0.1 * (took.Seconds() - h.mean)
	h.held++
	life := h.life
	w.At(h.free[core], func() {
		if h.life == life {
			h.held--
		}
	})
	return h.free[core] - w.Now()
}

// load is what a server tells of itself, as of some time ago.
func (w *world) load(h *host) *control.Load {
	if h.reportAt == 0 || w.Now()-h.reportAt >= reportEvery {
		h.busy += 0.5 * (math.Min(1, float64(h.held)/dayCores) - h.busy)
		h.report = control.Load{AvgMS: 1000 * h.mean, CPU: h.busy, Waiting: math.Max(0, float64(h.held-dayCores)), Active: -1, RPS: -1, ErrRPS: -1}
		h.reportAt = w.Now()
	}
	l := h.report
	return &l
}

// ended brings an attempt's end to its instance.
func (w *world) ended(i int, id string, n int, h *host, why control.Reason) {
	t := w.nodes[i].held[id]
	e := control.Response{ID: id, N: n, Server: h.id, Reason: why, Done: t == nil}
	if why == control.OK || why == control.Full || why == control.Errored {
		e.Load = w.load(h)
		if t != nil {
			e.Used = w.told(t.call.cust)
		}
	}
	if why == control.OK && t != nil {
		e.Cost, e.Done = math.Max(1, t.call.units+float64(w.rng.IntN(3)-1)), true
		w.answer(i, id, "served")
	}
	w.tell(i, e)
}

// ---- clients ----

// people draws the customers. Most use a part of their quota, some nearly all of it, and some ask
// for several times as much.
func (w *world) people() {
	set := &w.rules
	capacity := float64(len(w.hosts)) * dayCores / dayWork // requests a second
	inside := perNodeAsked * capacity
	sum, asked := 0.0, 0.0
	for i := 0; asked < inside; i++ {
		c := &dayCustomer{name: fmt.Sprintf("c%d", i), plan: 0, spread: max(1, w.o.Told/2)}
		if i%8 == 0 {
			c.plan, c.spread = 1, min(4, w.o.Told)
		}
		c.first, c.hot = w.ask.IntN(w.o.Instances), w.ask.IntN(c.spread)
		part := 0.2 + 0.5*w.ask.Float64()
		switch x := w.ask.Float64(); {
		case x < 0.1:
			part = 2.5 + 2*w.ask.Float64()
		case x < 0.25:
			part = 0.95
		}
		rate := part * set.Plans[c.plan].Rate / 2.5 // units of a request, on average
		sum += rate
		asked += math.Min(part, 1) * set.Plans[c.plan].Rate / 2.5
		w.custs, w.sums = append(w.custs, c), append(w.sums, sum)
	}
	w.asked = sum * w.o.Load
}

// arrive has a first try come, and the next one later.
func (w *world) arrive() {
	if w.Now() >= w.o.Lasts {
		return
	}
	x := w.ask.Float64() * w.sums[len(w.sums)-1]
	k, _ := slices.BinarySearch(w.sums, x)
	cust := w.custs[min(k, len(w.custs)-1)]
	if w.plan.fresh && w.ask.Float64() < 0.5 { // it comes this once
		w.fresh++
		cust = &dayCustomer{name: fmt.Sprintf("f%d", w.fresh), spread: cust.spread, plan: cust.plan, first: cust.first}
	}
	c := &call{at: w.Now(), cust: cust, class: w.ask.IntN(2), units: float64(1 + w.ask.IntN(unitsTop))}
	p := &w.rules.Plans[cust.plan]
	c.worth = w.rules.Classes[c.class].Worth * p.Price * c.units
	q := w.store(cust, p)
	q.asked = math.Min(p.Depth, q.asked+(w.Now()-q.askedAt).Seconds()*p.Rate)
	q.askedAt = w.Now()
	if c.inside = q.asked >= c.units; c.inside {
		q.asked -= c.units
		w.worthAsked += c.worth
	}
	w.rep.First++
	w.try(c)
	w.After(time.Duration(w.ask.ExpFloat64()/w.asked*float64(time.Second)), w.arrive)
}

func (w *world) store(c *dayCustomer, p *control.Plan) *quota {
	q := w.stores[c.name]
	if q == nil {
		q = &quota{asked: p.Depth, sent: p.Depth, askedAt: w.Now(), sentAt: w.Now()}
		w.stores[c.name] = q
	}
	return q
}

// spend takes what is sent on from the true quota and meters it.
func (w *world) spend(c *call, p *control.Plan) {
	q := w.store(c.cust, p)
	q.sent = math.Min(p.Depth, q.sent+(w.Now()-q.sentAt).Seconds()*p.Rate)
	q.sentAt = w.Now()
	w.sentUnits += c.units
	if q.sent >= c.units {
		q.sent -= c.units
	} else {
		w.beyond += c.units
	}
	m := w.used[c.cust.name]
	if m == nil {
		m = &meter{}
		w.used[c.cust.name] = m
	}
	m.roll(int(w.Now() / time.Second))
	m.now += c.units
}

// roll brings a meter to a period.
func (m *meter) roll(period int) {
	for ; m.period < period; m.period++ {
		m.told = append(m.told, m.now)
		if m.now = 0; len(m.told) > 4 {
			m.told = m.told[1:]
		}
	}
}

// told is what an answer tells of a customer's use: 1 and the percent of its rate in the last period
// that the meter has summed; 0 where it tells nothing.
func (w *world) told(c *dayCustomer) int {
	m := w.used[c.name]
	if m == nil || w.meterDown {
		return 0
	}
	m.roll(int(w.Now() / time.Second))
	if len(m.told) < meterBack {
		return 0
	}
	return 1 + int(math.Round(100*m.told[len(m.told)-meterBack]/w.rules.Plans[c.plan].Rate))
}

// try has a call come to an instance of its customer's set that is up.
func (w *world) try(c *call) {
	left := c.at + dayDeadline - w.Now()
	if left < 10*time.Millisecond {
		return
	}
	i := -1
	for range 6 {
		k := w.ask.IntN(c.cust.spread)
		if w.ask.Float64() < 0.2 {
			k = c.cust.hot
		}
		at := (c.cust.first + k) % len(w.nodes)
		if n := w.nodes[at]; !n.down && !n.closing {
			i = at
			break
		}
	}
	if i < 0 {
		w.later(c, false)
		return
	}
	c.tries++
	w.ids++
	w.rep.Tries++
	t := &try{id: fmt.Sprintf("r%d", w.ids), call: c, until: w.Now() + left}
	n, set := w.nodes[i], &w.rules
	n.held[t.id] = t
	w.check.Taken(w.Now(), i, t.id, &set.Classes[c.class], left)
	r := control.Request{ID: t.id, Class: set.Classes[c.class].Name, Plan: set.Plans[c.cust.plan].Name, Customer: c.cust.name,
		TTL: left, Units: c.units, Spread: c.cust.spread, SetStart: c.cust.first, Repeat: c.tries > 1, Write: c.class == 1}
	if n.wholeCeiling {
		r.Spread = 1
	}
	life := n.life
	if w.ask.Float64() < w.plan.leave {
		w.After(time.Duration(w.ask.Float64()*float64(left)/4), func() {
			if n.life == life && !n.down && n.held[t.id] != nil {
				w.check.Left(t.id)
				delete(n.held, t.id)
				w.tell(i, control.Hangup{ID: t.id})
			}
		})
	}
	w.tell(i, r)
}

// later has a client come again after a while, for a few times.
func (w *world) later(c *call, eager bool) {
	most, wait := 4, 100*time.Millisecond+time.Duration(w.ask.Int64N(int64(700*time.Millisecond)))
	if eager {
		most, wait = 6, time.Duration(w.ask.Int64N(int64(100*time.Millisecond)))
	}
	if c.done || c.tries >= most || w.ask.Float64() < 0.2 {
		return
	}
	w.After(wait, func() { w.try(c) })
}
