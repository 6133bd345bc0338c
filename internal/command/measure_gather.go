package command

import (
	"context"
	"encoding/json"
	"fmt"

	"lockflow/internal/trials/measure"
)

// gatherWorkers is how many queries run concurrently.
const gatherWorkers = 8

// measureGather compares scatter-gather queries with the same calls made by the client.
func measureGather(ctx context.Context, e *Env, o measure.GatherOptions, asJSON bool) (err error) {
	o.Parts = []int{1, 3, 5, 16}
	o.Workers = gatherWorkers
	o.Progress = e.Err
	if o.Program, err = executable(); err != nil {
		return err
	}
	rows, err := measure.Gather(ctx, o)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(e.Out).Encode(rows)
	}
	fmt.Fprintf(e.Out, "%5s  %12s %12s %12s  %s\n", "parts", "us a query", "us plainly", "us a part", "ratio from-to, p50 ms, not whole")
	for _, r := range rows {
		fmt.Fprintf(e.Out, "%5d  %12.0f %12.0f %12.0f  %.2f %.2f-%.2f, %.2f, %d\n", r.Parts, r.Query, r.Plain, r.Part, r.Ratio, r.MinRatio, r.MaxRatio, r.P50, r.Failed)
	}
	return nil
}
