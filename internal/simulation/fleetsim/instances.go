package fleetsim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lockflow/control"
)

// Nodes: their starts, ends, endpoint lists and decisions.

func (w *world) settings(i int) control.Settings {
	s := control.Settings{
		SelfIndex: i % w.options.GroupSize, GroupSize: w.options.GroupSize, MaxAttempts: 6, MaxRetryAfter: time.Second, CanCancel: true, RetriesAreMarked: true,
		DrainGrace: 2 * time.Second, WarmupTime: 15 * time.Second, InitialCapacity: 0.15, OverloadWindow: 2 * time.Second, OverloadMultiple: 2.5,
		MeterPeriod: time.Second, UnitsInResponse: true, MaxUnits: maxUnits,
		Classes: []control.Class{
			{Name: "read", LatencyObjective: dayLatencyObjective, Deadline: dayDeadline, PriorityWeight: 1, LateWeightFraction: 0.2},
			{Name: "update", LatencyObjective: dayLatencyObjective, Deadline: dayDeadline, PriorityWeight: 5, Idempotency: control.IdempotentWithKey, KeyScope: control.ScopeCell, RepeatWindow: dayRepeatWindow},
		},
		Plans: []control.Plan{
			{Name: "basic", Price: 0.8, QuotaRate: 1.5, QuotaBurst: 8, OverQuotaCost: 0.6},
			{Name: "enterprise", Price: 1.4, QuotaRate: 10, QuotaBurst: 18, OverQuotaCost: 1.2, HardLimitRate: 20, HardLimitBurst: 40, HardLimitSlack: 4},
		},
	}
	w.script.quotas.settings(&s)
	if w.script.settings != nil {
		w.script.settings(&s)
	}
	return s
}

// start starts or restarts a node, with the current endpoint list from its agent.
func (w *world) start(i int) {
	n := w.nodes[i]
	n.settings, n.grantsFullHardLimit = w.settings(i), false
	if m := w.options.Mutation; m.settings != nil {
		m.settings(w, n)
	}
	c, err := control.New(n.settings, w.options.Seed*1_000_003+uint64(i)*1009+uint64(n.incarnation))
	if err != nil {
		panic(fmt.Sprintf("the settings of a day: %v", err)) // the settings are constant
	}
	n.controller = c
	n.down = false
	n.closing = false
	n.inFlight = map[string]*clientRequest{}
	n.knownIncarnations = map[uint32]int{}
	n.watchSilentUntil = 0
	n.rejectedInRow = 0
	n.incarnation++
	var now []listed
	for _, h := range w.hosts {
		e := w.endpointOf(h)
		if h.bootedAt > w.Now()-listDelayOfStart && h.bootedAt >= 0 {
			continue // not listed yet
		}
		n.knownIncarnations[h.id] = h.incarnation
		if !e.isUp {
			w.checker.Notified(w.Now(), i, h.id, false)
		}
		if h.state != hostGone {
			now = append(now, e)
		}
	}
	w.sendList(i, control.ListComplete, now)
}

func (w *world) sendList(i int, kind control.ListKind, m []listed) {
	if hide := w.options.Mutation.list; hide != nil {
		m = hide(w, slices.Clone(m))
	}
	e := control.EndpointList{Kind: kind}
	for _, one := range m {
		e.Endpoints = append(e.Endpoints, one.Endpoint)
	}
	w.deliver(i, e)
}

// kill ends a node without warning; the clients of its requests in flight may retry.
func (w *world) kill(i int) { w.endNode(i, false) }

func (w *world) endNode(i int, owed bool) {
	n := w.nodes[i]
	if n.down {
		return
	}
	w.checker.Killed(w.Now(), i, owed)
	n.down = true
	n.incarnation++
	for _, id := range slices.Sorted(maps.Keys(n.inFlight)) {
		w.retryLater(n.inFlight[id].call, w.script.retriesImmediately)
	}
	n.inFlight = nil
}

// terminate restarts a node as planned: requests arrive for a moment still; those in flight at the end of
// the grace period fail.
func (w *world) terminate(i int) {
	n := w.nodes[i]
	life, grace := n.incarnation, termGrace
	drops := w.options.Mutation.dropsInFlight
	if drops {
		grace = 0
	}
	w.After(300*time.Millisecond, func() { n.closing = n.closing || n.incarnation == life })
	w.After(grace, func() {
		if n.incarnation != life {
			return
		}
		if !drops {
			for _, id := range slices.Sorted(maps.Keys(n.inFlight)) {
				w.finish(i, id, "failed")
			}
		}
		w.endNode(i, true)
		w.After(500*time.Millisecond, func() { w.start(i) })
	})
}

// deliver has a node's module handle an event and performs its actions.
func (w *world) deliver(i int, e control.Event) {
	n := w.nodes[i]
	if n.down {
		return
	}
	actions := slices.Clone(n.controller.Handle(w.Now()+firstUse, e))
	if w.options.observe != nil {
		w.options.observe(w, i, e, actions)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case control.Send:
			w.send(i, a)
		case control.Reject:
			if t := n.inFlight[a.ID]; t != nil {
				t.rejectionCause = a.Cause
			}
			w.finish(i, a.ID, "refused")
		case control.Fail:
			if w.options.Mutation.rejectsFailures {
				w.finish(i, a.ID, "refused")
			} else {
				w.finish(i, a.ID, "failed")
			}
		case control.StartTimer:
			if w.options.Mutation.dropsTimers && a.Label != 0 {
				continue
			}
			life := n.incarnation
			w.After(a.After, func() {
				if n.incarnation == life {
					w.deliver(i, control.TimerFired{Label: a.Label})
				}
			})
		}
	}
}

// finish gives a client its final answer: served, refused or failed.
func (w *world) finish(i int, id, how string) {
	t := w.nodes[i].inFlight[id]
	if t == nil {
		return
	}
	w.checker.Answered(w.Now(), i, id, how == "refused")
	if w.options.Mutation.answersTwice {
		w.checker.Answered(w.Now(), i, id, how == "refused")
	}
	delete(w.nodes[i].inFlight, id)
	switch how {
	case "served":
		w.script.quotas.recordServed(t)
		if c := t.call; !c.isServed {
			c.isServed = true
			if duration := w.Now() - c.arrivedAt; c.isUnderQuota && duration <= dayLatencyObjective {
				w.countWeight(c, 0, c.weight)
			} else if c.isUnderQuota && c.class == 0 {
				w.countWeight(c, 0, 0.2*c.weight)
			}
		}
	case "failed":
		if w.failedRequests++; t.call.class == 0 {
			w.retryLater(t.call, w.script.retriesImmediately)
		}
	default:
		w.countRejection(w.nodes[i])
		w.script.quotas.recordRejection(i, t)
		w.retryLater(t.call, w.script.retriesImmediately)
	}
}

// countRejection counts a rejection, and marks a node that rejects all requests.
func (w *world) countRejection(n *node) {
	if n.rejectedInRow == 0 {
		n.rejectingSince = w.Now()
	}
	n.rejectedInRow++
	n.hasRejectedAll = n.hasRejectedAll || n.rejectedInRow >= rejectedAllMin && w.Now()-n.rejectingSince >= rejectedAllFor
}
