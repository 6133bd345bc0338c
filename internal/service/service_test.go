package service

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/upstream"
)

func TestRejectionIsImmediate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := startService(t, Options{NewModule: moduleOf(moduleFunc(rejectAll))})
		startedAt := time.Now()
		a, ok := s.Do(context.Background(), newExchange("id-1"))
		if !ok || a.Status != http.StatusServiceUnavailable || a.RetryAfter != time.Second || time.Since(startedAt) > 0 {
			t.Errorf("answer %+v, %v after %v; want an immediate rejection", a, ok, time.Since(startedAt))
		}
	})
}

// TestRetiredServiceEndsWhenReleased checks that a retired service ends once nothing references it, and not
// sooner; after that TryAcquire fails.
func TestRetiredServiceEndsWhenReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, ended := startService(t, Options{NewModule: moduleOf(moduleFunc(rejectAll))})
		if first, second := s.TryAcquire(), s.TryAcquire(); !first || !second {
			t.Fatal("TryAcquire failed on a running service")
		}
		s.Retire()
		s.Release()
		synctest.Wait()
		if a, ok := s.Do(context.Background(), newExchange("id-1")); !ok || a.RetryAfter == 0 {
			t.Errorf("answer %+v, %v of a service with a reference", a, ok)
		}
		select {
		case err := <-ended:
			t.Fatalf("service ended while it had a reference: %v", err)
		default:
		}
		s.Release()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if s.TryAcquire() {
			t.Error("TryAcquire succeeded after the service had ended")
		}
		if a, ok := s.Do(context.Background(), newExchange("id-2")); !ok || a.Status != http.StatusServiceUnavailable {
			t.Errorf("answer %+v, %v after the service had ended", a, ok)
		}
	})
}

// TestRestartsBackOff checks that the backoff before the restarts of a module that panics repeatedly grows, and that
// each request is answered: accepted ones as failed, those that arrive during the backoff as rejected.
func TestRestartsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		made := 0
		s, ended := startService(t, Options{OnPanic: RestartService, NewModule: func() (Module, error) {
			made++
			return moduleFunc(func(e control.Event) []control.Action {
				if r, ok := e.(control.Request); ok && r.ID == "bad" {
					panic("bad")
				}
				return nil
			}), nil
		}})
		accepted := make(chan Answer)
		go func() {
			a, _ := s.Do(context.Background(), newExchange("held"))
			accepted <- a
		}()
		synctest.Wait()
		if a, _ := s.Do(context.Background(), newExchange("bad")); a.Status != http.StatusBadGateway {
			t.Errorf("answer to the request that caused the panic: %+v", a)
		}
		if a := <-accepted; a.Status != http.StatusBadGateway {
			t.Errorf("answer to the accepted request: %+v", a)
		}
		synctest.Wait()
		if st := s.Status(); st.Restarts != 1 || st.Servers != 1 || st.Requests != 0 {
			t.Errorf("status after the first, immediate restart: %+v", st)
		}
		s.Do(context.Background(), newExchange("bad"))
		synctest.Wait()
		if a, _ := s.Do(context.Background(), newExchange("between")); a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
			t.Errorf("answer during the backoff: %+v", a)
		}
		time.Sleep(minRestartBackoff)
		synctest.Wait()
		if st := s.Status(); st.Restarts != 2 || made != 3 {
			t.Errorf("status %+v with %d modules created, want 2 restarts and 3 modules", st, made)
		}
		select {
		case err := <-ended:
			t.Errorf("service ended: %v", err)
		default:
		}
	})
}

func TestPanicEndsServiceByDefault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, ended := startService(t, Options{NewModule: func() (Module, error) {
			return moduleFunc(func(e control.Event) []control.Action {
				if _, ok := e.(control.Request); ok {
					panic("no such share")
				}
				return nil
			}), nil
		}})
		if a, _ := s.Do(context.Background(), newExchange("x")); a.Status != http.StatusBadGateway {
			t.Errorf("answer %+v, want status 502", a)
		}
		if err := <-ended; err == nil {
			t.Error("Run returned no error after a panic")
		}
	})
}

// countingLimiter admits a limited number of requests at once and counts releases.
type countingLimiter struct {
	acquired, released atomic.Int64
	limit              int64
}

func (c *countingLimiter) Admit(int64) (func(), bool) {
	if c.acquired.Load() >= c.limit {
		return nil, false
	}
	c.acquired.Add(1)
	return func() { c.acquired.Add(-1); c.released.Add(1) }, true
}

// panicWithinCapacity rejects each request for which there are no resources, and panics on any other.
func panicWithinCapacity(e control.Event) []control.Action {
	if r, ok := e.(control.Request); ok && !r.IsOverCapacity {
		panic("bad")
	}
	return rejectAll(e)
}

// TestResourcesAreReleasedOnce checks that the resources of a request are released once, when both the caller
// of Do and the loop have released them, in any order and however the request ends.
func TestResourcesAreReleasedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := &countingLimiter{limit: 2}
		var module moduleFunc = ignoreAll
		s, _ := startService(t, Options{Limiter: limiter, OnPanic: RestartService, NewModule: func() (Module, error) {
			return moduleFunc(func(e control.Event) []control.Action { return module(e) }), nil
		}})
		do := func(ctx context.Context, id string) (Answer, bool) {
			x := newExchange(id)
			if s.Admit(x, 10) {
				defer x.Release()
			}
			return s.Do(ctx, x)
		}
		ctx, leave := context.WithCancel(context.Background())
		left := make(chan bool)
		for range 2 { // the second has the id of an accepted one
			go func() {
				_, ok := do(ctx, "same")
				left <- ok
			}()
		}
		if ok := <-left; !ok {
			t.Error("second request with the same id got no answer")
		}
		synctest.Wait()
		if n := limiter.acquired.Load(); n != 1 {
			t.Errorf("%d reservations while one request is accepted, want 1", n)
		}
		leave()
		if ok := <-left; ok {
			t.Error("disconnected client got an answer")
		}
		synctest.Wait()
		if n := limiter.acquired.Load(); n != 0 {
			t.Errorf("%d reservations after the client disconnected, want 0", n)
		}
		module = panicWithinCapacity
		if a, _ := do(context.Background(), "bad"); a.Status != http.StatusBadGateway {
			t.Errorf("answer %+v after a panic, want status 502", a)
		}
		time.Sleep(time.Minute)
		limiter.limit = 0
		if a, _ := do(context.Background(), "no room"); a.Status != http.StatusServiceUnavailable || a.RetryAfter != time.Second {
			t.Errorf("answer without resources: %+v", a)
		}
		if stillReserved, releaseCount := limiter.acquired.Load(), limiter.released.Load(); stillReserved != 0 || releaseCount != 3 {
			t.Errorf("%d still reserved, %d released; want 0 and 3", stillReserved, releaseCount)
		}
	})
}

// TestModuleTimeIsObserved checks that the time that the module takes is reported to
// Options.ObserveModuleTime.
func TestModuleTimeIsObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var spent time.Duration
		s, _ := startService(t, Options{ObserveModuleTime: func(d time.Duration) { spent += d }, NewModule: func() (Module, error) {
			return moduleFunc(func(e control.Event) []control.Action {
				time.Sleep(time.Millisecond)
				return rejectAll(e)
			}), nil
		}})
		s.Do(context.Background(), newExchange("x"))
		s.Status()                       // waits for the events that the request caused
		if spent != 2*time.Millisecond { // one for the list and one for the request
			t.Errorf("observed %v in the module, want 2ms", spent)
		}
	})
}

// TestServerIDsAreNeverReused checks that a server that is removed and listed again gets a new id.
func TestServerIDsAreNeverReused(t *testing.T) {
	serverIDs := make(map[uint32]bool)
	s := &Service{upstream: upstream.New(upstream.Options{}), starts: newServerStarts()}
	l := s.newLoop(moduleFunc(func(e control.Event) []control.Action {
		if e, ok := e.(control.EndpointList); ok {
			for _, m := range e.Endpoints {
				if m.State == control.Active && serverIDs[m.Server] {
					t.Errorf("server id %d was reused", m.Server)
				}
				serverIDs[m.Server] = true
			}
		}
		return nil
	}))
	for range 50 {
		l.updateEndpoints(control.ListPatch, discovery.EndpointList{Endpoints: []discovery.Endpoint{{UID: "s", Address: "127.0.0.1:1", State: "up"}}})
		l.updateEndpoints(control.ListPatch, discovery.EndpointList{Endpoints: []discovery.Endpoint{{UID: "s", State: "removed"}}})
	}
	if len(l.serverIDs)+len(l.pools) > 0 {
		t.Errorf("%d server ids and %d pools left, want none", len(l.serverIDs), len(l.pools))
	}
}

// TestClockIsUnixTime checks that the module's clock is comparable with the boot times of servers, also of those that
// started before this process.
func TestClockIsUnixTime(t *testing.T) {
	l := (&Service{clock: moduleClock{time.Now()}}).newLoop(moduleFunc(ignoreAll))
	if d := time.Since(time.Unix(0, int64(l.now()))); d < -time.Minute || d > time.Minute {
		t.Errorf("module clock differs from Unix time by %v", d)
	}
}

func TestNewRejectsBadSettings(t *testing.T) {
	if _, err := New(Options{}); err == nil {
		t.Error("New accepted empty settings")
	}
	if _, err := New(Options{NewModule: func() (Module, error) { return nil, errors.New("none") }}); err == nil {
		t.Error("New returned no error without a module")
	}
}

// TestRetiringAfterReplaceStillTransfersState checks that a service that is retired right after ReplaceWith
// still transfers its state, however busy it is, so that its replacement does not spend tokens twice.
func TestRetiringAfterReplaceStillTransfersState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		original, ended := startService(t, Options{})
		l, busy := original.currentLoop(), make(chan struct{})
		l.post(func() { <-busy })
		synctest.Wait()
		replacement, _ := startService(t, Options{SharedUpstream: original.Upstream()})
		original.ReplaceWith(replacement)
		original.Retire()
		select {
		case <-original.unused:
			t.Error("service may end before it has transferred its state")
		default:
		}
		close(busy)
		if err := <-ended; err != nil || l.replacement != replacement {
			t.Errorf("Run returned %v, replacement is %p, want %p", err, l.replacement, replacement)
		}
		synctest.Wait()
		if idle, pools := original.Upstream().CountIdle(); idle != 0 || pools != 1 {
			t.Errorf("%d idle connections in %d pools, want 0 in 1", idle, pools)
		}
	})
}

// TestEndedServiceTransfersNothing checks that ReplaceWith of a service that has ended does nothing, and
// leaves no reference to it.
func TestEndedServiceTransfersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		original, ended := startService(t, Options{})
		replacement, _ := startService(t, Options{})
		original.Retire()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		original.ReplaceWith(replacement)
		if n := original.references.Load(); n >= 0 {
			t.Errorf("ended service has %d references", n)
		}
	})
}
