package command

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"path/filepath"
	"runtime"
	"runtime/debug"

	"lockflow/internal/config"
	"lockflow/internal/daemon"
	"lockflow/internal/node"
)

const (
	gcPercent    = 400 // for debug.SetGCPercent; above the default of 100, as memory is more plentiful than CPU time
	heapFraction = 0.6 // part of the process's memory that is the Go runtime's memory limit
)

// eventLogVariable names the environment variable that enables event logs if it is not empty.
const eventLogVariable = "LOCKFLOW_TALLY"

// serveCommand returns the command "serve".
func serveCommand() command {
	return command{
		name:    "serve",
		group:   groupRunning,
		summary: "serves by a configuration; SIGHUP reads it again, SIGUSR2 upgrades, SIGTERM drains",
		args:    "[--config FILE] [--pid-file FILE] [--listen ADDRESS] [--instance N --instances N] [--control PATH] [--state DIR]",
		examples: []string{
			"lockflow serve --config deploy/lockflow.toml", "LOCKFLOW_CONFIG=deploy/lockflow.toml lockflow",
			"lockflow serve --config /etc/lockflow/lockflow.toml --pid-file /run/lockflow/pid",
			"lockflow serve --config lockflow.toml --listen 127.0.0.1:8081 --instances 4 --instance 1 --control /run/lockflow/1.sock",
		},
		setup: func(set flags) func(context.Context, *Env, []string) error {
			path := set.String("config", "", "`FILE` of the configuration; LOCKFLOW_CONFIG if it is not given")
			pid := set.String("pid-file", "", "`FILE` for the process id, which keeps a second daemon out")
			var o config.Overrides
			set.StringVar(&o.Listen, "listen", "", "`ADDRESS` in place of the file's listeners")
			set.StringVar(&o.ControlSocket, "control", "", "`PATH` of the control socket in place of process.control")
			set.StringVar(&o.StateDir, "state", "", "`DIR` of the state in place of process.state")
			set.IntVar(&o.Instances, "instances", 0, "`N` in the group, in place of process.instances")
			set.IntVar(&o.Instance, "instance", 0, "`N` of this one, from 0; with --instances")
			return func(ctx context.Context, e *Env, args []string) error {
				if *path == "" {
					*path = e.Getenv("LOCKFLOW_CONFIG")
				}
				if *path == "" || len(args) > 0 {
					return usageError("serve takes exactly one configuration, by --config FILE or LOCKFLOW_CONFIG, and no arguments")
				}
				if err := o.Check(); err != nil {
					return usageError("serve: %v", err)
				}
				return serveFile(ctx, e, *path, *pid, o)
			}
		},
	}
}

// serveFile runs a daemon with a TOML configuration.
func serveFile(ctx context.Context, e *Env, path, pidFile string, o config.Overrides) error {
	program, err := executable()
	if err != nil {
		return err
	}
	if path, err = filepath.Abs(path); err != nil {
		return fmt.Errorf("making the path of the configuration absolute: %w", err)
	}
	override := func(cfg config.Config, err error) (config.Config, error) {
		if err == nil {
			cfg.Process.EventLog = e.Getenv(eventLogVariable) != ""
			err = o.Apply(&cfg)
		}
		return cfg, err
	}
	return daemon.Run(ctx, daemon.Options{
		LoadConfig:  func() (config.Config, error) { return override(config.Load(path)) },
		ParseConfig: func(text []byte) (config.Config, error) { return override(config.Parse(path, text)) },

		StateDirectory:     o.StateDir,
		ApplyRuntimeLimits: applyRuntimeLimits,
		ConfigPath:         path,
		PIDFilePath:        pidFile,
		Program:            program,
		Args:               e.Args,
		Getenv:             e.Getenv,
		ReloadSignals:      e.ReloadSignals,
		UpgradeSignals:     e.UpgradeSignals,
	})
}

// serveByEnvironment serves by the configuration that the environment names. The program does so without arguments.
func serveByEnvironment(ctx context.Context, e *Env) error {
	own, platform := e.Getenv("LOCKFLOW_CONFIG"), e.Getenv("NODE_CONFIG")
	switch {
	case own != "" && platform != "":
		return usageError("LOCKFLOW_CONFIG and NODE_CONFIG are both set; set only one")
	case own != "":
		return serveFile(ctx, e, own, "", config.Overrides{})
	case platform == "":
		return errors.New("no configuration: neither LOCKFLOW_CONFIG nor NODE_CONFIG is set")
	}
	return servePlatform(ctx, e, platform)
}

// servePlatform serves by the platform's configuration until ctx is done. At the start, environment variables override
// addresses of the file. A reload uses the file alone, and changes nothing if the file is invalid.
func servePlatform(ctx context.Context, e *Env, path string) error {
	cfg, err := loadPlatform(path)
	if err != nil {
		return wrapConfigError(err)
	}
	for name, field := range map[string]*string{
		"NODE_LISTEN":    &cfg.Listeners[0],
		"NODE_DISCOVERY": &cfg.Services[0].Source.Address,
	} {
		if v := e.Getenv(name); v != "" {
			if err := config.CheckAddress(v); err != nil {
				return wrapConfigError(fmt.Errorf("%s: %w", name, err))
			}
			*field = v
		}
	}
	cfg.Process.EventLog = e.Getenv(eventLogVariable) != ""
	applyRuntimeLimits(cfg)
	n, err := node.New(cfg)
	if err != nil {
		return wrapConfigError(fmt.Errorf("configuration %s: %w", path, err))
	}
	go func() {
		for range e.ReloadSignals {
			cfg, err := loadPlatform(path)
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

// loadPlatform reads the platform's configuration and logs its warnings.
func loadPlatform(path string) (config.Config, error) {
	cfg, err := config.LoadPlatform(path)
	for _, warning := range cfg.Warnings {
		slog.Warn("settings", "file", path, "err", warning)
	}
	return cfg, err
}

// wrapConfigError wraps an error of the platform's configuration in errConfig: a restart with the same file would fail too.
func wrapConfigError(err error) error { return fmt.Errorf("%w: %w", errConfig, err) }

// applyRuntimeLimits sets the Go runtime's limits by the cores and memory that the configuration grants the process.
func applyRuntimeLimits(cfg config.Config) {
	if cores := cfg.Process.Cores; cores > 0 || !cfg.Process.Shared {
		runtime.GOMAXPROCS(int(math.Max(1, math.Ceil(cores))))
	}
	debug.SetGCPercent(gcPercent)
	if mb := cfg.Process.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(mb<<20)))
	}
}
