package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"lockflow/internal/fleet"
)

// drainTimeout is how long instances may drain before they are killed.
const drainTimeout = 20 * time.Second

// fleetFlags holds the flags of the command "fleet".
type fleetFlags struct {
	// The source of the members; exactly one of these is given, except to status of a single daemon.
	dir     string // directory of the instances that fleet run started
	sockets string // file with a path of a control socket per line
	file    string // fleet file: regions and their members

	config    string
	program   string
	host      string
	port      int
	instances int
	groupSize int           // group size that instances are told; 0 is instances
	timeout   time.Duration // within which a member must be ready
	json      bool
	rolloutFlags
}

// fleetCommand returns the command "fleet".
func fleetCommand() command {
	return command{
		name:    "fleet",
		group:   groupRunning,
		summary: "starts many instances on this machine, asks them, and has a change go over them",
		args:    "run|status|reload|upgrade|drain|serve [--dir DIR | --sockets FILE | --fleet FLEET.toml] [flags]",
		examples: []string{
			"lockflow fleet run --config deploy/lockflow.toml --instances 4 --dir /run/lockflow --port 8080",
			"lockflow fleet status --dir /run/lockflow",
			"lockflow fleet reload --dir /run/lockflow --config new.toml   # in stages; back to the old one where it does worse",
			"lockflow fleet reload --dir /run/lockflow --resume            # goes on where a coordinator ended",
			"lockflow fleet upgrade --dir /run/lockflow --program /usr/local/bin/lockflow-next",
			"lockflow fleet drain --sockets members.txt",
		},
		setup: func(set flags) func(context.Context, *Env, []string) error {
			var f fleetFlags
			set.StringVar(&f.dir, "dir", "", "`DIR` of the instances that fleet run keeps")
			set.StringVar(&f.sockets, "sockets", "", "`FILE` with the path of a control socket a line")
			set.StringVar(&f.file, "fleet", "", "`FLEET.toml` with regions and their members; reload: what they are to run")
			set.StringVar(&f.config, "config", "", "`FILE` of the configuration: run's, or reload's new one")
			set.StringVar(&f.program, "program", "", "upgrade: absolute `PATH` of the new program; what each runs if it is not given")
			set.StringVar(&f.host, "host", "127.0.0.1", "run: `ADDRESS` on which they listen")
			set.IntVar(&f.port, "port", 8080, "run: `N` of the first; the others follow; 0 is any")
			set.IntVar(&f.instances, "instances", 4, "run: `N` of them")
			set.IntVar(&f.groupSize, "told", 0, "run: `N` that they are told the group has, where it is another")
			set.DurationVar(&f.timeout, "within", 30*time.Second, "`TIME` in which an instance has to be ready, or to come back")
			f.addFlags(set)
			set.BoolVar(&f.json, "json", false, "prints JSON")
			return func(ctx context.Context, e *Env, args []string) error {
				if len(args) != 1 {
					return usageError("fleet takes exactly one of run, status, reload, upgrade, drain, serve")
				}
				if f.timeout <= 0 {
					return usageError("fleet: within: %v is not above 0", f.timeout)
				}
				if err := f.check(); err != nil {
					return err
				}
				if args[0] == "run" {
					return f.run(ctx, e)
				}
				return f.runOnMembers(ctx, e, args[0])
			}
		},
	}
}

// run starts a fleet, waits until ctx is done, and drains the fleet.
func (f *fleetFlags) run(ctx context.Context, e *Env) error {
	if f.config == "" || f.dir == "" || f.instances < 1 {
		return usageError("fleet run takes --config FILE, --dir DIR and --instances N of 1 or more")
	}
	program, err := executable()
	if err != nil {
		return err
	}
	r, err := fleet.Start(ctx, fleet.Options{
		Program:      program,
		Config:       f.config,
		Dir:          f.dir,
		Instances:    f.instances,
		GroupSize:    f.groupSize,
		Host:         f.host,
		Port:         f.port,
		StartTimeout: f.timeout,
	})
	if err != nil {
		return err
	}
	if err := f.status(ctx, e, r.Members); err != nil {
		return err
	}
	<-ctx.Done()
	fmt.Fprintln(e.Err, "the instances drain")
	return r.Stop(drainTimeout)
}

// runOnMembers runs an operation on all members.
func (f *fleetFlags) runOnMembers(ctx context.Context, e *Env, operation string) error {
	var members []fleet.Member
	var err error
	switch {
	case countSet(f.dir, f.sockets, f.file) != 1:
		return usageError("fleet %s takes exactly one of --dir DIR, --sockets FILE and --fleet FLEET.toml", operation)
	case f.file != "":
		return f.runOnRegions(ctx, e, operation)
	case f.dir != "":
		members, err = fleet.MembersInDirectory(f.dir)
	default:
		members, err = fleet.MembersInFile(f.sockets)
	}
	if err != nil {
		return err
	}
	switch operation {
	case "status":
		return f.status(ctx, e, members)
	case "drain", "serve":
		return f.setDrained(ctx, e, members, operation == "drain")
	case "reload":
		text, err := f.readConfig()
		if err != nil {
			return err
		}
		return f.startChange(ctx, e, operation, fleet.WithSettings(members, text), nil)
	case "upgrade":
		if f.program != "" && !filepath.IsAbs(f.program) {
			return usageError("fleet upgrade: program %q is no absolute path", f.program)
		}
		return f.startChange(ctx, e, operation, fleet.WithSettings(members, nil), nil)
	}
	return usageError("fleet: there is no %q: run, status, reload, upgrade, drain, serve", operation)
}

// readConfig reads and checks the new settings. It returns nil if no file is given: each member then reloads its own file.
func (f *fleetFlags) readConfig() ([]byte, error) {
	if f.config == "" {
		return nil, nil
	}
	text, err := os.ReadFile(f.config)
	if err != nil {
		return nil, fmt.Errorf("fleet reload: reading the new configuration: %w", err)
	}
	return text, fleet.CheckSettings(f.config, text)
}

// setDrained sets whether members are to be drained; with a state directory they stay so after a restart. It continues
// after a member that fails.
func (f *fleetFlags) setDrained(ctx context.Context, e *Env, members []fleet.Member, isDrained bool) error {
	hasFailed := false
	for _, m := range members {
		request := m.Client.Serve
		outcome := "serves"
		if isDrained {
			request = m.Client.DrainAndStay
			outcome = "drains"
		}
		status, err := request(ctx)
		if err != nil {
			hasFailed = true
			fmt.Fprintf(e.Err, "%s: %v\n", m.Name, err)
			continue
		}
		if isDrained && status.IsVolatile {
			outcome = "drains; without process.state it serves again where it is started again"
		}
		fmt.Fprintf(e.Out, "%s: %s\n", m.Name, outcome)
	}
	if hasFailed {
		return errReported
	}
	return nil
}
