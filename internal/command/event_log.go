package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"lockflow/internal/eventlog"
)

// eventLogCommand returns the command "tally".
func eventLogCommand() command {
	return command{
		name:    "tally",
		group:   groupTrials,
		summary: "adds up what the instances of a fleet wrote of themselves (LOCKFLOW_TALLY=1)",
		args:    "[--aim TIME] [--servers N] [--json] LOG...",
		examples: []string{
			"LOCKFLOW_TALLY=1 lockflow 2>n0.log", "lockflow tally --aim 2s logs/n*.log",
			"lockflow tally --json logs/n*.log | jq '.servers[0]'",
		},
		setup: func(set flags) func(context.Context, *Env, []string) error {
			objective := set.Duration("aim", 0, "`TIME` within which a served request is in time; any, if it is not given")
			maxServers := set.Int("servers", 10, "`N` servers shown, the slowest first")
			asJSON := set.Bool("json", false, "prints all of it as JSON")
			return func(ctx context.Context, e *Env, args []string) error {
				if len(args) == 0 || *objective < 0 || *maxServers < 0 {
					return usageError("tally takes at least one log, each of one instance, and no negative flags; see lockflow tally --help")
				}
				summer := eventlog.Aggregator{LatencyObjectiveMS: float64(*objective) / float64(time.Millisecond)}
				for _, path := range args {
					if err := readEventLog(&summer, path); err != nil {
						return err
					}
					if ctx.Err() != nil {
						return ctx.Err()
					}
				}
				s := summer.Sum()
				if len(s.Seconds) == 0 {
					return fmt.Errorf("tally: no event log lines in %d logs; an instance writes them if LOCKFLOW_TALLY=1 is set", len(args))
				}
				if *asJSON {
					return json.NewEncoder(e.Out).Encode(s)
				}
				printEventLog(e.Out, &s, *maxServers)
				return nil
			}
		},
	}
}

// readEventLog adds the event log of one instance, whose name is the base name of the file without ".log".
func readEventLog(summer *eventlog.Aggregator, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("tally: %w", err)
	}
	defer f.Close() //nolint:errcheck // only read
	if err := summer.Read(strings.TrimSuffix(filepath.Base(path), ".log"), f); err != nil {
		return fmt.Errorf("tally: %s: %w", path, err)
	}
	return nil
}

// rejectionCauses are the causes of rejections that printEventLog prints, in the order of their columns.
var rejectionCauses = []string{"no_turn", "no_further", "yields", "over_store", "by_chance", "over_ceiling", "too_late"}

// printEventLog prints the sums by second, by server and by plan. maxServers limits the rows of servers.
func printEventLog(w io.Writer, s *eventlog.Sum, maxServers int) {
	fmt.Fprintf(w, "%d instances; %d lines of theirs can't be read\n\n", s.Instances, s.Skipped)
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "s\tserved\tin time\trefused\tfailed\t%s\tattempts\tturned away\ttimed out\tno connection\treset\terror\tdialed\tyoung\tms\tbound\tout\theld\tconns\tup\t\n",
		strings.Join(rejectionCauses, "\t"))
	for _, r := range s.Seconds {
		n := 0
		for _, k := range r.Attempts {
			n += k
		}
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t", r.Second, r.Requests["served"], r.InTime, r.Requests["refused"], r.Requests["failed"])
		for _, why := range rejectionCauses {
			fmt.Fprintf(t, "%d\t", r.Requests[why])
		}
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", n, r.Attempts["turned_away"], r.Attempts["timed_out"],
			r.Attempts["connect_failed"], r.Attempts["reset"], r.Attempts["error"], r.NewConnections, r.AtStartingServers, r.MeanAttemptMS, r.ConcurrencyLimit, r.AttemptsInFlight, r.AcceptedRequests, r.IdleConnections, r.AvailableServers)
	}
	t.Flush()
	fmt.Fprintln(w)
	fmt.Fprintln(t, "server\tattempts\tgood\tinstances\tms\ttold ms\ttold util\tmost out\tfirst at s\t")
	for _, r := range s.Servers[:min(maxServers, len(s.Servers))] {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.0f\t%.0f\t%.2f\t%d\t%d\t\n", r.Server, r.Attempts, r.Reasons["ok"], r.Instances, r.MeanAttemptMS, r.MeanReportedMS, r.MeanUtilization, r.PeakInFlight, r.FirstSecond)
	}
	t.Flush()
	if len(s.Plans) == 0 {
		return
	}
	fmt.Fprintln(w)
	fmt.Fprintln(t, "plan\tcustomers\ttries\tsent inside\tsent beyond\trefused with room\trefused without\t")
	for _, p := range s.Plans {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t\n", p.Plan, p.Customers, p.Requests, p.SentUnderQuota, p.SentOverQuota, p.RejectedUnderQuota, p.RejectedOverQuota)
	}
	t.Flush()
}
