package testkit

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// FullBacklogAddress returns a loopback address on which connection attempts get no answer, as the listener's backlog is
// full. The listener is closed when the test ends.
func FullBacklogAddress(t *testing.T) string {
	t.Helper()
	const maxBacklog = 10 // above the actual limit of any system for a backlog of 0
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(descriptor) })
	if err := syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(descriptor, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(descriptor)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
	for range maxBacklog {
		connection, err := (&net.Dialer{Timeout: 50 * time.Millisecond}).DialContext(context.Background(), "tcp", address)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = connection.Close() })
	}
	t.Fatalf("%d connections were established with a backlog of 0", maxBacklog)
	return ""
}
