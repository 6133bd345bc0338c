package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"lockflow/internal/trials/measure"
)

// measureReloads compares runs with reloads to runs without them.
func measureReloads(ctx context.Context, e *Env, o measure.ReloadOptions, asJSON bool) error {
	rows, err := measure.Reloads(ctx, o)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(e.Out).Encode(rows)
	}
	t := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "round\treloads\tserved a second\tin the first quarter\tp99 ms\trefused\tlost\ttwice\t")
	for i, pair := range rows {
		for _, r := range pair {
			fmt.Fprintf(t, "%d\t%d\t%.0f\t%.0f\t%.1f\t%d\t%d\t%d\t\n", i+1, r.Reloads, r.Rate, r.First, r.P99, r.Refused, r.Lost, r.Twice)
		}
	}
	return t.Flush()
}

// measureUpgrades measures response times around upgrades, and at other times for comparison.
func measureUpgrades(ctx context.Context, e *Env, o measure.UpgradeOptions, asJSON bool) error {
	var err error
	if o.Program, err = executable(); err != nil {
		return err
	}
	if o.Dir, err = os.MkdirTemp("", "lockflow-"); err != nil {
		return fmt.Errorf("measure upgrade: creating a temporary directory: %w", err)
	}
	defer os.RemoveAll(o.Dir) //nolint:errcheck // a temporary directory
	r, err := measure.Upgrades(ctx, o)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(e.Out).Encode(r)
	}
	fmt.Fprintf(e.Out, "%d upgrades, %d calls: %d connections refused, %d calls refused, %d lost, %d effects twice\n", r.Upgrades, r.Calls, r.NoConn,
		r.Refused, r.Lost, r.Twice)
	t := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "calls sent\tcalls\tp50 ms\tp99 ms\tmost ms\t")
	fmt.Fprintf(t, "within 1 s of an upgrade\t%d\t%.1f\t%.1f\t%.1f\t\n", r.Around.N, r.Around.P50, r.Around.P99, r.Around.Max)
	fmt.Fprintf(t, "at other times\t%d\t%.1f\t%.1f\t%.1f\t\n", r.Quiet.N, r.Quiet.P50, r.Quiet.P99, r.Quiet.Max)
	return t.Flush()
}
