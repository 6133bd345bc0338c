// Package command implements lockflow's command line. Each command reads its flags, calls the package that does the
// work, and prints the result. cmd/lockflow calls Main.
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

// Exit codes of the program.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
	ExitStuck  = 3 // a change was stopped and not completely rolled back
)

// Env is the environment that a command runs in.
type Env struct {
	Getenv func(string) string
	Out    io.Writer
	Err    io.Writer
	// ReloadSignals receives each SIGHUP. The signal is caught for the whole life of the program, since its default
	// action would end a node that starts or drains.
	ReloadSignals <-chan os.Signal
	// UpgradeSignals receives each SIGUSR2, which is caught for the same reason.
	UpgradeSignals <-chan os.Signal
	// Args is the command line without the program's name. An upgrade starts the successor with it.
	Args []string
}

// errUsage means that a command was called with wrong arguments or flags.
var errUsage = errors.New("usage")

// errConfig means that the platform's configuration is invalid.
var errConfig = errors.New("invalid configuration")

// errReported means that a command failed and has already printed why.
var errReported = errors.New("told")

// errStuck means that a change of a fleet was stopped and not completely rolled back. It has already been printed.
var errStuck = errors.New("stuck")

// Limits of the flag --descriptors: the file descriptors of a node that runs between fake peers.
const (
	minDescriptors = 192
	maxDescriptors = 1 << 16
)

// flags are the flags of a command.
type flags = *pflag.FlagSet

// command is one of the program's commands.
type command struct {
	name     string
	summary  string
	group    string // under which help lists the command
	args     string // in the usage line
	examples []string
	// setup declares the command's flags, and returns the function that runs the command with its arguments.
	setup func(flags) func(ctx context.Context, e *Env, args []string) error
}

// Groups in the list of commands.
const (
	groupRunning = "running"
	groupFiles   = "files"
	groupTrials  = "trying"
)

// commands returns all commands, in the order in which help lists them.
func commands() []command {
	return []command{
		serveCommand(), proxyCommand(), statusCommand(), upgradeCommand(), fleetCommand(), checkCommand(), planCommand(), routeCommand(),
		quotaLeaseCommand(), demoCommand(), replayCommand(), eventLogCommand(), simulateCommand(), measureCommand(),
	}
}

// Main runs a command line, without the program's name, and returns its exit code. SIGTERM and SIGINT end the command.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	usr2 := make(chan os.Signal, 1)
	signal.Notify(usr2, syscall.SIGUSR2)
	return Run(ctx, &Env{Getenv: os.Getenv, Out: os.Stdout, Err: os.Stderr, ReloadSignals: hup, UpgradeSignals: usr2, Args: args}, args)
}

// Run runs a command line in an environment, and returns its exit code. Without arguments, as on the platform, it serves
// without building the command tree, which would waste memory and time.
func Run(ctx context.Context, e *Env, args []string) int {
	if len(args) == 0 {
		return e.reportExit(serveByEnvironment(ctx, e))
	}
	root := newRootCommand(e)
	root.SetArgs(args)
	return e.reportExit(root.ExecuteContext(ctx))
}

// newRootCommand returns the command tree, with help, completion and a version.
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
		PersistentPreRunE: func(*cobra.Command, []string) error { return log.setDefaultLogger(e.Err) },
	}
	root.SetOut(e.Out)
	root.SetErr(e.Err)
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return usageError("%s: %v; see %s --help", strings.TrimPrefix(c.CommandPath(), "lockflow "), err, c.CommandPath())
	})
	root.Args = rejectUnknownCommand
	root.RunE = func(c *cobra.Command, _ []string) error { return c.Help() }
	root.SuggestionsMinimumDistance = 2
	root.AddGroup(&cobra.Group{ID: groupRunning, Title: "Running:"}, &cobra.Group{ID: groupFiles, Title: "Configuration files:"},
		&cobra.Group{ID: groupTrials, Title: "Trying and measuring:"})
	root.PersistentFlags().StringVar(&log.format, "log-format", "text", "`FORM` of log lines: text or json")
	root.PersistentFlags().StringVar(&log.level, "log-level", "info", "`LEVEL` from which on lines are logged: debug, info, warn or error")
	for _, c := range commands() {
		root.AddCommand(c.newCobraCommand(e))
	}
	root.SetHelpCommand(&cobra.Command{
		Use:   "help [COMMAND]",
		Short: "tells more of a command, with examples",
		RunE:  showHelp,
	})
	return root
}

// rejectUnknownCommand returns an error for arguments that name no command, and suggests similar commands.
func rejectUnknownCommand(c *cobra.Command, args []string) error {
	err := cobra.NoArgs(c, args)
	if err == nil || len(args) == 0 {
		return err
	}
	suggestion := ""
	if similar := c.SuggestionsFor(args[0]); len(similar) > 0 {
		suggestion = "; did you mean " + strings.Join(similar, " or ") + "?"
	}
	return usageError("unknown command %q%s; lockflow help lists all commands", args[0], suggestion)
}

// showHelp prints the help of the command that args name.
func showHelp(c *cobra.Command, args []string) error {
	target, _, err := c.Root().Find(args)
	if err != nil || target == nil || len(args) > 0 && target == c.Root() {
		return usageError("unknown command %q; lockflow help lists all commands", strings.Join(args, " "))
	}
	target.InitDefaultHelpFlag()
	return target.Help()
}

// newCobraCommand returns the command as a cobra.Command.
func (c *command) newCobraCommand(e *Env) *cobra.Command {
	cobraCommand := &cobra.Command{
		Use:                   c.name + " " + c.args,
		Short:                 c.summary,
		GroupID:               c.group,
		Args:                  cobra.ArbitraryArgs,
		DisableFlagsInUseLine: true,
		Example:               "  " + strings.Join(c.examples, "\n  "),
	}
	cobraCommand.Flags().SortFlags = false
	run := c.setup(cobraCommand.Flags())
	cobraCommand.RunE = func(running *cobra.Command, args []string) error { return run(running.Context(), e, args) }
	return cobraCommand
}

// version returns the version, revision and Go version of the build.
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

// logFlags are the flags of logging.
type logFlags struct {
	format string // text or json
	level  string // a name that slog.Level can parse
}

// setDefaultLogger sets the default logger by the flags.
func (l *logFlags) setDefaultLogger(w io.Writer) error {
	var o slog.HandlerOptions
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.level)); err != nil {
		return usageError("log-level: %q is not one of debug, info, warn, error", l.level)
	}
	o.Level = level
	switch l.format {
	case "text":
		slog.SetDefault(slog.New(loglimit.Limit(slog.NewTextHandler(w, &o))))
	case "json":
		slog.SetDefault(slog.New(loglimit.Limit(slog.NewJSONHandler(w, &o))))
	default:
		return usageError("log-format: %q is not one of text, json", l.format)
	}
	return nil
}

// reportExit prints an error unless it has already been printed, and returns its exit code.
func (e *Env) reportExit(err error) int {
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
	slog.Error("lockflow exits with an error", "err", err)
	if errors.Is(err, errConfig) {
		return ExitUsage
	}
	return ExitFailed
}

// executable returns the path of this program's executable.
func executable() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("finding the path of this program: %w", err)
	}
	return path, nil
}

// usageError returns an error that wraps errUsage.
func usageError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errUsage, fmt.Sprintf(format, args...))
}
