package limits

import (
	"net"
	"testing"
)

// closeNotifier is a connection that calls a function when it is closed.
type closeNotifier struct {
	net.Conn
	onClose func()
}

func (c closeNotifier) Close() error { c.onClose(); return nil }

// TestConnReleasesDescriptorAfterClose checks that a descriptor is released only after the connection is closed, since an
// earlier release would let another connection exceed the limit. It also checks that a second Close releases nothing.
func TestConnReleasesDescriptorAfterClose(t *testing.T) {
	s := NewSocketLimiter(1024)
	if !s.TryAcquire() {
		t.Fatal("no descriptor is available")
	}
	inUseDuringClose := -1
	c := Track(closeNotifier{onClose: func() { inUseDuringClose = s.InUse() }}, s)
	c.Close()
	if c.Close(); inUseDuringClose != 0 || s.InUse() != 0 {
		t.Errorf("got %d descriptors in use during the second Close and %d after it, want 0 and 0", inUseDuringClose, s.InUse())
	}
	if !s.TryAcquire() {
		t.Fatal("no descriptor is available")
	}
	c = Track(closeNotifier{onClose: func() { inUseDuringClose = s.InUse() }}, s)
	if c.Close(); inUseDuringClose != 1 {
		t.Errorf("got %d descriptors in use during Close, want 1", inUseDuringClose)
	}
}
