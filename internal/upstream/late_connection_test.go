package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/testkit"
)

// dialCount counts the connections that are coming up.
type dialCount struct{ open atomic.Int64 }

func (d *dialCount) TryAcquire() bool { d.open.Add(1); return true }
func (d *dialCount) Release()         { d.open.Add(-1) }

// Connections that never come up are given up by their own time or by their attempt's, whichever is shorter, and
// leave nothing behind: no descriptor, no dial, no goroutine.
func TestFailedDialsLeaveNothingBehind(t *testing.T) {
	const short, attempts = 50 * time.Millisecond, 100
	address := testkit.FullBacklogAddress(t)
	for name, within := range map[string]struct{ connect, attempt time.Duration }{
		"the time of a connection": {short, testkit.Patience},
		"the time of an attempt":   {testkit.Patience, short},
	} {
		t.Run(name, func(t *testing.T) {
			sockets, dials := limits.NewSocketLimiter(1024), &dialCount{}
			upstream := New(Options{ConnectTimeout: within.connect, KeepAliveTimeout: testkit.Patience, SocketLimiter: sockets, DialLimiter: dials})
			pool := upstream.NewPool(address, ProtocolHTTP1)
			begun := time.Now()
			var all sync.WaitGroup
			for range attempts {
				all.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), within.attempt)
					defer cancel()
					if outcome := upstream.AttemptHTTP1(ctx, pool, newMessage(t, nil)); outcome.Reason != control.ConnectFailed {
						t.Errorf("%d (%v)", outcome.Reason, outcome.Err)
					}
				})
			}
			all.Wait()
			if took := time.Since(begun); took > testkit.Patience/2 {
				t.Errorf("given up after %v", took)
			}
			if descriptors, coming := sockets.InUse(), dials.open.Load(); descriptors != 0 || coming != 0 {
				t.Errorf("%d descriptors and %d dials are left", descriptors, coming)
			}
		})
	}
}
