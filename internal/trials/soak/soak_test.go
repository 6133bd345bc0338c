package soak

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"lockflow/internal/trials/faultnet/faultbuild"
)

// busySlack is long enough for a machine that runs all other tests concurrently, so that a violation found here can't be
// explained by a wait for a processor. lockflow measure soak uses a smaller slack.
const busySlack = 3 * time.Second

// Guards against faults of the node that occur only when disturbances overlap. LOCKFLOW_SOAK_SEED selects another seed;
// lockflow measure soak runs many seeds for longer.
func TestOverlappingDisturbancesBreakNoRule(t *testing.T) {
	seed := uint64(1)
	if text := os.Getenv("LOCKFLOW_SOAK_SEED"); text != "" {
		var err error
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	program := filepath.Join(t.TempDir(), "lockflow")
	if err := faultbuild.Build(t.Context(), "lockflow/cmd/lockflow", program, t.TempDir()); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	report, err := Run(t.Context(), Options{Program: program, Dir: dir, Nodes: 4, Servers: 5, Clients: 4, Disturbances: 6, Duration: 4 * time.Second, Seed: seed, Slack: busySlack})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", *report)
	for _, violation := range report.Wrong {
		t.Error(violation)
	}
	if t.Failed() {
		for _, line := range report.DisturbanceList {
			t.Log(line)
		}
	}
}

// Guards against requests that get no answer, and other violations, while a flood occupies a node's descriptors and while
// signals are sent in series around a shutdown.
func TestFloodAndSignalSeriesBreakNoRule(t *testing.T) {
	program := filepath.Join(t.TempDir(), "lockflow")
	if err := faultbuild.Build(t.Context(), "lockflow/cmd/lockflow", program, t.TempDir()); err != nil {
		t.Fatal(err)
	}
	report, err := Run(t.Context(), Options{
		Program: program, Dir: t.TempDir(), Nodes: 3, Servers: 4, Clients: 4, Flood: 18, Disturbances: 6, Duration: 4 * time.Second, Seed: 1, Slack: busySlack,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", *report)
	if report.Signals == 0 || report.FloodConnections == 0 {
		t.Errorf("%d signals of a series and %d flood connections, want more than 0 of each", report.Signals, report.FloodConnections)
	}
	for _, violation := range report.Wrong {
		t.Error(violation)
	}
}
