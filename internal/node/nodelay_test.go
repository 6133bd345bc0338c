package node

import (
	"net"
	"sync"
	"testing"

	"golang.org/x/sys/unix"

	"lockflow/internal/config"
	"lockflow/internal/testsupport/testkit"
)

// recordingListener is a listener that records the connections that it has accepted.
type recordingListener struct {
	net.Listener
	mu       sync.Mutex
	accepted []*net.TCPConn
}

func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.accepted = append(l.accepted, conn.(*net.TCPConn))
	}
	return conn, err
}

// countWithoutNoDelay returns the number of accepted connections and of those without TCP_NODELAY, on which the kernel
// may delay small writes.
func (l *recordingListener) countWithoutNoDelay(t *testing.T) (conns, withoutNoDelay int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.accepted {
		raw, err := conn.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		err = raw.Control(func(fd uintptr) {
			if on, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY); err != nil || on == 0 {
				withoutNoDelay++
			}
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return len(l.accepted), withoutNoDelay
}

// startNodeWithRecordingListener runs a node until the end of the test and returns its listener.
func startNodeWithRecordingListener(t *testing.T, cfg config.Config) *recordingListener {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &recordingListener{Listener: tcp}
	cfg.Services[0].Source.Address = testkit.NewFakeDiscovery(t).Addr()
	n, err := NewInheriting(cfg, map[string]net.Listener{cfg.Listeners[0]: listener})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	ctx := t.Context()
	go func() { ended <- n.Run(ctx) }()
	t.Cleanup(func() {
		if err := testkit.Next(t, ended); err != nil {
			t.Error(err)
		}
	})
	return listener
}

// Guards against small writes to clients that the kernel delays: closing the connection while received bytes are unread
// would discard them.
func TestClientConnectionsHaveNoDelay(t *testing.T) {
	for name, shared := range map[string]bool{"one service": false, "services with shared resources": true} {
		t.Run(name, func(t *testing.T) {
			cfg, err := config.LoadPlatform("../config/testdata/config.json")
			if err != nil {
				t.Fatal(err)
			}
			cfg.Process.Drain = config.Drain{Max: testkit.WaitTimeout}
			if cfg.Process.Shared = shared; shared {
				cfg.Process.Total = config.Amounts{Descriptors: 200, Requests: 100, Bytes: 64 << 20, Dials: 100, ModuleTime: 1}
			}
			listener := startNodeWithRecordingListener(t, cfg)
			client := dialTo(t, listener.Addr().String())
			requestHealth(t, client)
			if conns, withoutNoDelay := listener.countWithoutNoDelay(t); conns != 1 || withoutNoDelay != 0 {
				t.Errorf("%d connections, %d of them without TCP_NODELAY", conns, withoutNoDelay)
			}
		})
	}
}
