package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"

	"lockflow/internal/desiredstate"
	"lockflow/internal/lifecycle"
	"lockflow/internal/manage"
	"lockflow/internal/node"
	"lockflow/internal/supervise"
)

// drainedDaemon is a daemon that is wanted drained: it holds its files and its control socket, so that it can be
// asked and claimed, and takes no clients. Whoever starts it again and again finds it so.
type drainedDaemon struct {
	d              *daemon
	serveRequested chan struct{} // closed once it is to serve
	resumed        chan struct{} // closed once d's life goes on, or has failed with err
	resumeErr      error

	mu sync.Mutex // guards d.member
}

// runDrained waits until the daemon is to serve; false where ctx ends before.
func (d *daemon) runDrained(ctx context.Context) (*drainedDaemon, error) {
	p := &drainedDaemon{d: d, serveRequested: make(chan struct{}), resumed: make(chan struct{})}
	if path := d.cfg.Process.Control; path == "" {
		return nil, errors.New("it is wanted drained, and has no control socket by which it could be told to serve")
	}
	if err := d.listenControl(p, false); err != nil {
		return nil, err
	}
	slog.Info("life", "from", lifecycle.Starting, "to", manage.Drained, "cause", "it is wanted drained: lockflow fleet serve undoes that")
	if err := supervise.NotifyReady("drained, as is wanted"); err != nil {
		slog.Warn("supervisor", "err", err)
	}
	over, end := context.WithCancel(ctx)
	var parts sync.WaitGroup
	parts.Go(func() {
		if err := supervise.RunWatchdog(over, func(context.Context) bool { return true }); err != nil {
			slog.Warn("watchdog", "err", err)
		}
	})
	defer parts.Wait()
	defer end()
	hup, usr2 := d.opts.ReloadSignals, d.opts.UpgradeSignals
	for {
		select {
		case _, ok := <-hup: // the file is read when it serves
			if !ok {
				hup = nil
			}
		case _, ok := <-usr2:
			if !ok {
				usr2 = nil
			}
		case <-p.serveRequested:
			return p, nil
		case <-ctx.Done():
			return nil, nil
		case <-d.endWhileDrained: // told to end
			return nil, nil
		}
	}
}

// finishResume tells those who wait that the daemon's life has gone on, or why it has not.
func (p *drainedDaemon) finishResume(err error) {
	p.resumeErr = err
	close(p.resumed)
}

// awaitResume waits until the daemon's life goes on.
func (p *drainedDaemon) awaitResume(ctx context.Context) error {
	select {
	case <-p.resumed:
		return p.resumeErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *drainedDaemon) isResuming() bool {
	select {
	case <-p.serveRequested:
		return true
	default:
		return false
	}
}

// Status is manage.Daemon's.
func (p *drainedDaemon) Status() manage.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.d
	s := manage.Status{
		PID: os.Getpid(), Program: d.opts.Program, Config: d.opts.ConfigPath, Life: manage.Drained, Started: d.startedAt,
		Listeners: []string{}, Services: []node.Status{}, Older: []node.RetiredService{}, Descriptors: openDescriptors(), MemoryKB: residentMemoryKB(), Distrusts: d.conditions.list(),
	}
	if p.isResuming() {
		s.Life = lifecycle.Starting.String()
	} else {
		s.Hash = d.cfg.Hash
		d.member.addStatus(&s)
	}
	s.Figures.Began = d.startedAt
	return s
}

var errIsDrained = errors.New("the daemon is drained: it has to serve first")

// Reload is manage.Daemon's.
func (p *drainedDaemon) Reload(context.Context) error { return errIsDrained }

// Upgrade is manage.Daemon's.
func (p *drainedDaemon) Upgrade(context.Context, string) error { return errIsDrained }

// Drain is manage.Daemon's: the process ends. Whoever keeps it starts it again, drained where that is
// still wanted.
func (p *drainedDaemon) Drain(bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isResuming() {
		return busyError("the daemon starts")
	}
	select {
	case p.d.endWhileDrained <- struct{}{}:
	default:
	}
	return nil
}

// Serve is manage.Daemon's.
func (p *drainedDaemon) Serve(ctx context.Context) error {
	p.mu.Lock()
	if !p.isResuming() {
		if err := p.d.member.setDrained(false); err != nil {
			p.mu.Unlock()
			return err
		}
		close(p.serveRequested)
	}
	p.mu.Unlock()
	return p.awaitResume(ctx)
}

// Claim is manage.Daemon's.
func (p *drainedDaemon) Claim(ctx context.Context, c desiredstate.Claim) error {
	p.mu.Lock()
	if !p.isResuming() {
		defer p.mu.Unlock()
		return p.d.member.grantEpoch(c)
	}
	p.mu.Unlock()
	if err := p.awaitResume(ctx); err != nil {
		return err
	}
	return p.d.Claim(ctx, c)
}

// Order is manage.Daemon's. One to serve ends when the daemon does.
func (p *drainedDaemon) Order(ctx context.Context, o desiredstate.Order) error {
	p.mu.Lock()
	if !p.isResuming() {
		wait, err := p.handleCommand(o)
		if !wait {
			p.mu.Unlock()
			return err
		}
		close(p.serveRequested)
	}
	p.mu.Unlock()
	if err := p.awaitResume(ctx); err != nil {
		return err
	}
	return p.d.Order(ctx, o)
}

// handleCommand carries out what a drained daemon can; wait tells that the rest comes when it serves. p.mu is held.
func (p *drainedDaemon) handleCommand(o desiredstate.Order) (wait bool, err error) {
	m := p.d.member
	next, step, done, err := m.book.Order(o)
	switch {
	case err != nil:
		return false, err
	case step == desiredstate.Answer:
		return false, outcomeError(done)
	case step == desiredstate.Wait:
		return false, busyError("order %s is under way", o.ID)
	case o.Want.Kind == desiredstate.Program || o.Want.Kind == desiredstate.Restart:
		return false, &desiredstate.RejectedError{Code: desiredstate.Bad, Text: errIsDrained.Error()}
	}
	if err := m.save(next); err != nil {
		return false, err
	}
	slog.Info("orders: begun while drained", "id", o.ID, "epoch", o.Epoch, "owner", o.Owner, "kind", o.Want.Kind)
	switch o.Want.Kind {
	case desiredstate.Serve:
		return true, nil
	case desiredstate.Settings:
		err = p.replaceSettings(o.Want)
	}
	m.record(m.book.End(err))
	return false, outcomeError(m.book.Last())
}

// replaceSettings replaces the settings, which are read when it serves.
func (p *drainedDaemon) replaceSettings(w desiredstate.Want) error {
	d := p.d
	next, err := d.opts.ParseConfig([]byte(w.Text))
	if err != nil {
		return err
	}
	if a, b := d.cfg.Process, next.Process; a.State != b.State || a.Control != b.Control {
		return fmt.Errorf("process.state and process.control can't change without a restart: %q, %q", b.State, b.Control)
	}
	if err := desiredstate.Replace(d.opts.ConfigPath, []byte(w.Text)); err != nil {
		return fmt.Errorf("replacing the settings: %w", err)
	}
	d.cfg = next
	return nil
}

// resume makes what serves of a daemon that was parked.
func (p *drainedDaemon) resume() (err error) {
	defer func() { p.finishResume(err) }()
	d := p.d
	was := d.cfg.Process
	if d.cfg, err = d.opts.LoadConfig(); err != nil {
		return err
	}
	if d.cfg.Process.State != was.State || d.cfg.Process.Control != was.Control {
		return errors.New("process.state or process.control has changed while the daemon was drained: start it again")
	}
	return d.build()
}

var (
	_ manage.Daemon = (*drainedDaemon)(nil)
	_ manage.Daemon = (*daemon)(nil)
)
