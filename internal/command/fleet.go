package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"lockflow/internal/fleet"
	"lockflow/internal/manage"
)

// drainWithin is what instances get to end in order before they are killed.
const drainWithin = 20 * time.Second

// fleetFlags are the flags of all that fleet does.
type fleetFlags struct {
	dir, sockets, file    string
	config, program, host string
	instances, told, port int
	within                time.Duration
	json                  bool
	rolloutFlags
}

func fleetCommand() command {
	return command{
		name: "fleet", group: running, does: "starts many instances on this machine, asks them, and has a change go over them",
		args: "run|status|reload|upgrade|drain|serve [--dir DIR | --sockets FILE | --fleet FLEET.toml] [flags]",
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
			set.IntVar(&f.told, "told", 0, "run: `N` that they are told the group has, where it is another")
			set.DurationVar(&f.within, "within", 30*time.Second, "`TIME` in which an instance has to be ready, or to come back")
			f.flags(set)
			set.BoolVar(&f.json, "json", false, "prints JSON")
			return func(ctx context.Context, e *Env, args []string) error {
				if len(args) != 1 {
					return usage("fleet takes one of run, status, reload, upgrade, drain, serve")
				}
				if f.within <= 0 {
					return usage("fleet: within: %v is off", f.within)
				}
				if err := f.check(); err != nil {
					return err
				}
				if args[0] == "run" {
					return f.run(ctx, e)
				}
				return f.over(ctx, e, args[0])
			}
		},
	}
}

// run runs a fleet until ctx ends.
func (f *fleetFlags) run(ctx context.Context, e *Env) error {
	if f.config == "" || f.dir == "" || f.instances < 1 {
		return usage("fleet run takes --config FILE, --dir DIR and --instances N")
	}
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("finding the program's own file: %w", err)
	}
	r, err := fleet.Start(ctx, fleet.Options{
		Program: program, Config: f.config, Dir: f.dir, Instances: f.instances, GroupSize: f.told,
		Host: f.host, Port: f.port, StartTimeout: f.within,
	})
	if err != nil {
		return err
	}
	if err := f.status(ctx, e, r.Members); err != nil {
		return err
	}
	<-ctx.Done()
	fmt.Fprintln(e.Err, "the instances drain")
	return r.Stop(drainWithin)
}

// over does something with all members.
func (f *fleetFlags) over(ctx context.Context, e *Env, what string) error {
	var members []fleet.Member
	var err error
	switch {
	case count(f.dir, f.sockets, f.file) != 1:
		return usage("fleet %s takes one of --dir DIR, --sockets FILE and --fleet FLEET.toml", what)
	case f.file != "":
		return f.overRegions(ctx, e, what)
	case f.dir != "":
		members, err = fleet.MembersInDirectory(f.dir)
	default:
		members, err = fleet.MembersInFile(f.sockets)
	}
	if err != nil {
		return err
	}
	switch what {
	case "status":
		return f.status(ctx, e, members)
	case "drain", "serve":
		return f.rest(ctx, e, members, what == "drain")
	case "reload":
		var text []byte
		if f.config != "" {
			if text, err = os.ReadFile(f.config); err != nil {
				return fmt.Errorf("fleet reload: %w", err)
			}
			if err := fleet.CheckSettings(f.config, text); err != nil {
				return err
			}
		}
		return f.change(ctx, e, what, fleet.WithSettings(members, text), nil)
	case "upgrade":
		if f.program != "" && !filepath.IsAbs(f.program) {
			return usage("fleet upgrade: program %q is no absolute path", f.program)
		}
		return f.change(ctx, e, what, fleet.WithSettings(members, nil), nil)
	}
	return usage("fleet: there is no %q: run, status, reload, upgrade, drain, serve", what)
}

// status prints what all members say; it fails where one says nothing or isn't ready.
func (f *fleetFlags) status(ctx context.Context, e *Env, members []fleet.Member) error {
	all := fleet.PollStatus(ctx, members)
	fine := true
	for _, a := range all {
		fine = fine && a.Status != nil && a.Status.IsAsDesired()
	}
	fleets := count(f.dir, f.sockets, f.file) > 0
	var change *fleet.Progress
	if fleets {
		change = f.progress(e)
	}
	if f.json {
		var v any = all
		if fleets {
			v = map[string]any{"members": all, "rollout": change}
		}
		if err := json.NewEncoder(e.Out).Encode(v); err != nil {
			return err
		}
	} else if printStatus(e.Out, all); change != nil {
		printProgress(e.Out, change)
	}
	if !fine {
		return errTold
	}
	return nil
}

func printStatus(w io.Writer, all []fleet.StatusReply) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "member\tpid\tlife\tgeneration\tlisten\tservers up\theld\tstreams\tdescriptors\tMB\tdistrusts")
	for _, a := range all {
		if a.Status == nil {
			fmt.Fprintf(t, "%s\t-\tno answer\t\t\t\t\t\t\t\t%s\n", a.Member, a.Error)
			continue
		}
		s := a.Status
		up, servers, held, streams := 0, 0, 0, 0
		for _, one := range s.Services {
			up, servers, held, streams = up+one.AvailableServers, servers+one.Servers, held+one.Requests, streams+one.OpenStreams
		}
		older := ""
		if len(s.RetiredServices) > 0 {
			older = fmt.Sprintf(" (+%d older)", len(s.RetiredServices))
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%d%s\t%s\t%d of %d\t%d\t%d\t%d\t%.1f\t%s\n", a.Member, s.PID, s.State, s.Generation, older,
			strings.Join(s.Listeners, " "), up, servers, held, streams, s.OpenDescriptors, float64(s.MemoryKB)/1024, strings.Join(s.DegradedConditions, "; "))
	}
	t.Flush()
}

// rest has all members end and stay drained, at once, also where they are kept or started again; or serve
// again.
func (f *fleetFlags) rest(ctx context.Context, e *Env, members []fleet.Member, drain bool) error {
	fine := true
	for _, m := range members {
		ask, does := m.Client.Serve, "serves"
		if drain {
			ask, does = m.Client.DrainAndStay, "drains"
		}
		s, err := ask(ctx)
		if err != nil {
			fine = false
			fmt.Fprintf(e.Err, "%s: %v\n", m.Name, err)
			continue
		}
		if drain && s.IsVolatile {
			does = "drains; without process.state it serves again where it is started again"
		}
		fmt.Fprintf(e.Out, "%s: %s\n", m.Name, does)
	}
	if !fine {
		return errTold
	}
	return nil
}

func upgradeCommand() command {
	return command{
		name: "upgrade", group: running, does: "has a new process take a running daemon's place, without a gap",
		args:     "--control PATH [--program PATH] [--within TIME]",
		examples: []string{"lockflow upgrade --control /run/lockflow/control.sock", "lockflow upgrade --control /run/lockflow/control.sock --program /usr/local/bin/lockflow-next"},
		setup: func(set flags) func(context.Context, *Env, []string) error {
			control := set.String("control", "", "`PATH` of the daemon's control socket")
			program := set.String("program", "", "absolute `PATH` of the new program; the one that runs if it is not given")
			within := set.Duration("within", 30*time.Second, "`TIME` in which all has to be done")
			return func(ctx context.Context, e *Env, args []string) error {
				if *control == "" || len(args) > 0 || *program != "" && !filepath.IsAbs(*program) || *within <= 0 {
					return usage("upgrade takes --control PATH, and as program an absolute path")
				}
				ctx, cancel := context.WithTimeout(ctx, *within)
				defer cancel()
				m := fleet.Member{Name: *control, Client: manage.Client{Path: *control}}
				before, err := m.Client.Status(ctx)
				if err != nil {
					return err
				}
				if err := (&fleet.Upgrade{Program: *program}).Do(ctx, m, before); err != nil {
					return err
				}
				now, err := m.Client.Status(ctx)
				if err != nil {
					return err
				}
				fmt.Fprintf(e.Out, "process %d has taken the place of process %d\n", now.PID, before.PID)
				return nil
			}
		},
	}
}

func statusCommand() command {
	return command{
		name: "status", group: running, does: "tells what a running daemon does",
		args:     "--control PATH [--json]",
		examples: []string{"lockflow status --control /run/lockflow/control.sock --json"},
		setup: func(set flags) func(context.Context, *Env, []string) error {
			control := set.String("control", "", "`PATH` of the daemon's control socket")
			var f fleetFlags
			set.BoolVar(&f.json, "json", false, "prints JSON")
			return func(ctx context.Context, e *Env, args []string) error {
				if *control == "" || len(args) > 0 {
					return usage("status takes --control PATH")
				}
				return f.status(ctx, e, []fleet.Member{{Name: *control, Client: manage.Client{Path: *control}}})
			}
		},
	}
}
