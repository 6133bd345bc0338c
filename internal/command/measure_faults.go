package command

import (
	"context"
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

// Numbers of fake servers and clients in trials under faults.
const (
	faultServers       = 2
	faultClients       = 4
	changeFaultClients = 3
)

// addFaultFlags declares the flags of measure faults and change, and returns the value of --script.
func addFaultFlags(set flags, o *measure.FaultsOptions) (file *string) {
	set.IntVar(&o.Processes, "processes", 3, "faults, change, soak, rollout: `N` nodes; change: a third of them in each of three regions")
	set.IntVar(&o.Seeds, "seeds", 20, "faults, change, soak: `N` scripts or plays, of --seed and those after it")
	set.IntVar(&o.Faults, "faults", 0, "faults, change: `N` in a script; 0 is one for each link and process, and one more")
	set.IntVar(&o.Shrinks, "shrinks", 40, "faults, change: `N` tries to shorten a script that fails")
	return set.String("script", "", "faults, change: `FILE` of a script that is tried instead of drawn ones")
}

// isValidFaults reports whether the flags are in range. A change needs three regions of the same size.
func isValidFaults(o *measure.FaultsOptions, isChange bool) bool {
	if isChange && o.Processes%3 > 0 {
		return false
	}
	return o.Processes >= 1 && o.Processes <= 64 &&
		o.Seeds >= 1 && o.Seeds <= 100_000 &&
		o.Faults >= 0 && o.Faults <= 10_000 &&
		o.Shrinks >= 0 && o.Shrinks <= 10_000
}

// measureFaults runs trials of nodes under faults, or of a change of regions under faults.
func measureFaults(ctx context.Context, e *Env, o measure.FaultsOptions, isChange bool, file string, asJSON bool) error {
	what := "faults"
	o.Progress = e.Err
	o.Servers = faultServers
	o.Clients = faultClients
	links := trial.Links(o.Processes, o.Servers)
	if isChange {
		what = "change"
		o.Clients = changeFaultClients
		links = regiontrial.Links(o.Processes / 3)
	}
	if !isValidFaults(&o, isChange) {
		return usageError("measure %s: --processes, --seeds, --faults or --shrinks is out of range; see lockflow measure --help", what)
	}
	var err error
	if file != "" {
		if o.Script, err = faultScript(file, o.Processes, links); err != nil {
			return err
		}
	}
	if o.Program, err = executable(); err != nil {
		return err
	}
	if o.Dir, err = os.MkdirTemp("", "lockflow-"); err != nil {
		return fmt.Errorf("measure %s: creating a temporary directory: %w", what, err)
	}
	var failure string
	if isChange {
		failure, err = runChangeTrial(ctx, e, o, asJSON)
	} else {
		failure, err = runFaultTrial(ctx, e, o, asJSON)
	}
	if err != nil {
		return err
	}
	return finishTrial(e, o.Dir, "nodes'", failure != "")
}

// runChangeTrial runs and prints trials of changes under faults, and returns the first failure; "" is none.
func runChangeTrial(ctx context.Context, e *Env, o measure.FaultsOptions, asJSON bool) (failure string, err error) {
	report, err := measure.Change(ctx, o)
	if err != nil {
		return "", err
	}
	return report.Failing, printReport(e, report, asJSON, func(w io.Writer) { printChange(w, report) })
}

// runFaultTrial runs and prints trials of nodes under faults, and returns the first failure; "" is none.
func runFaultTrial(ctx context.Context, e *Env, o measure.FaultsOptions, asJSON bool) (failure string, err error) {
	report, err := measure.Faults(ctx, o)
	if err != nil {
		return "", err
	}
	return report.Failing, printReport(e, report, asJSON, func(w io.Writer) { printFaults(w, report) })
}

// faultScript reads a script, which must have the given numbers of processes and links.
func faultScript(file string, processes, links int) (*faultnet.Script, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading a fault script: %w", err)
	}
	s, err := faultnet.Parse(string(raw))
	if err != nil {
		return nil, usageError("%s: %v", file, err)
	}
	if s.Procs != processes || s.Links != links {
		return nil, usageError("%s: a script of %d processes and %d links; %d processes have %d", file, s.Procs, s.Links, processes, links)
	}
	return &s, nil
}

// printChange prints a line for each trial, and the shortest script that fails.
func printChange(w io.Writer, r *measure.ChangeReport) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "seed\tfaults\tnodes killed\tcoordinators' exits\tmore after\tnew at once\tdecisions\tepochs\torders\trequests\tserved\tbroken by the fault\t"+
		"gathered\tpartial\teffects\tmetered\tbeyond\tharmed\tat members\tharm stopped s\ttook s\twrong\t")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%d\t%d\t%d\t%v\t%d\t%v\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%d\t%d\t%.1f\t%.1f\t%d\t\n", x.Seed, x.Faults, x.Kills, x.ExitCodes, x.ExtraCoordinators,
			x.Changed, x.Decisions, x.Epochs, x.Orders, x.Requests, x.Served, x.Broken, x.Gathered, x.Partial, x.Effects, x.Metered, x.MaxExcess, x.HarmedRequests,
			x.HarmedMembers, x.RollbackDuration.Seconds(), x.Duration.Seconds(), len(x.Wrong))
	}
	t.Flush()
	if r.Failing != "" {
		fmt.Fprintf(w, "\nWRONG:\n%s\n\nthe least script that fails so or otherwise (lockflow measure change --script FILE):\n%s", r.Failing, r.ShortestScript)
	}
}

// printFaults prints a line for each script, their sums, and the shortest script that fails.
func printFaults(w io.Writer, r *measure.FaultsReport) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "seed\tfaults\tkills\tresets\tbytes lost\trequests\tserved\tanswered otherwise\tbroken by the fault\teffects\towner asked\ttold\tepochs owned\torders\tall back ms\twrong\t")
	var sum trial.Report
	var recoveryTime time.Duration
	wrong := 0
	row := func(seed string, x *trial.Report, recoveryTime time.Duration, wrong int) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", seed, x.Faults, x.Kills, x.Resets, x.Lost, x.Requests, x.Served,
			x.Answered-x.Served, x.Broken, x.Effects, x.ControlCalls, x.ControlReplies, x.OwnedEpochs, x.Orders, recoveryTime.Milliseconds(), wrong)
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
		recoveryTime = max(recoveryTime, x.RecoveryTime)
		wrong += len(x.Wrong)
	}
	row("all", &sum, recoveryTime, wrong)
	t.Flush()
	if r.Failing != "" {
		fmt.Fprintf(w, "\nWRONG:\n%s\n\nthe least script that fails so or otherwise (lockflow measure faults --script FILE):\n%s", r.Failing, r.ShortestScript)
	}
}
