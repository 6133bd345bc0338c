package command

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"lockflow/internal/fleet"
	"lockflow/internal/manage"
)

// upgradeCommand returns the command "upgrade".
func upgradeCommand() command {
	return command{
		name:     "upgrade",
		group:    groupRunning,
		summary:  "has a new process take a running daemon's place, without a gap",
		args:     "--control PATH [--program PATH] [--within TIME]",
		examples: []string{"lockflow upgrade --control /run/lockflow/control.sock", "lockflow upgrade --control /run/lockflow/control.sock --program /usr/local/bin/lockflow-next"},
		setup: func(set flags) func(context.Context, *Env, []string) error {
			control := set.String("control", "", "`PATH` of the daemon's control socket")
			program := set.String("program", "", "absolute `PATH` of the new program; the one that runs if it is not given")
			timeout := set.Duration("within", 30*time.Second, "`TIME` in which all has to be done")
			return func(ctx context.Context, e *Env, args []string) error {
				isProgramValid := *program == "" || filepath.IsAbs(*program)
				if *control == "" || len(args) > 0 || !isProgramValid || *timeout <= 0 {
					return usageError("upgrade takes --control PATH, an absolute path for --program, --within above 0, and no arguments")
				}
				ctx, cancel := context.WithTimeout(ctx, *timeout)
				defer cancel()
				return upgradeDaemon(ctx, e, *control, *program)
			}
		},
	}
}

// upgradeDaemon upgrades a daemon, and returns once its successor serves. If program is empty, the daemon starts its current program.
func upgradeDaemon(ctx context.Context, e *Env, control, program string) error {
	m := fleet.Member{Name: control, Client: manage.Client{Path: control}}
	before, err := m.Client.Status(ctx)
	if err != nil {
		return err
	}
	if err := (&fleet.Upgrade{Program: program}).Do(ctx, m, before); err != nil {
		return err
	}
	now, err := m.Client.Status(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.Out, "process %d has taken the place of process %d\n", now.PID, before.PID)
	return nil
}

// statusCommand returns the command "status".
func statusCommand() command {
	return command{
		name:     "status",
		group:    groupRunning,
		summary:  "tells what a running daemon does",
		args:     "--control PATH [--json]",
		examples: []string{"lockflow status --control /run/lockflow/control.sock --json"},
		setup: func(set flags) func(context.Context, *Env, []string) error {
			control := set.String("control", "", "`PATH` of the daemon's control socket")
			var f fleetFlags
			set.BoolVar(&f.json, "json", false, "prints JSON")
			return func(ctx context.Context, e *Env, args []string) error {
				if *control == "" || len(args) > 0 {
					return usageError("status takes --control PATH and no arguments")
				}
				return f.status(ctx, e, []fleet.Member{{Name: *control, Client: manage.Client{Path: *control}}})
			}
		},
	}
}
