package command

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"lockflow/internal/config"
)

// planCommand returns the command "plan".
func planCommand() command {
	return command{
		name:    "plan",
		group:   groupFiles,
		summary: "tells what a change from one configuration, or fleet file, to another brings",
		args:    "[--fleet] OLD NEW [--json]",
		examples: []string{
			"lockflow plan /etc/lockflow/lockflow.toml new.toml",
			"lockflow plan --fleet old/fleet.toml new/fleet.toml --json   # 0 none, 1 conflicts, 2 unusable input",
		},
		setup: func(set flags) func(context.Context, *Env, []string) error {
			asJSON := set.Bool("json", false, "prints it as JSON")
			isFleet := set.Bool("fleet", false, "the files name regions; tells the order in which these may change, and conflicts on the way")
			return func(_ context.Context, e *Env, args []string) error {
				if len(args) != 2 {
					return usageError("plan takes exactly two files")
				}
				if *isFleet {
					return planFleet(e, args[0], args[1], *asJSON)
				}
				return printPlan(e, args[0], args[1], *asJSON)
			}
		},
	}
}

// printPlan prints the changes between two configurations. It fails if a reload would be rejected.
func printPlan(e *Env, oldPath, newPath string, asJSON bool) error {
	old, err := config.Load(oldPath)
	if err != nil {
		return err
	}
	new, err := config.Load(newPath)
	if err != nil {
		return err
	}
	changes := config.Compare(old, new)
	if asJSON {
		if changes == nil {
			changes = config.Plan{}
		}
		if err := json.NewEncoder(e.Out).Encode(changes); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
		for _, c := range changes {
			fmt.Fprintf(w, "%s\t%s\t%s\n", c.Effect, c.What, formatValues(c))
		}
		if len(changes) == 0 {
			fmt.Fprintln(w, "nothing changes")
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	if n := len(changes.Restarts()); n > 0 {
		fmt.Fprintf(e.Err, "%d changes need a restart: a reload would be refused\n", n)
		return errReported
	}
	return nil
}

// formatValues formats the old and new value of a change.
func formatValues(c config.Change) string {
	if c.From == "" && c.To == "" {
		return ""
	}
	return c.From + " -> " + c.To
}
