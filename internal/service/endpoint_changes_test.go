package service

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"lockflow/internal/discovery"
	"lockflow/internal/testsupport/testkit"
)

// startWaitingAt starts a request that waits at stage. It returns a function that resumes it, and its answer.
func (r *disconnectTest) startWaitingAt(stage string, x *Exchange) (resume func(), answers <-chan Answer) {
	at := newBarrier()
	switch stage {
	case "in the queue":
		close(at.open)
		r.saturateServer()
		answers = doInBackground(r.t.Context(), r.service, x)
		testkit.Until(r.t, "the request to be queued", func() bool { return r.service.Status().Requests == 3 })
		return r.unblockServer, answers
	case "at the gate":
		x.Gate = &Gate{OnDecision: func(bool) { close(at.arrived) }}
		resume = x.OpenGate
	case "at the worker":
		x.Forwarder = blockedForwarder{x.Forwarder, at}
		resume = func() { close(at.open) }
	case "while connecting":
		r.limiter.nextDial = at
		resume = func() { close(at.open) }
	}
	answers = doInBackground(r.t.Context(), r.service, x)
	testkit.Next(r.t, at.arrived)
	return resume, answers
}

// replacingList returns an endpoint list that replaces the server s-1 with another one in the way named by kind.
func replacingList(kind, other string) discovery.EndpointList {
	up := discovery.Endpoint{UID: "s-2", Address: other, State: "up", Capacity: 1}
	l := discovery.EndpointList{Revision: 2, IsComplete: kind == "whole", Endpoints: []discovery.Endpoint{up}}
	switch kind {
	case "draining", "removed":
		l.Endpoints = append(l.Endpoints, discovery.Endpoint{UID: "s-1", State: kind})
	case "moved":
		up.UID = "s-1"
		l.Endpoints[0] = up
	}
	return l
}

// TestDrainingOrRemovedServerGetsNoWaitingRequest checks that a server gets nothing of a request that waits in the
// queue, at its gate, for its worker or for its connection when the server starts draining, is removed or is listed
// at another address. The request has not run, so it goes to another server, and so does the next one.
func TestDrainingOrRemovedServerGetsNoWaitingRequest(t *testing.T) {
	check := func(t *testing.T, kind, stage, class, forwarder string) {
		r := newDisconnectTest(t, class, forwarder, time.Minute)
		other := startBothProtocols(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("other")) })
		resume, answers := r.startWaitingAt(stage, r.newExchange("drained"))
		r.service.receiveEndpoints(replacingList(kind, other))
		r.awaitDisconnectHandled(&Exchange{isAnswered: true}) // waits for the list to be handled
		resume()
		if a := testkit.Next(t, answers); a.Status != http.StatusOK {
			t.Errorf("answer %+v, want status 200", a)
		}
		if a, ok := r.service.Do(t.Context(), r.newExchange("next")); !ok || a.Status != http.StatusOK {
			t.Errorf("next request: answer %+v, %v", a, ok)
		}
		if r.serverSaw("drained") || r.serverSaw("next") {
			t.Errorf("requests at the replaced server: %v, want neither", r.requestsSeen)
		}
	}
	for _, kind := range []string{"draining", "removed", "whole", "moved"} {
		for _, stage := range []string{"in the queue", "at the gate", "at the worker", "while connecting"} {
			for _, class := range []string{"safe", "keyed", "unsafe"} {
				for _, forwarder := range []string{"whole", "whole over HTTP/2", "relay", "relay over HTTP/2"} {
					t.Run(fmt.Sprint(kind, " ", stage, " ", class, " ", forwarder), func(t *testing.T) { check(t, kind, stage, class, forwarder) })
				}
			}
		}
	}
}

// TestConnectionsToEarlierBootAreNotReused checks that an idle connection that was last used before the server's boot
// time is not reused, although it has not been closed, as when a machine vanishes. A connection that was used since
// is reused.
func TestConnectionsToEarlierBootAreNotReused(t *testing.T) {
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		for when, dials := range map[time.Duration]int{time.Hour: 2, -time.Hour: 1} {
			t.Run(fmt.Sprint(class, " ", when), func(t *testing.T) {
				r := newDisconnectTest(t, class, "whole", time.Minute)
				send := func(id string) {
					if a, ok := r.service.Do(t.Context(), r.newExchange(id)); !ok || a.Status != http.StatusOK {
						t.Fatalf("request %s: answer %+v, %v", id, a, ok)
					}
				}
				send("one")
				up := r.service.Endpoints().Endpoints[0]
				up.StartedAtMS = float64(time.Now().Add(when).UnixMilli())
				r.service.receiveEndpoints(discovery.EndpointList{Revision: 2, Endpoints: []discovery.Endpoint{up}})
				send("two")
				if n := r.connectionCount(); n != dials {
					t.Errorf("%d connections, want %d", n, dials)
				}
			})
		}
	}
}
