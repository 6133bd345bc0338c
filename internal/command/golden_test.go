package command

import (
	"path/filepath"
	"testing"

	"lockflow/internal/eventlog"
	"lockflow/internal/simulation/balancesim"
	"lockflow/internal/simulation/fleetsim"
	"lockflow/internal/simulation/rolloutsim"
	"lockflow/internal/simulation/waitpolicysim"
	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/trials/measure"
)

// goldenDir has outputs of earlier builds. go test ./internal/command -run Golden -update rewrites them.
const goldenDir = "testdata/golden"

// Guards the JSON output that operators' tools parse: for the configurations in testdata/golden, commands must print what
// earlier builds printed.
func TestGoldenOutputs(t *testing.T) {
	in := func(name string) string { return filepath.Join(goldenDir, name) }
	for name, args := range map[string][]string{
		"check":       {"check", in("bad.toml"), "--json"},
		"check-good":  {"check", in("old.toml"), "--json"},
		"check-fleet": {"check", "--fleet", in("fleet-new.toml"), "--json"},
		"plan":        {"plan", in("old.toml"), in("new.toml"), "--json"},
		"plan-fleet":  {"plan", "--fleet", in("fleet.toml"), in("fleet-new.toml"), "--json"},
		"route":       {"route", "--config", in("old.toml"), "--host", "care.example", "--path", "/plans/7", "--json"},
		"allowance":   {"allowance", "explain", "--config", in("old.toml"), "--plan", "enterprise", "--json"},
	} {
		_, out, errs := runCommand(t, nil, args...)
		if out == "" {
			t.Errorf("%s: no standard output; standard error: %s", name, errs)
			continue
		}
		testkit.GoldenBytes(t, in(name+".json"), []byte(out))
	}
}

// Guards the keys of the JSON output of the other commands: they must be those that earlier builds printed.
func TestGoldenReports(t *testing.T) {
	for name, v := range map[string]any{
		"findings": &findings{}, "replayed": &replayResult{}, "played": &dayResult{}, "phase": &phaseResult{}, "event-log": &eventlog.Sum{},
		"balance": &balancesim.Report{}, "simulated": &fleetsim.Report{}, "simulated-quota": &fleetsim.QuotaReport{},
		"simulated-rollout": &rolloutsim.Report{}, "simulated-gather": &waitpolicysim.Report{}, "simulated-share": &waitpolicysim.ShareReport{},
		"measured-proxy": &measure.ProxyRow{}, "measured-servers": &measure.ServersRow{}, "measured-bodies": &measure.BodiesRow{},
		"measured-reload": &measure.ReloadRow{}, "measured-gather": &measure.GatherRow{}, "measured-isolation": &measure.Isolation{},
		"measured-fleet": &measure.FleetReport{}, "measured-upgrade": &measure.UpgradeReport{}, "measured-rollout": &measure.RolloutReport{},
		"measured-faults": &measure.FaultsReport{}, "measured-change": &measure.ChangeReport{},
	} {
		testkit.GoldenSample(t, "json", filepath.Join(goldenDir, "reports", name+".json"), v)
	}
}
