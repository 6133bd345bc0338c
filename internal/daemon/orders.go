package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"

	"lockflow/internal/config"
	"lockflow/internal/desiredstate"
	"lockflow/internal/lifecycle"
	"lockflow/internal/state"
)

// underWay is an order that is carried out.
type underWay struct {
	id, kind, hash string
	inherited      bool         // the old process has begun it
	waiting        []chan error // who asked; each has room for one
}

// claimAsked, orderAsked and restAsked are what a coordinator, or the owner's hand, asks live.
type (
	claimAsked struct {
		claim  desiredstate.Claim
		answer chan error
	}
	orderAsked struct {
		order  desiredstate.Order
		answer chan error
	}
	restAsked struct {
		drained bool
		answer  chan error
	}
)

// orderDid is the end of an order that was carried out by another goroutine.
type orderDid struct {
	of  *underWay
	err error
	// restored tells that the settings' file is again what is in force.
	restored bool
}

// errEnded is the answer of a daemon that has ended. What was under way is told by the next one.
var errEnded = errors.New("the daemon has ended")

// ask brings something to live and waits for its answer.
func (d *daemon) ask(ctx context.Context, event any, answer chan error) error {
	d.post(event)
	select {
	case err := <-answer:
		return err
	case <-d.ended:
		select {
		case err := <-answer:
			return err
		default:
			return errEnded
		}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Claim is manage.Daemon's.
func (d *daemon) Claim(ctx context.Context, c desiredstate.Claim) error {
	answer := make(chan error, 1)
	return d.ask(ctx, claimAsked{c, answer}, answer)
}

// Order is manage.Daemon's.
func (d *daemon) Order(ctx context.Context, o desiredstate.Order) error {
	answer := make(chan error, 1)
	return d.ask(ctx, orderAsked{o, answer}, answer)
}

// Serve is manage.Daemon's.
func (d *daemon) Serve(ctx context.Context) error {
	answer := make(chan error, 1)
	return d.ask(ctx, restAsked{false, answer}, answer)
}

// Drain is manage.Daemon's.
func (d *daemon) Drain(keep bool) error {
	if keep {
		answer := make(chan error, 1)
		if err := d.ask(context.Background(), restAsked{true, answer}, answer); err != nil {
			return err
		}
	}
	d.post(lifecycle.Stop{Cause: "control socket"})
	return nil
}

// owns tells whether the book is this process's to write: while another process of the member takes over,
// and after that, it is that one's.
func (d *daemon) owns() error {
	if !d.keeper.own.Load() {
		return busy("another process takes this one's place")
	}
	return nil
}

// grant takes a claim.
func (d *daemon) grant(c desiredstate.Claim) error {
	if err := d.owns(); err != nil {
		return err
	}
	return d.member.claim(c)
}

// wantRest takes the owner's own word on whether the member is to be drained.
func (d *daemon) wantRest(drained bool) error {
	if err := d.owns(); err != nil {
		return err
	}
	return d.member.rest(drained)
}

// order takes an order; the answer may come later.
func (d *daemon) order(a orderAsked) {
	if err := d.owns(); err != nil {
		a.answer <- err
		return
	}
	o := a.order
	next, step, done, err := d.member.book.Order(o)
	switch {
	case err != nil:
		a.answer <- err
		return
	case step == desiredstate.Answer:
		a.answer <- outcome(done)
		return
	case step == desiredstate.Wait:
		d.doing.waiting = append(d.doing.waiting, a.answer)
		return
	}
	if err := d.may(o.Want); err == nil {
		err = d.member.keep(next)
		if err == nil {
			slog.Info("orders: begun", "id", o.ID, "epoch", o.Epoch, "owner", o.Owner, "kind", o.Want.Kind)
			d.doing = &underWay{id: o.ID, kind: o.Want.Kind, hash: o.Want.Hash, waiting: []chan error{a.answer}}
			d.carryOut(o.Want)
			return
		}
		a.answer <- err
	} else {
		a.answer <- err
	}
}

// may tells why an order can't be begun now, or at all.
func (d *daemon) may(w desiredstate.Want) error {
	s := d.machine.State()
	switch w.Kind {
	case desiredstate.Drain:
		if d.member.file.Forgets() {
			return &desiredstate.RejectedError{Code: desiredstate.Bad, Text: "process.state is not set: started again, it would serve"}
		}
		if s == lifecycle.Draining || s == lifecycle.Ended {
			return busy("the daemon is %v", s)
		}
	case desiredstate.Serve:
		if s == lifecycle.Draining || s == lifecycle.Ended {
			return busy("the daemon is %v", s)
		}
	case desiredstate.Program:
		if err := runs(w.Path); err != nil {
			return &desiredstate.RejectedError{Code: desiredstate.Bad, Text: err.Error()}
		}
		fallthrough
	default:
		if s != lifecycle.Ready {
			return busy("the daemon is %v", s)
		}
	}
	return nil
}

// carryOut begins what d.doing is.
func (d *daemon) carryOut(w desiredstate.Want) {
	doing := d.doing
	switch w.Kind {
	case desiredstate.Settings:
		force := d.cfg
		d.parts.Go(func() {
			restored, err := d.putSettings(force, w)
			if !errors.Is(err, errEnded) { // else whoever comes next tells
				d.post(orderDid{doing, err, restored})
			}
		})
	case desiredstate.Program, desiredstate.Restart:
		path := w.Path
		if path == "" {
			path = d.opts.Program
		}
		// Its end is the end of the successor's probation, or what comes before.
		a := asked{lifecycle.Upgrade{Cause: programCause + path}, make(chan error, 1), true}
		d.parts.Go(func() {
			select {
			case err := <-a.answer:
				if err != nil {
					d.post(orderDid{doing, err, false})
				}
			case <-d.ended:
			}
		})
		d.asked(a)
	case desiredstate.Drain:
		d.endOrder(nil)
		d.handle(lifecycle.Stop{Cause: "order " + doing.id})
	case desiredstate.Serve:
		if d.machine.State() != lifecycle.Warming {
			d.endOrder(nil)
		} // else once it serves
	}
}

// putSettings replaces the configuration file and has it read. An error leaves the file as it was;
// restored tells that it was another one meanwhile.
func (d *daemon) putSettings(force config.Config, w desiredstate.Want) (restored bool, err error) {
	text := []byte(w.Text)
	next, err := d.opts.Parse(text)
	if err != nil {
		return false, err
	}
	for _, c := range config.Compare(force, next).Restarts() {
		return false, fmt.Errorf("%s: %s can't become %s without a restart", c.What, c.From, c.To)
	}
	old, err := os.ReadFile(d.opts.Config)
	if err != nil {
		return false, fmt.Errorf("reading the old settings: %w", err)
	}
	if err := d.member.file.Keep(old); err != nil {
		return false, err
	}
	if err := desiredstate.Replace(d.opts.Config, text); err != nil {
		return false, fmt.Errorf("replacing the settings: %w", err)
	}
	if force.Hash == w.Hash {
		return false, nil // in force; the file only was another one
	}
	err = d.wish(context.Background(), lifecycle.Reload{Cause: "order"})
	if err == nil || errors.Is(err, errEnded) {
		return false, err
	}
	if back := desiredstate.Replace(d.opts.Config, old); back != nil {
		return false, fmt.Errorf("%w; the old settings can't be put back: %w", err, back)
	}
	return true, err
}

// did takes the end of an order.
func (d *daemon) did(e orderDid) {
	if d.doing != e.of {
		return
	}
	if e.restored {
		d.doubts.clear("configuration file")
	}
	if e.err == nil && e.of.kind == desiredstate.Settings && d.cfg.Hash != e.of.hash {
		e.err = fmt.Errorf("the file was replaced by another hand: the settings in force have the hash %s", d.cfg.Hash)
	}
	d.endOrder(e.err)
	if e.of.kind == desiredstate.Settings {
		d.member.file.Forget()
	}
}

// endOrder ends the order under way, written before it is answered.
func (d *daemon) endOrder(err error) {
	was := d.member.book.Doing
	if was == nil || was.ID != d.doing.id { // another process has written it off
		d.answerOrder(desiredstate.Done{ID: d.doing.id, Code: desiredstate.Busy, Error: "order " + d.doing.id + " was cut: ask again"})
		return
	}
	d.member.settle(d.member.book.End(err))
	d.answerOrder(d.member.book.Last())
}

// answerOrder tells those who asked how the order under way has ended.
func (d *daemon) answerOrder(done desiredstate.Done) {
	doing := d.doing
	d.doing = nil
	slog.Info("orders: ended", "id", doing.id, "code", done.Code, "err", done.Error)
	answer(doing.waiting, outcome(done))
}

// inheritOrders reads the book anew: that of the old process at a take-over, or, with back, what a
// successor has left that did not last.
func (d *daemon) inheritOrders(back bool) {
	d.member.load()
	d.member.settle(d.member.book) // also where the directory is another one
	if was := d.member.book.Doing; was != nil && !back {
		d.doing = &underWay{id: was.ID, kind: was.Kind, hash: was.Hash, inherited: true}
	}
}

// recoverOrders goes by what is found in the place of a process that is no more. An order that was cut is
// done when it is asked for again.
func (d *daemon) recoverOrders() {
	m := d.member
	was := m.book.Doing
	if was == nil {
		d.doing = nil
		return
	}
	next := m.book.Recover(desiredstate.Facts{Hash: d.cfg.Hash, Program: d.opts.Program})
	if next.Doing != nil {
		if d.doing == nil {
			d.doing = &underWay{id: was.ID, kind: was.Kind, hash: was.Hash}
		}
		return
	}
	m.settle(next)
	m.file.Forget()
	last := next.Last()
	if last.ID != was.ID {
		slog.Warn("orders: one was cut by the end of the process: nothing of it stays", "id", was.ID, "kind", was.Kind)
		last = desiredstate.Done{ID: was.ID, Code: desiredstate.Busy, Error: "order " + was.ID + " was cut: ask again"}
	}
	if d.doing != nil {
		d.answerOrder(last)
	}
}

// mayUpgrade refuses an upgrade by another hand while an order is under way.
func (d *daemon) mayUpgrade(ordered bool) error {
	if d.doing != nil && !d.doing.inherited && !ordered {
		return fmt.Errorf("no upgrade: order %s is under way", d.doing.id)
	}
	return nil
}

// rescue puts the settings back that an order replaced, where the daemon can't start with the new ones.
// It tells whether there is something else to start with.
func rescue(m *member, o Options, hash string, cause error) bool {
	was := m.book.Doing
	if was == nil || was.Kind != desiredstate.Settings || hash != "" && was.Hash != hash {
		return false
	}
	old, err := m.file.Kept()
	if err == nil && desiredstate.Hash(old) == was.Hash {
		return false // they were the same
	}
	if err == nil {
		err = desiredstate.Replace(o.Config, old)
	}
	if err != nil {
		slog.Error("orders: the old settings can't be put back", "id", was.ID, "err", err)
		return false
	}
	slog.Error("orders: the daemon can't start with the settings of an order: the old ones are put back", "id", was.ID, "err", cause)
	m.settle(m.book.End(fmt.Errorf("the daemon was cut, and could not start with it: %w", cause)))
	m.file.Forget()
	return true
}

// rescueFile is rescue where the file can't be read at all.
func rescueFile(o Options, cause error) bool {
	if o.State == "" {
		return false
	}
	store, err := state.Open(o.State, nil)
	if err != nil {
		return false
	}
	defer store.Close() //nolint:errcheck // the lock alone, which ends with its file
	m, err := openMember(o.State, nil, &doubts{})
	if err != nil {
		return false
	}
	defer m.file.Close()
	return rescue(m, o, "", cause)
}

// runs tells why a program can't be run.
func runs(program string) error {
	if !filepath.IsAbs(program) {
		return fmt.Errorf("program %q is no absolute path", program)
	}
	if info, err := os.Stat(program); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return fmt.Errorf("program %s can't be run", program)
	}
	return nil
}
