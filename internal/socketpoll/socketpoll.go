// Package socketpoll queries, without blocking, whether a socket is readable, whether its peer has closed it, and how much
// of its output has been delivered.
package socketpoll

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a socket.
type State struct {
	IsReadable   bool // a read or accept would not block: there are bytes, a connection to accept, or the peer's close
	IsHalfClosed bool // the peer has closed its sending side
	IsBroken     bool // the connection is closed in both directions or has failed
}

// Poll returns the state of a socket. It repeats the system call if a signal interrupts it. For a socket that is closed on
// this side, and if the system call fails, it returns the zero State.
func Poll(socket syscall.RawConn) (state State) {
	_ = socket.Control(func(fd uintptr) { // Control fails if the socket is closed
		polled := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		n, err := unix.Poll(polled[:], 0)
		for errors.Is(err, unix.EINTR) {
			n, err = unix.Poll(polled[:], 0)
		}
		if err != nil || n == 0 {
			return
		}
		events := polled[0].Revents
		state = State{events&unix.POLLIN != 0, events&unix.POLLRDHUP != 0, events&(unix.POLLHUP|unix.POLLERR) != 0}
	})
	return state
}
