package service

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/upstream"
)

// TestClientDisconnectOfUnacceptedRequest checks that a service continues, and answers its accepted request, after a
// client has disconnected whose request was answered without being accepted: because another accepted request had
// the same ID, or because it was passed to the service's replacement.
func TestClientDisconnectOfUnacceptedRequest(t *testing.T) {
	for _, tc := range []struct {
		name, id string
		replaced bool
	}{{"twice", "held", false}, {"service replaced", "late", true}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var received []control.Request
				s, _ := startService(t, Options{NewModule: func() (Module, error) { return statefulRecorder{&received}, nil }})
				accepted := make(chan Answer, 1)
				go func() {
					a, _ := s.Do(context.Background(), newExchange("held"))
					accepted <- a
				}()
				synctest.Wait()
				if tc.replaced {
					next, _ := startService(t, Options{})
					s.ReplaceWith(next)
					synctest.Wait()
				}
				busy := make(chan struct{})
				s.Post(func() { <-busy })
				left, leave := context.WithCancel(context.Background())
				leave()
				x := newExchange(tc.id)
				x.Forwarder = &upstream.BufferedRequest{Request: &http.Request{Method: http.MethodGet}}
				if a, ok := s.Do(left, x); ok {
					t.Errorf("disconnected client got an answer: %+v", a)
				}
				close(busy)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				if !s.Alive(ctx) {
					t.Fatal("event loop of the service does not run")
				}
				l := s.currentLoop()
				s.Post(func() {
					l.answerUnserved(l.exchanges["held"], Answer{Kind: Rejected, Status: http.StatusServiceUnavailable})
				})
				if a := <-accepted; a.Kind != Rejected || len(received) != 1 {
					t.Errorf("answer %+v; the module got %d requests, want 1", a, len(received))
				}
			})
		})
	}
}
