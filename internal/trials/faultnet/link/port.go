package link

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// holdPort binds a loopback port and never listens on it. A connection to it is refused, and
// nobody else is given it, so a listener beside it can go and come back at the same address.
func holdPort() (fd int, addr string, err error) {
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, "", fmt.Errorf("a socket that holds a port: %w", err)
	}
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var at unix.Sockaddr
	if err == nil {
		at, err = unix.Getsockname(fd)
	}
	if err != nil {
		_ = unix.Close(fd) // the error that came first counts
		return -1, "", fmt.Errorf("a socket that holds a port: %w", err)
	}
	return fd, fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port), nil
}

func closePort(fd int) error { return unix.Close(fd) }

// listenOnReservedPort listens on a port that is held.
func listenOnReservedPort(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
			return e
		}
		return err
	}}
	return lc.Listen(context.Background(), "tcp4", addr)
}
