package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestSchedulerFollowsShares(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2)...)
	gateway.controller.scheduler.plans[0].share = 0.25
	gateway.controller.scheduler.plans[1].share = 0.75
	for i := 0; i < 80; i++ {
		gateway.request(fmt.Sprint("l", i), "job", "low", "a")
		gateway.request(fmt.Sprint("h", i), "job", "high", "b")
	}
	for i := 0; i < 80; i++ { // keep the concurrency limit reached
		gateway.respond(gateway.sends[i].ID, OK, 0)
	}
	high := 0
	for _, send := range gateway.sends[4:84] {
		if send.ID[0] == 'h' {
			high++
		}
	}
	if high < 57 || high > 63 {
		t.Errorf("%d of 80 attempts were of the plan with a share of 0.75, want 57 to 63", high)
	}
}

func TestSchedulerSkipsEmptyQueues(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2)...)
	gateway.controller.scheduler.plans[0].share = 0
	gateway.controller.scheduler.plans[1].share = 1
	gateway.request("a", "job", "low", "x")
	if len(gateway.sends) != 1 {
		t.Errorf("got %d sends for the only request", len(gateway.sends))
	}
}

func TestSharesAreUnchangedWithFewAnswers(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1)...)
	gateway.controller.scheduler.plans[0].meanLateness = 3
	gateway.controller.scheduler.plans[1].meanLateness = 0.1
	gateway.controller.window.answers = minAnswersPerWindow - 1
	gateway.controller.endWindow(1)
	if gateway.controller.scheduler.plans[0].share != 0.5 {
		t.Errorf("share is %g after a window with four answers, want 0.5", gateway.controller.scheduler.plans[0].share)
	}
}

// Shares are updated even if a gateway gets only two answers per second, since the control window is extended.
func TestSharesAreUpdatedAtLowRequestRates(t *testing.T) {
	settings := largeGroupSettings()
	settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 1000, 1000
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2, 3, 4)...)
	gateway.serve(40*time.Second, 500*ms, 0, func(i int) {
		plan := settings.Plans[i%2]
		gateway.handle(Request{ID: fmt.Sprint(i), Class: "job", Plan: plan.Name, Customer: "c", Timeout: 3 * time.Second, Units: 1, FanOut: 9})
		gateway.controller.scheduler.plans[1].recordLateness(1.8) // the high-priority plan is late
	})
	if share := gateway.controller.scheduler.plans[1].share; math.Abs(share-0.5) < 0.05 || share < 0.5 {
		t.Errorf("share of the late high-priority plan is %g, want at least 0.55", share)
	}
}

func TestQueuedRequestsAreAnsweredInTime(t *testing.T) {
	gateway := newTestGateway(t, testSettings()) // without servers
	gateway.request("a", "job", "low", "x")
	gateway.advance(5 * time.Second)
	reject, ok := gateway.finalAnswers["a"].(Reject)
	if !ok || reject.RetryAfter != time.Second {
		t.Errorf("got final answer %#v, want a rejection with a RetryAfter of 1s", gateway.finalAnswers["a"])
	}
}

// BenchmarkRequest measures the CPU time of one request with fleets of several sizes.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []uint32{10, 30, 90, 300} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			settings := testSettings()
			controller, _ := New(settings, 1)
			var ms []Endpoint
			for i := uint32(1); i <= n; i++ {
				ms = append(ms, Endpoint{Server: i, Zone: "z1"})
			}
			controller.Handle(time.Hour, EndpointList{Kind: ListCached, Endpoints: ms})
			for i := 0; i < b.N; i++ {
				now := time.Hour + time.Duration(i)*time.Millisecond
				id := fmt.Sprint(i)
				for _, a := range controller.Handle(now, Request{
					ID: id, Class: "job", Plan: "high", Customer: "x",
					Timeout: 5 * time.Second, Units: 1, FanOut: 2,
				}) {
					if a, ok := a.(Send); ok {
						controller.Handle(now, AttemptResult{ID: id, Server: a.Server, Reason: OK, IsFinal: true, QuotaUsage: 50})
						break
					}
				}
			}
		})
	}
}

// choiceByID is a serverChooser with a fixed server for each request ID; other requests have to wait.
type choiceByID map[string]*server

func (c choiceByID) chooseServer(req *request) *server { return c[req.id] }

func queuedRequest(plan *planQueue, id string) *request {
	req := &request{id: id, plan: plan, account: &customerAccount{plan: plan}, units: 1}
	plan.pushBack(req)
	return req
}

func TestRoundRobinFollowsDeficits(t *testing.T) {
	s := newScheduler([]Plan{{Name: "low", Price: 1}, {Name: "high", Price: 1}})
	s.plans[0].share = 0.25
	s.plans[1].share = 0.75
	queuedRequest(s.plans[0], "l")
	queuedRequest(s.plans[1], "h")
	servers := choiceByID{"l": &server{}, "h": &server{}}
	var order string
	for range 8 { // the requests stay queued, as nothing starts an attempt
		req, _ := s.nextRequest(0, servers)
		order += req.id
	}
	if order != "hlhhhlhh" {
		t.Errorf("requests were scheduled in the order %s, want hlhhhlhh", order)
	}
	if sum := s.plans[0].deficit + s.plans[1].deficit; math.Abs(sum) > 1e-9 {
		t.Errorf("sum of the deficits is %g, want 0", sum)
	}
}

func TestOnlyRequestsWithARepeatGroupDoNotBlockTheQueue(t *testing.T) {
	s := newScheduler([]Plan{{Name: "low", Price: 1}})
	first := queuedRequest(s.plans[0], "first")
	queuedRequest(s.plans[0], "second")
	servers := choiceByID{"second": &server{}}
	if req, _ := s.nextRequest(0, servers); req != nil {
		t.Errorf("request %s was scheduled before one without a repeat group", req.id)
	}
	first.repeatGroup = &server{}
	if req, srv := s.nextRequest(0, servers); req == nil || req.id != "second" || srv != servers["second"] {
		t.Errorf("got next request %+v, want the one behind a request that waits for its repeat group", req)
	}
}

func TestNextRequestIsNilWithoutAServer(t *testing.T) {
	s := newScheduler([]Plan{{Name: "low", Price: 1}})
	queuedRequest(s.plans[0], "waits")
	if req, srv := s.nextRequest(0, choiceByID{}); req != nil || srv != nil {
		t.Errorf("got request %v and server %v, want none", req, srv)
	}
	if s.countQueued() != 1 || s.plans[0].deficit != 0 {
		t.Errorf("%d requests queued and a deficit of %g, want 1 and 0", s.countQueued(), s.plans[0].deficit)
	}
}
