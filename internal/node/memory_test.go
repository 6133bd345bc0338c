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
	"lockflow/internal/testkit"
)

// What requests hold stays under a part of the process's memory, whatever the limit on descriptors: a
// client beyond it is told so before its body is read, and the next one is served as soon as there is room.
func TestMemoryLimitBoundsRequestsInFlight(t *testing.T) {
	for _, mb := range []int{1, 3, 64} {
		t.Run(fmt.Sprint(mb), func(t *testing.T) {
			cfg, err := config.LoadPlatform("../config/testdata/config.json")
			if err != nil {
				t.Fatal(err)
			}
			cfg.Process.MemoryMB, cfg.Process.Drain = mb, config.Drain{}
			r := newTestNodeWithConfig(t, cfg)
			a := testkit.NewApp(t, testkit.Served)
			r.setEndpoints(endpointOf(a, "s-1", 0))
			most := mb << 20 / 2 / (2 * protocol.BodyMost) // a body and an answer each
			var held []*service.Exchange
			for x := new(service.Exchange); len(held) <= most && r.service().Admit(x, protocol.BodyMost); x = new(service.Exchange) {
				held = append(held, x)
			}
			if len(held) != most {
				t.Errorf("%d held, want %d", len(held), most)
			}
			full := r.newRequest(http.MethodPost, "/visit-update", "full")
			full.Body, full.ContentLength = io.NopCloser(strings.NewReader("body")), 4
			if resp, body := r.do(full); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
				t.Errorf("where there is no room: %s %q", resp.Status, body)
			}
			if n := a.Count(); n > 0 {
				t.Errorf("%d sent on", n)
			}
			for _, x := range held {
				x.Release()
			}
			if resp, body := r.do(r.newRequest(http.MethodPost, "/visit-update", "room")); resp.StatusCode != http.StatusOK {
				t.Errorf("where there is room: %s %q", resp.Status, body)
			}
		})
	}
}
