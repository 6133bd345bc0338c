package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"lockflow/internal/trials/versionskew"
)

// Limits and parameters of measure upgrade --previous.
const (
	maxSkewRounds   = 50
	skewTimeout     = 30 * time.Minute
	skewClients     = 8
	skewRequests    = 1000 // default number of answered requests between two upgrades
	maxSkewRequests = 1_000_000
)

// measureSkew upgrades between another build and this one under load, in both directions.
func measureSkew(ctx context.Context, e *Env, o versionskew.Options, asJSON bool) (err error) {
	if o.Rounds > maxSkewRounds || o.Requests < 1 || o.Requests > maxSkewRequests {
		return usageError("measure upgrade --previous takes --rounds from 1 to %d and --requests from 1 to %d", maxSkewRounds, maxSkewRequests)
	}
	if o.Previous, err = filepath.Abs(o.Previous); err != nil {
		return fmt.Errorf("making the path of the previous build absolute: %w", err)
	}
	if info, err := os.Stat(o.Previous); err != nil || info.IsDir() {
		return usageError("measure upgrade: --previous %s is missing or a directory, not a program", o.Previous)
	}
	if o.Current, err = executable(); err != nil {
		return err
	}
	if o.Dir, err = os.MkdirTemp("", "lockflow-"); err != nil {
		return fmt.Errorf("measure upgrade: creating a temporary directory: %w", err)
	}
	o.Env = os.Environ()
	o.Clients = skewClients
	o.Progress = e.Err
	ctx, cancel := context.WithTimeout(ctx, skewTimeout)
	defer cancel()
	report, err := versionskew.Run(ctx, o)
	if err != nil {
		_, _ = fmt.Fprintf(e.Err, "the daemon's files are left in %s\n", o.Dir)
		return err
	}
	if asJSON {
		err = json.NewEncoder(e.Out).Encode(report)
	} else {
		err = report.Print(e.Out)
	}
	if err != nil {
		return err
	}
	return finishTrial(e, o.Dir, "daemon's", len(report.Violations) > 0)
}
