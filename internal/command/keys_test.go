package command

import (
	"testing"

	"lockflow/internal/allowance"
	"lockflow/internal/balancesim"
	"lockflow/internal/config"
	"lockflow/internal/fleet"
	"lockflow/internal/fleetsim"
	"lockflow/internal/gathersim"
	"lockflow/internal/measure"
	"lockflow/internal/rolloutsim"
	"lockflow/internal/standin"
	"lockflow/internal/tally"
	"lockflow/internal/testkit"
)

// What commands print with --json has a written key for every field.
func TestKeysAreWritten(t *testing.T) {
	testkit.RequireKeys(t, "json",
		config.Plan{}, findings{}, replayed{}, played{}, phase{}, tally.Sum{},
		allowance.Ceiling{}, []allowance.Promise{}, map[string]standin.Counts{},
		[]fleet.Answer{}, fleet.Progress{}, []fleet.MemberState{},
		[]balancesim.Report{}, []fleetsim.Report{}, []fleetsim.QuotaReport{}, []rolloutsim.Report{},
		[]gathersim.Report{}, []gathersim.ShareReport{},
		[]measure.ProxyRow{}, []measure.ServersRow{}, []measure.BodiesRow{}, [][2]measure.ReloadRow{}, []measure.GatherRow{},
		measure.Isolation{}, &measure.FleetReport{}, &measure.UpgradeReport{}, &measure.RolloutReport{},
		&measure.FaultsReport{}, &measure.ChangeReport{})
}
