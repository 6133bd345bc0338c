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

// timesOutAfterWrite is an attempt that is written and times out.
func timesOutAfterWrite(ctx context.Context) upstream.Outcome {
	if !upstream.Commit(ctx) {
		return upstream.Outcome{Reason: control.NotSent}
	}
	<-ctx.Done()
	return upstream.Outcome{Reason: control.TimedOut}
}

// rejectedByServer is an attempt that a server rejects at once.
func rejectedByServer(ctx context.Context) upstream.Outcome {
	upstream.Commit(ctx)
	return upstream.Outcome{Reason: control.RejectedByServer}
}

// deadlineTest is the state of a service when a request arrives.
type deadlineTest struct {
	attempt        func(context.Context) upstream.Outcome
	hasNoServer    bool          // no server is listed
	isSaturated    bool          // earlier requests take up all capacity and are never answered
	loopBlockedFor time.Duration // starting right before the request
}

// start starts the service and brings it into its state. It returns the answers to the earlier requests.
func (d deadlineTest) start(t *testing.T, idempotency control.Idempotency) (s *Service, earlierAnswers []<-chan Answer) {
	const otherRequests = 50
	set := testSettings()
	set.Classes[0].Idempotency, set.Classes[0].KeyScope, set.Classes[0].RepeatWindow = idempotency, control.ScopeCell, time.Minute
	s, _ = startService(t, Options{Settings: set})
	synctest.Wait()
	if d.hasNoServer {
		s.receiveEndpoints(discovery.EndpointList{IsComplete: true})
	}
	if d.isSaturated {
		for i := range otherRequests {
			earlierAnswers = append(earlierAnswers, doWithin(s, fmt.Sprint("f", i), 5*time.Second, timesOutAfterWrite))
		}
		synctest.Wait()
	}
	if d.loopBlockedFor > 0 {
		s.Post(func() { time.Sleep(d.loopBlockedFor) })
		synctest.Wait()
	}
	return s, earlierAnswers
}

// doWithin has a service serve a request whose client waits for the given time.
func doWithin(s *Service, id string, wait time.Duration, attempt func(context.Context) upstream.Outcome) <-chan Answer {
	x := newExchange(id)
	x.Deadline, x.Forwarder = time.Now().Add(wait-DeadlineMargin), &scriptedForwarder{attempt: attempt}
	x.Request.Units, x.Request.FanOut = 1, 1
	return doInBackground(context.Background(), s, x)
}

// check sends a request whose client waits for the given time, and checks its answer.
func (d deadlineTest) check(t *testing.T, idempotency control.Idempotency, wait time.Duration) {
	s, earlierAnswers := d.start(t, idempotency)
	startedAt, sent := time.Now(), 0
	a := <-doWithin(s, "id-1", wait, func(ctx context.Context) upstream.Outcome { sent++; return d.attempt(ctx) })
	if elapsed, latest := time.Since(startedAt), max(wait, d.loopBlockedFor); elapsed > latest {
		t.Errorf("answered after %v, later than the client waits", elapsed)
	}
	if a.Kind == Served || a.Kind == Failed && sent == 0 || a.Status < 500 {
		t.Errorf("answer %+v with %d attempts sent", a, sent)
	}
	if d.hasNoServer || wait < DeadlineMargin || d.loopBlockedFor > wait {
		if sent > 0 || a.Kind != Rejected {
			t.Errorf("%d attempts sent, answer %+v; want none and a rejection", sent, a)
		}
	}
	for _, o := range earlierAnswers {
		<-o
	}
	if synctest.Wait(); s.Status().Requests != 0 {
		t.Errorf("%d requests left in the loop, want 0", s.Status().Requests)
	}
}

// TestEveryRequestIsAnsweredByItsDeadline checks that a request gets one answer before its client's deadline,
// whatever the service's state and however short the deadline, or when the loop continues if it was blocked for
// longer. A request that arrives too late to be sent is rejected and not sent.
func TestEveryRequestIsAnsweredByItsDeadline(t *testing.T) {
	for name, test := range map[string]deadlineTest{
		"no server":            {attempt: timesOutAfterWrite, hasNoServer: true},
		"server that hangs":    {attempt: timesOutAfterWrite},
		"server that rejects":  {attempt: rejectedByServer},
		"saturated server":     {attempt: timesOutAfterWrite, isSaturated: true},
		"briefly blocked loop": {attempt: timesOutAfterWrite, loopBlockedFor: 10 * time.Millisecond},
		"long blocked loop":    {attempt: timesOutAfterWrite, loopBlockedFor: 10 * time.Second},
	} {
		for class, idempotency := range idempotencies {
			for _, wait := range []time.Duration{time.Microsecond, 20 * time.Millisecond, 400 * time.Millisecond, 5 * time.Second} {
				t.Run(fmt.Sprint(name, ", ", class, ", ", wait), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { test.check(t, idempotency, wait) })
				})
			}
		}
	}
}

// TestDisconnectedClientsBeyondEventQueueAreNotSent checks the case that more requests arrive than the event queue
// has space for while the loop is blocked, and every second client disconnects before the loop continues. None of
// the requests of these clients is sent, whether it was in the queue or not, and all others are served.
func TestDisconnectedClientsBeyondEventQueueAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := startService(t, Options{NewModule: moduleOf(moduleFunc(sendToFirstServer))})
		synctest.Wait() // the module has got the endpoint list
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
				return upstream.Outcome{Reason: control.OK, Status: http.StatusOK, IsFinal: true, Header: http.Header{}}
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
			t.Fatalf("%d events in the queue, want a full queue", got)
		}
		leave()
		synctest.Wait()
		close(hold)
		all.Wait()
		if synctest.Wait(); s.Status().Requests != 0 || sent.Load() != int64(n/2) || served.Load() != int64(n/2) || gone.Load() != int64(n/2) {
			t.Errorf("%d requests left in the loop, %d sent, %d served, %d clients gone", s.Status().Requests, sent.Load(), served.Load(), gone.Load())
		}
	})
}
