package fleetsim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lockflow/control"
)

// This file simulates nodes: their starts and ends, the endpoint lists that they receive, and their decisions.

func (w *world) settings(instance int) control.Settings {
	s := control.Settings{
		SelfIndex: instance % w.options.GroupSize, GroupSize: w.options.GroupSize, MaxAttempts: 6, MaxRetryAfter: time.Second, CanCancel: true, RetriesAreMarked: true,
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

// start starts or restarts a node and delivers the current endpoint list to it.
func (w *world) start(instance int) {
	n := w.nodes[instance]
	n.settings, n.grantsFullHardLimit = w.settings(instance), false
	if m := w.options.Mutation; m.settings != nil {
		m.settings(w, n)
	}
	c, err := control.New(n.settings, w.options.Seed*1_000_003+uint64(instance)*1009+uint64(n.incarnation))
	if err != nil {
		panic(fmt.Sprintf("invalid settings of a simulated day: %v", err)) // the settings are constants, so an error is a fault of this package
	}
	n.controller = c
	n.down = false
	n.closing = false
	n.inFlight = map[string]*clientRequest{}
	n.knownIncarnations = map[uint32]int{}
	n.watchSilentUntil = 0
	n.rejectedInRow = 0
	n.incarnation++
	var endpoints []listedEndpoint
	for _, host := range w.hosts {
		endpoint := w.endpointOf(host)
		if host.bootedAt > w.Now()-startListingDelay && host.bootedAt >= 0 {
			continue // the endpoint list does not contain it yet
		}
		n.knownIncarnations[host.id] = host.incarnation
		if !endpoint.isUp {
			w.checker.Notified(w.Now(), instance, host.id, false)
		}
		if host.state != hostGone {
			endpoints = append(endpoints, endpoint)
		}
	}
	w.sendList(instance, control.ListComplete, endpoints)
}

func (w *world) sendList(instance int, kind control.ListKind, endpoints []listedEndpoint) {
	if filter := w.options.Mutation.filterList; filter != nil {
		endpoints = filter(w, slices.Clone(endpoints))
	}
	list := control.EndpointList{Kind: kind}
	for _, endpoint := range endpoints {
		list.Endpoints = append(list.Endpoints, endpoint.Endpoint)
	}
	w.deliver(instance, list)
}

// kill ends a node without warning. Clients of its requests in flight may retry.
func (w *world) kill(instance int) { w.endNode(instance, false) }

func (w *world) endNode(instance int, isGraceful bool) {
	n := w.nodes[instance]
	if n.down {
		return
	}
	w.checker.NodeEnded(w.Now(), instance, isGraceful)
	n.down = true
	n.incarnation++
	for _, id := range slices.Sorted(maps.Keys(n.inFlight)) {
		w.retryLater(n.inFlight[id].call, w.script.retriesImmediately)
	}
	n.inFlight = nil
}

// terminate performs a planned restart of a node. Requests continue to arrive for 300 ms; those still in flight at the
// end of the grace period fail.
func (w *world) terminate(instance int) {
	n := w.nodes[instance]
	initialIncarnation, grace := n.incarnation, termGrace
	dropsRequests := w.options.Mutation.dropsInFlight
	if dropsRequests {
		grace = 0
	}
	w.After(300*time.Millisecond, func() { n.closing = n.closing || n.incarnation == initialIncarnation })
	w.After(grace, func() {
		if n.incarnation != initialIncarnation {
			return
		}
		if !dropsRequests {
			for _, id := range slices.Sorted(maps.Keys(n.inFlight)) {
				w.finish(instance, id, "failed")
			}
		}
		w.endNode(instance, true)
		w.After(500*time.Millisecond, func() { w.start(instance) })
	})
}

// deliver passes an event to a node's decision module and performs the resulting actions.
func (w *world) deliver(instance int, event control.Event) {
	n := w.nodes[instance]
	if n.down {
		return
	}
	actions := slices.Clone(n.controller.Handle(w.Now()+moduleClockOffset, event))
	if w.options.observe != nil {
		w.options.observe(w, instance, event, actions)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case control.Send:
			w.send(instance, a)
		case control.Reject:
			if request := n.inFlight[a.ID]; request != nil {
				request.rejectionCause = a.Cause
			}
			w.finish(instance, a.ID, "refused")
		case control.Fail:
			if w.options.Mutation.rejectsFailures {
				w.finish(instance, a.ID, "refused")
			} else {
				w.finish(instance, a.ID, "failed")
			}
		case control.StartTimer:
			if w.options.Mutation.dropsTimers && a.Label != 0 {
				continue
			}
			initialIncarnation := n.incarnation
			w.After(a.After, func() {
				if n.incarnation == initialIncarnation {
					w.deliver(instance, control.TimerFired{Label: a.Label})
				}
			})
		}
	}
}

// finish gives a client the final answer to a request. The outcome is "served", "refused" or "failed".
func (w *world) finish(instance int, id, outcome string) {
	request := w.nodes[instance].inFlight[id]
	if request == nil {
		return
	}
	w.checker.Answered(w.Now(), instance, id, outcome == "refused")
	if w.options.Mutation.answersTwice {
		w.checker.Answered(w.Now(), instance, id, outcome == "refused")
	}
	delete(w.nodes[instance].inFlight, id)
	switch outcome {
	case "served":
		w.script.quotas.recordServed(request)
		if c := request.call; !c.isServed {
			c.isServed = true
			if duration := w.Now() - c.arrivedAt; c.isUnderQuota && duration <= dayLatencyObjective {
				w.countWeight(c, 0, c.weight)
			} else if c.isUnderQuota && c.class == 0 {
				w.countWeight(c, 0, 0.2*c.weight)
			}
		}
	case "failed":
		if w.failedRequests++; request.call.class == 0 {
			w.retryLater(request.call, w.script.retriesImmediately)
		}
	default:
		w.countRejection(w.nodes[instance])
		w.script.quotas.recordRejection(instance, request)
		w.retryLater(request.call, w.script.retriesImmediately)
	}
}

// countRejection counts a rejection and records whether the node now counts as rejecting all requests.
func (w *world) countRejection(n *node) {
	if n.rejectedInRow == 0 {
		n.rejectingSince = w.Now()
	}
	n.rejectedInRow++
	n.hasRejectedAll = n.hasRejectedAll || n.rejectedInRow >= rejectedAllMin && w.Now()-n.rejectingSince >= rejectedAllFor
}
