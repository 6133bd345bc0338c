package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestSlowStartLimitsAttemptsAtAWarmingServer(t *testing.T) {
	settings := testSettings()
	list := activeEndpoints(1, 2, 3, 4)
	list[0].StartedAt, list[0].HasStartedAt = time.Hour-100*ms, true
	gateway := newTestGateway(t, settings, list...)
	warming, busy := 0, 0
	for i := 0; i < 100; i++ {
		from := len(gateway.sends)
		for k := 0; k < 8; k++ {
			gateway.request(fmt.Sprint(i, "-", k), "job", "low", "x")
		}
		here := 0
		for _, send := range gateway.sends[from:] {
			if send.Server == 1 {
				here++
			}
		}
		warming, busy = warming+here, max(busy, here)
		gateway.advance(20 * ms)
		for k := 0; k < 8; k++ {
			if id := fmt.Sprint(i, "-", k); gateway.finalAnswers[id] == nil {
				gateway.respond(id, OK, 0)
			}
		}
	}
	if warming == 0 || busy > 1 {
		t.Errorf("%d attempts in 2 s at the warming server, %d of them at once, want at most 1 at once", warming, busy)
	}
}

// A warming server must get attempts even if each of eighty gateways may send it less than one request during the
// whole warmup time.
func TestSlowStartAdmitsLessThanOneRequestPerSecond(t *testing.T) {
	for _, n := range []int{2, 8, 80} {
		list := activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)
		group := newGatewayGroup(t, n, list)
		group.serve(20)
		fresh := Endpoint{Server: 13, Size: 1, HasStartedAt: true, StartedAt: group.gateways[0].now}
		for _, gateway := range group.gateways {
			gateway.handle(EndpointList{Kind: ListPatch, Endpoints: []Endpoint{fresh}})
		}
		clear(group.sent)
		group.serve(50) // its first 10 s
		warm := 0.0
		for id, k := range group.sent {
			if id != 13 {
				warm += float64(k) / 12
			}
		}
		// By the settings, its capacity is 0.15 of that of a warm server at its start and 0.72 of it after 10 s.
		if fraction := float64(group.sent[13]) / warm; fraction < 0.1 || fraction > 0.72 {
			t.Errorf("%d gateways: a warming server got %.2f of the attempts of a warm one, want 0.1 to 0.72", n, fraction)
		}
	}
}

// If a release restarts most gateways while servers are starting, the gateways have no estimates yet. They must not each
// send one request to every warming server.
func TestGatewaysThatStartTogetherRespectSlowStart(t *testing.T) {
	for _, n := range []int{8, 80, 300} {
		list := activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)
		for id := uint32(13); id <= 16; id++ {
			list = append(list, Endpoint{Server: id, Size: 1, HasStartedAt: true, StartedAt: time.Hour - time.Second})
		}
		group := newGatewayGroup(t, n, list)
		group.serve(10) // 2 s
		warming, all := 0, 0
		for id, k := range group.sent {
			if all += k; id >= 13 {
				warming += k
			}
		}
		// If this load used the full capacity of the servers evenly, 2.5 times 0.2 of an even part would be the maximum.
		if fraction := float64(warming) / 4 / (float64(all) / 16); all < 100 || fraction > 0.4 {
			t.Errorf("%d gateways: of %d attempts a warming server got %.2f of an even part, want at most 0.4", n, all, fraction)
		}
	}
}

// The gateways of a large group must not all send a request to a server that has just started.
func TestLargeGroupSharesASlowStart(t *testing.T) {
	settings := testSettings()
	settings.GroupSize = 12
	list := activeEndpoints(1, 2)
	list[0].StartedAt, list[0].HasStartedAt = time.Hour-ms, true
	gateway := newTestGateway(t, settings, list...)
	warmingSends := 0
	for i := 0; i < 300; i++ {
		id := fmt.Sprint(i)
		gateway.request(id, "job", "low", "x")
		gateway.advance(10 * ms)
		if gateway.attempts[id] > 0 && gateway.sends[len(gateway.sends)-1].Server == 1 {
			warmingSends++
			gateway.respond(id, OK, 0)
		} // the warm server answers nothing, so its throughput is unknown
	}
	if warmingSends > 1 {
		t.Errorf("%d attempts in 3 s from one of twelve gateways without a throughput estimate, want at most 1", warmingSends)
	}
}

// If a release or an outage restarts nearly all servers at once, the budget of a warming server must follow from the
// throughput that one server had. The recent throughput of all servers must not be attributed to the one that is left.
func TestMassRestartRespectsSlowStart(t *testing.T) {
	const servers, window = 12, 10 // steps of 200 ms in the overload window
	for _, gateways := range []int{1, 8} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			list := activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)
			group := newGatewayGroup(t, gateways, list)
			serve := func(steps int) (sent map[uint32]int) {
				clear(group.sent)
				for range steps {
					for range 5 { // 400 requests per second
						group.burst()
					}
					group.answer()
				}
				return group.sent
			}
			serve(100)
			warm := float64(servers)
			perServer := 0.0
			for _, n := range serve(window) {
				perServer += float64(n) / warm
			}
			for i := range list[1:] {
				list[1+i].HasStartedAt, list[1+i].StartedAt = true, group.gateways[0].now
			}
			for _, gateway := range group.gateways {
				gateway.handle(EndpointList{Kind: ListPatch, Endpoints: list[1:]})
			}
			for age := 2 * time.Second; age <= 10*time.Second; age += 2 * time.Second {
				fraction := 0.15 + 0.85*age.Seconds()/15
				allowed := 2.5 * fraction * perServer
				limit := allowed + 2*math.Sqrt(allowed+2)
				if allowed < 30 {
					limit = allowed + 3*math.Sqrt(allowed+3)
				}
				for id, n := range serve(window) {
					if id != 1 && float64(n) > limit {
						t.Errorf("server %d got %d attempts in the 2 s up to %v after its start, want at most %.1f; a warm server got %.1f", id, n, age, limit, perServer)
					}
				}
			}
		})
	}
}

// fixedThroughput is a constant throughputEstimate in units per second.
type fixedThroughput float64

func (f fixedThroughput) warmServerThroughput(time.Duration) float64 { return float64(f) }

func TestSlowStartRefillsItsBudgetAndEnds(t *testing.T) {
	settings := slowStartSettings{
		warmupTime: 10 * time.Second, initialCapacity: 0.5, overloadWindow: 4 * time.Second, overloadMultiple: 1, groupSize: 1,
	}
	throughput := fixedThroughput(100)
	var start slowStart
	if !start.allows(0, &settings, 9, 1, throughput) {
		t.Error("an attempt at a server that is not warming up is not allowed")
	}
	start.begin(time.Second, 0, 4)
	if start.allows(time.Second, &settings, 0, 1, throughput) {
		t.Error("a slow start allows an attempt while its budget is in debt")
	}
	if !start.allows(2*time.Second, &settings, 0, 1, throughput) { // at least 16 units per second are earned
		t.Errorf("attempt is not allowed with %g tokens after a second", start.tokens)
	}
	if start.allows(2*time.Second, &settings, slotsPerServer, 1, throughput) {
		t.Error("attempts are allowed beyond the slots of a warm server")
	}
	before := start.tokens
	start.charge(3)
	start.refund(3, 500*ms)
	start.refund(3, -time.Second) // charged to an earlier slow start
	if start.tokens != before {
		t.Errorf("got %g tokens after a charge and its refund, want %g", start.tokens, before)
	}
	if !start.allows(10*time.Second, &settings, 9, 1, throughput) || start.isActive {
		t.Error("the slow start continues after the warmup time")
	}
}

func TestCapacityGrowsFromTheInitialToTheFullOne(t *testing.T) {
	settings := slowStartSettings{warmupTime: 10 * time.Second, initialCapacity: 0.2}
	for _, tc := range []struct {
		age  time.Duration
		want float64
	}{{0, 0.2}, {5 * time.Second, 0.6}, {10 * time.Second, 1}, {time.Hour, 1}} {
		if got := settings.capacityFraction(tc.age, 0); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("capacity fraction is %g after %v, want %g", got, tc.age, tc.want)
		}
	}
	if got := (&slowStartSettings{}).capacityFraction(0, 0); got != 1 {
		t.Errorf("capacity fraction is %g without a warmup time, want 1", got)
	}
}
