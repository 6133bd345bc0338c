package service

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lockflow/internal/discovery"
	"lockflow/internal/testkit"
)

// A server that drains, is gone or is listed at another address while a request for it waits for its turn, at its gate, for its worker or
// its connection sees nothing of it: it goes to another server, as nothing of it has run, and so does the next.
func TestServerDrainingOrGoneGetsNoWaitingRequest(t *testing.T) {
	for _, news := range []string{"draining", "removed", "whole", "moved"} {
		for _, where := range []string{"its turn", "its gate", "its worker", "its connection"} {
			for _, class := range []string{"safe", "keyed", "unsafe"} {
				for _, by := range []string{"whole", "whole over HTTP/2", "relay", "relay over HTTP/2"} {
					t.Run(fmt.Sprint(news, " ", where, " ", class, " ", by), func(t *testing.T) {
						r := newDepartureTest(t, class, by, time.Minute)
						other := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { w.Write([]byte("other")) }))
						other.Config.Protocols = new(http.Protocols)
						other.Config.Protocols.SetHTTP1(true)
						other.Config.Protocols.SetUnencryptedHTTP2(true)
						other.Start()
						t.Cleanup(other.Close)

						x, answers := r.newExchange("drained"), make(chan Answer, 1)
						ask := func() {
							go func() { a, _ := r.service.Do(t.Context(), x); answers <- a }()
						}
						at := newBarrier()
						switch where {
						case "its turn":
							close(at.open)
							r.fillServer()
							ask()
							testkit.Until(t, "its place in the queue", func() bool { return r.service.Status().Requests == 3 })
						case "its gate":
							x.Gate = &Gate{OnDecision: func(bool) { close(at.arrived) }}
							ask()
							testkit.Next(t, at.arrived)
						case "its worker":
							x.Forwarder = heldForwarder{x.Forwarder, at}
							ask()
							testkit.Next(t, at.arrived)
						case "its connection":
							r.opener.nextDial = at
							ask()
							testkit.Next(t, at.arrived)
						}
						up := discovery.Target{UID: "s-2", Endpoint: other.Listener.Addr().String(), State: "up", Capacity: 1}
						l := discovery.Listing{Rev: 2, All: news == "whole", Targets: []discovery.Target{up}}
						switch news {
						case "draining", "removed":
							l.Targets = append(l.Targets, discovery.Target{UID: "s-1", State: news})
						case "moved":
							up.UID = "s-1"
							l.Targets[0] = up
						}
						r.service.receiveEndpoints(l)
						r.awaitClientLeft(&Exchange{isAnswered: true}) // the list came before
						switch where {
						case "its turn":
							r.emptyServer()
						case "its gate":
							x.OpenGate()
						default:
							close(at.open)
						}
						if a := testkit.Next(t, answers); a.Status != http.StatusOK {
							t.Errorf("%+v", a)
						}
						if a, ok := r.service.Do(t.Context(), r.newExchange("next")); !ok || a.Status != http.StatusOK {
							t.Errorf("the next one: %+v, %v", a, ok)
						}
						if r.serverSaw("drained") || r.serverSaw("next") {
							t.Errorf("the server saw %v", r.requestsSeen)
						}
					})
				}
			}
		}
	}
}

// A server that is listed with a later start has ended in between: a connection that was used last before leads to
// nobody, though none has told of its end, as where a machine vanished; one that was used since is kept.
func TestConnectionsToEarlierBootAreNotReused(t *testing.T) {
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		for when, dials := range map[time.Duration]int{time.Hour: 2, -time.Hour: 1} {
			t.Run(fmt.Sprint(class, " ", when), func(t *testing.T) {
				r := newDepartureTest(t, class, "whole", time.Minute)
				ask := func(id string) {
					if a, ok := r.service.Do(t.Context(), r.newExchange(id)); !ok || a.Status != http.StatusOK {
						t.Fatalf("%s: %+v, %v", id, a, ok)
					}
				}
				ask("one")
				up := r.service.Endpoints().Targets[0]
				up.BootMS = float64(time.Now().Add(when).UnixMilli())
				r.service.receiveEndpoints(discovery.Listing{Rev: 2, Targets: []discovery.Target{up}})
				ask("two")
				if n := r.connectionCount(); n != dials {
					t.Errorf("%d connections, of %d", n, dials)
				}
			})
		}
	}
}
