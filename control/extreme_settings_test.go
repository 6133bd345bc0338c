package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// extremeSettings draws settings of any kind: few classes or many, of any idempotency, with short and long deadlines,
// plans with each kind of quota, with and without a meter, warmup time and attempt limit.
func extremeSettings(rng *rand.Rand) Settings {
	some := func(of ...float64) float64 { return of[rng.IntN(len(of))] }
	settings := Settings{
		GroupSize: []int{1, 2, 7, 300}[rng.IntN(4)], Zone: []string{"", "z1"}[rng.IntN(2)], MaxAttempts: rng.IntN(4),
		WarmupTime: durationOf(some(0, 2, 10)), InitialCapacity: some(0, 0.2, 1), OverloadWindow: durationOf(some(0, 1)), OverloadMultiple: some(0, 2),
		MeterPeriod: durationOf(some(0, 0.1, 1)), UnitsInResponse: rng.IntN(2) == 0, ListOnRequest: rng.IntN(2) == 0,
		RetriesAreMarked: rng.IntN(2) == 0, MaxRetryAfter: durationOf(some(0, 1)), MaxUnits: some(0, 4),
	}
	settings.SelfIndex = rng.IntN(settings.GroupSize)
	for i := range 1 + rng.IntN(3) {
		deadline := durationOf(some(0.02, 0.1, 0.4, 3, 20))
		settings.Classes = append(settings.Classes, Class{
			Name: fmt.Sprint("c", i), LatencyObjective: durationOf(deadline.Seconds() * some(0.1, 0.5, 1, 2)),
			Deadline: deadline, Idempotency: Idempotency(rng.IntN(3)), KeyScope: KeyScope(rng.IntN(3)), PriorityWeight: some(0, 1, 9),
			RepeatWindow: durationOf(some(0, 0.1, 30)), IsStreaming: rng.IntN(4) == 0,
		})
	}
	for i := range 1 + rng.IntN(3) {
		plan := Plan{Name: fmt.Sprint("p", i), Price: some(0, 1, 2), QuotaRate: some(0, 0.5, 40), QuotaBurst: some(0, 1, 40), MaxInFlight: rng.IntN(4)}
		if rng.IntN(2) == 0 {
			plan.HardLimitRate, plan.HardLimitBurst, plan.HardLimitSlack = some(1, 50), some(4, 60), some(0, 4)
		}
		settings.Plans = append(settings.Plans, plan)
	}
	return settings
}

// strayEvent is an event that refers to nothing known, or comes twice or too late.
func (w *world) strayEvent() Event {
	id := fmt.Sprint("r", w.rng.IntN(w.lastID+2))
	for _, attempt := range w.inFlight { // not of what is out, which has its own end
		if attempt.id == id {
			return ClientGone{ID: "unknown"}
		}
	}
	n, srv := w.rng.IntN(4), uint32(w.rng.IntN(12))
	switch w.rng.IntN(7) {
	case 0:
		return AttemptResult{ID: id, Attempt: n, Server: srv, Reason: OK, IsFinal: true, QuotaUsage: w.rng.IntN(300), ActualUnits: 2}
	case 1:
		return ResponseStarted{ID: id, Attempt: n, Server: srv}
	case 2:
		return TimerFired{Label: uint64(1000000 + w.rng.IntN(9))}
	case 3:
		return AttemptResult{ID: id, Attempt: -1, Server: srv, Reason: NotSent, Load: &LoadReport{InFlight: -1, Queued: -1, Utilization: -1, MeanLatencyMS: -1}}
	case 4: // all are gone at once
		event := EndpointList{Kind: ListPatch}
		for id := range w.members {
			w.isInactive[id] = true
		}
		for id := uint32(1); id <= 8; id++ {
			event.Endpoints = append(event.Endpoints, Endpoint{Server: id, State: Gone})
		}
		return event
	case 5: // one twice, and nothing else
		event := EndpointList{Kind: ListComplete}
		for id := range w.members {
			w.isInactive[id] = id != 3
		}
		endpoint := Endpoint{Server: 3, Zone: "z2", Cell: 1, HasStartedAt: true, StartedAt: w.now + time.Second}
		w.members[3] = &endpoint
		event.Endpoints = []Endpoint{endpoint, endpoint}
		return event
	}
	return ClientGone{ID: "unknown"}
}

// arriveAny is a request of any kind, or one with the ID of another that has no final answer.
func (w *world) arriveAny() {
	class, plan := w.settings.Classes[w.rng.IntN(len(w.settings.Classes))], w.settings.Plans[w.rng.IntN(len(w.settings.Plans))]
	w.lastID++
	id := fmt.Sprint("r", w.lastID)
	request := &openRequest{
		class: class, plan: plan.Name, customer: fmt.Sprint("k", w.rng.IntN(5)), units: []float64{0, 0.1, 1, 4}[w.rng.IntN(4)],
		end: w.now + 1 + time.Duration(w.rng.Float64()*float64(class.Deadline)),
	}
	event := Request{
		ID: id, Class: class.Name, Plan: plan.Name, Customer: request.customer, Timeout: request.end - w.now, Units: request.units,
		FanOut: 1 + w.rng.IntN(w.settings.GroupSize), IsRetry: w.rng.IntN(5) == 0, HasPendingBody: w.rng.IntN(10) == 0,
		IsOverCapacity: w.rng.IntN(30) == 0, IsOverHardLimit: w.rng.IntN(30) == 0,
	}
	w.requests[id] = request
	w.handle(event)
	if w.rng.IntN(20) == 0 && w.requests[id] != nil {
		w.handle(event) // again, while it is held
	}
}

// stepAny is one step of such events.
func (w *world) stepAny(withArrivals bool) {
	w.now += time.Duration(w.rng.IntN(10)) * ms
	if w.rng.IntN(400) == 0 { // the gateway stood still
		w.now += time.Duration(w.rng.IntN(3000)) * ms
	}
	w.fireTimers()
	for i := 0; i < len(w.inFlight); i++ {
		if attempt := w.inFlight[i]; w.now >= attempt.timesOutAt {
			w.outcome(i)
			i = -1
		} else if request := w.requests[attempt.id]; request != nil && w.rng.IntN(60) == 0 {
			w.handle(ResponseStarted{ID: attempt.id, Attempt: attempt.number, Server: attempt.server, Delay: w.now - attempt.sentAt})
		}
	}
	switch k := w.rng.IntN(100); {
	case k < 40 && withArrivals:
		w.arriveAny()
	case k < 80 && len(w.inFlight) > 0:
		w.outcome(w.rng.IntN(len(w.inFlight)))
	case k < 84 && withArrivals:
		w.handle(w.list())
	case k < 90:
		w.handle(w.strayEvent())
	case k < 93 && w.lastID > 0:
		if id := fmt.Sprint("r", 1+w.rng.IntN(w.lastID)); w.requests[id] != nil {
			delete(w.requests, id)
			w.handle(ClientGone{ID: id})
		}
	}
	w.checkDeadlines()
}

// Whatever the settings are, and whatever comes twice, too late or with unknown references, each request has one
// final answer in time, and once all have one no state of them is left: no slot, no queue entry and no reserved
// units.
func TestExtremeSettingsAndStrayEventsLeaveNoState(t *testing.T) {
	for seed := uint64(1); seed <= 300; seed++ {
		rng := rand.New(rand.NewPCG(seed, 2))
		w := &world{
			t: t, rng: rng, settings: extremeSettings(rng), now: time.Hour, members: map[uint32]*Endpoint{}, isInactive: map[uint32]bool{},
			requests: map[string]*openRequest{},
		}
		w.settings.CanCancel, w.settings.HealthChecks = false, false
		var err error
		if w.controller, err = New(w.settings, seed); err != nil {
			t.Fatal(err)
		}
		if w.settings.MaxAttempts == 0 { // no limit; world holds to one
			w.settings.MaxAttempts = math.MaxInt
		}
		for range 600 {
			w.stepAny(true)
		}
		for range 20000 {
			if w.stepAny(false); len(w.inFlight)+len(w.requests) == 0 {
				break
			}
		}
		controller := w.controller
		if len(w.inFlight)+len(w.requests) != 0 {
			t.Fatalf("seed %d: %d attempts and %d requests have not ended", seed, len(w.inFlight), len(w.requests))
		}
		requests := &controller.requests
		if n := len(requests.byID) + len(requests.byTimer) + len(requests.attempts); n != 0 {
			t.Fatalf("seed %d: %d requests, %d labels, %d attempts are left",
				seed, len(requests.byID), len(requests.byTimer), len(requests.attempts))
		}
		if requests.slots.inFlight != 0 || requests.slots.streaming != 0 {
			t.Fatalf("seed %d: %d slots, %d streams are left", seed, requests.slots.inFlight, requests.slots.streaming)
		}
		for _, plan := range controller.scheduler.plans {
			if len(plan.queue) > 0 {
				t.Fatalf("seed %d: %d wait in the queue of %s", seed, len(plan.queue), plan.Name)
			}
		}
		for key, account := range controller.accounts.byKey {
			if !account.isIdle() || math.IsNaN(account.quota.tokens+account.hardLimit.tokens+account.inFlight.rejectionProbability+account.inFlight.limit) {
				t.Fatalf("seed %d: customer %s has %d open, %g queued, %g and %g left", seed, key, account.inFlight.current, account.queuedUnits, account.quota.tokens, account.hardLimit.tokens)
			}
		}
		for _, srv := range controller.fleet.sortedServers {
			if srv.inFlight != 0 || srv.abandoned < 0 {
				t.Fatalf("seed %d: server %d has %d in flight, %d abandoned", seed, srv.Server, srv.inFlight, srv.abandoned)
			}
		}
		if math.IsNaN(controller.limiter.limit+controller.fleet.latency.mean+controller.retries.budget.retries) || controller.limiter.limit < 0 {
			t.Fatalf("seed %d: a limit of %g, latency %g", seed, controller.limiter.limit, controller.fleet.latency.mean)
		}
	}
}
