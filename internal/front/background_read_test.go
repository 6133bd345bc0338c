package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/testsupport/testkit"
)

// Guards against closing a connection after the first byte of a request was read: while net/http handles a request, it
// reads one byte in the background to detect a disconnect. That byte belongs to the next request, which must be answered.
func TestConnectionStaysOpenAfterBackgroundReadOfNextRequest(t *testing.T) {
	for name, closeConnections := range map[string]func(*Front){
		"drain":    (*Front).CloseWhenIdle,
		"eviction": func(f *Front) { f.Evict() },
	} {
		t.Run(name, func(t *testing.T) {
			isHandled := make(chan struct{}, 1)
			answer := make(chan struct{})
			_, f, _, stop := startFront(t, func(r control.Request) []control.Action {
				isHandled <- struct{}{}
				<-answer
				return rejectRequest(r)
			}, nil, nil)
			defer stop()
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := delayedReadListener{LingeringListener(socket), make(chan struct{}, 1), make(chan struct{})}
			close(listener.release) // no read is delayed
			server := f.Server()
			go server.Serve(listener)
			defer server.Close()
			client := dialTCP(t, socket.Addr().String())
			in := bufio.NewReader(client)
			io.WriteString(client, completeRequest)
			testkit.Next(t, isHandled)
			testkit.Next(t, listener.wasRead)
			io.WriteString(client, completeRequest[:1])
			testkit.Next(t, listener.wasRead) // by the background read
			answer <- struct{}{}
			if resp, err := http.ReadResponse(in, nil); err != nil || resp.Close {
				t.Fatalf("answer to the first request: %v, error %v; want one that keeps the connection open", resp, err)
			}
			testkit.Until(t, "an idle connection", func() bool { return hasIdleConnection(f) })
			closeConnections(f)
			go func() { <-isHandled; close(answer) }()
			io.WriteString(client, completeRequest[1:])
			if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("answer to the next request: %v, error %v; want status 503", resp, err)
			}
		})
	}
}

// hasIdleConnection reports whether the front's connection is idle.
func hasIdleConnection(f *Front) bool {
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	for _, c := range f.clients.connections {
		return !c.idleSince.IsZero() && !c.isNew && time.Since(c.idleSince) >= 0
	}
	return false
}
