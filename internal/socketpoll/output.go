package socketpoll

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// UnacknowledgedBytes returns how many of the bytes written to a TCP socket its peer's system has not acknowledged. The
// result is 0 for no socket or a closed one, and if the system call fails.
func UnacknowledgedBytes(socket syscall.RawConn) int { return outputBytes(socket, unix.SIOCOUTQ) }

// UnsentBytes returns how many of the bytes written to a TCP socket its system has not sent, for example because the
// peer's receive window is closed. The result is 0 for no socket or a closed one, and if the system call fails.
func UnsentBytes(socket syscall.RawConn) int { return outputBytes(socket, unix.SIOCOUTQNSD) }

func outputBytes(socket syscall.RawConn, request uint) (count int) {
	if socket == nil {
		return 0
	}
	_ = socket.Control(func(fd uintptr) { count, _ = unix.IoctlGetInt(int(fd), request) })
	return count
}

// ResetOnClose makes the close of a connection reset it, which drops what its system has not delivered. conn may wrap the
// TCP connection. It has no effect if there is none.
func ResetOnClose(conn net.Conn) {
	for conn != nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			return
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		conn = wrapper.NetConn()
	}
}
