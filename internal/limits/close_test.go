package limits

import (
	"net"
	"testing"
)

// closes is a connection that tells of its close.
type closes struct {
	net.Conn
	at func()
}

func (c closes) Close() error { c.at(); return nil }

// A place is given back once its descriptor is, not before: others would open one too many.
func TestPlaceIsGivenBackBehindTheDescriptor(t *testing.T) {
	s := NewSockets(1024)
	if !s.Take() {
		t.Fatal("no room")
	}
	during := -1
	c := Own(closes{at: func() { during = s.Open() }}, s)
	c.Close()
	if c.Close(); during != 0 || s.Open() != 0 {
		t.Errorf("%d booked during the second close, %d after it", during, s.Open())
	}
	if !s.Take() {
		t.Fatal("no room")
	}
	c = Own(closes{at: func() { during = s.Open() }}, s)
	if c.Close(); during != 1 {
		t.Errorf("%d booked while it closes", during)
	}
}
