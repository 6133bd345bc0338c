package control

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestEndpointListIsWatchedAgainAfterAFailure(t *testing.T) {
	settings := testSettings()
	settings.ListOnRequest, settings.MaxPollInterval = true, 10*time.Second
	gateway := newTestGateway(t, settings, activeEndpoints(1)...)
	countWatches := func() (n int) {
		for _, action := range gateway.actions {
			if watch, ok := action.(WatchEndpoints); ok && watch.Active {
				n++
			}
		}
		return n
	}
	gateway.advance(200 * ms)
	if countWatches() != 1 {
		t.Fatalf("started %d watches, want 1", countWatches())
	}
	gateway.handle(EndpointList{Kind: ListFailed})
	gateway.advance(5 * time.Second)
	if countWatches() < 2 {
		t.Error("no watch was started after the first one failed")
	}
	gateway.handle(EndpointList{Kind: ListComplete, Endpoints: activeEndpoints(1)})
	n := countWatches()
	gateway.advance(20 * time.Second)
	if countWatches() != n {
		t.Error("a watch was started while one is active")
	}
}

func TestWatchIsStartedOnceInAnInterval(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	watch := endpointWatch{isRequired: true}
	if !watch.startIfDue(time.Hour) || watch.startIfDue(time.Hour+rewatchInterval-1) || !watch.startIfDue(time.Hour+rewatchInterval) {
		t.Error("a watch without an answer is not restarted exactly once per interval")
	}
	watch.recordList(time.Hour, rng, ListComplete)
	if watch.startIfDue(2 * time.Hour) {
		t.Error("startIfDue is true while a watch is active")
	}
	watch.recordList(2*time.Hour, rng, ListFailed)
	if watch.startIfDue(2*time.Hour+rewatchInterval/2-1) || !watch.startIfDue(2*time.Hour+rewatchInterval*3/2) {
		t.Error("a failed watch is not restarted after 0.5 to 1.5 intervals")
	}
	var pushed endpointWatch
	if pushed.startIfDue(time.Hour) {
		t.Error("startIfDue is true for a list that needs no watch")
	}
}
