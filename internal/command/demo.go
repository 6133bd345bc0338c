package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"time"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testbench"
)

// demoCommand returns the command "demo".
func demoCommand() command {
	return command{
		name:     "demo",
		group:    groupTrials,
		summary:  "runs a node of two services between stand-in peers and stalls one of them",
		args:     "[--for TIME] [--seed N] [--descriptors N] [--json]",
		examples: []string{"lockflow demo", "lockflow demo --for 30s --descriptors 1024"},
		setup: func(set flags) func(context.Context, *Env, []string) error {
			d := &demo{}
			set.DurationVar(&d.duration, "for", 10*time.Second, "`TIME` that it lasts; the stall is its middle third")
			set.Uint64Var(&d.seed, "seed", 1, "`N` from which all chance comes")
			set.IntVar(&d.descriptors, "descriptors", 256, "`N` that the node may hold")
			set.BoolVar(&d.json, "json", false, "prints only the summary, as JSON")
			return func(ctx context.Context, e *Env, args []string) error {
				if len(args) > 0 || !d.isValid() {
					return usageError("demo takes --for from 300ms to 1h, --descriptors from 192 to 65536, and no arguments")
				}
				return d.run(ctx, e)
			}
		},
	}
}

// demo holds the flags of the command "demo".
type demo struct {
	duration    time.Duration
	seed        uint64
	descriptors int
	json        bool
}

// Limits of the flag --for of the demo.
const (
	minDemoTime = 300 * time.Millisecond
	maxDemoTime = time.Hour
)

// isValid reports whether the flags are in range.
func (d *demo) isValid() bool {
	if d.duration < minDemoTime || d.duration > maxDemoTime {
		return false
	}
	return d.descriptors >= minDescriptors && d.descriptors <= maxDescriptors
}

// phaseResult is the result of one phase, a third of the demo's duration.
type phaseResult struct {
	Name    string                  `json:"phase"`
	Results map[string]*fake.Result `json:"results"`
	P99     map[string]float64      `json:"p99_ms"`
}

// demoKinds are the kinds of calls, in the order in which they are printed.
var demoKinds = []string{"rosters", "documents"}

// run runs the three phases and prints the summary.
func (d *demo) run(ctx context.Context, e *Env) error {
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil))) // the printed tables report what logs would
	defer slog.SetDefault(old)
	bench, err := testbench.Start(testbench.WithDescriptors(d.descriptors), testbench.DemoServers(d.seed))
	if err != nil {
		return err
	}
	defer bench.Stop() //nolint:errcheck // the success path checks the error of its own Stop
	if err := bench.Ready(ctx); err != nil {
		return err
	}
	output := e.Out
	if d.json {
		output = io.Discard
	}
	fmt.Fprintf(output, "two services on %s, %d descriptors; the document servers stall in the middle third\n\n", bench.Node.Addr(), d.descriptors)
	fmt.Fprintf(output, "%-8s %-8s %-10s %7s %7s %8s %7s %6s %12s %12s\n", "time", "phase", "service", "calls/s", "served", "refused", "failed",
		"held", "descriptors", "bytes")
	startedAt := time.Now()
	var phases []phaseResult
	for i, name := range []string{"before", "stalled", "after"} {
		bench.Pools["documents"].Stall(i == 1)
		p := phaseResult{Name: name}
		p.Results = d.runPhase(ctx, bench, startedAt, name, uint64(i), output)
		p.P99 = make(map[string]float64)
		for k, r := range p.Results {
			p.P99[k] = float64(r.Quantile(0.99).Microseconds()) / 1000
		}
		phases = append(phases, p)
	}
	stopErr := bench.Stop()
	return d.printSummary(e, bench, phases, stopErr)
}

// runPhase sends the calls of a phase, and prints a line for each service every second.
func (d *demo) runPhase(ctx context.Context, bench *testbench.Bench, startedAt time.Time, name string, phaseIndex uint64, output io.Writer) map[string]*fake.Result {
	ctx, cancel := context.WithTimeout(ctx, d.duration/3)
	defer cancel()
	runs := []*fake.Run{
		fake.Clients{Addr: bench.Node.Addr(), Seed: d.seed + 10*phaseIndex, Call: testbench.RosterCall, Interval: 5 * time.Millisecond, Workers: 64}.Start(ctx),
		fake.Clients{Addr: bench.Node.Addr(), Seed: d.seed + 10*phaseIndex + 1, Call: testbench.DocumentCall, Interval: 10 * time.Millisecond, Workers: 256}.Start(ctx),
	}
	last := make(map[string]fake.Result)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for isRunning := true; isRunning; {
		select {
		case <-tick.C:
		case <-ctx.Done():
			isRunning = false
		}
		if !isRunning {
			break // the summary includes the calls of the last, incomplete second
		}
		now := make(map[string]fake.Result)
		for _, r := range runs {
			for k, v := range r.Snapshot() {
				now[k] = v
			}
		}
		for i, st := range bench.Node.Status() {
			k := demoKinds[len(demoKinds)-1-i] // Status sorts services by name, which is the reverse of demoKinds
			a, b := last[k], now[k]
			fmt.Fprintf(output, "%-8s %-8s %-10s %7d %7d %8d %7d %6d %6d of %-3d %12d\n", time.Since(startedAt).Round(100*time.Millisecond), name, k,
				b.Calls-a.Calls, b.Served-a.Served, b.Rejected-a.Rejected, b.Failed-a.Failed, st.Requests,
				st.Resources.Descriptors.Used, st.Resources.Descriptors.Guaranteed, st.Resources.BufferedBytes.Used)
		}
		last = now
	}
	all := make(map[string]*fake.Result)
	for _, r := range runs {
		for k, v := range r.Wait() {
			all[k] = v
		}
	}
	return all
}

// printSummary prints the results of all phases, and fails unless each request had exactly one final answer.
func (d *demo) printSummary(e *Env, bench *testbench.Bench, phases []phaseResult, stopErr error) error {
	isCorrect := stopErr == nil
	for _, p := range phases {
		for _, r := range p.Results {
			isCorrect = isCorrect && r.Lost+r.Wrong == 0 && r.Calls > 0
		}
	}
	counts := make(map[string]fake.Counts)
	for _, k := range demoKinds {
		counts[k] = bench.Pools[k].Executions.Counts()
		isCorrect = isCorrect && counts[k].DuplicateEffects == 0 && counts[k].MaxInFlight <= 1
	}
	if d.json {
		if err := json.NewEncoder(e.Out).Encode(map[string]any{"fine": isCorrect, "phases": phases, "servers": counts}); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(e.Out, "\n%-10s %-8s %7s %8s %9s %9s %8s %8s %6s %6s\n", "service", "phase", "calls", "served", "p50", "p99", "refused",
			"failed", "lost", "wrong")
		for _, k := range demoKinds {
			for _, p := range phases {
				if r := p.Results[k]; r != nil {
					fmt.Fprintf(e.Out, "%-10s %-8s %7d %7.1f%% %9s %9s %8d %8d %6d %6d\n", k, p.Name, r.Calls, 100*r.ServedFraction(),
						r.Quantile(0.5).Round(100*time.Microsecond), r.Quantile(0.99).Round(100*time.Microsecond), r.Rejected, r.Failed, r.Lost, r.Wrong)
				}
			}
			c := counts[k]
			fmt.Fprintf(e.Out, "%-10s servers: %d attempts, %d requests ran, %d more than once, %d effects twice\n", k, c.Attempts, c.Requests,
				c.Repeated, c.DuplicateEffects)
		}
	}
	if !isCorrect {
		fmt.Fprintln(e.Err, "not every request had exactly one final answer")
		return errReported
	}
	if !d.json {
		fmt.Fprintln(e.Out, "\nevery request had exactly one final answer")
	}
	return nil
}
