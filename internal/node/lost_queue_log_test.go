package node

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"lockflow/internal/config"
	"lockflow/internal/testsupport/testkit"
)

// lockedBuffer is a buffer that several goroutines may use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Guards against connections that a shutdown resets without a log line: a listener that is closed with clients in its
// accept queue is logged, and one whose queue is empty is not.
func TestShutdownLogsClientsLeftInQueue(t *testing.T) {
	for name, isFull := range map[string]bool{"no descriptor is left": true, "descriptors are left": false} {
		t.Run(name, func(t *testing.T) {
			var log lockedBuffer
			previous := slog.Default()
			slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
			t.Cleanup(func() { slog.SetDefault(previous) })
			r := newIdleTestNode(t, config.Drain{})
			for clients := r.node.limiter.clientSockets(); isFull && clients.TryAcquire(); {
				continue
			}
			servers := r.node.limiter.(*exclusiveLimiter).sockets
			for isFull && servers.TryAcquire() {
				continue
			}
			client := r.dial()
			io.WriteString(client, healthzRequest)
			r.stop()
			r.run()
			if err := testkit.Next(t, r.ended); err != nil {
				t.Error(err)
			}
			r.ended <- nil
			if isLogged := strings.Contains(log.String(), "with clients in its queue"); isLogged != isFull {
				t.Errorf("clients in the queue logged: %v; log: %s", isLogged, log.String())
			}
		})
	}
}
