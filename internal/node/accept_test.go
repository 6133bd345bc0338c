package node

import (
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/protocol"
	"lockflow/internal/testsupport/testkit"
)

// failingListener is a listener whose next calls of Accept fail, each with the next error of errs.
type failingListener struct {
	net.Listener
	mu   sync.Mutex
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
}

// Guards against a node that ends on an error of accept: after each error that accept(2) lists for a running machine the
// next client is served.
func TestAcceptErrorsDoNotEndNode(t *testing.T) {
	errs := []error{
		syscall.ENOBUFS, syscall.ENOMEM, syscall.ENFILE, syscall.EMFILE, syscall.ECONNABORTED, syscall.EPERM, syscall.EPROTO,
		syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
		syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ENOSR,
	}
	r := newTestNodeWithListener(t, func(socket net.Listener) net.Listener { return &failingListener{Listener: socket, errs: errs} })
	app := testkit.NewApp(t, func(http.ResponseWriter, *http.Request) {})
	r.setEndpoints(endpointOf(app, "s-1", 0))
	if resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1")); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d after errors of accept, want 200", resp.StatusCode)
	}
	select {
	case err := <-r.ended:
		t.Errorf("the node has ended after errors of accept: %v", err)
	default:
	}
}

// newTestNodeWithListener runs a node whose TCP listener is wrapped by wrap.
func newTestNodeWithListener(t *testing.T, wrap func(net.Listener) net.Listener) *testNode {
	t.Helper()
	cfg, err := config.LoadPlatform("../config/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Process.Drain = config.Drain{}
	r := newIdleTestNodeWithConfig(t, cfg)
	cfg, socket := r.node.cfg, r.node.listeners[0].tcp
	if r.node, err = NewInheriting(cfg, map[string]net.Listener{cfg.Listeners[0]: wrap(socket)}); err != nil {
		t.Fatal(err)
	}
	r.run()
	return r
}

// temporarilyFailingListener is a listener whose calls of Accept fail until a point in time.
type temporarilyFailingListener struct {
	net.Listener
	mu       sync.Mutex
	until    time.Time
	failures int
}

func (l *temporarilyFailingListener) failFor(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = time.Now().Add(d)
}

// hasFailed reports whether a call has failed.
func (l *temporarilyFailingListener) hasFailed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures > 0
}

func (l *temporarilyFailingListener) Accept() (net.Conn, error) {
	if err := l.failure(); err != nil {
		return nil, err
	}
	// The short deadline ends a call that is waiting when the failures begin, so that it does not accept the next
	// connection.
	l.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(time.Millisecond))
	return l.Listener.Accept()
}

func (l *temporarilyFailingListener) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.until) {
		l.failures++
		return &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
	}
	return nil
}

// Guards against a server that is told more time than the client has left. While accept fails, the connection waits in
// the accept queue, and this time counts against the request's deadline.
func TestTimeInAcceptQueueCountsAgainstDeadline(t *testing.T) {
	const queued = 400 * time.Millisecond
	var socket *temporarilyFailingListener
	r := newTestNodeWithListener(t, func(l net.Listener) net.Listener {
		socket = &temporarilyFailingListener{Listener: l}
		return socket
	})
	results := make(chan string, 1)
	app := testkit.NewApp(t, func(_ http.ResponseWriter, req *http.Request) { results <- req.Header.Get(protocol.HeaderTimeLeft) })
	r.setEndpoints(endpointOf(app, "s-1", 0))
	socket.failFor(queued + 100*time.Millisecond)
	r.waitUntil("a failure of accept", socket.hasFailed)
	time.Sleep(100 * time.Millisecond) // the request arrives after the listener has been failing for some time
	request := r.newRequest(http.MethodGet, "/roster-read", "id-1")
	request.Header.Set(protocol.HeaderTimeLeft, "1000m")
	if resp, _ := r.do(request); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200", resp.StatusCode)
	}
	text := testkit.Next(t, results)
	left, err := time.ParseDuration(text + "s")
	if err != nil || left > time.Second-queued+50*time.Millisecond || left < 100*time.Millisecond {
		t.Errorf("the server was told that %q of 1000m are left after %v in the accept queue (parse error %v)", text, queued, err)
	}
}
