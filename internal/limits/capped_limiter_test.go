package limits

import "testing"

// Guards against closed connections that still take memory: a place is free only once a connection is closed and no longer
// served, whichever comes first, and as many connections are evicted as there are places wanted.
func TestCappedLimiterCountsServedConnections(t *testing.T) {
	sockets := NewSocketLimiter(0)
	var open []*Conn
	evictions := 0
	c := NewCappedLimiter(sockets.ForClients(), 2, func() bool {
		evictions++
		if len(open) == 0 {
			return false
		}
		open[0].Close()
		open = open[1:]
		return true
	})
	var all []*Conn
	for range 2 {
		if !c.TryAcquire() {
			t.Fatal("no place within the cap")
		}
		conn := Track(nopConn{}, c)
		conn.BeginServing()
		open = append(open, conn)
		all = append(all, conn)
	}
	for range 3 {
		if c.TryAcquire() {
			t.Fatal("a place beyond the cap")
		}
	}
	if evictions != 1 || sockets.InUse() != 1 {
		t.Errorf("%d evictions, %d descriptors in use; want 1 and 1", evictions, sockets.InUse())
	}
	all[0].EndServing()
	if !c.TryAcquire() {
		t.Error("no place after a connection has ended")
	}
	all[1].EndServing() // the connection has been taken over and is still open
	if c.TryAcquire() {
		t.Error("a place although the connection is open")
	}
}

func TestCappedLimiterLeavesDescriptorsToLimiter(t *testing.T) {
	sockets := NewSocketLimiter(MinDescriptors)
	c := NewCappedLimiter(sockets.ForClients(), 10, func() bool { return false })
	if !c.TryAcquire() || c.TryAcquire() {
		t.Error("want one connection, as many as there are descriptors")
	}
	c.Release()
	c.ReleaseServed()
	if !c.TryAcquire() {
		t.Error("the place was not released")
	}
}
