package front

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// TestBadRequestsArePaced checks that clients which send invalid requests one after the other get a bounded number of answers a
// second, each without a long delay: twenty of them once took so much of the processor that nine in ten valid requests
// were rejected.
func TestBadRequestsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const clients, duration = 20, 5 * time.Second
		front := &Front{}
		answers := make(chan time.Duration, 1<<20)
		startedAt := time.Now()
		for range clients {
			go func() {
				for time.Since(startedAt) < duration {
					at := time.Now()
					request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/nothing", nil)
					front.writeBadRequest(httptest.NewRecorder(), request, newBadRequest(http.StatusNotFound, "unknown"))
					answers <- time.Since(at)
				}
			}()
		}
		time.Sleep(duration + maxBadRequestDelay)
		synctest.Wait()
		count := len(answers)
		if limit := int(duration/badRequestInterval) + maxBadRequestBurst + clients; count > limit || count < limit/2 {
			t.Errorf("%d answers within %v, want about %d", count, duration, limit)
		}
		for range count {
			if delay := <-answers; delay > maxBadRequestDelay {
				t.Errorf("an answer was delayed by %v", delay)
			}
		}
	})
}

// TestFewBadRequestsAreNotDelayed checks that invalid requests in moderate number are answered at once.
func TestFewBadRequestsAreNotDelayed(t *testing.T) {
	var pacer badRequestPacer
	now := time.Now()
	for i := range maxBadRequestBurst {
		if delay := pacer.delay(now); delay != 0 {
			t.Errorf("request %d is delayed by %v", i, delay)
		}
	}
	for range 1000 {
		now = now.Add(badRequestInterval)
		if delay := pacer.delay(now); delay != 0 {
			t.Fatalf("delayed by %v", delay)
		}
	}
}
