package service

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/limits"
	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/upstream"
)

// removalTest is a service with one server, which an endpoint list removes while a request waits.
type removalTest struct {
	t       *testing.T
	service *Service
	app     *testkit.App
	server  uint32                     // its number in the module
	listed  chan struct{}              // the module has been notified of a list
	results chan control.AttemptResult // as reported to the module
	// sentBefore is the number of requests that the server got before the waiting one.
	sentBefore int
}

func newRemovalTest(t *testing.T, idempotency control.Idempotency) *removalTest {
	r := &removalTest{
		t: t, app: testkit.NewApp(t, testkit.AnswerServed), listed: make(chan struct{}, 10), results: make(chan control.AttemptResult, 10),
	}
	o := Options{Settings: testSettings(), NewModule: moduleOf(moduleFunc(r.handle))}
	o.Settings.Classes[0].Idempotency = idempotency
	o.Upstream = upstream.Options{SocketLimiter: limits.NewSocketLimiter(100), ConnectTimeout: testkit.WaitTimeout, KeepAliveTimeout: time.Hour}
	o.Source = discovery.Source{Kind: discovery.Static, Endpoints: []discovery.Endpoint{{UID: "s-1", Address: r.app.Addr(), State: "up"}}}
	r.service = runService(t, o)
	testkit.Next(t, r.listed)
	return r
}

// handle is a module that sends each request to the server, and rejects it if the attempt does not answer it.
func (r *removalTest) handle(e control.Event) []control.Action {
	switch e := e.(type) {
	case control.EndpointList:
		if r.server == 0 {
			r.server = e.Endpoints[0].Server
		}
		r.listed <- struct{}{}
	case control.Request:
		return []control.Action{control.Send{ID: e.ID, Server: r.server}}
	case control.AttemptResult:
		if r.results <- e; !e.IsFinal {
			return []control.Action{control.Reject{ID: e.ID}}
		}
	}
	return nil
}

func (r *removalTest) newExchange(id string) *Exchange {
	x := newExchange(id)
	x.Deadline, x.Forwarder = time.Now().Add(time.Hour), newForwarder(r.t, http.MethodPost, "body", nil)
	return x
}

// remove passes a list to the service, and waits until the module is notified of it.
func (r *removalTest) remove(list discovery.EndpointList) {
	r.service.receiveEndpoints(list)
	testkit.Next(r.t, r.listed)
}

// removeAtGate removes the server while a request waits at its gate.
func (r *removalTest) removeAtGate(x *Exchange, list discovery.EndpointList) <-chan Answer {
	decided := make(chan bool, 1)
	x.Gate = &Gate{OnDecision: func(isAdmitted bool) { decided <- isAdmitted }}
	answers := doInBackground(r.t.Context(), r.service, x)
	testkit.Next(r.t, decided)
	r.remove(list)
	x.OpenGate()
	return answers
}

// removeInEventQueue removes the server by an event that is queued right before the event of a request.
func (r *removalTest) removeInEventQueue(x *Exchange, list discovery.EndpointList) <-chan Answer {
	b := newBarrier()
	r.service.Post(b.pass)
	testkit.Next(r.t, b.arrived)
	r.service.receiveEndpoints(list)
	answers := doInBackground(r.t.Context(), r.service, x)
	testkit.Until(r.t, "both events to be queued", func() bool { return len(r.service.currentLoop().events) == 2 })
	close(b.open)
	return answers
}

// removeAtWorker removes the server before a request's worker makes the attempt.
func (r *removalTest) removeAtWorker(x *Exchange, list discovery.EndpointList) <-chan Answer {
	b := newBarrier()
	x.Forwarder = blockedForwarder{x.Forwarder, b}
	answers := doInBackground(r.t.Context(), r.service, x)
	testkit.Next(r.t, b.arrived)
	r.remove(list)
	close(b.open)
	return answers
}

// removeAtWorkerWithIdleConnection is removeAtWorker with an idle connection to the server.
func (r *removalTest) removeAtWorkerWithIdleConnection(x *Exchange, list discovery.EndpointList) <-chan Answer {
	if a, _ := r.service.Do(r.t.Context(), r.newExchange("before")); a.Status != http.StatusOK {
		r.t.Fatalf("answer %+v to the request before, want status 200", a)
	}
	testkit.Next(r.t, r.results)
	r.sentBefore = r.app.Count()
	return r.removeAtWorker(x, list)
}

// TestAttemptAfterServerRemovalIsNotSent checks that no attempt is made at a server after a list has it draining or
// removed, whether the request waits at the gate, in the event queue, or at its worker. The module is notified
// once that the request did not run, and may send it elsewhere.
func TestAttemptAfterServerRemovalIsNotSent(t *testing.T) {
	lists := map[string]discovery.EndpointList{
		"draining": {Endpoints: []discovery.Endpoint{{UID: "s-1", State: "draining"}}},
		"removed":  {Endpoints: []discovery.Endpoint{{UID: "s-1", State: "removed"}}},
		"unlisted": {IsComplete: true},
	}
	stages := map[string]func(*removalTest, *Exchange, discovery.EndpointList) <-chan Answer{
		"gate":                    (*removalTest).removeAtGate,
		"channel":                 (*removalTest).removeInEventQueue,
		"worker":                  (*removalTest).removeAtWorker,
		"worker, idle connection": (*removalTest).removeAtWorkerWithIdleConnection,
	}
	for _, idempotency := range []control.Idempotency{control.Idempotent, control.IdempotentWithKey, control.NotIdempotent} {
		for state, list := range lists {
			for stage, removeAt := range stages {
				t.Run(fmt.Sprint(stage, ", ", state, ", idempotency ", idempotency), func(t *testing.T) {
					newRemovalTest(t, idempotency).check(removeAt, list)
				})
			}
		}
	}
}

// check removes the server by removeAt while a request waits, and checks that the server does not get the request.
func (r *removalTest) check(removeAt func(*removalTest, *Exchange, discovery.EndpointList) <-chan Answer, list discovery.EndpointList) {
	answers := removeAt(r, r.newExchange("id-1"), list)
	if a := testkit.Next(r.t, answers); a.Kind != Rejected {
		r.t.Errorf("answer %+v, want a rejection", a)
	}
	if e := testkit.Next(r.t, r.results); e.Reason != control.ConnectFailed || e.IsFinal {
		r.t.Errorf("attempt ended %+v, want a non-final connect failure", e)
	}
	if n := r.app.Count(); n != r.sentBefore || len(r.results) > 0 {
		r.t.Errorf("%d requests sent after the removal, %d further results; want none", n-r.sentBefore, len(r.results))
	}
}
