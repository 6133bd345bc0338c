package service

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/quotalease"
	"lockflow/internal/upstream"
)

// memoryLeaseStore is an in-process lease store that can be made unavailable.
type memoryLeaseStore struct {
	mu           sync.Mutex
	backend      *quotalease.Store
	startedAt    time.Time
	isDown       bool
	blockedCalls chan struct{} // calls wait until it is closed; nil lets them pass
}

func (m *memoryLeaseStore) Call(_ context.Context, q *quotalease.StoreCall) (quotalease.StoreReply, error) {
	m.mu.Lock()
	hold := m.blockedCalls
	m.mu.Unlock()
	if hold != nil {
		<-hold
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isDown {
		return quotalease.StoreReply{}, errors.New("lease store unavailable")
	}
	return m.backend.Handle(time.Since(m.startedAt), *q), nil
}

// holdCalls blocks calls until releaseCalls.
func (m *memoryLeaseStore) holdCalls() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blockedCalls = make(chan struct{})
}

func (m *memoryLeaseStore) releaseCalls() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.blockedCalls)
	m.blockedCalls = nil
}

func sharedLimitOptions(store *memoryLeaseStore, instances int) Options {
	r := quotalease.Rules{Instances: instances, Term: time.Second, ReservationTime: 2 * time.Second, ResizeTime: 3 * time.Second}
	if store.backend == nil {
		store.backend, store.startedAt = quotalease.NewStore(r, "c"), time.Now()
	}
	return Options{SharedHardLimits: &SharedHardLimits{Rules: r, ByPlan: map[string]quotalease.HardLimit{"p": {Rate: 10, Burst: 20}}, StoreNames: []string{"c"}, Stores: []LeaseStore{store}}}
}

// rejectOverLimit creates modules that reject requests over their shared hard limit and never answer others.
func rejectOverLimit(requests *[]control.Request) func() (Module, error) {
	return func() (Module, error) {
		return moduleFunc(func(e control.Event) []control.Action {
			if r, ok := e.(control.Request); ok {
				if *requests = append(*requests, r); r.IsOverHardLimit {
					return []control.Action{control.Reject{ID: r.ID, RetryAfter: time.Second}}
				}
			}
			return nil
		}), nil
	}
}

// startSharedLimitService starts a service with a shared hard limit, and records its module's requests.
func startSharedLimitService(t *testing.T, store *memoryLeaseStore, instances int, requests *[]control.Request) *Service {
	o := sharedLimitOptions(store, instances)
	o.NewModule = rejectOverLimit(requests)
	s, _ := startService(t, o)
	return s
}

func newExchangeOfUnits(id string, n float64) *Exchange {
	x := newExchange(id)
	x.Request.Units, x.Request.Customer = n, "k"
	return x
}

// TestSharedHardLimitDecidesBeforeModule checks that the module gets a request after its shared hard limit has
// decided on it. The charge of a request whose client disconnects before it is sent is refunded.
func TestSharedHardLimitDecidesBeforeModule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received []control.Request
		store := &memoryLeaseStore{}
		s := startSharedLimitService(t, store, 1, &received)
		for range 20 { // until the holder's fraction is reserved and the store's bucket is full
			time.Sleep(time.Second)
		}
		synctest.Wait()
		st := s.Status().HardLimits
		if len(st) != 1 || !st[0].CanBorrow || st[0].UsesOwnQuota || st[0].ReservedFraction != 1 || st[0].StoreID != "c" || st[0].SecondsAtStore < 10 {
			t.Fatalf("status after 20 s: %+v", st)
		}
		ctx, leave := context.WithCancel(t.Context())
		for i := range 5 {
			x := newExchangeOfUnits(fmt.Sprint("a", i), 4)
			go s.Do(ctx, x)
			synctest.Wait()
			time.Sleep(20 * time.Millisecond)
		}
		synctest.Wait()
		if len(received) != 5 || received[4].IsOverHardLimit {
			t.Fatalf("module got %+v, want 5 requests within the limit", received)
		}
		a, ok := s.Do(t.Context(), newExchangeOfUnits("b", 4))
		if !ok || a.Kind != Rejected || a.Status != http.StatusServiceUnavailable || a.RetryAfter != time.Second || !received[5].IsOverHardLimit {
			t.Errorf("answer %+v to a request over the limit; module got %+v", a, received)
		}
		leave()
		synctest.Wait()
		if st := s.Status().HardLimits[0]; st.LeasedUnits < 15.9 {
			t.Errorf("%g units leased after the clients disconnected, want at least 15.9 of 20 unspent ones", st.LeasedUnits)
		}
		retryContext, leaveAgain := context.WithCancel(t.Context())
		go s.Do(retryContext, newExchangeOfUnits("c", 4))
		synctest.Wait()
		if n := len(received); n != 7 || received[6].IsOverHardLimit {
			t.Errorf("module got %+v after the refund, want one request within the limit", received[6:])
		}
		leaveAgain()
	})
}

// TestSharedHardLimitWithoutLeaseStore checks that a service whose lease store is down spends its own fraction of
// the limit after its reservation has expired, and does not call the store too often.
func TestSharedHardLimitWithoutLeaseStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received []control.Request
		store := &memoryLeaseStore{}
		s := startSharedLimitService(t, store, 2, &received)
		time.Sleep(10 * time.Second)
		store.mu.Lock()
		store.isDown = true
		store.mu.Unlock()
		callsBefore := s.Status().HardLimits[0].Calls
		time.Sleep(60 * time.Second)
		synctest.Wait()
		st := s.Status().HardLimits[0]
		if st.CanBorrow || !st.UsesOwnQuota || st.ReservedFraction != 0 || st.Calls-callsBefore > 200 {
			t.Errorf("status %+v with %d calls while the lease store was unavailable", st, st.Calls-callsBefore)
		}
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		for i := range 4 { // the fraction of this instance is half of a burst of 20
			go s.Do(ctx, newExchangeOfUnits(fmt.Sprint("a", i), 4))
			synctest.Wait()
		}
		over := 0
		for _, r := range received {
			if r.IsOverHardLimit {
				over++
			}
		}
		if len(received) != 4 || over != 2 {
			t.Errorf("%d of %d requests over the hard limit, want 2 of 4", over, len(received))
		}
		leave()
		synctest.Wait()
	})
}

// TestSharedHardLimitMovesToReplacement checks that a replacement gets the leases, so that spent units are not
// available again. If its fraction of the limit is larger, it grows only once all instances know of that.
func TestSharedHardLimitMovesToReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryLeaseStore{}
		original, ended := startService(t, sharedLimitOptions(store, 2))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		calls := original.Status().HardLimits[0].Calls
		o := sharedLimitOptions(store, 1)
		o.SharedUpstream = original.Upstream()
		replacement, _ := startService(t, o)
		original.ReplaceWith(replacement)
		original.Retire()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		st := replacement.Status().HardLimits[0]
		if st.Calls < calls || st.ReservedFraction != 0.5 {
			t.Errorf("replacement has status %+v, predecessor had made %d calls", st, calls)
		}
		time.Sleep(4 * time.Second)
		synctest.Wait()
		if st := replacement.Status().HardLimits[0]; st.ReservedFraction != 1 || !st.CanBorrow {
			t.Errorf("status after the resize time: %+v", st)
		}
		if x := newExchangeOfUnits("x", 1); original.Upstream() != replacement.Upstream() || x.Forwarder.(*upstream.BufferedRequest) == nil {
			t.Error("replacement does not share the upstream")
		}
		// A process that has handed over to another one has no fraction of the limit.
		st = replacement.Status().HardLimits[0]
		replacement.Rejoin(nil) // has no effect, as HandOver was not called
		if status := replacement.Status().HardLimits[0]; status != st {
			t.Errorf("status %+v after Rejoin without HandOver, want %+v", status, st)
		}
		replacement.HandOver(0.5)
		if st := replacement.Status().HardLimits[0]; st.UsesOwnQuota || st.ReservedFraction != 0 {
			t.Errorf("status %+v after HandOver", st)
		}
		// The other process fails while a request waits for units here: the request is answered, and this
		// process gets its fraction back after the other's has expired.
		store.holdCalls()
		answered := doInBackground(t.Context(), replacement, newExchangeOfUnits("w", 4))
		synctest.Wait()
		if st := replacement.Status().HardLimits[0]; st.QueuedRequests != 1 {
			t.Errorf("status %+v, want 1 queued request", st)
		}
		replacement.Rejoin(nil)
		if a := <-answered; a.Kind != Rejected {
			t.Errorf("answer %+v, want a rejection", a)
		}
		store.releaseCalls()
		time.Sleep(8 * time.Second)
		synctest.Wait()
		if st := replacement.Status().HardLimits[0]; st.ReservedFraction != 1 || !st.CanBorrow {
			t.Errorf("status %+v after the other process has ended", st)
		}
	})
}

// TestReplacementDecidesWaitingRequests checks that the replacement decides on requests that wait for units when
// their service is replaced, and that only the replacement's module gets them.
func TestReplacementDecidesWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryLeaseStore{}
		var before, after []control.Request
		o := sharedLimitOptions(store, 1)
		o.NewModule, o.AnyMethod = func() (Module, error) { return statefulRecorder{&before}, nil }, true
		original, ended := startService(t, o)
		time.Sleep(10 * time.Second)
		store.holdCalls()
		ctx, cancelClients := context.WithCancel(t.Context())
		defer cancelClients()
		for i := range 3 {
			go original.Do(ctx, newExchangeOfUnits(fmt.Sprint("a", i), 4))
		}
		synctest.Wait()
		o = sharedLimitOptions(store, 1)
		o.NewModule, o.AnyMethod = func() (Module, error) { return statefulRecorder{&after}, nil }, true
		replacement, _ := startService(t, o)
		original.ReplaceWith(replacement)
		original.Retire()
		synctest.Wait()
		store.releaseCalls()
		time.Sleep(time.Second)
		synctest.Wait()
		if err := <-ended; err != nil || len(before) != 0 || len(after) != 3 {
			t.Errorf("original module got %d requests and replacement's %d, want 0 and 3; Run returned %v", len(before), len(after), err)
		}
		cancelClients()
		synctest.Wait()
	})
}

// statefulRecorder is a StatefulModule with no state that records its requests and answers none.
type statefulRecorder struct{ requests *[]control.Request }

func (k statefulRecorder) Handle(_ time.Duration, e control.Event) []control.Action {
	if r, ok := e.(control.Request); ok {
		*k.requests = append(*k.requests, r)
	}
	return nil
}
func (statefulRecorder) Checkpoint(time.Duration) (c control.Checkpoint)          { return }
func (statefulRecorder) HandOver(time.Duration, float64) (c control.Checkpoint)   { return }
func (statefulRecorder) Restore(time.Duration, control.Checkpoint, control.Trust) {}
func (statefulRecorder) ReclaimRates(time.Duration, *control.Checkpoint)          {}
func (statefulRecorder) PredecessorEnded()                                        {}

// TestCustomersSpreadOverLeaseStores checks that customers are assigned to lease stores evenly, and that adding a
// store moves only the customers that are assigned to it.
func TestCustomersSpreadOverLeaseStores(t *testing.T) {
	assignments := func(names ...string) map[string]string {
		limiter := newHardLimiter(&SharedHardLimits{Rules: quotalease.Rules{Instances: 1}, ByPlan: map[string]quotalease.HardLimit{"p": {}}, StoreNames: names, Stores: make([]LeaseStore, len(names))})
		all := make(map[string]string)
		for i := range 30_000 {
			n, key := limiter.storeFor("p", fmt.Sprintf("%016x", i))
			all[key] = names[n]
		}
		return all
	}
	three, four := assignments("10.0.0.1:6379", "10.0.0.2:6379", "10.0.0.3:6379"), assignments("10.0.0.1:6379", "10.0.0.2:6379", "10.0.0.3:6379", "10.0.0.4:6379")
	counts := make(map[string]int)
	for key, name := range three {
		if counts[name]++; four[key] != name && four[key] != "10.0.0.4:6379" {
			t.Fatalf("customer %s moved from store %s to %s", key, name, four[key])
		}
	}
	for name, n := range counts {
		if len(three) != 30_000 || n < 9500 || n > 10_500 {
			t.Errorf("%d of %d customers assigned to store %s", n, len(three), name)
		}
	}
}

// BenchmarkSharedHardLimit measures the cost that a shared hard limit adds to a request without a store call.
func BenchmarkSharedHardLimit(b *testing.B) {
	o := sharedLimitOptions(&memoryLeaseStore{}, 1)
	o.SharedHardLimits.ByPlan["p"] = quotalease.HardLimit{Rate: 1e9, Burst: 1e9}
	o.SharedHardLimits.Rules.ResizeTime = 1
	l := &loop{hardLimiter: newHardLimiter(o.SharedHardLimits), module: moduleFunc(ignoreAll)}
	l.hardLimiter.startedAt = l.hardLimiter.startedAt.Add(-time.Minute) // late enough for its fraction to be spent
	xs := make([]*Exchange, 1000)
	for i := range xs {
		xs[i] = newExchangeOfUnits("x", 1)
		xs[i].Request.Customer = fmt.Sprintf("%016x", i)
		l.requestHardLimit(xs[i])
	}
	bare := func() { l.handle(xs[0].Request) }
	b.Run("without", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			bare()
		}
	})
	b.Run("with", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			if !l.requestHardLimit(xs[i%len(xs)]) {
				b.Fatal("request has no shared hard limit")
			}
		}
	})
}
