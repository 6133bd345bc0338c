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
		t.Fatalf("%d watches at start", countWatches())
	}
	gateway.handle(EndpointList{Kind: ListFailed})
	gateway.advance(5 * time.Second)
	if countWatches() < 2 {
		t.Error("no second watch after the first failed")
	}
	gateway.handle(EndpointList{Kind: ListComplete, Endpoints: activeEndpoints(1)})
	n := countWatches()
	gateway.advance(20 * time.Second)
	if countWatches() != n {
		t.Error("watched again during a watch")
	}
}

func TestWatchIsStartedOnceInAnInterval(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	watch := endpointWatch{isRequired: true}
	if !watch.startIfDue(time.Hour) || watch.startIfDue(time.Hour+rewatchInterval-1) || !watch.startIfDue(time.Hour+rewatchInterval) {
		t.Error("a watch that does not answer is not started once in an interval")
	}
	watch.recordList(time.Hour, rng, ListComplete)
	if watch.startIfDue(2 * time.Hour) {
		t.Error("an active watch is started again")
	}
	watch.recordList(2*time.Hour, rng, ListFailed)
	if watch.startIfDue(2*time.Hour+rewatchInterval/2-1) || !watch.startIfDue(2*time.Hour+rewatchInterval*3/2) {
		t.Error("a failed watch is not started again within the interval, from a half to one and a half")
	}
	var pushed endpointWatch
	if pushed.startIfDue(time.Hour) {
		t.Error("a list that comes by itself is watched")
	}
}
