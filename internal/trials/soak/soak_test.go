package soak

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"lockflow/internal/trials/faultnet/faultbuild"
)

// busySlack is for a machine on which all other tests run beside: what the short form finds is what no wait for a processor
// explains. lockflow measure soak judges more sharply.
const busySlack = 3 * time.Second

// Overlapping disturbances break no rule. LOCKFLOW_SOAK_SEED plays another seed; lockflow measure soak plays many, longer.
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
	for _, wrong := range report.Wrong {
		t.Error(wrong)
	}
	if t.Failed() {
		for _, one := range report.DisturbanceList {
			t.Log(one)
		}
	}
}
