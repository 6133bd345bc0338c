package control

import (
	"testing"
	"time"
)

// Where the settings name no most of a request's units, a client that tells any number of them moves nothing
// that requests of others go by: what servers do, what a cold one may be sent, and what requests take on average.
func TestUnitsOfOneMoveNoOthers(t *testing.T) {
	type shared struct{ mean, done, tokens float64 }
	play := func(units float64, refused bool) shared {
		settings := settings()
		settings.MaxUnits = 0
		settings.Plans = []Plan{{Name: "open", Price: 1, MaxInFlight: 50}, {Name: "rate", Price: 1, QuotaRate: 10, QuotaBurst: 10}}
		gateway := newGate(t, settings, on(1, 2)...)
		plan := "open"
		if refused {
			plan = "rate"
		}
		ask := func(id string, units float64) {
			gateway.do(Request{ID: id, Class: "job", Plan: plan, Customer: id, Units: units, FanOut: 1, Timeout: 6 * time.Second})
			if n := len(gateway.sends); n > 0 && gateway.sends[n-1].ID == id {
				gateway.now += 10 * ms
				gateway.do(AttemptResult{ID: id, Server: gateway.sends[n-1].Server, Reason: OK, IsFinal: true, Delay: 10 * ms})
			}
		}
		ask("odd", units)
		gateway.pass(2 * time.Second)
		cold := Endpoint{Server: 3, Zone: "z1", HasStartedAt: true, StartedAt: gateway.now - time.Second}
		gateway.do(EndpointList{Kind: ListPatch, Endpoints: []Endpoint{cold, {Server: 1, State: Gone}, {Server: 2, State: Gone}}})
		srv := gateway.c.servers[3]
		srv.slowStart.tokens = 0
		plan = "open"
		ask("odd again", units)
		return shared{gateway.c.fleet.requestUnits.mean, gateway.c.window.servedUnits + gateway.c.fleet.warmThroughput.mean, srv.slowStart.tokens}
	}
	for name, refused := range map[string]bool{"sent": false, "refused": true} {
		// Of 30 the store of the second plan can't hold half.
		if some, odd := play(30, refused), play(1e300, refused); some != odd {
			t.Errorf("%s: of 30 units %+v, of many %+v", name, some, odd)
		}
	}
}
