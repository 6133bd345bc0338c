package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"lockflow/internal/fleet"
)

// status prints the status of all members, and the progress of the newest change. It fails if a member does not answer
// or is not in its desired state.
func (f *fleetFlags) status(ctx context.Context, e *Env, members []fleet.Member) error {
	all := fleet.PollStatus(ctx, members)
	isAsDesired := true
	for _, reply := range all {
		isAsDesired = isAsDesired && reply.Status != nil && reply.Status.IsAsDesired()
	}
	isFleet := countSet(f.dir, f.sockets, f.file) > 0
	var change *fleet.Progress
	if isFleet {
		change = f.readProgress(e)
	}
	if f.json {
		var value any = all
		if isFleet {
			value = map[string]any{"members": all, "rollout": change}
		}
		if err := json.NewEncoder(e.Out).Encode(value); err != nil {
			return err
		}
	} else {
		printStatus(e.Out, all)
		if change != nil {
			printProgress(e.Out, change)
		}
	}
	if !isAsDesired {
		return errReported
	}
	return nil
}

// printStatus prints a line for each member.
func printStatus(w io.Writer, all []fleet.StatusReply) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "member\tpid\tlife\tgeneration\tlisten\tservers up\theld\tstreams\tdescriptors\tMB\tdistrusts")
	for _, reply := range all {
		if reply.Status == nil {
			fmt.Fprintf(t, "%s\t-\tno answer\t\t\t\t\t\t\t\t%s\n", reply.Member, reply.Error)
			continue
		}
		s := reply.Status
		available, servers, requests, streams := 0, 0, 0, 0
		for _, service := range s.Services {
			available += service.AvailableServers
			servers += service.Servers
			requests += service.Requests
			streams += service.OpenStreams
		}
		retired := ""
		if len(s.RetiredServices) > 0 {
			retired = fmt.Sprintf(" (+%d older)", len(s.RetiredServices))
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%d%s\t%s\t%d of %d\t%d\t%d\t%d\t%.1f\t%s\n", reply.Member, s.PID, s.State, s.Generation, retired,
			strings.Join(s.Listeners, " "), available, servers, requests, streams, s.OpenDescriptors, float64(s.MemoryKB)/1024, strings.Join(s.DegradedConditions, "; "))
	}
	t.Flush()
}
