package node

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"lockflow/internal/protocol"
	"lockflow/internal/testsupport/testkit"
)

// A request with an idempotency key that may have been executed is retried only within the server's group, with its key.
func TestIdempotentRequestIsRetriedWithinItsGroup(t *testing.T) {
	r := newTestNode(t)
	fails := true
	serve := func(w http.ResponseWriter, req *http.Request) {
		if fails {
			fails = false
			testkit.Reset(w, req)
			return
		}
		testkit.AnswerServed(w, req)
	}
	a, b := testkit.NewApp(t, serve), testkit.NewApp(t, serve)
	r.setEndpoints(endpointOf(a, "s-1", 0), endpointOf(b, "s-2", 1))
	resp, body := r.do(r.newRequest(http.MethodPost, "/visit-update", "id-1"))
	if resp.StatusCode != 200 || body != "served id-1" {
		t.Errorf("answer: %s %q", resp.Status, body)
	}
	if n := a.Count() * b.Count(); n != 0 || a.Count()+b.Count() != 2 {
		t.Errorf("attempts at the servers: %v and %v, want two at one server", a.Requests(), b.Requests())
	}
	for _, s := range append(a.Requests(), b.Requests()...) {
		if !strings.Contains(s, "k-id-1") {
			t.Errorf("attempt %q has no idempotency key", s)
		}
	}
}

// At the request's deadline the connection of the attempt is closed and the client is answered.
func TestDeadlineEndsAttempt(t *testing.T) {
	for class, tc := range map[string]struct {
		method string
		want   int
	}{
		"/roster-read":  {http.MethodGet, http.StatusServiceUnavailable}, // safe for the client to retry
		"/visit-update": {http.MethodPost, http.StatusGatewayTimeout},    // may have been executed
	} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			r := newTestNode(t)
			gone := make(chan struct{})
			app := testkit.NewApp(t, func(_ http.ResponseWriter, req *http.Request) {
				<-req.Context().Done()
				close(gone)
			})
			r.setEndpoints(endpointOf(app, "s-1", 0))
			req := r.newRequest(tc.method, class, "id-1")
			req.Header.Set(protocol.HeaderTimeLeft, "600000u")
			if resp, _ := r.do(req); resp.StatusCode != tc.want {
				t.Errorf("answer: %s", resp.Status)
			}
			testkit.Next(t, gone)
			if n := app.Count(); n != 1 {
				t.Errorf("%d attempts, want 1", n)
			}
		})
	}
}

// A client that disconnects gets no answer. Its request ID can be used again once the attempt has ended.
func TestClientDisconnectFreesRequestID(t *testing.T) {
	r := newTestNode(t)
	arrived, finish := make(chan struct{}), make(chan struct{})
	app := testkit.NewApp(t, func(w http.ResponseWriter, req *http.Request) {
		arrived <- struct{}{}
		<-finish
		testkit.AnswerServed(w, req)
	})
	r.setEndpoints(endpointOf(app, "s-1", 0))
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan error, 1)
	go func() {
		resp, err := r.RoundTrip(r.newRequest(http.MethodGet, "/roster-read", "id-1").WithContext(ctx))
		if err == nil {
			resp.Body.Close()
		}
		left <- err
	}()
	testkit.Next(t, arrived)
	if resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1")); resp.StatusCode != http.StatusConflict {
		t.Errorf("second request with an ID in flight: %s, want 409", resp.Status)
	}
	leave()
	if err := testkit.Next(t, left); err == nil {
		t.Error("the client that disconnected got an answer")
	}
	r.waitUntil("the client's disconnect", func() bool { s := r.status(); return s.Requests == 1 && s.Unanswered == 0 })
	close(finish)
	r.waitUntil("the end of the attempt", func() bool { return r.status().Requests == 0 })
	go func() { <-arrived }()
	if resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1")); resp.StatusCode != 200 {
		t.Errorf("request with an ID that is free again: %s, want 200", resp.Status)
	}
}

// A draining app server gets no new requests, and idle connections to it are closed.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	r := newTestNode(t)
	a := testkit.NewApp(t, testkit.AnswerServed)
	b := testkit.NewApp(t, testkit.AnswerServed)
	r.setEndpoints(endpointOf(a, "s-1", 0))
	r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1"))
	draining := endpointOf(a, "s-1", 0)
	draining.State = "draining"
	r.setEndpoints(draining, endpointOf(b, "s-2", 0))
	for i := range 20 {
		if resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "later-"+strconv.Itoa(i))); resp.StatusCode != 200 {
			t.Errorf("answer: %s", resp.Status)
		}
	}
	if a.Count() != 1 || b.Count() != 20 {
		t.Errorf("%d requests to the draining server, %d to the other", a.Count(), b.Count())
	}
	if s := r.status(); s.AvailableServers != 1 || s.IdleConnections != b.Dials() {
		t.Error("an idle connection to the draining server was kept")
	}
}

// An app server can come back at another address.
func TestServerChangesAddress(t *testing.T) {
	r := newTestNode(t)
	a, b := testkit.NewApp(t, testkit.AnswerServed), testkit.NewApp(t, testkit.AnswerServed)
	r.setEndpoints(endpointOf(a, "s-1", 0))
	r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1"))
	r.setEndpoints(endpointOf(b, "s-1", 0))
	r.do(r.newRequest(http.MethodGet, "/roster-read", "id-2"))
	if a.Count() != 1 || b.Count() != 1 {
		t.Errorf("%d requests to the old address, %d to the new one", a.Count(), b.Count())
	}
}

// Guards against reusing a connection for another app server at the same address. A connection belongs to the app server
// that it was opened to, even if it was in use when that server was removed.
func TestReusedAddressGetsNewConnections(t *testing.T) {
	r := newTestNode(t)
	var mu sync.Mutex
	clientAddress := make(map[string]string)
	arrived, finish := make(chan struct{}), make(chan struct{})
	app := testkit.NewApp(t, func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get(protocol.HeaderID)
		mu.Lock()
		clientAddress[id] = req.RemoteAddr
		mu.Unlock()
		if id == "held" {
			close(arrived)
			<-finish
		}
		testkit.AnswerServed(w, req)
	})
	r.setEndpoints(endpointOf(app, "s-1", 0))
	answered := make(chan int, 1)
	go func() {
		resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "held"))
		answered <- resp.StatusCode
	}()
	testkit.Next(t, arrived)
	r.do(r.newRequest(http.MethodGet, "/roster-read", "before"))
	removed := endpointOf(app, "s-1", 0)
	removed.State = "removed"
	r.setEndpoints(removed, endpointOf(app, "s-2", 0))
	close(finish)
	if s := testkit.Next(t, answered); s != 200 {
		t.Errorf("request in flight: status %d, want 200", s)
	}
	r.waitUntil("the end of the attempt", func() bool { return r.status().Requests == 0 })
	r.do(r.newRequest(http.MethodGet, "/roster-read", "after"))
	if clientAddress["after"] == clientAddress["before"] || clientAddress["after"] == clientAddress["held"] {
		t.Error("a connection to the removed server was used")
	}
}

// The node keeps no state of removed app servers.
func TestRemovedServersLeaveNoState(t *testing.T) {
	r := newTestNode(t)
	app := testkit.NewApp(t, testkit.AnswerServed)
	for i := range 50 {
		up := endpointOf(app, "s-"+strconv.Itoa(i), 0)
		r.setEndpoints(up)
		resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "id-"+strconv.Itoa(i)))
		if resp.StatusCode != 200 {
			t.Errorf("answer: %s", resp.Status)
		}
		r.waitUntil("one app server", func() bool { s := r.status(); return s.Servers == 1 && s.AvailableServers == 1 })
		up.State = "removed"
		r.setEndpoints(up)
	}
	r.waitUntil("none", func() bool { s := r.status(); return s.Servers == 0 && s.AvailableServers == 0 })
	if idle, pools := r.service().Upstream().CountIdle(); idle != 0 || pools != 0 {
		t.Errorf("%d pools, %d connections", pools, idle)
	}
}
