package socketpoll

import (
	"net"
	"testing"
)

// pair returns the two ends of a connection.
func pair(t *testing.T) (here, there *net.TCPConn) {
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

// awaitState polls until a socket has a state.
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
	t.Errorf("%+v, not %+v", got, want)
}

func TestPoll(t *testing.T) {
	here, there := pair(t)
	awaitState(t, here, State{})
	there.Write([]byte("x"))
	awaitState(t, here, State{IsReadable: true})
	there.CloseWrite()
	awaitState(t, here, State{IsReadable: true, IsHalfShut: true})
	here.Close()
	awaitState(t, here, State{})

	here, there = pair(t)
	there.SetLinger(0)
	there.Close()
	awaitState(t, here, State{IsReadable: true, IsHalfShut: true, IsBroken: true})
}
