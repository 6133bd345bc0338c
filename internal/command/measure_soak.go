package command

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"lockflow/internal/trials/faultnet/faultbuild"
	"lockflow/internal/trials/soak"
)

// soakPackage is the program that measure soak builds with fault injection, in the repository that it runs in.
const soakPackage = "lockflow/cmd/lockflow"

// soakClients is the number of clients of each node in a soak test, soakFloodClients the number added in every second test.
const (
	soakClients      = 4
	soakFloodClients = 18
)

// soakOptions holds the options of measure soak.
type soakOptions struct {
	nodes    int
	seeds    int           // number of seeds
	seed     uint64        // first seed
	duration time.Duration // of each seed
}

// measureSoak runs a soak test for each seed, in the repository's directory. It continues after a test that fails, whose
// files it does not remove.
func measureSoak(ctx context.Context, e *Env, o soakOptions, asJSON bool) error {
	if o.nodes < 1 || o.nodes > 64 || o.seeds < 1 || o.seeds > 100_000 {
		return usageError("measure soak: --processes or --seeds is out of range; see lockflow measure --help")
	}
	directory, err := os.MkdirTemp("", "lockflow-soak-")
	if err != nil {
		return fmt.Errorf("measure soak: creating a temporary directory: %w", err)
	}
	program := filepath.Join(directory, "lockflow")
	if err := faultbuild.Build(ctx, soakPackage, program, directory); err != nil {
		return fmt.Errorf("measure soak: building the program with faults: %w", err)
	}
	hasFailed := false
	for i := range o.seeds {
		options := soak.Options{
			Program:      program,
			Dir:          filepath.Join(directory, fmt.Sprint(i)),
			Nodes:        o.nodes,
			Servers:      o.nodes + 1,
			Clients:      soakClients,
			Disturbances: o.nodes + 2,
			Duration:     o.duration,
			Seed:         o.seed + uint64(i),
		}
		if options.Seed%2 == 1 {
			options.Flood = soakFloodClients
		}
		report, err := runSoak(ctx, options)
		if err != nil {
			return fmt.Errorf("measure soak: seed %d: %w", options.Seed, err)
		}
		hasFailed = hasFailed || len(report.Wrong) > 0
		if err := printSoak(e, report, options.Dir, asJSON); err != nil {
			return err
		}
	}
	if hasFailed {
		return errReported
	}
	return os.RemoveAll(directory)
}

// runSoak runs the soak test of one seed, and removes its files unless it failed.
func runSoak(ctx context.Context, o soak.Options) (*soak.Report, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	report, err := soak.Run(ctx, o)
	if err == nil && len(report.Wrong) == 0 {
		err = os.RemoveAll(o.Dir)
	}
	return report, err
}

// printSoak prints the report of one seed.
func printSoak(e *Env, r *soak.Report, directory string, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(e.Out).Encode(r)
	}
	disturbances := 0
	for _, n := range r.Disturbances {
		disturbances += n
	}
	var statuses []string
	for _, status := range slices.Sorted(maps.Keys(r.Statuses)) {
		statuses = append(statuses, fmt.Sprintf("%d: %d", status, r.Statuses[status]))
	}
	fmt.Fprintf(e.Out, "seed %d: %d requests (%s), %d excused, %d sent again, %d left; %d attempts, %d effects; %d disturbances, %d calls failed, %d starts; %d signals, %d kills, %d of a flood; %d wrong\n",
		r.Seed, r.Requests, strings.Join(statuses, ", "), r.Excused, r.Resent, r.Left, r.Attempts, r.Effects, disturbances, r.Injected, r.Starts, r.Signals, r.Kills, r.FloodConnections, len(r.Wrong))
	if len(r.Wrong) == 0 {
		return nil
	}
	for _, line := range slices.Concat(r.Wrong, r.DisturbanceList) {
		fmt.Fprintln(e.Out, "  "+line)
	}
	fmt.Fprintf(e.Err, "the nodes' files are left in %s\n", directory)
	return nil
}
