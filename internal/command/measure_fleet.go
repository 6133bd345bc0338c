package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"lockflow/internal/trials/measure"
)

// isValidFleet reports whether the flags of measure fleet are in range.
func isValidFleet(o *measure.FleetOptions) bool {
	return o.Instances >= 1 && o.Instances <= 1000 &&
		o.GroupSize >= 0 &&
		o.Rate >= 1 && o.Rate <= 100000 &&
		o.Servers >= 1 && o.Servers <= 1000 &&
		o.Work >= time.Millisecond &&
		o.Every >= 0 &&
		o.NewServerInterval >= 0
}

// measureFleet disturbs a fleet of real processes at random, and checks that the service keeps its rules.
func measureFleet(ctx context.Context, e *Env, o measure.FleetOptions, asJSON bool) error {
	if !isValidFleet(&o) {
		return usageError("measure fleet: a flag is out of range; see lockflow measure --help")
	}
	var err error
	if o.Program, err = executable(); err != nil {
		return err
	}
	if o.Dir, err = os.MkdirTemp("", "lockflow-"); err != nil {
		return fmt.Errorf("measure fleet: creating a temporary directory: %w", err)
	}
	o.Progress = e.Err
	report, err := measure.Fleet(ctx, o)
	if err != nil {
		return err
	}
	if err := printReport(e, report, asJSON, func(w io.Writer) { printFleet(w, report) }); err != nil {
		return err
	}
	return finishTrial(e, o.Dir, "instances'", len(report.Wrong) > 0)
}

// printFleet prints a report as tables.
func printFleet(w io.Writer, r *measure.FleetReport) {
	fmt.Fprintf(w, "%d instances (told %d) for %.0f s: %d reloads, %d upgrades, %d ends, %d kills; an idle one: %.1f MB, %d descriptors, %.1f ms of CPU a second\n\n",
		r.Instances, r.GroupSize, r.Seconds, r.Reloads, r.Upgrades, r.Ends, r.Kills, float64(r.IdleMem)/1024, r.IdleFDs, r.IdleCPU)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "calls of\tcalls\ttries\tserved\trefused\tfailed\tlost\tkilled with\tno connection\twrong\tp50 ms\tp99 ms\t")
	for _, k := range slices.Sorted(maps.Keys(r.Results)) {
		s := r.Results[k]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", k, s.Calls, s.Attempts, s.Served, s.Rejected, s.Failed, s.Lost,
			s.Killed, s.Unconnected, s.Wrong, r.P50[k], r.P99[k])
	}
	t.Flush()
	fmt.Fprintf(w, "\neffects twice %d, attempts of one request out at once %d, late to draining servers %d\n", r.Servers.DuplicateEffects, r.Servers.MaxInFlight, r.Late)
	fmt.Fprintf(w, "cold servers %d, pushed past their limit %d, the worst at %.2f of it\n", r.WarmingUp, r.Overloaded, r.WorstOverload)
	fmt.Fprintf(w, "customers with a ceiling sent %.0f units, at most %.1f beyond it (%g allowed)\n", r.EnterpriseUnits, r.OverLimit, r.Slack)
	fmt.Fprintf(w, "%d instances doubt the size of the group\n", r.DegradedInstances)
	for _, text := range append(r.Failed, r.Wrong...) {
		fmt.Fprintln(w, "WRONG:", text)
	}
}
