package measure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testbench"
)

// IsolationOptions are the options of RunIsolation.
type IsolationOptions struct {
	Descriptors     int
	Rounds          int           // pairs of runs
	Duration        time.Duration // of one run
	DocumentClients int           // clients of the documents service
	Progress        io.Writer
}

// Isolation is the result of the rosters service while the servers of the documents service answered, and while they
// were stalled.
type Isolation struct {
	Descriptors int      `json:"descriptors"`
	Calm        Served   `json:"calm"`
	Stalled     Served   `json:"stalled"`
	P99Ratio    float64  `json:"p99_ratio"` // median of the pairs' ratios, stalled over calm
	Parts       []string `json:"parts"`     // resource usage of each service in the last stalled run
}

// Served holds the figures of a service in one run, or the medians over the rounds.
type Served struct {
	Share float64 `json:"share"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Lost  int     `json:"lost"` // sum over all rounds
}

// RunIsolation sends a steady stream of roster calls concurrently with many document clients. Runs with answering and
// with stalled document servers alternate.
func RunIsolation(ctx context.Context, o IsolationOptions) (Isolation, error) {
	out := Isolation{Descriptors: o.Descriptors}
	var calm, stalled []Served
	var ratios []float64
	for round := range o.Rounds {
		var pair [2]Served
		for i, stall := range []bool{false, true} {
			s, parts, err := stalledRun(ctx, o, stall, uint64(round))
			if err != nil {
				return out, err
			}
			if pair[i] = s; stall {
				out.Parts = parts
			}
		}
		calm, stalled, ratios = append(calm, pair[0]), append(stalled, pair[1]), append(ratios, pair[1].P99/pair[0].P99)
		fmt.Fprintf(o.Progress, "%d descriptors, round %d of %d: calm and stalled: served share %.4f and %.4f, p99 %.1f and %.1f ms\n", o.Descriptors, round+1, o.Rounds,
			pair[0].Share, pair[1].Share, pair[0].P99, pair[1].P99)
	}
	out.Calm, out.Stalled, out.P99Ratio = medianServed(calm), medianServed(stalled), median(ratios, func(v float64) float64 { return v })
	return out, nil
}

func medianServed(all []Served) Served {
	m := Served{
		Share: median(all, func(s Served) float64 { return s.Share }), P50: median(all, func(s Served) float64 { return s.P50 }),
		P99: median(all, func(s Served) float64 { return s.P99 }),
	}
	for _, s := range all {
		m.Lost += s.Lost
	}
	return m
}

func stalledRun(ctx context.Context, o IsolationOptions, stall bool, seed uint64) (s Served, parts []string, err error) {
	l, err := testbench.Start(testbench.WithLongDeadlines(o.Descriptors), testbench.DemoServers(seed))
	if err != nil {
		return s, nil, err
	}
	defer l.Stop() //nolint:errcheck // the measurement is complete
	if err := l.Ready(ctx); err != nil {
		return s, nil, err
	}
	l.Pools["documents"].Stall(stall)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	documents := fake.Clients{Addr: l.Node.Addr(), Seed: seed, Workers: o.DocumentClients, Call: func(rng *rand.Rand) fake.Call {
		time.Sleep(time.Duration(300+rng.IntN(400)) * time.Millisecond) // a user's think time, or the pause after a rejection
		c := testbench.DocumentCall(rng)
		c.Deadline = 20 * time.Second
		return c
	}}.Start(ctx)
	time.Sleep(2 * time.Second) // until all document clients have requests in flight
	rosterCtx, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	rosters := fake.Clients{Addr: l.Node.Addr(), Seed: seed + 50, Call: testbench.RosterCall, Interval: 5 * time.Millisecond, Workers: 32}.Start(rosterCtx)
	r := rosters.Wait()["rosters"]
	for _, st := range l.Node.Status() {
		parts = append(parts, fmt.Sprintf("%s: held %d of %d guaranteed, %d in all; connections to servers %d of %d; %.1f MiB; module %.4f s/s; %d turned away",
			st.Name, st.Resources.Requests.Used, st.Resources.Requests.Guaranteed, st.Resources.Requests.Total, st.Resources.Descriptors.Used, st.Resources.Descriptors.Guaranteed,
			float64(st.Resources.BufferedBytes.Used)/(1<<20), st.Resources.ModuleTime, st.Resources.Requests.Denied))
	}
	cancel()
	l.Pools["documents"].Stall(false)
	documents.Wait()
	if r == nil {
		return s, nil, ctx.Err()
	}
	return Served{Share: r.ServedFraction(), P50: ms(r.Quantile(0.5)), P99: ms(r.Quantile(0.99)), Lost: r.Lost + r.Wrong}, parts, nil
}
