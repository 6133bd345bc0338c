package service

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/upstream"
)

// Whatever the service's state and however little time a request has, it has one answer, no later than its
// client waits, or as soon as a loop that was busy for longer goes on. What comes too late to be sent is
// refused, not sent.
func TestEveryRequestIsAnsweredByItsDeadline(t *testing.T) {
	const fill = 50
	hangs := func(ctx context.Context) upstream.Outcome {
		if !upstream.Commit(ctx) {
			return upstream.Outcome{Reason: control.NotSent}
		}
		<-ctx.Done()
		return upstream.Outcome{Reason: control.TimedOut}
	}
	full := func(ctx context.Context) upstream.Outcome {
		upstream.Commit(ctx)
		return upstream.Outcome{Reason: control.RejectedByServer}
	}
	for name, tc := range map[string]struct {
		try  func(context.Context) upstream.Outcome
		none bool          // no server is listed
		many bool          // others came before and hang
		busy time.Duration // for which the loop is
	}{
		"no server":      {try: hangs, none: true},
		"a hanging one":  {try: hangs},
		"a full one":     {try: full},
		"places taken":   {try: hangs, many: true},
		"a busy loop":    {try: hangs, busy: 10 * time.Millisecond},
		"a loop at rest": {try: hangs, busy: 10 * time.Second},
	} {
		for effect, class := range map[string]control.Idempotency{"safe": control.Idempotent, "keyed": control.IdempotencyKeyed, "unsafe": control.NotIdempotent} {
			for _, left := range []time.Duration{time.Microsecond, 20 * time.Millisecond, 400 * time.Millisecond, 5 * time.Second} {
				t.Run(fmt.Sprint(name, ", ", effect, ", ", left), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						set := testSettings()
						set.Classes[0].Idempotency, set.Classes[0].KeyScope, set.Classes[0].RepeatWindow = class, control.ScopeCell, time.Minute
						s, _ := startService(t, Options{Settings: set})
						synctest.Wait()
						if tc.none {
							s.receiveEndpoints(discovery.Listing{All: true})
						}
						do := func(id string, left time.Duration, try func(context.Context) upstream.Outcome) chan Answer {
							x := newExchange(id)
							x.Deadline, x.Forwarder = time.Now().Add(left-DeadlineMargin), &scriptedForwarder{attempt: try}
							x.Request.Units, x.Request.FanOut = 1, 1
							answer := make(chan Answer, 2)
							go func() { a, _ := s.Do(context.Background(), x); answer <- a }()
							return answer
						}
						var others []chan Answer
						if tc.many {
							for i := range fill {
								others = append(others, do(fmt.Sprint("f", i), 5*time.Second, hangs))
							}
							synctest.Wait()
						}
						if tc.busy > 0 {
							s.Post(func() { time.Sleep(tc.busy) })
							synctest.Wait()
						}
						begun, sent := time.Now(), 0
						a := <-do("id-1", left, func(ctx context.Context) upstream.Outcome { sent++; return tc.try(ctx) })
						if took, by := time.Since(begun), max(left, tc.busy); took > by {
							t.Errorf("answered after %v", took)
						}
						if a.Kind == Served || a.Kind == Failed && sent == 0 || a.Status < 500 {
							t.Errorf("%+v with %d sent", a, sent)
						}
						if tc.none || left < DeadlineMargin || tc.busy > left {
							if sent > 0 || a.Kind != Rejected {
								t.Errorf("%d sent, %+v", sent, a)
							}
						}
						for _, o := range others {
							<-o
						}
						if synctest.Wait(); s.Status().Requests != 0 {
							t.Errorf("%d held", s.Status().Requests)
						}
					})
				})
			}
		}
	}
}

// More come than the loop's channel holds while the loop stands still, and every second one leaves before it
// goes on: none of those is sent, whether its request had a place in the channel or not, and each other is served.
func TestDepartedClientsBeyondEventQueueAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := startService(t, Options{NewModule: func() (Module, error) { return moduleFunc(sendToFirstServer), nil }})
		synctest.Wait() // it knows its server
		hold := make(chan struct{})
		s.Post(func() { <-hold })
		synctest.Wait()
		n := 3 * cap(s.currentLoop().events)
		var sent, served, gone atomic.Int64
		var all sync.WaitGroup
		leaving, leave := context.WithCancel(context.Background())
		for i := range n {
			x, ctx := newExchange(fmt.Sprint("id-", i)), context.Background()
			if i%2 == 1 {
				ctx = leaving
			}
			x.Forwarder = &scriptedForwarder{attempt: func(try context.Context) upstream.Outcome {
				if !upstream.Commit(try) {
					return upstream.Outcome{Reason: control.NotSent}
				}
				sent.Add(1)
				return upstream.Outcome{Reason: control.OK, Status: http.StatusOK, Final: true, Header: http.Header{}}
			}}
			all.Go(func() {
				if a, ok := s.Do(ctx, x); !ok {
					gone.Add(1)
				} else if a.Status == http.StatusOK {
					served.Add(1)
				}
			})
		}
		synctest.Wait()
		if got := len(s.currentLoop().events); got != n/3 {
			t.Fatalf("%d in the channel", got)
		}
		leave()
		synctest.Wait()
		close(hold)
		all.Wait()
		if synctest.Wait(); s.Status().Requests != 0 || sent.Load() != int64(n/2) || served.Load() != int64(n/2) || gone.Load() != int64(n/2) {
			t.Errorf("%d held, %d sent, %d served, %d gone", s.Status().Requests, sent.Load(), served.Load(), gone.Load())
		}
	})
}
