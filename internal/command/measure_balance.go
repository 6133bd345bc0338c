package command

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"lockflow/internal/simulation/balancesim"
)

// minBalanceTime is the shortest simulation in which the fault, which starts after 10 s, has an effect.
const minBalanceTime = 12 * time.Second

// measureBalance simulates load balancing policies at each load, in virtual time.
func measureBalance(ctx context.Context, e *Env, o balancesim.Options, loads string, asJSON bool) error {
	if o.Duration < minBalanceTime {
		o.Duration = time.Minute
	}
	var all []balancesim.Report
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "load\tservers\tpolicy\tserved\tfailed\trefused\tp50 ms\tp99 ms\tfurther attempts\t")
	for field := range strings.SplitSeq(loads, ",") {
		load, err := strconv.ParseFloat(field, 64)
		if err != nil || !(load > 0 && load <= 2) {
			return usageError("measure balance: loads: %q is not a number above 0 and up to 2", field)
		}
		o.Load = load
		for _, c := range balancesim.Cases {
			for _, p := range balancesim.Policies {
				r, err := balancesim.Run(c, p, o)
				if err != nil {
					return err
				}
				all = append(all, r)
				fmt.Fprintf(w, "%.2f\t%s\t%s\t%.4f\t%.4f\t%.4f\t%.0f\t%.0f\t%.3f\t\n", load, c.Name, p, r.Served, r.Failed, r.Refused, r.P50, r.P99, r.RetriesPerCall)
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			fmt.Fprintf(e.Err, "played at %.2f: %s\n", load, c.Name)
		}
	}
	if asJSON {
		return json.NewEncoder(e.Out).Encode(all)
	}
	return w.Flush()
}
