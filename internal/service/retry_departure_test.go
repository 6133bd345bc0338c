package service

import (
	"context"
	"testing"
	"testing/synctest"

	"lockflow/control"
	"lockflow/internal/upstream"
)

// retryUntilFinal makes a further attempt at the first server after each attempt that did not end its request.
func retryUntilFinal(e control.Event) []control.Action {
	if r, ok := e.(control.AttemptResult); ok && !r.IsFinal {
		return []control.Action{control.Send{ID: r.ID, Server: 1}}
	}
	return sendToFirstServer(e)
}

// Guards against a retry for a client that has disconnected since the first attempt: it must not be written.
func TestRetryOfDisconnectedClientIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := startService(t, Options{NewModule: func() (Module, error) { return moduleFunc(retryUntilFinal), nil }})
		synctest.Wait()
		written, polled := 0, 0
		x := newExchange("id-1")
		x.Client = clientFunc(func() bool { polled++; return polled == 1 })
		x.Forwarder = &scriptedForwarder{attempt: func(ctx context.Context) upstream.Outcome {
			if !upstream.Commit(ctx) {
				return upstream.Outcome{Reason: control.NotSent}
			}
			written++
			return upstream.Outcome{Reason: control.RejectedByServer}
		}}
		if a, ok := s.Do(t.Context(), x); ok {
			t.Errorf("disconnected client got an answer: %+v", a)
		}
		if synctest.Wait(); written != 1 || polled != 2 || s.Status().Requests != 0 {
			t.Errorf("%d attempts were written, the client was polled %d times, %d requests are left in the loop; want 1, 2 and 0", written, polled, s.Status().Requests)
		}
	})
}
