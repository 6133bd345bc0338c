package upstream

import (
	"fmt"
	"strings"
	"testing"

	"lockflow/control"
	"lockflow/internal/testsupport/testkit"
)

// Guards against response heads of short fields, which take many times the memory of their bytes, and against heads that
// use the space for the body: such an attempt may have run, and its connection is not used again.
func TestResponseHeadLimits(t *testing.T) {
	fields := func(count int) string {
		var b strings.Builder
		for i := range count {
			fmt.Fprintf(&b, "f%d:\r\n", i)
		}
		return b.String()
	}
	head := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
	for name, tc := range map[string]struct {
		response string
		want     control.Reason
	}{
		"most fields":     {head + fields(maxHeadFields-1) + "\r\nok", control.OK},
		"too many fields": {head + fields(maxHeadFields) + "\r\nok", control.ResetByPeer},
		"lines in a body": {"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n" + strings.Repeat("\n", 999), control.OK},
		"too many bytes":  {head + "A: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\nok", control.ResetByPeer},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t)
			s.startRequest()
			go func() { s.responses <- tc.response }()
			if outcome := testkit.Next(t, s.outcomes); outcome.Reason != tc.want {
				t.Errorf("reason %d (%v), want %d", outcome.Reason, outcome.Err, tc.want)
			}
			if tc.want != control.OK {
				s.waitIdle(0)
			}
		})
	}
}
