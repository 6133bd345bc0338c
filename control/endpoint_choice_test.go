package control

import (
	"fmt"
	"testing"
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
			t.Errorf("%s went to %d", send.ID, send.Server)
		}
	}
}

// Guards against a server that accepts requests and never answers.
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
		t.Errorf("%d of 200 requests in 4 s went to a server that never answers", silent)
	}
}

// Guards against gateways that each find out by their own requests, one every few seconds, which servers are slow.
func TestServerThatReportsHighLatencyIsChosenLess(t *testing.T) {
	group := newGatewayGroup(t, 40, activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8))
	group.load = func(id uint32) *LoadReport {
		if id == 1 {
			return loadReport(2000, 0.7)
		}
		return loadReport(300, 0.7)
	}
	group.serve(50)
	if part := float64(group.sent[1]) * 8 / (40 * 50); part > 0.3 {
		t.Errorf("it is sent %.2f of an even part", part)
	}
}

// Guards against many gateways that take a server for the fastest because the mean latency that it reports starts at
// zero.
func TestServerWithZeroReportedLatencyDoesNotAttractAll(t *testing.T) {
	group := newGatewayGroup(t, 40, activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8))
	group.load = func(id uint32) *LoadReport {
		if id == 1 {
			return loadReport(1, 0.7)
		}
		return loadReport(400, 0.7)
	}
	group.serve(50)
	if part := float64(group.sent[1]) * 8 / (40 * 50); part > 2 {
		t.Errorf("it is sent %.1f times its part", part)
	}
}

// Guards against a gateway that keeps choosing the busiest server: of those with reports, one with capacity is chosen
// first.
func TestBusyServerIsChosenLess(t *testing.T) {
	group := newGatewayGroup(t, 40, activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8))
	group.load = func(id uint32) *LoadReport {
		report := loadReport(300, 0.5)
		if id <= 4 {
			report.Utilization = 1
		}
		return report
	}
	group.serve(50)
	full, room := 0, 0
	for id, n := range group.sent {
		if id <= 4 {
			full += n
		} else {
			room += n
		}
	}
	if full*4 > room {
		t.Errorf("%d attempts at full servers, %d at others", full, room)
	}
}
