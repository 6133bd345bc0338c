package service

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/limits"
	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/upstream"
)

// TestRetryAfterRepeatWindowIsNotSent checks that a retry whose connection is established after the repeat window
// is never written, and that the module is notified that it was not sent.
func TestRetryAfterRepeatWindowIsNotSent(t *testing.T) {
	app := testkit.NewApp(t, testkit.AnswerServed)
	for name, tc := range map[string]struct {
		begin time.Duration
		want  int
	}{"over": {1, 0}, "open": {time.Hour, 1}, "none": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			before := app.Count()
			reasons := make(chan control.Reason, 1)
			listed, server := make(chan struct{}, 10), uint32(0)
			m := moduleFunc(func(e control.Event) []control.Action {
				switch e := e.(type) {
				case control.EndpointList:
					server = e.Endpoints[0].Server
					listed <- struct{}{}
				case control.Request:
					return []control.Action{control.Send{ID: e.ID, Server: server, WriteTimeout: tc.begin}}
				case control.AttemptResult:
					if reasons <- e.Reason; !e.IsFinal {
						return []control.Action{control.Reject{ID: e.ID}}
					}
				}
				return nil
			})
			o := Options{Settings: testSettings(), NewModule: moduleOf(m)}
			o.Upstream.SocketLimiter, o.Upstream.ConnectTimeout, o.Upstream.KeepAliveTimeout = limits.NewSocketLimiter(100), testkit.WaitTimeout, testkit.WaitTimeout
			o.Source = discovery.Source{Kind: discovery.Static, Endpoints: []discovery.Endpoint{{UID: "s-1", Address: app.Addr(), State: "up"}}}
			s := runService(t, o)
			testkit.Next(t, listed)
			x := newExchange("id-1")
			x.Deadline, x.Forwarder = time.Now().Add(testkit.WaitTimeout), newForwarder(t, http.MethodGet, "", nil)
			a, _ := s.Do(context.Background(), x)
			if n := app.Count() - before; n != tc.want || (a.Status == http.StatusOK) != (n == 1) {
				t.Errorf("%d attempts were written, answer has status %d", n, a.Status)
			}
			if why := testkit.Next(t, reasons); (why == control.NotSent) != (tc.want == 0) {
				t.Errorf("attempt ended with reason %d", why)
			}
		})
	}
}

// TestReplacementTakesUnacceptedRequestOnlyIfKeyWasChecked checks that a request that a service has not accepted
// when it is replaced is passed to the replacement, unless its class needs an idempotency key only there.
func TestReplacementTakesUnacceptedRequestOnlyIfKeyWasChecked(t *testing.T) {
	idempotencyKinds := []control.Idempotency{control.IdempotentWithKey, control.NotIdempotent}
	for _, from := range idempotencyKinds {
		for _, to := range idempotencyKinds {
			t.Run(fmt.Sprint(from, to), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var before, after []control.Request
					startClass := func(e control.Idempotency, received *[]control.Request) *Service {
						o := Options{Settings: testSettings(), NewModule: func() (Module, error) { return statefulRecorder{received}, nil }}
						o.Settings.Classes[0].Idempotency, o.Settings.Classes[0].RepeatWindow = e, time.Second
						s, _ := startService(t, o)
						return s
					}
					original, replacement := startClass(from, &before), startClass(to, &after)
					original.ReplaceWith(replacement)
					ctx, cancelClient := context.WithCancel(t.Context())
					x := newExchange("id-1")
					x.Forwarder.(*upstream.BufferedRequest).Request.Method = http.MethodPost
					go original.Do(ctx, x)
					synctest.Wait()
					if isRetained := from != to && to == control.IdempotentWithKey; len(before)+len(after) != 1 || len(before) == 1 != isRetained {
						t.Errorf("original module got %d requests, replacement's module %d", len(before), len(after))
					}
					cancelClient()
					synctest.Wait()
				})
			})
		}
	}
}
