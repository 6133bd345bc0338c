// Package daemon runs a node as a daemon: it brings what happens (signals, what its owner asks,
// what a successor does) to the machine of its life and carries out what that says.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"lockflow/control"
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
	LoadConfig         func() (config.Config, error)            // reads the configuration, also for each reload
	ParseConfig        func(text []byte) (config.Config, error) // the same of a text that is to become the file's
	ApplyRuntimeLimits func(config.Config)                      // sets the runtime to one that is in force
	ConfigPath         string                                   // the file's name, to be told
	PIDFilePath        string                                   // "" is none
	StateDirectory     string                                   // the state directory, where it is known without the file; else ""
	Program            string                                   // what an upgrade starts where nothing else is named
	Args               []string                                 // that it is started with
	Getenv             func(string) string
	ReloadSignals      <-chan os.Signal // asks for a reload each
	UpgradeSignals     <-chan os.Signal // asks for an upgrade each
}

// daemon is one run. Only the goroutine of live uses the fields below the line.
type daemon struct {
	opts            Options
	node            *node.Node
	store           *state.Store // nil is none
	pidFile         *supervise.PIDFile
	predecessor     *upgrade.Predecessor // nil where this is no successor
	events          chan any
	loopEnded       chan struct{} // closed when nobody takes events any more
	startedAt       time.Time
	goroutines      sync.WaitGroup
	conditions      degradedConditions
	checkpointer    checkpointer
	endWhileDrained chan struct{} // ends a daemon that is drained

	cfg           config.Config
	member        *member
	running       *runningCommand // nil while no order is
	machine       lifecycle.Machine
	controlServer *manage.Server
	startDrain    context.CancelFunc

	pendingReloads, runningReloads []chan error // who asked for a reload that has not begun, that goes on
	pendingUpgrades                []chan error // who asked for an upgrade
	nextProgram                    string       // that the next upgrade starts
	successor                      *successor   // nil while there is no successor
}

// Run runs a daemon until ctx ends and it has drained, or a successor has taken its place.
func Run(ctx context.Context, o Options) error {
	d, err := prepare(o)
	if err != nil {
		return err
	}
	defer d.close()
	if d.predecessor == nil && d.member.book.Wanted.Drained {
		p, err := d.runDrained(ctx)
		if p == nil {
			return err
		}
		if err := p.resume(); err != nil {
			return err
		}
	} else if err := d.build(); err != nil {
		return err
	}
	return d.run(ctx)
}

// prepare reads the configuration and takes hold of the files.
func prepare(o Options) (d *daemon, err error) {
	d = &daemon{opts: o, events: make(chan any, 64), loopEnded: make(chan struct{}), startedAt: time.Now(), endWhileDrained: make(chan struct{}, 1)}
	if d.predecessor, err = upgrade.Join(o.Getenv); err != nil {
		return nil, err
	}
	if d.cfg, err = o.LoadConfig(); err != nil {
		if d.predecessor != nil || !rollBackUnreadableSettings(o, err) {
			return nil, err
		}
		if d.cfg, err = o.LoadConfig(); err != nil {
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
	if d.predecessor == nil && d.member.book.Wanted.Drained {
		d.recoverCommand()
	}
	return d, nil
}

// build makes everything else that can fail before a client comes.
func (d *daemon) build() error {
	inherited, err := d.inheritListeners()
	if err != nil {
		return err
	}
	if d.predecessor != nil {
		d.predecessor.CloseUnclaimed() // of what the configuration no longer has
	}
	d.opts.ApplyRuntimeLimits(d.cfg)
	if d.node, err = node.NewInheriting(d.cfg, inherited); err != nil {
		if d.predecessor != nil || !rollBackSettings(d.member, d.opts, d.cfg.Hash, err) {
			return err
		}
		if d.cfg, err = d.opts.LoadConfig(); err != nil {
			return err
		}
		if d.node, err = node.NewInheriting(d.cfg, inherited); err != nil {
			return err
		}
	}
	if d.predecessor != nil {
		d.node.PauseListeners() // until the old process has handed over
		return nil
	}
	d.restoreCheckpoint()
	d.recoverCommand()
	return d.listenControl(d, false)
}

// openFiles locks the process id's file and the state directory.
func (d *daemon) openFiles() (err error) {
	var pid, lock *os.File
	if d.predecessor != nil {
		pid, lock = d.predecessor.TakeFile("pid"), d.predecessor.TakeFile("lock:"+d.cfg.Process.State)
	}
	switch {
	case d.opts.PIDFilePath == "":
	case pid != nil:
		d.pidFile = supervise.AdoptPIDFile(pid, d.opts.PIDFilePath)
	default:
		if d.pidFile, err = supervise.CreatePIDFile(d.opts.PIDFilePath); err != nil {
			return err
		}
	}
	if dir := d.cfg.Process.State; dir != "" {
		if d.store, err = state.Open(dir, lock); err != nil {
			return err
		}
	}
	var book *os.File
	if d.predecessor != nil {
		book = d.predecessor.TakeFile("orders")
	}
	d.member, err = openMember(d.cfg.Process.State, book, &d.conditions)
	return err
}

// inheritListeners gives the listeners of the old process or of the supervisor, by address.
func (d *daemon) inheritListeners() (map[string]net.Listener, error) {
	named := make(map[string]bool)
	for _, addr := range d.cfg.Listeners {
		named[addr] = true
	}
	if d.predecessor != nil {
		all, err := d.predecessor.TakeListeners("listen:")
		for addr, l := range all {
			if !named[addr] { // the configuration has changed meanwhile
				l.Close()
				delete(all, addr)
			}
		}
		return all, err
	}
	byName, err := supervise.InheritedListeners()
	if err != nil {
		return nil, err
	}
	for name := range byName {
		if !named[config.Inherited+name] {
			return nil, fmt.Errorf("the supervisor passed a socket %q on that no listener names (address = %q)", name, config.Inherited+name)
		}
	}
	return byName, nil
}

// restoreCheckpoint goes on from where the last run ended, as far as that is known.
func (d *daemon) restoreCheckpoint() {
	if d.store == nil {
		return
	}
	st, found, err := d.store.Consume()
	switch {
	case err != nil && st.Services == nil:
		slog.Warn("the last state can't be read: ceilings begin with their slack, nothing is known of servers", "err", err)
		d.conditions.add("state of the last run", err.Error())
	case !found:
		slog.Info("no state of an earlier run", "dir", d.cfg.Process.State)
	case err != nil, !st.Clean:
		why := "the last run did not end in order"
		if err != nil {
			why = err.Error()
		}
		slog.Warn("what was spent last is not known: ceilings begin empty, cold servers as if unseen", "why", why,
			"state", time.Since(st.TakenAt).Round(time.Millisecond))
		d.conditions.add("what was spent before the start", why)
		d.node.Restore(st, control.TrustEstimates)
	default:
		slog.Info("going on from the state of the last run", "age", time.Since(st.TakenAt).Round(time.Millisecond))
		d.node.Restore(st, control.TrustAll)
	}
}

// listenControl makes the control socket, or has the one that there is ask another of this process.
func (d *daemon) listenControl(asked manage.Daemon, takeOver bool) (err error) {
	path := d.cfg.Process.Control
	if path == "" {
		return nil
	}
	if d.controlServer != nil && !takeOver {
		d.controlServer.Hand(asked)
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	d.controlServer, err = manage.Listen(path, asked, takeOver)
	return err
}

// close lets go of what start has opened.
func (d *daemon) close() {
	d.controlServer.Close()
	handed := d.successor != nil && d.successor.phase == successorServing
	switch {
	case handed:
		_ = d.pidFile.Release() // a descriptor of the successor's file, which nothing is written to any more
	case d.predecessor != nil && !d.checkpointer.ownsFile.Load(): // never took over
		_ = d.pidFile.Release() // as above, of the predecessor's
	default:
		_ = d.pidFile.Close() // a file that stays is unlocked: whoever reads it can tell that nobody has it
	}
	if d.member != nil {
		d.member.store.Close()
	}
	if d.store != nil {
		_ = d.store.Close() // the lock alone: the state is written with an fsync and a rename
	}
}
