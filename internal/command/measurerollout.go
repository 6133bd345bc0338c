package command

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"lockflow/internal/desiredstate"
	"lockflow/internal/trials/measure"
)

// measureRollout kills coordinators of staged changes at each of their writes.
func measureRollout(ctx context.Context, e *Env, o measure.RolloutOptions, kinds string, asJSON bool) (err error) {
	o.Clients, o.Progress = 2, e.Err
	for word := range strings.SplitSeq(kinds, ",") {
		kind := desiredstate.Kind(strings.TrimSpace(word))
		if kind != desiredstate.KindSettings && kind != desiredstate.KindProgram {
			return usageError("measure rollout: kinds: %q is neither %s nor %s", kind, desiredstate.KindSettings, desiredstate.KindProgram)
		}
		o.Kinds = append(o.Kinds, kind)
	}
	if o.Members < 2 || o.Members > 64 {
		return usageError("measure rollout: processes: %d are none of 2 to 64", o.Members)
	}
	if o.Program, err = os.Executable(); err != nil {
		return fmt.Errorf("finding the program's own file: %w", err)
	}
	if o.Dir, err = os.MkdirTemp("", "lockflow-"); err != nil {
		return fmt.Errorf("measuring rollouts: %w", err)
	}
	r, err := measure.Rollout(ctx, o)
	if err != nil {
		return err
	}
	if asJSON {
		if err := json.NewEncoder(e.Out).Encode(r); err != nil {
			return err
		}
	} else {
		ends := make(map[string]int)
		for _, row := range r.Rows {
			ends[fmt.Sprintf("%s, %s: all %s", row.Kind, row.Recovery, row.State)]++
		}
		for _, k := range sorted(ends) {
			fmt.Fprintf(e.Out, "%5d  %s\n", ends[k], k)
		}
		for _, k := range sorted(r.Writes) {
			fmt.Fprintf(e.Out, "%5d  writes of a change of %s\n", r.Writes[k], k)
		}
		fmt.Fprintf(e.Out, "%5d  coordinators killed, %d claims, %d epochs owned, %d orders carried out or told again, %d of them restarts, %d begun\n",
			r.Killed, r.Claims, r.Owned, r.Orders, r.Restarts, r.StartedCommands)
		fmt.Fprintf(e.Out, "%5d  requests, %d without an answer, %d with another one\n", r.Requests, r.Lost, r.Other)
		for _, w := range r.Wrong {
			fmt.Fprintf(e.Out, "WRONG: %s\n", w)
		}
	}
	if len(r.Wrong) > 0 {
		fmt.Fprintf(e.Err, "the nodes' files are left in %s\n", o.Dir)
		return errReported
	}
	return os.RemoveAll(o.Dir)
}

func sorted(m map[string]int) []string { return slices.Sorted(maps.Keys(m)) }
