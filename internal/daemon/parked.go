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

// parked is a daemon that is wanted drained: it holds its files and its control socket, so that it can be
// asked and claimed, and takes no clients. Whoever starts it again and again finds it so.
type parked struct {
	d     *daemon
	serve chan struct{} // closed once it is to serve
	over  chan struct{} // closed once d's life goes on, or has failed with err
	err   error

	mu sync.Mutex // guards d.member
}

// park waits until the daemon is to serve; false where ctx ends before.
func (d *daemon) park(ctx context.Context) (*parked, error) {
	p := &parked{d: d, serve: make(chan struct{}), over: make(chan struct{})}
	if path := d.cfg.Process.Control; path == "" {
		return nil, errors.New("it is wanted drained, and has no control socket by which it could be told to serve")
	}
	if err := d.listenControl(p, false); err != nil {
		return nil, err
	}
	slog.Info("life", "from", lifecycle.Starting, "to", manage.Drained, "cause", "it is wanted drained: lockflow fleet serve undoes that")
	if err := supervise.Ready("drained, as is wanted"); err != nil {
		slog.Warn("supervisor", "err", err)
	}
	over, end := context.WithCancel(ctx)
	var parts sync.WaitGroup
	parts.Go(func() {
		if err := supervise.Watchdog(over, func(context.Context) bool { return true }); err != nil {
			slog.Warn("watchdog", "err", err)
		}
	})
	defer parts.Wait()
	defer end()
	hup, usr2 := d.opts.Hup, d.opts.Usr2
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
		case <-p.serve:
			return p, nil
		case <-ctx.Done():
			return nil, nil
		case <-d.unpark: // told to end
			return nil, nil
		}
	}
}

// goesOn tells those who wait that the daemon's life has gone on, or why it has not.
func (p *parked) goesOn(err error) {
	p.err = err
	close(p.over)
}

// await waits until the daemon's life goes on.
func (p *parked) await(ctx context.Context) error {
	select {
	case <-p.over:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *parked) isServing() bool {
	select {
	case <-p.serve:
		return true
	default:
		return false
	}
}

// Status is manage.Daemon's.
func (p *parked) Status() manage.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.d
	s := manage.Status{
		PID: os.Getpid(), Program: d.opts.Program, Config: d.opts.Config, Life: manage.Drained, Started: d.started,
		Listeners: []string{}, Services: []node.Status{}, Older: []node.RetiredService{}, Descriptors: descriptors(), MemoryKB: memory(), Distrusts: d.doubts.list(),
	}
	if p.isServing() {
		s.Life = lifecycle.Starting.String()
	} else {
		s.Hash = d.cfg.Hash
		d.member.tell(&s)
	}
	s.Figures.Began = d.started
	return s
}

var errDrained = errors.New("the daemon is drained: it has to serve first")

// Reload is manage.Daemon's.
func (p *parked) Reload(context.Context) error { return errDrained }

// Upgrade is manage.Daemon's.
func (p *parked) Upgrade(context.Context, string) error { return errDrained }

// Drain is manage.Daemon's: the process ends. Whoever keeps it starts it again, drained where that is
// still wanted.
func (p *parked) Drain(bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isServing() {
		return busy("the daemon starts")
	}
	select {
	case p.d.unpark <- struct{}{}:
	default:
	}
	return nil
}

// Serve is manage.Daemon's.
func (p *parked) Serve(ctx context.Context) error {
	p.mu.Lock()
	if !p.isServing() {
		if err := p.d.member.rest(false); err != nil {
			p.mu.Unlock()
			return err
		}
		close(p.serve)
	}
	p.mu.Unlock()
	return p.await(ctx)
}

// Claim is manage.Daemon's.
func (p *parked) Claim(ctx context.Context, c desiredstate.Claim) error {
	p.mu.Lock()
	if !p.isServing() {
		defer p.mu.Unlock()
		return p.d.member.claim(c)
	}
	p.mu.Unlock()
	if err := p.await(ctx); err != nil {
		return err
	}
	return p.d.Claim(ctx, c)
}

// Order is manage.Daemon's. One to serve ends when the daemon does.
func (p *parked) Order(ctx context.Context, o desiredstate.Order) error {
	p.mu.Lock()
	if !p.isServing() {
		wait, err := p.order(o)
		if !wait {
			p.mu.Unlock()
			return err
		}
		close(p.serve)
	}
	p.mu.Unlock()
	if err := p.await(ctx); err != nil {
		return err
	}
	return p.d.Order(ctx, o)
}

// order carries out what a drained daemon can; wait tells that the rest comes when it serves. p.mu is held.
func (p *parked) order(o desiredstate.Order) (wait bool, err error) {
	m := p.d.member
	next, step, done, err := m.book.Order(o)
	switch {
	case err != nil:
		return false, err
	case step == desiredstate.Answer:
		return false, outcome(done)
	case step == desiredstate.Wait:
		return false, busy("order %s is under way", o.ID)
	case o.Want.Kind == desiredstate.Program || o.Want.Kind == desiredstate.Restart:
		return false, &desiredstate.RejectedError{Code: desiredstate.Bad, Text: errDrained.Error()}
	}
	if err := m.keep(next); err != nil {
		return false, err
	}
	slog.Info("orders: begun while drained", "id", o.ID, "epoch", o.Epoch, "owner", o.Owner, "kind", o.Want.Kind)
	switch o.Want.Kind {
	case desiredstate.Serve:
		return true, nil
	case desiredstate.Settings:
		err = p.put(o.Want)
	}
	m.settle(m.book.End(err))
	return false, outcome(m.book.Last())
}

// put replaces the settings, which are read when it serves.
func (p *parked) put(w desiredstate.Want) error {
	d := p.d
	next, err := d.opts.Parse([]byte(w.Text))
	if err != nil {
		return err
	}
	if a, b := d.cfg.Process, next.Process; a.State != b.State || a.Control != b.Control {
		return fmt.Errorf("process.state and process.control can't change without a restart: %q, %q", b.State, b.Control)
	}
	if err := desiredstate.Replace(d.opts.Config, []byte(w.Text)); err != nil {
		return fmt.Errorf("replacing the settings: %w", err)
	}
	d.cfg = next
	return nil
}

// start makes what serves of a daemon that was parked.
func (p *parked) start() (err error) {
	defer func() { p.goesOn(err) }()
	d := p.d
	was := d.cfg.Process
	if d.cfg, err = d.opts.Load(); err != nil {
		return err
	}
	if d.cfg.Process.State != was.State || d.cfg.Process.Control != was.Control {
		return errors.New("process.state or process.control has changed while the daemon was drained: start it again")
	}
	return d.build()
}

var (
	_ manage.Daemon = (*parked)(nil)
	_ manage.Daemon = (*daemon)(nil)
)
