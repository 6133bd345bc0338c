package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"lockflow/internal/config"
	"lockflow/internal/protocol"
	"lockflow/internal/service"
	"lockflow/internal/testsupport/testkit"
)

// Requests in flight use at most a fraction of the process's memory, independently of the descriptor limit. A request
// that exceeds it is rejected before its body is read, and the next one is served as soon as memory is free.
func TestMemoryLimitBoundsRequestsInFlight(t *testing.T) {
	for _, mb := range []int{1, 3, 64} {
		t.Run(fmt.Sprint(mb), func(t *testing.T) {
			cfg, err := config.LoadPlatform("../config/testdata/config.json")
			if err != nil {
				t.Fatal(err)
			}
			cfg.Process.MemoryMB, cfg.Process.Drain = mb, config.Drain{}
			r := newTestNodeWithConfig(t, cfg)
			app := testkit.NewApp(t, testkit.AnswerServed)
			r.setEndpoints(endpointOf(app, "s-1", 0))
			maxRequests := mb << 20 / 2 / (2 * protocol.MaxBodyBytes) // each may have a body and an answer of maximum size
			var admitted []*service.Exchange
			for x := new(service.Exchange); len(admitted) <= maxRequests && r.service().Admit(x, protocol.MaxBodyBytes); x = new(service.Exchange) {
				admitted = append(admitted, x)
			}
			if len(admitted) != maxRequests {
				t.Errorf("%d requests admitted, want %d", len(admitted), maxRequests)
			}
			full := r.newRequest(http.MethodPost, "/visit-update", "full")
			full.Body, full.ContentLength = io.NopCloser(strings.NewReader("body")), 4
			if resp, body := r.do(full); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
				t.Errorf("no memory free: %s %q, want 503 and close", resp.Status, body)
			}
			if n := app.Count(); n > 0 {
				t.Errorf("%d requests were forwarded, want none", n)
			}
			for _, x := range admitted {
				x.Release()
			}
			if resp, body := r.do(r.newRequest(http.MethodPost, "/visit-update", "fits")); resp.StatusCode != http.StatusOK {
				t.Errorf("memory free: %s %q, want 200", resp.Status, body)
			}
		})
	}
}
