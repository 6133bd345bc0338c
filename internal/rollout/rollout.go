package rollout

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// order is one that a member owes an answer to, or that has to be asked for again.
type order struct {
	id      string
	gen     int
	restart bool
	since   time.Duration
	out     bool          // an answer is owed
	again   time.Duration // when it is asked again
	doubt   bool          // an answer was lost: it may be done late
}

// member is what is known of one.
type member struct {
	asked    bool // has answered, or failed to, once at least
	up       bool
	runs     string
	epoch    uint64
	token    string // it has lost what it granted
	tokenAt  uint64 // the epoch when that was seen
	load     float64
	away     time.Duration // since when it is not up
	changed  time.Duration // when its last order was answered
	granted  bool          // the epoch in force
	claiming bool
	claimAt  time.Duration
	order    *order
	tries    int           // orders for the generation wanted
	given    bool          // it has been ordered or has granted the epoch, and has not been seen at rest since
	copies   bool          // an order was asked for more than once, or given up, in this epoch
	dropped  bool          // a restart was given up: it has its place still
	free     time.Duration // until when
	suspect  bool          // an order given up may be done late: what it runs now says nothing until it has done another
	upSince  time.Duration
	left     bool // could not be taken back
	control  bool // started again beside the canaries of this stage
	wait     bool // is to be such a control
}

// state is what a coordinator is at.
type state int

const (
	owning state = iota // claims an epoch
	forward
	back
	ended
)

// Rollout is one coordinator of one change. It is not safe for concurrent use.
type Rollout struct {
	plan   Plan
	phases []phase
	rng    *rand.Rand
	m      []member
	acts   []Action
	now    time.Duration

	state    state
	began    time.Duration // first event
	begun    bool
	unsaid   bool // toBack is not written yet
	toBack   bool // once the epoch is owned, all is taken back
	epoch    uint64
	owner    string
	newest   uint64 // epoch seen anywhere
	owned    bool   // has owned an epoch once
	claimTry int
	claimAt  time.Duration // next try; 0 is under way
	sane     bool          // more than half of all knew what they had granted when the epoch was chosen
	claimEnd time.Duration // until when it has to own
	seq      int           // of orders

	placed   bool // the phase is known by what the members run
	phase    int  // 1 is the first: from generation 0 to 1
	stage    int  // index in the phase
	watching bool
	since    time.Duration // of the stage, or of the sweep
	baking   bool
	baked    time.Duration // since when
	verdict  Judged
	judged   bool          // since baking
	noRoom   time.Duration // since when there is none, while waits
	waits    bool
	gen      int // that a sweep takes back to
	sweeping bool
	cause    string
	stop     string
	touched  bool // something was ordered, by this coordinator or the ones before it
	why      string
	result   Result
}

// New makes one that has not begun. owner is this coordinator's own name, unlike any other's.
func New(p Plan, owner string, rng *rand.Rand) (*Rollout, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	p.defaults()
	phases, err := p.layout()
	if err != nil {
		return nil, err
	}
	r := &Rollout{plan: p, phases: phases, rng: rng, m: make([]member, len(p.Members)), owner: owner, phase: 1}
	for i := range r.m {
		r.m[i].load = -1
	}
	return r, nil
}

// Handle takes an event and returns what is to be done, in order.
func (r *Rollout) Handle(now time.Duration, e Event) []Action {
	if r.state == ended {
		return nil
	}
	r.now, r.acts = now, nil
	if !r.begun {
		r.begun, r.began, r.claimEnd = true, now, now+2*r.plan.Away
		for i := range r.m {
			r.m[i].away = now
		}
	}
	switch e := e.(type) {
	case Seen:
		r.seen(e)
	case Claimed:
		r.claimed(e)
	case Ordered:
		r.ordered(e)
	case Judged:
		if r.baking {
			r.verdict, r.judged = e, true
		}
	case Stop:
		if r.stop == "" {
			r.stop = e.Cause
		}
	case Unwritten:
		r.acts = nil
		r.end(Stopped, fmt.Sprintf("what is decided can't be kept, so nothing is done: %v", e.Err))
		return r.acts
	}
	r.step()
	return r.acts
}

func (k Kind) String() string {
	return [...]string{"wait", "pass", "worse", "no evidence"}[k]
}

func (r *Rollout) valid(i int) bool { return i >= 0 && i < len(r.m) }

func (r *Rollout) seen(e Seen) {
	if !r.valid(e.Member) {
		return
	}
	m := &r.m[e.Member]
	if m.asked && e.Asked < m.changed {
		return // from before the change that it has answered since
	}
	m.asked = true
	if !e.Up {
		if m.up {
			m.away = r.now
		}
		m.up = false
	} else {
		if !m.up {
			m.upSince = r.now
		}
		m.up, m.runs, m.load = true, e.Runs, e.Load
		// One that is still at an order, also another coordinator's, does not say what it will run.
		m.given = e.Doing != "" && m.order == nil
	}
	if e.Epoch == 0 && !e.Up && e.Lost == "" {
		return
	}
	m.epoch = e.Epoch
	if e.Lost != m.token {
		m.token, m.tokenAt = e.Lost, r.epoch
	}
	r.newest = max(r.newest, e.Epoch)
	other := e.Epoch > r.epoch || e.Epoch == r.epoch && r.epoch > 0 && e.Owner != "" && e.Owner != r.owner
	if other && r.state != owning {
		r.replaced(e.Member, e.Epoch)
		return
	}
	if m.granted && (e.Epoch < r.epoch || e.Lost != "") {
		m.granted, m.upSince = false, r.now // it has lost its memory
	}
}

// step does what may be done now.
func (r *Rollout) step() {
	if r.state == ended {
		return
	}
	if r.stop != "" {
		if r.askAgain(); r.state != ended && !r.busy() {
			r.end(Stopped, r.stop)
		}
		return
	}
	switch r.state {
	case owning:
		r.own()
	case forward:
		r.reclaim()
		r.goOn()
	case back:
		r.reclaim()
		r.takeBack()
	}
	if r.state != ended {
		r.askAgain()
	}
}

// busy tells whether an order may still be at work.
func (r *Rollout) busy() bool {
	for i := range r.m {
		if o := r.m[i].order; o != nil && (o.out || r.now-o.since < r.plan.Away) {
			return true
		}
	}
	return false
}

func (r *Rollout) act(a Action)  { r.acts = append(r.acts, a) }
func (r *Rollout) write(e Entry) { r.act(Write{e}) }

func (r *Rollout) end(result Result, why string) {
	r.write(Entry{Kind: EntryEnd, Outcome: string(result), Why: why, Epoch: r.epoch})
	r.act(End{result, why})
	r.state, r.result, r.why = ended, result, why
}

// replaced ends it at once: a newer coordinator decides.
func (r *Rollout) replaced(i int, epoch uint64) {
	r.end(Replaced, fmt.Sprintf("member %s has granted epoch %d to another coordinator: this one, of epoch %d, changes nothing more",
		r.plan.Members[i].Name, epoch, r.epoch))
}

// at tells whether a member runs a generation, by what it says.
func (r *Rollout) at(i, gen int) bool {
	if r.plan.Same && r.toBack {
		return true
	}
	return r.m[i].runs == r.plan.Members[i].Gens[gen]
}

// give orders a member.
func (r *Rollout) give(i, gen int, restart bool) {
	m := &r.m[i]
	r.seq++
	m.order = &order{id: fmt.Sprintf("%d/%d", r.epoch, r.seq), gen: gen, restart: restart, since: r.now, out: true}
	if !restart {
		m.tries++
	}
	r.touched = true
	r.write(Entry{Kind: EntryOrder, Epoch: r.epoch, Phase: r.phase, Stage: r.stage + 1, Member: r.plan.Members[i].Name, ID: m.order.id, Gen: gen, Restart: restart})
	r.act(r.asOrder(i))
}

func (r *Rollout) asOrder(i int) Order {
	o := r.m[i].order
	return Order{Member: i, ID: o.id, Epoch: r.epoch, Owner: r.owner, Gen: o.gen, Restart: o.restart}
}

// askAgain asks for answers that were lost, under the same id: the member does it once.
func (r *Rollout) askAgain() {
	for i := range r.m {
		if m := &r.m[i]; m.order != nil && !m.order.out && m.granted && r.now >= m.order.again {
			m.order.out = true
			r.act(r.asOrder(i))
		}
	}
}

func (r *Rollout) ordered(e Ordered) {
	if !r.valid(e.Member) || r.m[e.Member].order == nil || r.m[e.Member].order.id != e.ID || e.Epoch != r.epoch {
		return // of an epoch that this coordinator has given up itself
	}
	m := &r.m[e.Member]
	m.order.out = false
	name := r.plan.Members[e.Member].Name
	switch e.Answer {
	case Ungranted:
		m.granted, m.upSince = false, r.now
		m.order.doubt, m.order.again, m.copies = true, r.now, true
		return
	case Lost:
		m.order.doubt, m.order.again, m.copies = true, r.now+askAgain, true
		return
	case Stale:
		r.replaced(e.Member, max(r.newest, r.epoch))
		return
	}
	outcome, why := outcomeDone, ""
	if e.Answer != OK {
		outcome, why = outcomeFailed, fmt.Sprint(e.Err)
	}
	r.write(Entry{Kind: EntryOutcome, Member: name, ID: e.ID, Outcome: outcome, Why: why})
	o := m.order
	m.order, m.changed, m.given = nil, r.now, e.Answer == OK
	m.suspect = m.suspect && e.Answer != OK
	switch {
	case e.Answer == OK && o.restart:
		m.control, m.wait = true, false
	case o.restart: // the change has no part in it
		m.wait = false
	case e.Answer != OK && r.state == back:
		r.leave(e.Member, "its taking back failed: "+why)
	case e.Answer != OK:
		r.fail(fmt.Sprintf("member %s: %s", name, why))
	}
}

// lost tells whether a member that something is wanted of has been away, or silent, for too long.
func (r *Rollout) lost(i int) bool {
	m := &r.m[i]
	if m.order != nil {
		return !m.order.out && m.order.doubt && r.now-m.order.since >= r.plan.Away
	}
	if m.up {
		return !m.granted && r.now-max(m.upSince, r.since) >= r.plan.Away
	}
	return r.now-max(m.away, r.since) >= r.plan.Away
}

// Phase and Stage are what it is at, from 1, and how many there are.
func (r *Rollout) Phase() (at, of int) { return r.phase, len(r.phases) }

// Stage tells which stage of the phase it is at, from 1, of how many.
func (r *Rollout) Stage() (at, of int) {
	of = len(r.phases[r.phase-1].stages)
	return min(r.stage+1, of), of
}

// Side tells how the judge is to see a member: changed, an old one started again beside those, or old.
func (r *Rollout) Side(i int) (changed, control bool) {
	if r.state != forward {
		return false, false
	}
	g := r.plan.Members[i].Gens
	changed = g[r.phase] != g[r.phase-1] && r.m[i].runs == g[r.phase]
	return changed, !changed && r.m[i].control
}

// Watching tells whether a stage is watched by the judge, and Baking whether it waits for the verdict.
func (r *Rollout) Watching() bool { return r.state == forward && r.watching }

// Baking tells whether all of a stage have changed, so that the verdict counts.
func (r *Rollout) Baking() bool { return r.state == forward && r.baking }

// Why tells what it waits for, or why it ended.
func (r *Rollout) Why() string { return r.why }

// State names what it is at.
func (r *Rollout) State() string {
	switch {
	case r.state == owning:
		return "claiming"
	case r.state == back:
		return "taking back"
	case r.state == ended:
		return string(r.result)
	case r.baking:
		return "watching"
	}
	return "changing"
}

// Epoch is the coordinator's ownership; 0 before it has claimed any.
func (r *Rollout) Epoch() uint64 { return r.epoch }

// Cause is why all is taken back.
func (r *Rollout) Cause() string { return r.cause }

// Touched tells whether any member was ordered, by this coordinator or one before it.
func (r *Rollout) Touched() bool { return r.touched }

// Plan is the plan with its defaults filled in.
func (r *Rollout) Plan() Plan { return r.plan }

// Sizes are the stages' numbers of members, by phase.
func (r *Rollout) Sizes() [][]int {
	all := make([][]int, len(r.phases))
	for i, p := range r.phases {
		for _, s := range p.stages {
			all[i] = append(all[i], len(s))
		}
	}
	return all
}

// Runs is what a member said last that it runs.
func (r *Rollout) Runs(i int) string { return r.m[i].runs }

// MemberState names where a member is; ordered tells whether it was ever ordered to change.
func (r *Rollout) MemberState(i int, ordered bool) string {
	m, g := &r.m[i], r.plan.Members[i].Gens
	switch {
	case m.left:
		return "not taken back"
	case m.order != nil && !m.order.restart:
		return "changing"
	case m.runs == g[len(g)-1]:
		return "changed"
	case m.runs == g[0] && ordered:
		return "taken back"
	case m.runs == g[0]:
		return "untouched"
	case m.runs == "":
		return "away"
	}
	return "between"
}
