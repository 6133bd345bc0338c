package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"lockflow/internal/trials/faultnet"
	"lockflow/internal/trials/faultnet/script"
	"lockflow/internal/trials/faultnet/trial"
	"lockflow/internal/trials/regiontrial"
)

// FaultsOptions are the options of Faults and Change.
type FaultsOptions struct {
	Program   string
	Dir       string // must be empty and its path short; the nodes' files of failed trials stay there
	Processes int
	Servers   int
	Clients   int // number of clients of each process
	Faults    int // number of faults of a script; 0 means one for each link and process, plus one
	Duration  time.Duration
	Seed      uint64
	Seeds     int
	Script    *faultnet.Script // script that is used instead of random ones
	Shrinks   int              // maximum runs to shorten a failed script; 0 disables shortening
	Progress  io.Writer
}

// FaultsReport is the result of Faults.
type FaultsReport struct {
	Rows           []*trial.Report `json:"rows"`
	ShortestScript string          `json:"least,omitempty"`   // the shortened script of the first seed that failed
	Failing        string          `json:"failing,omitempty"` // violations in that seed's trial
}

// Faults runs a trial for each seed. It stops at the first trial that fails, and shortens the script of that one.
func Faults(ctx context.Context, o FaultsOptions) (*FaultsReport, error) {
	rows, shortest, failing, err := runSeeds(ctx, o, "faults", func(seed uint64) faultnet.Script { return FaultsScript(o, seed) },
		func(dir string, s faultnet.Script) (*trial.Report, []string, error) {
			got, err := trial.Run(ctx, trial.Options{Program: o.Program, Dir: dir, Nodes: o.Processes, Servers: o.Servers, Clients: o.Clients, Script: s})
			if err != nil {
				return nil, nil, err
			}
			fmt.Fprintf(o.Progress, "seed %d: %d faults, %d requests, %d violations\n", s.Seed, got.Faults, got.Requests, len(got.Wrong))
			if got.Undecided != "" {
				fmt.Fprintf(o.Progress, "seed %d: the ownership check is inconclusive: %s\n", s.Seed, got.Undecided)
			}
			return got, got.Wrong, nil
		}, func(n int) string { return trial.Place(o.Servers, n) })
	return &FaultsReport{rows, shortest, failing}, err
}

// ChangeReport is the result of Change.
type ChangeReport struct {
	Rows           []*regiontrial.Report `json:"rows"`
	ShortestScript string                `json:"least,omitempty"`
	Failing        string                `json:"failing,omitempty"`
}

// Change does the same as Faults with a change over three regions that send scatter-gather queries to each other. Each
// region has a third of the processes.
func Change(ctx context.Context, o FaultsOptions) (*ChangeReport, error) {
	each := o.Processes / len(regiontrial.Regions())
	rows, shortest, failing, err := runSeeds(ctx, o, "change", func(seed uint64) faultnet.Script { return regiontrial.Draw(seed, each, o.Faults, o.Duration) },
		func(dir string, s faultnet.Script) (*regiontrial.Report, []string, error) {
			got, err := regiontrial.Run(ctx, regiontrial.Options{Program: o.Program, Dir: dir, NodesPerRegion: each, Clients: o.Clients, Script: s, Bake: time.Second})
			if err != nil {
				return nil, nil, err
			}
			fmt.Fprintf(o.Progress, "seed %d: %d faults, exit codes of coordinators %v, %d requests, %d violations, %v\n", s.Seed, got.Faults, got.ExitCodes, got.Requests, len(got.Wrong),
				got.Duration.Round(time.Second))
			return got, got.Wrong, nil
		}, func(n int) string { return regiontrial.Place(each, n) })
	return &ChangeReport{rows, shortest, failing}, err
}

// runSeeds runs the random script of each seed, or only the script in the options, until one fails, and shortens that
// one. The files of failed trials stay.
func runSeeds[R any](ctx context.Context, o FaultsOptions, what string, draw func(seed uint64) faultnet.Script,
	run func(dir string, s faultnet.Script) (R, []string, error), place func(link int) string,
) (rows []R, shortest, failing string, err error) {
	runs := 0
	runScript := func(s faultnet.Script) (got R, wrong []string, err error) {
		runs++
		dir := filepath.Join(o.Dir, fmt.Sprint(runs))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return got, nil, fmt.Errorf("measuring %s: %w", what, err)
		}
		got, wrong, err = run(dir, s)
		if err == nil && len(wrong) == 0 {
			err = os.RemoveAll(dir)
		}
		return got, wrong, err
	}
	seeds := o.Seeds
	if o.Script != nil {
		seeds = 1
	}
	for i := range seeds {
		var s faultnet.Script
		if o.Script != nil {
			s = *o.Script
		} else {
			s = draw(o.Seed + uint64(i))
		}
		got, wrong, err := runScript(s)
		if err != nil {
			return rows, "", "", fmt.Errorf("seed %d: %w", s.Seed, err)
		}
		rows = append(rows, got)
		if len(wrong) == 0 {
			continue
		}
		if o.Shrinks > 0 {
			fmt.Fprintf(o.Progress, "seed %d: shortening the script with at most %d runs\n", s.Seed, o.Shrinks)
			s = script.ShrinkWithRuns(s, o.Shrinks, func(s script.Script) bool {
				_, wrong, err := runScript(s)
				return err == nil && len(wrong) > 0
			})
		}
		return rows, Legend(s, place), strings.Join(wrong, "\n"), ctx.Err()
	}
	return rows, "", "", nil
}

// FaultsScript returns the random script of a seed.
func FaultsScript(o FaultsOptions, seed uint64) faultnet.Script {
	return faultnet.Draw(seed, faultnet.Spec{
		Links: trial.Links(o.Processes, o.Servers), Procs: o.Processes, For: o.Duration, Faults: o.Faults,
		ProcKinds: []script.Kind{script.Kill, script.Pause, script.Full, script.ReadOnly},
	})
}

// Legend returns the text of a script with a comment on the endpoints of each link. Parse reads that text.
func Legend(s faultnet.Script, place func(link int) string) string {
	lines := strings.Split(strings.TrimSpace(s.String()), "\n")
	for i, e := range s.Entries {
		if e.Kind.OfLink() {
			lines[i+1] += "  # " + place(e.On)
		}
	}
	return strings.Join(lines, "\n") + "\n"
}
