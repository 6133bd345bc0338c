package command

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/quotalease"
)

// quotaLeaseCommand returns the command "allowance".
func quotaLeaseCommand() command {
	return command{
		name:     "allowance",
		group:    groupFiles,
		summary:  "tells what of a plan's ceiling holds, and what of it can be used, when a shared counter lends it",
		args:     "explain --config FILE --plan NAME [--instances N] [--units N] [--spread N] [--term TIME] [--pledge TIME] [--settle TIME] [--drift N] [--json]",
		examples: []string{"lockflow allowance explain --config /etc/lockflow/lockflow.toml --plan enterprise --instances 40 --units 4"},
		setup: func(set flags) func(context.Context, *Env, []string) error {
			x := &leaseExplanation{}
			set.StringVar(&x.file, "config", "", "`FILE` that has the plan")
			set.StringVar(&x.plan, "plan", "", "`NAME` of the plan")
			set.IntVar(&x.rules.Instances, "instances", 0, "`N` instances that a ceiling is divided over; the file's without it")
			set.Float64Var(&x.units, "units", 1, "`N` units of a request")
			set.IntVar(&x.activeInstances, "spread", 0, "`N` instances that the customer comes through; all without it")
			set.DurationVar(&x.rules.Term, "term", 0, "`TIME` for which units are lent; the file's or 1s without it")
			set.DurationVar(&x.rules.ReservationTime, "pledge", 0, "`TIME` for which an instance pledges its part; the file's or 2s without it")
			set.DurationVar(&x.rules.ResizeTime, "settle", 0, "`TIME` within which all instances know of another number of them; the file's or 10s without it")
			set.Float64Var(&x.rules.MaxDrift, "drift", 0, "part by which a clock's rate may be wrong; the file's or 0.001 without it")
			set.BoolVar(&x.json, "json", false, "prints JSON")
			return func(_ context.Context, e *Env, args []string) error {
				if len(args) != 1 || args[0] != "explain" || !x.isValid() {
					return usageError("allowance takes explain with --config and --plan, --units above 0, --spread of 0 or more, and no other arguments")
				}
				return x.run(e)
			}
		},
	}
}

// leaseExplanation holds the flags of the command "allowance".
type leaseExplanation struct {
	file            string
	plan            string
	rules           quotalease.Rules // zeros are replaced by the values of the file
	units           float64          // units of one request
	activeInstances int              // instances that receive the customer's requests; 0 is all
	json            bool
}

// isValid reports whether the required flags are given and in range.
func (x *leaseExplanation) isValid() bool {
	return x.file != "" && x.plan != "" && x.units > 0 && x.activeInstances >= 0
}

// Defaults of the rules for a file without a shared counter.
const (
	defaultTerm            = time.Second
	defaultReservationTime = 2 * time.Second
	defaultResizeTime      = 10 * time.Second
	defaultMaxDrift        = 0.001
)

// findLimit returns the plan's hard limit, and sets rules without a flag to those of the plan's service.
func (x *leaseExplanation) findLimit(cfg *config.Config) (limit quotalease.HardLimit, isFound bool) {
	for _, s := range cfg.Services {
		for _, p := range s.Settings.Plans {
			if p.Name != x.plan {
				continue
			}
			limit = quotalease.HardLimit{Rate: p.HardLimitRate, Burst: p.HardLimitBurst}
			isFound = true
			rules := s.Counter.Rules
			if rules.Instances == 0 {
				rules = quotalease.Rules{
					Instances:       s.Settings.GroupSize,
					Term:            defaultTerm,
					ReservationTime: defaultReservationTime,
					ResizeTime:      defaultResizeTime,
					MaxDrift:        defaultMaxDrift,
				}
			}
			x.rules = quotalease.Rules{
				Instances:       cmp.Or(x.rules.Instances, rules.Instances),
				Term:            cmp.Or(x.rules.Term, rules.Term),
				ReservationTime: cmp.Or(x.rules.ReservationTime, rules.ReservationTime),
				ResizeTime:      cmp.Or(x.rules.ResizeTime, rules.ResizeTime),
				MaxDrift:        cmp.Or(x.rules.MaxDrift, rules.MaxDrift),
			}
		}
	}
	return limit, isFound
}

// run prints what the rules guarantee for a plan's hard limit.
func (x *leaseExplanation) run(e *Env) error {
	cfg, err := config.Load(x.file)
	if err != nil {
		return err
	}
	limit, isFound := x.findLimit(&cfg)
	switch {
	case !isFound:
		return fmt.Errorf("%s: no plan %q in this configuration", x.file, x.plan)
	case limit.Rate == 0:
		return fmt.Errorf("%s: plan %q has no ceiling", x.file, x.plan)
	}
	if x.activeInstances == 0 || x.activeInstances > x.rules.Instances {
		x.activeInstances = x.rules.Instances
	}
	if err := x.rules.Validate(); err != nil {
		return err
	}
	guarantees := x.rules.Guarantees(limit, x.units, x.activeInstances)
	if x.json {
		return json.NewEncoder(e.Out).Encode(map[string]any{"ceiling": limit, "bound": x.rules.Bound(limit), "promises": guarantees})
	}
	fmt.Fprintf(e.Out, "plan %s: %g units a second, %g at once; %d instances, traffic through %d of them, requests of %g units\n", x.plan, limit.Rate,
		limit.Burst, x.rules.Instances, x.activeInstances, x.units)
	bound := x.rules.Bound(limit)
	fmt.Fprintf(e.Out, "in any window, whatever fails: %.4g units and %.4g a second; the rate by clocks wrong by %g, the units by a term of %v\n\n",
		bound.Burst, bound.Rate, x.rules.MaxDrift, x.rules.Term)
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "case\tbeyond in a minute\tuse\twhy")
	for _, p := range guarantees {
		fmt.Fprintf(w, "%s\t%.1f%%\t%.1f%%\t%s\n", p.Case, 100*p.Excess, 100*p.Utilization, p.Reason)
	}
	return w.Flush()
}
