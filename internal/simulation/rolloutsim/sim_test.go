package rolloutsim

import (
	"reflect"
	"testing"
)

func simulate(t *testing.T, o Options) Report {
	t.Helper()
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against false alarms: the judge must not stop a harmless change. These are shortened simulations of those in
// docs/rollout-figures.md.
func TestHarmlessChangesPass(t *testing.T) {
	for _, traffic := range Traffics {
		if r := simulate(t, Options{Instances: 4, Traffic: traffic, Runs: 40, Seed: 11}); r.Worse > 0 || r.Passed < 38 {
			t.Errorf("harmless changes: want none stopped as worse and at least 38 of 40 passed: %+v", r)
		}
	}
	if r := simulate(t, Options{Instances: 40, Traffic: "uneven", Runs: 4, Seed: 11}); r.Passed < 4 {
		t.Errorf("harmless changes: want 4 of 4 passed: %+v", r)
	}
}

func TestHarmfulChangesStop(t *testing.T) {
	for _, harm := range Harms[1:] {
		r := simulate(t, Options{Instances: 40, Traffic: "uneven", Harm: harm, Runs: 4, Seed: 3})
		latestStage := 0 // index of the latest stage at which rollouts have to stop
		switch {
		case harm.MinChangedShare > 0:
			latestStage = 2
		case harm.CrashInterval > 0 || harm.FleetFailureShare > 0:
			latestStage = 3
		}
		stopped := 0
		for _, n := range r.AtStage[:latestStage+1] {
			stopped += n
		}
		if stopped < 3 || harm.FleetFailureShare == 0 && harm.CrashInterval == 0 && stopped < 4 {
			t.Errorf("harm %q: too few of 4 rollouts stopped in time: %+v", harm.Name, r)
		}
		if readinessReport := simulate(t, Options{Instances: 40, Traffic: "uneven", Harm: harm, Judge: "readiness", Runs: 2, Seed: 3}); readinessReport.Passed < 2 || readinessReport.Harmed < r.Harmed {
			t.Errorf("readiness judge: want both rollouts passed, with at least as many lost requests as under the evidence judge: %+v", readinessReport)
		}
	}
}

// If one of its guards is disabled, the judge must stop harmless changes; otherwise the guard would have no effect.
func TestGuardsAreNeeded(t *testing.T) {
	for _, c := range []struct {
		without         string
		instances, runs int
	}{{"request as unit", 4, 12}, {"no before", 4, 30}, {"no control", 40, 2}, {"one look", 40, 12}} {
		r := simulate(t, Options{Instances: c.instances, Traffic: "uneven", Runs: c.runs, Seed: 7, Without: c.without})
		if 12*r.Worse < c.runs {
			t.Errorf("disabled guard: want at least a twelfth of the harmless changes stopped as worse: %+v", r)
		}
	}
}

func TestSameSeedGivesSameReport(t *testing.T) {
	o := Options{Instances: 12, Traffic: "bursty", Harm: Harms[6], Runs: 3, Seed: 9}
	if a, b := simulate(t, o), simulate(t, o); !reflect.DeepEqual(a, b) {
		t.Errorf("same seed, different reports:\n%+v\n%+v", a, b)
	}
	if _, err := Run(Options{Instances: 1}); err == nil {
		t.Error("Run with 1 instance: no error; at least 2 are required")
	}
}
