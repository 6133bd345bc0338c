package command

import (
	"context"
	"errors"
	"flag"
	"log/slog"
	"math"
	"runtime"
	"runtime/debug"

	"martennotch/internal/config"
	"martennotch/internal/life"
	"martennotch/internal/node"
	"martennotch/internal/supervise"
)

const (
	collectAt  = 400 // per cent by which the heap may grow: memory is there, CPU is scarce
	memoryPart = 0.6 // of the memory limit that the heap may come to
)

func serveCommand() command {
	return command{name: "serve", does: "serves by a configuration; SIGHUP reads it again, SIGTERM drains",
		args: "[--config FILE] [--pid-file FILE]",
		examples: []string{"lockflow serve --config deploy/lockflow.toml", "LOCKFLOW_CONFIG=deploy/lockflow.toml lockflow",
			"lockflow serve --config /etc/lockflow/lockflow.toml --pid-file /run/lockflow/pid"},
		setup: func(set *flag.FlagSet) func(context.Context, *Env, []string) error {
			path := set.String("config", "", "`FILE` of the configuration; LOCKFLOW_CONFIG if it is not given")
			pid := set.String("pid-file", "", "`FILE` for the process id, which keeps a second daemon out")
			return func(ctx context.Context, e *Env, args []string) error {
				if *path == "" {
					*path = e.Getenv("LOCKFLOW_CONFIG")
				}
				if *path == "" || len(args) > 0 {
					return usage("serve takes one configuration: --config FILE, or LOCKFLOW_CONFIG")
				}
				return serveOwn(ctx, e, *path, *pid)
			}
		}}
}

// serveOwn serves by a file of our own form, and speaks with its supervisor.
func serveOwn(ctx context.Context, e *Env, path, pidFile string) error {
	load := func() (config.Config, error) { return config.Load(path) }
	cfg, err := load()
	if err != nil {
		return err
	}
	if pidFile != "" {
		pid, err := supervise.WritePID(pidFile)
		if err != nil {
			return err
		}
		defer pid.Close()
	}
	inherited, err := supervise.Inherited()
	if err != nil {
		return err
	}
	tune(cfg)
	n, err := node.NewInheriting(cfg, inherited)
	if err != nil {
		return err
	}
	d := &daemon{node: n, load: load, events: make(chan life.Event, 16)}
	return d.live(ctx, e.Hup)
}

// serveByEnvironment is what the program does without arguments.
func serveByEnvironment(ctx context.Context, e *Env) error {
	own, platform := e.Getenv("LOCKFLOW_CONFIG"), e.Getenv("NODE_CONFIG")
	switch {
	case own != "" && platform != "":
		return usage("LOCKFLOW_CONFIG and NODE_CONFIG both name a configuration")
	case own != "":
		return serveOwn(ctx, e, own, "")
	case platform == "":
		return errors.New("NODE_CONFIG names no configuration file")
	}
	return servePlatform(ctx, e, platform)
}

// servePlatform serves by the platform's configuration until ctx ends. At the start the
// environment goes before the file; once that was read anew it goes before the environment,
// and one that can't be used changes nothing.
func servePlatform(ctx context.Context, e *Env, path string) error {
	cfg, err := config.LoadPlatform(path)
	if err != nil {
		return err
	}
	for name, field := range map[string]*string{"NODE_LISTEN": &cfg.Listeners[0],
		"NODE_DISCOVERY": &cfg.Services[0].Source.Address} {
		if v := e.Getenv(name); v != "" {
			*field = v
		}
	}
	tune(cfg)
	n, err := node.New(cfg)
	if err != nil {
		return err
	}
	go func() {
		for range e.Hup {
			cfg, err := config.LoadPlatform(path)
			if err == nil {
				err = n.Reload(cfg)
			}
			if err != nil {
				slog.Error("reload: the old configuration stays", "err", err)
			}
		}
	}()
	return n.Run(ctx)
}

// tune sets the runtime to what the process may use.
func tune(cfg config.Config) {
	if cores := cfg.Process.Cores; cores > 0 || !cfg.Process.Shared {
		runtime.GOMAXPROCS(int(math.Max(1, math.Ceil(cores))))
	}
	debug.SetGCPercent(collectAt)
	if mb := cfg.Process.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(mb<<20)))
	}
}
