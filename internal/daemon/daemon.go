// Package daemon runs a node as a daemon. Its event loop passes events (signals, requests on the control socket,
// messages of a successor or predecessor process) to the state machine of package lifecycle and carries out the actions
// that this returns: reload, binary upgrade, drain.
//
// Package command calls Run. One goroutine, the event loop (loop.go), owns the daemon's mutable state; every
// other goroutine posts events to it. The control socket's handlers (manage.Daemon) run in goroutines of
// their own and wait for the loop's answer.
package daemon

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/lifecycle"
	"lockflow/internal/manage"
	"lockflow/internal/node"
	"lockflow/internal/state"
	"lockflow/internal/supervise"
	"lockflow/internal/upgrade"
)

// Options are what a daemon is run with.
type Options struct {
	// LoadConfig reads and checks the configuration file, also for each reload.
	LoadConfig func() (config.Config, error)
	// ParseConfig checks a text that is to replace the configuration file's.
	ParseConfig func(text []byte) (config.Config, error)
	// ApplyRuntimeLimits sets the Go runtime's limits to those of a configuration in force.
	ApplyRuntimeLimits func(config.Config)

	ConfigPath     string   // of the configuration file, for the status and for commands that replace it
	PIDFilePath    string   // empty for none
	StateDirectory string   // where it is known without the configuration file; else empty
	Program        string   // path of this executable, which an upgrade starts by default
	Args           []string // of this process, without the program's name; a successor gets the same
	Getenv         func(string) string

	ReloadSignals  <-chan os.Signal // each requests a reload
	UpgradeSignals <-chan os.Signal // each requests an upgrade
}

// maxQueuedEvents is how many posted events wait for the event loop before a poster blocks.
const maxQueuedEvents = 64

// daemon is one run.
type daemon struct {
	opts         Options
	node         *node.Node           // nil until build
	store        *state.Store         // nil without a state directory
	pidFile      *supervise.PIDFile   // nil without one
	predecessor  *upgrade.Predecessor // nil where this process is no successor
	events       chan event
	loopEnded    chan struct{} // closed when the event loop takes no events any more
	startedAt    time.Time
	goroutines   sync.WaitGroup // those that end with the event loop
	conditions   degradedConditions
	checkpointer checkpointer

	// Once the event loop runs, it alone uses the fields below.

	cfg           config.Config // in force
	member        *member
	running       *runningCommand // nil while no command runs
	machine       lifecycle.Machine
	controlServer *manage.Server // nil without a control socket
	startDrain    context.CancelFunc

	pendingReloads  []chan error // answers of requests for a reload that has not started
	runningReloads  []chan error // answers of requests for the one that runs
	pendingUpgrades []chan error // answers of requests for an upgrade
	nextProgram     string       // that the next upgrade starts; empty for opts.Program
	successor       *successor   // nil while there is none
}

// Run runs a daemon until ctx ends and it has drained, or a successor has taken its place.
func Run(ctx context.Context, opts Options) error {
	d, err := prepare(opts)
	if err != nil {
		return err
	}
	defer d.close()
	if d.isDesiredDrained() {
		drained, err := d.runDrained(ctx)
		if drained == nil {
			return err
		}
		if err := drained.resume(); err != nil {
			return err
		}
	} else if err := d.build(); err != nil {
		return err
	}
	return d.run(ctx)
}

// isDesiredDrained reports whether the desired state is drained. A successor builds first: it was started by
// a process that serves.
func (d *daemon) isDesiredDrained() bool {
	return d.predecessor == nil && d.member.desiredState.Target.Drained
}

// prepare reads the configuration and opens the files.
func prepare(opts Options) (d *daemon, err error) {
	d = &daemon{
		opts:      opts,
		events:    make(chan event, maxQueuedEvents),
		loopEnded: make(chan struct{}),
		startedAt: time.Now(),
	}
	if d.predecessor, err = upgrade.PredecessorFromEnvironment(opts.Getenv); err != nil {
		return nil, err
	}
	if d.cfg, err = opts.LoadConfig(); err != nil {
		if d.predecessor != nil || !rollBackUnreadableSettings(opts, err) {
			return nil, err
		}
		if d.cfg, err = opts.LoadConfig(); err != nil {
			return nil, err
		}
	}
	if d.predecessor != nil {
		d.machine = lifecycle.NewSuccessor()
	}
	if err = d.openFiles(); err != nil {
		d.close()
		return nil, err
	}
	if d.isDesiredDrained() {
		d.recoverCommand()
	}
	return d, nil
}

// build makes the node and all else that can fail before the first client connects.
func (d *daemon) build() error {
	listeners, err := d.inheritListeners()
	if err != nil {
		return err
	}
	if d.predecessor != nil {
		d.predecessor.CloseUnclaimed() // files that the configuration no longer has
	}
	d.opts.ApplyRuntimeLimits(d.cfg)
	if d.node, err = node.NewInheriting(d.cfg, listeners); err != nil {
		if d.predecessor != nil || !rollBackSettings(d.member, d.opts, d.cfg.Hash, err) {
			return err
		}
		if d.cfg, err = d.opts.LoadConfig(); err != nil {
			return err
		}
		if d.node, err = node.NewInheriting(d.cfg, listeners); err != nil {
			return err
		}
	}
	if d.predecessor != nil {
		d.node.PauseListeners() // until takeOver
		return nil
	}
	d.restoreCheckpoint()
	d.recoverCommand()
	return d.listenControl(d, false)
}

// Names of the files that a successor inherits; prefixes go before an address or a directory.
const (
	filePID            = "pid"
	fileDesiredState   = "orders"
	filePrefixLock     = "lock:"
	filePrefixListener = "listen:"
)

// openFiles opens and locks the pid file, the state directory and the member's desired state, or takes the
// predecessor's.
func (d *daemon) openFiles() error {
	if err := d.openPIDFile(); err != nil {
		return err
	}
	directory := d.cfg.Process.StateDir
	if directory != "" {
		store, err := state.Open(directory, d.inheritedFile(filePrefixLock+directory))
		if err != nil {
			return err
		}
		d.store = store
	}
	m, err := openMember(directory, d.inheritedFile(fileDesiredState), &d.conditions)
	if err != nil {
		return err
	}
	d.member = m
	return nil
}

func (d *daemon) openPIDFile() (err error) {
	if d.opts.PIDFilePath == "" {
		return nil
	}
	if inherited := d.inheritedFile(filePID); inherited != nil {
		d.pidFile = supervise.AdoptPIDFile(inherited, d.opts.PIDFilePath)
		return nil
	}
	d.pidFile, err = supervise.CreatePIDFile(d.opts.PIDFilePath)
	return err
}

// inheritedFile takes a file of the predecessor, nil where there is none of that name.
func (d *daemon) inheritedFile(name string) *os.File {
	if d.predecessor == nil {
		return nil
	}
	return d.predecessor.TakeFile(name)
}

// inheritListeners returns the listeners of the predecessor or of the supervisor, by address.
func (d *daemon) inheritListeners() (map[string]net.Listener, error) {
	configured := make(map[string]bool)
	for _, address := range d.cfg.Listeners {
		configured[address] = true
	}
	if d.predecessor != nil {
		return d.takeListeners(configured)
	}
	listeners, err := supervise.InheritedListeners()
	if err != nil {
		return nil, err
	}
	for name := range listeners {
		if !configured[config.Inherited+name] {
			return nil, fmt.Errorf("the supervisor passed a socket %q on that no listener names (address = %q)",
				name, config.Inherited+name)
		}
	}
	return listeners, nil
}

// takeListeners returns the predecessor's listeners at configured addresses. It closes all other ones: the
// configuration has changed since the predecessor read it.
func (d *daemon) takeListeners(configured map[string]bool) (map[string]net.Listener, error) {
	listeners, err := d.predecessor.TakeListeners(filePrefixListener)
	for address, listener := range listeners {
		if !configured[address] {
			listener.Close()
			delete(listeners, address)
		}
	}
	return listeners, err
}

// listenControl opens the control socket, on which served answers. Where it is open already and is not to be taken
// over, served answers there from now on.
func (d *daemon) listenControl(handler manage.Daemon, takeOver bool) (err error) {
	path := d.cfg.Process.ControlSocket
	if path == "" {
		return nil
	}
	if d.controlServer != nil && !takeOver {
		d.controlServer.SetDaemon(handler)
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	d.controlServer, err = manage.Listen(path, handler, takeOver)
	return err
}

// close closes what prepare and build have opened.
func (d *daemon) close() {
	d.controlServer.Close()
	neverTookOver := d.predecessor != nil && !d.checkpointer.ownsFile.Load()
	if d.hasServingSuccessor() || neverTookOver {
		_ = d.pidFile.Release() // the other process has it, and this one writes nothing more
	} else {
		_ = d.pidFile.Close() // a file that could not be removed is unlocked: the next daemon takes it over
	}
	if d.member != nil {
		d.member.store.Close()
	}
	if d.store != nil {
		_ = d.store.Close() // the lock alone: checkpoints are synced when they are saved
	}
}
