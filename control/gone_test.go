package control

import (
	"fmt"
	"testing"
	"time"
)

// A server that has a request is told to drain, or gone, by an entry that says nothing else of it.
// A repeat still goes to those that drop repeats of what it ran, or to none.
func TestGoneServerKeepsItsGroup(t *testing.T) {
	for _, condition := range []EndpointState{Draining, Gone} {
		for _, scope := range []KeyScope{ScopeZone, ScopeCell} {
			for _, deadline := range []time.Duration{400 * ms, 6 * time.Second} {
				t.Run(fmt.Sprint(condition, scope, deadline), func(t *testing.T) {
					settings := settings()
					settings.Classes = []Class{{
						Name: "put", LatencyObjective: deadline / 2, Deadline: deadline, PriorityWeight: 1, Idempotency: IdempotencyKeyed, KeyScope: scope,
						RepeatWindow: deadline,
					}}
					group := []Endpoint{{Server: 1, Zone: "z1", Cell: 1, Size: 1}, {Server: 2, Zone: "z1", Cell: 1, Size: 1}}
					others := []Endpoint{{Server: 3, Size: 1}, {Server: 4, Size: 1}, {Server: 5, Size: 1}} // in no zone
					gateway := newGate(t, settings, group[0])
					gateway.do(Request{ID: "r", Class: "put", Plan: "low", Customer: "x", Timeout: deadline, Units: 1, FanOut: 1})
					gateway.do(EndpointList{Kind: ListPatch, Endpoints: append([]Endpoint{{Server: 1, State: condition}}, others...)})
					gateway.reply("r", ResetByPeer, 0)
					if len(gateway.sends) != 1 {
						t.Fatalf("sent again to %d", gateway.sends[1].Server)
					}
					gateway.do(EndpointList{Kind: ListPatch, Endpoints: group[1:]})
					if len(gateway.sends) != 2 || gateway.sends[1].Server != 2 {
						t.Errorf("sent to %v, not again to 2", gateway.sends)
					}
				})
			}
		}
	}
}
