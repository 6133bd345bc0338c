package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"lockflow/internal/desiredstate"
	"lockflow/internal/trials/measure"
)

// rolloutClients is how many clients send requests during a rollout.
const rolloutClients = 2

// measureRollout kills coordinators of staged changes at each write of the rollout log, and checks how others resume.
func measureRollout(ctx context.Context, e *Env, o measure.RolloutOptions, kinds string, asJSON bool) (err error) {
	o.Clients = rolloutClients
	o.Progress = e.Err
	for word := range strings.SplitSeq(kinds, ",") {
		kind := desiredstate.Kind(strings.TrimSpace(word))
		if kind != desiredstate.KindSettings && kind != desiredstate.KindProgram {
			return usageError("measure rollout: kinds: %q is neither %s nor %s", kind, desiredstate.KindSettings, desiredstate.KindProgram)
		}
		o.Kinds = append(o.Kinds, kind)
	}
	if o.Members < 2 || o.Members > 64 {
		return usageError("measure rollout: processes: %d is not from 2 to 64", o.Members)
	}
	if o.Program, err = executable(); err != nil {
		return err
	}
	if o.Dir, err = os.MkdirTemp("", "lockflow-"); err != nil {
		return fmt.Errorf("measure rollout: creating a temporary directory: %w", err)
	}
	report, err := measure.Rollout(ctx, o)
	if err != nil {
		return err
	}
	if err := printReport(e, report, asJSON, func(w io.Writer) { printRolloutTrial(w, report) }); err != nil {
		return err
	}
	return finishTrial(e, o.Dir, "nodes'", len(report.Wrong) > 0)
}

// printRolloutTrial prints the outcomes of all changes, and totals of what the coordinators did.
func printRolloutTrial(w io.Writer, r *measure.RolloutReport) {
	outcomes := make(map[string]int)
	for _, row := range r.Rows {
		outcomes[fmt.Sprintf("%s, %s: all %s", row.Kind, row.Recovery, row.State)]++
	}
	for _, outcome := range sortedKeys(outcomes) {
		fmt.Fprintf(w, "%5d  %s\n", outcomes[outcome], outcome)
	}
	for _, kind := range sortedKeys(r.Writes) {
		fmt.Fprintf(w, "%5d  writes of a change of %s\n", r.Writes[kind], kind)
	}
	fmt.Fprintf(w, "%5d  coordinators killed, %d claims, %d epochs owned, %d orders carried out or told again, %d of them restarts, %d begun\n",
		r.Killed, r.Claims, r.Owned, r.Orders, r.Restarts, r.StartedCommands)
	fmt.Fprintf(w, "%5d  requests, %d without an answer, %d with another one\n", r.Requests, r.Lost, r.Other)
	for _, violation := range r.Wrong {
		fmt.Fprintf(w, "WRONG: %s\n", violation)
	}
}

// sortedKeys returns the keys of a map in order.
func sortedKeys(m map[string]int) []string { return slices.Sorted(maps.Keys(m)) }
