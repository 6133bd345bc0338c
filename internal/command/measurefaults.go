package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"lockflow/internal/trials/faultnet"
	"lockflow/internal/trials/faultnet/trial"
	"lockflow/internal/trials/measure"
	"lockflow/internal/trials/regiontrial"
)

// faultFlags are those of measure faults.
func faultFlags(set flags, o *measure.FaultsOptions) (file *string) {
	set.IntVar(&o.Processes, "processes", 3, "faults, change, soak, rollout: `N` nodes; change: a third of them in each of three regions")
	set.IntVar(&o.Seeds, "seeds", 20, "faults, change, soak: `N` scripts or plays, of --seed and those after it")
	set.IntVar(&o.Faults, "faults", 0, "faults, change: `N` in a script; 0 is one for each link and process, and one more")
	set.IntVar(&o.Shrinks, "shrinks", 40, "faults, change: `N` tries to shorten a script that fails")
	return set.String("script", "", "faults, change: `FILE` of a script that is tried instead of drawn ones")
}

// measureFaults measures faults, or with change a change under them.
func measureFaults(ctx context.Context, e *Env, o measure.FaultsOptions, change bool, file string, asJSON bool) error {
	o.Servers, o.Clients, o.Progress = 2, 4, e.Err
	what, links := "faults", trial.Links(o.Processes, o.Servers)
	if change {
		o.Clients, what, links = 3, "change", regiontrial.Links(o.Processes/3)
	}
	if o.Processes < 1 || o.Processes > 64 || change && o.Processes%3 > 0 || o.Seeds < 1 || o.Seeds > 100_000 || o.Faults < 0 || o.Faults > 10_000 ||
		o.Shrinks < 0 || o.Shrinks > 10_000 {
		return usage("measure %s: its flags are off; see lockflow measure --help", what)
	}
	var err error
	if file != "" {
		if o.Script, err = faultScript(file, o.Processes, links); err != nil {
			return err
		}
	}
	if o.Program, err = os.Executable(); err != nil {
		return fmt.Errorf("finding the program's own file: %w", err)
	}
	if o.Dir, err = os.MkdirTemp("", "lockflow-"); err != nil {
		return fmt.Errorf("measuring %s: %w", what, err)
	}
	var got any
	var failing string
	var print func()
	if change {
		rep, err := measure.Change(ctx, o)
		if err != nil {
			return err
		}
		got, failing, print = rep, rep.Failing, func() { printChange(e.Out, rep) }
	} else {
		rep, err := measure.Faults(ctx, o)
		if err != nil {
			return err
		}
		got, failing, print = rep, rep.Failing, func() { printFaults(e.Out, rep) }
	}
	if asJSON {
		if err := json.NewEncoder(e.Out).Encode(got); err != nil {
			return err
		}
	} else {
		print()
	}
	if failing != "" {
		fmt.Fprintf(e.Err, "the nodes' files are left in %s\n", o.Dir)
		return errTold
	}
	return os.RemoveAll(o.Dir)
}

// faultScript reads a script for so many processes and links.
func faultScript(file string, processes, links int) (*faultnet.Script, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading a script: %w", err)
	}
	s, err := faultnet.Parse(string(raw))
	if err != nil {
		return nil, usage("%s: %v", file, err)
	}
	if s.Procs != processes || s.Links != links {
		return nil, usage("%s: a script of %d processes and %d links; %d processes have %d", file, s.Procs, s.Links, processes, links)
	}
	return &s, nil
}

func printChange(w io.Writer, r *measure.ChangeReport) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "seed\tfaults\tnodes killed\tcoordinators' exits\tmore after\tnew at once\tdecisions\tepochs\torders\trequests\tserved\tbroken by the fault\t"+
		"gathered\tpartial\teffects\tmetered\tbeyond\tharmed\tat members\tharm stopped s\ttook s\twrong\t")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%d\t%d\t%d\t%v\t%d\t%v\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%d\t%d\t%.1f\t%.1f\t%d\t\n", x.Seed, x.Faults, x.NodesKilled, x.ExitCodes, x.CoordinatorsAfterFaults,
			x.ChangedUnderFaults, x.Decisions, x.Epochs, x.Commands, x.Requests, x.Served, x.Broken, x.GatherResults, x.PartialResults, x.Effects, x.LimitedRequests, x.MaxExcess, x.FailedByHarm,
			x.HarmedMembers, x.HarmDuration.Seconds(), x.Duration.Seconds(), len(x.Violations))
	}
	t.Flush()
	if r.Failing != "" {
		fmt.Fprintf(w, "\nWRONG:\n%s\n\nthe least script that fails so or otherwise (lockflow measure change --script FILE):\n%s", r.Failing, r.ShortestScript)
	}
}

func printFaults(w io.Writer, r *measure.FaultsReport) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "seed\tfaults\tkills\tresets\tbytes lost\trequests\tserved\tanswered otherwise\tbroken by the fault\teffects\towner asked\ttold\tepochs owned\torders\tall back ms\twrong\t")
	var sum trial.Report
	var back time.Duration
	wrong := 0
	row := func(seed string, x *trial.Report, back time.Duration, wrong int) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", seed, x.Faults, x.Kills, x.Resets, x.Lost, x.Requests, x.Served,
			x.Answered-x.Served, x.Broken, x.Effects, x.ControlCalls, x.ControlReplies, x.OwnedEpochs, x.Orders, back.Milliseconds(), wrong)
	}
	for _, x := range r.Rows {
		row(fmt.Sprint(x.Seed), x, x.RecoveryTime, len(x.Wrong))
		sum.Faults += x.Faults
		sum.Kills += x.Kills
		sum.Resets += x.Resets
		sum.Lost += x.Lost
		sum.Requests += x.Requests
		sum.Served += x.Served
		sum.Answered += x.Answered
		sum.Broken += x.Broken
		sum.Effects += x.Effects
		sum.ControlCalls += x.ControlCalls
		sum.ControlReplies += x.ControlReplies
		sum.OwnedEpochs += x.OwnedEpochs
		sum.Orders += x.Orders
		back, wrong = max(back, x.RecoveryTime), wrong+len(x.Wrong)
	}
	row("all", &sum, back, wrong)
	t.Flush()
	if r.Failing != "" {
		fmt.Fprintf(w, "\nWRONG:\n%s\n\nthe least script that fails so or otherwise (lockflow measure faults --script FILE):\n%s", r.Failing, r.ShortestScript)
	}
}
