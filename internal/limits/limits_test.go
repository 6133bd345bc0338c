package limits

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func divided(t testing.TB, total int64, guaranteed ...int64) (*Shared, []*Account, []*int) {
	t.Helper()
	s := NewShared(time.Minute)
	var accounts []*Account
	var idle []*int
	parts := make(map[*Account]int64)
	for _, g := range guaranteed {
		n := new(int)
		var a *Account
		a = s.Open(func() bool {
			if *n == 0 {
				return false
			}
			*n--
			a.Give()
			return true
		})
		accounts, idle, parts[a] = append(accounts, a), append(idle, n), g
	}
	if err := s.Divide(total, parts); err != nil {
		t.Fatal(err)
	}
	return s, accounts, idle
}

// What is idle beyond a part goes at once when an owner needs its own; what is idle within a
// part stays.
func TestIdleIsGivenBack(t *testing.T) {
	_, a, idle := divided(t, 100, 50, 50)
	taken := 0
	for a[0].Take() {
		taken++
	}
	if taken <= 50 || taken > 80 {
		t.Fatalf("%d taken", taken)
	}
	*idle[0] = taken // all idle
	for i := range 50 {
		if !a[1].Take() {
			t.Fatalf("number %d of the 50 guaranteed was refused", i+1)
		}
	}
	if u := a[0].Use(); u.Used != 50 {
		t.Errorf("the borrower has %d left, not its own 50", u.Used)
	}
	if a[1].Take() {
		t.Error("one more was taken from what the other is guaranteed")
	}
	if u := a[1].Use(); u.Denied != 1 || u.Total != 100 {
		t.Errorf("%+v", u)
	}
}

// A borrower that wants more closes what is idle of its own, and nobody else's.
func TestBorrowerUsesItsOwn(t *testing.T) {
	_, a, idle := divided(t, 12, 4, 4)
	n := 0
	for a[0].Take() {
		n++
	}
	*idle[0] = 1
	a[1].Take()
	*idle[1] = 1
	if !a[0].Take() || *idle[0] != 0 || *idle[1] != 1 {
		t.Errorf("idle %d and %d", *idle[0], *idle[1])
	}
}

// A closed account's place goes to nobody before all of it is back.
func TestClosedAccount(t *testing.T) {
	s, a, _ := divided(t, 10, 5, 5)
	a[0].Take()
	a[0].Close()
	b := s.Open(nil)
	if err := s.Divide(10, map[*Account]int64{a[1]: 5, b: 5}); err != nil {
		t.Fatal(err)
	}
	a[0].Give()
	if u := b.Use(); u.Used != 0 || u.Guaranteed != 5 {
		t.Errorf("%+v", u)
	}
}

func TestRequests(t *testing.T) {
	held, bytes := NewShared(time.Minute), NewShared(time.Minute)
	r := &Requests{Held: held.Open(nil), Bytes: bytes.Open(nil), Pace: NewPace(0.5)}
	r.Owner = r.Pace.Open()
	if err := errors.Join(held.Divide(2, map[*Account]int64{r.Held: 2}), bytes.Divide(100, map[*Account]int64{r.Bytes: 100})); err != nil {
		t.Fatal(err)
	}
	back, ok := r.Admit(60)
	if !ok {
		t.Fatal("not admitted")
	}
	if _, ok := r.Admit(60); ok || r.Held.Use().Used != 1 || r.Bytes.Use().Denied != 1 {
		t.Errorf("admitted over the bytes: %+v", r.Held.Use())
	}
	if _, ok := r.Admit(10); !ok {
		t.Error("not admitted")
	}
	if _, ok := r.Admit(0); ok || r.Held.Use().Denied != 1 {
		t.Error("admitted over the requests")
	}
	back()
	if u := r.Bytes.Use(); u.Used != 10 {
		t.Errorf("%+v", u)
	}
	r.Pace.Spent(r.Owner, 2*time.Second)
	if _, ok := r.Admit(0); ok {
		t.Error("admitted though its module has used up everybody's time")
	}
}

func TestPaceOwners(t *testing.T) {
	p := NewPace(1)
	a := p.Open()
	p.Set(a, 0.5)
	p.Close(a)
	if b := p.Open(); b != a {
		t.Errorf("a closed place was not used again: %d", b)
	}
	if p.Open() == a {
		t.Error("a place was given twice")
	}
}

func TestSharedUnderRace(t *testing.T) {
	s, a, _ := divided(t, 64, 16, 16)
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			for range 2000 {
				if a[i%2].Take() {
					a[i%2].Give()
				}
			}
		})
	}
	all.Wait()
	if s.ledger.Free() != 64 {
		t.Errorf("%d free", s.ledger.Free())
	}
}

// A listener waits for room in no time of its own, and stops waiting with its context.
func TestListenerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSockets(0)
		s.SetMost(SocketsAhead)
		ctx, cancel := context.WithCancel(context.Background())
		accepted := make(chan error)
		go func() {
			l := Listen(ctx, nil, s.Clients())
			_, err := l.Accept()
			accepted <- err
		}()
		time.Sleep(time.Second)
		cancel()
		if err := <-accepted; !errors.Is(err, net.ErrClosed) {
			t.Errorf("%v", err)
		}
		if s.Open() != 0 {
			t.Errorf("%d booked", s.Open())
		}
	})
}

// A low limit on descriptors is kept, and leaves a place to either side.
func TestLowLimits(t *testing.T) {
	for _, limit := range []int{Least, 40, 64, 128, 151, 152, 1024} {
		s := NewSockets(limit)
		clients, servers := 0, 0
		for c := s.Clients(); c.Take(); {
			clients++
		}
		for s.Take() {
			servers++
		}
		if clients < 1 || servers < 1 || clients+servers+socketsApart > limit || servers > SocketsAhead {
			t.Errorf("of %d: %d clients and %d servers", limit, clients, servers)
		}
	}
}
