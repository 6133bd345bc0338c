package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// One slow answer must not reject all later requests: with nothing in flight an attempt is started, and fast answers
// admit requests again.
func TestOneSlowAnswerDoesNotRejectAllLater(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2)...)
	gateway.request("slow", "job", "low", "")
	gateway.advance(3 * time.Second) // past the aim, within the deadline
	gateway.respond("slow", OK, 0)
	let := 0
	for i := range 40 {
		id := fmt.Sprint("r", i)
		gateway.request(id, "job", "low", "")
		if gateway.attempts[id] > 0 {
			let++
			gateway.advance(20 * ms)
			gateway.respond(id, OK, 0)
		}
		gateway.advance(200 * ms)
	}
	if let < 39 {
		t.Errorf("%d of 40 are admitted", let)
	}
}

func TestUnknownClassOrPlanIsRejectedOnce(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1)...)
	gateway.request("a", "other", "low", "x")
	gateway.request("b", "job", "other", "x")
	for _, id := range []string{"a", "b"} {
		if _, ok := gateway.finalAnswers[id].(Reject); !ok {
			t.Errorf("%s ended with %v", id, gateway.finalAnswers[id])
		}
	}
	gateway.handle(ClientGone{ID: "z"})
	gateway.handle(AttemptResult{ID: "z", Server: 9, Reason: OK})
	gateway.handle(TimerFired{Label: 999})
	gateway.handle(HealthCheckResult{Server: 77})
	gateway.handle(CounterResult{Name: 4})
	gateway.handle(PeerMessage{From: 1})
	gateway.handle(ResponseStarted{ID: "z"})
}

func TestUnmeteredCustomerMaySendItsPartOfTheBurst(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 1, 20
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)...)
	for i := 0; i < 60; i++ {
		gateway.request(fmt.Sprint(i), "job", "low", "x")
	}
	if n := len(gateway.sends); n < 8 || n > 20 {
		t.Errorf("%d of a burst of 20 over two gateways", n)
	}
}

func TestActualUnitsAreCharged(t *testing.T) {
	settings := testSettings()
	settings.UnitsInResponse = true
	gateway := newTestGateway(t, settings, activeEndpoints(1)...)
	gateway.request("a", "job", "low", "x")
	account := gateway.controller.accountFor(gateway.controller.scheduler.plans[0], "x", 2)
	before := account.quota.tokens
	gateway.handle(AttemptResult{ID: "a", Server: 1, Reason: OK, IsFinal: true, ActualUnits: 4})
	if got := before - account.quota.tokens; math.Abs(got-3) > 1e-9 {
		t.Errorf("settled %g units, guessed 1, true 4", got)
	}
}

// Guards against memory that grows with customers that come once. An account whose buckets are not full is not
// evicted, as a new one would grant its quota or hard limit again.
func TestIdleAccountsAreEvicted(t *testing.T) {
	settings := testSettings()
	settings.Plans = append(settings.Plans, Plan{Name: "slow", Price: 1, QuotaRate: 0.01, QuotaBurst: 10},
		Plan{Name: "capped", Price: 1, QuotaRate: 1000, QuotaBurst: 1000, HardLimitRate: 0.01, HardLimitBurst: 10, HardLimitSlack: 9})
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2)...)
	for i := 0; i < 100; i++ {
		for _, plan := range []string{"low", "slow", "capped"} {
			id := fmt.Sprint(plan, i)
			gateway.request(id, "job", plan, id)
			gateway.now += ms
			gateway.respond(id, OK, 0)
		}
	}
	gateway.request("stays", "job", "low", "stays")
	for range 80 {
		gateway.advance(time.Second)
		id := fmt.Sprint("on", gateway.now)
		gateway.request(id, "job", "low", "comes on")
		gateway.respond(id, OK, 0)
	}
	kept := make(map[string]int)
	for _, account := range gateway.controller.accounts.byKey {
		kept[account.plan.Name]++
	}
	if kept["low"] > 2 || kept["slow"] != 100 || kept["capped"] != 100 {
		t.Errorf("kept %v", kept)
	}
}

// An account is evicted whatever fractions of units its queued and rejected requests had.
func TestAccountsWithFractionalUnitsAreEvicted(t *testing.T) {
	gateway := newTestGateway(t, testSettings())
	for i, units := range []float64{0.1, 0.2, 0.3} {
		gateway.handle(Request{ID: fmt.Sprint(i), Class: "job", Plan: "low", Customer: "x", Timeout: 5 * time.Second, Units: units, FanOut: 2})
	}
	if gateway.advance(2 * maxAccountIdleTime); len(gateway.controller.accounts.byKey) > 0 || len(gateway.finalAnswers) != 3 {
		t.Errorf("%d customers remembered, %d requests answered", len(gateway.controller.accounts.byKey), len(gateway.finalAnswers))
	}
}

// A class of far lower priority weight leaves the lower half of the bucket to others.
func TestSheddableClassLeavesTheBucket(t *testing.T) {
	settings := testSettings()
	settings.Classes = append(settings.Classes, Class{Name: "cheap", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 0.2})
	settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 1, 10
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2)...)
	gateway.controller.accountFor(gateway.controller.scheduler.plans[0], "x", 2).quota.tokens = 4
	gateway.request("cheap", "cheap", "low", "x")
	gateway.request("dear", "job", "low", "x")
	if gateway.finalAnswers["cheap"] == nil || gateway.finalAnswers["dear"] != nil {
		t.Error("the low-priority class did not yield to the high-priority one")
	}
}

// Guards against a gateway just started that applies the rejection probability for its first 15 seconds, though each
// period is metered and the bucket is well filled.
func TestFilledBucketAdmitsFromTheFirstReadings(t *testing.T) {
	for _, tc := range []struct {
		gap, life time.Duration // between readings, and since the start
		want      bool
	}{{time.Second, 5 * time.Second, true}, {time.Second, time.Minute, true}, {4 * time.Second, 40 * time.Second, false}} {
		settings := testSettings()
		settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 2, 8
		gateway := newTestGateway(t, settings, activeEndpoints(1, 2, 3, 4)...)
		gateway.serve(tc.life, tc.gap, 151, func(i int) { // half as much again as its rate, for a while
			gateway.handle(Request{ID: fmt.Sprint(i), Class: "job", Plan: "low", Customer: "c", Timeout: 3 * time.Second, Units: 1, FanOut: 4})
		})
		if got := gateway.controller.accounts.byKey["low c"].demand.isWellMetered(gateway.controller.now, gateway.controller.accounts.fillingSince); got != tc.want {
			t.Errorf("a reading each %v for %v: covered %v", tc.gap, tc.life, got)
		}
	}
}

// Guards against first attempts being taken for retries by a gateway that was stalled.
func TestStallDoesNotMakeFirstAttemptsLate(t *testing.T) {
	settings := testSettings()
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2)...)
	class := &gateway.controller.settings.Classes[0]
	for i := 0; i < 3; i++ {
		if w := gateway.controller.clientWaits.estimate(Request{Timeout: 3 * time.Second}, class, gateway.controller.clockAdvance); w != 0 {
			t.Fatalf("a first try has waited %v", w)
		}
	}
	gateway.controller.clockAdvance = 1500 * ms
	if w := gateway.controller.clientWaits.estimate(Request{Timeout: 2 * time.Second}, class, gateway.controller.clockAdvance); w != time.Second {
		t.Errorf("a first try that lay for 1 s through a stall has waited %v", w)
	}
	gateway.controller.clockAdvance = 4 * ms
	if w := gateway.controller.clientWaits.estimate(Request{Timeout: 2 * time.Second}, class, gateway.controller.clockAdvance); w != 4*time.Second {
		t.Errorf("a later try with 2 s of 6 s left has waited %v", w)
	}
	if w := gateway.controller.clientWaits.estimate(Request{Timeout: 5 * time.Second}, class, gateway.controller.clockAdvance); w != time.Second {
		t.Errorf("a last try, with all the rest of the time, has waited %v", w)
	}
	gateway.controller.clientWaits.retriesAreMarked = true
	if w := gateway.controller.clientWaits.estimate(Request{Timeout: 5 * time.Second}, class, gateway.controller.clockAdvance); w != 0 {
		t.Errorf("a try without the mark of a later one has waited %v", w)
	}
}

// After a stall all events come at once: requests that can still be served are, and each has one final answer.
func TestEventsAllAtOnceAfterAStall(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2)...)
	gateway.request("old", "job", "high", "x")
	for i := 0; i < 40; i++ {
		gateway.request(fmt.Sprint("q", i), "job", "high", "x")
	}
	gateway.now += 4990 * ms // no timer came in time
	for i := 0; i < 40; i++ {
		gateway.request(fmt.Sprint("n", i), "job", "high", "x")
	}
	sent := len(gateway.sends)
	gateway.advance(0)
	for _, send := range gateway.sends[sent:] {
		if send.ID[0] == 'q' {
			t.Errorf("%s was sent when its client had all but left", send.ID)
		}
	}
	gateway.advance(6 * time.Second)
	for i := 0; i < 40; i++ {
		for _, id := range []string{fmt.Sprint("q", i), fmt.Sprint("n", i)} {
			if gateway.finalAnswers[id] == nil && gateway.attempts[id] == 0 {
				t.Errorf("%s was not answered", id)
			}
		}
	}
}

// Where the settings have no maximum of units, a client that names any number of them does not move what requests of
// others depend on: throughput of servers, slow-start budgets and the mean units of a request.
func TestUnitsOfOneRequestDoNotMoveSharedEstimates(t *testing.T) {
	type shared struct{ mean, done, tokens float64 }
	play := func(units float64, refused bool) shared {
		settings := testSettings()
		settings.MaxUnits = 0
		settings.Plans = []Plan{{Name: "open", Price: 1, MaxInFlight: 50}, {Name: "rate", Price: 1, QuotaRate: 10, QuotaBurst: 10}}
		gateway := newTestGateway(t, settings, activeEndpoints(1, 2)...)
		plan := "open"
		if refused {
			plan = "rate"
		}
		ask := func(id string, units float64) {
			gateway.handle(Request{ID: id, Class: "job", Plan: plan, Customer: id, Units: units, FanOut: 1, Timeout: 6 * time.Second})
			if n := len(gateway.sends); n > 0 && gateway.sends[n-1].ID == id {
				gateway.now += 10 * ms
				gateway.handle(AttemptResult{ID: id, Server: gateway.sends[n-1].Server, Reason: OK, IsFinal: true, Delay: 10 * ms})
			}
		}
		ask("odd", units)
		gateway.advance(2 * time.Second)
		cold := Endpoint{Server: 3, Zone: "z1", HasStartedAt: true, StartedAt: gateway.now - time.Second}
		gateway.handle(EndpointList{Kind: ListPatch, Endpoints: []Endpoint{cold, {Server: 1, State: Gone}, {Server: 2, State: Gone}}})
		srv := gateway.controller.fleet.servers[3]
		srv.slowStart.tokens = 0
		plan = "open"
		ask("odd again", units)
		return shared{gateway.controller.fleet.requestUnits.mean, gateway.controller.window.servedUnits + gateway.controller.fleet.warmThroughput.mean, srv.slowStart.tokens}
	}
	for name, refused := range map[string]bool{"sent": false, "refused": true} {
		// Of 30 the store of the second plan can't hold half.
		if some, odd := play(30, refused), play(1e300, refused); some != odd {
			t.Errorf("%s: of 30 units %+v, of many %+v", name, some, odd)
		}
	}
}

// closedLoop has clients send requests without a pause, of a low-priority and a high-priority class in turn, to four
// servers that take a time for each attempt. It counts what is served and rejected by class.
func closedLoop(t *testing.T, clients int, takes, lasts time.Duration, cheap float64) (served, refused map[string]int) {
	t.Helper()
	settings := testSettings()
	settings.GroupSize, settings.MeterPeriod = 1, 0
	settings.Classes = []Class{
		{Name: "cheap", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: cheap},
		{Name: "dear", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 5},
	}
	settings.Plans = []Plan{{Name: "low", Price: 1, QuotaRate: 1e6, QuotaBurst: 1e6}}
	var servers []Endpoint
	for i := range 4 {
		servers = append(servers, Endpoint{Server: uint32(i + 1), State: Active, Size: 1})
	}
	gateway := newTestGateway(t, settings, servers...)
	type due struct {
		at  time.Duration
		end AttemptResult
	}
	var out []due // by time, as all take the same
	served, refused = make(map[string]int), make(map[string]int)
	class := func(n int) string { return []string{"cheap", "dear"}[n%2] }
	next, seen, idle := 0, 0, clients
	classOf := make(map[string]string)
	for end := gateway.now + lasts; gateway.now < end; {
		for ; idle > 0; idle-- {
			id := fmt.Sprint(next)
			classOf[id] = class(next)
			next++
			gateway.handle(Request{ID: id, Class: classOf[id], Plan: "low", Customer: id, Timeout: 6 * time.Second, Units: 1, FanOut: 1})
			if _, ok := gateway.finalAnswers[id]; ok {
				refused[classOf[id]]++
			}
			for ; seen < len(gateway.sends); seen++ {
				out = append(out, due{gateway.now + takes, AttemptResult{ID: gateway.sends[seen].ID, Server: gateway.sends[seen].Server, Reason: OK, IsFinal: true, Delay: takes}})
			}
		}
		if len(out) == 0 {
			idle = clients // all were refused
			gateway.advance(takes)
			continue
		}
		gateway.advance(out[0].at - gateway.now)
		event := out[0].end
		out = out[1:]
		gateway.handle(event)
		served[classOf[event.ID]]++
		idle = 1
		for ; seen < len(gateway.sends); seen++ {
			out = append(out, due{gateway.now + takes, AttemptResult{ID: gateway.sends[seen].ID, Server: gateway.sends[seen].Server, Reason: OK, IsFinal: true, Delay: takes}})
		}
	}
	return served, refused
}

// A class of low priority weight is not rejected while servers are so fast that a turn takes a small part of its
// latency objective; it is shed where a turn takes long.
func TestFastServersRejectNothing(t *testing.T) {
	for _, clients := range []int{8, 64, 256} {
		served, refused := closedLoop(t, clients, time.Millisecond, 200*time.Millisecond, 1)
		if refused["cheap"]+refused["dear"] > 0 || served["cheap"] < served["dear"]/2 || served["cheap"] == 0 {
			t.Errorf("%d clients: served %v, rejected %v", clients, served, refused)
		}
	}
	if _, refused := closedLoop(t, 64, 300*time.Millisecond, 4*time.Second, 1); refused["cheap"] == 0 || refused["dear"] > 0 {
		t.Errorf("servers that take 300 ms: rejected %v", refused)
	}
	if _, refused := closedLoop(t, 64, time.Millisecond, 200*time.Millisecond, 5); refused["cheap"] > 0 {
		t.Errorf("of equal worth: rejected %v", refused)
	}
}
