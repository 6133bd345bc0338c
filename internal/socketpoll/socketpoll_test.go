package socketpoll

import (
	"net"
	"testing"
)

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (local, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close(); accepted.Close() })
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

// awaitState polls a socket until it has the given state.
func awaitState(t *testing.T, conn *net.TCPConn, want State) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var got State
	for range 1_000_000 {
		if got = Poll(raw); got == want {
			return
		}
	}
	t.Errorf("state %+v, want %+v", got, want)
}

func TestPoll(t *testing.T) {
	local, peer := tcpPair(t)
	awaitState(t, local, State{})
	peer.Write([]byte("x"))
	awaitState(t, local, State{IsReadable: true})
	peer.CloseWrite()
	awaitState(t, local, State{IsReadable: true, IsHalfClosed: true})
	local.Close()
	awaitState(t, local, State{})

	local, peer = tcpPair(t)
	peer.SetLinger(0)
	peer.Close()
	awaitState(t, local, State{IsReadable: true, IsHalfClosed: true, IsBroken: true})
}
