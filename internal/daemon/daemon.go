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
	Load    func() (config.Config, error)            // reads the configuration, also for each reload
	Parse   func(text []byte) (config.Config, error) // the same of a text that is to become the file's
	Tune    func(config.Config)                      // sets the runtime to one that is in force
	Config  string                                   // the file's name, to be told
	PIDFile string                                   // "" is none
	State   string                                   // the state directory, where it is known without the file; else ""
	Program string                                   // what an upgrade starts where nothing else is named
	Args    []string                                 // that it is started with
	Getenv  func(string) string
	Hup     <-chan os.Signal // asks for a reload each
	Usr2    <-chan os.Signal // asks for an upgrade each
}

// daemon is one run. Only the goroutine of live uses the fields below the line.
type daemon struct {
	opts    Options
	node    *node.Node
	store   *state.Store // nil is none
	pid     *supervise.PIDFile
	pred    *upgrade.Predecessor // nil where this is no successor
	events  chan any
	ended   chan struct{} // closed when nobody takes events any more
	started time.Time
	parts   sync.WaitGroup
	doubts  doubts
	keeper  keeper
	unpark  chan struct{} // ends a daemon that is drained

	cfg     config.Config
	member  *member
	doing   *underWay // nil while no order is
	machine lifecycle.Machine
	control *manage.Server
	drain   context.CancelFunc

	waiting, loading []chan error // who asked for a reload that has not begun, that goes on
	upgrading        []chan error // who asked for an upgrade
	program          string       // that the next upgrade starts
	succ             *succession  // nil while there is no successor
}

// Run runs a daemon until ctx ends and it has drained, or a successor has taken its place.
func Run(ctx context.Context, o Options) error {
	d, err := prepare(o)
	if err != nil {
		return err
	}
	defer d.close()
	if d.pred == nil && d.member.book.Wanted.Drained {
		p, err := d.park(ctx)
		if p == nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	} else if err := d.build(); err != nil {
		return err
	}
	return d.live(ctx)
}

// prepare reads the configuration and takes hold of the files.
func prepare(o Options) (d *daemon, err error) {
	d = &daemon{opts: o, events: make(chan any, 64), ended: make(chan struct{}), started: time.Now(), unpark: make(chan struct{}, 1)}
	if d.pred, err = upgrade.Join(o.Getenv); err != nil {
		return nil, err
	}
	if d.cfg, err = o.Load(); err != nil {
		if d.pred != nil || !rescueFile(o, err) {
			return nil, err
		}
		if d.cfg, err = o.Load(); err != nil {
			return nil, err
		}
	}
	if d.pred != nil {
		d.machine = lifecycle.Succeed()
	}
	if err = d.openFiles(); err != nil {
		d.close()
		return nil, err
	}
	if d.pred == nil && d.member.book.Wanted.Drained {
		d.recoverOrders()
	}
	return d, nil
}

// build makes everything else that can fail before a client comes.
func (d *daemon) build() error {
	inherited, err := d.inherit()
	if err != nil {
		return err
	}
	if d.pred != nil {
		d.pred.CloseRest() // of what the configuration no longer has
	}
	d.opts.Tune(d.cfg)
	if d.node, err = node.NewInheriting(d.cfg, inherited); err != nil {
		if d.pred != nil || !rescue(d.member, d.opts, d.cfg.Hash, err) {
			return err
		}
		if d.cfg, err = d.opts.Load(); err != nil {
			return err
		}
		if d.node, err = node.NewInheriting(d.cfg, inherited); err != nil {
			return err
		}
	}
	if d.pred != nil {
		d.node.PauseListeners() // until the old process has handed over
		return nil
	}
	d.recover()
	d.recoverOrders()
	return d.listenControl(d, false)
}

// openFiles locks the process id's file and the state directory.
func (d *daemon) openFiles() (err error) {
	var pid, lock *os.File
	if d.pred != nil {
		pid, lock = d.pred.File("pid"), d.pred.File("lock:"+d.cfg.Process.State)
	}
	switch {
	case d.opts.PIDFile == "":
	case pid != nil:
		d.pid = supervise.AdoptPID(pid, d.opts.PIDFile)
	default:
		if d.pid, err = supervise.WritePID(d.opts.PIDFile); err != nil {
			return err
		}
	}
	if dir := d.cfg.Process.State; dir != "" {
		if d.store, err = state.Open(dir, lock); err != nil {
			return err
		}
	}
	var book *os.File
	if d.pred != nil {
		book = d.pred.File("orders")
	}
	d.member, err = openMember(d.cfg.Process.State, book, &d.doubts)
	return err
}

// inherit gives the listeners of the old process or of the supervisor, by address.
func (d *daemon) inherit() (map[string]net.Listener, error) {
	named := make(map[string]bool)
	for _, addr := range d.cfg.Listeners {
		named[addr] = true
	}
	if d.pred != nil {
		all, err := d.pred.Listeners("listen:")
		for addr, l := range all {
			if !named[addr] { // the configuration has changed meanwhile
				l.Close()
				delete(all, addr)
			}
		}
		return all, err
	}
	byName, err := supervise.Inherited()
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

// recover goes on from where the last run ended, as far as that is known.
func (d *daemon) recover() {
	if d.store == nil {
		return
	}
	st, found, err := d.store.Consume()
	switch {
	case err != nil && st.Services == nil:
		slog.Warn("the last state can't be read: ceilings begin with their slack, nothing is known of servers", "err", err)
		d.doubts.add("state of the last run", err.Error())
	case !found:
		slog.Info("no state of an earlier run", "dir", d.cfg.Process.State)
	case err != nil, !st.Clean:
		why := "the last run did not end in order"
		if err != nil {
			why = err.Error()
		}
		slog.Warn("what was spent last is not known: ceilings begin empty, cold servers as if unseen", "why", why,
			"state", time.Since(st.TakenAt).Round(time.Millisecond))
		d.doubts.add("what was spent before the start", why)
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
	if d.control != nil && !takeOver {
		d.control.Hand(asked)
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	d.control, err = manage.Listen(path, asked, takeOver)
	return err
}

// close lets go of what start has opened.
func (d *daemon) close() {
	d.control.Close()
	handed := d.succ != nil && d.succ.phase == serving
	switch {
	case handed:
		_ = d.pid.Leave() // a descriptor of the successor's file, which nothing is written to any more
	case d.pred != nil && !d.keeper.own.Load(): // never took over
		_ = d.pid.Leave() // as above, of the predecessor's
	default:
		_ = d.pid.Close() // a file that stays is unlocked: whoever reads it can tell that nobody has it
	}
	if d.member != nil {
		d.member.file.Close()
	}
	if d.store != nil {
		_ = d.store.Close() // the lock alone: the state is written with an fsync and a rename
	}
}
