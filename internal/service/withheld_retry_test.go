package service

import (
	"net/http"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/upstream"
)

// clientUntilFirstRequest is a client that counts as disconnected once the server has got a request.
type clientUntilFirstRequest struct{ app *testkit.App }

func (c clientUntilFirstRequest) IsWaiting() bool { return c.app.Count() == 0 }

// TestAnswerAfterWithheldRetryReportsWhetherRequestRan checks that a request whose client seems to have disconnected
// before a retry is still answered, as the client may still be connected. The answer is a rejection, after which a
// retry is safe, only if the previous attempt did not run.
func TestAnswerAfterWithheldRetryReportsWhetherRequestRan(t *testing.T) {
	for name, tc := range map[string]struct {
		first  http.HandlerFunc
		kind   AnswerKind
		status int
	}{
		"rejected by the server": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Unprocessed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, Rejected, http.StatusServiceUnavailable},
		"reset": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, Failed, http.StatusBadGateway},
		"error": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, Failed, http.StatusBadGateway},
	} {
		for _, class := range []control.Class{{Idempotency: control.Idempotent}, {Idempotency: control.IdempotentWithKey, KeyScope: control.ScopeCell, RepeatWindow: time.Hour}} {
			t.Run(name, func(t *testing.T) {
				app := testkit.NewApp(t, tc.first)
				class.Name, class.LatencyObjective, class.Deadline, class.PriorityWeight = "read", time.Hour, time.Hour, 1
				set := control.Settings{GroupSize: 1, MaxRetryAfter: time.Second, MaxAttempts: 3, Plans: []control.Plan{{Name: "p", Price: 1}}, Classes: []control.Class{class}}
				s := runReadyService(t, Options{
					Settings: set, Seed: 1, AnyMethod: true, Source: staticSource(app.Addr(), "s-1", "s-2"),
					Upstream: upstream.Options{SocketLimiter: limits.NewSocketLimiter(100), ConnectTimeout: testkit.WaitTimeout, KeepAliveTimeout: time.Hour},
				})
				x := &Exchange{
					Request: control.Request{ID: "a", Class: "read", Plan: "p", Customer: "c", Units: 1, FanOut: 1}, Deadline: time.Now().Add(testkit.WaitTimeout),
					Client: clientUntilFirstRequest{app}, Forwarder: newForwarder(t, http.MethodPost, "body", nil),
				}
				if a, ok := s.Do(t.Context(), x); ok || a.Kind != tc.kind || a.Status != tc.status {
					t.Errorf("Do returned %v, %+v", ok, a)
				}
				if n := app.Count(); n != 1 {
					t.Errorf("sent %d times, want 1", n)
				}
			})
		}
	}
}
