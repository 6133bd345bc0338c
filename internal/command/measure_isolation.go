package command

import (
	"context"
	"encoding/json"
	"fmt"

	"lockflow/internal/trials/measure"
)

// measureIsolation measures how a stall of one pool's servers affects the service of the other pool.
func measureIsolation(ctx context.Context, e *Env, o measure.IsolationOptions, asJSON bool) error {
	got, err := measure.RunIsolation(ctx, o)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(e.Out).Encode(got)
	}
	fmt.Fprintf(e.Out, "rosters beside %d clients of the documents, %d descriptors, medians of %d pairs\n\n", o.DocumentClients, o.Descriptors, o.Rounds)
	fmt.Fprintf(e.Out, "%-22s %8s %9s %9s %6s\n", "documents", "served", "p50 ms", "p99 ms", "lost")
	rows := []struct {
		name   string
		served measure.Served
	}{{"answer", got.Calm}, {"stalled", got.Stalled}}
	for _, r := range rows {
		fmt.Fprintf(e.Out, "%-22s %8.4f %9.2f %9.2f %6d\n", r.name, r.served.Share, r.served.P50, r.served.P99, r.served.Lost)
	}
	fmt.Fprintf(e.Out, "\np99 stalled over answering: %.3f\n", got.P99Ratio)
	for _, p := range got.Parts {
		fmt.Fprintln(e.Out, p)
	}
	return nil
}
