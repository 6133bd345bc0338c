// Package testkit holds what the tests of several packages share: small peers that a test
// tells what to do, and waiting for events with a bound.
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

// WaitTimeout bounds every wait of the tests; nothing is expected to come near it.
const WaitTimeout = 30 * time.Second

// Small is a configuration of one service whose server is always listed and never there.
const Small = `
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

// Next takes what comes next on a channel; nothing in time fails the test.
func Next[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(WaitTimeout):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

// Supervisor is a stand-in for systemd's side of the notify protocol (sd_notify(3)), named by
// NOTIFY_SOCKET until the test ends. It gives what it is told.
func Supervisor(t testing.TB) <-chan string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "notify")
	c, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	t.Setenv("NOTIFY_SOCKET", path)
	told := make(chan string, 100)
	go func() {
		for raw := make([]byte, 4096); ; {
			n, err := c.Read(raw)
			if err != nil {
				return
			}
			told <- string(raw[:n])
		}
	}()
	return told
}

// ShortDir is a directory whose path leaves room for that of a Unix socket, whatever the test's name. What
// a process of the test that is just ending writes into it fails nothing.
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

// Until asks again and again whether something is so; never in time fails the test.
func Until(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if is() {
			return
		}
	}
	t.Fatalf("%s: not in time", what)
}

// Agent is a discovery that tells what a test has it tell.
type Agent struct {
	*httptest.Server
	Polled chan string   // the query of each watch
	Lines  chan string   // a line each; "" ends the watch
	quit   chan struct{} // closed at the end of the test
}

// NewAgent starts one, until the test ends.
func NewAgent(t testing.TB) *Agent {
	a := &Agent{Polled: make(chan string, 100), Lines: make(chan string, 100), quit: make(chan struct{})}
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

// Addr is where it listens.
func (a *Agent) Addr() string { return a.Listener.Addr().String() }

// App is an app server that notes what it is asked.
type App struct {
	*httptest.Server
	mu              sync.Mutex
	requests        []string        // method, URI and key of each request
	clientAddresses map[string]bool // addresses of connections
}

// NewApp starts one, until the test ends.
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

// Requests are what it has been asked so far.
func (a *App) Requests() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.requests)
}

// Dials is how many connections requests have come on.
func (a *App) Dials() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.clientAddresses)
}

// Count is how many requests it has been asked so far.
func (a *App) Count() int { return len(a.Requests()) }

// Addr is where it listens.
func (a *App) Addr() string { return a.Listener.Addr().String() }

// Served answers 200 and names the request.
func Served(w http.ResponseWriter, r *http.Request) {
	io.WriteString(w, "served "+r.Header.Get(protocol.HeaderID))
}

// Hijack takes a request's connection over.
func Hijack(w http.ResponseWriter) net.Conn {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	return c
}

// Reset ends a request's connection with no answer.
func Reset(w http.ResponseWriter, _ *http.Request) { Hijack(w).Close() }

// Never answers only when the test ends.
func Never(t testing.TB) http.HandlerFunc {
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	return func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-over:
		case <-r.Context().Done():
		}
	}
}
