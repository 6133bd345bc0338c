package node

import (
	"net"
	"net/http"
	"testing"

	"lockflow/internal/config"
	"lockflow/internal/testsupport/testkit"
)

// A draining node answers its requests in flight, accepts requests that still arrive, and then ends.
func TestDrainAnswersRequestsInFlight(t *testing.T) {
	t.Parallel()
	r := newTestNodeWithDrain(t, config.PlatformDrain)
	arrived, finish := make(chan struct{}, 2), make(chan struct{})
	app := testkit.NewApp(t, func(w http.ResponseWriter, req *http.Request) {
		arrived <- struct{}{}
		<-finish
		testkit.AnswerServed(w, req)
	})
	r.setEndpoints(endpointOf(app, "s-1", 0))
	answers := make(chan *http.Response, 2)
	send := func(id string) {
		resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", id))
		answers <- resp
	}
	go send("before")
	testkit.Next(t, arrived)
	r.stop()
	r.waitUntil("draining", r.isDraining)
	if resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "")); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("invalid request while draining: %s, close %v, want 400 and close", resp.Status, resp.Close)
	}
	go send("after")
	testkit.Next(t, arrived)
	close(finish)
	for range 2 {
		if resp := testkit.Next(t, answers); resp.StatusCode != 200 || !resp.Close {
			t.Errorf("valid request while draining: %s, close %v, want 200 and close", resp.Status, resp.Close)
		}
	}
	if err := testkit.Next(t, r.ended); err != nil {
		t.Error(err)
	}
	r.ended <- nil
	if c, err := net.Dial("tcp", r.node.Addr()); err == nil {
		c.Close()
		t.Error("the node still listens after its end")
	}
}

// A request that its app server has not answered when the drain ends is answered as failed before the node ends.
func TestDrainFailsUnansweredRequests(t *testing.T) {
	t.Parallel()
	r := newTestNodeWithDrain(t, config.PlatformDrain)
	answered := r.holdRequest()
	r.stop()
	if s := testkit.Next(t, answered); s != http.StatusBadGateway {
		t.Errorf("unanswered request: status %d, want 502", s)
	}
	if err := testkit.Next(t, r.ended); err != nil {
		t.Error(err)
	}
	r.ended <- nil
}
