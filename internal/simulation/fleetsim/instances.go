package fleetsim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lockflow/control"
)

// Instances: their starts, ends and lists.

func (w *world) settings(i int) control.Settings {
	s := control.Settings{
		SelfIndex: i % w.o.GroupSize, GroupSize: w.o.GroupSize, MaxAttempts: 6, MaxRetryAfter: time.Second, CanCancel: true, RetriesAreMarked: true,
		DrainGrace: 2 * time.Second, WarmupTime: 15 * time.Second, InitialCapacity: 0.15, OverloadWindow: 2 * time.Second, OverloadMultiple: 2.5,
		MeterPeriod: time.Second, UnitsInResponse: true, MaxUnits: unitsTop,
		Classes: []control.Class{
			{Name: "read", LatencyObjective: dayLatencyObjective, Deadline: dayDeadline, PriorityWeight: 1, LateWeightFraction: 0.2},
			{Name: "update", LatencyObjective: dayLatencyObjective, Deadline: dayDeadline, PriorityWeight: 5, Idempotency: control.IdempotentWithKey, KeyScope: control.ScopeCell, RepeatWindow: dayWindow},
		},
		Plans: []control.Plan{
			{Name: "basic", Price: 0.8, QuotaRate: 1.5, QuotaBurst: 8, OverQuotaCost: 0.6},
			{Name: "enterprise", Price: 1.4, QuotaRate: 10, QuotaBurst: 18, OverQuotaCost: 1.2, HardLimitRate: 20, HardLimitBurst: 40, HardLimitSlack: 4},
		},
	}
	w.plan.quotas.settings(&s)
	if w.plan.settings != nil {
		w.plan.settings(&s)
	}
	return s
}

// start has an instance begin, or begin again, with the list that it had last; its agent has the
// present one.
func (w *world) start(i int) {
	n := w.nodes[i]
	n.set, n.grantsFullHardLimit = w.settings(i), false
	if m := w.o.Mutation; m.settings != nil {
		m.settings(w, n)
	}
	c, err := control.New(n.set, w.o.Seed*1_000_003+uint64(i)*1009+uint64(n.life))
	if err != nil {
		panic(fmt.Sprintf("the settings of a day: %v", err)) // ours, and the same each time
	}
	n.c, n.down, n.closing, n.inFlight, n.knows, n.deafUntil = c, false, false, map[string]*try{}, map[uint32]int{}, 0
	n.rejectedInRow = 0
	n.life++
	var now []listed
	for _, h := range w.hosts {
		e := w.entry(h)
		if h.bootAt > w.Now()-addNotice && h.bootAt >= 0 {
			continue // nobody lists it yet
		}
		n.knows[h.id] = h.life
		if !e.up {
			w.check.Notified(w.Now(), i, h.id, false)
		}
		if h.state != hostGone {
			now = append(now, e)
		}
	}
	w.list(i, control.ListComplete, now)
}

func (w *world) list(i int, kind control.ListKind, m []listed) {
	if hide := w.o.Mutation.list; hide != nil {
		m = hide(w, slices.Clone(m))
	}
	e := control.EndpointList{Kind: kind}
	for _, one := range m {
		e.Endpoints = append(e.Endpoints, one.Endpoint)
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
	for _, id := range slices.Sorted(maps.Keys(n.inFlight)) {
		w.later(n.inFlight[id].call, w.plan.eager)
	}
	n.inFlight = nil
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
			for _, id := range slices.Sorted(maps.Keys(n.inFlight)) {
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
	actions := slices.Clone(n.c.Handle(w.Now()+firstUse, e))
	if w.o.observe != nil {
		w.o.observe(w, i, e, actions)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case control.Send:
			w.send(i, a)
		case control.Reject:
			if t := n.inFlight[a.ID]; t != nil {
				t.why = a.Cause
			}
			w.answer(i, a.ID, "refused")
		case control.Fail:
			if w.o.Mutation.allFails {
				w.answer(i, a.ID, "refused")
			} else {
				w.answer(i, a.ID, "failed")
			}
		case control.StartTimer:
			if w.o.Mutation.noTimer && a.Label != 0 {
				continue
			}
			life := n.life
			w.After(a.After, func() {
				if n.life == life {
					w.tell(i, control.TimerFired{Label: a.Label})
				}
			})
		}
	}
}

// answer gives a client its final answer.
func (w *world) answer(i int, id, how string) {
	t := w.nodes[i].inFlight[id]
	if t == nil {
		return
	}
	w.check.Answered(w.Now(), i, id, how == "refused")
	if w.o.Mutation.twoEnds {
		w.check.Answered(w.Now(), i, id, how == "refused")
	}
	delete(w.nodes[i].inFlight, id)
	switch how {
	case "served":
		w.plan.quotas.answered(t)
		if c := t.call; !c.done {
			c.done = true
			if took := w.Now() - c.at; c.inside && took <= dayLatencyObjective {
				w.count(c, 0, c.weight)
			} else if c.inside && c.class == 0 {
				w.count(c, 0, 0.2*c.weight)
			}
		}
	case "failed":
		if w.failed++; t.call.class == 0 {
			w.later(t.call, w.plan.eager)
		}
	default:
		w.rejected(w.nodes[i])
		w.plan.quotas.refused(i, t)
		w.later(t.call, w.plan.eager)
	}
}

// rejected notes that an instance has rejected a request, and marks one that rejects all that it gets.
func (w *world) rejected(n *node) {
	if n.rejectedInRow == 0 {
		n.rejectsSince = w.Now()
	}
	n.rejectedInRow++
	n.rejectedAll = n.rejectedAll || n.rejectedInRow >= rejectedAllMin && w.Now()-n.rejectsSince >= rejectedAllFor
}
