package command

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"

	"lockflow/internal/trials/measure"
)

// measureProxy compares the node with net/http/httputil.ReverseProxy at each number of connections.
func measureProxy(ctx context.Context, e *Env, o measure.ProxyOptions, connections string, asJSON bool) error {
	var err error
	if o.Connections, err = parseConnections(connections); err != nil {
		return err
	}
	if o.Program, err = executable(); err != nil {
		return err
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
			r.Ratio, r.Node.Rate, r.Proxy.Rate, r.Node.P50, r.Proxy.P50, r.Node.P99, r.Proxy.P99, r.MinRatio, r.MaxRatio, r.Node.Refused, r.Node.Lost)
	}
	return nil
}

// maxConnections limits each number in the flag --connections.
const maxConnections = 1000

// parseConnections reads the flag --connections.
func parseConnections(connections string) (all []int, err error) {
	for field := range strings.SplitSeq(connections, ",") {
		n, err := strconv.Atoi(field)
		if err != nil || n < 1 || n > maxConnections {
			return nil, usageError("measure: connections: %q is not a number from 1 to 1000", field)
		}
		all = append(all, n)
	}
	return all, nil
}

// measureServers compares HTTP/2 with HTTP/1.1 on connections to the app servers.
func measureServers(ctx context.Context, e *Env, o measure.ServersOptions, connections string, asJSON bool) (err error) {
	if o.Concurrency, err = parseConnections(connections); err != nil {
		return err
	}
	if o.Program, err = executable(); err != nil {
		return err
	}
	rows, err := measure.Servers(ctx, o)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(e.Out).Encode(rows)
	}
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "at once\tprotocol\tCPU us a request\tratio\tanswers a second\tp50 ms\tp99 ms\tp99 beside slow\tconnections\tmade\trefused\tlost\t")
	for _, r := range rows {
		for i, s := range []measure.ServersSide{r.HTTP1, r.HTTP2} {
			fmt.Fprintf(w, "%d\t%s\t%.0f\t%s\t%.0f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%d\t%d\t\n", r.Concurrency, []string{"HTTP/1.1", "HTTP/2"}[i], s.CPU,
				[]string{"", fmt.Sprintf("%.2f", r.Ratio)}[i], s.Rate, s.P50, s.P99, s.P99WithSlowClients, s.OpenConnections, s.Dials, s.Refused, s.Lost)
		}
	}
	return w.Flush()
}
