package control

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns the settings of a small deployment with one idempotent class and two plans.
func testSettings() Settings {
	return Settings{
		GroupSize: 2, Zone: "z1", MaxAttempts: 3, SupportsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
		WarmupTime: 10 * time.Second, InitialCapacity: 0.2, OverloadWindow: time.Second, OverloadMultiple: 2, MeterPeriod: time.Second,
		CanCancel: true,
		Classes:   []Class{{Name: "job", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1}},
		Plans: []Plan{
			{Name: "low", Price: 0.5, QuotaRate: 1000, QuotaBurst: 1000},
			{Name: "high", Price: 1.5, QuotaRate: 1000, QuotaBurst: 1000},
		},
	}
}

// testGateway drives one controller step by step and records its actions.
type testGateway struct {
	t            *testing.T
	controller   *Controller
	now          time.Duration
	sends        []Send
	finalAnswers map[string]Action
	attempts     map[string]int // number of attempts by request
	timers       map[uint64]time.Duration
	actions      []Action
}

func newTestGateway(t *testing.T, settings Settings, servers ...Endpoint) *testGateway {
	t.Helper()
	controller, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	gateway := &testGateway{
		t: t, controller: controller, now: time.Hour, finalAnswers: map[string]Action{}, attempts: map[string]int{},
		timers: map[uint64]time.Duration{},
	}
	gateway.handle(EndpointList{Kind: ListCached, Endpoints: servers})
	return gateway
}

// handle passes an event to the controller and checks the invariants of all actions.
func (g *testGateway) handle(event Event) {
	g.t.Helper()
	newActions := append([]Action{}, g.controller.Handle(g.now, event)...)
	for _, action := range newActions {
		switch a := action.(type) {
		case Send:
			if g.finalAnswers[a.ID] != nil {
				g.t.Fatalf("request %s was sent after its final answer", a.ID)
			}
			g.attempts[a.ID]++
			g.sends = append(g.sends, a)
		case Reject:
			g.recordFinal(a.ID, a)
		case Fail:
			g.recordFinal(a.ID, a)
		case StartTimer:
			g.timers[a.Label] = g.now + a.After
		}
	}
	g.actions = append(g.actions, newActions...)
}

func (g *testGateway) recordFinal(id string, action Action) {
	g.t.Helper()
	if g.finalAnswers[id] != nil {
		g.t.Fatalf("request %s has two final answers", id)
	}
	g.finalAnswers[id] = action
}

// advance moves the clock by the duration and fires the timers that are due.
func (g *testGateway) advance(duration time.Duration) {
	g.t.Helper()
	for end := g.now + duration; ; {
		var label uint64
		at := end + 1
		for l, t := range g.timers {
			if t < at || t == at && l < label {
				label, at = l, t
			}
		}
		if at > end {
			g.now = end
			return
		}
		delete(g.timers, label)
		g.now = max(g.now, at)
		g.handle(TimerFired{Label: label})
	}
}

func (g *testGateway) request(id, class, plan, customer string) {
	g.t.Helper()
	g.handle(Request{ID: id, Class: class, Plan: plan, Customer: customer, Timeout: 5 * time.Second, Units: 1, FanOut: 2})
}

// respond ends the latest attempt of a request with a reason.
func (g *testGateway) respond(id string, reason Reason, quotaUsage int) {
	g.t.Helper()
	for i := len(g.sends) - 1; i >= 0; i-- {
		if g.sends[i].ID == id {
			g.handle(AttemptResult{ID: id, Attempt: g.attempts[id] - 1, Server: g.sends[i].Server, Reason: reason, IsFinal: reason == OK, QuotaUsage: quotaUsage})
			if reason == OK {
				g.finalAnswers[id] = Send{}
			}
			return
		}
	}
	g.t.Fatalf("request %s was never sent", id)
}

// serve calls send every gap for the duration, and answers each attempt after 200 ms.
func (g *testGateway) serve(duration, gap time.Duration, quotaUsage int, send func(i int)) {
	g.t.Helper()
	next, firstPending := 0, len(g.sends)
	for i, end := 0, g.now+duration; g.now < end; i++ {
		send(i)
		g.advance(200 * ms)
		for next = firstPending; next < len(g.sends); next++ {
			g.respond(g.sends[next].ID, OK, quotaUsage)
		}
		firstPending = next
		g.advance(gap - 200*ms)
	}
}

// recordReading applies a reading of the meter, as if the answer to a request with the given units had carried it.
func (g *testGateway) recordReading(account *customerAccount, reading int, units float64) {
	g.controller.usage.recordReading(g.controller.now, &g.controller.accounts, account, reading, units)
}

func activeEndpoints(ids ...uint32) []Endpoint {
	var endpoints []Endpoint
	for i, id := range ids {
		endpoints = append(endpoints, Endpoint{Server: id, Zone: fmt.Sprintf("z%d", i%2+1), Cell: i / 2, Size: 1})
	}
	return endpoints
}

func largeGroupSettings() Settings {
	settings := testSettings()
	settings.GroupSize = 300
	settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 1, 4
	return settings
}

func hardLimitSettings() Settings {
	settings := testSettings()
	settings.GroupSize, settings.MeterPeriod = 1, 0
	plan := &settings.Plans[0]
	plan.QuotaRate, plan.QuotaBurst, plan.HardLimitRate, plan.HardLimitBurst, plan.HardLimitSlack = 0, 0, 30, 60, 6
	return settings
}

// loadReport returns a report with a mean latency in ms and a utilization.
func loadReport(mean, util float64) *LoadReport {
	return &LoadReport{MeanLatencyMS: mean, Utilization: util, Queued: 0, InFlight: -1, RequestsPerSecond: -1, ErrorsPerSecond: -1}
}

// gatewayGroup is a group of gateways that get requests in turn. Each attempt is answered after 200 ms.
type gatewayGroup struct {
	t          *testing.T
	gateways   []*testGateway
	sent       map[uint32]int // number of attempts by server
	loadReport func(server uint32) *LoadReport
}

func newGatewayGroup(t *testing.T, n int, endpoints []Endpoint) *gatewayGroup {
	group := &gatewayGroup{t: t, sent: map[uint32]int{}, loadReport: func(uint32) *LoadReport { return nil }}
	for i := range n {
		settings := testSettings()
		settings.GroupSize, settings.SelfIndex = n, i
		settings.WarmupTime, settings.InitialCapacity, settings.OverloadWindow, settings.OverloadMultiple = 15*time.Second, 0.15, 2*time.Second, 2.5
		controller, err := New(settings, uint64(100+i))
		if err != nil {
			t.Fatal(err)
		}
		gateway := &testGateway{t: t, controller: controller, now: time.Hour, finalAnswers: map[string]Action{}, attempts: map[string]int{}, timers: map[uint64]time.Duration{}}
		gateway.handle(EndpointList{Kind: ListCached, Endpoints: endpoints})
		group.gateways = append(group.gateways, gateway)
	}
	return group
}

// burst sends 16 requests in total to the gateways, or one to each in larger groups.
func (g *gatewayGroup) burst() {
	for i, gateway := range g.gateways {
		for k := range max(1, 16/len(g.gateways)) {
			gateway.request(fmt.Sprint(i, "-", k, "-", gateway.now, "-", len(gateway.actions)), "job", "high", fmt.Sprint("x", i, "-", k))
		}
	}
}

// answer answers all attempts in flight after 200 ms.
func (g *gatewayGroup) answer() {
	const step = 200 * ms
	for _, gateway := range g.gateways {
		gateway.advance(step)
		for _, send := range gateway.sends {
			g.sent[send.Server]++
			gateway.handle(AttemptResult{ID: send.ID, Server: send.Server, Reason: OK, IsFinal: true, Delay: step, Load: g.loadReport(send.Server)})
			gateway.finalAnswers[send.ID] = send
		}
		gateway.sends = gateway.sends[:0]
	}
}

// serve sends 16 requests in total to the gateways, or one to each in larger groups, in each step of 200 ms.
func (g *gatewayGroup) serve(steps int) {
	const step = 200 * ms
	for range steps {
		for i, gateway := range g.gateways {
			firstPending := len(gateway.sends)
			for k := range max(1, 16/len(g.gateways)) {
				gateway.request(fmt.Sprint(i, "-", k, "-", gateway.now), "job", "high", fmt.Sprint("x", i))
			}
			gateway.advance(step)
			for _, send := range gateway.sends[firstPending:] {
				g.sent[send.Server]++
				gateway.handle(AttemptResult{ID: send.ID, Server: send.Server, Reason: OK, IsFinal: true, Delay: step, Load: g.loadReport(send.Server)})
				gateway.finalAnswers[send.ID] = send
			}
		}
	}
}
