package eventlog

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"lockflow/internal/testsupport/testkit"
)

// Lines are written as earlier builds wrote them, and can be read, because logs of different builds are aggregated
// together. go test ./internal/eventlog -run Golden -update rewrites the file.
func TestGoldenLines(t *testing.T) {
	at := time.Unix(1_790_000_000, 250_000_000)
	var lines bytes.Buffer
	w := NewWriter(&lines)
	w.Plan(Plan{At: at, Name: "basic", Price: 0.5, QuotaRate: 2, QuotaBurst: 10, OverQuotaCost: 0.25, HardLimitRate: 30, HardLimitBurst: 60, HardLimitSlack: 6})
	w.Attempt(Attempt{
		At: at, Server: "s 1", Class: "read", Number: 1, Reason: "ok", Duration: 15 * time.Millisecond, ServerAge: 3 * time.Second, IsServerDraining: true,
		IsOnNewConnection: true, ActualUnits: 1.5, QuotaUsage: 12, ServiceMS: 9.5, Utilization: 0.75, QueueLength: 2,
	})
	w.Request(Request{
		At: at, Class: "read", Plan: "basic", Customer: 77, FanOut: 3, IsRetry: true, Units: 1.25, Outcome: "refused", Cause: "no_room",
		Duration: 16 * time.Millisecond, Attempts: 2,
	})
	w.State(State{At: at, ConcurrencyLimit: 12.5, AcceptedRequests: 4, AttemptsInFlight: 3, IdleConnections: 5, ListedServers: 8, AvailableServers: 7})

	raw := testkit.GoldenBytes(t, "testdata/golden/lines", lines.Bytes())
	var summer Aggregator
	if err := summer.Read("one", bytes.NewReader(raw)); err != nil {
		t.Fatal(err)
	}
	sum := summer.Sum()
	if sum.Skipped > 0 || sum.Instances != 1 || len(sum.Seconds) != 1 || len(sum.Servers) != 1 || len(sum.Plans) != 1 {
		t.Fatalf("sum %+v, want 1 instance, 1 second, 1 server and 1 plan", sum)
	}
	want := ServerSum{Server: "s_1", Attempts: 1, Reasons: map[string]int{"ok": 1}, Instances: 1, MeanAttemptMS: 15, MeanReportedMS: 9.5, MeanUtilization: 0.75, PeakInFlight: 1}
	if !reflect.DeepEqual(sum.Servers[0], want) {
		t.Errorf("server %+v", sum.Servers[0])
	}
}
