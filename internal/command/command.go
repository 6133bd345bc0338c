// Package command is the command line: it reads arguments, calls what does the work and
// prints what came of it.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"lockflow/internal/config"
	"lockflow/internal/loglimit"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
	ExitStuck  = 3 // a change was stopped and not wholly taken back
)

// Env is what a command is run with.
type Env struct {
	Getenv   func(string) string
	Out, Err io.Writer
	// ReloadSignals tells of each SIGHUP. Guards against one that ends the program: it is never left
	// to its default, also not while a node starts or drains.
	ReloadSignals <-chan os.Signal
	// UpgradeSignals tells of each SIGUSR2, in the same way.
	UpgradeSignals <-chan os.Signal
	// Args is the whole command line, for a new process that takes this one's place.
	Args []string
}

// errUsage is a mistake in how a command was called; what it is has been printed.
var errUsage = errors.New("usage")

// errConfig is a configuration of the platform's that can't be used.
var errConfig = errors.New("bad configuration")

// flags says what a command's flags are. Their defaults and kinds are pflag's.
type flags = *pflag.FlagSet

// command is one of the program's.
type command struct {
	name, summary string
	group         string // of the list of commands
	args          string // as its usage line shows them
	examples      []string
	setup         func(flags) func(ctx context.Context, e *Env, args []string) error
}

// The groups of the list of commands.
const (
	groupRunning = "running"
	groupFiles   = "files"
	groupTrials  = "trying"
)

func commands() []command {
	return []command{
		serveCommand(), proxyCommand(), statusCommand(), upgradeCommand(), fleetCommand(), checkCommand(), planCommand(), routeCommand(),
		quotaLeaseCommand(), demoCommand(), replayCommand(), eventLogCommand(), simulateCommand(), measureCommand(),
	}
}

// Main runs a command line, without the program's name, and gives its exit code. SIGTERM and
// SIGINT end what runs.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	usr2 := make(chan os.Signal, 1)
	signal.Notify(usr2, syscall.SIGUSR2)
	return Run(ctx, &Env{Getenv: os.Getenv, Out: os.Stdout, Err: os.Stderr, ReloadSignals: hup, UpgradeSignals: usr2, Args: args}, args)
}

// Run runs a command line in an environment. One without arguments makes no command tree: a node
// of the platform doesn't pay for what it never shows.
func Run(ctx context.Context, e *Env, args []string) int {
	if len(args) == 0 {
		return e.exit(serveByEnvironment(ctx, e))
	}
	root := newRootCommand(e)
	root.SetArgs(args)
	return e.exit(root.ExecuteContext(ctx))
}

// newRootCommand is the program's commands, with help, completion and a version.
func newRootCommand(e *Env) *cobra.Command {
	var log logFlags
	root := &cobra.Command{
		Use:   "lockflow",
		Short: "an edge node for several services",
		Long: `lockflow is an edge node: it takes requests of many customers, holds them to their plans and
passes them on to the app servers of one service or several.

Without arguments it serves as the environment tells: LOCKFLOW_CONFIG names a file of its own
form, NODE_CONFIG the platform's. Exit codes: 0 fine, 1 failed, 2 called wrongly, 3 a change of a fleet is stuck half way.`,
		Version:           version(),
		SilenceErrors:     true,
		SilenceUsage:      true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return log.set(e.Err) },
	}
	root.SetOut(e.Out)
	root.SetErr(e.Err)
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return usageError("%s: %v; see %s --help", strings.TrimPrefix(c.CommandPath(), "lockflow "), err, c.CommandPath())
	})
	// An unknown command is an error of the root's arguments: cobra suggests the nearest.
	root.Args = func(c *cobra.Command, args []string) error {
		err := cobra.NoArgs(c, args)
		if err != nil && len(args) > 0 {
			near := ""
			if s := c.SuggestionsFor(args[0]); len(s) > 0 {
				near = "; did you mean " + strings.Join(s, " or ") + "?"
			}
			return usageError("there is no command %q%s; lockflow help lists them", args[0], near)
		}
		return err
	}
	root.RunE = func(c *cobra.Command, _ []string) error { return c.Help() }
	root.SuggestionsMinimumDistance = 2
	root.AddGroup(&cobra.Group{ID: groupRunning, Title: "Running:"}, &cobra.Group{ID: groupFiles, Title: "Configuration files:"},
		&cobra.Group{ID: groupTrials, Title: "Trying and measuring:"})
	root.PersistentFlags().StringVar(&log.format, "log-format", "text", "`FORM` of log lines: text or json")
	root.PersistentFlags().StringVar(&log.level, "log-level", "info", "`LEVEL` from which on lines are logged: debug, info, warn or error")
	for _, c := range commands() {
		root.AddCommand(c.cobra(e))
	}
	root.SetHelpCommand(&cobra.Command{
		Use: "help [COMMAND]", Short: "tells more of a command, with examples",
		RunE: func(c *cobra.Command, args []string) error {
			of, _, err := c.Root().Find(args)
			if err != nil || of == nil || len(args) > 0 && of == c.Root() {
				return usageError("there is no command %q; lockflow help lists them", strings.Join(args, " "))
			}
			of.InitDefaultHelpFlag()
			return of.Help()
		},
	})
	return root
}

func (c *command) cobra(e *Env) *cobra.Command {
	cc := &cobra.Command{
		Use: c.name + " " + c.args, Short: c.summary, GroupID: c.group, Args: cobra.ArbitraryArgs, DisableFlagsInUseLine: true,
		Example: "  " + strings.Join(c.examples, "\n  "),
	}
	cc.Flags().SortFlags = false
	run := c.setup(cc.Flags())
	cc.RunE = func(cc *cobra.Command, args []string) error { return run(cc.Context(), e, args) }
	return cc
}

// version is what the build knows of itself.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			v += " " + s.Value
		case s.Key == "vcs.time":
			v += " of " + s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			v += ", changed since"
		}
	}
	return v + ", " + info.GoVersion
}

// logFlags are how lines are logged.
type logFlags struct{ format, level string }

func (l *logFlags) set(w io.Writer) error {
	var o slog.HandlerOptions
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.level)); err != nil {
		return usageError("log-level: %q is none of debug, info, warn, error", l.level)
	}
	o.Level = level
	switch l.format {
	case "text":
		slog.SetDefault(slog.New(loglimit.Limit(slog.NewTextHandler(w, &o))))
	case "json":
		slog.SetDefault(slog.New(loglimit.Limit(slog.NewJSONHandler(w, &o))))
	default:
		return usageError("log-format: %q is none of text, json", l.format)
	}
	return nil
}

// exit prints an error, where there is one, and gives its code.
func (e *Env) exit(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errReported):
		return ExitFailed
	case errors.Is(err, errStuck):
		return ExitStuck
	case errors.Is(err, errUsage):
		fmt.Fprintf(e.Err, "lockflow: %v\n", err)
		return ExitUsage
	}
	var problems config.FieldErrors
	if errors.As(err, &problems) {
		fmt.Fprintln(e.Err, problems.Error())
		if errors.Is(err, errUnusable) {
			return ExitUsage
		}
		return ExitFailed
	}
	slog.Error("lockflow ends", "err", err)
	if errors.Is(err, errConfig) {
		return ExitUsage
	}
	return ExitFailed
}

func usageError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errUsage, fmt.Sprintf(format, args...))
}
