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

// quotaFlag has simulate play worlds of quotas. What it gives plays them where the flag is set: the calm
// day under the module and under policies that see the true state late, for each seed.
func quotaFlag(set flags) func(ctx context.Context, e *Env, instances string, o fleetsim.QuotaOptions, asJSON bool) (played bool, err error) {
	worlds := set.String("quota", "", "`NAME,NAME...` of worlds of quotas in which the calm day is played, by the module and by policies that see the true state late: "+
		strings.Join(fleetsim.QuotaNames, ", ")+"; or all")
	seeds := set.Int("seeds", 1, "`N` seeds with which each world of --quota is played, from --seed on")
	policy := set.String("policy", "all", "quota: `NAME,NAME...` of who decides: "+strings.Join(policyNames(), ", ")+"; or all")
	why := set.Bool("why", false, "quota: tells by what the module let tries in, which takes three times as long")
	return func(ctx context.Context, e *Env, instances string, o fleetsim.QuotaOptions, asJSON bool) (bool, error) {
		if *worlds == "" {
			return false, nil
		}
		if *seeds < 1 || *seeds > 100 {
			return true, usageError("simulate: seeds: %d is none of 1 to 100", *seeds)
		}
		list, err := parseNames("quota", *worlds, fleetsim.QuotaNames)
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
		o.Late, o.Why = -1, *why
		all, err := playQuotas(ctx, e, quotaPlays(o, list, sizes, *seeds, policies))
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

// quotaPlays lists every play: each world at each size with each seed under each policy.
func quotaPlays(o fleetsim.QuotaOptions, worlds []string, sizes []int, seeds int, policies []string) (all []fleetsim.QuotaOptions) {
	first := o.Seed
	for _, o.World = range worlds {
		for _, o.Instances = range sizes {
			for o.Seed = first; o.Seed < first+uint64(seeds); o.Seed++ {
				for _, p := range policies {
					o.Policy = fleetsim.Policy(p)
					all = append(all, o)
				}
			}
		}
	}
	return all
}

func policyNames() []string {
	var names []string
	for _, p := range fleetsim.Policies {
		names = append(names, string(p))
	}
	return names
}

// playQuotas plays as many at a time as there are processors; the reports are in the order asked for.
func playQuotas(ctx context.Context, e *Env, todo []fleetsim.QuotaOptions) ([]fleetsim.QuotaReport, error) {
	all, errs := make([]fleetsim.QuotaReport, len(todo)), make([]error, len(todo))
	free := make(chan struct{}, runtime.GOMAXPROCS(0))
	var playing sync.WaitGroup
	for i, o := range todo {
		if free <- struct{}{}; ctx.Err() != nil {
			break
		}
		fmt.Fprintf(e.Err, "playing %s with %d instances, seed %d, %s: %s\n", o.World, o.Instances, o.Seed, o.Policy, fleetsim.QuotaHelp(o.World))
		playing.Go(func() {
			all[i], errs[i] = fleetsim.Quotas(o)
			<-free
		})
	}
	playing.Wait()
	return all, errors.Join(append(errs, ctx.Err())...)
}

// printQuotas prints a line for each play, with how much more the first policy's price is than the lowest of
// the others', and then what came of each sort of tries under the first over all seeds of a world.
func printQuotas(w io.Writer, all []fleetsim.QuotaReport, of int) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "world\tinstances\tseed\tpolicy\tlate s\tfirst tries\ttries\tserved\tbeyond: price\tmore than the lowest other\tof the units\trefused\twith room: of tries\tof requests\tnever sent on\t")
	for i := range all {
		r, more := &all[i], ""
		if i%of == 0 && of > 1 {
			more = fmt.Sprintf("%+.3f", priceAboveLowest(all[i:i+of]))
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%.2f\t%d\t%d\t%.3f\t%.3f\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", r.World, r.Instances, r.Seed, r.Policy, r.Late, r.First, r.Tries,
			r.Served, r.Price, more, r.Beyond, r.Refused, r.TriesRejectedWithCapacity, r.CallsRejectedWithCapacity, r.CallsLostWithCapacity)
	}
	t.Flush()
	for from := 0; from < len(all); {
		to := from
		for to < len(all) && all[to].World == all[from].World && all[to].Instances == all[from].Instances {
			to += of
		}
		printSorts(w, all[from:to], of)
		from = to
	}
}

// priceAboveLowest is how much more the price of the first is than the lowest of the others.
func priceAboveLowest(group []fleetsim.QuotaReport) float64 {
	lowest := group[min(1, len(group)-1)].Price
	for _, r := range group[1:] {
		lowest = min(lowest, r.Price)
	}
	return group[0].Price - lowest
}

func printSorts(w io.Writer, all []fleetsim.QuotaReport, of int) {
	n := float64(len(all) / of)
	served, price, more, withCapacity := 0.0, 0.0, 0.0, 0.0
	sorts := map[string]map[string]*fleetsim.Cell{}
	for i := 0; i < len(all); i += of {
		r := &all[i]
		served, price, more, withCapacity = served+r.Served/n, price+r.Price/n, more+priceAboveLowest(all[i:i+of])/n, withCapacity+r.TriesRejectedWithCapacity/n
		for sort, cells := range r.Cells {
			if sorts[sort] == nil {
				sorts[sort] = map[string]*fleetsim.Cell{}
			}
			for name, c := range cells {
				sum := sorts[sort][name]
				if sum == nil {
					sum = &fleetsim.Cell{}
					sorts[sort][name] = sum
				}
				sum.Add(c, n)
			}
		}
	}
	fmt.Fprintf(w, "\n%s, %d instances, %s, mean of %.0f: served %.3f, price beyond quotas %.3f, %+.3f more than the lowest other, refused with room %.3f of the tries\n",
		all[0].World, all[0].Instances, all[0].Policy, n, served, price, more, withCapacity)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "sort\tof\ttries\toffered\tof the price\tbeyond, of its units\trefused\twith room\t")
	for _, sort := range fleetsim.CellNames {
		cells := sorts[sort]
		for _, name := range slices.Sorted(maps.Keys(cells)) {
			c := cells[name]
			part := func(n int) string {
				if c.Tries == 0 { // tells of refusals alone
					return fmt.Sprint(n)
				}
				return fmt.Sprintf("%.3f", float64(n)/float64(c.Tries))
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%s\t%s\t\n", sort, name, c.Tries, c.Offered, c.Price, c.Beyond/max(1, c.Sent), part(c.Refused), part(c.RejectedWithCapacity))
		}
	}
	t.Flush()
}
