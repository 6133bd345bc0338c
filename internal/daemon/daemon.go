// Package daemon runs a node as a daemon. Its event loop passes events (signals, requests on the control socket,
// messages of a successor or predecessor process) to the state machine of package lifecycle and performs the actions that
// it returns: reload, binary upgrade, drain.
//
// Package command calls Run. One goroutine, the event loop (loop.go), owns the daemon's mutable state; every
// other goroutine posts events to it. The handlers of the control socket (manage.Daemon) run
// in their own goroutines and wait for the loop's answer.
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

// Options are the settings of a daemon that its configuration file does not contain.
type Options struct {
	// LoadConfig reads and validates the configuration file, at the start and at each reload.
	LoadConfig func() (config.Config, error)
	// ParseConfig parses and validates a text that is to replace the content of the configuration file.
	ParseConfig func(text []byte) (config.Config, error)
	// ApplyRuntimeLimits sets the limits of the Go runtime as configured.
	ApplyRuntimeLimits func(config.Config)

	ConfigPath     string   // path of the configuration file, which the status shows and commands replace
	PIDFilePath    string   // empty for no pid file
	StateDirectory string   // empty unless it is known without the configuration file
	Program        string   // path of this executable, the default for upgrades
	Args           []string // arguments of this process without the program's name; a successor gets the same
	Getenv         func(string) string

	ReloadSignals  <-chan os.Signal // each requests a reload
	UpgradeSignals <-chan os.Signal // each requests an upgrade
}

// maxQueuedEvents is the number of events that can wait for the event loop before post blocks.
const maxQueuedEvents = 64

// daemon is the state of one call of Run.
type daemon struct {
	opts         Options
	node         *node.Node           // nil until build
	store        *state.Store         // nil without a state directory
	pidFile      *supervise.PIDFile   // nil without a pid file
	predecessor  *upgrade.Predecessor // nil unless this process is a successor
	events       chan event
	loopEnded    chan struct{} // closed when the event loop has ended
	startedAt    time.Time
	goroutines   sync.WaitGroup // background goroutines; run waits for them
	conditions   degradedConditions
	checkpointer checkpointer

	// When the event loop runs, only its goroutine may use the fields below.

	cfg           config.Config // the configuration in force
	member        *member
	running       *runningCommand // nil while no command runs
	machine       lifecycle.Machine
	controlServer *manage.Server // nil without a control socket
	startDrain    context.CancelFunc

	pendingReloads  []chan error // answer channels of requests for a reload that has not started
	runningReloads  []chan error // answer channels of requests for the reload in progress
	pendingUpgrades []chan error // answer channels of requests for an upgrade
	nextProgram     string       // path that the next upgrade starts; empty for opts.Program
	successor       *successor   // nil without a successor
}

// Run runs a daemon until it has drained, because ctx ended or a successor has replaced it.
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

// isDesiredDrained reports whether the daemon starts drained. A successor never does, because the process that started
// it serves.
func (d *daemon) isDesiredDrained() bool {
	return d.predecessor == nil && d.member.desiredState.Target.Drained
}

// prepare loads the configuration and opens the daemon's files.
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

// build creates the node, restores its state and opens the control socket: all steps that can fail before the first
// client connects.
func (d *daemon) build() error {
	listeners, err := d.inheritListeners()
	if err != nil {
		return err
	}
	if d.predecessor != nil {
		d.predecessor.CloseUnclaimed() // files that the configuration no longer uses
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
		d.node.PauseListeners() // takeOver resumes them
		return nil
	}
	d.restoreCheckpoint()
	d.recoverCommand()
	return d.listenControl(d, false)
}

// Names of the files that a successor inherits. The prefixes precede an address or a directory.
const (
	filePID            = "pid"
	fileDesiredState   = "orders"
	filePrefixLock     = "lock:"
	filePrefixListener = "listen:"
)

// openFiles opens and locks the pid file, the state directory and the member's desired state. A successor uses the files
// that it inherits from its predecessor.
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

// inheritedFile returns the file that was inherited under a name, or nil if there is none.
func (d *daemon) inheritedFile(name string) *os.File {
	if d.predecessor == nil {
		return nil
	}
	return d.predecessor.TakeFile(name)
}

// inheritListeners returns the listeners inherited from the predecessor or from the supervisor, by address.
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

// takeListeners returns the predecessor's listeners at configured addresses. It closes the others, whose addresses were
// removed from the configuration since the predecessor read it.
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

// listenControl opens the control socket, whose requests handler answers. If the socket is open already and takeOver is
// false, it only replaces the handler.
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

// close closes the files and sockets that prepare and build have opened.
func (d *daemon) close() {
	d.controlServer.Close()
	neverTookOver := d.predecessor != nil && !d.checkpointer.ownsFile.Load()
	if d.hasServingSuccessor() || neverTookOver {
		_ = d.pidFile.Release() // the other process owns the file, and this one does not write to it any more
	} else {
		_ = d.pidFile.Close() // if the removal fails, the file is unlocked and the next daemon takes it over
	}
	if d.member != nil {
		d.member.store.Close()
	}
	if d.store != nil {
		_ = d.store.Close() // closes only the lock file: checkpoints are synced when they are saved
	}
}
