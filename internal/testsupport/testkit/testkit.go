// Package testkit contains helpers shared by the tests of several packages: scripted peers, waits with a timeout, golden
// files, and checks of encoded types.
package testkit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"lockflow/internal/protocol"
)

// WaitTimeout limits every wait of a test. It is far above the expected duration of any wait.
const WaitTimeout = 30 * time.Second

// channelCapacity is the capacity of the channels of the fake peers.
const channelCapacity = 100

// SmallConfig is a configuration with one service, whose static server does not exist.
const SmallConfig = `
protocol = "platform"
[process]
drain = { idle = "0s", accept = "0s", most = "1s" }
[[listeners]]
address = "127.0.0.1:0"
[classes.read]
repeats = "free"
[plans.p]
[services.a]
source = { kind = "static", servers = [{ endpoint = "127.0.0.1:1" }] }
[[routes]]
service = "a"
as = "read"
`

// Next receives the next value of a channel. The test fails if there is none within WaitTimeout.
func Next[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(WaitTimeout):
		t.Fatal("timed out waiting to receive a value")
		panic("unreachable")
	}
}

// Supervisor starts a fake of systemd's side of the notify protocol (sd_notify(3)) and sets NOTIFY_SOCKET to its socket
// until the test ends. It returns the received messages.
func Supervisor(t testing.TB) <-chan string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "notify")
	c, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	t.Setenv("NOTIFY_SOCKET", path)
	messages := make(chan string, channelCapacity)
	go func() {
		for raw := make([]byte, 4096); ; {
			n, err := c.Read(raw)
			if err != nil {
				return
			}
			messages <- string(raw[:n])
		}
	}()
	return messages
}

// ShortDir creates a temporary directory whose path is short enough for a Unix socket in it, independent of the test's
// name. The directory is removed when the test ends.
func ShortDir(t testing.TB) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "lf")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
	})
	return dir
}

// Until polls a condition until it is true. The test fails if that takes longer than WaitTimeout.
func Until(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for the condition: %s", what)
}

// FakeDiscovery is a fake discovery that sends the lines given by a test.
type FakeDiscovery struct {
	*httptest.Server
	Polled chan string   // the request URI of each watch
	Lines  chan string   // lines to send; "" ends the watch
	quit   chan struct{} // closed when the test ends
}

// NewFakeDiscovery starts a FakeDiscovery, which is closed when the test ends.
func NewFakeDiscovery(t testing.TB) *FakeDiscovery {
	a := &FakeDiscovery{Polled: make(chan string, channelCapacity), Lines: make(chan string, channelCapacity), quit: make(chan struct{})}
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.Polled <- r.URL.RequestURI()
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		for {
			select {
			case line := <-a.Lines:
				if line == "" {
					return
				}
				io.WriteString(w, line)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			case <-a.quit:
				return
			}
		}
	}))
	t.Cleanup(func() { close(a.quit); a.Close() })
	return a
}

// Addr returns the address that it listens on.
func (a *FakeDiscovery) Addr() string { return a.Listener.Addr().String() }

// App is a fake app server that records its requests.
type App struct {
	*httptest.Server
	mu              sync.Mutex
	requests        []string        // method, URI, idempotency key and body of each request
	clientAddresses map[string]bool // remote addresses of the connections
}

// NewApp starts an app server that answers with the handler. The server is closed when the test ends.
func NewApp(t testing.TB, serve http.HandlerFunc) *App {
	a := &App{clientAddresses: make(map[string]bool)}
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		a.mu.Lock()
		a.clientAddresses[r.RemoteAddr] = true
		a.requests = append(a.requests, strings.TrimSpace(fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Header.Get(protocol.HeaderIdempotencyKey), " ", string(body))))
		a.mu.Unlock()
		serve(w, r)
	}))
	t.Cleanup(a.Close)
	return a
}

// Requests returns the method, URI, idempotency key and body of each request received so far.
func (a *App) Requests() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.requests)
}

// Dials returns the number of connections on which a request was received so far.
func (a *App) Dials() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.clientAddresses)
}

// Count returns the number of requests received so far.
func (a *App) Count() int { return len(a.Requests()) }

// Addr returns the address that it listens on.
func (a *App) Addr() string { return a.Listener.Addr().String() }

// AnswerServed answers 200 with the request's ID in the body.
func AnswerServed(w http.ResponseWriter, r *http.Request) {
	io.WriteString(w, "served "+r.Header.Get(protocol.HeaderID))
}

// Hijack takes over the connection of a request from the HTTP server.
func Hijack(w http.ResponseWriter) net.Conn {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	return c
}

// Reset closes the connection of a request without an answer.
func Reset(w http.ResponseWriter, _ *http.Request) { Hijack(w).Close() }

// BlockUntilCanceled returns a handler that never answers: it blocks until the client disconnects or the test ends.
func BlockUntilCanceled(t testing.TB) http.HandlerFunc {
	testEnded := make(chan struct{})
	t.Cleanup(func() { close(testEnded) })
	return func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-testEnded:
		case <-r.Context().Done():
		}
	}
}
