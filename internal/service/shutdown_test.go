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

// scriptedForwarder is a request whose attempts end as a test says.
type scriptedForwarder struct {
	upstream.Whole
	attempt func(ctx context.Context) upstream.Outcome
}

func (f *scriptedForwarder) Attempt(ctx, _ context.Context, _ *upstream.Upstream, _ *upstream.Pool) upstream.Outcome {
	return f.attempt(ctx)
}

// sendToFirstServer makes one attempt for each request, at the first server.
func sendToFirstServer(e control.Event) []control.Action {
	if r, ok := e.(control.Request); ok {
		return []control.Action{control.Send{ID: r.ID, Server: 1}}
	}
	return nil
}

// At an orderly end what surely never ran is refused, whatever its class's effect; what may have run
// is failed. So is all that a module held that has failed.
func TestPendingRequestsAreAnsweredAtEnd(t *testing.T) {
	ends := func(why control.Reason, status int) func(context.Context) upstream.Outcome {
		return func(context.Context) upstream.Outcome { return upstream.Outcome{Reason: why, Status: status} }
	}
	comesUp := func(ctx context.Context) upstream.Outcome {
		<-ctx.Done()
		return upstream.Outcome{Reason: control.ConnectFailed}
	}
	never := func(ctx context.Context) upstream.Outcome {
		if !upstream.Commit(ctx) {
			return upstream.Outcome{Reason: control.NotSent}
		}
		<-ctx.Done()
		return upstream.Outcome{Reason: control.Cancelled}
	}
	for effect, class := range map[string]control.Idempotency{"safe": control.Idempotent, "keyed": control.IdempotencyKeyed, "unsafe": control.NotIdempotent} {
		for _, deadline := range []time.Duration{250 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond, 7500 * time.Millisecond} {
			for name, tc := range map[string]struct {
				try  func(context.Context) upstream.Outcome // nil has no attempt made
				kind AnswerKind
			}{
				"nothing sent":   {nil, Rejected},
				"refused":        {ends(control.RejectedByServer, http.StatusServiceUnavailable), Rejected},
				"no connection":  {ends(control.ConnectFailed, 0), Rejected},
				"given up":       {ends(control.NotSent, 0), Rejected},
				"error":          {ends(control.Errored, http.StatusInternalServerError), Failed},
				"reset":          {ends(control.ResetByPeer, 0), Failed},
				"timed out":      {ends(control.TimedOut, 0), Failed},
				"out at the end": {never, Failed},
				"its connection": {comesUp, Rejected},
			} {
				for _, panics := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s %v %s, panic %v", effect, deadline, name, panics), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							set := testSettings()
							set.Classes[0].Idempotency, set.Classes[0].Deadline = class, deadline
							set.Classes[0].KeyScope, set.Classes[0].RepeatWindow = control.ScopeCell, time.Minute
							module := moduleFunc(ignoreAll)
							if tc.try != nil {
								module = sendToFirstServer
							}
							s, end := startStoppableService(t, Options{Settings: set, NewModule: func() (Module, error) { return module, nil }})
							synctest.Wait() // it knows its server
							x := newExchange("id-1")
							x.Deadline = time.Now().Add(deadline)
							x.Forwarder = &scriptedForwarder{attempt: tc.try}
							answer := make(chan Answer, 1)
							go func() { a, _ := s.Do(context.Background(), x); answer <- a }()
							synctest.Wait()
							want, status := tc.kind, http.StatusServiceUnavailable
							if panics {
								s.Post(func() { panic("no such share") })
								want = Failed
							} else {
								end.stop()
							}
							if want == Failed {
								status = http.StatusBadGateway
							}
							if a := <-answer; a.Kind != want || a.Status != status {
								t.Errorf("%+v", a)
							}
							if err := <-end.ended; (err != nil) != panics {
								t.Error(err)
							}
						})
					})
				}
			}
		}
	}
}

// Answers that have come when a service ends go to their clients.
func TestArrivedAnswersAreDeliveredAtEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, end := startStoppableService(t, Options{NewModule: func() (Module, error) { return moduleFunc(sendToFirstServer), nil }})
		synctest.Wait() // it knows its server
		const n = 30    // either of two that are there at once may be taken first
		come := make(chan struct{})
		served := make(chan Answer, n)
		do := func(id string) {
			x := newExchange(id)
			x.Forwarder = &scriptedForwarder{attempt: func(ctx context.Context) upstream.Outcome {
				select {
				case <-come:
				case <-ctx.Done():
				}
				return upstream.Outcome{Reason: control.OK, Status: http.StatusOK, Final: true, Header: http.Header{}}
			}}
			a, _ := s.Do(context.Background(), x)
			served <- a
		}
		for i := range n {
			go do(fmt.Sprint("id-", i))
		}
		synctest.Wait()
		held, goOn := make(chan struct{}), make(chan struct{})
		s.Post(func() { close(held); <-goOn })
		<-held
		close(come)
		synctest.Wait() // all wait in the channel
		end.stop()
		close(goOn)
		for range n {
			if a := <-served; a.Kind != Served || a.Status != http.StatusOK {
				t.Errorf("an answer that had come: %+v", a)
			}
		}
		if err := <-end.ended; err != nil {
			t.Error(err)
		}
	})
}
