package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"lockflow/internal/simulation/rolloutsim"
)

// rolloutSimulation holds the flags of simulate --rollout, which simulates staged changes.
type rolloutSimulation struct {
	isEnabled     bool
	traffic       string
	harm          string
	judge         string
	without       string
	rate          float64
	runs          int
	faultInterval time.Duration
	seed          uint64
}

// addFlags declares the flags with their defaults.
func (p *rolloutSimulation) addFlags(set flags) {
	set.BoolVar(&p.isEnabled, "rollout", false, "plays staged changes, harmless ones and harmful ones, and how they are judged")
	set.StringVar(&p.traffic, "traffic", "all", "rollout: `NAME,NAME...` of how requests come: "+strings.Join(rolloutsim.Traffics, ", ")+"; or all")
	set.StringVar(&p.harm, "harm", "none", "rollout: `NAME,NAME...` of what the change does: "+strings.Join(harmNames(), ", ")+"; or all")
	set.StringVar(&p.judge, "judge", "evidence", "rollout: `NAME,NAME...` of who says when to stop: "+strings.Join(rolloutsim.Judges, ", ")+"; or all")
	set.StringVar(&p.without, "without", "", "rollout: `NAME` of what the judge lacks: "+strings.Join(rolloutsim.MutationNames(), ", ")+"; or each")
	set.Float64Var(&p.rate, "rate", 20, "rollout: `N` requests a second and instance")
	set.IntVar(&p.runs, "runs", 100, "rollout: `N` that are played of each")
	set.DurationVar(&p.faultInterval, "fault-every", time.Hour, "rollout: `TIME` between faults of the world")
}

// harmNames returns the names of the harms that a simulated change can do.
func harmNames() (all []string) {
	for _, h := range rolloutsim.Harms {
		all = append(all, h.Name)
	}
	return all
}

// parseNames returns the names in a list, or all known ones for "all". Errors name flag.
func parseNames(flag, list string, known []string) ([]string, error) {
	if list == "all" {
		return known, nil
	}
	all := strings.Split(list, ",")
	for _, n := range all {
		if !slices.Contains(known, n) {
			return nil, usageError("simulate: %s: %q is not one of %s, all", flag, n, strings.Join(known, ", "))
		}
	}
	return all, nil
}

// run runs the simulations and prints their reports.
func (p *rolloutSimulation) run(ctx context.Context, e *Env, instances string, asJSON bool) error {
	sizes, err := groupSizes(instances)
	if err != nil {
		return err
	}
	traffics, err := parseNames("traffic", p.traffic, rolloutsim.Traffics)
	if err != nil {
		return err
	}
	harms, err := parseNames("harm", p.harm, harmNames())
	if err != nil {
		return err
	}
	judges, err := parseNames("judge", p.judge, rolloutsim.Judges)
	if err != nil {
		return err
	}
	without := []string{p.without}
	if p.without == "each" {
		without = append([]string{""}, rolloutsim.MutationNames()...)
	}
	var all []rolloutsim.Report
	for _, o := range p.options(sizes, traffics, harms, judges, without) {
		fmt.Fprintf(e.Err, "playing %d rollouts over %d instances, %s traffic, harm: %s\n", o.Runs, o.Instances, o.Traffic, o.Harm.Name)
		r, err := rolloutsim.Run(o)
		if err != nil {
			return usageError("simulate: %v", err)
		}
		all = append(all, r)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if asJSON {
		return json.NewEncoder(e.Out).Encode(all)
	}
	printRollouts(e.Out, all)
	return nil
}

// options returns the options of every simulation: each combination of size, traffic, harm, judge and mutation.
func (p *rolloutSimulation) options(sizes []int, traffics, harms, judges, without []string) (all []rolloutsim.Options) {
	o := rolloutsim.Options{Rate: p.rate, Runs: p.runs, FaultInterval: p.faultInterval, Seed: p.seed}
	for _, o.Instances = range sizes {
		for _, o.Traffic = range traffics {
			for _, h := range harms {
				o.Harm = rolloutsim.Harms[slices.Index(harmNames(), h)]
				for _, o.Judge = range judges {
					for _, o.Without = range without {
						all = append(all, o)
					}
				}
			}
		}
	}
	return all
}

// printRollouts prints a line for each report.
func printRollouts(w io.Writer, all []rolloutsim.Report) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "instances\ttraffic\tharm\tjudge\twithout\truns\tworse\tpart, 95%\tno evidence\tpassed\tat stage\tminutes\treached\tharmed\tharmed, 95%\t")
	for i := range all {
		r := &all[i]
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%d\t%d\t%.4f-%.4f\t%d\t%d\t%s\t%.1f\t%.0f\t%.0f\t%.0f\t\n", r.Instances, r.Traffic, r.Harm, r.Judge, r.Without, r.Runs,
			r.Worse, r.Low, r.High, r.NoEvidence, r.Passed, strings.Trim(fmt.Sprint(r.AtStage), "[]"), r.Minutes, r.Touched, r.Harmed, r.HarmedP95)
	}
	t.Flush()
}
