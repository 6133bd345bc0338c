package link

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// reservePort reserves a loopback port by binding it without listening. Connections to it are refused
// and the kernel assigns it to no other socket, so a listener can close and reopen at this address.
func reservePort() (fd int, addr string, err error) {
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, "", fmt.Errorf("reserving a port: %w", err)
	}
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var bound unix.Sockaddr
	if err == nil {
		bound, err = unix.Getsockname(fd)
	}
	if err != nil {
		_ = unix.Close(fd) // the first error is the one reported
		return -1, "", fmt.Errorf("reserving a port: %w", err)
	}
	return fd, fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port), nil
}

// releasePort ends a reservation.
func releasePort(fd int) error { return unix.Close(fd) }

// listenOnReservedPort listens on a port reserved by reservePort.
func listenOnReservedPort(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: reusePort}
	return config.Listen(context.Background(), "tcp4", addr)
}

// reusePort sets SO_REUSEPORT on a socket before it is bound.
func reusePort(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optionErr
}
