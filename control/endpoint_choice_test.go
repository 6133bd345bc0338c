package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestDrainingServerGetsNoAttempts(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2)...)
	gateway.handle(EndpointList{Kind: ListPatch, Endpoints: []Endpoint{{Server: 1, State: Draining}}})
	for i := 0; i < 4; i++ {
		gateway.request(fmt.Sprint(i), "job", "low", "x")
	}
	gateway.handle(EndpointList{Kind: ListComplete, Endpoints: activeEndpoints(3)})
	gateway.request("x", "job", "low", "x")
	for _, send := range gateway.sends {
		if send.Server == 1 || send.ID == "x" && send.Server != 3 {
			t.Errorf("request %s was sent to server %d", send.ID, send.Server)
		}
	}
}

// A server that accepts requests and never answers must not attract traffic.
func TestSilentServerIsAvoided(t *testing.T) {
	gateway := newTestGateway(t, testSettings(), activeEndpoints(1, 2, 3, 4)...)
	silent := 0
	for i := 0; i < 200; i++ {
		id := fmt.Sprint(i)
		gateway.request(id, "job", "low", "x")
		gateway.advance(20 * ms)
		if gateway.sends[len(gateway.sends)-1].Server == 2 {
			silent++
		} else if gateway.attempts[id] > 0 {
			gateway.respond(id, OK, 0)
		}
	}
	if silent == 0 || silent > 6 {
		t.Errorf("%d of 200 requests in 4 s were sent to the server that never answers, want 1 to 6", silent)
	}
}

// A gateway with one request every few seconds must learn from load reports which servers are slow, rather than by its
// own requests to each of them.
func TestServerThatReportsHighLatencyIsChosenLess(t *testing.T) {
	group := newGatewayGroup(t, 40, activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8))
	group.loadReport = func(id uint32) *LoadReport {
		if id == 1 {
			return loadReport(2000, 0.7)
		}
		return loadReport(300, 0.7)
	}
	group.serve(50)
	if fraction := float64(group.sent[1]) * 8 / (40 * 50); fraction > 0.3 {
		t.Errorf("slow server got %.2f of an even part of the requests, want at most 0.3", fraction)
	}
}

// The mean latency that a server reports starts at zero. Many gateways must not take it for the fastest server.
func TestServerWithNearZeroReportedLatencyIsNotOverloaded(t *testing.T) {
	group := newGatewayGroup(t, 40, activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8))
	group.loadReport = func(id uint32) *LoadReport {
		if id == 1 {
			return loadReport(1, 0.7)
		}
		return loadReport(400, 0.7)
	}
	group.serve(50)
	if fraction := float64(group.sent[1]) * 8 / (40 * 50); fraction > 2 {
		t.Errorf("server got %.1f times an even part of the requests, want at most 2", fraction)
	}
}

// Of the servers with load reports, those with spare capacity are chosen more often than busy ones.
func TestBusyServerIsChosenLess(t *testing.T) {
	group := newGatewayGroup(t, 40, activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8))
	group.loadReport = func(id uint32) *LoadReport {
		report := loadReport(300, 0.5)
		if id <= 4 {
			report.Utilization = 1
		}
		return report
	}
	group.serve(50)
	busyAttempts, otherAttempts := 0, 0
	for id, n := range group.sent {
		if id <= 4 {
			busyAttempts += n
		} else {
			otherAttempts += n
		}
	}
	if busyAttempts*4 > otherAttempts {
		t.Errorf("%d attempts at fully utilized servers, %d at others", busyAttempts, otherAttempts)
	}
}

func TestSelectorChoosesTheEligibleServerOfLowestCost(t *testing.T) {
	fleet := warmFleet(4)
	fleet.latency.add(0.1, fleetEstimateGain)
	for i, srv := range fleet.sortedServers {
		srv.inFlight = i
	}
	selector := endpointSelector{fleet: fleet, slowStart: &slowStartSettings{groupSize: 1}}
	req := &request{class: &Class{}, plan: &planQueue{}}
	choose := func() *server { return selector.choose(0, rand.New(rand.NewPCG(1, 2)), 1, req) }
	if got := choose(); got != fleet.sortedServers[0] {
		t.Errorf("chose server %d, not the idle one", got.Server)
	}
	req.triedServers = []uint32{0}
	if got := choose(); got != fleet.sortedServers[1] {
		t.Errorf("chose server %d, not the least busy one that was not tried", got.Server)
	}
	fleet.sortedServers[1].State = Draining
	if got := choose(); got != fleet.sortedServers[2] {
		t.Errorf("chose server %d, not the least busy one that is not draining", got.Server)
	}
	fleet.sortedServers[2].outlier.recordOutcome(0, ConnectFailed, req.plan)
	if got := choose(); got == fleet.sortedServers[2] {
		t.Error("chose an ejected server")
	}
	for _, srv := range fleet.sortedServers {
		srv.isListed = false
	}
	if got := choose(); got != nil {
		t.Errorf("chose server %d, which is not listed", got.Server)
	}
}

func TestRepeatsAreDroppedOnlyWithinTheKeyScope(t *testing.T) {
	ran := &server{Endpoint: Endpoint{Zone: "z1", Cell: 1}}
	sameCell := &server{Endpoint: Endpoint{Zone: "z1", Cell: 1}}
	sameZone := &server{Endpoint: Endpoint{Zone: "z1", Cell: 2}}
	remote := &server{Endpoint: Endpoint{Zone: "z2", Cell: 3}}
	for scope, want := range map[KeyScope][3]bool{
		ScopeCell: {true, false, false}, ScopeZone: {true, true, false}, ScopeAll: {true, true, true},
	} {
		class := &Class{Idempotency: IdempotentWithKey, KeyScope: scope, RepeatWindow: time.Second}
		req := &request{class: class, repeatGroup: ran}
		for i, srv := range []*server{sameCell, sameZone, remote} {
			if got := req.isRepeatDroppedBy(srv, 0); got != want[i] {
				t.Errorf("scope %d, server %d: isRepeatDroppedBy is %v", scope, i, got)
			}
			if req.isRepeatDroppedBy(srv, time.Second) {
				t.Errorf("scope %d, server %d: repeats are presumed to be dropped after the repeat window", scope, i)
			}
		}
	}
}
