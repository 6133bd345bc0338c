package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"

	"lockflow/control"
	"lockflow/internal/testsupport/testkit"
)

// singleStreamSettings is a SETTINGS frame that allows one stream at a time (RFC 9113, 6.5).
const singleStreamSettings = "\x00\x00\x06\x04\x00\x00\x00\x00\x00\x00\x03\x00\x00\x00\x01"

// TestAttemptsUseEveryAllowedConnection checks that attempts open as many connections to one server as the options
// allow, even if that exceeds stackViewCapacity.
func TestAttemptsUseEveryAllowedConnection(t *testing.T) {
	const connections = 20
	address := serveConnections(t, func(conn net.Conn) { // reads requests and never responds
		if _, err := io.WriteString(conn, singleStreamSettings); err == nil {
			_, _ = io.Copy(io.Discard, conn) // returns when the connection ends
		}
	})
	upstream := newHTTP2Upstream(HTTP2Options{MaxConnections: connections, MaxStreams: connections})
	pool := upstream.NewPool(address, ProtocolHTTP2)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var attempts sync.WaitGroup
	for range connections {
		attempts.Go(func() {
			if outcome := newUpdate("id", "").Attempt(ctx, ctx, upstream, pool); outcome.Reason != control.Cancelled {
				t.Errorf("reason %v, %v", outcome.Reason, outcome.Err)
			}
		})
	}
	testkit.Until(t, "a stream on each connection", func() bool {
		status := upstream.HTTP2Status()
		return status.Connections == connections && status.Streams == connections
	})
	cancel()
	attempts.Wait()
	upstream.RetirePool(pool)
}
