package service

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/limits"
	"lockflow/internal/testkit"
	"lockflow/internal/upstream"
)

// A list that tells of a server's drain, or no longer has it, has nothing be begun there any more, wherever
// the send is then: at the gate, in the loop's channel, or with a worker that has not begun. The module
// hears once that it never ran, and may send elsewhere.
func TestAttemptAfterServerRemovalIsNotSent(t *testing.T) {
	for _, effect := range []control.Idempotency{control.Idempotent, control.IdempotencyKeyed, control.NotIdempotent} {
		for state, news := range map[string]discovery.Listing{
			"draining": {Targets: []discovery.Target{{UID: "s-1", State: "draining"}}},
			"removed":  {Targets: []discovery.Target{{UID: "s-1", State: "removed"}}},
			"unlisted": {All: true},
		} {
			for _, where := range []string{"gate", "channel", "worker", "worker, idle connection"} {
				t.Run(fmt.Sprint(where, ", ", state, ", effect ", effect), func(t *testing.T) {
					app := testkit.NewApp(t, testkit.Served)
					listed, ended, server := make(chan struct{}, 10), make(chan control.AttemptResult, 10), uint32(0)
					module := moduleFunc(func(e control.Event) []control.Action {
						switch e := e.(type) {
						case control.EndpointList:
							if server == 0 {
								server = e.Endpoints[0].Server
							}
							listed <- struct{}{}
						case control.Request:
							return []control.Action{control.Send{ID: e.ID, Server: server}}
						case control.AttemptResult:
							if ended <- e; !e.IsFinal {
								return []control.Action{control.Reject{ID: e.ID}}
							}
						}
						return nil
					})
					o := Options{Settings: testSettings(), NewModule: func() (Module, error) { return module, nil }}
					o.Settings.Classes[0].Idempotency = effect
					o.Upstream = upstream.Options{Sockets: limits.NewSockets(100), Connect: testkit.Patience, Keepalive: time.Hour}
					o.Source = discovery.Source{Kind: discovery.Static, Servers: []discovery.Target{{UID: "s-1", Endpoint: app.Addr(), State: "up"}}}
					s, err := New(o)
					if err != nil {
						t.Fatal(err)
					}
					ctx, stop := context.WithCancel(context.Background())
					over := make(chan error, 1)
					go func() { over <- s.Run(ctx) }()
					t.Cleanup(func() {
						stop()
						if err := <-over; err != nil {
							t.Error(err)
						}
					})
					testkit.Next(t, listed)

					ask := func(id string) *Exchange {
						q, _ := http.NewRequest(http.MethodPost, "http://h/read", nil)
						x := newExchange(id)
						x.Deadline, x.Forwarder = time.Now().Add(time.Hour), &upstream.Whole{Request: q, Body: []byte("body")}
						return x
					}
					if where == "worker, idle connection" {
						if a, _ := s.Do(t.Context(), ask("before")); a.Status != http.StatusOK {
							t.Fatalf("%+v", a)
						}
						testkit.Next(t, ended)
					}
					before, x := app.Count(), ask("id-1")
					answers := make(chan Answer, 1)
					do := func() { go func() { a, _ := s.Do(t.Context(), x); answers <- a }() }
					tell := func() { s.receiveEndpoints(news); testkit.Next(t, listed) }
					switch where {
					case "gate":
						decided := make(chan bool, 1)
						x.Gate = &Gate{OnDecision: func(taken bool) { decided <- taken }}
						do()
						testkit.Next(t, decided)
						tell()
						x.OpenGate()
					case "channel":
						b := newBarrier()
						s.Post(b.pass)
						testkit.Next(t, b.arrived)
						s.receiveEndpoints(news)
						do()
						testkit.Until(t, "both in the channel", func() bool { return len(s.currentLoop().events) == 2 })
						close(b.open)
					default:
						b := newBarrier()
						x.Forwarder = heldForwarder{x.Forwarder, b}
						do()
						testkit.Next(t, b.arrived)
						tell()
						close(b.open)
					}
					if a := testkit.Next(t, answers); a.Kind != Rejected {
						t.Errorf("%+v", a)
					}
					if e := testkit.Next(t, ended); e.Reason != control.ConnectFailed || e.IsFinal {
						t.Errorf("its attempt ended %+v", e)
					}
					if n := app.Count(); n != before || len(ended) > 0 {
						t.Errorf("%d sent behind the news; further outcomes %d", n-before, len(ended))
					}
				})
			}
		}
	}
}
