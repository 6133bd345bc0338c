package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"time"

	"martennotch/internal/measure"
)

func measureCommand() command {
	return command{name: "measure", does: "repeats a measurement in which two runs are taken in turn",
		args: "isolation|proxy [--rounds N] [--for TIME] [--descriptors N] [--connections N,N...] [--json]",
		examples: []string{"lockflow measure isolation --descriptors 256    # one pool stalled, the other's service",
			"lockflow measure proxy --rounds 5               # beside net/http/httputil.ReverseProxy"},
		setup: func(set *flag.FlagSet) func(context.Context, *Env, []string) error {
			rounds := set.Int("rounds", 3, "`N` pairs of runs")
			lasts := set.Duration("for", 4*time.Second, "`TIME` of each run")
			descriptors := set.Int("descriptors", 256, "isolation: `N` that the node may hold")
			crowd := set.Int("crowd", 400, "isolation: `N` clients of the pool that stalls")
			connections := set.String("connections", "1,8,64,256", "proxy: `N,N...` of clients")
			serve := set.String("serve", "", "proxy: be the proxy over `ADDRESS,ADDRESS...` (used by the measurement itself)")
			asJSON := set.Bool("json", false, "prints the figures as JSON")
			return func(ctx context.Context, e *Env, args []string) error {
				if len(args) != 1 {
					return usage("measure takes one of isolation, proxy")
				}
				what := args[0]
				if *rounds < 1 || *lasts < 100*time.Millisecond ||
					*crowd < 1 || *crowd > 10000 || *descriptors < 192 || *descriptors > 1<<16 {
					return usage("measure %s: its flags are off; see lockflow measure --help", what)
				}
				old := slog.Default()
				slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
				defer slog.SetDefault(old)
				switch {
				case what == "proxy" && *serve != "":
					return measure.ServeProxy(ctx, strings.Split(*serve, ","), e.Err)
				case what == "proxy":
					return measureProxy(ctx, e, *connections, *rounds, *lasts, *asJSON)
				case what == "isolation":
					return measureIsolation(ctx, e, measure.IsolationOptions{Descriptors: *descriptors, Rounds: *rounds, Lasts: *lasts, Crowd: *crowd,
						Progress: e.Err}, *asJSON)
				}
				return usage("there is no measurement %q: isolation, proxy", what)
			}
		}}
}

func measureProxy(ctx context.Context, e *Env, connections string, rounds int, lasts time.Duration, asJSON bool) error {
	o := measure.ProxyOptions{Rounds: rounds, Lasts: lasts, Progress: e.Err}
	for field := range strings.SplitSeq(connections, ",") {
		n, err := strconv.Atoi(field)
		if err != nil || n < 1 || n > 1000 {
			return usage("connections: %q is none of 1 to 1000", field)
		}
		o.Connections = append(o.Connections, n)
	}
	var err error
	if o.Program, err = os.Executable(); err != nil {
		return fmt.Errorf("finding the program's own file: %w", err)
	}
	rows, err := measure.Proxy(ctx, o)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(e.Out).Encode(rows)
	}
	fmt.Fprintf(e.Out, "%11s  %21s  %17s  %17s  %17s  %s\n", "", "CPU us a request", "answers a second", "p50 ms", "p99 ms", "")
	fmt.Fprintf(e.Out, "%11s  %6s %6s %7s  %8s %8s  %8s %8s  %8s %8s  %s\n", "connections", "node", "proxy", "ratio", "node", "proxy", "node",
		"proxy", "node", "proxy", "ratio from-to, node refused, lost")
	for _, r := range rows {
		fmt.Fprintf(e.Out, "%11d  %6.0f %6.0f %7.2f  %8.0f %8.0f  %8.2f %8.2f  %8.2f %8.2f  %.2f-%.2f, %d, %d\n", r.Connections, r.Node.CPU, r.Proxy.CPU,
			r.Ratio, r.Node.Rate, r.Proxy.Rate, r.Node.P50, r.Proxy.P50, r.Node.P99, r.Proxy.P99, r.Least, r.Most, r.Node.Refused, r.Node.Lost)
	}
	return nil
}

func measureIsolation(ctx context.Context, e *Env, o measure.IsolationOptions, asJSON bool) error {
	got, err := measure.MeasureIsolation(ctx, o)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(e.Out).Encode(got)
	}
	fmt.Fprintf(e.Out, "rosters beside %d clients of the documents, %d descriptors, medians of %d pairs\n\n", o.Crowd, o.Descriptors, o.Rounds)
	fmt.Fprintf(e.Out, "%-22s %8s %9s %9s %6s\n", "documents", "served", "p50 ms", "p99 ms", "lost")
	for _, r := range []struct {
		name string
		s    measure.Served
	}{{"answer", got.Calm}, {"stalled", got.Stalled}} {
		fmt.Fprintf(e.Out, "%-22s %8.4f %9.2f %9.2f %6d\n", r.name, r.s.Share, r.s.P50, r.s.P99, r.s.Lost)
	}
	fmt.Fprintf(e.Out, "\np99 stalled over answering: %.3f\n", got.P99Ratio)
	for _, p := range got.Parts {
		fmt.Fprintln(e.Out, p)
	}
	return nil
}
