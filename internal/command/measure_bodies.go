package command

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"lockflow/internal/trials/measure"
)

// measureBodies compares downloads and uploads through the node with those through ReverseProxy.
func measureBodies(ctx context.Context, e *Env, o measure.BodiesOptions, sizes, directions string, asJSON bool) error {
	for field := range strings.SplitSeq(sizes, ",") {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil || n < 1 || n > 1<<40 {
			return usageError("measure bodies: sizes: %q is not a number from 1 to 2^40", field)
		}
		o.Sizes = append(o.Sizes, n)
	}
	list := strings.Split(directions, ",")
	for _, direction := range list {
		if direction != "down" && direction != "up" && direction != "both" {
			return usageError("measure bodies: ways: %q is not one of down, up, both", direction)
		}
	}
	if o.Workers < 1 || o.Workers > 800 || o.MemoryMB < 16 {
		return usageError("measure bodies takes --workers from 1 to 800 and --memory of 16 or more")
	}
	var err error
	if o.Program, err = executable(); err != nil {
		return err
	}
	rows, err := measure.Bodies(ctx, o, list)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(e.Out).Encode(rows)
	}
	fmt.Fprintf(e.Out, "%12s %-5s  %17s  %17s  %17s  %s\n", "", "", "MB a second", "CPU ms a MB", "most MiB", "node: whole, not whole, refused")
	fmt.Fprintf(e.Out, "%12s %-5s  %8s %8s  %8s %8s  %8s %8s\n", "bytes", "way", "node", "proxy", "node", "proxy", "node", "proxy")
	for _, r := range rows {
		fmt.Fprintf(e.Out, "%12d %-5s  %8.0f %8.0f  %8.2f %8.2f  %8.1f %8.1f  %d, %d, %d %s\n", r.Size, r.Direction, r.Node.MBs, r.Proxy.MBs, r.Node.CPU, r.Proxy.CPU,
			r.Node.Memory, r.Proxy.Memory, r.Node.Bodies, r.Node.Incomplete, r.Node.Refused, r.Node.FirstError)
	}
	return nil
}
