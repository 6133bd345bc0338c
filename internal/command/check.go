package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"lockflow/internal/config"
)

// checkCommand returns the command "check".
func checkCommand() command {
	return command{
		name:     "check",
		group:    groupFiles,
		summary:  "checks a configuration, or the regions of a fleet against each other",
		args:     "FILE | --fleet FLEET.toml",
		examples: []string{"lockflow check deploy/lockflow.toml", "lockflow check --fleet deploy/fleet.toml --json   # 0 none, 1 conflicts, 2 unusable input"},
		setup: func(set flags) func(context.Context, *Env, []string) error {
			asJSON := set.Bool("json", false, "prints what is wrong as JSON")
			fleetPath := set.String("fleet", "", "`FILE` that names regions; tells requests that they treat differently, and sums that pass")
			return func(_ context.Context, e *Env, args []string) error {
				if *fleetPath != "" && len(args) == 0 {
					return checkFleet(e, *fleetPath, *asJSON)
				}
				if len(args) != 1 || *fleetPath != "" {
					return usageError("check takes exactly one file, or --fleet FILE and no arguments")
				}
				return checkConfig(e, args[0], *asJSON)
			}
		},
	}
}

// checkConfig prints whether a configuration is valid, and all errors in it.
func checkConfig(e *Env, path string, asJSON bool) error {
	cfg, err := config.Load(path)
	var problems config.FieldErrors
	if err != nil && !errors.As(err, &problems) {
		problems = config.FieldErrors{{File: path, Text: err.Error()}}
	}
	if asJSON {
		list := []map[string]any{}
		for _, p := range problems {
			list = append(list, map[string]any{"file": p.File, "line": p.Line, "key": p.Key, "text": p.Text})
		}
		if err := json.NewEncoder(e.Out).Encode(list); err != nil {
			return err
		}
	} else if problems == nil {
		fmt.Fprintf(e.Out, "%s: fine: %d services, %d routes\n", path, len(cfg.Services), len(cfg.Routes))
	}
	if problems == nil {
		return nil
	}
	if !asJSON {
		for _, p := range problems {
			fmt.Fprintln(e.Err, p.Error())
		}
	}
	return errReported
}
