package control

import (
	"fmt"
	"testing"
	"time"
)

// An endpoint entry with the state draining or gone may hold no zone or cell. A retry of a request that was in flight at
// that server must still be sent only to servers that drop repeats of it.
func TestRetryStaysInItsRepeatGroupAfterServerIsGone(t *testing.T) {
	for _, condition := range []EndpointState{Draining, Gone} {
		for _, scope := range []KeyScope{ScopeZone, ScopeCell} {
			for _, deadline := range []time.Duration{400 * ms, 6 * time.Second} {
				t.Run(fmt.Sprint(condition, scope, deadline), func(t *testing.T) {
					settings := testSettings()
					settings.Classes = []Class{{
						Name: "put", LatencyObjective: deadline / 2, Deadline: deadline, PriorityWeight: 1, Idempotency: IdempotentWithKey, KeyScope: scope,
						RepeatWindow: deadline,
					}}
					group := []Endpoint{{Server: 1, Zone: "z1", Cell: 1, Size: 1}, {Server: 2, Zone: "z1", Cell: 1, Size: 1}}
					outside := []Endpoint{{Server: 3, Size: 1}, {Server: 4, Size: 1}, {Server: 5, Size: 1}} // in no zone
					gateway := newTestGateway(t, settings, group[0])
					gateway.handle(Request{ID: "r", Class: "put", Plan: "low", Customer: "x", Timeout: deadline, Units: 1, FanOut: 1})
					gateway.handle(EndpointList{Kind: ListPatch, Endpoints: append([]Endpoint{{Server: 1, State: condition}}, outside...)})
					gateway.respond("r", ResetByPeer, 0)
					if len(gateway.sends) != 1 {
						t.Fatalf("retry was sent to server %d outside the repeat group", gateway.sends[1].Server)
					}
					gateway.handle(EndpointList{Kind: ListPatch, Endpoints: group[1:]})
					if len(gateway.sends) != 2 || gateway.sends[1].Server != 2 {
						t.Errorf("got sends %v, want a retry to server 2", gateway.sends)
					}
				})
			}
		}
	}
}
