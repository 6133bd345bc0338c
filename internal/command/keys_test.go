package command

import (
	"testing"

	"lockflow/internal/config"
	"lockflow/internal/eventlog"
	"lockflow/internal/fleet"
	"lockflow/internal/quotalease"
	"lockflow/internal/simulation/balancesim"
	"lockflow/internal/simulation/fleetsim"
	"lockflow/internal/simulation/rolloutsim"
	"lockflow/internal/simulation/waitpolicysim"
	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/trials/measure"
)

// Each field of what commands print with --json must have a key in its tag, so that a renamed field keeps its key.
func TestKeysAreWritten(t *testing.T) {
	testkit.RequireKeys(t, "json",
		config.Plan{}, findings{}, replayResult{}, dayResult{}, phaseResult{}, eventlog.Sum{},
		quotalease.HardLimit{}, []quotalease.Guarantee{}, map[string]fake.Counts{},
		[]fleet.StatusReply{}, fleet.Progress{}, []fleet.MemberState{},
		[]balancesim.Report{}, []fleetsim.Report{}, []fleetsim.QuotaReport{}, []rolloutsim.Report{},
		[]waitpolicysim.Report{}, []waitpolicysim.ShareReport{},
		[]measure.ProxyRow{}, []measure.ServersRow{}, []measure.BodiesRow{}, [][2]measure.ReloadRow{}, []measure.GatherRow{},
		measure.Isolation{}, &measure.FleetReport{}, &measure.UpgradeReport{}, &measure.RolloutReport{},
		&measure.FaultsReport{}, &measure.ChangeReport{})
}
