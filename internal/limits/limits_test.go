package limits

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func newSharedResource(t testing.TB, total int64, guaranteed ...int64) (*SharedResource, []*Account, []*int) {
	t.Helper()
	s := NewSharedResource(time.Minute)
	var accounts []*Account
	var idle []*int
	parts := make(map[*Account]int64)
	for _, g := range guaranteed {
		n := new(int)
		var a *Account
		a = s.OpenAccount(func() bool {
			if *n == 0 {
				return false
			}
			*n--
			a.Release()
			return true
		})
		accounts, idle, parts[a] = append(accounts, a), append(idle, n), g
	}
	if err := s.SetGuarantees(total, parts); err != nil {
		t.Fatal(err)
	}
	return s, accounts, idle
}

// TestIdleLoansAreEvictedForGuaranteedParts checks that borrowed idle units are evicted at once when another account needs
// its guaranteed part, and that idle units within the borrower's own guaranteed part are not.
func TestIdleLoansAreEvictedForGuaranteedParts(t *testing.T) {
	_, a, idle := newSharedResource(t, 100, 50, 50)
	acquired := 0
	for a[0].TryAcquire() {
		acquired++
	}
	if acquired <= 50 || acquired > 80 {
		t.Fatalf("acquired %d units, want 51 to 80", acquired)
	}
	*idle[0] = acquired // all idle
	for i := range 50 {
		if !a[1].TryAcquire() {
			t.Fatalf("unit %d of the guaranteed 50 was denied", i+1)
		}
	}
	if u := a[0].Usage(); u.Used != 50 {
		t.Errorf("the borrower has %d units left, want its guaranteed 50", u.Used)
	}
	if a[1].TryAcquire() {
		t.Error("acquired a unit of the other account's guaranteed part")
	}
	if u := a[1].Usage(); u.Denied != 1 || u.Total != 100 {
		t.Errorf("got usage %+v, want 1 denied of a total of 100", u)
	}
}

// TestBorrowerEvictsOnlyOwnIdleUnits checks that a borrower that needs more units evicts only its own idle units.
func TestBorrowerEvictsOnlyOwnIdleUnits(t *testing.T) {
	_, a, idle := newSharedResource(t, 12, 4, 4)
	n := 0
	for a[0].TryAcquire() {
		n++
	}
	*idle[0] = 1
	a[1].TryAcquire()
	*idle[1] = 1
	if !a[0].TryAcquire() || *idle[0] != 0 || *idle[1] != 1 {
		t.Errorf("got %d and %d idle units, want 0 and 1", *idle[0], *idle[1])
	}
}

// TestOwnerOfClosedAccountIsNotReusedBeforeRelease checks that the bulkhead.Owner of a closed account is not reused before
// the account has released all its units.
func TestOwnerOfClosedAccountIsNotReusedBeforeRelease(t *testing.T) {
	s, a, _ := newSharedResource(t, 10, 5, 5)
	a[0].TryAcquire()
	a[0].Close()
	b := s.OpenAccount(nil)
	if err := s.SetGuarantees(10, map[*Account]int64{a[1]: 5, b: 5}); err != nil {
		t.Fatal(err)
	}
	a[0].Release()
	if u := b.Usage(); u.Used != 0 || u.Guaranteed != 5 {
		t.Errorf("got usage %+v of the new account, want 0 used of 5 guaranteed", u)
	}
}

func TestRequestLimiterAdmitsWithinEachLimit(t *testing.T) {
	slots, bytes := NewSharedResource(time.Minute), NewSharedResource(time.Minute)
	r := &RequestLimiter{Slots: slots.OpenAccount(nil), Bytes: bytes.OpenAccount(nil), ModuleTime: NewTimeLimiter(0.5)}
	r.Owner = r.ModuleTime.OpenOwner()
	if err := errors.Join(slots.SetGuarantees(2, map[*Account]int64{r.Slots: 2}), bytes.SetGuarantees(100, map[*Account]int64{r.Bytes: 100})); err != nil {
		t.Fatal(err)
	}
	release, ok := r.Admit(60)
	if !ok {
		t.Fatal("request within all limits was not admitted")
	}
	if _, ok := r.Admit(60); ok || r.Slots.Usage().Used != 1 || r.Bytes.Usage().Denied != 1 {
		t.Errorf("request over the limit on bytes: admitted, or not counted correctly: slots %+v", r.Slots.Usage())
	}
	if _, ok := r.Admit(10); !ok {
		t.Error("request within all limits was not admitted")
	}
	if _, ok := r.Admit(0); ok || r.Slots.Usage().Denied != 1 {
		t.Error("request over the limit on slots was admitted, or its denial not counted")
	}
	release()
	if u := r.Bytes.Usage(); u.Used != 10 {
		t.Errorf("got usage %+v, want 10 bytes used", u)
	}
	r.ModuleTime.Record(r.Owner, 2*time.Second)
	if _, ok := r.Admit(0); ok {
		t.Error("admitted although the module exceeds its part and the total of the module time")
	}
}

func TestTimeLimiterReusesClosedOwners(t *testing.T) {
	limiter := NewTimeLimiter(1)
	owner := limiter.OpenOwner()
	limiter.SetGuaranteed(owner, 0.5)
	limiter.CloseOwner(owner)
	if reused := limiter.OpenOwner(); reused != owner {
		t.Errorf("got owner %d, want the closed owner to be reused", reused)
	}
	if limiter.OpenOwner() == owner {
		t.Error("the same owner was opened twice")
	}
}

func TestSharedResourceIsSafeForConcurrentUse(t *testing.T) {
	s, a, _ := newSharedResource(t, 64, 16, 16)
	var workers sync.WaitGroup
	for i := range 8 {
		workers.Go(func() {
			for range 2000 {
				if a[i%2].TryAcquire() {
					a[i%2].Release()
				}
			}
		})
	}
	workers.Wait()
	if s.allocator.Free() != 64 {
		t.Errorf("got %d free units, want 64", s.allocator.Free())
	}
}

// TestListenerWaitsUntilContextEnds checks that a listener that waits for a descriptor stops when its context ends, and
// that it has acquired none.
func TestListenerWaitsUntilContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSocketLimiter(0)
		s.SetLimit(ReservedForServers)
		ctx, cancel := context.WithCancel(context.Background())
		accepted := make(chan error)
		go func() {
			l := Listen(ctx, nil, s.ForClients())
			_, err := l.Accept()
			accepted <- err
		}()
		time.Sleep(time.Second)
		cancel()
		if err := <-accepted; !errors.Is(err, net.ErrClosed) {
			t.Errorf("got error %v, want net.ErrClosed", err)
		}
		if s.InUse() != 0 {
			t.Errorf("got %d descriptors in use, want 0", s.InUse())
		}
	})
}

// TestListenerAcceptsOnceDescriptorIsAvailable checks that a listener that waits for a descriptor accepts the next
// connection as soon as one is released, may be evicted or is no longer reserved. If it only retried at intervals, clients
// would wait in the socket's queue although a descriptor is available.
func TestListenerAcceptsOnceDescriptorIsAvailable(t *testing.T) {
	for name, makeAvailable := range map[string]func(s *SocketLimiter, evictable *atomic.Bool, open *Conn){
		"released": func(_ *SocketLimiter, _ *atomic.Bool, open *Conn) { open.Close() },
		"evictable": func(_ *SocketLimiter, evictable *atomic.Bool, open *Conn) {
			evictable.Store(true)
			open.NotifyEvictable()
		},
		"allowed": func(s *SocketLimiter, _ *atomic.Bool, _ *Conn) { s.ReserveForClients() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewSocketLimiter(MinDescriptors)
				var evictable atomic.Bool
				s.SetEvictFuncs(func() bool {
					if !evictable.CompareAndSwap(true, false) {
						return false
					}
					s.ForClients().Release()
					return true
				}, nil)
				queue := make(connQueue, 2)
				l := Listen(t.Context(), queue, s.ForClients())
				queue <- nopConn{}
				first, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				accepted := make(chan time.Time)
				go func() { _, _ = l.Accept(); accepted <- time.Now() }()
				time.Sleep(acquireRetryInterval * 3 / 2)
				queue <- nopConn{}
				availableAt := time.Now()
				makeAvailable(s, &evictable, first.(*Conn))
				if took := (<-accepted).Sub(availableAt); took != 0 {
					t.Errorf("accepted %v after the descriptor became available, want 0s", took)
				}
			})
		})
	}
}

// connQueue is a listener that accepts connections from a channel.
type connQueue chan net.Conn

func (q connQueue) Accept() (net.Conn, error) { return <-q, nil }
func (q connQueue) Close() error              { return nil }
func (q connQueue) Addr() net.Addr            { return &net.TCPAddr{} }

// nopConn is a connection that is never used.
type nopConn struct{ net.Conn }

func (nopConn) Close() error { return nil }

// TestServerConnectionsUseOnlyReservedDescriptors checks that connections to app servers, idle ones included, take only the
// descriptors reserved for them, and that those beyond are evicted for clients. Otherwise clients would wait while
// descriptors of idle connections could be freed for them.
func TestServerConnectionsUseOnlyReservedDescriptors(t *testing.T) {
	for _, limit := range []int{MinDescriptors, MinDescriptors + 1, 40, 128, 152, 1024} {
		for _, beyondReserve := range []int{0, 5} {
			s := NewSocketLimiter(limit)
			connections := MaxConnections(limit)
			reserved := min(ReservedForServers, connections/2)
			servers := 0
			s.SetEvictFuncs(nil, func(keep int) bool {
				if servers <= keep {
					return false
				}
				servers--
				s.Release()
				return true
			})
			for range min(reserved+beyondReserve, connections) {
				if s.TryAcquire() {
					servers++
				}
			}
			clients := 0
			for c := s.ForClients(); c.TryAcquire(); {
				clients++
			}
			if clients != connections-reserved || servers != reserved {
				t.Errorf("of %d connections: got %d to clients and %d to servers", connections, clients, servers)
			}
		}
	}
}

// TestLowDescriptorLimitsAllowClientAndServer checks that a low limit on descriptors is observed and still allows at least
// one client connection and one connection to an app server.
func TestLowDescriptorLimitsAllowClientAndServer(t *testing.T) {
	for _, limit := range []int{MinDescriptors, 40, 64, 128, 151, 152, 1024} {
		s := NewSocketLimiter(limit)
		clients, servers := 0, 0
		for c := s.ForClients(); c.TryAcquire(); {
			clients++
		}
		for s.TryAcquire() {
			servers++
		}
		if clients < 1 || servers < 1 || clients+servers+processDescriptors > limit || servers > ReservedForServers {
			t.Errorf("limit of %d descriptors: got %d client connections and %d server connections", limit, clients, servers)
		}
	}
}
