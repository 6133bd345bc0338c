package limits

import (
	"net"
	"testing"
)

// closeNotifier is a connection that tells of its close.
type closeNotifier struct {
	net.Conn
	onClose func()
}

func (c closeNotifier) Close() error { c.onClose(); return nil }

// A place is given back once its descriptor is, not before: others would open one too many.
func TestConnReleasesAfterClosingItsDescriptor(t *testing.T) {
	s := NewSocketLimiter(1024)
	if !s.TryAcquire() {
		t.Fatal("no room")
	}
	during := -1
	c := Track(closeNotifier{onClose: func() { during = s.InUse() }}, s)
	c.Close()
	if c.Close(); during != 0 || s.InUse() != 0 {
		t.Errorf("%d booked during the second close, %d after it", during, s.InUse())
	}
	if !s.TryAcquire() {
		t.Fatal("no room")
	}
	c = Track(closeNotifier{onClose: func() { during = s.InUse() }}, s)
	if c.Close(); during != 1 {
		t.Errorf("%d booked while it closes", during)
	}
}
