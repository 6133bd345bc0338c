package service

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/upstream"
)

// TestAddressHistoryFindsReuse checks that a server at an address which another one has, or had a short time ago, is found:
// the other's process may still be there, so that a request may run in another group than the list says.
func TestAddressHistoryFindsReuse(t *testing.T) {
	const address = "127.0.0.1:1"
	now := time.Now()
	history := newAddressHistory()
	if history.begin(address, 1, "a", now) {
		t.Error("a new address counts as reused")
	}
	if history.begin(address, 2, "a2", now) {
		t.Error("an address that two servers of one message share counts as reused")
	}
	now = now.Add(time.Second)
	if !history.begin(address, 2, "b", now) {
		t.Error("an address that another server has is not reused")
	}
	history.end(address, 1, now) // b has it
	history.end(address, 2, now)
	if history.begin(address, 3, "b", now) {
		t.Error("an address that the same server had is reused")
	}
	history.end(address, 3, now)
	if !history.begin(address, 4, "c", now.Add(upstream.IdentityDelay-1)) {
		t.Error("an address that another server had is not reused")
	}
	history.end(address, 4, now)
	if history.begin(address, 5, "d", now.Add(upstream.IdentityDelay)) || len(history.users) != 1 || len(history.ended) != 0 {
		t.Errorf("an address counts as reused after the delay, or is kept: %+v", history)
	}
}

// TestUpdateAtReusedAddressIsNotRepeated checks that an update is not repeated, neither there nor in the server's group, after
// its attempt was reset at an address that the list has just given to another server: the process of the server before may
// have run it, in another group.
func TestUpdateAtReusedAddressIsNotRepeated(t *testing.T) {
	const updates = 40
	var mu sync.Mutex
	attempts := make(map[string]int)
	count := func(r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		attempts[r.Header.Get(protocol.HeaderID)]++
	}
	reused := testkit.NewApp(t, func(w http.ResponseWriter, r *http.Request) { count(r); testkit.Reset(w, r) })
	other := testkit.NewApp(t, func(w http.ResponseWriter, r *http.Request) { count(r); io.WriteString(w, "ok") })
	options := Options{Settings: threeClassSettings(5*time.Second, time.Second), Source: staticSource(reused.Addr(), "s-1")}
	for i := range options.Settings.Classes {
		options.Settings.Classes[i].KeyScope = control.ScopeCell
	}
	options.Upstream.SocketLimiter = limits.NewSocketLimiter(100)
	options.Upstream.ConnectTimeout, options.Upstream.KeepAliveTimeout = testkit.WaitTimeout, testkit.WaitTimeout
	service := runReadyService(t, options)
	service.receiveEndpoints(discovery.EndpointList{IsComplete: true, Endpoints: []discovery.Endpoint{
		{UID: "s-2", Address: reused.Addr(), State: "up", Capacity: 1, Group: 1},
		{UID: "s-3", Address: other.Addr(), State: "up", Capacity: 1, Group: 1},
	}})
	var clients sync.WaitGroup
	for i := range updates { // at once, so that both servers get some
		x := newClientExchange(t, fmt.Sprint("id-", i), "keyed")
		clients.Go(func() { service.Do(t.Context(), x) })
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, n := range attempts {
		if n > 1 {
			t.Errorf("%s: %d attempts", id, n)
		}
	}
	if reused.Count() == 0 {
		t.Error("no attempt at the reused address")
	}
}
