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

	"lockflow/internal/simulation/waitpolicysim"
)

// gatherFlags declares --gather and --queries, and returns a function that, if --gather is given, simulates
// scatter-gather queries: the wait policies in each world and, for each group size, how fast instances that share their
// observations learn.
func gatherFlags(set flags) func(ctx context.Context, e *Env, instances string, seed uint64, asJSON bool) (isSelected bool, err error) {
	names, _ := waitpolicysim.Worlds()
	worlds := set.String("gather", "", "`NAME,NAME...` of worlds in which scattered queries are ended: "+strings.Join(names, ", ")+"; or all. "+
		"With --instances, how fast so many learn together")
	queries := set.Int("queries", 20_000, "`N` queries in each world of --gather")
	return func(ctx context.Context, e *Env, instances string, seed uint64, asJSON bool) (bool, error) {
		if *worlds == "" {
			return false, nil
		}
		if *queries < 100 || *queries > 10_000_000 {
			return true, usageError("simulate: queries: %d is not from 100 to 10000000", *queries)
		}
		list := names
		if *worlds != "all" {
			list = strings.Split(*worlds, ",")
		}
		var sizes []int
		if set.Changed("instances") {
			var err error
			if sizes, err = groupSizes(instances); err != nil {
				return true, err
			}
		}
		all, shared, err := simulateWorlds(ctx, e, list, sizes, *queries, seed)
		if err != nil {
			return true, err
		}
		if asJSON {
			return true, json.NewEncoder(e.Out).Encode(map[string]any{"worlds": all, "shared": shared})
		}
		printWaitPolicies(e.Out, all, shared)
		return true, nil
	}
}

// simulateWorlds simulates wait policies in each world, and how fast instances that share their observations learn there.
func simulateWorlds(ctx context.Context, e *Env, list []string, sizes []int, queries int, seed uint64) (all []waitpolicysim.Report, shared []waitpolicysim.ShareReport, err error) {
	names, help := waitpolicysim.Worlds()
	for _, name := range list {
		i := slices.Index(names, name)
		if i < 0 {
			return nil, nil, usageError("simulate: gather: %q is not one of %s, all", name, strings.Join(names, ", "))
		}
		fmt.Fprintf(e.Err, "playing %s: %s\n", name, help[i])
		r, err := waitpolicysim.Run(waitpolicysim.Options{World: name, Queries: queries, Seed: seed})
		if err != nil {
			return nil, nil, err
		}
		all = append(all, r)
		worldShared, err := simulateSharedLearning(ctx, e, name, sizes, seed)
		if err != nil {
			return nil, nil, err
		}
		shared = append(shared, worldShared...)
		if ctx.Err() != nil {
			return nil, nil, ctx.Err()
		}
	}
	return all, shared, nil
}

// simulateSharedLearning simulates how fast instances that share their observations learn in a world, for each group size.
func simulateSharedLearning(ctx context.Context, e *Env, world string, sizes []int, seed uint64) (all []waitpolicysim.ShareReport, err error) {
	for _, n := range sizes {
		fmt.Fprintf(e.Err, "playing %s: %d learn together\n", world, n)
		r, err := waitpolicysim.RunShared(waitpolicysim.ShareOptions{World: world, Instances: n, Seed: seed})
		if err != nil {
			return nil, err
		}
		if all = append(all, r); ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return all, nil
}

// printWaitPolicies prints a line for each world, and one for each world and group size.
func printWaitPolicies(w io.Writer, all []waitpolicysim.Report, shared []waitpolicysim.ShareReport) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "world\toracle earns\tof it: learned\tbest fixed\tat\tp95\tno deadline\tknows all, same plan\tparts in answers\ttook\tlooks\tchanges told\tspent to learn\t")
	for _, r := range all {
		fmt.Fprintf(t, "%s\t%.4f\t%.3f\t%.3f\t%v\t%.3f\t%.3f\t%.3f\t%.2f\t%v\t%.1f\t%d\t%.4f\t\n", r.World, r.Oracle, r.Learned/r.Oracle, r.Fixed/r.Oracle,
			r.FixedTime.Round(time.Millisecond), r.P95/r.Oracle, r.None/r.Oracle, r.Plan/r.Oracle, r.ArrivedShare, r.MeanDuration.Round(time.Millisecond), r.StepsPerQuery, r.Stats.Changes,
			r.Stats.ExploreCost/float64(r.Queries))
	}
	t.Flush()
	for _, r := range all {
		if r.CommonFactorOracle > 0 {
			fmt.Fprintf(w, "%s: with each query's common factor told the best is %.4f; learned earns %.3f of it, the oracle, which isn't told, %.3f\n", r.World, r.CommonFactorOracle,
				r.Learned/r.CommonFactorOracle, r.Oracle/r.CommonFactorOracle)
		}
	}
	if len(shared) == 0 {
		return
	}
	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\nworld\tinstances\tqueries of one until 0.9\tof the oracle, query 1\t2\t5\t10\t20\t40\t")
	for _, r := range shared {
		fmt.Fprintf(t, "%s\t%d\t%d\t", r.World, r.Instances, r.QueriesToConverge)
		for _, i := range []int{1, 2, 5, 10, 20, 40} {
			fmt.Fprintf(t, "%.3f\t", r.Values[i-1])
		}
		fmt.Fprintln(t)
	}
	t.Flush()
}
