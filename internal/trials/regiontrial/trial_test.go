package regiontrial_test

import (
	"context"
	"os"
	"testing"
	"time"

	"lockflow/internal/command"
	"lockflow/internal/trials/regiontrial"
)

// roleVariable is the environment variable with which the test's own program runs as a node or a coordinator.
const roleVariable = "LOCKFLOW_TEST_REGIONS"

func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) != "" {
		os.Exit(command.Main(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// Guards against violations of the rules while a change of gather settings, routes and hard limits is rolled out over three
// regions of real processes under faults, with its coordinator killed twice and another one killed in between. lockflow
// measure change runs the same trial for longer.
func TestAllAtOnce(t *testing.T) {
	dir, err := os.MkdirTemp("", "lf")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
	})
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(roleVariable, "1")
	s := regiontrial.Draw(11, 2, 12, 2*time.Second)
	rep, err := regiontrial.Run(context.Background(), regiontrial.Options{Program: program, Dir: dir, NodesPerRegion: 2, Clients: 3, Script: s, Bake: time.Second})
	if err != nil {
		t.Fatalf("%v\n%v", err, s)
	}
	t.Logf("%+v", *rep)
	if len(rep.Wrong) > 0 || rep.Gathered == 0 || rep.Effects == 0 || rep.Orders == 0 || rep.Metered == 0 || rep.KilledCoordinators == 0 || rep.Phases != 2 || rep.HarmedMembers != 1 {
		t.Errorf("%v", s)
	}
}
