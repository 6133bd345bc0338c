package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// extremeSettings returns random settings: one to three classes of any idempotency, with short and long deadlines,
// plans with each kind of quota, with and without a meter, warmup time and attempt limit.
func extremeSettings(rng *rand.Rand) Settings {
	choose := func(of ...float64) float64 { return of[rng.IntN(len(of))] }
	settings := Settings{
		GroupSize: []int{1, 2, 7, 300}[rng.IntN(4)], Zone: []string{"", "z1"}[rng.IntN(2)], MaxAttempts: rng.IntN(4),
		WarmupTime: durationOf(choose(0, 2, 10)), InitialCapacity: choose(0, 0.2, 1), OverloadWindow: durationOf(choose(0, 1)), OverloadMultiple: choose(0, 2),
		MeterPeriod: durationOf(choose(0, 0.1, 1)), UnitsInResponse: rng.IntN(2) == 0, ListOnRequest: rng.IntN(2) == 0,
		RetriesAreMarked: rng.IntN(2) == 0, MaxRetryAfter: durationOf(choose(0, 1)), MaxUnits: choose(0, 4),
	}
	settings.SelfIndex = rng.IntN(settings.GroupSize)
	for i := range 1 + rng.IntN(3) {
		deadline := durationOf(choose(0.02, 0.1, 0.4, 3, 20))
		settings.Classes = append(settings.Classes, Class{
			Name: fmt.Sprint("c", i), LatencyObjective: durationOf(deadline.Seconds() * choose(0.1, 0.5, 1, 2)),
			Deadline: deadline, Idempotency: Idempotency(rng.IntN(3)), KeyScope: KeyScope(rng.IntN(3)), PriorityWeight: choose(0, 1, 9),
			RepeatWindow: durationOf(choose(0, 0.1, 30)), IsStreaming: rng.IntN(4) == 0,
		})
	}
	for i := range 1 + rng.IntN(3) {
		plan := Plan{Name: fmt.Sprint("p", i), Price: choose(0, 1, 2), QuotaRate: choose(0, 0.5, 40), QuotaBurst: choose(0, 1, 40), MaxInFlight: rng.IntN(4)}
		if rng.IntN(2) == 0 {
			plan.HardLimitRate, plan.HardLimitBurst, plan.HardLimitSlack = choose(1, 50), choose(4, 60), choose(0, 4)
		}
		settings.Plans = append(settings.Plans, plan)
	}
	return settings
}

// strayEvent returns an event that refers to an unknown object, is a duplicate or is late.
func (s *simulation) strayEvent() Event {
	id := fmt.Sprint("r", s.rng.IntN(s.lastID+2))
	for _, attempt := range s.inFlight { // attempts in flight are ended by endAttempt only
		if attempt.id == id {
			return ClientGone{ID: "unknown"}
		}
	}
	n, srv := s.rng.IntN(4), uint32(s.rng.IntN(12))
	switch s.rng.IntN(7) {
	case 0:
		return AttemptResult{ID: id, Attempt: n, Server: srv, Reason: OK, IsFinal: true, QuotaUsage: s.rng.IntN(300), ActualUnits: 2}
	case 1:
		return ResponseStarted{ID: id, Attempt: n, Server: srv}
	case 2:
		return TimerFired{Label: uint64(1000000 + s.rng.IntN(9))}
	case 3:
		return AttemptResult{ID: id, Attempt: -1, Server: srv, Reason: NotSent, Load: &LoadReport{InFlight: -1, Queued: -1, Utilization: -1, MeanLatencyMS: -1}}
	case 4: // all servers are gone at once
		event := EndpointList{Kind: ListPatch}
		for id := range s.endpoints {
			s.isInactive[id] = true
		}
		for id := uint32(1); id <= 8; id++ {
			event.Endpoints = append(event.Endpoints, Endpoint{Server: id, State: Gone})
		}
		return event
	case 5: // a complete list that has one server only, twice
		event := EndpointList{Kind: ListComplete}
		for id := range s.endpoints {
			s.isInactive[id] = id != 3
		}
		endpoint := Endpoint{Server: 3, Zone: "z2", Cell: 1, HasStartedAt: true, StartedAt: s.now + time.Second}
		s.endpoints[3] = &endpoint
		event.Endpoints = []Endpoint{endpoint, endpoint}
		return event
	}
	return ClientGone{ID: "unknown"}
}

// sendExtremeRequest sends a request of any kind, and sometimes a second one with the same ID.
func (s *simulation) sendExtremeRequest() {
	class, plan := s.settings.Classes[s.rng.IntN(len(s.settings.Classes))], s.settings.Plans[s.rng.IntN(len(s.settings.Plans))]
	s.lastID++
	id := fmt.Sprint("r", s.lastID)
	request := &pendingRequest{
		class: class, plan: plan.Name, customer: fmt.Sprint("k", s.rng.IntN(5)), units: []float64{0, 0.1, 1, 4}[s.rng.IntN(4)],
		deadline: s.now + 1 + time.Duration(s.rng.Float64()*float64(class.Deadline)),
	}
	event := Request{
		ID: id, Class: class.Name, Plan: plan.Name, Customer: request.customer, Timeout: request.deadline - s.now, Units: request.units,
		FanOut: 1 + s.rng.IntN(s.settings.GroupSize), IsRetry: s.rng.IntN(5) == 0, HasPendingBody: s.rng.IntN(10) == 0,
		IsOverCapacity: s.rng.IntN(30) == 0, IsOverHardLimit: s.rng.IntN(30) == 0,
	}
	s.requests[id] = request
	s.handle(event)
	if s.rng.IntN(20) == 0 && s.requests[id] != nil {
		s.handle(event) // duplicate of a request without a final answer
	}
}

// stepWithStrayEvents simulates one step with extreme requests and stray events.
func (s *simulation) stepWithStrayEvents(withArrivals bool) {
	s.now += time.Duration(s.rng.IntN(10)) * ms
	if s.rng.IntN(400) == 0 { // stall of the gateway
		s.now += time.Duration(s.rng.IntN(3000)) * ms
	}
	s.fireTimers()
	for i := 0; i < len(s.inFlight); i++ {
		if attempt := s.inFlight[i]; s.now >= attempt.timesOutAt {
			s.endAttempt(i)
			i = -1
		} else if request := s.requests[attempt.id]; request != nil && s.rng.IntN(60) == 0 {
			s.handle(ResponseStarted{ID: attempt.id, Attempt: attempt.number, Server: attempt.server, Delay: s.now - attempt.sentAt})
		}
	}
	switch k := s.rng.IntN(100); {
	case k < 40 && withArrivals:
		s.sendExtremeRequest()
	case k < 80 && len(s.inFlight) > 0:
		s.endAttempt(s.rng.IntN(len(s.inFlight)))
	case k < 84 && withArrivals:
		s.handle(s.randomEndpointList())
	case k < 90:
		s.handle(s.strayEvent())
	case k < 93 && s.lastID > 0:
		if id := fmt.Sprint("r", 1+s.rng.IntN(s.lastID)); s.requests[id] != nil {
			delete(s.requests, id)
			s.handle(ClientGone{ID: id})
		}
	}
	s.checkDeadlines()
}

// With any settings, and with duplicate, late or unknown events, each request gets one final answer in time. Once all
// requests have ended, none of their state is left: no slot, no queue entry and no reserved units.
func TestExtremeSettingsAndStrayEventsLeaveNoState(t *testing.T) {
	for seed := uint64(1); seed <= 300; seed++ {
		rng := rand.New(rand.NewPCG(seed, 2))
		s := &simulation{
			t: t, rng: rng, settings: extremeSettings(rng), now: time.Hour, endpoints: map[uint32]*Endpoint{}, isInactive: map[uint32]bool{},
			requests: map[string]*pendingRequest{},
		}
		s.settings.CanCancel, s.settings.HealthChecks = false, false
		var err error
		if s.controller, err = New(s.settings, seed); err != nil {
			t.Fatal(err)
		}
		if s.settings.MaxAttempts == 0 { // the controller has no limit, but the simulation checks one
			s.settings.MaxAttempts = math.MaxInt
		}
		for range 600 {
			s.stepWithStrayEvents(true)
		}
		for range 20000 {
			if s.stepWithStrayEvents(false); len(s.inFlight)+len(s.requests) == 0 {
				break
			}
		}
		controller := s.controller
		if len(s.inFlight)+len(s.requests) != 0 {
			t.Fatalf("seed %d: %d attempts and %d requests did not end", seed, len(s.inFlight), len(s.requests))
		}
		requests := &controller.requests
		if n := len(requests.byID) + len(requests.byTimer) + len(requests.attempts); n != 0 {
			t.Fatalf("seed %d: %d requests, %d timers and %d attempts remain",
				seed, len(requests.byID), len(requests.byTimer), len(requests.attempts))
		}
		if requests.slots.inFlight != 0 || requests.slots.streaming != 0 {
			t.Fatalf("seed %d: %d attempts in flight and %d streams remain", seed, requests.slots.inFlight, requests.slots.streaming)
		}
		for _, plan := range controller.scheduler.plans {
			if len(plan.queue) > 0 {
				t.Fatalf("seed %d: %d requests remain in the queue of plan %s", seed, len(plan.queue), plan.Name)
			}
		}
		for key, account := range controller.accounts.byKey {
			if !account.isIdle() || math.IsNaN(account.quota.tokens+account.hardLimit.tokens+account.inFlight.rejectionProbability+account.inFlight.limit) {
				t.Fatalf("seed %d: customer %s has %d attempts in flight, %g queued units, %g quota and %g hard-limit tokens", seed, key, account.inFlight.current, account.queuedUnits, account.quota.tokens, account.hardLimit.tokens)
			}
		}
		for _, srv := range controller.fleet.sortedServers {
			if srv.inFlight != 0 || srv.abandoned < 0 {
				t.Fatalf("seed %d: server %d has %d attempts in flight and %d abandoned", seed, srv.Server, srv.inFlight, srv.abandoned)
			}
		}
		if math.IsNaN(controller.limiter.limit+controller.fleet.latency.mean+controller.retries.budget.retries) || controller.limiter.limit < 0 {
			t.Fatalf("seed %d: concurrency limit is %g, fleet latency %g", seed, controller.limiter.limit, controller.fleet.latency.mean)
		}
	}
}
