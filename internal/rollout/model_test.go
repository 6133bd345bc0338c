package rollout

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// The model: members, coordinators and what lies between them, in virtual time. Messages are late, lost, or
// delivered after whoever sent them has given up; members are paused, end and come back; coordinators end
// at any of their writes, and start again, or two of them run at once.

type at struct {
	t time.Duration
	n int
	f func()
}
type agenda []at

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].t < a[j].t || a[i].t == a[j].t && a[i].n < a[j].n }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(v any)        { *a = append(*a, v.(at)) }
func (a *agenda) Pop() any          { v := (*a)[len(*a)-1]; *a = (*a)[:len(*a)-1]; return v }

type mutation int

const (
	none mutation = iota
	noEpoch
	noWrite
	ownMemory
)

type modelMember struct {
	i         int
	runs      string
	epoch     uint64
	owner     string
	last      string
	outcome   error
	up        bool
	paused    bool
	inbox     []func()
	busy      []func() // orders wait for the one that is done now
	doing     string
	executing bool
	bad       map[string]bool // what it can't come to run
	did       map[string]int
	doneEpoch uint64
	forgot    time.Duration // when it fell back
	token     string        // its book is lost
}

type world struct {
	rng     *rand.Rand
	now     time.Duration
	agenda  agenda
	n       int
	plan    Plan
	members []*modelMember
	ordered map[string]bool   // ids that were written
	owners  map[uint64]string // who had an order done, by epoch
	wrong   []string
	loss    float64
	verdict []Kind // by stage
	once    bool   // a fault shows once only
	shown   bool
	turned  bool // taking back has begun
	lineage bool // one coordinator at a time
	mutated mutation
	all     []*coordinator
}

func (w *world) after(d time.Duration, f func()) {
	w.n++
	heap.Push(&w.agenda, at{w.now + d, w.n, f})
}

func (w *world) bad(format string, args ...any) {
	w.wrong = append(w.wrong, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) late() time.Duration {
	d := time.Duration(w.rng.IntN(20)) * time.Millisecond
	if w.rng.Float64() < w.loss/2 {
		d += time.Duration(w.rng.IntN(9000)) * time.Millisecond
	}
	return d
}
func (w *world) lost() bool { return w.rng.Float64() < w.loss }

// reach has a member take a message; one that is away never does.
func (w *world) reach(m *modelMember, f func()) {
	if w.lost() {
		return
	}
	w.after(w.late(), func() {
		switch {
		case m.paused:
			m.inbox = append(m.inbox, f)
		case m.up:
			f()
		}
	})
}

// neighbours checks that what all members run is of two neighbouring generations.
func (w *world) neighbours() {
	for p := 1; p < len(w.plan.Members[0].Gens); p++ {
		if !slices.ContainsFunc(w.members, func(m *modelMember) bool {
			g := w.plan.Members[m.i].Gens
			return m.runs != g[p-1] && m.runs != g[p]
		}) {
			return
		}
	}
	var runs []string
	for _, m := range w.members {
		runs = append(runs, m.runs)
	}
	w.bad("generations apart: %v", runs)
}

func (m *modelMember) order(w *world, o Order, answer func(Answer, error)) {
	if m.token != "" {
		answer(Ungranted, nil)
		return
	}
	if w.mutated != noEpoch && (o.Epoch != m.epoch || o.Owner != m.owner) {
		if o.Epoch > m.epoch {
			answer(Ungranted, nil)
		} else {
			answer(Stale, nil)
		}
		return
	}
	told := func() {
		if m.outcome != nil {
			answer(Failed, m.outcome)
		} else {
			answer(OK, nil)
		}
	}
	if o.ID == m.last {
		told()
		return
	}
	if m.executing {
		m.busy = append(m.busy, func() { m.order(w, o, answer) })
		return
	}
	m.executing, m.doing = true, o.ID
	if m.did[o.ID]++; m.did[o.ID] > 1 {
		w.bad("member %d has done %s %d times", m.i, o.ID, m.did[o.ID])
	}
	if !w.ordered[o.ID] && w.mutated != noWrite {
		w.bad("order %s was not written before", o.ID)
	}
	if was, ok := w.owners[o.Epoch]; ok && was != o.Owner {
		w.bad("epoch %d has two owners that act", o.Epoch)
	}
	w.owners[o.Epoch] = o.Owner
	if o.Epoch < m.doneEpoch {
		w.bad("member %d did an order of epoch %d after one of %d", m.i, o.Epoch, m.doneEpoch)
	}
	m.doneEpoch = o.Epoch
	n := 0
	for _, x := range w.members {
		// One that was given up and told may wake with its order at any time.
		if x.executing && !slices.ContainsFunc(w.all, func(c *coordinator) bool { return c.r.m[x.i].left }) {
			n++
		}
	}
	if w.lineage && n > w.plan.AtOnce {
		w.bad("%d at once", n)
	}
	w.after(time.Duration(50+w.rng.IntN(1500))*time.Millisecond, func() {
		m.executing, m.doing = false, ""
		m.last, m.outcome = o.ID, nil
		if want := w.plan.Members[m.i].Gens[o.Gen]; m.bad[want] && !o.Restart {
			m.outcome = errors.New("it does not start")
		} else if !o.Restart && m.up {
			m.runs = want
			w.neighbours()
		}
		told()
		if len(m.busy) > 0 {
			next := m.busy[0]
			m.busy = m.busy[1:]
			next()
		}
	})
}

func (w *world) start(journal *[]Entry, takeBack bool, dieAt int) *coordinator {
	name := fmt.Sprintf("c%d", len(w.all))
	rng := rand.New(rand.NewPCG(w.rng.Uint64(), 1))
	var r *Rollout
	var err error
	if len(*journal) > 0 {
		r, err = Resume(w.plan, name, rng, *journal, takeBack)
	} else {
		r, err = New(w.plan, name, rng)
	}
	if err != nil {
		if !strings.Contains(err.Error(), "is over") {
			w.bad("%v", err)
		}
		return nil
	}
	c := &coordinator{w: w, r: r, journal: journal, name: name, alive: true, dieAt: dieAt, dieLate: w.rng.IntN(2) == 0, memory: map[int]string{}}
	w.all = append(w.all, c)
	c.run()
	return c
}

// disturb has members pause, end and come back for a while.
func (w *world) disturb(until time.Duration) {
	if w.now > until {
		return
	}
	m := w.members[w.rng.IntN(len(w.members))]
	long := time.Duration(w.rng.IntN(8000)) * time.Millisecond
	if w.rng.IntN(12) == 0 {
		long *= 8
	}
	switch {
	case !m.up || m.paused:
	case w.rng.IntN(2) == 0:
		m.paused = true
		w.after(long, func() {
			m.paused = false
			all := m.inbox
			m.inbox = nil
			for _, f := range all {
				f()
			}
		})
	default:
		m.up, m.busy = false, nil // what it was at ends with it
		if g := w.plan.Members[m.i].Gens; len(g) == 2 && w.rng.IntN(4) == 0 {
			m.runs, m.forgot = g[0], w.now // its keeper knows of no other
		}
		if w.rng.IntN(6) == 0 {
			m.epoch, m.owner, m.last, m.token = 0, "", "", fmt.Sprint("t", w.n)
			clear(m.did) // it can't know
		}
		w.after(long, func() { m.up = true })
	}
	w.after(time.Duration(w.rng.IntN(6000))*time.Millisecond, func() { w.disturb(until) })
}

// drawFaults draws what gets lost, what is judged, which members fail with what, and what befalls them.
func (w *world) drawFaults(phases int) {
	rng, n := w.rng, len(w.members)
	switch rng.IntN(4) {
	case 0:
		w.loss = 0.02
	case 1:
		w.loss = 0.15
	}
	switch rng.IntN(6) {
	case 0:
		w.verdict = []Kind{Pass, Worse}
	case 1:
		w.verdict = []Kind{Pass, NoEvidence, Wait}
	default:
		w.verdict = []Kind{Pass}
	}
	if rng.IntN(4) == 0 {
		w.members[rng.IntN(n)].bad[fmt.Sprint("g", 1+rng.IntN(phases))] = true
	}
	if rng.IntN(8) == 0 {
		w.members[rng.IntN(n)].bad["g0"] = true
	}
	if rng.IntN(2) == 0 {
		w.disturb(60 * time.Second)
	}
	w.once = rng.IntN(2) == 0
}

// play plays one seed to its end.
func play(seed uint64, mutated mutation) (*world, *coordinator) {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &world{rng: rng, ordered: map[string]bool{}, owners: map[uint64]string{}, mutated: mutated, lineage: true}
	n, phases := 1+rng.IntN(9), 1+rng.IntN(3)
	w.plan = Plan{
		AtOnce: 1 + rng.IntN(3), Bake: 2 * time.Second, BakeMost: 20 * time.Second, Away: 12 * time.Second, Controls: rng.IntN(2) == 0,
		Stages: DefaultStages(),
	}
	for i := range n {
		m := Member{Name: fmt.Sprint("m", i), Region: fmt.Sprint("r", i%3), Zone: fmt.Sprint("z", i%2)}
		for g := range phases + 1 {
			m.Gens = append(m.Gens, fmt.Sprint("g", g))
		}
		if phases > 1 && rng.IntN(3) == 0 {
			m.Gens[1] = m.Gens[0] // a region that this phase leaves alone
		}
		w.plan.Members = append(w.plan.Members, m)
		w.members = append(w.members, &modelMember{i: i, runs: m.Gens[0], up: true, bad: map[string]bool{}, did: map[string]int{}})
	}
	w.drawFaults(phases)
	journal := new([]Entry)
	dieAt := 0
	if rng.IntN(2) == 0 {
		dieAt = 1 + rng.IntN(30)
	}
	last := w.start(journal, false, dieAt)
	if rng.IntN(5) == 0 { // another beside it, with a journal of its own: one has one lock
		w.lineage = false
		w.after(time.Duration(rng.IntN(30000))*time.Millisecond, func() {
			w.start(new([]Entry), false, 0)
		})
	}
	for lives := 0; ; {
		for len(w.agenda) > 0 && w.now < 2*time.Hour {
			e := heap.Pop(&w.agenda).(at)
			w.now = e.t
			e.f()
			if len(w.wrong) > 0 {
				return w, last
			}
		}
		if w.now >= 2*time.Hour {
			w.bad("it has not ended: %s, %s", last.r.State(), last.r.Why())
			return w, last
		}
		last = w.all[len(w.all)-1]
		for _, c := range w.all { // whoever has the newest epoch decides in the end
			if c.r.epoch > last.r.epoch {
				last = c
			}
		}
		if last.over != nil || lives == 6 {
			return w, last
		}
		lives++
		at := 0
		if rng.IntN(3) == 0 && lives < 5 {
			at = 1 + rng.IntN(12)
		}
		if c := w.start(last.journal, rng.IntN(4) == 0, at); c == nil { // it ended right after it had written so
			e := (*last.journal)[len(*last.journal)-1]
			last.over = &End{Result(e.Outcome), e.Why}
			return w, last
		}
	}
}

// final checks what a whole play has come to.
func (w *world) final(c *coordinator) {
	if len(w.wrong) > 0 || c.over == nil {
		return
	}
	gen := -1
	switch c.over.Result {
	case Done:
		gen = len(w.plan.Members[0].Gens) - 1
	case TakenBack:
		gen = 0
	}
	if c.over.Result == Done && w.turned && w.lineage {
		w.bad("done, though it was being taken back")
	}
	for _, m := range w.members {
		if m.forgot > 0 && m.forgot > c.ended-3*time.Second {
			continue // nobody could see it any more
		}
		if gen >= 0 && m.runs != w.plan.Members[m.i].Gens[gen] && m.up {
			w.bad("%s, and member %d runs %s", c.over.Result, m.i, m.runs)
		}
	}
}
