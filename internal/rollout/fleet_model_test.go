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

type scheduledEvent struct {
	at     time.Duration
	number int
	run    func()
}
type eventQueue []scheduledEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].number < a[j].number
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(v any)   { *a = append(*a, v.(scheduledEvent)) }
func (a *eventQueue) Pop() any     { v := (*a)[len(*a)-1]; *a = (*a)[:len(*a)-1]; return v }

type mutation int

const (
	noMutation mutation = iota
	withoutEpochCheck
	withoutWrite
	trustOwnMemory
)

type modelMember struct {
	index          int
	version        string
	epoch          uint64
	owner          string
	lastCommand    string
	outcome        error
	isServing      bool
	isPaused       bool
	inbox          []func()
	waiting        []func() // orders wait for the one that is done now
	running        string
	isExecuting    bool
	brokenVersions map[string]bool // what it can't come to run
	executions     map[string]int
	lastEpoch      uint64
	revertedAt     time.Duration // when it fell back
	lossToken      string        // its book is lost
}

type fleetModel struct {
	rng               *rand.Rand
	now               time.Duration
	queue             eventQueue
	scheduledCount    int
	plan              Plan
	members           []*modelMember
	writtenCommands   map[string]bool   // ids that were written
	ownerByEpoch      map[uint64]string // who had an order done, by epoch
	violations        []string
	lossRate          float64
	verdicts          []Verdict // by stage
	showsFaultOnce    bool      // a fault shows once only
	faultShown        bool
	isRollbackSeen    bool // taking back has begun
	hasOneCoordinator bool // one coordinator at a time
	mutation          mutation
	coordinators      []*coordinator
}

func (w *fleetModel) after(d time.Duration, f func()) {
	w.scheduledCount++
	heap.Push(&w.queue, scheduledEvent{w.now + d, w.scheduledCount, f})
}

func (w *fleetModel) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *fleetModel) delay() time.Duration {
	d := time.Duration(w.rng.IntN(20)) * time.Millisecond
	if w.rng.Float64() < w.lossRate/2 {
		d += time.Duration(w.rng.IntN(9000)) * time.Millisecond
	}
	return d
}
func (w *fleetModel) isMessageLost() bool { return w.rng.Float64() < w.lossRate }

// deliver has a member take a message; one that is away never does.
func (w *fleetModel) deliver(m *modelMember, f func()) {
	if w.isMessageLost() {
		return
	}
	w.after(w.delay(), func() {
		switch {
		case m.isPaused:
			m.inbox = append(m.inbox, f)
		case m.isServing:
			f()
		}
	})
}

// checkNeighbouringGenerations checks that what all members run is of two neighbouring generations.
func (w *fleetModel) checkNeighbouringGenerations() {
	for p := 1; p < len(w.plan.Members[0].Versions); p++ {
		if !slices.ContainsFunc(w.members, func(m *modelMember) bool {
			g := w.plan.Members[m.index].Versions
			return m.version != g[p-1] && m.version != g[p]
		}) {
			return
		}
	}
	var runs []string
	for _, m := range w.members {
		runs = append(runs, m.version)
	}
	w.violate("generations apart: %v", runs)
}

func (m *modelMember) execute(w *fleetModel, o Command, answer func(Reply, error)) {
	if m.lossToken != "" {
		answer(ReplyUngranted, nil)
		return
	}
	if w.mutation != withoutEpochCheck && (o.Epoch != m.epoch || o.Owner != m.owner) {
		if o.Epoch > m.epoch {
			answer(ReplyUngranted, nil)
		} else {
			answer(ReplyStale, nil)
		}
		return
	}
	answerOutcome := func() {
		if m.outcome != nil {
			answer(ReplyFailed, m.outcome)
		} else {
			answer(ReplyOK, nil)
		}
	}
	if o.ID == m.lastCommand {
		answerOutcome()
		return
	}
	if m.isExecuting {
		m.waiting = append(m.waiting, func() { m.execute(w, o, answer) })
		return
	}
	m.isExecuting, m.running = true, o.ID
	if m.executions[o.ID]++; m.executions[o.ID] > 1 {
		w.violate("member %d has done %s %d times", m.index, o.ID, m.executions[o.ID])
	}
	if !w.writtenCommands[o.ID] && w.mutation != withoutWrite {
		w.violate("order %s was not written before", o.ID)
	}
	if was, ok := w.ownerByEpoch[o.Epoch]; ok && was != o.Owner {
		w.violate("epoch %d has two owners that act", o.Epoch)
	}
	w.ownerByEpoch[o.Epoch] = o.Owner
	if o.Epoch < m.lastEpoch {
		w.violate("member %d did an order of epoch %d after one of %d", m.index, o.Epoch, m.lastEpoch)
	}
	m.lastEpoch = o.Epoch
	n := 0
	for _, x := range w.members {
		// One that was given up and told may wake with its order at any time.
		if x.isExecuting && !slices.ContainsFunc(w.coordinators, func(c *coordinator) bool { return c.rollout.members[x.index].isAbandoned }) {
			n++
		}
	}
	if w.hasOneCoordinator && n > w.plan.MaxUnavailable {
		w.violate("%d at once", n)
	}
	w.after(time.Duration(50+w.rng.IntN(1500))*time.Millisecond, func() {
		m.isExecuting, m.running = false, ""
		m.lastCommand, m.outcome = o.ID, nil
		if want := w.plan.Members[m.index].Versions[o.Generation]; m.brokenVersions[want] && !o.IsRestart {
			m.outcome = errors.New("it does not start")
		} else if !o.IsRestart && m.isServing {
			m.version = want
			w.checkNeighbouringGenerations()
		}
		answerOutcome()
		if len(m.waiting) > 0 {
			next := m.waiting[0]
			m.waiting = m.waiting[1:]
			next()
		}
	})
}

func (w *fleetModel) startCoordinator(journal *[]Entry, takeBack bool, dieAt int) *coordinator {
	name := fmt.Sprintf("c%d", len(w.coordinators))
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
			w.violate("%v", err)
		}
		return nil
	}
	c := &coordinator{model: w, rollout: r, log: journal, name: name, isAlive: true, crashAtWrite: dieAt, crashAfterWrite: w.rng.IntN(2) == 0, rememberedVersions: map[int]string{}}
	w.coordinators = append(w.coordinators, c)
	c.poll()
	return c
}

// disturb has members pause, end and come back for a while.
func (w *fleetModel) disturb(until time.Duration) {
	if w.now > until {
		return
	}
	m := w.members[w.rng.IntN(len(w.members))]
	long := time.Duration(w.rng.IntN(8000)) * time.Millisecond
	if w.rng.IntN(12) == 0 {
		long *= 8
	}
	switch {
	case !m.isServing || m.isPaused:
	case w.rng.IntN(2) == 0:
		m.isPaused = true
		w.after(long, func() {
			m.isPaused = false
			all := m.inbox
			m.inbox = nil
			for _, f := range all {
				f()
			}
		})
	default:
		m.isServing, m.waiting = false, nil // what it was at ends with it
		if g := w.plan.Members[m.index].Versions; len(g) == 2 && w.rng.IntN(4) == 0 {
			m.version, m.revertedAt = g[0], w.now // its keeper knows of no other
		}
		if w.rng.IntN(6) == 0 {
			m.epoch, m.owner, m.lastCommand, m.lossToken = 0, "", "", fmt.Sprint("t", w.scheduledCount)
			clear(m.executions) // it can't know
		}
		w.after(long, func() { m.isServing = true })
	}
	w.after(time.Duration(w.rng.IntN(6000))*time.Millisecond, func() { w.disturb(until) })
}

// drawFaults draws what gets lost, what is judged, which members fail with what, and what befalls them.
func (w *fleetModel) drawFaults(phases int) {
	rng, n := w.rng, len(w.members)
	switch rng.IntN(4) {
	case 0:
		w.lossRate = 0.02
	case 1:
		w.lossRate = 0.15
	}
	switch rng.IntN(6) {
	case 0:
		w.verdicts = []Verdict{VerdictPass, VerdictWorse}
	case 1:
		w.verdicts = []Verdict{VerdictPass, VerdictNoEvidence, VerdictWait}
	default:
		w.verdicts = []Verdict{VerdictPass}
	}
	if rng.IntN(4) == 0 {
		w.members[rng.IntN(n)].brokenVersions[fmt.Sprint("g", 1+rng.IntN(phases))] = true
	}
	if rng.IntN(8) == 0 {
		w.members[rng.IntN(n)].brokenVersions["g0"] = true
	}
	if rng.IntN(2) == 0 {
		w.disturb(60 * time.Second)
	}
	w.showsFaultOnce = rng.IntN(2) == 0
}

// runSeed plays one seed to its end.
func runSeed(seed uint64, mutated mutation) (*fleetModel, *coordinator) {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &fleetModel{rng: rng, writtenCommands: map[string]bool{}, ownerByEpoch: map[uint64]string{}, mutation: mutated, hasOneCoordinator: true}
	n, phases := 1+rng.IntN(9), 1+rng.IntN(3)
	w.plan = Plan{
		MaxUnavailable: 1 + rng.IntN(3), MinBake: 2 * time.Second, MaxBake: 20 * time.Second, MemberTimeout: 12 * time.Second, HasControls: rng.IntN(2) == 0,
		Stages: DefaultStages(),
	}
	for i := range n {
		m := Member{Name: fmt.Sprint("m", i), Region: fmt.Sprint("r", i%3), Zone: fmt.Sprint("z", i%2)}
		for g := range phases + 1 {
			m.Versions = append(m.Versions, fmt.Sprint("g", g))
		}
		if phases > 1 && rng.IntN(3) == 0 {
			m.Versions[1] = m.Versions[0] // a region that this phase leaves alone
		}
		w.plan.Members = append(w.plan.Members, m)
		w.members = append(w.members, &modelMember{index: i, version: m.Versions[0], isServing: true, brokenVersions: map[string]bool{}, executions: map[string]int{}})
	}
	w.drawFaults(phases)
	journal := new([]Entry)
	dieAt := 0
	if rng.IntN(2) == 0 {
		dieAt = 1 + rng.IntN(30)
	}
	last := w.startCoordinator(journal, false, dieAt)
	if rng.IntN(5) == 0 { // another beside it, with a journal of its own: one has one lock
		w.hasOneCoordinator = false
		w.after(time.Duration(rng.IntN(30000))*time.Millisecond, func() {
			w.startCoordinator(new([]Entry), false, 0)
		})
	}
	for lives := 0; ; {
		for len(w.queue) > 0 && w.now < 2*time.Hour {
			e := heap.Pop(&w.queue).(scheduledEvent)
			w.now = e.at
			e.run()
			if len(w.violations) > 0 {
				return w, last
			}
		}
		if w.now >= 2*time.Hour {
			w.violate("it has not ended: %s, %s", last.rollout.State(), last.rollout.Reason())
			return w, last
		}
		last = w.coordinators[len(w.coordinators)-1]
		for _, c := range w.coordinators { // whoever has the newest epoch decides in the end
			if c.rollout.epoch > last.rollout.epoch {
				last = c
			}
		}
		if last.end != nil || lives == 6 {
			return w, last
		}
		lives++
		at := 0
		if rng.IntN(3) == 0 && lives < 5 {
			at = 1 + rng.IntN(12)
		}
		if c := w.startCoordinator(last.log, rng.IntN(4) == 0, at); c == nil { // it ended right after it had written so
			e := (*last.log)[len(*last.log)-1]
			last.end = &End{Result(e.Outcome), e.Reason}
			return w, last
		}
	}
}

// checkEnd checks what a whole play has come to.
func (w *fleetModel) checkEnd(c *coordinator) {
	if len(w.violations) > 0 || c.end == nil {
		return
	}
	gen := -1
	switch c.end.Result {
	case ResultDone:
		gen = len(w.plan.Members[0].Versions) - 1
	case ResultRolledBack:
		gen = 0
	}
	if c.end.Result == ResultDone && w.isRollbackSeen && w.hasOneCoordinator {
		w.violate("done, though it was being taken back")
	}
	for _, m := range w.members {
		if m.revertedAt > 0 && m.revertedAt > c.endedAt-3*time.Second {
			continue // nobody could see it any more
		}
		if gen >= 0 && m.version != w.plan.Members[m.index].Versions[gen] && m.isServing {
			w.violate("%s, and member %d runs %s", c.end.Result, m.index, m.version)
		}
	}
}
