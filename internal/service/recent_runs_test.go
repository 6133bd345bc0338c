package service

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/testsupport/testkit"
)

// newClientExchange returns a request with an id of its client, as the platform's protocol has them.
func newClientExchange(t *testing.T, id, class string) *Exchange {
	t.Helper()
	x := newExchange(id)
	x.Request.Class = class
	x.Request.Units = 1
	x.HasClientID = true
	x.Forwarder = newForwarder(t, http.MethodPost, "sale", http.Header{"X-Correlation-Id": {id}})
	return x
}

// TestRequestThatComesAgainRunsOnce checks that a request which may have run is not run again if it arrives once more with
// its id, also at the service that replaces this one and in a process that takes over. A client that leaves without reading its
// answers does that: the second arrival went to another group of servers, which did not know its key.
func TestRequestThatComesAgainRunsOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		class    string
		wantRuns int
		next     func(t *testing.T, first *Service, options Options) *Service
	}{
		"unsafe":           {"unsafe", 1, func(_ *testing.T, first *Service, _ Options) *Service { return first }},
		"keyed":            {"keyed", 1, func(_ *testing.T, first *Service, _ Options) *Service { return first }},
		"safe":             {"safe", 2, func(_ *testing.T, first *Service, _ Options) *Service { return first }},
		"after a reload":   {"keyed", 1, replaceService},
		"after an upgrade": {"keyed", 1, handServiceOver},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			runs := 0
			app := testkit.NewApp(t, func(w http.ResponseWriter, _ *http.Request) {
				mu.Lock()
				runs++
				mu.Unlock()
				io.WriteString(w, "ok")
			})
			options := Options{Settings: threeClassSettings(5*time.Second, time.Second), Source: staticSource(app.Addr(), "s-1", "s-2")}
			options.Upstream.SocketLimiter = limits.NewSocketLimiter(100)
			options.Upstream.ConnectTimeout = testkit.WaitTimeout
			options.Upstream.KeepAliveTimeout = testkit.WaitTimeout
			service := runReadyService(t, options)
			for i := range 2 {
				answer, ok := service.Do(t.Context(), newClientExchange(t, "id", tc.class))
				isConflict := answer.Kind == Failed && answer.Status == http.StatusConflict
				if !ok || isConflict != (i >= tc.wantRuns) {
					t.Errorf("arrival %d: answer %+v, %v", i, answer, ok)
				}
				service = tc.next(t, service, options)
			}
			mu.Lock()
			defer mu.Unlock()
			if runs != tc.wantRuns {
				t.Errorf("%d runs, want %d", runs, tc.wantRuns)
			}
		})
	}
}

// replaceService returns the replacement of a service, as a reload has it.
func replaceService(t *testing.T, first *Service, options Options) *Service {
	t.Helper()
	options.Predecessor = first
	replacement := runReadyService(t, options)
	first.ReplaceWith(replacement)
	return replacement
}

// handServiceOver returns a service of another process, with the state that an upgrade hands over.
func handServiceOver(t *testing.T, first *Service, options Options) *Service {
	t.Helper()
	state, ok := first.HandOver(0.5)
	if !ok {
		t.Fatal("no state")
	}
	successor := runReadyService(t, options)
	successor.Restore(state, 0, control.TrustAll)
	return successor
}

// TestRejectedRequestMayComeAgain checks that a request which was not run is accepted again with its id.
func TestRejectedRequestMayComeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, _ := startService(t, Options{Settings: threeClassSettings(5*time.Second, time.Second), NewModule: moduleOf(moduleFunc(rejectAll))})
		for range 2 {
			if answer, ok := service.Do(context.Background(), newClientExchange(t, "id", "unsafe")); !ok || answer.Kind != Rejected {
				t.Errorf("answer %+v, %v", answer, ok)
			}
		}
	})
}

// TestRecentRunsAreBounded checks that ids are forgotten after their lifetime, and the oldest ones beyond the limit.
func TestRecentRunsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := newRecentRuns()
		for i := range 2 * maxRecentRuns {
			id := fmt.Sprint(i)
			if !runs.begin(id) {
				t.Fatalf("%s: refused", id)
			}
			runs.end(id, true)
		}
		oldest, next := fmt.Sprint(maxRecentRuns-1), fmt.Sprint(maxRecentRuns)
		if !runs.begin(oldest) || runs.begin(next) || len(runs.ended) != maxRecentRuns || len(runs.order) != maxRecentRuns {
			t.Errorf("%d ids and %d in order, want %d, from %s on", len(runs.ended), len(runs.order), maxRecentRuns, next)
		}
		time.Sleep(recentRunLifetime)
		if !runs.begin(next) || len(runs.ended) > 0 {
			t.Errorf("%d ids after their lifetime", len(runs.ended))
		}
	})
}
