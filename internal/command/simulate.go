package command

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"lockflow/internal/simulation/fleetrules"
	"lockflow/internal/simulation/fleetsim"
)

// Defaults of the flags --load and --for. The load of a named day is scaled by --load relative to defaultLoad, and the
// day keeps its own length if --for is defaultDuration.
const (
	defaultLoad     = 0.7
	defaultDuration = 30 * time.Second
)

// simulateCommand returns the command "simulate".
func simulateCommand() command {
	return command{
		name:    "simulate",
		group:   groupTrials,
		summary: "plays a fleet in virtual time: a day by its name, a staged change, or one cold server and one ceiling",
		args:    "[--day NAME,NAME...|all|mutations] [--instances N,N...] [--told N] [--lag TIME,TIME...] [--uneven] [--per-server N] [--load PART] [--seed N] [--quota NAME,NAME...|all] [--seeds N] [--why] [--rollout] [--json]",
		examples: []string{
			"lockflow simulate --day all --instances 2,8,80,300 --seed 7",
			"lockflow simulate --day mutations --instances 40   # each guard taken out in turn; the checker has to find it",
			"lockflow simulate --instances 40,400,4000 --lag 0s,2s,5s",
			"lockflow simulate --instances 40 --told 1 --per-server 10 --load 0.95   # the group's size is ignored",
			"lockflow simulate --rollout --instances 4,40,400 --harm all --runs 100   # how many changes are stopped, where",
			"lockflow simulate --instances 40 --json > sim.json && lockplot sim.json cold.svg",
			"lockflow simulate --quota all --instances 300 --seeds 5 --why   # what is let through beyond quotas, and why",
			"lockflow simulate --gather all --seed 7   # when to answer a scattered query with what has come",
		},
		setup: func(set flags) func(context.Context, *Env, []string) error {
			var o fleetsim.Options
			instances := set.String("instances", "40,400", "`N,N...` that there are")
			lags := set.String("lag", "0s,2s", "`TIME,TIME...` by which the last instance learns of the cold server")
			set.IntVar(&o.GroupSize, "told", 0, "`N` that they are told there are, where it is another")
			set.BoolVar(&o.IsUneven, "uneven", false, "some instances get ten times as much as others")
			set.IntVar(&o.Servers, "servers", 20, "`N` warm ones")
			set.Float64Var(&o.ServerRate, "per-server", 100, "`N` calls a second that a server bears")
			set.Float64Var(&o.Load, "load", defaultLoad, "`PART` of what the warm servers bear that clients ask for")
			set.DurationVar(&o.Duration, "for", defaultDuration, "`TIME` that is played")
			set.Uint64Var(&o.Seed, "seed", 1, "`N` that everything follows from")
			days := set.String("day", "", "`NAME,NAME...` of days, which hold the fleet to the five rules: "+strings.Join(fleetsim.DayNames, ", ")+"; or all, or mutations")
			simulateGather, simulateQuotas := gatherFlags(set), quotaFlags(set)
			asJSON := set.Bool("json", false, "prints the reports as a JSON list, with each second of the cold server")
			var r rolloutSimulation
			r.addFlags(set)
			return func(ctx context.Context, e *Env, args []string) error {
				if len(args) > 0 {
					return errSimulateUsage
				}
				if isSelected, err := simulateGather(ctx, e, *instances, o.Seed, *asJSON); isSelected {
					return err
				}
				q := fleetsim.QuotaOptions{Seed: o.Seed, Load: o.Load / defaultLoad, Duration: zeroIfDefault(o.Duration)}
				if isSelected, err := simulateQuotas(ctx, e, *instances, q, *asJSON); isSelected {
					return err
				}
				if r.isEnabled && *days == "" {
					r.seed = o.Seed
					return r.run(ctx, e, *instances, *asJSON)
				}
				if *days != "" && !r.isEnabled {
					d := fleetsim.DayOptions{GroupSize: o.GroupSize, Seed: o.Seed, Load: o.Load / defaultLoad, Duration: zeroIfDefault(o.Duration)}
					return simulateDays(ctx, e, *days, *instances, d, *asJSON)
				}
				return simulateFleets(ctx, e, o, *instances, *lags, *asJSON)
			}
		},
	}
}

// errSimulateUsage is the error for arguments, or for flags that are out of range.
var errSimulateUsage = usageError("simulate: arguments given or flags out of range; --for takes 12s or more; see lockflow simulate --help")

// zeroIfDefault returns the duration, or 0 if it is the default of the flag --for.
func zeroIfDefault(duration time.Duration) time.Duration {
	if duration == defaultDuration {
		return 0
	}
	return duration
}

// isValidFleetSimulation reports whether the flags are in range.
func isValidFleetSimulation(o *fleetsim.Options) bool {
	return o.GroupSize >= 0 &&
		o.Servers >= 1 && o.Servers <= 1000 &&
		o.ServerRate > 0 &&
		o.Load > 0 &&
		o.Duration >= minFleetDuration
}

// minFleetDuration is the shortest time that is simulated.
const minFleetDuration = 12 * time.Second

// simulateFleets simulates a server that warms up and a hard limit, for each group size and each lag of watch events.
func simulateFleets(ctx context.Context, e *Env, o fleetsim.Options, instances, lags string, asJSON bool) error {
	if !isValidFleetSimulation(&o) {
		return errSimulateUsage
	}
	var all []fleetsim.Report
	sizes, err := groupSizes(instances)
	if err != nil {
		return err
	}
	for _, n := range sizes {
		for field := range strings.SplitSeq(lags, ",") {
			lag, err := time.ParseDuration(field)
			if err != nil || lag < 0 {
				return usageError("simulate: lag: %q is not a duration of 0 or more", field)
			}
			o.Instances = n
			o.NotificationLag = lag
			fmt.Fprintf(e.Err, "playing %d instances, news up to %v late\n", n, lag)
			r, err := fleetsim.Run(o)
			if err != nil {
				return err
			}
			if all = append(all, r); ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
	if asJSON {
		return json.NewEncoder(e.Out).Encode(all)
	}
	printSimulated(e.Out, all)
	return nil
}

// printSimulated prints a line for each report.
func printSimulated(w io.Writer, all []fleetsim.Report) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "instances\ttold\tnews late\tuneven\tcalls\tserved\tcold: worst of its limit\tof what it could\tceiling: units beyond\tpart of it used\t")
	for _, r := range all {
		fmt.Fprintf(t, "%d\t%d\t%v\t%v\t%d\t%.3f\t%.2f\t%.2f\t%.1f\t%.2f\t\n", r.Instances, r.GroupSize, r.Lag, r.Uneven, r.Calls, r.Served, r.MaxWarmUpOverload, r.WarmUpShare,
			r.MaxOverHardLimit, r.HardLimitUse)
	}
	t.Flush()
}

// groupSizes reads the flag --instances.
func groupSizes(list string) ([]int, error) {
	var all []int
	for field := range strings.SplitSeq(list, ",") {
		n, err := strconv.Atoi(field)
		if err != nil || n < 1 || n > 10000 {
			return nil, usageError("simulate: instances: %q is not a number from 1 to 10000", field)
		}
		all = append(all, n)
	}
	return all, nil
}

// dayResult is the report of a day. Mutation names the guard that was disabled, if any.
type dayResult struct {
	fleetsim.DayReport
	Mutation string          `json:"mutation,omitempty"`
	Rule     fleetrules.Rule `json:"rule,omitempty"` // rule that the mutation breaks
}

// isAsExpected reports whether no rule was broken or, with a mutation, the rule that the mutation breaks was.
func (p *dayResult) isAsExpected() bool {
	if p.Mutation != "" {
		return p.Broken[p.Rule] > 0
	}
	return len(p.Broken) == 0
}

// simulateDays simulates days at each group size. It fails if a rule is broken, or if a mutation is not detected.
func simulateDays(ctx context.Context, e *Env, names, instances string, o fleetsim.DayOptions, asJSON bool) error {
	sizes, err := groupSizes(instances)
	if err != nil {
		return err
	}
	results, options, err := selectDays(names, sizes, o)
	if err != nil {
		return err
	}
	unexpected := 0
	for i, o := range options {
		what := cmp.Or(results[i].Mutation, fleetsim.DayHelp(o.Day))
		fmt.Fprintf(e.Err, "playing %s with %d instances: %s\n", o.Day, o.Instances, what)
		if results[i].DayReport, err = fleetsim.Day(o); err != nil {
			return err
		}
		if !results[i].isAsExpected() {
			unexpected++
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if asJSON {
		if err := json.NewEncoder(e.Out).Encode(results); err != nil {
			return err
		}
	} else {
		printDays(e.Out, results)
	}
	if unexpected > 0 {
		return fmt.Errorf("simulate: in %d of %d days a rule was broken or a mutation not detected", unexpected, len(results))
	}
	return nil
}

// selectDays returns the days that names select, at each group size, and the simulation options of each.
func selectDays(names string, sizes []int, o fleetsim.DayOptions) (results []dayResult, options []fleetsim.DayOptions, err error) {
	for _, n := range sizes {
		o.Instances = n
		if names == "mutations" {
			for i := range fleetsim.Mutations {
				m := &fleetsim.Mutations[i]
				results = append(results, dayResult{Mutation: m.Name, Rule: m.Rule})
				options = append(options, m.Options(o))
			}
			continue
		}
		list := fleetsim.DayNames
		if names != "all" {
			list = strings.Split(names, ",")
		}
		for _, name := range list {
			if !slices.Contains(fleetsim.DayNames, name) {
				return nil, nil, usageError("simulate: day: %q is not one of %s, all, mutations", name, strings.Join(fleetsim.DayNames, ", "))
			}
			o.Day = name
			results = append(results, dayResult{})
			options = append(options, o)
		}
	}
	return results, options, nil
}

// printDays prints a line for each day, then which mutations were detected and which rules were broken.
func printDays(w io.Writer, all []dayResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "day\tinstances\tservers\tfirst tries\ttries\tattempts\tserved\tbeyond quota\tfailed\thandshakes\tcold: worst of its limit\tbroken\t")
	for i := range all {
		r := &all[i]
		broken := "none"
		if len(r.Broken) > 0 {
			broken = fmt.Sprint(r.Broken)[len("map"):]
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.4f\t%.3f\t%.2f\t%s\t\n", r.Day, r.Instances, r.Servers, r.Calls, r.Requests, r.Attempts,
			r.Served, r.OverQuotaFraction, r.FailedFraction, r.Handshakes, r.MaxWarmUpOverload, broken)
	}
	t.Flush()
	for i := range all {
		switch r := &all[i]; {
		case r.Mutation != "" && r.isAsExpected():
			fmt.Fprintf(w, "found: %s (%s): %v\n", r.Mutation, r.Rule, r.Breaches[0])
		case r.Mutation != "":
			fmt.Fprintf(w, "NOT FOUND: %s (%s)\n", r.Mutation, r.Rule)
		case !r.isAsExpected():
			fmt.Fprintf(w, "%s, %d instances, first broken: %v\n", r.Day, r.Instances, r.Breaches[0])
		}
	}
}
