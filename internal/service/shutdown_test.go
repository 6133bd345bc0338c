package service

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/upstream"
)

// endsImmediately returns an attempt that ends at once with this reason and status.
func endsImmediately(reason control.Reason, status int) func(context.Context) upstream.Outcome {
	return func(context.Context) upstream.Outcome { return upstream.Outcome{Reason: reason, Status: status} }
}

// neverConnects is an attempt whose connection is not established before the attempt's context ends.
func neverConnects(ctx context.Context) upstream.Outcome {
	<-ctx.Done()
	return upstream.Outcome{Reason: control.ConnectFailed}
}

// neverAnswered is an attempt that is written and gets no response before its context ends.
func neverAnswered(ctx context.Context) upstream.Outcome {
	if !upstream.Commit(ctx) {
		return upstream.Outcome{Reason: control.NotSent}
	}
	<-ctx.Done()
	return upstream.Outcome{Reason: control.Cancelled}
}

// pendingRequest is a request that has no answer when its service ends.
type pendingRequest struct {
	attempt func(context.Context) upstream.Outcome // nil if no attempt is made
	kind    AnswerKind                             // of the answer after a graceful shutdown
}

// check ends the service, or has its module panic, and checks the request's answer.
func (p pendingRequest) check(t *testing.T, idempotency control.Idempotency, deadline time.Duration, panics bool) {
	set := testSettings()
	set.Classes[0].Idempotency, set.Classes[0].Deadline = idempotency, deadline
	set.Classes[0].KeyScope, set.Classes[0].RepeatWindow = control.ScopeCell, time.Minute
	module := moduleFunc(ignoreAll)
	if p.attempt != nil {
		module = sendToFirstServer
	}
	s, handle := startStoppableService(t, Options{Settings: set, NewModule: moduleOf(module)})
	synctest.Wait() // the module has got the endpoint list
	x := newExchange("id-1")
	x.Deadline = time.Now().Add(deadline)
	x.Forwarder = &scriptedForwarder{attempt: p.attempt}
	answer := doInBackground(context.Background(), s, x)
	synctest.Wait()
	want, status := p.kind, http.StatusServiceUnavailable
	if panics {
		s.Post(func() { panic("no such share") })
		want = Failed
	} else {
		handle.stop()
	}
	if want == Failed {
		status = http.StatusBadGateway
	}
	if a := <-answer; a.Kind != want || a.Status != status {
		t.Errorf("wrong kind or status of the answer: %+v", a)
	}
	if err := <-handle.ended; (err != nil) != panics {
		t.Error(err)
	}
}

// TestPendingRequestsAreAnsweredAtEnd checks that on graceful shutdown requests that cannot have run are rejected,
// whatever their class's idempotency, and those that may have run are answered as failed. After a panic all are
// answered as failed.
func TestPendingRequestsAreAnsweredAtEnd(t *testing.T) {
	requests := map[string]pendingRequest{
		"no attempt":       {nil, Rejected},
		"refused":          {endsImmediately(control.RejectedByServer, http.StatusServiceUnavailable), Rejected},
		"no connection":    {endsImmediately(control.ConnectFailed, 0), Rejected},
		"not sent":         {endsImmediately(control.NotSent, 0), Rejected},
		"error":            {endsImmediately(control.Errored, http.StatusInternalServerError), Failed},
		"reset":            {endsImmediately(control.ResetByPeer, 0), Failed},
		"timed out":        {endsImmediately(control.TimedOut, 0), Failed},
		"in flight":        {neverAnswered, Failed},
		"while connecting": {neverConnects, Rejected},
	}
	for class, idempotency := range idempotencies {
		for _, deadline := range []time.Duration{250 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond, 7500 * time.Millisecond} {
			for name, request := range requests {
				for _, panics := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s %v %s, panic %v", class, deadline, name, panics), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { request.check(t, idempotency, deadline, panics) })
					})
				}
			}
		}
	}
}

// TestArrivedAnswersAreDeliveredAtEnd checks that answers that are in the event queue when a service ends
// reach their clients.
func TestArrivedAnswersAreDeliveredAtEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, handle := startStoppableService(t, Options{NewModule: moduleOf(moduleFunc(sendToFirstServer))})
		synctest.Wait() // the module has got the endpoint list
		const n = 30    // enough for a random choice between queued events and the end of ctx to lose some
		arrived := make(chan struct{})
		served := make(chan Answer, n)
		do := func(id string) {
			x := newExchange(id)
			x.Forwarder = &scriptedForwarder{attempt: func(ctx context.Context) upstream.Outcome {
				select {
				case <-arrived:
				case <-ctx.Done():
				}
				return upstream.Outcome{Reason: control.OK, Status: http.StatusOK, IsFinal: true, Header: http.Header{}}
			}}
			a, _ := s.Do(context.Background(), x)
			served <- a
		}
		for i := range n {
			go do(fmt.Sprint("id-", i))
		}
		synctest.Wait()
		started, resume := make(chan struct{}), make(chan struct{})
		s.Post(func() { close(started); <-resume })
		<-started
		close(arrived)
		synctest.Wait() // all are in the event queue
		handle.stop()
		close(resume)
		for range n {
			if a := <-served; a.Kind != Served || a.Status != http.StatusOK {
				t.Errorf("queued answer was not delivered: %+v", a)
			}
		}
		if err := <-handle.ended; err != nil {
			t.Error(err)
		}
	})
}
