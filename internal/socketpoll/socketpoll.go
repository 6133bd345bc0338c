// Package socketpoll asks the system, without waiting, what a socket has for its reader.
package socketpoll

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a socket has.
type State struct {
	IsReadable bool // there is something to read: bytes, a connection to be accepted, or the peer's end
	IsHalfShut bool // the peer has closed its sending side
	IsBroken   bool // the connection has ended in both directions, or failed
}

// Poll returns the state of a socket. A signal that interrupts the call is no answer, so it is made again. A socket that
// is closed on this side, or of which the system tells nothing, has the zero State.
func Poll(socket syscall.RawConn) (state State) {
	_ = socket.Control(func(fd uintptr) { // it fails where the socket is closed
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
