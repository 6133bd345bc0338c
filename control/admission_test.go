package control

import (
	"fmt"
	"testing"
	"time"
)

// Requests of a class with a far lower priority weight are shed while the bucket is less than half full.
func TestSheddableClassIsShedBelowItsTokenReserve(t *testing.T) {
	settings := testSettings()
	settings.Classes = append(settings.Classes, Class{Name: "cheap", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 0.2})
	settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 1, 10
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2)...)
	gateway.controller.accountFor(gateway.controller.scheduler.plans[0], "x", 2).quota.tokens = 4
	gateway.request("cheap", "cheap", "low", "x")
	gateway.request("dear", "job", "low", "x")
	if gateway.finalAnswers["cheap"] == nil || gateway.finalAnswers["dear"] != nil {
		t.Error("only the low-priority request should have been rejected")
	}
}

// A gateway that has just started must not apply the rejection probability for its first 15 seconds if each period is
// metered and the bucket has sufficient tokens.
func TestFrequentReadingsAreEnoughFromTheStart(t *testing.T) {
	for _, tc := range []struct {
		gap, life time.Duration // time between readings, and time since the start
		want      bool
	}{{time.Second, 5 * time.Second, true}, {time.Second, time.Minute, true}, {4 * time.Second, 40 * time.Second, false}} {
		settings := testSettings()
		settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 2, 8
		gateway := newTestGateway(t, settings, activeEndpoints(1, 2, 3, 4)...)
		gateway.serve(tc.life, tc.gap, 151, func(i int) { // readings of 150 percent of the quota
			gateway.handle(Request{ID: fmt.Sprint(i), Class: "job", Plan: "low", Customer: "c", Timeout: 3 * time.Second, Units: 1, FanOut: 4})
		})
		if got := gateway.controller.accounts.byKey["low c"].demand.hasEnoughReadings(gateway.controller.now, gateway.controller.accounts.refillStart); got != tc.want {
			t.Errorf("one reading per %v for %v: hasEnoughReadings is %v", tc.gap, tc.life, got)
		}
	}
}

// Where the settings have no maximum of units, a request with an extreme number of units must not affect the estimates
// on which other requests depend: throughput of servers, slow-start budgets and the mean units of a request.
func TestUnitsOfOneRequestDoNotAffectSharedEstimates(t *testing.T) {
	type shared struct{ mean, done, tokens float64 }
	run := func(units float64, rejected bool) shared {
		settings := testSettings()
		settings.MaxUnits = 0
		settings.Plans = []Plan{{Name: "open", Price: 1, MaxInFlight: 50}, {Name: "rate", Price: 1, QuotaRate: 10, QuotaBurst: 10}}
		gateway := newTestGateway(t, settings, activeEndpoints(1, 2)...)
		plan := "open"
		if rejected {
			plan = "rate"
		}
		send := func(id string, units float64) {
			gateway.handle(Request{ID: id, Class: "job", Plan: plan, Customer: id, Units: units, FanOut: 1, Timeout: 6 * time.Second})
			if n := len(gateway.sends); n > 0 && gateway.sends[n-1].ID == id {
				gateway.now += 10 * ms
				gateway.handle(AttemptResult{ID: id, Server: gateway.sends[n-1].Server, Reason: OK, IsFinal: true, Delay: 10 * ms})
			}
		}
		send("first", units)
		gateway.advance(2 * time.Second)
		warming := Endpoint{Server: 3, Zone: "z1", HasStartedAt: true, StartedAt: gateway.now - time.Second}
		gateway.handle(EndpointList{Kind: ListPatch, Endpoints: []Endpoint{warming, {Server: 1, State: Gone}, {Server: 2, State: Gone}}})
		srv := gateway.controller.fleet.servers[3]
		srv.slowStart.tokens = 0
		plan = "open"
		send("second", units)
		return shared{gateway.controller.fleet.requestUnits.mean, gateway.controller.window.servedUnits + gateway.controller.fleet.warmThroughput.mean, srv.slowStart.tokens}
	}
	for name, rejected := range map[string]bool{"sent": false, "refused": true} {
		// The bucket of the second plan holds less than the half of 30 units that admission requires.
		if moderate, extreme := run(30, rejected), run(1e300, rejected); moderate != extreme {
			t.Errorf("%s: estimates after 30 units: %+v, after 1e300 units: %+v", name, moderate, extreme)
		}
	}
}

// closedLoop simulates clients that send requests without a pause, alternating between a low-priority and a
// high-priority class, to four servers that take attemptTime for each attempt.
type closedLoop struct {
	gateway     *testGateway
	attemptTime time.Duration
	results     []attemptEnd // future results of attempts in flight, by time
	handled     int          // number of sends that have an entry in results
	requests    int
	classes     map[string]string // classes by request
	served      map[string]int    // served requests by class
	rejected    map[string]int
}

type attemptEnd struct {
	at     time.Duration
	result AttemptResult
}

// runClosedLoop returns the numbers of served and rejected requests by class.
func runClosedLoop(
	t *testing.T, clients int, attemptTime, duration time.Duration, lowPriorityWeight float64,
) (served, rejected map[string]int) {
	t.Helper()
	settings := testSettings()
	settings.GroupSize = 1
	settings.MeterPeriod = 0
	settings.Classes = []Class{
		{Name: "cheap", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: lowPriorityWeight},
		{Name: "important", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 5},
	}
	settings.Plans = []Plan{{Name: "low", Price: 1, QuotaRate: 1e6, QuotaBurst: 1e6}}
	var servers []Endpoint
	for i := range 4 {
		servers = append(servers, Endpoint{Server: uint32(i + 1), State: Active, Size: 1})
	}
	loop := &closedLoop{
		gateway:     newTestGateway(t, settings, servers...),
		attemptTime: attemptTime,
		classes:     make(map[string]string),
		served:      make(map[string]int),
		rejected:    make(map[string]int),
	}
	idle := clients
	for end := loop.gateway.now + duration; loop.gateway.now < end; {
		for range idle {
			loop.send()
		}
		idle = 1
		if len(loop.results) == 0 { // all requests were rejected
			idle = clients
			loop.gateway.advance(attemptTime)
			continue
		}
		loop.answer()
	}
	return loop.served, loop.rejected
}

// send sends a request of the next class in turn.
func (l *closedLoop) send() {
	id := fmt.Sprint(l.requests)
	class := []string{"cheap", "important"}[l.requests%2]
	l.classes[id] = class
	l.requests++
	l.gateway.handle(Request{ID: id, Class: class, Plan: "low", Customer: id, Timeout: 6 * time.Second, Units: 1, FanOut: 1})
	if _, ok := l.gateway.finalAnswers[id]; ok {
		l.rejected[class]++
	}
	l.startAttempts()
}

// answer ends the oldest attempt.
func (l *closedLoop) answer() {
	l.gateway.advance(l.results[0].at - l.gateway.now)
	result := l.results[0].result
	l.results = l.results[1:]
	l.gateway.handle(result)
	l.served[l.classes[result.ID]]++
	l.startAttempts()
}

// startAttempts schedules the results of the attempts that were sent.
func (l *closedLoop) startAttempts() {
	for ; l.handled < len(l.gateway.sends); l.handled++ {
		send := l.gateway.sends[l.handled]
		l.results = append(l.results, attemptEnd{
			at:     l.gateway.now + l.attemptTime,
			result: AttemptResult{ID: send.ID, Server: send.Server, Reason: OK, IsFinal: true, Delay: l.attemptTime},
		})
	}
}

// A class of low priority weight is not shed while servers are so fast that the sojourn time is a small fraction of
// its latency objective, even if the concurrency limit is reached. It is shed with slow servers.
func TestNoRequestIsShedWithFastServers(t *testing.T) {
	for _, clients := range []int{8, 64, 256} {
		served, rejected := runClosedLoop(t, clients, time.Millisecond, 200*time.Millisecond, 1)
		if rejected["cheap"]+rejected["important"] > 0 || served["cheap"] < served["important"]/2 || served["cheap"] == 0 {
			t.Errorf("%d clients: served %v, rejected %v, want none rejected", clients, served, rejected)
		}
	}
	if _, rejected := runClosedLoop(t, 64, 300*time.Millisecond, 4*time.Second, 1); rejected["cheap"] == 0 || rejected["important"] > 0 {
		t.Errorf("with attempts of 300 ms: rejected %v, want requests of the cheap class only", rejected)
	}
	if _, rejected := runClosedLoop(t, 64, time.Millisecond, 200*time.Millisecond, 5); rejected["cheap"] > 0 {
		t.Errorf("with equal priority weights: rejected %v, want none", rejected)
	}
}

func TestSheddableRequestsAreShedUnderContention(t *testing.T) {
	settings := Settings{Classes: []Class{
		{Name: "important", LatencyObjective: time.Second, PriorityWeight: 10},
		{Name: "cheap", LatencyObjective: time.Second, PriorityWeight: 1},
	}}
	policy := newAdmission(&settings)
	free, occupied := queueEstimate{hasFreeSlot: true, sojournSeconds: 1}, queueEstimate{sojournSeconds: 1}
	for _, tc := range []struct {
		name   string
		class  int
		queue  queueEstimate
		tokens float64
		isLate bool
		want   Cause
	}{
		{"important without a free slot", 0, occupied, 100, false, CauseNone},
		{"cheap with a free slot", 1, free, 100, false, CauseNone},
		{"cheap without a free slot", 1, occupied, 100, false, CauseShed},
		{"cheap with a short sojourn time", 1, queueEstimate{sojournSeconds: 0.01}, 100, false, CauseNone},
		{"cheap with few tokens", 1, free, 40, false, CauseShed},
		{"important with few tokens", 0, free, 40, false, CauseNone},
		{"important without tokens", 0, free, 0, false, CauseQuota},
		{"late and not metered", 0, free, 100, true, CauseTooLate},
	} {
		plan := &planQueue{Plan: Plan{Name: "low", QuotaRate: 10, QuotaBurst: 100}}
		account := &customerAccount{plan: plan, fanOut: 1, quota: tokenBucket{tokens: tc.tokens}}
		req := admissionRequest{class: &settings.Classes[tc.class], units: 1, isLate: tc.isLate, queue: tc.queue}
		if got := policy.admit(time.Hour, 0, account, req); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
