package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testkit"
)

// delayedDials is a dial limiter that blocks dials until readyAt.
type delayedDials struct{ readyAt time.Time }

func (c *delayedDials) TryAcquire() bool { time.Sleep(time.Until(c.readyAt)); return true }
func (c *delayedDials) Release()         {}

// TestConnectionUpAfterWriteDeadlineIsNotWritten checks that an attempt is not written after its write deadline, neither
// on a connection that was established too late nor on an idle one. This does not count as a failure of the server, and
// the connection serves the next request.
func TestConnectionUpAfterWriteDeadlineIsNotWritten(t *testing.T) {
	for name, protocol := range map[string]Protocol{"HTTP/1.1": ProtocolHTTP1, "HTTP/2": ProtocolHTTP2} {
		t.Run(name, func(t *testing.T) {
			app, err := fake.Server{UID: "s", HTTP2: true}.Start()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(app.Close)
			dials := &delayedDials{}
			sockets := limits.NewSocketLimiter(1024)
			upstream := New(Options{
				ConnectTimeout: testkit.WaitTimeout, KeepAliveTimeout: 2 * testkit.WaitTimeout, SocketLimiter: sockets, DialLimiter: dials,
				HTTP2: HTTP2Options{MaxConnections: 1, MaxStreams: 10, MaxConnectionAge: time.Hour, FallbackPeriod: time.Minute, StartsAtLastByte: true},
			})
			pool := upstream.NewPool(app.Addr(), protocol)
			t.Cleanup(func() { upstream.RetirePool(pool) })
			attempt := func(writeDeadline time.Time) Outcome {
				ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
				defer cancel()
				if !writeDeadline.IsZero() {
					ctx = WithWriteDeadline(ctx, writeDeadline)
				}
				return newUpdate("id", "body").Attempt(ctx, nil, upstream, pool)
			}
			dials.readyAt = time.Now().Add(10 * time.Millisecond)
			if outcome := attempt(dials.readyAt); outcome.Reason != control.NotSent {
				t.Errorf("reason %d (%v) over a new connection", outcome.Reason, outcome.Err)
			}
			if outcome := attempt(time.Now()); outcome.Reason != control.NotSent {
				t.Errorf("reason %d (%v) over an idle connection", outcome.Reason, outcome.Err)
			}
			if http1Requests, http2Requests := app.RequestsByVersion(); http1Requests+http2Requests != 0 {
				t.Errorf("%d requests written, want 0", http1Requests+http2Requests)
			}
			for _, writeDeadline := range []time.Time{time.Now().Add(time.Hour), {}} {
				if outcome := attempt(writeDeadline); outcome.Reason != control.OK {
					t.Errorf("reason %d (%v) before the deadline", outcome.Reason, outcome.Err)
				}
			}
			if n := sockets.InUse(); n != 1 {
				t.Errorf("%d connections open, want 1", n)
			}
		})
	}
}

// dialHook is a dial limiter that calls a function before each dial.
type dialHook func()

func (f dialHook) TryAcquire() bool { f(); return true }
func (f dialHook) Release()         {}

// TestRemovedServerIsNotWrittenTo checks that an attempt is not written if its server is removed before the attempt
// starts or while the connection is being established: a dial may take long, and requests to a removed server must stop.
func TestRemovedServerIsNotWrittenTo(t *testing.T) {
	for name, protocol := range map[string]Protocol{"HTTP/1.1": ProtocolHTTP1, "HTTP/2": ProtocolHTTP2} {
		for when, removedBefore := range map[string]bool{"before": true, "meanwhile": false} {
			t.Run(name+" "+when, func(t *testing.T) {
				app, err := fake.Server{UID: "s", HTTP2: true}.Start()
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(app.Close)
				sockets, dials := limits.NewSocketLimiter(1024), 0
				var upstream *Upstream
				var pool *Pool
				upstream = New(Options{
					ConnectTimeout: testkit.WaitTimeout, KeepAliveTimeout: 2 * testkit.WaitTimeout, SocketLimiter: sockets,
					DialLimiter: dialHook(func() { dials++; upstream.RetirePool(pool) }),
					HTTP2:       HTTP2Options{MaxConnections: 1, MaxStreams: 10, MaxConnectionAge: time.Hour, FallbackPeriod: time.Minute, StartsAtLastByte: true},
				})
				pool = upstream.NewPool(app.Addr(), protocol)
				if removedBefore {
					upstream.RetirePool(pool)
				}
				ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
				defer cancel()
				if outcome := newUpdate("id", "body").Attempt(ctx, nil, upstream, pool); outcome.Reason != control.ConnectFailed && outcome.Reason != control.NotSent {
					t.Errorf("reason %d (%v)", outcome.Reason, outcome.Err)
				}
				if http1Requests, http2Requests := app.RequestsByVersion(); http1Requests+http2Requests != 0 {
					t.Errorf("%d requests written, want 0", http1Requests+http2Requests)
				}
				testkit.Until(t, "release of the socket", func() bool { return sockets.InUse() == 0 })
				if removedBefore && dials > 0 {
					t.Errorf("%d connections dialed to a removed server", dials)
				}
			})
		}
	}
}

// dialCount is a dial limiter that counts the dials in progress.
type dialCount struct{ open atomic.Int64 }

func (d *dialCount) TryAcquire() bool { d.open.Add(1); return true }
func (d *dialCount) Release()         { d.open.Add(-1) }

// TestFailedDialsLeaveNothingBehind checks that dials which never succeed end with the connect timeout or the attempt's
// deadline, whichever is earlier, and leak no descriptor, dial slot or goroutine.
func TestFailedDialsLeaveNothingBehind(t *testing.T) {
	const shortTimeout, attempts = 50 * time.Millisecond, 100
	address := testkit.FullBacklogAddress(t)
	for name, timeouts := range map[string]struct{ connect, attempt time.Duration }{
		"connect timeout":  {shortTimeout, testkit.WaitTimeout},
		"attempt deadline": {testkit.WaitTimeout, shortTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			sockets, dials := limits.NewSocketLimiter(1024), &dialCount{}
			upstream := New(Options{ConnectTimeout: timeouts.connect, KeepAliveTimeout: testkit.WaitTimeout, SocketLimiter: sockets, DialLimiter: dials})
			pool := upstream.NewPool(address, ProtocolHTTP1)
			startedAt := time.Now()
			var all sync.WaitGroup
			for range attempts {
				all.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), timeouts.attempt)
					defer cancel()
					if outcome := upstream.AttemptHTTP1(ctx, pool, newPOSTRequest(t, nil)); outcome.Reason != control.ConnectFailed {
						t.Errorf("reason %d (%v)", outcome.Reason, outcome.Err)
					}
				})
			}
			all.Wait()
			if elapsed := time.Since(startedAt); elapsed > testkit.WaitTimeout/2 {
				t.Errorf("attempts ended only after %v", elapsed)
			}
			if descriptors, dialing := sockets.InUse(), dials.open.Load(); descriptors != 0 || dialing != 0 {
				t.Errorf("%d descriptors and %d dials not released", descriptors, dialing)
			}
		})
	}
}
