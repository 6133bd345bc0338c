package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"lockflow/internal/simulation/fleetsim"
)

// quotaFlags declares --quota and the flags that go with it, and returns a function that, if --quota is given, simulates
// worlds of quotas: for each seed, the day "calm" under the decision module and under policies that see the true state
// with a delay.
func quotaFlags(set flags) func(ctx context.Context, e *Env, instances string, o fleetsim.QuotaOptions, asJSON bool) (isSelected bool, err error) {
	worlds := set.String("quota", "", "`NAME,NAME...` of worlds of quotas in which the calm day is played, by the module and by policies that see the true state late: "+
		strings.Join(fleetsim.DeploymentNames, ", ")+"; or all")
	seeds := set.Int("seeds", 1, "`N` seeds with which each world of --quota is played, from --seed on")
	policy := set.String("policy", "all", "quota: `NAME,NAME...` of who decides: "+strings.Join(policyNames(), ", ")+"; or all")
	why := set.Bool("why", false, "quota: tells by what the module let tries in, which takes three times as long")
	return func(ctx context.Context, e *Env, instances string, o fleetsim.QuotaOptions, asJSON bool) (bool, error) {
		if *worlds == "" {
			return false, nil
		}
		if *seeds < 1 || *seeds > 100 {
			return true, usageError("simulate: seeds: %d is not from 1 to 100", *seeds)
		}
		list, err := parseNames("quota", *worlds, fleetsim.DeploymentNames)
		if err != nil {
			return true, err
		}
		policies, err := parseNames("policy", *policy, policyNames())
		if err != nil {
			return true, err
		}
		sizes, err := groupSizes(instances)
		if err != nil {
			return true, err
		}
		o.PolicyDelay = -1
		o.ExplainsAdmission = *why
		all, err := runQuotaSimulations(ctx, e, quotaSimulations(o, list, sizes, *seeds, policies))
		if err != nil {
			return true, err
		}
		if asJSON {
			return true, json.NewEncoder(e.Out).Encode(all)
		}
		printQuotas(e.Out, all, len(policies))
		return true, nil
	}
}

// quotaSimulations returns the options of every simulation: each world at each group size with each seed under each policy.
func quotaSimulations(o fleetsim.QuotaOptions, worlds []string, sizes []int, seeds int, policies []string) (all []fleetsim.QuotaOptions) {
	firstSeed := o.Seed
	for _, o.Deployment = range worlds {
		for _, o.Instances = range sizes {
			for o.Seed = firstSeed; o.Seed < firstSeed+uint64(seeds); o.Seed++ {
				for _, p := range policies {
					o.Policy = fleetsim.Policy(p)
					all = append(all, o)
				}
			}
		}
	}
	return all
}

// policyNames returns the names of the policies.
func policyNames() []string {
	var names []string
	for _, p := range fleetsim.Policies {
		names = append(names, string(p))
	}
	return names
}

// runQuotaSimulations runs simulations, GOMAXPROCS at a time. The reports are in the order of simulations.
func runQuotaSimulations(ctx context.Context, e *Env, simulations []fleetsim.QuotaOptions) ([]fleetsim.QuotaReport, error) {
	all := make([]fleetsim.QuotaReport, len(simulations))
	errs := make([]error, len(simulations))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var running sync.WaitGroup
	for i, o := range simulations {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		fmt.Fprintf(e.Err, "playing %s with %d instances, seed %d, %s: %s\n", o.Deployment, o.Instances, o.Seed, o.Policy, fleetsim.DeploymentHelp(o.Deployment))
		running.Go(func() {
			all[i], errs[i] = fleetsim.RunQuotas(o)
			<-slots
		})
	}
	running.Wait()
	return all, errors.Join(append(errs, ctx.Err())...)
}

// printQuotas prints a line for each report, and then the results of each category of requests under the first policy
// over all seeds of a world. Consecutive reports form groups of one for each policy.
func printQuotas(w io.Writer, all []fleetsim.QuotaReport, policies int) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "world\tinstances\tseed\tpolicy\tlate s\tfirst tries\ttries\tserved\tbeyond: price\tmore than the lowest other\tof the units\trefused\twith room: of tries\tof requests\tnever sent on\t")
	for i := range all {
		r := &all[i]
		priceAbove := ""
		if i%policies == 0 && policies > 1 {
			priceAbove = fmt.Sprintf("%+.3f", priceAboveLowest(all[i:i+policies]))
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%.2f\t%d\t%d\t%.3f\t%.3f\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", r.Deployment, r.Instances, r.Seed, r.Policy, r.DelaySeconds, r.Calls, r.Requests,
			r.Served, r.OverQuotaPrice, priceAbove, r.OverQuotaFraction, r.RejectedFraction, r.RequestsRejectedWithCapacity, r.CallsRejectedWithCapacity, r.CallsLostWithCapacity)
	}
	t.Flush()
	for start := 0; start < len(all); {
		end := start
		for end < len(all) && all[end].Deployment == all[start].Deployment && all[end].Instances == all[start].Instances {
			end += policies
		}
		printCategories(w, all[start:end], policies)
		start = end
	}
}

// priceAboveLowest returns how much the price of the first policy exceeds the lowest price of the others.
func priceAboveLowest(group []fleetsim.QuotaReport) float64 {
	lowest := group[min(1, len(group)-1)].OverQuotaPrice
	for _, r := range group[1:] {
		lowest = min(lowest, r.OverQuotaPrice)
	}
	return group[0].OverQuotaPrice - lowest
}

// quotaMeans holds means over the seeds of a world.
type quotaMeans struct {
	served       float64
	price        float64
	priceAbove   float64                              // difference to the lowest price of the other policies
	withCapacity float64                              // part of the requests that were rejected although there was capacity
	cells        map[string]map[string]*fleetsim.Cell // by category and name; counts are sums, not means
}

// meanQuotas returns the means over the reports of the first policy.
func meanQuotas(all []fleetsim.QuotaReport, policies int) quotaMeans {
	n := float64(len(all) / policies)
	means := quotaMeans{cells: map[string]map[string]*fleetsim.Cell{}}
	for i := 0; i < len(all); i += policies {
		r := &all[i]
		means.served += r.Served / n
		means.price += r.OverQuotaPrice / n
		means.priceAbove += priceAboveLowest(all[i:i+policies]) / n
		means.withCapacity += r.RequestsRejectedWithCapacity / n
		for category, cells := range r.Cells {
			if means.cells[category] == nil {
				means.cells[category] = map[string]*fleetsim.Cell{}
			}
			for name, c := range cells {
				sum := means.cells[category][name]
				if sum == nil {
					sum = &fleetsim.Cell{}
					means.cells[category][name] = sum
				}
				sum.Add(c, n)
			}
		}
	}
	return means
}

// printCategories prints the means of one world and group size, and a line for each category of requests.
func printCategories(w io.Writer, all []fleetsim.QuotaReport, policies int) {
	means := meanQuotas(all, policies)
	fmt.Fprintf(w, "\n%s, %d instances, %s, mean of %.0f: served %.3f, price beyond quotas %.3f, %+.3f more than the lowest other, refused with room %.3f of the tries\n",
		all[0].Deployment, all[0].Instances, all[0].Policy, float64(len(all)/policies), means.served, means.price, means.priceAbove, means.withCapacity)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "sort\tof\ttries\toffered\tof the price\tbeyond, of its units\trefused\twith room\t")
	for _, category := range fleetsim.CellDimensions {
		cells := means.cells[category]
		for _, name := range slices.Sorted(maps.Keys(cells)) {
			c := cells[name]
			fmt.Fprintf(t, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%s\t%s\t\n", category, name, c.Requests, c.OfferedWeight, c.OverQuotaPrice, c.OverQuotaUnits/max(1, c.ForwardedUnits),
				formatShare(c.Rejections, c.Requests), formatShare(c.RejectedWithCapacity, c.Requests))
		}
	}
	t.Flush()
}

// formatShare formats n as a part of requests. Without requests it formats n itself: some cells count rejections alone.
func formatShare(n, requests int) string {
	if requests == 0 {
		return fmt.Sprint(n)
	}
	return fmt.Sprintf("%.3f", float64(n)/float64(requests))
}
