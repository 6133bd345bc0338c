package eventlog

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"lockflow/internal/testsupport/testkit"
)

// Lines are those that earlier builds wrote, and are read: logs of several builds are added up together. go test
// ./internal/eventlog -run Golden -update writes the file anew.
func TestGoldenLines(t *testing.T) {
	at := time.Unix(1_790_000_000, 250_000_000)
	var lines bytes.Buffer
	w := NewWriter(&lines)
	w.Plan(Plan{At: at, Name: "basic", Price: 0.5, Rate: 2, Depth: 10, OverCost: 0.25, HardLimitRate: 30, HardLimitBurst: 60, Slack: 6})
	w.Attempt(Attempt{
		At: at, Server: "s 1", Class: "read", N: 1, Reason: "ok", Took: 15 * time.Millisecond, Age: 3 * time.Second, Drains: true,
		Dialed: true, Cost: 1.5, Used: 12, ServiceMS: 9.5, Util: 0.75, Queue: 2,
	})
	w.Request(Request{
		At: at, Class: "read", Plan: "basic", Customer: 77, Spread: 3, Repeat: true, Units: 1.25, Outcome: "refused", Why: "no_room",
		Took: 16 * time.Millisecond, Sends: 2,
	})
	w.State(State{At: at, Bound: 12.5, Accepted: 4, Out: 3, Conns: 5, Listed: 8, Up: 7})

	raw := testkit.GoldenBytes(t, "testdata/golden/lines", lines.Bytes())
	var a Adder
	if err := a.Read("one", bytes.NewReader(raw)); err != nil {
		t.Fatal(err)
	}
	s := a.Sum()
	if s.Skipped > 0 || s.Instances != 1 || len(s.Seconds) != 1 || len(s.Servers) != 1 || len(s.Plans) != 1 {
		t.Fatalf("%+v", s)
	}
	want := ServerSum{Server: "s_1", Attempts: 1, Reasons: map[string]int{"ok": 1}, From: 1, TookMS: 15, Told: 9.5, Util: 0.75, Most: 1}
	if !reflect.DeepEqual(s.Servers[0], want) {
		t.Errorf("%+v", s.Servers[0])
	}
}
